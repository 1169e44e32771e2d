//! Start, settings reload and shutdown of a gateway process.

use std::{
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use snafu::ResultExt;
use tokio::{
    net::{
        TcpListener,
        UdpSocket, //
    },
    signal::unix::{
        SignalKind,
        signal, //
    },
    task::{
        LocalSet,
        spawn_local, //
    },
    time::{
        Instant,
        interval,
        sleep,
        sleep_until, //
    },
};
use toucanturn_core::{
    gateway::{
        Gateway, RegistryEvent,
        mesh::{
            Heartbeat,
            Mesh, //
        },
    },
    ids::Tag,
    units::Incarnation,
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    budget::{
        self,
        Budget, //
    },
    errors::{
        ListenSnafu,
        Result,
        SignalsSnafu, //
    },
    feed::RegistryReader,
    gossip, peer_follower, peers, pool,
    protocol::ProtocolAdapter,
    reads, server,
    settings::{
        Loaded,
        Settings, //
    },
    state::{
        Phase,
        Shared,
        State,
        millis,
        now, //
    },
    streams,
};

/// Interval at which the settings are read again without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);
/// Interval of timers: idle connections and the time-based decisions of the gateway.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a stopping process still serves requests on open connections, each of which is answered as the last
/// one of its connection. It allows for two checks of a load balancer that checks once a second, and the requests
/// that arrive meanwhile.
const LAST_REQUEST_WAIT: Duration = Duration::from_millis(3000);
/// Time by which a stopping process ends before it would be killed.
const STOP_MARGIN: Duration = Duration::from_millis(400);
/// Time before the end of a stopping process at which each request without the head of an answer gets a refusal: the
/// refusals have to be written, and events of streams that have arrived.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(300);
/// Interval at which a stopping process checks whether all connections have ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a gateway until SIGTERM has stopped it; returns the number of requests that it cut off.
///
/// `reload` reads the settings again, with those in force, on SIGHUP and periodically, as they may change without a
/// signal.
///
/// # Errors
///
/// Fails if listening on an address or installing a signal handler fails.
pub async fn run(
    loaded: Loaded,
    protocol: ProtocolAdapter,
    reader: RegistryReader,
    reload: impl Fn(&Settings) -> Result<Loaded, String>,
) -> Result<usize> {
    let local = LocalSet::new();
    local
        .run_until(serve(loaded, protocol, reader, reload))
        .await
}

async fn serve(
    loaded: Loaded,
    protocol: ProtocolAdapter,
    reader: RegistryReader,
    reload: impl Fn(&Settings) -> Result<Loaded, String>,
) -> Result<usize> {
    let Loaded {
        mut settings,
        mut faults,
    } = loaded;
    let mut term = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut hup = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    let process = start(settings.clone(), protocol, reader).await?;
    log_unusable(&faults);
    let mut reload_timer = interval(RELOAD_INTERVAL);
    // The last error of `reload`: an error that repeats is logged once.
    let mut last_error = None;
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = hup.recv() => {}
            _ = reload_timer.tick() => {}
        }
        match reload(&settings) {
            Ok(loaded) => {
                last_error = None;
                // What can't be used is logged once, however often it is read.
                if loaded.faults != faults {
                    log_unusable(&loaded.faults);
                    faults = loaded.faults;
                }
                if loaded.settings != settings {
                    apply_settings(&process.state, &settings, &loaded.settings);
                    settings = loaded.settings;
                }
            }
            Err(error) if last_error.as_ref() == Some(&error) => {}
            Err(error) => {
                tracing::error!(event = 604, error, "settings refused, the old ones hold");
                last_error = Some(error);
            }
        }
    }
    let grace = Duration::from_secs_f64(settings.bounds.stop_s);
    Ok(stop(&process.state, grace).await)
}

/// Logs which values of the settings can't be used.
fn log_unusable(faults: &[String]) {
    if !faults.is_empty() {
        let faults = faults.join("; ");
        tracing::error!(event = 606, faults, "settings used in part");
    }
}

/// Applies new bounds and seeds. Addresses and the router's own names stay as they were at the start, as a change
/// would cut off callers and peers that use them.
pub fn apply_settings(state: &Shared, old: &Settings, new: &Settings) {
    let identity_changed = old.id != new.id || old.data_center != new.data_center;
    let restart_needed =
        identity_changed || old.listen != new.listen || old.registry != new.registry;
    tracing::info!(
        event = 605,
        needs_restart = restart_needed,
        "settings changed"
    );
    let mut gateway = state.gateway.borrow_mut();
    gateway.set_bounds(new.bounds.bounds());
    gateway.set_speeds(new.speeds);
    drop(gateway);
    state.set_budget(Budget::new(&new.bounds, budget::allowed_descriptors()));
    state.mesh.borrow_mut().set_seeds(new.seeds.clone());
}

/// `Process` is a running gateway.
#[derive(Debug)]
pub struct Process {
    /// State that its tasks share.
    pub state: Shared,
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address of the listener for readiness checks and metrics.
    pub ready: SocketAddr,
    /// Address of the listener for peers.
    pub peers: SocketAddr,
}

