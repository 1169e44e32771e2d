//! Crowds while the router starts, changes its settings or stops, and requests inside the limits in calm.

use googletest::{
    expect_that,
    gtest,
    prelude::eq, //
};

use crate::{
    crowd::{
        self,
        Script, //
    },
    router::{
        MAX_BODY,
        ORDINARY_KEY,
        Router,
        SMALL,
        run, //
    },
};

const CROWD: usize = 800;
/// Memory that a change of the settings takes away.
const LOWERED_MB: u64 = 64;

fn byte_short(number: usize) -> Script {
    Script::of_length(number, MAX_BODY, MAX_BODY - 1)
}

/// Guards against bounds that hold only once a configuration is known.
#[gtest]
fn verify_a_crowd_before_the_first_configuration_stays_within_memory() {
    run(async {
        let mut router = Router::start_unready(SMALL).await;
        let address = router.callers;
        let open = router
            .sample_during(crowd::send(address, CROWD, byte_short))
            .await;
        router.publish().await;
        router.check("before a configuration").await;
        drop(open);
    });
}

/// Guards against a lower bound that doesn't count for connections that are open.
#[gtest]
fn verify_a_lower_bound_holds_for_open_connections() {
    run(async {
        let mut router = Router::start(SMALL).await;
        let heads = |n| Script {
            head: crowd::head(n, "Content-Length: 8000\r\n"),
            end: "x".repeat(7999),
            ..Script::default()
        };
        let open = crowd::send(router.callers, CROWD, heads).await;
        router.set_memory(LOWERED_MB);
        router.check("after the change").await;
        let more = crowd::send(router.callers, CROWD, byte_short);
        let more = router.sample_during(more).await;
        router.check("under the lower bound").await;
        drop((open, more));
    });
}

/// Guards against a stop that waits for bodies that don't end.
#[gtest]
fn verify_a_crowd_does_not_hold_up_a_stop() {
    run(async {
        let mut router = Router::start(SMALL).await;
        let open = crowd::send(router.callers, CROWD, byte_short).await;
        router.signal("TERM");
        router.wait_for_exit().await;
        drop(open);
    });
}

/// Guards against bounds that refuse a request inside the limits where nothing else is going on.
#[gtest]
fn verify_single_requests_inside_the_limits_are_served_in_calm() {
    run(async {
        let router = Router::start(SMALL).await;
        let chunked = "Transfer-Encoding: chunked\r\n";
        let chunk = format!("10000\r\n{}\r\n", "x".repeat(0x1_0000));
        let whole = format!("Content-Length: {MAX_BODY}\r\n");
        let cases = [
            ("whole", whole.as_str(), "x".repeat(MAX_BODY)),
            (
                "large chunks",
                chunked,
                chunk.repeat(MAX_BODY >> 16) + "0\r\n\r\n",
            ),
            (
                "chunks of a byte",
                chunked,
                "1\r\nx\r\n".repeat(100_000) + "0\r\n\r\n",
            ),
            (
                "one chunk",
                chunked,
                format!("{MAX_BODY:x}\r\n{}\r\n0\r\n\r\n", "x".repeat(MAX_BODY)),
            ),
        ];
        for (number, (name, fields, body)) in cases.into_iter().enumerate() {
            let head = crowd::head_with(number, ORDINARY_KEY, fields);
            let answer = router.send(&(head + &body)).await;
            expect_that!(answer.status, eq(200), "{name}");
        }
    });
}
