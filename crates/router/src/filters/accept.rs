//! Gives a request its id and bounds the number of open ones.

use std::sync::Arc;

use http::HeaderMap;
use salvo::prelude::{
    Depot,
    FlowCtrl,
    Handler,
    Request,
    Response,
    async_trait, //
};
use toucanturn_core::units::Millis;

use super::{
    Denial,
    Draft,
    classify,
    deny, //
};
use crate::{
    answers::REQUEST_ID,
    clock,
    driver::Driver,
    metrics::Name, //
};

/// Longest request id of a caller in bytes.
const MAX_ID: usize = 64;

pub(super) struct Accept(pub(super) Arc<Driver>);

#[async_trait]
impl Handler for Accept {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        self.0.metrics.count(Name::Requests, 1);
        let given = req.headers().get(REQUEST_ID).map(|v| v.as_bytes().to_vec());
        let draft = Draft {
            id: given.as_deref().and_then(checked_id).unwrap_or_else(new_id),
            keyed: is_keyed(req.headers()),
            arrived: clock::now().mono,
            ..Draft::default()
        };
        depot.insert_typed(draft);
        if given.is_some_and(|id| checked_id(&id).is_none()) {
            let message =
                format!("x-request-id: expected 1 to {MAX_ID} letters, digits, '-' or '_'");
            return deny(
                &self.0,
                depot,
                res,
                ctrl,
                Denial::new(400, "bad_request", message),
            );
        }
        if self.0.open() >= self.0.settings.limits.max_open_requests {
            let mut denial = Denial::new(503, "overloaded", "too many requests are open here");
            denial.retry_after = Some(Millis(1000));
            deny(&self.0, depot, res, ctrl, denial);
        }
    }
}

fn checked_id(raw: &[u8]) -> Option<String> {
    let plain = |b: &u8| b.is_ascii_alphanumeric() || b"-_".contains(b);
    let good = (1..=MAX_ID).contains(&raw.len()) && raw.iter().all(plain);
    good.then(|| String::from_utf8_lossy(raw).into_owned())
}

/// Tells whether a request carries one idempotency key that a home could hold.
fn is_keyed(headers: &HeaderMap) -> bool {
    let mut keys = headers.get_all("idempotency-key").iter();
    match (keys.next(), keys.next()) {
        (Some(key), None) => classify::key(key).is_some(),
        _ => false,
    }
}

fn new_id() -> String {
    uuid::Uuid::now_v7().simple().to_string()
}
