//! HTTP to the operators' port of a router.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::{
    Bytes,
    BytesMut, //
};
use reqwest::{
    Client,
    Method, //
};
use snafu::ResultExt;

use crate::errors::{
    CallSnafu,
    ClientSnafu,
    OversizeSnafu,
    Result,
    RuntimeSnafu,
    StatusSnafu, //
};

/// Time that connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time that a whole answer may take.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Most bytes of an answer.
const MOST: usize = 16 << 20;

/// `Peer` is a router at its operators' port.
#[derive(Debug)]
pub(crate) struct Peer {
    client: Client,
    /// Where it is.
    pub(crate) address: SocketAddr,
}

impl Peer {
    /// Makes a client of the router at `address`. Each call makes its own connection: one that
    /// went silent would otherwise pass for a router that is gone.
    pub(crate) fn new(address: SocketAddr) -> Result<Self> {
        let client = Client::builder()
            .http1_only()
            .no_proxy()
            .retry(reqwest::retry::never())
            .pool_max_idle_per_host(0)
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(TIMEOUT)
            .build()
            .context(ClientSnafu)?;
        Ok(Self { client, address })
    }

    /// Gets the body of an answer with status 200.
    pub(crate) async fn call(&self, method: Method, path: &str) -> Result<Bytes> {
        let address = self.address;
        match self.fetch(method, path).await? {
            (200, body) => Ok(body),
            (status, _) => StatusSnafu { address, status }.fail(),
        }
    }

    /// Gets the status and the body of an answer.
    pub(crate) async fn fetch(&self, method: Method, path: &str) -> Result<(u16, Bytes)> {
        let address = self.address;
        let url = format!("http://{address}{path}");
        let call = self.client.request(method, url).send().await;
        // The query may hold by mistake what must not be written down.
        let call = call.map_err(reqwest::Error::without_url);
        let mut response = call.context(CallSnafu { address })?;
        let status = response.status().as_u16();
        let mut body = BytesMut::new();
        while let Some(chunk) = response.chunk().await.context(CallSnafu { address })? {
            body.extend_from_slice(&chunk);
            if body.len() > MOST {
                return OversizeSnafu {
                    address,
                    most: MOST,
                }
                .fail();
            }
        }
        Ok((status, body.freeze()))
    }
}

/// Runs a command that waits for the network.
pub(crate) fn block_on<T>(command: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    runtime.block_on(command)
}
