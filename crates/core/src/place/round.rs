//! One pass over the endpoints of one region and kind of state.

use std::ops::Range;

use rand::{
    Rng,
    RngExt, //
};

use super::Scene;
use crate::{
    arena::EndpointKey,
    ids::Tag,
    load::{
        CLOSED,
        Group,
        Pool,
        Sum,
        Usable,
        item_seed,
        quota,
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

/// What the limit stays below the published multiple: the mean falls while requests are under way,
/// and an engine at its limit can't follow it down. Measured in docs/design/skew.md.
const MARGIN: Permille = Permille(25);
/// Share of the mean below which an engine gets chats that come without a token.
const LOW: Permille = Permille(900);

/// `Round` is one pass.
pub(super) struct Round<'a> {
    scene: Scene<'a>,
    pool: &'a Pool,
    span: Range<usize>,
    usable: Usable,
    barred: &'a [EndpointKey],
    /// Of the endpoints that this round takes.
    sum: Sum,
    /// Of those and the suspect ones.
    all: Sum,
}

/// `Limits` is the loads at which an endpoint gets no more. Both are the same while every router
/// is heard. Where routers have lost each other, each side keeps its own requests even, so that
/// the sum is even whatever the others do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Limits {
    /// Of all requests there, as estimated.
    load: u32,
    /// Of those of this router and the peers that it hears.
    heard: u32,
}

impl<'a> Round<'a> {
    pub(super) fn new(
        scene: Scene<'a>,
        pool: &'a Pool,
        span: Range<usize>,
        usable: Usable,
        barred: &'a [EndpointKey],
    ) -> Self {
        let sum = pool.sum(&span, usable);
        let all = pool.sum(&span, Usable::LastResort);
        Self {
            scene,
            pool,
            span,
            usable,
            barred,
            sum,
            all,
        }
    }

    /// Tells whether an endpoint's state is what this round looks for.
    pub(super) fn takes_work(&self, key: EndpointKey) -> bool {
        match self.scene.view.state(self.scene.now, key) {
            State::Live => true,
            State::Suspect => self.usable == Usable::LastResort,
            State::Leaving | State::Down => false,
        }
    }

    /// Picks an endpoint; `None` when none of the round has room.
    pub(super) fn pick(&self, group: Group, work: &Work, rng: &mut impl Rng) -> Option<Placed> {
        match work {
            Work::Chat { prefix, token, .. } => self.chat(group, *prefix, *token),
            Work::Plain { .. } | Work::Once { .. } => self.plain(rng),
        }
    }

    /// Gets the load at which an endpoint gets no more: the multiple of the mean, with the request
    /// that is being placed, rounded up (Mirrokni, Thorup and Zadimoghaddam, 2018).
    ///
    /// Suspect endpoints count in the mean, as they may be well and idle, but the mean of those
    /// that take work is always allowed.
    fn limit(&self, multiple: Permille, total: impl Fn(Sum) -> u64) -> u32 {
        let mean = |sum: Sum, multiple: Permille| {
            let total = total(sum) + 1;
            multiple.of(total).div_ceil(sum.count.max(1))
        };
        let limit = mean(self.all, multiple).max(mean(self.sum, Permille(1000)));
        u32::try_from(limit).unwrap_or(u32::MAX)
    }

    /// Gets the load below which an endpoint gets chats that come without a token.
    fn low_limit(&self) -> u32 {
        let limit = LOW.of(self.sum.total + 1).div_ceil(self.sum.count.max(1));
        u32::try_from(limit).unwrap_or(u32::MAX)
    }

    fn limits(&self) -> Limits {
        let multiple = self.scene.config.policy.load_multiple.0;
        let multiple = Permille(multiple.saturating_sub(MARGIN.0).max(1000));
        Limits {
            load: self.limit(multiple, |sum| sum.total),
            heard: self.limit(multiple, |sum| sum.heard),
        }
    }

    fn barred(&self, at: usize) -> bool {
        self.barred.contains(&self.pool.keys()[at])
    }

    /// Tells whether an endpoint may get the request under the limit, and without the peers'
    /// hearing of more than they may miss.
    fn fits(&self, at: usize, limits: Limits) -> bool {
        let load = self.pool.open_at(at, self.usable);
        let unshared = self.pool.unshared(at);
        load < limits.load
            && self.pool.heard(at) < limits.heard
            && unshared < quota(load.saturating_sub(unshared), limits.load)
            && !self.barred(at)
    }

