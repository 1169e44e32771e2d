//! Explanations of where a request would go: each reason why not, and that asking changes nothing.

use bytes::Bytes;
use googletest::prelude::*;
use toucanturn_core::{
    arena::EndpointKey,
    gateway::{
        Change, Gateway, Ticket,
        catalog::Catalog,
        endpoint::{
            Entry,
            Load,
            Signal, //
        },
        explain::{
            Error,
            Explanation,
            Ground,
            MAX_DESCRIBED,
            Query,
            Target, //
        },
        fingerprint::{
            self,
            Fingerprint, //
        },
        incoming_request::IncomingRequest,
        outcome::AttemptOutcome,
        place::{
            Decision,
            Reason, //
        },
        route::Share,
        variability::Speeds,
        warmup::{
            ColdStart,
            Fleet, //
        },
    },
    units::{
        Millis,
        Permille,
        Time, //
    },
};

use crate::fixture::{
    HOST,
    bounds,
    entry,
    gateway,
    prompt,
    raw_catalog,
    request, //
};

const NOW: Time = Time(100);

fn query(shared: Option<u64>) -> Query {
    Query {
        target: Target::Name(Bytes::from_static(b"chat")),
        service: None,
        workspace: Some(Bytes::from_static(b"one")),
        prompt: shared.map(|shared| prompt(shared, 900_000)),
        deadline: Some(Millis(3000)),
        content: None,
    }
}

/// Gets the request that [`query`] names.
fn named(shared: Option<u64>) -> IncomingRequest {
    IncomingRequest {
        prompt: shared.map(|shared| prompt(shared, 900_000)),
        ..request("/chat/x")
    }
}

fn explain(gateway: &Gateway, now: Time, shared: Option<u64>) -> Explanation {
    let explained = gateway.explain(now, &query(shared));
    explained.expect("the names are published")
}

fn reason(explanation: &Explanation, endpoint: &str) -> Option<Reason> {
    let mut others = explanation.others.iter();
    others.find(|o| o.endpoint == endpoint)?.reason
}

/// Sends one request; returns its ticket and the name of its endpoint.
fn send(gateway: &mut Gateway, now: Time, shared: Option<u64>) -> Option<(Ticket, String)> {
    let incoming = named(shared);
    let mut ticket = gateway.admit(now, &incoming).ok()?;
    let placed = gateway.place(now, &ticket, &incoming).ok()?;
    let name = gateway.registry().get(placed.endpoint)?.entry.id.clone();
    gateway.sent(now, &mut ticket, placed.endpoint);
    Some((ticket, String::from_utf8_lossy(&name).into_owned()))
}

fn key_of(gateway: &Gateway, endpoint: &str) -> EndpointKey {
    let mut all = gateway.registry().usable();
    let found = all.find(|(_, e)| e.entry.id == endpoint);
    found.expect("the endpoint is listed").0
}

/// Makes an endpoint state its load.
fn state_load(gateway: &mut Gateway, now: Time, endpoint: &str, running: u32) {
    let key = key_of(gateway, endpoint);
    let load = Load {
        running,
        slots: 64,
        ..Load::default()
    };
    gateway.record_load(now, key, load);
}

/// Guards against an explanation that names another endpoint than the one that a request then gets.
#[gtest]
fn verify_the_explained_endpoint_is_the_one_that_is_placed() {
    let mut gateway = gateway(6);
    let mut certain = 0;
    for shared in 0..200_u64 {
        let now = Time(100 + shared);
        state_load(
            &mut gateway,
            now,
            &format!("e-{}", shared % 6),
            (shared % 17) as u32,
        );
        let explained = explain(&gateway, now, Some(shared % 23));
        let choice = explained.choice.expect("an endpoint has room");
        let (_, placed) = send(&mut gateway, now, Some(shared % 23)).expect("it is placed");
        expect_that!(choice.decision, eq(Decision::PromptPart));
        if choice.among == 1 {
            certain += 1;
            expect_that!(placed, eq(&choice.endpoint), "request {shared}");
        }
        expect_that!(explained.others.len(), eq(5));
        let unnamed = explained.others.iter().filter(|o| o.reason.is_none());
        expect_that!(unnamed.count(), eq(0));
    }
    expect_that!(certain, ge(100));
}

