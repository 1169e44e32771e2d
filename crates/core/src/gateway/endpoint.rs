//! One instance of an endpoint: its registry entry, and the load, failures and latency seen in its
//! answers.

use std::{
    collections::VecDeque,
    net::SocketAddrV4, //
};

use bytes::Bytes;

use crate::{
    gateway::{
        mesh::{
            self,
            EndpointReport, //
        },
        origin::Build,
        outcome::AttemptOutcome,
        waits::Waits, //
    },
    ids::Tag,
    units::{
        Millis,
        Permille,
        Time,
        Wall, //
    },
};

/// First pause after a failed connection to an endpoint; doubles with each further failure.
const MIN_PAUSE: Millis = Millis(400);
/// Longest pause between connection attempts to an unreachable endpoint.
const MAX_PAUSE: Millis = Millis(3200);
/// Consecutive broken or stalled answers after which an endpoint is paused.
const PAUSE_AFTER_BROKEN: u32 = 2;
/// Age from which a reported load is ignored, because many requests have started and ended since.
const LOAD_REPORT_TTL: Millis = Millis(2000);
/// Time within which a router learns of a load that an endpoint reported to another router, or gets
/// the answer to its own newest request. Until then, the absence of reports carries no information.
const LOAD_REPORT_DELAY: Millis = Millis(200);
/// Time in which the estimated number of other routers' requests halves at an endpoint without new
/// load reports. No router has started a request there, or a new load would have been reported, so
/// these requests only end. Without the decay, the stale loads of endpoints that get no requests
/// would raise the mean load and with it the limit of the other endpoints, which would then exceed
/// the allowed multiple of the mean.
const OTHER_LOAD_HALF_LIFE: Millis = Millis(300);
/// Own requests whose send times are kept, to correct the loads that peers report.
const MAX_SEND_TIMES: usize = 32;
/// Time after which an endpoint is assumed to have cached the prompt parts that are routed to it.
/// Parts in use recur within seconds.
const CACHE_FILL_TIME: Millis = Millis(10_000);
/// Weight of the newest answer in the failure rate; about the last eight answers count.
const FAILURE_RATE_WEIGHT: f32 = 0.125;
/// Time in which the failure rate halves without answers. An endpoint that gets no requests gives
/// no answers, so without the decay it would stay idle long after its recovery while the other
/// endpoints are overloaded.
const FAILURE_RATE_HALF_LIFE: Millis = Millis(1000);

/// Weight of the newest answer in the latency; about the last three answers count. A queue fills
/// and empties within a few answers of its endpoint, and one router sees only a few of them.
const LATENCY_WEIGHT: f32 = 0.3;
/// Weight of the newest delay in the mean; about the last two count, as a queue of a few slots fills and
/// empties within some hundred milliseconds.
const DELAY_WEIGHT: f32 = 0.4;
/// Time in which the latency halves without answers, so that an endpoint that was slow is tried
/// again.
const LATENCY_HALF_LIFE: Millis = Millis(2000);
/// Age from which the latency of answers is not known any more. A router of a large fleet gets an answer
/// of each endpoint of a busy service every second or two.
const LATENCY_TTL: Millis = Millis(4000);
/// Longest time for which an endpoint gets no requests because it asked for that. One that asks for
/// more by mistake is tried again after it.
const MAX_BACK_OFF: Millis = Millis(3_600_000);
/// Time after the sending of a request that was answered for which peers' reports of a back-off are
/// not heeded.
const RECENTLY_SERVED: Millis = Millis(500);
/// Latency that a rejected request counts as: the caller waits before it retries, and the retry
/// then takes as long as any other request.
const REJECTED_LATENCY: Millis = Millis(600);

/// Least latency that a failed answer counts as, because it may cost another attempt. With its real
/// latency, an endpoint that fails at once would get several times its share of the requests.
const MIN_FAILED_LATENCY: Millis = Millis(300);
/// Latency that a broken answer counts as. It is high because requests that must not run twice are
/// lost.
const BROKEN_LATENCY: Millis = Millis(1500);

/// Time for which the load at which an endpoint turned a request away counts as its room.
const ROOM_TTL: Millis = Millis(3000);

