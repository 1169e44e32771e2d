//! Who reads the configuration service, and when again.
//!
//! The service counts every call of every reader, a waiting watch too. So only a few routers of a
//! region watch it (`config_readers`, by rendezvous), and the others hear from their peers'
//! summaries that there is something newer and pull it from one of them. The others still read
//! now and then, for the case that all readers have lost the service and don't know it.

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

/// Least time between two reads that brought nothing. Without it, a service that is down, or that
/// answers at once with what is known, would be asked at every tick by every router.
pub(super) const RETRY: Millis = Millis(1000);

/// Time between the reads of a router that is no reader.
pub(super) const SELDOM: Millis = Millis::from_secs(30);

/// Time without a word of any peer after which a router reads for itself.
pub(super) const QUIET: Millis = Millis::from_secs(3);

/// Time in which one pull is out; the summaries of further peers start none.
pub(super) const PULL_GAP: Millis = Millis(300);

/// Item by which readers are chosen.
const ITEM: u64 = 0x636f_6e66;

/// `Reading` is this router's part in reading the service.
#[derive(Debug)]
pub(super) struct Reading {
    /// Its own random numbers: how often the service fails must not change where requests go.
    rng: StdRng,
    /// When the read that is out began.
    out: Option<Time>,
    /// Before this time no read begins.
    not_before: Time,
    /// When the last pull from a peer began.
    pulled: Option<Time>,
    /// Whether this router is no reader.
    seldom: bool,
}

impl Reading {
    /// Makes the part of a router that has read nothing yet.
    pub(super) fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed ^ ITEM),
            out: None,
            not_before: Time::default(),
            pulled: None,
            seldom: false,
        }
    }

    /// Follows a new configuration; `me` is `None` while this router is not in the fleet list.
    pub(super) fn apply(&mut self, config: &Config, me: Option<RouterKey>) {
        self.seldom = me.is_some_and(|me| !is_reader(config, me));
        self.pulled = None;
    }

    /// Tells whether a read begins now. `heard` is when a peer was last heard.
    pub(super) fn begin(&mut self, now: Time, heard: Option<Time>) -> bool {
        let quiet = heard.is_none_or(|t| now.since(t) >= QUIET);
        let early = if self.seldom && !quiet {
            SELDOM
        } else {
            Millis(0)
        };
        if self.out.is_some() || now < self.not_before + early {
            return false;
        }
        self.out = Some(now);
        true
    }

    /// Notes the end of a read.
    pub(super) fn end(&mut self, now: Time, brought: Brought) {
        let began = self.out.take().unwrap_or(now);
        self.not_before = match brought {
            Brought::News => now,
            // Half to one and a half times the usual, so that routers don't come back together.
            Brought::Nothing => began + Millis(self.rng.random_range(RETRY.0 / 2..RETRY.0 * 3 / 2)),
        };
    }

    /// Tells whether a peer's newer revision is pulled from it now.
    pub(super) fn pull(&mut self, now: Time) -> bool {
        let free = self.pulled.is_none_or(|t| now.since(t) >= PULL_GAP);
        if free {
            self.pulled = Some(now);
        }
        free
    }
}

/// `Brought` says what a read brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Brought {
    /// A change.
    News,
    /// Nothing, or it failed.
    Nothing,
}

/// Tells whether a router is one of its region's readers.
fn is_reader(config: &Config, me: RouterKey) -> bool {
    let Some(own) = config.fleet.get(me) else {
        return true;
    };
    let region = |dc| config.policy.data_centers.get(dc);
    let home = region(&own.data_center);
    let score = |tag| (rendezvous(ITEM, tag), tag);
    let above = config
        .fleet
        .iter()
        .filter(|(_, r)| region(&r.data_center) == home && score(r.tag) > score(own.tag));
    above.count() < usize::try_from(config.policy.config_readers).unwrap_or(usize::MAX)
}
