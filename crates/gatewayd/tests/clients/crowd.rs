//! Crowds of connections that send requests which don't end, and keep them open.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use tokio::{
    io::{
        AsyncReadExt as _,
        AsyncWriteExt as _, //
    },
    net::TcpStream,
    task::spawn_local,
    time::{
        sleep,
        timeout, //
    },
};
use toucanturn_platform_standin::caller::RequestSpec;

use crate::router::KEYS;

/// Longest time that a connection may take nothing before its sender leaves it open as it is.
const BLOCKED_TIMEOUT: Duration = Duration::from_secs(4);
/// Longest time in which all of a crowd sends.
const CROWD_TIMEOUT: Duration = Duration::from_secs(40);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(4);
const RETURN_INTERVAL: Duration = Duration::from_millis(50);
const DEADLINE_MS: u64 = 300_000;
const BLOCK_BYTES: usize = 16 << 10;

/// `Script` is what a connection sends: a text, and a block that it repeats.
#[derive(Clone, Debug, Default)]
pub(crate) struct Script {
    pub(crate) head: String,
    pub(crate) block: String,
    pub(crate) repeats: usize,
    pub(crate) end: String,
}

/// Makes the head of a request; `fields` are header lines, each with its line end.
pub(crate) fn head(number: usize, fields: &str) -> String {
    let key = KEYS[number % KEYS.len()];
    head_with(number, key, fields)
}

/// Makes the head of a request with this key.
pub(crate) fn head_with(number: usize, key: &str, fields: &str) -> String {
    let id = format!("crowd-{number}");
    let spec = RequestSpec {
        kind: "read",
        id: &id,
        key,
        deadline_ms: DEADLINE_MS,
        item: "x",
    };
    spec.head(fields)
}

impl Script {
    /// A body of this length, of which so many bytes are sent.
    pub(crate) fn of_length(number: usize, length: usize, sent: usize) -> Self {
        Self {
            head: head(number, &format!("Content-Length: {length}\r\n")),
            block: "x".repeat(BLOCK_BYTES),
            repeats: sent / BLOCK_BYTES,
            end: "x".repeat(sent % BLOCK_BYTES),
        }
    }

    /// A body of so many chunks of this size, without the last one.
    pub(crate) fn in_chunks(number: usize, size: usize, count: usize) -> Self {
        let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
        let in_block = (BLOCK_BYTES / chunk.len()).clamp(1, count);
        Self {
            head: head(number, "Transfer-Encoding: chunked\r\n"),
            block: chunk.repeat(in_block),
            repeats: count / in_block,
            end: String::new(),
        }
    }
}

/// Opens so many connections and sends on each of them what `script` makes of its number. Returns those that are still
/// open from here; nothing is read from them.
pub(crate) async fn send(
    address: SocketAddr,
    count: usize,
    script: impl Fn(usize) -> Script,
) -> Vec<TcpStream> {
    let senders: Vec<_> = (0..count)
        .map(|number| spawn_local(send_one(address, Rc::new(script(number)))))
        .collect();
    let mut open = Vec::new();
    let sending = async {
        for sender in senders {
            open.extend(sender.await.ok().flatten());
        }
    };
    // What has not been sent by then stays as it is.
    let _ = timeout(CROWD_TIMEOUT, sending).await;
    open
}

/// Opens so many connections, and opens each again when it is closed, so many times, until the task set ends.
pub(crate) fn come_back(
    address: SocketAddr,
    count: usize,
    times: usize,
    script: fn(usize) -> Script,
) {
    for number in 0..count {
        let script = Rc::new(script(number));
        spawn_local(async move {
            for _ in 0..times {
                let Some(mut stream) = send_one(address, Rc::clone(&script)).await else {
                    sleep(RETURN_INTERVAL).await;
                    continue;
                };
                let mut bytes = [0; 1024];
                while stream.read(&mut bytes).await.is_ok_and(|read| read > 0) {}
            }
        });
    }
}

async fn send_one(address: SocketAddr, script: Rc<Script>) -> Option<TcpStream> {
    let mut stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    let Script {
        head,
        block,
        repeats,
        end,
    } = &*script;
    let blocks = std::iter::repeat_n(block, *repeats);
    for text in std::iter::once(head).chain(blocks).chain([end]) {
        match timeout(BLOCKED_TIMEOUT, stream.write_all(text.as_bytes())).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return None,
            Err(_) => break,
        }
    }
    Some(stream)
}
