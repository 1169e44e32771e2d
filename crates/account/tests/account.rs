//! Account of buffered bytes: who gives way at the bound, and that all is given back.

use bytes::Bytes;
use googletest::prelude::*;
use toucanturn_account::{
    Account,
    Reservation, //
};

const KIB: usize = 1 << 10;
const A: Bytes = Bytes::from_static(b"a");
const B: Bytes = Bytes::from_static(b"b");
const C: Bytes = Bytes::from_static(b"c");

fn account(limit: usize) -> Account {
    let account = Account::default();
    account.set_limit(limit);
    account
}

fn holding(account: &Account, part: &Bytes, bytes: usize) -> Reservation {
    let mut reservation = account.reservation(part);
    assert!(reservation.try_set(bytes), "there is room");
    reservation
}

/// Guards against one service that takes the memory of all.
#[gtest]
fn verify_a_part_can_not_exceed_its_share() {
    let account = account(400 * KIB);
    let mut first = holding(&account, &A, 150 * KIB);
    expect_false!(account.reservation(&A).try_set(160 * KIB));
    expect_false!(first.try_set(201 * KIB));
    expect_true!(first.try_set(200 * KIB));
    expect_true!(account.reservation(&B).try_set(200 * KIB));
    expect_that!(account.held(), eq(200 * KIB));
}

/// Guards against a small message that is ended for a large one.
#[gtest]
fn verify_the_largest_message_of_a_full_part_ends() {
    let account = account(400 * KIB);
    let mut large = holding(&account, &A, 150 * KIB);
    let mut small = holding(&account, &A, 50 * KIB);
    expect_true!(small.try_set(60 * KIB));
    expect_false!(large.try_set(151 * KIB));
    expect_that!(account.held(), eq(210 * KIB));
    drop(large);
    expect_that!(account.held(), eq(60 * KIB));
    expect_true!(small.try_set(140 * KIB));
}

/// Guards against messages of a modest part that are ended for those of another one.
#[gtest]
fn verify_the_part_that_holds_most_gives_way() {
    let account = account(400 * KIB);
    let mut heavy = [10, 90, 90].map(|kib| holding(&account, &A, kib * KIB));
    let mut middle = holding(&account, &B, 150 * KIB);
    let mut modest = holding(&account, &C, 50 * KIB);
    expect_true!(modest.try_set(70 * KIB));
    expect_true!(middle.try_set(150 * KIB));
    let ended = heavy[1..]
        .iter_mut()
        .filter_map(|h| (!h.try_set(90 * KIB)).then_some(()));
    expect_that!(ended.count(), eq(1));
    expect_true!(heavy[0].try_set(10 * KIB));
}

/// Guards against a complete message that is ended, and against bytes that are given back too early or never.
#[gtest]
fn verify_a_complete_message_counts_until_its_bytes_are_dropped() {
    let account = account(400 * KIB);
    let held = holding(&account, &A, 190 * KIB);
    let bytes = held.complete(Bytes::from(vec![1; 150 * KIB]));
    expect_that!(account.held(), eq(150 * KIB));
    expect_false!(account.reservation(&A).try_set(60 * KIB));
    expect_that!(bytes.as_ref().map(Bytes::len), ok(eq(150 * KIB)));
    let copy = bytes.clone();
    drop(bytes);
    expect_that!(account.held(), eq(150 * KIB));
    drop(copy);
    expect_that!(account.held(), eq(0));
    expect_that!(account.peak(), eq(190 * KIB));
}

/// Guards against short messages that cost an entry each.
#[gtest]
fn verify_short_messages_are_not_counted() {
    let account = account(KIB);
    let short = holding(&account, &A, 8 * KIB - 1);
    expect_that!(account.held(), eq(0));
    expect_that!(
        short.complete(Bytes::from_static(b"x")),
        ok(eq(&Bytes::from_static(b"x")))
    );
}
