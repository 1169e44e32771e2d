//! Account of the bytes that a process buffers of messages, and the bound on their sum.
//!
//! Each message has a limit of its own, but many at once exceed the memory of the process, which then is killed with
//! all its requests. At the bound the message that holds most pays: first among those of the same part (a service, or a
//! workspace) if the part exceeds its share, otherwise in the part that holds most.
//!
//! It reads no messages: who buffers one asks a [`Reservation`] before each further byte.

#![forbid(unsafe_code)]

use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError, //
};

use bytes::Bytes;
use indexmap::IndexMap;
use tokio::sync::Notify;

/// Bytes beyond which a message is counted. The buffers of a connection hold as much for any message.
pub const UNCOUNTED_BYTES: usize = 8 << 10;
/// A part may hold this fraction of the limit, a half.
const SHARE_DIVISOR: usize = 2;

/// `Account` counts the bytes of one kind of messages.
///
/// It is locked rather than in a cell, as the bytes of a complete message release their part of it, and [`Bytes`] may be
/// sent to other threads.
#[derive(Clone, Debug, Default)]
pub struct Account(Arc<Mutex<Books>>);

#[derive(Debug)]
struct Books {
    limit: usize,
    /// Bytes that are held, those of messages to be ended included.
    held: usize,
    /// Bytes of messages that have to end and have not done so yet.
    ending: usize,
    peak: usize,
    /// Bytes held by each part, without those of messages to be ended.
    parts: IndexMap<Bytes, usize>,
    entries: IndexMap<u64, Entry>,
    next: u64,
}

impl Default for Books {
    fn default() -> Self {
        Self {
            limit: usize::MAX,
            held: 0,
            ending: 0,
            peak: 0,
            parts: IndexMap::new(),
            entries: IndexMap::new(),
            next: 0,
        }
    }
}

#[derive(Debug)]
struct Entry {
    part: Bytes,
    bytes: usize,
    /// Whether the message is complete, so that it is not ended any more.
    complete: bool,
    /// Whether it has to end.
    ending: bool,
    end: Arc<Notify>,
}

impl Account {
    /// Sets how many bytes may be held.
    pub fn set_limit(&self, limit: usize) {
        self.books().limit = limit;
    }

    /// Returns how many bytes are held.
    pub fn held(&self) -> usize {
        self.books().held
    }

    /// Returns the most bytes that have been held at once.
    pub fn peak(&self) -> usize {
        self.books().peak
    }

    /// Creates the reservation of a message, which holds nothing yet.
    pub fn reservation(&self, part: &Bytes) -> Reservation {
        Reservation {
            account: self.clone(),
            part: part.clone(),
            entry: None,
        }
    }

    fn books(&self) -> MutexGuard<'_, Books> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// `Reservation` is what a message holds of an account. Dropping it gives that back.
#[derive(Debug)]
pub struct Reservation {
    account: Account,
    part: Bytes,
    entry: Option<(u64, Arc<Notify>)>,
}

impl Reservation {
    /// Sets how many bytes the message holds; returns whether it may hold them. If not, the message has to end.
    #[must_use]
    pub fn try_set(&mut self, bytes: usize) -> bool {
        match &self.entry {
            None if bytes <= UNCOUNTED_BYTES => true,
            None => {
                let end = Arc::new(Notify::new());
                let mut books = self.account.books();
                let number = books.insert(self.part.clone(), Arc::clone(&end));
                let admitted = books.try_set(number, bytes);
                drop(books);
                self.entry = Some((number, end));
                admitted
            }
            Some((number, _)) => self.account.books().try_set(*number, bytes),
        }
    }

    /// Waits until the message has to end, as others need its memory.
    pub async fn ended(&self) {
        match &self.entry {
            Some((_, end)) => end.notified().await,
            None => std::future::pending().await,
        }
    }

