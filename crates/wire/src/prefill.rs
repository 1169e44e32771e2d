//! Messages of the prefill backlog, and of the loads that keepers are asked for, as bytes: queries, estimates and
//! notes.
//!
//! They go in datagrams beside digests, sealed like these. Most are sent for a single prompt and
//! while it waits, so they have a fixed layout in place of named fields.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

use bytes::{
    Buf,
    BufMut as _, //
};
use snafu::{
    OptionExt as _,
    ensure, //
};
use toucanturn_core::{
    gateway::{
        multiple::{
            LoadEstimate,
            LoadNote,
            LoadQuery, //
        },
        prefill::{
            Estimate,
            Note,
            Query, //
        },
    },
    ids::Tag,
    units::Millis,
};

use crate::gossip::{
    PartSnafu,
    Result, //
};

/// Limit of the notes in a datagram.
pub const MAX_NOTES: usize = 64;
/// First byte of these messages. No protocol buffer and no stream report begins with it, so a router that
/// does not know them refuses them as a malformed digest.
const MARK: u8 = 1;
/// Bytes of the mark, the kind, the sender and its round.
const HEAD_BYTES: usize = 12;
const QUERY_BYTES: usize = 20;
const ESTIMATE_BYTES: usize = 13;
const NOTE_BYTES: usize = 17;
const LOAD_QUERY_BYTES: usize = 16;
const LOAD_ESTIMATE_BYTES: usize = 12;
const LOAD_NOTE_BYTES: usize = 8;
/// Second byte, the kind of the message.
const QUERY: u8 = 1;
const ESTIMATE: u8 = 2;
const NOTES: u8 = 3;
const LOAD_QUERY: u8 = 4;
const LOAD_ESTIMATE: u8 = 5;
const LOAD_NOTES: u8 = 6;
/// First byte of a note.
const RESERVED: u8 = 1;
const RELEASED: u8 = 2;
/// Stands for no wait.
const NO_WAIT: u32 = u32::MAX;
/// Stands for no load.
const NO_LOAD: u32 = u32::MAX;

/// `Datagram` is a message with its sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Address of the sender for its peers.
    pub from: SocketAddrV4,
    /// Number of its newest round.
    pub beat: u64,
    /// The message.
    pub message: Message,
}

/// `Message` is what a router tells the keeper of a backlog, or the keeper answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// How long would a prompt wait?
    Query(Query),
    /// So long.
    Estimate(Estimate),
    /// Prompts were sent, or need not be read any more.
    Notes(Vec<Note>),
    /// How many requests does an endpoint hold?
    LoadQuery(LoadQuery),
    /// So many.
    LoadEstimate(LoadEstimate),
    /// Answers state these loads.
    LoadNotes(Vec<LoadNote>),
}

/// Tells whether a payload holds a message of this module.
pub fn is_prefill(payload: &[u8]) -> bool {
    payload.first() == Some(&MARK)
}

/// Encodes a message: the mark, then big-endian numbers. Waits are cut to 49 days, notes to [`MAX_NOTES`].
pub fn encode(datagram: &Datagram) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEAD_BYTES + QUERY_BYTES);
    bytes.put_u8(MARK);
    bytes.put_u8(match datagram.message {
        Message::Query(_) => QUERY,
        Message::Estimate(_) => ESTIMATE,
        Message::Notes(_) => NOTES,
        Message::LoadQuery(_) => LOAD_QUERY,
        Message::LoadEstimate(_) => LOAD_ESTIMATE,
        Message::LoadNotes(_) => LOAD_NOTES,
    });
    bytes.put_u32(u32::from(*datagram.from.ip()));
    bytes.put_u16(datagram.from.port());
    bytes.put_u32(u32::try_from(datagram.beat).unwrap_or(u32::MAX));
    match &datagram.message {
        Message::Query(query) => {
            bytes.put_u64(query.nonce);
            bytes.put_u32(query.endpoint.0);
            bytes.put_u32(query.tokens);
            bytes.put_u32(query.bears.map_or(NO_WAIT, short));
        }
        Message::Estimate(estimate) => {
            bytes.put_u64(estimate.nonce);
            bytes.put_u32(short(estimate.wait));
            bytes.put_u8(estimate.reserved.into());
        }
        Message::Notes(notes) => {
            for note in notes.iter().take(MAX_NOTES) {
                let (kind, nonce, endpoint, tokens) = match *note {
                    Note::Reserved {
                        nonce,
                        endpoint,
                        tokens,
                    } => (RESERVED, nonce, endpoint, tokens),
                    Note::Released { nonce, endpoint } => (RELEASED, nonce, endpoint, 0),
                };
                bytes.put_u8(kind);
                bytes.put_u64(nonce);
                bytes.put_u32(endpoint.0);
                bytes.put_u32(tokens);
            }
        }
        Message::LoadQuery(query) => {
            bytes.put_u64(query.nonce);
            bytes.put_u32(query.endpoint.0);
            bytes.put_u32(query.limit);
        }
        Message::LoadEstimate(estimate) => {
            bytes.put_u64(estimate.nonce);
            let load = estimate.load.map(|load| load.min(NO_LOAD - 1));
            bytes.put_u32(load.unwrap_or(NO_LOAD));
        }
        Message::LoadNotes(notes) => {
            for note in notes.iter().take(MAX_NOTES) {
                bytes.put_u32(note.endpoint.0);
                bytes.put_u32(note.load);
            }
        }
    }
    bytes
}

