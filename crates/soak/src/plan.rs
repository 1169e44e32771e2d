//! When which fault comes: the same seed, the same plan.

use std::ops::Range;

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use strum::{
    EnumCount,
    FromRepr, //
};

/// Time before the first fault, in milliseconds: the fleet has served by then.
const CALM: u64 = 1500;
/// Longest pause between the beginnings of two faults, in milliseconds; most overlap.
const GAP: u64 = 900;
/// Longest time of a fault, in milliseconds: over the bounds on keys and on leaving.
const LONGEST: u64 = 3500;

/// Faults that are drawn by chance: all but the last eight.
const DRAWN: usize = Fault::COUNT - 8;
/// Most requests of a plan that end endpoints, and what their draws are told apart by.
const MOST_FATAL: usize = 2;
const FATAL_SEED: u64 = 0xfa7a1;
/// Most evacuations of a plan, and what their draws are told apart by.
const MOST_EVACUATIONS: usize = 2;
const EVACUATION_SEED: u64 = 0xe7ac;
/// Most endpoints of a plan that ask for pauses or say that they leave, and what their draws are told apart by.
const MOST_SIGNALS: usize = 4;
const SIGNAL_SEED: u64 = 0x516a1;
/// Most endpoints of a plan that break their answers off, and what their draws are told apart by.
const MOST_BREAKS: usize = 4;
const BREAK_SEED: u64 = 0xb4ea;
/// Most releases of a plan, and what their draws are told apart by.
const MOST_RELEASES: usize = 1;
const RELEASE_SEED: u64 = 0x4e1e;
/// Shortest time of an evacuation, in milliseconds: over its bound.
const EVACUATION_SHORTEST: u64 = 2500;
/// What the draws of plans of releases are told apart by.
const RELEASES_SEED: u64 = 0x4e1ea5e;
/// Times for which the first endpoint of a version serves alone, in milliseconds: mostly well under a second.
const QUICK: Range<u64> = 300..1000;
const SLOW: Range<u64> = 1000..3500;
/// Part of the releases that are quick.
const QUICK_SHARE: f64 = 0.7;
/// Longest time by which a fault begins before a release, in milliseconds: later than the last read of the registry mostly.
const BEFORE: u64 = 150;
/// Longest time by which a fault comes after the first endpoint of a release, in milliseconds.
const AROUND: u64 = 300;
/// Times for which a router is suspended in a release, in milliseconds; the last one only in plans that are long enough.
const SUSPENDED: [u64; 5] = [300, 1000, 1400, 3000, 10_000];
const LONG_PLAN: u64 = 20_000;
/// Time from a kill of all routers to the next, in milliseconds: some have become ready by then.
const KILLED_AGAIN: Range<u64> = 800..2000;

/// `Size` is how much runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Routers.
    pub routers: usize,
    /// Endpoints.
    pub replicas: usize,
    /// Callers at once.
    pub callers: usize,
    /// Milliseconds in which faults come.
    pub millis: u64,
    /// Milliseconds that an endpoint works on a request.
    pub work_ms: u64,
}

impl Default for Size {
    fn default() -> Self {
        Self {
            routers: 3,
            replicas: 5,
            callers: 24,
            millis: 10_000,
            work_ms: 30,
        }
    }
}

