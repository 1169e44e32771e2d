//! Runs the soak for one seed or several.

#![forbid(unsafe_code)]

use std::{
    collections::BTreeMap,
    path::{
        Path,
        PathBuf, //
    },
    process::ExitCode,
    time::Instant, //
};

use gumdrop::Options;
use serde::Serialize;
use tokio::task::LocalSet;
use toucanturn_judge::multiple::worst;
use toucanturn_soak::{
    Result, guard,
    judge::judge,
    load::{
        self,
        sheet::Sheet, //
    },
    plan::{
        Size,
        Step,
        release_plan,
        whole_plan, //
    },
    record::{
        Phase,
        TakeUps, //
    },
    run::{
        run,
        run_releases, //
    },
};

/// Runs the real programs under random faults and judges what callers and endpoints see.
#[derive(Debug, Options)]
struct Args {
    /// Print this help.
    help: bool,
    /// First seed.
    #[options(default = "1")]
    seed: u64,
    /// Seeds to play, one after the other.
    #[options(default = "1")]
    seeds: u64,
    /// Seconds in which faults come.
    #[options(default = "10")]
    seconds: u64,
    /// Routers.
    #[options(default = "3")]
    routers: usize,
    /// Endpoints.
    #[options(default = "5")]
    replicas: usize,
    /// Callers at once.
    #[options(default = "24")]
    callers: usize,
    /// Print the plan and play nothing.
    plan: bool,
    /// Play nothing but the calls: no fault, no planned work.
    #[options(no_short)]
    calm: bool,
    /// Play a deployment's load and planned work in place of faults, and judge the load multiple alone. Callers and
    /// endpoints follow from the routers.
    #[options(no_short)]
    load: bool,
    /// Play uneven engines and pools that are short of room, and judge what callers are owed; with `--load`.
    #[options(no_short)]
    hard: bool,
    /// Hold routers up now and then, as busy machines do; with `--load`.
    #[options(no_short)]
    held: bool,
    /// Play releases crossed with faults of routers alone. Callers break most streams off and take them up at any router.
    #[options(no_short)]
    releases: bool,
    /// Milliseconds that an endpoint works on a request; without `--load`.
    #[options(no_short, default = "30")]
    work_ms: u64,
    /// Folder for logs and records of seeds with findings.
    keep: Option<PathBuf>,
    /// Keep those of all seeds.
    #[options(no_short)]
    keep_all: bool,
}

fn main() -> ExitCode {
    if std::env::args().nth(1).as_deref() == Some(guard::ARGUMENT) {
        guard::run(std::io::stdin().lock());
        return ExitCode::SUCCESS;
    }
    let args = Args::parse_args_default_or_exit();
    match soak(&args) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("toucanturn-soak: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Plays the seeds; gives how many had findings.
fn soak(args: &Args) -> Result<u64> {
    let size = Size {
        routers: args.routers,
        replicas: args.replicas,
        callers: args.callers,
        millis: args.seconds * 1000,
        work_ms: args.work_ms,
    };
    let mut bad = 0;
    for seed in args.seed..args.seed + args.seeds {
        let steps = if args.calm || args.load {
            Vec::new()
        } else if args.releases {
            release_plan(seed, &size)
        } else {
            whole_plan(seed, &size)
        };
        let load = if args.load && args.hard {
            load::plan::hard_plan(seed, args.seconds)
        } else if args.load && !args.calm {
            load::plan::plan(seed, args.seconds)
        } else {
            Vec::new()
        };
        if args.plan {
            steps.iter().for_each(|step| println!("{step:?}"));
            load.iter().for_each(|step| println!("{step:?}"));
            continue;
        }
        let good = if args.load {
            one_load(seed, &load, args)?
        } else {
            one(seed, &steps, size, args)?
        };
        bad += u64::from(!good);
    }
    Ok(bad)
}

/// Plays the load of a seed; tells whether the load multiple was kept.
fn one_load(seed: u64, steps: &[load::plan::Step], args: &Args) -> Result<bool> {
    let folder = tempfile::tempdir()?;
    let mut sheet = if args.hard {
        Sheet::hard(args.routers)
    } else {
        Sheet::shifted(args.routers)
    };
    sheet.held = args.held;
    let played = load::run(&sheet, steps, (seed, args.seconds), folder.path());
    let seen = LocalSet::new().block_on(&runtime()?, played)?;
    let (served, calls) = seen.served();
    println!(
        "seed {seed}: {} steps, {calls} calls, {served} served",
        steps.len()
    );
    let mut good = true;
    for service in seen.services() {
        let windows = seen.windows(service);
        let broken = windows.iter().filter(|w| w.is_broken()).count();
        let worst = worst(&windows).unwrap_or_default();
        println!(
            "  {service}: {broken} of {} windows over the multiple, worst {} of {} arrivals ({:.1} %)",
            windows.len(),
            worst.over,
            worst.arrivals,
            100.0 * worst.share()
        );
        good &= broken == 0 || args.hard;
    }
    if args.hard {
        let findings = load::judge::judge(&sheet, &seen, Some(0));
        good &= findings.is_empty();
        findings.iter().for_each(|finding| println!("  {finding}"));
    }
    if let (Some(keep), true) = (&args.keep, args.keep_all || !good) {
        keep_run(folder.path(), keep, seed, &seen)?;
    }
    Ok(good)
}

/// Plays a seed; tells whether all promises were kept.
fn one(seed: u64, steps: &[Step], size: Size, args: &Args) -> Result<bool> {
    let folder = tempfile::tempdir()?;
    let began = Instant::now();
    let logs = folder.path();
    let played = async {
        if args.releases {
            run_releases(steps, seed, size, logs).await
        } else {
            run(steps, seed, size, logs).await
        }
    };
    let record = LocalSet::new().block_on(&runtime()?, played)?;
    let findings = judge(&record);
    let served = record.calls.iter().filter(|c| c.status == 200 && c.whole);
    println!(
        "seed {seed}: {} faults, {} calls, {} served, {} runs noted, {} findings, {:.1} s",
        steps.len(),
        record.calls.len(),
        served.count(),
        record.notes.len(),
        findings.len(),
        began.elapsed().as_secs_f64()
    );
    println!("  taken up: {}", told(&record.take_ups));
    for finding in &findings {
        println!("  {}: {}", finding.promise, finding.what);
    }
    if let (Some(keep), true) = (&args.keep, args.keep_all || !findings.is_empty()) {
        keep_run(folder.path(), keep, seed, &record)?;
    }
    Ok(findings.is_empty())
}

/// Writes the counts of streams that were taken up.
fn told(take_ups: &BTreeMap<Phase, TakeUps>) -> String {
    let seen = take_ups.iter().filter(|(_, count)| count.sent > 0);
    let told = seen.map(|(phase, count)| {
        let TakeUps {
            sent,
            going,
            refused,
            joined,
        } = count;
        format!("{phase} {going} of {sent} go on, {refused} refused, {joined} joined")
    });
    told.collect::<Vec<_>>().join("; ")
}

fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
}

/// Copies the logs of a run, and all that was seen, to a folder of its seed.
fn keep_run(logs: &Path, keep: &Path, seed: u64, seen: &impl Serialize) -> std::io::Result<()> {
    let place = keep.join(format!("seed-{seed}"));
    std::fs::create_dir_all(&place)?;
    std::fs::write(place.join("record.json"), serde_json::to_vec(seen)?)?;
    for file in std::fs::read_dir(logs)? {
        let file = file?;
        std::fs::copy(file.path(), place.join(file.file_name()))?;
    }
    Ok(())
}
