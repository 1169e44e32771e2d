//! Compares a cold start of routers of different numbers with one in which an oracle places each request: what of the late requests
//! is due to routers knowing too little of each other's placements.
//!
//! ```text
//! cargo run --release -p toucanturn-replay --example measure_cold
//! ```

use toucanturn_replay::lab::{
    play,
    sheet::{
        Placement,
        Span,
        Trouble, //
    },
};

#[path = "../tests/uneven/mod.rs"]
mod uneven;

const ENGINES: usize = 90;
const SEEDS: [u64; 3] = [1, 2, 3];

fn main() {
    let load = &uneven::LOADS[0];
    println!(
        "routers | placed by | seed | on time | first event: short p50, p99 | long p50, p99 | read again, moved, thousand tokens"
    );
    for routers in [1, 7, 122] {
        for (name, placement, asks_keepers) in [
            ("routers by expected waits", Placement::Routers, false),
            ("routers by prefill backlogs", Placement::Routers, true),
            ("oracle", Placement::Oracle, false),
        ] {
            for seed in SEEDS {
                let mut sheet = uneven::sheet(routers, ENGINES, load.name);
                sheet.placement = placement;
                sheet.asks_keepers = asks_keepers;
                sheet.troubles.push(Span {
                    from: 0,
                    to: uneven::LENGTH,
                    trouble: Trouble::Stated,
                });
                let account = play(&sheet, seed);
                let (from, to) = uneven::span(load.name);
                let time = |kind, part| account.first_in(kind, part, from, to);
                println!(
                    "{routers} | {name} | {seed} | {:.4} | {}, {} | {}, {} | {}, {}",
                    account.on_time(from, to),
                    time(2, 0.5),
                    time(2, 0.99),
                    time(0, 0.5),
                    time(0, 0.99),
                    account.read_again / 1000,
                    account.moved / 1000,
                );
            }
        }
    }
}