/// `Fault` is what comes; where it names a router or an endpoint, the step says which.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumCount, FromRepr, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
#[repr(usize)]
pub enum Fault {
    /// A router is told to stop, and started again.
    RouterStops,
    /// A router is killed, and started again.
    RouterKilled,
    /// All routers are killed at once, and started again.
    AllKilled,
    /// A router is suspended.
    RouterPaused,
    /// A router is told to read its settings again.
    RouterReloads,
    /// An endpoint is killed; another one takes its address.
    ReplicaKilled,
    /// An endpoint is suspended.
    ReplicaPaused,
    /// An endpoint leaves as it should, and is replaced.
    ReplicaLeaves,
    /// An endpoint breaks the protocol in its next answers.
    ReplicaMisbehaves,
    /// What comes to and from an endpoint is slow.
    ReplicaSlow,
    /// What an endpoint answers is lost.
    AnswersLost,
    /// An endpoint's connections are reset.
    ReplicaReset,
    /// An endpoint's connections go silent for good; new ones work.
    ReplicaSilent,
    /// Nothing passes between a router and the store.
    StoreCut,
    /// What the store answers a router is lost.
    StoreAnswersLost,
    /// A router's connections to the store go silent for good; new ones work.
    StoreSilent,
    /// The store turns all away.
    StoreBusy,
    /// The store is slow.
    StoreSlow,
    /// The store is suspended.
    StorePaused,
    /// The store forgets its history.
    StoreCompacts,
    /// A new configuration.
    Published,
    /// A key is taken away and another one given.
    KeyRevoked,
    /// A key is taken away while the store turns all away, for longer than it may still open anything.
    RevokedUnseen,
    /// All endpoints fail all that they run.
    AllFail,
    /// A caller repeats a request that ends each endpoint that runs it, at any router.
    FatalRequest,
    /// A data centre is evacuated and restored, its endpoints warm or cold.
    Evacuated,
    /// An endpoint turns all away and asks for pauses.
    ReplicaBacksOff,
    /// An endpoint says in its answers that it leaves, and its entry says that it is ready.
    ReplicaSaysLeaving,
    /// An endpoint answers in another framing, and breaks its answers off; it may be killed in the middle of some.
    ReplicaBreaksOff,
    /// All endpoints leave one after the other, and are replaced by ones of another software version.
    Released,
    /// An endpoint is replaced by one of a new software version, which serves alone for the time of the fault. It is
    /// replaced by one of the version before then, or the others follow.
    QuickRelease,
    /// Nothing passes between some routers and the others.
    PeersCut,
}

/// `Step` is one fault at its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Milliseconds after the run's beginning.
    pub at: u64,
    /// How long it lasts, in milliseconds.
    pub lasts: u64,
    /// What it is.
    pub fault: Fault,
    /// Which router.
    pub router: usize,
    /// Which endpoint.
    pub replica: usize,
    /// Which variant, where there are several.
    pub variant: usize,
}

impl Fault {
    /// Tells whether it keeps a router from what is published. Such a fault excuses much of what comes
    /// after it.
    const fn blinds(self) -> bool {
        use Fault::*;
        matches!(
            self,
            StoreCut
                | StoreAnswersLost
                | StoreSilent
                | StoreBusy
                | StoreSlow
                | StorePaused
                | RevokedUnseen
        )
    }
}

/// Makes the plan of a seed. Those of even seeds leave the store alone: what is published must be in
/// force in time then, whatever else fails.
pub fn plan(seed: u64, size: &Size) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = CALM;
    while at < CALM + size.millis {
        let fault = Fault::from_repr(rng.random_range(0..DRAWN));
        let fault = fault.unwrap_or(Fault::Published);
        if fault.blinds() && seed.is_multiple_of(2) {
            continue;
        }
        steps.push(Step {
            at,
            lasts: rng.random_range(100..LONGEST),
            fault,
            router: rng.random_range(0..size.routers.max(1)),
            replica: rng.random_range(0..size.replicas.max(1)),
            variant: rng.random_range(0..1000),
        });
        at += rng.random_range(20..GAP);
    }
    steps
}

/// Makes the plan of a seed with requests that end endpoints beside the other faults: none, one, or two that overlap.
pub fn plan_with_fatal(seed: u64, size: &Size) -> Vec<Step> {
    let mut steps = plan(seed, size);
    steps.extend(fatal(seed, size));
    steps.sort_by_key(|step| step.at);
    steps
}

/// Draws requests that end endpoints, apart from the other faults, so that seeds that once failed keep theirs.
fn fatal(seed: u64, size: &Size) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed ^ FATAL_SEED);
    let count = rng.random_range(0..=MOST_FATAL);
    let step = |_| Step {
        at: CALM + rng.random_range(0..size.millis.max(1)),
        lasts: LONGEST,
        fault: Fault::FatalRequest,
        router: 0,
        replica: 0,
        variant: rng.random_range(0..1000),
    };
    (0..count).map(step).collect()
}

