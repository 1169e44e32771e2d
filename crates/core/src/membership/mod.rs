//! Which endpoints may get requests, in this router's view.
//!
//! The view keeps three facts about an endpoint apart:
//!
//! - whether it is leaving: this belongs to one incarnation of the endpoint and is never revoked
//!   for it;
//! - whether it works: a score of answers, refusals and probes, with flap damping ([`damping`]);
//! - when the endpoint itself last confirmed that it is not leaving: when that is longer ago than
//!   [`MAX_CONFIRMATION_AGE`], it gets no new requests until it confirms again. This rule alone
//!   covers a router that was paused or cut off, as its clock goes on while it hears nothing.

use std::sync::Arc;

use indexmap::IndexMap;
use slotmap::SecondaryMap;

use crate::{
    arena::{
        EndpointKey,
        RouterKey, //
    },
    config::{
        Config,
        Policy, //
    },
    event::VmState,
    ids::Id,
    units::{
        Incarnation,
        Millis,
        Revision,
        Time, //
    },
};

pub mod damping;
pub mod link;
mod member;
pub mod pollers;
pub mod wake;

use link::{
    Contact,
    ContactTally, //
};
use member::{
    EndpointRecord,
    Listing, //
};
pub use member::{
    MAX_PROBE_INTERVAL,
    MISSING_AFTER,
    POLL_TIMEOUT, //
};
use pollers::PollLimiter;
use wake::PauseDetector;

/// Greatest age of an endpoint's own confirmation that it is not leaving at which it still gets new
/// requests. The rest of the promised 3 s allows for an unnoticed pause of up to
/// [`wake::MIN_PAUSE`], the error of that age, and the time until a request is sent.
pub const MAX_CONFIRMATION_AGE: Millis = Millis(2500);

/// `State` is an endpoint's state in this router's view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, serde::Serialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Gets requests.
    #[default]
    Live,
    /// Gets requests only where no live endpoint can take them, until it is known to be live.
    Suspect,
    /// Gets no new requests in this incarnation.
    Leaving,
    /// Gets no requests until a poll or a probe on a new connection succeeds.
    Down,
}

/// `Observation` is one observation of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// It began to answer a request and did not say that it is leaving.
    Answered,
    /// It completed an answer. The answer may have begun long ago, so this says nothing about
    /// leaving.
    Finished,
    /// It answered a poll or probe and did not say that it is leaving.
    Reached,
    /// A connection to it could not be made, or it answered 503.
    Refused,
    /// It made no progress on a request, or broke off its answer.
    Silent,
    /// A poll or a probe on a new connection failed.
    Unreached,
}

/// `SelfReport` is what an endpoint said of itself in the head of an answer, a report or a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SelfReport {
    /// Its incarnation, if it stated it.
    pub life: Option<Incarnation>,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The observation to record if it is not leaving.
    pub seen: Observation,
    /// When the request was sent; what the endpoint says was true then or later. `None` for the
    /// answer to the poll or probe that was last sent ([`View::asked`]).
    pub since: Option<Time>,
}

/// `View` is this router's view of all endpoints. It holds one record for each configured endpoint
/// and none for others, so the configuration bounds its size.
#[derive(Debug, Default)]
pub struct View {
    endpoints: SecondaryMap<EndpointKey, EndpointRecord>,
    peers: SecondaryMap<RouterKey, Contact>,
    last_heard: Time,
    pause_detector: PauseDetector,
    poll_limiter: PollLimiter,
    /// Since when this router's own link has been at fault.
    link_fault_since: Option<Time>,
    /// The inputs for which this router's ranks were computed.
    ranking_inputs: Option<RankingInputs>,
}

/// `RankingInputs` is what a rank depends on besides the endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
struct RankingInputs {
    epoch: Revision,
    me: Option<RouterKey>,
    regions: IndexMap<Id, Id>,
}

impl View {
    /// Records the time of an event before the event itself is handled. Gives the length of the
    /// pause of this process that it ended, if there was one.
    pub fn advance(&mut self, now: Time) -> Option<Millis> {
        let pause = self.pause_detector.advance(now);
        if pause.is_some() {
            for (_, record) in &mut self.endpoints {
                record.reset_after_pause(now);
            }
        }
        pause
    }

    /// Tells whether this process was paused so recently that requests should wait for endpoints to
    /// be confirmed.
    pub fn recently_paused(&self, now: Time) -> bool {
        self.pause_detector.recently_paused(now)
    }

    /// Gets the time since which this router's own link has been at fault; `None` if it is not.
    pub fn link_fault_since(&self) -> Option<Time> {
        self.link_fault_since
    }

