//! Reads of the registry by this router. Reads start when they are due; where answers are slow, several run at the
//! same time.

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
    time::{
        sleep,
        timeout, //
    },
};
use toucanturn_core::{
    gateway::{
        mirror::Delta,
        reading::{
            FAILURES_UNTIL_LOST,
            ReadContext,
            ReadId,
            ReadScheduler,
            ReadTiming, //
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
        HttpClient,
        Timeouts, //
    },
    feed::{
        self,
        RegistryRead,
        RegistryReader,
        RegistryStep,
        Source, //
    },
    state::{
        Shared,
        duration,
        now, //
    },
};

/// Longest wait for a connection to the registry.
const REGISTRY_CONNECT_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest wait for the next frame of an answer's body.
const BODY_FRAME_TIMEOUT: Duration = Duration::from_millis(900);
/// The head of a watch's answer is waited for twice the usual time of an answer plus this margin. The registry already
/// has what the watch asks for and answers at once as a rule, but a watch may receive nothing; then everything is read.
const WATCH_HEAD_MARGIN: Millis = Millis(700);
/// Time that a call may take in addition to its limit for the head of the answer. A configuration of over a megabyte
/// takes seconds on a slow link, and a read that is cut off starts again from the beginning.
const BODY_TIMEOUT: Duration = Duration::from_secs(4);
/// Most connections to the registry that are kept open between reads.
const MAX_KEPT_CONNECTIONS: usize = 2;

#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("{source}"), context(false))]
    Call { source: client::Error },
    #[snafu(display("expected a valid path of a call, found {path:?}"))]
    Path { path: String },
    #[snafu(display("{why}"))]
    Body { why: String },
    #[snafu(display("the speculative call ended without a result"))]
    SpeculativeCallEnded,
}

/// `FinishedRead` is the result of a read that has ended.
struct FinishedRead {
    number: ReadId,
    sent: Time,
    calls: u32,
    /// The client that it used, unless the read failed.
    http_client: Option<HttpClient>,
    /// Whether the next read should be a full one.
    full_next: bool,
    result: Result<Delta, Error>,
}

/// `RegistryReads` is the reads in progress and the idle connections.
struct RegistryReads {
    running: JoinSet<FinishedRead>,
    abort_handles: IndexMap<ReadId, AbortHandle>,
    idle_clients: Vec<HttpClient>,
    /// Whether the next read is a full one, as the registry could not tell the changes.
    full_next: bool,
}

/// Reads the registry, and waits until the state is known as of a time after `since`; returns whether it is.
///
/// Fails at once while the next read is put off, as the registry does not answer this router.
pub(crate) async fn read_after(state: &Shared, since: Time, limit: Duration) -> bool {
    if state.reading.borrow().rests(now()) {
        return false;
    }
    let mut changes = state.changes.subscribe();
    state.reading.borrow_mut().demand(since);
    state.wake_reads.notify_one();
    let read = changes.wait_for(|known| known.read > since);
    timeout(limit, read).await.is_ok_and(|read| read.is_ok())
}

/// Waits until the registry's state is known as of a time after `since`; returns whether it is.
///
/// A router that reads the registry itself reads on demand. Others wait for their next copy, as calls to the registry are
/// limited.
pub(crate) async fn wait_for_read(state: &Shared, since: Time, limit: Duration) -> bool {
    let follows = state.mesh.borrow().upstream(now()).is_some();
    if !follows {
        return read_after(state, since, limit).await;
    }
    let mut changes = state.changes.subscribe();
    let read = changes.wait_for(|known| known.read > since);
    timeout(limit, read).await.is_ok_and(|read| read.is_ok())
}

