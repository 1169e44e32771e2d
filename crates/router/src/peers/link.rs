//! The link to one peer: its connection, its queue and its numbers.
//!
//! A connection starts with an empty batch that names no incarnation. The peer refuses it and
//! thereby tells its incarnation, which all that follows names; so whatever is recorded here is
//! worthless once the peer has restarted.

use std::{
    future::Future,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration,
};

use bytes::Bytes;
use prost::Message as _;
use snafu::ResultExt;
use tokio::{
    sync::{
        Notify,
        Semaphore, //
    },
    time::Instant, //
};
use tonic::transport::{
    Channel,
    Endpoint, //
};
use toucanturn_core::{
    arena::RouterKey,
    peer::Message,
    units::{
        Incarnation,
        Millis, //
    },
};
use toucanturn_wire::{
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
        peer_client::PeerClient, //
    },
    receipt::{
        Receipt,
        Refusal, //
    },
};

use super::{
    Identity, Options, Peer,
    counters::{
        Counters,
        Kind,
        add, //
    },
    errors::{
        BackoffSnafu,
        CallSnafu,
        ConnectSnafu,
        Failure,
        ForwardError,
        RefusedSnafu,
        TimeoutSnafu,
        WireSnafu,
        WrongReplySnafu, //
    },
    gate::{
        Gate,
        Gated, //
    },
    queue::{
        Queue,
        Waiting, //
    },
};
use crate::events;

/// `Shared` is what all links of a client have in common.
pub(super) struct Shared {
    pub(super) identity: Identity,
    pub(super) options: Options,
    pub(super) counters: Arc<Counters>,
    pub(super) failed: Arc<dyn Fn(RouterKey) + Send + Sync>,
}

/// `Connection` is one connection to one incarnation of the peer.
#[derive(Clone)]
struct Connection {
    number: u64,
    channel: Channel,
    incarnation: Incarnation,
    heard: Instant,
}

/// `State` is the connection, if there is one, and when to try again if not.
#[derive(Default)]
struct State {
    connection: Option<Connection>,
    retry_at: Option<Instant>,
    made: u64,
}

/// `Link` is the link to one peer.
pub(super) struct Link {
    pub(super) peer: Peer,
    /// Last sequence number used towards the peer.
    pub(super) sequence: Arc<AtomicU64>,
    shared: Arc<Shared>,
    queue: Mutex<Queue>,
    filled: Notify,
    forwards: Semaphore,
    state: tokio::sync::Mutex<State>,
}

impl Link {
    pub(super) fn new(peer: Peer, sequence: Arc<AtomicU64>, shared: Arc<Shared>) -> Self {
        Self {
            peer,
            sequence,
            queue: Mutex::default(),
            filled: Notify::new(),
            forwards: Semaphore::new(shared.options.peer_forwards),
            state: tokio::sync::Mutex::default(),
            shared,
        }
    }

    /// Puts a message into the queue.
    pub(super) fn send(&self, message: Message) {
        let bound = self.shared.options.queue;
        self.queue().push(message, bound, &self.shared.counters);
        self.filled.notify_one();
    }

    fn queue(&self) -> std::sync::MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends what waits, for as long as the link exists.
    pub(super) async fn run(self: Arc<Self>) {
        loop {
            self.filled.notified().await;
            self.back_off().await;
            loop {
                let batch = self.queue().take();
                if batch.is_empty() {
                    break;
                }
                if let Err(failure) = self.deliver(&batch).await {
                    self.fail(&failure, batch.len());
                    break;
                }
            }
        }
    }

    async fn back_off(&self) {
        let retry_at = self.state.lock().await.retry_at;
        if let Some(at) = retry_at {
            tokio::time::sleep_until(at).await;
        }
    }

    /// Reports a failure. What waits is dropped with the batch: it would be stale when the peer
    /// comes back, and the node sends again what still matters.
    fn fail(&self, failure: &Failure, batch: usize) {
        let counters = &self.shared.counters;
        add(&counters.lost, batch + self.queue().clear());
        events::peer_unreached(self.peer.tag, self.peer.address, failure);
        counters.fail(failure);
        (self.shared.failed)(self.peer.router);
    }

    async fn deliver(&self, batch: &[Waiting]) -> Result<(), Failure> {
        let messages: Vec<_> = batch.iter().map(|w| w.message.clone()).collect();
        let payload = message::encode(&messages);
        match self.deliver_once(payload.clone(), batch).await {
            // The peer restarted, and the library connected anew by itself. The refused batch was
            // not processed, and control messages bear being heard by two lives of a peer.
            Err(Failure::Refused {
                refusal: Refusal::WrongIncarnation,
            }) => self.deliver_once(payload, batch).await,
            result => result,
        }
    }