    /// Applies a new configuration: removes endpoints that are no longer in it, and replaces the
    /// record of an endpoint whose address changed by a new one.
    pub fn apply(&mut self, now: Time, config: &Config) {
        self.peers.retain(|key, _| config.fleet.get(key).is_some());
        self.endpoints
            .retain(|key, _| config.endpoints.get(key).is_some());
        for (key, endpoint) in config.endpoints.iter() {
            let known = self.endpoints.get(key).map(|r| r.address);
            if known != Some(endpoint.address) {
                self.endpoints
                    .insert(key, EndpointRecord::new(endpoint, now));
            }
        }
    }

    /// Computes this router's rank among the pollers of each endpoint; `me` is `None` while it is
    /// not in the fleet.
    ///
    /// Ranking an endpoint iterates over the fleet, and most changes of the configuration affect
    /// neither the fleet nor many endpoints, so only new or changed endpoints are ranked then.
    pub fn assign(&mut self, config: &Config, me: Option<RouterKey>) {
        let inputs = RankingInputs {
            epoch: config.epoch,
            me,
            regions: config.policy.data_centers.clone(),
        };
        let unchanged = self.ranking_inputs.as_ref() == Some(&inputs);
        self.ranking_inputs = Some(inputs);
        for (key, record) in &mut self.endpoints {
            let Some(endpoint) = config.endpoints.get(key) else {
                continue;
            };
            let ranked = record
                .ranked_endpoint
                .as_ref()
                .is_some_and(|e| Arc::ptr_eq(e, endpoint));
            if unchanged && ranked {
                continue;
            }
            let rank = me.and_then(|me| pollers::rank(config, me, endpoint));
            record.rank = rank.unwrap_or(usize::MAX);
            record.ranked_endpoint = Some(Arc::clone(endpoint));
        }
    }

    /// Gets an endpoint's state; an unknown endpoint counts as down.
    pub fn state(&self, now: Time, endpoint: EndpointKey) -> State {
        self.endpoints
            .get(endpoint)
            .map_or(State::Down, |r| r.state(now))
    }

    /// Gets an endpoint's latest known incarnation.
    pub fn incarnation(&self, endpoint: EndpointKey) -> Incarnation {
        self.endpoints
            .get(endpoint)
            .map_or(Incarnation::default(), |r| r.incarnation)
    }

    /// Gets when an endpoint last confirmed that it is not leaving.
    pub fn last_confirmed(&self, endpoint: EndpointKey) -> Option<Time> {
        self.endpoints.get(endpoint).and_then(|r| r.last_confirmed)
    }

    /// Gets an endpoint's flap penalty ([`damping`]).
    pub fn penalty(&self, now: Time, endpoint: EndpointKey) -> u32 {
        self.endpoints
            .get(endpoint)
            .map_or(0, |r| r.penalty.value(now))
    }

    /// Gets the number of endpoints in the view.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Tells whether the view has no endpoint.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Gets the time since the platform, a peer or an endpoint was last heard from.
    pub fn age(&self, now: Time) -> Millis {
        now.since(self.last_heard)
    }

    /// Records that the platform, a peer or an endpoint was heard from.
    pub fn heard(&mut self, now: Time) {
        self.last_heard = now;
    }

    /// Records what an endpoint said of itself; gives the new state if it changed. A report of an
    /// earlier incarnation is ignored.
    pub fn self_report(
        &mut self,
        now: Time,
        endpoint: EndpointKey,
        self_report: SelfReport,
    ) -> Option<State> {
        self.last_heard = now;
        let record = self.endpoints.get_mut(endpoint)?;
        let asked_at = self_report.since.or_else(|| record.take_outstanding_poll());
        let incarnation = self_report.life.unwrap_or(record.incarnation);
        if incarnation < record.incarnation {
            return None;
        }
        if self_report.leaving {
            let changed = self.leaving(now, endpoint, incarnation);
            if let Some(record) = self.endpoints.get_mut(endpoint) {
                record.note_said_leaving(now, self_report.seen);
            }
            return changed;
        }
        let polled = self_report.seen == Observation::Reached;
        record.states_incarnation |= polled && self_report.life.is_some();
        let restarted = self_report.life.is_none()
            && polled
            && asked_at.is_some_and(|t| record.proves_restart(t));
        let new_incarnation = if restarted {
            Some(record.next_incarnation())
        } else {
            self_report.life
        };
        if let Some(new_incarnation) = new_incarnation {
            self.start_incarnation(now, endpoint, new_incarnation);
        }
        if let Some(asked_at) = asked_at {
            self.confirm(endpoint, asked_at);
        }
        self.seen(now, endpoint, self_report.seen)
    }

