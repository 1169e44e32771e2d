//! Bound on the connections that are open to a listener, from the memory and the descriptors of the process.
//!
//! Where the bound is met, the connection that has waited longest for its other side is closed: it has sent nothing, a
//! part of a request, or doesn't read its answer. Bytes that arrive count against the wait, so that a body on a slow
//! line is not taken for one that has stopped. A connection whose request is complete is never closed, and one that has
//! just been answered is among the last.

use std::{
    cell::{
        RefCell,
        RefMut, //
    },
    collections::BTreeSet,
    rc::Rc,
    time::Duration,
};

use indexmap::IndexMap;
use tokio::{
    sync::Notify,
    time::Instant, //
};

/// Bytes a second at which a request may arrive without its connection counting as waiting.
const PROGRESS_BYTES_PER_S: u64 = 64 << 10;

/// `Limiter` bounds the number of open connections.
#[derive(Clone, Debug, Default)]
pub(crate) struct Limiter(Rc<RefCell<Books>>);

#[derive(Debug)]
struct Books {
    most: usize,
    entries: IndexMap<u64, Entry>,
    /// The connections that wait for their other side, the one that has waited longest first.
    waiting: BTreeSet<(Instant, u64)>,
    next: u64,
}

impl Default for Books {
    fn default() -> Self {
        Self {
            most: usize::MAX,
            entries: IndexMap::new(),
            waiting: BTreeSet::new(),
            next: 0,
        }
    }
}

#[derive(Debug)]
struct Entry {
    /// Since when the connection has waited for its other side.
    since: Option<Instant>,
    closed: Rc<Notify>,
}

impl Limiter {
    /// Sets how many connections may be open, and closes those beyond it that can be closed.
    pub(crate) fn set_most(&self, most: usize) {
        let mut books = self.books();
        books.most = most;
        while books.entries.len() > most && books.close_longest_waiting() {}
    }

    /// Gets the number of open connections.
    pub(crate) fn open(&self) -> usize {
        self.books().entries.len()
    }

    /// Admits a new connection; returns `None` if too many are open of which none can be closed.
    pub(crate) fn admit(&self) -> Option<Slot> {
        let mut books = self.books();
        while books.entries.len() >= books.most {
            if !books.close_longest_waiting() {
                return None;
            }
        }
        let number = books.next;
        books.next += 1;
        let closed = Rc::new(Notify::new());
        let entry = Entry {
            since: None,
            closed: Rc::clone(&closed),
        };
        books.entries.insert(number, entry);
        books.set_since(number, Some(Instant::now()));
        drop(books);
        Some(Slot {
            limiter: self.clone(),
            number,
            closed,
        })
    }

    fn books(&self) -> RefMut<'_, Books> {
        self.0.borrow_mut()
    }
}

/// `Slot` is an open connection's place. Dropping it frees the place.
#[derive(Debug)]
pub(crate) struct Slot {
    limiter: Limiter,
    number: u64,
    closed: Rc<Notify>,
}

impl Slot {
    /// Records that the connection waits for its other side from now on, if it does not yet.
    pub(crate) fn wait(&self) {
        let mut books = self.limiter.books();
        let entry = books.entries.get(&self.number);
        if entry.is_some_and(|entry| entry.since.is_none()) {
            books.set_since(self.number, Some(Instant::now()));
        }
    }

    /// Records that the connection does not wait for its other side.
    pub(crate) fn work(&self) {
        self.limiter.books().set_since(self.number, None);
    }

    /// Records that bytes have arrived.
    pub(crate) fn progress(&self, bytes: usize) {
        let mut books = self.limiter.books();
        let Some(since) = books.entries.get(&self.number).and_then(|e| e.since) else {
            return;
        };
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        let gained = Duration::from_micros(bytes.saturating_mul(1_000_000) / PROGRESS_BYTES_PER_S);
        let since = (since + gained).min(Instant::now());
        books.set_since(self.number, Some(since));
    }

    /// Waits until the connection has to close, as others need its place.
    pub(crate) async fn closed(&self) {
        self.closed.notified().await;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.limiter.books().remove(self.number);
    }
}

impl Books {
    fn set_since(&mut self, number: u64, since: Option<Instant>) {
        let Some(entry) = self.entries.get_mut(&number) else {
            return;
        };
        if let Some(before) = std::mem::replace(&mut entry.since, since) {
            self.waiting.remove(&(before, number));
        }
        self.waiting.extend(since.map(|since| (since, number)));
    }

    fn remove(&mut self, number: u64) -> Option<Entry> {
        self.set_since(number, None);
        self.entries.swap_remove(&number)
    }

    /// Closes the connection that has waited longest; returns whether there was one.
    fn close_longest_waiting(&mut self) -> bool {
        let Some((_, number)) = self.waiting.first().copied() else {
            return false;
        };
        if let Some(entry) = self.remove(number) {
            entry.closed.notify_one();
        }
        true
    }
}

#[cfg(test)]
mod tests;
