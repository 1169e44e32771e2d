//! Bodies that are wrong, too long, too slow or break off.

use std::time::Duration;

use googletest::prelude::*;
use serde_json::json;
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::sleep, //
};

use crate::{
    answer::{
        self,
        expect_denied,
        expect_denied_keyed, //
    },
    rig::{
        self,
        MAIN,
        MAX_BODY,
        MAX_HEADER,
        Rig,
        SLOW, //
    },
};

const CHAT: &str = "/v1/chat/completions";
/// Time after which a head that stops must be given up.
const HEAD_LIMIT: Duration = Duration::from_secs(40);

const BEARER: (&str, &str) = ("authorization", "Bearer key-of-main");

/// Symptom: a caller with a broken client gets a 502 from an engine, or a message from which it
/// can't tell what is wrong. Cause: a body that is passed on unread, or an error without the name
/// of its field.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_a_malformed_chat_is_refused_with_the_name_of_the_field() {
    let rig = Rig::start().await;
    let deep = "[".repeat(MAX_BODY - 2);
    let cases: &[(&str, &[&str])] = &[
        ("", &["body", "EOF"]),
        ("vitamin", &["body", "line 1"]),
        ("{\"model\": \"assistant\"", &["body", "EOF"]),
        ("[]", &["body"]),
        ("null", &["body"]),
        (&deep, &["body"]),
        ("{\"model\": \"assistant\", \"messages\": []} x", &["body"]),
        (r#"{"messages": []}"#, &["body", "`model`"]),
        (r#"{"model": "assistant"}"#, &["body", "`messages`"]),
        (
            r#"{"model": 5, "messages": []}"#,
            &["body: model", "integer `5`"],
        ),
        (
            r#"{"model": null, "messages": []}"#,
            &["body: model", "null"],
        ),
        (
            r#"{"model": "assistant", "messages": "hi"}"#,
            &["body: messages"],
        ),
        (
            r#"{"model": "assistant", "messages": [], "stream": "yes"}"#,
            &["body: stream"],
        ),
        (
            r#"{"model": "a", "model": "b", "messages": []}"#,
            &["body", "duplicate", "model"],
        ),
    ];
    for (body, words) in cases {
        let answer = rig.call("POST", CHAT, &[BEARER], body).await;
        expect_denied(&answer, 400, "bad_request", words);
    }
    let bytes = rig
        .call("POST", CHAT, &[BEARER], b"{\"model\": \"\xff\"}")
        .await;
    expect_denied(&bytes, 400, "bad_request", &["body"]);
    rig.expect_untouched_and_serving().await;
}

/// Symptom: a usual client's chat gets 400. Cause: the chat-completions interface allows null where
/// a field may be absent.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_a_null_stream_field_is_as_none() {
    let rig = Rig::start().await;
    let mut body = rig::chat_body("assistant");
    body["stream"] = json!(null);
    let answer = rig.chat(MAIN, &[], &body).await;
    // The stand-in is stricter than engines are and takes no null: what counts is that it was asked.
    expect_that!(answer.status, not(eq(400)), "{answer:?}");
    expect_that!(answer.header("x-attempts"), some(eq("1")));
}

/// Symptom: one caller fills the memory of a router. Cause: a body that is read before its length
/// is looked at, whether the length is declared or not.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_an_oversize_body_is_refused() {
    let rig = Rig::start().await;
    let words = ["body", "4096 bytes"];
    let long = vec![b' '; MAX_BODY + 1];
    let answer = rig.call("POST", CHAT, &[BEARER], &long).await;
    expect_denied(&answer, 413, "too_large", &words);
    let mut chunked = format!(
        "POST /orders HTTP/1.1\r\nhost: edge\r\nconnection: close\r\n\
         authorization: Bearer {MAIN}\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    for _ in 0..=MAX_BODY / 1024 {
        chunked.push_str(&format!("400\r\n{}\r\n", " ".repeat(1024)));
    }
    let answer = answer::exchange(rig.callers, chunked.as_bytes()).await;
    expect_denied(&answer, 413, "too_large", &words);
    rig.expect_untouched_and_serving().await;
}