/// Guards against an answer for a large service that costs more than a request.
#[gtest]
fn verify_each_endpoint_of_a_large_service_has_a_reason_and_a_few_are_described() {
    let gateway = gateway(60);
    let explained = explain(&gateway, NOW, Some(7));
    expect_that!(explained.others.len(), eq(MAX_DESCRIBED));
    expect_that!(explained.more.len(), eq(1));
    expect_that!(explained.more[0].reason, some(eq(Reason::LaterInOrder)));
    expect_that!(explained.more[0].endpoints.len(), eq(59 - MAX_DESCRIBED));
}

/// Guards against an explanation that takes a random number, a quota or a counter from the requests.
#[gtest]
fn verify_a_thousand_explanations_change_no_decision_and_no_state() {
    let (mut asked, mut other) = (gateway(6), gateway(6));
    for step in 0..200_u64 {
        let now = Time(100 + step);
        let before = format!("{asked:?}");
        for n in 0..5 {
            let shared = (n % 2 == 0).then_some(step % 7 + n);
            explain(&asked, now, shared);
        }
        expect_true!(before == format!("{asked:?}"), "step {step}");
        let shared = (step % 3 > 0).then_some(step % 7);
        let sent = [&mut asked, &mut other].map(|g| send(g, now, shared).map(|(_, name)| name));
        expect_that!(sent[0], eq(&sent[1]), "step {step}");
    }
    expect_that!(asked.draw(), eq(other.draw()));
}

#[gtest]
fn verify_a_choice_by_chance_says_among_how_many() {
    let mut gateway = gateway(4);
    gateway.fleet(NOW, 3);
    let choice = explain(&gateway, NOW, None).choice.expect("a choice");
    expect_that!(choice.among, eq(4));
    expect_that!(choice.decision, eq(Decision::AnswerTime));
    state_load(&mut gateway, NOW, "e-1", 9);
    let explained = explain(&gateway, NOW, None);
    let choice = explained.choice.clone().expect("a choice");
    expect_that!(choice.among, eq(4));
    expect_that!(choice.decision, eq(Decision::StatedLoad));
    expect_that!(reason(&explained, "e-1"), some(eq(Reason::MoreLoaded)));
    expect_that!(explain(&gateway, NOW, None), eq(&explained));
}

#[gtest]
fn verify_an_endpoint_over_its_limit_and_the_later_ones_are_named() {
    let mut gateway = gateway(4);
    let idle = explain(&gateway, NOW, Some(7)).choice.expect("a choice");
    let next = idle.runner_up.expect("another endpoint");
    state_load(&mut gateway, NOW, &idle.endpoint, 60);
    let loaded = explain(&gateway, NOW, Some(7));
    expect_that!(reason(&loaded, &idle.endpoint), some(eq(Reason::OverLimit)));
    let choice = loaded.choice.clone().expect("a choice");
    expect_that!(choice.endpoint, eq(&next));
    expect_that!(choice.rank, eq(1));
    let later = loaded
        .others
        .iter()
        .filter(|o| o.reason == Some(Reason::LaterInOrder));
    expect_that!(later.count(), eq(2));
}

#[gtest]
fn verify_leaving_gone_and_evacuated_endpoints_are_named() {
    let mut gateway = gateway(4);
    let leaving = Entry {
        leaving: true,
        ..entry(0)
    };
    let far = Entry {
        data_center: Bytes::from_static(b"b"),
        ..entry(1)
    };
    let evacuated = Change::Evacuated(Bytes::from_static(b"b"));
    let changes = vec![Change::Entry(leaving), Change::Entry(far), evacuated];
    gateway.apply_changes(NOW, changes);
    let explained = explain(&gateway, NOW, Some(7));
    expect_that!(reason(&explained, "e-0"), some(eq(Reason::Leaving)));
    expect_that!(reason(&explained, "e-1"), some(eq(Reason::Evacuated)));
}

