//! One life of an endpoint: what its entry says, and what its answers have shown.

use std::{
    collections::VecDeque,
    net::SocketAddrV4, //
};

use bytes::Bytes;

use crate::{
    gateway::{
        fate::Fate,
        mesh::{
            self,
            EndpointReport, //
        },
    },
    ids::Tag,
    units::{
        Millis,
        Time,
        Wall, //
    },
};

/// First pause after an endpoint could not be reached; doubles with each further failure.
const PAUSE: Millis = Millis(400);
/// Longest pause between attempts to reach an endpoint again.
const PAUSE_MAX: Millis = Millis(3200);
/// Broken or stalled answers in a row after which an endpoint is paused.
const BROKEN_IN_A_ROW: u32 = 2;
/// Age at which a stated load says nothing any more: many requests have come and gone since.
const LOAD_STALE: Millis = Millis(2000);
/// Time within which a router hears of a load that an endpoint stated to another one, or its own
/// newest request is answered: until then silence says nothing.
const HEARD: Millis = Millis(200);
/// Time in which the requests of other routers halve at an endpoint from which nothing more is heard.
/// Nobody has begun any there, or its load would have been stated, so they only end. Kept as they
/// were, the loads of engines that are passed over would raise the mean, and with it the load that
/// others might carry: over the multiple.
const OTHERS_HALF_LIFE: Millis = Millis(300);
/// Own requests whose times are kept, to correct loads that peers know.
const MAX_SENT: usize = 32;
/// Time after which an endpoint is taken to hold the parts that it gets: those in use return within
/// seconds.
const YOUNG: Millis = Millis(10_000);
/// Weight of the newest answer in the share of failures: about the last eight count.
const FAILURE_WEIGHT: f32 = 0.125;
/// Time in which the share of failures halves without answers. An endpoint that is left out gives
/// none: with no such time, it would idle long after it is sound again while the others are overloaded.
const FAILURE_HALF_LIFE: Millis = Millis(1000);

/// Weight of the newest answer in the time that one takes: about the last three count. A queue fills and empties
/// within a few answers of its endpoint, of which a router sees few.
const PACE_WEIGHT: f32 = 0.3;
/// Time in which the time that an answer takes halves without answers, so that an endpoint that was
/// slow is tried again.
const PACE_HALF_LIFE: Millis = Millis(2000);
/// Time that a rejection counts as: the caller waits before it comes back, then as any other.
const REJECTED: Millis = Millis(600);

/// Least time that a failed answer counts as: another attempt must follow, if one may. Counted by its
/// own time, an endpoint that fails at once would get several times its part.
const FAILED: Millis = Millis(300);
/// Time that a broken answer counts as: what may not run again is lost with it.
const BROKEN: Millis = Millis(1500);

/// `Entry` is what the registry says of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name; a restart may have the same.
    pub id: Bytes,
    /// When this life began; `None` where entries don't say, and each name is one life.
    pub born: Option<Wall>,
    /// Name of its service.
    pub service: Bytes,
    /// Where it listens.
    pub address: SocketAddrV4,
    /// Data centre where it runs.
    pub data_center: Bytes,
    /// Requests that it runs at once; zero where none is published.
    pub slots: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// How much longer it is slow after its start.
    pub cold: Millis,
}

/// `State` says whether an endpoint may get work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// It may.
    Ready,
    /// It finishes what it has.
    Leaving,
    /// Its entry lapsed while the registry was away; it may, until that is decided.
    Lapsed {
        /// When the registry came back.
        returned: Time,
    },
    /// It has left.
    Gone,
}

/// `Load` is what an endpoint states of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub slots: u32,
}

impl Load {
    /// Counts its requests, running and waiting.
    pub const fn requests(self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// `Fared` is what became of an endpoint since a connection to it broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fared {
    /// It has answered since.
    Lives,
    /// It could not be reached since, or is not listed any more.
    Ended,
    /// Nothing is known.
    Unheard,
}

/// `Endpoint` is one life of an endpoint. Nothing of it holds for the next one of the same name: that
/// has no load, holds no part of a prompt, and answers for no attempt that was sent before.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// What the registry says.
    pub entry: Entry,
    /// Whether it may get work.
    pub state: State,
    /// Since when its data centre is known to be evacuated.
    pub evacuated: Option<Time>,
    /// Until when it is cold by its entry.
    cold_by_entry: Time,
    /// Until when it may be cold though its entry doesn't say so yet.
    cold_by_doubt: Time,
    /// Hash of its name, for rendezvous.
    pub seed: u64,
    /// When it came; `None` if it was there before this router.
    since: Option<Time>,
    /// Own requests in progress there.
    pub own: u32,
    stated: Option<Stated>,
    /// Time as of which its answer to this router last confirmed that it is not leaving.
    confirmed: Option<Time>,
    /// The same of an answer to another router.
    confirmed_by_peer: Option<Time>,
    failures: u32,
    paused: Option<Time>,
    /// When it last could not be reached.
    unreached: Option<Time>,
    /// Share of failures at a time.
    failing: (Time, f32),
    /// Time that an answer took, in milliseconds, at a time.
    pace: Option<(Time, f32)>,
    /// When the newest own requests went out.
    sent: VecDeque<Time>,
}

