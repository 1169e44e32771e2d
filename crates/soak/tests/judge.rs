//! Each judge notices a broken promise, and lets pass what is none.

use std::collections::BTreeMap;

use googletest::prelude::*;
use toucanturn_platform_standin::replica::{
    RequestEvent,
    RequestEventKind,
    STREAM_EVENTS, //
};
use toucanturn_soak::{
    judge::{
        Promise,
        judge,
        take_ups, //
    },
    record::{
        Call,
        Cold,
        Evacuation,
        Key,
        Kill,
        Kind,
        Leaving,
        Member,
        Phase,
        Record,
        Release,
        Span,
        Start,
        TakeUps,
        Target, //
    },
};

fn call(id: &str, kind: Kind) -> Call {
    let event = |n| format!("id: {n}\ndata: piece {n} of {id}\n\n");
    let body = match kind.streams() {
        true => (1..=STREAM_EVENTS).map(event).collect(),
        false => format!("done {id}"),
    };
    Call {
        id: id.to_owned(),
        item: id.to_owned(),
        kind,
        key: 0,
        router: 0,
        life: 1,
        sent: 10_000,
        ended: 10_050,
        status: 200,
        whole: true,
        body,
        gave_up: false,
        resumes: None,
    }
}

fn note(id: &str, at_ms: u64) -> RequestEvent {
    RequestEvent {
        at_ms,
        replica: "i-0-0".to_owned(),
        id: id.to_owned(),
        after: None,
        what: RequestEventKind::Began,
        says_leaving: false,
        unmarked: false,
        back_off_ms: 0,
    }
}

fn record(calls: Vec<Call>, notes: Vec<RequestEvent>) -> Record {
    let keys = vec![
        Key {
            since: 0,
            revoked: None,
        };
        2
    ];
    Record {
        calls,
        notes,
        keys,
        ..Record::default()
    }
}

fn found(record: &Record) -> Vec<Promise> {
    judge(record).into_iter().map(|f| f.promise).collect()
}

#[gtest]
fn verify_a_sound_run_has_no_findings() {
    let kinds = [Kind::Once, Kind::Read, Kind::Chat, Kind::Talk];
    let calls: Vec<Call> = kinds.iter().map(|kind| call("c1-1", *kind)).collect();
    for call in calls {
        let notes = vec![note("c1-1", 10_010)];
        expect_that!(found(&record(vec![call], notes)), is_empty());
    }
}

#[gtest]
fn verify_a_second_run_is_noticed() {
    for (kind, runs) in [
        (Kind::Once, 2),
        (Kind::Talk, 2),
        (Kind::Read, 3),
        (Kind::Chat, 4),
    ] {
        let notes = (0..runs).map(|n| note("a", 10_000 + n)).collect();
        let record = record(vec![call("a", kind)], notes);
        expect_that!(found(&record), contains(eq(&Promise::Once)));
    }
}

#[gtest]
fn verify_a_false_not_run_is_noticed() {
    for status in [503, 429, 408, 421, 401] {
        let mut refused = call("a", Kind::Read);
        refused.status = status;
        let with = record(vec![refused.clone()], vec![note("a", 10_010)]);
        expect_that!(found(&with), contains(eq(&Promise::NotRun)), "{status}");
        expect_that!(
            found(&record(vec![refused], Vec::new())),
            not(contains(eq(&Promise::NotRun)))
        );
    }
}

#[gtest]
fn verify_wrong_answers_are_noticed() {
    let whole = call("a", Kind::Chat).body;
    let wrong = [
        whole.replace("piece 3 of a", "piece 3 of b"),
        whole.replacen("id: 3\ndata: piece 3 of a\n\n", "", 1),
        whole.replacen("id: 3\n", "id: 3\ndata: piece 3 of a\n\nid: 3\n", 1),
        whole.replacen("id: 8\ndata: piece 8 of a\n\n", "", 1),
        String::new(),
    ];
    for body in wrong {
        let answer = Call {
            body,
            ..call("a", Kind::Chat)
        };
        let record = record(vec![answer], vec![note("a", 10_010)]);
        expect_that!(found(&record), contains(eq(&Promise::Own)));
    }
    let other = Call {
        body: "done b".to_owned(),
        ..call("a", Kind::Once)
    };
    let record = record(vec![other], vec![note("a", 10_010)]);
    expect_that!(found(&record), contains(eq(&Promise::Own)));
}

