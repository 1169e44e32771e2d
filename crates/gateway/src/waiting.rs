//! Requests that wait until their service has room for them.

use std::time::Duration;

use tokio::time::sleep;
use toucanturn_core::{
    gateway::{
        Ticket,
        refusal::Refusal,
        waiting::{
            Claim,
            Turn, //
        },
    },
    units::Time,
};

use crate::{
    log::text,
    proxied::ProxiedRequest,
    state::{
        Shared,
        now, //
    },
};

/// `Wait` is a request's claim. Dropping it frees the request's place, also where its caller leaves.
struct Wait {
    state: Shared,
    claim: Claim,
}

impl Drop for Wait {
    fn drop(&mut self) {
        self.state.gateway.borrow_mut().leave(&self.claim);
    }
}

/// Waits until a request may be placed; returns the refusal if it is turned away.
pub(crate) async fn wait_for_turn(proxied: &ProxiedRequest) -> Result<(), Refusal> {
    let (state, ticket) = (&proxied.state, &proxied.ticket);
    let size = (proxied.began, proxied.body_len());
    let claim = state.gateway.borrow_mut().claim(now(), ticket, size);
    let Some(claim) = claim else {
        return Ok(());
    };
    let mut wait = Wait {
        state: state.clone(),
        claim,
    };
    let began = now();
    let mut has_waited = false;
    loop {
        let turn = {
            let mut gateway = state.gateway.borrow_mut();
            gateway.turn(now(), ticket, &mut wait.claim)
        };
        match turn {
            Turn::Wait(time) => {
                has_waited = true;
                sleep(Duration::from_millis(time.0)).await;
            }
            Turn::Go if !has_waited => {
                state.metrics.count("waiting", "went");
                return Ok(());
            }
            Turn::Go => {
                state.metrics.count("waiting", "waited");
                record(proxied, began, None);
                return Ok(());
            }
            Turn::Refuse(refusal) => {
                state.metrics.count("waiting", "refused");
                record(proxied, began, Some(refusal));
                return Err(refusal);
            }
        }
    }
}

/// Logs a request that has waited or is turned away.
fn record(proxied: &ProxiedRequest, began: Time, refusal: Option<Refusal>) {
    let (state, ticket): (&Shared, &Ticket) = (&proxied.state, &proxied.ticket);
    let waited = now().since(began);
    let service = text(&ticket.service);
    state.metrics.time("waiting", &service, waited);
    if !state.log.try_admit() {
        return;
    }
    let gateway = state.gateway.borrow();
    let pressure = gateway.pressure(now(), ticket);
    tracing::info!(
        event = 680,
        id = %text(&proxied.incoming_request.id),
        %service,
        workspace = ticket.workspace.as_ref().map(|w| text(&w.name).into_owned()),
        priority = ticket.priority,
        waited = waited.0,
        refused = refusal.is_some(),
        wait = refusal.and_then(|r| r.retry_after).map(|w| w.0),
        delay = pressure.map(|p| p.delay.0),
        admitted = pressure.map(|p| f64::from(p.fraction)),
        part = f64::from(gateway.admitted_part(now(), ticket)),
        waiting = gateway.waiting().requests(),
        "waited for room"
    );
}
