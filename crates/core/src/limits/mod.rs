//! Fleet-wide limits of workspaces, though each router sees a sliver of the traffic.
//!
//! Each workspace has a home router (rendezvous over the fleet) that holds its one token bucket;
//! the others ask it for grants ([`peer::Message::Ask`]) in batches sized by their own recent
//! demand, and admit from what they were granted. A call waits for a grant at most [`MAX_WAIT`];
//! then the router's static share of the limit decides.
//!
//! When a home cannot be reached, the next in rendezvous order takes over with a nearly empty
//! bucket. A router that is asked but is not the home passes on what it gets from the home itself,
//! so that a lost path between two routers costs time, not requests. After a change of the fleet
//! the new home draws on the old one until that says that it has moved too: at no time do two
//! reachable buckets exist for one workspace.
//!
//! docs/design/limits.md weighs this against other ways.
//!
//! [`peer::Message::Ask`]: crate::peer::Message::Ask

use indexmap::IndexMap;
use slotmap::SecondaryMap;

use crate::{
    arena::{
        RouterKey,
        WorkspaceKey, //
    },
    config::{
        Config,
        Limit,
        Priority, //
    },
    ids::{
        Tag,
        rendezvous, //
    },
    request::Call,
    units::{
        Millis,
        Time, //
    },
};

mod bucket;
mod homes;
mod row;
mod share;

pub use bucket::{
    ASKS_PER_S,
    CAUTION,
    GRANT_TTL,
    MAX_RETRY,
    MIN_RETRY, //
};
pub use homes::{
    ALLOWANCE,
    DOWN_FOR,
    HANDOVER, //
};
pub use share::MAX_LOTS;

use bucket::{
    Bucket,
    Take, //
};
use homes::Homes;
use row::{
    Pending,
    Row,
    Waiting, //
};

/// Longest time that a call waits for a grant (up to a tick later).
pub const MAX_WAIT: Millis = Millis(100);
/// Most calls that wait at one router; at the bound further ones are refused.
pub const MAX_WAITING: usize = 4096;
/// Most calls of one workspace that wait at one router; at the bound further ones are refused.
pub const MAX_WAITING_WORKSPACE: usize = 1024;
/// Length of demand that a grant is to cover.
pub const BATCH: Millis = Millis(500);
/// Length of demand at which the next grant is asked for ahead.
pub const LOW_WATER: Millis = Millis(100);
/// Time after which an unanswered question is asked again, at least.
pub const ASK_AGAIN: Millis = Millis(50);
/// Questions without an answer after which the next router in order is asked.
pub const MAX_ASKS: u32 = 3;
/// When to come back to a router that has to ask the home itself.
pub const RELAY_RETRY: Millis = Millis(20);
/// Time over which the returns of refused callers are spread.
pub const SPREAD: Millis = Millis(1000);
/// Time after which a workspace without requests is forgotten here.
pub const IDLE: Millis = Millis(10_000);

/// `Ask` is one request that asks to be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// This router, `None` while it is not in the fleet list.
    pub me: Option<RouterKey>,
    /// The call.
    pub call: Call,
    /// The workspace it is charged to.
    pub workspace: WorkspaceKey,
    /// Its priority.
    pub priority: Priority,
}

/// `Verdict` is what admission says of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Admitted.
    Admit,
    /// It waits for the home's grant; [`Limits::granted`] or [`Limits::tick`] says more.
    Wait,
    /// Over the limit; come back later.
    Refuse {
        /// When to come back.
        retry_after: Millis,
    },
}

/// `Outgo` is what the limits want sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outgo {
    /// Ask a workspace's home.
    Ask {
        /// The home.
        home: RouterKey,
        /// The workspace.
        workspace: WorkspaceKey,
        /// Requests wanted.
        want: u32,
        /// Number of the question.
        nonce: u64,
    },
    /// A waiting call was decided.
    Decided {
        /// The call.
        call: Call,
        /// [`Verdict::Admit`] or [`Verdict::Refuse`].
        verdict: Verdict,
    },
}

/// `Question` is what a peer asks of this router as a workspace's home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Question {
    /// This router, `None` while it is not in the fleet list.
    pub me: Option<RouterKey>,
    /// The peer.
    pub from: RouterKey,
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// Requests wanted.
    pub want: u32,
}

/// `Role` is this router's part in a workspace's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// It holds the bucket.
    Home,
    /// It asks this router, `None` when there is none to ask.
    Entry(Option<RouterKey>),
}

