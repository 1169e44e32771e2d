//! A replica: it accepts connections and hands each request to what the case does with it.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Channel, Head};
use crate::notes::Notes;

/// `Handler` answers a request on a connection; returns whether the connection stays open.
pub type Handler = dyn Fn(&Replica, &Head, &[u8], &mut Channel) -> bool + Send + Sync;

/// How often a replica looks for a new connection.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);

/// `Replica` is a process of a replica of a service.
pub struct Replica {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    /// Version of its software.
    pub version: String,
    pub notes: Arc<Notes>,
    ended: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

impl Replica {
    pub fn start(id: &str, service: &str, notes: &Arc<Notes>, handler: Arc<Handler>) -> Arc<Self> {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        Self::start_at(address, (id, service, "v1"), notes, handler)
    }

    /// Starts a process with an ID, a service and a version at an address.
    pub fn start_at(
        address: SocketAddr,
        (id, service, version): (&str, &str, &str),
        notes: &Arc<Notes>,
        handler: Arc<Handler>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("a loopback port for a replica");
        listener.set_nonblocking(true).expect("a listener");
        let replica = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("an address"),
            version: version.to_owned(),
            notes: Arc::clone(notes),
            ended: AtomicBool::new(false),
            open: Mutex::default(),
        });
        let shared = Arc::clone(&replica);
        thread::spawn(move || {
            while !shared.has_ended() {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(ACCEPT_INTERVAL);
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let copy = stream.try_clone().expect("a descriptor");
                shared.open.lock().expect("connections").push(copy);
                let (replica, handler) = (Arc::clone(&shared), Arc::clone(&handler));
                thread::spawn(move || replica.serve(Channel::new(stream), &*handler));
            }
        });
        replica
    }

    /// Ends the process: it listens no more, and its connections are closed.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
        // The listener is closed by then.
        thread::sleep(ACCEPT_INTERVAL * 5);
        for stream in self.open.lock().expect("connections").drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    fn serve(&self, mut channel: Channel, handler: &Handler) {
        while let Some(head) = channel.read_head() {
            let Some(body) = channel.read_body(&head) else {
                return;
            };
            let stays = if head.word(1) == "/health" {
                let health = format!(
                    "HTTP/1.1 200 OK\r\nX-Replica-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                channel.write(health)
            } else if head
                .field("x-expect-replica")
                .is_some_and(|id| id != self.id)
            {
                let id = head.field("x-attempt-id").unwrap_or_default();
                channel.write(format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                ))
            } else {
                handler(self, &head, &body, &mut channel)
            };
            if !stays {
                return;
            }
        }
    }

    /// Its entry in the store.
    pub fn entry(&self, slots: u32) -> (String, String) {
        self.entry_with(slots, "")
    }

    /// Its entry in the store, with the time of its start in Unix milliseconds.
    pub fn entry_of_start(&self, slots: u32, born: u128) -> (String, String) {
        self.entry_with(slots, &format!(",\"born\":{born}"))
    }

    fn entry_with(&self, slots: u32, more: &str) -> (String, String) {
        let value = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"hall-a\",\"version\":\"{}\",\
             \"slots\":{slots},\"state\":\"ready\",\"cold-left-ms\":0,\"seq\":1{more}}}",
            self.service, self.address, self.version
        );
        (format!("servers/{}", self.id), value)
    }
}

/// Makes a configuration with one route for each of these kinds, at `/KIND/`, and one tenant with the key `key-1`.
pub fn configuration(service: &str, engine: bool, routes: &[(&str, &str)]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|(kind, more)| {
            format!(
                "{{\"name\":\"{kind}\",\"host\":\"host.example\",\"path-prefix\":\"/{kind}/\",\"kind\":\"{kind}\",\
                 \"service\":\"{service}\",\"priority\":1{more}}}"
            )
        })
        .collect();
    let engine = if engine {
        ",\"engine\":{\"slots\":64,\"kv-cache-tokens\":446061,\"moves\":true}"
    } else {
        ""
    };
    format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{{\"name\":\"{service}\",\"health-path\":\"/health\",\
         \"max-conns\":360{engine}}}],\"tenants\":[{{\"name\":\"tenant-1\",\"api-keys\":[\"key-1\"]}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}}}}",
        routes.join(",")
    )
}
