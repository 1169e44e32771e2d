//! Ways to keep a limit on a cold endpoint over all routers: the most requests that it gets within a second, and the part
//! of the requests for it that it takes.
//!
//! `cargo run --release -p toucanturn-core --example measure_warmup`

use std::collections::VecDeque;

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use slotmap::SlotMap;
use toucanturn_core::{
    arena::EndpointKey,
    gateway::warmup::{
        ColdEndpoint,
        Fleet,
        Warmup, //
    },
    load::score,
    units::Time, //
};

/// Requests that the endpoint may get within a second.
const BOUND: u32 = 26;
/// Step of the simulation, in milliseconds.
const STEP: u64 = 10;
/// Time for which the endpoint is cold, in milliseconds, after the routers have met.
const COLD: u64 = 3000;
/// When it turns cold.
const BEGIN: u64 = 6000;
/// Time that a count takes to all other routers, in milliseconds: seven rounds of digests.
const TOLD: u64 = 700;
/// Time for which a drawn part may be used, in milliseconds.
const DRAWN: u64 = 300;
/// Seeds played of each case.
const SEEDS: u64 = 10;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// No limit.
    None,
    /// Owners by rendezvous, each with its part.
    Owners,
    /// One request for each router in each turn of the fleet, at a drawn time and for a short while.
    Drawn,
    /// Counts told in digests.
    Told,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Case {
    /// All routers hear each other.
    Calm,
    /// Each hears only its half of the fleet.
    Cut,
    /// Each hears only its half, and all have just restarted.
    CutRestarted,
}

/// Plays one case; gives the most requests within a second, those that came through, and all that were asked.
fn play(way: Way, case: Case, routers: u64, per_second: f64, seed: u64) -> (usize, usize, usize) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut keys: SlotMap<EndpointKey, ()> = SlotMap::with_key();
    let cold = ColdEndpoint {
        key: keys.insert(()),
        seed: rng.random(),
        bound: BOUND,
    };
    let tags: Vec<u64> = (0..routers).map(|n| score(7, n)).collect();
    let mut owners = vec![Warmup::default(); tags.len()];
    let side = |n: usize, now: u64| match case {
        Case::Calm => 0,
        Case::Cut if now < BEGIN => 0,
        Case::Cut | Case::CutRestarted => n % 2,
    };
    let known = |now: u64| match case {
        Case::Calm => routers,
        Case::Cut if now < BEGIN => routers,
        Case::Cut | Case::CutRestarted => routers / 2,
    };
    // The last turn of each router: its time, and whether it is used. Turns take three times as long as the bound would
    // allow, as they meet by chance.
    let turn = |now| (1000 * known(now) / u64::from(BOUND / 3)).max(DRAWN);
    let first = |_| (rng.random_range(0..turn(0)), false);
    let mut turns: Vec<(u64, bool)> = (0..tags.len()).map(first).collect();
    let mut sends: VecDeque<(u64, usize)> = VecDeque::new();
    let (mut most, mut through, mut asked) = (0, 0, 0);
    let chance = per_second / routers as f64 * STEP as f64 / 1000.0;
    let mut now = 0;
    while now < BEGIN + COLD {
        now += STEP;
        if now.is_multiple_of(100) {
            for (n, warmup) in owners.iter_mut().enumerate() {
                let others = tags.iter().enumerate();
                let others = others.filter(|(m, _)| *m != n && side(*m, now) == side(n, now));
                let fleet = Fleet {
                    me: tags[n],
                    others: others.map(|(_, tag)| *tag).collect(),
                    expected: true,
                };
                warmup.follow(Time(now), &fleet, &[cold]);
            }
        }
        for n in 0..tags.len() {
            if now >= turns[n].0 + turn(now) {
                turns[n] = (now, false);
            }
            if now < BEGIN || !rng.random_bool(chance.min(1.0)) {
                continue;
            }
            asked += 1;
            let free = match way {
                Way::None => true,
                Way::Owners => owners[n].admits(Time(now), cold.key),
                Way::Drawn => {
                    let (begin, used) = turns[n];
                    !used && (begin..begin + DRAWN).contains(&now)
                }
                Way::Told => {
                    let seen = |(at, by): &&(u64, usize)| {
                        *by == n || side(*by, now) == side(n, now) && at + TOLD <= now
                    };
                    sends.iter().filter(seen).count() < BOUND as usize
                }
            };
            if !free {
                continue;
            }
            owners[n].record_placed(Time(now), 0, cold.key);
            owners[n].sent(Time(now), cold.key);
            turns[n].1 = true;
            sends.push_back((now, n));
            through += 1;
        }
        let window = sends.iter().filter(|(at, _)| at + 1000 > now).count();
        most = most.max(window);
        while sends.front().is_some_and(|(at, _)| at + 1000 + TOLD < now) {
            sends.pop_front();
        }
    }
    (most, through, asked)
}

fn main() {
    println!("routers  asked/s  case           way     most in 1 s  seeds over {BOUND}  taken");
    for routers in [7, 86, 295] {
        for per_second in [8.0, 30.0, 120.0] {
            for case in [Case::Calm, Case::Cut, Case::CutRestarted] {
                for way in [Way::None, Way::Owners, Way::Drawn, Way::Told] {
                    let played = (0..SEEDS).map(|s| play(way, case, routers, per_second, s));
                    let played: Vec<_> = played.collect();
                    let most = played.iter().map(|p| p.0).max().unwrap_or_default();
                    let over = played.iter().filter(|p| p.0 > BOUND as usize).count();
                    let through: usize = played.iter().map(|p| p.1).sum();
                    let asked: usize = played.iter().map(|p| p.2).sum();
                    println!(
                        "{routers:7}  {per_second:7}  {:13}  {:6}  {most:11}  {over:13}  {:5.2}",
                        format!("{case:?}"),
                        format!("{way:?}"),
                        through as f64 / asked as f64
                    );
                }
            }
        }
    }
}
