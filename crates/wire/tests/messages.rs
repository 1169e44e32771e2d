//! Messages to bytes and back, and what the decoder does with bytes that no router sent.

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

fn loads() -> impl Strategy<Value = Vec<Load>> {
    let load = any::<(u32, u32)>().prop_map(|(endpoint, in_flight)| Load {
        endpoint: Tag(endpoint),
        in_flight,
    });
    vec(load, 0..20)
}

fn leaving() -> impl Strategy<Value = Vec<Leaving>> {
    let leaving = any::<(u32, u64)>().prop_map(|(endpoint, incarnation)| Leaving {
        endpoint: Tag(endpoint),
        incarnation: Incarnation(incarnation),
    });
    vec(leaving, 0..20)
}

fn reports() -> impl Strategy<Value = Vec<Report>> {
    let report = any::<(u32, u64, u32, u32, u64)>().prop_map(|raw| Report {
        endpoint: Tag(raw.0),
        incarnation: Incarnation(raw.1),
        in_flight: raw.2,
        queued: raw.3,
        age: Millis(raw.4),
    });
    vec(report, 0..20)
}

fn summary() -> impl Strategy<Value = Message> {
    let parts = (any::<(u64, u64)>(), loads(), leaving(), reports());
    parts.prop_map(|((revision, epoch), loads, leaving, reports)| {
        Message::Summary(Summary {
            revision: Revision(revision),
            epoch: Revision(epoch),
            loads,
            leaving,
            reports,
        })
    })
}

fn push() -> impl Strategy<Value = Message> {
    let entry = (text(64), any::<u64>(), proptest::option::of(text(200)));
    let entry = entry.prop_map(|(key, revision, value)| Entry {
        key,
        revision: Revision(revision),
        value,
    });
    let parts = (any::<(u64, u64, Option<u64>)>(), vec(entry, 0..10));
    parts.prop_map(|((since, revision, floor), entries)| {
        Message::Push(Change {
            since: Revision(since),
            revision: Revision(revision),
            entries,
            floor: floor.map(Revision),
        })
    })
}

fn any_message() -> impl Strategy<Value = Message> {
    let small = any::<(u32, u32, u64, u64, bool)>();
    prop_oneof![
        summary(),
        push(),
        small.prop_map(|raw| Message::Pull {
            since: Revision(raw.2)
        }),
        small.prop_map(|raw| Message::Ask {
            workspace: Tag(raw.0),
            want: raw.1,
            nonce: raw.2,
        }),
        small.prop_map(|raw| Message::Grant {
            workspace: Tag(raw.0),
            granted: raw.1,
            retry_after: Millis(raw.2),
            nonce: raw.3,
        }),
        small.prop_map(|raw| Message::LeaseAsk {
            epoch: Revision(raw.2),
            round: raw.3,
            lease: Millis(raw.0.into()),
        }),
        small.prop_map(|raw| Message::LeaseAnswer {
            epoch: Revision(raw.2),
            round: raw.3,
            confirmed: raw.4,
            previous: Revision(raw.0.into()),
        }),
    ]
}

fn any_request() -> impl Strategy<Value = forward::Request> {
    let texts = (text(40), text(10), text(100), text(40), text(2000));
    (texts, any::<(u32, u128, u64, u64)>(), 0..=9u8).prop_map(|(texts, numbers, priority)| {
        forward::Request {
            request_id: texts.0,
            key: Key {
                workspace: Tag(numbers.0),
                uuid: numbers.1,
            },
            priority: Priority(priority),
            deadline: Millis(numbers.2),
            method: texts.1,
            path: texts.2,
            content_type: texts.3,
            body: texts.4,
            content: numbers.3,
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
        proptest::option::of(any::<u64>()),
    );
    (choices, text(40), text(2000), any::<(u32, bool)>()).prop_map(
        |(choices, content_type, body, (attempts, replayed))| forward::Reply {
            outcome: choices.0,
            code: choices.1,
            retry_after: choices.3.map(Millis),
            attempts,
            status: choices.2,
            content_type,
            body,
            replayed,
        },
    )
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
        let payload = request.encode().expect("it is within the bounds");
        assert_eq!(forward::Request::decode(payload), Ok(request));
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
