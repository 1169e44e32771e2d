//! Control messages.

use std::{
    sync::atomic::Ordering::Relaxed,
    time::Duration, //
};

use googletest::prelude::*;
use toucanturn_core::{
    ids::Tag,
    peer::{
        Load,
        Message,
        Summary, //
    },
    units::{
        Incarnation,
        Revision, //
    },
};
use toucanturn_router::peers::{
    Options,
    counters::Kind, //
};
use toucanturn_standin::link::hold;
use toucanturn_wire::envelope::EXCHANGE;

use crate::{
    proxy::Proxy,
    support::{
        ENTRY,
        HOME,
        Setup,
        delivery,
        home_at,
        identity,
        next,
        options,
        restart,
        router_key,
        sender, //
    },
};

fn pull(since: u64) -> Message {
    Message::Pull {
        since: Revision(since),
    }
}

fn summary(revision: u64, rows: u32) -> Message {
    let load = |endpoint| Load {
        endpoint: Tag(endpoint),
        in_flight: 3,
    };
    Message::Summary(Summary {
        revision: Revision(revision),
        epoch: Revision(2),
        loads: (0..rows).map(load).collect(),
        ..Summary::default()
    })
}

#[gtest]
#[tokio::test]
async fn verify_messages_arrive_in_order_with_their_authentic_sender() {
    let mut home = Setup::default().run().await;
    let entry = sender(identity(ENTRY, 100), options(), home.address);
    for round in 0..2 {
        let sent: Vec<_> = (0..50).map(|n| pull(50 * round + n)).collect();
        for message in &sent {
            entry.client.send(router_key(HOME), message.clone());
        }
        let got = delivery(&mut home).await;
        expect_that!(got.from, eq(router_key(ENTRY)));
        expect_that!(got.incarnation, eq(Incarnation(100)));
        expect_that!(got.messages, eq(&sent));
    }
    expect_that!(entry.counters.sent.of(Kind::Pull).messages(), eq(100));
    expect_that!(home.counters.received.of(Kind::Pull).messages(), eq(100));
    expect_that!(
        home.counters.received.of(Kind::Pull).bytes(),
        eq(entry.counters.sent.of(Kind::Pull).bytes())
    );
}

#[gtest]
#[tokio::test]
async fn verify_waiting_messages_go_together_with_the_newest_summary() {
    let mut home = Setup::default().run().await;
    let entry = sender(identity(ENTRY, 100), options(), home.address);
    // Nothing leaves before this test awaits: its runtime has one thread.
    let messages = [summary(1, 0), pull(1), summary(2, 0)];
    for message in messages {
        entry.client.send(router_key(HOME), message);
    }
    let got = delivery(&mut home).await.messages;
    expect_that!(got, elements_are![eq(&pull(1)), eq(&summary(2, 0))]);
    expect_that!(entry.counters.replaced.load(Relaxed), eq(1));
}

// Symptom: a router's memory grows while a peer is slow or gone.
// Sequence: messages are made faster than they leave.
// Cause: a queue without a bound. At the bound the oldest goes.
#[gtest]
#[tokio::test]
async fn verify_a_full_queue_drops_the_oldest() {
    let mut home = Setup::default().run().await;
    let options = Options {
        queue: 3,
        ..options()
    };
    let entry = sender(identity(ENTRY, 100), options, home.address);
    for since in 0..5 {
        entry.client.send(router_key(HOME), pull(since));
    }
    let got = delivery(&mut home).await.messages;
    expect_that!(got, eq(&vec![pull(2), pull(3), pull(4)]));
    expect_that!(entry.counters.dropped.load(Relaxed), eq(2));
}

// Symptom: the node waits for answers of a peer that is gone.
// Sequence: the peer's VM is replaced; nothing listens at its address.
// Cause: a failed connection that nobody hears of.
#[gtest]
#[tokio::test]
async fn verify_an_unreachable_peer_is_reported() {
    // Bound and never listening, so that no other test gets the port.
    let (address, _held) = hold().expect("a port is free");
    let mut entry = sender(identity(ENTRY, 100), options(), address);
    entry.client.send(router_key(HOME), pull(1));
    expect_that!(next(&mut entry.failures).await, eq(router_key(HOME)));
    expect_that!(entry.counters.lost.load(Relaxed), eq(1));
    expect_that!(entry.counters.failures(), eq(&vec![("connect", 1)]));
}

// Symptom: messages to a peer are lost for minutes though it could be reached.
// Sequence: something between the two loses track of their connection; no end hears of it.
// Cause: a connection is only known to be dead by the progress it doesn't make.
#[gtest]
#[tokio::test]
async fn verify_a_silent_connection_is_reported_and_replaced() {
    let mut home = Setup::default().run().await;
    let proxy = Proxy::run(home.address).await;
    let options = Options {
        deliver_timeout: Duration::from_millis(500),
        ..options()
    };
    let mut entry = sender(identity(ENTRY, 100), options, proxy.address);
    entry.client.send(router_key(HOME), pull(1));
    delivery(&mut home).await;
    proxy.silence();
    entry.client.send(router_key(HOME), pull(2));
    expect_that!(next(&mut entry.failures).await, eq(router_key(HOME)));
    entry.client.send(router_key(HOME), pull(3));
    expect_that!(delivery(&mut home).await.messages, eq(&vec![pull(3)]));
    expect_that!(proxy.accepted(), eq(2));
}

