//! Envelopes: what opens, and what is refused.

#![expect(
    clippy::expect_used,
    reason = "a test's helpers stop at what can't happen"
)]

use bytes::Bytes;
use googletest::prelude::*;
use prost::Message as _;
use strum::IntoEnumIterator;
use toucanturn_core::{
    ids::Tag,
    units::Incarnation, //
};
use toucanturn_wire::{
    Error,
    envelope::{
        self,
        Header,
        Key,
        Label,
        MAC_LEN,
        OVERHEAD, //
    },
    limits::MAX_PAYLOAD,
    proto::Envelope,
    window::{
        Order,
        Senders,
        WIDTH,
        Window, //
    },
};

const ME: Tag = Tag(2);

fn key() -> Key {
    Key::try_from([7; 32].as_slice()).expect("the key is long enough")
}

fn header(sequence: u64) -> Header {
    Header {
        from: Tag(1),
        to: ME,
        incarnation: Incarnation(100),
        to_incarnation: Incarnation(200),
        sequence,
    }
}

fn sealed() -> Envelope {
    let payload = Bytes::from_static(b"payload");
    envelope::seal(&key(), Label::Deliver, header(5), payload)
}

fn open(envelope: Envelope) -> toucanturn_wire::Result<(Header, Bytes)> {
    envelope::open(&key(), Label::Deliver, ME, envelope)
}

#[gtest]
fn verify_an_envelope_opens_to_what_was_sealed() {
    let payload = Bytes::from_static(b"payload");
    expect_that!(open(sealed()), ok(eq(&(header(5), payload))));
}

#[gtest]
fn verify_the_overhead_is_never_more_than_stated() {
    let header = Header {
        from: Tag(u32::MAX),
        to: Tag(u32::MAX),
        incarnation: Incarnation(u64::MAX),
        to_incarnation: Incarnation(u64::MAX),
        sequence: u64::MAX,
    };
    let payload = Bytes::from(vec![0; MAX_PAYLOAD]);
    let sealed = envelope::seal(&key(), Label::Deliver, header, payload);
    expect_that!(sealed.encoded_len(), le(MAX_PAYLOAD + OVERHEAD));
}

// Symptom: a router acts on what no router of the fleet said.
// Sequence: someone alters one bit of an envelope on the way.
// Cause: a field that the MAC does not cover.
#[gtest]
fn verify_no_altered_bit_opens() {
    let raw = sealed().encode_to_vec();
    for bit in 0..raw.len() * 8 {
        let mut raw = raw.clone();
        raw[bit / 8] ^= 1 << (bit % 8);
        let Ok(envelope) = Envelope::decode(Bytes::from(raw)) else {
            continue;
        };
        expect_that!(open(envelope), err(anything()), "bit {bit}");
    }
}

// Symptom: a forger needs to guess only a few bytes.
// Sequence: the envelope comes with a part of the true MAC, or with none.
// Cause: a comparison over the shorter length.
#[gtest]
fn verify_no_part_of_a_mac_opens() {
    for len in 0..MAC_LEN {
        let mut envelope = sealed();
        envelope.mac = envelope.mac.slice(..len);
        expect_that!(open(envelope), err(eq(&Error::BadMac)));
    }
}

// Symptom: a router that is not of the fleet is heard.
// Sequence: it seals with a key of its own.
// Cause: it has no other.
#[gtest]
fn verify_another_key_does_not_open() {
    let other = Key::try_from([8; 32].as_slice()).expect("the key is long enough");
    let opened = envelope::open(&other, Label::Deliver, ME, sealed());
    expect_that!(opened, err(eq(&Error::BadMac)));
    let short = Key::try_from([8; 31].as_slice());
    expect_that!(short, err(pat!(Error::ShortKey { found: eq(&31), .. })));
}

