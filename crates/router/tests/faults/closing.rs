//! An engine whose answers have neither a length nor chunks, so that they end with their connection.

use std::net::SocketAddr;

use googletest::prelude::*;
use serde_json::json;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
};
use toucanturn_standin::engine;
use uuid::Uuid;

use crate::{
    caller::{
        Kind,
        Word, //
    },
    cluster::{
        Cluster,
        Options, //
    },
};

/// Tokens of the chats.
const TOKENS: usize = 8;

/// Starts an engine that sends this part of each whole answer and then closes the connection.
async fn start_closing_engine(part: fn(&str) -> &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, part));
        }
    });
    address
}

async fn answer(mut stream: TcpStream, part: fn(&str) -> &str) -> std::io::Result<()> {
    let mut request = Vec::new();
    let mut piece = [0; 4096];
    let head_end = loop {
        let read = stream.read(&mut piece).await?;
        request.extend_from_slice(&piece[..read]);
        let end = request.windows(4).position(|four| four == b"\r\n\r\n");
        if let Some(end) = end {
            break end + 4;
        }
        if read == 0 {
            return Ok(());
        }
    };
    let head = String::from_utf8_lossy(&request[..head_end]).into_owned();
    let field = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(": "));
        lines.find(|(n, _)| n.eq_ignore_ascii_case(name))
    };
    let field = |name| field(name).map_or("", |(_, value)| value);
    if head.starts_with("GET /v1/load") {
        let load = json!({"incarnation": 9, "age_ms": 0, "in_flight": 0, "queued": 0,
            "leaving": false})
        .to_string();
        let kind = "content-type: application/json\r\nconnection: close";
        let length = load.len();
        let reply = format!("HTTP/1.1 200 OK\r\n{kind}\r\ncontent-length: {length}\r\n\r\n{load}");
        return stream.write_all(reply.as_bytes()).await;
    }
    let length: usize = field("content-length").parse().unwrap_or_default();
    while request.len() < head_end + length {
        let read = stream.read(&mut piece).await?;
        request.extend_from_slice(&piece[..read]);
    }
    let id = field("x-request-id");
    let text = engine::answer(id, &format!("please change box {id}"), TOKENS).concat();
    let body = json!({"choices": [{"message": {"role": "assistant", "content": text}}]});
    let body = body.to_string();
    let head = format!("x-request-id: {id}\r\nx-incarnation: 9\r\nconnection: close");
    let reply = format!("HTTP/1.1 200 OK\r\n{head}\r\ncontent-type: application/json\r\n\r\n");
    stream.write_all(reply.as_bytes()).await?;
    stream.write_all(part(&body).as_bytes()).await
}

async fn send_to_closing_engine(part: fn(&str) -> &str) -> Word {
    let options = Options {
        engines: 1,
        ..Options::default()
    };
    let cluster = Cluster::start(options).await;
    let engine = start_closing_engine(part).await;
    cluster.engines[0].link.point(engine);
    cluster.engines[0].link.reset();
    let callers = cluster.callers();
    let told = callers
        .send(0, Kind::Whole, "closing", Uuid::nil(), TOKENS)
        .await;
    told.word
}

/// Guards against half of an answer that a caller gets as a whole one, as its end is that of its connection.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_a_document_that_was_cut_off_without_a_length_is_not_taken_for_a_whole_one() {
    let half = send_to_closing_engine(|body| &body[..body.len() / 2]).await;
    expect_that!(half, matches_pattern!(Word::Unknown(anything())));
    let whole = send_to_closing_engine(|body| body).await;
    expect_that!(whole, matches_pattern!(Word::Done(anything())));
}
