//! Tests of which endpoint a request is placed on.

use googletest::prelude::*;
use toucanturn_core::{
    membership::Observation,
    place::moves::RecentChats,
    request::{
        Prefix,
        Reason,
        Work, //
    },
    units::{
        Incarnation,
        Millis, //
    },
};

use crate::fixture::{
    INCARNATION,
    ROUTERS,
    Router,
    id,
    router,
    router_at, //
};

#[gtest]
fn verify_returning_chat_goes_to_its_engine() {
    let mut router = router(12, 0, 64);
    for name in ["near-0", "near-5", "near-11"] {
        let work = router.chat(7, Some(router.token(name, None)));
        let placed = router.choose(&work).unwrap();
        expect_that!(router.name(placed.endpoint), eq(name));
        expect_that!(placed.reason, eq(Reason::Token));
        expect_that!(placed.import_from, none());
    }
}

#[gtest]
fn verify_chat_of_a_loaded_engine_imports_its_cache_elsewhere() {
    let mut router = router(4, 0, 64);
    router.add_announced_load("near-0", 8);
    let work = router.chat(7, Some(router.token("near-0", None)));
    let placed = router.choose(&work).unwrap();
    expect_that!(placed.endpoint, not(eq(router.key("near-0"))));
    expect_that!(placed.import_from, some(eq(router.key("near-0"))));
}

#[gtest]
fn verify_previous_engine_of_a_chat_comes_before_others() {
    let mut router = router(12, 0, 64);
    router.add_announced_load("near-0", 8);
    let work = router.chat(7, Some(router.token("near-0", Some("near-3"))));
    let placed = router.choose(&work).unwrap();
    expect_that!(router.name(placed.endpoint), eq("near-3"));
    expect_that!(placed.reason, eq(Reason::TokenBefore));
    expect_that!(placed.import_from, some(eq(router.key("near-0"))));
}

#[gtest]
fn verify_restarted_engine_holds_no_prefix() {
    // The engine that a chat's token names was replaced at the same address and lost its cache. A
    // match on the name alone would wait for a long prefill on a loaded engine.
    let mut router = router(12, 0, 64);
    let key = router.key("near-0");
    router.confirm(key, Incarnation(INCARNATION.0 + 1));
    let work = router.chat(7, Some(router.token("near-0", None)));
    let placed = router.choose(&work).unwrap();
    expect_that!(placed.reason, eq(Reason::Home));
    expect_that!(placed.import_from, none());
}

#[gtest]
fn verify_leaving_engine_exports_its_cache_and_gets_no_chat() {
    // An engine announces that it leaves, and a chat with its name in the token returns before the
    // next tick. A choice by the states of the last tick loses the prefix or refuses the chat.
    let mut router = router(12, 0, 64);
    let key = router.key("near-0");
    let now = router.now;
    router.view.leaving(now, key, INCARNATION);
    let work = router.chat(7, Some(router.token("near-0", None)));
    let placed = router.choose(&work).unwrap();
    expect_that!(placed.endpoint, not(eq(key)));
    expect_that!(placed.import_from, some(eq(key)));
}

#[gtest]
fn verify_other_region_only_when_own_is_full() {
    let mut router = router(2, 2, 3);
    let mut names = Vec::new();
    for prefix in 0..12 {
        let work = router.chat(prefix, None);
        names.extend(router.send(&work));
        router.loads.mark_announced();
    }
    expect_that!(names.len(), eq(12));
    expect_true!(names[..6].iter().all(|n| n.starts_with("near")));
    expect_true!(names[6..].iter().all(|n| n.starts_with("far")));
}

#[gtest]
fn verify_full_engines_get_no_more_requests() {
    let mut router = router(2, 1, 3);
    for name in ["near-0", "near-1", "far-0"] {
        router.add_announced_load(name, 3);
    }
    let work = router.chat(7, Some(router.token("near-0", None)));
    expect_that!(router.choose(&work), none());
}

#[gtest]
fn verify_suspect_engine_comes_last() {
    let mut router = router(3, 1, 2);
    let now = router.now;
    let suspect = router.key("near-0");
    router.view.seen(now, suspect, Observation::Refused);
    router.loads.refresh(now, &router.view);
    let work = router.chat(7, Some(router.token("near-0", None)));
    for _ in 0..6 {
        expect_that!(router.send(&work).unwrap(), not(eq("near-0")));
        router.loads.mark_announced();
    }
    expect_that!(router.choose(&work).unwrap().endpoint, eq(suspect));
}

