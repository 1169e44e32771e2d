//! Ports that are held for servers which start later.

use std::net::{
    TcpListener,
    UdpSocket, //
};

use googletest::prelude::*;
use tokio::net::TcpSocket;
use toucanturn_standin::link::hold;

/// Guards against servers that can't listen on the port that is held for them, as an outgoing connection has got it.
#[gtest]
fn verify_a_held_port_is_none_of_outgoing_connections() {
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range");
    let range = range.expect("the system says which ports it gives away");
    let range: Vec<u16> = range.split_whitespace().flat_map(str::parse).collect();
    let held: Vec<_> = (0..50).map(|_| hold().expect("a free port")).collect();
    for (address, _) in &held {
        expect_that!(
            address.port(),
            any![lt(range[0]), gt(range[1])],
            "{range:?}"
        );
    }
}

/// Guards against two servers with one port, and against a holder that is in its server's way.
#[gtest]
fn verify_a_held_port_is_for_its_server_alone() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("the runtime starts");
    let _entered = runtime.enter();
    let held: Vec<_> = (0..200).map(|_| hold().expect("a free port")).collect();
    let mut ports: Vec<u16> = held.iter().map(|(address, _)| address.port()).collect();
    ports.sort_unstable();
    ports.dedup();
    expect_that!(ports.len(), eq(held.len()));
    for (address, _) in &held {
        expect_true!(TcpListener::bind(address).is_ok(), "{address}");
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_reuseaddr(true).expect("a socket");
        expect_true!(socket.bind(*address).is_ok(), "{address}");
        expect_true!(socket.listen(1).is_ok(), "{address}");
        expect_true!(UdpSocket::bind(address).is_ok(), "{address}");
    }
}
