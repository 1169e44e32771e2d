//! Reads the platform: the configuration service and the list of VMs.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
    time::Duration,
};

use bytes::Bytes;
use reqwest::Client;
use serde::{
    Deserialize,
    de::DeserializeOwned, //
};
use serde_json::value::RawValue;
use snafu::{
    ResultExt,
    Snafu, //
};
use toucanturn_core::{
    event::{
        Event,
        Source,
        VmState, //
    },
    ids::Id,
    peer::{
        Change,
        Entry, //
    },
    units::{
        Millis,
        Revision, //
    },
};

use crate::{
    driver::Driver,
    errors::{
        ClientSnafu,
        Result, //
    },
    events,
};

/// Time that a watch waits at the service.
const WATCH_WAIT: Duration = Duration::from_secs(30);

/// Time beyond its wait after which a watch counts as lost.
const GRACE: Duration = Duration::from_secs(5);

/// Largest answer of the configuration service in bytes.
const MAX_ANSWER: usize = 64 << 20;

/// `Error` says why the platform could not be read.
#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("the platform did not answer"))]
    Call { source: reqwest::Error },
    #[snafu(display("the platform answered with status {status}"))]
    Status { status: u16 },
    #[snafu(display("the platform's answer is longer than {MAX_ANSWER} bytes"))]
    Oversize,
    #[snafu(display("the platform's answer is not what the protocol says"))]
    Parse { source: serde_json::Error },
}

/// `Addresses` are the addresses of one of the platform's services. One is used until it fails.
#[derive(Debug)]
pub(crate) struct Addresses {
    all: Vec<SocketAddr>,
    at: AtomicUsize,
}

impl Addresses {
    /// Takes the addresses in their order; the settings hold at least one.
    pub(crate) fn new(all: Vec<SocketAddr>) -> Self {
        Self {
            all,
            at: AtomicUsize::new(0),
        }
    }

    pub(crate) fn next(&self) -> SocketAddr {
        let at = self.at.load(Ordering::Relaxed) % self.all.len().max(1);
        self.all
            .get(at)
            .copied()
            .unwrap_or(SocketAddr::from(([0, 0, 0, 0], 0)))
    }

    fn failed(&self) {
        self.at.fetch_add(1, Ordering::Relaxed);
    }
}

#[derive(Deserialize)]
struct RawEntry {
    key: String,
    revision: u64,
    value: Option<Box<RawValue>>,
}

#[derive(Deserialize)]
struct RawChange {
    revision: u64,
    entries: Vec<RawEntry>,
}

#[derive(Deserialize)]
struct RawVm {
    id: String,
    state: String,
}

#[derive(Deserialize)]
struct RawVms {
    age_ms: u64,
    vms: Vec<RawVm>,
}

/// Makes the client for the platform and for polls.
pub(crate) fn client(connect_timeout: Duration) -> Result<Client> {
    let client = Client::builder()
        .http1_only()
        .no_proxy()
        .retry(reqwest::retry::never())
        .connect_timeout(connect_timeout)
        .tcp_keepalive(Duration::from_secs(5));
    client.build().context(ClientSnafu)
}

/// Watches the configuration service for what comes after a revision.
pub(crate) fn watch(driver: &Arc<Driver>, since: Revision) {
    let driver = Arc::clone(driver);
    tokio::spawn(async move {
        let wait = WATCH_WAIT.as_millis();
        let path = format!("/v1/config?since={}&wait_ms={wait}", since.0);
        let address = driver.config_service.next();
        let event = match get::<RawChange>(&driver, address, &path, WATCH_WAIT + GRACE).await {
            Ok(raw) if raw.revision >= since.0 => Event::Publish {
                source: Source::Service,
                change: change(since, raw),
            },
            // A service that is behind what is in force has nothing to say.
            Ok(_) => {
                driver.config_service.failed();
                Event::ReadFailed
            }
            Err(error) => {
                driver.config_service.failed();
                events::unread(&error);
                Event::ReadFailed
            }
        };
        driver.feed(event);
    });
}

/// Reads the list of VMs.
pub(crate) fn read_vms(driver: &Arc<Driver>) {
    let driver = Arc::clone(driver);
    tokio::spawn(async move {
        let address = driver.vm_list.next();
        let raw = match get::<RawVms>(&driver, address, "/v1/vms", GRACE).await {
            Ok(raw) => raw,
            Err(error) => {
                events::vms_unread(&error);
                return driver.vm_list.failed();
            }
        };
        let vm = |vm: RawVm| {
            let id = Id::try_from(vm.id.as_str()).ok()?;
            Some((id, vm.state.parse::<VmState>().ok()?))
        };
        let vms = raw.vms.into_iter().filter_map(vm).collect();
        driver.feed(Event::Vms {
            age: Millis(raw.age_ms),
            vms,
        });
    });
}

fn change(since: Revision, raw: RawChange) -> Change {
    let entry = |e: RawEntry| Entry {
        key: Bytes::from(e.key),
        revision: Revision(e.revision),
        value: e.value.map(|v| Bytes::copy_from_slice(v.get().as_bytes())),
    };
    let entries = raw.entries.into_iter().map(entry).collect();
    Change {
        since,
        revision: Revision(raw.revision),
        entries,
        floor: None,
    }
}

async fn get<T: DeserializeOwned>(
    driver: &Driver,
    address: SocketAddr,
    path: &str,
    limit: Duration,
) -> std::result::Result<T, Error> {
    let url = format!("http://{address}{path}");
    let response = driver
        .control
        .get(url)
        .timeout(limit)
        .send()
        .await
        .context(CallSnafu)?;
    let status = response.status().as_u16();
    if status != 200 {
        return StatusSnafu { status }.fail();
    }
    let body = bounded(response, MAX_ANSWER).await?;
    serde_json::from_slice(&body).context(ParseSnafu)
}

async fn bounded(
    mut response: reqwest::Response,
    most: usize,
) -> std::result::Result<Vec<u8>, Error> {
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await.context(CallSnafu)? {
        body.extend_from_slice(&chunk);
        if body.len() > most {
            return OversizeSnafu.fail();
        }
    }
    Ok(body)
}
