//! Updates of a gateway's knowledge: changes of the registry and when it was last read, the other
//! routers, and what they report of endpoints and requests.
//!
//! The load that it answers: many changes at once, and messages that waited while this process was
//! suspended.
//!
//! - this file: what expires with time.
//! - `registry`: the changes of the registry.
//! - `peers`: what peers are told, and what they report.
//! - `shares`: this router's parts of what the fleet may do together.

use crate::{
    gateway::Gateway,
    units::{
        Millis,
        Time, //
    },
};

mod peers;
mod registry;
mod shares;

pub use peers::DigestContents;
pub use registry::{
    Change,
    RegistryEvent, //
};

pub(in crate::gateway) use registry::warmup_time;

/// Time between two ticks that shows that the process was suspended. Ticks are 100 ms apart, and a
/// busy machine delays one by two or three of them.
const SUSPENSION_GAP: Millis = Millis(400);
/// Time after a suspension within which the messages that arrived during it are read.
const RESUME_DRAIN_TIME: Millis = Millis(100);

impl Gateway {
    /// Expires what has timed out; called every 100 ms.
    pub fn tick(&mut self, now: Time) -> Vec<RegistryEvent> {
        if self.is_late(now) {
            self.suspended_at = self.last_tick;
            self.resumed_at = now;
        }
        self.last_tick = now;
        let mut events = std::mem::take(&mut self.events);
        self.registry
            .expire(now, self.bounds.lapse_grace, &mut events);
        self.registry.end_back_offs(now, &mut events);
        let liveness_since = |life, since| self.registry.liveness_since(life, since);
        self.quarantine
            .judge_unproved(now, &mut self.part_quarantine, liveness_since);
        self.quarantine
            .expire(now, self.bounds.hold, liveness_since);
        self.part_quarantine
            .expire(now, self.bounds.hold, liveness_since);
        self.tick_streams(now);
        events
    }

    /// Tells whether the next tick is so late that the process was suspended.
    pub(in crate::gateway) fn is_late(&self, now: Time) -> bool {
        self.last_tick > Time(0) && now.since(self.last_tick) >= SUSPENSION_GAP
    }

    /// Tells whether messages that are read now may have waited here while the process was suspended.
    pub(in crate::gateway) fn reads_backlog(&self, now: Time) -> bool {
        self.is_late(now) || self.resumed_within(now, RESUME_DRAIN_TIME)
    }

    /// Tells whether the process resumed after a suspension less than a time ago.
    pub(in crate::gateway) fn resumed_within(&self, now: Time, time: Millis) -> bool {
        self.resumed_at > Time(0) && now.since(self.resumed_at) < time
    }

    /// Gets the part of a time in which the process was last suspended.
    fn suspended_within(&self, from: Time, to: Time) -> Millis {
        self.resumed_at.min(to).since(self.suspended_at.max(from))
    }
}
