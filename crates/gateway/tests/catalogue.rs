//! docs/EVENTS.md, docs/METRICS.md and the code.

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
    let folder = fs::read_dir(root().join("src")).expect("it is a folder");
    let files = folder.map(|e| fs::read_to_string(e.expect("it is readable").path()));
    files.map(|f| f.expect("it is text")).collect()
}

/// Gets the section on the gateway of a page.
fn section(page: &str) -> String {
    let text = fs::read_to_string(root().join("../../docs").join(page)).expect("it is a page");
    let (_, section) = text.split_once("## Of the gateway").expect("it has one");
    section.to_owned()
}

/// Gets the first column of the section's first table.
fn listed(page: &str) -> BTreeSet<String> {
    let section = section(page);
    let rows = section.lines().skip_while(|l| !l.starts_with("|---"));
    let rows = rows.skip(1).take_while(|l| l.starts_with('|'));
    let cells = rows.filter_map(|l| l.split('|').nth(1));
    cells.map(|c| c.trim().to_owned()).collect()
}

/// Gets what stands between `before` and `after` wherever they occur.
fn named(text: &str, before: &str, after: char) -> BTreeSet<String> {
    let parts = text.split(before).skip(1);
    let names = parts.filter_map(|p| p.split(after).next());
    names.map(|n| n.trim().to_owned()).collect()
}

#[gtest]
fn verify_every_event_is_listed_and_no_other() {
    let written = named(&source(), "event = ", ',');
    expect_that!(written, eq(&listed("EVENTS.md")));
}

#[gtest]
fn verify_every_metric_is_listed_and_no_other() {
    let text = source();
    let mut written = named(&text, "metrics.count(\"", '"');
    written.extend(named(&text, "metrics.time(\"", '"'));
    expect_that!(written, eq(&listed("METRICS.md")));
}

#[gtest]
fn verify_every_cause_is_explained() {
    use strum::IntoEnumIterator as _;
    let section = section("EVENTS.md");
    for cause in toucanturn_core::gateway::refusal::Cause::iter() {
        expect_that!(section, contains_substring(format!("| {cause} |")));
    }
}
