//! One placement pass over the endpoints of one region that are at least as usable as asked.

use std::ops::Range;

use rand::{
    Rng,
    RngExt, //
};

use super::PlacementContext;
use crate::{
    arena::EndpointKey,
    ids::Tag,
    load::{
        LoadTotals,
        NO_ROOM,
        Pool,
        PoolKey,
        Usable,
        item_seed,
        max_unannounced,
        score, //
    },
    membership::State,
    request::{
        Placed,
        Prefix,
        Reason,
        Token,
        Work, //
    },
    units::{
        Incarnation,
        Permille, //
    },
};

/// Margin by which the limit stays below the published multiple: the mean can fall while requests
/// are in progress, and the load of an engine at its limit doesn't fall with it. See
/// docs/design/skew.md.
const LIMIT_MARGIN: Permille = Permille(25);
/// Share of the mean load below which an engine gets chats that come without a token.
const LOW_LOAD_SHARE: Permille = Permille(900);

/// `Pass` is one placement pass.
pub(super) struct Pass<'a> {
    context: PlacementContext<'a>,
    pool: &'a Pool,
    span: Range<usize>,
    usable: Usable,
    excluded: &'a [EndpointKey],
    /// Totals of the endpoints that this pass takes.
    usable_totals: LoadTotals,
    /// Totals of those and the suspect ones.
    all_totals: LoadTotals,
}

/// `Limits` holds the loads at which an endpoint gets no more requests. Both are the same while
/// every router is heard. In a partition, each side spreads its own requests evenly, so that the
/// sum is even whatever the other side does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Limits {
    /// Limit of all requests at an endpoint, as estimated.
    load: u32,
    /// Limit of the requests of this router and of the peers whose summaries are current.
    known: u32,
}

impl<'a> Pass<'a> {
    pub(super) fn new(
        context: PlacementContext<'a>,
        pool: &'a Pool,
        span: Range<usize>,
        usable: Usable,
        excluded: &'a [EndpointKey],
    ) -> Self {
        let usable_totals = pool.totals(&span, usable);
        let all_totals = pool.totals(&span, Usable::LastResort);
        Self {
            context,
            pool,
            span,
            usable,
            excluded,
            usable_totals,
            all_totals,
        }
    }

    /// Tells whether an endpoint's present state allows this pass to choose it.
    pub(super) fn takes_work(&self, key: EndpointKey) -> bool {
        match self.context.view.state(self.context.now, key) {
            State::Live => true,
            State::Suspect => self.usable == Usable::LastResort,
            State::Leaving | State::Down => false,
        }
    }

    /// Picks an endpoint; `None` when none that this pass takes has room.
    pub(super) fn pick(
        &self,
        pool_key: PoolKey,
        work: &Work,
        rng: &mut impl Rng,
    ) -> Option<Placed> {
        match work {
            Work::Chat { prefix, token, .. } => self.chat(pool_key, *prefix, *token),
            Work::Plain { .. } | Work::Once { .. } => self.plain(rng),
        }
    }

    /// Gets the load at which an endpoint gets no more requests: the multiple of the mean, which
    /// includes the request being placed, rounded up (Mirrokni, Thorup and Zadimoghaddam, 2018).
    ///
    /// The mean includes suspect endpoints, as they may be healthy and idle. The limit is never
    /// below the mean of the endpoints that this pass takes.
    fn limit(&self, multiple: Permille, total: impl Fn(LoadTotals) -> u64) -> u32 {
        let mean = |totals: LoadTotals, multiple: Permille| {
            let total = total(totals) + 1;
            multiple.of(total).div_ceil(totals.count.max(1))
        };
        let limit = mean(self.all_totals, multiple).max(mean(self.usable_totals, Permille(1000)));
        u32::try_from(limit).unwrap_or(u32::MAX)
    }

    /// Gets the load below which an endpoint gets chats that come without a token.
    fn low_limit(&self) -> u32 {
        let limit = LOW_LOAD_SHARE
            .of(self.usable_totals.total + 1)
            .div_ceil(self.usable_totals.count.max(1));
        u32::try_from(limit).unwrap_or(u32::MAX)
    }

    fn limits(&self) -> Limits {
        let multiple = self.context.config.policy.load_multiple.0;
        let multiple = Permille(multiple.saturating_sub(LIMIT_MARGIN.0).max(1000));
        Limits {
            load: self.limit(multiple, |totals| totals.total),
            known: self.limit(multiple, |totals| totals.known),
        }
    }

    fn is_excluded(&self, at: usize) -> bool {
        self.excluded.contains(&self.pool.keys()[at])
    }

    /// Tells whether an endpoint may get the request: it is below the limits, and this router may
    /// send it another request before it announces the last ones.
    fn fits(&self, at: usize, limits: Limits) -> bool {
        let load = self.pool.available_load(at, self.usable);
        let unannounced = self.pool.unannounced(at);
        load < limits.load
            && self.pool.known(at) < limits.known
            && unannounced < max_unannounced(load.saturating_sub(unannounced), limits.load)
            && !self.is_excluded(at)
    }

