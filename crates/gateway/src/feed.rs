//! Follows the registry: reads it, or asks a peer that does, and tells the decisions what changed
//! and how old it is.

use std::{
    net::SocketAddrV4,
    time::Duration, //
};

use http::{
    Request,
    StatusCode, //
};
use http_body_util::Full;
use snafu::Snafu;
use tokio::time::sleep;
use toucanturn_core::{
    gateway::{
        Change, News,
        mirror::{
            Delta,
            Mirror,
            Record, //
        },
    },
    units::{
        Millis,
        Time, //
    },
};

use crate::{
    client::{
        self,
        Link,
        Times, //
    },
    log::text,
    peers,
    state::{
        Shared,
        millis,
        now, //
    },
};

/// Longest wait for the next piece of an answer of the registry.
const PATIENCE: Duration = Duration::from_millis(900);
/// Longest wait for the first piece of what is newer: the registry has it already, but a watch may hear nothing
/// of it, and everything is read in its place. 66 routers that read 1.1 MB each at once keep its link of
/// 1 Gbit/s busy for 0.6 s.
const WATCH_PATIENCE: Duration = Duration::from_millis(700);
/// Longest time of a whole answer. A configuration of 1.3 MB is 1.8 MB in base64, 2.9 s on half of a link of
/// 10 Mbit/s. With 0.9 s for the whole, routers on such links did not read one of 1.1 MB, as each try began anew:
/// 58 of 66 refused everything, for 1.7 to 3.1 s each until the record's end.
const WHOLE: Duration = Duration::from_secs(4);
/// Pause after a read that failed, or a copy that won't do.
const AGAIN: Duration = Duration::from_millis(150);
/// Longest pause between reads that fail in a row, of a router that reads for others.
const READER_PAUSE: Duration = Duration::from_millis(300);
/// The same of one that doesn't: it asks a peer meanwhile, which costs no call. With 150 ms for all,
/// 66 routers made 3,500 calls in an outage of 8 s, more than on the rest of the day.
const FOLLOWER_PAUSE: Duration = Duration::from_millis(2400);
/// Reads that fail in a row after which the registry counts as lost: one may be lost on the way.
const LOST: u32 = 2;
/// Reads whose time a peer's copy may be old before it is not good enough: one under way, one lost.
const COPY_READS: u32 = 2;
/// Part of the time between reads within which another peer is asked, and no call made, after one whose
/// copy won't do. While the registry turned some routers away, and their copies were too old, this took
/// the calls of a day from 1,482 to 1,223 (66 routers) and from 2,259 to 2,081 (83).
const FRESH_PART: u32 = 2;
/// Time for which a peer is not asked that gave no answer.
const AVOID: Millis = Millis(4000);
/// Time for which a peer is not asked whose copy is too old: it may just not reach the registry, as
/// this router.
const AVOID_STALE: Millis = Millis(500);
/// Pause between asks, so that a peer that answers at once is not asked without end.
const ASK_PAUSE: Duration = Duration::from_millis(50);

/// `Reader` translates reads of the registry. It does no I/O.
pub struct Reader {
    /// Begins a read of everything; gets the path of its first call.
    pub begin: Box<dyn FnMut() -> String>,
    /// Takes an answer's body in.
    pub took: Box<Took>,
    /// Says what a record means.
    pub change: fn(&Record) -> Meaning,
}

/// `Meaning` is what a record changes, if anything, and what is wrong with it, if it can't be understood.
#[derive(Debug, Default)]
pub struct Meaning {
    /// What it changes.
    pub change: Option<Change>,
    /// What is wrong with it.
    pub fault: Option<String>,
}

/// `Took` takes an answer's body in; the error says what is wrong with it.
pub type Took = dyn FnMut(&[u8]) -> Result<Step, String>;

/// `Step` is what follows an answer of the registry.
#[derive(Debug)]
pub enum Step {
    /// The read goes on with the call of this path.
    More(String),
    /// The registry holds something newer, and the read goes on with the call of this path.
    Newer(String),
    /// The read is whole.
    Whole(Delta),
}

#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("{source}"), context(false))]
    Call { source: client::Error },
    #[snafu(display("expected the path of a call, found {path:?}"))]
    Path { path: String },
    #[snafu(display("{why}"))]
    Body { why: String },
}

/// Follows the registry at `address` for good; own reads begin `pace` apart.
pub async fn follow(state: Shared, address: SocketAddrV4, pace: Duration, mut reader: Reader) {
    let mut registry = Link::new(address);
    let mut upstream: Option<Link> = None;
    let mut failures = 0;
    let mut own_read = now();
    // Where changes are promised within a second, a copy that waits for longer than a read is too old.
    let wait = peers::WAIT.min(millis(pace));
    let copy = Copying {
        wait,
        stale: wait + millis(pace * COPY_READS),
    };
    loop {
        let (draw, informed) = {
            let mut gateway = state.gateway.borrow_mut();
            (gateway.draw(), gateway.catalog().is_some())
        };
        let peer = state.mesh.borrow().upstream(now(), draw);
        let peer = peer.filter(|_| informed);
        if let Some(peer) = peer {
            // The same peer for as long as it will do: its connection is kept.
            let kept = upstream.take().filter(|link| link.address == peer);
            let link = upstream.insert(kept.unwrap_or_else(|| Link::new(peer)));
            if copied(&state, link, &reader, copy).await {
                state.reads.set(false);
                sleep(ASK_PAUSE).await;
                continue;
            }
        }
        let other = peer.is_some() && fresh(&state, pace / FRESH_PART);
        if now() < own_read || other {
            sleep(AGAIN).await;
            continue;
        }
        let sent = now();
        match read(&state, &mut registry, &mut reader).await {
            Ok(delta) => {
                if failures >= LOST {
                    tracing::info!(event = 652, failures, "registry regained");
                }
                failures = 0;
                state.reads.set(true);
                state.metrics.count("registry", "read");
                state.metrics.time("read", "registry", now().since(sent));
                apply(&state, sent, delta, Mirror::apply, &reader);
                let spent = Duration::from_millis(now().since(sent).0);
                sleep(pace.saturating_sub(spent)).await;
            }
            Err(error) => {
                // Whatever was wrong with it, the next read begins on a new connection.
                registry = Link::new(address);
                failures += 1;
                state.read_failed();
                state.metrics.count("registry", "failed");
                if failures == LOST {
                    state.reads.set(false);
                    tracing::warn!(event = 651, %error, "registry lost");
                }
                own_read = now() + pause(&state, failures, draw);
                sleep(AGAIN).await;
            }
        }
    }
}

