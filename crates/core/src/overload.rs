//! Sheds requests under overload, so that the others are answered in time.
//!
//! [`AdmissionController`] compares the requests in progress at all endpoints that could serve a
//! request with the capacity of those endpoints. Each priority has a threshold, a share of that
//! capacity, from which on it is shed: the lowest priority is shed first, and a higher one always
//! finds room. A workspace that has more than its fair share of the requests here is shed somewhat
//! below the threshold, so that its surge doesn't take the reserve of other workspaces.
//!
//! Batch work, which has a far deadline, starts at the threshold of its own priority and rises
//! towards that of [`MAX_BATCH_PRIORITY`] as the time left shrinks. docs/design/overload.md
//! compares this with alternatives.

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

/// Share of the capacity at which the highest published priority is shed.
pub const HIGHEST_PRIORITY_THRESHOLD: Permille = Permille(1000);
/// Longest wait in an engine's queue for which requests of the highest priority are admitted; the
/// goal is a first token within 1.1 s.
pub const MAX_QUEUE_WAIT: Millis = Millis(300);
/// Greatest share of the capacity that may queue at engines, in addition to the capacity itself.
pub const MAX_QUEUE_SHARE: Permille = Permille(100);
/// Difference between the thresholds of two adjacent priorities.
pub const PRIORITY_STEP: Permille = Permille(30);
/// Share of the capacity by which the threshold is lowered for a workspace, for each multiple of its
/// fair share that it has in progress here; this leaves room to the other workspaces.
pub const FAIR_SHARE_STEP: Permille = Permille(50);
/// Greatest multiple of the fair share that counts.
pub const MAX_FAIR_MULTIPLE: u32 = 4;
/// A workspace whose default deadline is longer than this has batch work.
pub const BATCH_MIN_DEADLINE: Millis = Millis::from_secs(60);
/// Priority to which batch work rises until its deadline. Chats should have a higher one.
pub const MAX_BATCH_PRIORITY: Priority = Priority(5);
/// Shortest time after which a shed caller may retry.
pub const MIN_RETRY_AFTER: Millis = Millis(1000);
/// Longest time over which the retries of shed callers are spread.
pub const MAX_RETRY_SPREAD: Millis = Millis::from_secs(30);
/// Interval between the load samples of the growth estimate: the age that a peer's summary may have.
pub const GROWTH_SAMPLE_INTERVAL: Millis = Millis(250);
/// Batch work retries after this fraction of the time left, one sixty-fourth, so that it tries
/// often enough before its deadline.
const BATCH_RETRY_DIVISOR: u64 = 64;
/// The newest service time has this fraction, one sixteenth, as its weight in the moving average.
const SERVICE_TIME_DIVISOR: u64 = 16;

/// `Verdict` is the decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request is admitted.
    Admit,
    /// There is no room for this priority and workspace.
    Shed {
        /// Time after which the caller should retry.
        retry_after: Millis,
    },
    /// The request would wait in the queue beyond its deadline.
    DeadlineUnreachable,
}

/// Gets the pool of a request that may be shed. A call that runs at most once is not shed: its
/// first attempt may have run elsewhere, so "not run" could not be promised.
fn pool_key(work: &Work) -> Option<PoolKey> {
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

/// `Load` holds the requests in progress for one model or service, and the capacity of its
/// endpoints. It counts the endpoints of the own region only, as their load is known best, or all
/// where the own region has none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Load {
    own: u64,
    in_flight: u64,
    capacity: u64,
}

/// `GrowthEstimator` estimates the requests that other routers have sent since their last
/// summaries.
///
/// A surge reaches all routers at once, and each would fill the same free room before it hears of
/// the others' requests. So each router assumes that the load of every other one grew like its own,
/// unless their summaries show more.
#[derive(Clone, Copy, Debug, Default)]
struct GrowthEstimator {
    sampled_at: Time,
    // The loads at the last two sampling times, the older one first.
    samples: [Load; 2],
}

impl GrowthEstimator {
    /// Gets the load with the estimated growth of the other routers.
    fn estimate(&mut self, now: Time, routers: u64, load: Load) -> Load {
        let age = now.since(self.sampled_at);
        if age >= GROWTH_SAMPLE_INTERVAL {
            // After a time without requests the previous sample is outdated.
            let older = if age >= Millis(2 * GROWTH_SAMPLE_INTERVAL.0) {
                load
            } else {
                self.samples[1]
            };
            self.samples = [older, load];
            self.sampled_at = now;
        }
        let sample = self.samples[0];
        // A difference within one standard deviation of a Poisson count is not taken for growth.
        let grown = load.own.saturating_sub(sample.own + sample.own.isqrt());
        let grown = grown * routers.saturating_sub(1);
        let others = (load.in_flight - load.own).max(sample.in_flight - sample.own + grown);
        Load {
            in_flight: load.own + others,
            ..load
        }
    }
}

