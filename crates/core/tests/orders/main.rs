//! Orders to engines, with several routers and engines in one process.

mod issue;
mod pace;
mod property;
mod views;
mod world;
