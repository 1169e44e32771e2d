//! `toucanturn explain --gateway` against a stand-in of a gateway.

use googletest::prelude::*;
use serde_json::{
    Value,
    json, //
};

use crate::support::{
    Answer,
    Files,
    Run,
    serve,
    toucanturn,
    whole, //
};

fn explanation() -> Value {
    json!({
        "route": "chat", "service": "engines", "services": 1, "workspace": "one", "priority": 1,
        "version": 4, "registry_age_ms": 245, "routers": 6, "unreached_ms": null,
        "choice": {"endpoint": "e-3", "decision": "prompt_part", "among": 1, "rank": 0, "load": 2,
            "load_age_ms": 140, "limit": 7.64, "mean": 3.1, "cold": false, "at_risk": false,
            "trial": false, "holder": "e-1", "runner_up": "e-1"},
        "wait": {"endpoint": "e-3", "last_ms": 120, "last_age_ms": 80, "silence_ms": 1000,
            "at_most_ms": 4000},
        "refusal": null,
        "others": [{"endpoint": "e-2", "reason": "backing_off", "left_ms": 1500,
            "load": 0, "limit": 7.6, "latency_ms": 88.4}],
        "more": [{"reason": "over_limit", "endpoints": ["e-8", "e-9"]}], "of_a_later_version": 1
    })
}

fn refusal() -> Value {
    let mut refused = explanation();
    refused["choice"] = Value::Null;
    refused["wait"] = Value::Null;
    refused["refusal"] = json!({"cause": "warming_up", "retry_after_ms": 850});
    refused
}

/// Asks a stand-in; gives the run and the request line that the stand-in got.
#[expect(clippy::expect_used, reason = "a test whose stand-in failed fails")]
fn ask(answer: Answer, args: &[&str]) -> (Run, String) {
    let (address, seen) = serve(vec![answer]);
    let address = address.to_string();
    let run = toucanturn(["explain", "--gateway", &address].iter().chain(args));
    let lines = seen.lock().expect("lock");
    (run, lines.first().cloned().unwrap_or_default())
}

#[gtest]
fn verify_the_question_names_the_request_and_the_answer_is_told() {
    let args = [
        "--route",
        "chat a&b",
        "--workspace",
        "one",
        "--parts",
        "a1:100,b2:20",
    ];
    let (run, line) = ask(whole(&explanation()), &args);
    expect_that!(run.code, some(eq(0)), "{run:?}");
    let asked = "GET /explain?route=chat%20a%26b&workspace=one&parts=a1%3A100%2Cb2%3A20 HTTP/1.1";
    expect_that!(line, eq(asked));
    for part in [
        "choice     e-3 by its prompt's part, rank 0\n",
        "load       2, 140 ms old, passed over from 7.6; mean 3.1",
        "runner-up  e-1",
        "waits for  the answer of e-3, at most 4000 ms, the next endpoint after 1000 ms of silence",
        "the last one began after 120 ms, 80 ms ago",
        "configuration 4, registry read 245 ms ago, 6 routers",
        "e-2       backing off  1500 ms",
        "over limit, too: e-8 e-9\n",
    ] {
        expect_that!(run.out, contains_substring(part));
    }
}

#[gtest]
fn verify_json_is_the_gateway_s_answer() {
    let (run, _) = ask(whole(&explanation()), &["--route", "chat", "--json"]);
    expect_that!(run.code, some(eq(0)));
    expect_that!(run.json(), eq(&explanation()));
}

#[gtest]
fn verify_a_refusal_is_a_no_with_its_time() {
    let (run, _) = ask(whole(&refusal()), &["--route", "chat"]);
    expect_that!(run.code, some(eq(1)));
    let told = "refused    not run: warming up; retry after 850 ms, spread at random";
    expect_that!(run.out, contains_substring(told));
}

#[gtest]
fn verify_a_recorded_request_is_asked_for_as_it_was_placed() {
    let files = Files::new();
    let line = |event: u64, id: &str, route: &str| {
        json!({"timestamp": "2026-01-01T00:00:00Z", "level": "INFO", "message": "placed",
            "event": event, "id": id, "route": route, "workspace": "one", "prompt": 850})
    };
    let lines = [
        line(610, "a1", "chat"),
        line(610, "a2", "other"),
        line(611, "a1", "x"),
    ];
    let log = files.write("r1.log", lines.map(|l| format!("host {l}")).join("\n"));
    let args = ["--id", "a1", "--log", &log, "--parts", "a1:9"];
    let (run, asked) = ask(whole(&explanation()), &args);
    expect_that!(run.code, some(eq(0)), "{run:?}");
    let query = "/explain?route=chat&workspace=one&parts=a1%3A9&tokens=850 ";
    expect_that!(asked, contains_substring(query));
    expect_that!(run.out, not(contains_substring("no parts")));
    let (run, _) = ask(whole(&explanation()), &["--id", "a1", "--log", &log]);
    expect_that!(run.out, contains_substring("The log names no parts"));
    let (run, asked) = ask(whole(&explanation()), &["--id", "a9", "--log", &log]);
    expect_that!(run.code, some(eq(1)));
    expect_that!(run.err, contains_substring("a9"));
    expect_that!(asked, eq(""));
}