/// `Entry` is an endpoint's entry in the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name. A restarted endpoint may keep its name.
    pub id: Bytes,
    /// When this instance started; `None` where entries don't say, so that each name counts as one
    /// instance.
    pub born: Option<Wall>,
    /// Name of the service that it serves.
    pub service: Bytes,
    /// Address on which it listens.
    pub address: SocketAddrV4,
    /// Data centre where it runs.
    pub data_center: Bytes,
    /// Version of its software, as its entry states it.
    pub build: Bytes,
    /// Requests that it runs concurrently; zero if none is published.
    pub slots: u32,
    /// Whether it is shutting down and takes no new requests.
    pub leaving: bool,
    /// How much longer it is slow after its start, as of when the entry was written.
    pub cold: Millis,
}

/// `State` says whether an endpoint may get new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// It may get new requests.
    Ready,
    /// It is shutting down: it finishes the requests that it has and gets no new ones.
    Leaving,
    /// Its entry disappeared while the registry was unavailable. It may get new requests until a
    /// grace period ends.
    Lapsed {
        /// When the registry became available again.
        returned: Time,
    },
    /// It has left the registry, another instance answers at its address, or its entry is another
    /// writer's.
    Gone,
}

/// `Load` is the load that an endpoint reports about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are queued.
    pub waiting: u32,
    /// Requests that it can run concurrently.
    pub slots: u32,
    /// How long work takes there now, as a multiple of the usual time; `None` if it does not say.
    pub slowdown: Option<Permille>,
}

impl Load {
    /// Counts the running and queued requests.
    pub const fn requests(self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// `Signals` is what an instance of an endpoint has said of itself in its answers to this router.
///
/// It is first-hand, so no registry entry ends it: the entry may be older than the answer, and may
/// disappear and come back while the instance is the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Signals {
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Until when it wants no requests; `None` if it did not ask for that, or that time has ended.
    pub back_off_until: Option<Time>,
}

/// `Signal` is one statement of an endpoint about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// It is shutting down.
    Leaving,
    /// It wants no requests from this router for a time.
    BackOff(Millis),
}

impl Signals {
    /// Notes a statement that arrived at `now`; returns whether it is news. A shorter time than one
    /// that it asked for before doesn't end that one.
    pub fn record(&mut self, now: Time, signal: Signal) -> bool {
        match signal {
            Signal::Leaving => !std::mem::replace(&mut self.leaving, true),
            Signal::BackOff(asked) => {
                let until = now + Millis(asked.0.min(MAX_BACK_OFF.0));
                if until <= now {
                    return false;
                }
                let news = self.back_off_until.is_none_or(|held| held <= now);
                self.back_off_until = self.back_off_until.max(Some(until));
                news
            }
        }
    }
}

