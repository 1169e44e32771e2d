//! Weighs three ways to run an action at most once, by their doubled runs and refusals.
//!
//! `cargo run --release -p toucanturn-core --example measure_once` prints a table for each fault.
//! Everything is drawn from fixed seeds. The ways:
//!
//! - `ticket`: the caller first fetches a ticket that names one life of a router; only that life
//!   runs the action.
//! - `lease`: the home of [`toucanturn_core::once`], as it is.
//! - `live`: the home by rendezvous over each router's own list of live routers, without a lease
//!   and without dates; the baseline to beat.
#![expect(
    clippy::unwrap_used,
    clippy::cast_possible_truncation,
    reason = "a measurement"
)]

mod sim;

use sim::{
    Fault,
    REPEAT_AFTER,
    REPEATS,
    Setting,
    Sim,
    WARM,
    Way, //
};

/// Gets the bytes of a number as protobuf writes it.
const fn varint(n: u64) -> u64 {
    (64 - (n | 1).leading_zeros() as u64).div_ceil(7)
}

/// Gets the bytes of one question and its answer: the fields, and with them the frames of gRPC
/// (5 bytes) and HTTP/2 (9 bytes) around each.
fn message_bytes(epoch: u64, round: u64, lease: u64) -> (u64, u64) {
    let ask = (1 + varint(epoch)) + (1 + varint(round)) + (1 + varint(lease)) + 2;
    let answer = 2 * (1 + varint(epoch)) + (1 + varint(round)) + 2 + 2;
    (ask + answer, ask + answer + 2 * 14)
}

fn print(name: &str, setting: Setting, faults: &[(u64, Fault)], ways: &[Way]) {
    println!("\n{name}: {setting:?}");
    println!("  way     actions  doubled  unknown  not_run  (per 10,000)  told at first try");
    for way in ways {
        let (count, asks) = Sim::new(*way, setting, faults).run();
        let per = |n: u64| n as f64 * 10_000.0 / count.actions as f64;
        println!(
            "  {:<7} {:>7}  {:>7.1}  {:>7.1}  {:>7.1}  {:>31.1}",
            format!("{way:?}").to_lowercase(),
            count.actions,
            per(count.doubled),
            per(count.unknown),
            per(count.not_run),
            per(count.first),
        );
        if *way == Way::Lease {
            let span = setting.span + WARM + REPEAT_AFTER * u64::from(REPEATS) * 4;
            let (bare, framed) = message_bytes(21_000, 1_000_000, setting.lease);
            let rate = |bytes: u64| asks as f64 * bytes as f64 * 1000.0 / span as f64;
            println!(
                "          lease traffic sent by each router: {:.0} B/s, framed {:.0} B/s",
                rate(bare),
                rate(framed)
            );
        }
    }
}

fn main() {
    use Way::{
        Lease,
        Live,
        Ticket, //
    };
    let all = [Ticket, Lease, Live];
    let seven = |lease, skew| Setting {
        routers: 7,
        lease,
        skew,
        rate: 50,
        span: 300_000,
    };
    let rolling: Vec<_> = (0..7)
        .map(|n| (30_000 * (n + 1), Fault::Down(n as usize)))
        .collect();
    for (lease, skew) in [
        (2000, 1000),
        (1000, 1000),
        (4000, 1000),
        (8000, 1000),
        (2000, 250),
    ] {
        let ways: &[Way] = if (lease, skew) == (2000, 1000) {
            &all
        } else {
            &[Lease]
        };
        let setting = seven(lease, skew);
        print(
            "rolling restart of 7 routers in 5 minutes",
            setting,
            &rolling,
            ways,
        );
        let one = [(30_000, Fault::Without(1))];
        print(
            "one router taken out of the list, 5 minutes",
            setting,
            &one,
            ways,
        );
    }
    let hour = Setting {
        span: 3_900_000,
        rate: 10,
        ..seven(2000, 1000)
    };
    let cut = [(120_000, Fault::Cut(2)), (3_720_000, Fault::Cut(0))];
    print("2 of 7 routers cut off for an hour", hour, &cut, &all);
    let mut answered = cut.to_vec();
    answered.insert(1, (420_000, Fault::Without(1)));
    answered.insert(2, (450_000, Fault::Without(2)));
    print(
        "the same, both taken out of the list after 5 minutes",
        hour,
        &answered,
        &[Lease],
    );
    for lease in [2000, 4000, 8000] {
        let large = Setting {
            routers: 330,
            lease,
            skew: 1000,
            rate: 200,
            span: 200_000,
        };
        let step = 86_400_000 / 920;
        let restarts = 200_000 / step;
        let restarts: Vec<_> = (0..restarts)
            .map(|n| (10_000 + n * step, Fault::Down(40 + n as usize * 37)))
            .collect();
        let ways: &[Way] = if lease == 2000 { &all } else { &[Lease] };
        print(
            "920 restarts a day at 330 routers, 200 seconds",
            large,
            &restarts,
            ways,
        );
    }
}
