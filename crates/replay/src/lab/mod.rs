//! A laboratory for the decisions of routers before engines: virtual time, one process, no sockets.
//!
//! [`play`] leads a fleet of real [`Gateway`](toucanturn_core::gateway::Gateway)s through a
//! [`Sheet`](sheet::Sheet): callers with sessions, engines that batch, digests between routers, and
//! troubles. Its [`Account`](account::Account) says how many answers began in time, how far engines
//! were over the published multiple, and how many tokens were read again. The times of its engines
//! follow their sheets' formula; they are no measurement of an engine.

pub mod account;
pub mod engine;
pub mod fleet;
pub mod sheet;

pub use fleet::play;
