//! What this router keeps of one workspace.

use std::collections::VecDeque;

use super::{
    BATCH, Demand, IDLE, LOW_WATER, MAX_WAIT, Scene, Verdict,
    bucket::Bucket,
    refuse,
    share::{
        Lots,
        Static, //
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

/// `Pending` is a question on its way.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pending {
    /// Who was asked.
    pub(super) home: RouterKey,
    /// Number of the question; asking again keeps it, so that only one answer counts.
    pub(super) nonce: u64,
    /// When it was first asked.
    pub(super) at: Time,
    /// When it was last asked.
    pub(super) sent: Time,
    /// Requests wanted.
    pub(super) want: u32,
    /// How often it was asked.
    pub(super) asks: u32,
    /// Whether that router is asked as the home before the last change of the fleet.
    pub(super) is_old: bool,
}

impl Pending {
    pub(super) fn new(now: Time, home: RouterKey, want: u32, nonce: u64) -> Self {
        Self {
            home,
            nonce,
            at: now,
            sent: now,
            want,
            asks: 1,
            is_old: false,
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

/// `Row` is one workspace at this router.
#[derive(Debug, Default)]
pub(super) struct Row {
    /// Recent demand here.
    pub(super) demand: Demand,
    /// Grants not used up.
    pub(super) lots: Lots,
    /// The question on its way.
    pub(super) pending: Option<Pending>,
    /// Calls that wait, highest priority first, then oldest first.
    pub(super) waiting: VecDeque<Waiting>,
    /// Until when the home has nothing more to grant.
    pub(super) refuse_until: Time,
    /// When it said so.
    pub(super) refused: Time,
    /// The router that said so.
    pub(super) refuser: Option<RouterKey>,
    /// The static share, while no home answers.
    pub(super) static_share: Option<Static>,
    /// Requests that peers wanted of this router though it is not the home.
    pub(super) relayed: u32,
    /// The bucket, while this router is the home.
    pub(super) bucket: Option<Bucket>,
    /// Whether another router has said that this one is the home.
    pub(super) handed: bool,
    /// When the published home was last asked for a sign of life.
    pub(super) probed: Time,
    /// When a request last came.
    pub(super) used: Time,
}

impl Row {
    /// Gets the number to ask for: what waits, and a batch for what is to come.
    pub(super) fn want(&self, now: Time) -> u32 {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        let batch = self.demand.within(now, BATCH);
        let ahead = if batch < 2 { 0 } else { batch };
        let ahead = ahead.saturating_sub(self.lots.left(now));
        (waiting.saturating_add(self.relayed))
            .saturating_add(ahead)
            .max(1)
    }

    /// Tells whether the grants run out so soon that more must be asked for ahead.
    pub(super) fn is_low(&self, now: Time) -> bool {
        self.demand.within(now, BATCH) >= 2
            && self.lots.left(now) < self.demand.within(now, LOW_WATER).max(1)
    }

    /// Tells whether calls or peers want more than there is.
    pub(super) fn is_wanting(&self) -> bool {
        !self.waiting.is_empty() || self.relayed > 0
    }

    /// Tells whether the question on its way has had no answer for as long as a call may wait.
    pub(super) fn is_unanswered(&self, now: Time) -> bool {
        self.pending.is_some_and(|p| now.since(p.at) >= MAX_WAIT)
    }

    /// Tells whether nothing here is worth keeping.
    pub(super) fn is_idle(&self, now: Time) -> bool {
        let busy = self.bucket.is_some() || self.handed || self.pending.is_some();
        !busy && !self.is_wanting() && now.since(self.used) >= IDLE
    }

    /// Puts a call into the line.
    pub(super) fn wait(&mut self, waiting: Waiting) {
        let before = |w: &Waiting| w.priority >= waiting.priority;
        let at = self.waiting.partition_point(before);
        self.waiting.insert(at, waiting);
    }

    /// Admits as many waiting calls as there are grants for.
    pub(super) fn admit_waiting(&mut self, now: Time, mut admit: impl FnMut(Call)) {
        let count = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        let taken = self.lots.take(now, count);
        for waiting in self.waiting.drain(..taken as usize) {
            admit(waiting.call);
        }
    }

    /// Refuses the waiting calls that cannot wait until the home has more.
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

    /// Takes out a call that has waited as long as it may.
    pub(super) fn overdue(&mut self, now: Time) -> Option<Waiting> {
        let late = |w: &Waiting| now.since(w.since) >= MAX_WAIT;
        let at = self.waiting.iter().position(late)?;
        self.waiting.remove(at)
    }

    /// Decides a call by the static share.
    pub(super) fn static_verdict(&mut self, scene: Scene, routers: usize, call: Call) -> Verdict {
        let share = self.static_share.get_or_insert(Static::new(scene.now));
        if share.take(scene.now, scene.limit, routers) {
            return Verdict::Admit;
        }
        refuse(scene.me, call, super::MIN_RETRY)
    }
}
