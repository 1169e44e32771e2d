//! Headers with values that are wrong, past or out of range.

use googletest::prelude::*;

use crate::{
    answer::{
        expect_denied,
        expect_retry_after, //
    },
    rig::{
        MAIN,
        PRIORITY,
        Rig,
        chat_body, //
    },
};

/// Symptom: a caller waits for an answer that it has said it no longer needs, or a wrong number is
/// taken for none and the answer comes after the caller gave up.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_a_deadline_that_is_past_or_no_number_is_refused() {
    let rig = Rig::start().await;
    let body = chat_body("assistant");
    for past in ["0", "-1", "-99999999999999999999"] {
        let answer = rig.chat(MAIN, &[("x-deadline-ms", past)], &body).await;
        expect_denied(&answer, 400, "deadline", &["x-deadline-ms", past, "past"]);
    }
    for bad in ["soon", "", "1.5", "1e3", "1000 ms", "\u{fc}"] {
        let answer = rig.chat(MAIN, &[("x-deadline-ms", bad)], &body).await;
        expect_denied(
            &answer,
            400,
            "bad_request",
            &["x-deadline-ms", "milliseconds"],
        );
    }
    rig.expect_untouched_and_serving().await;
}

/// Symptom: a caller that asks for the longest deadline there is gets none. Cause: a sum that
/// overflows, or a number that fits no integer taken for no number.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_a_deadline_above_the_cap_is_the_cap() {
    let rig = Rig::start().await;
    let body = chat_body("assistant");
    for long in ["86400001", "9223372036854775807", "99999999999999999999999"] {
        let answer = rig.chat(MAIN, &[("x-deadline-ms", long)], &body).await;
        expect_that!(answer.status, eq(200), "{long}: {answer:?}");
    }
}

/// Symptom: a log line or a header that a caller wrote itself. Cause: an id taken as it comes.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_a_bad_request_id_is_refused_and_not_echoed() {
    let rig = Rig::start().await;
    let body = chat_body("assistant");
    let long = "x".repeat(65);
    for bad in ["", "a b", "a\tb", "a/b", "\u{fc}", "{}", long.as_str()] {
        let answer = rig.chat(MAIN, &[("x-request-id", bad)], &body).await;
        expect_denied(&answer, 400, "bad_request", &["x-request-id", "1 to 64"]);
        expect_that!(answer.header("x-request-id"), not(some(eq(bad))));
    }
    rig.expect_untouched_and_serving().await;
    let good = "x".repeat(64);
    let answer = rig.chat(MAIN, &[("x-request-id", &good)], &body).await;
    expect_that!(answer.header("x-request-id"), some(eq(good.as_str())));
}

/// Symptom: a caller means to lower its priority, mistypes it, and goes before those who did not.
/// Cause: a bad value taken for none.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_a_bad_priority_is_refused() {
    let rig = Rig::start().await;
    let body = chat_body("assistant");
    for bad in ["low", "", "-1", "10", "256", "1.0", "\u{fc}"] {
        let answer = rig.chat(MAIN, &[("x-priority", bad)], &body).await;
        expect_denied(&answer, 400, "bad_request", &["x-priority", "0 to 9"]);
    }
    rig.expect_untouched_and_serving().await;
}

/// Symptom: one workspace's callers push the other's aside. Cause: a priority taken as asked for.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_priority_can_only_be_lowered() {
    let rig = Rig::start().await;
    let body = chat_body("assistant");
    for asked in ["0", "4", "5", "6", "9"] {
        let answer = rig.chat(MAIN, &[("x-priority", asked)], &body).await;
        expect_that!(answer.status, eq(200), "{answer:?}");
    }
    let got: Vec<u8> = rig.chats().await.iter().map(|r| r.priority).collect();
    expect_that!(got, eq(&vec![0, 4, PRIORITY, PRIORITY, PRIORITY]));
}

/// Symptom: a caller that is told to come back comes at once, again and again, or never. Cause: a
/// refusal without `Retry-After`, or a header and a body that differ.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_refusals_for_now_say_when_to_come_back() {
    let limits = serde_json::json!({"limits": {"max_open_requests": 1}});
    let rig = Rig::start_with(limits).await;
    rig.service_fault(serde_json::json!({"mode": "slow", "count": 1, "delay_ms": 1000}))
        .await;
    let bearer = format!("Bearer {MAIN}");
    let headers = [("authorization", bearer.as_str())];
    let slow = rig.call("GET", "/orders/1", &headers, "");
    let soon = async {
        tokio::time::sleep(std::time::Duration::from_millis(300)).await;
        rig.chat(MAIN, &[], &chat_body("assistant")).await
    };
    let (plain, refused) = tokio::join!(slow, soon);
    expect_that!(plain.status, eq(200), "{plain:?}");
    expect_denied(&refused, 503, "overloaded", &["open"]);
    expect_retry_after(&refused);
}

/// Symptom: a caller that lists the models can't find its request in the log. Cause: an answer
/// that the chain gives itself, without the headers that every answer carries.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_every_answer_carries_its_id_outcome_and_attempts() {
    let rig = Rig::start().await;
    let bearer = format!("Bearer {MAIN}");
    let answer = rig
        .call("GET", "/v1/models", &[("authorization", &bearer)], b"")
        .await;
    expect_that!(answer.status, eq(200));
    expect_that!(answer.header("x-request-id"), some(not(eq(""))));
    expect_that!(answer.header("x-outcome"), some(eq("done")));
    expect_that!(answer.header("x-attempts"), some(eq("0")));
    let ids = answer.json()["data"].to_string();
    expect_that!(ids, contains_substring("assistant"));
    expect_that!(ids, not(contains_substring("drafts")), "another's model");
}
