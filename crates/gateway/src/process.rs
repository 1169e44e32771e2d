//! The life of a gateway process, from its sockets to its end.

use std::{
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
    rc::Rc,
    time::Duration,
};

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
        Gateway,
        mesh::{
            Heartbeat, //
            Mesh,
        },
    },
    ids::Tag,
    units::Incarnation,
};

use crate::{
    errors::{
        ListenSnafu,
        Result,
        SignalsSnafu, //
    },
    feed::RegistryReader,
    gossip, peer_follower, peers,
    protocol::ProtocolAdapter,
    reads, server,
    settings::Settings,
    state::{
        Phase,
        Shared,
        State,
        millis,
        now, //
    },
};

/// How often the settings are read again without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);
/// How often what has waited is looked at.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a stopping process waits for callers on kept connections to send their next request,
/// which is then answered as their last: two checks of a balancer that asks once a second, and
/// the requests that come meanwhile.
const LAST_REQUEST_WAIT: Duration = Duration::from_millis(3000);
/// Time before the kill that a stopping process leaves unused.
const STOP_MARGIN: Duration = Duration::from_millis(400);
/// How often a stopping process looks whether all connections have ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a gateway until a signal has stopped it; returns the requests that it cut.
///
/// `reload` reads the settings again: on SIGHUP, and now and then, as they may change without it.
///
/// # Errors
///
/// An address can't be listened on, or signals can't be watched.
pub async fn run(
    settings: Settings,
    protocol: ProtocolAdapter,
    reader: RegistryReader,
    reload: impl Fn() -> Result<Settings, String>,
) -> Result<usize> {
    let local = LocalSet::new();
    local
        .run_until(serve(settings, protocol, reader, reload))
        .await
}

async fn serve(
    mut settings: Settings,
    protocol: ProtocolAdapter,
    reader: RegistryReader,
    reload: impl Fn() -> Result<Settings, String>,
) -> Result<usize> {
    let mut term = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut hup = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    let process = start(settings.clone(), protocol, reader).await?;
    let mut again = interval(RELOAD_INTERVAL);
    // Settings that stay bad are told of once.
    let mut refused = None;
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = hup.recv() => {}
            _ = again.tick() => {}
        }
        match reload() {
            Ok(new) if new == settings => refused = None,
            Ok(new) => {
                apply_settings(&process.state, &settings, &new);
                settings = new;
                refused = None;
            }
            Err(error) if refused.as_ref() == Some(&error) => {}
            Err(error) => {
                tracing::error!(event = 604, error, "settings refused, the old ones hold");
                refused = Some(error);
            }
        }
    }
    let grace = Duration::from_secs_f64(settings.bounds.stop_s);
    Ok(stop(&process.state, grace).await)
}

/// Follows new settings. Addresses and the router's own names stay as they were at the start: callers and peers
/// that hold them would else be cut.
pub fn apply_settings(state: &Shared, old: &Settings, new: &Settings) {
    let named = old.id != new.id || old.data_center != new.data_center;
    let moved = named || old.listen != new.listen || old.registry != new.registry;
    tracing::info!(event = 605, needs_restart = moved, "settings changed");
    state.gateway.borrow_mut().set_bounds(new.bounds.bounds());
    state.mesh.borrow_mut().set_seeds(new.seeds.clone());
}

/// `Process` is a gateway that runs.
#[derive(Debug)]
pub struct Process {
    /// What its tasks share.
    pub state: Shared,
    /// Where callers are heard.
    pub callers: SocketAddr,
    /// Where readiness is told.
    pub ready: SocketAddr,
    /// Where peers are heard.
    pub peers: SocketAddr,
}

/// Starts a gateway on the current `LocalSet`.
///
/// # Errors
///
/// An address can't be listened on.
pub async fn start(
    settings: Settings,
    protocol: ProtocolAdapter,
    reader: RegistryReader,
) -> Result<Process> {
    let listen = settings.listen;
    let checks = server::listen(listen.ready).await?;
    let callers = server::listen(listen.callers).await?;
    let peers = server::listen(listen.peers).await?;
    let context = |address| ListenSnafu { address };
    let own = |l: &TcpListener, a: SocketAddrV4| l.local_addr().context(context(a));
    let addresses = (
        own(&callers, listen.callers)?,
        own(&checks, listen.ready)?,
        own(&peers, listen.peers)?,
    );
    let heard = SocketAddrV4::new(*listen.peers.ip(), addresses.2.port());
    let socket = UdpSocket::bind(heard).await.context(context(heard))?;
    let seed = toucanturn_clock::now().wall.0;
    let me = Heartbeat {
        address: heard,
        data_center: Tag::of(settings.data_center.as_bytes()).0,
        incarnation: Incarnation(seed),
        beat: 0,
        reads: false,
    };
    let mesh = Mesh::new(me, settings.seeds.clone());
    let mut gateway = Gateway::new(settings.bounds.bounds(), seed);
    if !settings.first_start {
        gateway.restarted(now());
    }
    let state = State::new(gateway, mesh, protocol, settings.registry);
    tracing::info!(
        event = 600,
        id = settings.id,
        data_center = settings.data_center,
        first_start = settings.first_start,
        "started"
    );
    let reader = Rc::new(reader);
    spawn_local(server::checks(state.clone(), checks));
    spawn_local(server::callers(state.clone(), callers));
    spawn_local(peers::serve(state.clone(), peers));
    spawn_local(gossip::run(state.clone(), socket));
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
        drop(gateway);
        for news in state.gateway.borrow_mut().tick(now()) {
            crate::feed::log(&news);
        }
    }
}

/// Stops: not ready at once, then the last request on each connection, then the end; returns the
/// requests that were cut.
pub async fn stop(state: &Shared, grace: Duration) -> usize {
    let began = Instant::now();
    let left = grace.saturating_sub(STOP_MARGIN);
    let last = began + left;
    let open = state.connections.get();
    tracing::info!(event = 691, open, "stopping");
    state
        .gateway
        .borrow_mut()
        .end_at(now(), now() + millis(left));
    state.phase.send_replace(Phase::Stopping);
    sleep_until(last.min(began + LAST_REQUEST_WAIT)).await;
    state.gateway.borrow_mut().close();
    state.phase.send_replace(Phase::Closing);
    while state.connections.get() > 0 && Instant::now() < last {
        sleep(STOP_POLL_INTERVAL).await;
    }
    let cut = state.requests.get();
    tracing::info!(event = 692, cut, "stopped");
    cut
}
