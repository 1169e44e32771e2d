//! The platform's store: items with one revision counter, ranges and watches.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Channel, Head};

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Most items of a page.
const PAGE_ITEMS: usize = 500;

#[derive(Default)]
struct Items {
    revision: u64,
    /// Values in base64, and the revision of their last change.
    items: BTreeMap<String, (u64, String)>,
    /// Revision, key, and whether the item was removed.
    history: Vec<(u64, String, bool)>,
}

/// `Store` is the store of the platform.
pub struct Store {
    pub address: SocketAddr,
    items: Mutex<Items>,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port for the store");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("an address"),
            items: Mutex::default(),
        });
        store.items.lock().expect("items").revision = 10;
        let shared = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&shared);
                thread::spawn(move || store.serve(Channel::new(stream)));
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut items = self.items.lock().expect("items");
        items.revision += 1;
        let revision = items.revision;
        items
            .items
            .insert(key.to_owned(), (revision, base64(value.as_bytes())));
        items.history.push((revision, key.to_owned(), false));
    }

    fn serve(&self, mut channel: Channel) {
        while let Some(head) = channel.read_head() {
            if channel.read_body(&head).is_none() {
                return;
            }
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&head);
            let length = body.len();
            let response = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
            );
            if !channel.write(response) {
                return;
            }
        }
    }

    fn answer(&self, head: &Head) -> (&'static str, String) {
        let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        let value = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs
                .filter(|(known, _)| *known == name)
                .map(|(_, value)| value);
            found.last().map(unescape).unwrap_or_default()
        };
        match path {
            "/v1/kv-range" => (
                "200 OK",
                self.range(&value("path-prefix"), &value("after-rev")),
            ),
            "/v1/kv-watch" => {
                let after = value("after-rev").parse().unwrap_or(0);
                let wait = value("wait-ms").parse().unwrap_or(0);
                ("200 OK", self.watch(after, Duration::from_millis(wait)))
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let items = self.items.lock().expect("items");
        let found = items
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let found: Vec<String> = found
            .map(|(key, (revision, value))| item(key, *revision, value))
            .collect();
        let page = &found[..found.len().min(PAGE_ITEMS)];
        format!(
            "{{\"items\":[{}],\"more-pages\":{},\"store-revision\":{}}}",
            page.join(","),
            found.len() > page.len(),
            items.revision
        )
    }

    fn watch(&self, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        loop {
            let items = self.items.lock().expect("items");
            if items.revision > after || Instant::now() >= until {
                let mut events: BTreeMap<&str, String> = BTreeMap::new();
                for (revision, key, removed) in items.history.iter().filter(|(at, ..)| *at > after)
                {
                    let event = match items.items.get(key) {
                        Some((revision, value)) if !removed => item(key, *revision, value),
                        _ => format!(
                            "{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}"
                        ),
                    };
                    events.insert(key, event);
                }
                let events: Vec<String> = events.into_values().collect();
                return format!(
                    "{{\"events\":[{}],\"store-revision\":{}}}",
                    events.join(","),
                    items.revision
                );
            }
            drop(items);
            thread::sleep(Duration::from_millis(5));
        }
    }
}

fn item(key: &str, revision: u64, value: &str) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created-rev\":{revision},\"lease\":0}}"
    )
}

fn unescape(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let index = (bits >> (18 - 6 * digit)) & 63;
            let padded = digit > chunk.len();
            out.push(if padded {
                '='
            } else {
                char::from(DIGITS[index as usize])
            });
        }
    }
    out
}
