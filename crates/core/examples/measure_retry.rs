//! Measures ways to bound retries, to spread returns and to hedge. Fixed seeds: the same figures
//! at each run. docs/design/retries.md gives them.

use std::{
    cmp::Reverse,
    collections::BinaryHeap, //
};

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use toucanturn_core::{
    config::Policy,
    request::Code,
    retry::{
        self,
        RefusalCause,
        RetryBudget, //
    },
    units::Millis,
};

const CALLS: u32 = 100_000;

fn main() {
    amplification();
    returns();
    hedging();
}

/// Sends calls whose every attempt fails with probability `share`; `may` says whether one more
/// attempt may follow. Gives attempts a call and the share of calls that failed in the end.
fn calls(share: f64, mut first: impl FnMut(), mut may: impl FnMut() -> bool) -> (f64, f64) {
    let mut rng = StdRng::seed_from_u64(1);
    let (mut attempts, mut lost) = (0u32, 0u32);
    for _ in 0..CALLS {
        first();
        for n in 1.. {
            attempts += 1;
            if !rng.random_bool(share) {
                break;
            }
            if n == Policy::default().max_attempts || !may() {
                lost += 1;
                break;
            }
        }
    }
    let calls = f64::from(CALLS);
    (f64::from(attempts) / calls, f64::from(lost) / calls)
}

fn amplification() {
    println!("retries: attempts a call / share of calls lost, by share of attempts that fail");
    let policy = Policy::default();
    for share in [0.01, 0.05, 0.1, 0.3, 1.0] {
        let none = calls(share, || (), || false);
        let three = calls(share, || (), || true);
        let budget = std::cell::RefCell::new(RetryBudget::default());
        let budgeted = calls(
            share,
            || budget.borrow_mut().first(&policy),
            || budget.borrow_mut().take(),
        );
        println!(
            "{share}: none {none:.4?}; three attempts {three:.4?}; budget (chosen) {budgeted:.4?}"
        );
    }
}

/// Gives the most returns within 50 ms, when ten thousand callers are refused together.
fn peak(mut retry_after: impl FnMut(&mut StdRng) -> Millis) -> u32 {
    let mut rng = StdRng::seed_from_u64(1);
    let mut bins = vec![0u32; 400];
    for _ in 0..10_000 {
        let bin = usize::try_from(retry_after(&mut rng).0 / 50).unwrap_or(usize::MAX);
        bins[bin.min(399)] += 1;
    }
    bins.into_iter().max().unwrap_or(0)
}

fn returns() {
    let cause = RefusalCause {
        code: Code::Overloaded,
        min_wait: Millis(1000),
    };
    let fixed = peak(|_| Millis(1000));
    let tenth = peak(|rng| Millis(rng.random_range(900..=1100)));
    let chosen = peak(|rng| retry::retry_after(cause, rng));
    println!(
        "returns of 10,000 refused callers, most in 50 ms: fixed {fixed}; a tenth of jitter \
         {tenth}; spread (chosen) {chosen}"
    );
}

const ENGINES: usize = 10;
const SLOTS: usize = 8;

/// Queues a request at an engine's first free slot. Gives the slot, its start and its end.
fn place(free: &mut [u64], at: u64, length: u64) -> (usize, u64, u64) {
    let slot = (0..free.len()).min_by_key(|n| free[*n]).unwrap_or(0);
    let start = at.max(free[slot]);
    free[slot] = start + length;
    (slot, start, start + length)
}

/// Runs chats of 1 s on average (exponential) at ten engines of eight slots. With `hedge`, one not
/// done after that time goes to a second engine too, where it takes half as long again, as its
/// prefix isn't cached there; the first to end cancels the other. Gives the 99th percentile in ms
/// and the share of slot time spent on what was thrown away.
fn chats(load: f64, hedge: Option<u64>) -> (u64, f64) {
    let mut rng = StdRng::seed_from_u64(7);
    let mut free = vec![vec![0u64; SLOTS]; ENGINES];
    let mut at = 0.0;
    let mut queue = BinaryHeap::new();
    for n in 0..100_000u32 {
        let gap: f64 = rng.random_range(f64::EPSILON..1.0);
        at -= gap.ln() * 1000.0 / (load * 80.0);
        queue.push(Reverse((whole(at), n, None)));
    }
    let (mut times, mut work, mut wasted) = (Vec::new(), 0, 0);
    while let Some(Reverse((now, n, first))) = queue.pop() {
        let draw: f64 = rng.random_range(f64::EPSILON..1.0);
        let length = whole(-draw.ln() * 1000.0) + 1;
        let engine = rng.random_range(0..ENGINES);
        let Some((came, other, slot, start, end)) = first else {
            let (slot, start, end) = place(&mut free[engine], now, length);
            work += length;
            let late = hedge.filter(|h| end > now + h);
            match late {
                Some(h) => {
                    queue.push(Reverse((now + h, n, Some((now, engine, slot, start, end)))));
                }
                None => times.push(end - now),
            }
            continue;
        };
        let engine = if engine == other {
            (engine + 1) % ENGINES
        } else {
            engine
        };
        let (slot2, start2, end2) = place(&mut free[engine], now, length * 3 / 2);
        let done: u64 = end.min(end2);
        times.push(done - came);
        // What queues behind the cancelled copy was placed before and gains nothing by it.
        if end2 < end && free[other][slot] == end {
            free[other][slot] = done.max(start);
        }
        if end <= end2 && free[engine][slot2] == end2 {
            free[engine][slot2] = done.max(start2);
        }
        let loser = if end <= end2 { start2 } else { start };
        wasted += done.saturating_sub(loser);
        work += done.saturating_sub(loser);
    }
    times.sort_unstable();
    let at = times.len() * 99 / 100;
    (times[at], per(wasted, work))
}

fn per(part: u64, whole: u64) -> f64 {
    part as f64 / whole as f64
}

#[expect(clippy::cast_possible_truncation, reason = "a float cast saturates")]
const fn whole(value: f64) -> u64 {
    value as u64
}

fn hedging() {
    println!("hedging: 99th percentile in ms / share of engines' time thrown away");
    for load in [0.3, 0.6, 0.8, 0.9] {
        let none = chats(load, None);
        let late = chats(load, Some(3000));
        let soon = chats(load, Some(1500));
        println!(
            "load {load}: none (chosen) {none:.3?}; after 3 s {late:.3?}; after 1.5 s {soon:.3?}"
        );
    }
}
