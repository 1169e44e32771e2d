//! Compares placement by expected waits alone with that by the prefill backlogs that routers keep for each other: each load, and
//! two of them beside each failure, by the length of prompts.
//!
//! ```text
//! cargo run --release -p toucanturn-replay --example measure_prefill [SEEDS [ROUTERS [loads | failures]]]
//! ```

use toucanturn_replay::lab::{
    account::Account,
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
/// Time from which the load multiple is judged, in milliseconds.
const SETTLED: u64 = 2000;

/// Plays a sheet under each seed and puts all together; with the largest share over the multiple of any seed.
fn accounts(sheet: &Sheet, seeds: u64) -> (Account, f64) {
    let mut all = Account::default();
    let mut worst: f64 = 0.0;
    for account in (1..=seeds).map(|seed| play(sheet, seed)) {
        worst = worst.max(account.worst_multiple_since(SETTLED).0);
        all.outcomes.extend(account.outcomes);
        all.arrivals.extend(account.arrivals);
        all.read_again += account.read_again / seeds;
        all.queries += account.queries;
        all.silent += account.silent;
        all.notes += account.notes;
    }
    all.arrivals.sort_by_key(|arrival| arrival.at);
    (all, worst)
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn compare(
    (routers, engines): (usize, usize),
    load: &Load,
    failure: &str,
    more: &[Span],
    seeds: u64,
) {
    for asks_keepers in [false, true] {
        let mut sheet = uneven::sheet(routers, engines, load.name);
        sheet.asks_keepers = asks_keepers;
        sheet.troubles.push(always(Trouble::Stated));
        sheet.troubles.extend_from_slice(more);
        let (account, worst) = accounts(&sheet, seeds);
        let (from, to) = uneven::span(load.name);
        let of = |kind| {
            let time = |share| account.first_in(kind, share, from, to);
            format!("{}, {}", time(0.5), time(0.99))
        };
        let each = |count: usize| count as f64 * 1000.0 / (seeds * LENGTH) as f64 / routers as f64;
        println!(
            "{routers} | {} | {failure} | {asks_keepers} | {:.4} | {} | {} | {} | {} | {:.3}, {worst:.3} | {:.1}, {:.1}, {:.1}",
            load.name,
            account.on_time(from, to),
            of(2),
            of(1),
            of(0),
            account.read_again / 1000,
            account.worst_multiple_since(SETTLED).0,
            each(account.queries),
            each(account.silent),
            each(account.notes),
        );
    }
}

fn always(trouble: Trouble) -> Span {
    during((0, LENGTH), trouble)
}

fn during((from, to): (u64, u64), trouble: Trouble) -> Span {
    Span { from, to, trouble }
}

/// Lists the failures beside a load that is judged from a time on.
fn failures(routers: usize, from: u64) -> Vec<(&'static str, Vec<Span>)> {
    let third = Trouble::CutOffMany {
        routers: routers.div_ceil(3),
    };
    let one = |trouble| vec![always(trouble)];
    let start = (from.saturating_sub(100), from.max(2));
    vec![
        ("no digests", one(Trouble::LateDigests { by: 60_000 })),
        (
            "digests a second late",
            one(Trouble::LateDigests { by: 1000 }),
        ),
        ("a third of the routers cut off", one(third)),
        (
            "a router lost",
            vec![during(
                (from + 500, from + 1500),
                Trouble::RouterLost { router: 0 },
            )],
        ),
        ("all start at once", vec![during(start, Trouble::Lost)]),
        (
            "seven of ten requests at one router",
            one(Trouble::Crowded {
                router: 0,
                share: 0.7,
            }),
        ),
        ("keepers silent", one(Trouble::SilentKeepers)),
        ("queries 20 ms late", one(Trouble::LateQueries { by: 20 })),
    ]
}

fn main() {
    let mut args = std::env::args().skip(1);
    let seeds = args
        .next()
        .and_then(|seeds| seeds.parse().ok())
        .unwrap_or(1);
    let only: Option<usize> = args.next().and_then(|routers| routers.parse().ok());
    let what = args.next();
    let wanted = |name: &str| what.as_deref().is_none_or(|what| what == name);
    println!(
        "routers | load | failure | with | on time in the span | short: p50, p99 | medium: p50, p99 | long: p50, p99 | read again, thousand tokens | worst over the multiple: of all seeds, of any | queries, silent ones, notes of a router in a second"
    );
    for fleet in FLEETS {
        if only.is_some_and(|only| only != fleet.0) {
            continue;
        }
        for load in LOADS.iter().filter(|_| wanted("loads")) {
            compare(fleet, load, "none", &[], seeds);
        }
        for load in LOADS[..2].iter().filter(|_| wanted("failures")) {
            for (name, spans) in failures(fleet.0, load.span.0) {
                compare(fleet, load, name, &spans, seeds);
            }
        }
    }
}
