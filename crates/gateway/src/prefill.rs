//! Queries to the routers that keep prefill backlogs, and what this router answers as one of them.
//!
//! Everything goes in datagrams. A lost one costs a prompt [`QUERY_TIMEOUT`], or lets an endpoint look busier or idler
//! than it is until the keeper forgets the prompt; placement then works as without a backlog.

use std::{
    cell::{
        OnceCell,
        RefCell, //
    },
    net::SocketAddrV4,
    rc::Rc,
    time::Duration,
};

use futures_util::future::join_all;
use indexmap::IndexMap;
use tokio::{
    net::UdpSocket,
    sync::oneshot,
    time::{
        Instant,
        timeout, //
    },
};
use toucanturn_core::{
    gateway::{
        place::Placed,
        prefill::{
            Estimate,
            Note,
            Query,
            Reader, //
        },
    },
    ids::Tag,
    units::Millis,
};
use toucanturn_wire::{
    gossip::seal,
    prefill::{
        Datagram,
        MAX_NOTES,
        Message,
        decode,
        encode, //
    },
};

use crate::{
    loads,
    log::text,
    proxied::{
        ProxiedRequest,
        report::endpoint_name, //
    },
    state::{
        State,
        now, //
    },
};

/// Time limit of a query.
pub(crate) const QUERY_TIMEOUT: Duration = Duration::from_millis(10);
/// Time that all inquiries of a request may take: the first keeper is waited for, then the others together. Further
/// attempts ask only with what is left.
pub(crate) const MAX_INQUIRY_TIME: Duration = Duration::from_millis(20);
/// Limit of the queries that wait for their estimates at once; prompts beyond it are placed without.
pub(crate) const MAX_OPEN_QUERIES: usize = 256;

/// `Queries` is the queries that wait for their estimates, and the socket for them.
#[derive(Debug, Default)]
pub(crate) struct Queries {
    socket: OnceCell<Rc<UdpSocket>>,
    open: RefCell<IndexMap<u64, Open>>,
    /// Queries for loads.
    pub(crate) loads: RefCell<IndexMap<u64, loads::Open>>,
}

/// `Open` is a query that waits for its estimate.
#[derive(Debug)]
struct Open {
    keeper: SocketAddrV4,
    answer: oneshot::Sender<Estimate>,
}

impl Queries {
    /// Sets the socket, which is that of the gossip. Before, nothing is sent.
    pub(crate) fn set_socket(&self, socket: Rc<UdpSocket>) {
        // A second socket would be one of a second start, which no process makes.
        let _ = self.socket.set(socket);
    }
}

/// `Answer` is what became of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Answer {
    /// The router that keeps the backlog; `None` where it is this one.
    keeper: Option<SocketAddrV4>,
    /// Its estimate; `None` where none came in time.
    estimate: Option<Estimate>,
}

/// `Inquiry` is what was asked before a prompt is placed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Inquiry {
    first: Reader,
    answer: Answer,
    /// How long it took.
    took: Millis,
}

/// Asks the keepers of the endpoints at which a prompt may be read how long it would wait there, and has placement know
/// it. Returns at once where there is nothing to ask.
pub(crate) async fn inquire(proxied: &mut ProxiedRequest) -> Option<Inquiry> {
    if proxied.inquiry_left < QUERY_TIMEOUT {
        return None;
    }
    let began = now();
    let readers = {
        let mut gateway = proxied.state.gateway.borrow_mut();
        gateway.prefill_readers(began, &proxied.ticket, &proxied.incoming_request)
    };
    let (first, others) = readers.split_first()?;
    let until = Instant::now() + proxied.inquiry_left;
    let answer = ask(proxied, *first, true).await;
    proxied.inquiry_left = until.saturating_duration_since(Instant::now());
    let answer = answer?;
    let suits = record(proxied, *first, answer);
    // What one silent keeper costs is enough: without its estimate, the prompt is placed as before.
    let may_go_on = answer.estimate.is_some() && proxied.inquiry_left >= QUERY_TIMEOUT;
    if !suits && may_go_on {
        let asked = others.iter().map(|reader| ask(proxied, *reader, false));
        let answers = join_all(asked).await;
        proxied.inquiry_left = until.saturating_duration_since(Instant::now());
        for (reader, answer) in others.iter().zip(answers) {
            if let Some(answer) = answer {
                record(proxied, *reader, answer);
            }
        }
    }
    let took = now().since(began);
    let asked = if suits { "one" } else { "more" };
    proxied.state.metrics.time("prefill_inquiry", asked, took);
    Some(Inquiry {
        first: *first,
        answer,
        took,
    })
}

/// Takes in what became of a query; returns whether the prompt goes to its endpoint.
fn record(proxied: &mut ProxiedRequest, reader: Reader, answer: Answer) -> bool {
    let at = now();
    let mut gateway = proxied.state.gateway.borrow_mut();
    match (answer.estimate, answer.keeper) {
        (Some(estimate), _) => {
            gateway.record_prefill_estimate(at, &mut proxied.ticket, reader, &estimate)
        }
        (None, Some(keeper)) => {
            let mut mesh = proxied.state.mesh.borrow_mut();
            mesh.record_silent_keeper(at, keeper);
            false
        }
        (None, None) => false,
    }
}

