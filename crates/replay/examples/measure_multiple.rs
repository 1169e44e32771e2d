//! Measures how far engines are over the load multiple, and what prompts cost, at several sizes of a fleet.

use toucanturn_replay::lab::{
    account::Account,
    engine::Shape,
    play,
    sheet::{
        Kind,
        Placement,
        Sheet,
        Span,
        Trouble, //
    },
};

/// Size to which the rates belong.
const ROUTERS: f64 = 86.0;
const SEEDS: std::ops::RangeInclusive<u64> = 1..=4;

fn scaled(count: f64, scale: f64) -> u64 {
    format!("{:.0}", (count * scale).max(3.0))
        .parse()
        .unwrap_or(3)
}

fn sheet(routers: usize, troubles: Vec<Span>) -> Sheet {
    let scale = f64::from(u32::try_from(routers).unwrap_or(u32::MAX)) / ROUTERS;
    let kind = |rate, sessions, shared, own, output, goal| Kind {
        rate: rate * scale,
        sessions: scaled(sessions, scale),
        shared,
        own,
        output,
        goal,
    };
    Sheet {
        routers,
        engines: usize::try_from(scaled(90.0, scale)).unwrap_or(3),
        shape: Shape {
            slots: 64,
            step: 3.09,
            per_request: 0.102,
            read: 56.9,
            chunk: 1024.0,
            first: 13.0,
            memory: 302_458,
        },
        kinds: vec![
            kind(209.0, 838.0, 8620, 580, 52, 500),
            kind(388.0, 400.0, 2041, 360, 23, 800),
            kind(111.0, 296.0, 603, 110, 280, 1000),
        ],
        troubles,
        length: 12_000,
        hold: 5000,
        tells_back_offs: true,
        asks_keepers: true,
        placement: Placement::Routers,
    }
}

fn main() {
    let span = |trouble| Span {
        from: 4000,
        to: 8000,
        trouble,
    };
    let hot = span(Trouble::Hot {
        kind: 0,
        share: 0.28,
    });
    let burst = |kind| span(Trouble::Burst { kind, times: 1.7 });
    let leave = |share| Span {
        from: 4000,
        to: 6000,
        trouble: Trouble::ScaleIn { share },
    };
    let cases = [
        ("calm", vec![]),
        ("hot session", vec![hot]),
        ("burst", vec![burst(0), burst(1), burst(2)]),
        ("both", vec![hot, burst(0), burst(1), burst(2)]),
        ("a tenth leaves", vec![leave(0.1)]),
        ("a quarter leaves", vec![leave(0.25)]),
        ("a tenth leaves, hot session", vec![leave(0.1), hot]),
        (
            "a tenth leaves, burst",
            vec![leave(0.1), burst(0), burst(1), burst(2)],
        ),
    ];
    println!(
        "| routers | load | over the multiple: most, mean | in time | read again, moved (thousand tokens) |"
    );
    println!("|---|---|---|---|---|");
    for routers in [7, 20, 40, 86, 295] {
        for (name, troubles) in &cases {
            let accounts: Vec<Account> = SEEDS
                .map(|seed| play(&sheet(routers, troubles.clone()), seed))
                .collect();
            let mean = |of: &dyn Fn(&Account) -> f64| {
                accounts.iter().map(of).sum::<f64>() / accounts.len() as f64
            };
            let worst = |a: &Account| a.worst_multiple().0;
            let most = accounts.iter().map(worst).fold(0.0, f64::max);
            println!(
                "| {routers} | {name} | {:.1} %, {:.1} % | {:.3} | {:.0}, {:.0} |",
                100.0 * most,
                100.0 * mean(&worst),
                mean(&|a| a.on_time(1000, 11_000)),
                mean(&|a| a.read_again as f64 / 1000.0),
                mean(&|a| a.moved as f64 / 1000.0),
            );
        }
    }
}
