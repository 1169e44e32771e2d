//! The receiving side: checks what arrives and hands it to the driver.
//!
//! The checks in their order: version, size, receiver, MAC, the receiver's incarnation, replay,
//! sender. What fails one before the replay check gets a plain gRPC status, which promises
//! nothing. From there on the sequence number is used up, so that a refusal is a promise: this
//! request was not processed and never will be.

use std::{
    future::Future,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use prost::Message as _;
use snafu::{
    ResultExt,
    Snafu, //
};
use tokio::{
    net::TcpListener,
    sync::{
        Semaphore,
        mpsc, //
    },
};
use tonic::{Response, Status, transport::server::Server};
use toucanturn_core::{
    arena::RouterKey,
    ids::Tag,
    peer::Message,
    units::Incarnation, //
};
use toucanturn_wire::{
    self as wire,
    envelope::{
        self,
        Header,
        Label, //
    },
    forward,
    limits::MAX_ENVELOPE,
    message,
    proto::{
        Envelope,
        peer_server::{
            Peer,
            PeerServer, //
        },
    },
    receipt::{
        Receipt,
        Refusal, //
    },
    window::{
        Order,
        Senders, //
    },
};

use super::{
    Identity,
    Options,
    counters::{
        Counters,
        Kind, //
    },
    incoming, //
};

/// `Error` says why the server ended.
#[derive(Debug, Snafu)]
#[snafu(display("the peer server ended: {source}"))]
pub struct Error {
    source: tonic::transport::Error,
}

/// `Delivery` is a batch of control messages from one peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// The sender.
    pub from: RouterKey,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The messages, in the order in which they were sent.
    pub messages: Vec<Message>,
}

/// `Call` is a forwarded call that arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The entry router.
    pub from: RouterKey,
    /// The entry router's incarnation.
    pub incarnation: Incarnation,
    /// The call.
    pub request: forward::Request,
}

/// `Rejected` hears of a refused message: the sender that it claims, and why.
pub type Rejected = dyn Fn(Tag, &wire::Error) + Send + Sync;

/// `State` is what the server needs of the driver.
#[derive(Clone)]
pub struct State {
    /// Who this router is.
    pub identity: Identity,
    /// Looks a sender's tag up in the configuration in force.
    pub resolve: Arc<dyn Fn(Tag) -> Option<RouterKey> + Send + Sync>,
    /// Takes the batches. While it is full, batches are refused and their senders told so.
    pub deliveries: mpsc::Sender<Delivery>,
    /// Runs a forwarded call. It runs in a task of its own to its end, also when the entry router
    /// has gone, and must end by itself soon after the call's deadline.
    pub forward: Arc<dyn Fn(Call) -> BoxFuture<'static, forward::Reply> + Send + Sync>,
    /// Hears of each message that was refused, with the sender that it claims. The claim is true
    /// only where the error comes after the MAC was checked. It must not block.
    pub rejected: Arc<Rejected>,
    /// Counts.
    pub counters: Arc<Counters>,
}

/// Serves the peer link on a bound listener until `shutdown` completes, then until the calls in
/// progress have ended.
///
/// # Errors
///
/// Fails when the listener does.
pub async fn serve(
    listener: TcpListener,
    options: Options,
    state: State,
    shutdown: impl Future<Output = ()>,
) -> Result<(), Error> {
    let counters = Arc::clone(&state.counters);
    let service = Service {
        state,
        forwards: Arc::new(Semaphore::new(options.forwards)),
        senders: Mutex::default(),
    };
    let service = PeerServer::new(service).max_decoding_message_size(MAX_ENVELOPE);
    Server::builder()
        .max_concurrent_streams(options.streams)
        .http2_keepalive_interval(Some(options.ping_interval))
        .http2_keepalive_timeout(Some(options.ping_timeout))
        .add_service(service)
        .serve_with_incoming_shutdown(
            incoming::accept(listener, options.connections, counters),
            shutdown,
        )
        .await
        .context(Snafu)
}

/// `Service` answers the two calls.
struct Service {
    state: State,
    forwards: Arc<Semaphore>,
    senders: Mutex<Senders>,
}

/// `Received` is a message that passed all checks.
struct Received {
    header: Header,
    from: RouterKey,
    payload: Bytes,
}

/// `Rejection` is what a message that failed a check is answered with.
enum Rejection {
    /// A status, which promises nothing.
    Status(Status),
    /// An authentic refusal.
    Refused(Header, Refusal),
}

impl Service {
    fn receive(&self, label: Label, envelope: Envelope) -> Result<Received, Rejection> {
        let claimed = Tag(envelope.from);
        let Identity { tag, ref key, .. } = self.state.identity;
        let size = envelope.encoded_len();
        let (header, payload) = envelope::open(key, label, tag, envelope)
            .map_err(|error| self.reject(claimed, &error))?;
        let received = &self.state.counters.received;
        received.of(Kind::Envelope).add(size - payload.len());
        self.check_incarnation(header)?;
        // A link sends its batches one after the other. One that comes after a later one is one
        // that the sender gave up; what it says is out of date. Probes are empty and go in between.
        let order = match label {
            Label::Deliver if !payload.is_empty() => Order::Ascending,
            _ => Order::Any,
        };
        self.senders
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .accept(&header, order, |tag| (self.state.resolve)(tag).is_some())
            .map_err(|error| self.reject(claimed, &error))?;
        let Some(from) = (self.state.resolve)(header.from) else {
            self.reject(claimed, &wire::Error::UnknownSender { tag: claimed });
            return Err(Rejection::Refused(header, Refusal::UnknownSender));
        };
        Ok(Received {
            header,
            from,
            payload,
        })
    }

