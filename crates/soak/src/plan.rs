//! When which fault comes: the same seed, the same plan.

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

/// Faults that are drawn by chance: all but the last six.
const DRAWN: usize = Fault::COUNT - 6;
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

/// `Versions` is which software versions the endpoints of a run have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Versions {
    /// One for all.
    One,
    /// One until endpoints are replaced, and another one for these.
    Replaced,
    /// Three side by side.
    Several,
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
            Versions::One => texts[0],
            Versions::Replaced => texts[life as usize % 2],
            Versions::Several => texts[(replica + life as usize) % 3],
        }
    }
}
