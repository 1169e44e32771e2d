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
use futures_util::{
    future::{
        FutureExt as _,
        LocalBoxFuture, //
    },
    stream::{
        FuturesUnordered,
        StreamExt as _, //
    },
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
use toucanturn_core::{
    gateway::{
        Gateway, Ticket,
        incoming_request::IncomingRequest,
        mesh::MAX_STREAM_REPORTS,
        origin::{
            Build,
            Lookup,
            Origin,
            PeerKnowledge,
            StreamKey,
            StreamReport,
            Versions, //
        },
    },
    units::{
        Millis,
        Time, //
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
    reads,
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
/// Time limit of an ask for a record.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);
/// Time limit of the first read of the registry for a stream, by the router that reads for the data centre.
const READER_PROOF_TIMEOUT: Duration = Duration::from_millis(200);
/// Time limit of an ask of the reader with the wait for those before it.
const SHARED_PROOF_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which the reader's answers are kept for those that wait for them.
const PROOF_RETENTION: Millis = Millis(5000);
/// Time limit of further reads for it, here and at peers.
const PROOF_TIMEOUT: Duration = Duration::from_millis(600);
/// Time limit of an ask for a record and a read.
const PEER_PROOF_TIMEOUT: Duration = Duration::from_millis(800);
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
    let arrived = now();
    let found = state
        .gateway
        .borrow()
        .look_up_origin(arrived, ticket, request);
    let (origin, source) = match found {
        Lookup::Found(Origin::New) => return,
        Lookup::Found(Origin::Unknown) => (Origin::Unknown, Source::Nobody),
        Lookup::Found(origin) => (origin, Source::Here),
        Lookup::Ask(key) => {
            let query = Query::new(ticket, key, arrived);
            query.find_record(state).await
        }
        Lookup::Prove(key) => {
            let query = Query::new(ticket, key, arrived);
            query.prove(state).await
        }
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

/// `VersionsProof` is what a peer has proved of a service's versions.
#[derive(Debug)]
pub(crate) struct VersionsProof {
    /// When it was asked.
    asked: Time,
    versions: Versions,
}

/// `Query` is a search for the version that began a stream.
struct Query<'a> {
    ticket: &'a Ticket,
    key: StreamKey,
    /// When the request that takes the stream up arrived.
    arrived: Time,
}

/// `Proof` is whether a peer is to read the registry for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Proof {
    Wanted,
    Unneeded,
}

impl<'a> Query<'a> {
    fn new(ticket: &'a Ticket, key: StreamKey, arrived: Time) -> Self {
        Self {
            ticket,
            key,
            arrived,
        }
    }

    /// Finds out which version began the stream, where this router knows of one alone.
    ///
    /// A version may have joined since this router's last read, and have begun the stream. So the registry is read
    /// again, by the router that reads for this data centre: many callers may come back at once, and calls to the
    /// registry are limited. Where that fails, peers are asked for a record, and for a read of theirs.
    async fn prove(&self, state: &Shared) -> (Origin, Source) {
        let doubts = state.gateway.borrow().doubts_versions(now());
        if !doubts {
            let known = self.read_at_reader(state).await;
            if let Some(found) = self.conclude(state, known) {
                return found;
            }
            if known.versions == Versions::Several {
                return self.find_record(state).await;
            }
        }
        let Some(_asking) = Asking::begin(state) else {
            return (Origin::Unknown, Source::Nobody);
        };
        let own = async {
            match doubts {
                true => PeerKnowledge::default(),
                false => self.read(state, PROOF_TIMEOUT).await,
            }
        };
        let asks = self.keepers(state).into_iter();
        let asks = asks.map(|peer| {
            self.ask(state, peer, Proof::Wanted, PEER_PROOF_TIMEOUT)
                .boxed_local()
        });
        let answers: FuturesUnordered<_> = asks.chain([own.boxed_local()]).collect();
        self.first_conclusion(state, answers).await
    }

    /// Finds a peer's record of the stream.
    async fn find_record(&self, state: &Shared) -> (Origin, Source) {
        let Some(_asking) = Asking::begin(state) else {
            return (Origin::Unknown, Source::Nobody);
        };
        let asks = self.keepers(state).into_iter();
        let asks = asks.map(|peer| {
            self.ask(state, peer, Proof::Unneeded, ASK_TIMEOUT)
                .boxed_local()
        });
        self.first_conclusion(state, asks.collect()).await
    }

    async fn first_conclusion(
        &self,
        state: &Shared,
        mut answers: FuturesUnordered<LocalBoxFuture<'_, PeerKnowledge>>,
    ) -> (Origin, Source) {
        let mut several = false;
        while let Some(known) = answers.next().await {
            several |= known.versions == Versions::Several;
            let found = self.conclude(state, known);
            let found = found.filter(|(_, source)| !several || *source == Source::Peer);
            if let Some(found) = found {
                return found;
            }
        }
        (Origin::Unknown, Source::Nobody)
    }

    fn conclude(&self, state: &Shared, known: PeerKnowledge) -> Option<(Origin, Source)> {
        if let Some(build) = known.build {
            return Some((build.into(), Source::Peer));
        }
        let Versions::Only(only) = known.versions else {
            return None;
        };
        let gateway = state.gateway.borrow();
        gateway
            .must_have_begun(now(), self.ticket, only)
            .then_some((Origin::Build(only), Source::OnlyVersion))
    }

    fn keepers(&self, state: &Shared) -> Vec<SocketAddrV4> {
        let mesh = state.mesh.borrow();
        mesh.possible_stream_keepers(now(), self.key.stream)
    }

    /// Has the router that reads the registry for this data centre read it.
    async fn read_at_reader(&self, state: &Shared) -> PeerKnowledge {
        if state.mesh.borrow().upstream(now()).is_none() {
            return self.read(state, READER_PROOF_TIMEOUT).await;
        }
        let asked = timeout(SHARED_PROOF_TIMEOUT, self.ask_reader(state)).await;
        asked.unwrap_or_default()
    }

    /// Asks the reader, one ask at a time: those that wait share the next answer.
    async fn ask_reader(&self, state: &Shared) -> PeerKnowledge {
        let mut proofs = state.version_proofs.lock().await;
        let service = &self.ticket.service;
        if let Some(proof) = proofs.get(service)
            && proof.asked > self.arrived
        {
            return PeerKnowledge {
                build: None,
                versions: proof.versions,
            };
        }
        let upstream = state.mesh.borrow().upstream(now());
        let Some(peer) = upstream else {
            return PeerKnowledge::default();
        };
        let asked = now();
        let answer = self.ask(state, peer, Proof::Wanted, READER_PROOF_TIMEOUT);
        let answer = answer.await;
        let versions = answer.versions;
        proofs.retain(|_, proof| asked.since(proof.asked) < PROOF_RETENTION);
        proofs.insert(service.clone(), VersionsProof { asked, versions });
        answer
    }

    /// Reads the registry.
    async fn read(&self, state: &Shared, limit: Duration) -> PeerKnowledge {
        reads::read_after(state, self.arrived, limit).await;
        let gateway = state.gateway.borrow();
        gateway.knowledge_of(now(), self.arrived, self.key, &self.ticket.service)
    }

    /// Asks a peer; an answer that fails to come says nothing.
    async fn ask(
        &self,
        state: &Shared,
        peer: SocketAddrV4,
        proof: Proof,
        limit: Duration,
    ) -> PeerKnowledge {
        let answer = self.call(state, peer, proof, limit).await;
        answer.unwrap_or_default()
    }

    async fn call(
        &self,
        state: &Shared,
        peer: SocketAddrV4,
        proof: Proof,
        limit: Duration,
    ) -> Option<PeerKnowledge> {
        let (nonce, body) = {
            let mut gateway = state.gateway.borrow_mut();
            let nonce = gateway.draw();
            let catalog = gateway.catalog()?;
            let ask = StreamAsk {
                nonce,
                key: self.key,
                service: self.ticket.service.clone(),
                prove: proof == Proof::Wanted,
            };
            let payload = encode_stream_ask(&ask);
            (nonce, seal(&catalog.secret, catalog.version, payload))
        };
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from_static(PATH);
        let timeouts = Timeouts {
            connect: ASK_TIMEOUT.min(limit),
            head: limit,
            body_frame: ASK_TIMEOUT,
            total: limit,
        };
        let answer = HttpClient::new(peer).call(request, timeouts, &|| ()).await;
        let body = answer
            .inspect_err(|error| tracing::debug!(%error, %peer, "peer does not tell of a stream"))
            .ok()?;
        let (_, payload) = open(&body, |epoch| state.secret(epoch)).ok()?;
        let (answered, knowledge) = decode_stream_answer(&payload).ok()?;
        (answered == nonce).then_some(knowledge)
    }
}

/// `Asking` counts a stream that peers are asked for until it is dropped.
struct Asking<'a>(&'a State);

impl<'a> Asking<'a> {
    /// Counts a stream; `None` if as many are asked for as may be.
    fn begin(state: &'a State) -> Option<Self> {
        let asks = state.stream_asks.get();
        (asks < MAX_ASKS).then(|| {
            state.stream_asks.set(asks + 1);
            Self(state)
        })
    }
}

impl Drop for Asking<'_> {
    fn drop(&mut self) {
        let asks = &self.0.stream_asks;
        asks.set(asks.get().saturating_sub(1));
    }
}

