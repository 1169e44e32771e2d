//! Follows the registry: reads it whole again and again, and tells the decisions what changed and
//! how old it is.

use std::{
    net::SocketAddrV4,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    Request,
    StatusCode, //
};
use http_body_util::{
    BodyExt as _,
    Full,
    Limited, //
};
use snafu::Snafu;
use tokio::time::{
    sleep,
    timeout, //
};
use toucanturn_core::{
    gateway::{
        Change,
        News, //
    },
    units::Time,
};

use crate::{
    client::{
        Connection,
        Sent, //
    },
    log::text,
    state::{
        Shared,
        now, //
    },
};

/// Longest wait for one answer of the registry.
const PATIENCE: Duration = Duration::from_millis(900);
/// Pause after a read that failed.
const AGAIN: Duration = Duration::from_millis(150);
/// Most bytes of one answer.
const MAX_ANSWER: usize = 16 << 20;
/// Reads that fail in a row after which the registry counts as away: one may be lost on the way.
const AWAY: u32 = 2;

/// `Reader` translates reads of the registry. It does no I/O.
pub struct Reader {
    /// Begins a read of everything; gets the path of its first call.
    pub begin: Box<dyn FnMut() -> String>,
    /// Takes an answer's body in.
    pub took: Box<dyn FnMut(&[u8]) -> Result<Step, String>>,
}

/// `Step` is what follows an answer of the registry.
#[derive(Debug)]
pub enum Step {
    /// The read goes on with the call of this path.
    More(String),
    /// The read is whole.
    Whole(Vec<Change>),
}

#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("{source}"), context(false))]
    Connect { source: crate::client::Error },
    #[snafu(display("no answer in time"))]
    Slow,
    #[snafu(display("the connection broke"))]
    Lost,
    #[snafu(display("status {status}"))]
    Status { status: StatusCode },
    #[snafu(display("{why}"))]
    Body { why: String },
}

/// Follows the registry at `address` for good, a whole read each `pace`.
pub async fn follow(state: Shared, address: SocketAddrV4, pace: Duration, mut reader: Reader) {
    let mut connection = None;
    let mut failures = 0;
    loop {
        let sent = now();
        match read(address, &mut connection, &mut reader).await {
            Ok(changes) => {
                if failures >= AWAY {
                    tracing::info!(event = 652, failures, "registry regained");
                }
                failures = 0;
                apply(&state, sent, changes);
                let spent = Duration::from_millis(now().since(sent).0);
                sleep(pace.saturating_sub(spent)).await;
            }
            Err(error) => {
                connection = None;
                failures += 1;
                state.metrics.count("registry", "failed");
                if failures == AWAY {
                    state.gateway.borrow_mut().registry_lost(now());
                    tracing::warn!(event = 651, %error, "registry lost");
                }
                sleep(AGAIN).await;
            }
        }
    }
}

fn apply(state: &Shared, sent: Time, changes: Vec<Change>) {
    state.metrics.count("registry", "read");
    let mut gateway = state.gateway.borrow_mut();
    gateway.registry_back(now());
    for change in changes {
        for news in gateway.follow(now(), change) {
            log(&news);
        }
    }
    gateway.proved(sent);
    for news in gateway.tick(now()) {
        log(&news);
    }
}

fn log(news: &News) {
    match news {
        News::Applied { version } => {
            tracing::info!(event = 653, version, "configuration in force");
        }
        News::Older { version, held } => {
            tracing::warn!(
                event = 654,
                version,
                held,
                "older configuration passed over"
            );
        }
        News::Endpoint { id, state } => {
            tracing::info!(event = 655, endpoint = %text(id), %state, "endpoint changed");
        }
    }
}

async fn read(
    address: SocketAddrV4,
    connection: &mut Option<Connection>,
    reader: &mut Reader,
) -> Result<Vec<Change>, Error> {
    let mut path = (reader.begin)();
    loop {
        let call = fetch(address, connection, &path);
        let body = timeout(PATIENCE, call).await.map_err(|_| Error::Slow)??;
        match (reader.took)(&body).map_err(|why| Error::Body { why })? {
            Step::More(next) => path = next,
            Step::Whole(changes) => return Ok(changes),
        }
    }
}

async fn fetch(
    address: SocketAddrV4,
    connection: &mut Option<Connection>,
    path: &str,
) -> Result<Bytes, Error> {
    let mut open = match connection.take().filter(Connection::free) {
        Some(open) => open,
        None => Connection::open(address, PATIENCE).await?,
    };
    let request = Request::get(path)
        .header(http::header::HOST, address.to_string())
        .body(Full::default());
    let request = request.map_err(|e| Error::Body { why: e.to_string() })?;
    let Sent::Head(response) = open.send(request).await else {
        return Err(Error::Lost);
    };
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER).collect();
    let body = body.await.map_err(|e| Error::Body { why: e.to_string() })?;
    snafu::ensure!(status.is_success(), StatusSnafu { status });
    *connection = Some(open);
    Ok(body.to_bytes())
}
