//! Orders to engines, tested with several simulated routers and engines in one process.

mod issue;
mod pace;
mod property;
mod sim;
mod views;
