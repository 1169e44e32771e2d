//! Own reads of the registry: begun when they are due, several at the same time where answers are slow.

use std::{
    rc::Rc,
    time::Duration, //
};

use http::{
    Request,
    StatusCode, //
};
use http_body_util::Full;
use indexmap::IndexMap;
use snafu::Snafu;
use tokio::{
    task::{
        AbortHandle,
        JoinHandle,
        JoinSet,
        spawn_local, //
    },
    time::sleep,
};
use toucanturn_core::{
    gateway::{
        mirror::{
            Delta,
            Mirror, //
        },
        reading::{
            ReadContext, //
            ReadId,
            ReadScheduler,
            ReadTiming,
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
    feed::{
        self,
        Read,
        Reader,
        Step, //
    },
    state::{
        Shared,
        duration,
        now, //
    },
};

/// Longest wait for a connection to the registry.
const OPEN: Duration = Duration::from_millis(900);
/// Longest wait for the next piece of an answer that has begun.
const PIECE: Duration = Duration::from_millis(900);
/// Longest wait for the first piece of what is newer, where the registry answers at once: it has it already,
/// but a watch may hear nothing of it, and everything is read in its place.
const WATCH_PATIENCE: Millis = Millis(700);
/// Longest time of an answer whose bytes come. A configuration of over a megabyte takes seconds on a narrow link,
/// and a read that is cut begins anew.
const WHOLE: Duration = Duration::from_secs(4);
/// Reads that fail in a row after which the registry counts as lost: one may be lost on the way.
const LOST: u32 = 2;
/// Connections to the registry that are kept open between reads.
const KEPT: usize = 2;

#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("{source}"), context(false))]
    Call { source: client::Error },
    #[snafu(display("expected the path of a call, found {path:?}"))]
    Path { path: String },
    #[snafu(display("{why}"))]
    Body { why: String },
    #[snafu(display("the call that was made ahead has ended"))]
    Ahead,
}

/// `Ended` is a read that has ended.
struct Ended {
    number: ReadId,
    sent: Time,
    calls: u32,
    /// Its connection, unless something was wrong with it.
    link: Option<Link>,
    /// Whether the next read had better begin with everything.
    anew: bool,
    result: Result<Delta, Error>,
}

/// `Reads` is the reads under way.
struct Reads {
    running: JoinSet<Ended>,
    handles: IndexMap<ReadId, AbortHandle>,
    kept: Vec<Link>,
    /// Whether the next read begins with everything, as changes could not be told.
    anew: bool,
}

/// Reads the registry for good.
pub(crate) async fn run(state: Shared, reader: Rc<Reader>) {
    let mut reads = Reads {
        running: JoinSet::new(),
        handles: IndexMap::new(),
        kept: Vec::new(),
        anew: false,
    };
    loop {
        let (standing, pace) = (standing(&state), pace(&state));
        let at = now();
        let due = state.reading.borrow().due(at, &standing, &pace);
        if due <= at {
            reads.begin(&state, &reader, &pace);
            continue;
        }
        tokio::select! {
            ended = reads.running.join_next(), if !reads.running.is_empty() => {
                // One that was given up has no result.
                if let Some(Ok(ended)) = ended {
                    reads.end(&state, ended, &reader);
                }
            }
            () = sleep(duration(due.since(at))) => {}
            () = state.peer_withheld_update.notified() => {}
        }
    }
}

fn standing(state: &Shared) -> ReadContext {
    let now = now();
    let (rank, readers) = state.mesh.borrow().rank(now);
    let gateway = state.gateway.borrow();
    ReadContext {
        has_configuration: gateway.catalog().is_some(),
        rank,
        readers,
        age: gateway.proof().age(now),
    }
}

pub(crate) fn pace(state: &Shared) -> ReadTiming {
    state.gateway.borrow().bounds().pace()
}

impl Reads {
    fn begin(&mut self, state: &Shared, reader: &Rc<Reader>, pace: &ReadTiming) {
        let sent = now();
        // A router that knows no configuration reads everything: that is one call, as long as it is little.
        let has_configuration = state.gateway.borrow().catalog().is_some();
        let told = has_configuration && !self.anew;
        let held = told.then(|| state.mirror.borrow().revision());
        let read = (reader.begin)(held);
        let link = self.kept.pop().unwrap_or_else(|| Link::new(state.registry));
        let mut reading = state.reading.borrow_mut();
        let number = reading.begin(sent);
        let ahead = read
            .ahead
            .clone()
            .filter(|_| reading.calls_in_parallel(sent, pace));
        let made = Made {
            state: state.clone(),
            number,
            sent,
            answer_timeout: duration(ReadScheduler::answer_timeout(pace)),
            calls: 0,
            anew: false,
        };
        drop(reading);
        let handle = self.running.spawn_local(made.run(link, read, ahead));
        self.handles.insert(number, handle);
    }

    fn end(&mut self, state: &Shared, ended: Ended, reader: &Reader) {
        self.handles.swap_remove(&ended.number);
        let took = now().since(ended.sent);
        let standing = standing(state);
        let calls = ended.calls;
        let by = standing.role();
        self.anew = ended.anew;
        match ended.result {
            Ok(delta) => {
                let failures = state.reading.borrow().failures();
                if failures >= LOST {
                    tracing::info!(event = 652, failures, "registry regained");
                }
                let revision = delta.revision.0;
                tracing::info!(
                    event = 659,
                    %by,
                    calls,
                    took = took.0,
                    revision,
                    "registry read"
                );
                state.reads.set(true);
                state.metrics.count("registry", "read");
                state.metrics.time("read", "registry", took);
                feed::apply(state, ended.sent, delta, Mirror::apply, reader);
                let older = state.reading.borrow_mut().whole(ended.number);
                for number in older {
                    if let Some(handle) = self.handles.swap_remove(&number) {
                        state.metrics.count("registry", "given up");
                        handle.abort();
                    }
                }
                self.kept.extend(ended.link);
                self.kept.truncate(KEPT);
            }
            Err(error) => {
                // Whatever was wrong with it, the next read begins on a new connection.
                self.kept.clear();
                state.read_failed();
                state.metrics.count("registry", "failed");
                let draw = state.gateway.borrow_mut().draw();
                let mut reading = state.reading.borrow_mut();
                let failures = reading.failed(now(), ended.number, &standing, draw);
                if failures == LOST {
                    state.reads.set(false);
                    tracing::warn!(event = 651, %by, calls, took = took.0, %error, "registry lost");
                }
            }
        }
    }
}

/// `Made` is the calls of one read.
struct Made {
    state: Shared,
    number: ReadId,
    sent: Time,
    answer_timeout: Duration,
    calls: u32,
    anew: bool,
}

impl Made {
    async fn run(mut self, mut link: Link, read: Read, ahead: Option<String>) -> Ended {
        let ahead = ahead.map(|path| self.call_ahead(path));
        let result = self.calls(&mut link, read, ahead).await;
        Ended {
            number: self.number,
            sent: self.sent,
            calls: self.calls,
            link: result.is_ok().then_some(link),
            anew: self.anew && result.is_err(),
            result,
        }
    }

    /// Makes the calls of the read; gets what has changed.
    async fn calls(
        &mut self,
        link: &mut Link,
        mut read: Read,
        mut ahead: Option<Ahead>,
    ) -> Result<Delta, Error> {
        let mut path = read.path.clone();
        let mut watches = false;
        loop {
            let made = ahead.take_if(|ahead| ahead.path == path);
            let called = match made {
                Some(mut ahead) => (&mut ahead.call).await.map_err(|_| Error::Ahead)?,
                None => self.call(link, &path, watches).await,
            };
            let body = match called {
                Err(error) if watches && deaf(&error) => {
                    watches = false;
                    read = (read.anew)();
                    path = read.path.clone();
                    continue;
                }
                called => called?,
            };
            // Whatever was wrong with an answer, what it should have told can't be asked for again.
            self.anew = true;
            match (read.took)(&body).map_err(|why| Error::Body { why })? {
                Step::More(next) => {
                    watches = false;
                    path = next;
                }
                Step::Newer(next) => {
                    self.state.gateway.borrow_mut().outdated(self.sent);
                    watches = true;
                    path = next;
                }
                Step::Whole(delta) => return Ok(delta),
            }
        }
    }

    async fn call(
        &mut self,
        link: &mut Link,
        path: &str,
        watches: bool,
    ) -> Result<bytes::Bytes, Error> {
        self.calls += 1;
        let usual_latency = self.state.reading.borrow().usual_latency();
        let first = match watches {
            true => duration(usual_latency + usual_latency + WATCH_PATIENCE),
            false => self.answer_timeout,
        };
        let request = request(path)?;
        let answer_started = || self.answer_started();
        Ok(link.call(request, times(first), &answer_started).await?)
    }

    /// Makes a call at the same time as the read's first one, on a connection of its own.
    fn call_ahead(&mut self, path: String) -> Ahead {
        self.calls += 1;
        let mut link = Link::new(self.state.registry);
        let times = times(self.answer_timeout);
        let made = path.clone();
        let call = spawn_local(async move {
            let request = request(&made)?;
            Ok(link.call(request, times, &|| ()).await?)
        });
        Ahead { path, call }
    }

    fn answer_started(&self) {
        let mut reading = self.state.reading.borrow_mut();
        reading.answer_started(now(), self.number);
    }
}

/// `Ahead` is a call that was made before its turn; dropping it gives it up.
struct Ahead {
    path: String,
    call: JoinHandle<Result<bytes::Bytes, Error>>,
}

impl Drop for Ahead {
    fn drop(&mut self) {
        self.call.abort();
    }
}

/// Tells whether a watch hears nothing of what the registry has: it says nothing, or that its history is gone.
fn deaf(error: &Error) -> bool {
    matches!(
        error,
        Error::Call {
            source: client::Error::Late { received: 0 }
                | client::Error::Status {
                    status: StatusCode::GONE
                }
        }
    )
}

fn times(first: Duration) -> Times {
    Times {
        open: OPEN,
        first,
        piece: PIECE,
        whole: first + WHOLE,
    }
}

fn request(path: &str) -> Result<Request<Full<bytes::Bytes>>, Error> {
    let uri = path.parse().map_err(|_| Error::Path {
        path: path.to_owned(),
    })?;
    let mut request = Request::new(Full::default());
    *request.uri_mut() = uri;
    Ok(request)
}
