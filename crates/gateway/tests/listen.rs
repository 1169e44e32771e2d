//! The listening sockets.

use std::{
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    time::Duration,
};

use futures_util::future::join_all;
use googletest::prelude::*;
use tokio::{
    net::TcpStream,
    time::timeout, //
};
use toucanturn_gateway::server;

/// Connections that callers open before the router accepts the first one.
const BURST: usize = 400;
/// Time that a caller gives a connection; a dropped opening packet is sent again only later.
const CONNECT_TIME: Duration = Duration::from_millis(900);

/// Guards against callers who lose a second because a router is slow to accept a burst of connections.
#[gtest]
#[tokio::test]
async fn verify_a_burst_of_connections_waits_until_it_is_accepted() -> Result<()> {
    let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
    let listener = server::listen(any, toucanturn_gateway::budget::CALLERS).await?;
    let address = listener.local_addr()?;
    let connects = (0..BURST).map(|_| timeout(CONNECT_TIME, TcpStream::connect(address)));
    let connected = join_all(connects).await;
    let connected = connected.iter().filter(|c| matches!(c, Ok(Ok(_))));
    verify_that!(connected.count(), eq(BURST))
}
