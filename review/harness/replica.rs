//! Replicas of a service.

use std::{
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    http::{Connection, Message},
    Record,
};

/// `Run` is a request that a replica began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_ms: u64,
    pub id: String,
    pub replica: String,
    pub target: String,
    pub tenant: String,
}

/// `Replica` answers each request after `work`, and refuses those for another replica.
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    work: Duration,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Arc<Record>,
}

impl Replica {
    pub fn start(
        id: &str,
        work: Duration,
        runs: &Arc<Mutex<Vec<Run>>>,
        record: &Arc<Record>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let replica = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            work,
            runs: Arc::clone(runs),
            record: Arc::clone(record),
        });
        let shared = Arc::clone(&replica);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || shared.serve(stream));
            }
        });
        Ok(replica)
    }

    /// Its entry in the store.
    pub fn entry(&self, service: &str, slots: u32) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"hall-a\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"ready\",\"cold-left-ms\":0,\"seq\":1}}",
            self.address
        )
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read() {
            if !request.whole {
                return;
            }
            let answer = self.answer(&request);
            if connection.write(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> String {
        let own = &self.id;
        if request.target() == "/health" {
            return format!("HTTP/1.1 200 OK\r\nX-Replica-Id: {own}\r\nContent-Length: 0\r\n\r\n");
        }
        let field = |name| request.field(name).unwrap_or_default().to_owned();
        let id = field("x-attempt-id");
        let meant = field("x-expect-replica");
        if !meant.is_empty() && meant != *own {
            return format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {id}\r\nX-Replica-Id: {own}\r\n\
                 X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
        }
        let run = Run {
            at_ms: self.record.now(),
            id: id.clone(),
            replica: own.clone(),
            target: request.target().to_owned(),
            tenant: field("x-tenant"),
        };
        let tenant = &run.tenant;
        self.record.note(format!("replica {own} runs {id} {} of tenant {tenant}", run.target));
        self.runs.lock().expect("not poisoned").push(run);
        thread::sleep(self.work);
        let body = format!("done {id}");
        format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Replica-Seal: s-{own}-{id}\r\n\
             Keep-Alive: timeout=5\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }
}
