//! The gate that a forwarded call's bytes pass on their way out.
//!
//! When a forwarded call fails, the caller may be told "not run" only if none of it left. The
//! library's errors can't tell: a stream that was cancelled may have sent its body just before.
//! So the body passes a gate that opens when its bytes are taken and that the failing side shuts;
//! one atomic exchange decides which of the two came first.
//!
//! The same gate keeps any library from sending a call twice: the body yields its bytes once.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicU8,
            Ordering, //
        },
    },
    task::{
        Context,
        Poll, //
    },
};

use bytes::Bytes;
use http_body_util::BodyExt;
use tonic::{
    body::Body,
    codegen::Service,
    transport::Channel, //
};

const CLOSED: u8 = 0;
const OPEN: u8 = 1;
const SHUT: u8 = 2;

/// `Gate` is the gate of one call.
#[derive(Debug, Default)]
pub(super) struct Gate(AtomicU8);

impl Gate {
    /// Lets bytes out, unless the gate was shut.
    fn open(&self) -> bool {
        let swap = (Ordering::AcqRel, Ordering::Acquire);
        let was = self.0.compare_exchange(CLOSED, OPEN, swap.0, swap.1);
        matches!(was, Ok(_) | Err(OPEN))
    }

    /// Shuts the gate for good. Returns `false` if bytes have left before.
    pub(super) fn shut(&self) -> bool {
        let swap = (Ordering::AcqRel, Ordering::Acquire);
        let was = self.0.compare_exchange(CLOSED, SHUT, swap.0, swap.1);
        matches!(was, Ok(_) | Err(SHUT))
    }
}

/// `Gated` is a channel whose requests pass a gate.
#[derive(Clone, Debug)]
pub(super) struct Gated {
    pub(super) channel: Channel,
    pub(super) gate: Arc<Gate>,
}

impl Service<http::Request<Body>> for Gated {
    type Response = <Channel as Service<http::Request<Body>>>::Response;
    type Error = <Channel as Service<http::Request<Body>>>::Error;
    type Future = <Channel as Service<http::Request<Body>>>::Future;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.channel.poll_ready(cx)
    }

    fn call(&mut self, request: http::Request<Body>) -> Self::Future {
        let gate = Arc::clone(&self.gate);
        let request = request.map(|body| {
            Body::new(body.map_frame(move |frame| {
                if gate.open() {
                    return frame;
                }
                // An empty body is no message: the peer's decoder refuses it.
                frame.map_data(|_| Bytes::new())
            }))
        });
        self.channel.call(request)
    }
}

#[cfg(test)]
mod tests;
