//! Calls on their way to their home: each is sent at most once, and `sent` never lies.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering::SeqCst, //
        },
    },
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use futures_util::future::join_all;
use googletest::prelude::*;
use tokio::sync::Notify;
use toucanturn_core::{
    peer::Message,
    units::{
        Millis,
        Revision, //
    },
};
use toucanturn_router::peers::{
    Options,
    counters::Kind, //
};
use toucanturn_standin::link::hold;
use toucanturn_wire::{
    forward::Request,
    limits::MAX_BODY, //
};

use crate::{
    proxy::Proxy,
    support::{
        Answerer,
        ENTRY,
        HOME,
        PATIENCE,
        Setup,
        call,
        delivery,
        identity,
        options,
        reply,
        restart,
        router_key,
        sender,
        stop,
        until, //
    },
};

/// `Gauge` counts the calls that a home began and ended, and holds them until released.
#[derive(Default)]
struct Gauge {
    begun: AtomicU64,
    ended: AtomicU64,
    /// Time left of the last call, in milliseconds.
    deadline: AtomicU64,
    release: Notify,
}

impl Gauge {
    /// Makes a home that answers when released.
    fn held(self: &Arc<Self>) -> Answerer {
        let gauge = Arc::clone(self);
        Arc::new(move |call| {
            let gauge = Arc::clone(&gauge);
            Box::pin(async move {
                gauge.deadline.store(call.request.deadline.0, SeqCst);
                gauge.begun.fetch_add(1, SeqCst);
                gauge.release.notified().await;
                gauge.ended.fetch_add(1, SeqCst);
                reply(call.request.body)
            })
        })
    }
}

fn short(body: &'static [u8]) -> Request {
    Request {
        deadline: Millis(1_000),
        ..call(body)
    }
}

// Symptom: a caller gets another's answer.
// Sequence: many calls are under way on one connection, and their answers come in another order.
// Cause: answers matched by order and not by request.
#[gtest]
#[tokio::test]
async fn verify_each_call_gets_its_own_answer() {
    let answer: Answerer = Arc::new(|call| {
        Box::pin(async move {
            let late = u64::from(call.request.body[0]) * 7 % 20;
            tokio::time::sleep(Duration::from_millis(late)).await;
            reply(call.request.body)
        })
    });
    let home = Setup {
        answer,
        ..Setup::default()
    };
    let home = home.run().await;
    let entry = sender(identity(ENTRY, 100), options(), home.address);
    let calls = (0..100u8).map(|number| {
        let client = Arc::clone(&entry.client);
        async move {
            let request = Request {
                body: Bytes::from(vec![number; 1000]),
                ..call(b"")
            };
            let answer = client.forward(router_key(HOME), &request).await;
            answer.is_ok_and(|a| a.body == request.body)
        }
    });
    expect_that!(join_all(calls).await, each(eq(&true)));
}

// Symptom: a caller is told "unknown" for a call that went nowhere.
// Sequence: the home can't be reached.
// Cause: no connection, so nothing can have left.
#[gtest]
#[tokio::test]
async fn verify_a_call_to_an_unreachable_home_is_not_sent() {
    // Bound and never listening, so that no other test gets the port.
    let (address, _held) = hold().expect("a port is free");
    let entry = sender(identity(ENTRY, 100), options(), address);
    let error = entry.client.forward(router_key(HOME), &call(b"box")).await;
    expect_that!(error.expect_err("nothing listens").sent, eq(false));
    let error = entry.client.forward(router_key(ENTRY), &call(b"box")).await;
    expect_that!(error.expect_err("it is no peer").sent, eq(false));
}

// Symptom: the home refuses a call only after megabytes have gone to it.
// Sequence: a caller sends a body over the bound.
// Cause: the bound is checked by the receiver only.
#[gtest]
#[tokio::test]
async fn verify_a_call_over_a_bound_is_not_sent() {
    let home = Setup::default().run().await;
    let entry = sender(identity(ENTRY, 100), options(), home.address);
    let request = Request {
        body: Bytes::from(vec![0; MAX_BODY + 1]),
        ..call(b"")
    };
    let error = entry.client.forward(router_key(HOME), &request).await;
    expect_that!(error.expect_err("it is too large").sent, eq(false));
    let largest = Request {
        body: Bytes::from(vec![0; MAX_BODY]),
        ..call(b"")
    };
    let answer = entry.client.forward(router_key(HOME), &largest).await;
    expect_that!(answer.is_ok_and(|a| a.body == largest.body), eq(true));
}

