//! HTTP servers: for callers, and for peers, readiness checks and metrics.

use std::{
    convert::Infallible,
    net::SocketAddrV4,
    rc::Rc,
    time::Duration, //
};

use http::{
    Method,
    Request,
    Response,
    StatusCode, //
};
use http_body_util::{
    Either,
    Full, //
};
use hyper::{
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::{
    TokioIo,
    TokioTimer, //
};
use snafu::ResultExt;
use tokio::{
    net::{
        TcpListener,
        TcpSocket,
        TcpStream, //
    },
    task::{
        spawn_local,
        yield_now, //
    },
    time::sleep,
};
use toucanturn_core::gateway::catalog::Limits;

use crate::{
    budget::{
        MAX_CHECKS,
        Side,
        peer_head,
        read_buffer, //
    },
    connections::{
        Limiter,
        Slot, //
    },
    errors::{
        ListenSnafu,
        Result, //
    },
    exchange::{
        self,
        Body, //
    },
    explain,
    handoff::Session,
    head_timeout::{
        ConnectionProgress,
        HeadTimeoutStream,
        OpenRequest,
        TrackedBody, //
    },
    state::{
        Phase,
        Shared,
        State, //
    },
};

/// Pause after accepting a connection failed, for example because file descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Idle timeout of connections from the load balancer and peers, which send several requests within it.
const INTERNAL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Idle timeout of a caller's connection after an answer: the time that callers are told, and one second for a request
/// that is on its way.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(exchange::KEEP_ALIVE_S + 1);

/// `Internal` is a listener that isn't for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Internal {
    /// Readiness checks and metrics.
    Checks,
    /// Peers.
    Peers,
}

/// Listens on an address.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn listen(address: SocketAddrV4, side: Side) -> Result<TcpListener> {
    let bound = TcpSocket::new_v4().and_then(|socket| {
        socket.set_reuseaddr(true)?;
        // Connections take these sizes over, and what they receive before they are accepted is bounded as well.
        socket.set_recv_buffer_size(side.receive_bytes)?;
        socket.set_send_buffer_size(side.send_bytes)?;
        socket.bind(address.into())?;
        socket.listen(side.backlog)
    });
    bound.context(ListenSnafu { address })
}

/// Admits a new connection; returns `None` if it has to be closed.
async fn admit(state: &State, limiter: &Limiter, most: usize, what: &'static str) -> Option<Slot> {
    limiter.set_most(most);
    let open = limiter.open();
    let slot = limiter.admit();
    if open >= most {
        let outcome = if slot.is_some() {
            "replaced"
        } else {
            "refused"
        };
        state.metrics.count("connections_full", what);
        if state.log.try_admit() {
            tracing::warn!(event = 641, what, open, outcome, "connections are full");
        }
        // The connection that gives way closes before the next one is accepted.
        yield_now().await;
    }
    slot
}

