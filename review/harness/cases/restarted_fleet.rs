//! All routers are killed at the same moment and start again, and clients take up the streams that this broke. One
//! software version has served all along.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    cases::stream::{try_once, Stream},
    replica::StreamReplica,
    router::{Folder, Router},
    store::Store,
    Record, Verdict,
};

const SERVICE: &str = "huvo11a";
const KEY: &str = "n2ctnfzs989anu6wsjnb";
const CLIENTS: usize = 40;
/// Events of a stream, and the pause between two.
const EVENTS: u64 = 60;
const PAUSE: Duration = Duration::from_millis(80);
const DEADLINE_MS: u64 = 12_000;
const DEADLINE: Duration = Duration::from_millis(DEADLINE_MS);
/// When the routers are killed, and for how long they are down.
const KILL_AT_MS: u64 = 3500;
const DOWN: Duration = Duration::from_millis(800);
/// `stable-window-ms`, and what clients wait beyond it before they take their streams up.
const STABLE_WINDOW_MS: u64 = 3000;
const MARGIN_MS: u64 = 700;
/// Take-ups from which on the rule judges.
const JUDGED: usize = 12;

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-label\",\"host\":\"ficu95.example\",\"path-prefix\":\"/lohu930/\",\
         \"kind\":\"streaming\",\"timeout-ms\":{DEADLINE_MS},\"goal-ms\":1000,\"priority\":2,\"service\":\"{SERVICE}\",\
         \"attempts\":2,\"allow-anonymous\":false,\"sticky\":true,\"can-resume\":true,\"gap-aim-ms\":300}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health-path\":\"/health\",\"max-conns\":360,\"protocol\":\"h1\",\
         \"tls\":false}}],\"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api-keys\":[\"{KEY}\"]}}]}}"
    )
}

fn request(id: &str, number: usize, left: u64, more: &str) -> String {
    format!(
        "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\n\
         X-Token-Count: 713,300\r\nX-Prompt-Prefix: 5c1e{number:04x}:603,e440{number:04x}:110\r\n\
         X-Deadline-Ms: {left}\r\nX-Api-Key: {KEY}\r\n{more}Content-Length: 0\r\n\r\n"
    )
}

/// `Outcome` is what became of a client's stream.
struct Outcome {
    began: bool,
    /// Whether it was taken up, and whether that goes on.
    taken_up: Option<bool>,
    /// Whether a new stream that was sent right after the take-up began.
    new_began: bool,
}

fn client(number: usize, fronts: &[SocketAddr], (began, up_at): (u64, u64), record: &Record) -> Outcome {
    let id = format!("9c41d07b{number:04x}");
    // Streams begin within a second, and are in progress when the routers are killed.
    while record.now() < began + 1500 + number as u64 * 1000 / CLIENTS as u64 {
        thread::sleep(Duration::from_millis(5));
    }
    let sent = record.now();
    let front = |n: usize| fronts[n % fronts.len()];
    let left = || DEADLINE_MS.saturating_sub(record.now() - sent);
    let mut stream = Stream::default();
    record.note(format!("client sends {id}"));
    try_once(&mut stream, front(number), &request(&id, number, left(), ""), DEADLINE);
    record.note(format!("client has events to {} of {id}, complete: {}", stream.last, stream.complete));
    let mut outcome = Outcome { began: stream.last > 0, taken_up: None, new_began: false };
    if stream.complete || !outcome.began {
        return outcome;
    }
    while record.now() < up_at {
        thread::sleep(Duration::from_millis(5));
    }
    let again = format!("{id}-again");
    let more = format!("Last-Event-Id: {}\r\nResumes: {id}\r\n", stream.last);
    record.note(format!("client takes {id} up after event {} as {again}, {} ms are left", stream.last, left()));
    try_once(&mut stream, front(number + 1), &request(&again, number, left(), &more), DEADLINE);
    record.note(format!("client gets {} for {again}, has events to {}", stream.status, stream.last));
    outcome.taken_up = Some(stream.status == 200);
    let new = format!("{id}-new");
    let mut stream = Stream::default();
    try_once(&mut stream, front(number + 1), &request(&new, number, DEADLINE_MS, ""), DEADLINE);
    record.note(format!("client gets {} for the new stream {new}", stream.status));
    outcome.new_began = stream.status == 200;
    outcome
}

pub fn play(trouble: bool, record: &Arc<Record>) -> std::io::Result<Verdict> {
    // SURVIVORS=1 leaves one router alone.
    let survivors = std::env::var("SURVIVORS").ok().and_then(|s| s.parse().ok());
    let survivors: usize = survivors.unwrap_or(0);
    let folder = Folder::new("3")?;
    let store = Store::start()?;
    for n in 0..4 {
        let replica = StreamReplica::start(&format!("i-7f3a91c{n}"), "v1", None, (EVENTS, PAUSE), record)?;
        store.put(&format!("servers/{}", replica.id), &replica.entry(SERVICE));
    }
    store.put("op/config", &configuration());
    let mut routers = Router::plan(3, &folder.0, record)?;
    let seeds: Vec<_> = routers.iter().map(|r| r.control).collect();
    for router in &mut routers {
        router.configure(store.address, &seeds, true)?;
        router.start()?;
    }
    if !routers.iter().all(|r| r.wait_until_ready(Duration::from_secs(10))) {
        return Ok(Verdict::NotRun("a router does not get ready".to_owned()));
    }
    record.note("all routers are ready; all replicas are at v1");
    let began = record.now();
    let down = u64::try_from(DOWN.as_millis()).unwrap_or(0);
    let up_at = began + KILL_AT_MS + down + STABLE_WINDOW_MS + MARGIN_MS;
    let fronts: Vec<SocketAddr> = routers.iter().map(|r| r.front).collect();
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (fronts, record, outcomes) = (fronts.clone(), Arc::clone(record), Arc::clone(&outcomes));
            thread::spawn(move || {
                let outcome = client(number, &fronts, (began, up_at), &record);
                outcomes.lock().expect("not poisoned").push(outcome);
            })
        })
        .collect();
    if trouble {
        while record.now() < began + KILL_AT_MS {
            thread::sleep(Duration::from_millis(5));
        }
        for router in routers.iter_mut().skip(survivors) {
            router.kill();
        }
        thread::sleep(DOWN);
        for router in routers.iter_mut().skip(survivors) {
            router.configure(store.address, &seeds, false)?;
            router.start()?;
        }
        if !routers.iter().all(|r| r.wait_until_ready(Duration::from_secs(3))) {
            return Ok(Verdict::NotRun("a router does not get ready again".to_owned()));
        }
        record.note("all routers are ready again");
    }
    for client in clients {
        let _ = client.join();
    }
    let outcomes = outcomes.lock().expect("not poisoned");
    let begun = outcomes.iter().filter(|o| o.began).count();
    let taken_up = outcomes.iter().filter(|o| o.taken_up.is_some()).count();
    let go_on = outcomes.iter().filter(|o| o.taken_up == Some(true)).count();
    let new = outcomes.iter().filter(|o| o.new_began).count();
    if begun < CLIENTS / 2 {
        return Ok(Verdict::NotRun(format!("{begun} of {CLIENTS} streams began")));
    }
    let text = format!(
        "{begun} streams began; {go_on} of {taken_up} that were taken up at routers in touch go on; {new} of as many new \
         streams began then"
    );
    let broken = taken_up >= JUDGED && 2 * go_on < new;
    Ok(if broken { Verdict::Broken(text) } else { Verdict::Held(text) })
}