/// Asks the keeper of an endpoint's backlog. `None` where it can't be asked.
async fn ask(proxied: &ProxiedRequest, reader: Reader, is_first: bool) -> Option<Answer> {
    let state = &*proxied.state;
    let (query, keeper) = {
        let mesh = state.mesh.borrow();
        let keeper = mesh.backlog_keeper(now(), reader.tag);
        if keeper.is_none() && mesh.keeps_own_prompts_only(now(), reader.tag) {
            state.metrics.count("prefill_queries", "alone");
            return None;
        }
        drop(mesh);
        let mut gateway = state.gateway.borrow_mut();
        let (ticket, request) = (&proxied.ticket, &proxied.incoming_request);
        let query = gateway.prefill_query(ticket, request, reader, is_first);
        let Some(keeper) = keeper else {
            state.metrics.count("prefill_queries", "here");
            return Some(Answer {
                keeper: None,
                estimate: Some(gateway.answer_prefill_query(now(), &query)),
            });
        };
        (query, keeper)
    };
    let mut open = OpenQuery::send(state, query, keeper)?;
    let estimate = timeout(QUERY_TIMEOUT, &mut open.answer).await;
    let estimate = estimate.ok().and_then(Result::ok);
    if estimate.is_some() {
        state.metrics.count("prefill_queries", "answered");
    } else {
        state.metrics.count("prefill_queries", "silent");
        open.take_back();
    }
    Some(Answer {
        keeper: Some(keeper),
        estimate,
    })
}

/// `OpenQuery` is a query in progress. An estimate that comes after it is dropped is late.
struct OpenQuery<'a> {
    state: &'a State,
    query: Query,
    keeper: SocketAddrV4,
    answer: oneshot::Receiver<Estimate>,
}

impl<'a> OpenQuery<'a> {
    /// Sends a query; `None` if too many are open or the socket takes none.
    fn send(state: &'a State, query: Query, keeper: SocketAddrV4) -> Option<Self> {
        let open = &state.prefill.open;
        if open.borrow().len() >= MAX_OPEN_QUERIES {
            state.metrics.count("prefill_queries", "left_out");
            return None;
        }
        if !send(state, keeper, Message::Query(query)) {
            state.metrics.count("prefill_queries", "unsent");
            return None;
        }
        state.metrics.count("prefill_queries", "sent");
        let (sender, answer) = oneshot::channel();
        let waiting = Open {
            keeper,
            answer: sender,
        };
        open.borrow_mut().insert(query.nonce, waiting);
        Some(Self {
            state,
            query,
            keeper,
            answer,
        })
    }

    /// Takes back what a keeper may yet note that has not answered in time: what the core makes known of the prompt goes
    /// to the next keeper.
    fn take_back(&self) {
        if self.query.bears.is_some() {
            let note = Note::Released {
                nonce: self.query.nonce,
                endpoint: self.query.endpoint,
            };
            send_note_datagrams(self.state, self.keeper, &[note]);
        }
    }
}

impl Drop for OpenQuery<'_> {
    fn drop(&mut self) {
        let mut open = self.state.prefill.open.borrow_mut();
        open.swap_remove(&self.query.nonce);
    }
}

/// Sends a message to a peer; returns whether the socket took it. It is not waited for: what can't be sent at once would
/// come too late.
pub(crate) fn send(state: &State, target: SocketAddrV4, message: Message) -> bool {
    let (version, secret) = {
        let gateway = state.gateway.borrow();
        let Some(catalog) = gateway.catalog() else {
            return false;
        };
        (catalog.version, catalog.secret)
    };
    let me = state.mesh.borrow().own_heartbeat();
    let payload = encode(&Datagram {
        from: me.address,
        beat: me.beat,
        message,
    });
    let datagram = seal(&secret, version, payload);
    let socket = state.prefill.socket.get();
    let sent = socket.is_some_and(|s| s.try_send_to(&datagram, target.into()).is_ok());
    if !sent {
        tracing::debug!(%target, "can't send a message of the prefill backlog");
    }
    sent
}

/// Brings the notes that the core has made to the keepers of the backlogs, this router among them.
pub(crate) fn send_notes(state: &State) {
    let notes = state.gateway.borrow_mut().take_prefill_notes();
    if notes.is_empty() {
        return;
    }
    let at = now();
    let mut by_keeper: IndexMap<SocketAddrV4, Vec<Note>> = IndexMap::new();
    for note in notes {
        let keeper = state.mesh.borrow().backlog_keeper(at, endpoint_of(&note));
        match keeper {
            Some(keeper) => by_keeper.entry(keeper).or_default().push(note),
            None => {
                state.metrics.count("prefill_notes", "here");
                let mut gateway = state.gateway.borrow_mut();
                gateway.record_prefill_note(at, note);
            }
        }
    }
    for (keeper, notes) in by_keeper {
        send_note_datagrams(state, keeper, &notes);
    }
}