/// Serves callers until the process ends.
pub async fn serve_callers(state: Shared, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let limits = state.limits();
                let most = state.budget.get().most_callers(limits.head);
                let slot = admit(&state, &state.callers_open, most, "callers").await;
                if let Some(slot) = slot {
                    spawn_local(serve_caller(state.clone(), stream, limits, slot));
                }
            }
            Err(error) => {
                state.metrics.count("accepts", "failed");
                tracing::warn!(event = 640, %error, "connection not accepted");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_caller(state: Shared, stream: TcpStream, limits: Limits, slot: Slot) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "can't set TCP_NODELAY, connection closed");
        return;
    }
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle.0))
        .max_header_size(read_buffer(limits.head))
        .max_buf_size(read_buffer(limits.head));
    let shared = state.clone();
    let progress = Rc::new(ConnectionProgress::new(&state.requests, slot));
    let head_time = Duration::from_millis(limits.head_time.0);
    let stream = HeadTimeoutStream::new(stream, &progress, head_time);
    let requests = Rc::clone(&progress);
    let service = service_fn(move |request: Request<Incoming>| {
        let version = request.version();
        let open = OpenRequest::new(&requests);
        let connection = Rc::clone(&requests);
        // Boxed, as the HTTP library reserves space for this future in each connection, even an idle one.
        let answer = Box::pin(exchange::serve(shared.clone(), request, connection));
        async move {
            let answer: Result<_, Infallible> = answer.await;
            answer.map(|answer| answer.map(|body| TrackedBody::new(body, open, version)))
        }
    });
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut phase = state.phase.subscribe();
    // A connection accepted in this phase has a request on its way: a shutdown now would race with it.
    let mut closing = state.phase() == Phase::Closing;
    let ended = loop {
        tokio::select! {
            // A connection that gives way reads no further request, which would be cut off.
            biased;
            () = progress.closed() => break Ok(()),
            ended = connection.as_mut() => break ended,
            _ = phase.wait_for(|p| *p == Phase::Closing), if !closing => {
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = progress.idle_for(CALLER_IDLE_TIMEOUT), if !closing => {
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    };
    if let Err(error) = ended {
        tracing::debug!(%error, "connection of a caller ended");
    }
}

/// Serves readiness checks, metrics and explanations until the process ends.
pub async fn serve_checks(state: Shared, listener: TcpListener) {
    serve(state, (listener, Internal::Checks), answer_check).await;
}

/// Answers the requests to a listener until the process ends. They come from the load balancer and peers, and are
/// short.
pub(crate) async fn serve<F, A>(state: Shared, (listener, what): (TcpListener, Internal), answer: F)
where
    F: Fn(Shared, Rc<Session>, Request<Incoming>) -> A + Copy + 'static,
    A: Future<Output = Result<Response<Body>, Infallible>> + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            state.metrics.count("accepts", "failed");
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let head = state.limits().head;
        let (limiter, most) = match what {
            Internal::Checks => (&state.checks_open, MAX_CHECKS),
            Internal::Peers => (&state.peers_open, state.budget.get().most_peers(head)),
        };
        let Some(slot) = admit(&state, limiter, most, what.into()).await else {
            continue;
        };
        if let Err(error) = stream.set_nodelay(true) {
            tracing::debug!(%error, "can't set TCP_NODELAY");
        }
        spawn_local(serve_internal(state.clone(), (stream, slot), head, answer));
    }
}

async fn serve_internal<F, A>(
    state: Shared,
    (stream, slot): (TcpStream, Slot),
    head: usize,
    answer: F,
) where
    F: Fn(Shared, Rc<Session>, Request<Incoming>) -> A + Copy + 'static,
    A: Future<Output = Result<Response<Body>, Infallible>> + 'static,
{
    let session = Rc::new(Session::default());
    let progress = Rc::new(ConnectionProgress::new(&Rc::default(), slot));
    let stream = HeadTimeoutStream::new(stream, &progress, INTERNAL_IDLE_TIMEOUT);
    let requests = Rc::clone(&progress);
    let service = service_fn(move |request: Request<Incoming>| {
        let version = request.version();
        let open = OpenRequest::new(&requests);
        // Peers' bodies have a time limit of their own.
        requests.end_request();
        let answer = answer(state.clone(), Rc::clone(&session), request);
        async move {
            let answer = answer.await;
            answer.map(|answer| answer.map(|body| TrackedBody::new(body, open, version)))
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(INTERNAL_IDLE_TIMEOUT)
        .max_buf_size(read_buffer(peer_head(head)));
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        biased;
        () = progress.closed() => {}
        ended = connection => {
            if let Err(error) = ended {
                tracing::debug!(%error, "connection ended");
            }
        }
    }
}

async fn answer_check(
    state: Shared,
    _: Rc<Session>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let path = request.uri().path();
    let (status, text) = if path == state.protocol.ready_path {
        match state.ready() {
            true => (StatusCode::OK, String::new()),
            false => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        }
    } else if path == "/metrics" {
        record_memory(&state);
        (StatusCode::OK, state.metrics.text())
    } else if path == explain::PATH && request.method() == Method::GET {
        explain::answer(&state, request.uri().query().unwrap_or_default())
    } else {
        (StatusCode::NOT_FOUND, String::new())
    };
    let mut response = Response::new(Either::Left(Full::from(text)));
    *response.status_mut() = status;
    Ok(response)
}

/// Sets the gauges of what is open and of what is buffered.
fn record_memory(state: &State) {
    let metrics = &state.metrics;
    let (answers, requests) = (&state.memory.answers, &state.memory.requests);
    metrics.gauge("connections", "callers", state.callers_open.open());
    metrics.gauge("connections", "checks", state.checks_open.open());
    metrics.gauge("connections", "peers", state.peers_open.open());
    metrics.gauge("buffered_bytes", "answers", answers.held());
    metrics.gauge("buffered_bytes", "requests", requests.held());
    metrics.gauge("buffered_peak_bytes", "answers", answers.peak());
    metrics.gauge("buffered_peak_bytes", "requests", requests.peak());
}
