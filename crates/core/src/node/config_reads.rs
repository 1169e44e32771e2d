//! The schedule by which a router reads the configuration service.
//!
//! The service counts every call of every reader, including a watch that waits for a change. So
//! only a few routers of each region watch it (`config_readers`, chosen by rendezvous hashing). The
//! others learn of a newer revision from their peers' summaries and pull it from a peer. They still
//! read the service at long intervals, in case all readers have lost it without noticing.

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

use crate::{
    arena::RouterKey,
    config::Config,
    ids::rendezvous,
    units::{
        Millis,
        Time, //
    },
};

/// Mean time between the starts of two reads when the first brought no change. Without this delay,
/// every router would ask at every tick a service that is down or that answers at once without a
/// change.
pub(super) const READ_RETRY_INTERVAL: Millis = Millis(1000);

/// Extra time between the reads of a router that is not one of its region's readers.
pub(super) const NON_READER_INTERVAL: Millis = Millis::from_secs(30);

/// Time without a message from any peer after which a router reads as if it were a reader.
pub(super) const PEER_SILENCE_TIMEOUT: Millis = Millis::from_secs(3);

/// Shortest time between two pulls, so that the summaries of further peers don't repeat one that is
/// in progress.
pub(super) const MIN_PULL_INTERVAL: Millis = Millis(300);

/// Item of the rendezvous hash that ranks a region's routers as readers.
const READER_RANKING_ITEM: u64 = 0x636f_6e66;

/// `ConfigReads` schedules this router's reads of the service and its pulls from peers.
#[derive(Debug)]
pub(super) struct ConfigReads {
    /// A generator of its own, so that the number of failed reads does not change the placement of
    /// requests.
    rng: StdRng,
    /// When the read in progress started.
    read_started: Option<Time>,
    /// Earliest start of the next read by a reader.
    not_before: Time,
    /// When the last pull from a peer started.
    last_pull: Option<Time>,
    /// Whether this router is not one of its region's readers.
    is_non_reader: bool,
}

impl ConfigReads {
    /// Makes the schedule of a router that has read nothing yet.
    pub(super) fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed ^ READER_RANKING_ITEM),
            read_started: None,
            not_before: Time::default(),
            last_pull: None,
            is_non_reader: false,
        }
    }

    /// Applies a new configuration; `me` is `None` while this router is not in the fleet list.
    pub(super) fn apply(&mut self, config: &Config, me: Option<RouterKey>) {
        self.is_non_reader = me.is_some_and(|me| !is_reader(config, me));
        self.last_pull = None;
    }

    /// Starts a read if one is due, and tells whether it did. `last_heard` is when the last message
    /// of any peer arrived.
    pub(super) fn begin(&mut self, now: Time, last_heard: Option<Time>) -> bool {
        let peers_silent = last_heard.is_none_or(|t| now.since(t) >= PEER_SILENCE_TIMEOUT);
        let extra_delay = if self.is_non_reader && !peers_silent {
            NON_READER_INTERVAL
        } else {
            Millis(0)
        };
        if self.read_started.is_some() || now < self.not_before + extra_delay {
            return false;
        }
        self.read_started = Some(now);
        true
    }

    /// Records the end of the read in progress and sets the time of the next one.
    pub(super) fn end(&mut self, now: Time, result: ReadResult) {
        let started = self.read_started.take().unwrap_or(now);
        self.not_before = match result {
            ReadResult::NewRevision => now,
            // Half to one and a half times the interval, so that routers don't read together.
            ReadResult::NoChange => {
                started
                    + Millis(
                        self.rng
                            .random_range(READ_RETRY_INTERVAL.0 / 2..READ_RETRY_INTERVAL.0 * 3 / 2),
                    )
            }
        };
    }

    /// Starts a pull of a peer's newer revision unless one started just before, and tells whether
    /// it did.
    pub(super) fn pull(&mut self, now: Time) -> bool {
        let is_due = self
            .last_pull
            .is_none_or(|t| now.since(t) >= MIN_PULL_INTERVAL);
        if is_due {
            self.last_pull = Some(now);
        }
        is_due
    }
}

/// `ReadResult` tells whether a read brought a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadResult {
    /// A revision newer than the one held.
    NewRevision,
    /// Nothing newer, or the read failed.
    NoChange,
}

/// Tells whether a router is one of its region's readers.
fn is_reader(config: &Config, me: RouterKey) -> bool {
    let Some(own) = config.fleet.get(me) else {
        return true;
    };
    let region = |dc| config.policy.data_centers.get(dc);
    let own_region = region(&own.data_center);
    let score = |tag| (rendezvous(READER_RANKING_ITEM, tag), tag);
    let ranked_above = config
        .fleet
        .iter()
        .filter(|(_, r)| region(&r.data_center) == own_region && score(r.tag) > score(own.tag));
    ranked_above.count() < usize::try_from(config.policy.config_readers).unwrap_or(usize::MAX)
}