/// Starts a gateway on the current `LocalSet`.
///
/// # Errors
///
/// Fails if listening on an address fails.
pub async fn start(
    settings: Settings,
    protocol: ProtocolAdapter,
    reader: RegistryReader,
) -> Result<Process> {
    let listen = settings.listen;
    let checks = server::listen(listen.ready, budget::INTERNAL).await?;
    let callers = server::listen(listen.callers, budget::CALLERS).await?;
    let peers = server::listen(listen.peers, budget::INTERNAL).await?;
    let context = |address| ListenSnafu { address };
    let local_address = |l: &TcpListener, a: SocketAddrV4| l.local_addr().context(context(a));
    let addresses = (
        local_address(&callers, listen.callers)?,
        local_address(&checks, listen.ready)?,
        local_address(&peers, listen.peers)?,
    );
    let peer_address = SocketAddrV4::new(*listen.peers.ip(), addresses.2.port());
    let socket = UdpSocket::bind(peer_address)
        .await
        .context(context(peer_address))?;
    let seed = toucanturn_clock::now().wall.0;
    let own_rumor = Heartbeat {
        address: listen.advertised.unwrap_or(peer_address),
        data_center: Tag::of(settings.data_center.as_bytes()).0,
        incarnation: Incarnation(seed),
        beat: 0,
        reads: false,
    };
    let mesh = Mesh::new(own_rumor, settings.seeds.clone());
    let mut gateway = Gateway::new(settings.bounds.bounds(), seed);
    gateway.set_speeds(settings.speeds);
    gateway.set_prefill_salt(xxh3_64(peer_address.to_string().as_bytes()));
    match settings.first_start {
        true => gateway.started_first(now()),
        false => gateway.restarted(now()),
    }
    // A suspension before the second tick is noticed, too.
    gateway.tick(now());
    let caller_address = SocketAddrV4::new(*listen.callers.ip(), addresses.0.port());
    let state = State::new(gateway, mesh, protocol, caller_address, settings.registry);
    state.set_budget(Budget::new(&settings.bounds, budget::allowed_descriptors()));
    tracing::info!(
        event = 600,
        id = settings.id,
        data_center = settings.data_center,
        first_start = settings.first_start,
        "started"
    );
    let reader = Rc::new(reader);
    spawn_local(server::serve_checks(state.clone(), checks));
    spawn_local(server::serve_callers(state.clone(), callers));
    spawn_local(peers::serve(state.clone(), peers));
    let socket = Rc::new(socket);
    state.prefill.set_socket(Rc::clone(&socket));
    spawn_local(gossip::run(state.clone(), Rc::clone(&socket)));
    spawn_local(streams::report(state.clone(), socket));
    spawn_local(reads::run(state.clone(), Rc::clone(&reader)));
    spawn_local(peer_follower::run(state.clone(), reader));
    spawn_local(tick(state.clone()));
    Ok(Process {
        state,
        callers: addresses.0,
        ready: addresses.1,
        peers: addresses.2,
    })
}

async fn tick(state: Shared) {
    loop {
        sleep(TICK_INTERVAL).await;
        let gateway = state.gateway.borrow();
        let listed = |key| gateway.registry().get(key).is_some();
        state.pool.tick(now(), listed);
        state.peer_pool.tick(now());
        drop(gateway);
        pool::note_lost(&state);
        let events = state.gateway.borrow_mut().tick(now());
        if state.gateway.borrow().has_unsent_streams() {
            state.unsent_streams.notify_one();
        }
        for event in events {
            crate::feed::log(&event);
            if let RegistryEvent::Unreached { service, .. } = &event {
                close_idle_connections(&state, service);
            }
        }
    }
}

/// Closes the idle connections to a service that is not reached: they may have fallen silent, and a request that is sent
/// on one of them after the outage would wait in vain.
fn close_idle_connections(state: &State, service: &Bytes) {
    let gateway = state.gateway.borrow();
    let other = |key| {
        let endpoint = gateway.registry().get(key);
        endpoint.is_some_and(|e| e.entry.service != *service)
    };
    state.pool.tick(now(), other);
}

/// Stops the gateway: it reports not ready at once, answers the last request on each connection, and then closes the
/// connections. Returns the number of requests that were cut off.
pub async fn stop(state: &Shared, grace: Duration) -> usize {
    let began = Instant::now();
    let left = grace.saturating_sub(STOP_MARGIN);
    let last = began + left;
    let answering = left.saturating_sub(LAST_ANSWER_TIME);
    let last_answers = began + answering;
    let open = state.callers_open.open();
    tracing::info!(event = 691, open, "stopping");
    state
        .gateway
        .borrow_mut()
        .end_at(now(), now() + millis(answering));
    state.phase.send_replace(Phase::Stopping);
    sleep_until(last_answers.min(began + LAST_REQUEST_WAIT)).await;
    state.gateway.borrow_mut().close();
    state.phase.send_replace(Phase::Closing);
    wait_for_connections(state, last_answers).await;
    state.ending.send_replace(true);
    // A process that was held up until now still writes the last answers.
    wait_for_connections(state, last.max(Instant::now() + STOP_POLL_INTERVAL)).await;
    let cut = state.requests.get() + state.accepted.get();
    state.ended.set(true);
    tracing::info!(event = 692, cut, "stopped");
    cut
}

/// Waits until all connections have ended, or until a time.
async fn wait_for_connections(state: &State, until: Instant) {
    let open = || state.callers_open.open() + state.accepted.get();
    while open() > 0 && Instant::now() < until {
        sleep_until(until.min(Instant::now() + STOP_POLL_INTERVAL)).await;
    }
}
