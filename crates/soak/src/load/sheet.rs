//! What a deployment's sheet says of its size and its requests, scaled to a number of routers.

use toucanturn_platform_standin::{
    document::{
        ENGINES,
        LoadRoute,
        POOLS,
        RouteKind, //
    },
    replica::{
        POOL_QUEUE,
        POOL_SLOTS, //
    },
};

/// Size to which the rates below belong.
const SHEET_ROUTERS: f64 = 86.0;
const SHEET_ENGINES: f64 = 90.0;
const SHEET_POOLS: f64 = 6.0;

/// `Kind` is one kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Its route.
    pub route: LoadRoute<'static>,
    /// Requests a second of all callers.
    pub per_second: f64,
    /// Time that its caller waits, in milliseconds.
    pub deadline_ms: u64,
    /// Prompt and output, for an engine.
    pub prompt: Option<Prompt>,
}

/// `Prompt` is how large the prompts of a kind are, in tokens.
#[derive(Clone, Copy, Debug)]
pub struct Prompt {
    /// Tokens of the first shared part, and how many such parts there are.
    pub common: (u32, u64),
    /// Tokens of a session's part, and the sessions.
    pub session: (u32, u64),
    /// Tokens of the request alone.
    pub own: u32,
    /// Tokens of the answer.
    pub output: u32,
}

/// `Sheet` is a deployment and its load.
#[derive(Clone, Debug)]
pub struct Sheet {
    /// Routers.
    pub routers: usize,
    /// Batching engines.
    pub engines: usize,
    /// Pools without a stated load.
    pub pools: usize,
    /// Kinds of requests.
    pub kinds: Vec<Kind>,
    /// Workspaces that send alike, unless one is crowded by another.
    pub workspaces: usize,
    /// Requests that a pool runs at once, and those that wait there.
    pub room: (usize, usize),
    /// Milliseconds of a request at a pool.
    pub pool_ms: u64,
    /// Seconds for which a new engine is cold, and requests a second that it tolerates meanwhile.
    pub cold: (u64, u64),
    /// Whether routers are held up now and then.
    pub held: bool,
}

impl Sheet {
    /// Scales the shifted deployment to a number of routers.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "sizes are small numbers"
    )]
    pub fn shifted(routers: usize) -> Self {
        let scale = f64::from(u32::try_from(routers).unwrap_or(u32::MAX)) / SHEET_ROUTERS;
        let mut kinds = vec![
            stream("dose", 209.0, (4000, 500, 4000), (2, true, 0), DOSE),
            stream("check", 388.0, (3000, 800, 3000), (1, false, 1), CHECK),
            stream(
                "digest",
                111.0,
                (12_000, 1000, 12_000),
                (2, true, 2),
                DIGEST,
            ),
            plain("pay", 236.0, RouteKind::Once, 1),
            plain("renew", 54.3, RouteKind::Repeatable, 2),
        ];
        for kind in &mut kinds {
            kind.per_second *= scale;
            if let Some(prompt) = &mut kind.prompt {
                // As many requests a session at any size.
                prompt.session.1 = ((prompt.session.1 as f64 * scale) as u64).max(8);
            }
        }
        Self {
            routers,
            engines: ((SHEET_ENGINES * scale).round() as usize).max(3),
            pools: ((SHEET_POOLS * scale).round() as usize).max(2),
            kinds,
            workspaces: 1,
            room: (POOL_SLOTS, POOL_QUEUE),
            pool_ms: 60,
            cold: (3, 14),
            held: false,
        }
    }
}

impl Sheet {
    /// Makes the sheet of hard load: the shifted deployment with several workspaces and pools whose queues are short.
    pub fn hard(routers: usize) -> Self {
        let mut sheet = Self::shifted(routers);
        sheet.workspaces = HARD_WORKSPACES;
        sheet.room = HARD_ROOM;
        sheet.pools = sheet.pools.max(HARD_POOLS);
        let kinds = sheet.kinds.iter_mut();
        let plain = kinds.filter(|kind| kind.prompt.is_none());
        let rate: f64 = plain.map(|kind| kind.per_second).sum();
        let room = sheet.pools * HARD_ROOM.0;
        let capacity = room as f64 * 1000.0 / sheet.pool_ms as f64;
        for kind in sheet.kinds.iter_mut().filter(|k| k.prompt.is_none()) {
            kind.per_second *= HARD_LOAD * capacity / rate;
        }
        sheet
    }
}

/// Workspaces under hard load, the fewest pools, the room of each, and the usual part of the pools' capacity that is used.
const HARD_WORKSPACES: usize = 4;
const HARD_POOLS: usize = 3;
const HARD_ROOM: (usize, usize) = (6, 4);
const HARD_LOAD: f64 = 0.6;

const DOSE: Prompt = Prompt {
    common: (2520, 4),
    session: (6100, 838),
    own: 580,
    output: 52,
};
const CHECK: Prompt = Prompt {
    common: (341, 40),
    session: (1700, 400),
    own: 360,
    output: 23,
};
const DIGEST: Prompt = Prompt {
    common: (103, 80),
    session: (500, 296),
    own: 110,
    output: 280,
};

fn stream(
    name: &'static str,
    per_second: f64,
    (timeout_ms, goal_ms, deadline_ms): (u64, u64, u64),
    (attempts, resumable, priority): (u32, bool, u8),
    prompt: Prompt,
) -> Kind {
    Kind {
        route: LoadRoute {
            name,
            kind: RouteKind::Stream,
            service: ENGINES,
            times_ms: (timeout_ms, goal_ms),
            attempts,
            resumable,
            priority,
        },
        per_second,
        deadline_ms,
        prompt: Some(prompt),
    }
}

fn plain(name: &'static str, per_second: f64, kind: RouteKind, attempts: u32) -> Kind {
    Kind {
        route: LoadRoute {
            name,
            kind,
            service: POOLS,
            times_ms: (800, 300),
            attempts,
            resumable: false,
            priority: 2,
        },
        per_second,
        deadline_ms: 1500,
        prompt: None,
    }
}
