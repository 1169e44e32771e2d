//! A TCP proxy in front of one socket, with the faults of a link, and gates that hold one
//! request's bytes at a chosen point.

use std::{
    hash::{
        BuildHasher as _,
        RandomState, //
    },
    io,
    net::SocketAddr,
    ops::Range,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration,
};

use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener, TcpSocket, TcpStream,
        tcp::{
            ReadHalf,
            WriteHalf, //
        },
    },
    sync::watch,
};

pub mod gate;

use gate::{
    Gate,
    Point,
    Progress, //
};

/// Ports that are held for servers, below those of outgoing connections.
const HELD_PORTS: Range<u16> = 12_000..32_000;
/// Pause after the port could not be listened on.
const AGAIN: Duration = Duration::from_millis(10);
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// `Mode` is what the link does with bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Passes them on.
    Pass,
    /// Refuses new connections, as a dead process does.
    Refuse,
    /// Loses them both ways.
    Drop,
    /// Loses what goes to the server.
    DropRequests,
    /// Loses what comes from the server.
    DropAnswers,
    /// Keeps them until the mode changes, as a frozen process does.
    Pause,
    /// Passes every piece on after a while.
    Slow(Duration),
    /// Resets the connection in place of the first byte of an answer.
    ResetAnswers,
    /// Passes half of the answer's next piece on and closes the connection.
    HalfAnswers,
}

#[derive(Clone, Copy, Debug)]
struct State {
    mode: Mode,
    upstream: Option<SocketAddr>,
    /// Connections with lower numbers pass nothing on, and stay open.
    silent_below: u64,
    /// Connections with lower numbers are reset.
    reset_below: u64,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    Requests,
    Answers,
}

struct Shared {
    number: usize,
    state: watch::Sender<State>,
    accepted: AtomicU64,
    gates: Mutex<Vec<Arc<Gate>>>,
}

