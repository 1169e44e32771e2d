//! Turns the steps of [`OrderScheduler`](crate::orders::OrderScheduler) into actions and log lines.

use std::sync::Arc;

use super::Node;
use crate::{
    action::{
        Action,
        Decision, //
    },
    arena::EndpointKey,
    orders::{
        OrderAction,
        OrderContext,
        OrderNumber,
        OrderOutcome,
        TokenReply, //
    },
    units::Now,
};

impl Node {
    pub(super) fn tick_orders(&mut self, now: Now, out: &mut Vec<Action>) {
        // A draining router may exit before an order ends, so it starts none.
        if self.draining_since.is_some() {
            return;
        }
        let config = Arc::clone(self.store.current());
        let scene = OrderContext {
            config: &config,
            me: self.me,
            view: &self.view,
            now: now.mono,
        };
        let mut steps = Vec::new();
        self.orders.tick(scene, &mut steps);
        self.apply_order_steps(now, steps, out);
    }

    pub(super) fn handle_weight_grant(
        &mut self,
        now: Now,
        order: (EndpointKey, OrderNumber),
        grant: TokenReply,
        out: &mut Vec<Action>,
    ) {
        let config = Arc::clone(self.store.current());
        let scene = OrderContext {
            config: &config,
            me: self.me,
            view: &self.view,
            now: now.mono,
        };
        let mut steps = Vec::new();
        self.orders
            .on_token_reply(scene, order, grant, &mut self.rng, &mut steps);
        self.apply_order_steps(now, steps, out);
    }

    pub(super) fn handle_order_end(
        &mut self,
        now: Now,
        order: (EndpointKey, OrderNumber),
        reply: OrderOutcome,
        out: &mut Vec<Action>,
    ) {
        let config = Arc::clone(self.store.current());
        let scene = OrderContext {
            config: &config,
            me: self.me,
            view: &self.view,
            now: now.mono,
        };
        if self
            .orders
            .on_order_outcome(scene, order, reply, &mut self.rng)
        {
            let endpoint = order.0;
            out.push(Action::Log(Decision::OrderEnded { endpoint, reply }));
        }
    }

    fn apply_order_steps(&mut self, now: Now, steps: Vec<OrderAction>, out: &mut Vec<Action>) {
        for step in steps {
            match step {
                OrderAction::Poll(endpoint) => {
                    if self.view.take_extra_poll(now.mono, endpoint) {
                        self.view.asked(now.mono, endpoint);
                        out.push(Action::Poll { endpoint });
                    }
                }
                OrderAction::RequestToken {
                    endpoint,
                    number,
                    change,
                } => out.push(Action::AskWeights {
                    endpoint,
                    number,
                    change,
                }),
                OrderAction::SendOrder { endpoint, order } => {
                    let logged = order.clone();
                    out.push(Action::Order { endpoint, order });
                    let order = logged;
                    out.push(Action::Log(Decision::Ordered { endpoint, order }));
                }
                OrderAction::LogHold { endpoint, hold } => {
                    out.push(Action::Log(Decision::OrderHeld { endpoint, hold }));
                }
            }
        }
    }
}
