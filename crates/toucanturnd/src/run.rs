//! Starts the router and leads it through its life.

use std::{
    path::{
        Path,
        PathBuf, //
    },
    process::ExitCode,
};

use snafu::{
    ResultExt,
    Snafu, //
};
use tokio::signal::unix::{
    SignalKind,
    signal, //
};
use toucanturn_core::{
    event::Event,
    units::Incarnation, //
};
use toucanturn_router::{
    clock,
    driver::Driver,
    server, //
};

use crate::settings::Settings;

/// `Error` says why the daemon could not start.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    #[snafu(display("can't read {}", path.display()))]
    Read {
        path: PathBuf,
        source: std::io::Error,
    },
    #[snafu(display("{} is not a settings file", path.display()))]
    Parse {
        path: PathBuf,
        source: serde_json::Error,
    },
    #[snafu(display("can't start the runtime"))]
    Runtime { source: std::io::Error },
    #[snafu(display("can't watch signals"))]
    Signal { source: std::io::Error },
    #[snafu(context(false), display("can't start the router"))]
    Router {
        source: toucanturn_router::errors::Error,
    },
}

/// Runs the daemon until its drain is over.
pub(crate) fn run(path: &Path) -> Result<ExitCode, Error> {
    let text = std::fs::read(path).context(ReadSnafu { path })?;
    let settings: Settings = serde_json::from_slice(&text).context(ParseSnafu { path })?;
    tracing_subscriber::fmt()
        .json()
        .with_writer(std::io::stderr)
        .init();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<ExitCode, Error> {
    // A later life at the same address must have a greater number: the wall clock gives one
    // without anything being kept.
    let incarnation = Incarnation(clock::now().wall.0);
    let driver = Driver::new(settings.options(incarnation))?;
    let callers = server::callers(&driver).await?;
    let operators = server::operators(&driver).await?;
    println!(
        "{}",
        serde_json::json!({ "listen": callers.address, "admin": operators.address })
    );
    let mut term = signal(SignalKind::terminate()).context(SignalSnafu)?;
    let mut int = signal(SignalKind::interrupt()).context(SignalSnafu)?;
    let running = driver.run();
    tokio::pin!(running);
    let mut draining = false;
    let cut = loop {
        tokio::select! {
            cut = &mut running => break cut,
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        if draining {
            break driver.open();
        }
        draining = true;
        driver.feed(Event::Drain);
    };
    if cut > 0 {
        tracing::error!(event = 502, cut, "the drain ended before every request did");
    }
    // What is left are answers already handed to the sockets.
    callers
        .handle
        .stop_graceful(std::time::Duration::from_secs(5));
    Ok(if cut == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    })
}