/// Symptom: as above, by headers. The library refuses these before the chain sees the request, so
/// there is a status and no JSON.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_an_oversize_header_is_refused() {
    let rig = Rig::start().await;
    let long = "x".repeat(2 * MAX_HEADER);
    let answer = rig
        .call("POST", CHAT, &[BEARER, ("x-long", &long)], b"{}")
        .await;
    expect_that!(answer.status, eq(431));
    let path = format!("/{long}");
    let answer = rig.call("GET", &path, &[BEARER], b"").await;
    expect_that!(answer.status, any![eq(414), eq(431)]);
    let many: Vec<_> = (0..200).map(|n| format!("x-{n}")).collect();
    let many: Vec<_> = many.iter().map(|n| (n.as_str(), "1")).collect();
    let answer = rig.call("POST", CHAT, &many, b"{}").await;
    expect_that!(answer.status, eq(431));
    rig.expect_untouched_and_serving().await;
}

/// Symptom: a router that was told the least `max_header_bytes` ends with a panic at its start.
/// Cause: the library takes no read buffer under 8,192 bytes.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_the_least_header_limit_serves() {
    let rig = Rig::start_with(json!({"limits": {"max_header_bytes": 4096}})).await;
    let long = "x".repeat(4096);
    let headers = [BEARER, ("x-long", long.as_str())];
    let answer = rig.call("POST", CHAT, &headers, b"{}").await;
    expect_that!(answer.status, eq(431));
    rig.expect_untouched_and_serving().await;
}

fn head(length: usize) -> String {
    format!(
        "POST {CHAT} HTTP/1.1\r\nhost: edge\r\nconnection: close\r\n\
         authorization: Bearer {MAIN}\r\ncontent-length: {length}\r\n\r\n"
    )
}

/// Symptom: a hundred silent callers hold a hundred requests open. Cause: a body that is waited
/// for without end.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_a_body_that_stops_is_given_up() {
    let rig = Rig::start().await;
    let mut stream = TcpStream::connect(rig.callers).await.expect("a connection");
    stream.write_all(head(100).as_bytes()).await.expect("sent");
    stream.write_all(b"{\"model\"").await.expect("sent");
    let answer = answer::read(&mut stream).await;
    expect_denied(&answer, 408, "slow_sender", &["body", "300 ms"]);
    rig.expect_untouched_and_serving().await;
}

/// Symptom: a caller on a slow line, whose bytes come steadily, gets 408. Sequence: the whole body
/// takes longer than `slow_sender_timeout_ms`, no pause does. Cause: the setting bounds the time
/// without a byte, and the filter bounded the whole body by it.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_a_slow_body_that_goes_on_is_served() {
    let rig = Rig::start().await;
    let body = rig::chat_body("assistant").to_string();
    let mut stream = TcpStream::connect(rig.callers).await.expect("a connection");
    let sent = stream.write_all(head(body.len()).as_bytes()).await;
    sent.expect("sent");
    let piece = body.len().div_ceil(6);
    for piece in body.as_bytes().chunks(piece) {
        sleep(SLOW / 3).await;
        stream.write_all(piece).await.expect("sent");
    }
    let answer = answer::read(&mut stream).await;
    expect_that!(answer.status, eq(200), "{answer:?}");
}

/// Symptom: a caller that sends a byte now and then holds a request open for days. Cause: only the
/// pauses are bounded. The request's deadline bounds the whole.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_a_trickling_body_ends_with_its_deadline() {
    let rig = Rig::start().await;
    let head = head(1000).replace("host: edge", "host: edge\r\nx-deadline-ms: 500");
    let stream = TcpStream::connect(rig.callers).await.expect("a connection");
    let (mut from, mut to) = stream.into_split();
    to.write_all(head.as_bytes()).await.expect("sent");
    let sending = tokio::spawn(async move {
        while to.write_all(b" ").await.is_ok() {
            sleep(SLOW / 3).await;
        }
    });
    let mut raw = Vec::new();
    let reading = tokio::io::AsyncReadExt::read_to_end(&mut from, &mut raw);
    let ended = tokio::time::timeout(SLOW * 10, reading).await;
    sending.abort();
    expect_that!(ended.is_ok(), eq(true), "the connection ends");
    expect_that!(
        String::from_utf8_lossy(&raw),
        contains_substring("HTTP/1.1 408")
    );
    rig.expect_untouched_and_serving().await;
}

