//! Tests of what a keeper keeps of each endpoint.

use googletest::prelude::*;
use proptest::prelude::{
    any,
    prop,
    proptest, //
};
use toucanturn_core::{
    gateway::prefill::{
        Ledger,
        MAX_ENDPOINTS,
        MAX_NOTES,
        NOTE_TTL, //
    },
    ids::Tag,
    units::{
        Millis,
        Time, //
    },
};

const ENGINE: Tag = Tag(7);

/// Gets how long a prompt that is not noted would wait.
fn wait(ledger: &Ledger, now: u64) -> u64 {
    ledger.wait(Time(now), ENGINE, 0).0
}

fn reserve(ledger: &mut Ledger, now: u64, nonce: u64, tokens: u32) -> bool {
    ledger.reserve(Time(now), ENGINE, nonce, tokens)
}

fn release(ledger: &mut Ledger, now: u64, nonce: u64) {
    ledger.release(Time(now), ENGINE, nonce);
}

/// Lets an endpoint read a prompt of 8,000 tokens in so many milliseconds, five times from 1,000 ms on; gets the
/// wait behind another one of 8,000 tokens then.
fn learnt(took: u64) -> u64 {
    let mut ledger = Ledger::default();
    let mut now = 1000;
    for nonce in 1..=5 {
        reserve(&mut ledger, now, nonce, 8000);
        now += took;
        release(&mut ledger, now, nonce);
    }
    reserve(&mut ledger, now, 6, 8000);
    wait(&ledger, now)
}

/// Guards against estimates that say nothing: a prompt waits for all that are unread before it.
#[gtest]
fn verify_a_prompt_waits_for_the_unread_ones_before_it() {
    let mut ledger = Ledger::default();
    expect_that!(wait(&ledger, 1000), eq(0));
    reserve(&mut ledger, 1000, 1, 4000);
    reserve(&mut ledger, 1000, 2, 8000);
    expect_that!(wait(&ledger, 1000), eq(300));
    release(&mut ledger, 1100, 1);
    expect_that!(wait(&ledger, 1100), eq(200));
    expect_that!(ledger.wait(Time(1100), ENGINE, 2), eq(Millis(0)), "its own");
    expect_that!(ledger.wait(Time(1100), Tag(8), 0), eq(Millis(0)));
}

/// Guards against an engine that reads nothing: few tokens are unread, and the wait has no end.
#[gtest]
fn verify_the_oldest_prompt_tells_the_wait_where_it_is_longer() {
    let mut ledger = Ledger::default();
    reserve(&mut ledger, 1000, 1, 2000);
    expect_that!(wait(&ledger, 1020), eq(50));
    expect_that!(wait(&ledger, 1900), eq(900));
}

/// Guards against a router that is lost with its prompts noted: the endpoint would be avoided for good.
#[gtest]
fn verify_a_note_ends_without_a_release() {
    let mut ledger = Ledger::default();
    reserve(&mut ledger, 1000, 1, 8000);
    expect_that!(wait(&ledger, 1000 + NOTE_TTL.0 - 1), gt(0));
    expect_that!(wait(&ledger, 1000 + NOTE_TTL.0), eq(0));
}

/// Guards against datagrams that a link repeats: a prompt would count twice, or stand for longer.
#[gtest]
fn verify_a_repeated_note_counts_once_and_stands_no_longer() {
    let mut ledger = Ledger::default();
    for now in [1000, 1000, 1001, 1900] {
        expect_true!(reserve(&mut ledger, now, 1, 8000));
    }
    expect_that!(wait(&ledger, 1001), eq(200));
    expect_that!(wait(&ledger, 3000), eq(0));
    reserve(&mut ledger, 4000, 2, 8000);
    release(&mut ledger, 4200, 2);
    expect_false!(reserve(&mut ledger, 4201, 2, 8000), "a late repetition");
    release(&mut ledger, 4202, 2);
    expect_that!(wait(&ledger, 4202), eq(0));
}

/// Guards against a release that overtakes its note: the prompt, which is read, would count for two seconds.
#[gtest]
fn verify_a_release_before_its_note_is_heeded() {
    let mut ledger = Ledger::default();
    release(&mut ledger, 1000, 1);
    expect_false!(reserve(&mut ledger, 1001, 1, 8000));
    expect_that!(wait(&ledger, 1001), eq(0));
}

/// Guards against a recorded note that is sent again: it may cost some prompts two seconds, and no more.
#[gtest]
fn verify_a_replayed_note_ends_too() {
    let mut ledger = Ledger::default();
    reserve(&mut ledger, 1000, 1, 8000);
    release(&mut ledger, 1200, 1);
    expect_false!(reserve(&mut ledger, 3000, 1, 8000));
    reserve(&mut ledger, 5000, 1, 8000);
    expect_that!(wait(&ledger, 7000), eq(0));
}

/// Guards against a release that is lost: the endpoint would count as one that reads nothing.
#[gtest]
fn verify_what_was_noted_well_before_a_prompt_that_is_read_is_read() {
    let mut ledger = Ledger::default();
    reserve(&mut ledger, 1000, 1, 2000);
    reserve(&mut ledger, 1030, 2, 2000);
    reserve(&mut ledger, 1200, 3, 2000);
    release(&mut ledger, 1240, 3);
    expect_that!(wait(&ledger, 1240), eq(0));
    // Two that are noted together may arrive in another order.
    reserve(&mut ledger, 2000, 4, 8000);
    reserve(&mut ledger, 2010, 5, 2000);
    release(&mut ledger, 2060, 5);
    expect_that!(wait(&ledger, 2060), gt(60));
}