// Symptom: a reply is taken for a request, or a batch for a forwarded call.
// Sequence: an envelope is sent back, or to the other call.
// Cause: a MAC that does not cover the direction.
#[gtest]
fn verify_an_envelope_opens_in_its_own_direction_only() {
    for label in Label::iter().filter(|l| *l != Label::Deliver) {
        let opened = envelope::open(&key(), label, ME, sealed());
        expect_that!(opened, err(eq(&Error::BadMac)), "{label:?}");
    }
}

// Symptom: a router acts on what was meant for another.
// Sequence: an envelope reaches another router, by a stale address or by design.
// Cause: all routers share one key.
#[gtest]
fn verify_an_envelope_for_another_router_is_refused() {
    let opened = envelope::open(&key(), Label::Deliver, Tag(3), sealed());
    expect_that!(opened, err(eq(&Error::WrongReceiver { found: ME })));
    let mut altered = sealed();
    altered.to = 3;
    let opened = envelope::open(&key(), Label::Deliver, Tag(3), altered);
    expect_that!(opened, err(eq(&Error::BadMac)));
}

// Symptom: a caller is told "not run" for a call that ran.
// Sequence: the reply to a call is withheld, and an authentic refusal of an earlier one is given in
// its place; or one to another router or to a former life of the sender.
// Cause: a reply that is not bound to its request.
#[gtest]
fn verify_a_reply_opens_for_its_own_request_only() {
    let key = key();
    let reply_to = |sent: Header| {
        let header = sent.reply(Incarnation(200));
        envelope::seal(&key, Label::DeliverReply, header, Bytes::new())
    };
    let open = |reply| envelope::open_reply(&key, Label::DeliverReply, header(5), reply);
    expect_that!(open(reply_to(header(5))), ok(anything()));
    let wrong = Error::WrongReply {
        expected: 5,
        found: 4,
    };
    expect_that!(open(reply_to(header(4))), err(eq(&wrong)));
    let other = Header {
        to: Tag(3),
        ..header(5)
    };
    expect_that!(open(reply_to(other)), err(anything()));
    let former = Header {
        incarnation: Incarnation(99),
        ..header(5)
    };
    expect_that!(open(reply_to(former)), err(anything()));
}

// Symptom: fields of a later version are misread.
// Sequence: a router of another version sends.
// Cause: two versions run side by side during a roll-out.
#[gtest]
fn verify_another_version_is_refused() {
    let mut envelope = sealed();
    envelope.version += 1;
    expect_that!(open(envelope), err(eq(&Error::Version { found: 2 })));
}

// Symptom: a router hashes or holds without end.
// Sequence: an envelope with a huge payload arrives.
// Cause: its size was checked after the MAC only.
#[gtest]
fn verify_a_huge_payload_is_refused() {
    let payload = Bytes::from(vec![0; MAX_PAYLOAD + 1]);
    let sealed = envelope::seal(&key(), Label::Deliver, header(1), payload);
    let too_large = pat!(Error::TooLarge {
        field: eq(&"payload"),
        ..
    });
    expect_that!(open(sealed), err(too_large));
}

// Symptom: a call is processed twice.
// Sequence: an envelope arrives again: at once, after others, or much later.
// Cause: it was recorded, or a proxy on the way repeated it.
#[gtest]
fn verify_the_window_takes_each_number_once() {
    let mut window = Window::new(Incarnation(1));
    for sequence in [1, 3, 2, 700, 64, 65, 1500, 1499] {
        expect_that!(
            window.accept(sequence, Order::Any),
            ok(anything()),
            "{sequence}"
        );
    }
    for sequence in [700, 1500, 1499] {
        expect_that!(
            window.accept(sequence, Order::Any),
            err(eq(&Error::Replayed { sequence }))
        );
    }
    for sequence in [0, 1, 3, 64, 1500 - WIDTH] {
        expect_that!(
            window.accept(sequence, Order::Any),
            err(pat!(Error::TooOld { .. }))
        );
    }
    expect_that!(window.accept(1500 - WIDTH + 1, Order::Any), ok(anything()));
}

