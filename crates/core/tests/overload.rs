//! Tests that under overload the requests of the lowest priority and of surging workspaces are shed
//! at once, while the others are answered in time.

#[expect(dead_code, reason = "the tests use only a part of the simulated pool")]
mod overload_pool;

use std::collections::BTreeMap;

use googletest::prelude::*;
use overload_pool::{
    AdmissionMode,
    Answer,
    Pool,
    STEP_MS,
    Workspace, //
};
use rand::RngExt;
use toucanturn_core::{
    overload::Verdict,
    units::{
        Millis,
        Time, //
    },
};

const ROUTERS: usize = 7;
const ENGINES: usize = 10;
const ENGINE_CAPACITY: usize = 32;
/// Mean time that an engine spends on a chat.
const MEAN_SERVICE_MS: u64 = 4000;
/// Longest wait for the first token that 95 % of chats may have.
const MAX_FIRST_TOKEN_WAIT: Millis = Millis(1100);

fn chat(priority: u8) -> Workspace {
    Workspace {
        priority,
        deadline: Millis::from_secs(30),
    }
}

/// Returns the requests per second that keep this fraction of the pool busy.
fn rate(fraction: f64) -> f64 {
    fraction * (ENGINES * ENGINE_CAPACITY) as f64 * 1000.0 / MEAN_SERVICE_MS as f64
}

/// Advances time by one step in which each workspace sends at its rate. Adds the requests that
/// arrived and those that were admitted to the counts of their workspace.
fn step(pool: &mut Pool, rates: &[f64], arrived: &mut [usize], admitted: &mut [usize]) {
    pool.step();
    for (workspace, rate) in rates.iter().enumerate() {
        let mean = rate * STEP_MS as f64 / 1000.0;
        let whole = mean.floor();
        let extra = pool.rng.random_range(0.0..1.0) < mean - whole;
        #[expect(clippy::cast_possible_truncation, reason = "small")]
        #[expect(clippy::cast_sign_loss, reason = "not negative")]
        let count = whole as usize + usize::from(extra);
        for _ in 0..count {
            let router = pool.rng.random_range(0..ROUTERS);
            let service = Millis(
                pool.rng
                    .random_range(MEAN_SERVICE_MS / 2..MEAN_SERVICE_MS * 3 / 2),
            );
            arrived[workspace] += 1;
            admitted[workspace] += usize::from(pool.request(router, workspace, service));
        }
    }
}

fn run(pool: &mut Pool, span: Millis, rates: &[f64]) -> (Vec<usize>, Vec<usize>) {
    let mut arrived = vec![0; rates.len()];
    let mut admitted = vec![0; rates.len()];
    let end = pool.now + span;
    while pool.now < end {
        step(pool, rates, &mut arrived, &mut admitted);
    }
    (arrived, admitted)
}

/// Runs workspaces 0 to 3 at half of the pool's capacity together, while workspace 4 surges to
/// `surge` times the pool's capacity. Returns the requests that arrived and that were admitted.
fn run_surge(admission: AdmissionMode, surge: f64) -> (Pool, Vec<usize>, Vec<usize>) {
    let mut pool = Pool::new(ROUTERS, ENGINES, ENGINE_CAPACITY, &[chat(5); 5], admission);
    let quiet = rate(0.125);
    run(
        &mut pool,
        Millis(20_000),
        &[quiet, quiet, quiet, quiet, 0.0],
    );
    let rates = [quiet, quiet, quiet, quiet, rate(surge)];
    let (arrived, admitted) = run(&mut pool, Millis(40_000), &rates);
    run(&mut pool, Millis(20_000), &[0.0; 5]);
    (pool, arrived, admitted)
}

/// A batch whose shed requests are sent again after their `Retry-After`.
struct Batch {
    /// Service times of the requests still to be admitted, by time of the next try and number.
    pending: BTreeMap<(Time, usize), Millis>,
    due: Time,
    workspace: usize,
}

impl Batch {
    fn new(pool: &mut Pool, workspace: usize, count: usize, due: Time) -> Self {
        let mut pending = BTreeMap::new();
        for number in 0..count {
            let at = Time(pool.rng.random_range(1..10_000));
            pending.insert((at, number), Millis(pool.rng.random_range(8000..12_000)));
        }
        Self {
            pending,
            due,
            workspace,
        }
    }

    fn step(&mut self, pool: &mut Pool) {
        while let Some(entry) = self.pending.first_entry() {
            if entry.key().0 > pool.now {
                break;
            }
            let ((_, number), service) = entry.remove_entry();
            let router = pool.rng.random_range(0..ROUTERS);
            if pool.request_until(router, self.workspace, service, self.due) {
                continue;
            }
            if let Some((_, _, Verdict::Shed { retry_after })) = pool.shed.last() {
                self.pending
                    .insert((pool.now + *retry_after, number), service);
            }
        }
    }
}

/// Result of a batch that runs beside chats.
struct BatchResult {
    completed: usize,
    size: usize,
    /// Chats that got their first token in time, and all chats that arrived.
    chats: (usize, usize),
}

