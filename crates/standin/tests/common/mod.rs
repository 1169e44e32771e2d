//! What the tests of all stand-ins need.

#![expect(dead_code, reason = "every test file uses a part of it")]

use googletest::prelude::*;
use reqwest::{
    Client,
    RequestBuilder,
    Response, //
};
use serde_json::{
    Value,
    json, //
};
use std::{
    net::SocketAddr,
    time::Duration, //
};
use tokio::time::{
    Instant,
    sleep, //
};
use toucanturn_standin::{
    engine,
    truth, //
};

/// How long a call that must stay silent is listened to.
pub(crate) const SILENCE: Duration = Duration::from_millis(300);
/// How long something that must happen is waited for.
const PATIENCE: Duration = Duration::from_secs(10);

pub(crate) fn url(address: SocketAddr, path: &str) -> String {
    format!("http://{address}/{path}")
}

/// Makes a client that shares no connection with another one.
pub(crate) fn client() -> Client {
    Client::new()
}

pub(crate) async fn get(address: SocketAddr, path: &str) -> Result<Value> {
    Ok(client()
        .get(url(address, path))
        .send()
        .await?
        .json()
        .await?)
}

pub(crate) async fn post(address: SocketAddr, path: &str, body: Value) -> Result<Value> {
    Ok(client()
        .post(url(address, path))
        .json(&body)
        .send()
        .await?
        .json()
        .await?)
}

/// Sets a fault for one request, or for all with count 0.
pub(crate) async fn fault(
    control: SocketAddr,
    mode: &str,
    count: u32,
    delay_ms: u64,
) -> Result<()> {
    post(
        control,
        "fault",
        json!({"mode": mode, "count": count, "delay_ms": delay_ms}),
    )
    .await?;
    Ok(())
}

/// Asks again and again until the answer satisfies `holds`.
pub(crate) async fn until(
    address: SocketAddr,
    path: &str,
    holds: impl Fn(&Value) -> bool,
) -> Result<Value> {
    let deadline = Instant::now() + PATIENCE;
    loop {
        let value = get(address, path).await?;
        if holds(&value) {
            return Ok(value);
        }
        if Instant::now() > deadline {
            return fail!("{path} stayed {value}").map(|()| value);
        }
        sleep(Duration::from_millis(5)).await;
    }
}

/// `Chat` is a chat request in the making.
pub(crate) struct Chat {
    pub(crate) id: &'static str,
    pub(crate) text: &'static str,
    pub(crate) tokens: usize,
    pub(crate) stream: bool,
}

impl Chat {
    pub(crate) fn whole(id: &'static str) -> Self {
        Self {
            id,
            text: "which vitamin D?",
            tokens: 6,
            stream: false,
        }
    }

    pub(crate) fn streamed(id: &'static str) -> Self {
        Self {
            stream: true,
            ..Self::whole(id)
        }
    }

    pub(crate) fn request(&self, listen: SocketAddr) -> RequestBuilder {
        let body = json!({
            "model": "assistant",
            "messages": [
                {"role": "system", "content": "be kind"},
                {"role": "user", "content": self.text},
            ],
            "max_tokens": self.tokens,
            "stream": self.stream,
        });
        let url = url(listen, "v1/chat/completions");
        client()
            .post(url)
            .header("x-request-id", self.id)
            .json(&body)
    }

    pub(crate) fn expected(&self) -> Vec<String> {
        engine::answer(self.id, self.text, self.tokens)
    }
}

/// `Sse` is what came of a stream.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Sse {
    pub(crate) ids: Vec<usize>,
    pub(crate) completion: String,
    pub(crate) tokens: Vec<String>,
    pub(crate) done: bool,
    pub(crate) broken: bool,
}

/// Reads a stream to its end or its break.
pub(crate) async fn read_sse(mut response: Response) -> Result<Sse> {
    let mut sse = Sse::default();
    let mut text = Vec::new();
    loop {
        match response.chunk().await {
            Ok(Some(bytes)) => text.extend_from_slice(&bytes),
            Ok(None) => break,
            Err(_) => {
                sse.broken = true;
                break;
            }
        }
    }
    let text = String::from_utf8(text)?;
    for line in text.lines() {
        if let Some(id) = line.strip_prefix("id: ") {
            sse.ids.push(id.parse()?);
        } else if line == "data: [DONE]" {
            sse.done = true;
        } else if let Some(data) = line.strip_prefix("data: ") {
            let chunk: Value = serde_json::from_str(data)?;
            sse.completion = chunk["id"].as_str().unwrap_or_default().into();
            let token = &chunk["choices"][0]["delta"]["content"];
            sse.tokens.push(token.as_str().unwrap_or_default().into());
        }
    }
    Ok(sse)
}

/// Gets the state of each recorded request, in the order of coming.
pub(crate) async fn states(control: SocketAddr) -> Result<Vec<(String, truth::State)>> {
    let truth = get(control, "truth").await?;
    let requests: Vec<truth::Request> = serde_json::from_value(truth["requests"].clone())?;
    Ok(requests
        .into_iter()
        .map(|request| (request.id, request.state))
        .collect())
}

/// Tells whether the only recorded request is in `state`.
pub(crate) fn only_is(state: &str) -> impl Fn(&Value) -> bool {
    move |truth| truth["requests"][0]["state"] == state && truth["requests"][1].is_null()
}
