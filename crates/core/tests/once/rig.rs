//! Routers reduced to their homes and voters, with messages that arrive at once or not at all.

use std::sync::Arc;

use bytes::Bytes;
use serde_json::{
    Value,
    json, //
};
use toucanturn_core::{
    config::{
        Config,
        store::Store, //
    },
    ids::{
        Id,
        Tag, //
    },
    once::{
        Home,
        KeyDecision,
        MAX_LEASE,
        Vote,
        promise_duration, //
    },
    peer::{
        Change,
        Entry,
        Message, //
    },
    request::{
        Call,
        Key, //
    },
    units::{
        Incarnation,
        Millis,
        Now,
        Revision,
        Time,
        Wall, //
    },
};

/// Length of the lease in these tests.
pub(crate) const LEASE: Millis = Millis(2000);

/// Difference of wall clocks that is allowed for.
pub(crate) const SKEW: Millis = Millis(1000);

/// Step in which time passes.
pub(crate) const STEP: Millis = Millis(100);

/// Where the tests' clocks start.
pub(crate) const START: Now = Now {
    mono: Time(1_000_000),
    wall: Wall(1_800_000_000_000),
};

/// Makes a change of one transaction.
pub(crate) fn change(since: u64, revision: u64, entries: &[(&str, Value)]) -> Change {
    let entry = |(key, value): &(&str, Value)| Entry {
        key: Bytes::copy_from_slice(key.as_bytes()),
        revision: Revision(revision),
        value: Some(Bytes::from(value.to_string())),
    };
    Change {
        since: Revision(since),
        revision: Revision(revision),
        entries: entries.iter().map(entry).collect(),
        floor: None,
    }
}

/// Makes the published list of these routers. `r3@2` is router `r3` at its second address.
pub(crate) fn fleet(names: &[&str]) -> Value {
    let member = |name: &&str| {
        let (id, place) = name.split_once('@').unwrap_or((name, "1"));
        let number: u32 = id.trim_start_matches('r').parse().unwrap();
        let ip = format!("10.{place}.{}.{}", number / 250, number % 250);
        let (address, peer) = (format!("{ip}:7000"), format!("{ip}:7001"));
        let router = json!({"address": address, "peer_address": peer, "data_center": "be-north-1"});
        (id.to_owned(), router)
    };
    Value::Object(names.iter().map(member).collect())
}

/// Makes the policy of these tests.
pub(crate) fn policy() -> Value {
    json!({"lease_ms": LEASE.0, "clock_skew_ms": SKEW.0, "key_ttl_ms": 3_600_000})
}

/// Makes a key that a caller dates `wall`.
pub(crate) fn key(wall: Wall, number: u64) -> Key {
    let uuid = (u128::from(wall.0) << 80) | (7 << 76) | (2 << 62) | u128::from(number);
    Key {
        workspace: Tag(1),
        uuid,
    }
}

/// Gets the member that is home to a key.
pub(crate) fn home<'a>(key: Key, members: &[&'a str]) -> &'a str {
    let tag = |m: &str| Id::try_from(m).unwrap().tag();
    let score = |tag: Tag| (toucanturn_core::ids::rendezvous(key.item(), tag), tag);
    members.iter().max_by_key(|m| score(tag(m))).unwrap()
}

/// `Router` is one home and voter.
pub(crate) struct Router {
    pub(crate) name: &'static str,
    pub(crate) store: Store,
    pub(crate) home: Home,
    pub(crate) life: u64,
}

impl Router {
    pub(crate) fn config(&self) -> Arc<Config> {
        Arc::clone(self.store.current())
    }
}

/// `Rig` is a few routers and one true time.
pub(crate) struct Rig {
    pub(crate) routers: Vec<Router>,
    pub(crate) now: Now,
}