impl Load {
    fn new(context: PlacementContext<'_>, pool_key: PoolKey) -> Self {
        let mut load = Self::default();
        let Some(pool) = context.loads.pool(pool_key) else {
            return load;
        };
        let own_region = pool.own_region();
        let span = if own_region.is_empty() {
            pool.other_regions()
        } else {
            own_region
        };
        let keys = pool.keys().get(span.clone()).unwrap_or_default();
        for (at, &key) in span.zip(keys) {
            if pool.usable(at) == Usable::No {
                continue;
            }
            let endpoint = context.config.endpoints.get(key);
            load.capacity += endpoint.map_or(0, |e| u64::from(e.capacity));
            load.in_flight += u64::from(context.loads.estimate(context.now, key));
        }
        let own = context.loads.own().filter(|(key, _)| keys.contains(key));
        load.own = own.map(|(_, n)| u64::from(n)).sum();
        // The estimate leaves out own requests at endpoints that are down.
        load.in_flight = load.in_flight.max(load.own);
        load
    }

    fn is_below(self, share: Permille) -> bool {
        self.in_flight * 1000 < self.capacity * u64::from(share.0)
    }
}

/// `AdmissionController` decides which requests are admitted and which are shed.
#[derive(Debug, Default)]
pub struct AdmissionController {
    highest_priority: Priority,
    /// Routers of the own region, this one included.
    routers: u64,
    /// Mean service times, at most one for each published model and service.
    service_times: IndexMap<PoolKey, Millis>,
    /// Growth estimators, at most one for each published model and service.
    growths: IndexMap<PoolKey, GrowthEstimator>,
    shed: Demand,
    admitted: Demand,
}

impl AdmissionController {
    /// Applies a new configuration; `me` is this router, `None` while it is not in the fleet list.
    pub fn apply(&mut self, config: &Config, me: Option<RouterKey>) {
        let priorities = config.workspaces.iter().map(|(_, w)| w.priority);
        self.highest_priority = priorities.max().unwrap_or_default();
        let own_region = me.and_then(|me| config.fleet.get(me));
        let own_region = own_region.and_then(|r| region(config, &r.data_center));
        let in_own_region =
            |r: &Router| own_region.is_none() || region(config, &r.data_center) == own_region;
        self.routers = config
            .fleet
            .iter()
            .filter(|(_, r)| in_own_region(r))
            .count() as u64;
        let is_published = |pool_key: &PoolKey| match pool_key {
            PoolKey::Model(key) => config.models.get(*key).is_some(),
            PoolKey::Service(key) => config.services.get(*key).is_some(),
        };
        self.service_times
            .retain(|pool_key, _| is_published(pool_key));
        self.growths.retain(|pool_key, _| is_published(pool_key));
    }

    /// Decides on a request that is within its workspace's limit. `open` lists the workspace of each
    /// call that this router has in progress.
    pub fn admit(
        &mut self,
        context: PlacementContext<'_>,
        request: &Request,
        open: impl Iterator<Item = WorkspaceKey>,
        rng: &mut impl Rng,
    ) -> Verdict {
        let Some(pool_key) = pool_key(&request.work) else {
            return Verdict::Admit;
        };
        let load = Load::new(context, pool_key);
        // Placement refuses a request that has no endpoint.
        if load.capacity == 0 {
            return Verdict::Admit;
        }
        let growth = self.growths.entry(pool_key).or_default();
        let estimated = growth.estimate(context.now, self.routers, load);
        let time_left = request.deadline.since(context.now);
        if self.queue_wait(pool_key, load) > time_left {
            return Verdict::DeadlineUnreachable;
        }
        let threshold = self.threshold(context.config, request, time_left);
        let priority = |key| context.config.workspaces.get(key).map(|w| w.priority);
        let own_priority = priority(request.workspace);
        let same_priority = open.filter(|key| priority(*key) == own_priority);
        let queue_share = if threshold == HIGHEST_PRIORITY_THRESHOLD {
            self.queue_share(pool_key)
        } else {
            Permille(0)
        };
        let with_queue = Permille(threshold.0 + queue_share.0);
        let fits = match fair_multiple(request.workspace, same_priority) {
            // A workspace within its fair share does not cause the growth.
            Some(0) => load.is_below(with_queue),
            Some(multiple) => {
                let reserve = FAIR_SHARE_STEP.0 * multiple;
                estimated.is_below(Permille(threshold.0.saturating_sub(reserve)))
            }
            None => estimated.is_below(with_queue),
        };
        if fits {
            self.admitted.note(context.now, 1);
            return Verdict::Admit;
        }
        self.shed.note(context.now, 1);
        let retry_after = self.retry_after(context, request, time_left, rng);
        Verdict::Shed { retry_after }
    }