#[derive(Clone, Copy, Debug)]
struct Stated {
    at: Time,
    load: Load,
    /// Own requests in progress then.
    own: u32,
}

impl Endpoint {
    /// Makes an endpoint from its first entry.
    pub fn new(since: Option<Time>, entry: Entry) -> Self {
        let state = state_of(&entry);
        let seed = xxhash_rust::xxh3::xxh3_64(&entry.id);
        Self {
            entry,
            state,
            evacuated: None,
            cold_by_entry: Time(0),
            cold_by_doubt: Time(0),
            seed,
            since,
            own: 0,
            stated: None,
            confirmed: None,
            confirmed_by_peer: None,
            failures: 0,
            paused: None,
            unreached: None,
            failing: (Time(0), 0.0),
            pace: None,
            sent: VecDeque::new(),
        }
    }

    /// Follows a new entry of this life; returns whether the state changed. A life that leaves never
    /// comes back: a restart is another one.
    pub fn follow(&mut self, entry: Entry) -> bool {
        let before = self.state;
        self.state = match before {
            State::Leaving | State::Gone => before,
            _ => state_of(&entry),
        };
        self.entry = entry;
        before != self.state
    }

    /// Tells whether it came so lately that it can't hold much yet.
    pub fn young(&self, now: Time) -> bool {
        self.since.is_some_and(|since| now.since(since) < YOUNG)
    }

    /// Notes that an entry of this life came, which says how much longer it is cold.
    ///
    /// That was counted from when the entry was written, so the endpoint is warm no later than this says.
    pub fn listed(&mut self, now: Time) {
        self.cold_by_entry = now + self.entry.cold;
    }

    /// Notes that it may have become cold, and be so for `time`.
    pub fn doubt(&mut self, now: Time, time: Millis) {
        self.cold_by_doubt = self.cold_by_doubt.max(now + time);
    }

    /// Gets how much longer it is taken to be cold.
    pub fn cold(&self, now: Time) -> Millis {
        self.cold_by_entry.max(self.cold_by_doubt).since(now)
    }

    /// Tells whether it may get new requests.
    pub fn usable(&self) -> bool {
        self.stays_listed() && self.evacuated.is_none()
    }

    /// Tells whether it neither leaves nor has left.
    pub fn stays_listed(&self) -> bool {
        matches!(self.state, State::Ready | State::Lapsed { .. })
    }

    /// Notes that it was not leaving at `at`, when a request was sent whose answer doesn't say so.
    pub fn confirm(&mut self, at: Time) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Notes the same of another router's request.
    pub fn confirm_by_peer(&mut self, at: Time) {
        self.confirmed_by_peer = self.confirmed_by_peer.max(Some(at));
    }

    /// Tells whether it was not leaving less than `bound` ago; `read` is when the registry last listed it.
    ///
    /// Judged by the longer bound of keys, endpoints would get requests after the time in which leaving is promised.
    /// Judged by the registry alone, each of its outages would end all service at this bound;
    /// answers of the endpoints themselves are evidence that costs nothing.
    pub fn stays(&self, now: Time, read: Option<Time>, bound: Millis) -> bool {
        let newest = read.max(self.confirmed).max(self.confirmed_by_peer);
        newest.is_some_and(|at| now.since(at) < bound)
    }

    /// Tells how it fared since a connection to it broke.
    ///
    /// A request that was sent later and answered shows that it lives, whoever sent it.
    pub fn fared(&self, since: Time) -> Fared {
        let answered = self.confirmed.max(self.confirmed_by_peer);
        if answered.is_some_and(|at| at > since) {
            Fared::Lives
        } else if self.unreached.is_some_and(|at| at >= since) {
            Fared::Ended
        } else {
            Fared::Unheard
        }
    }

    /// Tells whether it is left out for a while, as it could not be reached or broke off.
    pub fn paused(&self, now: Time) -> bool {
        self.paused.is_some_and(|until| now < until)
    }

    /// Gets the share of its newest answers that were failures, 0 to 1.
    pub fn failing(&self, now: Time) -> f32 {
        let (at, share) = self.failing;
        share * left(now.since(at), FAILURE_HALF_LIFE)
    }

    /// Gets the milliseconds that its newest answers took; 0 where nothing is known.
    pub fn pace(&self, now: Time) -> f32 {
        let (at, pace) = self.pace.unwrap_or((now, 0.0));
        pace * left(now.since(at), PACE_HALF_LIFE)
    }