    fn chat(&self, pool_key: PoolKey, prefix: Prefix, token: Option<Token>) -> Option<Placed> {
        let limits = self.limits();
        let holder = token.and_then(|t| self.holder(t.last, Some(t.incarnation)));
        let previous = token.and_then(|t| self.holder(t.before?, None));
        let position = |key| {
            let at = self.context.loads.position(pool_key, key)?;
            (self.span.contains(&at) && self.fits(at, limits)).then_some(at)
        };
        if let Some(at) = holder.and_then(position) {
            return Some(self.placed(at, Reason::Token, limits, previous));
        }
        if let Some(at) = previous.and_then(position) {
            let placed = self.placed(at, Reason::TokenBefore, limits, holder);
            let import_from = holder;
            return Some(Placed {
                import_from,
                ..placed
            });
        }
        self.search(prefix, token.is_some(), limits, holder, previous)
    }

    /// Chooses an engine for a chat that no engine named by a token can take.
    fn search(
        &self,
        prefix: Prefix,
        is_returning: bool,
        limits: Limits,
        holder: Option<EndpointKey>,
        previous: Option<EndpointKey>,
    ) -> Option<Placed> {
        let found = Candidates::scan(self, prefix, limits);
        // The chats of an engine that leaves were moved to their home ([`super::moves`]).
        let moved = is_returning && !holder.is_some_and(|key| self.takes_work(key));
        let low_load = found.low_load.filter(|_| !moved);
        let at = low_load
            .or(found.below_limit)
            .or_else(|| self.least_loaded())?;
        let reason = match at {
            _ if found.home == Some(at) => Reason::Home,
            _ if self.fits(at, limits) => Reason::Overflow,
            _ => Reason::LeastLoaded,
        };
        let key = |at: usize| self.pool.keys()[at];
        let second = [found.home, found.below_limit].into_iter().flatten();
        let second = second.map(key).find(|other| *other != key(at));
        let home = found.home.filter(|_| moved).map(key);
        let import_from = holder.or(previous).or(home).filter(|from| *from != key(at));
        let placed = self.placed(at, reason, limits, second);
        Some(Placed {
            import_from,
            ..placed
        })
    }

    /// Gets the engine of a tag if it may still hold what that incarnation held.
    fn holder(&self, tag: Tag, incarnation: Option<Incarnation>) -> Option<EndpointKey> {
        let key = self.context.config.endpoints.by_tag(tag)?;
        let up = self.context.view.state(self.context.now, key) != State::Down;
        // An incarnation that the token doesn't know (zero) counts as the present one.
        let known = incarnation.filter(|i| *i > Incarnation(0));
        let same = known.is_none_or(|i| self.context.view.incarnation(key) <= i);
        (up && same).then_some(key)
    }

    /// Gets the least loaded endpoint that has room, whatever the limit.
    fn least_loaded(&self) -> Option<usize> {
        let load = |at: &usize| self.pool.available_load(*at, self.usable);
        let has_room = |at: &usize| load(at) != NO_ROOM && !self.is_excluded(*at);
        self.span.clone().filter(has_room).min_by_key(load)
    }

    fn placed(
        &self,
        at: usize,
        reason: Reason,
        limits: Limits,
        runner_up: Option<EndpointKey>,
    ) -> Placed {
        Placed {
            endpoint: self.pool.keys()[at],
            runner_up,
            import_from: None,
            limit: limits.load,
            reason,
        }
    }

    /// Picks the less loaded of two endpoints drawn at random, or the least loaded one where both
    /// are at the limit (Mitzenmacher, 2001).
    fn plain(&self, rng: &mut impl Rng) -> Option<Placed> {
        if self.span.is_empty() {
            return None;
        }
        let limits = self.limits();
        let drawn = [(); 2].map(|()| rng.random_range(self.span.clone()));
        let load = |at: &usize| self.pool.available_load(*at, self.usable);
        let fitting = drawn.into_iter().filter(|at| self.fits(*at, limits));
        let at = fitting.min_by_key(load).or_else(|| self.least_loaded())?;
        let other = drawn.into_iter().find(|other| *other != at);
        let runner_up = other.map(|other| self.pool.keys()[other]);
        Some(self.placed(at, Reason::LeastLoaded, limits, runner_up))
    }
}

/// `Candidates` holds the candidates for a chat among the endpoints of a pass, as positions in the
/// pool.
#[derive(Clone, Copy, Debug, Default)]
struct Candidates {
    /// First by rendezvous hash.
    home: Option<usize>,
    /// First by rendezvous hash among those below the low-load limit.
    low_load: Option<usize>,
    /// First by rendezvous hash among those below the limit.
    below_limit: Option<usize>,
}

impl Candidates {
    /// Visits every endpoint once, and makes the costlier checks only where its score is the best
    /// so far.
    fn scan(pass: &Pass<'_>, prefix: Prefix, limits: Limits) -> Self {
        let item = item_seed(prefix.0);
        let low_limit = pass.low_limit().min(limits.load);
        let loads = pass.pool.available_loads(&pass.span, pass.usable);
        let seeds = pass.pool.seeds(&pass.span);
        let mut found = Self::default();
        let (mut home_score, mut low_load_score, mut below_limit_score) = (0, 0, 0);
        for (i, (load, seed)) in loads.iter().zip(seeds).enumerate() {
            let score = score(item, *seed);
            let at = pass.span.start + i;
            if score >= home_score && *load != NO_ROOM && !pass.is_excluded(at) {
                home_score = score;
                found.home = Some(at);
            }
            if score >= below_limit_score && *load < limits.load && pass.fits(at, limits) {
                below_limit_score = score;
                found.below_limit = Some(at);
            }
            if score >= low_load_score && *load < low_limit && pass.fits(at, limits) {
                low_load_score = score;
                found.low_load = Some(at);
            }
        }
        found
    }
}