#[gtest]
fn verify_a_back_off_is_named_with_its_end_and_refuses_where_all_ask_for_it() {
    let mut gateway = gateway(2);
    let (ticket, first) = send(&mut gateway, NOW, None).expect("it is placed");
    gateway.record_signal(NOW, &ticket, Signal::BackOff(Millis(2000)));
    let explained = explain(&gateway, Time(600), None);
    expect_that!(reason(&explained, &first), some(eq(Reason::BackingOff)));
    let left = explained.others.iter().find(|o| o.endpoint == first);
    expect_that!(left.and_then(|o| o.left_ms), some(eq(Millis(1500))));
    let (ticket, _) = send(&mut gateway, Time(600), None).expect("the other one is left");
    gateway.record_signal(Time(600), &ticket, Signal::BackOff(Millis(2000)));
    let refused = explain(&gateway, Time(700), None);
    expect_that!(refused.choice, none());
    let refusal = refused.refusal.expect("none is left");
    expect_that!(refusal.cause, eq("backing_off"));
    // From the end of the first back-off, at most a third of the caller's time.
    expect_that!(refusal.retry_after_ms, some(eq(Millis(1000))));
}

#[gtest]
fn verify_an_endpoint_that_was_not_reached_is_named() {
    let mut gateway = gateway(2);
    let incoming = named(None);
    let mut ticket = gateway.admit(NOW, &incoming).expect("it is admitted");
    let placed = gateway
        .place(NOW, &ticket, &incoming)
        .expect("it is placed");
    gateway.unreached(NOW, &mut ticket, placed.endpoint);
    let name = gateway
        .registry()
        .get(placed.endpoint)
        .map(|e| e.entry.id.clone());
    let name = String::from_utf8_lossy(&name.unwrap_or_default()).into_owned();
    let explained = explain(&gateway, NOW, None);
    expect_that!(reason(&explained, &name), some(eq(Reason::Paused)));
}

#[gtest]
fn verify_a_used_share_of_connections_is_named_and_refuses() {
    let mut gateway = gateway(1);
    while send(&mut gateway, NOW, None).is_some() {}
    let explained = explain(&gateway, NOW, None);
    expect_that!(reason(&explained, "e-0"), some(eq(Reason::FullShare)));
    let refusal = explained.refusal.expect("no room");
    expect_that!(refusal.cause, eq("overloaded"));
    expect_that!(refusal.retry_after_ms, some(ge(Millis(150))));
}

#[gtest]
fn verify_a_known_full_brittle_endpoint_is_named() {
    let mut gateway = gateway(2);
    let (_, first) = send(&mut gateway, NOW, None).expect("it is placed");
    let key = key_of(&gateway, &first);
    gateway.record_brittle(NOW, key, Some(0));
    state_load(&mut gateway, NOW, &first, 64);
    let explained = explain(&gateway, NOW, None);
    expect_that!(reason(&explained, &first), some(eq(Reason::Full)));
}

#[gtest]
fn verify_a_cold_endpoint_without_quota_is_named() {
    let mut raw = raw_catalog(1);
    raw.services[0].warmup = Some(ColdStart {
        time: Millis(3000),
        per_second: Permille(14_000),
    });
    let catalog = Catalog::try_from(raw).expect("the configuration is valid");
    let mut gateway = Gateway::new(bounds(), 1);
    let cold = Entry {
        cold: Millis(60_000),
        ..entry(0)
    };
    let changes = vec![Change::Catalog(Box::new(catalog)), Change::Entry(cold)];
    gateway.apply_changes(Time(0), changes);
    for at in [0, 4000] {
        gateway.record_registry_read(Time(at), Time(at));
        gateway.update_fleet(Time(at), &Fleet::default());
    }
    let free = explain(&gateway, Time(4000), None)
        .choice
        .expect("a choice");
    expect_true!(free.cold);
    while send(&mut gateway, Time(4000), None).is_some() {}
    let explained = explain(&gateway, Time(4000), None);
    expect_that!(reason(&explained, "e-0"), some(eq(Reason::Cold)));
    expect_that!(explained.others[0].left_ms, some(eq(Millis(56_000))));
    let refusal = explained.refusal.expect("no quota is left");
    expect_that!(refusal.cause, eq("warming_up"));
}

