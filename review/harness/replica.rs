//! Replicas of a service.

use std::{
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
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

/// `StreamReplica` is one start of a replica that answers with streams of events. Each event names the version of its
/// software. It does not check who began a stream that it goes on with.
pub struct StreamReplica {
    pub id: String,
    pub version: String,
    pub address: SocketAddr,
    born_ms: u128,
    events: u64,
    pause: Duration,
    ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    record: Arc<Record>,
}

impl StreamReplica {
    /// Starts a replica; its address is a free one if `address` is `None`.
    pub fn start(
        id: &str,
        version: &str,
        address: Option<SocketAddr>,
        (events, pause): (u64, Duration),
        record: &Arc<Record>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = match address {
            Some(address) => TcpListener::bind(address)?,
            None => TcpListener::bind("127.0.0.1:0")?,
        };
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let replica = Arc::new(Self {
            id: id.to_owned(),
            version: version.to_owned(),
            address: listener.local_addr()?,
            born_ms: born.map_or(0, |b| b.as_millis()),
            events,
            pause,
            ended: AtomicBool::new(false),
            connections: Mutex::default(),
            record: Arc::clone(record),
        });
        let shared = Arc::clone(&replica);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared.ended.load(Ordering::SeqCst) {
                    return;
                }
                let copy = stream.try_clone();
                shared.connections.lock().expect("not poisoned").extend(copy);
                let shared = Arc::clone(&shared);
                thread::spawn(move || shared.serve(stream));
            }
        });
        Ok(replica)
    }

    /// Ends it: nothing listens any more, and its connections are closed.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, so that it drops the listening socket.
        let _ = TcpStream::connect(self.address);
        for connection in self.connections.lock().expect("not poisoned").drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Its entry in the store.
    pub fn entry(&self, service: &str) -> String {
        let Self { address, version, born_ms, .. } = self;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"hall-a\",\"version\":\"{version}\",\
             \"slots\":64,\"state\":\"ready\",\"cold-left-ms\":0,\"born\":{born_ms},\"seq\":1}}"
        )
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read() {
            if self.ended.load(Ordering::SeqCst) || self.answer(&mut connection, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, connection: &mut Connection, request: &Message) -> std::io::Result<()> {
        let Self { id: own, version, .. } = self;
        if request.target() == "/health" {
            let text = format!("HTTP/1.1 200 OK\r\nX-Replica-Id: {own}\r\nContent-Length: 0\r\n\r\n");
            return connection.write(text.as_bytes());
        }
        let field = |name| request.field(name).unwrap_or_default().to_owned();
        let (id, meant) = (field("x-attempt-id"), field("x-expect-replica"));
        if !meant.is_empty() && meant != *own {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {id}\r\nX-Replica-Id: {own}\r\n\
                 X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return connection.write(text.as_bytes());
        }
        let last: u64 = field("last-event-id").parse().unwrap_or(0);
        self.record.note(format!("replica {own} at {version} runs {id} after event {last}"));
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Replica-Seal: s-{own}-{id}\r\n\
             Content-Type: text/event-stream\r\nKeep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        connection.write(head.as_bytes())?;
        for number in last + 1..=self.events {
            let event = format!("id: {number}\ndata: {version} piece {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            connection.write(chunk.as_bytes())?;
            thread::sleep(self.pause);
        }
        connection.write(b"0\r\n\r\n")
    }
}
