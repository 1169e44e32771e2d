//! A node and the decisions that come out of it.

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
        Call,
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

/// Prefix of every chat.
pub(crate) const PREFIX: u64 = 0x1234_5678_9abc_def0;

/// `Bench` is a node and the decisions that came out of it.
pub(crate) struct Bench {
    pub(crate) node: Node,
    now: Now,
    pub(crate) decisions: Vec<Decision>,
}

impl Bench {
    #[expect(clippy::expect_used, reason = "a test without a node fails")]
    pub(crate) fn new() -> Self {
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

    pub(crate) fn feed(&mut self, event: Event) {
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
    pub(crate) fn publish(&mut self, since: u64, document: &serde_json::Value) {
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
    pub(crate) fn chat(&mut self, call: Call) {
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
