//! Where requests go.

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
    LIFE,
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
fn verify_chat_of_a_loaded_engine_takes_its_cache_along() {
    let mut router = router(4, 0, 64);
    router.fill("near-0", 8);
    let work = router.chat(7, Some(router.token("near-0", None)));
    let placed = router.choose(&work).unwrap();
    expect_that!(placed.endpoint, not(eq(router.key("near-0"))));
    expect_that!(placed.import_from, some(eq(router.key("near-0"))));
}

#[gtest]
fn verify_older_engine_comes_before_others() {
    let mut router = router(12, 0, 64);
    router.fill("near-0", 8);
    let work = router.chat(7, Some(router.token("near-0", Some("near-3"))));
    let placed = router.choose(&work).unwrap();
    expect_that!(router.name(placed.endpoint), eq("near-3"));
    expect_that!(placed.reason, eq(Reason::TokenBefore));
    expect_that!(placed.import_from, some(eq(router.key("near-0"))));
}

#[gtest]
fn verify_engine_that_began_a_new_life_holds_nothing() {
    // Symptom: a returning chat waits for a long prefill on a loaded engine. Sequence: the engine
    // that its token names is replaced at the same address and comes back empty. Cause: the name
    // alone was believed.
    let mut router = router(12, 0, 64);
    let key = router.key("near-0");
    router.confirm(key, Incarnation(LIFE.0 + 1));
    let work = router.chat(7, Some(router.token("near-0", None)));
    let placed = router.choose(&work).unwrap();
    expect_that!(placed.reason, eq(Reason::Home));
    expect_that!(placed.import_from, none());
}

