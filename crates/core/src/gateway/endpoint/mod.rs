//! One instance of an endpoint: its registry entry, and the load, failures and latency seen in its
//! answers.
//!
//! The load that it answers: an endpoint that is full, cold, leaving or broken while its entry says
//! nothing of that.
//!
//! - `entry`: its registry entry, and whether it may get new requests.
//! - `identity`: whether its process is the one that its entry describes.
//! - `signals`: what it says of itself.
//! - `load`: how many requests it has in progress, and whether it has room.
//! - `answers`: how it has answered of late.
//! - `liveness`: whether it is alive and can be reached.
//! - `report`: what routers tell each other of it.
//! - [`waits`]: how long streams wait there for their first event.

use std::collections::VecDeque;

use crate::{
    gateway::origin::Build,
    ids::Tag,
    units::{
        Millis,
        Time, //
    },
};

mod answers;
mod entry;
mod identity;
mod liveness;
mod load;
mod report;
mod signals;
pub mod waits;

pub use entry::{
    Entry,
    State, //
};
pub use identity::Incarnation;
pub use liveness::Liveness;
pub use load::Load;
pub use signals::{
    Signal,
    Signals, //
};

use entry::initial_state;
use identity::Identity;
use waits::Waits;

/// Age from which a reported load is ignored, because many requests have started and ended since.
const LOAD_REPORT_TTL: Millis = Millis(2000);
/// Time after which an endpoint is assumed to have cached the prompt parts that are routed to it.
/// Parts in use recur within seconds.
const CACHE_FILL_TIME: Millis = Millis(10_000);

/// `Endpoint` is one instance of an endpoint. A later instance of the same name starts without any
/// of this state: it has no load, has cached no prompt part, and answers no attempt that was sent
/// to an earlier instance.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its registry entry.
    pub entry: Entry,
    /// Version of its software.
    pub build: Build,
    /// Whether it may get new requests.
    pub state: State,
    /// Whether its entry is taken for that of another writer, because it lacks the start time that others
    /// state.
    pub unidentified: bool,
    /// When this router learnt that its data centre is being evacuated; `None` if it is not.
    pub evacuated: Option<Time>,
    /// What it has said of itself.
    pub signals: Signals,
    /// Until when other endpoints are preferred because it has asked another router for a back-off.
    avoided_until: Time,
    /// Until when it is cold by its registry entry.
    cold_until: Time,
    /// Until when it may be cold although its registry entry doesn't say so yet.
    maybe_cold_until: Time,
    /// Hash of its name, for rendezvous hashing.
    pub seed: u64,
    /// When it joined; `None` if it was listed before this router started.
    joined_at: Option<Time>,
    /// Requests of this router in progress there.
    pub own_in_flight: u32,
    /// Connections of this router that are being opened there.
    pub own_opening: u32,
    load_report: Option<LoadReport>,
    /// What its keeper last estimated. Peers are not told of it.
    load_estimate: Option<LoadReport>,
    /// When other routers asked this one, its keeper, for requests that probably go there.
    reservations: VecDeque<Time>,
    /// Send time of the newest request whose answer confirmed to this router that the endpoint is
    /// not leaving.
    confirmed_at: Option<Time>,
    /// The same for a request of another router.
    confirmed_by_peer_at: Option<Time>,
    consecutive_failures: u32,
    paused_until: Option<Time>,
    /// When it last could not be reached.
    unreached_at: Option<Time>,
    /// What connections to it show of its process.
    identity: Identity,
    /// Failure rate, and when it was last updated.
    failure_rate: (Time, f32),
    /// Latency of answers in milliseconds, and when it was last updated.
    latency: Option<(Time, f32)>,
    /// Load at which it last turned a request away, and when.
    room: Option<(Time, u32)>,
    /// How long the request waited whose answer began last, by any router's report, and when it began.
    delay: Option<(Time, Millis)>,
    /// Mean of the newest delays in milliseconds.
    mean_delay: f32,
    /// Send times of this router's newest requests.
    send_times: VecDeque<Time>,
    /// How long streams wait there for their first event.
    pub waits: Waits,
}

