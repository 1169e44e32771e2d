//! Measures the limits: how closely three ways hold a fleet-wide limit, and what grants cost in
//! messages.
//!
//! `cargo run --release -p toucanturn-core --example measure_limits`

#[expect(dead_code, reason = "the example and the tests use a part each")]
#[path = "../tests/limits_fleet/mod.rs"]
mod limits_fleet;

use limits_fleet::{
    Fleet,
    Network,
    Published, //
};
use toucanturn_core::units::{
    Millis,
    Time, //
};

const LIMIT: u32 = 300;
const WINDOW: usize = 10_000;
const RUN: usize = 40_000;
/// Time between two tellings of the own demand in the gossip model.
const GOSSIP: usize = 200;

const LAN: Network = Network {
    delay: (1, 3),
    loss: 0,
    summaries: 6,
};

/// Demand at each router for each millisecond.
type Demand = Box<dyn Fn(usize) -> Vec<f64>>;

fn shapes(routers: usize, load: f64) -> Vec<(&'static str, Demand)> {
    let rate = f64::from(LIMIT) * load;
    let at = move |which: usize| {
        let mut rates = vec![0.0; routers];
        rates[which] = rate;
        rates
    };
    let split = move || {
        let mut rates = vec![rate * 0.1 / (routers - 1) as f64; routers];
        rates[1] = rate * 0.9;
        rates
    };
    vec![
        (
            "even",
            Box::new(move |_| vec![rate / routers as f64; routers]),
        ),
        ("one router", Box::new(move |_| at(1))),
        ("90/10", Box::new(move |_| split())),
        ("shift each 2 s", Box::new(move |ms| at(ms / 2000 % 5))),
    ]
}

/// Fewest and most admitted in any ten seconds after the first two, from counts by millisecond.
fn extremes(admitted: &[f64]) -> (f64, f64) {
    let mut sum: f64 = admitted[2000..2000 + WINDOW].iter().sum();
    let (mut low, mut high) = (sum, sum);
    for end in 2000 + WINDOW..admitted.len() {
        sum += admitted[end] - admitted[end - WINDOW];
        low = low.min(sum);
        high = high.max(sum);
    }
    (low, high)
}

/// Each router has a bucket with its part of the limit: `parts` says which at a time.
fn bucketed(routers: usize, demand: &Demand, parts: impl Fn(usize) -> Vec<f64>) -> Vec<f64> {
    let limit = f64::from(LIMIT);
    let mut tokens = vec![0.0; routers];
    let mut admitted = Vec::with_capacity(RUN);
    for ms in 0..RUN {
        let (rates, parts) = (demand(ms), parts(ms));
        let mut sum = 0.0;
        for router in 0..routers {
            let full = limit * parts[router];
            tokens[router] = f64::min(tokens[router] + full / 1000.0, full.max(1.0));
            let taken = f64::min(tokens[router], rates[router] / 1000.0);
            tokens[router] -= taken;
            sum += taken;
        }
        admitted.push(sum);
    }
    admitted
}

fn by_static_share(routers: usize, demand: &Demand) -> Vec<f64> {
    bucketed(routers, demand, |_| vec![1.0 / routers as f64; routers])
}

/// Each router takes the part of the limit that it has of the demand, as last told; one that had
/// none takes its static share.
fn by_gossip(routers: usize, demand: &Demand) -> Vec<f64> {
    let told = |ms: usize| demand((ms / GOSSIP * GOSSIP).saturating_sub(GOSSIP));
    bucketed(routers, demand, |ms| {
        let (mut known, own) = (told(ms), demand(ms));
        let mut parts = vec![0.0; routers];
        for router in 0..routers {
            // A router knows its own demand at once, the others' late.
            let old = std::mem::replace(&mut known[router], own[router]);
            let all: f64 = known.iter().sum();
            parts[router] = if all > 0.0 { own[router] / all } else { 0.0 };
            known[router] = old;
        }
        parts
    })
}

