//! Measures the cost of one placement at 16, 780 and 3,900 endpoints of one model and region.

use std::{
    hint::black_box,
    time::Instant, //
};

use bytes::Bytes;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use serde_json::json;
use toucanturn_core::{
    arena::EndpointKey,
    config::{
        Config,
        store::Store, //
    },
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

/// Placements measured for each line.
const ROUNDS: usize = 20_000;
const NOW: Time = Time(1000);

fn main() -> Result<(), Box<dyn std::error::Error>> {
    for count in [16, 780, 3900] {
        let config = config(count)?;
        let (view, mut loads) = (View::default(), LoadTable::default());
        let (view, keys) = fill(view, &mut loads, &config);
        for with_token in [true, false] {
            measure(&config, &view, &mut loads, &keys, with_token);
        }
        refresh(&view, &mut loads, count);
    }
    Ok(())
}

fn config(count: usize) -> Result<std::sync::Arc<Config>, Box<dyn std::error::Error>> {
    let mut values = vec![
        ("models/assistant".to_owned(), json!({"version": "v1"})),
        (
            "fleet".to_owned(),
            json!({"rt-0": {"address": "10.9.0.1:80",
            "peer_address": "10.9.0.1:81", "data_center": "dc-0"}}),
        ),
    ];
    for i in 0..count {
        let address = format!("10.{}.{}.1:9000", i / 250, i % 250);
        let about = json!({"kind": "engine", "address": address, "data_center": "dc-0",
            "models": ["assistant"], "capacity": 1000});
        values.push((format!("endpoints/eng-{i}"), about));
    }
    let entry = |(key, value): (String, serde_json::Value)| Entry {
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
    store.apply(&change)?;
    Ok(std::sync::Arc::clone(store.current()))
}

fn fill(mut view: View, loads: &mut LoadTable, config: &Config) -> (View, Vec<EndpointKey>) {
    view.apply(NOW, config);
    loads.apply(config, None);
    let keys: Vec<EndpointKey> = config.endpoints.iter().map(|(key, _)| key).collect();
    let mut rng = StdRng::seed_from_u64(1);
    for key in &keys {
        let answer = SelfReport {
            life: Some(Incarnation(1)),
            leaving: false,
            seen: Observation::Answered,
            since: Some(NOW),
        };
        view.self_report(NOW, *key, answer);
        for _ in 0..rng.random_range(8..12) {
            loads.sent(NOW, *key);
        }
    }
    loads.mark_announced();
    loads.refresh(NOW, &view);
    (view, keys)
}

fn measure(
    config: &Config,
    view: &View,
    loads: &mut LoadTable,
    keys: &[EndpointKey],
    with_token: bool,
) {
    let mut rng = StdRng::seed_from_u64(2);
    let model = config.models.iter().map(|(key, _)| key).next();
    let mut nanos = Vec::with_capacity(ROUNDS);
    for _ in 0..ROUNDS {
        let engine = keys[rng.random_range(0..keys.len())];
        let last = config.endpoints.get(engine).map(|e| e.tag);
        let token = last.filter(|_| with_token).map(|last| Token {
            last,
            incarnation: Incarnation(1),
            before: None,
        });
        let work = Work::Chat {
            model: model.unwrap_or_default(),
            prefix: Prefix(rng.random()),
            token,
        };
        let scene = PlacementContext {
            config,
            view,
            loads,
            now: NOW,
        };
        let start = Instant::now();
        let placed = black_box(choose(scene, &work, &[], &mut rng));
        if let Some(placed) = placed {
            loads.sent(NOW, placed.endpoint);
            nanos.push(start.elapsed().as_nanos());
            loads.ended(NOW, placed.endpoint);
            loads.mark_announced();
        }
    }
    nanos.sort_unstable();
    let at = |permille: usize| nanos[(nanos.len() - 1) * permille / 1000];
    println!(
        "{:>5} endpoints, {:<13} median {:>6} ns, 99 in 100 {:>6} ns ({} placed)",
        keys.len(),
        if with_token {
            "with token:"
        } else {
            "without:"
        },
        at(500),
        at(990),
        nanos.len()
    );
}

fn refresh(view: &View, loads: &mut LoadTable, count: usize) {
    let rounds = 200;
    let start = Instant::now();
    for _ in 0..rounds {
        loads.refresh(black_box(NOW), view);
    }
    let each = start.elapsed().as_nanos() / rounds;
    println!("{count:>5} endpoints, states refreshed in {each} ns (each tick)");
}
