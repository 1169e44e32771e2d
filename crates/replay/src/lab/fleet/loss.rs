//! Routers that are lost, and engines that end and come back.

use toucanturn_core::{
    gateway::Change,
    units::Time, //
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
    sheet::Trouble,
};

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
}
