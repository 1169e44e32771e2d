//! Benchmarks of the path through one router, against calling the stand-in directly.
//!
//! Prints what was measured and judges nothing. Build with `--release`.

#![forbid(unsafe_code)]

use std::process::ExitCode;

use toucanturn_lab::errors;

mod load;
mod path;

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bench: {}", snafu::Report::from_error(error));
            ExitCode::FAILURE
        }
    }
}

async fn run() -> errors::Result<()> {
    let only = std::env::args().nth(1);
    let wanted = |name: &str| only.as_deref().is_none_or(|o| o == name);
    if wanted("path") {
        path::latency().await?;
    }
    if wanted("streams") {
        path::streams().await?;
    }
    Ok(())
}
