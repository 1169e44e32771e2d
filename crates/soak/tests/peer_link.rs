//! Links between routers cut those off that a fault names, and no others.

#![expect(clippy::expect_used, reason = "a test fails by its panic")]

use std::{
    future::Future,
    net::SocketAddr,
    rc::Rc,
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
        TcpStream,
        UdpSocket, //
    },
    task::{
        LocalSet,
        spawn_local, //
    },
    time::timeout,
};
use toucanturn_soak::peer_link::PeerLinks;

/// Time after which something counts as lost.
const LOST: Duration = Duration::from_millis(300);
/// Time within which something that passes has come.
const PASSED: Duration = Duration::from_secs(10);
const ROUTERS: usize = 3;
/// The router that this process stands for, and the one that it calls.
const NEAR: usize = 0;
const FAR: usize = 1;
const OTHER: usize = 2;

/// `Pair` is two routers, whose links are open.
struct Pair {
    links: Rc<PeerLinks>,
    /// Where the far one is reached.
    address: SocketAddr,
    near: UdpSocket,
    far: UdpSocket,
}

impl Pair {
    async fn open() -> Self {
        let links = PeerLinks::new();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let peers = listener.local_addr().expect("it is bound");
        let far = UdpSocket::bind(peers).await.expect("a port");
        let near = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        let near_peers = near.local_addr().expect("it is bound");
        links.open(NEAR, near_peers).await.expect("a port");
        let address = links.open(FAR, peers).await.expect("a port");
        links.started(NEAR, std::process::id());
        spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                spawn_local(async move {
                    let mut byte = [0];
                    while stream.read_exact(&mut byte).await.is_ok() {
                        if stream.write_all(&byte).await.is_err() {
                            break;
                        }
                    }
                });
            }
        });
        Self {
            links,
            address,
            near,
            far,
        }
    }

    /// Tells whether a new connection passes a byte there and back within a time.
    async fn connects(&self, limit: Duration) -> bool {
        let echoed = async {
            let mut stream = TcpStream::connect(self.address).await.expect("it listens");
            echoes(&mut stream).await
        };
        timeout(limit, echoed).await.unwrap_or(false)
    }

    /// Tells whether a datagram passes within a time.
    async fn sends(&self, limit: Duration) -> bool {
        let sent = self.near.send_to(b"a", self.address).await;
        sent.expect("it is sent");
        let mut buffer = [0; 8];
        timeout(limit, self.far.recv_from(&mut buffer))
            .await
            .is_ok()
    }
}

async fn echoes(stream: &mut TcpStream) -> bool {
    let mut byte = [7];
    stream.write_all(&byte).await.is_ok() && stream.read_exact(&mut byte).await.is_ok()
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

#[gtest]
fn verify_nothing_passes_between_routers_that_are_cut_off() {
    run(async {
        let pair = Pair::open().await;
        expect_true!(pair.connects(PASSED).await);
        expect_true!(pair.sends(PASSED).await);
        for group in [vec![NEAR], vec![FAR], vec![FAR, OTHER]] {
            let mut open = TcpStream::connect(pair.address).await.expect("it listens");
            expect_true!(echoes(&mut open).await);
            pair.links.cut(&group, ROUTERS);
            expect_false!(pair.connects(LOST).await, "{group:?}");
            expect_false!(pair.sends(LOST).await, "{group:?}");
            let silent = timeout(LOST, echoes(&mut open)).await;
            expect_true!(silent.is_err(), "an open connection goes silent");
            pair.links.heal(&group, ROUTERS);
            expect_true!(pair.connects(PASSED).await, "{group:?}");
            expect_true!(pair.sends(PASSED).await, "{group:?}");
            let reset = timeout(PASSED, open.read(&mut [0])).await;
            expect_true!(reset.is_ok_and(|read| read.is_err()), "and is reset");
        }
    });
}

#[gtest]
fn verify_routers_that_are_cut_off_together_hear_each_other() {
    run(async {
        let pair = Pair::open().await;
        for group in [vec![NEAR, FAR], vec![OTHER]] {
            let mut open = TcpStream::connect(pair.address).await.expect("it listens");
            expect_true!(echoes(&mut open).await);
            pair.links.cut(&group, ROUTERS);
            expect_true!(pair.connects(PASSED).await, "{group:?}");
            expect_true!(pair.sends(PASSED).await, "{group:?}");
            expect_true!(echoes(&mut open).await, "{group:?}");
            pair.links.heal(&group, ROUTERS);
        }
    });
}

#[gtest]
fn verify_a_cut_lasts_until_the_last_fault_that_makes_it_is_over() {
    run(async {
        let pair = Pair::open().await;
        pair.links.cut(&[NEAR], ROUTERS);
        pair.links.cut(&[FAR, OTHER], ROUTERS);
        pair.links.heal(&[NEAR], ROUTERS);
        expect_false!(pair.connects(LOST).await);
        expect_false!(pair.sends(LOST).await);
        pair.links.heal(&[FAR, OTHER], ROUTERS);
        expect_true!(pair.connects(PASSED).await);
        expect_true!(pair.sends(PASSED).await);
    });
}