// Symptom: a peer that restarted hears nothing, or its first messages are lost.
// Sequence: the peer ends; a new life of it listens at the same address; a message follows.
// Cause: the connection names the former life, and the new one refuses that.
#[gtest]
#[tokio::test]
async fn verify_a_restarted_peer_is_heard_again() {
    let mut home = Setup::default().run().await;
    let address = home.address;
    let entry = sender(identity(ENTRY, 100), options(), address);
    entry.client.send(router_key(HOME), pull(1));
    delivery(&mut home).await;
    restart(&mut home, identity(HOME, 201)).await;
    entry.client.send(router_key(HOME), pull(2));
    expect_that!(delivery(&mut home).await.messages, eq(&vec![pull(2)]));
    expect_that!(entry.counters.lost.load(Relaxed), eq(0));
}

// Symptom: messages go to whoever listens at a peer's old address.
// Sequence: a peer's VM is replaced by one with another address; the configuration says so.
// Cause: a connection that outlives the address it was made for.
#[gtest]
#[tokio::test]
async fn verify_a_link_follows_its_peers_address() {
    let mut old = Setup::default().run().await;
    let entry = sender(identity(ENTRY, 100), options(), old.address);
    entry.client.send(router_key(HOME), pull(1));
    delivery(&mut old).await;
    let mut new = Setup {
        identity: identity(HOME, 201),
        ..Setup::default()
    }
    .run()
    .await;
    entry.client.update([home_at(new.address)]);
    entry.client.send(router_key(HOME), pull(2));
    expect_that!(delivery(&mut new).await.messages, eq(&vec![pull(2)]));
    expect_that!(old.deliveries.try_recv(), err(anything()));
}

// Symptom: a peer that left the fleet and came back hears nothing.
// Sequence: the configuration drops a router and lists it again; both processes run on.
// Cause: a link that counts from 1 again is refused as a replay.
#[gtest]
#[tokio::test]
async fn verify_a_peer_that_returns_to_the_fleet_is_heard() {
    let mut home = Setup::default().run().await;
    let entry = sender(identity(ENTRY, 100), options(), home.address);
    for since in 0..3 {
        entry.client.send(router_key(HOME), pull(since));
        expect_that!(delivery(&mut home).await.messages, eq(&vec![pull(since)]));
        entry.client.update([]);
        entry.client.send(router_key(HOME), pull(99));
        entry.client.update([home_at(home.address)]);
    }
    expect_that!(home.counters.rejected(), eq(&vec![]));
}

// Symptom: a router that can't keep up is told more and more.
// Sequence: its driver stops taking batches.
// Cause: a channel without a bound, or a receipt for what was dropped.
#[gtest]
#[tokio::test]
async fn verify_a_busy_peer_refuses_and_is_reported() {
    let home = Setup {
        inbox: 1,
        ..Setup::default()
    };
    let mut home = home.run().await;
    let mut entry = sender(identity(ENTRY, 100), options(), home.address);
    entry.client.send(router_key(HOME), pull(1));
    while home.counters.received.of(Kind::Pull).messages() < 1 {
        tokio::task::yield_now().await;
    }
    entry.client.send(router_key(HOME), pull(2));
    expect_that!(next(&mut entry.failures).await, eq(router_key(HOME)));
    expect_that!(delivery(&mut home).await.messages, eq(&vec![pull(1)]));
    expect_that!(home.deliveries.try_recv(), err(anything()));
}

// Symptom: a router runs out of file descriptors, and callers are refused.
// Sequence: more connections are made to the peer port than the fleet needs.
// Cause: a connection is accepted before its other end is known.
#[gtest]
#[tokio::test]
async fn verify_connections_over_the_bound_wait() {
    let one = Options {
        connections: 1,
        ..options()
    };
    let home = Setup {
        options: one,
        ..Setup::default()
    };
    let mut home = home.run().await;
    let first = sender(identity(ENTRY, 100), options(), home.address);
    first.client.send(router_key(HOME), pull(1));
    delivery(&mut home).await;
    let hasty = Options {
        connect_timeout: Duration::from_millis(300),
        ..options()
    };
    let mut second = sender(identity(ENTRY, 101), hasty, home.address);
    second.client.send(router_key(HOME), pull(2));
    expect_that!(next(&mut second.failures).await, eq(router_key(HOME)));
    drop(first);
    while home.deliveries.try_recv().is_err() {
        second.client.send(router_key(HOME), pull(3));
        tokio::task::yield_now().await;
    }
}

// The bytes that control traffic costs are counted from envelopes; this holds the rest to what the
// design note says of HTTP/2.
#[gtest]
#[tokio::test]
async fn verify_a_summary_costs_no_more_than_stated() {
    const ROUNDS: u64 = 100;
    let mut home = Setup::default().run().await;
    let proxy = Proxy::run(home.address).await;
    let entry = sender(identity(ENTRY, 1_796_236_800_000), options(), proxy.address);
    for rows in [0, 10, 40, 100] {
        entry.client.send(router_key(HOME), summary(1, rows));
        delivery(&mut home).await;
        let (passed, counted) = (proxy.bytes(), traffic(&entry));
        for round in 0..ROUNDS {
            entry.client.send(router_key(HOME), summary(round, rows));
            delivery(&mut home).await;
        }
        let passed = (proxy.bytes() - passed) / ROUNDS;
        let counted = (traffic(&entry) - counted) / ROUNDS;
        let alone = toucanturn_wire::size(&summary(ROUNDS, rows)) as u64;
        println!("{rows} rows: {alone} bytes, {counted} with envelopes, {passed} over TCP");
        expect_that!(passed - alone, le(EXCHANGE as u64));
    }
}

fn traffic(entry: &crate::support::Sender) -> u64 {
    entry.counters.sent.bytes() + entry.counters.received.bytes()
}
