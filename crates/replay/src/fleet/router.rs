//! One router of a replay, and its callers' requests as it classifies them.

use indexmap::IndexMap;
use toucanturn_core::{
    ids::Id,
    node::{
        Node,
        Options, //
    },
    request::{
        Call,
        Key,
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
        Time,
        Wall, //
    },
};

use crate::trace;

/// Wall-clock time at the start of every replay.
pub(super) const WALL: u64 = 1_750_000_000_000;
/// Time that a caller gives each request.
const DEADLINE: Millis = Millis(60_000);

/// `Open` is a call that a router has not ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Open {
    /// Index of the trace's line.
    pub(super) line: usize,
    /// Token that goes to the caller with the answer.
    pub(super) token: Option<Token>,
    /// Engine whose KV cache is imported before the next attempt.
    pub(super) import_from: Option<usize>,
    /// The peer's index, life and call, where a peer forwarded it.
    pub(super) from: Option<((usize, u64), Call)>,
}

/// `Router` is one node with its driver's memory.
#[derive(Debug)]
pub(super) struct Router {
    pub(super) node: Node,
    pub(super) id: Id,
    pub(super) life: u64,
    pub(super) paused_until: u64,
    pub(super) calls: IndexMap<Call, Open>,
}

impl Router {
    pub(super) fn new(id: Id, seed: u64, index: usize, life: u64, now: u64) -> Self {
        let options = Options {
            id: id.clone(),
            incarnation: Incarnation(life),
            seed: seed ^ (index as u64) << 32 ^ life,
        };
        Self {
            node: Node::new(options, now_at(now)),
            id,
            life,
            paused_until: 0,
            calls: IndexMap::new(),
        }
    }
}

/// Gets both clocks.
pub(super) fn now_at(now: u64) -> Now {
    Now {
        mono: Time(now),
        wall: Wall(WALL + now),
    }
}

/// Makes the checked request; `None` where the configuration in force doesn't know what it names.
pub(super) fn classify(
    node: &Node,
    asked: &trace::Request,
    token: Option<Token>,
    origin: Origin,
    (now, sent): (Now, Wall),
) -> Option<Request> {
    let config = node.config();
    let id = |text: &str| Id::try_from(text).ok();
    let workspace = config.workspaces.key(&id(&asked.workspace)?)?;
    let target = id(&asked.target)?;
    let rules = config.workspaces.get(workspace)?;
    let work = if let Some(model) = config.models.key(&target) {
        let prefix = Prefix(asked.chat);
        Work::Chat {
            model,
            prefix,
            token,
        }
    } else {
        let service = config.services.key(&target)?;
        let once = !config.services.get(service)?.once.is_empty();
        // UUIDv7 (RFC 9562, section 5.7): 48 bits of time, version, variant, the rest free.
        let uuid =
            u128::from(sent.0) << 80 | 0x7 << 76 | 0x2 << 62 | u128::from(asked.chat) & 0xffff_ffff;
        let workspace = rules.tag;
        let key = Key { workspace, uuid };
        if once {
            let content = asked.chat;
            Work::Once {
                service,
                key,
                content,
            }
        } else {
            let idempotent = true;
            Work::Plain {
                service,
                idempotent,
            }
        }
    };
    Some(Request {
        origin,
        workspace,
        priority: rules.priority,
        work,
        deadline: now.mono + DEADLINE,
    })
}