/// Makes the plan of a seed with all that is drawn apart: requests that end endpoints, evacuations, what endpoints say of
/// themselves, answers that they break off, and releases.
pub fn whole_plan(seed: u64, size: &Size) -> Vec<Step> {
    let mut steps = plan_with_fatal(seed, size);
    steps.extend(evacuations(seed, size));
    steps.extend(signals(seed, size));
    steps.extend(breaks(seed, size));
    steps.extend(releases(seed, size));
    steps.sort_by_key(|step| step.at);
    steps
}

/// Draws evacuations, apart from the other faults.
fn evacuations(seed: u64, size: &Size) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed ^ EVACUATION_SEED);
    let count = rng.random_range(0..=MOST_EVACUATIONS);
    let step = |_| Step {
        at: CALM + rng.random_range(0..size.millis.max(1)),
        lasts: rng.random_range(EVACUATION_SHORTEST..2 * EVACUATION_SHORTEST),
        fault: Fault::Evacuated,
        router: 0,
        replica: 0,
        variant: rng.random_range(0..1000),
    };
    (0..count).map(step).collect()
}

/// Draws endpoints that ask for pauses or say that they leave, apart from the other faults.
fn signals(seed: u64, size: &Size) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed ^ SIGNAL_SEED);
    let count = rng.random_range(0..=MOST_SIGNALS);
    let step = |_| Step {
        at: CALM + rng.random_range(0..size.millis.max(1)),
        lasts: rng.random_range(LONGEST / 2..LONGEST),
        fault: if rng.random_bool(0.5) {
            Fault::ReplicaBacksOff
        } else {
            Fault::ReplicaSaysLeaving
        },
        router: 0,
        replica: rng.random_range(0..size.replicas.max(1)),
        variant: rng.random_range(0..1000),
    };
    (0..count).map(step).collect()
}

/// Draws endpoints that break their answers off, apart from the other faults.
fn breaks(seed: u64, size: &Size) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed ^ BREAK_SEED);
    let count = rng.random_range(0..=MOST_BREAKS);
    let step = |_| Step {
        at: CALM + rng.random_range(0..size.millis.max(1)),
        lasts: rng.random_range(100..LONGEST),
        fault: Fault::ReplicaBreaksOff,
        router: 0,
        replica: rng.random_range(0..size.replicas.max(1)),
        variant: rng.random_range(0..1000),
    };
    (0..count).map(step).collect()
}

/// Draws releases, apart from the other faults.
fn releases(seed: u64, size: &Size) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed ^ RELEASE_SEED);
    let count = rng.random_range(0..=MOST_RELEASES);
    let step = |_| Step {
        at: CALM + rng.random_range(0..size.millis.max(1) / 2),
        lasts: rng.random_range(100..LONGEST),
        fault: Fault::Released,
        router: 0,
        replica: 0,
        variant: rng.random_range(0..1000),
    };
    (0..count).map(step).collect()
}

/// `Crossing` is what happens to routers around the beginning of a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumCount, FromRepr)]
#[repr(usize)]
enum Crossing {
    Suspended,
    CutFromPeers,
    CutFromStore,
    CutFromBoth,
    PairCutFromPeers,
    PairCutFromBoth,
    HalfCutFromPeers,
    Killed,
    AllKilled,
    AllKilledWithoutStore,
    AllKilledTwice,
    OthersKilled,
    Nothing,
}

