//! Checks that docs/EVENTS.md and docs/METRICS.md list exactly the events, metrics and causes of refusal in the code.

#![expect(clippy::expect_used, reason = "a test fails by its panic")]

use std::{
    collections::BTreeSet,
    fs,
    path::Path, //
};

use googletest::prelude::*;

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn source() -> String {
    text_of(&root().join("src"))
}

/// Returns the text of all files in a folder and the folders within it.
fn text_of(folder: &Path) -> String {
    let entries = fs::read_dir(folder).expect("src is a readable folder");
    let paths = entries.map(|e| e.expect("a folder entry is readable").path());
    let texts = paths.map(|path| {
        if path.is_dir() {
            text_of(&path)
        } else {
            fs::read_to_string(path).expect("a source file is UTF-8")
        }
    });
    texts.collect()
}

/// Returns the section about the gateway of a page in docs.
fn section(page: &str) -> String {
    let text = fs::read_to_string(root().join("../../docs").join(page)).expect("the page exists");
    let (_, section) = text
        .split_once("## Of the gateway")
        .expect("the page has a section about the gateway");
    section.to_owned()
}

/// Returns the first column of the first table in the section about the gateway.
fn first_column(page: &str) -> BTreeSet<String> {
    let section = section(page);
    let rows = section.lines().skip_while(|l| !l.starts_with("|---"));
    let rows = rows.skip(1).take_while(|l| l.starts_with('|'));
    let cells = rows.filter_map(|l| l.split('|').nth(1));
    cells.map(|c| c.trim().to_owned()).collect()
}

/// Returns the texts between each `before` and the next `after`.
fn texts_between(text: &str, before: &str, after: char) -> BTreeSet<String> {
    let parts = text.split(before).skip(1);
    let names = parts.filter_map(|p| p.split(after).next());
    names.map(|n| n.trim().to_owned()).collect()
}

#[gtest]
fn verify_every_event_is_listed_and_no_other() {
    let in_code = texts_between(&source(), "event = ", ',');
    expect_that!(in_code, eq(&first_column("EVENTS.md")));
}

#[gtest]
fn verify_every_metric_is_listed_and_no_other() {
    let text = source();
    let mut in_code = texts_between(&text, "metrics.count(\"", '"');
    in_code.extend(texts_between(&text, "metrics.time(\"", '"'));
    in_code.extend(texts_between(&text, "metrics.gauge(\"", '"'));
    expect_that!(in_code, eq(&first_column("METRICS.md")));
}

#[gtest]
fn verify_every_cause_is_explained() {
    use strum::IntoEnumIterator as _;
    let section = section("EVENTS.md");
    for cause in toucanturn_core::gateway::refusal::Cause::iter() {
        expect_that!(section, contains_substring(format!("| {cause} |")));
    }
}
