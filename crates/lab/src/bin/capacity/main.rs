//! Measures the slopes of docs/CAPACITY.md and prints its tables.
//!
//! `tools/capacity.sh` runs it and puts each table, which starts with a line `@@ name`, between the
//! page's marks of that name. Wants `toucanturnd` and `toucanturn-standin` beside it. Without a
//! clock or chance in the decisions, counts and bytes are the same at each run; times and resident
//! memory are not.

#![forbid(unsafe_code)]

use std::process::ExitCode;

use toucanturn_core::units::Millis;
use toucanturn_lab::errors;
use toucanturn_wire::envelope::EXCHANGE;

mod around;
mod cases;
mod daemons;
mod fit;
mod memory;
mod plan;
mod published;
mod world;

use fit::Line;
use published::Size;
use world::World;

/// Fleets that grow in all at once: routers, endpoints, workspaces. The last is the plan.
const FLEETS: [Size; 4] = [
    Size::new(7, 83, 3800),
    Size::new(66, 780, 3800),
    Size::new(165, 1950, 3800),
    Size::new(330, 3900, 3800),
];
const PLAN: Size = FLEETS[3];

/// Requests a second at each router: 6,600 over 330.
const RATE: f64 = 20.0;

/// Changes a second in the mean: 21,000 a day.
const CHANGES: f64 = 21_000.0 / 86_400.0;

/// What a node may spend on control.
const MAY: (f64, f64, f64) = (24.0, 31.0, 32.0);

/// Time simulated before and while events are counted, in seconds.
const WARM: u64 = 12;
const COUNTED: u64 = 10;

/// Runs of each simulation; the one with the median time counts.
const RUNS: usize = 3;

#[tokio::main]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if let [kind, size @ ..] = args.as_slice()
        && kind == "memory"
        && let [routers, endpoints, workspaces] = size
    {
        let number = |text: &String| text.parse().unwrap_or(0);
        let size = Size::new(number(routers), number(endpoints), number(workspaces));
        memory::child(size);
        return ExitCode::SUCCESS;
    }
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("capacity: {}", snafu::Report::from_error(error));
            ExitCode::FAILURE
        }
    }
}

async fn run() -> errors::Result<()> {
    machine();
    let usual: Vec<World> = FLEETS.iter().map(|s| watch(*s, Millis(200))).collect();
    // At the plan's load a router tells its peers early nearly each tick, so they tell it, too.
    let busy: Vec<World> = FLEETS.iter().map(|s| watch(*s, Millis(50))).collect();
    nodes(&usual, &busy);
    let (changes, pulls) = cases::changes();
    cases::grants();
    cases::fresh();
    cases::losses();
    let held = memories();
    let poll = daemons::poll_bytes().await?;
    let idle = daemon_lines().await?;
    let bytes = plan::budget(&usual[3], poll, pulls);
    let ms = plan::time(&busy[3], idle, changes);
    let memory = plan::sums(held, idle);
    plan::verdict(bytes, ms, memory);
    plan::platform();
    Ok(())
}

fn machine() {
    let read = |path: &str| std::fs::read_to_string(path).unwrap_or_default();
    let cpus = read("/proc/cpuinfo");
    let model = cpus.lines().find(|l| l.starts_with("model name"));
    let model = model
        .and_then(|l| l.split(": ").nth(1))
        .unwrap_or("unknown");
    let cores = cpus.matches("processor\t").count();
    let load = read("/proc/loadavg");
    let load: Vec<&str> = load.split_whitespace().take(3).collect();
    println!("@@ machine");
    println!(
        "{cores} cores, {model}, shared with other work: load {} at the start.",
        load.join(" / ")
    );
}

/// Drives a node [`RUNS`] times and gives the run with the median time of all events.
fn watch(size: Size, pace: Millis) -> World {
    let once = || {
        let mut world = World::new(size).surround();
        world.pace = pace;
        world.run(Millis::from_secs(WARM), RATE);
        world.reset();
        world.run(Millis::from_secs(COUNTED), RATE);
        world
    };
    let mut runs: Vec<World> = (0..RUNS).map(|_| once()).collect();
    runs.sort_by(|a, b| busy_ms(a).total_cmp(&busy_ms(b)));
    runs.swap_remove(RUNS / 2)
}

/// Gets the milliseconds of a core that a node's decisions took in a second.
fn busy_ms(world: &World) -> f64 {
    let all = world.events.values().map(|t| t.time.as_secs_f64());
    all.sum::<f64>() * 1000.0 / COUNTED as f64
}

fn per_second(count: u64) -> f64 {
    count as f64 / COUNTED as f64
}

fn row(what: &str, points: &[f64], by: &[f64]) {
    let pairs: Vec<(f64, f64)> = by.iter().copied().zip(points.iter().copied()).collect();
    let line = Line::fit(&pairs);
    let cells: Vec<String> = points.iter().map(|p| short(*p)).collect();
    println!(
        "| {what} | {} | {} + {} n | {:.1}% |",
        cells.join(" | "),
        short(line.start),
        short(line.slope),
        line.residual * 100.0
    );
}

fn short(value: f64) -> String {
    match value.abs() {
        v if v.is_nan() => "not run".to_owned(),
        v if v >= 100.0 => format!("{value:.0}"),
        v if v >= 1.0 => format!("{value:.1}"),
        v if v >= 0.01 => format!("{value:.3}"),
        _ => format!("{value:.5}"),
    }
}