    /// Checks that the message is for this life of the router. A life has no memory of what came
    /// before it; without this check, what was recorded then could be replayed now.
    fn check_incarnation(&self, header: Header) -> Result<(), Rejection> {
        let found = header.to_incarnation;
        let expected = self.state.identity.incarnation;
        let unknown = Incarnation::default();
        if found == expected && found != unknown {
            return Ok(());
        }
        if found != unknown {
            let error = wire::Error::WrongIncarnation { found, expected };
            self.reject(header.from, &error);
        }
        Err(Rejection::Refused(header, Refusal::WrongIncarnation))
    }

    /// Counts and reports a message that failed a check.
    fn reject(&self, claimed: Tag, error: &wire::Error) -> Rejection {
        self.state.counters.reject(error);
        (self.state.rejected)(claimed, error);
        let status = match error {
            wire::Error::BadMac => Status::unauthenticated(error.to_string()),
            _ => Status::failed_precondition(error.to_string()),
        };
        Rejection::Status(status)
    }

    fn answer(
        &self,
        label: Label,
        result: Result<(Header, Receipt), Rejection>,
    ) -> Result<Response<Envelope>, Status> {
        let (header, receipt) = match result {
            Ok(answer) => answer,
            Err(Rejection::Refused(header, refusal)) => (header, Receipt::Refused(refusal)),
            Err(Rejection::Status(status)) => return Err(status),
        };
        let Identity {
            incarnation,
            ref key,
            ..
        } = self.state.identity;
        let kind = match receipt {
            Receipt::Reply(_) => Kind::ForwardReply,
            Receipt::Accepted | Receipt::Refused(_) => Kind::Receipt,
        };
        let payload = receipt.encode();
        let inner = payload.len();
        let envelope = envelope::seal(key, label, header.reply(incarnation), payload);
        let sent = &self.state.counters.sent;
        sent.of(kind).add(inner);
        sent.of(Kind::Envelope).add(envelope.encoded_len() - inner);
        Ok(Response::new(envelope))
    }

    fn take_batch(&self, envelope: Envelope) -> Result<(Header, Receipt), Rejection> {
        let Received {
            header,
            from,
            payload,
        } = self.receive(Label::Deliver, envelope)?;
        let messages = message::decode_batch(payload).map_err(|error| {
            self.reject(header.from, &error);
            Rejection::Refused(header, Refusal::Malformed)
        })?;
        let received = &self.state.counters.received;
        for message in &messages {
            received.of(Kind::from(message)).add(wire::size(message));
        }
        if messages.is_empty() {
            return Ok((header, Receipt::Accepted));
        }
        let delivery = Delivery {
            from,
            incarnation: header.incarnation,
            messages,
        };
        match self.state.deliveries.try_send(delivery) {
            Ok(()) => Ok((header, Receipt::Accepted)),
            Err(_) => Err(Rejection::Refused(header, Refusal::Busy)),
        }
    }

    async fn run_call(&self, envelope: Envelope) -> Result<(Header, Receipt), Rejection> {
        let Received {
            header,
            from,
            payload,
        } = self.receive(Label::Forward, envelope)?;
        let received = &self.state.counters.received;
        received.of(Kind::Forward).add(payload.len());
        let request = forward::Request::decode(payload).map_err(|error| {
            self.reject(header.from, &error);
            Rejection::Refused(header, Refusal::Malformed)
        })?;
        let Ok(permit) = Arc::clone(&self.forwards).try_acquire_owned() else {
            return Err(Rejection::Refused(header, Refusal::Busy));
        };
        let call = Call {
            from,
            incarnation: header.incarnation,
            request,
        };
        let run = (self.state.forward)(call);
        // A task of its own: the library drops this future when the entry router goes away, and a
        // call that has begun must not be cut off half way.
        let task = tokio::spawn(async move {
            let reply = run.await;
            drop(permit);
            reply
        });
        let ended = |_| Rejection::Status(Status::internal("the call ended without an answer"));
        let reply = task.await.map_err(ended)?;
        Ok((header, Receipt::Reply(reply)))
    }
}

#[tonic::async_trait]
impl Peer for Service {
    async fn deliver(
        &self,
        request: tonic::Request<Envelope>,
    ) -> Result<Response<Envelope>, Status> {
        let result = self.take_batch(request.into_inner());
        self.answer(Label::DeliverReply, result)
    }

    async fn forward(
        &self,
        request: tonic::Request<Envelope>,
    ) -> Result<Response<Envelope>, Status> {
        let result = self.run_call(request.into_inner()).await;
        self.answer(Label::ForwardReply, result)
    }
}
