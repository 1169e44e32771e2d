//! The record of what an endpoint really did, which tests compare with what callers were told.

use crate::sync::lock;
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    collections::VecDeque,
    sync::{
        Arc,
        Mutex, //
    },
};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Most requests recorded; beyond it the oldest is forgotten.
const MAX_REQUESTS: usize = 65_536;

/// `State` is how far a request got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Read and not yet over.
    Started,
    /// Run to its end, whether or not the answer reached the caller.
    Done,
    /// Cancelled by a call.
    Cancelled,
    /// Turned away before any of it ran.
    TurnedAway,
    /// Given up because the caller's connection went away.
    Cut,
}

/// `Request` is what is recorded of one request.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Request {
    /// Its `x-request-id`, or the one that the endpoint gave it.
    pub id: String,
    /// How far it got.
    pub state: State,
    /// When it came, in milliseconds since the endpoint started.
    pub came_ms: u64,
    /// Its path.
    pub path: String,
    /// Its `x-priority`.
    pub priority: u8,
    /// Its `idempotency-key`.
    pub key: Option<String>,
    /// Its `x-prefix`.
    pub prefix: Option<String>,
    /// How many tokens of its prompt were cached.
    pub cached_tokens: usize,
    /// How often its answer was resumed.
    pub resumes: u32,
    /// Whether it was answered with the first answer of its key.
    pub replayed: bool,
}

/// `Record` is a request with the means to cancel it.
#[derive(Debug)]
struct Record {
    request: Request,
    cancel: CancellationToken,
}

/// `Records` are the latest ones; the first has number `forgotten`.
#[derive(Debug, Default)]
struct Records {
    forgotten: usize,
    records: VecDeque<Record>,
}

impl Request {
    /// Gets what the request's runs are counted under: its key, or its id where there's none.
    pub fn name(&self) -> &str {
        self.key.as_ref().unwrap_or(&self.id)
    }
}

impl Records {
    fn get(&mut self, number: usize) -> Option<&mut Record> {
        self.records.get_mut(number.checked_sub(self.forgotten)?)
    }
}

/// `Log` is the record of one endpoint.
#[derive(Debug)]
pub(crate) struct Log {
    started: Instant,
    records: Mutex<Records>,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            records: Mutex::default(),
        }
    }
}

impl Log {
    /// Records a request that has just come.
    pub(crate) fn start(self: &Arc<Self>, mut request: Request) -> Run {
        let elapsed = self.started.elapsed().as_millis();
        request.came_ms = u64::try_from(elapsed).unwrap_or(u64::MAX);
        let cancel = CancellationToken::new();
        let mut records = lock(&self.records);
        if records.records.len() == MAX_REQUESTS {
            records.records.pop_front();
            records.forgotten += 1;
        }
        records.records.push_back(Record {
            request,
            cancel: cancel.clone(),
        });
        let number = records.forgotten + records.records.len() - 1;
        Run {
            log: self.clone(),
            number,
            resumes: 0,
            cancel,
        }
    }

    /// Takes up the newest request with this id again.
    pub(crate) fn resume(self: &Arc<Self>, id: &str) -> Option<Run> {
        let mut records = lock(&self.records);
        let position = records
            .records
            .iter()
            .rposition(|record| record.request.id == id)?;
        let number = records.forgotten + position;
        let record = records.records.get_mut(position)?;
        record.request.state = State::Started;
        record.request.resumes += 1;
        Some(Run {
            log: self.clone(),
            number,
            resumes: record.request.resumes,
            cancel: record.cancel.clone(),
        })
    }

    /// Cancels the started requests with this id and gets how many those were.
    pub(crate) fn cancel(&self, id: &str) -> usize {
        let mut records = lock(&self.records);
        let named = records
            .records
            .iter_mut()
            .filter(|record| record.request.id == id);
        let started = named.filter(|record| record.request.state == State::Started);
        started
            .map(|record| {
                record.request.state = State::Cancelled;
                record.cancel.cancel();
            })
            .count()
    }

    /// Gets the newest request with another id.
    pub(crate) fn other_than(&self, id: &str) -> Option<Request> {
        let records = lock(&self.records);
        let mut newest_first = records.records.iter().rev();
        let other = newest_first.find(|record| record.request.id != id)?;
        Some(other.request.clone())
    }

    /// Counts the requests of a [`Request::name`] that were not turned away.
    pub(crate) fn runs(&self, name: &str) -> u64 {
        let records = lock(&self.records);
        let requests = records.records.iter().map(|record| &record.request);
        let ran =
            requests.filter(|request| request.name() == name && request.state != State::TurnedAway);
        ran.count() as u64
    }

    /// Gets every request recorded, in the order of coming.
    pub(crate) fn requests(&self) -> Vec<Request> {
        lock(&self.records)
            .records
            .iter()
            .map(|record| record.request.clone())
            .collect()
    }
}

/// `Run` is a recorded request while it runs; dropping it unfinished records it as cut.
#[derive(Debug)]
pub(crate) struct Run {
    log: Arc<Log>,
    number: usize,
    /// How often the request had been resumed when this run of it began.
    resumes: u32,
    /// Tells that the request was cancelled.
    pub(crate) cancel: CancellationToken,
}

impl Run {
    /// Records that the request ran to its end.
    pub(crate) fn done(&self) {
        self.end(State::Done);
    }

    /// Records that the request was turned away.
    pub(crate) fn turn_away(&self) {
        self.end(State::TurnedAway);
    }

    /// Changes the record.
    pub(crate) fn note(&self, change: impl FnOnce(&mut Request)) {
        if let Some(record) = lock(&self.log.records).get(self.number) {
            change(&mut record.request);
        }
    }

    fn end(&self, state: State) {
        self.note(|request| {
            // A stream that was resumed elsewhere may break long after; its break says nothing
            // of the request, which would then stay recorded as cut though it was answered.
            let is_latest = request.resumes == self.resumes;
            if is_latest && request.state == State::Started {
                request.state = state;
            }
        });
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.end(State::Cut);
    }
}