#[gtest]
fn verify_only_chats_of_a_leaving_engine_change_home() {
    let mut router = router(12, 0, 64);
    let home = |router: &mut Router, prefix| {
        let work = router.chat(prefix, None);
        router.choose(&work).unwrap().endpoint
    };
    let before: Vec<_> = (0..600).map(|p| home(&mut router, p)).collect();
    let leaving_engine = router.key("near-4");
    let now = router.now;
    router.view.leaving(now, leaving_engine, INCARNATION);
    router.loads.refresh(now, &router.view);
    let after: Vec<_> = (0..600).map(|p| home(&mut router, p)).collect();
    let moved = |(b, a): &(&_, &_)| b != a;
    let both = || before.iter().zip(&after);
    expect_true!(both().filter(moved).all(|(b, _)| *b == leaving_engine));
    let moved_count = both().filter(moved).count();
    expect_that!(moved_count, all![ge(25), le(85)]);
}

#[gtest]
fn verify_no_engine_exceeds_the_allowed_multiple_of_the_mean_load() {
    // All chats carry the same token and so prefer the same engine: the worst case for the limit.
    let mut router = router(12, 0, 1000);
    router.receive_idle_summaries();
    let work = router.chat(7, Some(router.token("near-0", None)));
    for sent in 1..=600_u32 {
        router.send(&work).unwrap();
        router.loads.mark_announced();
        let now = router.now;
        let keys = (0..12).map(|i| router.key(&format!("near-{i}")));
        let max_load = keys.map(|key| router.loads.estimate(now, key)).max();
        let limit = (sent * 125).div_ceil(1200);
        expect_that!(max_load.unwrap(), le(limit));
    }
}

#[gtest]
fn verify_routers_do_not_all_use_the_same_spare_capacity() {
    // Seven routers get many chats of one engine between two summaries. If each used all of the
    // capacity left below the limit, the engine would get several times the mean load.
    let send = |index| {
        let mut router = router_at(index, 12, 0, 1000);
        for engine in 0..12 {
            router.add_announced_load(&format!("near-{engine}"), 10);
        }
        let work = router.chat(7, Some(router.token("near-0", None)));
        let names = (0..20).filter_map(|_| router.send(&work));
        names.filter(|name| name == "near-0").count()
    };
    let sent: usize = (0..ROUTERS).map(send).sum();
    expect_that!(sent, le(2 * ROUTERS));
}

#[gtest]
fn verify_load_stays_even_within_one_side_of_a_partition() {
    // In a partition the peers' summaries stop and reports lag by 1 s. If both sides filled the
    // engine that looks idle, it would carry twice the mean. Here the router hears no peer and has
    // load reports of all engines but one.
    let mut router = router(4, 0, 1000);
    for engine in 1..4 {
        let key = router.key(&format!("near-{engine}"));
        router.loads.record_answer_load(router.now, key, 2);
    }
    let work = router.chat(7, Some(router.token("near-0", None)));
    let mut counts = [0_u32; 4];
    for sent in 1..=80_u32 {
        let name = router.send(&work).unwrap();
        router.loads.mark_announced();
        let engine: usize = name.trim_start_matches("near-").parse().unwrap();
        counts[engine] += 1;
        let limit = (sent * 125).div_ceil(400);
        expect_that!(*counts.iter().max().unwrap(), le(limit));
    }
}

#[gtest]
fn verify_plain_calls_are_spread_evenly() {
    let mut router = router(1, 0, 1000);
    let service = router.config.services.key(&id("orders")).unwrap();
    let work = Work::Plain {
        service,
        idempotent: true,
    };
    let mut counts = indexmap::IndexMap::<String, u32>::new();
    for _ in 0..400 {
        *counts.entry(router.send(&work).unwrap()).or_default() += 1;
        router.loads.mark_announced();
    }
    expect_that!(counts.len(), eq(4));
    expect_true!(counts.values().all(|n| (95..=105).contains(n)));
}

#[gtest]
fn verify_chats_of_a_leaving_engine_move_to_where_they_are_placed() {
    // Chats return after their engine has left. Unless their prefixes were moved before, and to the
    // engines where the chats are then placed, all of them start without a cache.
    let mut router = router(12, 0, 64);
    let (leaving_engine, now) = (router.key("near-4"), router.now);
    let Work::Chat { model, .. } = router.chat(0, None) else {
        return;
    };
    let mut recent = RecentChats::default();
    for prefix in 0..40 {
        recent.note(Prefix(prefix), model, (leaving_engine, INCARNATION));
    }
    router.view.leaving(now, leaving_engine, INCARNATION);
    router.loads.refresh(now, &router.view);
    let mut moved = Vec::new();
    for _ in 0..40 {
        moved.extend(recent.moves(router.placement_context()));
    }
    expect_that!(moved.len(), eq(40));
    // Three engines have less load than the mean. New chats go there, but these chats must not.
    for engine in (0..12).filter(|e| *e != 4) {
        let load = if engine < 3 { 6 } else { 8 };
        router.add_announced_load(&format!("near-{engine}"), load);
    }
    for transfer in moved {
        let work = router.chat(transfer.prefix.0, Some(router.token("near-4", None)));
        let placed = router.choose(&work).unwrap();
        expect_that!(placed.endpoint, eq(transfer.to));
    }
}

