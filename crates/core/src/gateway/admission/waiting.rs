//! Who is sent at once, who waits and who is turned away where a plain service is short of room.
//!
//! Each of many routers sends a plain service a few requests a second, and its endpoints state no load. What they reject
//! and how long requests wait there tell all routers alike how busy they are. A router admits a fraction
//! of its requests that falls with that delay, the most urgent rank first and then workspaces in equal
//! parts. The others wait as long as they can still be on time, or are turned away at once.

use bytes::Bytes;
use indexmap::IndexMap;

use crate::{
    arena::EndpointKey,
    gateway::{
        Gateway,
        MIN_RETRY_DELAY,
        Ticket,
        attempt::FULL_RETRY_DELAY,
        fraction,
        refusal::{
            Cause,
            Refusal, //
        },
        remaining_fraction, //
    },
    units::{
        Millis,
        Time, //
    },
};

/// Delay from which not all requests are admitted, in parts of the goal.
const PRESSURE_FROM: f32 = 0.8;
/// Delay from which only [`MIN_FRACTION`] is admitted, in parts of the goal.
const PRESSURE_FULL: f32 = 1.6;
/// Least fraction that is admitted: without any answers, no router would learn that there is room again.
const MIN_FRACTION: f32 = 0.3;
/// Multiple of the goal that a rejection counts as in an endpoint's delay.
const REJECTED_GOAL_MULTIPLE: u64 = 2;
/// Multiple of the others' mean up to which a workspace's requests enlarge what is divided.
const COUNTED_MULTIPLE: f32 = 2.0;
/// Time in which a count of recent requests halves.
const COUNT_HALF_LIFE: Millis = Millis(2000);
/// Count below which a sender is forgotten.
const MIN_COUNT: f32 = 0.1;
/// Part of the admitted fraction below which a sender has more than its share; sums of counts are not exact.
const EQUAL: f32 = 0.999;
/// Senders that are counted for a service; beyond it the one with the least count is evicted.
const MAX_SENDERS: usize = 64;
/// Requests that wait; beyond it requests are turned away at once.
const MAX_WAITING: usize = 64;
/// Bytes of the bodies of requests that wait; beyond it requests are turned away at once.
const MAX_WAITING_BYTES: usize = 1 << 20;
/// Time after which a request that waits looks again.
const RECHECK_INTERVAL: Millis = Millis(10);

/// `Sender` is a rank and a workspace's tag.
type Sender = (u8, u64);

/// `Demand` is the recent requests for a service, by sender.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    counts: IndexMap<Sender, f32>,
    decayed: Time,
}

impl Demand {
    /// Counts a request.
    pub fn record(&mut self, now: Time, sender: Sender) {
        self.decay(now);
        *self.counts.entry(sender).or_default() += 1.0;
        if self.counts.len() > MAX_SENDERS {
            let least = self.counts.iter().filter(|(s, _)| **s != sender);
            let least = least.min_by(|a, b| a.1.total_cmp(b.1)).map(|(s, _)| *s);
            if let Some(least) = least {
                self.counts.swap_remove(&least);
            }
        }
    }

    fn decay(&mut self, now: Time) {
        let left = remaining_fraction(now.since(self.decayed), COUNT_HALF_LIFE);
        self.decayed = now;
        self.counts.retain(|_, count| {
            *count *= left;
            *count >= MIN_COUNT
        });
    }

    /// Counts the senders.
    pub fn senders(&self) -> usize {
        self.counts.len()
    }

    /// Gets the fraction of a sender's requests that is admitted if `fraction` of all is.
    pub fn part(&self, sender: Sender, fraction: f32) -> f32 {
        let mut room = fraction * self.counted();
        let before = self.counts.iter().filter(|((rank, _), _)| *rank < sender.0);
        room -= before.map(|(_, count)| *count).sum::<f32>();
        let own = self.counts.get(&sender).copied().unwrap_or(1.0);
        let alike = self
            .counts
            .iter()
            .filter(|((rank, _), _)| *rank == sender.0);
        let mut alike: Vec<f32> = alike.map(|(_, count)| *count).collect();
        alike.sort_by(f32::total_cmp);
        (equal_share(&alike, room) / own).clamp(0.0, 1.0)
    }