/// `Limits` holds this router's buckets as a home and its shares as an entry.
#[derive(Debug, Default)]
pub struct Limits {
    rows: SecondaryMap<WorkspaceKey, Row>,
    homes: Homes,
    waiting: IndexMap<Call, WorkspaceKey>,
    nonce: u64,
    me: Option<RouterKey>,
}

/// `Scene` is what a decision about one workspace looks at.
#[derive(Clone, Copy)]
struct Scene {
    now: Time,
    me: Option<RouterKey>,
    workspace: WorkspaceKey,
    tag: Tag,
    limit: Limit,
}

impl Scene {
    fn new(
        now: Time,
        config: &Config,
        me: Option<RouterKey>,
        workspace: WorkspaceKey,
    ) -> Option<Self> {
        let published = config.workspaces.get(workspace)?;
        Some(Self {
            now,
            me,
            workspace,
            tag: published.tag,
            limit: published.limit,
        })
    }
}

impl Limits {
    /// Follows a new configuration.
    pub fn apply(&mut self, now: Time, config: &Config) {
        self.rows
            .retain(|key, _| config.workspaces.get(key).is_some());
        let moved = self.homes.moved();
        self.homes.apply(now, config);
        if self.homes.moved() != moved {
            self.rows.values_mut().for_each(|row| row.handed = false);
        }
    }

    /// Asks to admit one request.
    pub fn admit(&mut self, now: Time, config: &Config, ask: Ask, out: &mut Vec<Outgo>) -> Verdict {
        let Some(scene) = Scene::new(now, config, ask.me, ask.workspace) else {
            return refuse(ask.me, ask.call, MIN_RETRY);
        };
        self.me = ask.me;
        let role = self.role(scene);
        let Some(row) = row(&mut self.rows, scene) else {
            return refuse(ask.me, ask.call, MIN_RETRY);
        };
        row.used = now;
        row.demand.note(now, 1);
        let home = match role {
            Role::Home => return self.admit_as_home(scene, ask.call),
            Role::Entry(home) => home,
        };
        if row.lots.take(now, 1) == 1 {
            if row.is_low(now) {
                self.send_ask(scene, home, out);
            }
            return Verdict::Admit;
        }
        if now < row.refuse_until {
            return refuse(ask.me, ask.call, row.refuse_until.since(now));
        }
        let Some(home) = home.filter(|_| !row.is_unanswered(now)) else {
            return row.static_verdict(scene, self.homes.len(), ask.call);
        };
        if self.waiting.len() >= MAX_WAITING || row.waiting.len() >= MAX_WAITING_WORKSPACE {
            return refuse(ask.me, ask.call, MIN_RETRY);
        }
        row.wait(Waiting {
            call: ask.call,
            priority: ask.priority,
            since: now,
        });
        self.waiting.insert(ask.call, ask.workspace);
        self.send_ask(scene, Some(home), out);
        Verdict::Wait
    }

    /// Answers a router's question as the workspace's home: requests granted and the time until
    /// more can be had. Nothing granted and no time says that the asker is the home itself.
    pub fn ask(
        &mut self,
        now: Time,
        config: &Config,
        question: Question,
        out: &mut Vec<Outgo>,
    ) -> (u32, Millis) {
        let Question {
            me,
            from,
            workspace,
            want,
        } = question;
        let Some(scene) = Scene::new(now, config, me, workspace) else {
            return (0, MAX_RETRY);
        };
        self.homes.heard(from);
        // A predecessor that asks has followed the change of the fleet itself.
        let mut role = self.role(scene);
        if role == Role::Entry(Some(from)) && self.homes.first(now, me, scene.tag) == me {
            if let Some(row) = row(&mut self.rows, scene) {
                row.handed = true;
            }
            role = Role::Home;
        }
        match role {
            Role::Home => self.take(scene, Some(from), want),
            Role::Entry(Some(home)) if home == from => (0, Millis(0)),
            Role::Entry(home) => self.relay(scene, home, want, out),
        }
    }