/// Tells whether what is known was the newest state less than `bound` ago.
fn fresh(state: &Shared, bound: Duration) -> bool {
    let age = state.gateway.borrow().proof().age(now());
    age.is_some_and(|age| age < millis(bound))
}

/// Gets how long to wait before an own read after `failures` that failed in a row; it doubles, and
/// is spread so that routers that failed together don't call together.
fn pause(state: &Shared, failures: u32, draw: u64) -> Millis {
    let reader = state.mesh.borrow().reads(now());
    let most = if reader { READER_PAUSE } else { FOLLOWER_PAUSE };
    let doubled = AGAIN * 2_u32.saturating_pow(failures.min(8));
    let most = millis(doubled.min(most));
    Millis(most.0 / 2 + draw % (most.0 / 2 + 1))
}

/// `Copying` is how peers are asked.
#[derive(Clone, Copy, Debug)]
struct Copying {
    /// How long an answer may wait for a change.
    wait: Millis,
    /// Age from which on a copy won't do.
    stale: Millis,
}

/// Asks a peer; returns whether its copy will do.
async fn copied(state: &Shared, link: &mut Link, reader: &Reader, copying: Copying) -> bool {
    let peer = link.address;
    let (why, avoid) = match peers::ask(state, link, copying.wait).await {
        Ok((read, delta)) => {
            state.metrics.count("registry", "copied");
            apply(state, read, delta, Mirror::copy, reader);
            let age = now().since(read);
            if age < copying.stale {
                return true;
            }
            (format!("its copy is {} ms old", age.0), AVOID_STALE)
        }
        Err(peers::Error::Call {
            source:
                client::Error::Status {
                    status: StatusCode::PAYLOAD_TOO_LARGE,
                },
        }) => {
            state.metrics.count("registry", "too large to copy");
            return false;
        }
        Err(
            error @ peers::Error::Call {
                source: client::Error::Status { .. },
            },
        ) => (error.to_string(), AVOID_STALE),
        Err(error) => (error.to_string(), AVOID),
    };
    state.metrics.count("registry", "copy failed");
    if state.log.admits() {
        tracing::warn!(event = 656, %peer, why, "peer's copy of the registry won't do");
    }
    state.mesh.borrow_mut().avoid(now(), peer, avoid);
    false
}

/// How a delta is taken into the copy.
type Take = fn(&mut Mirror, Delta) -> Vec<Record>;

fn apply(state: &Shared, read: Time, delta: Delta, take: Take, reader: &Reader) {
    let revision = delta.revision;
    if revision < state.mirror.borrow().revision() {
        tracing::debug!(
            revision = revision.0,
            "older state of the registry passed over"
        );
        return;
    }
    state.gateway.borrow_mut().proved(now(), read);
    let records = take(&mut state.mirror.borrow_mut(), delta);
    let mut changes = Vec::new();
    for record in &records {
        let meaning = (reader.change)(record);
        changes.extend(meaning.change);
        if let Some(why) = meaning.fault.filter(|_| state.log.admits()) {
            let key = text(&record.key);
            tracing::warn!(event = 657, %key, why, "record refused");
        }
    }
    follow_changes(state, changes);
    state.changes.send_if_modified(|held| {
        let newer = revision > *held;
        *held = revision.max(*held);
        newer
    });
}

fn follow_changes(state: &Shared, changes: Vec<Change>) {
    let news = state.gateway.borrow_mut().follow(now(), changes);
    for news in news {
        if let News::Applied { version } = news
            && let Some(catalog) = state.gateway.borrow().catalog()
        {
            state.remember(version, catalog.secret);
        }
        log(&news);
    }
}

/// Writes news to the log.
pub(crate) fn log(news: &News) {
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

/// Makes the calls of one read; gets what has changed since the last one.
async fn read(state: &Shared, registry: &mut Link, reader: &mut Reader) -> Result<Delta, Error> {
    let sent = now();
    let mut path = (reader.begin)();
    let mut watches = false;
    loop {
        let times = Times {
            open: PATIENCE,
            first: if watches { WATCH_PATIENCE } else { PATIENCE },
            piece: PATIENCE,
            whole: WHOLE,
        };
        let uri = path.parse().map_err(|_| Error::Path { path })?;
        let mut request = Request::new(Full::default());
        *request.uri_mut() = uri;
        let body = match registry.call(request, times).await {
            // The watch hears nothing: the reader begins with everything.
            Err(client::Error::Late { received: 0 }) if watches => {
                watches = false;
                path = (reader.begin)();
                continue;
            }
            called => called?,
        };
        match (reader.took)(&body).map_err(|why| Error::Body { why })? {
            Step::More(next) => {
                watches = false;
                path = next;
            }
            Step::Newer(next) => {
                state.gateway.borrow_mut().outdated(sent);
                watches = true;
                path = next;
            }
            Step::Whole(delta) => return Ok(delta),
        }
    }
}