#[gtest]
fn verify_a_broken_stream_must_be_a_beginning() {
    let cut = |body: &str| Call {
        whole: false,
        gave_up: true,
        body: body.to_owned(),
        ..call("a", Kind::Talk)
    };
    let fine = cut("1a\r\nid: 1\ndata: piece 1 of a\n\n\r\nid: 2\nda");
    expect_that!(
        found(&record(vec![fine], vec![note("a", 10_010)])),
        is_empty()
    );
    let gap = cut("id: 1\ndata: piece 1 of a\n\nid: 3\ndata: piece 3 of a\n\n");
    let record = record(vec![gap], vec![note("a", 10_010)]);
    expect_that!(found(&record), contains(eq(&Promise::Own)));
}

#[gtest]
fn verify_a_cut_answer_is_noticed_unless_a_fault_explains_it() {
    let cut = Call {
        status: 0,
        whole: false,
        body: String::new(),
        ..call("a", Kind::Once)
    };
    let mut record = record(vec![cut], vec![note("a", 10_010)]);
    expect_that!(found(&record), contains(eq(&Promise::Uncut)));
    for target in [
        Target::Router(0),
        Target::Peers(0),
        Target::Replica(3),
        Target::Links,
    ] {
        record.spans = vec![Span {
            target,
            from: 9000,
            to: 10_020,
        }];
        expect_that!(found(&record), not(contains(eq(&Promise::Uncut))));
    }
    for target in [Target::Router(1), Target::Peers(1)] {
        record.spans = vec![Span {
            target,
            from: 9000,
            to: 10_020,
        }];
        expect_that!(found(&record), contains(eq(&Promise::Uncut)));
    }
}

#[gtest]
fn verify_work_at_a_leaving_endpoint_is_noticed() {
    let mut record = record(vec![call("a", Kind::Read)], vec![note("a", 10_010)]);
    let leaving = |at| Leaving {
        replica: "i-0-0".to_owned(),
        at,
    };
    record.leaving = vec![leaving(9000)];
    expect_that!(found(&record), is_empty());
    record.leaving = vec![leaving(8000)];
    expect_that!(found(&record), contains(eq(&Promise::Leaving)));
    record.spans = vec![Span {
        target: Target::Store,
        from: 7000,
        to: 8100,
    }];
    expect_that!(found(&record), is_empty());
}

#[gtest]
fn verify_a_revoked_key_that_opens_is_noticed() {
    let mut record = record(vec![call("a", Kind::Read)], vec![note("a", 10_010)]);
    record.keys[0].revoked = Some(7000);
    expect_that!(found(&record), contains(eq(&Promise::Revoked)));
    record.keys[0].revoked = Some(8000);
    expect_that!(found(&record), is_empty());
}

#[gtest]
fn verify_a_step_back_is_noticed() {
    let refused = Call {
        status: 401,
        sent: 9000,
        ended: 9005,
        ..call("a", Kind::Read)
    };
    let mut record = record(
        vec![refused, call("b", Kind::Read)],
        vec![note("b", 10_010)],
    );
    record.keys[0].revoked = Some(8900);
    expect_that!(found(&record), contains(eq(&Promise::Forward)));
    // Another process knows less.
    record.calls[0].life = 2;
    expect_that!(found(&record), is_empty());
}

