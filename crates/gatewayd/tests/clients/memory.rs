//! Crowds that would fill a router's memory or use up its descriptors.

use googletest::gtest;

use crate::{
    crowd::{
        self,
        Script, //
    },
    router::{
        Bounds,
        FEW_DESCRIPTORS,
        MAX_BODY,
        MAX_HEAD,
        Router,
        SMALL,
        run, //
    },
};

const CROWD: usize = 1200;
const CROWD_BEYOND_DESCRIPTORS: usize = 800;
/// Bytes of a body that is sent in chunks of one.
const BYTE_CHUNKS: usize = 60_000;

/// Lets a crowd send to the callers' listener, and checks the router while the crowd's connections stay open.
fn verify(name: &str, bounds: Bounds, count: usize, script: impl Fn(usize) -> Script) {
    run(async {
        let mut router = Router::start(bounds).await;
        let address = router.callers;
        router.withstand(name, address, count, script).await;
    });
}

/// Guards against read buffers of connections that grow by themselves and are in no account.
#[gtest]
fn verify_bodies_in_chunks_of_a_byte_stay_within_memory() {
    verify("chunks of a byte", SMALL, CROWD, |n| {
        Script::in_chunks(n, 1, BYTE_CHUNKS)
    });
}

/// Guards against memory beside the account of bodies: what each connection takes, and what the kernel holds.
#[gtest]
fn verify_bodies_that_stop_a_byte_short_stay_within_memory() {
    verify("a byte short", SMALL, CROWD, |n| {
        Script::of_length(n, MAX_BODY, MAX_BODY - 1)
    });
}

#[gtest]
fn verify_large_chunks_without_a_last_one_stay_within_memory() {
    verify("large chunks", SMALL, CROWD, |n| {
        Script::in_chunks(n, 64 << 10, (MAX_BODY >> 16) - 1)
    });
}

#[gtest]
fn verify_bodies_over_the_limit_stay_within_memory() {
    verify("announced over the limit", SMALL, CROWD, |n| {
        Script::of_length(n, 900_000_000, MAX_BODY)
    });
    verify("sent over the limit", SMALL, CROWD, |n| {
        Script::in_chunks(n, 64 << 10, (MAX_BODY >> 16) * 2)
    });
}

/// Guards against bodies that are too short to be counted, on many connections.
#[gtest]
fn verify_short_bodies_that_stop_a_byte_short_stay_within_memory() {
    verify("8 KiB less a byte", SMALL, CROWD, |n| {
        Script::of_length(n, 8 << 10, (8 << 10) - 1)
    });
}

#[gtest]
fn verify_heads_that_do_not_end_stay_within_memory() {
    verify("heads", SMALL, CROWD, |n| Script {
        head: crowd::head(n, &format!("X-Filler: {}", "x".repeat(MAX_HEAD - 400)))
            .trim_end()
            .to_owned(),
        ..Script::default()
    });
}

/// Guards against answers that wait in the router and in the kernel for callers that don't read them.
#[gtest]
fn verify_unread_answers_stay_within_memory() {
    verify("unread answers", SMALL, CROWD, |n| Script {
        block: crowd::head(n, "Content-Length: 0\r\n"),
        repeats: 300,
        ..Script::default()
    });
}

/// Guards against a router without a descriptor for its other connections.
#[gtest]
fn verify_more_connections_than_descriptors_leave_some_for_others() {
    let silent = |_| Script::default();
    verify(
        "silent connections",
        FEW_DESCRIPTORS,
        CROWD_BEYOND_DESCRIPTORS,
        silent,
    );
    verify(
        "chunks that have begun",
        FEW_DESCRIPTORS,
        CROWD_BEYOND_DESCRIPTORS,
        |n| Script {
            head: crowd::head(n, "Transfer-Encoding: chunked\r\n"),
            block: "400000\r\n".to_owned() + &"x".repeat(8000),
            repeats: 1,
            ..Script::default()
        },
    );
}
