//! Runs the gateway with the translations for the users' platform.

use std::{
    path::Path,
    process::ExitCode, //
};

use snafu::{
    ResultExt,
    Snafu, //
};
use toucanturn_gateway::{
    process,
    settings::{
        self,
        Loaded,
        Settings, //
    },
};
use tracing_appender::non_blocking::{
    NonBlockingBuilder,
    WorkerGuard, //
};

/// Log lines that are buffered for a slow reader before further ones are dropped.
const MAX_BUFFERED_LOG_LINES: usize = 2000;

/// `Error` is why the gateway could not start.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    #[snafu(display("can't read {}", path.display()))]
    Read {
        path: std::path::PathBuf,
        source: std::io::Error,
    },
    #[snafu(display("{} is not valid", path.display()))]
    Settings {
        path: std::path::PathBuf,
        source: settings::Error,
    },
    #[snafu(display("can't start the runtime"))]
    Runtime { source: std::io::Error },
    #[snafu(context(false), display("can't start the gateway"))]
    Gateway {
        source: toucanturn_gateway::errors::Error,
    },
}

/// Runs the gateway until SIGTERM has stopped it. The exit code is a failure if requests were cut off.
pub(crate) fn run(path: &Path) -> Result<ExitCode, Error> {
    let loaded = read(path, None)?;
    let _guard = log_to_stdout();
    // One thread, as the VMs that run the gateway have a fraction of one core.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    let protocol = toucanturn_platform::protocol();
    let reader = toucanturn_platform::store::reader();
    let reload = |held: &Settings| {
        let loaded = read(path, Some(held));
        loaded.map_err(|e| snafu::Report::from_error(e).to_string())
    };
    let cut = runtime.block_on(process::run(loaded, protocol, reader, reload))?;
    Ok(if cut == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn read(path: &Path, held: Option<&Settings>) -> Result<Loaded, Error> {
    let text = std::fs::read(path).context(ReadSnafu { path })?;
    Settings::read(&text, held).context(SettingsSnafu { path })
}

/// Writes log lines to standard output as JSON, from a separate thread. A reader that stops reading must not delay
/// requests, so lines beyond [`MAX_BUFFERED_LOG_LINES`] are dropped.
fn log_to_stdout() -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LOG_LINES)
        .finish(std::io::stdout());
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_max_level(tracing::Level::INFO)
        .with_writer(writer)
        .init();
    guard
}
