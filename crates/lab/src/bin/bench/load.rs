//! Callers in a closed loop and what they measured.

use std::time::{
    Duration,
    Instant, //
};

use hdrhistogram::Histogram;
use serde_json::json;
use snafu::{
    ResultExt,
    ensure, //
};
use toucanturn_lab::{
    errors::{
        CallSnafu,
        Result,
        UnexpectedSnafu, //
    },
    fleet::KEY,
};

/// Largest latency that is told apart, in microseconds.
const MAX_US: u64 = 60_000_000;

/// `Sample` is what one run of callers measured.
pub(crate) struct Sample {
    histogram: Histogram<u64>,
    requests: u64,
    took: Duration,
}

impl Sample {
    fn new() -> Self {
        // Bounds and digits are constants that the library takes; if it ever does not, the
        // measurement is empty and says so.
        let histogram = Histogram::new_with_bounds(1, MAX_US, 3);
        let histogram = histogram.unwrap_or_else(|_| empty());
        Self {
            histogram,
            requests: 0,
            took: Duration::ZERO,
        }
    }

    /// Gets a quantile in microseconds.
    pub(crate) fn quantile(&self, q: f64) -> u64 {
        self.histogram.value_at_quantile(q)
    }

    /// Gets requests a second.
    pub(crate) fn rate(&self) -> f64 {
        self.requests as f64 / self.took.as_secs_f64()
    }
}

fn empty() -> Histogram<u64> {
    Histogram::<u64>::new(1).unwrap_or_else(|_| unreachable!("one digit is allowed"))
}

/// Sends one whole chat and waits for its answer.
pub(crate) async fn chat(client: &reqwest::Client, address: &str, tokens: u32) -> Result<()> {
    let body = json!({"model": "assistant", "max_tokens": tokens,
        "messages": [{"role": "user", "content": "how many boxes"}]});
    let url = format!("http://{address}/v1/chat/completions");
    let request = client
        .post(url)
        .bearer_auth(KEY)
        .header("x-request-id", "bench");
    let response = request.json(&body).send().await.context(CallSnafu)?;
    let status = response.status();
    let body = response.bytes().await.context(CallSnafu)?;
    let found = String::from_utf8_lossy(&body).into_owned();
    ensure!(
        status.is_success(),
        UnexpectedSnafu {
            expected: "200",
            found
        }
    );
    Ok(())
}

/// Runs `callers` callers in a closed loop, `each` requests each.
pub(crate) async fn closed(
    client: &reqwest::Client,
    address: &str,
    callers: usize,
    each: usize,
) -> Result<Sample> {
    let begun = Instant::now();
    let tasks: Vec<_> = (0..callers)
        .map(|_| {
            let (client, address) = (client.clone(), address.to_owned());
            tokio::spawn(async move {
                let mut times = Vec::with_capacity(each);
                for _ in 0..each {
                    let sent = Instant::now();
                    chat(&client, &address, 1).await?;
                    times.push(sent.elapsed());
                }
                Ok::<_, toucanturn_lab::errors::Error>(times)
            })
        })
        .collect();
    let mut sample = Sample::new();
    for task in tasks {
        let Ok(times) = task.await else { continue };
        for time in times? {
            let micros = u64::try_from(time.as_micros()).unwrap_or(MAX_US);
            sample.histogram.saturating_record(micros);
            sample.requests += 1;
        }
    }
    sample.took = begun.elapsed();
    Ok(sample)
}
