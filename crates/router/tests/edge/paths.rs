//! Second spellings of paths, and wrong methods.

use googletest::prelude::*;

use crate::{
    answer::{
        Answer,
        expect_denied_keyed, //
    },
    rig::{
        MAIN,
        Rig,
        new_key, //
    },
};

async fn call(rig: &Rig, method: &str, path: &str) -> Answer {
    let bearer = format!("Bearer {MAIN}");
    let key = new_key();
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", key.as_str()),
    ];
    rig.call(method, path, &headers, b"{}").await
}

/// Symptom: an order runs again at each repeat. Sequence: a caller writes its path in another way,
/// which the rules for calls that run once don't know and the service does. Cause: two spellings of
/// one path.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_second_spellings_of_a_path_are_refused() {
    let rig = Rig::start().await;
    rig.wait_for_keys().await;
    let odd = [
        "/%6frders",
        "/orders%2f1",
        "/orders/%00",
        "/orders/%ff",
        "//orders",
        "/orders//",
        "/orders//1",
        "/./orders",
        "/orders/./1",
        "/orders/.",
        "/../orders",
        "/x/../orders",
        "/orders/..",
        "/orders;a=1",
        "/orders\\1",
        "/v1//chat/completions",
        "/v1/chat/./completions",
        "/v1/chat%2fcompletions",
        "//",
    ];
    for path in odd {
        let answer = call(&rig, "POST", path).await;
        expect_denied_keyed(&answer, 400, "bad_request", &["path"]);
    }
    // A service that takes `post` for `POST` runs it likewise.
    for method in ["post", "Post"] {
        let answer = call(&rig, method, "/orders").await;
        expect_denied_keyed(&answer, 400, "bad_request", &["method", method]);
    }
    rig.expect_untouched_and_serving().await;
}

/// Symptom: a caller learns from the answer what other workspaces have, or reaches it.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_unknown_paths_are_refused() {
    let rig = Rig::start().await;
    let unknown = [
        "/",
        "/nothing",
        "/ordersx",
        "/Orders",
        "/receipts",
        "/receipts/1",
        "/status",
        "/drain",
        "/v1/chat/completions/",
        "/v1/models/assistant",
        "*",
    ];
    for path in unknown {
        let method = if path == "*" { "OPTIONS" } else { "POST" };
        let answer = call(&rig, method, path).await;
        expect_denied_keyed(&answer, 404, "not_found", &["path", "workspace"]);
    }
    rig.expect_untouched_and_serving().await;
}

/// Symptom: a client library takes a wrong method for a missing path.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_a_wrong_method_is_refused_and_told_the_right_one() {
    let rig = Rig::start().await;
    let cases = [
        ("GET", "/v1/chat/completions", "POST"),
        ("PUT", "/v1/chat/completions", "POST"),
        ("DELETE", "/v1/chat/completions", "POST"),
        ("BREW", "/v1/chat/completions", "POST"),
        ("POST", "/v1/models", "GET"),
        ("DELETE", "/v1/models", "GET"),
    ];
    for (method, path, right) in cases {
        let answer = call(&rig, method, path).await;
        expect_denied_keyed(&answer, 405, "bad_request", &["method", method, right]);
        expect_that!(answer.header("allow"), some(eq(right)), "{method} {path}");
    }
    rig.expect_untouched_and_serving().await;
}
