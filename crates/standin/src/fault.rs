//! Faults of the endpoints, set through the control port and taken one request at a time.

use crate::{
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
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

/// `Mode` is how a request goes wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Nothing goes wrong.
    #[default]
    None,
    /// The connection is closed before anything is read.
    Refuse,
    /// The request is read, not run and never answered.
    SilentBefore,
    /// The request is run and never answered.
    SilentAfter,
    /// The work takes longer: before a service runs, at every token of an engine.
    Slow,
    /// The answer is cut halfway, with no end mark.
    Truncate,
    /// The request is run, then the connection is closed without an answer.
    ResetAfter,
    /// The answer has the id and the body of another request.
    Crossed,
    /// The request is run, its answer held back.
    Late,
    /// The request is run, the answer is 500.
    #[serde(rename = "error_500")]
    Error500,
    /// A stream ends in good order but without its end mark.
    NoDone,
}

/// `Scope` is which calls a fault concerns.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// Calls that do the endpoint's work.
    #[default]
    Work,
    /// Load reports, model lists, orders and cache calls as well.
    All,
}

/// `Order` sets a fault.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Order {
    /// How requests go wrong.
    pub mode: Mode,
    /// How many requests it concerns; 0 is all until the next order.
    #[serde(default)]
    pub count: u32,
    /// Milliseconds for the modes that delay.
    #[serde(default)]
    pub delay_ms: u64,
    /// Which calls it concerns.
    #[serde(default)]
    pub scope: Scope,
}

/// `Fault` is what happens to one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Fault {
    pub(crate) mode: Mode,
    pub(crate) delay: Duration,
}

impl Fault {
    /// Gets the delay if the fault has this mode, otherwise zero.
    pub(crate) fn delay_of(&self, mode: Mode) -> Duration {
        if self.mode == mode {
            self.delay
        } else {
            Duration::ZERO
        }
    }
}

/// `Faults` is the fault in force.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    order: Mutex<Order>,
}

impl Faults {
    fn set(&self, order: Order) {
        *lock(&self.order) = order;
    }

    /// Takes the fault of a working call.
    pub(crate) fn take(&self) -> Fault {
        self.take_if(|_| true)
    }

    /// Takes the fault of another call, which only [`Scope::All`] concerns.
    pub(crate) fn take_aside(&self) -> Fault {
        self.take_if(|order| order.scope == Scope::All)
    }

    /// Takes the refusal of a new connection.
    pub(crate) fn refuses(&self) -> bool {
        self.take_if(|order| order.mode == Mode::Refuse).mode == Mode::Refuse
    }

    fn take_if(&self, concerns: impl Fn(&Order) -> bool) -> Fault {
        let mut order = lock(&self.order);
        if !concerns(&order) {
            return Fault::default();
        }
        let fault = Fault {
            mode: order.mode,
            delay: Duration::from_millis(order.delay_ms),
        };
        match order.count {
            0 => {}
            1 => *order = Order::default(),
            _ => order.count -= 1,
        }
        fault
    }
}

/// `SetFault` is the control call that sets the fault.
pub(crate) struct SetFault(pub(crate) Arc<Faults>);

#[handler]
impl SetFault {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        if let Some(order) = http::body::<Order>(req, res).await {
            self.0.set(order);
            http::answer(res, StatusCode::OK, &order);
        }
    }
}