// Symptom: a call that ran is said not to have run, or a begun payment is cut off half way.
// Sequence: the deadline passes while the home runs the call; the entry router gives up.
// Cause: the library drops the handler of a stream that its other end has closed.
#[gtest]
#[tokio::test]
async fn verify_a_call_past_its_deadline_was_sent_and_runs_to_its_end() {
    let gauge = Arc::new(Gauge::default());
    let home = Setup {
        answer: gauge.held(),
        ..Setup::default()
    };
    let home = home.run().await;
    let entry = sender(identity(ENTRY, 100), options(), home.address);
    let error = entry.client.forward(router_key(HOME), &short(b"box")).await;
    expect_that!(error.expect_err("it is late").sent, eq(true));
    expect_that!(gauge.begun.load(SeqCst), eq(1));
    gauge.release.notify_one();
    until(|| gauge.ended.load(SeqCst) == 1).await;
    // A slow home is not a silent one: its connection stays.
    gauge.release.notify_one();
    let next = entry.client.forward(router_key(HOME), &call(b"b")).await;
    expect_that!(next, ok(anything()));
    expect_that!(entry.counters.connects.load(SeqCst), eq(1));
}

// Symptom: the home runs a call after its caller has given up.
// Sequence: a call waits at the entry router before it leaves; the home counts its time from the
// arrival.
// Cause: the time left is not counted down while the call waits.
#[gtest]
#[tokio::test]
async fn verify_the_home_hears_the_time_that_is_left() {
    let gauge = Arc::new(Gauge::default());
    let home = Setup {
        answer: gauge.held(),
        ..Setup::default()
    };
    let home = home.run().await;
    let one = Options {
        peer_forwards: 1,
        ..options()
    };
    let entry = sender(identity(ENTRY, 100), one, home.address);
    let client = Arc::clone(&entry.client);
    let first = tokio::spawn(async move { client.forward(router_key(HOME), &call(b"a")).await });
    until(|| gauge.begun.load(SeqCst) == 1).await;
    let start = Instant::now();
    let client = Arc::clone(&entry.client);
    let second = tokio::spawn(async move { client.forward(router_key(HOME), &call(b"b")).await });
    until(|| start.elapsed() > Duration::from_millis(50)).await;
    gauge.release.notify_one();
    expect_that!(first.await.expect("it runs"), ok(anything()));
    gauge.release.notify_one();
    expect_that!(second.await.expect("it runs"), ok(anything()));
    let left = gauge.deadline.load(SeqCst);
    expect_that!(left, le(call(b"b").deadline.0 - 50));
}

// Symptom: a call whose caller was told "not run" runs after all.
// Sequence: all streams of the connection are taken; the call waits for one until its deadline;
// then a stream comes free.
// Cause: the library sends what waits unless it is withdrawn in time; an error doesn't tell.
#[gtest]
#[tokio::test]
async fn verify_a_call_that_waited_for_a_stream_is_not_sent_and_never_runs() {
    let gauge = Arc::new(Gauge::default());
    let home = Setup {
        answer: gauge.held(),
        options: Options {
            streams: 1,
            ..options()
        },
        ..Setup::default()
    };
    let home = home.run().await;
    let entry = sender(identity(ENTRY, 100), options(), home.address);
    let client = Arc::clone(&entry.client);
    let first = tokio::spawn(async move { client.forward(router_key(HOME), &call(b"a")).await });
    until(|| gauge.begun.load(SeqCst) == 1).await;
    let error = entry.client.forward(router_key(HOME), &short(b"b")).await;
    expect_that!(error.expect_err("no stream is free").sent, eq(false));
    gauge.release.notify_one();
    expect_that!(first.await.expect("it runs"), ok(anything()));
    // What follows on the same connection would come after the withdrawn call.
    gauge.release.notify_one();
    let last = entry.client.forward(router_key(HOME), &call(b"c")).await;
    expect_that!(last, ok(anything()));
    expect_that!(gauge.begun.load(SeqCst), eq(2));
}