fn by_grants(routers: usize, demand: &Demand, network: Network) -> Vec<f64> {
    let published = Published::new(routers, 1, LIMIT, LIMIT);
    let mut fleet = Fleet::new(&published, network, 1);
    let workspace = fleet.workspace(0);
    for ms in (0..RUN).step_by(100) {
        fleet.run(Millis(100), workspace, &demand(ms));
    }
    let mut admitted = vec![0.0; RUN + 1];
    for one in &fleet.admitted {
        if let Some(slot) = usize::try_from(one.at.0)
            .ok()
            .and_then(|i| admitted.get_mut(i))
        {
            *slot += 1.0;
        }
    }
    admitted
}

fn compare(routers: usize, load: f64) {
    let window = f64::from(LIMIT) * 10.0;
    for (name, demand) in shapes(routers, load) {
        let lossy = Network { loss: 20, ..LAN };
        let ways = [
            ("static share", by_static_share(routers, &demand)),
            ("gossip", by_gossip(routers, &demand)),
            ("grants", by_grants(routers, &demand, LAN)),
            ("grants, 2 % lost", by_grants(routers, &demand, lossy)),
        ];
        for (way, admitted) in ways {
            let (low, high) = extremes(&admitted);
            let (low, high) = (low / window * 100.0, high / window * 100.0);
            println!(
                "{routers:>3} routers, load {load}, {name:<15} {way:<17} {low:>6.1} .. {high:>6.1} %"
            );
        }
    }
}

/// Counts messages at `total` requests a second over workspaces whose sizes follow Zipf's law;
/// each limit is twice the demand, or half of it for the `over` greatest.
fn messages(routers: usize, workspaces: usize, total: f64, over: usize) {
    let harmonic: f64 = (1..=workspaces).map(|i| 1.0 / i as f64).sum();
    let share = |i: usize| total / harmonic / (i + 1) as f64;
    let limits: Vec<u32> = (0..workspaces)
        .map(|i| {
            let part = if i < over { 0.5 } else { 2.0 };
            format!("{:.0}", share(i) * part)
                .parse()
                .unwrap_or(1)
                .max(2)
        })
        .collect();
    let published = Published::with_limits(routers, &limits);
    let mut fleet = Fleet::new(&published, LAN, 1);
    let keys: Vec<_> = (0..workspaces).map(|i| fleet.workspace(i)).collect();
    let mut debts: Vec<f64> = (0..workspaces).map(|i| (i % 97) as f64 / 97.0).collect();
    let mut spread = 0_usize;
    let seconds = 10;
    let warm = Time(3000);
    let mut counted = vec![(0, 0); routers];
    while fleet.now < warm + Millis::from_secs(seconds) {
        fleet.step();
        for (i, debt) in debts.iter_mut().enumerate() {
            *debt += share(i) / 1000.0;
            while *debt >= 1.0 {
                *debt -= 1.0;
                // A balancer that spreads without looking: a fixed walk through all routers.
                spread = (spread * 1_103_515_245 + 12_345) % (1 << 31);
                fleet.call((spread >> 8) % routers, keys[i]);
            }
        }
        if fleet.now == warm {
            counted = fleet.routers.iter().map(|r| (r.sent, r.received)).collect();
        }
    }
    let rates: Vec<(u64, u64)> = fleet
        .routers
        .iter()
        .zip(&counted)
        .map(|(r, c)| ((r.sent - c.0) / seconds, (r.received - c.1) / seconds))
        .collect();
    let mean = rates.iter().map(|r| r.0).sum::<u64>() / routers as u64;
    let most = rates.iter().max().copied().unwrap_or_default();
    let mut waits = fleet.waits.clone();
    waits.sort_unstable();
    let (median, p99) = (waits[waits.len() / 2], waits[waits.len() * 99 / 100]);
    println!(
        "{routers} routers, {workspaces} workspaces, {total}/s, {over} over: \
         {mean} messages/s sent by a node in the mean, most {} sent and {} received; \
         wait median {median} ms, p99 {p99} ms; {} admitted, {} refused",
        most.0,
        most.1,
        fleet.admitted.len(),
        fleet.refused.len()
    );
}

fn main() {
    for routers in [7, 330] {
        for load in [1.0, 3.0] {
            compare(routers, load);
        }
    }
    messages(7, 10, 140.0, 0);
    messages(7, 10, 140.0, 3);
    messages(330, 3800, 6600.0, 0);
    messages(330, 3800, 6600.0, 3);
}