    /// Returns the bytes of a complete message, which hold the reservation until they are dropped.
    pub fn complete(mut self, bytes: Bytes) -> Result<Bytes, Bytes> {
        let Some((number, _)) = self.entry else {
            return Ok(bytes);
        };
        if !self.try_set(bytes.len()) {
            return Err(bytes);
        }
        self.account.books().complete(number);
        let counted = Counted {
            bytes,
            _reservation: self,
        };
        Ok(Bytes::from_owner(counted))
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some((number, _)) = self.entry {
            self.account.books().remove(number);
        }
    }
}

/// `Counted` is the bytes of a complete message with their reservation.
struct Counted {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Counted {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Books {
    fn insert(&mut self, part: Bytes, end: Arc<Notify>) -> u64 {
        let number = self.next;
        self.next += 1;
        let entry = Entry {
            part,
            bytes: 0,
            complete: false,
            ending: false,
            end,
        };
        self.entries.insert(number, entry);
        number
    }

    fn remove(&mut self, number: u64) {
        let Some(entry) = self.entries.swap_remove(&number) else {
            return;
        };
        self.held -= entry.bytes;
        if entry.ending {
            self.ending -= entry.bytes;
        } else {
            self.add_to_part(&entry.part, entry.bytes, 0);
        }
    }

    fn try_set(&mut self, number: u64, bytes: usize) -> bool {
        let Some(entry) = self.entries.get(&number) else {
            return false;
        };
        if entry.ending {
            return false;
        }
        let (part, before) = (entry.part.clone(), entry.bytes);
        let more = bytes.saturating_sub(before);
        while let Some(full) = self.full_part(&part, more) {
            let own = full == part;
            match self.largest(&full) {
                Some((other, held)) if other != number && !(own && held <= bytes) => {
                    self.end(other);
                }
                _ => return false,
            }
        }
        if let Some(entry) = self.entries.get_mut(&number) {
            entry.bytes = bytes;
        }
        self.held = self.held - before + bytes;
        self.peak = self.peak.max(self.held);
        self.add_to_part(&part, before, bytes);
        true
    }

    /// Returns the part that has to give way before `part` may hold so many bytes more; `None` if they fit.
    fn full_part(&self, part: &Bytes, more: usize) -> Option<Bytes> {
        if more == 0 {
            return None;
        }
        let own = self.parts.get(part).copied().unwrap_or_default();
        if own.saturating_add(more) > self.limit / SHARE_DIVISOR {
            return Some(part.clone());
        }
        if (self.held - self.ending).saturating_add(more) <= self.limit {
            return None;
        }
        let heaviest = self.parts.iter().max_by_key(|(_, held)| **held);
        let heavier = heaviest.filter(|(_, held)| **held > own);
        Some(heavier.map_or_else(|| part.clone(), |(heaviest, _)| heaviest.clone()))
    }

    /// Returns the incomplete message of a part that holds most, and its bytes.
    fn largest(&self, part: &Bytes) -> Option<(u64, usize)> {
        let entries = self.entries.iter();
        let endable = entries.filter(|(_, e)| !e.complete && !e.ending && e.part == *part);
        let largest = endable.max_by_key(|(_, e)| e.bytes)?;
        Some((*largest.0, largest.1.bytes)).filter(|(_, bytes)| *bytes > 0)
    }

    fn end(&mut self, number: u64) {
        let Some(entry) = self.entries.get_mut(&number) else {
            return;
        };
        entry.ending = true;
        entry.end.notify_one();
        let (part, bytes) = (entry.part.clone(), entry.bytes);
        self.ending += bytes;
        self.add_to_part(&part, bytes, 0);
    }

    fn complete(&mut self, number: u64) {
        if let Some(entry) = self.entries.get_mut(&number) {
            entry.complete = true;
        }
    }

    /// Replaces a message's bytes in the sum of its part.
    fn add_to_part(&mut self, part: &Bytes, before: usize, after: usize) {
        let held = self.parts.entry(part.clone()).or_default();
        *held = *held - before + after;
        if *held == 0 {
            self.parts.swap_remove(part);
        }
    }
}