/// Reads the registry until the process ends.
pub(crate) async fn run(state: Shared, reader: Rc<RegistryReader>) {
    let mut reads = RegistryReads {
        running: JoinSet::new(),
        abort_handles: IndexMap::new(),
        idle_clients: Vec::new(),
        full_next: false,
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
            finished = reads.running.join_next(), if !reads.running.is_empty() => {
                // An aborted read has no result.
                if let Some(Ok(finished)) = finished {
                    reads.end(&state, finished, &reader);
                }
            }
            () = sleep(duration(due.since(at))) => {}
            () = state.wake_reads.notified() => {}
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

impl RegistryReads {
    fn begin(&mut self, state: &Shared, reader: &Rc<RegistryReader>, pace: &ReadTiming) {
        let sent = now();
        // A router without a configuration reads everything: that is one call, unless the registry is large.
        let has_configuration = state.gateway.borrow().catalog().is_some();
        let incremental = has_configuration && !self.full_next;
        let held = incremental.then(|| state.mirror.borrow().revision());
        let read = (reader.begin)(held);
        let http_client = self
            .idle_clients
            .pop()
            .unwrap_or_else(|| HttpClient::new(state.registry));
        let mut reading = state.reading.borrow_mut();
        let number = reading.begin(sent);
        let speculative_path = read
            .speculative_path
            .clone()
            .filter(|_| reading.calls_in_parallel(sent, pace));
        let running = RunningRead {
            state: state.clone(),
            number,
            sent,
            answer_timeout: duration(ReadScheduler::answer_timeout(pace)),
            calls: 0,
            full_next: false,
        };
        drop(reading);
        let handle = self
            .running
            .spawn_local(running.run(http_client, read, speculative_path));
        self.abort_handles.insert(number, handle);
    }

    fn end(&mut self, state: &Shared, finished: FinishedRead, reader: &RegistryReader) {
        self.abort_handles.swap_remove(&finished.number);
        let took = now().since(finished.sent);
        let standing = standing(state);
        let calls = finished.calls;
        let by = standing.role();
        self.full_next = finished.full_next;
        match finished.result {
            Ok(delta) => {
                let failures = state.reading.borrow().failures();
                if failures >= FAILURES_UNTIL_LOST {
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
                feed::apply(state, finished.sent, delta, Source::Registry, reader);
                let superseded = state.reading.borrow_mut().whole(finished.number);
                for number in superseded {
                    if let Some(handle) = self.abort_handles.swap_remove(&number) {
                        state.metrics.count("registry", "given up");
                        handle.abort();
                    }
                }
                self.idle_clients.extend(finished.http_client);
                self.idle_clients.truncate(MAX_KEPT_CONNECTIONS);
            }
            Err(error) => {
                // Whatever the cause of the failure, the next read uses a new connection.
                self.idle_clients.clear();
                state.read_failed();
                state.metrics.count("registry", "failed");
                let draw = state.gateway.borrow_mut().draw();
                let mut reading = state.reading.borrow_mut();
                let failures = reading.failed(now(), finished.number, &standing, draw);
                if failures == FAILURES_UNTIL_LOST {
                    state.reads.set(false);
                    tracing::warn!(event = 651, %by, calls, took = took.0, %error, "registry lost");
                }
            }
        }
    }
}

/// `RunningRead` makes the calls of a read.
struct RunningRead {
    state: Shared,
    number: ReadId,
    sent: Time,
    answer_timeout: Duration,
    calls: u32,
    full_next: bool,
}

impl RunningRead {
    async fn run(
        mut self,
        mut http_client: HttpClient,
        read: RegistryRead,
        speculative_path: Option<String>,
    ) -> FinishedRead {
        let speculative = speculative_path.map(|path| self.start_speculative_call(path));
        let result = self.calls(&mut http_client, read, speculative).await;
        FinishedRead {
            number: self.number,
            sent: self.sent,
            calls: self.calls,
            http_client: result.is_ok().then_some(http_client),
            full_next: self.full_next && result.is_err(),
            result,
        }
    }

    /// Makes the calls of the read; returns the changes.
    async fn calls(
        &mut self,
        http_client: &mut HttpClient,
        mut read: RegistryRead,
        mut speculative: Option<SpeculativeCall>,
    ) -> Result<Delta, Error> {
        let mut path = read.path.clone();
        let mut watches = false;
        loop {
            let started = speculative.take_if(|call| call.path == path);
            let called = match started {
                Some(mut speculative) => (&mut speculative.call)
                    .await
                    .map_err(|_| Error::SpeculativeCallEnded)?,
                None => self.call(http_client, &path, watches).await,
            };
            let body = match called {
                Err(error) if watches && watch_unserved(&error) => {
                    watches = false;
                    read = (read.full_read)();
                    path = read.path.clone();
                    continue;
                }
                called => called?,
            };
            // If processing this answer fails, its changes can't be requested again, so the next read is a full one.
            self.full_next = true;
            match (read.on_body)(&body).map_err(|why| Error::Body { why })? {
                RegistryStep::More(next) => {
                    watches = false;
                    path = next;
                }
                RegistryStep::Newer(next) => {
                    self.state
                        .gateway
                        .borrow_mut()
                        .record_newer_state(self.sent);
                    watches = true;
                    path = next;
                }
                RegistryStep::Whole(delta) => return Ok(delta),
            }
        }
    }

    async fn call(
        &mut self,
        http_client: &mut HttpClient,
        path: &str,
        watches: bool,
    ) -> Result<bytes::Bytes, Error> {
        self.calls += 1;
        let usual_latency = self.state.reading.borrow().usual_latency();
        let head = match watches {
            true => duration(usual_latency + usual_latency + WATCH_HEAD_MARGIN),
            false => self.answer_timeout,
        };
        let request = request(path)?;
        let answer_started = || self.answer_started();
        Ok(http_client
            .call(request, timeouts(head), &answer_started)
            .await?)
    }

    /// Starts a call at the same time as the read's first one, on a separate connection.
    fn start_speculative_call(&mut self, path: String) -> SpeculativeCall {
        self.calls += 1;
        let mut http_client = HttpClient::new(self.state.registry);
        let timeouts = timeouts(self.answer_timeout);
        let call_path = path.clone();
        let call = spawn_local(async move {
            let request = request(&call_path)?;
            Ok(http_client.call(request, timeouts, &|| ()).await?)
        });
        SpeculativeCall { path, call }
    }

    fn answer_started(&self) {
        let mut reading = self.state.reading.borrow_mut();
        reading.answer_started(now(), self.number);
    }
}

/// `SpeculativeCall` is a call that was started before it was known to be needed. Dropping it aborts the call.
struct SpeculativeCall {
    path: String,
    call: JoinHandle<Result<bytes::Bytes, Error>>,
}

impl Drop for SpeculativeCall {
    fn drop(&mut self) {
        self.call.abort();
    }
}

/// Returns whether a watch can't deliver the changes: the registry sent no byte of a body in time, or answered that
/// its history is gone.
fn watch_unserved(error: &Error) -> bool {
    matches!(
        error,
        Error::Call {
            source: client::Error::ResponseTimeout { received: 0 }
                | client::Error::Status {
                    status: StatusCode::GONE
                }
        }
    )
}

fn timeouts(head: Duration) -> Timeouts {
    Timeouts {
        connect: REGISTRY_CONNECT_TIMEOUT,
        head,
        body_frame: BODY_FRAME_TIMEOUT,
        total: head + BODY_TIMEOUT,
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
