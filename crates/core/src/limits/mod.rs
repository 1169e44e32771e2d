//! Fleet-wide rate limits of workspaces whose requests arrive at any router.
//!
//! Each workspace has a home router, chosen by rendezvous hashing over the fleet, that holds its
//! token bucket. The other routers request grants from it ([`peer::Message::Ask`]) in batches sized
//! by their own recent demand, and admit calls from their grants. A call waits for a grant at most
//! [`MAX_WAIT`]; then the router's static share of the limit decides.
//!
//! When a home is unreachable, the next router in rendezvous order becomes its substitute with a
//! nearly empty bucket, once a further router has confirmed it. A router that gets a grant request
//! without being the home relays what it gets from the home itself, so a lost path between two
//! routers costs time but no requests. After a change of the fleet list the old home continues
//! until it has applied the change itself, and relays grant requests from then on.
//!
//! docs/design/limits.md compares this with other designs.
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
mod demand;
mod entry;
mod grant;
mod homes;
mod share;
mod state;

pub use bucket::{
    GRANT_TTL,
    HOME_HALF_RATE_PERIOD,
    MAX_RETRY_AFTER,
    MIN_RETRY_AFTER,
    SUBSTITUTE_HALF_RATE_PERIOD,
    TARGET_GRANT_REQUESTS_PER_S, //
};
pub use homes::{
    HANDOVER_PERIOD,
    PARTITION_ALLOWANCE,
    SILENT_INTERVALS,
    UNREACHABLE_TTL, //
};
pub use share::MAX_HELD_GRANTS;

pub(crate) use demand::Demand;

use homes::Homes;
use state::{
    Pending,
    WorkspaceState, //
};

/// Longest time that a call waits for a grant (up to a tick later).
pub const MAX_WAIT: Millis = Millis(100);
/// Largest number of calls that wait at one router; further ones are refused.
pub const MAX_WAITING: usize = 4096;
/// Largest number of calls of one workspace that wait at one router; further ones are refused.
pub const MAX_WAITING_PER_WORKSPACE: usize = 1024;
/// Length of time whose expected demand a grant covers.
pub const GRANT_DEMAND_SPAN: Millis = Millis(500);
/// Length of time whose expected demand must be left in the grants; below that, the next grant is
/// requested.
pub const LOW_WATER_SPAN: Millis = Millis(100);
/// Shortest time after which an unanswered grant request is sent again.
pub const MIN_RESEND_TIMEOUT: Millis = Millis(50);
/// Number of times that a grant request is sent to one router; after that the next router in order
/// is asked.
pub const MAX_SENDS: u32 = 3;
/// Retry time for a peer whose grant request this router has to relay to the home.
pub const RELAY_RETRY_AFTER: Millis = Millis(20);
/// Time between two probes of the published home by its substitute.
pub const HOME_PROBE_INTERVAL: Millis = Millis(250);
/// Range of the jitter added to the retry times of refused callers.
pub const RETRY_JITTER: Millis = Millis(1000);
/// Time after which the state of a workspace without requests is removed.
pub const IDLE_TIMEOUT: Millis = Millis(10_000);

/// `Ask` is one request for which admission is asked.
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

/// `Verdict` is the decision about the admission of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Admitted.
    Admit,
    /// It waits for a grant; [`Limits::granted`] or [`Limits::tick`] decides it.
    Wait,
    /// Over the limit.
    Refuse {
        /// Time after which the caller may try again.
        retry_after: Millis,
    },
}

/// `LimitsOutput` is a message to send or the decision about a waiting call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitsOutput {
    /// Request a grant from a workspace's home.
    Ask {
        /// The home.
        home: RouterKey,
        /// The workspace.
        workspace: WorkspaceKey,
        /// Requests wanted.
        want: u32,
        /// Number of the grant request.
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

/// `GrantRequest` is a peer's request for a grant of a workspace's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantRequest {
    /// This router, `None` while it is not in the fleet list.
    pub me: Option<RouterKey>,
    /// The peer.
    pub from: RouterKey,
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// Requests wanted.
    pub want: u32,
}

