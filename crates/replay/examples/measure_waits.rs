//! Compares placement with and without expected waits, by the length of prompts: engines that state their slowdown switch
//! it on, and change nothing else. The first table has each length alone beside all three, the second one each load.
//!
//! ```text
//! cargo run --release -p toucanturn-replay --example measure_waits [SEEDS]
//! ```

use toucanturn_replay::lab::{
    account::{
        Account,
        Outcome, //
    },
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
/// Lengths of prompts in tokens, with the kind that most prompts of each length are of.
const LENGTHS: [(&str, std::ops::Range<u32>, usize); 3] = [
    ("under 500", 0..500, 2),
    ("500 to 3,000", 500..3001, 1),
    ("over 3,000", 3001..u32::MAX, 0),
];
/// The span in which nothing is read yet, and the one after it, in milliseconds.
const SPANS: [(&str, u64, u64); 2] = [("cold", 0, 4000), ("warm", 4000, 8000)];

/// Plays a sheet under each seed and puts all together.
fn accounts(sheet: &Sheet, stated: bool, seeds: u64) -> Account {
    let mut sheet = sheet.clone();
    if stated {
        sheet.troubles.push(Span {
            from: 0,
            to: LENGTH,
            trouble: Trouble::Stated,
        });
    }
    let mut all = Account::default();
    for account in (1..=seeds).map(|seed| play(&sheet, seed)) {
        all.outcomes.extend(account.outcomes);
        all.arrivals.extend(account.arrivals);
        all.read_again += account.read_again / seeds;
        all.moved += account.moved / seeds;
    }
    all.arrivals.sort_by_key(|arrival| arrival.at);
    all
}

/// Gets the median and the 99th percentile of the time to the first event.
fn times(account: &Account, counts: impl Fn(&Outcome) -> bool) -> String {
    let time = |share| account.first_where(share, &counts);
    format!("{}, {}", time(0.5), time(0.99))
}

/// Prints the times of each length, alone and beside the others.
fn lengths(seeds: u64) {
    println!("routers | with | span | tokens | alone: p50, p99 | mixed: p50, p99");
    for (routers, engines) in FLEETS {
        for stated in [false, true] {
            let all = uneven::sheet(routers, engines, "");
            let mixed = accounts(&all, stated, seeds);
            for (name, tokens, kind) in &LENGTHS {
                let mut sheet = all.clone();
                for (number, other) in sheet.kinds.iter_mut().enumerate() {
                    other.rate = if number == *kind { other.rate } else { 0.0 };
                }
                let alone = accounts(&sheet, stated, seeds);
                for (span, from, to) in SPANS {
                    let counts =
                        |o: &Outcome| tokens.contains(&o.tokens) && (from..to).contains(&o.asked);
                    println!(
                        "{routers} | {stated} | {span} | {name} | {} | {}",
                        times(&alone, counts),
                        times(&mixed, counts),
                    );
                }
            }
        }
    }
}

/// Prints what becomes of each load.
fn loads(seeds: u64) {
    println!(
        "routers | load | with | on time in the span | short: p50, p99 | medium: p50, p99 | long: p50, p99 | read again, moved, thousand tokens | worst over the multiple"
    );
    for (routers, engines) in FLEETS {
        for Load { name, .. } in LOADS {
            for stated in [false, true] {
                let account = accounts(&uneven::sheet(routers, engines, name), stated, seeds);
                let (from, to) = uneven::span(name);
                let of = |kind| {
                    times(&account, |o| {
                        o.kind == kind && (from..to).contains(&o.asked)
                    })
                };
                println!(
                    "{routers} | {name} | {stated} | {:.4} | {} | {} | {} | {}, {} | {:.3}",
                    account.on_time(from, to),
                    of(2),
                    of(1),
                    of(0),
                    account.read_again / 1000,
                    account.moved / 1000,
                    account.worst_multiple_since(2000).0,
                );
            }
        }
    }
}

fn main() {
    let seeds = std::env::args().nth(1);
    let seeds = seeds.and_then(|seeds| seeds.parse().ok()).unwrap_or(1);
    lengths(seeds);
    println!();
    loads(seeds);
}
