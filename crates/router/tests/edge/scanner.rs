//! Server-sent events out of bytes, however these are cut. The seed is fixed.

use googletest::prelude::*;
use proptest::{
    collection::vec,
    prelude::{
        Just,
        ProptestConfig,
        Strategy,
        any,
        prop_oneof, //
    },
    test_runner::{
        RngAlgorithm,
        TestCaseError,
        TestRng,
        TestRunner, //
    },
};
use toucanturn_router::relay::{
    MAX_EVENT_BYTES,
    Oversize,
    Scanner, //
};

fn runner() -> TestRunner {
    let config = ProptestConfig {
        cases: 2000,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// `Seen` is what came out of a scanner.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Seen {
    events: Vec<u8>,
    done: bool,
    last: Option<u64>,
    end: std::result::Result<(), Oversize>,
}

/// Scans a stream in chunks that end at `cuts`.
fn scan(stream: &[u8], cuts: &[usize]) -> Seen {
    let mut scanner = Scanner::default();
    let mut cuts: Vec<_> = cuts.iter().map(|c| c % (stream.len() + 1)).collect();
    cuts.extend([0, stream.len()]);
    cuts.sort_unstable();
    let mut events = Vec::new();
    let mut end = Ok(());
    for pair in cuts.windows(2) {
        match scanner.push(&stream[pair[0]..pair[1]]) {
            Ok(whole) => events.extend_from_slice(&whole),
            Err(error) => {
                end = Err(error);
                break;
            }
        }
    }
    Seen {
        events,
        done: scanner.is_done(),
        last: scanner.last(),
        end,
    }
}

fn line() -> impl Strategy<Value = Vec<u8>> {
    let text = |s: &'static str| Just(s.as_bytes().to_vec());
    prop_oneof![
        text("data: [DONE]"),
        text("data:[DONE] "),
        text("data: {\"x\": 1}"),
        text("data: \u{fc}\u{1f4a9}"),
        text("id: 17"),
        text("id: x"),
        text(": comment"),
        text("event: error"),
        text(""),
        text("\r"),
        vec(any::<u8>(), 0..12),
    ]
}

fn stream() -> impl Strategy<Value = Vec<u8>> {
    let ends = prop_oneof![
        Just(&b"\n"[..]),
        Just(&b"\r\n"[..]),
        Just(&b"\n\n"[..]),
        Just(&b"\r\n\r\n"[..]),
        Just(&b"\n\r\n"[..]),
        Just(&b"\r"[..]),
        Just(&b"\r\r"[..]),
        Just(&b"\n\r"[..]),
    ];
    let lines = vec((line(), ends), 0..24);
    lines.prop_map(|lines| {
        let bytes = |(line, end): (Vec<u8>, &'static [u8])| [&line[..], end].concat();
        lines.into_iter().flat_map(bytes).collect()
    })
}

/// Symptom: a caller gets half an event, one event twice, or no end of its stream, now and then.
/// Cause: a rule that depends on where the network cuts the stream.
#[gtest]
fn verify_every_cut_of_a_stream_gives_the_same_events_and_end() {
    let cases = (stream(), vec(any::<usize>(), 0..40));
    let result = runner().run(&cases, |(stream, cuts)| {
        let whole = scan(&stream, &[]);
        let single: Vec<_> = (0..stream.len()).collect();
        for cuts in [&cuts, &single] {
            let cut = scan(&stream, cuts);
            proptest::prop_assert_eq!(&cut, &whole);
        }
        Ok(())
    });
    expect_that!(result, ok(anything()));
}

/// Guards against a stream whose end mark is not seen: lines may end in CR.
#[gtest]
fn verify_the_end_mark_is_seen_with_any_line_end() {
    for end in ["\n", "\r\n", "\r"] {
        let stream = format!("id: 7{end}data: [DONE]{end}{end}");
        let seen = scan(stream.as_bytes(), &[]);
        expect_that!((seen.done, seen.last), eq((true, Some(7))), "{end:?}");
        expect_that!(seen.events, eq(stream.as_bytes()), "{end:?}");
    }
}

/// Symptom: a caller gets bytes that the engine sent after the end of its answer, which may be
/// another's. Cause: events after the end mark in the same chunk.
#[gtest]
fn verify_nothing_comes_after_the_end_mark() {
    let stream = b"data: 1\n\ndata: [DONE]\n\ndata: another's\n\n";
    let seen = scan(stream, &[]);
    expect_that!(seen.done, eq(true));
    let events = String::from_utf8_lossy(&seen.events);
    expect_that!(events, eq("data: 1\n\ndata: [DONE]\n\n"));
    expect_that!(scan(stream, &[9, 23]), eq(&seen));
}

/// Symptom: an event too long breaks an answer at one time and not at another. Cause: a bound that
/// only holds for events that come in several chunks.
#[gtest]
fn verify_an_event_over_the_bound_is_refused_however_it_is_cut() {
    for (length, end) in [
        (MAX_EVENT_BYTES, Ok(())),
        (MAX_EVENT_BYTES + 1, Err(Oversize)),
    ] {
        let mut stream = b"data: 1\n\ndata: ".to_vec();
        let first = "data: 1\n\n".len();
        stream.resize(first + length - 2, b'x');
        stream.extend_from_slice(b"\n\n");
        for cuts in [vec![], vec![first], vec![20], vec![first + MAX_EVENT_BYTES]] {
            let seen = scan(&stream, &cuts);
            expect_that!(seen.end, eq(end), "{length} {cuts:?}");
        }
    }
}

/// Symptom: a router ends, or fills its memory, because an engine sends rubbish.
#[gtest]
fn verify_random_bytes_never_panic_and_stay_bounded() {
    let chunk = vec(any::<u8>(), 0..600);
    let cases = vec(chunk, 0..20);
    let result = runner().run(&cases, |chunks| {
        let mut scanner = Scanner::default();
        let (mut came, mut gone) = (0, 0);
        for chunk in &chunks {
            came += chunk.len();
            gone += scanner.push(chunk).map_or(0, |whole| whole.len());
        }
        if gone > came {
            return Err(TestCaseError::fail("more came out than went in"));
        }
        Ok(())
    });
    expect_that!(result, ok(anything()));
    // Without an end of line, what is kept must not grow for ever.
    let mut scanner = Scanner::default();
    let chunk = vec![b'x'; 64 << 10];
    let mut pushes = 0;
    while scanner.push(&chunk).is_ok() {
        pushes += 1;
        assert!(pushes <= MAX_EVENT_BYTES / chunk.len(), "no bound");
    }
}
