//! The oracle that knows the state of all engines.

use toucanturn_core::gateway::incoming_request::Part;
use toucanturn_judge::multiple;

use crate::lab::{
    account::Decision,
    engine::Job,
    fleet::{
        Fleet,
        LIMIT,
        WAY, //
    },
    sheet::Placement,
};

/// Times until a first event that differ by less are about equal, in milliseconds.
const ABOUT_EQUAL: u64 = 10;

impl Fleet<'_> {
    /// Compares a decision with the best one if that is due. Returns the best engine, and from which one it fetches the
    /// shared part, if an oracle chooses.
    pub(super) fn consult_oracle(
        &mut self,
        now: u64,
        number: usize,
        chosen: usize,
        holder: Option<usize>,
    ) -> Option<(usize, Option<usize>)> {
        let chooses = match self.sheet.placement {
            Placement::Routers => return None,
            Placement::Compared(every) if !number.is_multiple_of(every) => return None,
            Placement::Compared(_) => false,
            Placement::Oracle => true,
        };
        let request = &self.requests[number];
        let shared = request.incoming_request.prompt.as_ref()?.parts[0];
        let (best, source, time) = self.best_engine(now, number, shared)?;
        let fetched = holder.is_some_and(|h| self.engines[h].holds(shared.id));
        let at_chosen = self.time_to_first(now, number, chosen, fetched.then_some(shared));
        let goal = self.sheet.kinds[request.kind].goal;
        self.account.decisions.push(Decision {
            at: now,
            kind: request.kind,
            chosen: at_chosen,
            best: time.min(at_chosen),
            left: (request.asked + goal).saturating_sub(now),
        });
        chooses.then_some((best, source))
    }

    /// Finds the engine within the load multiple that would give a request's first event soonest, by reading or by
    /// fetching the shared part; among about equals, one that needs neither.
    #[expect(clippy::cast_precision_loss, reason = "loads are small")]
    fn best_engine(
        &self,
        now: u64,
        number: usize,
        shared: Part,
    ) -> Option<(usize, Option<usize>, u64)> {
        let live = |n: &usize| !self.lives[*n].down;
        let loads: Vec<u32> = self.engines.iter().map(|e| e.load().requests()).collect();
        let mean = f64::from(loads.iter().sum::<u32>()) / loads.len().max(1) as f64;
        let within = |n: &usize| f64::from(loads[*n]) < multiple::MULTIPLE * mean + multiple::SLACK;
        let source = (0..self.engines.len()).find(|n| live(n) && self.engines[*n].holds(shared.id));
        let candidates = (0..self.engines.len()).filter(|n| live(n) && within(n));
        let options = candidates.map(|n| {
            let from = source.filter(|_| !self.engines[n].holds(shared.id));
            let time = self.time_to_first(now, number, n, from.map(|_| shared));
            let needs = u8::from(from.is_some() || !self.engines[n].holds(shared.id));
            (time / ABOUT_EQUAL, needs, time, n, from)
        });
        let best = options.min_by_key(|(about, needs, time, n, _)| (*about, *needs, *time, *n));
        best.map(|(_, _, time, n, from)| (n, from, time))
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "experiments are short"
    )]
    fn time_to_first(&self, now: u64, number: usize, engine: usize, fetched: Option<Part>) -> u64 {
        let request = &self.requests[number];
        let parts = request.incoming_request.prompt.as_ref().map(|p| &p.parts);
        let job = Job {
            number,
            parts: parts.map(|p| vec![p[0]]).unwrap_or_default(),
            own: parts.map_or(0, |p| p[1].tokens),
            output: request.output,
        };
        let limit = LIMIT.0 as f64;
        let time =
            self.engines[engine].time_to_first((now + WAY) as f64, &job, fetched.as_slice(), limit);
        time.unwrap_or(limit) as u64
    }
}
