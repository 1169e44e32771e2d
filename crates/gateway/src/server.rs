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
    task::spawn_local,
    time::sleep,
};

use crate::{
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

/// Connections that may wait to be accepted. Beyond it the kernel drops the opening packet, which the
/// other side sends again after a second.
const LISTEN_BACKLOG: u32 = 1024;
/// Pause after accepting a connection failed, for example because file descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Idle timeout of connections from the load balancer and peers, which send several requests within it.
const INTERNAL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Idle timeout of a caller's connection after an answer: the time that callers are told, and one second for a request
/// that is on its way.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(exchange::KEEP_ALIVE_S + 1);
/// Smallest read buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;

/// Listens on an address.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn listen(address: SocketAddrV4) -> Result<TcpListener> {
    let bound = TcpSocket::new_v4().and_then(|socket| {
        socket.set_reuseaddr(true)?;
        socket.bind(address.into())?;
        socket.listen(LISTEN_BACKLOG)
    });
    bound.context(ListenSnafu { address })
}

/// Serves callers until the process ends.
pub async fn serve_callers(state: Shared, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve_caller(state.clone(), stream));
            }
            Err(error) => {
                state.metrics.count("accepts", "failed");
                tracing::warn!(event = 640, %error, "connection not accepted");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_caller(state: Shared, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "can't set TCP_NODELAY, connection closed");
        return;
    }
    let limits = {
        let gateway = state.gateway.borrow();
        gateway.catalog().map(|c| c.limits).unwrap_or_default()
    };
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle.0))
        .max_header_size(limits.head.max(MIN_BUFFER_BYTES));
    let shared = state.clone();
    let progress = Rc::new(ConnectionProgress::new(&state.requests));
    let head_time = Duration::from_millis(limits.head_time.0);
    let stream = HeadTimeoutStream::new(stream, &progress, head_time);
    let requests = Rc::clone(&progress);
    let service = service_fn(move |request: Request<Incoming>| {
        let version = request.version();
        let open = OpenRequest::new(&requests);
        // Boxed, as the HTTP library reserves space for this future in each connection, even an idle one.
        let answer = Box::pin(exchange::serve(shared.clone(), request));
        async move {
            let answer: Result<_, Infallible> = answer.await;
            answer.map(|answer| answer.map(|body| TrackedBody::new(body, open, version)))
        }
    });
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut phase = state.phase.subscribe();
    state.connections.set(state.connections.get() + 1);
    // A connection accepted in this phase has a request on its way: a shutdown now would race with it.
    let mut closing = state.phase() == Phase::Closing;
    let ended = loop {
        tokio::select! {
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
    state.connections.set(state.connections.get() - 1);
    if let Err(error) = ended {
        tracing::debug!(%error, "connection of a caller ended");
    }
}

/// Serves readiness checks, metrics and explanations until the process ends.
pub async fn serve_checks(state: Shared, listener: TcpListener) {
    serve(state, listener, answer_check).await;
}

/// Answers the requests to a listener until the process ends. They come from the load balancer and peers, and are
/// short.
pub(crate) async fn serve<F, A>(state: Shared, listener: TcpListener, answer: F)
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
        if let Err(error) = stream.set_nodelay(true) {
            tracing::debug!(%error, "can't set TCP_NODELAY");
        }
        let shared = state.clone();
        spawn_local(async move {
            let session = Rc::new(Session::default());
            let service =
                service_fn(move |request| answer(shared.clone(), Rc::clone(&session), request));
            let mut builder = http1::Builder::new();
            builder
                .timer(TokioTimer::new())
                .header_read_timeout(INTERNAL_IDLE_TIMEOUT);
            let served = builder.serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                tracing::debug!(%error, "connection ended");
            }
        });
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

/// Sets the gauges of what is buffered.
fn record_memory(state: &State) {
    let metrics = &state.metrics;
    let (answers, requests) = (&state.memory.answers, &state.memory.requests);
    metrics.gauge("buffered_bytes", "answers", answers.held());
    metrics.gauge("buffered_bytes", "requests", requests.held());
    metrics.gauge("buffered_peak_bytes", "answers", answers.peak());
    metrics.gauge("buffered_peak_bytes", "requests", requests.peak());
}
