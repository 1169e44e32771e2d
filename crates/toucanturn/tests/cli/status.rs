//! `toucanturn status` against a stand-in of the operators' port.

use googletest::prelude::*;
use serde_json::json;

use crate::support::{
    Answer,
    serve,
    status,
    toucanturn,
    whole, //
};

#[gtest]
fn verify_status_shows_the_router_and_its_endpoints() {
    let endpoints = [("eng-1", "live", 12), ("eng-2", "leaving", 3)];
    let (address, seen) = serve(vec![whole(&status(5, true, &endpoints))]);
    let run = toucanturn(["status", &address.to_string()]);
    expect_that!(run.code, some(eq(0)), "{run:?}");
    for part in [
        "entry-1",
        "42",
        "eng-1     live     12",
        "eng-2     leaving  3",
    ] {
        expect_that!(run.out, contains_substring(part));
    }
    let lines = seen.lock().expect("lock");
    expect_that!(*lines, elements_are![starts_with("GET /status ")]);
}

#[gtest]
fn verify_status_as_json_keeps_what_the_router_gave() {
    let mut given = status(5, true, &[("eng-1", "live", 12)]);
    given["later"] = json!({"field": 1});
    let (address, _) = serve(vec![whole(&given)]);
    let run = toucanturn(["status", "--json", &address.to_string()]);
    expect_that!(run.code, some(eq(0)), "{run:?}");
    expect_that!(run.json(), eq(&given));
}

#[gtest]
fn verify_what_is_no_router_is_refused() {
    let answers = [
        Answer::Whole(404, "{}".to_owned()),
        Answer::Whole(200, "<html>".to_owned()),
        Answer::Whole(200, "{}".to_owned()),
        Answer::Cut,
    ];
    for answer in answers {
        let (address, _) = serve(vec![answer.clone()]);
        let run = toucanturn(["status", &address.to_string()]);
        expect_that!(run.code, some(eq(1)), "{answer:?}: {run:?}");
        expect_that!(run.err, contains_substring(address.to_string()));
    }
}

#[gtest]
fn verify_a_router_that_is_not_there_is_named() {
    let (address, _) = serve(Vec::new());
    let run = toucanturn(["status", &address.to_string()]);
    expect_that!(run.code, some(eq(1)));
    expect_that!(run.err, contains_substring(address.to_string()));
}
