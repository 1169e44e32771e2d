//! Sets when a request's answer must be whole.

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
    deny, //
};

/// Longest deadline that a caller may ask for.
const MAX_DEADLINE: Millis = Millis(24 * 3600 * 1000);

pub(super) struct Deadline;

#[async_trait]
impl Handler for Deadline {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let header = req
            .headers()
            .get("x-deadline-ms")
            .map(|v| v.as_bytes().to_vec());
        let given = header.map(|raw| {
            let text = String::from_utf8_lossy(&raw).into_owned();
            text.trim().parse::<i64>().map_err(|_| text)
        });
        let Ok(draft) = depot.get_typed_mut::<Draft>() else {
            return;
        };
        let standard = draft
            .workspace
            .as_ref()
            .map(|(_, w)| w.deadline)
            .unwrap_or_default();
        let denial = match given {
            None => {
                draft.deadline = draft.arrived + standard;
                return;
            }
            Some(Ok(left)) if left > 0 => {
                let left = Millis(left.unsigned_abs()).min(MAX_DEADLINE);
                draft.deadline = draft.arrived + left;
                return;
            }
            Some(Ok(left)) => Denial::new(
                400,
                "deadline",
                format!("x-deadline-ms: {left} is in the past"),
            ),
            Some(Err(text)) => {
                let message = format!("x-deadline-ms: {text:?}: expected milliseconds left");
                Denial::new(400, "bad_request", message)
            }
        };
        deny(depot, res, ctrl, denial);
    }
}
