//! Messages to bytes and back, and what the decoder does with bytes that no router sent.

#![expect(
    clippy::expect_used,
    reason = "a test's helpers stop at what can't happen"
)]

use bytes::Bytes;
use googletest::prelude::*;
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{
        Config,
        RngSeed,
        TestRunner, //
    },
};
use prost::Message as _;
use strum::IntoEnumIterator;
use toucanturn_core::{
    config::Priority,
    ids::Tag,
    peer::{
        Change,
        Entry,
        Leaving,
        Load,
        Message,
        Report,
        Summary, //
    },
    request::{
        Code,
        Key,
        Outcome, //
    },
    units::{
        Incarnation,
        Millis,
        Revision, //
    },
};
use toucanturn_wire::{
    Error,
    forward,
    limits::{
        MAX_BODY,
        MAX_MESSAGES,
        MAX_ROWS,
        MAX_VALUE, //
    },
    message,
    proto,
    receipt::{
        Receipt,
        Refusal, //
    },
    size, //
};

const SEED: u64 = 20_261_202;

/// Runs a property over `cases` inputs, the same ones each time.
fn check<S: Strategy>(cases: u32, strategy: S, property: impl Fn(S::Value)) {
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    };
    let property = |value| {
        property(value);
        Ok(())
    };
    TestRunner::new(config)
        .run(&strategy, property)
        .expect("the property holds for each input");
}

fn text(max: usize) -> impl Strategy<Value = Bytes> {
    vec(any::<u8>(), 0..max).prop_map(Bytes::from)
}

/// `Row` is what one row of a table, or one small message, is made of.
type Row = (u32, u64, u32, u32, u64);

fn summary(rows: &[Row]) -> Summary {
    let load = |r: &Row| Load {
        endpoint: Tag(r.0),
        in_flight: r.2,
    };
    let leaving = |r: &Row| Leaving {
        endpoint: Tag(r.0),
        incarnation: Incarnation(r.1),
    };
    let report = |r: &Row| Report {
        endpoint: Tag(r.0),
        incarnation: Incarnation(r.1),
        in_flight: r.2,
        queued: r.3,
        age: Millis(r.4),
    };
    let third = rows.len() / 3;
    Summary {
        revision: Revision(rows.first().map_or(0, |r| r.1)),
        epoch: Revision(rows.first().map_or(0, |r| r.4)),
        loads: rows.iter().skip(third).map(load).collect(),
        leaving: rows.iter().take(third).map(leaving).collect(),
        reports: rows.iter().skip(2 * third).map(report).collect(),
    }
}

fn change(row: Row, rows: &[Row], text: &Bytes) -> Change {
    let entry = |r: &Row| Entry {
        key: text.slice(..text.len() / 4),
        revision: Revision(r.1),
        value: (r.0.is_multiple_of(2)).then(|| text.clone()),
    };
    Change {
        since: Revision(row.1),
        revision: Revision(row.4),
        entries: rows.iter().map(entry).collect(),
        floor: row.0.is_multiple_of(2).then_some(Revision(row.1)),
    }
}

fn any_message() -> impl Strategy<Value = Message> {
    let rows = vec(any::<Row>(), 0..30);
    (0..7, any::<Row>(), rows, text(200)).prop_map(|(kind, row, rows, text)| match kind {
        0 => Message::Summary(summary(&rows)),
        1 => Message::Push(change(row, &rows, &text)),
        2 => Message::Pull {
            since: Revision(row.1),
        },
        3 => Message::Ask {
            workspace: Tag(row.0),
            want: row.2,
            nonce: row.1,
        },
        4 => Message::Grant {
            workspace: Tag(row.0),
            granted: row.2,
            retry_after: Millis(row.1),
            nonce: row.4,
        },
        5 => Message::LeaseAsk {
            epoch: Revision(row.1),
            round: row.4,
            lease: Millis(row.1),
        },
        _ => Message::LeaseAnswer {
            epoch: Revision(row.1),
            round: row.4,
            confirmed: row.0 % 2 == 0,
            previous: Revision(row.4),
        },
    })
}

fn any_request() -> impl Strategy<Value = forward::Request> {
    let texts = [text(40), text(10), text(100), text(40), text(2000)];
    (texts, any::<Row>(), 0..=9u8).prop_map(|(texts, row, priority)| {
        let [request_id, method, path, content_type, body] = texts;
        forward::Request {
            request_id,
            key: Key {
                workspace: Tag(row.0),
                uuid: u128::from(row.1) << 64 | u128::from(row.2),
            },
            priority: Priority(priority),
            deadline: Millis(row.1),
            method,
            path,
            content_type,
            body,
            content: row.4,
        }
    })
}

fn any_reply() -> impl Strategy<Value = forward::Reply> {
    let codes: Vec<_> = Code::iter().map(Some).chain([None]).collect();
    let outcomes = vec![Outcome::Done, Outcome::NotRun, Outcome::Unknown];
    let choices = (
        proptest::sample::select(outcomes),
        proptest::sample::select(codes),
        100..600u16,
    );
    (choices, text(40), text(2000), any::<Row>()).prop_map(|(choices, content_type, body, row)| {
        forward::Reply {
            outcome: choices.0,
            code: choices.1,
            retry_after: (row.0 % 2 == 0).then_some(Millis(row.1)),
            attempts: row.2,
            status: choices.2,
            content_type,
            body,
            replayed: row.3 % 2 == 0,
        }
    })
}

#[gtest]
fn verify_batches_come_back_as_they_went() {
    check(500, vec(any_message(), 0..8), |messages| {
        let payload = message::encode(&messages);
        let sizes: usize = messages.iter().map(size).sum();
        assert_eq!(payload.len(), sizes);
        assert_eq!(message::decode_batch(payload), Ok(messages));
    });
}

