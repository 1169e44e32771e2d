//! The state that this router keeps for the limit of one workspace.

use std::collections::VecDeque;

use super::{
    Demand, GRANT_DEMAND_SPAN, IDLE_TIMEOUT, LOW_WATER_SPAN, MAX_WAIT, Scene, Verdict,
    bucket::Bucket,
    refuse,
    share::{
        HeldGrants,
        StaticShare, //
    },
};
use crate::{
    arena::RouterKey,
    config::Priority,
    request::Call,
    units::{
        Millis,
        Time, //
    },
};

/// `Pending` is a grant request without an answer yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pending {
    /// The router that it was sent to.
    pub(super) home: RouterKey,
    /// Number of the grant request; sending it again keeps the number, so that one answer counts.
    pub(super) nonce: u64,
    /// When it was first sent.
    pub(super) first_sent: Time,
    /// When it was last sent.
    pub(super) last_sent: Time,
    /// Requests wanted.
    pub(super) want: u32,
    /// How often it was sent.
    pub(super) sends: u32,
    /// Whether it went to the home under the previous fleet list.
    pub(super) to_predecessor: bool,
}

impl Pending {
    pub(super) fn new(now: Time, home: RouterKey, want: u32, nonce: u64) -> Self {
        Self {
            home,
            nonce,
            first_sent: now,
            last_sent: now,
            want,
            sends: 1,
            to_predecessor: false,
        }
    }
}

/// `Waiting` is a call that waits for a grant.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub(super) call: Call,
    pub(super) priority: Priority,
    pub(super) since: Time,
}

/// `WorkspaceState` is this router's state of one workspace's limit.
#[derive(Debug, Default)]
pub(super) struct WorkspaceState {
    /// Recent requests at this router.
    pub(super) demand: Demand,
    /// Grants with requests left.
    pub(super) grants: HeldGrants,
    /// The grant request without an answer yet.
    pub(super) pending: Option<Pending>,
    /// Waiting calls, highest priority first, then oldest first.
    pub(super) waiting: VecDeque<Waiting>,
    /// Until when the home has nothing more to grant.
    pub(super) refuse_until: Time,
    /// When the home stated that time.
    pub(super) refused_at: Time,
    /// The router that stated it.
    pub(super) refused_by: Option<RouterKey>,
    /// The fallback bucket, while no home answers.
    pub(super) static_share: Option<StaticShare>,
    /// Requests that peers asked of this router although it is not the home.
    pub(super) relayed: u32,
    /// The bucket, while this router is the home.
    pub(super) bucket: Option<Bucket>,
    /// Whether another router has confirmed that this router is the home.
    pub(super) home_confirmed: bool,
    /// When the published home was last probed.
    pub(super) last_probe: Time,
    /// When the last request arrived.
    pub(super) last_request: Time,
}

impl WorkspaceState {
    /// Gets the number of requests to ask for: those that wait, and the expected demand of
    /// [`GRANT_DEMAND_SPAN`].
    pub(super) fn want(&self, now: Time) -> u32 {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        let expected = self.demand.within(now, GRANT_DEMAND_SPAN);
        let ahead = if expected < 2 { 0 } else { expected };
        let ahead = ahead.saturating_sub(self.grants.left(now));
        (waiting.saturating_add(self.relayed))
            .saturating_add(ahead)
            .max(1)
    }

    /// Tells whether the grants will be used up so soon that the next one has to be requested now.
    pub(super) fn needs_refill(&self, now: Time) -> bool {
        self.demand.within(now, GRANT_DEMAND_SPAN) >= 2
            && self.grants.left(now) < self.demand.within(now, LOW_WATER_SPAN).max(1)
    }

    /// Tells whether calls or peers wait for requests.
    pub(super) fn has_unmet_demand(&self) -> bool {
        !self.waiting.is_empty() || self.relayed > 0
    }

    /// Tells whether the pending grant request has had no answer for as long as a call may wait.
    pub(super) fn is_unanswered(&self, now: Time) -> bool {
        self.pending
            .is_some_and(|p| now.since(p.first_sent) >= MAX_WAIT)
    }

    /// Tells whether this state can be removed.
    pub(super) fn is_idle(&self, now: Time) -> bool {
        let busy = self.bucket.is_some() || self.home_confirmed || self.pending.is_some();
        !busy && !self.has_unmet_demand() && now.since(self.last_request) >= IDLE_TIMEOUT
    }

    /// Adds a call to the queue.
    pub(super) fn enqueue(&mut self, waiting: Waiting) {
        let goes_first = |w: &Waiting| w.priority >= waiting.priority;
        let at = self.waiting.partition_point(goes_first);
        self.waiting.insert(at, waiting);
    }

    /// Admits as many waiting calls as the grants allow.
    pub(super) fn admit_waiting(&mut self, now: Time, mut admit: impl FnMut(Call)) {
        let count = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        let taken = self.grants.take(now, count);
        for waiting in self.waiting.drain(..taken as usize) {
            admit(waiting.call);
        }
    }

    /// Refuses the calls that can't wait until the home has more to grant.
    pub(super) fn refuse_waiting(&mut self, now: Time, mut refuse: impl FnMut(Call, Millis)) {
        let until = self.refuse_until;
        self.waiting.retain(|w| {
            let stays = until < w.since + MAX_WAIT;
            if !stays {
                refuse(w.call, until.since(now));
            }
            stays
        });
    }

    /// Removes a call that has waited for [`MAX_WAIT`], if there is one.
    pub(super) fn overdue(&mut self, now: Time) -> Option<Waiting> {
        let is_overdue = |w: &Waiting| now.since(w.since) >= MAX_WAIT;
        let at = self.waiting.iter().position(is_overdue)?;
        self.waiting.remove(at)
    }

    /// Admits or refuses a call by the static share.
    pub(super) fn static_verdict(&mut self, scene: Scene, routers: usize, call: Call) -> Verdict {
        let share = self.static_share.get_or_insert(StaticShare::new(scene.now));
        if share.take(scene.now, scene.limit, routers) {
            return Verdict::Admit;
        }
        refuse(scene.me, call, super::MIN_RETRY_AFTER)
    }
}
