//! Tests that nothing is taken for allowed because a router has heard nothing: it was suspended, cut off, or knows no
//! other router.

use bytes::Bytes;
use googletest::prelude::*;
use toucanturn_core::{
    gateway::{
        Change, Gateway, Ticket,
        fingerprint::{
            Content,
            Fingerprint, //
        },
        incoming_request::IncomingRequest,
        mesh::{
            EndpointReport, //
        },
        refusal::Cause,
    },
    units::{
        Millis,
        Time, //
    },
};

use crate::fixture::{
    bounds,
    entry,
    gateway,
    request, //
};

/// Pauses of a process, in milliseconds.
const PAUSES_MS: [u64; 5] = [300, 1000, 1400, 3000, 10_000];
/// Shortest pause that a router notices, in milliseconds; messages may be as late in a running one.
const NOTICED_MS: u64 = 500;
/// When the pause of a router begins, in milliseconds.
const PAUSED_AT: u64 = 2000;
/// Time between two reads of the registry, in milliseconds.
const READ_MS: u64 = 500;

static WORKSPACE: Bytes = Bytes::from_static(b"one");

/// Runs a gateway that reads the registry from one time to another.
fn run(gateway: &mut Gateway, from: u64, to: u64) {
    for now in (from..=to).step_by(100) {
        gateway.tick(Time(now));
        if now % READ_MS == 0 {
            gateway.record_registry_read(Time(now), Time(now));
        }
    }
}

/// Makes a gateway that has run until it is paused at [`PAUSED_AT`].
fn paused_gateway(endpoints: u8) -> Gateway {
    let mut gateway = gateway(endpoints);
    run(&mut gateway, 100, PAUSED_AT);
    gateway
}

fn usable_count(gateway: &Gateway) -> usize {
    gateway.registry().usable().count()
}

fn removals(numbers: std::ops::Range<u8>) -> Vec<Change> {
    let removal = |n| Change::Removed(Bytes::from(format!("e-{n}")));
    numbers.map(removal).collect()
}

fn fingerprint() -> Fingerprint {
    Fingerprint::of(&Content {
        workspace: Some(&WORKSPACE),
        parts: [b"POST", b"shop.example", b"/once/x", b"fatal"],
    })
}

fn place(gateway: &mut Gateway, now: Time, request: &IncomingRequest) -> Result<Ticket, Cause> {
    let mut ticket = gateway.admit(now, request).map_err(|r| r.cause)?;
    ticket.content = Some(fingerprint());
    let placed = gateway.place(now, &ticket, request).map_err(|r| r.cause)?;
    gateway.sent(now, &mut ticket, placed.endpoint);
    Ok(ticket)
}

/// Guards against keys and entries that a router uses after a pause beyond the age up to which they count.
#[gtest]
fn verify_a_router_that_wakes_uses_keys_and_entries_by_the_age_of_its_last_read() {
    for pause in PAUSES_MS {
        let mut gateway = paused_gateway(2);
        let woken = Time(PAUSED_AT + pause);
        let expected = match Millis(pause) {
            age if age >= bounds().keys => Err(Cause::Stale),
            age if age >= bounds().max_confirmation_age => Err(Cause::Unconfirmed),
            _ => Ok(()),
        };
        let placed = place(&mut gateway, woken, &request("/read/x")).map(|_| ());
        expect_that!(placed, eq(expected), "paused for {pause} ms");
    }
}

/// Guards against requests to endpoints that left while a router was suspended: what it didn't read is taken for an
/// outage of the registry, and their entries for ones that nobody could renew.
#[gtest]
fn verify_endpoints_removed_while_a_router_was_suspended_are_gone() {
    for pause in PAUSES_MS {
        let woken = PAUSED_AT + pause;
        for read in [woken + 1, woken - 200] {
            let mut gateway = paused_gateway(6);
            gateway.tick(Time(woken));
            gateway.record_registry_read(Time(woken + 5), Time(read));
            gateway.apply_changes(Time(woken + 5), removals(0..3));
            expect_that!(usable_count(&gateway), eq(3), "paused for {pause} ms");
        }
    }
}

/// Guards against a service without endpoints after an outage of the registry through which a router was suspended for
/// a part of the time.
#[gtest]
fn verify_an_outage_is_noticed_by_a_router_that_was_suspended_within_it() {
    for pause in [1000, 1400, 3000] {
        let mut gateway = paused_gateway(6);
        let suspended_at = PAUSED_AT + 1500;
        for now in (PAUSED_AT..=suspended_at).step_by(100) {
            gateway.tick(Time(now));
        }
        let woken = suspended_at + pause;
        for now in (woken..=woken + 1500).step_by(100) {
            gateway.tick(Time(now));
        }
        gateway.record_registry_read(Time(woken + 1505), Time(woken + 1500));
        gateway.apply_changes(Time(woken + 1505), removals(0..6));
        expect_that!(usable_count(&gateway), eq(6), "paused for {pause} ms");
    }
}

/// Guards against loads from before a pause that a router takes for new ones and passes on to its peers.
#[gtest]
fn verify_loads_that_waited_for_a_suspended_router_are_not_passed_on() {
    for pause in PAUSES_MS {
        let mut gateway = paused_gateway(1);
        let woken = PAUSED_AT + pause;
        let (_, endpoint) = gateway.registry().usable().next().expect("one is listed");
        let report = EndpointReport {
            endpoint: endpoint.tag().0,
            load: Some(40),
            age: Millis(10),
            confirmed: false,
            delay: None,
        };
        // Some are read before the first tick.
        gateway.record_peer_report(Time(woken), &[report]);
        gateway.tick(Time(woken + 1));
        gateway.record_peer_report(Time(woken + 2), &[report]);
        let told = gateway.digest_contents(Time(woken + 3), 1).reports;
        let expected = usize::from(pause < NOTICED_MS);
        expect_that!(told.len(), eq(expected), "paused for {pause} ms");
        gateway.tick(Time(woken + 101));
        gateway.record_peer_report(Time(woken + 101), &[report]);
        let told = gateway.digest_contents(Time(woken + 102), 1).reports;
        expect_that!(told.len(), eq(1), "paused for {pause} ms");
    }
}

/// Guards against a removed endpoint that comes back with an entry from before the pause, read from a copy that lags.
#[gtest]
fn verify_a_leaving_endpoint_stays_out_whatever_is_read_after_a_pause() {
    for pause in PAUSES_MS {
        let mut gateway = paused_gateway(2);
        let woken = Time(PAUSED_AT + pause);
        gateway.tick(woken);
        let mut leaving = entry(0);
        leaving.leaving = true;
        gateway.record_registry_read(woken, woken);
        gateway.apply_changes(woken, vec![Change::Entry(leaving)]);
        gateway.apply_changes(woken, vec![Change::Entry(entry(0))]);
        expect_that!(usable_count(&gateway), eq(1), "paused for {pause} ms");
    }
}
