//! Callers: they send chats and orders, check that each answer is exactly their own, and remember
//! what they were told.

use std::{
    net::SocketAddr,
    time::Instant, //
};

use serde_json::{
    Value,
    json, //
};
use toucanturn_standin::{
    engine,
    server::Runs,
    service::Receipt, //
};

use crate::cluster::{
    Cluster,
    Endpoint,
    KEY, //
};

/// Longest that a caller waits; beyond it the request counts as never answered.
const PATIENCE: std::time::Duration = std::time::Duration::from_secs(20);

/// `Word` is what a caller was told of its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Word {
    /// Here is the whole answer.
    Done(String),
    /// It was not run.
    NotRun(String),
    /// It may have run.
    Unknown(String),
    /// The connection to the router broke, which any caller sees for itself.
    Broken(String),
    /// Something that no caller may be told.
    Wrong(String),
}

/// `Told` is one request and what became of it.
#[derive(Clone, Debug)]
pub(crate) struct Told {
    /// Id of a chat, or key of an order.
    pub(crate) name: String,
    pub(crate) kind: Kind,
    pub(crate) word: Word,
    pub(crate) started: Instant,
    pub(crate) ended: Instant,
    /// Runs of an order that were counted when the caller heard "not run".
    pub(crate) runs_then: u64,
}

impl Told {
    /// Gets the time after which the caller may come back, if it was told that nothing was run.
    pub(crate) fn retry_after(&self) -> Option<std::time::Duration> {
        let Word::NotRun(text) = &self.word else {
            return None;
        };
        let error: Value = serde_json::from_str(text).ok()?;
        let wait = error["error"]["retry_after_ms"].as_u64()?;
        Some(std::time::Duration::from_millis(wait))
    }
}

/// `Kind` is what a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A chat that is streamed.
    Stream,
    /// A chat whose answer comes in one piece.
    Whole,
    /// A call that may run once.
    Order,
}

/// `Callers` send requests without holding on to the cluster, which a test changes meanwhile.
#[derive(Clone)]
pub(crate) struct Callers {
    http: reqwest::Client,
    routers: Vec<SocketAddr>,
    services: Vec<Runs>,
    engines: Vec<Runs>,
}

impl Cluster {
    /// Gets callers of this fleet, as it is now.
    pub(crate) fn callers(&self) -> Callers {
        let runs = |all: &[Endpoint]| {
            let lives = all.iter().flat_map(|one| &one.lives);
            lives.map(|life| life.handle.runs.clone()).collect()
        };
        Callers {
            http: self.http.clone(),
            routers: self.routers.iter().map(|r| r.callers.address).collect(),
            services: runs(&self.replicas),
            engines: runs(&self.engines),
        }
    }
}

impl Callers {
    /// Sends a request of any kind; `key` is used by orders only, `tokens` by chats only.
    pub(crate) async fn send(
        &self,
        router: usize,
        kind: Kind,
        id: &str,
        key: uuid::Uuid,
        tokens: usize,
    ) -> Told {
        match kind {
            Kind::Order => order(self, router, key, id).await,
            Kind::Stream | Kind::Whole => chat(self, router, id, kind, tokens).await,
        }
    }

    fn order_runs(&self, key: &str) -> u64 {
        self.services.iter().map(|runs| runs.of(key)).sum()
    }

    fn chat_runs(&self, id: &str) -> u64 {
        self.engines.iter().map(|runs| runs.of(id)).sum()
    }
}

/// Sends a chat through a router.
pub(crate) async fn chat(
    callers: &Callers,
    router: usize,
    id: &str,
    kind: Kind,
    tokens: usize,
) -> Told {
    let started = Instant::now();
    let text = format!("please change box {id}");
    let body = json!({"model": "assistant", "stream": kind == Kind::Stream, "max_tokens": tokens,
        "messages": [{"role": "user", "content": text}]});
    let url = format!("http://{}/v1/chat/completions", callers.routers[router]);
    let request = callers.http.post(url).bearer_auth(KEY).timeout(PATIENCE);
    let answer = request.header("x-request-id", id).json(&body).send().await;
    let expected: String = engine::answer(id, &text, tokens).concat();
    let word = match answer {
        Err(error) => Word::Broken(format!("{error:?}")),
        Ok(response) => chat_word(response, id, kind, &expected).await,
    };
    let runs_then = match &word {
        Word::NotRun(_) => callers.chat_runs(id),
        _ => 0,
    };
    Told {
        name: id.into(),
        kind,
        word,
        started,
        ended: Instant::now(),
        runs_then,
    }
}

