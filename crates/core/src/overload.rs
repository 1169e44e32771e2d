//! Which requests are turned away, and when, so that the rest are answered in time.
//!
//! [`Gate`] compares the requests in progress at all endpoints that could serve a request with
//! what those endpoints take at once. Each priority has a part of that capacity beyond which it is
//! shed, so the lowest is shed first and a higher one always finds room. Just below that part a
//! workspace that has more than its fair share here is shed already: a surge fills the reserve of
//! nobody else.
//!
//! Work with a far deadline (a night batch) starts at its own priority and rises towards
//! [`BATCH_TOP`] as the time left shrinks. docs/design/overload.md weighs this against other ways.

use indexmap::IndexMap;
use rand::{
    Rng,
    RngExt, //
};

use crate::{
    arena::{
        RouterKey,
        WorkspaceKey, //
    },
    config::{
        Config,
        Priority,
        Router, //
    },
    ids::Id,
    limits::Demand,
    load::{
        PoolKey,
        Usable, //
    },
    place::PlacementContext,
    request::{
        Request,
        Work, //
    },
    units::{
        Millis,
        Permille,
        Time, //
    },
};

/// Part of the capacity at which the highest published priority is shed.
pub const FULL: Permille = Permille(1000);
/// Longest wait at engines that the highest priority is let into; the goal is a first token within
/// 1.1 s.
pub const MAX_QUEUE: Millis = Millis(300);
/// Greatest part of the capacity that may so queue.
pub const MAX_QUEUE_PART: Permille = Permille(100);
/// By how much less of the capacity each lower priority may fill.
pub const STEP: Permille = Permille(30);
/// Part of the capacity below a priority's bound that a workspace leaves free for others, for each
/// multiple of its fair share that it has here.
pub const FAIR_BAND: Permille = Permille(50);
/// Greatest multiple that counts.
pub const MAX_FAIR_MULTIPLE: u32 = 4;
/// Default deadline of a workspace above which its requests count as batch work.
pub const PATIENT: Millis = Millis::from_secs(60);
/// Priority to which batch work rises until its deadline. Chat should have a higher one.
pub const BATCH_TOP: Priority = Priority(5);
/// Shortest time after which a shed caller may come back.
pub const RETRY: Millis = Millis(1000);
/// Longest time over which shed callers are spread.
pub const MAX_SPREAD: Millis = Millis::from_secs(30);
/// Time that a peer's summary may be old.
pub const VIEW_LAG: Millis = Millis(250);
/// Part of the time left after which batch work comes back: one sixty-fourth, so that it tries
/// often enough before its deadline.
const BATCH_RETRY_PART: u64 = 64;
/// Weight of the newest service time in the mean: one sixteenth.
const MEAN_PART: u64 = 16;

/// `Verdict` is what the gate says of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// There is room.
    Admit,
    /// There is none for this priority and workspace.
    Shed {
        /// When to come back.
        retry_after: Millis,
    },
    /// Its turn would come after its deadline.
    Late,
}

/// Gets what a request needs an endpoint for, if it may be shed. A call that runs at most once is
/// not shed: its first attempt may have run elsewhere, so that "not run" could not be promised.
fn group(work: &Work) -> Option<PoolKey> {
    match work {
        Work::Chat { model, .. } => Some(PoolKey::Model(*model)),
        Work::Plain { service, .. } => Some(PoolKey::Service(*service)),
        Work::Once { .. } => None,
    }
}

/// Gets the region of a router or endpoint, `None` where the policy names none.
fn region<'a>(config: &'a Config, data_center: &Id) -> Option<&'a Id> {
    config.policy.data_centers.get(data_center)
}

/// `Load` is the work in progress for one model or service, and what its endpoints take at once.
/// It counts the own region's endpoints, or all where that has none: only their load is known well.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Load {
    own: u64,
    in_flight: u64,
    capacity: u64,
}

/// `Growth` foresees what the other routers have sent since they last told.
///
/// A surge reaches all routers at once, and each would fill the same free room until it hears of
/// the others. So each takes it that the others grew as it did itself, unless it knows better.
#[derive(Clone, Copy, Debug, Default)]
struct Growth {
    at: Time,
    marks: [Load; 2],
}

