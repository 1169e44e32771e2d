//! Idempotency keys that are missing, malformed, old, early or used before.

use googletest::prelude::*;

use crate::{
    answer::{
        expect_denied,
        expect_error, //
    },
    rig::{
        MAIN,
        OTHER,
        Rig,
        new_key, //
    },
};

/// Makes a key that was made `ahead_s` seconds from now.
fn key_at(ahead_s: i64) -> String {
    let now = toucanturn_router::clock::now().wall.0 / 1000;
    let then = now.saturating_add_signed(ahead_s);
    let time = uuid::Timestamp::from_unix(uuid::NoContext, then, 0);
    uuid::Uuid::new_v7(time).to_string()
}

/// Symptom: a payment runs twice. Sequence: its call carries no key, or one that two calls may
/// share, and the caller repeats it. Cause: a call that runs at most once let through without one.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_a_missing_or_malformed_key_is_refused() {
    let rig = Rig::start().await;
    rig.wait_for_keys().await;
    let bearer = format!("Bearer {MAIN}");
    let headers = [("authorization", bearer.as_str())];
    let answer = rig.call("POST", "/orders", &headers, b"{}").await;
    expect_denied(&answer, 400, "key_required", &["idempotency-key", "UUIDv7"]);
    let v4 = "f47ac10b-58cc-4372-a567-0e02b2c3d479";
    let nil = "00000000-0000-0000-0000-000000000000";
    for bad in ["", "order-17", v4, nil, "\u{fc}"] {
        let answer = rig.order(MAIN, bad, "{}").await;
        expect_denied(&answer, 400, "bad_key", &["idempotency-key", "UUIDv7"]);
    }
    rig.expect_untouched_and_serving().await;
}

/// Symptom: a payment runs twice, or a caller gets the answer to another call of its own. Sequence:
/// a request comes with two different keys, of which one part of the way reads the first and
/// another the last. Cause: a header taken to come once.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_two_keys_are_refused() {
    let rig = Rig::start().await;
    rig.wait_for_keys().await;
    let bearer = format!("Bearer {MAIN}");
    let (first, second) = (new_key(), new_key());
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", first.as_str()),
        ("idempotency-key", second.as_str()),
    ];
    let answer = rig.call("POST", "/orders", &headers, b"{}").await;
    expect_denied(&answer, 400, "bad_key", &["idempotency-key", "one"]);
    rig.expect_untouched_and_serving().await;
}

/// Symptom: the answer to one order comes back for another. Sequence: a caller uses one key for
/// both. Its outcome is unknown, not not_run: the key's first call ran.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_a_key_that_comes_again_with_other_content_is_refused() {
    let rig = Rig::start().await;
    rig.wait_for_keys().await;
    let key = new_key();
    let first = rig.order(MAIN, &key, r#"{"boxes": 1}"#).await;
    expect_that!(first.status, eq(200), "{first:?}");
    let second = rig.order(MAIN, &key, r#"{"boxes": 2}"#).await;
    expect_error(
        &second,
        422,
        "key_reused",
        "unknown",
        &["idempotency-key", "other"],
    );
    let again = rig.order(MAIN, &key, r#"{"boxes": 1}"#).await;
    expect_that!(again.body, eq(&first.body));
    expect_that!(again.header("x-replayed"), some(eq("true")));
    expect_that!(rig.calls().await, len(eq(1)));
    let next = rig.order(MAIN, &new_key(), r#"{"boxes": 2}"#).await;
    expect_that!(next.status, eq(200), "{next:?}");
}

/// Symptom: a key is remembered for less than it has to be, or for ever. Sequence: its date is
/// ahead of every clock, or older than what the home remembers.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_a_key_of_the_future_or_of_long_ago_is_refused() {
    let rig = Rig::start().await;
    rig.wait_for_keys().await;
    let early = rig.order(MAIN, &key_at(3600), "{}").await;
    expect_denied(&early, 422, "key_future", &["idempotency-key", "future"]);
    let late = rig.order(MAIN, &key_at(-7200), "{}").await;
    expect_error(
        &late,
        422,
        "key_expired",
        "unknown",
        &["idempotency-key", "old"],
    );
    rig.expect_untouched_and_serving().await;
}

/// Symptom: a workspace's order isn't run, and its caller gets the receipt of another workspace.
/// Sequence: somebody who has seen a key sends it with a bearer key of their own first.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_a_key_cannot_be_spent_by_another_workspace() {
    let rig = Rig::start().await;
    rig.wait_for_keys().await;
    let key = new_key();
    let theirs = rig.order(OTHER, &key, r#"{"boxes": 9}"#).await;
    expect_that!(theirs.status, eq(200), "{theirs:?}");
    let own = rig.order(MAIN, &key, r#"{"boxes": 1}"#).await;
    expect_that!(own.status, eq(200), "{own:?}");
    expect_that!(own.header("x-replayed"), none());
    expect_that!(rig.calls().await, len(eq(2)));
}

/// Symptom: a payment is made twice. Sequence: it ran; its repeat comes with a deadline in the past
/// and is told "not run", and the caller makes it anew under another key. Cause: the chain told the
/// outcome of the request, where the caller asks for that of the key.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_a_refused_repeat_is_not_told_that_its_key_did_not_run() {
    let rig = Rig::start().await;
    rig.wait_for_keys().await;
    let key = new_key();
    let first = rig.order(MAIN, &key, "{}").await;
    expect_that!(first.header("x-outcome"), some(eq("done")), "{first:?}");
    let bearer = format!("Bearer {MAIN}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", key.as_str()),
        ("x-deadline-ms", "0"),
    ];
    let repeat = rig.call("POST", "/orders", &headers, b"{}").await;
    expect_that!(repeat.header("x-outcome"), some(eq("unknown")));
    expect_that!(
        repeat.json()["error"]["outcome"],
        eq(&serde_json::json!("unknown"))
    );
    expect_that!(rig.calls().await.len(), eq(1));
}