// Symptom: a peer that is well is reported as failed while many calls are forwarded to it.
// Sequence: calls take all streams of the connection, and a control message waits for one until
// its own deadline.
// Cause: both share one connection. Calls over their bound wait, unsent, and leave room.
#[gtest]
#[tokio::test]
async fn verify_control_messages_pass_while_calls_wait() {
    let gauge = Arc::new(Gauge::default());
    let home = Setup {
        answer: gauge.held(),
        ..Setup::default()
    };
    let mut home = home.run().await;
    let one = Options {
        peer_forwards: 1,
        ..options()
    };
    let entry = sender(identity(ENTRY, 100), one, home.address);
    let client = Arc::clone(&entry.client);
    let first = tokio::spawn(async move { client.forward(router_key(HOME), &call(b"a")).await });
    until(|| gauge.begun.load(SeqCst) == 1).await;
    let error = entry.client.forward(router_key(HOME), &short(b"b")).await;
    expect_that!(error.expect_err("the bound is reached").sent, eq(false));
    let since = Revision(1);
    entry.client.send(router_key(HOME), Message::Pull { since });
    expect_that!(delivery(&mut home).await.messages, len(eq(1)));
    gauge.release.notify_one();
    expect_that!(first.await.expect("it runs"), ok(anything()));
    expect_that!(gauge.begun.load(SeqCst), eq(1));
}

// Symptom: calls pile up at a home without a bound.
// Sequence: more calls arrive than it may have in progress.
// Cause: no bound, or one at which calls wait unseen past their deadlines.
#[gtest]
#[tokio::test]
async fn verify_a_home_at_its_limit_refuses_unprocessed() {
    let gauge = Arc::new(Gauge::default());
    let home = Setup {
        answer: gauge.held(),
        options: Options {
            forwards: 1,
            ..options()
        },
        ..Setup::default()
    };
    let home = home.run().await;
    let entry = sender(identity(ENTRY, 100), options(), home.address);
    let client = Arc::clone(&entry.client);
    let first = tokio::spawn(async move { client.forward(router_key(HOME), &call(b"a")).await });
    until(|| gauge.begun.load(SeqCst) == 1).await;
    let error = entry.client.forward(router_key(HOME), &call(b"b")).await;
    expect_that!(error.expect_err("the home is busy").sent, eq(false));
    gauge.release.notify_one();
    expect_that!(first.await.expect("it runs"), ok(anything()));
    expect_that!(gauge.begun.load(SeqCst), eq(1));
}

// Symptom: an order runs twice.
// Sequence: the connection breaks while the home runs the call; new connections work.
// Cause: a library that sends again by itself, or a failure taken for "not sent".
#[gtest]
#[tokio::test]
async fn verify_a_call_whose_connection_breaks_was_sent_and_is_not_repeated() {
    let gauge = Arc::new(Gauge::default());
    let home = Setup {
        answer: gauge.held(),
        ..Setup::default()
    };
    let home = home.run().await;
    let proxy = Proxy::run(home.address).await;
    let entry = sender(identity(ENTRY, 100), options(), proxy.address);
    let client = Arc::clone(&entry.client);
    let broken = tokio::spawn(async move { client.forward(router_key(HOME), &call(b"a")).await });
    until(|| gauge.begun.load(SeqCst) == 1).await;
    proxy.cut();
    let error = broken.await.expect("it runs");
    expect_that!(error.expect_err("the connection broke").sent, eq(true));
    // The next call goes over a new connection, after whatever might have been sent again.
    gauge.release.notify_one();
    until(|| gauge.ended.load(SeqCst) == 1).await;
    gauge.release.notify_one();
    let next = entry.client.forward(router_key(HOME), &call(b"b")).await;
    expect_that!(next, ok(anything()));
    expect_that!(gauge.begun.load(SeqCst), eq(2));
    expect_that!(home.counters.rejected(), eq(&vec![]));
}