    /// Records the service time of an answer.
    pub fn ended(&mut self, work: &Work, took: Millis) {
        let Some(pool_key) = pool_key(work) else {
            return;
        };
        let mean = self.service_times.entry(pool_key).or_insert(took);
        mean.0 = (mean.0 * (SERVICE_TIME_DIVISOR - 1) + took.0) / SERVICE_TIME_DIVISOR;
    }

    /// Estimates the time that a request waits in the queue: the time that a full pool takes to end
    /// as many requests as are above its capacity (Little's law).
    fn queue_wait(&self, pool_key: PoolKey, load: Load) -> Millis {
        let mean = self
            .service_times
            .get(&pool_key)
            .copied()
            .unwrap_or_default();
        let ahead = load.in_flight.saturating_sub(load.capacity);
        Millis(ahead.saturating_mul(mean.0) / load.capacity.max(1))
    }

    /// Gets the share of the capacity that may queue at engines without a wait above
    /// [`MAX_QUEUE_WAIT`].
    fn queue_share(&self, pool_key: PoolKey) -> Permille {
        let mean = self.service_times.get(&pool_key).map_or(0, |t| t.0);
        if mean == 0 {
            return Permille(0);
        }
        let share = u32::try_from(MAX_QUEUE_WAIT.0 * 1000 / mean).unwrap_or(u32::MAX);
        Permille(share).min(MAX_QUEUE_SHARE)
    }

    /// Gets the share of the capacity at which a request is shed.
    fn threshold(&self, config: &Config, request: &Request, time_left: Millis) -> Permille {
        let of_priority = |priority: Priority| {
            let steps = u32::from(self.highest_priority.0.saturating_sub(priority.0));
            HIGHEST_PRIORITY_THRESHOLD
                .0
                .saturating_sub(steps * PRIORITY_STEP.0)
        };
        let own = of_priority(request.priority);
        let Some(window) = batch_window(config, request) else {
            return Permille(own);
        };
        let highest = of_priority(MAX_BATCH_PRIORITY).max(own);
        let rise = u64::from(highest - own) * window.0.saturating_sub(time_left.0) / window.0;
        Permille(own + u32::try_from(rise).unwrap_or_default())
    }

    /// Gets the time after which a shed caller should retry. The greater the share of requests that
    /// is shed, the longer is the time over which the retries are spread.
    fn retry_after(
        &self,
        context: PlacementContext<'_>,
        request: &Request,
        time_left: Millis,
        rng: &mut impl Rng,
    ) -> Millis {
        let second = Millis::from_secs(1);
        let shed = u64::from(self.shed.within(context.now, second));
        let admitted = u64::from(self.admitted.within(context.now, second));
        let spread = MIN_RETRY_AFTER.0.saturating_mul(1 + shed / (admitted + 1));
        let mut base = MIN_RETRY_AFTER.0;
        let mut spread = spread.min(MAX_RETRY_SPREAD.0);
        if batch_window(context.config, request).is_some() {
            base = (time_left.0 / BATCH_RETRY_DIVISOR).clamp(base, MAX_RETRY_SPREAD.0);
            spread = spread.max(base);
        }
        Millis(base + rng.random_range(0..spread.max(1)))
    }
}

/// Gets the time that batch work has from its start to its deadline; `None` for other work.
fn batch_window(config: &Config, request: &Request) -> Option<Millis> {
    let workspace = config.workspaces.get(request.workspace)?;
    (workspace.deadline > BATCH_MIN_DEADLINE).then_some(workspace.deadline)
}

/// Gets the multiple of its fair share that a workspace has in progress here, rounded down and at
/// most [`MAX_FAIR_MULTIPLE`]; zero up to its fair share, and `None` where only this workspace has
/// calls in progress. The fair share is the mean over the workspaces with calls in progress and
/// this one. `open` lists the workspace of each call in progress of the same priority.
///
/// One router sees a small part of the traffic, so counts are small: up to two standard deviations
/// of a Poisson count above the mean are still fair.
fn fair_multiple(workspace: WorkspaceKey, open: impl Iterator<Item = WorkspaceKey>) -> Option<u32> {
    let mut counts: IndexMap<WorkspaceKey, u32> = IndexMap::new();
    counts.insert(workspace, 0);
    for other in open {
        *counts.entry(other).or_default() += 1;
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
