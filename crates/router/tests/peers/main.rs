//! The peer link between two routers on loopback.

use std::sync::Arc;

use googletest::prelude::*;
use toucanturn_core::{
    peer::Message,
    units::{
        Incarnation,
        Revision, //
    },
};
use toucanturn_router::peers::counters::Kind;

use support::{
    ENTRY,
    HOME,
    Setup,
    call,
    delivery,
    identity,
    options,
    router_key,
    sender, //
};

mod support;

fn pull(since: u64) -> Message {
    Message::Pull {
        since: Revision(since),
    }
}

#[gtest]
#[tokio::test]
async fn verify_messages_arrive_with_their_authentic_sender() {
    let mut home = Setup::default().run().await;
    let entry = sender(identity(ENTRY, 100), options(), home.address);
    entry.client.send(router_key(HOME), pull(7));
    let got = delivery(&mut home).await;
    expect_that!(got.from, eq(router_key(ENTRY)));
    expect_that!(got.incarnation, eq(Incarnation(100)));
    expect_that!(got.messages, elements_are![eq(&pull(7))]);
}

#[gtest]
#[tokio::test]
async fn verify_a_forwarded_call_brings_its_answer() {
    let home = Setup::default().run().await;
    let entry = sender(identity(ENTRY, 100), options(), home.address);
    let router = router_key(HOME);
    let answer = entry.client.forward(router, &call(b"box")).await;
    expect_that!(
        answer,
        ok(field!(toucanturn_wire::forward::Reply.body, eq("box")))
    );
    expect_that!(home.counters.received.of(Kind::Forward).messages(), eq(1));
}