    /// Records that a peer polled an endpoint, which was not leaving, at most one summary interval
    /// and [`pollers::MAX_REPORT_TRANSIT`] before it sent the report; gives the new state if it
    /// changed.
    pub fn reported(
        &mut self,
        now: Time,
        endpoint: EndpointKey,
        incarnation: Incarnation,
        interval: Millis,
    ) -> Option<State> {
        let record = self.endpoints.get_mut(endpoint)?;
        if incarnation < record.incarnation {
            return None;
        }
        record.reached_by_peer();
        self.start_incarnation(now, endpoint, incarnation);
        if !self.pause_detector.settling(now) {
            let since = now - interval - pollers::MAX_REPORT_TRANSIT - pollers::MAX_REPORT_TRANSIT;
            self.confirm(endpoint, since);
        }
        self.take_state_change(now, endpoint)
    }

    /// Records whether a peer was reached.
    pub fn peer(&mut self, now: Time, router: RouterKey, reached: bool) {
        let Some(entry) = self.peers.entry(router) else {
            return;
        };
        let contact = entry.or_default();
        if reached {
            contact.good = Some(now);
        } else {
            contact.bad = Some(now);
        }
    }

    /// Records an observation of an endpoint's health; gives the new state if it changed.
    pub fn seen(&mut self, now: Time, endpoint: EndpointKey, seen: Observation) -> Option<State> {
        let settling = self.pause_detector.settling(now);
        let record = self.endpoints.get_mut(endpoint)?;
        match seen {
            Observation::Answered | Observation::Finished => record.answered(now),
            Observation::Reached => record.reached(now),
            // A failure while this process was paused is not the endpoint's fault.
            _ if settling => {}
            Observation::Refused => record.refused(now),
            Observation::Silent => record.silent(now),
            Observation::Unreached => {
                record.take_outstanding_poll();
                record.unreached(now);
            }
        }
        if record.reached_down_score() {
            self.handle_failure(now, endpoint);
        }
        self.take_state_change(now, endpoint)
    }

    /// Records that one incarnation of an endpoint is leaving, which holds until a later
    /// incarnation is seen; gives the new state if it changed.
    pub fn leaving(
        &mut self,
        now: Time,
        endpoint: EndpointKey,
        incarnation: Incarnation,
    ) -> Option<State> {
        let record = self.endpoints.get_mut(endpoint)?;
        if incarnation < record.incarnation {
            return None;
        }
        record.mark_leaving(incarnation);
        self.take_state_change(now, endpoint)
    }

    /// Records the platform's list of VMs, which is `age` old; gives the states that changed.
    ///
    /// The list lags and differs between routers. An entry that says that a VM is leaving counts
    /// unless the list is older than an earlier one or than the VM's present incarnation. An entry
    /// that says that a VM is live, or a missing entry, has little effect: only the endpoint itself
    /// can confirm that it is not leaving.
    pub fn listed(
        &mut self,
        now: Time,
        age: Millis,
        vms: &[(EndpointKey, VmState)],
    ) -> Vec<(EndpointKey, State)> {
        self.last_heard = now;
        let made_at = now - age;
        let named: SecondaryMap<EndpointKey, VmState> = vms.iter().copied().collect();
        for (key, record) in &mut self.endpoints {
            record_listing(now, made_at, record, named.get(key).copied());
        }
        self.changes(now)
    }

    /// Lists the endpoints that are leaving.
    pub fn all_leaving(&self) -> impl Iterator<Item = (EndpointKey, Incarnation)> {
        let leaving = self.endpoints.iter().filter(|(_, r)| r.leaving);
        leaving.map(|(key, r)| (key, r.incarnation))
    }

    /// Lists the endpoints that need a probe on a new connection now. The caller must call
    /// [`View::asked`] for each.
    pub fn to_probe(&mut self, now: Time) -> Vec<EndpointKey> {
        self.due(now, |r| r.probe_due(now))
    }

    /// Lists the endpoints that this router should poll now. The caller must call [`View::asked`]
    /// for each.
    pub fn to_poll(&mut self, now: Time, policy: &Policy) -> Vec<EndpointKey> {
        self.due(now, |r| {
            r.poll_due(now, pollers::poll_after_age(policy, r.rank))
        })
    }

    /// Tells whether an endpoint may be polled now although no poll is due, and counts that poll
    /// against [`pollers::MAX_POLLS_PER_SECOND`]. The caller must call [`View::asked`] for it.
    pub fn take_extra_poll(&mut self, now: Time, endpoint: EndpointKey) -> bool {
        let may_poll = self
            .endpoints
            .get(endpoint)
            .is_some_and(|r| r.may_poll(now));
        may_poll && !self.pause_detector.settling(now) && self.poll_limiter.take(now, 1) == 1
    }

    /// Records that a poll or probe was sent to an endpoint.
    pub fn asked(&mut self, now: Time, endpoint: EndpointKey) {
        if let Some(record) = self.endpoints.get_mut(endpoint) {
            record.poll_sent(now);
        }
    }