/// Answers a peer that asks for a stream.
pub(crate) async fn answer(state: &Shared, body: &[u8]) -> Response<Full<Bytes>> {
    let asked_at = now();
    let opened = open(body, |epoch| state.secret(epoch));
    let asked = opened.and_then(|(epoch, payload)| Ok((epoch, decode_stream_ask(&payload)?)));
    let mut response = Response::new(Full::default());
    let Ok((epoch, ask)) = asked else {
        *response.status_mut() = StatusCode::FORBIDDEN;
        return response;
    };
    let knowledge = knowledge(state, epoch, &ask, asked_at).await;
    match state.secret(epoch) {
        Some(secret) => {
            let payload = encode_stream_answer(ask.nonce, knowledge);
            *response.body_mut() = Full::new(seal(&secret, epoch, payload));
        }
        None => *response.status_mut() = StatusCode::FORBIDDEN,
    }
    response
}

/// Finds what this router knows of a stream, and reads the registry if the peer needs a proof.
async fn knowledge(state: &Shared, epoch: u64, ask: &StreamAsk, asked_at: Time) -> PeerKnowledge {
    let known = || {
        let gateway = state.gateway.borrow();
        gateway.knowledge_of(now(), asked_at, ask.key, &ask.service)
    };
    let before = known();
    let decided = before.build.is_some() || before.versions != Versions::Unproven;
    let doubts = state.gateway.borrow().doubts_versions(now());
    if ask.prove && !decided && !doubts {
        reads::read_after(state, asked_at, PROOF_TIMEOUT).await;
    }
    let after = known();
    // The peer's routes are those of its configuration.
    let catalog = state.gateway.borrow().catalog().map(|c| c.version);
    let versions = match catalog == Some(epoch) {
        true => after.versions,
        false => Versions::Unproven,
    };
    PeerKnowledge { versions, ..after }
}