#[gtest]
fn verify_the_window_agrees_with_a_full_memory() {
    // A small generator with a fixed seed (Knuth's MMIX) walks up with steps back and jumps.
    let mut state = 20_261_202_u64;
    let mut random = |below: u64| {
        state = state.wrapping_mul(6_364_136_223_846_793_005);
        state = state.wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) % below
    };
    let mut window = Window::new(Incarnation(1));
    let mut seen = std::collections::HashSet::new();
    let mut top = 0;
    for _ in 0..200_000 {
        let jump = if random(500) == 0 { 5000 } else { 4 };
        let sequence = (top + random(jump)).saturating_sub(random(1400));
        let expected = sequence > top.saturating_sub(WIDTH) && seen.insert(sequence);
        top = top.max(if expected { sequence } else { 0 });
        assert_eq!(
            window.accept(sequence, Order::Any).is_ok(),
            expected,
            "{sequence}"
        );
    }
}

// Symptom: a router acts on a summary that a newer one has replaced.
// Sequence: a connection goes silent with a batch under way; later batches go over a new one; then
// the old connection wakes up and the first batch arrives.
// Cause: a number in the window that has not come before is not yet one that comes in its turn.
#[gtest]
fn verify_a_late_batch_is_refused_and_a_late_call_is_not() {
    let mut window = Window::new(Incarnation(1));
    let steps = [
        (10, Order::Ascending, true),
        (9, Order::Ascending, false),
        (8, Order::Any, true),
        (20, Order::Any, true),
        (11, Order::Ascending, true),
    ];
    for (sequence, order, accepted) in steps {
        let result = window.accept(sequence, order);
        expect_that!(result.is_ok(), eq(accepted), "{sequence}");
    }
}

// Symptom: a router hears again what a peer said before it restarted.
// Sequence: the peer restarts and counts from 1 again; then old envelopes of it arrive.
// Cause: numbers are of one incarnation only.
#[gtest]
fn verify_a_former_incarnation_is_refused() {
    let mut senders = Senders::default();
    let life = |incarnation, sequence| Header {
        incarnation: Incarnation(incarnation),
        ..header(sequence)
    };
    let known = |_| true;
    expect_that!(
        senders.accept(&life(100, 9), Order::Any, known),
        ok(anything())
    );
    expect_that!(
        senders.accept(&life(101, 1), Order::Any, known),
        ok(anything())
    );
    let former = Error::FormerLife {
        found: Incarnation(100),
        expected: Incarnation(101),
    };
    expect_that!(
        senders.accept(&life(100, 10), Order::Any, known),
        err(eq(&former))
    );
    let again = Error::Replayed { sequence: 1 };
    expect_that!(
        senders.accept(&life(101, 1), Order::Any, known),
        err(eq(&again))
    );
}

// Symptom: the memory of senders grows without end, or new routers are never heard.
// Sequence: over weeks, more routers come and go than the memory holds.
// Cause: routers that left the fleet are remembered.
#[gtest]
fn verify_a_full_memory_forgets_only_who_left_the_fleet() {
    let mut senders = Senders::default();
    let from = |tag| Header {
        from: Tag(tag),
        ..header(1)
    };
    let all = u32::try_from(toucanturn_wire::limits::MAX_SENDERS).expect("it is small");
    for tag in 0..all {
        expect_that!(
            senders.accept(&from(tag), Order::Any, |_| true),
            ok(anything())
        );
    }
    let full = senders.accept(&from(all), Order::Any, |_| true);
    expect_that!(full, err(eq(&Error::TooManySenders)));
    expect_that!(
        senders.accept(&from(all), Order::Any, |tag| tag.0 < 10),
        ok(anything())
    );
    expect_that!(senders.len(), eq(11));
    let again = senders.accept(&from(3), Order::Any, |_| true);
    expect_that!(again, err(eq(&Error::Replayed { sequence: 1 })));
}