/// `Role` is this router's role in a workspace's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// It holds the bucket.
    Home,
    /// It requests grants from the given router; `None` if there is none to ask.
    Entry(Option<RouterKey>),
}

/// `Limits` holds this router's buckets for the workspaces that it is the home of, and its grants
/// and queues for the others.
#[derive(Debug, Default)]
pub struct Limits {
    states: SecondaryMap<WorkspaceKey, WorkspaceState>,
    homes: Homes,
    waiting: IndexMap<Call, WorkspaceKey>,
    nonce: u64,
    me: Option<RouterKey>,
}

/// `Scene` is the input of a decision about one workspace.
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
    /// Applies a new configuration.
    pub fn apply(&mut self, now: Time, config: &Config) {
        self.states
            .retain(|key, _| config.workspaces.get(key).is_some());
        let fleet_changed = self.homes.fleet_changed();
        self.homes.apply(now, config);
        let is_in_fleet = |p: &Pending| config.fleet.get(p.home).is_some();
        for state in self.states.values_mut() {
            state.home_confirmed &= self.homes.fleet_changed() == fleet_changed;
            state.pending = state.pending.filter(is_in_fleet);
        }
    }

    /// Marks a router as unreachable. Calls that wait for its answer ask the next router in order.
    pub fn failed(
        &mut self,
        now: Time,
        config: &Config,
        me: Option<RouterKey>,
        router: RouterKey,
        out: &mut Vec<LimitsOutput>,
    ) {
        if Some(router) == me {
            return;
        }
        self.homes.mark_unreachable(now, router);
        for key in self.states.keys().collect::<Vec<_>>() {
            let Some(state) = self.states.get_mut(key) else {
                continue;
            };
            // A router's statement about its bucket does not apply to its substitute's bucket.
            if state.refused_by == Some(router) {
                state.refuse_until = now;
            }
            if state.pending.is_none_or(|p| p.home != router) {
                continue;
            }
            state.pending = None;
            if let Some(scene) = Scene::new(now, config, me, key) {
                self.request_for_waiting(scene, out);
            }
        }
    }

    /// Notes that a message from a router has arrived, so that it can be asked again.
    pub fn heard(&mut self, router: RouterKey) {
        self.homes.mark_reachable(router);
    }

    /// Removes a waiting call whose caller has disconnected.
    pub fn gone(&mut self, call: Call) {
        let Some(workspace) = self.waiting.swap_remove(&call) else {
            return;
        };
        if let Some(state) = self.states.get_mut(workspace) {
            state.waiting.retain(|w| w.call != call);
        }
    }

    /// Sends requests that are due, and decides the calls that have waited too long.
    pub fn tick(
        &mut self,
        now: Time,
        config: &Config,
        me: Option<RouterKey>,
        out: &mut Vec<LimitsOutput>,
    ) {
        self.homes.tick(now);
        self.resend_pending(now, out);
        for key in self.states.keys().collect::<Vec<_>>() {
            let Some(scene) = Scene::new(now, config, me, key) else {
                continue;
            };
            self.request_for_waiting(scene, out);
            self.decide_overdue(scene, out);
            self.probe_home(scene, out);
        }
        self.states.retain(|_, state| !state.is_idle(now));
    }

    /// Gets the number of waiting calls.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}

fn state_mut(
    states: &mut SecondaryMap<WorkspaceKey, WorkspaceState>,
    scene: Scene,
) -> Option<&mut WorkspaceState> {
    Some(states.entry(scene.workspace)?.or_default())
}

/// Refuses a call. The retry time has jitter derived from the call's number, so that callers that
/// are refused together do not retry together.
fn refuse(router: Option<RouterKey>, call: Call, after: Millis) -> Verdict {
    let router = slotmap::Key::data(&router.unwrap_or_default()).as_ffi();
    let tag = Tag(u32::try_from(call.0 & u64::from(u32::MAX)).unwrap_or_default());
    let jitter = rendezvous(router, tag) % RETRY_JITTER.0;
    Verdict::Refuse {
        retry_after: Millis(after.0 + jitter),
    }
}
