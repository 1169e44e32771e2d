//! Messages about the loads that keepers are asked for: round trip, size, and bytes that are none.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

use googletest::prelude::*;
use proptest::prelude::*;
use toucanturn_core::{
    gateway::multiple::{
        LoadEstimate,
        LoadNote,
        LoadQuery, //
    },
    ids::Tag,
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
const NOTE_BYTES: usize = 8;

fn datagram(message: Message) -> Datagram {
    Datagram {
        from: SocketAddrV4::new(Ipv4Addr::BROADCAST, u16::MAX),
        beat: u32::MAX.into(),
        message,
    }
}

fn estimate(load: Option<u32>) -> Message {
    Message::LoadEstimate(LoadEstimate {
        nonce: u64::MAX - 3,
        load,
    })
}

fn notes(count: usize) -> Message {
    let note = |n| {
        let load = u32::try_from(n).unwrap_or(u32::MAX);
        LoadNote {
            endpoint: Tag(u32::MAX - load),
            load,
        }
    };
    Message::LoadNotes((0..count).map(note).collect())
}

fn messages() -> Vec<Message> {
    vec![
        Message::LoadQuery(LoadQuery {
            nonce: u64::MAX,
            endpoint: Tag(u32::MAX - 1),
            limit: u32::MAX,
        }),
        estimate(None),
        estimate(Some(0)),
        estimate(Some(u32::MAX - 1)),
        notes(1),
        notes(MAX_NOTES),
    ]
}

/// Guards against a load or a limit that says something else where it arrives.
#[gtest]
fn verify_messages_come_back_as_they_were() {
    for message in messages() {
        let sent = datagram(message);
        expect_that!(decode(&encode(&sent)), ok(eq(&sent)));
    }
}

/// Guards against the greatest load being taken for none.
#[gtest]
fn verify_a_load_that_is_too_great_becomes_the_greatest() {
    let cut = decode(&encode(&datagram(estimate(Some(u32::MAX)))));
    expect_that!(cut, ok(eq(&datagram(estimate(Some(u32::MAX - 1))))));
}

/// Guards against messages for a single prompt that cost control as much as digests do.
#[gtest]
fn verify_a_query_and_an_estimate_are_short_and_notes_fit_one_packet() {
    for message in messages() {
        let limit = match message {
            Message::LoadNotes(_) => MAX_DATAGRAM,
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
}

/// Guards against cut, overlong or unknown messages that are taken for whole ones.
#[gtest]
fn verify_bytes_that_are_no_message_are_refused() {
    for message in messages() {
        let payload = encode(&datagram(message.clone()));
        let is_whole = |length: usize| {
            let notes = length > HEAD_BYTES && (length - HEAD_BYTES).is_multiple_of(NOTE_BYTES);
            matches!(message, Message::LoadNotes(_)) && notes
        };
        for length in (0..payload.len()).filter(|length| !is_whole(*length)) {
            expect_that!(decode(&payload[..length]), err(anything()), "{length}");
        }
        let longer = [payload.as_slice(), &[0]].concat();
        expect_that!(decode(&longer), err(anything()));
        for kind in [0].into_iter().chain(7..=u8::MAX) {
            let mut unknown = payload.clone();
            unknown[1] = kind;
            expect_that!(decode(&unknown), err(anything()));
        }
    }
    let most = encode(&datagram(messages().pop().expect("notes")));
    let beyond = [most.as_slice(), &most[HEAD_BYTES..HEAD_BYTES + NOTE_BYTES]].concat();
    expect_that!(decode(&beyond), err(anything()));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against bytes from outside that make a reader panic, or that are read in two ways.
    #[test]
    fn verify_any_bytes_are_harmless(kind in 4_u8..8, rest: Vec<u8>) {
        let bytes = [[1, kind].as_slice(), &rest].concat();
        if let Ok(decoded) = decode(&bytes) {
            prop_assert_eq!(encode(&decoded), bytes);
        }
    }
}