/// Gets a wait in 32 bits, the greatest of which stands for none.
fn short(wait: Millis) -> u32 {
    u32::try_from(wait.0).unwrap_or(NO_WAIT).min(NO_WAIT - 1)
}

/// Decodes a message.
///
/// # Errors
///
/// Not such a message, of an unknown kind, or larger than one may be.
pub fn decode(payload: &[u8]) -> Result<Datagram> {
    let what = "a whole message of the prefill backlog";
    let rest = payload.get(HEAD_BYTES..).context(PartSnafu { what })?;
    ensure!(is_prefill(payload), PartSnafu { what });
    let mut head = &payload[2..HEAD_BYTES];
    let ip = Ipv4Addr::from(head.get_u32());
    let from = SocketAddrV4::new(ip, head.get_u16());
    let beat = head.get_u32().into();
    let message = match (payload[1], rest.len()) {
        (QUERY, QUERY_BYTES) => Some(Message::Query(query(rest))),
        (ESTIMATE, ESTIMATE_BYTES) => estimate(rest).map(Message::Estimate),
        (NOTES, length)
            if length.is_multiple_of(NOTE_BYTES)
                && (1..=MAX_NOTES).contains(&(length / NOTE_BYTES)) =>
        {
            let notes: Option<Vec<Note>> = rest.chunks_exact(NOTE_BYTES).map(note).collect();
            notes.map(Message::Notes)
        }
        (LOAD_QUERY, LOAD_QUERY_BYTES) => Some(Message::LoadQuery(load_query(rest))),
        (LOAD_ESTIMATE, LOAD_ESTIMATE_BYTES) => Some(Message::LoadEstimate(load_estimate(rest))),
        (LOAD_NOTES, length)
            if length.is_multiple_of(LOAD_NOTE_BYTES)
                && (1..=MAX_NOTES).contains(&(length / LOAD_NOTE_BYTES)) =>
        {
            let notes = rest.chunks_exact(LOAD_NOTE_BYTES).map(load_note);
            Some(Message::LoadNotes(notes.collect()))
        }
        _ => None,
    };
    Ok(Datagram {
        from,
        beat,
        message: message.context(PartSnafu { what })?,
    })
}

fn query(mut rest: &[u8]) -> Query {
    let (nonce, endpoint, tokens) = (rest.get_u64(), Tag(rest.get_u32()), rest.get_u32());
    let bears = Some(rest.get_u32()).filter(|bears| *bears != NO_WAIT);
    Query {
        nonce,
        endpoint,
        tokens,
        bears: bears.map(|bears| Millis(bears.into())),
    }
}

fn estimate(mut rest: &[u8]) -> Option<Estimate> {
    let (nonce, wait, reserved) = (rest.get_u64(), rest.get_u32(), rest.get_u8());
    let valid = wait != NO_WAIT && reserved <= 1;
    valid.then_some(Estimate {
        nonce,
        wait: Millis(wait.into()),
        reserved: reserved == 1,
    })
}

fn note(mut rest: &[u8]) -> Option<Note> {
    let (kind, nonce) = (rest.get_u8(), rest.get_u64());
    let (endpoint, tokens) = (Tag(rest.get_u32()), rest.get_u32());
    match (kind, tokens) {
        (RESERVED, _) => Some(Note::Reserved {
            nonce,
            endpoint,
            tokens,
        }),
        (RELEASED, 0) => Some(Note::Released { nonce, endpoint }),
        _ => None,
    }
}

fn load_query(mut rest: &[u8]) -> LoadQuery {
    LoadQuery {
        nonce: rest.get_u64(),
        endpoint: Tag(rest.get_u32()),
        limit: rest.get_u32(),
    }
}

fn load_estimate(mut rest: &[u8]) -> LoadEstimate {
    LoadEstimate {
        nonce: rest.get_u64(),
        load: Some(rest.get_u32()).filter(|load| *load != NO_LOAD),
    }
}

fn load_note(mut rest: &[u8]) -> LoadNote {
    LoadNote {
        endpoint: Tag(rest.get_u32()),
        load: rest.get_u32(),
    }
}
