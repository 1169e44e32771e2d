//! Engines run requests and their answers are lost; a second engine runs such a request beside the first one.
//!
//! The engines are those of the harbour site: a stream begins when the engine has read the prompts before it, and its
//! events follow. Each client sends one request at a time, through a router of its own.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use crate::Place;
use crate::http::{Channel, Head};
use crate::notes::Notes;
use crate::replica::{Handler, Replica, configuration};
use crate::router;
use crate::store::Store;

const ROUTERS: usize = 7;
const ENGINES: usize = 9;
/// Engines that lose answers: share 0.56.
const LOSING: usize = 5;
/// Of so many requests that such engines run, the answer of one is lost: 0.25.
const LOST_ONE_IN: usize = 4;
/// When answers begin to be lost after the clients have begun, and for how long.
const LOSING_FROM: Duration = Duration::from_secs(4);
const LOSING_FOR: Duration = Duration::from_secs(6);
/// Time until a stream begins: its prompt and those of three other callers, 11,812 tokens each, at 81.9 tokens a
/// millisecond.
const FIRST_EVENT: Duration = Duration::from_millis(577);
/// Time between events, and their number.
const PAUSE: Duration = Duration::from_millis(30);
const EVENTS: u64 = 60;
/// Requests of each client: some 14 s of them.
const REQUESTS: usize = 6;
/// Overlap that the rule allows.
const ALLOWED: Duration = Duration::from_millis(400);
/// How often an engine at work looks whether its connection has been closed.
const LOOK: Duration = Duration::from_millis(5);

pub fn play(place: &Place) -> Result<bool, String> {
    let notes = Arc::new(Notes::new());
    let store = Store::start();
    let counted = AtomicUsize::new(0);
    // When the clients begin.
    let began: Arc<OnceLock<Instant>> = Arc::default();
    let (since, trouble) = (Arc::clone(&began), place.trouble);
    let handler: Arc<Handler> = Arc::new(
        move |engine: &Replica, head: &Head, _: &[u8], channel: &mut Channel| {
            let id = head.field("x-attempt-id").unwrap_or_default();
            let loses = engine.id.as_str() < format!("i-{LOSING}").as_str();
            let after = since.get().map_or(Duration::ZERO, Instant::elapsed);
            let in_time = (LOSING_FROM..LOSING_FROM + LOSING_FOR).contains(&after);
            let is_counted = trouble && loses && in_time;
            let is_lost = is_counted
                && counted.fetch_add(1, Ordering::Relaxed) % LOST_ONE_IN == LOST_ONE_IN - 1;
            let run = engine.notes.begin(id, &engine.id);
            if is_lost {
                let whole = work(FIRST_EVENT + PAUSE * EVENTS as u32, channel);
                engine.notes.end(
                    run,
                    if whole {
                        "done, and the answer is lost"
                    } else {
                        "the connection was closed"
                    },
                );
                // Nothing more comes on the connection.
                while !channel.is_closed() {
                    thread::sleep(LOOK);
                }
                return false;
            }
            let whole = stream(id, &engine.id, head, channel);
            engine.notes.end(
                run,
                if whole {
                    "the stream is complete"
                } else {
                    "the connection was closed"
                },
            );
            whole
        },
    );
    let engines: Vec<Arc<Replica>> = (0..ENGINES)
        .map(|n| Replica::start(&format!("i-{n}"), "llm", &notes, Arc::clone(&handler)))
        .collect();
    let route = ",\"attempts\":2,\"timeout-ms\":15000,\"goal-ms\":800,\"gap-aim-ms\":250,\"sticky\":true,\"can-resume\":true";
    store.put(
        "op/config",
        &configuration("llm", true, &[("streaming", route)]),
    );
    for engine in &engines {
        let (key, value) = engine.entry(64);
        store.put(&key, &value);
    }
    let routers = router::start(&place.root, &place.scratch, store.address, ROUTERS)?;
    // The routers hear of each other.
    thread::sleep(Duration::from_secs(2));
    let _ = began.set(Instant::now());
    let clients: Vec<_> = routers
        .iter()
        .enumerate()
        .map(|(client, router)| {
            let (notes, callers) = (Arc::clone(&notes), router.callers);
            thread::spawn(move || {
                for number in 0..REQUESTS {
                    ask(
                        &notes,
                        callers,
                        &format!("c{client}-{number}"),
                        client * REQUESTS + number,
                    );
                }
            })
        })
        .collect();
    for client in clients {
        client.join().map_err(|_| "a client has panicked")?;
    }
    // Engines notice closed connections.
    thread::sleep(Duration::from_millis(500));
    let mut broken = 0;
    for id in (0..ROUTERS)
        .flat_map(|client| (0..REQUESTS).map(move |number| format!("c{client}-{number}")))
    {
        let runs = notes.runs_of(&id);
        for (first, second) in runs.iter().zip(runs.iter().skip(1)) {
            let ended = first.ended.unwrap_or_else(|| notes.now());
            let overlap = ended.saturating_sub(second.began);
            notes.note(format!(
                "{id}: {} worked on it for {} ms after it had been sent to {}",
                first.replica,
                overlap.as_millis(),
                second.replica
            ));
            if first.replica != second.replica && overlap > ALLOWED {
                notes.note(format!(
                    "BROKEN: {id} runs at two engines for over {} ms",
                    ALLOWED.as_millis()
                ));
                broken += 1;
            }
        }
    }
    let title = format!("second-engine, trouble: {}", place.trouble);
    notes
        .write(&place.folder.join("record.txt"), &title)
        .map_err(|e| e.to_string())?;
    Ok(broken > 0)
}

