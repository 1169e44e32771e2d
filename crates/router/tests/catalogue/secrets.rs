//! What must not be in the log: message text, keys, tokens.

use bytes::Bytes;
use googletest::prelude::*;
use toucanturn_core::{
    event::Event,
    request::{
        Answer,
        Attempt,
        Call,
        End, //
    },
};
use toucanturn_router::events;

use crate::{
    bench::{
        Bench,
        PREFIX, //
    },
    capture::{
        self,
        Line, //
    },
    decisions,
};

const BODY: &str = "my vitamin box is late";
const BEARER: &str = "vb_live_bearer_key_pasted_by_mistake";

/// Drives a node through a chat, a failure, and a configuration whose author pasted a bearer key.
fn drive() -> (Bench, Vec<Line>) {
    let mut bench = Bench::new();
    bench.publish(0, &decisions::document());
    // The driver's clock ticks at once; what happens before is in `placement.rs`.
    bench.feed(Event::Tick);
    let attempt = Attempt(1);
    bench.chat(Call(1));
    let answer = Answer {
        status: 200,
        body: Bytes::from_static(BODY.as_bytes()),
        ..Answer::default()
    };
    let end = End::Whole(answer.clone());
    bench.feed(Event::Ended {
        call: Call(1),
        attempt,
        end,
    });
    bench.chat(Call(2));
    let end = End::Failed(Answer {
        status: 500,
        ..answer
    });
    bench.feed(Event::Ended {
        call: Call(2),
        attempt,
        end,
    });
    let mut bad = decisions::document();
    bad["workspaces"]["vitalbox-chat"]["key_sha256"] = serde_json::json!([BEARER]);
    bench.publish(1, &bad);
    let config = bench.node.config().clone();
    let write = || {
        for decision in &bench.decisions {
            events::log(&config, Some("0198-request"), decision);
        }
    };
    let lines = capture::lines(write);
    (bench, lines)
}

fn secrets() -> Vec<String> {
    vec![
        BODY.to_owned(),
        BEARER.to_owned(),
        decisions::key_hash(),
        format!("{PREFIX}"),
        format!("{PREFIX:x}"),
    ]
}

fn expect_clean(lines: &[Line]) {
    for line in lines {
        for (field, value) in &line.fields {
            for secret in secrets() {
                let found = value.contains(&secret);
                expect_that!(found, eq(false), "{secret:?} in {field} of {line:?}");
            }
        }
    }
}

/// Symptom: a bearer key or a customer's message stands in a log that many may read. Sequence: a
/// chat is answered, another fails, and a configuration is refused because its author pasted the
/// bearer key where its hash belongs. Cause: a line that quotes what it is about.
#[gtest]
fn verify_a_node_s_decisions_show_no_text_key_or_prefix() {
    let (bench, lines) = drive();
    let variants: Vec<_> = bench.decisions.iter().map(decisions::variant).collect();
    // Placed, attempt failed, done, applied, rejected.
    for variant in [0, 4, 5, 7, 8] {
        expect_that!(variants, contains(eq(&variant)));
    }
    expect_that!(lines.len(), eq(bench.decisions.len()));
    expect_clean(&lines);
}

#[gtest]
fn verify_no_decision_s_line_shows_a_key() {
    let config = decisions::config();
    let all = decisions::all(&config);
    let lines = capture::lines(|| {
        for decision in &all {
            events::log(&config, Some("0198-request"), decision);
        }
    });
    expect_that!(lines.len(), eq(all.len()));
    expect_clean(&lines);
}
