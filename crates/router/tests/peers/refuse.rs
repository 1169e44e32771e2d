//! What a router refuses, sent by hand.

use bytes::Bytes;
use googletest::prelude::*;
use tonic::{
    Code,
    Status,
    transport::Channel, //
};
use toucanturn_core::{
    ids::Tag,
    peer::Message,
    units::{
        Incarnation,
        Revision, //
    },
};
use toucanturn_router::peers::{
    counters::Kind,
    errors::Failure, //
};
use toucanturn_wire::{
    envelope::{
        self,
        Header,
        Key,
        Label, //
    },
    message,
    proto::{
        Envelope,
        peer_client::PeerClient, //
    },
    receipt::{
        Receipt,
        Refusal, //
    },
};

use crate::support::{
    ENTRY,
    HOME,
    KEY,
    Running,
    Setup,
    call,
    delivery,
    identity,
    next,
    options,
    router_key,
    sender, //
};

fn key() -> Key {
    Key::try_from(KEY).expect("the key is long enough")
}

fn header(from: Tag, sequence: u64) -> Header {
    Header {
        from,
        to: HOME,
        incarnation: Incarnation(100),
        to_incarnation: Incarnation(200),
        sequence,
    }
}

fn batch() -> Bytes {
    message::encode(&[Message::Pull { since: Revision(7) }])
}

fn sealed(header: Header) -> Envelope {
    envelope::seal(&key(), Label::Deliver, header, batch())
}

async fn connect(home: &Running) -> PeerClient<Channel> {
    let address = format!("http://{}", home.address);
    PeerClient::connect(address)
        .await
        .expect("the server listens")
}

/// Delivers an envelope, and opens the reply to it.
async fn deliver(
    client: &mut PeerClient<Channel>,
    envelope: Envelope,
) -> Result<(Header, Receipt), Status> {
    let from = Tag(envelope.from);
    let reply = client.deliver(envelope).await?.into_inner();
    let (header, payload) =
        envelope::open(&key(), Label::DeliverReply, from, reply).expect("the reply is authentic");
    let receipt = Receipt::decode(payload).expect("the receipt is well formed");
    Ok((header, receipt))
}

/// Expects that an envelope is refused by a status and reported, and that nothing is delivered.
async fn expect_refused(home: &mut Running, envelope: Envelope, code: Code, reason: &str) {
    let refused = deliver(&mut connect(home).await, envelope).await;
    let status = refused.expect_err("it is refused");
    expect_that!(status.code(), eq(code), "{reason}");
    expect_that!(next(&mut home.rejected).await.1, eq(reason));
    expect_that!(home.deliveries.try_recv(), err(anything()));
    expect_that!(home.counters.rejected(), contains((eq(&reason), eq(&1))));
}

// Symptom: a router acts on what no router of the fleet said to it.
// Sequence: an envelope comes from a process without the fleet's key, without a MAC, from a later
// version, or for a router that had this address before.
// Cause: the port is open to whoever reaches it, and addresses are reused.
#[gtest]
#[tokio::test]
async fn verify_what_is_not_authentic_is_refused_and_reported() {
    let forger = Key::try_from([0; 32].as_slice()).expect("the key is long enough");
    let forged = envelope::seal(&forger, Label::Deliver, header(ENTRY, 1), batch());
    let bare = Envelope {
        mac: Bytes::new(),
        ..sealed(header(ENTRY, 1))
    };
    let later = Envelope {
        version: 2,
        ..sealed(header(ENTRY, 1))
    };
    let stray = sealed(Header {
        to: Tag(9),
        ..header(ENTRY, 1)
    });
    let cases = [
        (forged, Code::Unauthenticated, "bad_mac"),
        (bare, Code::Unauthenticated, "bad_mac"),
        (later, Code::FailedPrecondition, "version"),
        (stray, Code::FailedPrecondition, "wrong_receiver"),
    ];
    for (envelope, code, reason) in cases {
        let mut home = Setup::default().run().await;
        expect_refused(&mut home, envelope, code, reason).await;
    }
}

// Symptom: a batch is heard twice.
// Sequence: an authentic envelope arrives once more, on another connection.
// Cause: it was recorded on the way.
#[gtest]
#[tokio::test]
async fn verify_a_replayed_message_is_refused_and_reported() {
    let mut home = Setup::default().run().await;
    let envelope = sealed(header(ENTRY, 1));
    let first = deliver(&mut connect(&home).await, envelope.clone()).await;
    expect_that!(first.expect("it is fresh").1, eq(&Receipt::Accepted));
    delivery(&mut home).await;
    expect_refused(&mut home, envelope, Code::FailedPrecondition, "too_old").await;
}

// Symptom: a call that must run once runs twice.
// Sequence: an authentic call arrives once more, on another connection.
// Cause: it was recorded on the way.
#[gtest]
#[tokio::test]
async fn verify_a_replayed_call_is_refused_and_reported() {
    let mut home = Setup::default().run().await;
    let payload = call(b"box").encode();
    let envelope = envelope::seal(&key(), Label::Forward, header(ENTRY, 1), payload);
    let first = connect(&home).await.forward(envelope.clone()).await;
    expect_that!(first, ok(anything()));
    let again = connect(&home).await.forward(envelope).await;
    expect_that!(
        again.expect_err("it is refused").code(),
        eq(Code::FailedPrecondition)
    );
    expect_that!(next(&mut home.rejected).await, eq((ENTRY, "replayed")));
    expect_that!(home.counters.received.of(Kind::Forward).messages(), eq(1));
}