#[gtest]
fn verify_a_good_key_that_opens_nothing_is_noticed() {
    let refused = Call {
        status: 401,
        ..call("a", Kind::Read)
    };
    let mut record = record(vec![refused], Vec::new());
    record.keys[0].since = 8000;
    expect_that!(found(&record), contains(eq(&Promise::InForce)));
    record.keys[0].since = 9000;
    expect_that!(found(&record), is_empty());
}

#[gtest]
fn verify_too_many_retries_are_noticed() {
    let ids: Vec<String> = (0..100).map(|n| format!("c{n}")).collect();
    let calls: Vec<Call> = ids.iter().map(|id| call(id, Kind::Read)).collect();
    let two = |id: &String| [note(id, 10_010), note(id, 10_020)];
    let few = record(calls.clone(), ids[..50].iter().flat_map(two).collect());
    expect_that!(found(&few), is_empty());
    let many = record(calls, ids.iter().flat_map(two).collect());
    expect_that!(found(&many), contains(eq(&Promise::Budget)));
}

#[gtest]
fn verify_ends_and_what_stays_unserved_are_findings() {
    let record = Record {
        processes: vec!["one".to_owned()],
        unrecovered: vec!["two".to_owned()],
        ..record(Vec::new(), Vec::new())
    };
    expect_that!(
        found(&record),
        eq(&vec![Promise::Alive, Promise::Recovered])
    );
}

/// Makes the record of requests for an item that end an endpoint each second, as often as told.
fn fatal(item: &str, times: u64) -> Record {
    let ids: Vec<String> = (0..times).map(|n| format!("{item}-{n}")).collect();
    let call_of = |(n, id): (u64, &String)| Call {
        item: item.to_owned(),
        sent: 10_000 + n * 1000,
        ended: 10_040 + n * 1000,
        status: 502,
        body: String::new(),
        ..call(id, Kind::Talk)
    };
    let note_of = |(n, id): (u64, &String)| {
        let begun = note(id, 10_010 + n * 1000);
        let ended = RequestEvent {
            at_ms: 10_040 + n * 1000,
            what: RequestEventKind::Crashed,
            ..begun.clone()
        };
        [begun, ended]
    };
    let calls = (0..).zip(&ids).map(call_of).collect();
    let notes = (0..).zip(&ids).flat_map(note_of).collect();
    record(calls, notes)
}

#[gtest]
fn verify_a_request_that_goes_on_ending_endpoints_is_found() {
    // Of ten, four are sent later than three seconds after the third crash.
    for item in ["fatal-1", "part-1"] {
        let ten = found(&fatal(item, 10));
        expect_that!(ten, elements_are![eq(&Promise::Contained)]);
        expect_that!(found(&fatal(item, 9)), is_empty());
    }
}

#[gtest]
fn verify_another_request_that_is_held_back_is_found() {
    for body in ["quarantined\n", "part_quarantined\n"] {
        let held = |item: &str| Call {
            item: item.to_owned(),
            status: 503,
            body: body.to_owned(),
            ..call("a1", Kind::Read)
        };
        let answered = RequestEvent {
            what: RequestEventKind::Ended,
            ..note("b2", 10_020)
        };
        let record_of = |item, notes| record(vec![held(item)], notes);
        expect_that!(
            found(&record_of("x", vec![answered.clone()])),
            elements_are![eq(&Promise::Innocent)]
        );
        for item in ["fatal-1", "part-1"] {
            expect_that!(found(&record_of(item, vec![answered.clone()])), is_empty());
        }
        // Nobody would have served it.
        expect_that!(found(&record_of("x", Vec::new())), is_empty());
    }
}

