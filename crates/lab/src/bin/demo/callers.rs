//! The callers of the demonstration: returning chats and one repeated order.

use std::time::Duration;

use serde_json::{
    Value,
    json, //
};
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
    fleet::{
        Fleet,
        KEY, //
    },
};

/// Time for a router's log lines to arrive here before they are printed.
const LOG_TIME: Duration = Duration::from_millis(100);

/// Holds a chat that returns, each time through another router.
pub(crate) async fn chat(fleet: &Fleet, number: usize, turns: usize) -> Result<()> {
    let mut messages = vec![json!({"role": "system", "content": "You adjust supplement boxes."})];
    let mut token: Option<String> = None;
    for turn in 0..turns {
        let router = &fleet.routers[(number + turn) % fleet.routers.len()];
        let text = format!("chat {number}: please change my vitamin D box, part {turn}");
        messages.push(json!({"role": "user", "content": text}));
        let id = format!("chat-{number}-turn-{turn}");
        let body = json!({"model": "assistant", "stream": true, "max_tokens": 6,
            "messages": messages});
        let url = format!("http://{}/v1/chat/completions", router.address("listen"));
        let request = fleet
            .client
            .post(url)
            .bearer_auth(KEY)
            .header("x-request-id", &id);
        let request = match &token {
            Some(token) => request.header("x-chat", token),
            None => request,
        };
        let response = request.json(&body).send().await.context(CallSnafu)?;
        let header = |name: &str| {
            let value = response.headers().get(name)?.to_str().ok()?;
            Some(value.to_owned())
        };
        let next = header("x-chat");
        let answer = response.text().await.context(CallSnafu)?;
        let expected = "a stream with its end mark";
        ensure!(
            answer.contains("data: [DONE]"),
            UnexpectedSnafu {
                expected,
                found: answer
            }
        );
        let words = words(&answer);
        println!("{id} through {}: {words:?}", router.name);
        tokio::time::sleep(LOG_TIME).await;
        fleet.print_decisions(&id);
        messages.push(json!({"role": "assistant", "content": words}));
        token = next.or(token);
    }
    println!();
    Ok(())
}

/// Sends an order through one router and repeats it through another.
pub(crate) async fn order(fleet: &Fleet) -> Result<()> {
    fleet.wait_for_leases().await?;
    let key = uuid::Uuid::now_v7().to_string();
    let mut answers = Vec::new();
    for (n, router) in fleet.routers.iter().enumerate() {
        let id = format!("order-try-{n}");
        let url = format!("http://{}/orders/renewal", router.address("listen"));
        let request = fleet
            .client
            .post(url)
            .bearer_auth(KEY)
            .header("x-request-id", &id);
        let request = request
            .header("idempotency-key", &key)
            .body(r#"{"box": "vitamin-d"}"#);
        let response = request.send().await.context(CallSnafu)?;
        let outcome = response.headers().get("x-outcome").cloned();
        let replayed = response.headers().contains_key("x-replayed");
        let body = response.text().await.context(CallSnafu)?;
        println!(
            "{id} through {}: {body} (outcome {outcome:?}, replayed: {replayed})",
            router.name
        );
        tokio::time::sleep(LOG_TIME).await;
        fleet.print_decisions(&id);
        answers.push(body);
    }
    let truth = format!("http://{}/truth", fleet.service.address("control"));
    let truth: Value = fleet
        .client
        .get(truth)
        .send()
        .await
        .context(CallSnafu)?
        .json()
        .await
        .context(CallSnafu)?;
    println!(
        "the service ran this order {} time(s)\n",
        truth["runs"][&key]
    );
    let once = truth["runs"][&key] == 1 && answers.iter().all(|a| *a == answers[0]);
    ensure!(
        once,
        UnexpectedSnafu {
            expected: "one run, one answer",
            found: truth.to_string()
        }
    );
    Ok(())
}

/// Gets the text out of a stream of chunks.
fn words(events: &str) -> String {
    let chunk = |line: &str| serde_json::from_str::<Value>(line.strip_prefix("data: ")?).ok();
    let text = |v: Value| Some(v["choices"][0]["delta"]["content"].as_str()?.to_owned());
    events.lines().filter_map(chunk).filter_map(text).collect()
}
