//! The exchange with the routers that keep prefill backlogs, before a request is placed.

use std::{
    collections::BTreeMap,
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
};

use toucanturn_core::{
    arena::EndpointKey,
    gateway::{
        Ticket,
        mesh::{
            Digest,
            Heartbeat,
            Mesh, //
        },
        multiple::{
            LoadEstimate,
            LoadNote,
            LoadQuery, //
        },
        prefill::{
            Estimate,
            Note,
            Query,
            Reader, //
        },
    },
    ids::Tag,
    units::{
        Incarnation,
        Time, //
    },
};

use crate::lab::{
    fleet::{
        Fleet,
        Next, //
    },
    sheet::Trouble,
};

/// Milliseconds that a query or a note is on the way; with [`ESTIMATE_WAY`], one there and back takes 3.
const QUERY_WAY: u64 = 2;
/// Milliseconds that an estimate is on the way.
const ESTIMATE_WAY: u64 = 1;
/// Milliseconds for which an estimate is waited for.
const QUERY_LIMIT: u64 = 10;
/// Port of all routers.
const PORT: u16 = 7000;

/// `Message` is one datagram between a router and a keeper.
#[derive(Clone, Copy, Debug)]
pub(super) enum Message {
    /// A query for a request.
    Query(usize, Query),
    /// The answer to it.
    Estimate(usize, Estimate),
    /// A note.
    Note(Note),
    /// A query for an engine's load.
    LoadQuery(usize, LoadQuery),
    /// The answer to it.
    LoadEstimate(usize, LoadEstimate),
    /// The load that an answer states.
    LoadNote(LoadNote),
}

/// `LoadInquiry` is a query for an engine's load that has no estimate yet.
#[derive(Clone, Debug)]
struct LoadInquiry {
    ticket: Ticket,
    endpoint: EndpointKey,
    nonce: u64,
    keeper: usize,
    /// When it is given up.
    until: u64,
}

/// `Open` is a query that has no estimate yet.
#[derive(Clone, Copy, Debug)]
struct Open {
    query: Query,
    reader: Reader,
    keeper: usize,
}

/// `Inquiry` is what is asked for one request.
#[derive(Clone, Debug)]
struct Inquiry {
    ticket: Ticket,
    open: Vec<Open>,
    /// Endpoints that are asked for if the first one doesn't suit.
    others: Vec<Reader>,
    suits: bool,
    /// When open queries are given up.
    until: u64,
}

/// `Exchange` is which routers each router hears of, and the inquiries under way.
pub(super) struct Exchange {
    meshes: Vec<Mesh>,
    inquiries: BTreeMap<usize, Inquiry>,
    load_inquiries: BTreeMap<usize, LoadInquiry>,
}

impl Exchange {
    /// Makes the exchange of routers that have heard of each other.
    pub(super) fn new(routers: usize) -> Self {
        let mut meshes: Vec<Mesh> = (0..routers).map(|who| mesh(who, 0)).collect();
        for from in 0..routers {
            meshes[from].round(Time(0), 0);
            let digest = meshes[from].digest(Time(0), address(from), false, Vec::new());
            for mesh in &mut meshes {
                mesh.receive(Time(0), &digest);
            }
        }
        Self {
            meshes,
            inquiries: BTreeMap::new(),
            load_inquiries: BTreeMap::new(),
        }
    }

    /// Forgets what a router heard, as it starts again.
    pub(super) fn restart(&mut self, now: u64, who: usize) {
        if let Some(held) = self.meshes.get_mut(who) {
            *held = mesh(who, now);
        }
    }

    /// Drops the inquiries of the requests that are lost with their routers.
    pub(super) fn lose(&mut self, is_lost: impl Fn(usize) -> bool) {
        self.inquiries.retain(|number, _| !is_lost(*number));
        self.load_inquiries.retain(|number, _| !is_lost(*number));
    }
}

fn mesh(who: usize, now: u64) -> Mesh {
    let me = Heartbeat {
        address: address(who),
        data_center: 0,
        incarnation: Incarnation(now + 1),
        beat: 0,
        reads: false,
    };
    Mesh::new(me, Vec::new())
}

fn address(who: usize) -> SocketAddrV4 {
    let low = u8::try_from(who % 250).unwrap_or_default();
    let high = u8::try_from(who / 250).unwrap_or_default();
    SocketAddrV4::new(Ipv4Addr::new(10, 1, high, low), PORT)
}

/// Gets the router with an address that [`address`] gave.
fn number(address: SocketAddrV4) -> usize {
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) * 250 + usize::from(low)
}