#[gtest]
fn verify_a_run_in_an_evacuated_data_center_is_noticed() {
    let evacuation = Evacuation {
        data_center: "a".to_owned(),
        from: 7000,
        to: Some(10_500),
    };
    let run = |replica: &str, at_ms| {
        let begun = RequestEvent {
            replica: replica.to_owned(),
            ..note("a", at_ms)
        };
        Record {
            evacuations: vec![evacuation.clone()],
            ..record(vec![call("a", Kind::Read)], vec![begun])
        }
    };
    expect_that!(
        found(&run("i-0-0", 10_010)),
        elements_are![eq(&Promise::Evacuated)]
    );
    // A request that was sent in time and waited at an endpoint that was held up is allowed, one that was sent late isn't.
    let held_up = |sent| {
        let mut record = run("i-0-0", 10_010);
        record.calls[0].sent = sent;
        record.spans.push(Span {
            target: Target::HeldUp(0),
            from: 8000,
            to: 12_000,
        });
        record
    };
    expect_that!(found(&held_up(8000)), is_empty());
    expect_that!(
        found(&held_up(9500)),
        elements_are![eq(&Promise::Evacuated)]
    );
    // Within the bound, after it was restored, and in another data centre.
    for sound in [
        run("i-0-0", 8000),
        run("i-0-0", 10_600),
        run("i-1-0", 10_010),
    ] {
        expect_that!(found(&sound), is_empty());
    }
}

#[gtest]
fn verify_a_crowd_at_a_cold_endpoint_is_noticed() {
    let crowd = |count: u64, from: u64| {
        let calls = (0..count).map(|n| call(&format!("a{n}"), Kind::Read));
        let notes = (0..count).map(|n| note(&format!("a{n}"), 10_000 + n * 10));
        Record {
            cold: vec![Cold {
                replica: "i-0-0".to_owned(),
                from,
                to: from + 3000,
            }],
            ..record(calls.collect(), notes.collect())
        }
    };
    expect_that!(found(&crowd(24, 9000)), elements_are![eq(&Promise::Warmup)]);
    expect_that!(found(&crowd(23, 9000)), is_empty());
    expect_that!(found(&crowd(24, 5000)), is_empty());
    let span = Span {
        target: Target::HeldUp(0),
        from: 9000,
        to: 10_500,
    };
    let held_up = Record {
        spans: vec![span],
        ..crowd(24, 9000)
    };
    expect_that!(found(&held_up), is_empty());
}

#[gtest]
fn verify_work_at_an_endpoint_that_said_it_leaves_is_noticed() {
    let told = Call {
        sent: 7000,
        ended: 7050,
        ..call("a", Kind::Read)
    };
    let says = RequestEvent {
        says_leaving: true,
        ..note("a", 7010)
    };
    let run = |sent: u64, router| {
        let later = Call {
            sent,
            ended: sent + 50,
            router,
            ..call("b", Kind::Read)
        };
        record(
            vec![told.clone(), later],
            vec![says.clone(), note("b", sent + 10)],
        )
    };
    expect_that!(
        found(&run(8600, 0)),
        elements_are![eq(&Promise::SaidLeaving)]
    );
    // Within the bound, by another router, and by the router's next process.
    let mut restarted = run(8600, 0);
    restarted.starts.push(Start {
        router: 0,
        at: 8590,
    });
    for sound in [run(8500, 0), run(8600, 1), restarted] {
        expect_that!(found(&sound), is_empty());
    }
    let mut other = run(8600, 0);
    other.starts.push(Start {
        router: 1,
        at: 8590,
    });
    expect_that!(found(&other), elements_are![eq(&Promise::SaidLeaving)]);
    let span = Span {
        target: Target::Paused(0),
        from: 7500,
        to: 8000,
    };
    let suspended = Record {
        spans: vec![span],
        ..run(8600, 0)
    };
    expect_that!(found(&suspended), is_empty());
    let mut unheard = run(8600, 0);
    unheard.calls[0].status = 502;
    expect_that!(found(&unheard), is_empty(), "the answer was not passed on");
}