impl Growth {
    /// Gets the load with what is foreseen.
    fn foresee(&mut self, now: Time, routers: u64, load: Load) -> Load {
        let age = now.since(self.at);
        if age >= VIEW_LAG {
            // After a quiet time the older mark says nothing.
            let newer = if age >= Millis(2 * VIEW_LAG.0) {
                load
            } else {
                self.marks[1]
            };
            self.marks = [newer, load];
            self.at = now;
        }
        let mark = self.marks[0];
        // One standard deviation of a Poisson count is chance, not growth.
        let grown = load.own.saturating_sub(mark.own + mark.own.isqrt());
        let grown = grown * routers.saturating_sub(1);
        let others = (load.in_flight - load.own).max(mark.in_flight - mark.own + grown);
        Load {
            in_flight: load.own + others,
            ..load
        }
    }
}

impl Load {
    fn new(scene: PlacementContext<'_>, group: PoolKey) -> Self {
        let mut load = Self::default();
        let Some(pool) = scene.loads.pool(group) else {
            return load;
        };
        let near = pool.own_region();
        let span = if near.is_empty() {
            pool.other_regions()
        } else {
            near
        };
        let keys = pool.keys().get(span.clone()).unwrap_or_default();
        for (at, &key) in span.zip(keys) {
            if pool.usable(at) == Usable::No {
                continue;
            }
            let endpoint = scene.config.endpoints.get(key);
            load.capacity += endpoint.map_or(0, |e| u64::from(e.capacity));
            load.in_flight += u64::from(scene.loads.estimate(scene.now, key));
        }
        let own = scene.loads.own().filter(|(key, _)| keys.contains(key));
        load.own = own.map(|(_, n)| u64::from(n)).sum();
        // Own requests at endpoints that are down are not in the estimate.
        load.in_flight = load.in_flight.max(load.own);
        load
    }

    fn is_below(self, part: Permille) -> bool {
        self.in_flight * 1000 < self.capacity * u64::from(part.0)
    }
}

/// `Gate` decides which requests are turned away.
#[derive(Debug, Default)]
pub struct Gate {
    top: Priority,
    /// Routers of the own region, this one included.
    routers: u64,
    /// Mean service times, at most one for each published model and service.
    service_times: IndexMap<PoolKey, Millis>,
    /// Growth of own work, at most one for each published model and service.
    growths: IndexMap<PoolKey, Growth>,
    shed: Demand,
    taken: Demand,
}

impl Gate {
    /// Follows a new configuration; `me` is this router, `None` while it is not in the fleet list.
    pub fn apply(&mut self, config: &Config, me: Option<RouterKey>) {
        let priorities = config.workspaces.iter().map(|(_, w)| w.priority);
        self.top = priorities.max().unwrap_or_default();
        let own = me.and_then(|me| config.fleet.get(me));
        let own = own.and_then(|r| region(config, &r.data_center));
        let near = |r: &Router| own.is_none() || region(config, &r.data_center) == own;
        self.routers = config.fleet.iter().filter(|(_, r)| near(r)).count() as u64;
        let stays = |group: &PoolKey| match group {
            PoolKey::Model(key) => config.models.get(*key).is_some(),
            PoolKey::Service(key) => config.services.get(*key).is_some(),
        };
        self.service_times.retain(|group, _| stays(group));
        self.growths.retain(|group, _| stays(group));
    }

    /// Decides on a request that is within its workspace's limit. `open` gives the workspace of
    /// each call that this router has in progress.
    pub fn admit(
        &mut self,
        scene: PlacementContext<'_>,
        request: &Request,
        open: impl Iterator<Item = WorkspaceKey>,
        rng: &mut impl Rng,
    ) -> Verdict {
        let Some(group) = group(&request.work) else {
            return Verdict::Admit;
        };
        let load = Load::new(scene, group);
        // Without an endpoint, placement says so.
        if load.capacity == 0 {
            return Verdict::Admit;
        }
        let growth = self.growths.entry(group).or_default();
        let foreseen = growth.foresee(scene.now, self.routers, load);
        let left = request.deadline.since(scene.now);
        if self.wait(group, load) > left {
            return Verdict::Late;
        }
        let bound = self.bound(scene.config, request, left);
        let priority = |key| scene.config.workspaces.get(key).map(|w| w.priority);
        let own = priority(request.workspace);
        let equals = open.filter(|key| priority(*key) == own);
        let queue = if bound == FULL {
            self.queue(group)
        } else {
            Permille(0)
        };
        let most = Permille(bound.0 + queue.0);
        let fits = match fair_multiple(request.workspace, equals) {
            // What has less than its share is not what grows.
            Some(0) => load.is_below(most),
            Some(multiple) => {
                let free = FAIR_BAND.0 * multiple;
                foreseen.is_below(Permille(bound.0.saturating_sub(free)))
            }
            None => foreseen.is_below(most),
        };
        if fits {
            self.taken.note(scene.now, 1);
            return Verdict::Admit;
        }
        self.shed.note(scene.now, 1);
        let retry_after = self.retry_after(scene, request, left, rng);
        Verdict::Shed { retry_after }
    }

