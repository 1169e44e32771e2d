//! An engine starts again under its ID with other software, and ends soon after.
//!
//! Streams that the new process has begun before the routers have read its entry must not go on at the version before,
//! in one answer or over the client's tries.

use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::Place;
use crate::http::{Channel, Head};
use crate::notes::Notes;
use crate::replica::{Handler, Replica, configuration};
use crate::router;
use crate::store::Store;

const ROUTERS: usize = 3;
/// Engines; one of them, share 0.25, is replaced.
const ENGINES: usize = 4;
/// Prompts with parts of their own, each of which goes to one engine.
const PROMPTS: usize = 40;
/// Time for which engines keep an idle connection, in seconds.
const KEEP_ALIVE_S: u64 = 2;
/// Time for which the engine is down between its two processes.
const DOWN: Duration = Duration::from_millis(250);
/// Time from the new process's entry until clients send streams.
const READY: Duration = Duration::from_millis(30);
/// Time from then until the new process ends.
const LIFE: Duration = Duration::from_millis(1500);
/// Time between events, and their number.
const PAUSE: Duration = Duration::from_millis(100);
const EVENTS: u64 = 30;
/// Time after which a client takes a broken stream up, once.
const TAKE_UP_AFTER: Duration = Duration::from_millis(400);
/// Streams of two versions that the rule allows.
const ALLOWED: usize = 2;

pub fn play(place: &Place) -> Result<bool, String> {
    let notes = Arc::new(Notes::new());
    let store = Store::start();
    let last: Arc<Mutex<String>> = Arc::default();
    let seen = Arc::clone(&last);
    let handler: Arc<Handler> = Arc::new(
        move |engine: &Replica, head: &Head, _: &[u8], channel: &mut Channel| {
            let id = head.field("x-attempt-id").unwrap_or_default();
            (*seen.lock().expect("seen")).clone_from(&engine.id);
            let run = engine
                .notes
                .begin(id, &format!("{} ({})", engine.id, engine.version));
            let whole = stream(id, engine, head, channel);
            let how = if whole {
                "the stream is complete"
            } else {
                "it broke off"
            };
            engine.notes.end(run, how);
            whole
        },
    );
    let engines: Vec<Arc<Replica>> = (0..ENGINES)
        .map(|n| Replica::start(&format!("i-{n}"), "llm", &notes, Arc::clone(&handler)))
        .collect();
    let route = ",\"attempts\":2,\"timeout-ms\":12000,\"goal-ms\":1000,\"gap-aim-ms\":400,\"sticky\":true,\
                 \"can-resume\":true";
    store.put(
        "op/config",
        &configuration("llm", true, &[("streaming", route)]),
    );
    for engine in &engines {
        let (key, value) = engine.entry_of_start(64, unix_ms());
        store.put(&key, &value);
    }
    let routers = router::start(&place.root, &place.scratch, store.address, ROUTERS)?;
    let callers: Vec<SocketAddr> = routers.iter().map(|router| router.callers).collect();
    // The routers hear of each other.
    thread::sleep(Duration::from_secs(2));
    // Which prompts go to the first engine?
    let mut prompts = Vec::new();
    for prompt in 0..PROMPTS {
        let request = Request {
            id: format!("short-{prompt}"),
            prompt,
            path: "short",
            after: None,
        };
        ask(&notes, callers[prompt % ROUTERS], &request);
        if *last.lock().expect("seen") == engines[0].id {
            prompts.push(prompt);
        }
    }
    // Little traffic: no router has a connection to the engine any more.
    thread::sleep(Duration::from_secs(KEEP_ALIVE_S + 2));
    let mut process = Arc::clone(&engines[0]);
    if place.trouble {
        notes.note(format!("{} ends, to be replaced by v2", process.id));
        process.end();
        thread::sleep(DOWN);
        let named = (process.id.as_str(), "llm", "v2");
        process = Replica::start_at(process.address, named, &notes, Arc::clone(&handler));
        let (key, value) = process.entry_of_start(64, unix_ms());
        store.put(&key, &value);
        notes.note(format!(
            "{} starts again at v2; its entry is in the store",
            process.id
        ));
    }
    thread::sleep(READY);
    let clients: Vec<_> = prompts
        .into_iter()
        .map(|prompt| {
            let (notes, callers) = (Arc::clone(&notes), callers.clone());
            thread::spawn(move || talk(&notes, &callers, prompt))
        })
        .collect();
    if place.trouble {
        thread::sleep(LIFE);
        notes.note(format!("{} (v2) crashes", process.id));
        process.end();
    }
    let mut joined = 0;
    for client in clients {
        joined += usize::from(client.join().map_err(|_| "a client has panicked")?);
    }
    notes.note(format!(
        "{joined} streams hold events of two versions, {ALLOWED} are allowed"
    ));
    let title = format!("restarted-engine, trouble: {}", place.trouble);
    notes
        .write(&place.folder.join("record.txt"), &title)
        .map_err(|e| e.to_string())?;
    Ok(joined > ALLOWED)
}

