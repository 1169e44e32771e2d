//! Measures ways to damp flapping endpoints and to share polls. No clock, no chance: the same
//! figures at each run. docs/design/membership.md gives them.

use std::sync::Arc;

use toucanturn_core::{
    config::{
        Check,
        Config,
        Endpoint,
        Kind,
        Policy,
        Router, //
    },
    ids::Id,
    membership::{
        damping::{
            DEFAULT_PARAMS,
            DampingParams,
            Penalty, //
        },
        pollers, //
    },
    units::{
        Millis,
        Time, //
    },
};

/// Bytes on the wire of one poll with its answer, headers included.
const POLL_BYTES: usize = 500;

/// Bytes of one report in a summary: tag, life, two counts, age.
const REPORT_BYTES: usize = 14;

/// Time until a fall is noticed (two failed probes), and a return (one).
const NOTICE_DOWN: u64 = 1000;
const NOTICE_UP: u64 = 500;

fn main() {
    damping();
    polls();
}

/// Runs an endpoint that is `up` ms up and `down` ms down for five minutes and then stays up, as
/// one of twelve that share 20 requests a second. Gives requests that met it down and the time
/// after its last return at which it is trusted.
fn flapping(rule: DampingParams, up: u64, down: u64) -> (u64, u64) {
    let mut penalty = Penalty::new(rule);
    let (mut failed, mut trusted_at) = (0, None);
    let end = 300_000;
    let last_up = (end / (up + down)) * (up + down);
    let mut seen_down = false;
    for now in (0..end + 4_000_000).step_by(50) {
        let phase = if now < last_up { now % (up + down) } else { 0 };
        let is_down = phase >= up;
        let noticed = is_down && phase - up >= NOTICE_DOWN;
        if noticed && !seen_down {
            seen_down = true;
            penalty.flap(Time(now));
        }
        if !is_down && seen_down && (phase >= NOTICE_UP || now >= last_up + NOTICE_UP) {
            seen_down = false;
        }
        let trusted = !seen_down && !penalty.suppressed(Time(now));
        // 20 a second over 12 endpoints: one each 600 ms.
        if trusted && is_down && now % 600 == 0 {
            failed += 1;
        }
        if now >= last_up && trusted && trusted_at.is_none() {
            trusted_at = Some(now - last_up);
        }
    }
    (failed, trusted_at.unwrap_or(u64::MAX))
}

fn damping() {
    let with = |half: u64| DampingParams {
        half_life: Millis::from_secs(half),
        ..DEFAULT_PARAMS
    };
    let never = DampingParams {
        suppress: u32::MAX,
        ..DEFAULT_PARAMS
    };
    let ways = [
        ("no damping", never),
        ("half-life 10 s", with(10)),
        ("half-life 30 s (chosen)", with(30)),
        ("half-life 60 s", with(60)),
        ("half-life 900 s (RFC 2439)", with(900)),
    ];
    println!("damping: requests that met the engine down in 5 min / ms until trusted afterwards");
    for (name, rule) in ways {
        print!("{name:28}");
        for (up, down) in [(3000, 2000), (6000, 3000), (20_000, 5000), (290_000, 5000)] {
            let (failed, trusted) = flapping(rule, up, down);
            print!(" | up {up} down {down}: {failed} / {trusted}");
        }
        println!();
    }
}

fn fleet(routers: u16, endpoints: u16, regions: u16) -> Config {
    let id = |name: String| Id::try_from(name.as_str()).unwrap_or_else(|e| panic!("{name}: {e}"));
    let mut policy = Policy::default();
    for n in 0..regions {
        let region = id(format!("region-{n}"));
        policy.data_centers.insert(id(format!("dc-{n}")), region);
    }
    let mut config = Config {
        policy: Arc::new(policy),
        ..Config::default()
    };
    for n in 0..routers {
        let name = id(format!("router-{n}"));
        let router = Router {
            id: name.clone(),
            tag: name.tag(),
            address: ([10, 0, 0, 1], n).into(),
            peer_address: ([10, 0, 0, 2], n).into(),
            data_center: id(format!("dc-{}", n % regions)),
        };
        config.fleet.put(&name, Arc::new(router));
    }
    for n in 0..endpoints {
        let name = id(format!("eng-{n}"));
        let endpoint = Endpoint {
            id: name.clone(),
            tag: name.tag(),
            kind: Kind::Engine,
            address: ([10, 0, 1, 1], n).into(),
            data_center: id(format!("dc-{}", n % regions)),
            models: Vec::new(),
            service: None,
            capacity: 8,
            fencing: Check::Ignored,
            key_check: Check::Ignored,
        };
        config.endpoints.put(&name, Arc::new(endpoint));
    }
    config
}

fn polls() {
    println!("polls: bytes a second at a router for polls and for telling reports to its region");
    for (routers, endpoints, regions, interval) in
        [(7, 14, 1, 500), (330, 3900, 10, 500), (330, 3900, 10, 1000)]
    {
        let config = fleet(routers, endpoints, regions);
        let firsts: Vec<usize> = config
            .fleet
            .iter()
            .map(|(router, _)| {
                let first = |e: &Endpoint| pollers::rank(&config, router, e) == Some(0);
                config.endpoints.iter().filter(|(_, e)| first(e)).count()
            })
            .collect();
        let rate = |n: usize| n * 1000 / interval;
        let peers = usize::from(routers / regions) - 1;
        let all = rate(usize::from(endpoints)) * POLL_BYTES;
        let region = rate(usize::from(endpoints / regions)) * POLL_BYTES;
        let share = |n: usize| rate(n) * (POLL_BYTES + peers * REPORT_BYTES);
        let most = firsts.iter().max().copied().unwrap_or(0);
        let mean = firsts.iter().sum::<usize>() / firsts.len();
        println!(
            "{routers} routers, {endpoints} endpoints, every {interval} ms: all poll all {all}; \
             all poll their region {region}; one poller each (chosen) {} at the mean of {mean} \
             endpoints, {} at the most loaded router ({most})",
            share(mean),
            share(most),
        );
    }
}
