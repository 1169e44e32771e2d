//! Which endpoints may get work, as far as this router knows.
//!
//! Three questions are kept apart. *Is it leaving?* sticks to one life of the endpoint and is only
//! ever learnt, never unlearnt. *Does it work?* is a score of answers, refusals and probes, with
//! flap damping ([`damping`]). *How sure am I?* is the time at which the endpoint last said itself
//! that it isn't leaving: when that is longer ago than [`FRESH`], it gets no new work until it was
//! asked again. This last rule alone covers a router that was paused or cut off, as its own clock
//! goes on while its news stops.

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
    Tally, //
};
use member::{
    Listed,
    Member, //
};
pub use member::{
    MISSING_AFTER,
    POLL_TIMEOUT,
    PROBE_MAX, //
};
use pollers::Meter;
use wake::Wake;

/// Longest time since an endpoint's own word that it isn't leaving at which it still gets new
/// work. What is left to the promised 3 s is for
/// [`wake::PAUSE`], the error of that time, and for the way to the socket.
pub const FRESH: Millis = Millis(2500);

/// `State` is an endpoint's state in this router's view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, serde::Serialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Takes work.
    #[default]
    Live,
    /// Takes work only where no live one can, until it is known better.
    Suspect,
    /// Gets no new work in this life.
    Leaving,
    /// Gets no work until a poll or a probe on a new connection succeeds.
    Down,
}

/// `Seen` is one observation of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    /// It began to answer a request, and did not say that it is leaving.
    Answered,
    /// It ended an answer. The answer may have begun long ago: nothing is said about leaving.
    Finished,
    /// It answered a poll or probe, and did not say that it is leaving.
    Reached,
    /// A connection could not be made, or it said 503.
    Refused,
    /// It made no progress on a request, or broke off.
    Silent,
    /// A poll or a probe on a new connection failed.
    Unreached,
}

/// `Word` is what an endpoint said of itself in an answer's head, a report or a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Word {
    /// Its life, where it says.
    pub life: Option<Incarnation>,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The observation if it isn't.
    pub seen: Seen,
    /// When it was asked: what it says was true then or later. `None` for the answer to the poll
    /// or probe that was last sent ([`View::asked`]).
    pub since: Option<Time>,
}

/// `View` is the state of every endpoint. It holds one entry for each configured endpoint and
/// nothing for others, so the configuration bounds it.
#[derive(Debug, Default)]
pub struct View {
    members: SecondaryMap<EndpointKey, Member>,
    peers: SecondaryMap<RouterKey, Contact>,
    heard: Time,
    wake: Wake,
    meter: Meter,
    /// Since when this router's own link is at fault.
    cut: Option<Time>,
    /// The fleet for which the endpoints were ranked.
    fleet: Option<Fleet>,
}

/// `Fleet` is what ranks depend on besides the endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Fleet {
    epoch: Revision,
    me: Option<RouterKey>,
    regions: IndexMap<Id, Id>,
}

impl View {
    /// Notes the time of an event, before the event itself. Gives the length of the pause of this
    /// process that it ended, if one did: nothing from before counts as fresh then.
    pub fn advance(&mut self, now: Time) -> Option<Millis> {
        let pause = self.wake.advance(now);
        if pause.is_some() {
            for (_, member) in &mut self.members {
                member.wake(now);
            }
        }
        pause
    }

    /// Tells whether requests should wait a moment for endpoints to be confirmed after a wake-up.
    pub fn waking(&self, now: Time) -> bool {
        self.wake.waiting(now)
    }

    /// Tells since when this router's own link is at fault.
    pub fn cut(&self) -> Option<Time> {
        self.cut
    }

    /// Follows a new configuration: endpoints that are gone from it are forgotten, and one that
    /// moved to another address starts afresh.
    pub fn apply(&mut self, now: Time, config: &Config) {
        self.peers.retain(|key, _| config.fleet.get(key).is_some());
        self.members
            .retain(|key, _| config.endpoints.get(key).is_some());
        for (key, endpoint) in config.endpoints.iter() {
            let known = self.members.get(key).map(|m| m.address);
            if known != Some(endpoint.address) {
                self.members.insert(key, Member::new(endpoint, now));
            }
        }
    }

