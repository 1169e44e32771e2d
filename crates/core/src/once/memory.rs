//! The home's memory of keys, bounded in entries and bytes.

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

/// Most keys remembered. At the bound new keys are refused; none is forgotten before its time.
pub const MAX_KEYS: usize = 40_000;

/// Largest answer body kept for repeats; of a larger one only the status is kept.
pub const MAX_BODY: usize = 4096;

/// Most bytes of answers kept in all; past it only the status is kept.
pub const MAX_BYTES: usize = 8 << 20;

/// Most repeats that wait for one key's first answer; further ones are told to come back.
pub const MAX_WAITERS: usize = 8;

/// `Progress` is what became of a key so far.
#[derive(Clone, Debug)]
pub(super) enum Progress {
    /// Its first request is in progress.
    Running {
        /// Repeats that wait for the answer.
        waiters: Vec<Call>,
        /// Whether an attempt may have reached an endpoint already.
        touched: bool,
    },
    /// It ran; the first answer.
    Done(Answer),
    /// It ran; the answer was too large to keep.
    Gone,
    /// It may have run.
    Unknown,
}

/// `Record` is one key.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) content: u64,
    /// When its first request began here.
    pub(super) begun: Time,
    pub(super) progress: Progress,
}

/// `Ended` is what follows from the end of a key's first request.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// What may be told of the action.
    pub outcome: Outcome,
    /// The answer, where one is kept.
    pub answer: Option<Answer>,
    /// Repeats that waited for it.
    pub waiters: Vec<Call>,
}

/// `Memory` holds the keys.
#[derive(Debug, Default)]
pub(super) struct Memory {
    records: IndexMap<Key, Record>,
    bytes: usize,
    /// Latest date of a key that was forgotten: a key that is not here and not dated after this
    /// may be one of them, whatever the wall clock says by now.
    forgotten: Option<Wall>,
}

impl Memory {
    pub(super) fn get(&self, key: Key) -> Option<&Record> {
        self.records.get(&key)
    }

    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    pub(super) fn is_full(&self) -> bool {
        self.records.len() >= MAX_KEYS
    }

    /// Tells whether a key that is not here may have been.
    pub(super) fn may_forget(&self, key: Key) -> bool {
        self.forgotten.is_some_and(|date| key.created() <= date)
    }

    pub(super) fn start(&mut self, now: Time, key: Key, content: u64) {
        let record = Record {
            content,
            begun: now,
            progress: Progress::Running {
                waiters: Vec::new(),
                touched: false,
            },
        };
        self.records.insert(key, record);
    }

    /// Lets a repeat wait for the first answer; `false` when too many do.
    pub(super) fn wait(&mut self, key: Key, call: Call) -> bool {
        let Some(Record {
            progress: Progress::Running { waiters, .. },
            ..
        }) = self.records.get_mut(&key)
        else {
            return false;
        };
        let room = waiters.len() < MAX_WAITERS;
        if room {
            waiters.push(call);
        }
        room
    }

    /// Takes a repeat that gave up out of those that wait.
    pub(super) fn leave(&mut self, key: Key, call: Call) {
        if let Some(Record {
            progress: Progress::Running { waiters, .. },
            ..
        }) = self.records.get_mut(&key)
        {
            waiters.retain(|w| *w != call);
        }
    }

    /// Notes that an attempt may have reached an endpoint and another follows.
    pub(super) fn touch(&mut self, key: Key) {
        if let Some(Record {
            progress: Progress::Running { touched, .. },
            ..
        }) = self.records.get_mut(&key)
        {
            *touched = true;
        }
    }

    /// Ends a key's first request.
    pub(super) fn end(&mut self, key: Key, outcome: Outcome, answer: Option<Answer>) -> Ended {
        let mut ended = Ended {
            outcome,
            answer: None,
            waiters: Vec::new(),
        };
        let Entry::Occupied(mut entry) = self.records.entry(key) else {
            return ended;
        };
        let progress = &mut entry.get_mut().progress;
        let Progress::Running { waiters, touched } = progress else {
            return ended;
        };
        ended.waiters = std::mem::take(waiters);
        // The last attempt left no byte, but one before it may have.
        if outcome == Outcome::NotRun && *touched {
            ended.outcome = Outcome::Unknown;
        }
        match (ended.outcome, answer) {
            (Outcome::NotRun, _) => {
                entry.swap_remove();
            }
            (Outcome::Done, Some(answer)) => {
                let size = answer.body.len() + answer.content_type.len();
                ended.answer = Some(answer.clone());
                *progress = if size <= MAX_BODY && self.bytes + size <= MAX_BYTES {
                    self.bytes += size;
                    Progress::Done(owned(answer))
                } else {
                    Progress::Gone
                };
            }
            (Outcome::Done, None) => *progress = Progress::Gone,
            (Outcome::Unknown, _) => *progress = Progress::Unknown,
        }
        ended
    }

    /// Forgets the keys that are too old to be run again.
    pub(super) fn expire(&mut self, wall: Wall, ttl: Millis) {
        let (forgotten, bytes) = (&mut self.forgotten, &mut self.bytes);
        self.records.retain(|key, record| {
            let running = matches!(record.progress, Progress::Running { .. });
            let old = key.created() + ttl < wall;
            if running || !old {
                return true;
            }
            *forgotten = (*forgotten).max(Some(key.created()));
            if let Progress::Done(answer) = &record.progress {
                *bytes -= answer.body.len() + answer.content_type.len();
            }
            false
        });
    }
}

/// Copies an answer out of the buffer it came in, which may be far larger.
fn owned(answer: Answer) -> Answer {
    Answer {
        content_type: Bytes::copy_from_slice(&answer.content_type),
        body: Bytes::copy_from_slice(&answer.body),
        ..answer
    }
}