fn nodes(usual: &[World], busy: &[World]) {
    println!("@@ node");
    println!("| at one router | 7 | 66 | 165 | 330 | line in n routers | residual |");
    println!("|---|---|---|---|---|---|---|");
    let routers: Vec<f64> = FLEETS.iter().map(|s| f64::from(s.routers)).collect();
    let of = |worlds: &[World], f: &dyn Fn(&World) -> f64| worlds.iter().map(f).collect::<Vec<_>>();
    let put = |what: &str, points: Vec<f64>| row(what, &points, &routers);
    let sent = |kind: &'static str| move |w: &World| per_second(w.action(kind).count);
    put("summaries sent, 1/s", of(usual, &sent("summary")));
    put(
        "bytes of one summary",
        of(usual, &|w| w.action("summary").each()),
    );
    put(
        "summaries sent to each peer, 1/s",
        of(usual, &|w| {
            per_second(w.action("summary").count) / (w.config.fleet.len() - 1) as f64
        }),
    );
    put(
        "KB/s of summaries sent, exchanges included",
        of(usual, &summaries),
    );
    put("lease questions sent, 1/s", of(usual, &sent("lease ask")));
    put("grant questions sent, 1/s", of(usual, &sent("ask")));
    put("polls, 1/s", of(usual, &sent("poll")));
    put(
        "reads of the list of VMs, 1/s",
        of(usual, &sent("read VMs")),
    );
    put(
        "us for a summary heard",
        of(busy, &|w| w.event("summary").micros()),
    );
    put("us for a tick", of(busy, &|w| w.event("tick").micros()));
    put(
        "us for a chat placed or asked for",
        of(busy, &|w| w.event("request chat").micros()),
    );
    put(
        "us for a grant heard (with what it lets go)",
        of(busy, &|w| w.event("grant").micros()),
    );
    put(
        "us for a grant question answered",
        of(busy, &|w| w.event("ask").micros()),
    );
    put(
        "us for a lease question answered",
        of(busy, &|w| w.event("lease ask").micros()),
    );
    put(
        "us for a poll's answer",
        of(busy, &|w| w.event("polled").micros()),
    );
    put(
        "us for the end of an answer",
        of(busy, &|w| w.event("ended").micros()),
    );
    put(
        "ms of a core a second, peers each 200 ms",
        of(usual, &busy_ms),
    );
    put(
        "ms of a core a second, peers each 50 ms",
        of(busy, &busy_ms),
    );
    let kinds = ["router polls first: most", "mean"];
    let firsts: Vec<usize> = {
        let config = &usual[3].config;
        let routers = config.fleet.iter().map(|(key, _)| key);
        routers
            .map(|key| around::first_polled(config, key))
            .collect()
    };
    let most = firsts.iter().max().copied().unwrap_or(0);
    let mean = short(firsts.iter().sum::<usize>() as f64 / firsts.len().max(1) as f64);
    println!();
    println!(
        "Endpoints that one {} {most}, {} {mean}, at the plan.",
        kinds[0], kinds[1]
    );
}

/// Gets the KB a second of the summaries that a node sent.
fn summaries(world: &World) -> f64 {
    let tally = world.action("summary");
    (tally.bytes as f64 + tally.count as f64 * EXCHANGE as f64) / 1000.0 / COUNTED as f64
}

fn memories() -> (memory::Held, memory::Held) {
    println!("@@ memory");
    println!(
        "| routers, endpoints, workspaces | configuration, KB | heard of peers, KB | one open chat, B | one key, B | chats kept for moves, KB |"
    );
    println!("|---|---|---|---|---|---|");
    let small = Size::new(7, 83, 10);
    let sizes = [small, Size::new(7, 83, 3800), FLEETS[1], PLAN];
    let held = sizes.map(memory::measure);
    for (size, held) in sizes.iter().zip(held) {
        println!(
            "| {}, {}, {} | {} | {} | {} | {} | {} |",
            size.routers,
            size.endpoints,
            size.workspaces,
            short(held.config / 1000.0),
            short(held.heard / 1000.0),
            short(held.calls / f64::from(memory::CALLS)),
            short(held.keys / f64::from(memory::KEYS)),
            short(held.recent / 1000.0)
        );
    }
    (held[1], held[3])
}

async fn daemon_lines() -> errors::Result<(Line, Line)> {
    println!("@@ daemons");
    println!("| daemons in a fleet | 2 | 6 | 12 | 24 | line in n routers | residual |");
    println!("|---|---|---|---|---|---|---|");
    let sizes = [2, 6, 12, 24];
    let mut idle = Vec::new();
    for routers in sizes {
        idle.push(daemons::idle(routers).await?);
    }
    let by = sizes.map(|n| n as f64);
    let memory: Vec<f64> = idle.iter().map(|i| i.memory / 1e6).collect();
    let cpu: Vec<f64> = idle.iter().map(|i| i.cpu_ms).collect();
    row("MB resident", &memory, &by);
    row("ms of a core a second, no callers", &cpu, &by);
    let line = |points: &[f64]| {
        let pairs: Vec<_> = by.iter().copied().zip(points.iter().copied()).collect();
        Line::fit(&pairs)
    };
    Ok((line(&memory), line(&cpu)))
}
