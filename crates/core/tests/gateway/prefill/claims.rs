//! Tests of what a router asks and notes for its own prompts.

use googletest::prelude::*;
use toucanturn_core::{
    gateway::{
        Gateway, Ticket,
        incoming_request::IncomingRequest,
        outcome::AttemptOutcome,
        prefill::{
            Estimate,
            MAX_BURST,
            MAX_QUEUED_NOTES,
            MESSAGES_PER_SECOND,
            Note,
            Query,
            Reader, //
        },
    },
    units::{
        Millis,
        Time, //
    },
};

use crate::{
    fixture::{
        gateway,
        request,
        state_slowdown, //
    },
    prefill::{
        chat,
        tag_of,
        varying, //
    },
};

const LONG: u32 = 9000;
const SHORT: u32 = 600;

/// Bytes of a message, sealed.
const MESSAGE_BYTES: i64 = 90;

/// `End` lets a prompt no longer wait.
type End = fn(&mut Gateway, &mut Ticket, Reader);

fn admit(gateway: &mut Gateway, now: u64, request: &IncomingRequest) -> Ticket {
    gateway.admit(Time(now), request).expect("it is admitted")
}

/// Asks for the first endpoint of a request.
fn ask_first(
    gateway: &mut Gateway,
    now: u64,
    ticket: &Ticket,
    request: &IncomingRequest,
) -> (Reader, Query) {
    let readers = gateway.prefill_readers(Time(now), ticket, request);
    let query = gateway.prefill_query(ticket, request, readers[0], true);
    (readers[0], query)
}

/// Takes in that the keeper expects such a wait, and has noted the prompt or not.
fn answer(
    gateway: &mut Gateway,
    now: u64,
    ticket: &mut Ticket,
    (reader, query): (Reader, Query),
    (wait, reserved): (u64, bool),
) -> bool {
    let estimate = Estimate {
        nonce: query.nonce,
        wait: Millis(wait),
        reserved,
    };
    gateway.record_prefill_estimate(Time(now), ticket, reader, &estimate)
}

/// Makes a router with a long prompt that is noted at the first endpoint and placed there.
fn noted() -> (Gateway, Ticket, Reader, Query) {
    let mut gateway = varying(1);
    let request = chat(7, LONG);
    let mut ticket = admit(&mut gateway, 10, &request);
    let (reader, query) = ask_first(&mut gateway, 10, &ticket, &request);
    answer(&mut gateway, 11, &mut ticket, (reader, query), (0, true));
    let placed = gateway.place(Time(11), &ticket, &request);
    let endpoint = placed.expect("there is an endpoint").endpoint;
    assert_eq!(endpoint, reader.endpoint);
    (gateway, ticket, reader, query)
}

fn released(query: &Query) -> Note {
    Note::Released {
        nonce: query.nonce,
        endpoint: query.endpoint,
    }
}

/// Guards against any effect where speeds don't vary: no message, and the same placements.
#[gtest]
fn verify_nothing_is_asked_or_noted_where_speeds_do_not_vary() {
    let mut quiet = gateway(12);
    let mut asking = gateway(12);
    for number in 0..200 {
        let request = chat(number % 20, if number % 2 == 0 { SHORT } else { 20_000 });
        let mut ticket = admit(&mut asking, 10 + number, &request);
        let now = Time(10 + number);
        expect_that!(asking.prefill_readers(now, &ticket, &request), is_empty());
        let asked = asking.place(now, &ticket, &request);
        let asked = asked.expect("there is an endpoint");
        asking.sent(now, &mut ticket, asked.endpoint);
        let mut ticket = admit(&mut quiet, 10 + number, &request);
        let placed = quiet.place(now, &ticket, &request);
        expect_that!(placed, ok(eq(asked)));
        quiet.sent(now, &mut ticket, asked.endpoint);
        expect_that!(asking.take_prefill_notes(), is_empty());
    }
    expect_that!(asking.draw(), eq(quiet.draw()), "no random number is drawn");
    // It begins as an endpoint states a slowdown.
    state_slowdown(&mut asking, Time(300));
    let request = chat(7, LONG);
    let ticket = admit(&mut asking, 300, &request);
    let readers = asking.prefill_readers(Time(300), &ticket, &request);
    expect_that!(readers.len(), eq(4));
}

