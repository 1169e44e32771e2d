//! docs/EVENTS.md and the events.

use std::{
    collections::BTreeSet,
    net::SocketAddr, //
};

use googletest::prelude::*;
use strum::IntoEnumIterator;
use toucanturn_core::{
    ids::Tag,
    orders::HoldReason,
    request::{
        Call,
        Code,
        Reason, //
    },
};
use toucanturn_router::events::{
    self,
    Number,
    TARGET, //
};

use crate::{
    capture::{
        self,
        Line, //
    },
    decisions,
    page,
    source, //
};

/// `Entry` is a row of the catalogue.
#[derive(Debug)]
struct Entry {
    number: u16,
    name: String,
    level: String,
    required: BTreeSet<String>,
    optional: BTreeSet<String>,
}

fn entries() -> Vec<Entry> {
    let rows = page::table(&page::read("EVENTS.md"), "# Log events");
    rows.iter().map(|row| entry(row)).collect()
}

fn entry(row: &[String]) -> Entry {
    let cell = |i: usize| row.get(i).cloned().unwrap_or_default();
    let (mut required, mut optional) = (BTreeSet::new(), BTreeSet::new());
    for field in cell(3).split_whitespace() {
        match field.strip_suffix('?') {
            Some(field) => optional.insert(field.trim_matches('`').to_owned()),
            None => required.insert(field.trim_matches('`').to_owned()),
        };
    }
    Entry {
        number: cell(0).parse().unwrap_or_default(),
        name: cell(1),
        level: cell(2),
        required,
        optional,
    }
}

/// Gets every line that the router can write, each decision with and without a request's id.
fn lines() -> Vec<Line> {
    let config = decisions::config();
    let write = || {
        for decision in decisions::all(&config) {
            let id = events::call(&decision).map(|_| "0198-request");
            events::log(&config, id, &decision);
            events::log(&config, None, &decision);
        }
        let (from, to) = (decisions::id("eng-1"), decisions::id("eng-2"));
        events::not_imported(&from, &to, &"status 500");
        events::denied("0198-request", 401, "unauthorized");
        events::vms_unread(&"the platform did not answer");
        events::unread(&"the platform did not answer");
        let error = toucanturn_wire::Error::Version { found: 9 };
        events::peer_rejected(Tag(7), &error);
        let failure = "connection refused";
        events::not_forwarded("0198-request", Call(17), false, &failure);
        events::peer_unreached(Tag(7), SocketAddr::from(([10, 0, 0, 2], 81)), &failure);
        events::peer_port_closed(&failure);
        events::cut(3);
    };
    capture::lines(write)
}

fn fields(line: &Line) -> BTreeSet<String> {
    let own = |name: &&String| !["event", "label"].contains(&name.as_str());
    line.fields.keys().filter(own).cloned().collect()
}

#[gtest]
fn verify_every_event_is_in_the_catalogue_and_every_entry_is_an_event() {
    let event = |n: Number| (n.code(), n.label().to_owned());
    let code: Vec<_> = Number::iter().map(event).collect();
    let page: Vec<_> = entries().into_iter().map(|e| (e.number, e.name)).collect();
    expect_that!(page, container_eq(code));
}

#[gtest]
fn verify_every_decision_has_an_example() {
    let all = decisions::all(&decisions::config());
    let seen: BTreeSet<usize> = all.iter().map(decisions::variant).collect();
    expect_that!(seen, eq(&(0..decisions::VARIANTS).collect::<BTreeSet<_>>()));
}

#[gtest]
fn verify_every_event_is_written_with_the_fields_and_level_of_the_catalogue() {
    let lines = lines();
    for entry in entries() {
        let number = entry.number.to_string();
        let of_event = lines.iter().filter(|l| l.field("event") == number);
        let mut seen = 0;
        let mut all = BTreeSet::new();
        let mut always = entry.required.union(&entry.optional).cloned().collect();
        for line in of_event {
            seen += 1;
            expect_that!(line.target, eq(TARGET));
            expect_that!(line.field("label"), eq(entry.name.as_str()));
            let level = line.level.to_string().to_lowercase();
            expect_that!(level, eq(&entry.level), "{number}");
            let fields = fields(line);
            all.extend(fields.iter().cloned());
            always = fields.intersection(&always).cloned().collect();
        }
        expect_that!(seen, gt(0), "{number} is never written");
        let page: BTreeSet<String> = entry.required.union(&entry.optional).cloned().collect();
        expect_that!(all, eq(&page), "fields of {number}");
        expect_that!(always, eq(&entry.required), "fields of every {number}");
    }
}

#[gtest]
fn verify_no_line_lacks_a_name() {
    for line in lines() {
        for (field, value) in &line.fields {
            expect_that!(value, not(eq("")), "{field} of {line:?}");
        }
    }
}

#[gtest]
fn verify_every_reason_is_in_the_catalogue() {
    let page = page::read("EVENTS.md");
    let names = |start| {
        let rows = page::table(&page, start).into_iter();
        rows.filter_map(|row| row.into_iter().next())
            .collect::<Vec<_>>()
    };
    let reasons: Vec<_> = Reason::iter().map(|r| r.to_string()).collect();
    expect_that!(names("Of a placement"), container_eq(reasons));
    let codes: Vec<_> = Code::iter().map(|c| c.to_string()).collect();
    expect_that!(names("Of a refusal"), container_eq(codes));
    let holds: Vec<_> = HoldReason::iter().map(|h| h.to_string()).collect();
    expect_that!(names("Of an order that is held"), container_eq(holds));
}

/// Symptom: the log has a line that no page explains and no alarm knows. Cause: a line written
/// beside [`events`] needs no number.
#[gtest]
fn verify_no_line_is_written_elsewhere() {
    let macros = [
        "trace!(",
        "debug!(",
        "info!(",
        "warn!(",
        "error!(",
        "println!(",
    ];
    for (path, text) in source::files("events.rs") {
        let code = |line: &str| !line.trim_start().starts_with("//");
        for (i, line) in text.lines().enumerate().filter(|(_, l)| code(l)) {
            let at = format!("{}:{}", path.display(), i + 1);
            let writes = macros.iter().any(|m| line.contains(m));
            expect_that!(writes, eq(false), "{at}: {line}");
        }
    }
}
