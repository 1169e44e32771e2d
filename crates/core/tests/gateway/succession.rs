//! Tests of successors: attempts beside one whose endpoint keeps silent.

use googletest::prelude::*;
use toucanturn_core::{
    gateway::{
        Gateway, Ticket,
        outcome::{
            AttemptOutcome,
            NextStep, //
        },
    },
    units::Time,
};

use crate::fixture::{
    gateway,
    request, //
};

/// Admits a request and sends it to an endpoint.
fn sent(gateway: &mut Gateway, path: &str) -> Ticket {
    let admitted = gateway.admit(Time(10), &request(path));
    let mut ticket = admitted.expect("the request is admitted");
    send(gateway, &mut ticket, path);
    ticket
}

fn send(gateway: &mut Gateway, ticket: &mut Ticket, path: &str) {
    let placed = gateway.place(Time(20), ticket, &request(path));
    let placed = placed.expect("an endpoint is available");
    gateway.sent(Time(20), ticket, placed.endpoint);
}

#[gtest]
fn verify_a_successor_goes_to_another_endpoint_and_leaves_the_present_attempt() {
    let mut gateway = gateway(3);
    let mut ticket = sent(&mut gateway, "/chat/x");
    let first = ticket.tried.clone();
    let successor = gateway.begin_successor(Time(1500), &mut ticket);
    let mut successor = successor.expect("another attempt may follow");
    send(&mut gateway, &mut successor, "/chat/x");
    expect_that!(ticket.tried, eq(&first));
    expect_that!(successor.tried.len(), eq(2));
    expect_that!(successor.tried[1], not(eq(first[0])));
    expect_that!(successor.owner, not(eq(ticket.owner)));
}

/// Guards against a request that runs twice beside its first run, or at more endpoints than its route allows.
#[gtest]
fn verify_no_successor_follows_where_no_other_attempt_may() {
    let mut gateway = gateway(4);
    let mut once = sent(&mut gateway, "/once/x");
    expect_that!(gateway.begin_successor(Time(1500), &mut once), none());
    let mut late = sent(&mut gateway, "/chat/x");
    expect_that!(gateway.begin_successor(late.until, &mut late), none());
    let mut spent = sent(&mut gateway, "/chat/x");
    send(&mut gateway, &mut spent, "/chat/x");
    expect_that!(spent.attempts(), eq(spent.max_attempts));
    expect_that!(gateway.begin_successor(Time(1500), &mut spent), none());
}

/// Guards against a budget that is charged twice for one retry: for the successor and for the end of the silent attempt.
#[gtest]
fn verify_a_successor_is_charged_to_the_budget_once() {
    let mut gateway = gateway(3);
    let mut ticket = sent(&mut gateway, "/chat/x");
    let successor = gateway.begin_successor(Time(1500), &mut ticket);
    expect_true!(
        successor
            .expect("another attempt may follow")
            .retry_reserved
    );
    expect_true!(ticket.retry_reserved);
    let endpoint = ticket.tried[0];
    let next = gateway.ended(Time(1600), &mut ticket, endpoint, AttemptOutcome::Stalled);
    expect_that!(next, eq(NextStep::Again));
    expect_true!(ticket.retry_reserved);
}

/// Guards against a request that is sent to more endpoints than its route allows, as those of a withdrawn successor
/// are forgotten.
#[gtest]
fn verify_the_attempts_of_a_withdrawn_successor_count() {
    let mut gateway = gateway(4);
    let mut ticket = sent(&mut gateway, "/chat/x");
    let successor = gateway.begin_successor(Time(1500), &mut ticket);
    let mut successor = successor.expect("another attempt may follow");
    send(&mut gateway, &mut successor, "/chat/x");
    gateway.withdraw_successor(&mut ticket, &successor, false);
    expect_that!(ticket.attempts(), eq(2));
    expect_that!(ticket.tried, eq(&successor.tried));
    expect_that!(gateway.begin_successor(Time(1500), &mut ticket), none());
}

/// Guards against the same where a peer had the successor: it may have made all the attempts that it was granted.
#[gtest]
fn verify_all_attempts_granted_to_a_peer_count() {
    let mut gateway = gateway(4);
    let mut ticket = sent(&mut gateway, "/chat/x");
    let successor = gateway.begin_successor(Time(1500), &mut ticket);
    let successor = successor.expect("another attempt may follow");
    gateway.withdraw_successor(&mut ticket, &successor, true);
    expect_that!(ticket.attempts(), eq(ticket.max_attempts));
}

/// Guards against a refusal that hides that a request has not run because a successor was looked for and not sent.
#[gtest]
fn verify_a_successor_that_was_not_sent_leaves_open_whether_the_request_has_run() {
    let mut gateway = gateway(3);
    let mut ticket = sent(&mut gateway, "/chat/x");
    let successor = gateway.begin_successor(Time(1500), &mut ticket);
    let successor = successor.expect("another attempt may follow");
    expect_true!(successor.may_have_run);
    gateway.withdraw_successor(&mut ticket, &successor, false);
    expect_false!(ticket.may_have_run);
}

/// Guards against a promise that a request has not run although a successor of it was sent.
#[gtest]
fn verify_a_successor_that_was_sent_may_have_run() {
    let mut gateway = gateway(3);
    let mut ticket = sent(&mut gateway, "/chat/x");
    let successor = gateway.begin_successor(Time(1500), &mut ticket);
    let mut successor = successor.expect("another attempt may follow");
    send(&mut gateway, &mut successor, "/chat/x");
    gateway.withdraw_successor(&mut ticket, &successor, false);
    expect_true!(ticket.may_have_run);
}
