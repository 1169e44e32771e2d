//! Handling of polls, probes, response heads and the platform's VM list, and the schedule of polls,
//! probes and list reads.

use std::sync::Arc;

use super::{
    Node,
    OpenCall,
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

/// Shortest time between two reads of the platform's VM list.
const VM_LIST_INTERVAL: Millis = Millis(1000);

/// Endpoints up to which the VM list is read every [`VM_LIST_INTERVAL`]. Each read transfers the
/// whole list, so the time between reads grows with the number of endpoints. An endpoint's own
/// reports arrive sooner anyway.
const VM_ENTRIES_PER_INTERVAL: u64 = 100;

impl Node {
    pub(super) fn handle_vm_list(
        &mut self,
        now: Now,
        age: Millis,
        vms: &[(Id, crate::event::VmState)],
        out: &mut Vec<Action>,
    ) {
        let config = Arc::clone(self.config());
        let by_key = |(id, state): &(Id, _)| Some((config.endpoints.key(id)?, *state));
        let states: Vec<_> = vms.iter().filter_map(by_key).collect();
        for (key, state) in self.view.listed(now.mono, age, &states) {
            log_member(key, Some(state), out);
        }
    }

    pub(super) fn handle_poll_result(
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
            // A plain service may not report an incarnation.
            life: Some(report.incarnation).filter(|incarnation| *incarnation != Incarnation(0)),
            leaving: report.leaving,
            seen: Observation::Reached,
            since: None,
        };
        self.polled_reports.insert(endpoint, (now.mono, report));
        let changed = self.view.self_report(now.mono, endpoint, self_report);
        log_member(endpoint, changed, out);
    }

    pub(super) fn update_load_from_head(&mut self, now: Now, call: Call, in_flight: Option<u32>) {
        if let Some(open) = self.calls.get(&call)
            && let Stage::Dispatched { endpoint, .. } = open.stage
            && let Some(in_flight) = in_flight
        {
            self.loads.record_answer_load(now.mono, endpoint, in_flight);
        }
    }

    pub(super) fn handle_response_head(
        &mut self,
        now: Now,
        call: Call,
        leaving: bool,
        incarnation: Option<Incarnation>,
        out: &mut Vec<Action>,
    ) {
        let Some(OpenCall {
            stage: Stage::Dispatched { endpoint, .. },
            last_sent,
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
            since: Some(*last_sent),
        };
        let changed = self.view.self_report(now.mono, endpoint, self_report);
        log_member(endpoint, changed, out);
    }

    pub(super) fn tick_endpoints(&mut self, now: Now, out: &mut Vec<Action>) {
        let config = Arc::clone(self.store.current());
        for (endpoint, state) in self.view.changes(now.mono) {
            log_member(endpoint, Some(state), out);
        }
        // Polls and probes share one limit, and polls go first: an unreachable region needs
        // probes continually, and without polls the healthy endpoints would get no requests.
        for endpoint in self.view.to_poll(now.mono, &config.policy) {
            self.view.asked(now.mono, endpoint);
            out.push(Action::Poll { endpoint });
        }
        for endpoint in self.view.to_probe(now.mono) {
            self.view.asked(now.mono, endpoint);
            out.push(Action::Probe { endpoint });
        }
        let intervals = (config.endpoints.len() as u64)
            .div_ceil(VM_ENTRIES_PER_INTERVAL)
            .max(1);
        if now.mono.since(self.last_vm_read) >= Millis(VM_LIST_INTERVAL.0.saturating_mul(intervals))
        {
            self.last_vm_read = now.mono;
            out.push(Action::ReadVms);
        }
    }
}
