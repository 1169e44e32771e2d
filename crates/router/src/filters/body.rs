//! Reads a request's body within its bounds: length, pauses, the time for the whole, and the sum of all bodies.

use std::time::Duration;

use bytes::{
    Bytes,
    BytesMut, //
};
use http_body_util::BodyExt;
use hyper::body::Body;
use salvo::prelude::Request;
use tokio::time::timeout;
use toucanturn_account::Reservation;
use toucanturn_core::{
    settings::Limits,
    units::{
        Millis,
        Time, //
    },
};

use super::Denial;
use crate::clock;

/// Time after which a caller may come back whose body had no room.
const NO_ROOM_RETRY: Millis = Millis(1000);

/// Reads a body that must be whole by `deadline`. Its bytes hold the reservation until they are dropped.
///
/// # Errors
///
/// Fails when it is too long, breaks off, stops for longer than `limits` allow, or goes on beyond
/// its deadline: a caller that sends a byte now and then would hold its request open for days.
/// Fails also when all bodies together hold too much, and this one holds most.
pub(super) async fn read(
    req: &mut Request,
    limits: &Limits,
    deadline: Time,
    mut held: Reservation,
) -> Result<Bytes, Denial> {
    let mut body = req.take_body();
    let most = limits.max_body;
    if body.size_hint().lower() > most as u64 {
        return Err(too_large(most));
    }
    let stated = body.size_hint().exact();
    let stated = stated.and_then(|s| usize::try_from(s).ok()).unwrap_or(most);
    let mut read = BytesMut::new();
    loop {
        let left = deadline.since(clock::now().mono);
        let pause = Duration::from_millis(left.min(limits.slow_sender_timeout).0);
        let frame = tokio::select! {
            biased;
            () = held.ended() => return Err(no_room()),
            frame = timeout(pause, body.frame()) => frame,
        };
        let frame = match frame {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => return held.complete(read.freeze()).map_err(|_| no_room()),
            Ok(Some(Err(_))) => return Err(Denial::new(400, "bad_request", "the body broke off")),
            Err(_) => return Err(slow(limits, left.0)),
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = read.len() + data.len();
        if length > most {
            return Err(too_large(most));
        }
        if length > read.capacity() {
            let capacity = length.saturating_mul(2).min(stated).max(length);
            if !held.try_set(capacity) {
                return Err(no_room());
            }
            read.reserve(capacity - read.len());
        }
        read.extend_from_slice(&data);
    }
}

fn no_room() -> Denial {
    let mut denial = Denial::new(
        503,
        "overloaded",
        "too many long bodies are held here at once",
    );
    denial.retry_after = Some(NO_ROOM_RETRY);
    denial
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
