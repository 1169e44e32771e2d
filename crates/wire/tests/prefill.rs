//! Messages of the prefill backlog: round trip, size, and bytes that are none.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

use googletest::prelude::*;
use proptest::prelude::*;
use toucanturn_core::{
    gateway::prefill::{
        Estimate,
        Note,
        Query, //
    },
    ids::Tag,
    units::Millis,
};
use toucanturn_wire::{
    gossip::{
        MAX_DATAGRAM,
        decode_digest,
        is_stream_reports,
        seal, //
    },
    prefill::{
        Datagram,
        MAX_NOTES,
        Message,
        decode,
        encode,
        is_prefill, //
    },
};

/// Bytes of a sealed query or estimate.
const MAX_SEALED_BYTES: usize = 100;
/// Bytes before those of the message: mark, kind, sender and its round.
const HEAD_BYTES: usize = 12;

fn datagram(message: Message) -> Datagram {
    Datagram {
        from: SocketAddrV4::new(Ipv4Addr::BROADCAST, u16::MAX),
        beat: u32::MAX.into(),
        message,
    }
}

fn query(bears: Option<u64>) -> Message {
    Message::Query(Query {
        nonce: u64::MAX,
        endpoint: Tag(u32::MAX - 1),
        tokens: u32::MAX - 2,
        bears: bears.map(Millis),
    })
}

fn estimate(wait: u64, reserved: bool) -> Message {
    Message::Estimate(Estimate {
        nonce: u64::MAX - 3,
        wait: Millis(wait),
        reserved,
    })
}

fn notes(count: usize) -> Message {
    let note = |n: usize| {
        let (nonce, endpoint) = (u64::MAX - n as u64, Tag(7));
        match n % 2 {
            0 => Note::Reserved {
                nonce,
                endpoint,
                tokens: u32::MAX,
            },
            _ => Note::Released { nonce, endpoint },
        }
    };
    Message::Notes((0..count).map(note).collect())
}

fn messages() -> Vec<Message> {
    let longest = u64::from(u32::MAX) - 1;
    vec![
        query(None),
        query(Some(0)),
        query(Some(longest)),
        estimate(0, false),
        estimate(longest, true),
        notes(1),
        notes(MAX_NOTES),
    ]
}

/// Guards against an estimate, a limit or a note that says something else where it arrives.
#[gtest]
fn verify_messages_come_back_as_they_were() {
    for message in messages() {
        let sent = datagram(message);
        expect_that!(decode(&encode(&sent)), ok(eq(&sent)));
    }
}

/// Guards against the longest waits being taken for none, or for short ones.
#[gtest]
fn verify_waits_that_are_too_long_become_the_longest() {
    let longest = u64::from(u32::MAX) - 1;
    for wait in [longest + 1, longest + 2, u64::MAX] {
        let cut = decode(&encode(&datagram(estimate(wait, true))));
        expect_that!(cut, ok(eq(&datagram(estimate(longest, true)))));
        let cut = decode(&encode(&datagram(query(Some(wait)))));
        expect_that!(cut, ok(eq(&datagram(query(Some(longest))))));
    }
}

/// Guards against messages for a single prompt that cost control as much as digests do.
#[gtest]
fn verify_a_query_and_an_estimate_are_short_and_notes_fit_one_packet() {
    for message in messages() {
        let limit = match message {
            Message::Notes(_) => MAX_DATAGRAM,
            _ => MAX_SEALED_BYTES - 1,
        };
        let payload = encode(&datagram(message));
        expect_that!(seal(&[9; 32], u64::MAX, payload).len(), le(limit));
    }
}

/// Guards against routers of other builds that take these messages for digests or stream reports.
#[gtest]
fn verify_other_messages_are_not_mistaken() {
    for message in messages() {
        let payload = encode(&datagram(message));
        expect_true!(is_prefill(&payload));
        expect_false!(is_stream_reports(&payload));
        expect_that!(decode_digest(&payload), err(anything()));
    }
    for mark in (0..=u8::MAX).filter(|mark| *mark != 1) {
        let mut payload = encode(&datagram(query(None)));
        payload[0] = mark;
        expect_that!(decode(&payload), err(anything()));
    }
}

/// Guards against cut, overlong or unknown messages that are taken for whole ones.
#[gtest]
fn verify_bytes_that_are_no_message_are_refused() {
    for message in messages() {
        let payload = encode(&datagram(message.clone()));
        let note = |length: usize| {
            let whole = length > HEAD_BYTES && (length - HEAD_BYTES).is_multiple_of(17);
            matches!(message, Message::Notes(_)) && whole
        };
        for length in (0..payload.len()).filter(|length| !note(*length)) {
            expect_that!(decode(&payload[..length]), err(anything()), "{length}");
        }
        let longer = [payload.as_slice(), &[0]].concat();
        expect_that!(decode(&longer), err(anything()));
        for kind in [0].into_iter().chain(4..=u8::MAX) {
            let mut unknown = payload.clone();
            unknown[1] = kind;
            expect_that!(decode(&unknown), err(anything()));
        }
    }
    let most = encode(&datagram(notes(MAX_NOTES)));
    let beyond = [most.as_slice(), &most[HEAD_BYTES..HEAD_BYTES + 17]].concat();
    expect_that!(decode(&beyond), err(anything()));
    let mut no_bool = encode(&datagram(estimate(1, true)));
    *no_bool.last_mut().expect("it has bytes") = 2;
    expect_that!(decode(&no_bool), err(anything()));
    let mut endless = encode(&datagram(estimate(1, true)));
    endless[HEAD_BYTES + 8..HEAD_BYTES + 12].fill(0xff);
    expect_that!(decode(&endless), err(anything()));
    let mut released_tokens = encode(&datagram(notes(2)));
    *released_tokens.last_mut().expect("it has bytes") = 1;
    expect_that!(decode(&released_tokens), err(anything()));
    for kind in [0, 3] {
        let mut unknown = encode(&datagram(notes(2)));
        unknown[HEAD_BYTES] = kind;
        expect_that!(decode(&unknown), err(anything()));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against bytes from outside that make a reader panic, or that are read in two ways.
    #[test]
    fn verify_any_bytes_are_harmless(kind in 0_u8..5, rest: Vec<u8>) {
        let _ = decode(&rest);
        let bytes = [[1, kind].as_slice(), &rest].concat();
        if let Ok(decoded) = decode(&bytes) {
            prop_assert_eq!(encode(&decoded), bytes);
        }
    }
}