/// Symptom: connections fill up with heads that never end. Cause: a head that is waited for without
/// end. The library's limit is what bounds it, not `slow_sender_timeout_ms`: the library counts the
/// rest of a kept connection as part of its next head, and these may rest longer than a body may.
/// The clock of the timers is paused: it jumps to the next timer whenever nothing else is to be
/// done.
#[gtest]
#[tokio::test]
async fn verify_a_head_that_stops_is_given_up() {
    let rig = Rig::start().await;
    let mut stream = TcpStream::connect(rig.callers).await.expect("a connection");
    let sent = stream.write_all(b"POST /orders HTTP/1.1\r\nhost: ed").await;
    sent.expect("sent");
    tokio::time::pause();
    let mut raw = Vec::new();
    let reading = tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut raw);
    let ended = tokio::time::timeout(HEAD_LIMIT, reading).await;
    tokio::time::resume();
    expect_that!(ended.is_ok(), eq(true), "the connection ends");
    rig.expect_untouched_and_serving().await;
}

/// Symptom: half of an order is run. Sequence: the caller declares a length, sends less and closes
/// its side. Cause: a body that is taken for whole when its connection ends.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_a_body_that_breaks_off_is_not_run() {
    let rig = Rig::start().await;
    rig.wait_for_keys().await;
    let mut stream = TcpStream::connect(rig.callers).await.expect("a connection");
    let key = rig::new_key();
    let head = head(100).replace(CHAT, "/orders");
    let head = head.replace(
        "host: edge",
        &format!("host: edge\r\nidempotency-key: {key}"),
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    stream.write_all(b"{\"boxes\": 1").await.expect("sent");
    stream.shutdown().await.expect("closed");
    let answer = answer::read(&mut stream).await;
    // A caller whose connection broke may get no answer at all.
    if answer.status != 0 {
        expect_denied_keyed(&answer, 400, "bad_request", &["body broke off"]);
    }
    let bad = format!(
        "POST /orders HTTP/1.1\r\nhost: edge\r\nconnection: close\r\n\
         authorization: Bearer {MAIN}\r\nidempotency-key: {key}\r\n\
         transfer-encoding: chunked\r\n\r\nzz\r\n{{}}\r\n0\r\n\r\n"
    );
    let answer = answer::exchange(rig.callers, bad.as_bytes()).await;
    expect_denied_keyed(&answer, 400, "bad_request", &["body broke off"]);
    rig.expect_untouched_and_serving().await;
}

/// Symptom: a caller's next request on a connection that it keeps is lost now and then. Sequence:
/// the connection rests for longer than `slow_sender_timeout_ms` between two requests. Cause: the
/// time of a head that is counted from the answer before.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_a_kept_connection_may_rest() {
    let rig = Rig::start().await;
    let mut stream = TcpStream::connect(rig.callers).await.expect("a connection");
    let body = rig::chat_body("assistant").to_string();
    let head = head(body.len());
    let kept = head.replace("connection: close", "connection: keep-alive");
    let first = format!("{kept}{body}");
    stream.write_all(first.as_bytes()).await.expect("sent");
    sleep(SLOW * 4).await;
    let second = format!("{head}{body}");
    let _ = stream.write_all(second.as_bytes()).await;
    let mut raw = Vec::new();
    let _ = tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut raw).await;
    let raw = String::from_utf8_lossy(&raw).into_owned();
    expect_that!(raw.matches("HTTP/1.1 200").count(), eq(2), "{raw}");
}