/// Guards against questions about endpoints to which the prompt doesn't go, and against those for requests
/// without a prompt.
#[gtest]
fn verify_the_first_four_in_the_order_of_the_prompt_are_asked_for() {
    let mut gateway = varying(1);
    let short = chat(7, SHORT);
    let ticket = admit(&mut gateway, 10, &short);
    let mut readers = gateway.prefill_readers(Time(10), &ticket, &short);
    expect_that!(readers.len(), eq(4));
    let mut excluded = Vec::new();
    for reader in readers.drain(..) {
        let mut gateway = varying(1);
        let ticket = Ticket {
            excluded: excluded.clone(),
            ..admit(&mut gateway, 10, &short)
        };
        let placed = gateway.place(Time(10), &ticket, &short);
        expect_that!(placed.expect("there is one").endpoint, eq(reader.endpoint));
        excluded.push(reader.endpoint);
    }
    let plain = request("/chat/x");
    let ticket = admit(&mut gateway, 10, &plain);
    expect_that!(
        gateway.prefill_readers(Time(10), &ticket, &plain),
        is_empty()
    );
}

/// Guards against short prompts that fill keepers with notes, and against long ones that two routers send to
/// the same endpoint as neither is noted.
#[gtest]
fn verify_prompts_whose_reading_takes_a_part_of_the_goal_are_noted() {
    for (tokens, first, notes) in [
        (SHORT, true, false),
        (LONG, true, true),
        (LONG, false, false),
    ] {
        let mut gateway = varying(1);
        let request = chat(7, tokens);
        let ticket = admit(&mut gateway, 10, &request);
        let readers = gateway.prefill_readers(Time(10), &ticket, &request);
        let query = gateway.prefill_query(&ticket, &request, readers[0], first);
        expect_that!(query.bears.is_some(), eq(notes), "{tokens} tokens");
        expect_that!((query.tokens, query.endpoint), eq((tokens, readers[0].tag)));
    }
}

/// Guards against estimates that come too late for the prompt that they are for.
#[gtest]
fn verify_a_prompt_goes_by_the_keepers_estimates_for_a_moment() {
    let place = |estimate: u64, placed: u64| {
        let mut gateway = varying(1);
        let request = chat(7, SHORT);
        let mut ticket = admit(&mut gateway, 10, &request);
        let asked = ask_first(&mut gateway, 10, &ticket, &request);
        let goes = answer(&mut gateway, 11, &mut ticket, asked, (estimate, false));
        expect_that!(goes, eq(estimate <= 125));
        let placed = gateway.place(Time(placed), &ticket, &request);
        placed.expect("there is an endpoint").endpoint == asked.0.endpoint
    };
    expect_true!(place(100, 12));
    expect_false!(place(130, 12));
    expect_true!(place(900, 100), "others have been read since");
}

/// Guards against a prompt that passes one busy endpoint over for another, where a third is idle.
#[gtest]
fn verify_a_prompt_passes_over_all_endpoints_where_keepers_say_that_it_is_late() {
    for (waits, chosen) in [
        ([600, 300, 0, 0], 2),
        ([600, 550, 130, 120], 3),
        ([600, 450, 400, 430], 2),
        ([600, 550, 500, 500], 0),
    ] {
        let mut gateway = varying(1);
        let request = chat(7, SHORT);
        let mut ticket = admit(&mut gateway, 10, &request);
        let readers = gateway.prefill_readers(Time(10), &ticket, &request);
        for (place, (reader, wait)) in readers.iter().zip(waits).enumerate() {
            let query = gateway.prefill_query(&ticket, &request, *reader, place == 0);
            answer(
                &mut gateway,
                11,
                &mut ticket,
                (*reader, query),
                (wait, false),
            );
        }
        let placed = gateway.place(Time(12), &ticket, &request);
        let endpoint = placed.expect("there is an endpoint").endpoint;
        expect_that!(endpoint, eq(readers[chosen].endpoint), "{waits:?}");
    }
}

