//! What daemons take beside the decisions: sockets, connections, seals, runtime.

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
    thread,
    time::Duration,
};

use snafu::ResultExt;
use toucanturn_lab::{
    errors::{
        CallSnafu,
        IoSnafu,
        Result, //
    },
    fleet::{
        Fleet,
        Shape, //
    },
    process::Process,
};

/// Time over which idle daemons are watched.
const WATCHED: Duration = Duration::from_secs(10);

/// `Idle` is what a daemon takes in the mean that no caller asks for anything.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Idle {
    /// Bytes resident.
    pub(crate) memory: f64,
    /// Milliseconds of a core in a second.
    pub(crate) cpu_ms: f64,
}

/// Watches a fleet of daemons that has nothing to do but to know itself.
pub(crate) async fn idle(routers: usize) -> Result<Idle> {
    let shape = Shape {
        routers,
        log_level: "warn",
        ..Shape::default()
    };
    let fleet = Fleet::start(shape).await?;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let cpu = |fleet: &Fleet| {
        fleet
            .routers
            .iter()
            .map(Process::cpu_ms)
            .sum::<Result<u64>>()
    };
    let before = cpu(&fleet)?;
    tokio::time::sleep(WATCHED).await;
    let used = cpu(&fleet)?.saturating_sub(before);
    let memory: u64 = fleet
        .routers
        .iter()
        .map(Process::resident)
        .sum::<Result<u64>>()?;
    let count = routers as f64;
    Ok(Idle {
        memory: memory as f64 / count,
        cpu_ms: used as f64 / count / WATCHED.as_secs_f64(),
    })
}

/// Counts the bytes of one poll of an engine's load report over TCP, both ways, on a connection
/// that is kept, with the client that the router uses.
pub(crate) async fn poll_bytes() -> Result<f64> {
    let engine = Process::start("engine", "toucanturn-standin", &["engine", "--model", "m0"])?;
    let counted = Arc::new(AtomicUsize::new(0));
    let address = relay(engine.address("listen"), Arc::clone(&counted))?;
    let client = reqwest::Client::builder().http1_only().no_proxy().build();
    let client = client.context(CallSnafu)?;
    let url = format!("http://{address}/v1/load");
    let rounds = 20;
    for _ in 0..rounds {
        let answer = client.get(&url).send().await.context(CallSnafu)?;
        answer.bytes().await.context(CallSnafu)?;
    }
    Ok(counted.load(Ordering::Relaxed) as f64 / f64::from(rounds))
}

fn relay(to: String, counted: Arc<AtomicUsize>) -> Result<String> {
    let listener = TcpListener::bind("127.0.0.1:0").context(IoSnafu)?;
    let address = listener.local_addr().context(IoSnafu)?.to_string();
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(&to) else {
                return;
            };
            if let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) {
                let (one, other) = (Arc::clone(&counted), Arc::clone(&counted));
                thread::spawn(move || pass(near, far, &one));
                thread::spawn(move || pass(far2, near2, &other));
            }
        }
    });
    Ok(address)
}

fn pass(mut from: TcpStream, mut to: TcpStream, counted: &AtomicUsize) {
    let mut raw = [0; 4096];
    while let Ok(n) = from.read(&mut raw)
        && n > 0
    {
        counted.fetch_add(n, Ordering::Relaxed);
        if to.write_all(&raw[..n]).is_err() {
            return;
        }
    }
}