/// `Link` is the proxy. Its address stays the same whatever happens behind it.
#[derive(Clone)]
pub struct Link {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

fn socket(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Picks a free port of the loopback, and holds it by a socket that never listens: whoever listens
/// there may end and come back.
///
/// It is none of those that the system gives to outgoing connections. A port that an earlier connection had is given to
/// others in spite of the holder, and then nobody can listen there.
///
/// # Errors
///
/// No port is free.
pub fn hold() -> io::Result<(SocketAddr, TcpSocket)> {
    let first = RandomState::new().hash_one(HELD_PORTS);
    let count = u64::from(HELD_PORTS.end - HELD_PORTS.start);
    for n in 0..count {
        let offset = first.wrapping_add(n) % count;
        let port = HELD_PORTS.start + u16::try_from(offset).unwrap_or_default();
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let holder = TcpSocket::new_v4()?;
        match holder.bind(address) {
            Ok(()) => {
                // Only now, as two sockets that allow it may be bound to one port.
                holder.set_reuseaddr(true)?;
                return Ok((address, holder));
            }
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
            Err(error) => return Err(error),
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

impl Link {
    /// Opens a link that leads nowhere yet, and refuses connections until it does; `number` tells it apart at a gate.
    ///
    /// # Errors
    ///
    /// No port of the loopback is free.
    pub fn open(number: usize) -> io::Result<Self> {
        let (address, holder) = hold()?;
        let state = State {
            mode: Mode::Pass,
            upstream: None,
            silent_below: 0,
            reset_below: 0,
        };
        let shared = Arc::new(Shared {
            number,
            state: watch::Sender::new(state),
            accepted: AtomicU64::new(0),
            gates: Mutex::default(),
        });
        let listener = listen(address)?;
        tokio::spawn(serve(listener, holder, address, Arc::clone(&shared)));
        Ok(Self { address, shared })
    }

    /// Leads new connections to another server.
    pub fn point(&self, upstream: SocketAddr) {
        self.change(|state| state.upstream = Some(upstream));
    }

    /// Refuses new connections from now on if it leads to this server, which has ended.
    pub fn retire(&self, upstream: SocketAddr) {
        self.change(|state| state.upstream = state.upstream.filter(|to| *to != upstream));
    }

    /// Changes what happens to bytes, on open connections too.
    pub fn set(&self, mode: Mode) {
        self.change(|state| state.mode = mode);
    }

    /// Silences the connections there are for good; new ones work.
    pub fn silence(&self) {
        let accepted = self.shared.accepted.load(Ordering::SeqCst);
        self.change(|state| state.silent_below = accepted);
    }

    /// Resets the connections there are.
    pub fn reset(&self) {
        let accepted = self.shared.accepted.load(Ordering::SeqCst);
        self.change(|state| state.reset_below = accepted);
    }

    /// Sets up the gates for what comes.
    pub fn arm(&self, gates: &[Arc<Gate>]) {
        *lock(&self.shared.gates) = gates.to_vec();
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        self.shared.state.send_modify(change);
    }
}

/// Gets what a mutex holds; nothing that holds one here can leave it half changed.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    socket(address)?.listen(BACKLOG)
}

async fn serve(
    listener: TcpListener,
    _holder: TcpSocket,
    address: SocketAddr,
    shared: Arc<Shared>,
) {
    let mut state = shared.state.subscribe();
    let mut listener = Some(listener);
    loop {
        let refuses = {
            let state = state.borrow_and_update();
            state.mode == Mode::Refuse || state.upstream.is_none()
        };
        if refuses {
            listener = None;
        } else if listener.is_none() {
            // The holder keeps the port; a moment without descriptors passes.
            listener = listen(address).ok();
            if listener.is_none() {
                tokio::time::sleep(AGAIN).await;
                continue;
            }
        }
        let accepted = async {
            match &listener {
                Some(listener) => listener.accept().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            changed = state.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            Ok((near, _)) = accepted => {
                let number = shared.accepted.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(connection(near, number, Arc::clone(&shared)));
            }
        }
    }
}

async fn connection(mut near: TcpStream, number: u64, shared: Arc<Shared>) {
    let _ = near.set_nodelay(true);
    let mut state = shared.state.subscribe();
    let reset = state.wait_for(|state| number < state.reset_below);
    let ended = tokio::select! {
        ended = relay(&mut near, number, &shared) => ended,
        _ = reset => Err(Reset),
    };
    if ended.is_err() {
        let _ = near.set_zero_linger();
    }
}

/// `Reset` ends a connection at once.
struct Reset;

async fn relay(near: &mut TcpStream, number: u64, shared: &Shared) -> Result<(), Reset> {
    for gate in shared.gates() {
        if gate.point == Point::Connect {
            gate.hold(shared.number).await;
        }
    }
    let upstream = shared.state.borrow().upstream.ok_or(Reset)?;
    let mut far = TcpStream::connect(upstream).await.map_err(|_| Reset)?;
    let _ = far.set_nodelay(true);
    let (near_in, near_out) = near.split();
    let (far_in, far_out) = far.split();
    let progress = Mutex::new(Progress::default());
    let pump = |way, from, to| pump(shared, number, &progress, way, from, to);
    tokio::try_join!(
        pump(Way::Requests, near_in, far_out),
        pump(Way::Answers, far_in, near_out)
    )?;
    Ok(())
}

async fn pump(
    shared: &Shared,
    number: u64,
    progress: &Mutex<Progress>,
    way: Way,
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
) -> Result<(), Reset> {
    let mut buffer = vec![0; 64 << 10];
    loop {
        let read = from.read(&mut buffer).await.map_err(|_| Reset)?;
        if read == 0 {
            shared.unpaused().await;
            let _ = to.shutdown().await;
            return Ok(());
        }
        let bytes = &buffer[..read];
        let held = {
            let mut progress = lock(progress);
            match way {
                Way::Requests => progress.request(bytes, &shared.gates()),
                Way::Answers => progress.answer(bytes, &shared.gates()),
            }
        };
        let mut rest = bytes;
        for (gate, at) in held {
            let done = read - rest.len();
            let (first, later) = rest.split_at(at.clamp(done, read) - done);
            shared.pass(number, way, first, &mut to).await?;
            gate.hold(shared.number).await;
            rest = later;
        }
        shared.pass(number, way, rest, &mut to).await?;
    }
}

impl Shared {
    fn gates(&self) -> Vec<Arc<Gate>> {
        lock(&self.gates).clone()
    }

    async fn unpaused(&self) {
        let mut state = self.state.subscribe();
        let _ = state.wait_for(|state| state.mode != Mode::Pause).await;
    }

    async fn pass(
        &self,
        number: u64,
        way: Way,
        bytes: &[u8],
        to: &mut WriteHalf<'_>,
    ) -> Result<(), Reset> {
        if bytes.is_empty() {
            return Ok(());
        }
        self.unpaused().await;
        let state = *self.state.borrow();
        if number < state.silent_below {
            return std::future::pending().await;
        }
        match (state.mode, way) {
            // What was lost stays lost: the connection is silent for good.
            (Mode::Drop, _)
            | (Mode::DropRequests, Way::Requests)
            | (Mode::DropAnswers, Way::Answers) => return std::future::pending().await,
            (Mode::Slow(delay), _) => tokio::time::sleep(delay).await,
            (Mode::ResetAnswers, Way::Answers) => return Err(Reset),
            (Mode::HalfAnswers, Way::Answers) => {
                let _ = to.write_all(&bytes[..bytes.len() / 2]).await;
                let _ = to.shutdown().await;
                return std::future::pending().await;
            }
            _ => {}
        }
        to.write_all(bytes).await.map_err(|_| Reset)
    }
}
