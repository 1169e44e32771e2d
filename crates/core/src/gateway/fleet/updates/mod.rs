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

impl Gateway {
    /// Expires what has timed out; called every 100 ms.
    pub fn tick(&mut self, now: Time) -> Vec<RegistryEvent> {
        if now.since(self.last_tick) >= SUSPENSION_GAP {
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
}
