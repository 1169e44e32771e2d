//! The routers before the engines, in steps of a millisecond. Each decides with the real
//! [`Gateway`]; they tell each other loads in digests, as the processes do.

use std::collections::BTreeMap;

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use toucanturn_core::{
    arena::EndpointKey,
    gateway::{
        Gateway,
        Ticket,
        incoming_request::IncomingRequest,
        mesh::{
            Digest,
            Sample, //
        },
        updates::DigestContents, //
    },
    units::Millis,
};

use crate::lab::{
    account::Account,
    engine::Engine,
    sheet::Sheet, //
};

mod answer;
mod arrival;
mod callers;
mod deployment;
mod gossip;
mod loss;
mod oracle;
mod place;
mod prefill;

use arrival::Pause;
use deployment::router;
use prefill::{
    Exchange,
    Message, //
};

/// Milliseconds on the way between a router and an engine.
const WAY: u64 = 1;
/// Milliseconds between a caller's try that met no router and the next.
const RETRY: u64 = 1000;
/// Time that a caller waits.
const LIMIT: Millis = Millis(12_000);

/// `Request` is one request under way.
#[derive(Clone, Debug)]
struct Request {
    kind: usize,
    asked: u64,
    incoming_request: IncomingRequest,
    output: u32,
    router: usize,
    engine: usize,
    ticket: Option<(Ticket, EndpointKey)>,
    /// Whether it ends the engine that begins to run it.
    fatal: bool,
    /// Whether its content is that of all others that end engines.
    repeated: bool,
    /// Whether its caller has come back after a refusal.
    returned: bool,
}

/// `Life` is which life an engine has.
#[derive(Clone, Copy, Debug, Default)]
struct Life {
    number: u32,
    /// Whether it has ended, and the next one is not there yet.
    down: bool,
}

/// What happens at a time.
#[derive(Clone, Debug)]
enum Next {
    Try(usize),
    Arrive(usize, usize),
    Hear(usize, DigestContents, Vec<Sample>),
    HearOfRouters(usize, Digest),
    Deliver(usize, usize, Message),
    Expire(usize),
    Broke(usize),
    Rejected(usize, u64),
    Back(usize),
    Drain(usize, usize, bool),
}

/// `Fleet` is an experiment under way.
pub struct Fleet<'a> {
    sheet: &'a Sheet,
    routers: Vec<Gateway>,
    engines: Vec<Engine>,
    lives: Vec<Life>,
    requests: Vec<Request>,
    next: BTreeMap<u64, Vec<Next>>,
    account: Account,
    exchange: Exchange,
    /// Back-offs that engines have asked routers for.
    pauses: BTreeMap<(usize, usize), Vec<Pause>>,
    /// When engines have first told routers that they leave.
    told_leaving: BTreeMap<(usize, usize), u64>,
    /// When each engine has turned requests away within the last second.
    turned_away: Vec<Vec<u64>>,
    /// Shared parts that some engine has read.
    known: indexmap::IndexSet<u64>,
    rng: StdRng,
}

/// Plays a sheet; the same seed gives the same account.
pub fn play(sheet: &Sheet, seed: u64) -> Account {
    let mut fleet = Fleet::new(sheet, seed);
    for now in 1..sheet.length {
        fleet.ask(now);
        fleet.happen(now);
        fleet.work(now);
        fleet.pass_notes(now);
        fleet.tell(now);
    }
    fleet.account.read = fleet.engines.iter().map(|e| e.read).sum();
    fleet.account
}

impl<'a> Fleet<'a> {
    fn new(sheet: &'a Sheet, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let routers = (0..sheet.routers).map(|_| router(sheet, 0, rng.random()));
        Self {
            sheet,
            routers: routers.collect(),
            engines: vec![Engine::new(sheet.shape); sheet.engines],
            lives: vec![Life::default(); sheet.engines],
            requests: Vec::new(),
            next: BTreeMap::new(),
            account: Account::default(),
            exchange: Exchange::new(if sheet.asks_keepers { sheet.routers } else { 0 }),
            pauses: BTreeMap::new(),
            told_leaving: BTreeMap::new(),
            turned_away: vec![Vec::new(); sheet.engines],
            known: indexmap::IndexSet::new(),
            rng,
        }
    }

    fn later(&mut self, at: u64, next: Next) {
        self.next.entry(at).or_default().push(next);
    }

    fn happen(&mut self, now: u64) {
        self.scale_in(now);
        let lost = self.lost(now);
        if lost && !self.lost(now - 1) {
            self.lose();
        }
        if !lost && self.lost(now - 1) {
            for number in 0..self.routers.len() {
                self.routers[number] = router(self.sheet, now, self.rng.random());
                self.exchange.restart(now, number);
            }
        }
        let (before, lost_router) = (self.lost_router(now - 1), self.lost_router(now));
        if lost_router != before {
            if let Some(number) = lost_router {
                self.lose_router(number);
            }
            if let Some(number) = before {
                self.routers[number] = router(self.sheet, now, self.rng.random());
                self.exchange.restart(now, number);
            }
        }
        while let Some(mut due) = self.next.remove(&now) {
            for next in due.drain(..) {
                match next {
                    Next::Try(number) if lost => self.later(now + RETRY, Next::Try(number)),
                    Next::Try(number) => self.place(now, number),
                    Next::Arrive(number, engine) => self.arrive(now, number, engine),
                    Next::Hear(who, ..) if lost_router == Some(who) => {}
                    Next::Hear(who, contents, samples) => self.hear(now, who, &contents, &samples),
                    Next::HearOfRouters(who, _) if lost_router == Some(who) => {}
                    Next::HearOfRouters(who, digest) => self.hear_of_routers(now, who, &digest),
                    Next::Deliver(from, to, message) => self.deliver(now, from, to, message),
                    Next::Expire(number) => self.expire(now, number),
                    Next::Broke(number) => self.broke(now, number),
                    Next::Rejected(number, asked) => self.rejected(now, number, asked),
                    Next::Back(engine) => self.back(now, engine),
                    Next::Drain(who, engine, drained) => self.drain(now, who, engine, drained),
                }
            }
        }
    }

    /// Gets the part of the engines that a trouble of this kind takes.
    #[expect(clippy::cast_precision_loss, reason = "there are few engines")]
    fn takes(&self, engine: usize, share: f64) -> bool {
        (engine as f64) < share * self.engines.len() as f64
    }
}
