//! The step in which a request reaches its engine.

use toucanturn_judge::multiple;

use crate::lab::{
    account::Arrival,
    engine::Job,
    fleet::{
        Fleet,
        Next,
        WAY, //
    },
    sheet::{
        Span,
        Trouble, //
    },
};

/// Time after an engine's answer from which requests of that router count against its back-off, in milliseconds.
const BACK_OFF_GRACE: u64 = 500;
/// Requests that may come until the back-off's end.
const BACK_OFF_ALLOWED: u32 = 2;
/// Time after an answer that says that an engine leaves for which requests of that router may still reach it, in
/// milliseconds.
const LEAVING_GRACE: u64 = 2000;

/// `Pause` is a time for which an engine has asked a router for no requests, and the requests that came.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pause {
    from: u64,
    to: u64,
    arrivals: u32,
}

impl Fleet<'_> {
    pub(super) fn arrive(&mut self, now: u64, number: usize, engine: usize) {
        let up = (0..self.engines.len()).filter(|e| self.is_up(now, *e));
        let (count, sum) = up.fold((0, 0), |(count, sum), e| {
            (count + 1, sum + self.engines[e].load().requests())
        });
        let mean = f64::from(sum) / f64::from(count.max(1_u32));
        let load = f64::from(self.engines[engine].load().requests());
        self.account.arrivals.push(Arrival {
            at: now,
            over: multiple::is_over(load, mean),
        });
        let router = self.requests[number].router;
        self.judge_arrival(now, router, engine);
        if let Some(asked) = self.sheds(now, engine) {
            self.account.rejected.push(now);
            if asked > 0 {
                let pause = Pause {
                    from: now + BACK_OFF_GRACE,
                    to: now + asked,
                    arrivals: 0,
                };
                self.pauses.entry((router, engine)).or_default().push(pause);
            }
            return self.later(now + WAY, Next::Rejected(number, asked));
        }
        if !self.lives[engine].down && self.is_turned_away(now, engine) {
            self.account.rejected.push(now);
            return self.later(now + WAY, Next::Rejected(number, 0));
        }
        let request = &self.requests[number];
        let Some(prompt) = &request.incoming_request.prompt else {
            return;
        };
        let Some(own) = prompt.parts.last().copied() else {
            return;
        };
        let shared = prompt.parts[0];
        if !self.engines[engine].holds(shared.id) && !self.known.insert(shared.id) {
            self.account.read_again += u64::from(shared.tokens);
        }
        if request.fatal {
            self.account.fatal.push(now);
        }
        if self.lives[engine].down {
            self.later(now + WAY, Next::Broke(number));
            return;
        }
        self.engines[engine].take(Job {
            number,
            parts: vec![shared],
            own: own.tokens,
            output: request.output,
        });
    }

    /// Counts a request that reaches an engine against what that engine has told its router.
    fn judge_arrival(&mut self, now: u64, router: usize, engine: usize) {
        self.account.count_arrival(now, engine);
        let told = self.told_leaving.get(&(router, engine));
        let late = told.is_some_and(|told| now > told + LEAVING_GRACE);
        self.account.after_leaving += usize::from(late);
        let Some(pauses) = self.pauses.get_mut(&(router, engine)) else {
            return;
        };
        pauses.retain(|p| now <= p.to);
        for pause in pauses.iter_mut().filter(|p| now > p.from) {
            pause.arrivals += 1;
            let over = pause.arrivals > BACK_OFF_ALLOWED;
            self.account.in_back_off += usize::from(over);
        }
    }

    /// Gets whether an engine turns requests away, and for how long it asks for none then.
    fn sheds(&self, now: u64, engine: usize) -> Option<u64> {
        self.sheet.at(now).find_map(|t| match t {
            Trouble::Shed { share, back_off } if self.takes(engine, share) => Some(back_off),
            _ => None,
        })
    }

    /// Turns a request away if the engine is brittle and full; the engine crashes if it does so too often.
    fn is_turned_away(&mut self, now: u64, engine: usize) -> bool {
        let full = |span: &Span| match span.trouble {
            Trouble::Brittle {
                room,
                notice,
                limit,
                down,
                ..
            } => {
                let during = (span.from + notice..span.to).contains(&now);
                let load = self.engines[engine].load();
                let full = load.running >= load.slots && load.waiting >= room;
                (during && full).then_some((limit, down))
            }
            _ => None,
        };
        let Some((limit, down)) = self.sheet.troubles.iter().find_map(full) else {
            return false;
        };
        let turned_away = &mut self.turned_away[engine];
        turned_away.retain(|at| now < at + 1000);
        turned_away.push(now);
        if turned_away.len() > limit as usize && !self.lives[engine].down {
            turned_away.clear();
            self.account.falls.push(now);
            self.crash_for(now, engine, down);
        }
        true
    }
}