    /// Estimates its requests in progress from all routers: the own ones as they are, and those that
    /// others had when a load was last stated, less what has probably ended since.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "loads are small numbers, and the cast saturates"
    )]
    pub fn load(&self, now: Time) -> u32 {
        let fresh = self.stated.filter(|s| now.since(s.at) < LOAD_STALE);
        let Some(stated) = fresh else {
            return self.own;
        };
        let others = stated.load.requests().saturating_sub(stated.own);
        let silent = Millis(now.since(stated.at).0.saturating_sub(HEARD.0));
        let others = others as f32 * left(silent, OTHERS_HALF_LIFE);
        self.own.saturating_add(others.round() as u32)
    }

    /// Gets the age of the load that it stated last; `None` where nothing is known.
    pub fn age(&self, now: Time) -> Option<Millis> {
        let age = self.stated.map(|s| now.since(s.at));
        age.filter(|age| *age < LOAD_STALE)
    }

    /// Gets the tag that stands for this life between routers: what one knows of the life before must
    /// not be taken for news of this one.
    pub fn tag(&self) -> Tag {
        match self.entry.born {
            Some(born) => Tag::of(&[self.entry.id.as_ref(), &born.0.to_le_bytes()].concat()),
            None => Tag::of(&self.entry.id),
        }
    }

    /// Gets its newest stated load, for peers; where it states none, that it is not leaving.
    pub fn report(&self, now: Time) -> Option<EndpointReport> {
        let endpoint = self.tag().0;
        if let (Some(age), Some(stated)) = (self.age(now), self.stated) {
            let recent = |at| at + mesh::MAX_CONFIRMED_LATENCY >= stated.at;
            let confirmed = self.confirmed.is_some_and(recent);
            return Some(EndpointReport {
                endpoint,
                age,
                load: Some(stated.load.requests()),
                confirmed,
            });
        }
        let age = now.since(self.confirmed?);
        (age < LOAD_STALE).then_some(EndpointReport {
            endpoint,
            age,
            load: None,
            confirmed: true,
        })
    }

    /// Notes a load that a peer knows, if it is newer than what is known here. Own requests that
    /// were sent since it was stated are not in it.
    pub fn seen(&mut self, now: Time, report: EndpointReport) {
        let at = now - report.age;
        let Some(load) = report.load else {
            return;
        };
        if self.stated.is_some_and(|s| s.at >= at) {
            return;
        }
        let recent = self.sent.iter().filter(|t| **t > at).count();
        let recent = u32::try_from(recent).unwrap_or(u32::MAX);
        let load = Load {
            running: load,
            waiting: 0,
            slots: self.entry.slots,
        };
        let own = self.own.saturating_sub(recent);
        self.stated = Some(Stated { at, load, own });
    }

    /// Notes that a request goes out.
    pub fn sent(&mut self, now: Time) {
        self.sent.push_back(now);
        if self.sent.len() > MAX_SENT {
            self.sent.pop_front();
        }
        self.own = self.own.saturating_add(1);
    }

    /// Notes the load that it states.
    pub fn state_load(&mut self, now: Time, load: Load) {
        self.stated = Some(Stated {
            at: now,
            load,
            own: self.own,
        });
    }

    /// Notes how an attempt ended, and what time it took.
    pub fn ended(&mut self, now: Time, fate: Fate, took: Millis) {
        self.own = self.own.saturating_sub(1);
        match fate {
            Fate::Answered => {
                self.failures = 0;
                self.paused = None;
                self.took(now, took);
                self.judge(now, 0.0);
            }
            Fate::Failed => {
                self.took(now, took.max(FAILED));
                self.judge(now, 1.0);
            }
            Fate::Broken | Fate::Stalled => {
                self.took(now, BROKEN);
                self.judge(now, 1.0);
                self.failures += 1;
                if self.failures >= BROKEN_IN_A_ROW {
                    self.pause(now, self.failures - BROKEN_IN_A_ROW);
                }
            }
            Fate::Rejected => self.took(now, REJECTED),
            Fate::Misdirected => self.state = State::Gone,
            Fate::NotSent | Fate::Left => {}
        }
    }

    /// Notes that it could not be reached.
    pub fn unreached(&mut self, now: Time) {
        self.unreached = Some(now);
        self.pause(now, self.failures);
        self.failures += 1;
    }

    /// Counts an answer, 1 for a failure.
    fn judge(&mut self, now: Time, failure: f32) {
        let share = self.failing(now);
        self.failing = (now, share + (failure - share) * FAILURE_WEIGHT);
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "milliseconds of an answer are few"
    )]
    fn took(&mut self, now: Time, took: Millis) {
        let took = took.0 as f32;
        let before = self.pace.map_or(took, |_| self.pace(now));
        self.pace = Some((now, before + (took - before) * PACE_WEIGHT));
    }

    fn pause(&mut self, now: Time, doublings: u32) {
        let pause = PAUSE.0 << doublings.min(8);
        self.paused = Some(now + Millis(pause.min(PAUSE_MAX.0)));
    }
}

/// Gets the part that is left after a time of what halves in `half_life`.
#[expect(clippy::cast_precision_loss, reason = "halves of a second are enough")]
fn left(after: Millis, half_life: Millis) -> f32 {
    (-(after.0 as f32) / half_life.0 as f32).exp2()
}

fn state_of(entry: &Entry) -> State {
    if entry.leaving {
        State::Leaving
    } else {
        State::Ready
    }
}
