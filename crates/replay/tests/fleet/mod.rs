//! A large fleet before engines that run a dozen requests each, shared by tests of the laboratory.

use toucanturn_replay::lab::{
    engine::Shape,
    sheet::{
        Kind,
        Placement,
        Sheet, //
    },
};

/// Engines that the rates of requests are stated for.
const RATED_ENGINES: f64 = 204.0;

/// Makes a sheet of nothing but routers, engines and load. `rates` are the requests of each kind a second at
/// [`RATED_ENGINES`]; each engine gets as many whatever the size.
pub(crate) fn sheet(routers: usize, engines: usize, rates: [f64; 3]) -> Sheet {
    let share = engines as f64 / RATED_ENGINES;
    let kind = |rate, sessions, shared, own, output, goal| Kind {
        rate: rate * share,
        sessions,
        shared,
        own,
        output,
        goal,
    };
    Sheet {
        routers,
        engines,
        shape: Shape {
            slots: 12,
            step: 3.09,
            per_request: 0.08,
            read: 56.9,
            chunk: 1024.0,
            first: 41.0,
            memory: 304_000,
        },
        kinds: vec![
            kind(rates[0], 800, 8620, 580, 56, 500),
            kind(rates[1], 1600, 2041, 360, 28, 800),
            kind(rates[2], 400, 603, 110, 280, 1000),
        ],
        troubles: Vec::new(),
        length: 0,
        hold: 5000,
        tells_back_offs: true,
        asks_keepers: true,
        placement: Placement::Routers,
    }
}
