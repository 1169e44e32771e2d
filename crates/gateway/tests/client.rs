//! Connections to endpoints and peers.

use std::{
    io::Read as _,
    net::{
        Ipv4Addr,
        SocketAddr,
        TcpListener, //
    },
    time::Duration,
};

use googletest::prelude::*;
use tokio::task::LocalSet;
use toucanturn_gateway::client::Connection;

/// Guards against an endpoint with more connections than it accepts: a dropped connection no longer counted, and its
/// socket was open for another turn of the process, in which the next one was opened.
#[gtest]
fn verify_a_dropped_connection_is_closed_at_once() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let Ok(SocketAddr::V4(address)) = listener.local_addr() else {
        panic!("expected an IPv4 address");
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("the runtime starts");
    LocalSet::new().block_on(&runtime, async {
        let within = Duration::from_secs(20);
        let connection = Connection::open(address, within).await;
        let connection = connection.expect("the listener accepts");
        let (mut accepted, _) = listener.accept().expect("a connection waits");
        accepted.set_nonblocking(true).expect("a socket");
        drop(connection);
        // No other task has run since.
        expect_that!(accepted.read(&mut [0]).ok(), some(eq(0)));
    });
}