    /// Notes a home's grant.
    pub fn granted(
        &mut self,
        now: Time,
        workspace: WorkspaceKey,
        granted: u32,
        retry_after: Millis,
        nonce: u64,
        out: &mut Vec<Outgo>,
    ) {
        let Some(row) = self.rows.get_mut(workspace) else {
            return;
        };
        // An answer to a question that was given up or answered before brings nothing: its grant
        // expires unused.
        let Some(pending) = row.pending.take_if(|p| p.nonce == nonce) else {
            return;
        };
        self.homes.heard(pending.home);
        self.homes.answered(pending.home, now.since(pending.sent));
        if granted == 0 && retry_after == Millis(0) {
            row.handed = true;
            return;
        }
        row.static_share = None;
        // A home counts a single request as used at once, so it must not be kept for later.
        if granted > 1 || !row.waiting.is_empty() || row.relayed > 0 {
            row.lots.add(granted, pending.at + GRANT_TTL);
        }
        row.relayed = 0;
        let me = self.me;
        row.admit_waiting(now, |call| {
            self.waiting.swap_remove(&call);
            out.push(Outgo::Decided {
                call,
                verdict: Verdict::Admit,
            });
        });
        if granted < pending.want {
            row.refuse_until = now + retry_after;
            row.refuse_waiting(now, |call, after| {
                self.waiting.swap_remove(&call);
                let verdict = refuse(me, call, after);
                out.push(Outgo::Decided { call, verdict });
            });
        } else if !row.waiting.is_empty() {
            self.nonce += 1;
            let want = row.want(now);
            row.pending = Some(Pending::new(now, pending.home, want, self.nonce));
            out.push(Outgo::Ask {
                home: pending.home,
                workspace,
                want,
                nonce: self.nonce,
            });
        }
    }

    /// Notes that a router cannot be reached. What waits for its answer asks the next in order.
    pub fn failed(
        &mut self,
        now: Time,
        config: &Config,
        me: Option<RouterKey>,
        router: RouterKey,
        out: &mut Vec<Outgo>,
    ) {
        if Some(router) == me {
            return;
        }
        self.homes.failed(now, router);
        let hit = |row: &Row| row.pending.is_some_and(|p| p.home == router);
        let rows = self.rows.iter().filter(|(_, row)| hit(row));
        for key in rows.map(|(key, _)| key).collect::<Vec<_>>() {
            if let Some(row) = self.rows.get_mut(key) {
                row.pending = None;
            }
            if let Some(scene) = Scene::new(now, config, me, key) {
                self.ask_for_waiting(scene, out);
            }
        }
    }

    /// Notes that a router was heard, so that it can be asked again.
    pub fn heard(&mut self, router: RouterKey) {
        self.homes.heard(router);
    }

    /// Forgets a waiting call whose caller went away.
    pub fn gone(&mut self, call: Call) {
        let Some(workspace) = self.waiting.swap_remove(&call) else {
            return;
        };
        if let Some(row) = self.rows.get_mut(workspace) {
            row.waiting.retain(|w| w.call != call);
        }
    }

    /// Lets time pass.
    pub fn tick(
        &mut self,
        now: Time,
        config: &Config,
        me: Option<RouterKey>,
        out: &mut Vec<Outgo>,
    ) {
        self.tick_pending(now, out);
        for key in self.rows.keys().collect::<Vec<_>>() {
            let Some(scene) = Scene::new(now, config, me, key) else {
                continue;
            };
            self.ask_for_waiting(scene, out);
            self.tick_waiting(scene, out);
        }
        self.rows.retain(|_, row| !row.is_idle(now));
    }

