//! Applies registry updates, from own reads ([`crate::reads`]) or from peers ([`crate::peer_follower`]), to the local
//! copy of the registry and to the gateway decisions, with the time at which they were current.

use toucanturn_core::{
    gateway::{
        Change,
        RegistryEvent,
        mirror::{
            Delta,
            Record, //
        },
        origin::Changes, //
    },
    units::{
        Revision,
        Time, //
    },
};

use crate::{
    log::text,
    state::{
        RegistryState,
        Shared,
        now, //
    },
};

/// `RegistryReader` translates between the registry's wire format and the gateway. It does no I/O.
pub struct RegistryReader {
    /// Begins a read of the changes since a revision, or of everything.
    pub begin: fn(Option<Revision>) -> RegistryRead,
    /// Interprets a record.
    pub change: fn(&Record) -> RecordMeaning,
}

/// `RegistryRead` is one read of the registry: a sequence of calls and their answers.
pub struct RegistryRead {
    /// Path of the first call.
    pub path: String,
    /// Path of the call that follows if the registry holds something newer, if known in advance: it can be
    /// made at the same time as the first call.
    pub speculative_path: Option<String>,
    /// Processes the body of an answer.
    pub on_body: Box<OnBody>,
    /// Begins a full read in place of a read of changes.
    pub full_read: fn() -> RegistryRead,
}

/// `RecordMeaning` is the change that a record stands for, if any, and why it is invalid, if it is.
#[derive(Debug, Default)]
pub struct RecordMeaning {
    /// The change.
    pub change: Option<Change>,
    /// Why the record is invalid.
    pub fault: Option<String>,
}

/// `OnBody` processes the body of an answer; the error says why the body is invalid.
pub type OnBody = dyn FnMut(&[u8]) -> Result<RegistryStep, String>;

/// `RegistryStep` is the next step of a read after an answer of the registry.
#[derive(Debug)]
pub enum RegistryStep {
    /// The read continues with a call of this path.
    More(String),
    /// The registry holds something newer, and the read continues with a call of this path.
    Newer(String),
    /// The read is complete.
    Whole(Delta),
}

/// `Source` is where a delta comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// An own read of the registry.
    Registry,
    /// A peer's copy.
    Peer,
}

/// Applies a delta whose result was the newest state of the registry at the time `read`. A delta older than the local
/// copy is ignored, and proves nothing about the copy's age.
pub(crate) fn apply(
    state: &Shared,
    read: Time,
    delta: Delta,
    source: Source,
    reader: &RegistryReader,
) {
    let revision = delta.revision;
    if revision < state.mirror.borrow().revision() {
        tracing::debug!(
            revision = revision.0,
            "ignored a registry state older than the local copy"
        );
        return;
    }
    let changes = completeness(state, &delta, source, reader);
    {
        let mut gateway = state.gateway.borrow_mut();
        gateway.record_history(now(), revision, changes);
        gateway.record_registry_read(now(), read);
    }
    let mut mirror = state.mirror.borrow_mut();
    let records = match source {
        Source::Registry => mirror.apply(delta),
        Source::Peer => mirror.apply_from_peer(delta),
    };
    drop(mirror);
    let mut changes = Vec::new();
    for record in &records {
        let meaning = (reader.change)(record);
        changes.extend(meaning.change);
        let fault = meaning
            .fault
            .inspect(|_| state.metrics.count("registry", "record refused"));
        if let Some(why) = fault.filter(|_| state.log.try_admit()) {
            let key = text(&record.key);
            tracing::warn!(event = 657, %key, why, "record refused");
        }
    }
    apply_changes(state, changes);
    notify_waiters(state);
}

/// Tells whether a delta has all that has changed. A peer's has no entry that came and went since the state before, but
/// its removal.
fn completeness(state: &Shared, delta: &Delta, source: Source, reader: &RegistryReader) -> Changes {
    let mirror = state.mirror.borrow();
    let is_unknown = |record: &&Record| record.value.is_none() && !mirror.holds(&record.key);
    let is_entry =
        |record: &Record| matches!((reader.change)(record).change, Some(Change::Removed(_)));
    match (source, delta.whole) {
        (Source::Registry, false) => Changes::Each,
        (Source::Registry, true) => Changes::Difference,
        (Source::Peer, true) => Changes::Incomplete,
        (Source::Peer, false) if delta.records.iter().filter(is_unknown).any(is_entry) => {
            Changes::Incomplete
        }
        (Source::Peer, false) => Changes::Each,
    }
}

/// Wakes the polls of peers that wait for a change.
fn notify_waiters(state: &Shared) {
    let read = state.gateway.borrow().proof().read().unwrap_or_default();
    let revision = state.mirror.borrow().revision();
    state.changes.send_replace(RegistryState { revision, read });
}

fn apply_changes(state: &Shared, changes: Vec<Change>) {
    let events = state.gateway.borrow_mut().apply_changes(now(), changes);
    for event in events {
        if let RegistryEvent::Applied { version } = event
            && let Some(catalog) = state.gateway.borrow().catalog()
        {
            state.remember(version, catalog.secret);
        }
        log(&event);
    }
}

/// Logs a change of the configuration, a data centre or an endpoint.
pub(crate) fn log(event: &RegistryEvent) {
    match event {
        RegistryEvent::Applied { version } => {
            tracing::info!(event = 653, version, "configuration in force");
        }
        RegistryEvent::Older { version, held } => {
            tracing::warn!(
                event = 654,
                version,
                held,
                "older configuration passed over"
            );
        }
        RegistryEvent::Evacuated { data_center } => {
            tracing::warn!(event = 660, data_center = %text(data_center), "data centre evacuated");
        }
        RegistryEvent::Restored { data_center } => {
            tracing::info!(event = 661, data_center = %text(data_center), "data centre restored");
        }
        RegistryEvent::BackOffEnded { id } => {
            tracing::info!(event = 664, endpoint = %text(id), "endpoint's pause has ended");
        }
        RegistryEvent::Unreached { service, silent } => {
            let silent = silent.map_or(-1, |s| i64::try_from(s.0).unwrap_or(i64::MAX));
            tracing::warn!(event = 665, service = %text(service), silent, "service not reached");
        }
        RegistryEvent::Reached { service, after } => {
            let after = after.0;
            tracing::info!(event = 666, service = %text(service), after, "service reached again");
        }
        RegistryEvent::Endpoint { id, state } => {
            tracing::info!(event = 655, endpoint = %text(id), %state, "endpoint changed");
        }
    }
}
