//! Fixture: a small fleet for the tests of membership.
#![expect(clippy::expect_used, reason = "a wrong name is a fault of the test")]

use std::sync::Arc;

use toucanturn_core::{
    arena::EndpointKey,
    config::{
        Check,
        Config,
        Endpoint,
        Kind,
        Router, //
    },
    ids::Id,
    membership::{
        Observation,
        SelfReport,
        View, //
    },
    units::{
        Incarnation,
        Time, //
    },
};

pub(crate) fn id(name: &str) -> Id {
    Id::try_from(name).expect("a plain name")
}

pub(crate) fn endpoint(n: u16, data_center: &str) -> Endpoint {
    let id = id(&format!("eng-{n}"));
    Endpoint {
        tag: id.tag(),
        id,
        kind: Kind::Engine,
        address: ([10, 0, 0, 1], 1000 + n).into(),
        data_center: self::id(data_center),
        models: Vec::new(),
        service: None,
        capacity: 8,
        fencing: Check::Ignored,
        key_check: Check::Ignored,
    }
}

pub(crate) fn router(n: u16, data_center: &str) -> Router {
    let id = id(&format!("router-{n}"));
    Router {
        tag: id.tag(),
        id,
        address: ([10, 0, 1, 1], 1000 + n).into(),
        peer_address: ([10, 0, 1, 1], 3000 + n).into(),
        data_center: self::id(data_center),
    }
}

/// Creates a configuration of endpoints and routers in one data centre.
pub(crate) fn config(endpoints: u16, routers: u16) -> Config {
    let mut config = Config::default();
    for n in 0..endpoints {
        let member = endpoint(n, "dc-1");
        let name = member.id.clone();
        config.endpoints.put(&name, Arc::new(member));
    }
    for n in 0..routers {
        let member = router(n, "dc-1");
        let name = member.id.clone();
        config.fleet.put(&name, Arc::new(member));
    }
    config
}

/// Creates a view of `endpoints` endpoints, each in incarnation 1 and confirmed as live at `now`.
pub(crate) fn view(now: Time, endpoints: u16) -> (View, Vec<EndpointKey>) {
    let config = config(endpoints, 3);
    let mut view = View::default();
    view.apply(now, &config);
    let keys: Vec<_> = config.endpoints.iter().map(|(key, _)| key).collect();
    for key in &keys {
        view.self_report(now, *key, poll_answer_sent_at(now, 1));
    }
    (view, keys)
}

/// Creates the answer to the outstanding poll from an incarnation that isn't leaving.
pub(crate) fn poll_answer(incarnation: u64) -> SelfReport {
    SelfReport {
        life: Some(Incarnation(incarnation)),
        leaving: false,
        seen: Observation::Reached,
        since: None,
    }
}

/// Creates the answer to a poll that was sent at `now`, from an incarnation that isn't leaving.
pub(crate) fn poll_answer_sent_at(now: Time, incarnation: u64) -> SelfReport {
    SelfReport {
        since: Some(now),
        ..poll_answer(incarnation)
    }
}

/// Creates the answer to the outstanding poll from an incarnation that is leaving.
pub(crate) fn leaving_poll_answer(incarnation: u64) -> SelfReport {
    SelfReport {
        leaving: true,
        ..poll_answer(incarnation)
    }
}
