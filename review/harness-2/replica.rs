//! A replica: it accepts connections and hands each request to what the case does with it.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;

use crate::http::{Channel, Head};
use crate::notes::Notes;

/// `Handler` answers a request on a connection; returns whether the connection stays open.
pub type Handler = dyn Fn(&Replica, &Head, &[u8], &mut Channel) -> bool + Send + Sync;

/// `Replica` is a replica of a service.
pub struct Replica {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub notes: Arc<Notes>,
}

impl Replica {
    pub fn start(id: &str, service: &str, notes: &Arc<Notes>, handler: Arc<Handler>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port for a replica");
        let replica = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("an address"),
            notes: Arc::clone(notes),
        });
        let shared = Arc::clone(&replica);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (replica, handler) = (Arc::clone(&shared), Arc::clone(&handler));
                thread::spawn(move || replica.serve(Channel::new(stream), &*handler));
            }
        });
        replica
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
        let value = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"hall-a\",\"version\":\"v1\",\"slots\":{slots},\
             \"state\":\"ready\",\"cold-left-ms\":0,\"seq\":1}}",
            self.service, self.address
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