#[gtest]
fn verify_requests_in_a_pause_that_was_asked_for_are_noticed() {
    let run = |at: [u64; 3]| {
        let turned_away = Call {
            status: 503,
            body: String::new(),
            ..call("a", Kind::Read)
        };
        let asks = RequestEvent {
            what: RequestEventKind::Rejected,
            back_off_ms: 2000,
            ..note("a", 10_000)
        };
        let mut calls = vec![turned_away];
        calls.extend((0..3).map(|n| call(&format!("b{n}"), Kind::Read)));
        let mut notes = vec![asks];
        notes.extend((0..3).map(|n| note(&format!("b{n}"), at[n])));
        record(calls, notes)
    };
    let broken = run([10_501, 11_000, 12_000]);
    expect_that!(found(&broken), elements_are![eq(&Promise::BackOff)]);
    // One within the grace, one after the end, and to another process of the router.
    let mut restarted = run([10_501, 11_000, 12_000]);
    for later in &mut restarted.calls[1..] {
        later.sent = 10_490;
    }
    restarted.starts.push(Start {
        router: 0,
        at: 10_450,
    });
    for sound in [
        run([10_500, 11_000, 12_000]),
        run([10_501, 11_000, 12_001]),
        restarted,
    ] {
        expect_that!(found(&sound), is_empty());
    }
    for target in [Target::Paused(0), Target::Replica(0), Target::HeldUp(0)] {
        let span = Span {
            target,
            from: 9000,
            to: 10_500,
        };
        let unheard = Record {
            spans: vec![span],
            ..broken.clone()
        };
        expect_that!(found(&unheard), is_empty(), "{target:?}");
    }
}

/// Makes a record in which one of six endpoints gets a request each 50 ms and ends none.
fn crowded() -> Record {
    let ids: Vec<String> = (0..120).map(|n| format!("c{n}")).collect();
    let calls = ids.iter().map(|id| call(id, Kind::Once)).collect();
    let notes = (0..).zip(&ids).map(|(n, id)| note(id, 10_000 + n * 50));
    let mut record = record(calls, notes.collect());
    record.members = (0..6)
        .map(|n| Member {
            replica: format!("i-{n}-0"),
            from: 0,
            to: None,
            build: "v1".to_owned(),
        })
        .collect();
    record
}

#[gtest]
fn verify_an_endpoint_over_the_load_multiple_is_noticed_in_calm_times() {
    let mut record = crowded();
    expect_that!(found(&record), contains(eq(&Promise::Multiple)));
    record.spans.push(Span {
        target: Target::Replica(3),
        from: 9000,
        to: 20_000,
    });
    expect_that!(found(&record), not(contains(eq(&Promise::Multiple))));
}

#[gtest]
fn verify_requests_of_a_router_out_of_touch_are_not_counted_in_the_load_multiple() {
    for target in [Target::Paused(0), Target::Peers(0)] {
        let mut record = crowded();
        record.spans.push(Span {
            target,
            from: 9000,
            to: 20_000,
        });
        expect_that!(found(&record), not(contains(eq(&Promise::Multiple))));
    }
}

/// Makes a stream of which the caller has received some events, each of a version.
fn stream(id: &str, events: std::ops::RangeInclusive<u64>, version: &str) -> Call {
    let event = |n| format!("id: {n}\n: build {version}\ndata: piece {n} of {id}\n\n");
    Call {
        whole: *events.end() == STREAM_EVENTS,
        gave_up: true,
        body: events.map(event).collect(),
        ..call(id, Kind::Chat)
    }
}

fn taken_up(began: &str, id: &str, events: std::ops::RangeInclusive<u64>, version: &str) -> Call {
    Call {
        resumes: Some((began.to_owned(), events.start() - 1)),
        ..stream(id, events, version)
    }
}

#[gtest]
fn verify_a_join_of_two_versions_is_noticed() {
    let begun = || stream("a", 1..=3, "v1");
    let fine = record(vec![begun(), taken_up("a", "b", 4..=8, "v1")], Vec::new());
    expect_that!(found(&fine), is_empty());
    let over_tries = vec![begun(), taken_up("a", "b", 4..=8, "v2")];
    let third_try = vec![
        begun(),
        taken_up("a", "b", 4..=5, "v1"),
        taken_up("a", "c", 6..=8, "v2"),
    ];
    let mut within = stream("a", 1..=8, "v1");
    within.body = within.body.replacen("v1", "v2", 1);
    for calls in [over_tries, third_try, vec![within]] {
        let record = record(calls, Vec::new());
        expect_that!(found(&record), contains(eq(&Promise::OneVersion)));
    }
}

