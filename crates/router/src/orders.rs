//! Carries out orders to engines: asks the weight store for a token, then sends the order.
//!
//! What is ordered, when and how often, the node decides. Nothing here is repeated.

use std::{
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    HeaderMap,
    HeaderValue,
    Method,
    StatusCode,
    header, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use toucanturn_core::{
    arena::EndpointKey,
    event::Event,
    ids::Id,
    orders::{
        Change,
        ORDER_TIMEOUT,
        Order,
        OrderNumber,
        OrderOutcome,
        TokenReply, //
    },
    units::Millis,
};

use crate::{
    answers, clock,
    driver::Driver,
    endpoints::{
        Failure,
        Outgoing, //
    },
};

/// Time after which an order or a question is given up.
const TIMEOUT: Duration = Duration::from_millis(ORDER_TIMEOUT.0);

/// Most bytes of a refusal that are read.
const MAX_REFUSAL: usize = 4096;

/// Longest wait that is taken from `Retry-After`, in seconds; the node bounds it further.
const MAX_RETRY_AFTER: u64 = 86_400;

#[derive(Serialize)]
struct RawOrder<'a> {
    fence: u64,
    #[serde(flatten)]
    change: RawChange<'a>,
}

#[derive(Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
enum RawChange<'a> {
    LoadModel { model: &'a Id, version: &'a Id },
    LoadVersion { model: &'a Id, version: &'a Id },
}

#[derive(Deserialize)]
struct RawRefusal {
    fence: u64,
}

/// Asks the weight store for the token of a load.
pub(crate) fn ask(
    driver: &Arc<Driver>,
    endpoint: EndpointKey,
    number: OrderNumber,
    change: Change,
) {
    let driver = Arc::clone(driver);
    tokio::spawn(async move {
        let grant = weights(&driver, &change).await;
        driver.feed(Event::Weights {
            endpoint,
            number,
            grant,
        });
    });
}

async fn weights(driver: &Driver, change: &Change) -> TokenReply {
    // The weight store is a part of the platform and has no address of its own in the settings.
    let address = driver.config_service.next();
    let (model, version) = change.weights();
    let url = format!("http://{address}/v1/weights/{model}/{version}");
    let asked = driver.control.get(url).timeout(TIMEOUT).send().await;
    let Ok(response) = asked else {
        return TokenReply::Failed;
    };
    match response.status() {
        StatusCode::OK => TokenReply::Token,
        StatusCode::TOO_MANY_REQUESTS => {
            let after = answers::number::<u64>(response.headers(), "retry-after");
            let seconds = after.map(|s| s.min(MAX_RETRY_AFTER));
            seconds.map_or(TokenReply::Failed, |s| {
                TokenReply::Wait(Millis::from_secs(s))
            })
        }
        _ => TokenReply::Failed,
    }
}

/// Sends an engine an order and tells the node what came of it.
pub(crate) fn send(driver: &Arc<Driver>, endpoint: EndpointKey, order: Order) {
    let driver = Arc::clone(driver);
    tokio::spawn(async move {
        let number = order.number;
        let sent = tokio::time::timeout(TIMEOUT, give(&driver, endpoint, &order));
        let reply = sent.await.unwrap_or(OrderOutcome::Unknown);
        driver.feed(Event::OrderEnded {
            endpoint,
            number,
            reply,
        });
    });
}

async fn give(driver: &Driver, endpoint: EndpointKey, order: &Order) -> OrderOutcome {
    let config = driver.config();
    let (Some(target), Some(body)) = (config.endpoints.get(endpoint), body(order)) else {
        return OrderOutcome::NotSent;
    };
    let mut headers = HeaderMap::new();
    let json = HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    let outgoing = Outgoing {
        method: Method::POST,
        path: "/v1/orders".to_owned(),
        headers,
        body,
    };
    // A publish or a pause while the connection was made: the order is no longer the right one.
    let stands = || {
        let revision = driver.with_node(|node| node.config().revision);
        revision == order.revision && clock::now().mono < order.not_after
    };
    let answer = driver.endpoints.send_once(target, outgoing, stands).await;
    match answer {
        Ok((response, _)) => read(response).await,
        Err(Failure::NotSent) => OrderOutcome::NotSent,
        Err(Failure::MaybeSent) => OrderOutcome::Unknown,
    }
}

fn body(order: &Order) -> Option<Bytes> {
    let change = match &order.change {
        Change::LoadModel { model, version } => RawChange::LoadModel { model, version },
        Change::LoadVersion { model, version } => RawChange::LoadVersion { model, version },
    };
    let fence = order.fence;
    let raw = serde_json::to_vec(&RawOrder { fence, change });
    raw.ok().map(Bytes::from)
}

async fn read(mut response: reqwest::Response) -> OrderOutcome {
    let status = response.status();
    if status.is_success() {
        return OrderOutcome::Obeyed;
    }
    if status != StatusCode::CONFLICT {
        // An engine that fails may have begun to obey.
        let failed = status.is_server_error();
        return if failed {
            OrderOutcome::Unknown
        } else {
            OrderOutcome::Refused
        };
    }
    let mut body = Vec::new();
    while let Ok(Some(chunk)) = response.chunk().await {
        body.extend_from_slice(&chunk);
        if body.len() > MAX_REFUSAL {
            break;
        }
    }
    let refusal = serde_json::from_slice::<RawRefusal>(&body);
    refusal.map_or(OrderOutcome::Refused, |r| OrderOutcome::Fenced(r.fence))
}
