//! Which router keeps the prefill backlog of an endpoint.

use std::net::SocketAddrV4;

use crate::{
    gateway::mesh::Mesh,
    ids::Tag,
    units::Time, //
};

impl Mesh {
    /// Gets the router that keeps the backlog of an endpoint; `None` where it is this one.
    pub fn backlog_keeper(&self, _now: Time, _endpoint: Tag) -> Option<SocketAddrV4> {
        None
    }

    /// Records that a keeper did not answer in time, so that another one is asked for a while.
    pub fn record_silent_keeper(&mut self, _now: Time, _keeper: SocketAddrV4) {}
}