/// Only the crash of an endpoint whose answer was to end with its connection explains a stream that ends early, between two
/// events.
#[gtest]
fn verify_a_stream_that_ends_early_is_noticed_unless_its_end_was_unmarked_and_its_endpoint_crashed()
{
    let run = |unmarked, what, replica: &str, body: &str| {
        let begun = RequestEvent {
            unmarked,
            ..note("a", 10_010)
        };
        let end = RequestEvent {
            what,
            replica: replica.to_owned(),
            ..note("b", 10_040)
        };
        let short = Call {
            whole: true,
            body: body.to_owned(),
            ..call("a", Kind::Talk)
        };
        found(&record(vec![short], vec![begun, end]))
    };
    let first = "id: 1\ndata: piece 1 of a\n\n";
    let crashed = RequestEventKind::Crashed;
    expect_that!(run(true, crashed, "i-0-0", first), is_empty());
    expect_that!(
        run(false, crashed, "i-0-0", first),
        elements_are![eq(&Promise::Own)]
    );
    expect_that!(
        run(true, crashed, "i-1-0", first),
        elements_are![eq(&Promise::Own)]
    );
    expect_that!(
        run(true, RequestEventKind::Broke, "i-0-0", first),
        elements_are![eq(&Promise::Own)]
    );
    expect_that!(
        run(true, crashed, "i-0-0", &first[..20]),
        elements_are![eq(&Promise::Own)]
    );
    let of_another = "id: 1\ndata: piece 1 of b\n\n";
    expect_that!(
        run(true, crashed, "i-0-0", of_another),
        elements_are![eq(&Promise::Own)]
    );
}

#[gtest]
fn verify_a_gap_before_a_stream_that_is_taken_up_is_noticed() {
    let mut gap = taken_up("a", "b", 5..=8, "v1");
    gap.resumes = Some(("a".to_owned(), 3));
    let record = record(vec![stream("a", 1..=3, "v1"), gap], Vec::new());
    expect_that!(found(&record), contains(eq(&Promise::Own)));
}

#[gtest]
fn verify_streams_that_are_not_taken_up_are_noticed() {
    let members = |versions: &[&str]| {
        let member = |(n, version): (usize, &&str)| Member {
            replica: format!("i-{n}-0"),
            from: 0,
            to: None,
            build: (*version).to_owned(),
        };
        versions.iter().enumerate().map(member).collect()
    };
    let run = |streams: usize, refused: usize, versions: &[&str]| {
        let calls = (0..streams).flat_map(|n| {
            let (began, id) = (format!("a{n}"), format!("b{n}"));
            let mut second = taken_up(&began, &id, 4..=8, "v1");
            if n < refused {
                second.status = 503;
                second.body = "version_unknown\n".to_owned();
                second.whole = false;
            }
            [stream(&began, 1..=3, "v1"), second]
        });
        Record {
            members: members(versions),
            ..record(calls.collect(), Vec::new())
        }
    };
    let serving = ["v1", "v1", "v2"];
    expect_that!(
        found(&run(12, 7, &serving)),
        contains(eq(&Promise::TakenUp))
    );
    // Those at a router that is cut off from its peers don't count.
    let cut_off = |router| {
        let mut record = run(12, 7, &serving);
        record.spans.push(Span {
            target: Target::Peers(router),
            from: 9000,
            to: 20_000,
        });
        found(&record)
    };
    expect_that!(cut_off(0), is_empty());
    expect_that!(cut_off(1), contains(eq(&Promise::TakenUp)));
    expect_that!(found(&run(12, 6, &serving)), is_empty());
    expect_that!(found(&run(11, 11, &serving)), is_empty());
    // One endpoint of the version is left.
    expect_that!(found(&run(12, 12, &["v1", "v2", "v2"])), is_empty());
}

