//! What the registry says, whoever read it: taken into the copy and told to the decisions, with how old it is.
//!
//! It comes from own reads ([`crate::reads`]) and from peers that read ([`crate::copies`]).

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

/// `RegistryReader` translates reads of the registry. It does no I/O.
pub struct RegistryReader {
    /// Begins a read of what has changed since a revision, or of everything.
    pub begin: fn(Option<Revision>) -> RegistryRead,
    /// Says what a record means.
    pub change: fn(&Record) -> RecordMeaning,
}

/// `RegistryRead` is one read of the registry, as calls and their answers.
pub struct RegistryRead {
    /// Path of the first call.
    pub path: String,
    /// Path of the call that follows if the registry holds something newer, where that is known beforehand: it
    /// can be made at the same time.
    pub speculative_path: Option<String>,
    /// Takes an answer's body in.
    pub on_body: Box<OnBody>,
    /// Begins with everything in place of what has changed; gets the path of the call.
    pub restart: fn() -> RegistryRead,
}

/// `RecordMeaning` is what a record changes, if anything, and what is wrong with it, if it can't be understood.
#[derive(Debug, Default)]
pub struct RecordMeaning {
    /// What it changes.
    pub change: Option<Change>,
    /// What is wrong with it.
    pub fault: Option<String>,
}

/// `OnBody` takes an answer's body in; the error says what is wrong with it.
pub type OnBody = dyn FnMut(&[u8]) -> Result<RegistryStep, String>;

/// `RegistryStep` is what follows an answer of the registry.
#[derive(Debug)]
pub enum RegistryStep {
    /// The read goes on with the call of this path.
    More(String),
    /// The registry holds something newer, and the read goes on with the call of this path.
    Newer(String),
    /// The read is whole.
    Whole(Delta),
}

/// How a delta is taken into the copy.
pub(crate) type ApplyDelta = fn(&mut Mirror, Delta) -> Vec<Record>;

/// Takes in what was the newest state at `read`. What is older than the copy proves nothing.
pub(crate) fn apply(
    state: &Shared,
    read: Time,
    delta: Delta,
    take: ApplyDelta,
    reader: &RegistryReader,
) {
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
        if let Some(why) = meaning.fault.filter(|_| state.log.try_admit()) {
            let key = text(&record.key);
            tracing::warn!(event = 657, %key, why, "record refused");
        }
    }
    apply_changes(state, changes);
    notify_waiters(state);
}

/// Tells those that wait for it what is known now.
fn notify_waiters(state: &Shared) {
    let read = state.gateway.borrow().proof().read().unwrap_or_default();
    let revision = state.mirror.borrow().revision();
    state.changes.send_replace(RegistryState { revision, read });
}

fn apply_changes(state: &Shared, changes: Vec<Change>) {
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
        News::Evacuated { data_center } => {
            tracing::warn!(event = 660, data_center = %text(data_center), "data centre evacuated");
        }
        News::Restored { data_center } => {
            tracing::info!(event = 661, data_center = %text(data_center), "data centre restored");
        }
        News::Endpoint { id, state } => {
            tracing::info!(event = 655, endpoint = %text(id), %state, "endpoint changed");
        }
    }
}
