//! A key is taken away by a version of the configuration that also gives a route the rank 300.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    http,
    replica::Replica,
    router::{Folder, Router},
    store::Store,
    Record, Verdict,
};

/// Bounds of the deployment, in milliseconds.
const CONFIG_APPLY_MS: u64 = 2000;
const REVOKE_MS: u64 = 5000;
/// When the operator writes the new version, and when clients stop.
const CHANGE_AT_MS: u64 = 4000;
const END_AT_MS: u64 = 14_000;
/// The key that stays, and the one that is taken away.
const KEPT: &str = "n2ctnfzs989anu6wsjnb";
const REVOKED: &str = "anfqasnmgkcuyj8pjbvk";

fn route(name: &str, priority: u32) -> String {
    format!(
        "{{\"name\":\"r-{name}\",\"host\":\"ficu95.example\",\"path-prefix\":\"/{name}/\",\
         \"kind\":\"idempotent\",\"timeout-ms\":800,\"goal-ms\":300,\"priority\":{priority},\
         \"service\":\"wuno96b\",\"attempts\":2,\"allow-anonymous\":false,\"sticky\":false,\
         \"can-resume\":false}}"
    )
}

fn configuration(version: u64, routes: &[String], keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|k| format!("\"{k}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"wuno96b\",\
         \"health-path\":\"/health\",\"max-conns\":100,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api-keys\":[{}]}}]}}",
        routes.join(","),
        keys.join(",")
    )
}

struct Sent {
    id: String,
    sent_ms: u64,
    key: &'static str,
    path: &'static str,
    status: u16,
}

pub fn play(trouble: bool, record: &Arc<Record>) -> std::io::Result<Verdict> {
    // The rank of the added route; PRIORITY=30 plays the same with a rank that the routers take.
    let priority = std::env::var("PRIORITY").ok().and_then(|p| p.parse().ok());
    let priority = priority.unwrap_or(300);
    let folder = Folder::new("2")?;
    let store = Store::start()?;
    let runs = Arc::new(Mutex::new(Vec::new()));
    for n in 0..4 {
        let id = format!("i-7f3a91c{n}");
        let replica = Replica::start(&id, Duration::from_millis(60), &runs, record)?;
        store.put(&format!("servers/{id}"), &replica.entry("wuno96b", 6));
    }
    let first = [route("cufi504", 2)];
    store.put("op/config", &configuration(7, &first, &[KEPT, REVOKED]));
    let mut routers = Router::plan(3, &folder.0, record)?;
    let seeds: Vec<_> = routers.iter().map(|r| r.control).collect();
    for router in &mut routers {
        router.configure(store.address, &seeds, true)?;
        router.start()?;
    }
    if !routers.iter().all(|r| r.wait_until_ready(Duration::from_secs(10))) {
        return Ok(Verdict::NotRun("a router does not get ready".to_owned()));
    }
    record.note("all routers are ready");
    let began = record.now();
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let clients = routers.iter().flat_map(|r| {
        [(KEPT, "/cufi504/"), (REVOKED, "/cufi504/"), (KEPT, "/added/")].map(|c| (r, c))
    });
    let clients: Vec<_> = clients
        .map(|(router, (key, path))| {
            let (front, name) = (router.front, router.name.clone());
            let (record, sent) = (Arc::clone(record), Arc::clone(&sent));
            thread::spawn(move || {
                let mut number = 0;
                while record.now() < began + END_AT_MS {
                    number += 1;
                    let id = format!("{name}-{}-{}-{number}", &key[..4], &path[1..4]);
                    let request = format!(
                        "GET {path}2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\n\
                         X-Deadline-Ms: 1500\r\nX-Api-Key: {key}\r\nConnection: close\r\n\r\n"
                    );
                    let sent_ms = record.now();
                    record.note(format!("client sends {id} to {name}: {path} with key {key}"));
                    let answer = http::call(front, request.as_bytes(), Duration::from_secs(2));
                    let status = answer.as_ref().map_or(0, http::Message::status);
                    record.note(format!("client gets {status} for {id}"));
                    let noted = Sent { id, sent_ms, key, path, status };
                    sent.lock().expect("not poisoned").push(noted);
                    thread::sleep(Duration::from_millis(250));
                }
            })
        })
        .collect();
    let mut acknowledged = u64::MAX;
    if trouble {
        while record.now() < began + CHANGE_AT_MS {
            thread::sleep(Duration::from_millis(10));
        }
        let routes = [route("cufi504", 2), route("added", priority)];
        store.put("op/config", &configuration(12, &routes, &[KEPT]));
        acknowledged = record.now();
        record.note(format!(
            "operator: version 12 is acknowledged: key {REVOKED} is gone, route /added/ has rank {priority}"
        ));
    }
    for client in clients {
        let _ = client.join();
    }
    for router in &routers {
        for line in router.log_lines("\"event\":657") {
            record.note(format!("log of {}: {line}", router.name));
        }
        let ready = router.is_ready();
        record.note(format!("router {} says that it is ready: {ready}", router.name));
    }
    let (sent, runs) = (sent.lock().expect("not poisoned"), runs.lock().expect("not poisoned"));
    let ran = |id: &str| runs.iter().any(|r| r.id == id);
    let fine = sent.iter().filter(|s| s.status == 200).count();
    if fine == 0 {
        return Ok(Verdict::NotRun("no request was served".to_owned()));
    }
    let late = |s: &&Sent, bound: u64| s.sent_ms > acknowledged.saturating_add(bound);
    let revoked = sent.iter().filter(|s| s.key == REVOKED && late(s, REVOKE_MS));
    let revoked_run = revoked.clone().filter(|s| ran(&s.id)).count();
    let added = sent.iter().filter(|s| s.path == "/added/" && late(s, CONFIG_APPLY_MS));
    let added_refused = added.clone().filter(|s| s.status == 404).count();
    let text = format!(
        "{fine} of {} requests served; {revoked_run} of {} requests with the key that was taken away, sent over \
         {REVOKE_MS} ms after the acknowledgement, ran; {added_refused} of {} requests on the added route, sent over \
         {CONFIG_APPLY_MS} ms after it, got 404",
        sent.len(),
        revoked.count(),
        added.count()
    );
    Ok(match revoked_run {
        0 => Verdict::Held(text),
        _ => Verdict::Broken(text),
    })
}
