//! What must not be in the log: message text, keys, tokens.

use bytes::Bytes;
use googletest::prelude::*;
use toucanturn_core::{
    action::{
        Action,
        Decision, //
    },
    config::{
        Priority,
        document, //
    },
    event::{
        Event,
        Source, //
    },
    ids::Id,
    node::{
        Node,
        Options, //
    },
    peer::{
        Change,
        Entry, //
    },
    request::{
        Answer,
        Attempt,
        Call,
        End,
        Origin,
        Prefix,
        Request,
        Token,
        Work, //
    },
    units::{
        Incarnation,
        Millis,
        Now,
        Revision,
        Time,
        Wall, //
    },
};
use toucanturn_router::events;

use crate::{
    capture::{
        self,
        Line, //
    },
    decisions,
};

const BODY: &str = "my vitamin box is late";
const PREFIX: u64 = 0x1234_5678_9abc_def0;
const BEARER: &str = "vb_live_bearer_key_pasted_by_mistake";

/// `Bench` is a node and the decisions that came out of it.
struct Bench {
    node: Node,
    now: Now,
    decisions: Vec<Decision>,
}

impl Bench {
    #[expect(clippy::expect_used, reason = "a test without a node fails")]
    fn new() -> Self {
        let now = Now {
            mono: Time(1000),
            wall: Wall(1_700_000_000_000),
        };
        let options = Options {
            id: Id::try_from("entry-1").expect("a name"),
            incarnation: Incarnation(1),
            seed: 1,
        };
        Self {
            node: Node::new(options, now),
            now,
            decisions: Vec::new(),
        }
    }

    fn feed(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.now = self.now + Millis(10);
        self.node.handle(self.now, event, &mut actions);
        for action in actions {
            if let Action::Log(decision) = action {
                self.decisions.push(decision);
            }
        }
    }

    #[expect(clippy::expect_used, reason = "a test without a configuration fails")]
    fn publish(&mut self, since: u64, document: &serde_json::Value) {
        let revision = Revision(since + 1);
        let parts = document::split(document.to_string().as_bytes()).expect("a document");
        let entry = |(key, value)| Entry {
            key,
            revision,
            value: Some(value),
        };
        let change = Change {
            since: Revision(since),
            revision,
            entries: parts.into_iter().map(entry).collect(),
            ..Change::default()
        };
        let source = Source::Service;
        self.feed(Event::Publish { source, change });
    }

    #[expect(clippy::expect_used, reason = "a test without its names fails")]
    fn chat(&mut self, call: Call) {
        let config = self.node.config();
        let (workspace, _) = config.workspaces.iter().next().expect("a workspace");
        let (model, _) = config.models.iter().next().expect("a model");
        let (_, engine) = config.endpoints.iter().next().expect("an engine");
        let token = Token {
            last: engine.tag,
            ..Token::default()
        };
        let request = Request {
            origin: Origin::Caller,
            workspace,
            priority: Priority(7),
            work: Work::Chat {
                model,
                prefix: Prefix(PREFIX),
                token: Some(token),
            },
            deadline: self.now.mono + Millis(10_000),
        };
        self.feed(Event::Request { call, request });
    }
}

/// Drives a node through a chat, a failure, and a configuration whose author pasted a bearer key.
fn drive() -> (Bench, Vec<Line>) {
    let mut bench = Bench::new();
    bench.publish(0, &decisions::document());
    // The driver's clock lets the node see the endpoints' states.
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
