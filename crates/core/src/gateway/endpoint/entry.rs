//! The registry entry of an endpoint, and the state that follows from it.

use std::net::SocketAddrV4;

use bytes::Bytes;

use crate::units::{
    Millis,
    Time,
    Wall, //
};

/// `Entry` is an endpoint's entry in the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name. A restarted endpoint may keep its name.
    pub id: Bytes,
    /// When this instance started; `None` where entries don't say, so that each name counts as one
    /// instance.
    pub born: Option<Wall>,
    /// Name of the service that it serves.
    pub service: Bytes,
    /// Address on which it listens.
    pub address: SocketAddrV4,
    /// Data centre where it runs.
    pub data_center: Bytes,
    /// Version of its software, as its entry states it.
    pub build: Bytes,
    /// Requests that it runs concurrently; zero if none is published.
    pub slots: u32,
    /// Whether it is shutting down and takes no new requests.
    pub leaving: bool,
    /// How much longer it is slow after its start, as of when the entry was written.
    pub cold: Millis,
}

/// `State` says whether an endpoint may get new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// It may get new requests.
    Ready,
    /// It is shutting down: it finishes the requests that it has and gets no new ones.
    Leaving,
    /// Its entry disappeared while the registry was unavailable. It may get new requests until a
    /// grace period ends.
    Lapsed {
        /// When the registry became available again.
        returned: Time,
    },
    /// It has left the registry, another instance answers at its address, or its entry is another
    /// writer's.
    Gone,
}

pub(super) fn initial_state(entry: &Entry) -> State {
    if entry.leaving {
        State::Leaving
    } else {
        State::Ready
    }
}
