//! One HTTP/1.1 exchange, byte by byte, and what an error must look like.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use googletest::prelude::*;
use indexmap::IndexMap;
use serde_json::Value;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    time::timeout, //
};

/// Time after which an answer counts as lost.
const REST: Duration = Duration::from_secs(10);

/// `Answer` is what came back on a connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: IndexMap<String, String>,
    pub(crate) body: Vec<u8>,
}

impl Answer {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Writes a request's head and body; the connection closes after its answer.
pub(crate) fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut raw = format!("{method} {path} HTTP/1.1\r\nhost: edge\r\nconnection: close\r\n");
    for (name, value) in headers {
        raw.push_str(&format!("{name}: {value}\r\n"));
    }
    let length = body.len();
    raw.push_str(&format!("content-length: {length}\r\n\r\n"));
    let mut raw = raw.into_bytes();
    raw.extend_from_slice(body);
    raw
}

/// Sends bytes and reads until the other end closes.
pub(crate) async fn exchange(to: SocketAddr, raw: &[u8]) -> Answer {
    let mut stream = TcpStream::connect(to).await.expect("a connection");
    // The router may answer and close before it has read everything.
    let _ = stream.write_all(raw).await;
    read(&mut stream).await
}

/// Reads an answer until the other end closes.
pub(crate) async fn read(stream: &mut TcpStream) -> Answer {
    let mut raw = Vec::new();
    let mut chunk = [0; 4096];
    while let Ok(length @ 1..) = timeout(REST, stream.read(&mut chunk))
        .await
        .expect("the connection ends")
    {
        raw.extend_from_slice(&chunk[..length]);
    }
    parse(&raw)
}

fn parse(raw: &[u8]) -> Answer {
    let Some(end) = raw.windows(4).position(|w| w == b"\r\n\r\n") else {
        return Answer::default();
    };
    let head = String::from_utf8_lossy(&raw[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let status = lines.next().and_then(|l| l.split(' ').nth(1)?.parse().ok());
    let header = |line: &str| {
        let (name, value) = line.split_once(':')?;
        Some((name.to_lowercase(), value.trim().to_owned()))
    };
    Answer {
        status: status.unwrap_or_default(),
        headers: lines.filter_map(header).collect(),
        body: raw[end + 4..].to_vec(),
    }
}

/// Expects an error in its one shape: a stable code, a message that names each of `words`, and the
/// promise that nothing was run.
pub(crate) fn expect_denied(answer: &Answer, status: u16, code: &str, words: &[&str]) {
    expect_error(answer, status, code, "not_run", words);
    expect_that!(answer.header("x-attempts"), some(eq("0")));
}

/// Expects the same of a request that carries a key. It was not run, but of its key nothing is
/// promised: an earlier request with it may have run.
pub(crate) fn expect_denied_keyed(answer: &Answer, status: u16, code: &str, words: &[&str]) {
    expect_error(answer, status, code, "unknown", words);
    expect_that!(answer.header("x-attempts"), some(eq("0")));
}

/// Expects an error in its one shape.
pub(crate) fn expect_error(
    answer: &Answer,
    status: u16,
    code: &str,
    outcome: &str,
    words: &[&str],
) {
    let shown = String::from_utf8_lossy(&answer.body).into_owned();
    expect_that!(answer.status, eq(status), "{shown}");
    let kind = answer.header("content-type");
    expect_that!(kind, some(eq("application/json")), "{shown}");
    expect_that!(answer.header("x-outcome"), some(eq(outcome)), "{shown}");
    let json = answer.json();
    let error = &json["error"];
    expect_that!(error["code"], eq(&Value::from(code)), "{shown}");
    expect_that!(error["outcome"], eq(&Value::from(outcome)), "{shown}");
    let id = answer.header("x-request-id").unwrap_or_default();
    expect_that!(id, not(eq("")), "{shown}");
    expect_that!(error["request_id"], eq(&Value::from(id)), "{shown}");
    let message = error["message"].as_str().unwrap_or_default();
    for word in words {
        expect_that!(message, contains_substring(*word), "{shown}");
    }
    let mut fields: Vec<_> = json["error"]
        .as_object()
        .into_iter()
        .flat_map(|o| o.keys().cloned())
        .collect();
    fields.sort();
    let all = ["code", "message", "outcome", "request_id", "retry_after_ms"];
    expect_that!(fields, eq(&all.map(str::to_owned).to_vec()), "{shown}");
    expect_retry_after(answer);
}

/// Expects that header and body say the same, and that 429 and 503 say it at all.
pub(crate) fn expect_retry_after(answer: &Answer) {
    let header = answer.header("retry-after").map(str::parse::<u64>);
    let body = answer.json()["error"]["retry_after_ms"].as_u64();
    let secs = body.map(|ms| Ok(ms.div_ceil(1000)));
    expect_that!(header, eq(&secs), "whole seconds, rounded up");
    expect_that!(body.is_none_or(|ms| ms > 0), eq(true), "{body:?}");
    if [429, 503].contains(&answer.status) {
        expect_that!(body, some(anything()), "{answer:?}");
    }
}
