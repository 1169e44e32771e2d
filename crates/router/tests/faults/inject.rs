//! Brings a fault about, and takes it away again.

use std::time::Duration;

use serde_json::{
    Value,
    json, //
};

use toucanturn_standin::link::Mode;

use crate::{
    cluster::{
        self,
        Cluster,
        LEASE, //
    },
    matrix::Fault,
};

/// Router that callers of the held requests go through.
pub(crate) const ENTRY: usize = 0;
/// Router that is home to the held order's key.
pub(crate) const HOME: usize = 1;

/// Time by which every piece is late on a slow link.
const SLOW: Duration = Duration::from_millis(40);
/// Time by which a late answer is late: longer than a stream may be idle.
const LATE_MS: u64 = 800;
/// A frozen process sleeps until its lease is over for certain.
const ASLEEP: Duration = Duration::from_millis(1200);

/// `Targets` are the endpoints that the fault comes to.
#[derive(Clone, Debug, Default)]
pub(crate) struct Targets {
    pub(crate) engines: Vec<usize>,
    pub(crate) replicas: Vec<usize>,
}

impl Cluster {
    fn targets<'a>(&'a self, targets: &'a Targets) -> impl Iterator<Item = &'a cluster::Endpoint> {
        let engines = targets.engines.iter().map(|n| &self.engines[*n]);
        engines.chain(targets.replicas.iter().map(|n| &self.replicas[*n]))
    }

    fn set_endpoints(&self, targets: &Targets, mode: Mode) {
        self.targets(targets).for_each(|one| one.link.set(mode));
    }

    async fn order_endpoints(&self, targets: &Targets, call: &str, body: Value) {
        for one in self.targets(targets) {
            self.control(one.control(), call, body.clone()).await;
        }
    }

    async fn platform_fault(&self, mode: &str) {
        let body = json!({ "mode": mode });
        self.control(self.platform.control, "fault", body).await;
    }

    /// Publishes a change that concerns nobody's requests.
    pub(crate) async fn publish_something(&self, number: u64) -> u64 {
        let key = format!("workspaces/other-{}", number % 4);
        let value = self.workspace(&format!("key-of-other-{number}"), 10);
        self.publish(json!({ key: value })).await
    }

    /// Brings a fault about.
    pub(crate) async fn inject(&mut self, fault: Fault, to: &Targets) {
        let mode = |mode: &str| json!({"mode": mode, "delay_ms": LATE_MS});
        match fault {
            Fault::EndpointKilled => {
                self.set_endpoints(to, Mode::Refuse);
                self.targets(to).for_each(|one| one.link.reset());
            }
            Fault::HomeKilled => self.routers[HOME].kill(),
            Fault::EntryKilled => self.routers[ENTRY].kill(),
            Fault::EndpointFrozen => self.set_endpoints(to, Mode::Pause),
            Fault::HomeFrozen => self.routers[HOME].freeze().await,
            Fault::EntryFrozen => self.routers[ENTRY].freeze().await,
            Fault::EndpointCutBothWays => self.set_endpoints(to, Mode::Drop),
            Fault::PeerCutBothWays => self.routers[HOME].peers.set(Mode::Drop),
            Fault::EndpointRequestsLost => self.set_endpoints(to, Mode::DropRequests),
            Fault::EndpointAnswersLost => self.set_endpoints(to, Mode::DropAnswers),
            Fault::PeerRequestsLost => self.routers[HOME].peers.set(Mode::DropRequests),
            Fault::PeerAnswersLost => self.routers[HOME].peers.set(Mode::DropAnswers),
            Fault::EndpointSilent => self.targets(to).for_each(|one| one.link.silence()),
            Fault::PeerSilent => self.routers.iter().for_each(|r| r.peers.silence()),
            Fault::EndpointSlow => self.set_endpoints(to, Mode::Slow(SLOW)),
            Fault::PeerSlow => self.routers[HOME].peers.set(Mode::Slow(SLOW)),
            Fault::AnswerLate => self.order_endpoints(to, "fault", mode("late")).await,
            Fault::AnswerCrossed => self.order_endpoints(to, "fault", mode("crossed")).await,
            Fault::AnswerTruncated => self.set_endpoints(to, Mode::HalfAnswers),
            Fault::ResetAfterRequest => self.set_endpoints(to, Mode::ResetAnswers),
            Fault::EndpointLeaves => self.order_endpoints(to, "leave", json!({})).await,
            Fault::EndpointFlaps => self.flap(to).await,
            Fault::EndpointReplaced => self.replace(to).await,
            Fault::RouterReplaced => self.start_router(HOME).await,
            Fault::ServiceDown => self.platform_fault("down").await,
            Fault::ServiceStale => self.platform_fault("stale").await,
            Fault::ServiceOlder => self.platform_fault("older").await,
            Fault::ServiceRubbish => self.platform_fault("rubbish").await,
            Fault::VmListsDiffer => self.split_vm_lists(to).await,
            Fault::TwoPublishes => {
                let _ = tokio::join!(self.publish_something(1), self.publish_something(2));
            }
            Fault::InvalidPublish => {
                let broken = json!({"workspaces/broken": {"priority": "high"},
                    "models/assistant": null});
                self.publish(broken).await;
            }
            Fault::WorkspaceRemoved => {
                self.publish(json!({"workspaces/main": null})).await;
            }
            Fault::EndpointRemoved => {
                let gone =
                    |one: &cluster::Endpoint| (format!("endpoints/{}", one.name), json!(null));
                let gone: serde_json::Map<_, _> = self.targets(to).map(gone).collect();
                self.publish(gone.into()).await;
            }
            Fault::HomeFrozenAndReset => {
                self.set_endpoints(to, Mode::ResetAnswers);
                self.routers[HOME].freeze().await;
            }
            Fault::PeerCutAndServiceStale => {
                self.platform_fault("stale").await;
                self.routers[HOME].peers.set(Mode::Drop);
            }
            Fault::EndpointKilledAndHomeKilled => {
                self.set_endpoints(to, Mode::Refuse);
                self.targets(to).for_each(|one| one.link.reset());
                self.routers[HOME].kill();
            }
        }
    }

