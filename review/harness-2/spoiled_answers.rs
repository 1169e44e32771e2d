//! Faulty replicas spoil some of their answers.
//!
//! Clients keep their connections, and send one request after the other on each. Every answer that they read must be the
//! replica's answer to its request, and after the last one nothing may be left on the connection.

use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Place;
use crate::http::{Channel, Head};
use crate::notes::Notes;
use crate::replica::{Handler, Replica, configuration};
use crate::router;
use crate::store::Store;

/// Replicas, and those of them that are faulty: share 0.4 of them.
const REPLICAS: usize = 5;
const FAULTY: usize = 2;
/// Clients at once, connections of each, one after the other, and requests on each connection.
const CLIENTS: usize = 10;
const CONNECTIONS: usize = 4;
const REQUESTS: usize = 10;
/// How long a replica works on a request.
const WORK: Duration = Duration::from_millis(10);
/// The faulty replicas spoil one in so many of their answers: 0.02.
const SPOILED_ONE_IN: usize = 50;
/// The answer to an attempt.
fn body_of(id: &str) -> String {
    format!("balance of {id}")
}

/// The whole answer of a sound replica.
fn sound(replica: &Replica, id: &str) -> String {
    let body = body_of(id);
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Replica-Seal: {}.{id}\r\nContent-Length: {}\r\n\r\n{body}",
        replica.id,
        body.len()
    )
}

/// `Spoil` is how a faulty replica spoils an answer.
#[derive(Clone, Copy)]
pub enum Spoil {
    /// It has both `Content-Length` and `Transfer-Encoding`: by its length it is empty, and by its chunks it has a body,
    /// which is what a replica of another client would have answered.
    BothFramings,
    /// It says that the protocol is switched, which the client didn't ask for, and no answer follows.
    Switching,
}

impl Spoil {
    fn answer(self, replica: &Replica, id: &str) -> String {
        let seal = format!("X-Attempt-Id: {id}\r\nX-Replica-Seal: {}.{id}", replica.id);
        match self {
            Spoil::BothFramings => {
                let foreign = "HTTP/1.1 200 OK\r\nX-Attempt-Id: foreign\r\nX-Replica-Seal: foreign\r\n\
                               Content-Length: 18\r\n\r\nbalance of foreign";
                format!(
                    "HTTP/1.1 200 OK\r\n{seal}\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n\
                     {:x}\r\n{foreign}\r\n0\r\n\r\n",
                    foreign.len()
                )
            }
            Spoil::Switching => format!(
                "HTTP/1.1 101 Switching Protocols\r\n{seal}\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n"
            ),
        }
    }
}