#[gtest]
fn verify_forwarded_calls_and_replies_come_back_as_they_went() {
    check(300, (any_request(), any_reply()), |(request, reply)| {
        assert_eq!(forward::Request::decode(request.encode()), Ok(request));
        let receipt = Receipt::Reply(reply);
        assert_eq!(Receipt::decode(receipt.encode()), Ok(receipt));
    });
}

#[gtest]
fn verify_every_refusal_comes_back_as_it_went() {
    let refusals = Refusal::iter().map(Receipt::Refused);
    for receipt in refusals.chain([Receipt::Accepted]) {
        expect_that!(Receipt::decode(receipt.encode()), ok(eq(&receipt)));
    }
}

// Symptom: a router panics, hangs or allocates without end.
// Sequence: bytes arrive that no router of this version has made.
// Cause: a decoder that trusts lengths or variants.
#[gtest]
fn verify_random_bytes_never_panic() {
    check(20_000, text(400), |raw| {
        let _ = message::decode_batch(raw.clone());
        let _ = forward::Request::decode(raw.clone());
        let _ = Receipt::decode(raw.clone());
        let _ = proto::Envelope::decode(raw);
    });
}

// Symptom: as above, or a message that is accepted but can't be passed on.
// Sequence: one byte of a true batch is altered, or its end is missing.
// Cause: a faulty peer of a later version (the MAC keeps out all others).
#[gtest]
fn verify_mutated_batches_are_refused_or_valid() {
    let mutation = (vec(any_message(), 1..4), any::<(usize, u8, bool)>());
    check(5_000, mutation, |(messages, (at, byte, cut))| {
        let mut raw = message::encode(&messages).to_vec();
        let at = at % raw.len();
        match cut {
            true => raw.truncate(at),
            false => raw[at] ^= byte,
        }
        if let Ok(messages) = message::decode_batch(Bytes::from(raw)) {
            let again = message::decode_batch(message::encode(&messages));
            assert_eq!(again, Ok(messages));
        }
    });
}

// Symptom: a truncated message is taken for a shorter one.
// Sequence: the end of the payload is missing.
// Cause: a length that is not checked against what is left.
#[gtest]
fn verify_a_truncated_message_is_refused() {
    let ask = Message::Ask {
        workspace: Tag(1),
        want: 2,
        nonce: 3,
    };
    let whole = message::encode(&[ask]);
    for len in 1..whole.len() {
        let result = message::decode_batch(whole.slice(..len));
        expect_that!(
            result,
            err(pat!(Error::Malformed {
                field: eq(&"batch"),
                ..
            }))
        );
    }
}

// Symptom: a newer router's message is dropped in silence, or read as something else.
// Sequence: a peer of a later version sends a kind of message that this one doesn't know.
// Cause: Protocol Buffers skip unknown fields.
#[gtest]
fn verify_an_unknown_kind_of_message_is_refused() {
    // Field 1 of the batch holds a message whose only field is number 15.
    let batch = Bytes::from_static(&[0x0a, 0x02, 0x78, 0x01]);
    let unknown = pat!(Error::UnknownVariant {
        field: eq(&"message.kind")
    });
    expect_that!(message::decode_batch(batch), err(unknown));
    expect_that!(
        Receipt::decode(Bytes::new()),
        err(pat!(Error::UnknownVariant { .. }))
    );
}

// Symptom: a router's memory grows with what one peer sends.
// Sequence: a faulty peer sends lists or values over their bounds.
// Cause: a bound that is not checked on arrival.
#[gtest]
fn verify_messages_over_a_bound_are_refused() {
    let over = |field, max| {
        err(pat!(Error::TooLarge {
            field: eq(field),
            max: eq(max),
            ..
        }))
    };
    let pull = Message::Pull { since: Revision(1) };
    let batch = message::encode(&vec![pull; MAX_MESSAGES + 1]);
    expect_that!(
        message::decode_batch(batch),
        over(&"batch.messages", &MAX_MESSAGES)
    );

    let load = Load {
        endpoint: Tag(1),
        in_flight: 1,
    };
    let summary = Message::Summary(Summary {
        loads: vec![load; MAX_ROWS + 1],
        ..Summary::default()
    });
    expect_that!(
        message::decode_batch(message::encode(&[summary])),
        over(&"summary.load_endpoint", &MAX_ROWS)
    );

    let entry = Entry {
        key: Bytes::from_static(b"workspaces/a"),
        revision: Revision(1),
        value: Some(Bytes::from(vec![b' '; MAX_VALUE + 1])),
    };
    let push = Message::Push(Change {
        entries: vec![entry],
        ..Change::default()
    });
    expect_that!(
        message::decode_batch(message::encode(&[push])),
        over(&"entry.value", &MAX_VALUE)
    );

    let raw = proto::ForwardRequest {
        key: Bytes::from_static(&[0; 16]),
        body: Bytes::from(vec![0; MAX_BODY + 1]),
        ..proto::ForwardRequest::default()
    };
    expect_that!(
        forward::Request::try_from(raw),
        over(&"forward.body", &MAX_BODY)
    );
}

// Symptom: the loads of one endpoint are counted for another.
// Sequence: a peer sends two columns of different lengths.
// Cause: rows are made by zipping the columns, which drops the rest.
#[gtest]
fn verify_columns_of_different_lengths_are_refused() {
    let raw = proto::Summary {
        load_endpoint: vec![1, 2],
        load_in_flight: vec![5],
        ..proto::Summary::default()
    };
    let columns = pat!(Error::Columns {
        field: eq(&"summary.load_in_flight"),
        expected: eq(&2),
        found: eq(&1),
    });
    expect_that!(Summary::try_from(raw), err(columns));
}
