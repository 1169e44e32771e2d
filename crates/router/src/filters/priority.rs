//! Sets a request's priority: its workspace's, or a lower one that the caller asks for.

use std::sync::Arc;

use salvo::prelude::{
    Depot,
    FlowCtrl,
    Handler,
    Request,
    Response,
    async_trait, //
};
use toucanturn_core::config::Priority;

use super::{
    Denial,
    Draft,
    deny, //
};
use crate::driver::Driver;

/// Highest priority there is.
const HIGHEST: u8 = 9;

pub(super) struct Priorities(pub(super) Arc<Driver>);

#[async_trait]
impl Handler for Priorities {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let header = req.headers().get("x-priority");
        let asked = header.map(|v| checked(v.as_bytes()));
        let Ok(draft) = depot.get_typed_mut::<Draft>() else {
            return;
        };
        let own = draft.workspace.as_ref().map(|(_, w)| w.priority);
        let own = own.unwrap_or_default();
        match asked {
            None => draft.priority = own,
            Some(Some(asked)) => draft.priority = asked.min(own),
            // A caller that mistypes a low priority must not get its workspace's full one.
            Some(None) => {
                let message = format!("x-priority: expected a number from 0 to {HIGHEST}");
                let denial = Denial::new(400, "bad_request", message);
                deny(&self.0, depot, res, ctrl, denial);
            }
        }
    }
}

fn checked(raw: &[u8]) -> Option<Priority> {
    match raw {
        [digit @ b'0'..=b'9'] => Some(Priority(digit - b'0')),
        _ => None,
    }
}
