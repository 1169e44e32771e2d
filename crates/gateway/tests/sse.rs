//! Splitting of streams into events, however the streams are cut. The seed is fixed.

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
        TestRng,
        TestRunner, //
    },
};
use toucanturn_gateway::sse::{
    Event,
    EventSplitter, //
};

fn runner() -> TestRunner {
    let config = ProptestConfig {
        cases: 2000,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn stream() -> impl Strategy<Value = Vec<u8>> {
    let line = prop_oneof![
        Just(b"data: x".to_vec()),
        Just(b"id: 17".to_vec()),
        Just(b": comment".to_vec()),
        Just(Vec::new()),
        vec(any::<u8>(), 0..6),
    ];
    let end = prop_oneof![
        Just(&b"\n"[..]),
        Just(&b"\r\n"[..]),
        Just(&b"\r"[..]),
        Just(&b""[..])
    ];
    let lines = vec((line, end), 0..24);
    lines.prop_map(|lines| {
        let bytes = |(line, end): (Vec<u8>, &'static [u8])| [&line[..], end].concat();
        lines.into_iter().flat_map(bytes).collect()
    })
}

/// Splits a stream into lines as the format says: each ends with CR LF, LF or CR. The last one may have no end.
fn lines(stream: &[u8]) -> Vec<&[u8]> {
    let mut lines = Vec::new();
    let mut from = 0;
    let mut at = 0;
    while at < stream.len() {
        let end = match &stream[at..] {
            [b'\r', b'\n', ..] => 2,
            [b'\r' | b'\n', ..] => 1,
            _ => 0,
        };
        at += end.max(1);
        if end > 0 {
            lines.push(&stream[from..at]);
            from = at;
        }
    }
    if from < at {
        lines.push(&stream[from..]);
    }
    lines
}

/// Gets the events of a stream, each of which ends with a blank line, and the rest.
fn events(stream: &[u8]) -> (Vec<Vec<u8>>, Vec<u8>) {
    let mut events = Vec::new();
    let mut event = Vec::new();
    for line in lines(stream) {
        event.extend_from_slice(line);
        if matches!(line, b"\r\n" | b"\n" | b"\r") {
            events.push(std::mem::take(&mut event));
        }
    }
    (events, event)
}

/// Splits a stream that arrives in chunks that end at `cuts`.
fn split(stream: &[u8], cuts: &[usize]) -> (Vec<Event>, EventSplitter) {
    let mut cuts: Vec<_> = cuts.iter().map(|c| c % (stream.len() + 1)).collect();
    cuts.extend([0, stream.len()]);
    cuts.sort_unstable();
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for pair in cuts.windows(2) {
        splitter.push(&stream[pair[0]..pair[1]]);
        events.extend(std::iter::from_fn(|| splitter.next_event()));
    }
    (events, splitter)
}

/// Joins an LF that came after its CR to the event before it.
fn joined(events: &[Event]) -> Vec<Vec<u8>> {
    let mut joined: Vec<Vec<u8>> = Vec::new();
    for event in events {
        match joined.last_mut() {
            Some(last) if event.bytes == "\n" && last.ends_with(b"\r") => last.push(b'\n'),
            _ => joined.push(event.bytes.to_vec()),
        }
    }
    joined
}

/// Guards against half an event, a lost one, or an end that is taken for a whole one, now and then: it depends on where
/// the network cuts the stream.
#[gtest]
fn verify_every_cut_of_a_stream_gives_its_whole_events_and_its_true_end() {
    let cases = (stream(), vec(any::<usize>(), 0..40));
    let result = runner().run(&cases, |(stream, cuts)| {
        let (whole, rest) = events(&stream);
        let single: Vec<_> = (0..stream.len()).collect();
        for cuts in [&[], &cuts[..], &single] {
            let (found, mut splitter) = split(&stream, cuts);
            proptest::prop_assert_eq!(&joined(&found), &whole);
            proptest::prop_assert_eq!(splitter.has_partial(), !rest.is_empty());
            proptest::prop_assert_eq!(splitter.partial_len(), rest.len());
            proptest::prop_assert_eq!(splitter.rest().to_vec(), rest.clone());
        }
        Ok(())
    });
    expect_that!(result, ok(anything()));
}

/// Guards against a stream that can't be resumed, as the id of its last event was not recognised.
#[gtest]
fn verify_ids_are_found_with_any_line_end() {
    for end in ["\n", "\r\n", "\r"] {
        let stream = format!("id: 4{end}data: x{end}{end}event: y{end}id:5{end}{end}");
        let (found, _) = split(stream.as_bytes(), &[]);
        let ids: Vec<_> = found.iter().map(|e| e.id).collect();
        expect_that!(ids, eq(&vec![Some(4), Some(5)]), "{end:?}");
    }
}

/// Guards against a short text that is refused for a broken-off stream, and the other way round, where an answer states no
/// media type.
#[gtest]
fn verify_a_stream_without_a_media_type_is_told_by_its_first_line() {
    let streams = [
        "",
        "d",
        "da",
        "data",
        "data: x",
        ": c",
        "id:1\n",
        "\u{feff}id: 1",
        "\nretry: 3",
        "x-some-field: 3\rda",
    ];
    let texts = [
        "done",
        "do",
        "Error: no",
        "{\"a\": 1}",
        "x y: 3\n",
        "<p>",
        "Data: x",
    ];
    for (text, expected) in streams
        .iter()
        .map(|s| (s, true))
        .chain(texts.iter().map(|t| (t, false)))
    {
        for cuts in [vec![], vec![1], vec![2, 4]] {
            let (_, splitter) = split(text.as_bytes(), &cuts);
            expect_that!(splitter.begins_with_field(), eq(expected), "{text:?}");
        }
    }
}
