//! Compares placement with and without expected waits, by the length of prompts: engines that state their slowdown switch
//! it on, and change nothing else.
//!
//! ```text
//! cargo run --release -p toucanturn-replay --example measure_waits
//! ```

use toucanturn_replay::lab::{
    play,
    sheet::{
        Sheet,
        Span,
        Trouble, //
    },
};

#[path = "../tests/uneven/mod.rs"]
mod uneven;

use uneven::{
    LENGTH,
    LOADS,
    Load, //
};

/// Routers and engines.
const FLEETS: [(usize, usize); 3] = [(7, 12), (122, 90), (300, 220)];

fn main() {
    println!(
        "routers | load | with | on time in the span | short: p50, p99 | medium: p50, p99 | long: p50, p99 | read again, moved, thousand tokens | worst over the multiple"
    );
    for (routers, engines) in FLEETS {
        for Load { name, .. } in LOADS {
            for stated in [false, true] {
                let mut sheet: Sheet = uneven::sheet(routers, engines, name);
                if stated {
                    sheet.troubles.push(Span {
                        from: 0,
                        to: LENGTH,
                        trouble: Trouble::Stated,
                    });
                }
                let account = play(&sheet, 1);
                let (from, to) = uneven::span(name);
                let times = |kind| {
                    format!(
                        "{}, {}",
                        account.first_in(kind, 0.5, from, to),
                        account.first_in(kind, 0.99, from, to)
                    )
                };
                println!(
                    "{routers} | {name} | {stated} | {:.4} | {} | {} | {} | {}, {} | {:.3}",
                    account.on_time(from, to),
                    times(2),
                    times(1),
                    times(0),
                    account.read_again / 1000,
                    account.moved / 1000,
                    account.worst_multiple_since(2000).0,
                );
            }
        }
    }
}