/// Guards against waits that are told for an engine of another speed.
#[gtest]
fn verify_the_rate_is_learnt_from_what_is_read() {
    expect_that!(learnt(200), all![ge(195), le(205)]);
    expect_that!(learnt(1000), all![ge(750), le(1000)]);
    expect_that!(learnt(50), all![ge(50), le(110)]);
}

/// Guards against a slow spell that is taken for the engine's speed long after it: spells last for half a second.
#[gtest]
fn verify_what_is_learnt_is_forgotten() {
    let mut ledger = Ledger::default();
    reserve(&mut ledger, 1000, 1, 2000);
    release(&mut ledger, 1800, 1);
    let after = |now| {
        let mut ledger = ledger.clone();
        reserve(&mut ledger, now, 2, 8000);
        wait(&ledger, now)
    };
    expect_that!(after(1800), gt(900));
    expect_that!(after(8000), lt(210));
}

/// Guards against rates that no engine has, which would close an endpoint, or open it to any number of prompts.
#[gtest]
fn verify_rates_are_bounded() {
    let mut ledger = Ledger::default();
    for nonce in 1..=20 {
        let now = 2000 * nonce;
        reserve(&mut ledger, now, nonce, 1);
        release(&mut ledger, now + 1999, nonce);
    }
    reserve(&mut ledger, 41_999, 21, 8000);
    expect_that!(wait(&ledger, 41_999), le(4000));
    let mut ledger = Ledger::default();
    for nonce in 1..=200 {
        let now = 1000 + 20 * nonce;
        reserve(&mut ledger, now, nonce, u32::MAX);
        release(&mut ledger, now + 20, nonce);
    }
    reserve(&mut ledger, 5020, 201, 8000);
    expect_that!(wait(&ledger, 5020), ge(40));
}

/// Guards against prompts that went elsewhere and count as read at once: those after them would wait unseen.
#[gtest]
fn verify_a_prompt_that_goes_elsewhere_says_nothing_of_the_rate() {
    let mut ledger = Ledger::default();
    for nonce in 1..=20 {
        reserve(&mut ledger, 1000, nonce, 8000);
        release(&mut ledger, 1005, nonce);
    }
    reserve(&mut ledger, 1005, 21, 8000);
    expect_that!(wait(&ledger, 1005), eq(200));
    // Nor does it count among those before a later one.
    let mut ledger = Ledger::default();
    reserve(&mut ledger, 1000, 1, 100_000);
    reserve(&mut ledger, 1001, 2, 8000);
    release(&mut ledger, 1005, 1);
    release(&mut ledger, 1201, 2);
    reserve(&mut ledger, 1201, 3, 8000);
    expect_that!(wait(&ledger, 1201), all![ge(195), le(205)]);
}

/// Guards against state that grows with the notes that are sent, and against a keeper that forgets all at once.
#[gtest]
fn verify_notes_and_endpoints_are_bounded() {
    let mut ledger = Ledger::default();
    let noted = (1..=1000).filter(|nonce| reserve(&mut ledger, 1000, *nonce, 40));
    expect_that!(noted.count(), eq(MAX_NOTES));
    expect_that!(wait(&ledger, 1000), eq(MAX_NOTES as u64));
    let mut ledger = Ledger::default();
    reserve(&mut ledger, 1000, 1, 8000);
    for tag in 0..5000 {
        reserve(&mut ledger, 1001 + u64::from(tag), 2 + u64::from(tag), 40);
        ledger.reserve(Time(1001), Tag(100 + tag), 1, 40);
        ledger.release(Time(1001), Tag(100_000 + tag), 1);
    }
    expect_that!(ledger.len(), eq(MAX_ENDPOINTS));
    expect_that!(wait(&ledger, 1010), gt(0), "it is in use");
}

proptest! {
    /// Guards against orders and repetitions of datagrams that leave notes behind, and against waits without
    /// bound.
    #[test]
    fn verify_any_order_and_repetition_of_datagrams_leaves_nothing_behind(
        prompts in prop::collection::vec((1..200_u64, 1..20_000_u32, 0..300_u64, 0..300_u64), 1..40),
        repeated in any::<bool>(),
    ) {
        let mut sent = Vec::new();
        for (nonce, (at, tokens, late, took)) in (1..).zip(prompts) {
            for copy in 0..=u64::from(repeated) {
                sent.push((1000 + at + late + 7 * copy, nonce, Some(tokens)));
                sent.push((1000 + at + took + 11 * copy, nonce, None));
            }
        }
        sent.sort();
        let mut ledger = Ledger::default();
        let mut last = 0;
        for (now, nonce, tokens) in sent {
            match tokens {
                Some(tokens) => { reserve(&mut ledger, now, nonce, tokens); }
                None => release(&mut ledger, now, nonce),
            }
            last = now;
            assert!(wait(&ledger, now) <= 40 * 20_000 / 2);
        }
        assert_eq!(wait(&ledger, last), 0);
    }
}