    /// Works out which endpoints this router polls; `me` is `None` while it is not in the fleet.
    ///
    /// Ranking an endpoint walks the fleet, and most changes of the configuration touch neither the
    /// fleet nor many endpoints: only what is new is ranked then.
    pub fn assign(&mut self, config: &Config, me: Option<RouterKey>) {
        let fleet = Fleet {
            epoch: config.epoch,
            me,
            regions: config.policy.data_centers.clone(),
        };
        let same = self.fleet.as_ref() == Some(&fleet);
        self.fleet = Some(fleet);
        for (key, member) in &mut self.members {
            let Some(endpoint) = config.endpoints.get(key) else {
                continue;
            };
            let known = member
                .ranked
                .as_ref()
                .is_some_and(|e| Arc::ptr_eq(e, endpoint));
            if same && known {
                continue;
            }
            let rank = me.and_then(|me| pollers::rank(config, me, endpoint));
            member.rank = rank.unwrap_or(usize::MAX);
            member.ranked = Some(Arc::clone(endpoint));
        }
    }

    /// Gets an endpoint's state; unknown ones are down.
    pub fn state(&self, now: Time, endpoint: EndpointKey) -> State {
        self.members
            .get(endpoint)
            .map_or(State::Down, |m| m.state(now))
    }

    /// Gets an endpoint's latest known life.
    pub fn incarnation(&self, endpoint: EndpointKey) -> Incarnation {
        self.members
            .get(endpoint)
            .map_or(Incarnation::default(), |m| m.life)
    }

    /// Gets when an endpoint last was known not to be leaving, by its own word.
    pub fn sure(&self, endpoint: EndpointKey) -> Option<Time> {
        self.members.get(endpoint).and_then(|m| m.sure)
    }

    /// Gets an endpoint's flap penalty ([`damping`]).
    pub fn penalty(&self, now: Time, endpoint: EndpointKey) -> u32 {
        self.members
            .get(endpoint)
            .map_or(0, |m| m.penalty.value(now))
    }

    /// Gets the number of endpoints held.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Tells whether no endpoint is held.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Gets the time since the view last heard anything from outside.
    pub fn age(&self, now: Time) -> Millis {
        now.since(self.heard)
    }

    /// Notes that something was heard from the platform, a peer or an endpoint.
    pub fn heard(&mut self, now: Time) {
        self.heard = now;
    }

    /// Notes what an endpoint said of itself; gives the new state if it changed. The word of an
    /// earlier life says nothing of the present one.
    pub fn word(&mut self, now: Time, endpoint: EndpointKey, word: Word) -> Option<State> {
        self.heard = now;
        let member = self.members.get_mut(endpoint)?;
        let since = word.since.or_else(|| member.told());
        let life = word.life.unwrap_or(member.life);
        if life < member.life {
            return None;
        }
        if word.leaving {
            let changed = self.leaving(now, endpoint, life);
            if let Some(member) = self.members.get_mut(endpoint) {
                member.said_leaving(now, word.seen);
            }
            return changed;
        }
        let polled = word.seen == Seen::Reached;
        member.stated |= polled && word.life.is_some();
        let back = word.life.is_none() && polled && since.is_some_and(|s| member.back_unstated(s));
        let next = if back {
            Some(member.next_life())
        } else {
            word.life
        };
        if let Some(life) = next {
            self.begin(now, endpoint, life);
        }
        if let Some(since) = since {
            self.confirm(endpoint, since);
        }
        self.seen(now, endpoint, word.seen)
    }

