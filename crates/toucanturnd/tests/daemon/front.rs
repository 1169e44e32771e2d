//! A plain TCP front of an engine that notes when work arrives at it.
//!
//! An engine that is leaving turns new work away and does not record it, so its own truth can't
//! show that a router still sent some.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Instant,
};

use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
};

/// Start of a request that is work.
const WORK: &[u8] = b"POST /v1/chat/completions ";

/// `Front` forwards connections to one engine.
pub(crate) struct Front {
    pub(crate) address: SocketAddr,
    came: Arc<Mutex<Vec<Instant>>>,
}

impl Front {
    /// Opens a front of the engine at `to`.
    pub(crate) async fn open(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let came = Arc::new(Mutex::new(Vec::new()));
        let noted = Arc::clone(&came);
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(forward(near, to, Arc::clone(&noted)));
            }
        });
        Self { address, came }
    }

    /// Gets how many pieces of work came after a time.
    pub(crate) fn work_after(&self, time: Instant) -> usize {
        let came = self.came.lock().unwrap_or_else(PoisonError::into_inner);
        came.iter().filter(|t| **t > time).count()
    }

    /// Gets how many pieces of work came.
    pub(crate) fn work(&self) -> usize {
        let came = self.came.lock().unwrap_or_else(PoisonError::into_inner);
        came.len()
    }
}

async fn forward(near: TcpStream, to: SocketAddr, came: Arc<Mutex<Vec<Instant>>>) {
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    let (mut near_read, mut near_write) = near.into_split();
    let (mut far_read, mut far_write) = far.into_split();
    let requests = async {
        let mut buffer = vec![0; 16 * 1024];
        // The end of what was read before: the start of a request may be split in two.
        let mut seen = Vec::new();
        while let Ok(length @ 1..) = near_read.read(&mut buffer).await {
            seen.extend_from_slice(&buffer[..length]);
            let work = seen.windows(WORK.len()).filter(|w| *w == WORK).count();
            let now = Instant::now();
            came.lock()
                .unwrap_or_else(PoisonError::into_inner)
                .extend(std::iter::repeat_n(now, work));
            seen.drain(..seen.len().saturating_sub(WORK.len() - 1));
            if far_write.write_all(&buffer[..length]).await.is_err() {
                break;
            }
        }
    };
    let answers = tokio::io::copy(&mut far_read, &mut near_write);
    tokio::select! {
        () = requests => {}
        _ = answers => {}
    }
}