/// Guards against a held-back request whose cause is in the log but not in the question, or not told.
#[gtest]
fn verify_a_held_back_request_is_asked_for_with_its_content_and_parts() {
    let files = Files::new();
    let line = |event: u64, id: &str, fields: Value| {
        let mut line = json!({"timestamp": "2026-01-01T00:00:00Z", "level": "WARN",
            "message": "m", "event": event, "id": id});
        for (name, value) in fields.as_object().into_iter().flatten() {
            line[name] = value.clone();
        }
        line.to_string()
    };
    let content = "0102030405060708090a0b0c";
    let part = "00000000000000aa";
    let both = "00000000000000aa,00000000000000bb";
    let by = json!({"route": "chat", "workspace": "one", "cause": "quarantined"});
    let lines = [
        line(
            610,
            "a1",
            json!({"route": "chat", "workspace": "one", "prompt": 850}),
        ),
        line(611, "a1", json!({"content": content, "parts": both})),
        line(621, "a2", json!({"content": content})),
        line(620, "a2", by.clone()),
        line(622, "a3", json!({"part": part})),
        line(620, "a3", by),
        line(620, "a4", json!({"cause": "not_ready"})),
    ];
    let log = files.write("r1.log", lines.join("\n"));
    let mut held = refusal();
    held["held"] = json!([
        {"by": "content", "part": null, "place": null, "left_ms": 3200, "crashes": [
            {"endpoint": "e-1", "age_ms": 1800, "observed_here": true},
            {"endpoint": "e-2", "age_ms": 900, "observed_here": false}]},
        {"by": "prompt_part", "part": part, "place": 2, "left_ms": 0, "crashes": []}]);
    let asked = |id| ask(whole(&held), &["--id", id, "--log", &log]);
    let (run, question) = asked("a1");
    let of = format!("&hashes=00000000000000aa%2C00000000000000bb&content={content}&tokens=850 ");
    expect_that!(question, contains_substring(of));
    expect_that!(run.out, not(contains_substring("The log names no parts")));
    let told = "held for   its content: endpoints ended: e-1 1800 ms ago, seen here; e-2 900 ms ago, \
        seen elsewhere; a trial after 3200 ms at the earliest\n";
    expect_that!(run.out, contains_substring(told));
    let told = "held for   part 00000000000000aa, number 2: ";
    expect_that!(run.out, contains_substring(told));
    let (_, question) = asked("a2");
    let of = format!("route=chat&workspace=one&content={content} ");
    expect_that!(question, contains_substring(of));
    let (_, question) = asked("a3");
    let of = format!("route=chat&workspace=one&hashes={part} ");
    expect_that!(question, contains_substring(of));
    let (run, question) = asked("a4");
    expect_that!(run.code, some(eq(1)));
    expect_that!(question, eq(""));
    let args = ["--id", "a1", "--log", &log, "--parts", "a1:9"];
    let (_, question) = ask(whole(&held), &args);
    expect_that!(question, not(contains_substring("hashes")));
}

#[gtest]
fn verify_malformed_numbers_and_parts_are_named_and_nothing_is_asked() {
    let wrong: [&[&str]; 8] = [
        &["--content", "0102"],
        &["--content", "0102030405060708090a0bzz"],
        &["--hashes", "aa"],
        &["--tokens", "many"],
        &["--tokens=-1"],
        &["--tokens", "1,2,3"],
        &["--deadline", "3s"],
        &["--parts", "zz:1"],
    ];
    for args in wrong {
        let args = [&["--route", "chat"], args].concat();
        let (run, asked) = ask(whole(&explanation()), &args);
        expect_that!(run.code, some(eq(1)), "{args:?}: {run:?}");
        expect_that!(run.err, contains_substring(": expected "), "{args:?}");
        expect_that!(asked, eq(""), "{args:?}");
    }
}

/// Guards against a key that reaches a gateway, its log or a terminal.
#[gtest]
fn verify_options_that_do_not_go_with_a_gateway_are_wrong_usage() {
    let wrong: [&[&str]; 8] = [
        &[],
        &[
            "--route",
            "chat",
            "--parts",
            "a1:1",
            "--hashes",
            "00000000000000aa",
        ],
        &["--route", "chat", "--key", "secret-of-one"],
        &["--route", "chat", "--config", "config.json"],
        &["--route", "chat", "--host", "h", "--path", "/"],
        &["--host", "h"],
        &["--id", "a1"],
        &["--route", "chat", "--log", "r1.log"],
    ];
    for args in wrong {
        let (run, asked) = ask(whole(&explanation()), args);
        expect_that!(run.code, some(eq(2)), "{args:?}: {run:?}");
        expect_that!(run.err, not(contains_substring("secret-of-one")));
        expect_that!(asked, eq(""), "{args:?}");
    }
    let run = toucanturn(["explain", "--route", "chat"]);
    expect_that!(run.code, some(eq(2)), "{run:?}");
}

#[gtest]
fn verify_a_gateway_that_is_away_or_knows_no_such_route_is_an_error() {
    let unknown = json!({"error": "no published route has this name"});
    let not_a_gateway = "is this the address of a gateway's metrics?";
    let answers = [
        (
            Answer::Whole(404, unknown.to_string()),
            "no published route has this name",
        ),
        (Answer::Whole(404, String::new()), not_a_gateway),
        (Answer::Whole(200, "{}".to_owned()), "is not a router's"),
        (Answer::Cut, "no answer from the router"),
    ];
    for (answer, said) in answers {
        let (run, _) = ask(answer.clone(), &["--route", "chat"]);
        expect_that!(run.code, some(eq(1)), "{answer:?}");
        expect_that!(run.err, contains_substring(said), "{answer:?}");
        expect_that!(run.out, eq(""));
    }
    let (address, _) = serve(Vec::new());
    let address = address.to_string();
    let run = toucanturn(["explain", "--gateway", &address, "--route", "key-of-one"]);
    expect_that!(run.code, some(eq(1)));
    expect_that!(run.err, contains_substring(address));
    expect_that!(run.err, not(contains_substring("key-of-one")));
}