fn send_note_datagrams(state: &State, keeper: SocketAddrV4, notes: &[Note]) {
    for chunk in notes.chunks(MAX_NOTES) {
        let sent = send(state, keeper, Message::Notes(chunk.to_vec()));
        let what = if sent { "sent" } else { "unsent" };
        state.metrics.count("prefill_notes", what);
    }
}

fn endpoint_of(note: &Note) -> Tag {
    match note {
        Note::Reserved { endpoint, .. } | Note::Released { endpoint, .. } => *endpoint,
    }
}

/// Takes in a peer's message.
pub(crate) fn receive(state: &State, payload: &[u8]) {
    let Ok(Datagram {
        from,
        beat,
        message,
    }) = decode(payload)
    else {
        state.metrics.count("prefill_queries", "refused");
        return;
    };
    match message {
        Message::Query(query) => answer(state, from, beat, query),
        Message::Estimate(estimate) => receive_estimate(state, from, estimate),
        Message::LoadQuery(query) => loads::answer(state, from, beat, &query),
        Message::LoadEstimate(estimate) => loads::receive_estimate(state, from, estimate),
        Message::LoadNotes(notes) => loads::receive_notes(state, from, beat, notes),
        Message::Notes(notes) => {
            if !state.mesh.borrow().accepts_round(now(), from, beat) {
                state.metrics.count("prefill_notes", "refused");
                return;
            }
            state.metrics.count("prefill_notes", "heard");
            let mut gateway = state.gateway.borrow_mut();
            for note in notes {
                gateway.record_prefill_note(now(), note);
            }
        }
    }
}

/// Answers a peer's query. The estimate goes to the sender that the seal covers, so that nobody else can have it sent
/// elsewhere.
fn answer(state: &State, from: SocketAddrV4, beat: u64, mut query: Query) {
    let (known, accepted) = {
        let mesh = state.mesh.borrow();
        (mesh.knows(from), mesh.accepts_round(now(), from, beat))
    };
    if known && !accepted {
        state.metrics.count("prefill_queries", "refused");
        return;
    }
    // Whether a router that is not known yet asks now or long ago can't be told, so nothing is noted for it.
    if !known {
        query.bears = None;
    }
    let estimate = {
        let mut gateway = state.gateway.borrow_mut();
        gateway.answer_prefill_query(now(), &query)
    };
    state.metrics.count("prefill_queries", "served");
    send(state, from, Message::Estimate(estimate));
}

fn receive_estimate(state: &State, from: SocketAddrV4, estimate: Estimate) {
    let mut open = state.prefill.open.borrow_mut();
    let Some(waiting) = open.get(&estimate.nonce) else {
        state.metrics.count("prefill_queries", "late");
        return;
    };
    if waiting.keeper != from {
        state.metrics.count("prefill_queries", "refused");
        return;
    }
    if let Some(waiting) = open.swap_remove(&estimate.nonce) {
        // The prompt's caller may have left.
        let _ = waiting.answer.send(estimate);
    }
}

/// Lets keepers know where a prompt goes, and logs what an inquiry has decided.
pub(crate) fn record_placed(proxied: &ProxiedRequest, inquiry: Option<&Inquiry>, placed: &Placed) {
    send_notes(&proxied.state);
    if let Some(inquiry) = inquiry {
        log_placed(proxied, inquiry, placed);
    }
}

/// Tells keepers that a request needs nothing of them any more, however it ended.
pub(crate) fn release(proxied: &ProxiedRequest) {
    let mut gateway = proxied.state.gateway.borrow_mut();
    gateway.release_prefill(proxied.ticket.owner);
    drop(gateway);
    send_notes(&proxied.state);
}

/// Logs that a prompt passes over an endpoint for a keeper's estimate, or that the keeper was silent.
fn log_placed(proxied: &ProxiedRequest, inquiry: &Inquiry, placed: &Placed) {
    let Inquiry {
        first,
        answer,
        took,
    } = inquiry;
    let decided = match answer.estimate {
        None => "silence",
        Some(_) if placed.endpoint != first.endpoint => "estimate",
        Some(_) => return,
    };
    if !proxied.state.log.try_admit() {
        return;
    }
    let gateway = proxied.state.gateway.borrow();
    let prompt = proxied.incoming_request.prompt.as_ref();
    tracing::info!(
        event = 681,
        id = %text(&proxied.incoming_request.id),
        endpoint = %endpoint_name(&gateway, first.endpoint),
        placed = %endpoint_name(&gateway, placed.endpoint),
        tokens = prompt.map(|p| p.input),
        keeper = answer.keeper.map(|k| k.to_string()),
        wait = answer.estimate.map(|e| e.wait.0),
        took = took.0,
        decided,
        "backlog asked"
    );
}