#[gtest]
fn verify_chats_get_a_presumed_token_once_callers_return_without_one() {
    // Callers that never send their token back would count as new chats and be placed by load,
    // where they find their prefix only by chance.
    let mut router = router(12, 0, 64);
    let workspace = toucanturn_core::arena::WorkspaceKey::default();
    let Work::Chat { model, .. } = router.chat(0, None) else {
        return;
    };
    let mut recent = RecentChats::default();
    let near = router.key("near-0");
    let chat = router.chat(1000, None);
    expect_that!(
        recent.with_presumed_token(router.placement_context(), workspace, &chat),
        eq(&chat)
    );
    for prefix in 0..4 {
        recent.note(Prefix(prefix), model, (near, INCARNATION));
        let work = router.chat(prefix, None);
        recent.with_presumed_token(router.placement_context(), workspace, &work);
    }
    let home = router.choose(&chat).unwrap();
    let Work::Chat { token, .. } =
        recent.with_presumed_token(router.placement_context(), workspace, &chat)
    else {
        return;
    };
    let presumed = token.map(|t| t.last);
    let expected = router.config.endpoints.get(home.endpoint).unwrap().tag;
    expect_that!(presumed, some(eq(expected)));
}

#[gtest]
fn verify_router_with_an_old_view_does_not_overload_the_first_engine_that_it_hears() {
    // After a pause, or as a partition begins, a router hears one engine before the others, which
    // are still suspect. A limit from the mean of that engine alone lets it take several times its
    // share.
    let mut router = router(12, 0, 1000);
    router.receive_idle_summaries();
    for engine in 0..12 {
        let key = router.key(&format!("near-{engine}"));
        if engine != 4 {
            router.view.seen(router.now, key, Observation::Refused);
        }
    }
    router.loads.refresh(router.now, &router.view);
    for prefix in 0..60 {
        let work = router.chat(prefix, None);
        router.send(&work).unwrap();
        router.loads.mark_announced();
    }
    let load = router.loads.estimate(router.now, router.key("near-4"));
    expect_that!(load, le(7));
}

#[gtest]
fn verify_router_places_nothing_after_a_pause_until_it_hears_its_endpoints() {
    // A router is paused for 3 s and resumes with queued requests. If it placed them after it had
    // heard only one engine, that engine would carry twice the mean for a second.
    let mut router = router(12, 0, 1000);
    router.view.advance(router.now);
    router.now = router.now + Millis(3000);
    router.view.advance(router.now);
    router.now = router.now + Millis(200);
    let now = router.now;
    let confirm = |router: &mut Router, range: std::ops::Range<usize>| {
        for engine in range {
            let key = router.key(&format!("near-{engine}"));
            router.confirm(key, INCARNATION);
        }
        router.loads.refresh(now, &router.view);
    };
    let work = router.chat(7, None);
    confirm(&mut router, 4..5);
    expect_that!(router.choose(&work), none());
    confirm(&mut router, 0..12);
    expect_that!(router.choose(&work), some(anything()));
}

#[gtest]
fn verify_idle_suspect_counts_in_the_mean() {
    // A suspect engine has recovered and is idle, but is kept in reserve for a while. A limit from
    // the mean of the other engines would let them exceed the allowed multiple of the fleet's mean.
    let mut router = router(12, 0, 1000);
    router.receive_idle_summaries();
    for engine in 0..11 {
        router.add_announced_load(&format!("near-{engine}"), 24);
    }
    let (now, suspect) = (router.now, router.key("near-11"));
    router.view.seen(now, suspect, Observation::Refused);
    router.loads.refresh(now, &router.view);
    let work = router.chat(7, Some(router.token("near-0", None)));
    // 265 requests over 12 engines, times 1.225, rounded up.
    expect_that!(router.choose(&work).unwrap().limit, eq(28));
}

#[gtest]
fn verify_chat_that_returns_before_the_next_summary_goes_to_its_engine() {
    // A chat returns after its last answer ended and before the next summary. If the ended request
    // counted as unannounced, the chat would go to another engine and wait for its prefix.
    let mut router = router(12, 0, 64);
    let (key, now) = (router.key("near-0"), router.now);
    router.loads.sent(now, key);
    router.loads.ended(now, key);
    let work = router.chat(7, Some(router.token("near-0", None)));
    let placed = router.choose(&work).unwrap();
    expect_that!(placed.reason, eq(Reason::Token));
}