    /// Notes that a peer polled an endpoint, which was not leaving, at most one summary interval
    /// and [`pollers::TRANSIT`] before it sent the report; gives the new state if it changed.
    pub fn reported(
        &mut self,
        now: Time,
        endpoint: EndpointKey,
        incarnation: Incarnation,
        interval: Millis,
    ) -> Option<State> {
        let member = self.members.get_mut(endpoint)?;
        if incarnation < member.life {
            return None;
        }
        member.reached_by_peer();
        self.begin(now, endpoint, incarnation);
        if !self.wake.settling(now) {
            let since = now - interval - pollers::TRANSIT - pollers::TRANSIT;
            self.confirm(endpoint, since);
        }
        self.changed(now, endpoint)
    }

    /// Notes whether a peer was reached.
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

    /// Notes an observation of an endpoint's health; gives the new state if it changed.
    pub fn seen(&mut self, now: Time, endpoint: EndpointKey, seen: Seen) -> Option<State> {
        let settling = self.wake.settling(now);
        let member = self.members.get_mut(endpoint)?;
        match seen {
            Seen::Answered | Seen::Finished => member.answered(now),
            Seen::Reached => member.reached(now),
            // What failed while this process was paused is not the endpoint's fault.
            _ if settling => {}
            Seen::Refused => member.refused(now),
            Seen::Silent => member.silent(now),
            Seen::Unreached => {
                member.told();
                member.unreached(now);
            }
        }
        if member.failed() {
            self.blame(now, endpoint);
        }
        self.changed(now, endpoint)
    }

    /// Notes that one life of an endpoint is leaving. This sticks until a later life is seen.
    pub fn leaving(
        &mut self,
        now: Time,
        endpoint: EndpointKey,
        incarnation: Incarnation,
    ) -> Option<State> {
        let member = self.members.get_mut(endpoint)?;
        if incarnation < member.life {
            return None;
        }
        member.leave(incarnation);
        self.changed(now, endpoint)
    }

    /// Notes the platform's list of VMs of the given age; gives the states that changed.
    ///
    /// The list lags and differs between routers. It is believed when it says that a VM leaves,
    /// unless it is older than what it said before or than the VM's present life. That a VM is
    /// live or missing changes little: only what the endpoint says itself confirms it.
    pub fn listed(
        &mut self,
        now: Time,
        age: Millis,
        vms: &[(EndpointKey, VmState)],
    ) -> Vec<(EndpointKey, State)> {
        self.heard = now;
        let date = now - age;
        let named: SecondaryMap<EndpointKey, VmState> = vms.iter().copied().collect();
        for (key, member) in &mut self.members {
            list(now, date, member, named.get(key).copied());
        }
        self.changes(now)
    }

    /// Lists the endpoints that are leaving.
    pub fn all_leaving(&self) -> impl Iterator<Item = (EndpointKey, Incarnation)> {
        let leaving = self.members.iter().filter(|(_, m)| m.leaving);
        leaving.map(|(key, m)| (key, m.life))
    }

    /// Lists the endpoints that need a probe on a new connection now. The caller says
    /// [`View::asked`] of each.
    pub fn to_probe(&mut self, now: Time) -> Vec<EndpointKey> {
        self.due(now, |m| m.probe_due(now))
    }

    /// Lists the endpoints that this router should poll now. The caller says [`View::asked`] of
    /// each.
    pub fn to_poll(&mut self, now: Time, policy: &Policy) -> Vec<EndpointKey> {
        self.due(now, |m| m.poll_due(now, pollers::patience(policy, m.rank)))
    }

    /// Tells whether an endpoint may be polled out of turn now, and counts that poll. The caller
    /// says [`View::asked`] of it.
    pub fn spare_poll(&mut self, now: Time, endpoint: EndpointKey) -> bool {
        let free = self.members.get(endpoint).is_some_and(|m| m.may_ask(now));
        free && !self.wake.settling(now) && self.meter.take(now, 1) == 1
    }

    /// Notes that an endpoint is being polled or probed.
    pub fn asked(&mut self, now: Time, endpoint: EndpointKey) {
        if let Some(member) = self.members.get_mut(endpoint) {
            member.ask(now);
        }
    }

