//! The calls that tests and operators' scripts make.

use crate::{
    http,
    platform::{
        Platform, Vm,
        store::{
            Entries,
            Fault, //
        },
    },
    sync::lock,
};
use salvo::{
    Request,
    Response,
    Router,
    handler,
    http::StatusCode, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    sync::Arc,
    time::Duration, //
};

pub(super) fn routes(platform: &Arc<Platform>) -> Router {
    Router::new()
        .push(Router::with_path("publish").post(Publish(platform.clone())))
        .push(Router::with_path("vms").post(SetVms(platform.clone())))
        .push(Router::with_path("fault").post(SetFault(platform.clone())))
        .push(Router::with_path("calls").get(GetCalls(platform.clone())))
}

/// `Transaction` is the body of a publish.
#[derive(Deserialize)]
struct Transaction {
    entries: Entries,
}

/// `Published` is its answer.
#[derive(Serialize)]
struct Published {
    revision: u64,
}

/// `Publish` writes one transaction.
struct Publish(Arc<Platform>);

#[handler]
impl Publish {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let Some(Transaction { entries }) = http::body(req, res).await else {
            return;
        };
        match self.0.change(|store| store.publish(entries)) {
            Ok(revision) => http::answer(res, StatusCode::OK, &Published { revision }),
            Err(error) => http::fail(res, StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }
}

/// `NewVms` is a new VM list and the lag it is seen with.
#[derive(Deserialize, Serialize)]
struct NewVms {
    vms: Vec<Vm>,
    #[serde(default)]
    lag_ms: u64,
}

/// `SetVms` sets the VM list.
struct SetVms(Arc<Platform>);

#[handler]
impl SetVms {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let Some(new) = http::body::<NewVms>(req, res).await else {
            return;
        };
        http::answer(res, StatusCode::OK, &new);
        let mut vms = lock(&self.0.vms);
        vms.lag = Duration::from_millis(new.lag_ms);
        vms.list.set(new.vms);
    }
}

/// `SetFault` sets how the platform goes wrong.
struct SetFault(Arc<Platform>);

#[handler]
impl SetFault {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let Some(fault) = http::body::<Fault>(req, res).await else {
            return;
        };
        self.0.change(|store| store.set_fault(fault));
        http::answer(res, StatusCode::OK, &fault);
    }
}

/// `GetCalls` counts the calls so far.
struct GetCalls(Arc<Platform>);

#[handler]
impl GetCalls {
    async fn handle(&self, res: &mut Response) {
        let calls = *lock(&self.0.calls);
        http::answer(res, StatusCode::OK, &calls);
    }
}