async fn chat_word(response: reqwest::Response, id: &str, kind: Kind, expected: &str) -> Word {
    let head = Head::of(&response);
    let (status, text) = match read(response).await {
        Ok(read) => read,
        // A body that breaks off before its declared end is seen by any HTTP client.
        Err((error, part)) if kind == Kind::Stream && head.status == 200 => {
            return partial(&part, expected, error);
        }
        Err((error, _)) => return Word::Broken(error),
    };
    if head.id.as_deref() != Some(id) {
        return Word::Wrong(format!("answer of {:?} to {id}", head.id));
    }
    if status != 200 {
        return head.refusal(&text, id);
    }
    if kind == Kind::Whole {
        let answer: Value = serde_json::from_str(&text).unwrap_or_default();
        let found = answer["choices"][0]["message"]["content"].as_str();
        return match found {
            Some(found) if found == expected => Word::Done(text),
            _ => Word::Wrong(format!("not the answer to {id}: {text}")),
        };
    }
    let said = words(&text);
    if text.contains("data: [DONE]") {
        return if said == expected && !text.contains("event: error") {
            Word::Done(said)
        } else {
            Word::Wrong(format!("an end mark on another answer than {id}'s: {text}"))
        };
    }
    if !expected.starts_with(&said) {
        return Word::Wrong(format!("part of another answer in {id}'s: {text}"));
    }
    match text.split_once("event: error\ndata: ") {
        Some((_, error)) => Head::refusal(&head, error.trim(), id),
        None => Word::Wrong(format!("{id}'s stream ended without a word: {text}")),
    }
}

fn partial(part: &str, expected: &str, error: String) -> Word {
    // The last event may be cut; only whole ones count.
    let whole = part.rsplit_once("\n\n").map_or("", |(whole, _)| whole);
    if expected.starts_with(&words(whole)) {
        Word::Broken(error)
    } else {
        Word::Wrong(format!("part of another answer: {part}"))
    }
}

/// Sends an order through a router.
pub(crate) async fn order(callers: &Callers, router: usize, key: uuid::Uuid, id: &str) -> Told {
    let started = Instant::now();
    let url = format!("http://{}/orders/renewal", callers.routers[router]);
    let request = callers.http.post(url).bearer_auth(KEY).timeout(PATIENCE);
    let request = request.header("x-request-id", id);
    let request = request.header("idempotency-key", key.to_string());
    let answer = request.body(r#"{"box": "vitamin-d"}"#).send().await;
    let name = key.to_string();
    let word = match answer {
        Err(error) => Word::Broken(format!("{error:?}")),
        Ok(response) => order_word(response, id, &name).await,
    };
    let runs_then = match &word {
        Word::NotRun(_) => callers.order_runs(&name),
        _ => 0,
    };
    Told {
        name,
        kind: Kind::Order,
        word,
        started,
        ended: Instant::now(),
        runs_then,
    }
}

async fn order_word(response: reqwest::Response, id: &str, key: &str) -> Word {
    let head = Head::of(&response);
    let (status, text) = match read(response).await {
        Ok(read) => read,
        Err((error, _)) => return Word::Broken(error),
    };
    if head.id.as_deref() != Some(id) {
        return Word::Wrong(format!("answer of {:?} to {id}", head.id));
    }
    if status != 200 {
        return head.refusal(&text, id);
    }
    if let Ok(receipt) = serde_json::from_str::<Receipt>(&text) {
        return if receipt.receipt == key {
            Word::Done(text)
        } else {
            Word::Wrong(format!("receipt {text} for {key}"))
        };
    }
    head.refusal(&text, id)
}

struct Head {
    status: u16,
    id: Option<String>,
    outcome: Option<String>,
}

impl Head {
    fn of(response: &reqwest::Response) -> Self {
        let header = |name: &str| {
            let value = response.headers().get(name)?;
            Some(value.to_str().ok()?.to_owned())
        };
        Self {
            status: response.status().as_u16(),
            id: header("x-request-id"),
            outcome: header("x-outcome"),
        }
    }

    fn refusal(&self, text: &str, id: &str) -> Word {
        let error: Value = serde_json::from_str(text).unwrap_or_default();
        let error = &error["error"];
        if error["request_id"]
            .as_str()
            .is_some_and(|other| other != id)
        {
            return Word::Wrong(format!("another's error: {text}"));
        }
        let outcome = error["outcome"].as_str().or(self.outcome.as_deref());
        match outcome {
            Some("not_run") => Word::NotRun(text.into()),
            Some("unknown") => Word::Unknown(text.into()),
            Some("done") if error["code"] == "answer_gone" => Word::Unknown(text.into()),
            _ => Word::Wrong(format!("no outcome in status {}: {text}", self.status)),
        }
    }
}

async fn read(mut response: reqwest::Response) -> Result<(u16, String), (String, String)> {
    let status = response.status().as_u16();
    let mut body = Vec::new();
    loop {
        match response.chunk().await {
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Ok(None) => return Ok((status, String::from_utf8_lossy(&body).into_owned())),
            Err(error) => {
                let part = String::from_utf8_lossy(&body).into_owned();
                return Err((format!("{error:?}"), part));
            }
        }
    }
}

/// Gets the text out of a stream of chunks.
fn words(events: &str) -> String {
    let chunk = |line: &str| serde_json::from_str::<Value>(line.strip_prefix("data: ")?).ok();
    let text = |v: Value| Some(v["choices"][0]["delta"]["content"].as_str()?.to_owned());
    events.lines().filter_map(chunk).filter_map(text).collect()
}
