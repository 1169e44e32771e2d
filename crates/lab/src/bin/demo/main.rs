//! Starts stand-ins and three routers as separate processes, holds returning chats and repeats an
//! order through a second router, prints the answers with the decisions behind them, and stops
//! everything that it started.
//!
//! This is a tool for people who look at the project; nothing of the system uses it.

#![forbid(unsafe_code)]

use std::process::ExitCode;

use toucanturn_lab::{
    errors,
    fleet::{
        Fleet,
        Shape, //
    },
};

mod callers;

/// Chats that are held, each of which returns [`TURNS`] times.
const CHATS: usize = 3;

/// Turns of each chat.
const TURNS: usize = 3;

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() -> ExitCode {
    match show().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("demo: {}", snafu::Report::from_error(error));
            ExitCode::FAILURE
        }
    }
}

async fn show() -> errors::Result<()> {
    let mut fleet = Fleet::start(Shape::default()).await?;
    println!("started {} processes, three of them routers\n", fleet.len());
    for chat in 0..CHATS {
        callers::chat(&fleet, chat, TURNS).await?;
    }
    callers::order(&fleet).await?;
    fleet.stop().await
}