impl Fleet<'_> {
    /// Asks the keepers of the endpoints that a request may go to, if there is anything to ask; then sends it.
    pub(super) fn inquire(&mut self, now: u64, number: usize, ticket: Ticket) {
        if !self.sheet.asks_keepers {
            return self.send(now, number, ticket);
        }
        let request = &self.requests[number];
        let router = &mut self.routers[request.router];
        let readers = router.prefill_readers(Time(now), &ticket, &request.incoming_request);
        let Some((first, others)) = readers.split_first() else {
            return self.inquire_load(now, number, ticket);
        };
        let inquiry = Inquiry {
            ticket,
            open: Vec::new(),
            others: others.to_vec(),
            suits: false,
            until: 0,
        };
        self.query(now, number, inquiry, &[*first], true);
    }

    /// Asks the keeper of the engine that a request would go to for its load, if it may be over; then sends it.
    fn inquire_load(&mut self, now: u64, number: usize, ticket: Ticket) {
        let request = &self.requests[number];
        let who = request.router;
        let asked = self.routers[who].load_query(Time(now), &ticket, &request.incoming_request);
        let keeper = asked.and_then(|(_, query)| self.keeper(now, who, query.endpoint));
        let (Some((endpoint, query)), Some(keeper)) = (asked, keeper) else {
            return self.send(now, number, ticket);
        };
        self.account.queries += 1;
        self.post(now, who, keeper, Message::LoadQuery(number, query));
        let inquiry = LoadInquiry {
            ticket,
            endpoint,
            nonce: query.nonce,
            keeper,
            until: now + QUERY_LIMIT,
        };
        self.later(inquiry.until, Next::Expire(number));
        self.exchange.load_inquiries.insert(number, inquiry);
    }

    fn expire_load(&mut self, now: u64, number: usize) {
        let inquiries = &mut self.exchange.load_inquiries;
        if inquiries.get(&number).is_none_or(|i| i.until != now) {
            return;
        }
        let Some(inquiry) = inquiries.remove(&number) else {
            return;
        };
        self.account.silent += 1;
        let mesh = &mut self.exchange.meshes[self.requests[number].router];
        mesh.record_silent_keeper(Time(now), address(inquiry.keeper));
        self.send(now, number, inquiry.ticket);
    }

    fn take_load_estimate(&mut self, now: u64, number: usize, estimate: LoadEstimate) {
        let inquiries = &mut self.exchange.load_inquiries;
        let is_open = |i: &LoadInquiry| i.nonce == estimate.nonce;
        if !inquiries.get(&number).is_some_and(is_open) {
            return;
        }
        let Some(inquiry) = inquiries.remove(&number) else {
            return;
        };
        let router = &mut self.routers[self.requests[number].router];
        router.record_load_estimate(Time(now), inquiry.endpoint, &estimate);
        self.send(now, number, inquiry.ticket);
    }

    fn query(
        &mut self,
        now: u64,
        number: usize,
        mut inquiry: Inquiry,
        readers: &[Reader],
        is_first: bool,
    ) {
        let who = self.requests[number].router;
        let mut heard = false;
        for reader in readers.iter().copied() {
            let mesh = &self.exchange.meshes[who];
            if mesh.keeps_own_prompts_only(Time(now), reader.tag) {
                continue;
            }
            let keeper = self.keeper(now, who, reader.tag);
            let request = &self.requests[number];
            let router = &mut self.routers[who];
            let incoming_request = &request.incoming_request;
            let query = router.prefill_query(&inquiry.ticket, incoming_request, reader, is_first);
            if let Some(keeper) = keeper {
                inquiry.open.push(Open {
                    query,
                    reader,
                    keeper,
                });
                self.account.queries += 1;
                self.post(now, who, keeper, Message::Query(number, query));
            } else {
                let estimate = router.answer_prefill_query(Time(now), &query);
                let ticket = &mut inquiry.ticket;
                inquiry.suits |=
                    router.record_prefill_estimate(Time(now), ticket, reader, &estimate);
                heard = true;
            }
        }
        if inquiry.open.is_empty() {
            return self.conclude(now, number, inquiry, heard);
        }
        inquiry.until = now + QUERY_LIMIT;
        self.later(inquiry.until, Next::Expire(number));
        self.exchange.inquiries.insert(number, inquiry);
    }

    /// Asks for the other endpoints if an estimate has come and does not suit, or sends the request.
    fn conclude(&mut self, now: u64, number: usize, mut inquiry: Inquiry, heard: bool) {
        let others = std::mem::take(&mut inquiry.others);
        if inquiry.suits || !heard || others.is_empty() {
            return self.send(now, number, inquiry.ticket);
        }
        self.query(now, number, inquiry, &others, false);
    }

    /// Gives up the queries for a request that have no estimate.
    pub(super) fn expire(&mut self, now: u64, number: usize) {
        self.expire_load(now, number);
        let inquiries = &mut self.exchange.inquiries;
        if inquiries.get(&number).is_none_or(|i| i.until != now) {
            return;
        }
        let Some(mut inquiry) = inquiries.remove(&number) else {
            return;
        };
        let who = self.requests[number].router;
        for open in std::mem::take(&mut inquiry.open) {
            self.account.silent += 1;
            let mesh = &mut self.exchange.meshes[who];
            mesh.record_silent_keeper(Time(now), address(open.keeper));
            if open.query.bears.is_some() {
                let note = Note::Released {
                    nonce: open.query.nonce,
                    endpoint: open.query.endpoint,
                };
                self.account.notes += 1;
                self.post(now, who, open.keeper, Message::Note(note));
            }
        }
        self.conclude(now, number, inquiry, false);
    }

    /// Gives a router a message.
    pub(super) fn deliver(&mut self, now: u64, from: usize, to: usize, message: Message) {
        if self.lost(now) || self.lost_router(now) == Some(to) {
            return;
        }
        match message {
            Message::Query(number, query) => {
                // A router that has just started has heard of nobody, and of no prompt.
                if self.exchange.meshes[to].live(Time(now)).next().is_some() {
                    let estimate = self.routers[to].answer_prefill_query(Time(now), &query);
                    self.post(now, to, from, Message::Estimate(number, estimate));
                }
            }
            Message::Estimate(number, estimate) => self.take_estimate(now, number, estimate),
            Message::Note(note) => self.routers[to].record_prefill_note(Time(now), note),
            Message::LoadQuery(number, query) => {
                let known = self.exchange.meshes[to].knows(address(from));
                let estimate = self.routers[to].answer_load_query(Time(now), &query, known);
                self.post(now, to, from, Message::LoadEstimate(number, estimate));
            }
            Message::LoadEstimate(number, estimate) => {
                self.take_load_estimate(now, number, estimate);
            }
            Message::LoadNote(note) => self.routers[to].record_load_note(Time(now), note),
        }
    }

    fn take_estimate(&mut self, now: u64, number: usize, estimate: Estimate) {
        let Some(mut inquiry) = self.exchange.inquiries.remove(&number) else {
            return;
        };
        let answered = |open: &Open| open.query.nonce == estimate.nonce;
        if let Some(index) = inquiry.open.iter().position(answered) {
            let open = inquiry.open.swap_remove(index);
            let router = &mut self.routers[self.requests[number].router];
            let ticket = &mut inquiry.ticket;
            inquiry.suits |=
                router.record_prefill_estimate(Time(now), ticket, open.reader, &estimate);
            if inquiry.open.is_empty() {
                return self.conclude(now, number, inquiry, true);
            }
        }
        self.exchange.inquiries.insert(number, inquiry);
    }

    /// Brings the notes that routers have made to their keepers.
    pub(super) fn pass_notes(&mut self, now: u64) {
        if !self.sheet.asks_keepers {
            return;
        }
        for who in 0..self.routers.len() {
            for note in self.routers[who].take_prefill_notes() {
                let (Note::Reserved { endpoint, .. } | Note::Released { endpoint, .. }) = note;
                if let Some(keeper) = self.keeper(now, who, endpoint) {
                    self.account.notes += 1;
                    self.post(now, who, keeper, Message::Note(note));
                } else {
                    self.routers[who].record_prefill_note(Time(now), note);
                }
            }
            for note in self.routers[who].take_load_notes() {
                if let Some(keeper) = self.keeper(now, who, note.endpoint) {
                    self.account.notes += 1;
                    self.post(now, who, keeper, Message::LoadNote(note));
                }
            }
        }
    }

    fn keeper(&self, now: u64, who: usize, endpoint: Tag) -> Option<usize> {
        let mesh = &self.exchange.meshes[who];
        mesh.backlog_keeper(Time(now), endpoint).map(number)
    }

    fn post(&mut self, now: u64, from: usize, to: usize, message: Message) {
        let is_silent = self.sheet.at(now).any(|t| t == Trouble::SilentKeepers);
        if is_silent || self.is_cut(now, from, to) {
            return;
        }
        let late = self.sheet.at(now).find_map(|t| match t {
            Trouble::LateQueries { by } => Some(by),
            _ => None,
        });
        let way = match message {
            Message::Query(..)
            | Message::Note(_)
            | Message::LoadQuery(..)
            | Message::LoadNote(_) => QUERY_WAY,
            Message::Estimate(..) | Message::LoadEstimate(..) => ESTIMATE_WAY,
        };
        let at = now + way + late.unwrap_or_default();
        self.later(at, Next::Deliver(from, to, message));
    }

    /// Makes the part of a router's digest that tells which routers there are.
    pub(super) fn heartbeats(&mut self, now: u64, from: usize, to: usize) -> Option<Digest> {
        let mesh = self.exchange.meshes.get_mut(from)?;
        Some(mesh.digest(Time(now), address(to), false, Vec::new()))
    }

    /// Begins a round of a router's digests.
    pub(super) fn beat(&mut self, now: u64, who: usize) {
        if let Some(mesh) = self.exchange.meshes.get_mut(who) {
            mesh.round(Time(now), 0);
        }
    }

    /// Takes in which routers a digest tells of.
    pub(super) fn hear_of_routers(&mut self, now: u64, who: usize, digest: &Digest) {
        self.exchange.meshes[who].receive(Time(now), digest);
    }
}
