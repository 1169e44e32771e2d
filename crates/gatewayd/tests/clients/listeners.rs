//! Crowds at each listener, that stay or come back.

use googletest::gtest;

use crate::{
    crowd::{
        self,
        Script, //
    },
    router::{
        FEW_DESCRIPTORS,
        Router,
        run, //
    },
};

const CROWD: usize = 800;
/// Times that each connection of a crowd is opened again.
const RETURNS: usize = 50;

/// Guards against a crowd that holds all places, and takes them again when they are freed.
#[gtest]
fn verify_a_crowd_that_comes_back_keeps_nobody_out() {
    run(async {
        let mut router = Router::start(FEW_DESCRIPTORS).await;
        crowd::come_back(router.callers, CROWD, RETURNS, |n| Script {
            head: crowd::head(n, "Content-Length: 10\r\n"),
            ..Script::default()
        });
        router.check("a crowd that comes back").await;
    });
}

/// Guards against descriptors that are used up at a listener that is not for callers.
#[gtest]
fn verify_crowds_at_other_listeners_leave_descriptors_for_callers() {
    run(async {
        let mut router = Router::start(FEW_DESCRIPTORS).await;
        for (what, address) in [("checks", router.ready), ("peers", router.peers)] {
            let silent = |_| Script::default();
            router.withstand(what, address, CROWD, silent).await;
        }
    });
}

/// Guards against bodies to peers that are awaited for ever.
#[gtest]
fn verify_bodies_that_do_not_end_at_the_listener_for_peers_stay_within_memory() {
    run(async {
        let mut router = Router::start(FEW_DESCRIPTORS).await;
        for path in ["/registry", "/streams", "/read/x"] {
            let address = router.peers;
            let endless = |_| Script {
                head: format!(
                    "POST {path} HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                ),
                block: "1\r\nx\r\n".repeat(1000),
                repeats: 20,
                ..Script::default()
            };
            router.withstand(path, address, CROWD, endless).await;
        }
    });
}
