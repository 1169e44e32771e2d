//! Finds the workspace of a bearer key.
//!
//! Keys are published as SHA-256 hashes. The key is looked up by its hash, so the time of the
//! look-up tells nothing of the key; the hash itself is compared in constant time.

use std::sync::Arc;

use salvo::prelude::{
    Depot,
    FlowCtrl,
    Handler,
    Request,
    Response,
    async_trait, //
};
use sha2::{
    Digest,
    Sha256, //
};
use subtle::ConstantTimeEq;
use toucanturn_core::{
    arena::WorkspaceKey,
    config::Workspace, //
};

use super::{
    Denial,
    Draft,
    deny, //
};
use crate::driver::Driver;

pub(super) struct Authenticate(pub(super) Arc<Driver>);

#[async_trait]
impl Handler for Authenticate {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let value = req.headers().get(http::header::AUTHORIZATION);
        let key = value.and_then(|v| v.as_bytes().strip_prefix(b"Bearer "));
        let found = key.and_then(|key| self.find(key));
        match (found, depot.get_typed_mut::<Draft>()) {
            (Some(found), Ok(draft)) => draft.workspace = Some(found),
            _ => {
                let message = "authorization: expected \"Bearer KEY\" with a workspace's key";
                deny(
                    &self.0,
                    depot,
                    res,
                    ctrl,
                    Denial::new(401, "unauthorized", message),
                );
            }
        }
    }
}

impl Authenticate {
    fn find(&self, key: &[u8]) -> Option<(WorkspaceKey, Arc<Workspace>)> {
        let hash: [u8; 32] = Sha256::digest(key).into();
        let found = self.0.workspace(&hash)?;
        let workspace = Arc::clone(self.0.config().workspaces.get(found)?);
        let known = workspace.keys.iter().any(|k| bool::from(k.ct_eq(&hash)));
        known.then_some((found, workspace))
    }
}
