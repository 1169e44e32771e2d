//! Entries that come, leave and lapse.

use bytes::Bytes;
use googletest::prelude::*;
use toucanturn_core::{
    gateway::{
        Change,
        Gateway, //
    },
    units::Time,
};

use crate::fixture::{
    entry,
    gateway, //
};

fn usable(gateway: &Gateway) -> usize {
    gateway.registry().usable().count()
}

fn removed(numbers: std::ops::Range<u8>) -> Vec<Change> {
    let id = |n| Change::Removed(Bytes::from(format!("e-{n}")));
    numbers.map(id).collect()
}

#[gtest]
fn verify_leaving_and_missing_endpoints_get_nothing() {
    let mut gateway = gateway(6);
    let mut leaving = entry(0);
    leaving.leaving = true;
    gateway.follow(Time(10), vec![Change::Entry(leaving)]);
    expect_that!(usable(&gateway), eq(5));
    gateway.follow(Time(20), removed(1..6));
    expect_that!(usable(&gateway), eq(0));
    expect_false!(gateway.ready(Time(20)));
}

/// Symptom: after an outage of the registry nobody was left to serve, though all endpoints lived.
/// Sequence: the registry is away for 6 s; entries lapse meanwhile as nobody can renew them; the
/// first read after its return misses them all; they are back a second later.
/// Cause: what a read misses was taken for gone.
#[gtest]
fn verify_a_service_that_lapsed_is_used_until_its_entries_are_back() {
    let mut gateway = gateway(6);
    gateway.proved(Time(6000), Time(5990));
    gateway.follow(Time(6000), removed(0..6));
    expect_that!(usable(&gateway), eq(6));
    gateway.follow(Time(7000), vec![Change::Entry(entry(0))]);
    gateway.tick(Time(7999));
    expect_that!(usable(&gateway), eq(6));
    gateway.tick(Time(8000));
    expect_that!(usable(&gateway), eq(1));
}

/// Symptom: a request reached an endpoint 3.5 s after its entry was removed.
/// Sequence: the registry answers slowly for some seconds; an endpoint leaves without a notice; the
/// first read in time misses its entry, and the endpoint is used for two more seconds.
/// Cause: the entry was taken for lapsed, though all others of its service were there.
#[gtest]
fn verify_a_few_missing_endpoints_are_gone_even_after_an_outage() {
    let mut gateway = gateway(6);
    gateway.proved(Time(6000), Time(5990));
    gateway.follow(Time(6000), removed(0..2));
    expect_that!(usable(&gateway), eq(4));
}

/// Symptom: an endpoint that had left got a request 2.1 s later.
/// Sequence: a router asks a peer that itself reads each 0.67 s; an ask waits for 0.5 s; so the
/// newest proof is at times 1.7 s old, and then an entry is removed.
/// Cause: that age was taken for an outage of the registry.
#[gtest]
fn verify_a_late_copy_is_no_outage() {
    let mut gateway = gateway(6);
    gateway.proved(Time(1700), Time(1700));
    gateway.follow(Time(1700), removed(0..6));
    expect_that!(usable(&gateway), eq(0));
}

/// A configuration of 1.1 MB took a router with a narrow link 3.9 s to read, and endpoints left meanwhile. The
/// registry answered all the while, so their entries have not lapsed: they are gone, and were used for two more
/// seconds.
#[gtest]
fn verify_a_read_that_takes_long_is_no_outage() {
    let mut gateway = gateway(6);
    gateway.outdated(Time(1000));
    gateway.proved(Time(4900), Time(1000));
    gateway.follow(Time(4900), removed(0..6));
    expect_that!(usable(&gateway), eq(0));
}

/// The registry told of something newer and then went away: it is back with the next read.
#[gtest]
fn verify_an_outage_in_the_middle_of_a_read_is_an_outage() {
    let mut gateway = gateway(6);
    gateway.outdated(Time(1000));
    gateway.proved(Time(6000), Time(5990));
    gateway.follow(Time(6000), removed(0..6));
    expect_that!(usable(&gateway), eq(6));
}

#[gtest]
fn verify_an_endpoint_that_announced_its_leaving_does_not_lapse() {
    let mut gateway = gateway(6);
    let leaving = (0..6).map(|n| {
        let mut leaving = entry(n);
        leaving.leaving = true;
        Change::Entry(leaving)
    });
    gateway.follow(Time(10), leaving.collect());
    gateway.proved(Time(6000), Time(5990));
    gateway.follow(Time(6000), removed(0..6));
    expect_that!(usable(&gateway), eq(0));
    expect_true!(gateway.registry().is_empty());
}

#[gtest]
fn verify_a_new_life_at_the_same_address_is_another_endpoint() {
    let mut gateway = gateway(1);
    let mut other = entry(0);
    other.id = Bytes::from_static(b"e-new");
    other.service = Bytes::from_static(b"others");
    let changes = vec![removed(0..1).remove(0), Change::Entry(other)];
    gateway.follow(Time(10), changes);
    expect_that!(gateway.registry().of(b"engines").count(), eq(0));
    expect_that!(gateway.registry().of(b"others").count(), eq(1));
}