/// Runs chats at 75 % of the capacity of a pool of 4 engines, and a batch of 16 % of what the pool
/// can do in the 20 minutes until the batch is due.
fn run_batch_beside_chats(admission: AdmissionMode, deadline: Millis) -> BatchResult {
    let due = Time(1_200_000);
    let batch = Workspace {
        priority: 1,
        deadline,
    };
    let mut pool = Pool::new(ROUTERS, 4, ENGINE_CAPACITY, &[chat(7), batch], admission);
    let size = 4 * ENGINE_CAPACITY * 120 * 16 / 100;
    let mut batch_run = Batch::new(&mut pool, 1, size, due);
    let rate = 0.75 * (4 * ENGINE_CAPACITY) as f64 * 1000.0 / MEAN_SERVICE_MS as f64;
    let (mut arrived, mut admitted) = ([0], [0]);
    while pool.now < due {
        step(&mut pool, &[rate], &mut arrived, &mut admitted);
        batch_run.step(&mut pool);
    }
    let completed = pool.answers.iter().filter(|a| a.workspace == 1).count();
    let wait = pool.percentile(0, Time(0), 95, |a| a.wait);
    println!(
        "{admission:?}, deadline {deadline:?}: batch {completed} of {size}, chat p95 {wait:?}"
    );
    println!("  chats admitted {admitted:?} of {arrived:?}");
    let is_in_time = |a: &&Answer| a.workspace == 0 && a.wait <= MAX_FIRST_TOKEN_WAIT;
    let in_time = pool.answers.iter().filter(is_in_time).count();
    println!("  {in_time} chats with a first token in time");
    BatchResult {
        completed,
        size,
        chats: (in_time, arrived[0]),
    }
}

#[gtest]
fn verify_batch_ends_by_its_due_time_while_chats_start_in_time() {
    // A batch that always yields to chats does not end by its due time; one that never yields fills
    // the engines, and chats wait seconds for their first token.
    let result = run_batch_beside_chats(AdmissionMode::AdmissionController, Millis(1_200_000));
    expect_that!(result.completed, eq(result.size));
    // A shed chat counts as late, and so does one that is not answered when the run ends.
    expect_that!(result.chats.0 * 100, ge(result.chats.1 * 95));
}

#[gtest]
fn verify_lowest_priority_is_shed_first() {
    // Three priorities together send one and a half times the pool's capacity. Refusals that ignore
    // the priority would shed important chats and admit unimportant ones.
    let priorities = [chat(2), chat(5), chat(8)];
    let mut pool = Pool::new(
        ROUTERS,
        ENGINES,
        ENGINE_CAPACITY,
        &priorities,
        AdmissionMode::AdmissionController,
    );
    let rates = [rate(0.5); 3];
    run(&mut pool, Millis(20_000), &rates);
    let (arrived, admitted) = run(&mut pool, Millis(40_000), &rates);
    println!("priorities 2, 5, 8: admitted {admitted:?} of {arrived:?}");
    expect_that!(admitted[2] * 100, ge(arrived[2] * 99));
    expect_that!(admitted[0] * 10, le(arrived[0]));
    expect_that!(admitted[1], gt(admitted[0] * 3));
}

#[gtest]
fn verify_retry_after_of_shed_requests_is_spread() {
    // Thousands of requests are shed within a second. With one `Retry-After` for all they come back
    // together and cause the next overload.
    let (pool, _, _) = run_surge(AdmissionMode::AdmissionController, 20.0);
    let retry_after = |verdict: &Verdict| match verdict {
        Verdict::Shed { retry_after } => Some(retry_after.0),
        _ => None,
    };
    let shed = pool.shed.iter().filter(|s| s.1.0 / 1000 == 40);
    let all: Vec<u64> = shed.filter_map(|s| retry_after(&s.2)).collect();
    let mut seconds = BTreeMap::new();
    for delay in &all {
        *seconds.entry(delay / 1000).or_insert(0_usize) += 1;
    }
    let busiest = seconds.values().max().copied().unwrap_or_default();
    println!(
        "{} requests shed in one second, by seconds of retry time: {seconds:?}",
        all.len()
    );
    expect_that!(busiest * 8, le(all.len()));
}

#[gtest]
fn verify_request_with_an_unreachable_deadline_is_refused_at_once() {
    // A request with 1 s left arrives while the engines have long queues. Unless the estimated wait
    // is compared with the time left, the caller waits in vain until its deadline.
    let mut pool = Pool::new(1, 1, ENGINE_CAPACITY, &[chat(5)], AdmissionMode::None);
    let request_count = 4 * ENGINE_CAPACITY;
    for _ in 0..request_count {
        pool.request(0, 0, Millis(MEAN_SERVICE_MS));
    }
    run(&mut pool, Millis(MEAN_SERVICE_MS + 1000), &[]);
    pool.admission = AdmissionMode::AdmissionController;
    let deadline = pool.now + Millis(1000);
    expect_that!(
        pool.request_until(0, 0, Millis(MEAN_SERVICE_MS), deadline),
        eq(false)
    );
    let verdict = pool.shed.last().map(|s| s.2);
    expect_that!(verdict, some(eq(Verdict::DeadlineUnreachable)));
    let deadline = pool.now + Millis(60_000);
    expect_that!(
        pool.request_until(0, 0, Millis(MEAN_SERVICE_MS), deadline),
        eq(false)
    );
    let verdict = pool.shed.last().map(|s| s.2);
    expect_that!(verdict, not(some(eq(Verdict::DeadlineUnreachable))));
}

#[gtest]
fn verify_surge_of_one_workspace_does_not_delay_others() {
    // One workspace sends up to twenty times the pool's capacity at the others' priority. Engines
    // that fill with its requests would delay the requests of the other workspaces.
    let from = Time(20_000);
    let (calm, _, _) = run_surge(AdmissionMode::AdmissionController, 0.0);
    for surge in [1.0, 5.0, 20.0] {
        let (pool, arrived, admitted) = run_surge(AdmissionMode::AdmissionController, surge);
        for quiet in 0..4 {
            let (before, after) = (calm.p99(quiet, from), pool.p99(quiet, from));
            println!("surge {surge}: p99 of {quiet} {before:?} -> {after:?}");
            expect_that!(after.0 * 10, le(before.0 * 11));
            expect_that!(admitted[quiet] * 100, ge(arrived[quiet] * 99));
        }
        println!("surge {surge}: admitted {admitted:?} of {arrived:?}");
    }
}