#[gtest]
fn verify_leaving_engine_lends_its_cache_and_gets_no_chat() {
    // Symptom: chats lose their prefix, or are refused. Sequence: an engine says that it is
    // leaving, and a chat comes back with its name before the next tick. Cause: the pool's states
    // are those of the last tick.
    let mut router = router(12, 0, 64);
    let key = router.key("near-0");
    let now = router.now;
    router.view.leaving(now, key, LIFE);
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
fn verify_full_engines_get_no_more() {
    let mut router = router(2, 1, 3);
    for name in ["near-0", "near-1", "far-0"] {
        router.fill(name, 3);
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
fn verify_few_homes_change_with_an_engine() {
    let mut router = router(12, 0, 64);
    let home = |router: &mut Router, prefix| {
        let work = router.chat(prefix, None);
        router.choose(&work).unwrap().endpoint
    };
    let before: Vec<_> = (0..600).map(|p| home(&mut router, p)).collect();
    let gone = router.key("near-4");
    let now = router.now;
    router.view.leaving(now, gone, LIFE);
    router.loads.refresh(now, &router.view);
    let after: Vec<_> = (0..600).map(|p| home(&mut router, p)).collect();
    let moved = |(b, a): &(&_, &_)| b != a;
    let both = || before.iter().zip(&after);
    expect_true!(both().filter(moved).all(|(b, _)| *b == gone));
    let share = both().filter(moved).count();
    expect_that!(share, all![ge(25), le(85)]);
}

#[gtest]
fn verify_no_engine_gets_more_than_the_multiple() {
    // All chats carry the same token: the hardest case for the limit.
    let mut router = router(12, 0, 1000);
    router.hear_all();
    let work = router.chat(7, Some(router.token("near-0", None)));
    for sent in 1..=600_u32 {
        router.send(&work).unwrap();
        router.loads.mark_announced();
        let now = router.now;
        let keys = (0..12).map(|i| router.key(&format!("near-{i}")));
        let most = keys.map(|key| router.loads.estimate(now, key)).max();
        let limit = (sent * 125).div_ceil(1200);
        expect_that!(most.unwrap(), le(limit));
    }
}

#[gtest]
fn verify_routers_that_see_the_same_room_dont_all_fill_it() {
    // Symptom: one engine carries several times the mean after a surge. Sequence: seven routers
    // get many chats of one engine between two summaries. Cause: each saw all of the room below
    // the limit, and none what the others sent.
    let send = |index| {
        let mut router = router_at(index, 12, 0, 1000);
        for engine in 0..12 {
            router.fill(&format!("near-{engine}"), 10);
        }
        let work = router.chat(7, Some(router.token("near-0", None)));
        let names = (0..20).filter_map(|_| router.send(&work));
        names.filter(|name| name == "near-0").count()
    };
    let sent: usize = (0..ROUTERS).map(send).sum();
    expect_that!(sent, le(2 * ROUTERS));
}

#[gtest]
fn verify_sides_of_a_partition_stay_even() {
    // Symptom: an engine carries twice the mean during a partition. Sequence: the peers' summaries
    // stop, and reports lag by a second. Cause: the load that both sides saw low was filled by
    // both. Here a router that hears nobody has reports of load for all engines but one.
    let mut router = router(4, 0, 1000);
    for engine in 1..4 {
        let key = router.key(&format!("near-{engine}"));
        router.loads.record_answer_load(router.now, key, 2);
    }
    let work = router.chat(7, Some(router.token("near-0", None)));
    let mut count = [0_u32; 4];
    for sent in 1..=80_u32 {
        let name = router.send(&work).unwrap();
        router.loads.mark_announced();
        let engine: usize = name.trim_start_matches("near-").parse().unwrap();
        count[engine] += 1;
        let limit = (sent * 125).div_ceil(400);
        expect_that!(*count.iter().max().unwrap(), le(limit));
    }
}

#[gtest]
fn verify_plain_calls_stay_even() {
    let mut router = router(1, 0, 1000);
    let service = router.config.services.key(&id("orders")).unwrap();
    let work = Work::Plain {
        service,
        idempotent: true,
    };
    let mut count = indexmap::IndexMap::<String, u32>::new();
    for _ in 0..400 {
        *count.entry(router.send(&work).unwrap()).or_default() += 1;
        router.loads.mark_announced();
    }
    expect_that!(count.len(), eq(4));
    expect_true!(count.values().all(|n| (95..=105).contains(n)));
}

#[gtest]
fn verify_chats_of_a_leaving_engine_move_to_where_they_are_looked_for() {
    // Symptom: the chats of a replaced engine all start anew. Sequence: the engine leaves, the
    // chats come back after it is gone. Cause: nothing moved their prefixes while it was there.
    let mut router = router(12, 0, 64);
    let (gone, now) = (router.key("near-4"), router.now);
    let Work::Chat { model, .. } = router.chat(0, None) else {
        return;
    };
    let mut recent = RecentChats::default();
    for prefix in 0..40 {
        recent.note(Prefix(prefix), model, (gone, LIFE));
    }
    router.view.leaving(now, gone, LIFE);
    router.loads.refresh(now, &router.view);
    let mut moved = Vec::new();
    for _ in 0..40 {
        moved.extend(recent.moves(router.scene()));
    }
    expect_that!(moved.len(), eq(40));
    // Some engines are below the mean: that is where new chats go, but not these.
    for engine in (0..12).filter(|e| *e != 4) {
        let load = if engine < 3 { 6 } else { 8 };
        router.fill(&format!("near-{engine}"), load);
    }
    for one in moved {
        let work = router.chat(one.prefix.0, Some(router.token("near-4", None)));
        let placed = router.choose(&work).unwrap();
        expect_that!(placed.endpoint, eq(one.to));
    }
}

#[gtest]
fn verify_chats_without_tokens_are_looked_for_at_home_once_callers_show_that_they_keep_none() {
    // Symptom: callers that never send their token back find their prefix by chance. Sequence:
    // their chats return, and go where the load is low. Cause: without a token they count as new.
    let mut router = router(12, 0, 64);
    let workspace = toucanturn_core::arena::WorkspaceKey::default();
    let Work::Chat { model, .. } = router.chat(0, None) else {
        return;
    };
    let mut recent = RecentChats::default();
    let near = router.key("near-0");
    let low = router.chat(1000, None);
    expect_that!(
        recent.with_presumed_token(router.scene(), workspace, &low),
        eq(&low)
    );
    for prefix in 0..4 {
        recent.note(Prefix(prefix), model, (near, LIFE));
        let work = router.chat(prefix, None);
        recent.with_presumed_token(router.scene(), workspace, &work);
    }
    let home = router.choose(&low).unwrap();
    let Work::Chat { token, .. } = recent.with_presumed_token(router.scene(), workspace, &low)
    else {
        return;
    };
    let presumed = token.map(|t| t.last);
    let expected = router.config.endpoints.get(home.endpoint).unwrap().tag;
    expect_that!(presumed, some(eq(expected)));
}

#[gtest]
fn verify_router_with_an_old_view_doesnt_fill_the_first_engine_that_it_hears() {
    // Symptom: one engine carries several times the mean. Sequence: a router stands still, or a
    // partition begins, and one engine's answer is heard before the others'. Cause: it is the only
    // one that isn't suspect, so the mean is its own load.
    let mut router = router(12, 0, 1000);
    router.hear_all();
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
    let first = router.loads.estimate(router.now, router.key("near-4"));
    expect_that!(first, le(7));
}

#[gtest]
fn verify_router_that_woke_late_places_nothing_before_it_hears_its_endpoints() {
    // Symptom: one engine carries twice the mean for a second. Sequence: a router stands still for
    // three seconds and wakes with a queue of requests; one engine is heard, then the others.
    // Cause: until then that one is all that is known to take work.
    let mut router = router(12, 0, 1000);
    router.view.advance(router.now);
    router.now = router.now + Millis(3000);
    router.view.advance(router.now);
    router.now = router.now + Millis(200);
    let now = router.now;
    let confirm = |router: &mut Router, range: std::ops::Range<usize>| {
        for engine in range {
            let key = router.key(&format!("near-{engine}"));
            router.confirm(key, LIFE);
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
    // Symptom: engines carry more than the multiple of the mean after one has flapped. Sequence: it
    // comes back well and idle, and is kept in reserve for a while. Cause: the limit went by the
    // mean of the others.
    let mut router = router(12, 0, 1000);
    router.hear_all();
    for engine in 0..11 {
        router.fill(&format!("near-{engine}"), 24);
    }
    let (now, suspect) = (router.now, router.key("near-11"));
    router.view.seen(now, suspect, Observation::Refused);
    router.loads.refresh(now, &router.view);
    let work = router.chat(7, Some(router.token("near-0", None)));
    // 1.225 times 265 over 12 engines, rounded up.
    expect_that!(router.choose(&work).unwrap().limit, eq(28));
}

#[gtest]
fn verify_a_chat_that_returns_at_once_goes_to_its_engine() {
    // Symptom: on a quiet fleet a returning chat goes to another engine and waits for its prefix.
    // Sequence: its last answer has ended, and it comes back before the next summary to peers.
    // Cause: a request that has ended counted as one that peers don't know of yet.
    let mut router = router(12, 0, 64);
    let (key, now) = (router.key("near-0"), router.now);
    router.loads.sent(now, key);
    router.loads.ended(now, key);
    let work = router.chat(7, Some(router.token("near-0", None)));
    let placed = router.choose(&work).unwrap();
    expect_that!(placed.reason, eq(Reason::Token));
}
