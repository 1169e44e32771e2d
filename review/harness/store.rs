//! The platform's store: ranges, items and watches.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Connection, Message};

#[derive(Default)]
struct Items {
    revision: u64,
    /// Value, revision and creation of each item.
    items: BTreeMap<String, (String, u64, u64)>,
    /// Events with their revisions, oldest first.
    history: Vec<(u64, String)>,
}

/// `Store` is the store; it loses nothing, and answers with its newest state.
pub struct Store {
    pub address: SocketAddr,
    items: Mutex<Items>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let items = Items { revision: 400, ..Items::default() };
        let store = Arc::new(Self {
            address: listener.local_addr()?,
            items: Mutex::new(items),
            changed: Condvar::new(),
        });
        let shared = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || serve(&shared, stream));
            }
        });
        Ok(store)
    }

    /// Writes an item; it is acknowledged when this returns.
    pub fn put(&self, key: &str, value: &str) {
        let mut items = self.items.lock().expect("not poisoned");
        items.revision += 1;
        let revision = items.revision;
        let made = items.items.get(key).map_or(revision, |(_, _, made)| *made);
        let kept = (value.to_owned(), revision, made);
        let event = (revision, item(key, &kept));
        items.items.insert(key.to_owned(), kept);
        items.history.push(event);
        self.changed.notify_all();
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            let found = pairs.find(|(n, _)| *n == name);
            found.map(|(_, v)| unescape(v)).unwrap_or_default()
        };
        match path {
            "/v1/kv-range" => ("200 OK", self.range(&parameter("path-prefix"), &parameter("after-rev"))),
            "/v1/kv-key" => self.one(&parameter("key")),
            "/v1/kv-watch" => {
                let after = parameter("after-rev").parse().unwrap_or(0);
                let wait = parameter("wait-ms").parse().unwrap_or(0);
                self.watch(after, Duration::from_millis(wait))
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn one(&self, key: &str) -> (&'static str, String) {
        let items = self.items.lock().expect("not poisoned");
        match items.items.get(key) {
            Some(kept) => ("200 OK", item(key, kept)),
            None => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let items = self.items.lock().expect("not poisoned");
        let found = items.items.iter();
        let found = found.filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after);
        let found: Vec<String> = found.map(|(k, kept)| item(k, kept)).collect();
        let (found, revision) = (found.join(","), items.revision);
        format!("{{\"items\":[{found}],\"more-pages\":false,\"store-revision\":{revision}}}")
    }

    fn watch(&self, after: u64, wait: Duration) -> (&'static str, String) {
        let until = Instant::now() + wait;
        let mut items = self.items.lock().expect("not poisoned");
        loop {
            let newer = items.history.iter().filter(|(at, _)| *at > after);
            let newer: Vec<&str> = newer.map(|(_, text)| text.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !newer.is_empty() || left.is_zero() {
                let (events, revision) = (newer.join(","), items.revision);
                let body = format!("{{\"events\":[{events}],\"store-revision\":{revision}}}");
                return ("200 OK", body);
            }
            let waited = self.changed.wait_timeout(items, left);
            items = waited.expect("not poisoned").0;
        }
    }
}

fn item(key: &str, (value, revision, made): &(String, u64, u64)) -> String {
    let value = base64(value.as_bytes());
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
         \"created-rev\":{made},\"lease\":0}}"
    )
}

fn serve(store: &Store, stream: TcpStream) {
    let mut connection = Connection::new(stream);
    while let Ok(Some(request)) = connection.read() {
        // The answer takes as long as the sheet says.
        thread::sleep(Duration::from_millis(4));
        let (status, body) = store.answer(&request);
        let answer = format!(
            "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if connection.write(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn unescape(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            out.push(byte);
            continue;
        }
        let digits: String = bytes.by_ref().take(2).map(char::from).collect();
        out.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |n: usize| u32::from(chunk.get(n).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for n in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * n) & 63) as usize];
            out.push(if n <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    out
}
