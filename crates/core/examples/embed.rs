//! Drives one router's decisions without any socket: docs/EMBEDDING.md shows this file.

use std::{
    error::Error,
    io::{
        self,
        Write, //
    },
};

use toucanturn_core::{
    action::Action,
    config::document,
    event::{
        Event,
        Report,
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
        Work, //
    },
    units::{
        Incarnation,
        Now,
        Revision,
        Time,
        Wall, //
    },
};

/// What operators would publish: one router, one model on two engines, one workspace.
const CONFIG: &str = r#"{
    "fleet": {"router-1": {"address": "10.0.0.1:8080", "peer_address": "10.0.0.1:8081",
        "data_center": "north-1"}},
    "models": {"assistant": {"version": "v1"}},
    "endpoints": {
        "engine-1": {"kind": "engine", "address": "10.0.1.1:9000", "data_center": "north-1",
            "models": ["assistant"]},
        "engine-2": {"kind": "engine", "address": "10.0.1.2:9000", "data_center": "north-1",
            "models": ["assistant"]}},
    "workspaces": {"catalogue": {
        "key_sha256": ["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"],
        "priority": 5, "requests_per_s": 100, "models": ["assistant"], "deadline_ms": 30000}}
}"#;

/// Reading of the monotonic clock at the first event, in milliseconds: the embedder has the clock.
const START: u64 = 60_000;

pub(crate) fn main() -> Result<(), Box<dyn Error>> {
    run(&mut io::stdout())
}

/// Leads one chat through a node and writes the actions that the node asks for.
pub(crate) fn run(out: &mut impl Write) -> Result<(), Box<dyn Error>> {
    let options = Options {
        id: Id::try_from("router-1")?,
        incarnation: Incarnation(1),
        seed: 7,
    };
    let mut node = Node::new(options, at(0));

    step(&mut node, out, at(0), publish()?)?;
    step(&mut node, out, at(50), Event::Tick)?;
    for (endpoint, _) in node.config().clone().endpoints.iter() {
        let report = Some(Report {
            incarnation: Incarnation(1),
            ..Report::default()
        });
        step(&mut node, out, at(60), Event::Polled { endpoint, report })?;
    }

    let (call, attempt) = (Call(1), Attempt(1));
    let request = chat(&node)?;
    step(&mut node, out, at(100), Event::Request { call, request })?;
    let head = Event::Head {
        call,
        attempt,
        in_flight: Some(1),
        leaving: false,
        incarnation: Some(Incarnation(1)),
    };
    step(&mut node, out, at(300), head)?;
    let end = End::Whole(Answer {
        status: 200,
        ..Answer::default()
    });
    step(&mut node, out, at(900), Event::Ended { call, attempt, end })
}

fn at(millis: u64) -> Now {
    Now {
        mono: Time(START + millis),
        wall: Wall(1_700_000_000_000 + millis),
    }
}

/// Makes the event that the configuration service's answer would give.
fn publish() -> Result<Event, Box<dyn Error>> {
    let parts = document::split(CONFIG.as_bytes()).map_err(|faults| format!("{faults:?}"))?;
    let entry = |(key, value)| Entry {
        key,
        revision: Revision(1),
        value: Some(value),
    };
    Ok(Event::Publish {
        source: Source::Service,
        change: Change {
            since: Revision(0),
            revision: Revision(1),
            floor: None,
            entries: parts.into_iter().map(entry).collect(),
        },
    })
}

/// Makes the request that a chat would become after authentication and classification.
fn chat(node: &Node) -> Result<Request, Box<dyn Error>> {
    let config = node.config();
    let workspace = config.workspaces.key(&Id::try_from("catalogue")?);
    let model = config.models.key(&Id::try_from("assistant")?);
    Ok(Request {
        origin: Origin::Caller,
        workspace: workspace.ok_or("no such workspace")?,
        priority: toucanturn_core::config::Priority(5),
        work: Work::Chat {
            model: model.ok_or("no such model")?,
            prefix: Prefix(42),
            token: None,
        },
        deadline: Time(START + 30_000),
    })
}

/// Feeds one event and writes what the node wants done; an embedder would do it.
fn step(
    node: &mut Node,
    out: &mut impl Write,
    now: Now,
    event: Event,
) -> Result<(), Box<dyn Error>> {
    let mut actions = Vec::new();
    node.handle(now, event, &mut actions);
    for action in actions {
        writeln!(out, "{:>4} ms  {}", now.mono.0 - START, text(node, &action))?;
    }
    Ok(())
}

fn text(node: &Node, action: &Action) -> String {
    let name = |key| {
        let endpoint = node.config().endpoints.get(key);
        endpoint.map_or_else(String::new, |e| e.id.to_string())
    };
    match action {
        Action::Apply { revision } => format!("revision {} is in force", revision.0),
        Action::Watch { since } => format!("watch the configuration after revision {}", since.0),
        Action::ReadVms => "read the list of VMs".to_owned(),
        Action::Poll { endpoint } => format!("poll {}", name(*endpoint)),
        Action::Dispatch { call, endpoint, .. } => {
            format!("send call {} to {}", call.0, name(*endpoint))
        }
        Action::Finish { call, outcome } => format!("call {}: {outcome}", call.0),
        Action::Refuse { call, refusal } => format!("call {}: refused, {}", call.0, refusal.code),
        Action::Log(decision) => {
            let line = format!("{decision:?}");
            let kind = line.split([' ', '{']).next().unwrap_or_default();
            format!("log {kind}")
        }
        other => format!("{other:?}"),
    }
}