    /// Sums what is divided: each workspace's requests, up to a multiple of the others' mean.
    #[expect(clippy::cast_precision_loss, reason = "senders are few")]
    fn counted(&self) -> f32 {
        let all: f32 = self.counts.values().sum();
        let others = self.counts.len().saturating_sub(1);
        if others == 0 {
            return all;
        }
        let counts = self.counts.values();
        counts
            .map(|count| count.min((all - count) / others as f32 * COUNTED_MULTIPLE))
            .sum()
    }
}

/// Gets the greatest amount that each of `counts` may take of `room` if those that need less leave the rest to
/// the others; `counts` ascend.
#[expect(clippy::cast_precision_loss, reason = "senders are few")]
fn equal_share(counts: &[f32], mut room: f32) -> f32 {
    for (index, count) in counts.iter().enumerate() {
        let share = room / (counts.len() - index) as f32;
        if *count > share {
            return share.max(0.0);
        }
        room -= count;
    }
    f32::INFINITY
}

/// `Waiting` is what a router knows of demand for plain services, and what waits here.
#[derive(Clone, Debug, Default)]
pub struct Waiting {
    demand: IndexMap<Bytes, Demand>,
    requests: usize,
    bytes: usize,
}

impl Waiting {
    /// Counts the requests that wait.
    pub fn requests(&self) -> usize {
        self.requests
    }

    /// Forgets the demand for services that are no longer published.
    pub(in crate::gateway) fn retain(&mut self, is_published: impl Fn(&Bytes) -> bool) {
        self.demand.retain(|service, _| is_published(service));
    }
}

/// `Claim` is a request's claim to be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Number drawn for it, from 0 to 1: it goes where that is below its sender's part.
    draw: f32,
    /// Until when it may wait, as it can still be on time.
    last: Time,
    /// Bytes of its body.
    bytes: usize,
    /// Whether it waits.
    waits: bool,
}

/// `Pressure` is how short of room a service is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pressure {
    /// Least delay of its endpoints.
    pub delay: Millis,
    /// Fraction of the requests that is admitted.
    pub fraction: f32,
}

/// `Turn` says what a request does now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Turn {
    /// It is placed.
    Go,
    /// It looks again after this time.
    Wait(Millis),
    /// It is turned away.
    Refuse(Refusal),
}

impl Gateway {
    /// Counts a request that is about to be sent for the first time, whose caller began at `began`; `None`
    /// if its service has room.
    pub fn claim(
        &mut self,
        now: Time,
        ticket: &Ticket,
        (began, bytes): (Time, usize),
    ) -> Option<Claim> {
        if ticket.from_peer || !ticket.tried.is_empty() || !self.is_plain(now, ticket) {
            return None;
        }
        let sender = (ticket.priority, ticket.workspace_tag());
        let demand = self.waiting.demand.entry(ticket.service.clone());
        demand.or_default().record(now, sender);
        self.pressure(now, ticket)?;
        let draw = fraction(self.draw());
        Some(Claim {
            draw,
            last: began + Millis(ticket.route.goal.0 / 2),
            bytes,
            waits: false,
        })
    }

    /// Decides about a request that has a claim. One that waits ends with [`Gateway::leave`].
    pub fn turn(&mut self, now: Time, ticket: &Ticket, claim: &mut Claim) -> Turn {
        let Some(pressure) = self.pressure(now, ticket) else {
            return Turn::Go;
        };
        let part = self.part(ticket, pressure.fraction);
        if claim.draw < part {
            return Turn::Go;
        }
        let has_excess = part < pressure.fraction * EQUAL;
        let has_room = claim.waits
            || (self.waiting.requests < MAX_WAITING
                && self.waiting.bytes + claim.bytes <= MAX_WAITING_BYTES);
        let left = claim.last.since(now);
        if left > Millis(0) && !has_excess && has_room {
            if !claim.waits {
                claim.waits = true;
                self.waiting.requests += 1;
                self.waiting.bytes += claim.bytes;
            }
            return Turn::Wait(RECHECK_INTERVAL.min(left));
        }
        let wait = retry_delay_in_order(now, ticket, (claim.draw - part) / (1.0 - part));
        let refusal = Refusal::with_retry_after(Cause::Overloaded, wait, ticket.may_have_run);
        Turn::Refuse(refusal)
    }

