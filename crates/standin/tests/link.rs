//! Links between a client and a server: what a client sees of a server that is not there.

#![expect(clippy::expect_used, reason = "a test fails by its panic")]

use std::{
    io::ErrorKind,
    net::SocketAddr,
    time::Duration, //
};

use googletest::prelude::*;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    time::{
        sleep,
        timeout, //
    },
};
use toucanturn_standin::link::Link;

/// Longest wait for a link to change; a bound, never a wait by itself.
const LIMIT: Duration = Duration::from_secs(10);
const LOOK: Duration = Duration::from_millis(5);

/// Answers one byte to each connection.
async fn server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.write_all(b"x").await;
        }
    });
    address
}

async fn until_refused(address: SocketAddr) {
    let refused = async {
        loop {
            match TcpStream::connect(address).await {
                Err(error) if error.kind() == ErrorKind::ConnectionRefused => return,
                _ => sleep(LOOK).await,
            }
        }
    };
    timeout(LIMIT, refused).await.expect("it refuses in time");
}

async fn until_served(address: SocketAddr) {
    let served = async {
        loop {
            if let Ok(mut stream) = TcpStream::connect(address).await
                && stream.read_u8().await.is_ok()
            {
                return;
            }
            sleep(LOOK).await;
        }
    };
    timeout(LIMIT, served).await.expect("it serves in time");
}

/// Guards against links that take connections in the name of servers that have ended, and then break them off: to the
/// client, the server ended while it ran the request.
#[gtest]
#[tokio::test]
async fn verify_a_link_refuses_connections_while_its_server_is_gone() {
    let link = Link::open(0).expect("a port is free");
    until_refused(link.address).await;
    let (first, next) = (server().await, server().await);
    link.point(first);
    until_served(link.address).await;
    link.retire(first);
    until_refused(link.address).await;
    link.point(next);
    until_served(link.address).await;
    // A late report of the first server's end changes nothing.
    link.retire(first);
    for _ in 0..20 {
        let stream = TcpStream::connect(link.address).await;
        expect_that!(stream.map(|_| ()), ok(anything()));
        sleep(LOOK).await;
    }
}
