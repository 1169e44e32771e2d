//! Reads a request's body within its bounds: length, pauses, and the time for the whole.

use std::time::Duration;

use bytes::{
    Bytes,
    BytesMut, //
};
use http_body_util::BodyExt;
use hyper::body::Body;
use salvo::prelude::Request;
use tokio::time::timeout;
use toucanturn_core::{
    settings::Limits,
    units::Time, //
};

use super::Denial;
use crate::clock;

/// Reads a body that must be whole by `deadline`.
///
/// # Errors
///
/// Fails when it is too long, breaks off, stops for longer than `limits` allow, or goes on beyond
/// its deadline: a caller that sends a byte now and then would hold its request open for days.
pub(super) async fn read(
    req: &mut Request,
    limits: &Limits,
    deadline: Time,
) -> Result<Bytes, Denial> {
    let mut body = req.take_body();
    let most = limits.max_body;
    if body.size_hint().lower() > most as u64 {
        return Err(too_large(most));
    }
    let mut read = BytesMut::new();
    loop {
        let left = deadline.since(clock::now().mono);
        let pause = Duration::from_millis(left.min(limits.slow_sender_timeout).0);
        let frame = match timeout(pause, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => return Ok(read.freeze()),
            Ok(Some(Err(_))) => return Err(Denial::new(400, "bad_request", "the body broke off")),
            Err(_) => return Err(slow(limits, left.0)),
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if read.len() + data.len() > most {
            return Err(too_large(most));
        }
        read.extend_from_slice(&data);
    }
}

fn too_large(most: usize) -> Denial {
    let message = format!("the body is longer than {most} bytes");
    Denial::new(413, "too_large", message)
}

fn slow(limits: &Limits, left: u64) -> Denial {
    let pause = limits.slow_sender_timeout.0;
    let message = if left < pause {
        "the body was not whole by the request's deadline".to_owned()
    } else {
        format!("the body stopped for {pause} ms")
    };
    Denial::new(408, "slow_sender", message)
}