    /// Gets the fraction of the requests of a request's sender that is admitted now.
    pub fn admitted_part(&self, now: Time, ticket: &Ticket) -> f32 {
        let pressure = self.pressure(now, ticket);
        pressure.map_or(1.0, |p| self.part(ticket, p.fraction))
    }

    fn part(&self, ticket: &Ticket, fraction: f32) -> f32 {
        let sender = (ticket.priority, ticket.workspace_tag());
        let demand = self.waiting.demand.get(&ticket.service);
        demand.map_or(fraction, |d| d.part(sender, fraction))
    }

    /// Ends a claim: the request goes, is turned away, or its caller left.
    pub fn leave(&mut self, claim: &Claim) {
        if claim.waits {
            self.waiting.requests = self.waiting.requests.saturating_sub(1);
            self.waiting.bytes = self.waiting.bytes.saturating_sub(claim.bytes);
        }
    }

    /// Gets what waits here.
    pub fn waiting(&self) -> &Waiting {
        &self.waiting
    }

    /// Gets how short of room a request's service is; `None` if it has room.
    pub fn pressure(&self, now: Time, ticket: &Ticket) -> Option<Pressure> {
        if !self.is_plain(now, ticket) {
            return None;
        }
        let all = self.registry.of(&ticket.service);
        let open = all.filter(|(key, e)| !e.paused(now) && self.is_confirmed(now, *key));
        let delay = open
            .filter_map(|(_, e)| e.mean_delay(now))
            .reduce(f32::min)?;
        let fraction = admitted_fraction(delay, ticket.route.goal);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "delays are small positive numbers"
        )]
        (fraction < 1.0).then_some(Pressure {
            delay: Millis(delay as u64),
            fraction,
        })
    }

    /// Notes that an endpoint rejected a request for want of room: it has more waiting than callers can use.
    pub(in crate::gateway) fn record_full(
        &mut self,
        now: Time,
        ticket: &Ticket,
        endpoint: EndpointKey,
    ) {
        if self.is_plain(now, ticket) {
            let delay = Millis(ticket.route.goal.0 * REJECTED_GOAL_MULTIPLE);
            self.registry.record_delay(now, endpoint, delay);
        }
    }

    /// Tells whether speeds vary and the service is no engine's.
    fn is_plain(&self, now: Time, ticket: &Ticket) -> bool {
        let service = || self.catalog.as_ref()?.service(&ticket.service);
        self.variability.is_stated(now)
            && !ticket.route.kind.streams()
            && service().is_some_and(|s| s.engine.is_none())
    }
}

/// Gets the fraction of requests that is admitted while an endpoint's answers take `delay`.
#[expect(clippy::cast_precision_loss, reason = "goals are small numbers")]
fn admitted_fraction(delay: f32, goal: Millis) -> f32 {
    let delay = delay / goal.0.max(1) as f32;
    let over = (delay - PRESSURE_FROM) / (PRESSURE_FULL - PRESSURE_FROM);
    (1.0 - over).clamp(MIN_FRACTION, 1.0)
}

/// Gets the retry delay of a request that is turned away; `distance` from 0 to 1 is how far it is from being
/// admitted, so that those who return find room in order.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "a part of a second"
)]
fn retry_delay_in_order(now: Time, ticket: &Ticket, distance: f32) -> Millis {
    let spread = (distance.clamp(0.0, 1.0) * FULL_RETRY_DELAY.0 as f32) as u64;
    Millis((MIN_RETRY_DELAY.0 + spread).min(ticket.deadline.since(now).0 / 3))
}
