//! Compares what routers decide with an oracle that knows the state of all engines: decision by decision, and in plays
//! in which the oracle chooses.
//!
//! ```text
//! cargo run --release -p toucanturn-replay --example measure_oracle
//! ```

use toucanturn_replay::lab::{
    account::Account,
    play,
    sheet::{
        Placement,
        Sheet,
        Span,
        Trouble, //
    },
};

#[path = "../tests/fleet/mod.rs"]
mod fleet;

/// Routers and engines.
const FLEETS: [(usize, usize); 3] = [(7, 12), (86, 140), (295, 204)];
/// One decision in so many is compared.
const COMPARED: usize = 7;
/// When the trouble begins and ends, and the length of a play, in milliseconds.
const TROUBLE: (u64, u64) = (4000, 8000);
const LENGTH: u64 = 12_000;

fn main() {
    let surge = |times| Trouble::Burst { kind: 0, times };
    let loads: [(&str, f64, Vec<Trouble>); 6] = [
        ("calm", 1.0, Vec::new()),
        ("half as much again", 1.5, Vec::new()),
        ("surge of long prompts, 1.5", 1.0, vec![surge(1.5)]),
        ("surge of long prompts, 3", 1.0, vec![surge(3.0)]),
        (
            "hot session, a fifth of the long prompts",
            1.0,
            vec![Trouble::Hot {
                kind: 0,
                share: 0.2,
            }],
        ),
        ("all routers lost", 1.0, vec![Trouble::Lost]),
    ];
    println!(
        "routers | load | on time: routers, oracle | late that could be in time | later than the best by, ms: p50, p95, p99 | read again, thousand tokens: \
         routers, oracle | fetched: routers, oracle"
    );
    for (routers, engines) in FLEETS {
        for (name, rate, troubles) in &loads {
            let span = |trouble: &Trouble| Span {
                from: TROUBLE.0,
                to: TROUBLE.1,
                trouble: *trouble,
            };
            let played = |placement| {
                let sheet = Sheet {
                    troubles: troubles.iter().map(span).collect(),
                    length: LENGTH,
                    placement,
                    ..fleet::sheet(routers, engines, [330.0, 347.0, 92.0].map(|r| r * rate))
                };
                play(&sheet, 1)
            };
            let own = played(Placement::Compared(COMPARED));
            let best = played(Placement::Oracle);
            let on_time = |account: &Account| account.on_time(TROUBLE.0, LENGTH - 1000);
            println!(
                "{routers} | {name} | {:.4}, {:.4} | {:.4} | {}, {}, {} | {}, {} | {}, {}",
                on_time(&own),
                on_time(&best),
                own.missed(TROUBLE.0, LENGTH),
                own.regret(0.5),
                own.regret(0.95),
                own.regret(0.99),
                own.read_again / 1000,
                best.read_again / 1000,
                own.moved / 1000,
                best.moved / 1000,
            );
        }
    }
}