    async fn deliver_once(&self, payload: Bytes, batch: &[Waiting]) -> Result<(), Failure> {
        let connection = self.connection().await?;
        let timeout = self.shared.options.deliver_timeout;
        let header = self.header(connection.incarnation);
        let sent = &self.shared.counters.sent;
        for waiting in batch {
            sent.of(Kind::from(&waiting.message)).add(waiting.size);
        }
        let result = self
            .deliver_raw(&connection.channel, header, payload, timeout)
            .await
            .and_then(|(reply, receipt)| accepted(reply, header, &receipt));
        self.note(&connection, &result).await;
        result
    }

    /// Sends a payload and gets the authentic reply to it.
    async fn deliver_raw(
        &self,
        channel: &Channel,
        header: Header,
        payload: Bytes,
        timeout: Duration,
    ) -> Result<(Header, Receipt), Failure> {
        let envelope = self.seal(Label::Deliver, header, payload);
        let mut client = PeerClient::new(channel.clone());
        let reply = within(timeout, client.deliver(envelope)).await?;
        self.open(Label::DeliverReply, header, reply.into_inner())
    }

    /// Forwards a call to its home.
    pub(super) async fn forward(
        &self,
        request: &forward::Request,
    ) -> Result<forward::Reply, ForwardError> {
        let not_sent = |failure| ForwardError {
            sent: false,
            failure,
        };
        let deadline = Instant::now() + Duration::from_millis(request.deadline.0);
        request.check().context(WireSnafu).map_err(not_sent)?;
        let prepare = async {
            let permit = self.forwards.acquire().await;
            Ok((permit, self.probed().await?))
        };
        let (_permit, connection) = tokio::time::timeout_at(deadline, prepare)
            .await
            .unwrap_or_else(|_| TimeoutSnafu.fail())
            .map_err(not_sent)?;
        let gate = Arc::new(Gate::default());
        let result = self
            .forward_raw(&connection, &gate, request, deadline)
            .await;
        // A call that outlives its deadline says nothing about the connection; pings and the next
        // probe do.
        if !matches!(result, Err(Failure::Timeout)) {
            self.note(&connection, &result).await;
        }
        result.map_err(|failure| ForwardError {
            // Shut first: a stream that is about to take the bytes must not get them any more.
            sent: !(gate.shut() || refused_unprocessed(&failure)),
            failure,
        })
    }

    async fn forward_raw(
        &self,
        connection: &Connection,
        gate: &Arc<Gate>,
        request: &forward::Request,
        deadline: Instant,
    ) -> Result<forward::Reply, Failure> {
        let header = self.header(connection.incarnation);
        let left = deadline.saturating_duration_since(Instant::now());
        // The home starts its own clock when the call arrives; the time spent so far is gone.
        let request = forward::Request {
            deadline: Millis(u64::try_from(left.as_millis()).unwrap_or(u64::MAX)),
            ..request.clone()
        };
        let payload = request.encode();
        let sent = &self.shared.counters.sent;
        sent.of(Kind::Forward).add(payload.len());
        let envelope = self.seal(Label::Forward, header, payload);
        let gated = Gated {
            channel: connection.channel.clone(),
            gate: Arc::clone(gate),
        };
        let mut client = PeerClient::new(gated).max_decoding_message_size(MAX_ENVELOPE);
        let reply = within(left, client.forward(envelope)).await?;
        let (reply, receipt) = self.open(Label::ForwardReply, header, reply.into_inner())?;
        match receipt {
            Receipt::Reply(answer) if reply.incarnation == connection.incarnation => Ok(answer),
            receipt => accepted(reply, header, &receipt).and(WrongReplySnafu.fail()),
        }
    }

    /// Gets a connection that a reply came over a moment ago.
    ///
    /// A connection that went silent, or whose peer restarted, is found here by an empty batch
    /// and not by the call itself: a call whose bytes have left can't be sent again, and its
    /// caller would have to be told "unknown".
    async fn probed(&self) -> Result<Connection, Failure> {
        let connection = self.connection().await?;
        if connection.heard.elapsed() < self.shared.options.probe_after {
            return Ok(connection);
        }
        match self.deliver_once(Bytes::new(), &[]).await {
            Ok(()) => self.connection().await,
            Err(_) => self.reconnection().await,
        }
    }

    /// Makes a new connection at once, whatever the backoff says.
    async fn reconnection(&self) -> Result<Connection, Failure> {
        self.state.lock().await.retry_at = None;
        self.connection().await
    }

    /// Gets the connection, and makes one if there is none.
    async fn connection(&self) -> Result<Connection, Failure> {
        let mut state = self.state.lock().await;
        if let Some(connection) = &state.connection {
            return Ok(connection.clone());
        }
        if state.retry_at.is_some_and(|at| Instant::now() < at) {
            return BackoffSnafu.fail();
        }
        state.made += 1;
        let number = state.made;
        match self.connect(number).await {
            Ok(connection) => {
                state.connection = Some(connection.clone());
                add(&self.shared.counters.connects, 1);
                Ok(connection)
            }
            Err(failure) => {
                state.retry_at = Some(Instant::now() + self.shared.options.backoff);
                Err(failure)
            }
        }
    }

