//! Continuous batching: so many requests at once, the others wait by priority.

use crate::{
    lagged::Lagged,
    sync::lock, //
};
use std::{
    cmp::Reverse,
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};
use tokio::sync::oneshot;

/// `Rank` orders the waiting: highest priority first, then by coming.
type Rank = (Reverse<u8>, u64);

/// `Occupancy` is how busy the engine is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Occupancy {
    pub(super) in_flight: usize,
    pub(super) queued: usize,
}

#[derive(Debug)]
struct Batch {
    running: usize,
    waiting: BTreeMap<Rank, oneshot::Sender<Permit>>,
    came: u64,
    seen: Lagged<Occupancy>,
}

impl Batch {
    fn note(&mut self) {
        self.seen.set(Occupancy {
            in_flight: self.running,
            queued: self.waiting.len(),
        });
    }
}

/// `Slots` are the places in the batch.
#[derive(Debug)]
pub(super) struct Slots {
    capacity: usize,
    /// Most requests that wait; beyond it a request is turned away.
    max_queued: usize,
    batch: Mutex<Batch>,
}

impl Slots {
    pub(super) fn new(capacity: usize, max_queued: usize) -> Arc<Self> {
        let seen = Lagged::new(Occupancy::default());
        let batch = Batch {
            running: 0,
            waiting: BTreeMap::new(),
            came: 0,
            seen,
        };
        Arc::new(Self {
            capacity,
            max_queued,
            batch: Mutex::new(batch),
        })
    }

    /// Gets how busy the engine was `lag` ago, and how long ago that is.
    pub(super) fn seen(&self, lag: Duration) -> (Duration, Occupancy) {
        let batch = lock(&self.batch);
        let (age, occupancy) = batch.seen.seen(lag);
        (age, *occupancy)
    }

    /// Waits for a place; none when too many wait already.
    pub(super) async fn acquire(self: &Arc<Self>, priority: u8) -> Option<Permit> {
        let (rank, turn) = {
            let mut batch = lock(&self.batch);
            if batch.running < self.capacity {
                batch.running += 1;
                batch.note();
                return Some(Permit(self.clone()));
            }
            if batch.waiting.len() >= self.max_queued {
                return None;
            }
            batch.came += 1;
            let rank = (Reverse(priority), batch.came);
            let (sender, turn) = oneshot::channel();
            batch.waiting.insert(rank, sender);
            batch.note();
            (rank, turn)
        };
        let _place = Place { slots: self, rank };
        turn.await.ok()
    }

    /// Hands a place that has come free to the first that waits.
    fn release(self: &Arc<Self>) {
        let mut batch = lock(&self.batch);
        let next = batch.waiting.pop_first();
        if next.is_none() {
            batch.running -= 1;
        }
        batch.note();
        drop(batch);
        if let Some((_, sender)) = next {
            // A waiter that has just gone away drops the permit, which releases it again.
            let _ = sender.send(Permit(self.clone()));
        }
    }
}

/// `Permit` is a place in the batch.
#[derive(Debug)]
pub(super) struct Permit(Arc<Slots>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.release();
    }
}

/// `Place` is a place in the queue; a caller that goes away gives it up.
struct Place<'a> {
    slots: &'a Slots,
    rank: Rank,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut batch = lock(&self.slots.batch);
        if batch.waiting.remove(&self.rank).is_some() {
            batch.note();
        }
    }
}
