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
        Group,
        Pool,
        Usable,
        quota, //
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
    total: u64,
    count: u64,
}

/// `Found` is what a scan over a round's endpoints finds, by place in the pool.
#[derive(Clone, Copy, Debug, Default)]
struct Found {
    /// First by rendezvous hash.
    first: Option<usize>,
    /// First among those below the mean.
    low: Option<usize>,
    /// First among those below the limit.
    under: Option<usize>,
    /// Least loaded.
    least: Option<usize>,
}

/// `Best` is the place with the greatest score so far.
#[derive(Clone, Copy, Debug, Default)]
struct Best {
    score: u64,
    at: Option<usize>,
}

impl Best {
    fn offer(&mut self, score: u64, at: usize) {
        if self.at.is_none() || score > self.score {
            self.score = score;
            self.at = Some(at);
        }
    }
}

impl<'a> Round<'a> {
    pub(super) fn new(
        scene: Scene<'a>,
        pool: &'a Pool,
        span: Range<usize>,
        usable: Usable,
        barred: &'a [EndpointKey],
    ) -> Self {
        let (total, count) = pool.sum(span.clone(), usable);
        Self {
            scene,
            pool,
            span,
            usable,
            barred,
            total,
            count,
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
    fn limit(&self, multiple: Permille) -> u32 {
        let limit = multiple.of(self.total + 1).div_ceil(self.count.max(1));
        u32::try_from(limit).unwrap_or(u32::MAX)
    }

    fn hard_limit(&self) -> u32 {
        let multiple = self.scene.config.policy.load_multiple.0;
        self.limit(Permille(multiple.saturating_sub(MARGIN.0).max(1000)))
    }

    fn open(&self, at: usize) -> bool {
        self.pool.has_room(at, self.usable) && !self.barred.contains(&self.pool.keys()[at])
    }

    fn fits(&self, at: usize, limit: u32) -> bool {
        let load = self.pool.load(at);
        let unshared = self.pool.unshared(at);
        load < limit && unshared < quota(load - unshared, limit) && self.open(at)
    }

    fn chat(&self, group: Group, prefix: Prefix, token: Option<Token>) -> Option<Placed> {
        let limit = self.hard_limit();
        let held = token.and_then(|t| self.holder(t.last, Some(t.incarnation)));
        let before = token.and_then(|t| self.holder(t.before?, None));
        let found = self.scan(prefix, limit);
        let kept = [(held, Reason::Token), (before, Reason::TokenBefore)];
        for (key, reason) in kept {
            let at = key.and_then(|key| self.scene.loads.place(group, key));
            if let Some(at) = at.filter(|at| self.span.contains(at) && self.fits(*at, limit)) {
                let import_from = held.filter(|_| reason == Reason::TokenBefore);
                return Some(self.placed(at, reason, limit, found, import_from));
            }
        }
        // The chats of an engine that left were moved to their home by hash (`moves`).
        let moved = token.is_some() && held.is_none();
        let low = found.low.filter(|_| !moved);
        let at = low.or(found.under).or(found.least)?;
        let reason = match at {
            _ if found.first == Some(at) => Reason::Home,
            _ if self.fits(at, limit) => Reason::Overflow,
            _ => Reason::LeastLoaded,
        };
        Some(self.placed(at, reason, limit, found, held.or(before)))
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

    fn scan(&self, prefix: Prefix, limit: u32) -> Found {
        let low_limit = self.limit(LOW).min(limit);
        let (mut first, mut low, mut under) = (Best::default(), Best::default(), Best::default());
        let mut least = (u32::MAX, 0);
        let mut least_at = None;
        for at in self.span.clone().filter(|at| self.open(*at)) {
            let score = self.pool.score(at, prefix.0);
            let load = self.pool.load(at);
            first.offer(score, at);
            if load < limit && self.fits(at, limit) {
                under.offer(score, at);
                if load < low_limit {
                    low.offer(score, at);
                }
            }
            if least_at.is_none() || (load, !score) < least {
                least = (load, !score);
                least_at = Some(at);
            }
        }
        Found {
            first: first.at,
            low: low.at,
            under: under.at,
            least: least_at,
        }
    }

    fn placed(
        &self,
        at: usize,
        reason: Reason,
        limit: u32,
        found: Found,
        import_from: Option<EndpointKey>,
    ) -> Placed {
        let key = |at: usize| self.pool.keys()[at];
        let other = |f: &usize| *f != at;
        let runner_up = found.first.filter(other).or(found.under.filter(other));
        Placed {
            endpoint: key(at),
            runner_up: runner_up.map(key),
            import_from: import_from.filter(|from| *from != key(at)),
            limit,
            reason,
        }
    }

    /// Picks the less loaded of two drawn at random, or the least loaded where both are at the
    /// limit.
    fn plain(&self, rng: &mut impl Rng) -> Option<Placed> {
        let limit = self.hard_limit();
        let mut draw =
            || Some(rng.random_range(self.span.clone())).filter(|at| self.fits(*at, limit));
        let drawn = if self.span.is_empty() {
            [None, None]
        } else {
            [draw(), draw()]
        };
        let load = |at: &usize| self.pool.load(*at);
        let open = || self.span.clone().filter(|at| self.open(*at));
        let at = drawn.into_iter().flatten().min_by_key(load);
        let at = at.or_else(|| open().min_by_key(load))?;
        let other = drawn.into_iter().flatten().find(|other| *other != at);
        let key = |at: usize| self.pool.keys()[at];
        Some(Placed {
            endpoint: key(at),
            runner_up: other.map(key),
            import_from: None,
            limit,
            reason: Reason::LeastLoaded,
        })
    }
}
