//! Software versions of streams: what peers are told of them, and what peers are asked.
//!
//! Reports go in datagrams as soon as a stream has begun; its first event does not wait for them. A lost one costs the
//! caller of a broken stream its take-up, and never joins two versions.

use std::{
    net::SocketAddrV4,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use futures_util::stream::{
    FuturesUnordered,
    StreamExt as _, //
};
use http::{
    Method,
    Request,
    Response,
    StatusCode,
    Uri, //
};
use http_body_util::Full;
use indexmap::IndexMap;
use tokio::{
    net::UdpSocket,
    time::{
        sleep,
        timeout, //
    },
};
use toucanturn_core::gateway::{
    Gateway, Ticket,
    incoming_request::IncomingRequest,
    mesh::MAX_STREAM_REPORTS,
    origin::{
        self,
        Build,
        Lookup,
        Origin,
        PeerKnowledge,
        StreamKey,
        StreamReport, //
    },
};
use toucanturn_wire::gossip::{
    StreamAsk,
    StreamReports,
    decode_stream_answer,
    decode_stream_ask,
    decode_stream_reports,
    encode_stream_answer,
    encode_stream_ask,
    encode_stream_reports,
    open,
    seal, //
};

use crate::{
    client::{
        HttpClient,
        Timeouts, //
    },
    log::text,
    state::{
        Shared,
        State,
        now, //
    },
};

/// Path of asks for a stream.
pub(crate) const PATH: &str = "/stream";
/// Time for which reports are collected before they are sent.
const BATCH_TIME: Duration = Duration::from_millis(5);
/// Time limit of the asks for one stream.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);
/// Limit of the streams that peers are asked for at once; the origin of further ones counts as unknown.
const MAX_ASKS: usize = 64;

/// `Source` is how a router has found out the origin of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
enum Source {
    /// From its own records.
    Here,
    /// From a peer's record.
    Peer,
    /// One version alone has served.
    OnlyVersion,
    /// Not at all.
    Nobody,
}

/// Tells peers of the streams that this router begins, until the process ends.
pub(crate) async fn report(state: Shared, socket: Rc<UdpSocket>) {
    loop {
        state.unsent_streams.notified().await;
        sleep(BATCH_TIME).await;
        for (datagram, target) in datagrams(&state) {
            if let Err(error) = socket.send_to(&datagram, target).await {
                tracing::debug!(%error, %target, "can't send stream reports");
            }
        }
    }
}

fn datagrams(state: &State) -> Vec<(Bytes, SocketAddrV4)> {
    let at = now();
    let mut gateway = state.gateway.borrow_mut();
    let reports = gateway.take_unsent_streams(at);
    let Some(catalog) = gateway.catalog() else {
        return Vec::new();
    };
    let mesh = state.mesh.borrow();
    let me = mesh.own_heartbeat();
    let mut by_target: IndexMap<SocketAddrV4, Vec<StreamReport>> = IndexMap::new();
    for report in &reports {
        for target in mesh.stream_keepers(at, report.key.stream) {
            by_target.entry(target).or_default().push(*report);
        }
    }
    let mut datagrams = Vec::new();
    for (target, reports) in by_target {
        for chunk in reports.chunks(MAX_STREAM_REPORTS) {
            let payload = encode_stream_reports(&StreamReports {
                from: me.address,
                beat: me.beat,
                reports: chunk.to_vec(),
            });
            datagrams.push((seal(&catalog.secret, catalog.version, payload), target));
            state.metrics.count("stream_reports", "sent");
        }
    }
    datagrams
}

/// Takes in a peer's stream reports.
pub(crate) fn receive(state: &State, payload: &[u8]) {
    let told = decode_stream_reports(payload).ok();
    let mesh = state.mesh.borrow();
    let told = told.filter(|told| mesh.accepts_round(now(), told.from, told.beat));
    let what = if told.is_some() { "heard" } else { "refused" };
    state.metrics.count("stream_reports", what);
    if let Some(told) = told {
        let mut gateway = state.gateway.borrow_mut();
        gateway.record_peer_streams(now(), &told.reports);
    }
}

/// Finds out at which software version the stream of a request may go on, if its caller takes one up.
pub(crate) async fn find_origin(state: &Shared, ticket: &mut Ticket, request: &IncomingRequest) {
    let found = state
        .gateway
        .borrow()
        .look_up_origin(now(), ticket, request);
    let (origin, source) = match found {
        Lookup::Found(Origin::New) => return,
        Lookup::Found(origin) => (origin, Source::Here),
        Lookup::Ask(key) => (ask_peers(state, ticket, key).await, Source::Peer),
    };
    let source = match origin {
        Origin::OnlyBuild => Source::OnlyVersion,
        Origin::Unknown => Source::Nobody,
        _ => source,
    };
    let mut gateway = state.gateway.borrow_mut();
    gateway.set_origin(ticket, origin);
    state.metrics.count("take_ups", &source.to_string());
    if state.log.try_admit() {
        log_taken_up(&gateway, ticket, request, source);
    }
}

fn log_taken_up(gateway: &Gateway, ticket: &Ticket, request: &IncomingRequest, source: Source) {
    let builds = || gateway.registry().builds().builds(&ticket.service);
    let name_of = |build: Build| {
        let listed = builds().find(|(listed, _, _)| *listed == build);
        listed.map_or_else(
            || format!("{:08x}", build.0),
            |(_, name, _)| text(name).into_owned(),
        )
    };
    let build = match ticket.origin {
        Origin::Build(build) => Some(name_of(build)),
        _ => None,
    };
    let key = request.resumes.as_deref();
    let record = key.and_then(|id| {
        let key = Gateway::stream_key(ticket, id);
        gateway.streams().get(now(), key)
    });
    let listed = builds().map(|(_, name, endpoints)| format!("{}: {endpoints}", text(name)));
    let listed: Vec<String> = listed.collect();
    tracing::info!(
        event = 671,
        id = %text(&request.id),
        resumes = key.map(|id| text(id).into_owned()),
        after = request.resume,
        build,
        %source,
        age = record.map(|r| now().since(r.began).0),
        listed = listed.join(", "),
        registry_age = gateway.proof().age(now()).map(|age| age.0),
        in_doubt = gateway.doubts_versions(now()),
        "stream taken up"
    );
}

/// Asks peers that may know a stream. The first one that does decides.
async fn ask_peers(state: &Shared, ticket: &Ticket, key: StreamKey) -> Origin {
    if state.stream_asks.get() >= MAX_ASKS {
        return Origin::Unknown;
    }
    state.stream_asks.set(state.stream_asks.get() + 1);
    let mut answers = Vec::new();
    let asked = timeout(
        ASK_TIMEOUT,
        collect_answers(state, ticket, key, &mut answers),
    );
    let found = asked.await.ok().flatten();
    state.stream_asks.set(state.stream_asks.get() - 1);
    found.map_or_else(
        || {
            let now = now();
            let mixed = state.gateway.borrow().is_mixed(now, &ticket.service);
            if mixed {
                Origin::Unknown
            } else {
                origin::without_record(&answers)
            }
        },
        Origin::Build,
    )
}

async fn collect_answers(
    state: &Shared,
    ticket: &Ticket,
    key: StreamKey,
    answers: &mut Vec<PeerKnowledge>,
) -> Option<Build> {
    let peers = state
        .mesh
        .borrow()
        .possible_stream_keepers(now(), key.stream);
    let asks = peers
        .into_iter()
        .map(|peer| ask(state, peer, key, &ticket.service));
    let mut asks: FuturesUnordered<_> = asks.collect();
    while let Some(answer) = asks.next().await {
        let Some(answer) = answer else {
            continue;
        };
        if answer.build.is_some() {
            return answer.build;
        }
        answers.push(answer);
    }
    None
}

async fn ask(
    state: &Shared,
    peer: SocketAddrV4,
    key: StreamKey,
    service: &Bytes,
) -> Option<PeerKnowledge> {
    let (nonce, body) = {
        let mut gateway = state.gateway.borrow_mut();
        let nonce = gateway.draw();
        let catalog = gateway.catalog()?;
        let ask = StreamAsk {
            nonce,
            key,
            service: service.clone(),
        };
        let payload = encode_stream_ask(&ask);
        (nonce, seal(&catalog.secret, catalog.version, payload))
    };
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(PATH);
    let timeouts = Timeouts {
        connect: ASK_TIMEOUT,
        head: ASK_TIMEOUT,
        body_frame: ASK_TIMEOUT,
        total: ASK_TIMEOUT,
    };
    let answer = HttpClient::new(peer).call(request, timeouts, &|| ()).await;
    let body = answer
        .inspect_err(|error| tracing::debug!(%error, %peer, "peer does not tell of a stream"))
        .ok()?;
    let (_, payload) = open(&body, |epoch| state.secret(epoch)).ok()?;
    let (answered, knowledge) = decode_stream_answer(&payload).ok()?;
    (answered == nonce).then_some(knowledge)
}

/// Answers a peer that asks for a stream.
pub(crate) fn answer(state: &State, body: &[u8]) -> Response<Full<Bytes>> {
    let opened = open(body, |epoch| state.secret(epoch));
    let asked = opened.and_then(|(epoch, payload)| Ok((epoch, decode_stream_ask(&payload)?)));
    let answer = asked.ok().and_then(|(epoch, ask)| {
        let secret = state.secret(epoch)?;
        let gateway = state.gateway.borrow();
        let knowledge = gateway.knowledge_of(now(), ask.key, &ask.service);
        let payload = encode_stream_answer(ask.nonce, knowledge);
        Some(seal(&secret, epoch, payload))
    });
    let mut response = Response::new(Full::default());
    match answer {
        Some(sealed) => *response.body_mut() = Full::new(sealed),
        None => *response.status_mut() = StatusCode::FORBIDDEN,
    }
    response
}