    /// Notes how long an answer took.
    pub fn ended(&mut self, work: &Work, took: Millis) {
        let Some(group) = group(work) else {
            return;
        };
        let mean = self.service_times.entry(group).or_insert(took);
        mean.0 = (mean.0 * (MEAN_PART - 1) + took.0) / MEAN_PART;
    }

    /// Estimates the time until a request gets its turn: those above the capacity, at the rate at
    /// which a full pool ends them (Little's law).
    fn wait(&self, group: PoolKey, load: Load) -> Millis {
        let mean = self.service_times.get(&group).copied().unwrap_or_default();
        let ahead = load.in_flight.saturating_sub(load.capacity);
        Millis(ahead.saturating_mul(mean.0) / load.capacity.max(1))
    }

    /// Gets the part of the capacity that may queue at engines without a wait above [`MAX_QUEUE`].
    fn queue(&self, group: PoolKey) -> Permille {
        let mean = self.service_times.get(&group).map_or(0, |t| t.0);
        if mean == 0 {
            return Permille(0);
        }
        let part = u32::try_from(MAX_QUEUE.0 * 1000 / mean).unwrap_or(u32::MAX);
        Permille(part).min(MAX_QUEUE_PART)
    }

    /// Gets the part of the capacity at which a request is shed.
    fn bound(&self, config: &Config, request: &Request, left: Millis) -> Permille {
        let below = |priority: Priority| {
            let steps = u32::from(self.top.0.saturating_sub(priority.0));
            FULL.0.saturating_sub(steps * STEP.0)
        };
        let own = below(request.priority);
        let Some(window) = window(config, request) else {
            return Permille(own);
        };
        let highest = below(BATCH_TOP).max(own);
        let rise = u64::from(highest - own) * window.0.saturating_sub(left.0) / window.0;
        Permille(own + u32::try_from(rise).unwrap_or_default())
    }

    /// Spreads the returns: the more is shed of what comes, the longer.
    fn retry_after(
        &self,
        scene: PlacementContext<'_>,
        request: &Request,
        left: Millis,
        rng: &mut impl Rng,
    ) -> Millis {
        let second = Millis::from_secs(1);
        let shed = u64::from(self.shed.within(scene.now, second));
        let taken = u64::from(self.taken.within(scene.now, second));
        let spread = RETRY.0.saturating_mul(1 + shed / (taken + 1));
        let mut base = RETRY.0;
        let mut spread = spread.min(MAX_SPREAD.0);
        if window(scene.config, request).is_some() {
            base = (left.0 / BATCH_RETRY_PART).clamp(base, MAX_SPREAD.0);
            spread = spread.max(base);
        }
        Millis(base + rng.random_range(0..spread.max(1)))
    }
}

/// Gets the time that a batch has from its start to its deadline; `None` for other work.
fn window(config: &Config, request: &Request) -> Option<Millis> {
    let workspace = config.workspaces.get(request.workspace)?;
    (workspace.deadline > PATIENT).then_some(workspace.deadline)
}

/// Gets the multiple of its fair share that a workspace has in progress here, rounded down and at
/// most [`MAX_FAIR_MULTIPLE`]; zero up to its fair share, and `None` where it has no other beside
/// it. The fair share is the mean of those that have any, itself included. `open` gives the calls
/// in progress of workspaces of its priority.
///
/// A router sees a sliver, so counts are small: two standard deviations of a Poisson count above
/// the mean still pass for fair.
fn fair_multiple(workspace: WorkspaceKey, open: impl Iterator<Item = WorkspaceKey>) -> Option<u32> {
    let mut counts: IndexMap<WorkspaceKey, u32> = IndexMap::new();
    counts.insert(workspace, 0);
    for one in open {
        *counts.entry(one).or_default() += 1;
    }
    let own = counts.get(&workspace).copied().unwrap_or_default();
    let workspaces = u32::try_from(counts.len()).unwrap_or(u32::MAX);
    if workspaces == 1 && own > 0 {
        return None;
    }
    let all: u32 = counts.values().sum();
    let scaled = own.saturating_mul(workspaces);
    let above = u64::from(scaled.saturating_sub(all));
    if above * above <= 4 * u64::from(all) * u64::from(workspaces) {
        return Some(0);
    }
    Some((scaled / all.max(1)).clamp(1, MAX_FAIR_MULTIPLE))
}
