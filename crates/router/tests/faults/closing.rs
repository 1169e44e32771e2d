//! An engine whose answers have neither a length nor chunks, so that they end with their connection, or a spoilt head.

use std::net::SocketAddr;

use futures_util::future::join_all;
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

/// `Reply` is how an engine answers a chat before it closes the connection.
#[derive(Clone, Copy, Debug)]
struct Reply {
    /// Status and reason.
    status: &'static str,
    /// Field lines, without the end of the last one.
    fields: &'static str,
    /// Gets what is sent of the whole body.
    body: fn(&str) -> String,
}

/// Gets a body in one chunk.
fn chunked(body: &str) -> String {
    format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len())
}

/// Starts an engine that answers all chats in this way.
async fn start_closing_engine(sent: Reply) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, sent));
        }
    });
    address
}

async fn answer(mut stream: TcpStream, sent: Reply) -> std::io::Result<()> {
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
    let Reply { status, fields, .. } = sent;
    let head = format!("x-request-id: {id}\r\nx-incarnation: 9\r\n{fields}");
    let reply = format!("HTTP/1.1 {status}\r\n{head}\r\ncontent-type: application/json\r\n\r\n");
    stream.write_all(reply.as_bytes()).await?;
    stream.write_all((sent.body)(&body).as_bytes()).await
}

async fn send_to_closing_engine(sent: Reply) -> Word {
    let options = Options {
        engines: 1,
        ..Options::default()
    };
    let cluster = Cluster::start(options).await;
    let engine = start_closing_engine(sent).await;
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
    let closing = Reply {
        status: "200 OK",
        fields: "connection: close",
        body: |body| body[..body.len() / 2].to_owned(),
    };
    let half = send_to_closing_engine(closing).await;
    expect_that!(half, matches_pattern!(Word::Unknown(anything())));
    let whole = Reply {
        body: str::to_owned,
        ..closing
    };
    let whole = send_to_closing_engine(whole).await;
    expect_that!(whole, matches_pattern!(Word::Done(anything())));
}

/// Guards against an answer that a caller gets although its head contradicts itself, is of no class of statuses, or names
/// two requests.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_an_answer_with_a_spoilt_head_is_no_answer() {
    let sound = Reply {
        status: "200 OK",
        fields: "transfer-encoding: chunked",
        body: chunked,
    };
    let told = send_to_closing_engine(sound).await;
    expect_that!(told, matches_pattern!(Word::Done(anything())));
    let fields = [
        "content-length: 5\r\ntransfer-encoding: chunked",
        "transfer-encoding: gzip, chunked",
        "transfer-encoding: chunked\r\nx-request-id: other",
    ];
    let spoilt = fields.map(|fields| Reply { fields, ..sound });
    let unframed = Reply {
        fields: "content-lengti: 5",
        body: str::to_owned,
        ..sound
    };
    let statuses = ["600 Spoilt", "999 Spoilt", "101 Switching Protocols"];
    let of_no_class = statuses.map(|status| Reply { status, ..sound });
    let all = spoilt.into_iter().chain([unframed]).chain(of_no_class);
    let told = all.map(|sent| async move { (sent, send_to_closing_engine(sent).await) });
    for (sent, told) in join_all(told).await {
        expect_that!(
            told,
            matches_pattern!(Word::Unknown(anything())),
            "{sent:?}"
        );
    }
}
