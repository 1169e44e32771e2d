//! The path through one router: latency added, requests a second, memory of an open stream.

use futures_util::StreamExt;
use serde_json::json;
use snafu::ResultExt;
use toucanturn_lab::{
    errors::{
        CallSnafu,
        Result, //
    },
    fleet::{
        Fleet,
        KEY,
        Shape, //
    },
};

use crate::load;

/// Requests of each caller in a round.
const EACH: usize = 2000;

/// Rounds; direct and routed ones alternate, so that both meet the same machine.
const ROUNDS: usize = 5;

/// Streams that are open at once.
const STREAMS: usize = 1000;

/// Callers in a closed loop when the most requests a second are measured.
const CALLERS: usize = 32;

fn shape(first_token_ms: &str, per_token_ms: &str) -> Shape {
    let args = [
        "--first-token-ms",
        first_token_ms,
        "--first-token-cached-ms",
        first_token_ms,
        "--per-token-ms",
        per_token_ms,
    ];
    Shape {
        routers: 1,
        engines: 1,
        engine_args: args.map(str::to_owned).to_vec(),
        capacity: 4096,
        requests_per_s: 1_000_000,
        log_level: "warn",
    }
}

fn line(what: &str, sample: &load::Sample) {
    println!(
        "{what:<44} p50 {:>7} us  p99 {:>7} us  {:>8.0} requests/s",
        sample.quantile(0.5),
        sample.quantile(0.99),
        sample.rate()
    );
}

/// Measures the latency that the router adds.
pub(crate) async fn latency() -> Result<()> {
    let mut fleet = Fleet::start(shape("0", "0")).await?;
    let engine = fleet.engines[0].address("listen");
    let router = fleet.routers[0].address("listen");
    let client = reqwest::Client::new();
    load::closed(&client, &router, 4, EACH).await?;
    for round in 1..=ROUNDS {
        let direct = load::closed(&client, &engine, 1, EACH).await?;
        let routed = load::closed(&client, &router, 1, EACH).await?;
        line(&format!("round {round}, one caller, direct"), &direct);
        line(
            &format!("round {round}, one caller, through a router"),
            &routed,
        );
    }
    let cpu = fleet.routers[0].cpu_ms()?;
    let direct = load::closed(&client, &engine, CALLERS, EACH).await?;
    let routed = load::closed(&client, &router, CALLERS, EACH).await?;
    line(&format!("{CALLERS} callers, direct"), &direct);
    line(&format!("{CALLERS} callers, through a router"), &routed);
    let used = fleet.routers[0].cpu_ms()? - cpu;
    let per = used as f64 * 1000.0 / (CALLERS * EACH) as f64;
    println!("router: {per:.0} us of processor time a request");
    fleet.stop().await
}

/// Measures open streams: their memory, and the path beside them.
pub(crate) async fn streams() -> Result<()> {
    let mut fleet = Fleet::start(shape("0", "250")).await?;
    let router = fleet.routers[0].address("listen");
    let client = reqwest::Client::new();
    load::closed(&client, &router, 8, 200).await?;
    let before = fleet.routers[0].resident()?;
    let mut open = Vec::new();
    for _ in 0..STREAMS {
        open.push(open_stream(&client, &router).await?);
    }
    let cpu = fleet.routers[0].cpu_ms()?;
    tokio::time::sleep(std::time::Duration::from_secs(4)).await;
    let idle = fleet.routers[0].cpu_ms()? - cpu;
    let after = fleet.routers[0].resident()?;
    let each = after.saturating_sub(before) / STREAMS as u64;
    println!("{STREAMS} open streams: {before} bytes before, {after} after, {each} a stream");
    println!(
        "router: {idle} ms of processor time in 4 s for {} events/s",
        STREAMS * 4
    );
    let beside = load::closed(&client, &router, 1, EACH).await?;
    line(&format!("one caller beside {STREAMS} streams"), &beside);
    let beside = load::closed(&client, &router, CALLERS, EACH / 4).await?;
    line(
        &format!("{CALLERS} callers beside {STREAMS} streams"),
        &beside,
    );
    let loaded = fleet.routers[0].resident()?;
    println!("memory at the end: {loaded} bytes");
    for stream in open {
        stream.abort();
    }
    fleet.stop().await
}

/// Opens a long stream and reads its first event; the rest is read in a task of its own.
async fn open_stream(
    client: &reqwest::Client,
    address: &str,
) -> Result<tokio::task::JoinHandle<()>> {
    let body = json!({"model": "assistant", "stream": true, "max_tokens": 200,
        "messages": [{"role": "user", "content": "a long story"}]});
    let url = format!("http://{address}/v1/chat/completions");
    let request = client.post(url).bearer_auth(KEY).json(&body);
    let response = request.send().await.context(CallSnafu)?;
    let mut chunks = response
        .error_for_status()
        .context(CallSnafu)?
        .bytes_stream();
    let _ = chunks.next().await;
    Ok(tokio::spawn(async move {
        while chunks.next().await.is_some() {}
    }))
}
