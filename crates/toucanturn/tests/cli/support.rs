//! Runs the program, writes its files, and answers in the place of a router.

#![expect(clippy::expect_used, reason = "a test that cannot be set up fails")]

use std::{
    io::{
        BufRead,
        BufReader,
        Write, //
    },
    net::{
        SocketAddr,
        TcpListener, //
    },
    path::PathBuf,
    process::{
        Command,
        Output, //
    },
    sync::{
        Arc,
        Mutex, //
    },
};

use serde_json::Value;

/// `Run` is what a run of the program gave.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) code: Option<i32>,
    pub(crate) out: String,
    pub(crate) err: String,
}

impl Run {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.out).expect("JSON on standard output")
    }
}

pub(crate) fn toucanturn<S: AsRef<std::ffi::OsStr>>(args: impl IntoIterator<Item = S>) -> Run {
    let mut command = Command::new(env!("CARGO_BIN_EXE_toucanturn"));
    let Output {
        status,
        stdout,
        stderr,
    } = command.args(args).output().expect("run");
    Run {
        code: status.code(),
        out: String::from_utf8(stdout).expect("UTF-8"),
        err: String::from_utf8(stderr).expect("UTF-8"),
    }
}

/// `Files` is a directory of files.
#[derive(Debug)]
pub(crate) struct Files(tempfile::TempDir);

impl Files {
    pub(crate) fn new() -> Self {
        Self(tempfile::tempdir().expect("a directory"))
    }

    pub(crate) fn write(&self, name: &str, text: impl ToString) -> String {
        let path: PathBuf = self.0.path().join(name);
        std::fs::write(&path, text.to_string()).expect("write");
        path.display().to_string()
    }
}

/// `Answer` is what the stand-in of a router does with one request.
#[derive(Clone, Debug)]
pub(crate) enum Answer {
    /// Answers with this status and body.
    Whole(u16, String),
    /// Closes the connection without an answer.
    Cut,
}

pub(crate) fn whole(body: &Value) -> Answer {
    Answer::Whole(200, body.to_string())
}

/// Serves `answers`, one a connection, then closes the port. Gives where, and the request lines.
pub(crate) fn serve(answers: Vec<Answer>) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    let seen = Arc::new(Mutex::new(Vec::new()));
    let lines = Arc::clone(&seen);
    std::thread::spawn(move || {
        for answer in answers {
            let (mut stream, _) = listener.accept().expect("accept");
            let mut reader = BufReader::new(stream.try_clone().expect("clone"));
            let mut first = String::new();
            reader.read_line(&mut first).expect("request");
            lines
                .lock()
                .expect("lock")
                .push(first.trim_end().to_owned());
            let mut line = String::new();
            while reader.read_line(&mut line).expect("head") > 2 {
                line.clear();
            }
            if let Answer::Whole(status, body) = answer {
                let head = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
                let text = format!("{head}connection: close\r\n\r\n{body}");
                stream.write_all(text.as_bytes()).expect("answer");
            }
        }
    });
    (address, seen)
}

/// Gets a valid configuration.
pub(crate) fn config() -> Value {
    let hash = "ab".repeat(32);
    let engine = |n: u16| {
        serde_json::json!({
            "kind": "engine", "address": format!("10.0.1.{n}:80"), "data_center": "be-north-1",
            "models": ["assistant"], "capacity": 32
        })
    };
    let replica = |n: u16| {
        serde_json::json!({
            "kind": "service", "address": format!("10.0.2.{n}:80"), "data_center": "be-north-1",
            "service": "billing", "checks_key": true
        })
    };
    let router = |n: u16| {
        serde_json::json!({
            "address": format!("10.0.0.{n}:80"), "peer_address": format!("10.0.0.{n}:81"),
            "data_center": "be-north-1"
        })
    };
    serde_json::json!({
        "policy": {"load_multiple": 1.25, "data_centers": {"be-north-1": "be-north"}},
        "fleet": {"entry-1": router(1), "entry-2": router(2), "entry-3": router(3)},
        "models": {"assistant": {"version": "v3", "min_replicas": 1}},
        "services": {"billing": {"path": "/billing", "once": [{"method": "POST"}]}},
        "endpoints": {
            "eng-1": engine(1), "eng-2": engine(2), "eng-3": engine(3),
            "bill-1": replica(1), "bill-2": replica(2)
        },
        "workspaces": {
            "vitalbox-chat": {
                "key_sha256": [hash], "priority": 7, "requests_per_s": 100,
                "models": ["assistant"], "services": ["billing"], "deadline_ms": 10000
            }
        }
    })
}

/// Gets a router's status with these endpoints.
pub(crate) fn status(open: u64, ready: bool, endpoints: &[(&str, &str, u32)]) -> Value {
    let endpoint = |(id, state, load): &(&str, &str, u32)| serde_json::json!({"id": id, "state": state, "load": load});
    serde_json::json!({
        "id": "entry-1", "incarnation": 7, "ready": ready, "revision": 42, "epoch": 40,
        "view_age_ms": 120, "open": open, "takes_keys": ready,
        "endpoints": endpoints.iter().map(endpoint).collect::<Vec<_>>()
    })
}

/// Gets valid settings.
pub(crate) fn settings() -> Value {
    serde_json::json!({
        "id": "entry-1", "data_center": "be-north-1", "listen": "10.0.0.1:80",
        "peer_listen": "10.0.0.1:81", "admin_listen": "10.0.0.1:82",
        "config_service": ["10.0.9.1:7000"],
        "peer_key": "11".repeat(32), "token_key": "22".repeat(32)
    })
}
