//! What a node hears from endpoints and of them, and whom it asks.

use std::sync::Arc;

use super::{
    Node,
    Open,
    Stage,
    log_member, //
};
use crate::{
    action::Action,
    arena::EndpointKey,
    event::Report,
    ids::Id,
    membership::{
        Observation,
        SelfReport, //
    },
    request::Call,
    units::{
        Incarnation,
        Millis,
        Now, //
    },
};

/// Least time between two readings of the platform's list of VMs.
const LIST_INTERVAL: Millis = Millis(1000);

/// Endpoints whose entries in the list may be read in that time; a longer list is read less often,
/// as each reading brings the whole. An endpoint's own word comes sooner anyway.
const LISTED_AT_ONCE: u64 = 100;

impl Node {
    pub(super) fn vms(
        &mut self,
        now: Now,
        age: Millis,
        vms: &[(Id, crate::event::VmState)],
        out: &mut Vec<Action>,
    ) {
        let config = Arc::clone(self.config());
        let key = |(id, state): &(Id, _)| Some((config.endpoints.key(id)?, *state));
        let vms: Vec<_> = vms.iter().filter_map(key).collect();
        for (key, state) in self.view.listed(now.mono, age, &vms) {
            log_member(key, Some(state), out);
        }
    }

    pub(super) fn polled(
        &mut self,
        now: Now,
        endpoint: EndpointKey,
        report: Option<Report>,
        out: &mut Vec<Action>,
    ) {
        let Some(report) = report else {
            let changed = self.view.seen(now.mono, endpoint, Observation::Unreached);
            log_member(endpoint, changed, out);
            return;
        };
        self.loads.report(now.mono, endpoint, &report);
        self.orders.report(now.mono, endpoint, &report);
        let self_report = SelfReport {
            // A plain service may not state its life.
            life: Some(report.incarnation).filter(|life| *life != Incarnation(0)),
            leaving: report.leaving,
            seen: Observation::Reached,
            since: None,
        };
        self.reports.insert(endpoint, (now.mono, report));
        let changed = self.view.self_report(now.mono, endpoint, self_report);
        log_member(endpoint, changed, out);
    }

    pub(super) fn head_load(&mut self, now: Now, call: Call, in_flight: Option<u32>) {
        if let Some(open) = self.calls.get(&call)
            && let Stage::Sent { endpoint, .. } = open.stage
            && let Some(in_flight) = in_flight
        {
            self.loads.stated(now.mono, endpoint, in_flight);
        }
    }

    pub(super) fn head(
        &mut self,
        now: Now,
        call: Call,
        leaving: bool,
        incarnation: Option<Incarnation>,
        out: &mut Vec<Action>,
    ) {
        let Some(Open {
            stage: Stage::Sent { endpoint, .. },
            sent,
            ..
        }) = self.calls.get(&call)
        else {
            return;
        };
        let endpoint = *endpoint;
        let self_report = SelfReport {
            life: incarnation,
            leaving,
            seen: Observation::Answered,
            since: Some(*sent),
        };
        let changed = self.view.self_report(now.mono, endpoint, self_report);
        log_member(endpoint, changed, out);
    }

    pub(super) fn tick_endpoints(&mut self, now: Now, out: &mut Vec<Action>) {
        let config = Arc::clone(self.store.current());
        for (endpoint, state) in self.view.changes(now.mono) {
            log_member(endpoint, Some(state), out);
        }
        // Polls come first out of the bound that they share with probes: a region that is cut off
        // needs probes without end, and endpoints that are well would get no work for want of polls.
        for endpoint in self.view.to_poll(now.mono, &config.policy) {
            self.view.asked(now.mono, endpoint);
            out.push(Action::Poll { endpoint });
        }
        for endpoint in self.view.to_probe(now.mono) {
            self.view.asked(now.mono, endpoint);
            out.push(Action::Probe { endpoint });
        }
        let parts = (config.endpoints.len() as u64)
            .div_ceil(LISTED_AT_ONCE)
            .max(1);
        if now.mono.since(self.listed) >= Millis(LIST_INTERVAL.0.saturating_mul(parts)) {
            self.listed = now.mono;
            out.push(Action::ReadVms);
        }
    }
}