/// Streams the events after the last one that the request names; returns whether the stream is complete.
fn stream(id: &str, engine: &str, head: &Head, channel: &mut Channel) -> bool {
    let after: u64 = head
        .field("last-event-id")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    if !work(FIRST_EVENT, channel) {
        return false;
    }
    let mut whole = channel.write(format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Replica-Seal: {engine}.{id}\r\nX-Replica-Load: 4,0,64\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    ));
    for number in after + 1..=EVENTS {
        let event = format!("id: {number}\ndata: part {number}\n\n");
        whole = whole
            && channel.write(format!("{:x}\r\n{event}\r\n", event.len()))
            && work(PAUSE, channel);
    }
    whole && channel.write("0\r\n\r\n")
}

/// Works for a time; returns whether the connection stays open.
fn work(time: Duration, channel: &Channel) -> bool {
    let until = Instant::now() + time;
    while Instant::now() < until {
        if channel.is_closed() {
            return false;
        }
        thread::sleep(LOOK.min(until.saturating_duration_since(Instant::now())));
    }
    true
}

/// Sends a request and reads its answer.
fn ask(notes: &Notes, router: SocketAddr, id: &str, prompt: usize) {
    let Ok(connection) = TcpStream::connect(router) else {
        return notes.note(format!("client can't connect for {id}"));
    };
    let _ = connection.set_read_timeout(Some(Duration::from_secs(16)));
    let mut channel = Channel::new(connection);
    notes.note(format!("client sends {id}"));
    channel.write(format!(
        "POST /streaming/draft HTTP/1.1\r\nHost: host.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 15000\r\n\
         X-Api-Key: key-1\r\nX-Model: m\r\nX-Token-Count: 11812,300\r\n\
         X-Prompt-Prefix: 5c1e{prompt:04x}:10512,91bd{prompt:04x}:1300\r\nContent-Length: 2\r\n\r\nhi"
    ));
    let head = channel.read_head();
    let body = head.as_ref().and_then(|head| channel.read_body(head));
    let status = head.map_or(0, |head| head.status());
    let body = body.map_or_else(
        || "no whole body".to_owned(),
        |b| format!("{} bytes", b.len()),
    );
    notes.note(format!("client gets {status} for {id}, {body}"));
}
