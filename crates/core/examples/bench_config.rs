//! Measures what it takes to put a change of the published configuration in force.
//!
//! `cargo run --release -p toucanturn-core --example bench_config` prints a table: for each size
//! the median and 99th percentile of applying one changed entry to a store that holds the rest,
//! the same for parsing and checking the whole anew, and the memory of one store. With a number
//! (0 to 5) it measures only that size.

use std::time::{
    Duration,
    Instant, //
};

use toucanturn_core::{
    config::store::Store,
    peer::{
        Change,
        Entry, //
    },
    units::Revision, //
};

const SIZES: [Size; 6] = [
    Size::new(7, 16, 10),
    Size::new(70, 780, 10),
    Size::new(330, 3900, 10),
    Size::new(7, 16, 3800),
    Size::new(70, 780, 3800),
    Size::new(330, 3900, 3800),
];
const APPLIES: u64 = 500;
const WHOLES: u64 = 20;

/// `Size` is how much of each kind is published.
#[derive(Clone, Copy)]
struct Size {
    routers: u32,
    endpoints: u32,
    workspaces: u32,
}

impl Size {
    const fn new(routers: u32, endpoints: u32, workspaces: u32) -> Self {
        Self {
            routers,
            endpoints,
            workspaces,
        }
    }
}

/// Makes the n-th value of a key that changes.
type Make<'a> = dyn Fn(u64) -> (String, String) + 'a;

fn main() {
    println!("routers endpoints workspaces | change    | median us | p99 us");
    // Memory is right only for the first size of a run: later ones reuse what was freed.
    let only = std::env::args().nth(1).and_then(|n| n.parse().ok());
    let chosen = |(i, _): &(usize, Size)| only.is_none_or(|n: usize| n == *i);
    for (_, size) in SIZES.into_iter().enumerate().filter(chosen) {
        measure(size);
    }
}

fn measure(size: Size) {
    let all = published(size);
    let bytes: usize = all.iter().map(weight).sum();
    let before = resident_kib();
    let mut store = Store::default();
    apply(&mut store, 0, 1, all.clone());
    let memory = resident_kib().saturating_sub(before);
    let mut revision = 1;
    let row = |name: &str, times: &mut Vec<Duration>| {
        times.sort_unstable();
        let at = |share: usize| {
            times
                .get(times.len() * share / 100)
                .map_or(0, Duration::as_micros)
        };
        let (routers, endpoints, workspaces) = (size.routers, size.endpoints, size.workspaces);
        let (median, p99) = (at(50), at(99));
        println!("{routers:7} {endpoints:9} {workspaces:10} | {name:9} | {median:9} | {p99:6}");
    };
    let kinds: [(&str, &Make<'_>); 4] = [
        ("workspace", &|n| {
            let i = u32::try_from(n).unwrap_or(0) % size.workspaces;
            workspace(i, n)
        }),
        ("endpoint", &|n| {
            let i = u32::try_from(n).unwrap_or(0) % size.endpoints;
            endpoint(i, n)
        }),
        ("fleet", &|n| fleet(size.routers, n)),
        ("policy", &|n| policy(n)),
    ];
    for (name, make) in kinds {
        let mut times = Vec::new();
        for n in 0..APPLIES {
            revision += 1;
            let entries = vec![entry(make(n), revision)];
            times.push(apply(&mut store, revision - 1, revision, entries));
        }
        row(name, &mut times);
    }
    let mut times = Vec::new();
    for _ in 0..WHOLES {
        times.push(apply(&mut Store::default(), 0, 1, all.clone()));
    }
    row("all anew", &mut times);
    let count = all.len();
    println!("  {count} keys, {bytes} bytes published; one store takes {memory} KiB");
}

/// Applies a change and gets the time that took.
fn apply(store: &mut Store, since: u64, revision: u64, entries: Vec<Entry>) -> Duration {
    let change = Change {
        since: Revision(since),
        revision: Revision(revision),
        floor: None,
        entries,
    };
    let start = Instant::now();
    if let Err(error) = store.apply(&change) {
        println!("refused: {error}");
    }
    start.elapsed()
}

fn published(size: Size) -> Vec<Entry> {
    let models = (0..6).map(|i| (format!("models/m{i}"), r#"{"version":"v1"}"#.to_owned()));
    let service = r#"{"path":"/orders","once":[{"method":"POST"}]}"#.to_owned();
    let rest = [
        policy(0),
        fleet(size.routers, 0),
        ("services/orders".to_owned(), service),
    ];
    let endpoints = (0..size.endpoints).map(|i| endpoint(i, 0));
    let workspaces = (0..size.workspaces).map(|i| workspace(i, 0));
    let all = models.chain(rest).chain(endpoints).chain(workspaces);
    all.map(|pair| entry(pair, 1)).collect()
}

fn entry((key, value): (String, String), revision: u64) -> Entry {
    Entry {
        key: key.into(),
        revision: Revision(revision),
        value: Some(value.into()),
    }
}

fn weight(entry: &Entry) -> usize {
    entry.key.len() + entry.value.as_ref().map_or(0, bytes::Bytes::len)
}

fn policy(n: u64) -> (String, String) {
    let centers: Vec<String> = (0..19)
        .map(|i| format!(r#""dc{i}":"region{}""#, i % 5))
        .collect();
    let multiple = 1.25 + (n % 10) as f64 / 100.0;
    let centers = centers.join(",");
    let value = format!(r#"{{"load_multiple":{multiple},"data_centers":{{{centers}}}}}"#);
    ("policy".to_owned(), value)
}

fn fleet(routers: u32, n: u64) -> (String, String) {
    let router = |i: u32| {
        let (high, low, port) = (i / 250, i % 250, 8000 + n % 100);
        format!(
            r#""router-{i}":{{"address":"10.1.{high}.{low}:{port}","peer_address":"10.1.{high}.{low}:9000","data_center":"dc{}"}}"#,
            i % 19
        )
    };
    let routers: Vec<String> = (0..routers).map(router).collect();
    ("fleet".to_owned(), format!("{{{}}}", routers.join(",")))
}

fn endpoint(i: u32, n: u64) -> (String, String) {
    let (high, low, capacity) = (i / 250, i % 250, 32 + n % 8);
    let value = format!(
        r#"{{"kind":"engine","address":"10.2.{high}.{low}:9000","data_center":"dc{}","models":["m{}"],"capacity":{capacity},"checks_fencing":true}}"#,
        i % 19,
        i % 6
    );
    (format!("endpoints/engine-{i}"), value)
}

fn workspace(i: u32, n: u64) -> (String, String) {
    let rate = 10 + n % 50;
    let value = format!(
        r#"{{"key_sha256":["{i:064x}"],"priority":5,"requests_per_s":{rate},"models":["m{}"],"services":["orders"],"deadline_ms":30000}}"#,
        i % 6
    );
    (format!("workspaces/workspace-{i}"), value)
}

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let number = line.and_then(|l| l.split_whitespace().next());
    number.and_then(|n| n.parse().ok()).unwrap_or(0)
}