/// Makes the plan of a seed with releases alone, each crossed with faults of routers. Seeds one after the other have all
/// of these in turn.
pub fn release_plan(seed: u64, size: &Size) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed ^ RELEASES_SEED);
    let mut steps = Vec::new();
    let mut at = CALM;
    let mut kind = usize::try_from(seed % Crossing::COUNT as u64).unwrap_or_default();
    while at < CALM + size.millis {
        let quick = rng.random_bool(QUICK_SHARE);
        let release = Step {
            at,
            lasts: rng.random_range(if quick { QUICK } else { SLOW }),
            fault: Fault::QuickRelease,
            router: 0,
            replica: rng.random_range(0..size.replicas.max(1)),
            variant: rng.random_range(0..1000),
        };
        steps.push(release);
        let crossing = Crossing::from_repr(kind).unwrap_or(Crossing::Nothing);
        steps.extend(crossing_steps(crossing, &release, &mut rng, size));
        at += release.lasts + rng.random_range(AROUND..LONGEST);
        kind = (kind + 1) % Crossing::COUNT;
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Makes the faults that cross a release.
fn crossing_steps(crossing: Crossing, release: &Step, rng: &mut StdRng, size: &Size) -> Vec<Step> {
    let all = size.routers.max(1);
    let before = release.at.saturating_sub(rng.random_range(0..BEFORE));
    // A kill comes while streams of the new version are in progress, or are being taken up.
    let within = release.at + rng.random_range(AROUND / 2..release.lasts + AROUND);
    let router = rng.random_range(0..all);
    let step = |at, lasts, fault| Step {
        at,
        lasts,
        fault,
        router,
        replica: 0,
        variant: 1,
    };
    // Routers are cut off for as long as the version is new.
    let cut = release.lasts + rng.random_range(AROUND..2 * AROUND);
    let group = |count: usize| Step {
        variant: count,
        ..step(before, cut, Fault::PeersCut)
    };
    let store_cut = |n: usize| Step {
        router: (router + n) % all,
        ..step(before, cut, Fault::StoreCut)
    };
    let away = rng.random_range(100..LONGEST / 2);
    let kill = step(within, away, Fault::AllKilled);
    match crossing {
        Crossing::Suspended => {
            let longest = SUSPENDED.len() - usize::from(size.millis < LONG_PLAN);
            let lasts = SUSPENDED[rng.random_range(0..longest)];
            vec![step(before, lasts, Fault::RouterPaused)]
        }
        Crossing::CutFromPeers => vec![group(1)],
        Crossing::CutFromStore => vec![store_cut(0)],
        Crossing::CutFromBoth => vec![group(1), store_cut(0)],
        Crossing::PairCutFromPeers => vec![group(2)],
        Crossing::PairCutFromBoth => vec![group(2), store_cut(0), store_cut(1)],
        Crossing::HalfCutFromPeers => vec![group(all / 2)],
        Crossing::Killed => vec![step(within, away, Fault::RouterKilled)],
        Crossing::AllKilled => vec![kill],
        Crossing::AllKilledWithoutStore => {
            let faults = [Fault::StoreBusy, Fault::StoreSlow, Fault::StorePaused];
            let fault = faults[rng.random_range(0..faults.len())];
            vec![kill, step(within, away + LONGEST / 2, fault)]
        }
        Crossing::AllKilledTwice => {
            let again = within + away / 2 + rng.random_range(KILLED_AGAIN);
            vec![kill, step(again, away, Fault::AllKilled)]
        }
        Crossing::OthersKilled => {
            let lasts = within - before + away;
            // The one that is suspended is not killed.
            vec![step(before, lasts, Fault::RouterPaused), kill]
        }
        Crossing::Nothing => Vec::new(),
    }
}

/// `Versions` is which software versions the endpoints of a run have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Versions {
    /// One for all.
    One,
    /// One until endpoints are replaced, and another one for these.
    Replaced,
    /// Three side by side.
    Several,
    /// One for all until a release brings the next.
    Releases,
}

/// Texts of the versions that releases bring one after the other.
const RELEASES: [&str; 10] = [
    "v1", "v1.1", "v1.2", "v1.3", "v1.4", "v2", "v2.1", "v2.2", "v2.3", "v2.4",
];

/// Gets the version that a release brings by its number; 0 is the one before the first.
pub const fn release(number: usize) -> &'static str {
    RELEASES[number % RELEASES.len()]
}

impl Versions {
    /// Chooses those of a seed.
    pub const fn of(seed: u64) -> Self {
        match seed % 3 {
            0 => Versions::Several,
            1 => Versions::Replaced,
            _ => Versions::One,
        }
    }

    /// Gets the version of an endpoint's process.
    pub const fn version(self, replica: usize, life: u32) -> &'static str {
        let texts = ["v1", "v1.1", "v2"];
        match self {
            Versions::One | Versions::Releases => texts[0],
            Versions::Replaced => texts[life as usize % 2],
            Versions::Several => texts[(replica + life as usize) % 3],
        }
    }
}