/// Guards against prompts with a hot part that are placed anew by chance after they have asked for an endpoint, and
/// against one keeper that all of them ask.
#[gtest]
fn verify_a_prompt_with_a_hot_part_goes_where_it_has_asked() {
    let mut gateway = varying(1);
    let request = chat(7, LONG);
    for number in 0..300 {
        let ticket = admit(&mut gateway, 10 + number, &request);
        expect_that!(
            gateway.place(Time(10 + number), &ticket, &request),
            ok(anything())
        );
        gateway.release_prefill(ticket.owner);
    }
    gateway.take_prefill_notes();
    let mut asked = std::collections::BTreeSet::new();
    for number in 0..40 {
        let now = 1000 + 20 * number;
        let mut ticket = admit(&mut gateway, now, &request);
        let first = ask_first(&mut gateway, now, &ticket, &request);
        answer(&mut gateway, now, &mut ticket, first, (0, true));
        let placed = gateway.place(Time(now), &ticket, &request);
        let endpoint = placed.expect("there is an endpoint").endpoint;
        expect_that!(endpoint, eq(first.0.endpoint));
        gateway.ended(Time(now), &mut ticket, endpoint, AttemptOutcome::Answered);
        asked.insert(first.0.tag);
    }
    expect_that!(asked.len(), ge(3));
}

/// Guards against gossip from before that outweighs what the keeper knows now.
#[gtest]
fn verify_an_estimate_counts_instead_of_what_was_observed() {
    let mut waits = toucanturn_core::gateway::waits::Waits::default();
    waits.record_peer(Time(1000), Millis(900), true);
    waits.record_estimate(Time(1010), Millis(20));
    expect_that!(waits.expected(Time(1020)), eq(Millis(20)));
    expect_that!(waits.expected(Time(1070)), gt(Millis(700)));
    // But this router's own request certainly waits.
    waits.sent(Time(500));
    expect_that!(waits.expected(Time(1020)), eq(Millis(520)));
}

/// Guards against prompts that stay noted after they are read, or for which nobody waits: each end releases once.
#[gtest]
fn verify_each_end_releases_a_note_once() {
    let ends: [(&str, End); 6] = [
        ("first event", |gateway, ticket, reader| {
            gateway.record_begun(Time(100), ticket, reader.endpoint);
        }),
        ("end", |gateway, ticket, reader| {
            gateway.ended(Time(100), ticket, reader.endpoint, AttemptOutcome::Broken);
        }),
        ("caller left", |gateway, ticket, reader| {
            gateway.caller_left(Time(100), ticket.owner, reader.endpoint);
        }),
        ("not connected", |gateway, ticket, reader| {
            gateway.unreached(Time(100), ticket, reader.endpoint);
        }),
        ("handed off", |gateway, ticket, _| {
            let peer = "10.9.9.9:1".parse().expect("it is an address");
            gateway.handed_off(Time(100), ticket, peer);
        }),
        ("refused", |gateway, ticket, _| {
            let late = gateway.place(Time(9000), ticket, &chat(7, LONG));
            assert!(late.is_err());
        }),
    ];
    for (name, end) in ends {
        let (mut gateway, mut ticket, reader, query) = noted();
        expect_that!(
            gateway.take_prefill_notes(),
            is_empty(),
            "the query noted it"
        );
        end(&mut gateway, &mut ticket, reader);
        expect_that!(
            gateway.take_prefill_notes(),
            elements_are![eq(&released(&query))],
            "{name}"
        );
        gateway.record_begun(Time(110), &ticket, reader.endpoint);
        gateway.ended(
            Time(120),
            &mut ticket,
            reader.endpoint,
            AttemptOutcome::Answered,
        );
        expect_that!(gateway.take_prefill_notes(), is_empty(), "{name}");
    }
}