// Symptom: a payment that ran before the home restarted runs again.
// Sequence: its envelope is recorded; the home restarts, and with it its memory of numbers goes;
// the envelope is sent again.
// Cause: a fresh receiver remembers nothing, so the envelope must name the life it is for.
#[gtest]
#[tokio::test]
async fn verify_what_was_said_to_a_former_life_is_refused_and_reported() {
    let home = Setup {
        identity: identity(HOME, 201),
        ..Setup::default()
    };
    let mut home = home.run().await;
    let mut client = connect(&home).await;
    let (reply, receipt) = deliver(&mut client, sealed(header(ENTRY, 1)))
        .await
        .expect("the refusal is authentic");
    expect_that!(receipt, eq(&Receipt::Refused(Refusal::WrongIncarnation)));
    expect_that!(reply, eq(header(ENTRY, 1).reply(Incarnation(201))));
    expect_that!(next(&mut home.rejected).await.1, eq("wrong_incarnation"));
    expect_that!(home.deliveries.try_recv(), err(anything()));
}

// Symptom: a router without a known incarnation is open to replays.
// Sequence: an envelope names incarnation zero, and so does the receiver by mistake.
// Cause: zero stands for "not known".
#[gtest]
#[tokio::test]
async fn verify_a_message_that_names_no_incarnation_is_never_processed() {
    for incarnation in [0, 200] {
        let home = Setup {
            identity: identity(HOME, incarnation),
            ..Setup::default()
        };
        let mut home = home.run().await;
        let unnamed = sealed(Header {
            to_incarnation: Incarnation(0),
            ..header(ENTRY, 1)
        });
        let reply = deliver(&mut connect(&home).await, unnamed).await;
        let receipt = reply.expect("the refusal is authentic").1;
        expect_that!(receipt, eq(&Receipt::Refused(Refusal::WrongIncarnation)));
        expect_that!(home.deliveries.try_recv(), err(anything()));
    }
}

// Symptom: a router that left the fleet is still heard, or a new one is refused without a trace.
// Sequence: sender and receiver hold different revisions of the fleet.
// Cause: revisions reach the routers seconds apart.
#[gtest]
#[tokio::test]
async fn verify_an_unknown_sender_is_refused_and_reported_at_both_ends() {
    let mut home = Setup::default().run().await;
    let stranger = Tag(5);
    let mut sender = sender(identity(stranger, 100), options(), home.address);
    let message = Message::Pull { since: Revision(1) };
    sender.client.send(router_key(HOME), message);
    expect_that!(next(&mut sender.failures).await, eq(router_key(HOME)));
    expect_that!(
        next(&mut home.rejected).await,
        eq((stranger, "unknown_sender"))
    );
    expect_that!(home.deliveries.try_recv(), err(anything()));
    let answer = sender.client.forward(router_key(HOME), &call(b"box")).await;
    let error = answer.expect_err("it is refused");
    let refusal = Refusal::UnknownSender;
    expect_that!(error.sent, eq(false));
    expect_that!(
        error.failure,
        pat!(Failure::Refused {
            refusal: eq(&refusal)
        })
    );
}

// Symptom: one bad message takes a router down or is half heard.
// Sequence: an authentic payload is no batch.
// Cause: a faulty peer of a later version.
#[gtest]
#[tokio::test]
async fn verify_a_malformed_payload_is_refused_and_reported() {
    let mut home = Setup::default().run().await;
    let payload = Bytes::from_static(&[0x0a, 0xff]);
    let envelope = envelope::seal(&key(), Label::Deliver, header(ENTRY, 1), payload);
    let reply = deliver(&mut connect(&home).await, envelope).await;
    let receipt = reply.expect("the refusal is authentic").1;
    expect_that!(receipt, eq(&Receipt::Refused(Refusal::Malformed)));
    expect_that!(next(&mut home.rejected).await, eq((ENTRY, "malformed")));
}

// Symptom: a router's memory grows with one message.
// Sequence: whoever reaches the port sends an envelope over the bound.
// Cause: it is decoded before the MAC can be checked, so the decoder itself needs a bound.
#[gtest]
#[tokio::test]
async fn verify_a_huge_message_is_refused_and_the_server_lives() {
    let mut home = Setup::default().run().await;
    let payload = Bytes::from(vec![0; toucanturn_wire::limits::MAX_ENVELOPE + 1]);
    let huge = envelope::seal(&key(), Label::Deliver, header(ENTRY, 1), payload);
    let status = deliver(&mut connect(&home).await, huge).await;
    expect_that!(
        status.expect_err("it is refused").code(),
        eq(Code::OutOfRange)
    );
    let fresh = deliver(&mut connect(&home).await, sealed(header(ENTRY, 2))).await;
    expect_that!(fresh.expect("it is fresh").1, eq(&Receipt::Accepted));
    delivery(&mut home).await;
}
