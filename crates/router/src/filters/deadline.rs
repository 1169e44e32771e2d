//! Sets when a request's answer must be whole.

use std::{
    num::IntErrorKind,
    sync::Arc, //
};

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
use crate::driver::Driver;

/// Longest deadline that a caller may ask for.
const MAX_DEADLINE: Millis = Millis(24 * 3600 * 1000);

pub(super) struct Deadline(pub(super) Arc<Driver>);

#[async_trait]
impl Handler for Deadline {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let header = req.headers().get("x-deadline-ms");
        let given = header.map(|v| left(&String::from_utf8_lossy(v.as_bytes())));
        let Ok(draft) = depot.get_typed_mut::<Draft>() else {
            return;
        };
        let workspace = draft.workspace.as_ref();
        let standard = workspace.map(|(_, w)| w.deadline).unwrap_or_default();
        match given.unwrap_or(Ok(standard)) {
            Ok(left) => draft.deadline = draft.arrived + left,
            Err(denial) => deny(&self.0, depot, res, ctrl, denial),
        }
    }
}

/// Reads the milliseconds left. A number that no integer holds is still one: beyond the cap, or
/// past.
fn left(text: &str) -> Result<Millis, Denial> {
    let past = || Denial::new(400, "deadline", format!("x-deadline-ms: {text} is past"));
    match text.parse::<i64>().map_err(|e| *e.kind()) {
        Ok(left @ 1..) => Ok(Millis(left.unsigned_abs()).min(MAX_DEADLINE)),
        Err(IntErrorKind::PosOverflow) => Ok(MAX_DEADLINE),
        Ok(_) | Err(IntErrorKind::NegOverflow) => Err(past()),
        Err(_) => {
            let message = format!("x-deadline-ms: {text:?}: expected milliseconds left");
            Err(Denial::new(400, "bad_request", message))
        }
    }
}