    async fn connect(&self, number: u64) -> Result<Connection, Failure> {
        let timeout = self.shared.options.connect_timeout;
        let channel = self.endpoint()?.connect().await.context(ConnectSnafu)?;
        let header = self.header(Incarnation::default());
        let (reply, receipt) = self
            .deliver_raw(&channel, header, Bytes::new(), timeout)
            .await?;
        match receipt {
            Receipt::Refused(Refusal::WrongIncarnation) => Ok(Connection {
                number,
                channel,
                incarnation: reply.incarnation,
                heard: Instant::now(),
            }),
            _ => WrongReplySnafu.fail(),
        }
    }

    fn endpoint(&self) -> Result<Endpoint, Failure> {
        let options = &self.shared.options;
        let endpoint = Endpoint::from_shared(format!("http://{}", self.peer.address))
            .context(ConnectSnafu)?
            .connect_timeout(options.connect_timeout)
            .http2_keep_alive_interval(options.ping_interval)
            .keep_alive_timeout(options.ping_timeout)
            .keep_alive_while_idle(true)
            .tcp_nodelay(true);
        Ok(endpoint)
    }

    /// Notes what a connection's last use says about it: it is alive, or it is given up, and the
    /// next use makes a new one.
    async fn note<T: Sync>(&self, connection: &Connection, result: &Result<T, Failure>) {
        let mut state = self.state.lock().await;
        let current = state.connection.as_mut();
        let Some(current) = current.filter(|c| c.number == connection.number) else {
            return;
        };
        let alive = match result {
            Ok(_) => true,
            Err(Failure::Refused { refusal }) => *refusal != Refusal::WrongIncarnation,
            Err(_) => false,
        };
        match alive {
            true => current.heard = Instant::now(),
            false => state.connection = None,
        }
    }

    fn header(&self, to_incarnation: Incarnation) -> Header {
        Header {
            from: self.shared.identity.tag,
            to: self.peer.tag,
            incarnation: self.shared.identity.incarnation,
            to_incarnation,
            sequence: 1 + self.sequence.fetch_add(1, Ordering::Relaxed),
        }
    }

    fn seal(&self, label: Label, header: Header, payload: Bytes) -> Envelope {
        let inner = payload.len();
        let envelope = envelope::seal(&self.shared.identity.key, label, header, payload);
        let sent = &self.shared.counters.sent;
        sent.of(Kind::Envelope).add(envelope.encoded_len() - inner);
        envelope
    }

    fn open(
        &self,
        label: Label,
        sent: Header,
        reply: Envelope,
    ) -> Result<(Header, Receipt), Failure> {
        let key = &self.shared.identity.key;
        let size = reply.encoded_len();
        let (header, payload) = envelope::open_reply(key, label, sent, reply).context(WireSnafu)?;
        let received = &self.shared.counters.received;
        received.of(Kind::Envelope).add(size - payload.len());
        let size = payload.len();
        let receipt = Receipt::decode(payload).context(WireSnafu)?;
        let kind = match receipt {
            Receipt::Reply(_) => Kind::ForwardReply,
            Receipt::Accepted | Receipt::Refused(_) => Kind::Receipt,
        };
        received.of(kind).add(size);
        Ok((header, receipt))
    }
}

/// Checks that a reply accepts its request, in the incarnation that the request named.
fn accepted(reply: Header, sent: Header, receipt: &Receipt) -> Result<(), Failure> {
    match *receipt {
        // Another incarnation can refuse in its own name only; see `refused_unprocessed`.
        Receipt::Refused(refusal @ Refusal::WrongIncarnation) => RefusedSnafu { refusal }.fail(),
        _ if reply.incarnation != sent.to_incarnation => WrongReplySnafu.fail(),
        Receipt::Refused(refusal) => RefusedSnafu { refusal }.fail(),
        Receipt::Accepted => Ok(()),
        Receipt::Reply(_) => WrongReplySnafu.fail(),
    }
}

/// Tells whether the home promises that it has not processed the call and never will.
///
/// Another incarnation's refusal is no such promise: the one that the call named may have run it
/// before it ended, if the network between replayed the call.
fn refused_unprocessed(failure: &Failure) -> bool {
    match failure {
        Failure::Refused { refusal } => *refusal != Refusal::WrongIncarnation,
        _ => false,
    }
}

/// Runs a call with a timeout.
async fn within<T>(
    timeout: Duration,
    call: impl Future<Output = Result<T, tonic::Status>>,
) -> Result<T, Failure> {
    match tokio::time::timeout(timeout, call).await {
        Ok(result) => result.context(CallSnafu),
        Err(_) => TimeoutSnafu.fail(),
    }
}
