//! Routers that are lost, and engines that end and come back.

use rand::RngExt;
use toucanturn_core::{
    gateway::{
        Change,
        endpoint::Entry, //
    },
    units::Time,
};

use crate::lab::{
    engine::Engine,
    fleet::{
        Fleet,
        Life,
        Next,
        RETRY,
        Request,
        WAY,
        deployment::entry, //
    },
    sheet::{
        Span,
        Trouble, //
    },
};

/// Milliseconds within which all routers have read a change of the registry.
const REGISTRY_DELAY: u64 = 500;

impl Fleet<'_> {
    pub(super) fn lost(&self, now: u64) -> bool {
        self.sheet.at(now).any(|t| t == Trouble::Lost)
    }

    /// Gets the router that is lost at a time.
    pub(super) fn lost_router(&self, now: u64) -> Option<usize> {
        self.sheet.at(now).find_map(|t| match t {
            Trouble::RouterLost { router } => Some(router),
            _ => None,
        })
    }

    /// Forgets what all routers had under way: their callers see broken answers.
    pub(super) fn lose(&mut self) {
        for request in &mut self.requests {
            request.ticket = None;
        }
        self.exchange.lose(|_| true);
    }

    /// Forgets what one router had under way.
    pub(super) fn lose_router(&mut self, number: usize) {
        let there = |r: &&mut Request| r.router == number;
        for request in self.requests.iter_mut().filter(there) {
            request.ticket = None;
        }
        let requests = &self.requests;
        self.exchange.lose(|n| requests[n].router == number);
    }

    /// Ends an engine with all that it has.
    pub(super) fn crash(&mut self, now: u64, engine: usize) {
        let down = self.sheet.troubles.iter().find_map(|s| match s.trouble {
            Trouble::Fatal { down, .. } | Trouble::FatalPart { down, .. } => Some(down),
            _ => None,
        });
        self.account.crashes.push(now);
        self.crash_for(now, engine, down.unwrap_or(RETRY));
    }

    /// Ends an engine with all that it has; it is back after `down`.
    pub(super) fn crash_for(&mut self, now: u64, engine: usize, down: u64) {
        self.engines[engine] = Engine::new(self.sheet.shape);
        self.lives[engine].down = true;
        let there = |r: &Request| r.engine == engine && r.ticket.is_some();
        let requests = self.requests.iter().enumerate();
        let broken: Vec<usize> = requests.filter(|(_, r)| there(r)).map(|(n, _)| n).collect();
        for number in broken {
            self.account.broken += usize::from(!self.requests[number].fatal);
            self.later(now + WAY, Next::Broke(number));
        }
        self.later(now + down, Next::Back(engine));
    }

    /// Lists an engine that is back, under a new name.
    pub(super) fn back(&mut self, now: u64, engine: usize) {
        let before = self.lives[engine].number;
        self.lives[engine] = Life {
            number: before + 1,
            down: false,
        };
        let old = entry(self.sheet, engine, before).id;
        let new = entry(self.sheet, engine, before + 1);
        for router in &mut self.routers {
            let changes = vec![Change::Removed(old.clone()), Change::Entry(new.clone())];
            router.apply_changes(Time(now), changes);
        }
    }

    /// Has the routers read of engines that begin to drain now, or are gone now.
    pub(super) fn scale_in(&mut self, now: u64) {
        let sheet = self.sheet;
        for span in &sheet.troubles {
            let Trouble::ScaleIn { share } = span.trouble else {
                continue;
            };
            if now != span.from && now != span.to {
                continue;
            }
            let drained = now == span.to;
            for engine in 0..self.engines.len() {
                if !self.takes(engine, share) {
                    continue;
                }
                for who in 0..self.routers.len() {
                    let delay = self.rng.random_range(0..REGISTRY_DELAY);
                    self.later(now + 1 + delay, Next::Drain(who, engine, drained));
                }
            }
        }
    }

    /// Gives a router an engine's entry that says that it drains, or takes the entry away.
    pub(super) fn drain(&mut self, now: u64, who: usize, engine: usize, drained: bool) {
        let listed = entry(self.sheet, engine, self.lives[engine].number);
        let change = if drained {
            Change::Removed(listed.id)
        } else {
            Change::Entry(Entry {
                leaving: true,
                ..listed
            })
        };
        self.routers[who].apply_changes(Time(now), vec![change]);
    }

    /// Tells whether an engine is up.
    pub(super) fn is_up(&self, now: u64, engine: usize) -> bool {
        let gone = |s: &Span| match s.trouble {
            Trouble::ScaleIn { share } => now >= s.to && self.takes(engine, share),
            _ => false,
        };
        !self.sheet.troubles.iter().any(gone)
    }
}
