//! Runs one stand-in until it's told to end.

mod args;

use crate::args::{
    Args,
    Command, //
};
use gumdrop::Options as _;
use snafu::{
    ResultExt,
    Snafu, //
};
use std::{
    io,
    process::ExitCode, //
};
use tokio::signal::unix::{
    SignalKind,
    signal, //
};
use toucanturn_standin::{
    balancer,
    engine,
    platform,
    server::Handle,
    service, //
};

/// `Error` is why the program ends early.
#[derive(Debug, Snafu)]
enum Error {
    /// The stand-in can't start.
    #[snafu(display("can't start: {source}"))]
    Start { source: toucanturn_standin::Error },
    /// The signals can't be watched.
    #[snafu(display("can't watch signals"))]
    Watch { source: io::Error },
    /// The addresses can't be printed.
    #[snafu(display("can't print the addresses"))]
    Print { source: serde_json::Error },
    /// The command line names no stand-in.
    #[snafu(display("expected one of platform, engine, service, balancer"))]
    NoCommand,
}

#[tokio::main]
async fn main() -> ExitCode {
    tracing_subscriber::fmt()
        .with_env_filter(tracing_subscriber::EnvFilter::from_default_env())
        .with_writer(io::stderr)
        .init();
    match run(Args::parse_args_default_or_exit()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(%error, "ended");
            eprintln!("toucanturn-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: Args) -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate()).context(WatchSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(WatchSnafu)?;
    let handle = start(args.command.ok_or(Error::NoCommand)?)
        .await
        .context(StartSnafu)?;
    println!(
        "{}",
        serde_json::to_string(&handle.ports()).context(PrintSnafu)?
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    handle.stop().await;
    Ok(())
}

async fn start(command: Command) -> toucanturn_standin::Result<Handle> {
    match command {
        Command::Platform(args) => platform::start(args.into()).await,
        Command::Engine(args) => engine::start(args.into()).await,
        Command::Service(args) => service::start(args.into()).await,
        Command::Balancer(args) => balancer::start(args.into()).await,
    }
}