impl Rig {
    /// Makes routers that are long up, without a configuration.
    pub(crate) fn new(names: &[&'static str]) -> Self {
        let mut rig = Self {
            routers: Vec::new(),
            now: START,
        };
        for name in names {
            rig.add(name);
        }
        rig.now = START + promise_duration(MAX_LEASE);
        rig
    }

    pub(crate) fn add(&mut self, name: &'static str) {
        let router = Router {
            name,
            store: Store::default(),
            home: Home::new(self.now, Incarnation(1)),
            life: 1,
        };
        self.routers.push(router);
    }

    pub(crate) fn at(&mut self, name: &str) -> &mut Router {
        self.routers.iter_mut().find(|r| r.name == name).unwrap()
    }

    /// Starts a fresh life that knows nothing.
    pub(crate) fn restart(&mut self, name: &str) {
        let now = self.now;
        let router = self.at(name);
        router.life += 1;
        router.home = Home::new(now, Incarnation(router.life));
        router.store = Store::default();
    }

    /// Publishes a fleet at `revision`, heard by `readers` only.
    pub(crate) fn publish(&mut self, revision: u64, members: &[&str], readers: &[&str]) {
        let now = self.now;
        for name in readers {
            let router = self.at(name);
            let entries = [("policy", policy()), ("fleet", fleet(members))];
            let held = router.store.held().0;
            let news = change(held, revision, &entries);
            router.store.apply(&news).unwrap();
            let config = router.config();
            let me = config.fleet.key(&Id::try_from(*name).unwrap());
            router.home.apply(now, &config, me);
        }
    }

    /// Lets time pass; messages arrive at once where `link` lets them.
    pub(crate) fn pass(&mut self, span: Millis, link: impl Fn(&str, &str) -> bool) {
        for _ in 0..span.0 / STEP.0 {
            self.now = self.now + STEP;
            for index in 0..self.routers.len() {
                self.tick(index, &link);
            }
        }
    }

    fn tick(&mut self, index: usize, link: &impl Fn(&str, &str) -> bool) {
        let now = self.now;
        let asker = &mut self.routers[index];
        let config = asker.config();
        let (name, life) = (asker.name, Incarnation(asker.life));
        let mut asks = Vec::new();
        asker.home.tick(now, &config, &mut asks);
        for (to, message) in asks {
            let Message::LeaseAsk {
                epoch,
                round,
                lease,
            } = message
            else {
                continue;
            };
            let id = config.fleet.get(to).unwrap().id.clone();
            let found = self.routers.iter_mut().find(|r| r.name == id.as_str());
            let Some(voter) = found.filter(|v| link(name, v.name)) else {
                continue;
            };
            let theirs = voter.config();
            let Some(from) = theirs.fleet.key(&Id::try_from(name).unwrap()) else {
                continue;
            };
            let vote = voter.home.vote(now, &theirs, from, life, (epoch, lease));
            let voter = Incarnation(voter.life);
            let round = (theirs.epoch, round);
            self.routers[index]
                .home
                .record_vote(now, to, voter, round, vote);
        }
    }

    /// Lists the routers that hold their lease.
    pub(crate) fn holders(&self) -> Vec<&'static str> {
        let held = |r: &&Router| r.home.holds_lease(self.now);
        self.routers.iter().filter(held).map(|r| r.name).collect()
    }

    /// Makes a key of this date whose home is `name` under every one of the fleets.
    pub(crate) fn key_of(&self, name: &str, wall: Wall, fleets: &[&[&str]]) -> Key {
        let fits = |key: &Key| fleets.iter().all(|members| home(*key, members) == name);
        let mut keys = (0..).map(|number| key(wall, number));
        keys.find(fits).unwrap()
    }

    /// Asks a router to begin a call.
    pub(crate) fn begin(&mut self, name: &str, key: Key, content: u64) -> KeyDecision {
        let now = self.now;
        let router = self.at(name);
        let config = router.config();
        router.home.begin(now, &config, Call(1), key, content)
    }
}

/// Lets every message through.
pub(crate) fn open(_: &str, _: &str) -> bool {
    true
}

/// Makes the answer of a voter that confirms.
pub(crate) const fn yes() -> Vote {
    Vote {
        confirmed: true,
        previous: Revision(0),
    }
}