    /// Gives the states that changed since they were last reported, including those that changed
    /// only because time passed.
    pub fn changes(&mut self, now: Time) -> Vec<(EndpointKey, State)> {
        if self.link_fault_since.is_some() {
            self.update_link_fault(now);
        }
        let mut changes = Vec::new();
        for (key, record) in &mut self.endpoints {
            let state = record.state(now);
            if record.reported_state != state {
                record.reported_state = state;
                changes.push((key, state));
            }
        }
        changes
    }

    /// Replaces an endpoint's incarnation if this one is later.
    fn start_incarnation(&mut self, now: Time, endpoint: EndpointKey, incarnation: Incarnation) {
        let Some(record) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        if incarnation > record.incarnation {
            record.start_incarnation(now, incarnation);
        }
    }

    /// Lists the endpoints that `wanted` selects, as many as [`pollers::MAX_POLLS_PER_SECOND`]
    /// allows, by this router's rank among their pollers and then by the time of the last poll,
    /// oldest first.
    ///
    /// The endpoints of a region that is cut off are due all the time. They come after those that
    /// this router is the first to poll, which would get no requests if they were not polled.
    fn due(&mut self, now: Time, wanted: impl Fn(&EndpointRecord) -> bool) -> Vec<EndpointKey> {
        if self.pause_detector.settling(now) {
            return Vec::new();
        }
        let due = self.endpoints.iter().filter(|(_, r)| wanted(r));
        let mut due: Vec<_> = due.map(|(key, r)| (r.rank, r.last_poll(), key)).collect();
        due.sort();
        due.truncate(self.poll_limiter.take(now, due.len()));
        due.into_iter().map(|(_, _, key)| key).collect()
    }

    fn confirm(&mut self, endpoint: EndpointKey, at: Time) {
        if let Some(record) = self.endpoints.get_mut(endpoint) {
            record.confirm(at);
        }
    }

    /// Counts an endpoint as down, unless most others fail as well. Then the fault is this router's
    /// link, and endpoints that went down within [`link::FAULT_ONSET`] are counted as up again,
    /// too.
    fn handle_failure(&mut self, now: Time, endpoint: EndpointKey) {
        if self.update_link_fault(now) {
            for (_, record) in &mut self.endpoints {
                if record.reached_down_score() || record.went_down_within(now, link::FAULT_ONSET) {
                    record.undo_down(now);
                }
            }
        } else if let Some(record) = self.endpoints.get_mut(endpoint) {
            record.mark_down(now);
        }
    }

    /// Updates whether this router's own link is at fault, and tells so.
    fn update_link_fault(&mut self, now: Time) -> bool {
        let mut tally = ContactTally::default();
        self.endpoints
            .values()
            .for_each(|r| tally.count(now, r.contact));
        self.peers.values().for_each(|c| tally.count(now, *c));
        let is_fault = tally.indicates_link_fault();
        self.link_fault_since = is_fault.then(|| self.link_fault_since.unwrap_or(now));
        is_fault
    }

    /// Gets an endpoint's state if it differs from the one last reported.
    fn take_state_change(&mut self, now: Time, endpoint: EndpointKey) -> Option<State> {
        let record = self.endpoints.get_mut(endpoint)?;
        let state = record.state(now);
        let changed = record.reported_state != state;
        record.reported_state = state;
        changed.then_some(state)
    }
}

/// Records what a list made at `made_at` says of one endpoint; `state` is `None` if the list
/// doesn't name it.
fn record_listing(now: Time, made_at: Time, record: &mut EndpointRecord, state: Option<VmState>) {
    let previous = record.listed;
    if previous.is_some_and(|l| made_at < l.made_at) {
        return;
    }
    if previous.is_none() && state.is_none() {
        // The platform has never listed this endpoint, so its absence says nothing.
        return;
    }
    record.listed = Some(Listing { made_at, state });
    match state {
        Some(VmState::Leaving) if made_at >= record.restarted_at => record.leaving = true,
        // The entry may refer to the incarnation before this one, so the endpoint must confirm
        // before it gets new requests.
        Some(VmState::Leaving) => {
            if record
                .reconfirm_after
                .is_none_or(|d| d < record.restarted_at)
            {
                record.reconfirm_after = Some(now);
            }
        }
        Some(VmState::Live) => {
            record.missing_since = None;
            let was_not_live = previous.is_some_and(|l| l.state != Some(VmState::Live));
            if was_not_live && record.leaving && !record.states_incarnation {
                // Otherwise an endpoint that never states its incarnation would stay leaving for
                // ever.
                let next = record.next_incarnation();
                record.start_incarnation(now, next);
                record.reconfirm_after = Some(now);
            }
        }
        None => record.missing_since = record.missing_since.or(Some(now)),
    }
}
