//! Probes of services that are not reached.

use std::time::Duration;

use bytes::Bytes;
use http::{
    HeaderValue,
    Request,
    Uri,
    header, //
};
use http_body_util::Full;
use tokio::time::timeout;
use toucanturn_core::gateway::handoff::Probe;

use crate::{
    client::SendOutcome,
    exchange::MAX_BUFFERED_ANSWER_BYTES,
    memory,
    pool::open,
    state::{
        Shared,
        now, //
    },
};

/// Time limit of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Probes an endpoint of a service that is not reached, if it is time for that. No request waits for it.
pub(super) fn probe(state: &Shared, service: &Bytes) {
    let Some(probe) = state.gateway.borrow_mut().probe(now(), service) else {
        return;
    };
    let state = state.clone();
    tokio::task::spawn_local(async move {
        state.metrics.count("connections", "probed");
        let _ = timeout(PROBE_TIMEOUT, call_health_check(&state, probe)).await;
    });
}

/// Calls an endpoint's health check on a new connection. Any answer shows that the way to it is open.
async fn call_health_check(state: &Shared, probe: Probe) -> Option<()> {
    let mut connection = open(state, (probe.endpoint, probe.address)).await.ok()?;
    let mut request = Request::new(Full::default());
    *request.uri_mut() = Uri::try_from(probe.health.as_ref()).ok()?;
    let host = HeaderValue::try_from(probe.address.to_string()).ok()?;
    request.headers_mut().insert(header::HOST, host);
    let SendOutcome::Head(response, _) = connection.send(request).await else {
        return None;
    };
    let opened = connection.opened;
    state
        .gateway
        .borrow_mut()
        .heard(now(), probe.endpoint, opened);
    let reply = (state.protocol.reply)(response.headers());
    let held = state.memory.answers.reservation(&Bytes::new());
    let mut body = response.into_body();
    memory::collect(&mut body, MAX_BUFFERED_ANSWER_BYTES, held)
        .await
        .ok()?;
    if !reply.closes && !reply.leaving {
        let pool = &state.pool;
        pool.keep(now(), probe.endpoint, connection, reply.idle);
    }
    Some(())
}
