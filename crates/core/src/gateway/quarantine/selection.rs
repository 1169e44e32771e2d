//! Which records a digest tells: the changed ones and those in force, from each priority tier in turn.

use crate::{
    gateway::{
        fingerprint::Fingerprint,
        quarantine::{
            crash::Record,
            suspect::Suspect, //
        },
    },
    units::{
        Millis,
        Time, //
    },
};

/// Time for which a change is announced to peers: a few times the time in which gossip reaches all
/// routers.
const ANNOUNCEMENT_PERIOD: Millis = Millis(3000);
/// Interval between digests that announce quarantined requests again, for routers that started
/// later or were cut off.
const REANNOUNCEMENT_INTERVAL: Millis = Millis(500);
/// Number of priority tiers of records: 0 for requests that are quarantined or were answered
/// repeatedly, 1 for those with several crashes, 2 for the rest.
const TIERS: usize = 3;
/// Orders in which successive digests take the tiers: requests that are likely to be quarantined
/// soon must not wait for the rest, but the rest must be sent, too.
const TIER_ORDERS: [[usize; TIERS]; 4] = [[0, 1, 2], [1, 0, 2], [0, 1, 2], [2, 1, 0]];
/// Limit of the records in a digest.
pub const MAX_DIGEST_RECORDS: usize = 5;
/// Limit of the crashes in a digest.
pub const MAX_DIGEST_CRASHES: usize = 6;

/// `RecordSelection` picks the records for digests.
#[derive(Clone, Debug, Default)]
pub(super) struct RecordSelection {
    /// When quarantined requests were last announced again.
    last_reannounced: Time,
    /// Index into [`TIER_ORDERS`] for the next digest, and the next record of each tier.
    tier_order: usize,
    next_in_tier: [usize; TIERS],
}

impl RecordSelection {
    /// Picks the records for a digest that has room for so many records and crashes, from each tier
    /// in turn. Many requests that were in progress at a crash by chance must not keep the others
    /// from being sent.
    ///
    /// Each suspect comes with whether it is quarantined, and with its tier.
    pub(super) fn pick<'a>(
        &mut self,
        now: Time,
        suspects: impl Iterator<Item = (Fingerprint, &'a Suspect, bool, usize)>,
        (most_records, most_crashes): (usize, usize),
    ) -> Vec<Record> {
        let reannounces = now.since(self.last_reannounced) >= REANNOUNCEMENT_INTERVAL;
        if reannounces {
            self.last_reannounced = now;
        }
        let mut tiers: [Vec<(Fingerprint, &Suspect)>; TIERS] = Default::default();
        for (request, suspect, is_held, tier) in suspects {
            let new = now.since(suspect.last_changed) < ANNOUNCEMENT_PERIOD;
            if new || (reannounces && is_held) {
                tiers[tier].push((request, suspect));
            }
        }
        self.tier_order = (self.tier_order + 1) % TIER_ORDERS.len();
        let mut records = Vec::with_capacity(most_records);
        let mut room = most_crashes;
        for tier in TIER_ORDERS[self.tier_order] {
            for _ in 0..tiers[tier].len() {
                let (request, suspect) = tiers[tier][self.next_in_tier[tier] % tiers[tier].len()];
                if records.len() == most_records || suspect.crashes.len() > room {
                    break;
                }
                room -= suspect.crashes.len();
                records.push(suspect.record(now, request));
                self.next_in_tier[tier] = self.next_in_tier[tier].wrapping_add(1);
            }
        }
        records
    }
}