/// The newest proof is too old for endpoints, and then for routes.
#[gtest]
fn verify_old_knowledge_is_named_with_its_age() {
    let gateway = gateway(2);
    let explained = explain(&gateway, Time(3000), None);
    expect_that!(reason(&explained, "e-0"), some(eq(Reason::Unconfirmed)));
    let refusal = explained.refusal.expect("nothing is confirmed");
    expect_that!(refusal.cause, eq("unconfirmed"));
    expect_that!(explained.registry_age_ms, some(eq(Millis(3000))));
    let stale = explain(&gateway, Time(5000), None).refusal;
    expect_that!(stale.map(|r| r.cause), some(eq("stale")));
    let empty = Gateway::new(bounds(), 1);
    let unready = explain(&empty, NOW, None).refusal;
    expect_that!(unready.map(|r| r.cause), some(eq("not_ready")));
}

/// Makes three endpoints end while a request with the part 77 and this content is in progress there; others are
/// answered in between.
fn end_endpoints(gateway: &mut Gateway, content: Option<Fingerprint>) {
    for n in 0..3 {
        let now = Time(1000 + n * 700);
        gateway.record_registry_read(now, now);
        let (mut sound, _) = send(gateway, now, Some(50)).expect("it is placed");
        let endpoint = sound.tried[0];
        gateway.ended(now, &mut sound, endpoint, AttemptOutcome::Answered);
        let (mut fatal, name) = send(gateway, now, Some(77)).expect("it is placed");
        fatal.content = content;
        let endpoint = fatal.tried[0];
        gateway.ended(now, &mut fatal, endpoint, AttemptOutcome::Broken);
        gateway.apply_changes(now, vec![Change::Removed(Bytes::from(name))]);
    }
    gateway.record_registry_read(Time(3000), Time(3000));
}

fn content_of(workspace: &'static str, content: u64) -> Fingerprint {
    let name = Bytes::from_static(workspace.as_bytes());
    Fingerprint {
        workspace: fingerprint::workspace(Some(&name)),
        content,
    }
}

/// Guards against a refusal for a part that names neither the part nor the endpoints that ended.
#[gtest]
fn verify_a_part_that_crashed_endpoints_is_refused_without_a_trial() {
    let mut gateway = gateway(8);
    end_endpoints(&mut gateway, None);
    let sound = explain(&gateway, Time(3000), Some(50));
    expect_true!(sound.choice.is_some());
    expect_that!(sound.held, is_empty());
    let explained = explain(&gateway, Time(3000), Some(77));
    let refusal = explained.refusal.expect("the part is held back");
    expect_that!(refusal.cause, eq("part_quarantined"));
    expect_that!(refusal.retry_after_ms, some(gt(Millis(0))));
    expect_that!(explained.held, len(eq(1)));
    let held = &explained.held[0];
    expect_that!(held.by, eq(Ground::PromptPart));
    expect_that!(held.part.as_deref(), some(eq("000000000000004d")));
    expect_that!(held.place, some(eq(2)));
    expect_that!(held.left_ms, gt(Millis(0)));
    let ages: Vec<Millis> = held.crashes.iter().map(|c| c.age_ms).collect();
    expect_that!(ages, eq(&[Millis(2000), Millis(1300), Millis(600)]));
    expect_true!(held.crashes.iter().all(|c| c.observed_here));
}

/// Guards against an explanation that names an endpoint for a request whose content is held back, and against
/// one workspace's content that is told to another one's request.
#[gtest]
fn verify_a_content_that_crashed_endpoints_is_refused_as_it_is_when_it_comes() {
    let mut gateway = gateway(8);
    let fatal = content_of("one", 9);
    end_endpoints(&mut gateway, Some(fatal));
    let asked = |content| Query {
        content: Some(content),
        ..query(Some(50))
    };
    let before = format!("{gateway:?}");
    let explained = gateway.explain(Time(3000), &asked(fatal)).expect("known");
    expect_true!(before == format!("{gateway:?}"), "nothing is recorded");
    let denial = explained.refusal.expect("the content is held back");
    expect_that!(denial.cause, eq("quarantined"));
    expect_that!(explained.choice, none());
    let held = &explained.held[0];
    expect_that!(held.by, eq(Ground::Content));
    expect_that!(held.part, none());
    expect_that!(held.crashes, len(eq(3)));
    let other = gateway.explain(Time(3000), &asked(content_of("one", 10)));
    let other = other.expect("known");
    expect_true!(other.choice.is_some());
    expect_that!(other.held, is_empty());
    let foreign = gateway.explain(Time(3000), &asked(content_of("two", 9)));
    expect_that!(foreign, err(eq(&Error::Content)));

    let incoming = named(Some(50));
    let mut ticket = gateway.admit(Time(3000), &incoming).expect("admitted");
    ticket.content = Some(fatal);
    let refused = gateway.place(Time(3000), &ticket, &incoming);
    let refused = refused.expect_err("held back");
    expect_that!(refused.cause.to_string(), eq(&denial.cause));
    expect_that!(refused.retry_after, eq(denial.retry_after_ms));
}

