//! Measures a look at the engines during a rollout: `cargo run --release --example bench_orders`.
#![expect(
    clippy::expect_used,
    reason = "a wrong setup is a fault of the program"
)]

use std::{
    sync::Arc,
    time::Instant, //
};

use serde_json::json;
use toucanturn_core::{
    config::Config,
    event::Report,
    ids::Id,
    membership::{
        Observation,
        SelfReport,
        View,
        pollers, //
    },
    orders::{
        Loaded,
        OrderContext,
        OrderScheduler, //
    },
    units::{
        Incarnation,
        Millis,
        Revision,
        Time, //
    },
};

fn config(routers: usize, engines: usize) -> Config {
    let mut fleet = serde_json::Map::new();
    for n in 0..routers {
        let value = json!({
            "address": format!("10.0.{}.{}:80", n / 200, n % 200 + 1),
            "peer_address": format!("10.0.{}.{}:81", n / 200, n % 200 + 1), "data_center": "dc-1"
        });
        fleet.insert(format!("entry-{n}"), value);
    }
    let mut endpoints = serde_json::Map::new();
    for n in 0..engines {
        let value = json!({
            "kind": "engine", "address": format!("10.1.{}.{}:80", n / 200, n % 200 + 1),
            "data_center": "dc-1", "models": ["assistant"], "checks_fencing": true
        });
        endpoints.insert(format!("eng-{n}"), value);
    }
    let document = json!({
        "policy": {"data_centers": {"dc-1": "be-north"}}, "fleet": fleet,
        "models": {"assistant": {"version": "v2", "min_replicas": 1}},
        "services": {}, "endpoints": endpoints, "workspaces": {}
    });
    let config = Config::try_from(document.to_string().as_bytes());
    let mut config = config.expect("a valid configuration");
    config.revision = Revision(1);
    config
}

fn main() {
    for (routers, engines) in [(7, 16), (330, 3900)] {
        let config = config(routers, engines);
        let peers: Vec<_> = config.fleet.iter().map(|(key, _)| key).collect();
        let me = peers[0];
        let mut view = View::default();
        let mut orders = OrderScheduler::default();
        let mut now = Time(100_000);
        view.apply(now, &config);
        orders.apply(&config);
        let loaded = Loaded {
            models: vec![Id::try_from("assistant").expect("a name")],
            version: Some(Id::try_from("v1").expect("a name")),
            fence: 0,
        };
        let report = Report {
            incarnation: Incarnation(1),
            loaded: Some(Arc::new(loaded)),
            ..Report::default()
        };
        let mut times = Vec::new();
        let mut own = 0;
        for _ in 0..200 {
            now = now + Millis(500);
            own = 0;
            for (key, endpoint) in config.endpoints.iter() {
                let self_report = SelfReport {
                    life: Some(Incarnation(1)),
                    leaving: false,
                    seen: Observation::Reached,
                    since: Some(now),
                };
                view.self_report(now, key, self_report);
                if pollers::rank(&config, me, endpoint) == Some(0) {
                    own += 1;
                    orders.report(now, key, &report);
                }
            }
            for peer in &peers[1..] {
                orders.heard(now, *peer, Revision(1));
            }
            let scene = OrderContext {
                config: &config,
                me: Some(me),
                view: &view,
                now,
            };
            let mut out = Vec::new();
            let start = Instant::now();
            orders.tick(scene, &mut out);
            times.push(start.elapsed());
        }
        times.sort();
        let (median, most) = (times[times.len() / 2], times[times.len() - 1]);
        println!(
            "{routers} routers, {engines} engines, {own} own, all wrong: median {median:?}, most {most:?}"
        );
    }
}
