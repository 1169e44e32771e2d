//! Test rig of routers that are reduced to their key homes and lease voters. A message arrives at
//! once or is lost.

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

/// Published lease duration.
pub(crate) const LEASE: Millis = Millis(2000);

/// Published bound on the skew between wall clocks.
pub(crate) const SKEW: Millis = Millis(1000);

/// Time step of the rig.
pub(crate) const STEP: Millis = Millis(100);

/// Initial clock reading.
pub(crate) const START: Now = Now {
    mono: Time(1_000_000),
    wall: Wall(1_800_000_000_000),
};

/// Creates a configuration change of one transaction.
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

/// Creates the published list of the named routers. `r3@2` is router `r3` at its second address.
pub(crate) fn fleet(names: &[&str]) -> Value {
    let member = |name: &&str| {
        let (id, subnet) = name.split_once('@').unwrap_or((name, "1"));
        let number: u32 = id.trim_start_matches('r').parse().unwrap();
        let ip = format!("10.{subnet}.{}.{}", number / 250, number % 250);
        let (address, peer) = (format!("{ip}:7000"), format!("{ip}:7001"));
        let router = json!({"address": address, "peer_address": peer, "data_center": "be-north-1"});
        (id.to_owned(), router)
    };
    Value::Object(names.iter().map(member).collect())
}

/// Creates the published policy.
pub(crate) fn policy() -> Value {
    json!({"lease_ms": LEASE.0, "clock_skew_ms": SKEW.0, "key_ttl_ms": 3_600_000})
}

/// Creates an idempotency key with the timestamp `wall`.
pub(crate) fn key(wall: Wall, number: u64) -> Key {
    let uuid = (u128::from(wall.0) << 80) | (7 << 76) | (2 << 62) | u128::from(number);
    Key {
        workspace: Tag(1),
        uuid,
    }
}

/// Returns the name of the member that is the home of a key.
pub(crate) fn home_of<'a>(key: Key, members: &[&'a str]) -> &'a str {
    let tag = |m: &str| Id::try_from(m).unwrap().tag();
    let score = |tag: Tag| (toucanturn_core::ids::rendezvous(key.item(), tag), tag);
    members.iter().max_by_key(|m| score(tag(m))).unwrap()
}

/// `Router` holds the home and voter state of one router, with its configuration store.
pub(crate) struct Router {
    pub(crate) name: &'static str,
    pub(crate) store: Store,
    pub(crate) home: Home,
    pub(crate) incarnation: u64,
}

impl Router {
    pub(crate) fn config(&self) -> Arc<Config> {
        Arc::clone(self.store.current())
    }
}

/// `Rig` runs a few routers on a common clock.
pub(crate) struct Rig {
    pub(crate) routers: Vec<Router>,
    pub(crate) now: Now,
}

impl Rig {
    /// Creates routers without a configuration. They started long enough ago that any promise of an
    /// earlier incarnation has ended.
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
            incarnation: 1,
        };
        self.routers.push(router);
    }

    pub(crate) fn router_mut(&mut self, name: &str) -> &mut Router {
        self.routers.iter_mut().find(|r| r.name == name).unwrap()
    }

    /// Restarts a router as its next incarnation, without state or configuration.
    pub(crate) fn restart(&mut self, name: &str) {
        let now = self.now;
        let router = self.router_mut(name);
        router.incarnation += 1;
        router.home = Home::new(now, Incarnation(router.incarnation));
        router.store = Store::default();
    }

    /// Publishes a fleet at `revision`. Only `readers` receive it.
    pub(crate) fn publish(&mut self, revision: u64, members: &[&str], readers: &[&str]) {
        let now = self.now;
        for name in readers {
            let router = self.router_mut(name);
            let entries = [("policy", policy()), ("fleet", fleet(members))];
            let held_revision = router.store.held().0;
            let update = change(held_revision, revision, &entries);
            router.store.apply(&update).unwrap();
            let config = router.config();
            let me = config.fleet.key(&Id::try_from(*name).unwrap());
            router.home.apply(now, &config, me);
        }
    }

    /// Advances time by `span`. A message arrives at once if `link(from, to)` holds, and is lost
    /// otherwise.
    pub(crate) fn advance(&mut self, span: Millis, link: impl Fn(&str, &str) -> bool) {
        for _ in 0..span.0 / STEP.0 {
            self.now = self.now + STEP;
            for index in 0..self.routers.len() {
                self.tick(index, &link);
            }
        }
    }

    fn tick(&mut self, index: usize, link: &impl Fn(&str, &str) -> bool) {
        let now = self.now;
        let requester = &mut self.routers[index];
        let config = requester.config();
        let (name, incarnation) = (requester.name, Incarnation(requester.incarnation));
        let mut asks = Vec::new();
        requester.home.tick(now, &config, &mut asks);
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
            let voter_config = voter.config();
            let Some(from) = voter_config.fleet.key(&Id::try_from(name).unwrap()) else {
                continue;
            };
            let vote = voter
                .home
                .vote(now, &voter_config, from, incarnation, (epoch, lease));
            let voter = Incarnation(voter.incarnation);
            let round = (voter_config.epoch, round);
            self.routers[index]
                .home
                .record_vote(now, to, voter, round, vote);
        }
    }

    /// Returns the names of the routers that hold a lease.
    pub(crate) fn holders(&self) -> Vec<&'static str> {
        let held = |r: &&Router| r.home.holds_lease(self.now);
        self.routers.iter().filter(held).map(|r| r.name).collect()
    }

    /// Creates a key with the timestamp `wall` whose home is `name` in each of `fleets`.
    pub(crate) fn key_with_home(&self, name: &str, wall: Wall, fleets: &[&[&str]]) -> Key {
        let has_home = |key: &Key| fleets.iter().all(|members| home_of(*key, members) == name);
        let mut keys = (0..).map(|number| key(wall, number));
        keys.find(has_home).unwrap()
    }

    /// Begins a call with `key` at a router.
    pub(crate) fn begin(&mut self, name: &str, key: Key, content: u64) -> KeyDecision {
        let now = self.now;
        let router = self.router_mut(name);
        let config = router.config();
        router.home.begin(now, &config, Call(1), key, content)
    }
}

/// A link function that delivers every message.
pub(crate) fn all_links_up(_: &str, _: &str) -> bool {
    true
}

/// Creates the vote of a voter that confirms a lease.
pub(crate) const fn confirming_vote() -> Vote {
    Vote {
        confirmed: true,
        previous: Revision(0),
    }
}
