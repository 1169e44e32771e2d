//! Connections to endpoints and peers.

#![expect(clippy::expect_used, reason = "a test fails by its panic")]

use std::{
    io::{
        Read as _,
        Write as _, //
    },
    net::{
        Ipv4Addr,
        SocketAddr,
        TcpListener, //
    },
    time::Duration,
};

use bytes::Bytes;
use googletest::prelude::*;
use http::Request;
use http_body_util::Full;
use tokio::task::LocalSet;
use toucanturn_gateway::client::{
    Connection,
    Error,
    HttpClient,
    Timeouts, //
};

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

/// Answers the first connection with these bytes and closes it; returns the result of a call to it.
fn call(answer: &'static [u8]) -> std::result::Result<Bytes, Error> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let Ok(SocketAddr::V4(address)) = listener.local_addr() else {
        panic!("expected an IPv4 address");
    };
    let server = std::thread::spawn(move || {
        let (mut accepted, _) = listener.accept().expect("a connection");
        let _ = accepted.read(&mut [0; 1024]).expect("a request");
        accepted.write_all(answer).expect("the answer is written");
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("the runtime starts");
    let within = Duration::from_secs(20);
    let timeouts = Timeouts {
        connect: within,
        head: within,
        body_frame: within,
        total: within,
    };
    let called = LocalSet::new().block_on(&runtime, async {
        let request = Request::new(Full::default());
        HttpClient::new(address)
            .call(request, timeouts, &|| ())
            .await
    });
    server.join().expect("the server ends");
    called
}

/// Guards against a document of the registry, or an answer of a peer, that is not what was sent: its head contradicts
/// itself.
#[gtest]
fn verify_a_call_with_a_spoilt_answer_fails() {
    let spoilt: [&[u8]; 5] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: xhunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Lengti: 4\r\n\r\n{}",
        b"HTTP/1.1 101 Switching Protocols\r\nContent-Length: 2\r\n\r\n{}",
        b"HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\n{}",
    ];
    for answer in spoilt {
        let called = call(answer);
        expect_that!(called, err(matches_pattern!(Error::Malformed { .. })));
    }
    for answer in [
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}".as_slice(),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
        b"HTTP/1.0 200 OK\r\n\r\n{}",
    ] {
        expect_that!(call(answer), ok(eq(&Bytes::from_static(b"{}"))));
    }
}
