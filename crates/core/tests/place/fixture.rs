//! Test fixture: a router's configuration, membership view and load table, to place requests with.

use std::sync::Arc;

use bytes::Bytes;
use rand::{
    SeedableRng,
    rngs::StdRng, //
};
use serde_json::{
    Value,
    json, //
};
use toucanturn_core::{
    arena::{
        EndpointKey,
        RouterKey, //
    },
    config::{
        Config,
        store::Store, //
    },
    ids::Id,
    load::LoadTable,
    membership::{
        Observation,
        SelfReport,
        View, //
    },
    peer::{
        Change,
        Entry, //
    },
    place::{
        PlacementContext,
        choose, //
    },
    request::{
        Placed,
        Prefix,
        Token,
        Work, //
    },
    units::{
        Incarnation,
        Revision,
        Time, //
    },
};

pub(crate) const NOW: Time = Time(10_000);
pub(crate) const INCARNATION: Incarnation = Incarnation(1);
pub(crate) const ROUTERS: usize = 7;

/// One router, with the state that placement uses.
pub(crate) struct Router {
    pub(crate) config: Arc<Config>,
    pub(crate) view: View,
    pub(crate) loads: LoadTable,
    pub(crate) now: Time,
    rng: StdRng,
}

/// Creates router `rt-0` of seven, with `near` engines in its region and `far` in another one.
pub(crate) fn router(near: usize, far: usize, capacity: u32) -> Router {
    router_at(0, near, far, capacity)
}

pub(crate) fn router_at(index: usize, near: usize, far: usize, capacity: u32) -> Router {
    let config = config(near, far, capacity);
    let own_key = config.fleet.key(&id(&format!("rt-{index}")));
    let mut view = View::default();
    view.apply(NOW, &config);
    let mut loads = LoadTable::default();
    loads.apply(&config, own_key);
    for (key, _) in config.endpoints.iter() {
        view.self_report(NOW, key, live_report(NOW, INCARNATION));
    }
    loads.refresh(NOW, &view);
    Router {
        config,
        view,
        loads,
        now: NOW,
        rng: StdRng::seed_from_u64(1),
    }
}

fn config(near: usize, far: usize, capacity: u32) -> Arc<Config> {
    let data_centers = json!({"dc-0": "north", "dc-1": "south"});
    let member = |i: usize| {
        let member = json!({"address": format!("10.0.0.{}:80", i + 1),
            "peer_address": format!("10.0.0.{}:81", i + 1), "data_center": "dc-0"});
        (format!("rt-{i}"), member)
    };
    let fleet: serde_json::Map<String, Value> = (0..ROUTERS).map(member).collect();
    let mut values = vec![
        ("policy".to_owned(), json!({"data_centers": data_centers})),
        ("fleet".to_owned(), Value::Object(fleet)),
        ("models/assistant".to_owned(), json!({"version": "v1"})),
        ("services/orders".to_owned(), json!({"path": "/orders"})),
    ];
    let mut add_endpoint = |name: String, data_center: &str, rest: Value| {
        let address = format!("10.1.{}.1:90", values.len());
        let mut endpoint =
            json!({"address": address, "data_center": data_center, "capacity": capacity});
        if let (Value::Object(fields), Value::Object(rest)) = (&mut endpoint, rest) {
            fields.extend(rest);
        }
        values.push((format!("endpoints/{name}"), endpoint));
    };
    let engine = json!({"kind": "engine", "models": ["assistant"]});
    (0..near).for_each(|i| add_endpoint(format!("near-{i}"), "dc-0", engine.clone()));
    (0..far).for_each(|i| add_endpoint(format!("far-{i}"), "dc-1", engine.clone()));
    let service = json!({"kind": "service", "service": "orders"});
    (0..4).for_each(|i| add_endpoint(format!("orders-{i}"), "dc-0", service.clone()));
    let entry = |(key, value): (String, Value)| Entry {
        key: Bytes::from(key),
        revision: Revision(1),
        value: Some(Bytes::from(value.to_string())),
    };
    let change = Change {
        since: Revision(0),
        revision: Revision(1),
        floor: None,
        entries: values.into_iter().map(entry).collect(),
    };
    let mut store = Store::default();
    store.apply(&change).unwrap();
    Arc::clone(store.current())
}

fn live_report(now: Time, incarnation: Incarnation) -> SelfReport {
    SelfReport {
        life: Some(incarnation),
        leaving: false,
        seen: Observation::Answered,
        since: Some(now),
    }
}

pub(crate) fn id(name: &str) -> Id {
    Id::try_from(name).unwrap()
}

impl Router {
    /// Records an engine's report that it is live with this incarnation.
    pub(crate) fn confirm(&mut self, key: EndpointKey, incarnation: Incarnation) {
        self.view
            .self_report(self.now, key, live_report(self.now, incarnation));
    }

    pub(crate) fn key(&self, name: &str) -> EndpointKey {
        self.config.endpoints.key(&id(name)).unwrap()
    }

    pub(crate) fn peer(&self, index: usize) -> RouterKey {
        self.config.fleet.key(&id(&format!("rt-{index}"))).unwrap()
    }

    pub(crate) fn name(&self, key: EndpointKey) -> String {
        self.config.endpoints.get(key).unwrap().id.to_string()
    }

    pub(crate) fn token(&self, last: &str, before: Option<&str>) -> Token {
        Token {
            last: id(last).tag(),
            incarnation: INCARNATION,
            before: before.map(|name| id(name).tag()),
        }
    }

    pub(crate) fn chat(&self, prefix: u64, token: Option<Token>) -> Work {
        Work::Chat {
            model: self.config.models.key(&id("assistant")).unwrap(),
            prefix: Prefix(prefix),
            token,
        }
    }

    pub(crate) fn placement_context(&self) -> PlacementContext<'_> {
        PlacementContext {
            config: &self.config,
            view: &self.view,
            loads: &self.loads,
            now: self.now,
        }
    }

    pub(crate) fn choose(&mut self, work: &Work) -> Option<Placed> {
        let context = PlacementContext {
            config: &self.config,
            view: &self.view,
            loads: &self.loads,
            now: self.now,
        };
        choose(context, work, &[], &mut self.rng)
    }

    /// Places a request, records it as sent and returns the endpoint's name.
    pub(crate) fn send(&mut self, work: &Work) -> Option<String> {
        let placed = self.choose(work)?;
        self.loads.sent(self.now, placed.endpoint);
        Some(self.name(placed.endpoint))
    }

    /// Sends requests to an engine and marks them as announced to the peers.
    pub(crate) fn add_announced_load(&mut self, name: &str, count: u32) {
        let key = self.key(name);
        for _ in 0..count {
            self.loads.sent(self.now, key);
        }
        self.loads.mark_announced();
    }

    /// Records a summary from every peer without requests in progress.
    pub(crate) fn receive_idle_summaries(&mut self) {
        for peer in 1..ROUTERS {
            let peer = self.peer(peer);
            self.loads.peer(self.now, peer, &[]);
        }
    }
}
