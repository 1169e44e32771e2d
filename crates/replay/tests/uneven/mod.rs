//! Loads under which long prompts hold up short ones, shared by tests and measurements.

use toucanturn_replay::lab::{
    engine::Shape,
    sheet::{
        Kind,
        Placement,
        Sheet,
        Span,
        Trouble, //
    },
};

/// Engines that the rates of requests are stated for.
const RATED_ENGINES: usize = 90;
/// Milliseconds of a play.
pub(crate) const LENGTH: u64 = 8000;

/// `Load` is a load by name, with what happens and the span that is judged.
pub(crate) struct Load {
    pub(crate) name: &'static str,
    pub(crate) span: (u64, u64),
    pub(crate) troubles: &'static [Span],
}

const HOT: Trouble = Trouble::Hot {
    kind: 0,
    share: 0.1,
};
const THIRD: Trouble = Trouble::Slow {
    share: 0.33,
    slowdown: 1300,
};
const HALF: Trouble = Trouble::Slow {
    share: 0.5,
    slowdown: 5000,
};
/// Span that is judged in an experiment whose engines are warm.
const WARM: (u64, u64) = (4000, 7000);

const fn during((from, to): (u64, u64), trouble: Trouble) -> Span {
    Span { from, to, trouble }
}

/// Makes a kind come so many times as often.
const fn burst(span: (u64, u64), kind: usize, times: f64) -> Span {
    during(span, Trouble::Burst { kind, times })
}

/// The loads.
pub(crate) const LOADS: [Load; 7] = [
    Load {
        name: "cold start",
        span: (0, 4000),
        troubles: &[during((0, 4000), THIRD)],
    },
    Load {
        name: "half of the engines slow, hot subject",
        span: WARM,
        troubles: &[during(WARM, HALF), during(WARM, HOT)],
    },
    Load {
        name: "twice as many long prompts",
        span: WARM,
        troubles: &[during(WARM, THIRD), burst(WARM, 0, 2.0)],
    },
    Load {
        name: "one workspace sends long prompts that nobody repeats",
        span: WARM,
        troubles: &[burst(WARM, 3, 50.0)],
    },
    Load {
        name: "mix that changes each second",
        span: WARM,
        troubles: &[
            during(WARM, THIRD),
            burst((4000, 5000), 0, 3.0),
            burst((4000, 5000), 2, 0.2),
            burst((5000, 6000), 0, 0.2),
            burst((5000, 6000), 2, 4.0),
            burst((6000, 7000), 0, 3.0),
            burst((6000, 7000), 2, 0.2),
        ],
    },
    Load {
        name: "all prompts long",
        span: WARM,
        troubles: &[
            during(WARM, THIRD),
            burst(WARM, 0, 3.0),
            burst(WARM, 1, 0.0),
            burst(WARM, 2, 0.0),
        ],
    },
    Load {
        name: "half of the engines slow, digests a second late",
        span: WARM,
        troubles: &[
            during(WARM, HALF),
            during((0, LENGTH), Trouble::LateDigests { by: 1000 }),
        ],
    },
];

/// Gets the span in which a load is judged.
pub(crate) fn span(name: &str) -> (u64, u64) {
    let load = LOADS.iter().find(|l| l.name == name);
    load.map_or((0, LENGTH), |l| l.span)
}

/// Makes the sheet of a load; each engine gets as many requests whatever the size.
pub(crate) fn sheet(routers: usize, engines: usize, name: &str) -> Sheet {
    let share = engines as f64 / RATED_ENGINES as f64;
    let kind = |rate: f64, sessions: usize, shared, own, output, goal| Kind {
        rate: rate * share,
        sessions: (sessions * engines / RATED_ENGINES) as u64,
        shared,
        own,
        output,
        goal,
    };
    let troubles = LOADS.iter().filter(|l| l.name == name);
    let troubles = troubles.flat_map(|l| l.troubles);
    Sheet {
        routers,
        engines,
        shape: Shape {
            slots: 64,
            step: 3.4,
            per_request: 0.05,
            read: 44.2,
            chunk: 2048.0,
            first: 5.0,
            memory: 258_000,
        },
        kinds: vec![
            kind(200.0, 900, 8620, 580, 49, 800),
            kind(149.0, 1200, 2041, 360, 21, 600),
            kind(216.0, 900, 603, 110, 280, 500),
            kind(1.0, 1_000_000, 12_000, 500, 20, 2000),
        ],
        troubles: troubles.copied().collect(),
        length: LENGTH,
        hold: 5000,
        tells_back_offs: true,
        asks_keepers: false,
        placement: Placement::Routers,
    }
}
