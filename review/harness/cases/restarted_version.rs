//! The last replica of a software version starts again under its id with the next version, and clients take up the
//! streams that this broke.

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
const CLIENTS: usize = 80;
/// Events of a stream, and the pause between two.
const EVENTS: u64 = 47;
const PAUSE: Duration = Duration::from_millis(120);
/// When the replica ends, and for how long nothing listens at its address.
const RESTART_AT_MS: u64 = 4000;
const DOWN: Duration = Duration::from_millis(250);
/// Time after which a client takes up a stream that broke.
const RETRY_AFTER: Duration = Duration::from_millis(400);
const DEADLINE_MS: u64 = 12_000;
const DEADLINE: Duration = Duration::from_millis(DEADLINE_MS);
/// More streams than these may not be joined.
const ALLOWED: usize = 2;

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

fn client(number: usize, fronts: &[SocketAddr], began: u64, record: &Record) -> Stream {
    let id = format!("9c41d07b{number:04x}");
    let left = |sent: u64| DEADLINE_MS.saturating_sub(record.now() - sent);
    let request = |id: &str, left: u64, more: &str| {
        format!(
            "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\n\
             X-Token-Count: 713,300\r\nX-Prompt-Prefix: 5c1e{number:04x}:603,e440{number:04x}:110\r\n\
             X-Deadline-Ms: {left}\r\nX-Api-Key: {KEY}\r\n{more}Content-Length: 0\r\n\r\n"
        )
    };
    // Streams begin within a second and a half, and are in progress when the replica starts again.
    while record.now() < began + 1000 + number as u64 * 1500 / CLIENTS as u64 {
        thread::sleep(Duration::from_millis(5));
    }
    let sent = record.now();
    let front = |n: usize| fronts[n % fronts.len()];
    let mut stream = Stream::default();
    record.note(format!("client sends {id}"));
    try_once(&mut stream, front(number), &request(&id, left(sent), ""), DEADLINE);
    record.note(format!("client has events to {} of {id}, complete: {}", stream.last, stream.complete));
    if stream.complete || stream.status != 200 {
        return stream;
    }
    thread::sleep(RETRY_AFTER);
    let again = format!("{id}-again");
    let more = format!("Last-Event-Id: {}\r\nResumes: {id}\r\n", stream.last);
    record.note(format!("client takes {id} up after event {} as {again}", stream.last));
    try_once(&mut stream, front(number + 1), &request(&again, left(sent), &more), DEADLINE);
    record.note(format!(
        "client gets {} for {again}, has events to {}, complete: {}, versions joined: {}",
        stream.status,
        stream.last,
        stream.complete,
        stream.is_joined()
    ));
    stream
}

pub fn play(trouble: bool, record: &Arc<Record>) -> std::io::Result<Verdict> {
    let folder = Folder::new("1")?;
    let store = Store::start()?;
    let shape = (EVENTS, PAUSE);
    let old = StreamReplica::start("i-7f3a91c0", "v1", None, shape, record)?;
    let mut replicas = vec![Arc::clone(&old)];
    for n in 1..4 {
        replicas.push(StreamReplica::start(&format!("i-7f3a91c{n}"), "v2", None, shape, record)?);
    }
    for replica in &replicas {
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
    record.note("all routers are ready; one replica of four is at v1");
    let began = record.now();
    let fronts: Vec<SocketAddr> = routers.iter().map(|r| r.front).collect();
    let streams: Arc<Mutex<Vec<Stream>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (fronts, record, streams) = (fronts.clone(), Arc::clone(record), Arc::clone(&streams));
            thread::spawn(move || {
                let stream = client(number, &fronts, began, &record);
                streams.lock().expect("not poisoned").push(stream);
            })
        })
        .collect();
    if trouble {
        while record.now() < began + RESTART_AT_MS {
            thread::sleep(Duration::from_millis(5));
        }
        record.note(format!("replica {} ends", old.id));
        old.end();
        thread::sleep(DOWN);
        let new = StreamReplica::start(&old.id, "v2", Some(old.address), shape, record)?;
        store.put(&format!("servers/{}", new.id), &new.entry(SERVICE));
        record.note(format!("replica {} has started again at v2; its entry is in the store", new.id));
    }
    for client in clients {
        let _ = client.join();
    }
    let streams = streams.lock().expect("not poisoned");
    let begun = streams.iter().filter(|s| !s.versions.is_empty()).count();
    let joined = streams.iter().filter(|s| s.is_joined()).count();
    let complete = streams.iter().filter(|s| s.is_joined() && s.complete).count();
    if begun < CLIENTS / 2 {
        return Ok(Verdict::NotRun(format!("{begun} of {CLIENTS} streams began")));
    }
    let text = format!(
        "{begun} streams began; {joined} hold events of two software versions, {complete} of them ended as complete; \
         {ALLOWED} are allowed"
    );
    Ok(if joined > ALLOWED { Verdict::Broken(text) } else { Verdict::Held(text) })
}
