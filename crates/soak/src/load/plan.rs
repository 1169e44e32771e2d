//! Planned work and surges of a load run: the same seed, the same plan.

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

/// Time before the first step, in milliseconds.
const CALM: u64 = 1500;
/// Time between two steps, in milliseconds.
const GAP: std::ops::Range<u64> = 800..3000;
/// Kinds of streams that a hot session may belong to.
const STREAMS: usize = 3;

/// `Act` is what a step does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Act {
    /// One session has a share of a kind's requests.
    HotSession {
        /// Which kind.
        kind: usize,
        /// How much of it.
        share: f64,
    },
    /// Callers send more.
    Burst {
        /// How many times as much.
        factor: f64,
    },
    /// A share of the engines leaves.
    ScaleIn {
        /// Of the engines.
        share: f64,
    },
    /// Empty engines are added.
    ScaleOut {
        /// Of the engines.
        share: f64,
    },
    /// A share of the engines is replaced, one after the other.
    Release {
        /// Of the engines.
        share: f64,
    },
    /// A data centre is evacuated and restored.
    Evacuate {
        /// Which.
        data_center: usize,
    },
    /// The machines of a share of the engines are slow, in spells.
    Uneven {
        /// Of the engines.
        share: f64,
        /// Time that work takes in a spell, in percent of the usual.
        percent: u32,
    },
    /// One workspace sends more to the pools than they have room for.
    Crowded {
        /// How many times as much as usual.
        factor: f64,
    },
    /// Routers are stopped and started again, one after the other.
    RestartRouters {
        /// Of the routers.
        share: f64,
    },
}

/// `Step` is one act at its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// Milliseconds after the first caller.
    pub at: u64,
    /// How long it lasts, in milliseconds.
    pub lasts: u64,
    /// What it does.
    pub act: Act,
}

/// Shares, slowdowns and factors of hard load, and what its draws are told apart by.
const UNEVEN_SHARE: std::ops::Range<f64> = 0.2..0.5;
const UNEVEN_PERCENT: std::ops::Range<u32> = 150..400;
const CROWDED_FACTOR: std::ops::Range<f64> = 3.0..8.0;
const HARD_SEED: u64 = 0x4a2d;

/// Makes the plan of a seed for [`Sheet::hard`](super::sheet::Sheet::hard): uneven engines, and pools that are short of room,
/// for most of the time and at once for a part of it.
pub fn hard_plan(seed: u64, seconds: u64) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed ^ HARD_SEED);
    let end = (seconds * 1000).saturating_sub(CALM);
    let uneven = Act::Uneven {
        share: rng.random_range(UNEVEN_SHARE),
        percent: rng.random_range(UNEVEN_PERCENT),
    };
    let crowded = Act::Crowded {
        factor: rng.random_range(CROWDED_FACTOR),
    };
    let step = |act| {
        let at = rng.random_range(CALM..2 * CALM);
        let lasts = end.saturating_sub(at);
        Step { at, lasts, act }
    };
    let mut steps: Vec<Step> = [uneven, crowded].map(step).into();
    steps.sort_by_key(|step| step.at);
    steps
}

/// Makes the plan of a seed.
pub fn plan(seed: u64, seconds: u64) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = CALM;
    let mut scaled_in = false;
    while at + CALM < seconds * 1000 {
        let act = match rng.random_range(0..7) {
            0 | 1 => Act::HotSession {
                kind: rng.random_range(0..STREAMS),
                share: rng.random_range(0.1..0.35),
            },
            2 => Act::Burst {
                factor: rng.random_range(1.3..1.7),
            },
            3 if !scaled_in => Act::ScaleIn {
                share: rng.random_range(0.1..0.25),
            },
            3 | 4 => Act::ScaleOut {
                share: rng.random_range(0.1..0.25),
            },
            5 => Act::Evacuate {
                data_center: rng.random_range(0..4),
            },
            _ if rng.random_bool(0.5) => Act::Release {
                share: rng.random_range(0.1..0.3),
            },
            _ => Act::RestartRouters {
                share: rng.random_range(0.1..0.5),
            },
        };
        scaled_in |= matches!(act, Act::ScaleIn { .. });
        steps.push(Step {
            at,
            lasts: rng.random_range(2000..7000),
            act,
        });
        at += rng.random_range(GAP);
    }
    steps
}
