//! Runs the soak for one seed or several.

#![forbid(unsafe_code)]

use std::{
    path::PathBuf,
    process::ExitCode,
    time::Instant, //
};

use gumdrop::Options;
use tokio::task::LocalSet;
use toucanturn_soak::{
    Result, guard,
    judge::judge,
    plan::{
        Size,
        whole_plan, //
    },
    run::run,
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
    /// Folder for logs and records of seeds with findings.
    keep: Option<PathBuf>,
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
    };
    let mut bad = 0;
    for seed in args.seed..args.seed + args.seeds {
        if args.plan {
            whole_plan(seed, &size)
                .iter()
                .for_each(|step| println!("{step:?}"));
            continue;
        }
        bad += u64::from(!one(seed, size, args)?);
    }
    Ok(bad)
}

/// Plays a seed; tells whether all promises were kept.
fn one(seed: u64, size: Size, args: &Args) -> Result<bool> {
    let folder = tempfile::tempdir()?;
    let began = Instant::now();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let steps = whole_plan(seed, &size);
    let played = run(&steps, seed, size, folder.path());
    let record = LocalSet::new().block_on(&runtime, played)?;
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
    for finding in &findings {
        println!("  {}: {}", finding.promise, finding.what);
    }
    if let (Some(keep), false) = (&args.keep, findings.is_empty()) {
        let text = serde_json::to_vec_pretty(&record).map_err(std::io::Error::from)?;
        std::fs::write(folder.path().join("record.json"), text)?;
        let place = keep.join(format!("seed-{seed}"));
        std::fs::create_dir_all(&place)?;
        for file in std::fs::read_dir(folder.path())? {
            let file = file?;
            std::fs::copy(file.path(), place.join(file.file_name()))?;
        }
    }
    Ok(findings.is_empty())
}
