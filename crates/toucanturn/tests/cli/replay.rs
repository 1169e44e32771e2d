//! `toucanturn replay`: a trace against its stated outcome.

use googletest::prelude::*;
use serde_json::{
    Value,
    json, //
};

use crate::support::{
    Files,
    config,
    toucanturn, //
};

/// Gets a setup of two routers and three engines, with an outcome to come.
#[expect(clippy::expect_used, reason = "a test without a setup fails")]
fn setup(expect: &Value) -> Value {
    let config = config();
    let mut publish = serde_json::Map::new();
    for (section, value) in config.as_object().expect("an object") {
        if section == "policy" || section == "fleet" {
            publish.insert(section.clone(), value.clone());
            continue;
        }
        for (name, value) in value.as_object().expect("an object") {
            publish.insert(format!("{section}/{name}"), value.clone());
        }
    }
    let engine = json!({"cache_tokens": 100_000});
    json!({
        "name": "small", "seed": 1, "until": 10_000, "routers": ["entry-1", "entry-2", "entry-3"],
        "engines": {"eng-1": engine, "eng-2": engine, "eng-3": engine},
        "report_lag": 500, "latency": 1, "publish": publish, "expect": expect
    })
}

fn request(at: u64, router: usize, chat: u64) -> Value {
    json!({"at": at, "do": {"request": {
        "router": router, "workspace": "vitalbox-chat", "for": "assistant", "chat": chat,
        "tokens": 100, "ms": 50
    }}})
}

/// Gets a trace in which ten chats come and return.
#[expect(clippy::expect_used, reason = "a test without a trace fails")]
fn trace(expect: &Value) -> String {
    let mut lines = vec![setup(expect).to_string()];
    for i in 0..40 {
        let router = usize::try_from(i % 3).expect("small");
        lines.push(request(2000 + 150 * i, router, i % 10).to_string());
    }
    lines.join("\n") + "\n"
}

#[gtest]
fn verify_a_stated_outcome_that_comes_about_is_a_yes() {
    let files = Files::new();
    let path = files.write("trace.jsonl", trace(&json!({"refused": 0, "revision": 1})));
    let run = toucanturn(["replay", &path]);
    expect_that!(run.code, some(eq(0)), "{run:?}");
    expect_that!(run.out, contains_substring("trace small"));
    expect_that!(run.out, contains_substring("stated outcomes: met"));
    // Progress is for terminals.
    expect_that!(run.err, eq(""));
}

#[gtest]
fn verify_a_stated_outcome_that_does_not_come_about_is_a_no() {
    let files = Files::new();
    let path = files.write("trace.jsonl", trace(&json!({"revision": 7})));
    let run = toucanturn(["replay", &path]);
    expect_that!(run.code, some(eq(1)), "{run:?}");
    expect_that!(run.out, contains_substring("revision: expected 7"));
}

#[gtest]
fn verify_the_json_has_every_placement_and_is_the_same_each_time() {
    let files = Files::new();
    let path = files.write("trace.jsonl", trace(&json!({})));
    let run = toucanturn(["replay", "--json", &path]);
    expect_that!(run.code, some(eq(0)), "{run:?}");
    let json = run.json();
    expect_that!(json["met"], eq(&json!(true)));
    let placements = json["placements"].as_array().cloned().unwrap_or_default();
    expect_that!(placements.len(), gt(1));
    expect_that!(placements[0]["placement"], eq(&json!("toucanturn")));
    expect_that!(placements[0]["requests"], eq(&json!(40)));
    expect_that!(toucanturn(["replay", "--json", &path]).out, eq(&run.out));
}

#[gtest]
fn verify_a_trace_that_is_none_is_refused_with_its_line() {
    let good = setup(&json!({})).to_string();
    let bad = [
        (String::new(), "found an empty file"),
        ("{}\n".to_owned(), "line 1"),
        (format!("{good}\nrubbish\n"), "line 2"),
        (
            format!("{good}\n{}\n{}\n", request(9, 0, 1), request(8, 0, 1)),
            "line 3",
        ),
    ];
    let files = Files::new();
    for (text, part) in bad {
        let path = files.write("trace.jsonl", text);
        let run = toucanturn(["replay", &path]);
        expect_that!(run.code, some(eq(1)), "{run:?}");
        expect_that!(run.err, contains_substring(part));
        expect_that!(run.err, contains_substring(path.as_str()));
    }
}

/// Symptom: the tool ends with a panic. Cause: a line names a router that the setup lacks, and the
/// replay takes its index as it is.
#[gtest]
fn verify_a_router_that_the_setup_lacks_is_refused_with_its_line() {
    let lines = [
        request(1, 3, 1),
        json!({"at": 1, "do": {"vms": {"routers": [0, 9], "vms": {}}}}),
        json!({"at": 1, "do": {"pause": {"router": 3, "ms": 1}}}),
        json!({"at": 1, "do": {"restart": {"router": 3}}}),
        json!({"at": 1, "do": {"partition": {"groups": [[0], [1, 7]]}}}),
    ];
    let files = Files::new();
    for line in lines {
        let path = files.write("trace.jsonl", format!("{}\n{line}\n", setup(&json!({}))));
        let run = toucanturn(["replay", &path]);
        expect_that!(run.code, some(eq(1)), "{run:?}");
        expect_that!(
            run.err,
            contains_substring("line 2: expected a router below 3")
        );
    }
}
