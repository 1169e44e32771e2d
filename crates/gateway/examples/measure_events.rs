//! Time to split a stream into events: short events that come one in a read, many in a read, and a long one in many reads.
//! Prints nanoseconds for each event and each KiB.
//!
//! `cargo run --release -p toucanturn-gateway --example measure_events`

use std::{
    hint::black_box,
    time::Instant, //
};

use toucanturn_gateway::sse::EventSplitter;

/// Bytes that each case splits at least.
const BYTES: usize = 64 << 20;

fn measure(name: &str, event: &[u8], read: usize) {
    let rounds = BYTES / event.len().max(read);
    let block = event.repeat((read / event.len()).max(1));
    let began = Instant::now();
    let mut events = 0_u32;
    for _ in 0..rounds {
        let mut splitter = EventSplitter::default();
        for part in block.chunks(read) {
            splitter.push(black_box(part));
            while let Some(event) = splitter.next_event() {
                black_box(event);
                events += 1;
            }
        }
    }
    let took = began.elapsed().as_secs_f64() * 1e9;
    let kib = f64::from(events) * event.len() as f64 / 1024.0;
    println!(
        "{name}: {:.0} ns an event, {:.0} ns a KiB",
        took / f64::from(events),
        took / kib
    );
}

fn main() {
    let short = b"id: 17\ndata: {\"text\": \"a few words of it\"}\n\n";
    measure("short, one in a read", short, short.len());
    measure("short, many in a read", short, 4096);
    let long = [b"id: 17\ndata: ", &vec![b'x'; 256 << 10][..], b"\n\n"].concat();
    measure("256 KiB in reads of 4 KiB", &long, 4096);
}