#[derive(Clone, Copy, Debug)]
struct LoadReport {
    at: Time,
    load: Load,
    /// This router's requests in progress there at that time.
    own_in_flight: u32,
}

impl Endpoint {
    /// Makes an endpoint from its first entry; `joined_at` is when it joined, if that is known.
    pub fn new(joined_at: Option<Time>, entry: Entry) -> Self {
        let state = initial_state(&entry);
        let seed = xxhash_rust::xxh3::xxh3_64(&entry.id);
        let build = Build::of(&entry.service, &entry.build);
        Self {
            entry,
            build,
            state,
            unidentified: false,
            evacuated: None,
            signals: Signals::default(),
            avoided_until: Time(0),
            cold_until: Time(0),
            maybe_cold_until: Time(0),
            seed,
            joined_at,
            own_in_flight: 0,
            own_opening: 0,
            load_report: None,
            load_estimate: None,
            reservations: VecDeque::new(),
            confirmed_at: None,
            confirmed_by_peer_at: None,
            consecutive_failures: 0,
            paused_until: None,
            unreached_at: None,
            identity: Identity::default(),
            failure_rate: (Time(0), 0.0),
            latency: None,
            room: None,
            delay: None,
            mean_delay: 0.0,
            send_times: VecDeque::new(),
            waits: Waits::default(),
        }
    }

    /// Replaces the entry by a newer one of the same instance; returns whether the state changed.
    /// An instance that is leaving never becomes ready again, because a restart makes a new
    /// instance.
    pub fn update_entry(&mut self, entry: Entry) -> bool {
        let before = self.state;
        self.state = match before {
            State::Leaving | State::Gone => before,
            _ => initial_state(&entry),
        };
        self.entry = entry;
        before != self.state
    }

    /// Takes over what it has said of itself.
    pub fn restore_signals(&mut self, signals: Signals) {
        self.signals = signals;
        // One whose entry has lapsed stays so, and is removed after its grace period.
        if signals.leaving && self.state == State::Ready {
            self.state = State::Leaving;
        }
    }

    /// Notes what it said of itself in an answer; returns whether that is news.
    pub fn record_signal(&mut self, now: Time, signal: Signal) -> bool {
        let mut signals = self.signals;
        let news = signals.record(now, signal);
        self.restore_signals(signals);
        news
    }

    /// Tells whether it joined so recently that it has cached few prompt parts.
    pub fn recently_joined(&self, now: Time) -> bool {
        self.joined_at
            .is_some_and(|since| now.since(since) < CACHE_FILL_TIME)
    }

    /// Takes the time for which it stays cold from its current entry, which was received at `now`.
    ///
    /// The entry counted that time from when it was written, so the endpoint is warm at the result
    /// at the latest.
    pub fn update_cold_until(&mut self, now: Time) {
        self.cold_until = now + self.entry.cold;
    }

    /// Notes that it may have become cold, for `time` from now on.
    pub fn doubt(&mut self, now: Time, time: Millis) {
        self.maybe_cold_until = self.maybe_cold_until.max(now + time);
    }

    /// Gets how much longer it counts as cold.
    pub fn cold(&self, now: Time) -> Millis {
        self.cold_until.max(self.maybe_cold_until).since(now)
    }

    /// Tells whether it may get new requests.
    pub fn usable(&self) -> bool {
        self.stays_listed() && self.evacuated.is_none()
    }

    /// Tells whether it is neither leaving nor gone.
    pub fn stays_listed(&self) -> bool {
        let is_listed = matches!(self.state, State::Ready | State::Lapsed { .. });
        is_listed && !self.signals.leaving && !self.unidentified
    }

    /// Gets the process that its entry describes.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            life: self.tag(),
            build: self.build,
        }
    }

    /// Gets the tag that identifies this instance between routers. It differs from that of an
    /// earlier instance, so that what a peer knows of that one is not applied to this one.
    pub fn tag(&self) -> Tag {
        match self.entry.born {
            Some(born) => Tag::of(&[self.entry.id.as_ref(), &born.0.to_le_bytes()].concat()),
            None => Tag::of(&self.entry.id),
        }
    }
}
