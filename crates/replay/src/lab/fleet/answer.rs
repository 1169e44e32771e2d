//! The steps in which engines work and answers come.

use toucanturn_core::{
    gateway::{
        endpoint::{
            Load,
            Signal, //
        },
        outcome::{
            AttemptOutcome,
            NextStep as After, //
        },
        refusal::Cause,
    },
    units::{
        Millis,
        Permille,
        Time, //
    },
};

use crate::lab::{
    engine::Event,
    fleet::{
        Fleet,
        WAY, //
    },
    sheet::Trouble,
};

impl Fleet<'_> {
    #[expect(clippy::cast_precision_loss, reason = "experiments are short")]
    pub(super) fn work(&mut self, now: u64) {
        for engine in 0..self.engines.len() {
            let slowdown = self.slowdown(now, engine);
            self.engines[engine].set_slowdown(slowdown);
            for event in self.engines[engine].advance(now as f64) {
                match event {
                    Event::First(number) => self.first(now, number, engine),
                    Event::Whole(number) => self.whole(now, number),
                }
            }
        }
    }

    fn first(&mut self, now: u64, number: usize, engine: usize) {
        if self.requests[number].fatal {
            return self.crash(now, engine);
        }
        let leaving = self.says_leaving(now, engine);
        let brittle = self.brittle(now);
        let stated = self.sheet.at(now).any(|t| t == Trouble::Stated);
        let request = &self.requests[number];
        let Some((ticket, endpoint)) = &request.ticket else {
            return;
        };
        let load = Load {
            slowdown: stated.then(|| Permille(self.engines[engine].slowdown())),
            ..self.engines[engine].load()
        };
        let router = &mut self.routers[request.router];
        router.record_load(Time(now), *endpoint, load);
        router.record_begun(Time(now), ticket, *endpoint);
        router.record_brittle(Time(now), *endpoint, brittle);
        if leaving {
            router.record_signal(Time(now), ticket, Signal::Leaving);
            let told = (request.router, engine);
            self.told_leaving.entry(told).or_insert(now);
        } else {
            router.confirm(ticket, *endpoint);
        }
        let outcome = &mut self.account.outcomes[number];
        let took = now + WAY - request.asked;
        outcome.first = Some(took);
        outcome.on_time = took <= self.sheet.kinds[request.kind].goal;
    }

    fn whole(&mut self, now: u64, number: usize) {
        let request = &mut self.requests[number];
        if let Some((mut ticket, endpoint)) = request.ticket.take() {
            let router = &mut self.routers[request.router];
            router.ended(Time(now), &mut ticket, endpoint, AttemptOutcome::Answered);
        }
    }

    pub(super) fn broke(&mut self, now: u64, number: usize) {
        let request = &mut self.requests[number];
        let Some((mut ticket, endpoint)) = request.ticket.take() else {
            return;
        };
        let router = &mut self.routers[request.router];
        let next = router.ended(Time(now), &mut ticket, endpoint, AttemptOutcome::Broken);
        if next == After::Again {
            self.inquire(now, number, ticket);
        }
    }

    /// Ends an attempt that an engine turned away.
    pub(super) fn rejected(&mut self, now: u64, number: usize, asked: u64) {
        let request = &mut self.requests[number];
        let Some((mut ticket, endpoint)) = request.ticket.take() else {
            return;
        };
        let brittle = self.sheet.troubles.iter().find_map(|s| match s.trouble {
            Trouble::Brittle { limit, stated, .. } => Some(limit).filter(|_| stated),
            _ => None,
        });
        let router = &mut self.routers[request.router];
        let at = Time(now);
        if brittle.is_some() {
            router.record_brittle(at, endpoint, brittle);
            let load = self.engines[request.engine].load();
            router.record_load(at, endpoint, load);
        }
        if asked > 0 {
            router.record_signal(at, &ticket, Signal::BackOff(Millis(asked)));
        }
        let next = router.ended(at, &mut ticket, endpoint, AttemptOutcome::Rejected);
        if next == After::Again {
            return self.inquire(now, number, ticket);
        }
        let refusal = router.give_up(at, &ticket, Cause::NoEndpoint);
        self.refused(now, number, refusal);
    }

    /// Gets the thousandths of the usual time that work takes at an engine.
    fn slowdown(&self, now: u64, engine: usize) -> u32 {
        let slow = self.sheet.at(now).filter_map(|t| match t {
            Trouble::Slow { share, slowdown } if self.takes(engine, share) => Some(slowdown),
            _ => None,
        });
        slow.max().unwrap_or(1000)
    }

    fn says_leaving(&self, now: u64, engine: usize) -> bool {
        let leaves = |t| matches!(t, Trouble::Leaves { share } if self.takes(engine, share));
        self.sheet.at(now).any(leaves)
    }

    /// Gets how many requests an engine may turn away within a second, if it says that it is brittle.
    fn brittle(&self, now: u64) -> Option<u32> {
        self.sheet.at(now).find_map(|t| match t {
            Trouble::Brittle { limit, stated, .. } if stated => Some(limit),
            _ => None,
        })
    }
}
