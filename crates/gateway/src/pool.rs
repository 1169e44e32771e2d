//! Connections to endpoints that are kept for the next request.
//!
//! A connection comes back only after a whole answer, and is taken again only while nothing on it
//! is outstanding or unread. There is no silent retry: a request that met a closed connection is
//! told as not sent, and whether another attempt follows is decided elsewhere.

use std::{
    cell::RefCell,
    time::Duration, //
};

use indexmap::IndexMap;
use toucanturn_core::{
    arena::EndpointKey,
    units::{
        Millis,
        Time, //
    },
};

use crate::client::{
    Connection,
    Error, //
};

/// Longest wait for a new connection: the opening packet of one that meets a full queue is sent
/// again after a second, and an endpoint that doesn't answer is better left out.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a connection is kept whose endpoint states no idle time: those state whole seconds, so
/// theirs is less than one.
const DEFAULT_IDLE: Millis = Millis(400);
/// By how much sooner than its endpoint a router gives up an idle connection, so that a request
/// doesn't cross the close.
const IDLE_MARGIN: Millis = Millis(350);

/// `Pool` is the idle connections by endpoint.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<IndexMap<EndpointKey, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Time,
}

impl Pool {
    /// Takes the connection that was used last, if one is free.
    pub fn take(&self, now: Time, endpoint: EndpointKey) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&endpoint)?;
        kept.retain(|i| now < i.until && !i.connection.is_closed());
        let index = kept.iter().rposition(|i| i.connection.is_ready())?;
        Some(kept.remove(index).connection)
    }

    /// Keeps a connection after a whole answer; `stated` is how long its endpoint keeps it idle.
    pub fn keep(
        &self,
        now: Time,
        endpoint: EndpointKey,
        connection: Connection,
        stated: Option<Millis>,
    ) {
        let keep = stated.map_or(DEFAULT_IDLE, |s| Millis(s.0.saturating_sub(IDLE_MARGIN.0)));
        let until = now + keep;
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(endpoint).or_default();
        kept.push(Idle { connection, until });
    }

    /// Closes what has been idle for too long and what belongs to endpoints that are gone.
    pub fn tick(&self, now: Time, listed: impl Fn(EndpointKey) -> bool) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|endpoint, kept| {
            kept.retain(|i| now < i.until && !i.connection.is_closed());
            !kept.is_empty() && listed(*endpoint)
        });
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// As [`Connection::open`].
    pub async fn open(address: std::net::SocketAddrV4) -> Result<Connection, Error> {
        Connection::open(address, CONNECT_TIMEOUT).await
    }
}