pub fn play(place: &Place, spoil: Spoil) -> Result<bool, String> {
    let notes = Arc::new(Notes::new());
    let store = Store::start();
    let answered = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&answered);
    // The requests whose own answer was spoiled.
    let spoiled: Arc<Mutex<Vec<String>>> = Arc::default();
    let spoiled_by_replicas = Arc::clone(&spoiled);
    let trouble = place.trouble;
    let handler: Arc<Handler> = Arc::new(
        move |replica: &Replica, head: &Head, _: &[u8], channel: &mut Channel| {
            let id = head.field("x-attempt-id").unwrap_or_default();
            let run = replica.notes.begin(id, &replica.id);
            let is_faulty = replica.id.as_str() < format!("i-{FAULTY}").as_str();
            let spoils = trouble
                && is_faulty
                && counted.fetch_add(1, Ordering::Relaxed) % SPOILED_ONE_IN == SPOILED_ONE_IN / 2;
            thread::sleep(WORK);
            let answer = if spoils {
                let mut ids = spoiled_by_replicas.lock().expect("no thread has panicked");
                ids.push(id.to_owned());
                drop(ids);
                spoil.answer(replica, id)
            } else {
                sound(replica, id)
            };
            replica
                .notes
                .end(run, if spoils { "spoiled answer" } else { "answered" });
            channel.write(answer)
        },
    );
    let replicas: Vec<Arc<Replica>> = (0..REPLICAS)
        .map(|n| Replica::start(&format!("i-{n}"), "app", &notes, Arc::clone(&handler)))
        .collect();
    let route = ",\"attempts\":2,\"timeout-ms\":2500,\"goal-ms\":300";
    store.put(
        "op/config",
        &configuration("app", false, &[("idempotent", route)]),
    );
    for replica in &replicas {
        let (key, value) = replica.entry(6);
        store.put(&key, &value);
    }
    let routers = router::start(&place.root, &place.scratch, store.address, 1)?;
    let callers = routers[0].callers;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (notes, spoiled) = (Arc::clone(&notes), Arc::clone(&spoiled));
            thread::spawn(move || {
                let connections = client * CONNECTIONS..(client + 1) * CONNECTIONS;
                connections
                    .map(|connection| talk(&notes, &spoiled, callers, connection))
                    .sum::<Result<usize, String>>()
            })
        })
        .collect();
    let mut wrong = 0;
    for client in clients {
        wrong += client.join().map_err(|_| "a client has panicked")??;
    }
    notes.note(format!(
        "{wrong} answers or bytes that are not the replica's answer to the request"
    ));
    let title = format!("spoiled answers, trouble: {}", place.trouble);
    notes
        .write(&place.folder.join("record.txt"), &title)
        .map_err(|e| e.to_string())?;
    if trouble && answered.load(Ordering::Relaxed) <= SPOILED_ONE_IN / 2 {
        return Err("the faulty replicas got too few requests to spoil an answer".to_owned());
    }
    Ok(wrong > 0)
}

/// Sends the requests of one connection; returns how often something else came than the answer to the request.
fn talk(
    notes: &Notes,
    spoiled: &Mutex<Vec<String>>,
    router: std::net::SocketAddr,
    connection: usize,
) -> Result<usize, String> {
    let stream = TcpStream::connect(router).map_err(|e| e.to_string())?;
    let mut channel = Channel::new(stream);
    let mut wrong = 0;
    for number in 0..REQUESTS {
        let id = format!("c{connection}-{number}");
        notes.note(format!("client sends {id}"));
        let request = format!(
            "GET /idempotent/{id} HTTP/1.1\r\nHost: host.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 2500\r\nX-Api-Key: key-1\r\n\r\n"
        );
        let timeout = Some(Duration::from_secs(5));
        let _ = channel.stream.set_read_timeout(timeout);
        let sent = channel.write(request);
        let answer = channel.read_head().filter(|_| sent);
        let Some(head) = answer else {
            notes.note(format!("client: connection ends before the answer to {id}"));
            return Ok(wrong);
        };
        let body = channel.read_body(&head).unwrap_or_default();
        let body = String::from_utf8_lossy(&body).into_owned();
        let named = head.field("x-attempt-id").unwrap_or_default().to_owned();
        notes.note(format!(
            "client gets {} for {id}: attempt ID {named:?}, body {body:?}",
            head.status()
        ));
        if head.status() == 101 {
            let _ = channel
                .stream
                .set_read_timeout(Some(Duration::from_secs(3)));
            let more = channel.read_head().map_or("nothing", |_| "a head");
            notes.note(format!(
                "WRONG: {id} gets a 101 that it did not ask for, and then {more}"
            ));
            return Ok(wrong + 1);
        }
        if head.status() != 200 {
            continue;
        }
        // What the body of a spoiled answer is depends on the framing that counts, so it is not judged.
        let is_spoiled = spoiled
            .lock()
            .expect("no thread has panicked")
            .contains(&id);
        if !is_spoiled && (named != id || body != body_of(&id)) {
            notes.note(format!(
                "WRONG: a success for {id} that is not the replica's answer to it"
            ));
            wrong += 1;
        }
    }
    let rest = channel.surplus(Duration::from_millis(50));
    if !rest.is_empty() {
        let rest = String::from_utf8_lossy(&rest).replace("\r\n", "|");
        notes.note(format!("WRONG: bytes with no request waiting: {rest:?}"));
        wrong += 1;
    }
    Ok(wrong)
}
