//! Tests of endpoint entries that are added, announce leaving, are removed or lapse.

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

fn usable_count(gateway: &Gateway) -> usize {
    gateway.registry().usable().count()
}

fn removals(numbers: std::ops::Range<u8>) -> Vec<Change> {
    let removal = |n| Change::Removed(Bytes::from(format!("e-{n}")));
    numbers.map(removal).collect()
}

#[gtest]
fn verify_leaving_and_removed_endpoints_get_no_requests() {
    let mut gateway = gateway(6);
    let mut leaving = entry(0);
    leaving.leaving = true;
    gateway.apply_changes(Time(10), vec![Change::Entry(leaving)]);
    expect_that!(usable_count(&gateway), eq(5));
    gateway.apply_changes(Time(20), removals(1..6));
    expect_that!(usable_count(&gateway), eq(0));
    expect_false!(gateway.ready(Time(20)));
}

/// Guards against a service without endpoints after an outage of the registry, though all of them run: during
/// 6 s of outage no endpoint can renew its entry, so all entries lapse, the first read afterwards lacks them,
/// and they are written again a second later.
#[gtest]
fn verify_a_service_whose_entries_lapsed_is_used_until_they_are_back() {
    let mut gateway = gateway(6);
    gateway.record_registry_read(Time(6000), Time(5990));
    gateway.apply_changes(Time(6000), removals(0..6));
    expect_that!(usable_count(&gateway), eq(6));
    gateway.apply_changes(Time(7000), vec![Change::Entry(entry(0))]);
    gateway.tick(Time(7999));
    expect_that!(usable_count(&gateway), eq(6));
    gateway.tick(Time(8000));
    expect_that!(usable_count(&gateway), eq(1));
}

/// Guards against a request to an endpoint 3.5 s after its entry was removed: the registry answers slowly for some
/// seconds, an endpoint leaves without announcing it, and the next read lacks its entry. The entry has not lapsed,
/// as the others of the service are present; taken for lapsed, it was used for two more seconds.
#[gtest]
fn verify_a_few_missing_endpoints_are_gone_even_after_an_outage() {
    let mut gateway = gateway(6);
    gateway.record_registry_read(Time(6000), Time(5990));
    gateway.apply_changes(Time(6000), removals(0..2));
    expect_that!(usable_count(&gateway), eq(4));
}

/// Guards against a request to an endpoint 2.1 s after it has left, because an old copy is taken for an outage of
/// the registry. A router that queries a peer, which reads every 0.67 s and may hold the query for 0.5 s,
/// has a copy that is at times 1.7 s old.
#[gtest]
fn verify_a_late_copy_is_no_outage() {
    let mut gateway = gateway(6);
    gateway.record_registry_read(Time(1700), Time(1700));
    gateway.apply_changes(Time(1700), removals(0..6));
    expect_that!(usable_count(&gateway), eq(0));
}

/// Guards against taking a long read for an outage of the registry, which keeps endpoints that left during the read
/// in use for two more seconds. A router with a narrow link took 3.9 s to read a configuration of 1.1 MB; the
/// registry answered all the while, so missing entries have been removed and not lapsed.
#[gtest]
fn verify_a_long_read_is_no_outage() {
    let mut gateway = gateway(6);
    gateway.record_newer_state(Time(1000));
    gateway.record_registry_read(Time(4900), Time(1000));
    gateway.apply_changes(Time(4900), removals(0..6));
    expect_that!(usable_count(&gateway), eq(0));
}

/// The registry reports a newer revision and then becomes unavailable until the next read.
#[gtest]
fn verify_an_outage_during_a_read_is_an_outage() {
    let mut gateway = gateway(6);
    gateway.record_newer_state(Time(1000));
    gateway.record_registry_read(Time(6000), Time(5990));
    gateway.apply_changes(Time(6000), removals(0..6));
    expect_that!(usable_count(&gateway), eq(6));
}

#[gtest]
fn verify_an_endpoint_that_announced_leaving_does_not_lapse() {
    let mut gateway = gateway(6);
    let leaving = (0..6).map(|n| {
        let mut leaving = entry(n);
        leaving.leaving = true;
        Change::Entry(leaving)
    });
    gateway.apply_changes(Time(10), leaving.collect());
    gateway.record_registry_read(Time(6000), Time(5990));
    gateway.apply_changes(Time(6000), removals(0..6));
    expect_that!(usable_count(&gateway), eq(0));
    expect_true!(gateway.registry().is_empty());
}

#[gtest]
fn verify_a_new_id_at_the_same_address_is_another_endpoint() {
    let mut gateway = gateway(1);
    let mut other = entry(0);
    other.id = Bytes::from_static(b"e-new");
    other.service = Bytes::from_static(b"others");
    let changes = vec![removals(0..1).remove(0), Change::Entry(other)];
    gateway.apply_changes(Time(10), changes);
    expect_that!(gateway.registry().of(b"engines").count(), eq(0));
    expect_that!(gateway.registry().of(b"others").count(), eq(1));
}