    /// Lets what is frozen sleep; tells whether the fault is over then, whoever still waits.
    pub(crate) async fn endure(&self, fault: Fault) -> bool {
        let frozen = matches!(
            fault,
            Fault::HomeFrozen
                | Fault::EntryFrozen
                | Fault::EndpointFrozen
                | Fault::HomeFrozenAndReset
        );
        if frozen {
            tokio::time::sleep(ASLEEP.max(LEASE * 2)).await;
        }
        frozen
    }

    /// Takes every fault away and puts back what it took.
    pub(crate) async fn lift(&mut self, fault: Fault, to: &Targets) {
        self.set_endpoints(to, Mode::Pass);
        for router in &mut self.routers {
            router.peers.set(Mode::Pass);
            router.wake();
        }
        match fault {
            Fault::HomeKilled | Fault::EndpointKilledAndHomeKilled => self.start_router(HOME).await,
            Fault::EntryKilled => self.start_router(ENTRY).await,
            // What was lost is lost; the connections that are open would stay silent for good.
            Fault::PeerCutBothWays
            | Fault::PeerRequestsLost
            | Fault::PeerAnswersLost
            | Fault::PeerCutAndServiceStale => self.routers[HOME].peers.reset(),
            Fault::EndpointCutBothWays
            | Fault::EndpointRequestsLost
            | Fault::EndpointAnswersLost => {
                self.targets(to).for_each(|one| one.link.reset());
            }
            Fault::AnswerLate | Fault::AnswerCrossed => {
                let none = json!({"mode": "none"});
                self.order_endpoints(to, "fault", none).await;
            }
            Fault::EndpointLeaves => self.order_endpoints(to, "rejoin", json!({})).await,
            Fault::VmListsDiffer => self.clear_vm_lists().await,
            Fault::InvalidPublish => {
                let whole =
                    json!({"workspaces/broken": null, "models/assistant": {"version": "v1"}});
                self.publish(whole).await;
            }
            Fault::WorkspaceRemoved | Fault::EndpointRemoved => {
                let document = self.document();
                self.publish(document).await;
            }
            _ => {}
        }
        if matches!(
            fault,
            Fault::ServiceDown
                | Fault::ServiceStale
                | Fault::ServiceOlder
                | Fault::ServiceRubbish
                | Fault::PeerCutAndServiceStale
        ) {
            self.platform_fault("ok").await;
        }
    }

    /// Closes the connections that were silenced, once the fleet was seen to serve beside them: the
    /// next cell's held requests would be lost in them and never come to their gates.
    pub(crate) fn close_silent(&self, fault: Fault, to: &Targets) {
        match fault {
            Fault::EndpointSilent => self.targets(to).for_each(|one| one.link.reset()),
            Fault::PeerSilent => self.routers.iter().for_each(|r| r.peers.reset()),
            _ => {}
        }
    }

    async fn flap(&self, to: &Targets) {
        for _ in 0..3 {
            self.order_endpoints(to, "leave", json!({})).await;
            self.set_endpoints(to, Mode::Refuse);
            tokio::time::sleep(SLOW).await;
            self.order_endpoints(to, "rejoin", json!({})).await;
            self.set_endpoints(to, Mode::Pass);
            tokio::time::sleep(SLOW).await;
        }
    }

    async fn replace(&mut self, to: &Targets) {
        for n in &to.engines {
            self.start_engine(*n).await;
            self.engines[*n].link.reset();
        }
        for n in &to.replicas {
            self.start_replica(*n).await;
            self.replicas[*n].link.reset();
        }
    }

    async fn split_vm_lists(&self, to: &Targets) {
        for (n, router) in self.routers.iter().enumerate() {
            // Router 0 is told that all is well, router 1 that the targets leave, router 2 nothing.
            let state = ["live", "leaving", "live"][n % 3];
            let vm = |one: &cluster::Endpoint| json!({"id": one.name, "state": state});
            let vms: Vec<Value> = match n % 3 {
                2 => Vec::new(),
                _ => self.targets(to).map(vm).collect(),
            };
            let list = json!({ "vms": vms });
            self.control(router.vm_list.control, "vms", list).await;
        }
    }

    async fn clear_vm_lists(&mut self) {
        for router in &self.routers {
            let none = json!({"vms": []});
            self.control(router.vm_list.control, "vms", none).await;
        }
        // What a list says of a life sticks to that life.
        for n in 0..self.engines.len() {
            self.start_engine(n).await;
            self.engines[n].link.reset();
        }
        for n in 0..self.replicas.len() {
            self.start_replica(n).await;
            self.replicas[n].link.reset();
        }
    }
}
