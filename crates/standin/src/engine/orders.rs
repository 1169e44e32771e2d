//! What the engine has loaded, and the orders that change it.

use crate::{
    engine::Engine,
    http,
    sync::lock, //
};
use salvo::{
    Request,
    Response,
    handler,
    http::StatusCode, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    collections::VecDeque,
    sync::Arc, //
};

/// Most models and adapters loaded; beyond it the first is unloaded.
const MAX_MODELS: usize = 64;
/// Most orders recorded; beyond it the oldest is forgotten.
const MAX_ORDERS: usize = 4096;

/// `Fencing` is whether the engine checks who gives it an order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fencing {
    /// It obeys any order.
    #[default]
    Off,
    /// It refuses an order whose number isn't above the one it holds.
    On,
}

/// `Order` tells the engine to change.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Order {
    /// Number of who gives it.
    pub fence: u64,
    /// What to do.
    #[serde(flatten)]
    pub change: Change,
}

/// `Change` is what an order asks for.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Change {
    /// Load a model.
    LoadModel {
        /// Its id.
        model: String,
        /// Its version; the present one where there's none.
        version: Option<String>,
    },
    /// Load an adapter.
    LoadAdapter {
        /// Its id, which callers name as a model.
        adapter: String,
    },
    /// Load a version of what is loaded.
    LoadVersion {
        /// The version.
        version: String,
    },
    /// Change the role.
    ChangeRole {
        /// The role.
        role: String,
    },
}

/// `Deployment` is what the engine has loaded.
#[derive(Debug)]
pub(super) struct Deployment {
    pub(super) fencing: Fencing,
    pub(super) models: Vec<String>,
    pub(super) version: String,
    pub(super) role: String,
    pub(super) fence: u64,
    /// The orders obeyed.
    pub(super) orders: VecDeque<Order>,
}

impl Deployment {
    pub(super) fn has_model(&self, id: &str) -> bool {
        self.models.iter().any(|model| model == id)
    }

    /// Obeys an order, or refuses it with the number held.
    fn obey(&mut self, order: Order) -> Result<u64, u64> {
        if self.fencing == Fencing::On && order.fence <= self.fence {
            return Err(self.fence);
        }
        self.fence = order.fence;
        match order.change.clone() {
            Change::LoadModel { model, version } => {
                self.load(model);
                self.version = version.unwrap_or(std::mem::take(&mut self.version));
            }
            Change::LoadAdapter { adapter } => self.load(adapter),
            Change::LoadVersion { version } => self.version = version,
            Change::ChangeRole { role } => self.role = role,
        }
        if self.orders.len() == MAX_ORDERS {
            self.orders.pop_front();
        }
        self.orders.push_back(order);
        Ok(self.fence)
    }

    fn load(&mut self, model: String) {
        if self.has_model(&model) {
            return;
        }
        if self.models.len() == MAX_MODELS {
            self.models.remove(0);
        }
        self.models.push(model);
    }
}

/// `Held` is the fencing number that the engine holds.
#[derive(Serialize)]
struct Held {
    fence: u64,
}

/// `GiveOrder` is the call that gives an order.
pub(super) struct GiveOrder(pub(super) Arc<Engine>);

#[handler]
impl GiveOrder {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let Some(order) = http::body::<Order>(req, res).await else {
            return;
        };
        let obeyed = lock(&self.0.deployment).obey(order);
        match obeyed {
            Ok(fence) => http::answer(res, StatusCode::OK, &Held { fence }),
            Err(fence) => http::answer(res, StatusCode::CONFLICT, &Held { fence }),
        }
    }
}
