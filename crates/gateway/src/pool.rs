//! Pool of idle connections to endpoints.
//!
//! A connection returns to the pool only after a complete answer, and is reused only while nothing on it is
//! outstanding or unread. The pool doesn't retry: a request that met a closed connection is reported as not sent, and
//! the gateway decides whether another attempt follows.

use std::{
    cell::RefCell,
    net::SocketAddrV4,
    time::Duration, //
};

use indexmap::{
    IndexMap,
    IndexSet, //
};
use toucanturn_core::{
    arena::EndpointKey,
    units::{
        Millis,
        Time, //
    },
};

use crate::{
    client::{
        Connection,
        Error, //
    },
    state::{
        Shared,
        State,
        now, //
    },
};

/// Longest wait for a new connection. If the endpoint's accept queue is full, TCP sends the SYN again only after a
/// second; it is better to try another endpoint.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a connection is kept if its endpoint states no idle time. Endpoints state whole seconds, so an
/// unstated time is less than one.
const DEFAULT_IDLE: Millis = Millis(400);
/// Time before its endpoint's idle timeout at which a connection is closed, so that no request is sent while the
/// endpoint closes it.
const IDLE_MARGIN: Millis = Millis(350);

/// `Pool` holds the idle connections of each endpoint.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<IndexMap<EndpointKey, Vec<Idle>>>,
    /// Endpoints that have closed a connection before the time that they had stated.
    lost: RefCell<IndexSet<EndpointKey>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Time,
}

impl Pool {
    /// Takes the most recently used connection that is ready, if any.
    pub fn take(&self, now: Time, endpoint: EndpointKey) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&endpoint)?;
        self.retain_open(now, endpoint, kept);
        let index = kept.iter().rposition(|i| i.connection.is_ready())?;
        Some(kept.remove(index).connection)
    }

    /// Keeps a connection after a complete answer; `stated` is the idle time that its endpoint states.
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

    /// Takes the endpoints that have closed a connection before the time that they had stated.
    pub fn take_lost(&self) -> IndexSet<EndpointKey> {
        self.lost.take()
    }

    fn retain_open(&self, now: Time, endpoint: EndpointKey, kept: &mut Vec<Idle>) {
        kept.retain(|idle| {
            if now >= idle.until {
                return false;
            }
            let closed = idle.connection.is_closed();
            if closed {
                self.lost.borrow_mut().insert(endpoint);
            }
            !closed
        });
    }

    /// Closes connections that have been idle for too long or whose endpoint is not `listed` any more.
    pub fn tick(&self, now: Time, listed: impl Fn(EndpointKey) -> bool) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|endpoint, kept| {
            self.retain_open(now, *endpoint, kept);
            !kept.is_empty() && listed(*endpoint)
        });
    }
}

/// `Opening` is a connection that is being opened. Dropping it records that it no longer is.
struct Opening<'a>(&'a Shared, EndpointKey);

impl Drop for Opening<'_> {
    fn drop(&mut self) {
        self.0.gateway.borrow_mut().connection_opened(self.1);
    }
}

/// Opens a new connection to an endpoint at its address.
///
/// # Errors
///
/// As [`Connection::open`].
pub async fn open(
    state: &Shared,
    (endpoint, address): (EndpointKey, SocketAddrV4),
) -> Result<Connection, Error> {
    state.gateway.borrow_mut().connection_begun(endpoint);
    let _opening = Opening(state, endpoint);
    Connection::open(address, CONNECT_TIMEOUT).await
}

/// Notes which endpoints have closed a connection before the time that they had stated.
pub(crate) fn note_lost(state: &State) {
    let lost = state.pool.take_lost();
    let mut gateway = state.gateway.borrow_mut();
    for endpoint in lost {
        gateway.connection_lost(now(), endpoint);
    }
}