#[gtest]
fn verify_routes_are_found_by_name_or_address_and_unknown_names_are_errors() {
    let gateway = gateway(2);
    let address = |path: &'static str| Query {
        target: Target::Address {
            host: Bytes::from_static(HOST.as_bytes()),
            path: Bytes::from_static(path.as_bytes()),
        },
        ..query(None)
    };
    let found = gateway
        .explain(NOW, &address("/chat/x"))
        .expect("the route");
    expect_that!(found.route, eq("chat"));
    expect_that!(
        gateway.explain(NOW, &address("/nowhere")),
        err(eq(&Error::Route))
    );
    let workspace = Query {
        workspace: Some(Bytes::from_static(b"two")),
        ..query(None)
    };
    expect_that!(gateway.explain(NOW, &workspace), err(eq(&Error::Workspace)));
    let service = Query {
        service: Some(Bytes::from_static(b"others")),
        ..query(None)
    };
    expect_that!(gateway.explain(NOW, &service), err(eq(&Error::Service)));
    let without = Query {
        workspace: None,
        ..query(None)
    };
    let refused = gateway.explain(NOW, &without).expect("the route");
    expect_that!(reason(&refused, "e-0"), some(eq(Reason::Able)));
    let cause = refused.refusal.map(|r| (r.cause, r.retry_after_ms));
    expect_that!(cause, some(eq(&("unknown_key".to_owned(), None))));
}

#[gtest]
fn verify_a_route_of_several_services_says_so() {
    let mut raw = raw_catalog(2);
    raw.routes[0].shares.push(Share {
        service: Bytes::from_static(b"others"),
        weight: 1,
    });
    let catalog = Catalog::try_from(raw).expect("the configuration is valid");
    let mut gateway = gateway(2);
    gateway.apply_changes(NOW, vec![Change::Catalog(Box::new(catalog))]);
    expect_that!(explain(&gateway, NOW, None).services, eq(2));
    let named = Query {
        service: Some(Bytes::from_static(b"others")),
        ..query(None)
    };
    let explained = gateway
        .explain(NOW, &named)
        .expect("the service is the route's");
    expect_that!(explained.services, eq(1));
    expect_that!(explained.refusal.map(|r| r.cause), some(eq("no_endpoint")));
}

/// Guards against an explanation that names an endpoint while such requests are mostly turned away.
#[gtest]
fn verify_an_explanation_says_that_a_service_is_short_of_room() {
    let mut gateway = gateway(2);
    let mut raw = raw_catalog(2);
    raw.services[0].engine = None;
    let catalog = Catalog::try_from(raw).expect("the configuration is valid");
    gateway.apply_changes(NOW, vec![Change::Catalog(Box::new(catalog))]);
    gateway.set_speeds(Speeds::Varying);
    let asked = Query {
        target: Target::Name(Bytes::from_static(b"read")),
        ..query(None)
    };
    let admitted = |gateway: &Gateway, now| {
        let explained = gateway.explain(now, &asked);
        explained.expect("the names are published").admitted
    };
    expect_that!(admitted(&gateway, NOW), eq(1.0));
    let request = request("/read/x");
    let mut ticket = gateway.admit(NOW, &request).expect("it is admitted");
    let placed = gateway.place(NOW, &ticket, &request).expect("a choice");
    gateway.sent(NOW, &mut ticket, placed.endpoint);
    let late = NOW + Millis(900);
    gateway.record_begun(late, &ticket, placed.endpoint);
    expect_that!(admitted(&gateway, late), lt(1.0));
}