    /// Gets the number of calls that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn tick_pending(&mut self, now: Time, out: &mut Vec<Outgo>) {
        for (workspace, row) in &mut self.rows {
            let Some(pending) = &mut row.pending else {
                continue;
            };
            let home = pending.home;
            if now.since(pending.sent) < self.homes.patience(home, ASK_AGAIN) {
                continue;
            }
            if pending.asks >= MAX_ASKS {
                self.homes.failed(now, home);
                row.pending = None;
                continue;
            }
            pending.asks += 1;
            pending.sent = now;
            out.push(Outgo::Ask {
                home,
                workspace,
                want: pending.want,
                nonce: pending.nonce,
            });
        }
    }

    /// Decides what has waited too long by the static share.
    fn tick_waiting(&mut self, scene: Scene, out: &mut Vec<Outgo>) {
        let Some(row) = self.rows.get_mut(scene.workspace) else {
            return;
        };
        while let Some(waiting) = row.overdue(scene.now) {
            let call = waiting.call;
            let verdict = row.static_verdict(scene, self.homes.len(), call);
            self.waiting.swap_remove(&call);
            out.push(Outgo::Decided { call, verdict });
        }
    }

    /// Asks for the calls that wait without a question on its way, or decides them where this
    /// router has become the home.
    fn ask_for_waiting(&mut self, scene: Scene, out: &mut Vec<Outgo>) {
        let Some(row) = self.rows.get(scene.workspace) else {
            return;
        };
        if row.pending.is_some() || scene.now < row.refuse_until || !row.is_wanting() {
            return;
        }
        match self.role(scene) {
            Role::Entry(home) => self.send_ask(scene, home, out),
            Role::Home => {
                let Some(row) = self.rows.get_mut(scene.workspace) else {
                    return;
                };
                row.relayed = 0;
                for waiting in std::mem::take(&mut row.waiting) {
                    let call = waiting.call;
                    self.waiting.swap_remove(&call);
                    let verdict = self.admit_as_home(scene, call);
                    out.push(Outgo::Decided { call, verdict });
                }
            }
        }
    }

    fn send_ask(&mut self, scene: Scene, home: Option<RouterKey>, out: &mut Vec<Outgo>) {
        let (Some(home), Some(row)) = (home, self.rows.get_mut(scene.workspace)) else {
            return;
        };
        if row.pending.is_some() || scene.now < row.refuse_until {
            return;
        }
        self.nonce += 1;
        let want = row.want(scene.now);
        row.pending = Some(Pending::new(scene.now, home, want, self.nonce));
        out.push(Outgo::Ask {
            home,
            workspace: scene.workspace,
            want,
            nonce: self.nonce,
        });
    }

    /// Finds this router's part. A router that is not the home holds no bucket, so that a later
    /// take-over starts afresh.
    fn role(&mut self, scene: Scene) -> Role {
        let Scene { now, me, tag, .. } = scene;
        let first = self.homes.first(now, me, tag);
        if self.homes.len() == 0 {
            return Role::Home;
        }
        let row = self.rows.get_mut(scene.workspace);
        if me.is_none() || first != me {
            if let Some(row) = row {
                row.bucket = None;
            }
            return Role::Entry(first);
        }
        if row.is_some_and(|row| row.handed || row.bucket.is_some()) {
            return Role::Home;
        }
        match self.homes.predecessor(now, me, tag) {
            Some(old) => Role::Entry(Some(old)),
            None => Role::Home,
        }
    }

    fn admit_as_home(&mut self, scene: Scene, call: Call) -> Verdict {
        match self.take(scene, None, 1) {
            (0, retry_after) => refuse(scene.me, call, retry_after),
            _ => Verdict::Admit,
        }
    }

    fn take(&mut self, scene: Scene, from: Option<RouterKey>, want: u32) -> (u32, Millis) {
        // The first in the published order fills from the time it became that; a substitute, and
        // one that draws on a predecessor first, from now.
        let published = scene
            .me
            .is_none_or(|me| self.homes.is_published(me, scene.tag));
        let fill = self.homes.fill(scene.now);
        let moved = self.homes.moved();
        let Some(row) = row(&mut self.rows, scene) else {
            return (0, MAX_RETRY);
        };
        let born = if published && !row.handed {
            moved
        } else {
            scene.now
        };
        let bucket = row
            .bucket
            .get_or_insert_with(|| Bucket::new(born, scene.limit));
        let take = Take {
            limit: scene.limit,
            fill,
            want,
            from,
        };
        bucket.take(scene.now, take)
    }

    /// Passes on what this router itself was granted.
    fn relay(
        &mut self,
        scene: Scene,
        home: Option<RouterKey>,
        want: u32,
        out: &mut Vec<Outgo>,
    ) -> (u32, Millis) {
        let Some(row) = row(&mut self.rows, scene) else {
            return (0, MAX_RETRY);
        };
        row.used = scene.now;
        row.demand.note(scene.now, want);
        let granted = row.lots.take(scene.now, want);
        if granted == want {
            return (granted, Millis(0));
        }
        if scene.now < row.refuse_until {
            return (granted, row.refuse_until.since(scene.now));
        }
        row.relayed = row.relayed.saturating_add(want - granted);
        self.send_ask(scene, home, out);
        (granted, RELAY_RETRY)
    }
}

fn row(rows: &mut SecondaryMap<WorkspaceKey, Row>, scene: Scene) -> Option<&mut Row> {
    Some(rows.entry(scene.workspace)?.or_default())
}

/// Refuses a call; the time to come back is spread by the call's number, so that callers refused
/// together do not return together.
fn refuse(router: Option<RouterKey>, call: Call, after: Millis) -> Verdict {
    let router = slotmap::Key::data(&router.unwrap_or_default()).as_ffi();
    let tag = Tag(u32::try_from(call.0 & u64::from(u32::MAX)).unwrap_or_default());
    let jitter = rendezvous(router, tag) % SPREAD.0;
    Verdict::Refuse {
        retry_after: Millis(after.0 + jitter),
    }
}