fn unix_ms() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis())
}

/// Streams the events after the last one that the request names; each names the version. Returns whether the stream is
/// complete.
fn stream(id: &str, engine: &Replica, head: &Head, channel: &mut Channel) -> bool {
    let after: u64 = head
        .field("last-event-id")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    let is_short = head.word(1).ends_with("/short");
    let last = if is_short { after + 1 } else { EVENTS };
    let mut whole = channel.write(format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Replica-Seal: {}.{id}\r\nX-Replica-Load: 1,0,64\r\n\
         Keep-Alive: timeout={KEEP_ALIVE_S}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        engine.id
    ));
    for number in after + 1..=last {
        let event = format!(
            "id: {number}\ndata: {} wrote part {number}\n\n",
            engine.version
        );
        whole = whole
            && !engine.has_ended()
            && channel.write(format!("{:x}\r\n{event}\r\n", event.len()));
        if whole && number < last {
            thread::sleep(PAUSE);
        }
    }
    whole && !engine.has_ended() && channel.write("0\r\n\r\n")
}

/// `Request` is a request of a client.
struct Request {
    id: String,
    prompt: usize,
    path: &'static str,
    /// The stream that it takes up: the request that began it, and its last event.
    after: Option<(String, u64)>,
}

/// `Answer` is what a client has got of a stream.
#[derive(Default)]
struct Answer {
    status: u16,
    /// Version and ID of each event.
    events: Vec<(String, u64)>,
    whole: bool,
}

/// Gets one stream, and takes it up once if it breaks; returns whether its events are of two versions.
fn talk(notes: &Notes, callers: &[SocketAddr], prompt: usize) -> bool {
    let id = format!("stream-{prompt}");
    let first = Request {
        id: id.clone(),
        prompt,
        path: "long",
        after: None,
    };
    let mut answer = ask(notes, callers[prompt % callers.len()], &first);
    if let Some((_, last)) = answer.events.last().cloned()
        && !answer.whole
    {
        thread::sleep(TAKE_UP_AFTER);
        let again = Request {
            id: format!("{id}-again"),
            after: Some((id.clone(), last)),
            ..first
        };
        // Retries reach other routers.
        let taken_up = ask(notes, callers[(prompt + 1) % callers.len()], &again);
        answer.events.extend(taken_up.events);
        answer.whole = taken_up.whole;
    }
    let mut versions: Vec<&str> = answer
        .events
        .iter()
        .map(|(version, _)| version.as_str())
        .collect();
    versions.dedup();
    let is_joined = versions.len() > 1;
    if is_joined {
        let end = if answer.whole {
            "complete"
        } else {
            "broken off"
        };
        notes.note(format!(
            "JOINED: {id} is of {}, and ends as {end}",
            versions.join(", then ")
        ));
    }
    is_joined
}

/// Sends a request and reads its answer.
fn ask(notes: &Notes, router: SocketAddr, request: &Request) -> Answer {
    let Request {
        id,
        prompt,
        path,
        after,
    } = request;
    let mut answer = Answer::default();
    let Ok(connection) = TcpStream::connect(router) else {
        notes.note(format!("client can't connect for {id}"));
        return answer;
    };
    let _ = connection.set_read_timeout(Some(Duration::from_secs(14)));
    let mut channel = Channel::new(connection);
    let after = after.as_ref().map_or(String::new(), |(began, last)| {
        format!("Last-Event-Id: {last}\r\nResumes: {began}\r\n")
    });
    notes.note(format!("client sends {id}"));
    channel.write(format!(
        "POST /streaming/{path} HTTP/1.1\r\nHost: host.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 12000\r\n\
         X-Api-Key: key-1\r\nX-Model: m\r\nX-Token-Count: 713,300\r\n{after}\
         X-Prompt-Prefix: 5c1e{prompt:04x}:603,91bd{prompt:04x}:110\r\nContent-Length: 2\r\n\r\nhi"
    ));
    if let Some(head) = channel.read_head() {
        answer.status = head.status();
        let (body, whole) = channel.read_chunks();
        let text = String::from_utf8_lossy(&body).into_owned();
        if answer.status == 200 {
            answer.events = text.split("\n\n").filter_map(event).collect();
            answer.whole = whole;
        }
    }
    notes.note(format!(
        "client gets {} for {id}: {} events, {}",
        answer.status,
        answer.events.len(),
        if answer.whole {
            "complete"
        } else {
            "not complete"
        }
    ));
    answer
}

/// Reads the version and the ID of an event.
fn event(text: &str) -> Option<(String, u64)> {
    let id = text.lines().find_map(|line| line.strip_prefix("id: "))?;
    let data = text.lines().find_map(|line| line.strip_prefix("data: "))?;
    Some((data.split(' ').next()?.to_owned(), id.parse().ok()?))
}