/// `Liveness` says whether an endpoint is still alive after a connection to it broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// It has answered a request that was sent after the break.
    Alive,
    /// It could not be reached since, or is no longer listed.
    Dead,
    /// No evidence either way.
    Unknown,
}

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
    /// Send time of the newest request whose answer confirmed to this router that the endpoint is
    /// not leaving.
    confirmed_at: Option<Time>,
    /// The same for a request of another router.
    confirmed_by_peer_at: Option<Time>,
    consecutive_failures: u32,
    paused_until: Option<Time>,
    /// When it last could not be reached.
    unreached_at: Option<Time>,
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
            confirmed_at: None,
            confirmed_by_peer_at: None,
            consecutive_failures: 0,
            paused_until: None,
            unreached_at: None,
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

    /// Notes that it has asked another router for a back-off that ends in `left`.
    ///
    /// It did not ask this router, and the report may be wrong or hold for that router alone. So other
    /// endpoints are only preferred for a while, and not if it has just served this router.
    pub fn record_peer_back_off(&mut self, now: Time, left: Millis) {
        let serves = |at: Time| now.since(at) < RECENTLY_SERVED;
        if !self.confirmed_at.is_some_and(serves) {
            let until = now + Millis(left.0.min(mesh::MAX_PEER_BACK_OFF.0));
            self.avoided_until = self.avoided_until.max(until);
        }
    }

    /// Tells whether other endpoints are preferred because it has asked another router for a back-off.
    pub fn avoided(&self, now: Time) -> bool {
        now < self.avoided_until
    }

    /// Gets how much longer it wants no requests.
    pub fn back_off(&self, now: Time) -> Millis {
        let until = self.signals.back_off_until;
        until.map_or(Millis(0), |until| until.since(now))
    }

    /// Tells whether it wants no requests now.
    pub fn backing_off(&self, now: Time) -> bool {
        self.back_off(now) > Millis(0)
    }

    /// Forgets a back-off that has ended; returns whether there was one.
    pub fn end_back_off(&mut self, now: Time) -> bool {
        let ended = self.signals.back_off_until.take_if(|until| *until <= now);
        ended.is_some()
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

    /// Notes that its answer to a request of this router, sent at `at`, did not say that it is
    /// leaving.
    pub fn confirm(&mut self, at: Time) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Notes the same for a request of another router.
    pub fn confirm_by_peer(&mut self, at: Time) {
        self.confirmed_by_peer_at = self.confirmed_by_peer_at.max(Some(at));
    }

    /// Tells whether it was confirmed less than `bound` ago that it is not leaving; `read` is the
    /// send time of the newest registry read.
    ///
    /// The bound for API keys is longer: with it, endpoints would get requests after the time
    /// within which routers promise to notice that an endpoint leaves. With registry reads as the
    /// only evidence, each registry outage longer than the bound would stop all traffic. The
    /// endpoints' own answers confirm the same at no extra cost.
    pub fn recently_confirmed(&self, now: Time, read: Option<Time>, bound: Millis) -> bool {
        let newest = read.max(self.confirmed_at).max(self.confirmed_by_peer_at);
        newest.is_some_and(|at| now.since(at) < bound)
    }

    /// Tells whether it has been alive since a connection to it broke at `since`.
    ///
    /// An answer to any router's request that was sent later shows that it is alive.
    pub fn liveness_since(&self, since: Time) -> Liveness {
        let answered = self.confirmed_at.max(self.confirmed_by_peer_at);
        if answered.is_some_and(|at| at > since) {
            Liveness::Alive
        } else if self.unreached_at.is_some_and(|at| at >= since) {
            Liveness::Dead
        } else {
            Liveness::Unknown
        }
    }

    /// Tells whether it currently gets no requests because it could not be reached or its answers
    /// broke off.
    pub fn paused(&self, now: Time) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Tells whether it currently gets no requests because no connection to it could be made.
    pub fn unreached(&self, now: Time) -> bool {
        self.paused(now) && self.unreached_at > self.confirmed_at
    }

    /// Tells whether it can't be reached from here, while peers get answers from it.
    pub fn reached_by_peers_only(&self, now: Time) -> bool {
        self.unreached(now) && self.confirmed_by_peer_at > self.unreached_at
    }

    /// Ends the pause of one that peers have reached since it could not be reached from here.
    pub fn end_pause_if_peers_reach(&mut self, now: Time) {
        if self.reached_by_peers_only(now) {
            self.paused_until = None;
            self.consecutive_failures = 0;
        }
    }

    /// Gets the recent failure rate of its answers, from 0 to 1.
    pub fn failure_rate(&self, now: Time) -> f32 {
        let (at, share) = self.failure_rate;
        share * remaining_fraction(now.since(at), FAILURE_RATE_HALF_LIFE)
    }

    /// Gets the recent latency of its answers in milliseconds; `None` if there were none within
    /// [`LATENCY_TTL`].
    pub fn latency(&self, now: Time) -> Option<f32> {
        let (at, latency) = self.latency?;
        let age = now.since(at);
        (age < LATENCY_TTL).then(|| latency * remaining_fraction(age, LATENCY_HALF_LIFE))
    }

    /// Estimates the requests that it has in progress from all routers: this router's own, plus
    /// those of other routers at the last load report, less the ones that have probably ended
    /// since.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "loads are small numbers, and the cast saturates"
    )]
    pub fn load(&self, now: Time) -> u32 {
        let fresh = self
            .load_report
            .filter(|s| now.since(s.at) < LOAD_REPORT_TTL);
        let Some(load_report) = fresh else {
            return self.own_in_flight;
        };
        let others = load_report
            .load
            .requests()
            .saturating_sub(load_report.own_in_flight);
        let silent = Millis(
            now.since(load_report.at)
                .0
                .saturating_sub(LOAD_REPORT_DELAY.0),
        );
        let others = others as f32 * remaining_fraction(silent, OTHER_LOAD_HALF_LIFE);
        self.own_in_flight.saturating_add(others.round() as u32)
    }

    /// Tells whether it is known to have no room for one more request; `routers` is the number of
    /// routers that send to it.
    pub fn is_known_full(&self, now: Time, routers: u32) -> bool {
        let fresh = self
            .load_report
            .filter(|s| now.since(s.at) < LOAD_REPORT_TTL);
        let room = self.room.filter(|(at, _)| now.since(*at) < ROOM_TTL);
        let load = match fresh {
            // Unlike for placement, other routers' requests don't fade: a full endpoint answers late,
            // and none of its reports are newer.
            Some(s) => {
                let others = s.load.requests().saturating_sub(s.own_in_flight);
                others.saturating_add(self.own_in_flight)
            }
            None if room.is_some() => return true,
            // One request here says nothing of the other routers, a second one that they are busy, too.
            None => {
                let alike = self.own_in_flight.saturating_sub(1);
                alike.saturating_mul(routers).saturating_add(1)
            }
        };
        let slots = Some(self.entry.slots).filter(|slots| *slots > 0);
        let room = room.map(|(_, room)| room).into_iter().chain(slots).min();
        fresh.is_some_and(|s| s.load.waiting > 0) || room.is_some_and(|room| load >= room)
    }

    /// Notes that it turned a request away for want of room.
    fn record_full(&mut self, now: Time) {
        let load = self.load(now);
        let recent = self.room.filter(|(at, _)| now.since(*at) < ROOM_TTL);
        let room = recent.map_or(load, |(_, room)| room.min(load));
        self.room = Some((now, room));
    }

    /// Gets the age of its last load report; `None` if there is none or it is too old to use.
    pub fn age(&self, now: Time) -> Option<Millis> {
        let age = self.load_report.map(|s| now.since(s.at));
        age.filter(|age| *age < LOAD_REPORT_TTL)
    }

    /// Gets the tag that identifies this instance between routers. It differs from that of an
    /// earlier instance, so that what a peer knows of that one is not applied to this one.
    pub fn tag(&self) -> Tag {
        match self.entry.born {
            Some(born) => Tag::of(&[self.entry.id.as_ref(), &born.0.to_le_bytes()].concat()),
            None => Tag::of(&self.entry.id),
        }
    }

    /// Gets what this router tells its peers: the last reported load, or without one only that the
    /// endpoint is not leaving.
    pub fn report(&self, now: Time) -> Option<EndpointReport> {
        let endpoint = self.tag().0;
        if let (Some(age), Some(load_report)) = (self.age(now), self.load_report) {
            let recent = |at| at + mesh::MAX_CONFIRMED_LATENCY >= load_report.at;
            let confirmed = self.confirmed_at.is_some_and(recent);
            return Some(EndpointReport {
                endpoint,
                age,
                load: Some(load_report.load.requests()),
                confirmed,
                delay: self.delay(now).map(|(delay, _)| delay),
            });
        }
        let age = now.since(self.confirmed_at?);
        (age < LOAD_REPORT_TTL).then_some(EndpointReport {
            endpoint,
            age,
            load: None,
            confirmed: true,
            delay: self.delay(now).map(|(delay, _)| delay),
        })
    }

    /// Gets what this router tells its peers of requests there that are still unanswered.
    pub fn wait_report(&self, now: Time) -> Option<EndpointReport> {
        let (wait, age) = self.waits.report(now)?;
        Some(EndpointReport {
            endpoint: self.tag().0,
            load: None,
            age,
            confirmed: false,
            delay: Some(wait),
        })
    }

    /// Takes over a load that a peer knows of if it is newer than the one known here. Own requests
    /// that were sent after that report are not part of it.
    pub fn record_peer_report(&mut self, now: Time, report: EndpointReport) {
        let at = now - report.age;
        if let Some(delay) = report.delay {
            let unanswered = report.tells_wait();
            self.waits.record_peer(at, delay, unanswered);
            if unanswered {
                return;
            }
            self.record_delay(at, delay);
        }
        let Some(load) = report.load else {
            return;
        };
        if self.load_report.is_some_and(|s| s.at >= at) {
            return;
        }
        let recent = self.send_times.iter().filter(|t| **t > at).count();
        let recent = u32::try_from(recent).unwrap_or(u32::MAX);
        let load = Load {
            running: load,
            waiting: 0,
            slots: self.entry.slots,
            slowdown: None,
        };
        let own_in_flight = self.own_in_flight.saturating_sub(recent);
        self.load_report = Some(LoadReport {
            at,
            load,
            own_in_flight,
        });
    }

    /// Notes how long a request waited whose answer began at `at`; a newer one is kept.
    pub fn record_delay(&mut self, at: Time, delay: Millis) {
        if self.delay.is_some_and(|(held, _)| held >= at) {
            return;
        }
        let recent = self.mean_delay(at);
        self.delay = Some((at, delay));
        #[expect(
            clippy::cast_precision_loss,
            reason = "milliseconds of an answer are few"
        )]
        let newest = delay.0 as f32;
        self.mean_delay = recent.map_or(newest, |mean| mean + (newest - mean) * DELAY_WEIGHT);
    }

    /// Gets the mean of the newest delays in milliseconds; `None` if the last is too long ago.
    pub fn mean_delay(&self, now: Time) -> Option<f32> {
        self.delay(now).map(|_| self.mean_delay)
    }

    /// Gets how long the request waited whose answer began last, and how long ago that was; `None`
    /// if that is too long.
    pub fn delay(&self, now: Time) -> Option<(Millis, Millis)> {
        let (at, delay) = self.delay?;
        let age = now.since(at);
        (age < LOAD_REPORT_TTL).then_some((delay, age))
    }

    /// Notes that a request is sent to it.
    pub fn sent(&mut self, now: Time) {
        self.send_times.push_back(now);
        if self.send_times.len() > MAX_SEND_TIMES {
            self.send_times.pop_front();
        }
        self.own_in_flight = self.own_in_flight.saturating_add(1);
    }

    /// Notes the load that it reports in an answer.
    pub fn record_load(&mut self, now: Time, load: Load) {
        self.load_report = Some(LoadReport {
            at: now,
            load,
            own_in_flight: self.own_in_flight,
        });
    }

    /// Notes how an attempt ended, and how long it took.
    pub fn ended(&mut self, now: Time, outcome: AttemptOutcome, took: Millis) {
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        let sent = (outcome != AttemptOutcome::Left).then(|| now - took);
        self.waits.ended(sent, self.own_in_flight);
        match outcome {
            AttemptOutcome::Answered => {
                self.consecutive_failures = 0;
                self.paused_until = None;
                self.update_latency(now, took);
                self.update_failure_rate(now, 0.0);
            }
            AttemptOutcome::Failed => {
                self.update_latency(now, took.max(MIN_FAILED_LATENCY));
                self.update_failure_rate(now, 1.0);
            }
            AttemptOutcome::Broken | AttemptOutcome::Stalled => {
                self.update_latency(now, BROKEN_LATENCY);
                self.update_failure_rate(now, 1.0);
                self.consecutive_failures += 1;
                if self.consecutive_failures >= PAUSE_AFTER_BROKEN {
                    self.pause(now, self.consecutive_failures - PAUSE_AFTER_BROKEN);
                }
            }
            AttemptOutcome::Rejected => {
                self.update_latency(now, REJECTED_LATENCY);
                self.record_full(now);
            }
            AttemptOutcome::Misdirected => self.state = State::Gone,
            AttemptOutcome::NotSent | AttemptOutcome::Left => {}
        }
    }

    /// Notes that no connection to it could be made.
    pub fn record_unreached(&mut self, now: Time) {
        self.unreached_at = Some(now);
        self.pause(now, self.consecutive_failures);
        self.consecutive_failures += 1;
    }

    /// Updates the failure rate with one answer: 1 for a failure, 0 for a success.
    fn update_failure_rate(&mut self, now: Time, failure: f32) {
        let share = self.failure_rate(now);
        self.failure_rate = (now, share + (failure - share) * FAILURE_RATE_WEIGHT);
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "milliseconds of an answer are few"
    )]
    fn update_latency(&mut self, now: Time, took: Millis) {
        let took = took.0 as f32;
        let before = self.latency(now).unwrap_or(took);
        self.latency = Some((now, before + (took - before) * LATENCY_WEIGHT));
    }

    fn pause(&mut self, now: Time, doublings: u32) {
        let pause = MIN_PAUSE.0 << doublings.min(8);
        self.paused_until = Some(now + Millis(pause.min(MAX_PAUSE.0)));
    }
}

/// Gets the fraction that remains after a time of something that halves each `half_life`.
#[expect(clippy::cast_precision_loss, reason = "halves of a second are enough")]
fn remaining_fraction(after: Millis, half_life: Millis) -> f32 {
    (-(after.0 as f32) / half_life.0 as f32).exp2()
}

fn initial_state(entry: &Entry) -> State {
    if entry.leaving {
        State::Leaving
    } else {
        State::Ready
    }
}