    fn chat(&self, group: Group, prefix: Prefix, token: Option<Token>) -> Option<Placed> {
        let limits = self.limits();
        let held = token.and_then(|t| self.holder(t.last, Some(t.incarnation)));
        let before = token.and_then(|t| self.holder(t.before?, None));
        let place = |key| {
            let at = self.scene.loads.place(group, key)?;
            (self.span.contains(&at) && self.fits(at, limits)).then_some(at)
        };
        if let Some(at) = held.and_then(place) {
            return Some(self.placed(at, Reason::Token, limits, before));
        }
        if let Some(at) = before.and_then(place) {
            let placed = self.placed(at, Reason::TokenBefore, limits, held);
            let import_from = held;
            return Some(Placed {
                import_from,
                ..placed
            });
        }
        self.search(prefix, token.is_some(), limits, held, before)
    }

    /// Looks for an engine that doesn't hold the chat's prefix, or can't be told to.
    fn search(
        &self,
        prefix: Prefix,
        returns: bool,
        limits: Limits,
        held: Option<EndpointKey>,
        before: Option<EndpointKey>,
    ) -> Option<Placed> {
        let found = Scan::run(self, prefix, limits);
        // The chats of an engine that leaves were moved to their home by hash ([`super::moves`]).
        let moved = returns && !held.is_some_and(|key| self.takes_work(key));
        let low = found.low.filter(|_| !moved);
        let at = low.or(found.under).or_else(|| self.least())?;
        let reason = match at {
            _ if found.first == Some(at) => Reason::Home,
            _ if self.fits(at, limits) => Reason::Overflow,
            _ => Reason::LeastLoaded,
        };
        let key = |at: usize| self.pool.keys()[at];
        let second = [found.first, found.under].into_iter().flatten();
        let second = second.map(key).find(|other| *other != key(at));
        let home = found.first.filter(|_| moved).map(key);
        let import_from = held.or(before).or(home).filter(|from| *from != key(at));
        let placed = self.placed(at, reason, limits, second);
        Some(Placed {
            import_from,
            ..placed
        })
    }

    /// Gets the engine of a tag if it may still hold what it held in that life.
    fn holder(&self, tag: Tag, life: Option<Incarnation>) -> Option<EndpointKey> {
        let key = self.scene.config.endpoints.by_tag(tag)?;
        let up = self.scene.view.state(self.scene.now, key) != State::Down;
        // A life that the token doesn't know (zero) can't be told from the present one.
        let known = life.filter(|l| *l > Incarnation(0));
        let same = known.is_none_or(|l| self.scene.view.incarnation(key) <= l);
        (up && same).then_some(key)
    }

    /// Gets the least loaded endpoint that has room, whatever the limit.
    fn least(&self) -> Option<usize> {
        let load = |at: &usize| self.pool.open_at(*at, self.usable);
        let open = |at: &usize| load(at) != CLOSED && !self.barred(*at);
        self.span.clone().filter(open).min_by_key(load)
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

    /// Picks the less loaded of two drawn at random, or the least loaded where both are at the
    /// limit (Mitzenmacher, 2001).
    fn plain(&self, rng: &mut impl Rng) -> Option<Placed> {
        if self.span.is_empty() {
            return None;
        }
        let limits = self.limits();
        let drawn = [(); 2].map(|()| rng.random_range(self.span.clone()));
        let load = |at: &usize| self.pool.open_at(*at, self.usable);
        let fit = drawn.into_iter().filter(|at| self.fits(*at, limits));
        let at = fit.min_by_key(load).or_else(|| self.least())?;
        let other = drawn.into_iter().find(|other| *other != at);
        let runner_up = other.map(|other| self.pool.keys()[other]);
        Some(self.placed(at, Reason::LeastLoaded, limits, runner_up))
    }
}

/// `Scan` is what one look at all endpoints of a round finds, by place in the pool.
#[derive(Clone, Copy, Debug, Default)]
struct Scan {
    /// First by rendezvous hash.
    first: Option<usize>,
    /// First among those below the mean.
    low: Option<usize>,
    /// First among those below the limit.
    under: Option<usize>,
}

impl Scan {
    /// Looks at every endpoint once; the costly checks come only where a score is the best so far.
    fn run(round: &Round<'_>, prefix: Prefix, limits: Limits) -> Self {
        let item = item_seed(prefix.0);
        let low_limit = round.low_limit().min(limits.load);
        let loads = round.pool.open(&round.span, round.usable);
        let seeds = round.pool.seeds(&round.span);
        let mut found = Self::default();
        let (mut first, mut low, mut under) = (0, 0, 0);
        for (i, (load, seed)) in loads.iter().zip(seeds).enumerate() {
            let score = score(item, *seed);
            let at = round.span.start + i;
            if score >= first && *load != CLOSED && !round.barred(at) {
                first = score;
                found.first = Some(at);
            }
            if score >= under && *load < limits.load && round.fits(at, limits) {
                under = score;
                found.under = Some(at);
            }
            if score >= low && *load < low_limit && round.fits(at, limits) {
                low = score;
                found.low = Some(at);
            }
        }
        found
    }
}
