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
    pub(crate) troubles: &'static [Trouble],
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
const BURST: Trouble = Trouble::Burst {
    kind: 0,
    times: 2.0,
};

/// The loads.
pub(crate) const LOADS: [Load; 4] = [
    Load {
        name: "cold start",
        span: (0, 4000),
        troubles: &[THIRD],
    },
    Load {
        name: "half of the engines slow, hot subject",
        span: (4000, 7000),
        troubles: &[HALF, HOT],
    },
    Load {
        name: "twice as many long prompts",
        span: (4000, 7000),
        troubles: &[THIRD, BURST],
    },
    Load {
        name: "one workspace sends long prompts that nobody repeats",
        span: (4000, 7000),
        troubles: &[Trouble::Burst {
            kind: 3,
            times: 50.0,
        }],
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
    let (from, to) = span(name);
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
        troubles: troubles
            .map(|trouble| Span {
                from,
                to,
                trouble: *trouble,
            })
            .collect(),
        length: LENGTH,
        hold: 5000,
        tells_back_offs: true,
        placement: Placement::Routers,
    }
}
