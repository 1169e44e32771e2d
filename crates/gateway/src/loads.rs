//! Queries to the keepers of endpoints' loads, and what this router answers as one of them.
//!
//! They go in datagrams like those of the prefill backlogs. Without an estimate a request is placed by what digests
//! tell.

use std::net::SocketAddrV4;

use indexmap::IndexMap;
use tokio::{
    sync::oneshot,
    time::{
        Instant,
        timeout, //
    },
};
use toucanturn_core::gateway::multiple::{
    LoadEstimate,
    LoadNote,
    LoadQuery, //
};
use toucanturn_wire::prefill::{
    MAX_NOTES,
    Message, //
};

use crate::{
    prefill::{
        MAX_OPEN_QUERIES,
        QUERY_TIMEOUT,
        send, //
    },
    proxied::ProxiedRequest,
    state::{
        State,
        now, //
    },
};

/// `Open` is a query that waits for its estimate.
#[derive(Debug)]
pub(crate) struct Open {
    keeper: SocketAddrV4,
    answer: oneshot::Sender<LoadEstimate>,
}

/// Asks the keeper of the endpoint that a request would go to for its load, and has placement know it. Returns at once
/// where there is nothing to ask.
pub(crate) async fn inquire(proxied: &mut ProxiedRequest) {
    if proxied.inquiry_left < QUERY_TIMEOUT {
        return;
    }
    let asked = {
        let mut gateway = proxied.state.gateway.borrow_mut();
        gateway.load_query(now(), &proxied.ticket, &proxied.incoming_request)
    };
    let Some((endpoint, query)) = asked else {
        return;
    };
    let state = &*proxied.state;
    let keeper = state.mesh.borrow().backlog_keeper(now(), query.endpoint);
    // What this router keeps itself, placement knows.
    let Some(keeper) = keeper else {
        return state.metrics.count("load_queries", "here");
    };
    let until = Instant::now() + proxied.inquiry_left;
    let Some(mut open) = OpenQuery::send(state, query, keeper) else {
        return;
    };
    let estimate = timeout(QUERY_TIMEOUT, &mut open.answer).await;
    drop(open);
    if let Ok(Ok(estimate)) = estimate {
        state.metrics.count("load_queries", "answered");
        let mut gateway = state.gateway.borrow_mut();
        gateway.record_load_estimate(now(), endpoint, &estimate);
    } else {
        state.metrics.count("load_queries", "silent");
        let mut mesh = state.mesh.borrow_mut();
        mesh.record_silent_keeper(now(), keeper);
    }
    proxied.inquiry_left = until.saturating_duration_since(Instant::now());
}

/// `OpenQuery` is a query in progress. An estimate that comes after it is dropped is late.
struct OpenQuery<'a> {
    state: &'a State,
    nonce: u64,
    answer: oneshot::Receiver<LoadEstimate>,
}

impl<'a> OpenQuery<'a> {
    /// Sends a query; `None` if too many are open or the socket takes none.
    fn send(state: &'a State, query: LoadQuery, keeper: SocketAddrV4) -> Option<Self> {
        let open = &state.prefill.loads;
        if open.borrow().len() >= MAX_OPEN_QUERIES {
            state.metrics.count("load_queries", "left_out");
            return None;
        }
        if !send(state, keeper, Message::LoadQuery(query)) {
            state.metrics.count("load_queries", "unsent");
            return None;
        }
        state.metrics.count("load_queries", "sent");
        let (sender, answer) = oneshot::channel();
        let waiting = Open {
            keeper,
            answer: sender,
        };
        open.borrow_mut().insert(query.nonce, waiting);
        Some(Self {
            state,
            nonce: query.nonce,
            answer,
        })
    }
}

impl Drop for OpenQuery<'_> {
    fn drop(&mut self) {
        let mut open = self.state.prefill.loads.borrow_mut();
        open.swap_remove(&self.nonce);
    }
}

/// Answers a peer's query. For a router that is not known yet nothing is counted: whether it asks now or long ago can't
/// be told.
pub(crate) fn answer(state: &State, from: SocketAddrV4, beat: u64, query: &LoadQuery) {
    let (known, accepted) = {
        let mesh = state.mesh.borrow();
        (mesh.knows(from), mesh.accepts_round(now(), from, beat))
    };
    if known && !accepted {
        return state.metrics.count("load_queries", "refused");
    }
    let estimate = {
        let mut gateway = state.gateway.borrow_mut();
        gateway.answer_load_query(now(), query, known)
    };
    state.metrics.count("load_queries", "served");
    send(state, from, Message::LoadEstimate(estimate));
}

/// Takes in what a keeper answers.
pub(crate) fn receive_estimate(state: &State, from: SocketAddrV4, estimate: LoadEstimate) {
    let mut open = state.prefill.loads.borrow_mut();
    let Some(waiting) = open.get(&estimate.nonce) else {
        return state.metrics.count("load_queries", "late");
    };
    if waiting.keeper != from {
        return state.metrics.count("load_queries", "refused");
    }
    if let Some(waiting) = open.swap_remove(&estimate.nonce) {
        // The request's caller may have left.
        let _ = waiting.answer.send(estimate);
    }
}

/// Takes in the loads that a peer's answers state.
pub(crate) fn receive_notes(state: &State, from: SocketAddrV4, beat: u64, notes: Vec<LoadNote>) {
    if !state.mesh.borrow().accepts_round(now(), from, beat) {
        return state.metrics.count("load_notes", "refused");
    }
    state.metrics.count("load_notes", "heard");
    let mut gateway = state.gateway.borrow_mut();
    for note in notes {
        gateway.record_load_note(now(), note);
    }
}

/// Brings the loads that answers state to the keepers of their endpoints.
pub(crate) fn send_notes(state: &State) {
    let notes = state.gateway.borrow_mut().take_load_notes();
    let mut by_keeper: IndexMap<SocketAddrV4, Vec<LoadNote>> = IndexMap::new();
    for note in notes {
        // What this router keeps itself it knows from the answer.
        if let Some(keeper) = state.mesh.borrow().backlog_keeper(now(), note.endpoint) {
            by_keeper.entry(keeper).or_default().push(note);
        }
    }
    for (keeper, notes) in by_keeper {
        for chunk in notes.chunks(MAX_NOTES) {
            let sent = send(state, keeper, Message::LoadNotes(chunk.to_vec()));
            let what = if sent { "sent" } else { "unsent" };
            state.metrics.count("load_notes", what);
        }
    }
}