/// Guards against a prompt that stays noted where it isn't sent, and is unseen where it is.
#[gtest]
fn verify_the_note_of_a_prompt_that_goes_elsewhere_follows_it() {
    let (mut gateway, ticket, reader, query) = noted();
    let elsewhere = Ticket {
        excluded: vec![reader.endpoint],
        ..ticket
    };
    let placed = gateway.place(Time(12), &elsewhere, &chat(7, LONG));
    let endpoint = placed.expect("there is another").endpoint;
    let tag = tag_of(&gateway, endpoint);
    let notes = gateway.take_prefill_notes();
    expect_that!(notes.len(), eq(2));
    expect_that!(notes[0], eq(released(&query)));
    let Note::Reserved {
        nonce,
        endpoint,
        tokens,
    } = notes[1]
    else {
        panic!("it is noted where it goes");
    };
    expect_that!((endpoint, tokens), eq((tag, LONG)));
    expect_that!(nonce, not(eq(query.nonce)));
    gateway.release_prefill(elsewhere.owner);
    let end = Note::Released { nonce, endpoint };
    expect_that!(gateway.take_prefill_notes(), elements_are![eq(&end)]);
}

/// Guards against a keeper whose estimate is late: it has noted a prompt that nobody releases.
#[gtest]
fn verify_what_a_late_keeper_may_have_noted_is_settled() {
    let mut gateway = varying(1);
    let request = chat(7, LONG);
    let ticket = admit(&mut gateway, 10, &request);
    let (reader, query) = ask_first(&mut gateway, 10, &ticket, &request);
    // It goes there all the same: the same nonce is noted, so that it counts once.
    let placed = gateway.place(Time(21), &ticket, &request);
    expect_that!(placed.expect("there is one").endpoint, eq(reader.endpoint));
    let note = Note::Reserved {
        nonce: query.nonce,
        endpoint: query.endpoint,
        tokens: LONG,
    };
    expect_that!(gateway.take_prefill_notes(), elements_are![eq(&note)]);
    // It goes elsewhere.
    let ticket = admit(&mut gateway, 30, &request);
    let (reader, query) = ask_first(&mut gateway, 30, &ticket, &request);
    let ticket = Ticket {
        excluded: vec![reader.endpoint],
        ..ticket
    };
    expect_that!(gateway.place(Time(41), &ticket, &request), ok(anything()));
    expect_that!(
        gateway.take_prefill_notes(),
        contains(eq(&released(&query)))
    );
    // The caller leaves before it goes anywhere.
    let ticket = admit(&mut gateway, 50, &request);
    let (_, query) = ask_first(&mut gateway, 50, &ticket, &request);
    gateway.release_prefill(ticket.owner);
    expect_that!(
        gateway.take_prefill_notes(),
        elements_are![eq(&released(&query))]
    );
}

