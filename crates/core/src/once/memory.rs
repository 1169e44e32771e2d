//! The home's table of remembered keys, bounded in entries and in bytes of answers.

use bytes::Bytes;
use indexmap::{
    IndexMap,
    map::Entry, //
};

use crate::{
    request::{
        Answer,
        Call,
        Key,
        Outcome, //
    },
    units::{
        Millis,
        Time,
        Wall, //
    },
};

/// Most keys remembered. At this number new keys are refused; none is removed before it expires.
pub const MAX_KEYS: usize = 40_000;

/// Largest answer, body and content type together, that is stored for repeated requests. Of a
/// larger one only the fact that the call ran is kept.
pub const MAX_STORED_ANSWER_BYTES: usize = 4096;

/// Most bytes of answers stored for all keys together. Beyond it only the fact that a call ran is
/// kept.
pub const MAX_TOTAL_ANSWER_BYTES: usize = 8 << 20;

/// Most repeated requests that wait for the first answer to one key; further ones are refused with
/// a time after which to retry.
pub const MAX_WAITERS_PER_KEY: usize = 8;

/// `Progress` is what has become of the first request with a key.
#[derive(Clone, Debug)]
pub(super) enum Progress {
    /// The request is in progress.
    Running {
        /// Repeated requests that wait for the answer.
        waiters: Vec<Call>,
        /// Whether an earlier attempt may have reached an endpoint.
        may_have_run: bool,
    },
    /// It ran; its answer is stored.
    Done(Answer),
    /// It ran; its answer was missing or was not stored because of a size limit.
    DoneWithoutAnswer,
    /// It may have run.
    Unknown,
}

/// `KeyRecord` is what is remembered of one key.
#[derive(Clone, Debug)]
pub(super) struct KeyRecord {
    /// Hash of the first request's content.
    pub(super) content: u64,
    /// When the first request began at this router.
    pub(super) started_at: Time,
    pub(super) progress: Progress,
}

/// `KeyCompletion` is the result of a key's first request.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyCompletion {
    /// Outcome to report to callers.
    pub outcome: Outcome,
    /// Answer to give to the waiting calls, if there is one.
    pub answer: Option<Answer>,
    /// Repeated requests that waited for the answer.
    pub waiters: Vec<Call>,
}

/// `KeyTable` holds the remembered keys.
#[derive(Debug, Default)]
pub(super) struct KeyTable {
    records: IndexMap<Key, KeyRecord>,
    /// Bytes of the stored answers.
    answer_bytes: usize,
    /// Latest creation time of the keys that were removed. A key that is not in the table and was
    /// not created after this time may be one of them, even if the wall clock was set back since.
    latest_forgotten: Option<Wall>,
}

impl KeyTable {
    pub(super) fn get(&self, key: Key) -> Option<&KeyRecord> {
        self.records.get(&key)
    }

    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    pub(super) fn is_full(&self) -> bool {
        self.records.len() >= MAX_KEYS
    }

    /// Tells whether a key that is not in the table may have been removed from it.
    pub(super) fn may_have_forgotten(&self, key: Key) -> bool {
        self.latest_forgotten
            .is_some_and(|latest| key.created() <= latest)
    }

    pub(super) fn start(&mut self, now: Time, key: Key, content: u64) {
        let record = KeyRecord {
            content,
            started_at: now,
            progress: Progress::Running {
                waiters: Vec::new(),
                may_have_run: false,
            },
        };
        self.records.insert(key, record);
    }

    /// Adds a repeated request to those that wait for the first answer; `false` if the first
    /// request is not in progress or [`MAX_WAITERS_PER_KEY`] are waiting.
    pub(super) fn wait(&mut self, key: Key, call: Call) -> bool {
        let Some(KeyRecord {
            progress: Progress::Running { waiters, .. },
            ..
        }) = self.records.get_mut(&key)
        else {
            return false;
        };
        let room = waiters.len() < MAX_WAITERS_PER_KEY;
        if room {
            waiters.push(call);
        }
        room
    }

    /// Removes a repeated request from those that wait.
    pub(super) fn stop_waiting(&mut self, key: Key, call: Call) {
        if let Some(KeyRecord {
            progress: Progress::Running { waiters, .. },
            ..
        }) = self.records.get_mut(&key)
        {
            waiters.retain(|w| *w != call);
        }
    }

    /// Records that an attempt may have reached an endpoint and that another attempt follows.
    pub(super) fn mark_may_have_run(&mut self, key: Key) {
        if let Some(KeyRecord {
            progress: Progress::Running { may_have_run, .. },
            ..
        }) = self.records.get_mut(&key)
        {
            *may_have_run = true;
        }
    }

    /// Records the end of a key's first request.
    pub(super) fn end(
        &mut self,
        key: Key,
        outcome: Outcome,
        answer: Option<Answer>,
    ) -> KeyCompletion {
        let mut completion = KeyCompletion {
            outcome,
            answer: None,
            waiters: Vec::new(),
        };
        let Entry::Occupied(mut entry) = self.records.entry(key) else {
            return completion;
        };
        let progress = &mut entry.get_mut().progress;
        let Progress::Running {
            waiters,
            may_have_run,
        } = progress
        else {
            return completion;
        };
        completion.waiters = std::mem::take(waiters);
        // The last attempt sent nothing, but an earlier one may have reached an endpoint.
        if outcome == Outcome::NotRun && *may_have_run {
            completion.outcome = Outcome::Unknown;
        }
        match (completion.outcome, answer) {
            (Outcome::NotRun, _) => {
                entry.swap_remove();
            }
            (Outcome::Done, Some(answer)) => {
                let size = answer.body.len() + answer.content_type.len();
                completion.answer = Some(answer.clone());
                *progress = if size <= MAX_STORED_ANSWER_BYTES
                    && self.answer_bytes + size <= MAX_TOTAL_ANSWER_BYTES
                {
                    self.answer_bytes += size;
                    Progress::Done(copied(answer))
                } else {
                    Progress::DoneWithoutAnswer
                };
            }
            (Outcome::Done, None) => *progress = Progress::DoneWithoutAnswer,
            (Outcome::Unknown, _) => *progress = Progress::Unknown,
        }
        completion
    }

    /// Removes keys older than `ttl`, except those of requests in progress. A key of that age is
    /// refused, so its call cannot run again.
    pub(super) fn expire(&mut self, wall: Wall, ttl: Millis) {
        let (latest_forgotten, bytes) = (&mut self.latest_forgotten, &mut self.answer_bytes);
        self.records.retain(|key, record| {
            let running = matches!(record.progress, Progress::Running { .. });
            let old = key.created() + ttl < wall;
            if running || !old {
                return true;
            }
            *latest_forgotten = (*latest_forgotten).max(Some(key.created()));
            if let Progress::Done(answer) = &record.progress {
                *bytes -= answer.body.len() + answer.content_type.len();
            }
            false
        });
    }
}

/// Copies an answer out of its network buffer, which may be far larger and would stay allocated.
fn copied(answer: Answer) -> Answer {
    Answer {
        content_type: Bytes::copy_from_slice(&answer.content_type),
        body: Bytes::copy_from_slice(&answer.body),
        ..answer
    }
}