// Symptom: a caller waits to its deadline, and is told "unknown", though the home was well.
// Sequence: the connection goes silent while it is idle; then a call comes.
// Cause: the call itself was used to find that out. A probe finds it before a byte leaves.
#[gtest]
#[tokio::test]
async fn verify_a_silent_connection_is_found_before_a_call_leaves() {
    let home = Setup::default().run().await;
    let proxy = Proxy::run(home.address).await;
    let options = Options {
        deliver_timeout: Duration::from_millis(500),
        probe_after: Duration::ZERO,
        ..options()
    };
    let entry = sender(identity(ENTRY, 100), options, proxy.address);
    let first = entry.client.forward(router_key(HOME), &call(b"a")).await;
    expect_that!(first, ok(anything()));
    proxy.silence();
    let second = entry.client.forward(router_key(HOME), &call(b"b")).await;
    expect_that!(second, ok(anything()));
    expect_that!(proxy.accepted(), eq(2));
}

// Symptom: a caller waits to its deadline for an answer that can't come.
// Sequence: the connection goes silent while the home runs the call.
// Cause: nothing is sent meanwhile that would show it; HTTP/2 pings are.
#[gtest]
#[tokio::test]
async fn verify_pings_end_a_call_on_a_silent_connection() {
    let gauge = Arc::new(Gauge::default());
    let home = Setup {
        answer: gauge.held(),
        ..Setup::default()
    };
    let home = home.run().await;
    let proxy = Proxy::run(home.address).await;
    let pinging = Options {
        ping_interval: Duration::from_millis(200),
        ping_timeout: Duration::from_millis(500),
        ..options()
    };
    let entry = sender(identity(ENTRY, 100), pinging, proxy.address);
    let client = Arc::clone(&entry.client);
    let request = Request {
        deadline: Millis(10 * 30_000),
        ..call(b"a")
    };
    let held = tokio::spawn(async move { client.forward(router_key(HOME), &request).await });
    until(|| gauge.begun.load(SeqCst) == 1).await;
    proxy.silence();
    let start = Instant::now();
    let error = held.await.expect("it runs").expect_err("no answer comes");
    expect_that!(error.sent, eq(true));
    expect_that!(start.elapsed(), lt(PATIENCE));
    // The other end gives the connection up too, and the call runs to its end there.
    gauge.release.notify_one();
    until(|| gauge.ended.load(SeqCst) == 1).await;
}

// Symptom: a call is refused, or runs at a life that it was not meant for.
// Sequence: the home restarts; the entry router's connection still names the former life.
// Cause: the library connects anew by itself. The probe learns the new life before a byte leaves.
#[gtest]
#[tokio::test]
async fn verify_a_call_reaches_a_restarted_home_once() {
    let mut home = Setup::default().run().await;
    let address = home.address;
    let quick = Options {
        probe_after: Duration::ZERO,
        ..options()
    };
    let entry = sender(identity(ENTRY, 100), quick, address);
    let first = entry.client.forward(router_key(HOME), &call(b"a")).await;
    expect_that!(first, ok(anything()));
    restart(&mut home, identity(HOME, 201)).await;
    let second = entry.client.forward(router_key(HOME), &call(b"b")).await;
    expect_that!(second, ok(anything()));
    expect_that!(home.counters.received.of(Kind::Forward).messages(), eq(1));
}

// Symptom: a graceful shutdown cuts off a call in progress.
// Sequence: the home is told to stop while it runs a forwarded call.
// Cause: a server that closes its connections at once.
#[gtest]
#[tokio::test]
async fn verify_a_shutdown_lets_calls_end() {
    let gauge = Arc::new(Gauge::default());
    let home = Setup {
        answer: gauge.held(),
        ..Setup::default()
    };
    let mut home = home.run().await;
    let entry = sender(identity(ENTRY, 100), options(), home.address);
    let client = Arc::clone(&entry.client);
    let held = tokio::spawn(async move { client.forward(router_key(HOME), &call(b"a")).await });
    until(|| gauge.begun.load(SeqCst) == 1).await;
    stop(&mut home).await;
    gauge.release.notify_one();
    expect_that!(held.await.expect("it runs"), ok(anything()));
}