    /// Gives the states that changed since they were last given, also by time alone.
    pub fn changes(&mut self, now: Time) -> Vec<(EndpointKey, State)> {
        if self.cut.is_some() {
            self.check_link(now);
        }
        let mut changes = Vec::new();
        for (key, member) in &mut self.members {
            let state = member.state(now);
            if member.given != state {
                member.given = state;
                changes.push((key, state));
            }
        }
        changes
    }

    fn begin(&mut self, now: Time, endpoint: EndpointKey, life: Incarnation) {
        let Some(member) = self.members.get_mut(endpoint) else {
            return;
        };
        if life > member.life {
            member.begin(now, life);
        }
    }

    /// Lists the endpoints that `wanted` picks, as many as [`pollers::BUDGET`] leaves: those that
    /// this router is first to ask, then those that others should ask, longest unasked first. While
    /// a region is cut off its endpoints are wanted without end; they must not take the turns of
    /// the own ones, which get no work when nobody asks them.
    fn due(&mut self, now: Time, wanted: impl Fn(&Member) -> bool) -> Vec<EndpointKey> {
        if self.wake.settling(now) {
            return Vec::new();
        }
        let due = self.members.iter().filter(|(_, m)| wanted(m));
        let mut due: Vec<_> = due.map(|(key, m)| (m.rank, m.last_asked(), key)).collect();
        due.sort();
        due.truncate(self.meter.take(now, due.len()));
        due.into_iter().map(|(_, _, key)| key).collect()
    }

    fn confirm(&mut self, endpoint: EndpointKey, since: Time) {
        if let Some(member) = self.members.get_mut(endpoint) {
            member.confirm(since);
        }
    }

    /// Counts an endpoint as down, unless most others fail as well: then the fault is this
    /// router's link, and those that fell in the last moments are taken back, too.
    fn blame(&mut self, now: Time, endpoint: EndpointKey) {
        if self.check_link(now) {
            for (_, member) in &mut self.members {
                if member.failed() || member.fell_within(now, link::ONSET) {
                    member.excuse(now);
                }
            }
        } else if let Some(member) = self.members.get_mut(endpoint) {
            member.fall(now);
        }
    }

    fn check_link(&mut self, now: Time) -> bool {
        let mut tally = Tally::default();
        self.members
            .values()
            .for_each(|m| tally.add(now, m.contact));
        self.peers.values().for_each(|c| tally.add(now, *c));
        let fault = tally.fault();
        self.cut = fault.then(|| self.cut.unwrap_or(now));
        fault
    }

    fn changed(&mut self, now: Time, endpoint: EndpointKey) -> Option<State> {
        let member = self.members.get_mut(endpoint)?;
        let state = member.state(now);
        let changed = member.given != state;
        member.given = state;
        changed.then_some(state)
    }
}

/// Notes what a list made at `date` says of one endpoint, `None` when it doesn't name it.
fn list(now: Time, date: Time, member: &mut Member, state: Option<VmState>) {
    let before = member.listed;
    if before.is_some_and(|l| date < l.date) {
        return;
    }
    if before.is_none() && state.is_none() {
        // The platform doesn't know this endpoint at all, so that says nothing.
        return;
    }
    member.listed = Some(Listed { date, state });
    match state {
        Some(VmState::Leaving) if date >= member.born => member.leaving = true,
        // The list may mean the life before this one: ask the endpoint before it gets new work.
        Some(VmState::Leaving) => {
            if member.doubt.is_none_or(|d| d < member.born) {
                member.doubt = Some(now);
            }
        }
        Some(VmState::Live) => {
            member.missing = None;
            let was_gone = before.is_some_and(|l| l.state != Some(VmState::Live));
            if was_gone && member.leaving && !member.stated {
                // An endpoint that never states its life would otherwise be lost for ever.
                let next = member.next_life();
                member.begin(now, next);
                member.doubt = Some(now);
            }
        }
        None => member.missing = member.missing.or(Some(now)),
    }
}
