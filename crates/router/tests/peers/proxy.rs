//! A TCP proxy whose connections can be silenced or cut, as a firewall that lost track of them
//! would, and that counts what passes.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
};

use tokio::{
    io::{
        AsyncRead,
        AsyncReadExt,
        AsyncWrite,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
};
use tokio_util::sync::CancellationToken;

#[derive(Default)]
struct State {
    accepted: AtomicU64,
    /// Connections with lower numbers pass nothing on, and stay open.
    silent_below: AtomicU64,
    bytes: AtomicU64,
    cut: Mutex<CancellationToken>,
}

pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    state: Arc<State>,
}

impl Proxy {
    pub(crate) async fn run(upstream: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let state = Arc::new(State::default());
        tokio::spawn(accept(listener, upstream, Arc::clone(&state)));
        Self { address, state }
    }

    /// Silences the connections there are; new ones work.
    pub(crate) fn silence(&self) {
        let accepted = self.state.accepted.load(Ordering::SeqCst);
        self.state.silent_below.store(accepted, Ordering::SeqCst);
    }

    /// Closes the connections there are; new ones work.
    pub(crate) fn cut(&self) {
        let mut cut = self.state.cut.lock().expect("no test panicked here");
        std::mem::take(&mut *cut).cancel();
    }

    /// Gets the bytes passed on in both directions.
    pub(crate) fn bytes(&self) -> u64 {
        self.state.bytes.load(Ordering::SeqCst)
    }

    /// Gets the number of connections accepted.
    pub(crate) fn accepted(&self) -> u64 {
        self.state.accepted.load(Ordering::SeqCst)
    }
}

async fn accept(listener: TcpListener, upstream: SocketAddr, state: Arc<State>) {
    while let Ok((near, _)) = listener.accept().await {
        let number = state.accepted.fetch_add(1, Ordering::SeqCst);
        let cut = state.cut.lock().expect("no test panicked here").clone();
        let Ok(far) = TcpStream::connect(upstream).await else {
            continue;
        };
        let (near_in, near_out) = near.into_split();
        let (far_in, far_out) = far.into_split();
        for task in [
            tokio::spawn(pass(near_in, far_out, number, Arc::clone(&state))),
            tokio::spawn(pass(far_in, near_out, number, Arc::clone(&state))),
        ] {
            let cut = cut.clone();
            tokio::spawn(async move {
                let stop = task.abort_handle();
                tokio::select! {
                    _ = task => (),
                    () = cut.cancelled() => stop.abort(),
                }
            });
        }
    }
}

async fn pass(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    number: u64,
    state: Arc<State>,
) {
    let mut buffer = vec![0; 16 << 10];
    while let Ok(read @ 1..) = from.read(&mut buffer).await {
        if number < state.silent_below.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            break;
        }
        state.bytes.fetch_add(read as u64, Ordering::SeqCst);
    }
}