/// Makes a record of four streams that router 0 is asked to take up at 10 s: two go on, one of them at another version, one
/// is refused, one is not answered.
fn four_taken_up() -> Record {
    let ends = [(200, "v1"), (200, "v2"), (503, "v1"), (0, "v1")];
    let calls = ends
        .into_iter()
        .enumerate()
        .flat_map(|(n, (status, version))| {
            let (began, id) = (format!("a{n}"), format!("b{n}"));
            let first = Call {
                sent: 9900,
                ended: 9950,
                ..stream(&began, 1..=3, "v1")
            };
            let mut second = taken_up(&began, &id, 4..=8, version);
            second.status = status;
            if status != 200 {
                second.body.clear();
                second.whole = false;
            }
            [first, second]
        });
    record(calls.collect(), Vec::new())
}

#[gtest]
fn verify_streams_that_are_taken_up_are_counted_by_what_went_on() {
    let all = TakeUps {
        sent: 4,
        going: 2,
        refused: 1,
        joined: 1,
    };
    let counted = |record: &Record| -> BTreeMap<Phase, TakeUps> {
        let counts = take_ups(record).into_iter();
        counts.filter(|(_, count)| count.sent > 0).collect()
    };
    let in_phase = |phase| BTreeMap::from([(phase, all)]);
    let mut record = four_taken_up();
    expect_that!(counted(&record), eq(&in_phase(Phase::Calm)));
    record.releases.push(Release {
        from: 9000,
        to: Some(9950),
    });
    expect_that!(counted(&record), eq(&in_phase(Phase::Release)));
    for target in [
        Target::Paused(0),
        Target::Peers(0),
        Target::Link(0),
        Target::Store,
    ] {
        let span = Span {
            target,
            from: 8000,
            to: 9000,
        };
        let faulty = Record {
            spans: vec![span],
            ..record.clone()
        };
        expect_that!(
            counted(&faulty),
            eq(&in_phase(Phase::OutOfStep)),
            "{target:?}"
        );
    }
    let elsewhere = Span {
        target: Target::Peers(1),
        from: 8000,
        to: 9000,
    };
    record.spans.push(elsewhere);
    expect_that!(counted(&record), eq(&in_phase(Phase::Release)));
    for (all, phase) in [(false, Phase::SomeKilled), (true, Phase::AllKilled)] {
        record.kills.push(Kill { at: 9960, all });
        expect_that!(counted(&record), eq(&in_phase(phase)));
    }
}

/// A kill counts for streams that began before it, however long ago, and for others for a time.
#[gtest]
fn verify_streams_from_before_a_kill_count_as_taken_up_after_it() {
    let mut record = four_taken_up();
    record.kills.push(Kill {
        at: 5000,
        all: true,
    });
    let calm = |record: &Record| {
        take_ups(record)
            .get(&Phase::Calm)
            .map_or(0, |count| count.sent)
    };
    expect_that!(calm(&record), eq(4));
    record.calls[0].sent = 4900;
    expect_that!(calm(&record), eq(3));
}

/// Calls are recorded as they end, so a later try may come before an earlier one.
#[gtest]
fn verify_a_try_is_compared_with_those_that_were_sent_before_it() {
    let third = Call {
        sent: 10_100,
        ..taken_up("a", "c", 6..=8, "v2")
    };
    let first = Call {
        sent: 9900,
        ..stream("a", 1..=3, "v1")
    };
    let calls = vec![third, first, taken_up("a", "b", 4..=5, "v2")];
    let counts = take_ups(&record(calls, Vec::new()));
    let joined: usize = counts.values().map(|count| count.joined).sum();
    expect_that!(joined, eq(1));
}
