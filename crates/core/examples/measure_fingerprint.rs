//! Measures what it takes to hash a request's content: quickly, for each whole answer, and as peers tell of it,
//! where the workspace has a request that crashed endpoints. Prints percentiles in microseconds.
//!
//! `cargo run --release -p toucanturn-core --example measure_fingerprint`

use std::{
    hint::black_box,
    time::Instant, //
};

use bytes::Bytes;
use toucanturn_core::gateway::fingerprint::{
    self,
    Content,
    Fingerprint, //
};

const ROUNDS: usize = 20_000;

fn measure(name: &str, size: usize, hash: impl Fn(&Content<'_>) -> u64) {
    let workspace = Bytes::from_static(b"workspace");
    let body = vec![7; size];
    let mut took = Vec::with_capacity(ROUNDS);
    for _ in 0..ROUNDS {
        let content = Content {
            workspace: Some(&workspace),
            parts: [b"POST", b"host.example", b"/chat/1?x=2", &body],
        };
        let began = Instant::now();
        black_box(hash(black_box(&content)));
        took.push(began.elapsed());
    }
    took.sort_unstable();
    let at = |share: usize| took[took.len() * share / 100].as_nanos() as f64 / 1000.0;
    println!("{name}, {size} bytes: p50 {:.1}, p99 {:.1}", at(50), at(99));
}

fn main() {
    for size in [0, 1 << 10, 20 << 10, 64 << 10] {
        measure("quick", size, |content| fingerprint::keyed_hash(1, content));
        measure("told", size, |content| Fingerprint::of(content).content);
    }
}
