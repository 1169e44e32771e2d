//! Which connection gives way to a new one.

use googletest::prelude::*;
use tokio::{
    select,
    task::yield_now, //
};

use super::{
    Limiter,
    Slot, //
};

fn limiter(most: usize) -> Limiter {
    let limiter = Limiter::default();
    limiter.set_most(most);
    limiter
}

fn admit(limiter: &Limiter) -> Slot {
    limiter
        .admit()
        .unwrap_or_else(|| panic!("expected a place"))
}

async fn is_closed(slot: &Slot) -> bool {
    select! {
        biased;
        () = slot.closed() => true,
        () = yield_now() => false,
    }
}

#[gtest]
#[tokio::test]
async fn verify_the_connection_that_has_waited_longest_gives_way() {
    let limiter = limiter(2);
    let (first, second) = (admit(&limiter), admit(&limiter));
    let third = admit(&limiter);
    expect_that!(limiter.open(), eq(2));
    expect_true!(is_closed(&first).await);
    drop(first);
    expect_that!(limiter.open(), eq(2));
    expect_false!(is_closed(&second).await);
    expect_false!(is_closed(&third).await);
}

#[gtest]
#[tokio::test]
async fn verify_a_connection_with_a_complete_request_never_gives_way() {
    let limiter = limiter(2);
    let (first, second) = (admit(&limiter), admit(&limiter));
    first.work();
    let third = admit(&limiter);
    expect_true!(is_closed(&second).await);
    third.work();
    expect_true!(limiter.admit().is_none());
    drop(third);
    let fourth = admit(&limiter);
    expect_false!(is_closed(&first).await);
    expect_false!(is_closed(&fourth).await);
}

/// Guards against a kept connection that counts its wait from its first request.
#[gtest]
#[tokio::test]
async fn verify_a_connection_that_was_just_answered_is_the_last_to_give_way() {
    let limiter = limiter(2);
    let (answered, silent) = (admit(&limiter), admit(&limiter));
    answered.work();
    answered.wait();
    let next = admit(&limiter);
    expect_true!(is_closed(&silent).await);
    expect_false!(is_closed(&answered).await);
    drop(next);
}

/// Guards against a body on a slow line that is taken for one that has stopped.
#[gtest]
#[tokio::test]
async fn verify_bytes_that_arrive_count_against_the_wait() {
    let limiter = limiter(2);
    let (sending, silent) = (admit(&limiter), admit(&limiter));
    sending.progress(1 << 20);
    let next = admit(&limiter);
    expect_true!(is_closed(&silent).await);
    expect_false!(is_closed(&sending).await);
    drop(next);
}

#[gtest]
#[tokio::test]
async fn verify_a_lower_bound_closes_what_waits() {
    let limiter = limiter(3);
    let slots = [admit(&limiter), admit(&limiter), admit(&limiter)];
    slots[0].work();
    limiter.set_most(1);
    expect_that!(limiter.open(), eq(1));
    expect_false!(is_closed(&slots[0]).await);
    expect_true!(is_closed(&slots[1]).await);
    expect_true!(is_closed(&slots[2]).await);
}
