//! Starts the router and leads it through its life.

use std::{
    path::{
        Path,
        PathBuf, //
    },
    process::ExitCode,
    sync::Arc,
};

use snafu::{
    ResultExt,
    Snafu, //
};
use tokio::signal::unix::{
    Signal,
    SignalKind,
    signal, //
};
use toucanturn_core::{
    config::fault::Fault,
    event::Event,
    settings::{
        Format,
        Log,
        Settings, //
    },
    units::Incarnation,
};
use toucanturn_router::{
    clock, events,
    process::{
        Process,
        Sockets, //
    },
};

/// Threads that carry requests; the entry VMs are small.
const THREADS: usize = 2;

/// `Error` says why the daemon could not start.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    #[snafu(display("can't read {}", path.display()))]
    Read {
        path: PathBuf,
        source: std::io::Error,
    },
    #[snafu(display("{} is not valid:\n{}", path.display(), lines(faults)))]
    Settings { path: PathBuf, faults: Vec<Fault> },
    #[snafu(display("can't start the runtime"))]
    Runtime { source: std::io::Error },
    #[snafu(display("can't watch signals"))]
    Signals { source: std::io::Error },
    #[snafu(context(false), display("can't start the router"))]
    Router {
        source: toucanturn_router::errors::Error,
    },
}

fn lines(faults: &[Fault]) -> String {
    let line = |f: &Fault| format!("  {f}");
    faults.iter().map(line).collect::<Vec<_>>().join("\n")
}

/// Runs the daemon until its drain is over.
pub(crate) fn run(path: &Path) -> Result<ExitCode, Error> {
    let text = std::fs::read(path).context(ReadSnafu { path })?;
    let settings = Settings::try_from(text.as_slice())
        .map_err(|faults| SettingsSnafu { path, faults }.build())?;
    log_to_stderr(settings.log);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(THREADS)
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    runtime.block_on(serve(settings))
}

fn log_to_stderr(log: Log) {
    let filter = tracing_subscriber::EnvFilter::new(format!(
        "warn,toucanturn={0},toucanturn_router={0},toucanturnd={0}",
        log.level
    ));
    let lines = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    match log.format {
        Format::Json => lines.json().init(),
        Format::Text => lines.init(),
    }
}

async fn serve(settings: Settings) -> Result<ExitCode, Error> {
    // A later life at the same address must have a greater number: the wall clock gives one
    // without anything being kept.
    let incarnation = Incarnation(clock::now().wall.0);
    let sockets = Sockets::bind(&settings).await?;
    let address = |l: &tokio::net::TcpListener| l.local_addr().ok();
    let addresses = serde_json::json!({
        "listen": address(&sockets.callers),
        "peers": address(&sockets.peers),
        "admin": address(&sockets.operators),
    });
    let process = Process::start(settings, incarnation, sockets)?;
    println!("{addresses}");
    let mut term = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut int = signal(SignalKind::interrupt()).context(SignalsSnafu)?;
    let driver = Arc::clone(process.driver());
    let hurry = async move {
        either(&mut term, &mut int).await;
        driver.feed(Event::Drain);
        either(&mut term, &mut int).await;
    };
    let cut = process.run(hurry).await;
    if cut > 0 {
        events::cut(cut);
    }
    Ok(if cut == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

async fn either(one: &mut Signal, other: &mut Signal) {
    tokio::select! {
        _ = one.recv() => {}
        _ = other.recv() => {}
    }
}