/// Guards against control traffic that grows with the requests, or with waits that are long everywhere.
#[gtest]
fn verify_the_messages_that_prompts_cause_are_bounded() {
    for (per_second, wait) in [(20, 0), (20, 10_000), (500, 0), (500, 10_000)] {
        let mut gateway = varying(1);
        let seconds = 20;
        let mut messages = 0_i64;
        for number in 0..seconds * per_second {
            let now = 1000 + number * 1000 / per_second;
            gateway.record_registry_read(Time(now), Time(now));
            gateway.fleet(Time(now), 330);
            let request = chat(number % 50, if number % 3 == 0 { LONG } else { SHORT });
            let mut ticket = admit(&mut gateway, now, &request);
            let readers = gateway.prefill_readers(Time(now), &ticket, &request);
            for (place, reader) in readers.into_iter().enumerate() {
                let query = gateway.prefill_query(&ticket, &request, reader, place == 0);
                // The other one is the estimate that this router gives to another.
                messages += 2;
                let reserved = query.bears.is_some_and(|bears| Millis(wait) <= bears);
                let asked = (reader, query);
                if answer(&mut gateway, now, &mut ticket, asked, (wait, reserved)) {
                    break;
                }
            }
            let placed = gateway.place(Time(now), &ticket, &request);
            let endpoint = placed.expect("there is an endpoint").endpoint;
            gateway.sent(Time(now), &mut ticket, endpoint);
            gateway.record_begun(Time(now), &ticket, endpoint);
            gateway.ended(Time(now), &mut ticket, endpoint, AttemptOutcome::Answered);
            messages += i64::try_from(gateway.take_prefill_notes().len()).expect("they are few");
        }
        let seconds = i64::try_from(seconds).expect("they are few");
        let most = MESSAGES_PER_SECOND * seconds + MAX_BURST * 3 / 2 + 10;
        expect_that!(messages, le(most), "{per_second} a second");
        expect_that!(messages, ge(most * 7 / 10), "{per_second} a second");
        expect_that!(messages * MESSAGE_BYTES / seconds, le(5100));
    }
}

/// Guards against many short prompts that leave no query to a long one, which others wait behind, and against
/// long prompts of one workspace that leave none to the short ones of others.
#[gtest]
fn verify_neither_short_nor_long_prompts_use_up_the_queries() {
    let asked = |gateway: &mut Gateway, tokens| {
        let request = chat(7, tokens);
        let ticket = admit(gateway, 1000, &request);
        let readers = gateway.prefill_readers(Time(1000), &ticket, &request);
        let first = readers.first().copied();
        first.map(|reader| gateway.prefill_query(&ticket, &request, reader, true))
    };
    let count = |gateway: &mut Gateway, tokens| {
        let queries = (0..100).filter_map(|_| asked(gateway, tokens));
        queries.count()
    };
    for (first, second) in [(SHORT, LONG), (LONG, SHORT)] {
        let mut gateway = varying(1);
        gateway.fleet(Time(1000), 330);
        expect_that!(count(&mut gateway, first), all![ge(5), le(8)]);
        expect_that!(count(&mut gateway, second), all![ge(3), le(7)]);
    }
    // One that hears of no other asks itself, which takes no message.
    let mut alone = varying(1);
    expect_that!(
        (0..100).filter_map(|_| asked(&mut alone, SHORT)).count(),
        eq(100)
    );
}

/// Guards against state that grows where nobody takes the notes, or tickets are forgotten.
#[gtest]
fn verify_notes_that_nobody_takes_are_bounded() {
    let mut gateway = varying(1);
    for number in 0..3000 {
        let request = chat(number, LONG);
        let ticket = admit(&mut gateway, 10, &request);
        expect_that!(gateway.place(Time(10), &ticket, &request), ok(anything()));
    }
    expect_that!(gateway.take_prefill_notes().len(), eq(MAX_QUEUED_NOTES));
    expect_that!(gateway.take_prefill_notes(), is_empty());
}

/// Guards against an answer to another prompt's query that counts for this one.
#[gtest]
fn verify_an_estimate_with_an_unknown_nonce_notes_nothing() {
    let mut gateway = varying(1);
    let request = chat(7, LONG);
    let mut ticket = admit(&mut gateway, 10, &request);
    let (reader, query) = ask_first(&mut gateway, 10, &ticket, &request);
    let other = Query {
        nonce: query.nonce + 1,
        ..query
    };
    answer(&mut gateway, 11, &mut ticket, (reader, other), (0, false));
    gateway.release_prefill(ticket.owner);
    expect_that!(
        gateway.take_prefill_notes(),
        elements_are![eq(&released(&query))]
    );
    let mut stranger = admit(&mut gateway, 10, &chat(8, LONG));
    expect_false!(answer(
        &mut gateway,
        11,
        &mut stranger,
        (reader, query),
        (0, true)
    ));
    expect_that!(gateway.take_prefill_notes(), is_empty());
}
