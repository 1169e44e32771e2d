//! The routers before the engines, in steps of a millisecond. Each decides with the real
//! [`Gateway`]; they tell each other loads in digests, as the processes do.

use std::{
    collections::BTreeMap,
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
};

use bytes::Bytes;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use toucanturn_core::{
    arena::EndpointKey,
    gateway::{
        Change,
        Gateway,
        Ticket,
        budget::Policy,
        catalog::{
            Catalog,
            Limits,
            RawCatalog,
            Service, //
        },
        endpoint::{
            Entry,
            Load,
            Signal, //
        },
        fingerprint::Fingerprint,
        incoming_request::{
            IncomingRequest,
            Part,
            Prompt, //
        },
        mesh::{
            FANOUT,
            GOSSIP_INTERVAL,
            MAX_REPORTS,
            Sample, //
        },
        outcome::{
            AttemptOutcome,
            NextStep as After, //
        },
        quarantine::Policy as Hold,
        refusal::{
            Cause,
            Refusal, //
        },
        retry_delay,
        route::{
            Kind as Way,
            Route,
            Share, //
        },
        settings::Bounds,
        updates::DigestContents,
        warmup, //
    },
    units::{
        Millis,
        Permille,
        Time, //
    },
};
use toucanturn_judge::multiple;

use crate::lab::{
    account::{
        Account,
        Arrival,
        Decision,
        Outcome, //
    },
    engine::{
        Engine,
        Event,
        Job, //
    },
    sheet::{
        Placement,
        Sheet,
        Span,
        Trouble, //
    },
};

/// Name of the one service.
const SERVICE: &[u8] = b"engines";
/// Host of the one route.
const HOST: &[u8] = b"lab.example";
/// Milliseconds on the way between a router and an engine.
const WAY: u64 = 1;
/// Milliseconds between a caller's try that met no router and the next.
const RETRY: u64 = 1000;
/// Times a mean that a drawn size is at least and at most.
const SPREAD: std::ops::Range<f64> = 0.3..1.7;
/// Time that a caller waits.
/// Part that ends engines under [`Trouble::FatalPart`].
const FATAL_PART: Part = Part {
    id: u64::MAX,
    tokens: 90,
};
const LIMIT: Millis = Millis(12_000);
/// Times until a first event that differ by less are about equal, in milliseconds.
const ABOUT_EQUAL: u64 = 10;
/// Connections that an engine takes.
const CONNECTIONS: u32 = 560;

/// Time after an engine's answer from which requests of that router count against its back-off, and how many may
/// come until its end, in milliseconds.
const BACK_OFF_GRACE: u64 = 500;
const BACK_OFF_ALLOWED: u32 = 2;
/// Time after an answer that says that an engine leaves for which requests of that router may still reach it, in
/// milliseconds.
const LEAVING_GRACE: u64 = 2000;
/// `Pause` is a time for which an engine has asked a router for no requests, and the requests that came.
#[derive(Clone, Copy, Debug)]
struct Pause {
    from: u64,
    to: u64,
    arrivals: u32,
}

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
    Broke(usize),
    Rejected(usize, u64),
    Back(usize),
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
            pauses: BTreeMap::new(),
            told_leaving: BTreeMap::new(),
            turned_away: vec![Vec::new(); sheet.engines],
            known: indexmap::IndexSet::new(),
            rng,
        }
    }

    fn lost(&self, now: u64) -> bool {
        self.sheet.at(now).any(|t| t == Trouble::Lost)
    }

    /// Lets callers send what is new.
    fn ask(&mut self, now: u64) {
        for kind in 0..self.sheet.kinds.len() {
            let of = |t: &Trouble| match *t {
                Trouble::Burst { kind: k, times } if k == kind => times,
                _ => 1.0,
            };
            let times: f64 = self.sheet.at(now).map(|t| of(&t)).product();
            let mut rate = self.sheet.kinds[kind].rate * times / 1000.0;
            while rate > 0.0 && self.rng.random_bool(rate.clamp(0.0, 1.0)) {
                rate -= 1.0;
                let request = self.request(now, kind);
                self.push(now, request);
            }
        }
        let fatal = self.sheet.at(now).find_map(|t| match t {
            Trouble::Fatal { every, .. } => Some(every),
            _ => None,
        });
        if fatal.is_some_and(|every| now.is_multiple_of(every)) {
            let request = Request {
                fatal: true,
                repeated: true,
                ..self.request(now, 0)
            };
            self.push(now, request);
        }
        let fatal_part = self.sheet.at(now).find_map(|t| match t {
            Trouble::FatalPart { every, .. } => Some(every),
            _ => None,
        });
        if fatal_part.is_some_and(|every| now.is_multiple_of(every)) {
            let mut request = self.request(now, 0);
            request.fatal = true;
            if let Some(prompt) = &mut request.incoming_request.prompt {
                let mut parts = prompt.parts.to_vec();
                parts.insert(1, FATAL_PART);
                prompt.parts = parts.into();
            }
            self.push(now, request);
        }
    }

    fn push(&mut self, now: u64, request: Request) {
        let prompt = request.incoming_request.prompt.as_ref();
        self.account.outcomes.push(Outcome {
            asked: now,
            kind: request.kind,
            tokens: prompt.map_or(0, |p| p.input),
            first: None,
            on_time: false,
        });
        self.requests.push(request);
        self.later(now, Next::Try(self.requests.len() - 1));
    }

    fn request(&mut self, now: u64, kind: usize) -> Request {
        let sheet = self.sheet.kinds[kind];
        let hot = self.sheet.at(now).find_map(|t| match t {
            Trouble::Hot { kind: k, share } if k == kind => Some(share),
            _ => None,
        });
        let hot = hot.is_some_and(|share| self.rng.random_bool(share));
        let session = if hot {
            0
        } else {
            self.rng.random_range(0..sheet.sessions)
        };
        let id = xxhash_rust::xxh3::xxh3_64(format!("{kind}/{session}").as_bytes());
        // A session's part has one size, whoever asks for it.
        let sized = StdRng::seed_from_u64(id).random_range(SPREAD);
        let own = Part {
            id: self.rng.random(),
            tokens: scaled(sheet.own, self.rng.random_range(SPREAD)),
        };
        let shared = Part {
            id,
            tokens: scaled(sheet.shared, sized),
        };
        let output = scaled(sheet.output, self.rng.random_range(SPREAD));
        Request {
            kind,
            asked: now,
            output,
            router: 0,
            engine: 0,
            ticket: None,
            fatal: false,
            repeated: false,
            returned: false,
            incoming_request: IncomingRequest {
                id: Bytes::from(self.requests.len().to_string()),
                host: Bytes::from_static(HOST),
                path: Bytes::from_static(b"/"),
                prompt: Some(Prompt {
                    model: Bytes::from_static(b"m"),
                    parts: vec![shared, own].into(),
                    input: shared.tokens + own.tokens,
                    output: output * 2,
                }),
                hint: Some(output),
                ..IncomingRequest::default()
            },
        }
    }

    fn later(&mut self, at: u64, next: Next) {
        self.next.entry(at).or_default().push(next);
    }

    fn happen(&mut self, now: u64) {
        let lost = self.lost(now);
        if lost && !self.lost(now - 1) {
            self.lose();
        }
        if !lost && self.lost(now - 1) {
            for number in 0..self.routers.len() {
                self.routers[number] = router(self.sheet, now, self.rng.random());
            }
        }
        let (before, lost_router) = (self.lost_router(now - 1), self.lost_router(now));
        if lost_router != before {
            if let Some(number) = lost_router {
                self.lose_router(number);
            }
            if let Some(number) = before {
                self.routers[number] = router(self.sheet, now, self.rng.random());
            }
        }
        while let Some(mut due) = self.next.remove(&now) {
            for next in due.drain(..) {
                match next {
                    Next::Try(number) if lost => self.later(now + RETRY, Next::Try(number)),
                    Next::Try(number) => self.place(now, number),
                    Next::Arrive(number, engine) => self.arrive(now, number, engine),
                    Next::Hear(who, ..) if lost_router == Some(who) => {}
                    Next::Hear(who, contents, samples) => {
                        let router = &mut self.routers[who];
                        router.record_peer_report(Time(now), &contents.reports);
                        router.record_peer_samples(Time(now), &samples);
                        router.record_peer_crashes(Time(now), &contents.crashes);
                        router.record_peer_back_offs(Time(now), &contents.back_offs);
                        router.record_peer_reads(Time(now), &contents.reads);
                    }
                    Next::Broke(number) => self.broke(now, number),
                    Next::Rejected(number, asked) => self.rejected(now, number, asked),
                    Next::Back(engine) => self.back(now, engine),
                }
            }
        }
    }

    /// Forgets what all routers had under way: their callers see broken answers.
    fn lose(&mut self) {
        for request in &mut self.requests {
            request.ticket = None;
        }
    }

    /// Forgets what one router had under way.
    fn lose_router(&mut self, number: usize) {
        let there = |r: &&mut Request| r.router == number;
        for request in self.requests.iter_mut().filter(there) {
            request.ticket = None;
        }
    }

    /// Gets the router that is lost at a time.
    fn lost_router(&self, now: u64) -> Option<usize> {
        self.sheet.at(now).find_map(|t| match t {
            Trouble::RouterLost { router } => Some(router),
            _ => None,
        })
    }

    /// Draws the router that a request comes to.
    fn draw_router(&mut self, now: u64) -> usize {
        let crowded = self.sheet.at(now).find_map(|t| match t {
            Trouble::Crowded { router, share } => Some((router, share)),
            _ => None,
        });
        if let Some((router, share)) = crowded
            && self.rng.random_bool(share)
        {
            return router;
        }
        let lost = self.lost_router(now);
        loop {
            let drawn = self.rng.random_range(0..self.routers.len());
            if lost != Some(drawn) {
                return drawn;
            }
        }
    }

    fn place(&mut self, now: u64, number: usize) {
        let who = self.draw_router(now);
        let router = &mut self.routers[who];
        let at = Time(now);
        router.record_registry_read(at, at);
        let request = &mut self.requests[number];
        let Ok(mut ticket) = router.admit(at, &request.incoming_request) else {
            return;
        };
        ticket.content = Some(content(number, request.repeated));
        request.router = who;
        self.send(now, number, ticket);
    }

    /// Sends a request to the endpoint that its router chooses, if there is one.
    fn send(&mut self, now: u64, number: usize, mut ticket: Ticket) {
        let request = &mut self.requests[number];
        let router = &mut self.routers[request.router];
        let at = Time(now);
        let index = |router: &Gateway, key| {
            let endpoint = router.registry().get(key)?;
            let name = std::str::from_utf8(&endpoint.entry.id).ok()?;
            name.split('.').next()?.parse::<usize>().ok()
        };
        let (placed, engine) = loop {
            let placed = match router.place(at, &ticket, &request.incoming_request) {
                Ok(placed) => placed,
                Err(refusal) => {
                    let held = matches!(refusal.cause, Cause::Quarantined | Cause::PartQuarantined)
                        && !request.fatal;
                    self.account.held += usize::from(held);
                    if matches!(refusal.cause, Cause::BackingOff | Cause::Overloaded) {
                        self.refused(now, number, refusal);
                    }
                    return;
                }
            };
            let engine = index(router, placed.endpoint).unwrap_or_default();
            if !self.lives[engine].down {
                break (placed, engine);
            }
            if router.unreached(at, &mut ticket, placed.endpoint) != After::Again {
                return;
            }
        };
        let holder = placed.holder.and_then(|key| index(router, key));
        let (engine, holder, endpoint) = match self.consult_oracle(now, number, engine, holder) {
            Some((best, holder)) => (best, holder, self.key_of(number, best)),
            None => (engine, holder, Some(placed.endpoint)),
        };
        let Some(endpoint) = endpoint else {
            return;
        };
        let request = &mut self.requests[number];
        let router = &mut self.routers[request.router];
        router.sent(at, &mut ticket, endpoint);
        request.engine = engine;
        request.ticket = Some((ticket, endpoint));
        let shared = request.incoming_request.prompt.as_ref().map(|p| p.parts[0]);
        if let (Some(holder), Some(part)) = (holder, shared)
            && self.engines[holder].holds(part.id)
            && !self.engines[engine].holds(part.id)
        {
            self.engines[engine].fetch(&[part]);
            self.account.moved += u64::from(part.tokens);
        }
        self.later(now + WAY, Next::Arrive(number, engine));
    }

    /// Gets a router's key of an engine, if it lists it.
    fn key_of(&self, number: usize, engine: usize) -> Option<EndpointKey> {
        let router = &self.routers[self.requests[number].router];
        let id = entry(self.sheet, engine, self.lives[engine].number).id;
        let mut all = router.registry().of(SERVICE);
        all.find(|(_, e)| e.entry.id == id).map(|(key, _)| key)
    }

    /// Compares a decision with the best one if that is due. Returns the best engine, and from which one it fetches the
    /// shared part, if an oracle chooses.
    fn consult_oracle(
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

    /// Ends an engine with all that it has.
    fn crash(&mut self, now: u64, engine: usize) {
        let down = self.sheet.troubles.iter().find_map(|s| match s.trouble {
            Trouble::Fatal { down, .. } | Trouble::FatalPart { down, .. } => Some(down),
            _ => None,
        });
        self.account.crashes.push(now);
        self.crash_for(now, engine, down.unwrap_or(RETRY));
    }

    /// Ends an engine with all that it has; it is back after `down`.
    fn crash_for(&mut self, now: u64, engine: usize, down: u64) {
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

    fn broke(&mut self, now: u64, number: usize) {
        let request = &mut self.requests[number];
        let Some((mut ticket, endpoint)) = request.ticket.take() else {
            return;
        };
        let router = &mut self.routers[request.router];
        let next = router.ended(Time(now), &mut ticket, endpoint, AttemptOutcome::Broken);
        if next == After::Again {
            self.send(now, number, ticket);
        }
    }

    /// Ends an attempt that an engine turned away.
    fn rejected(&mut self, now: u64, number: usize, asked: u64) {
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
            return self.send(now, number, ticket);
        }
        let refusal = router.give_up(at, &ticket, Cause::NoEndpoint);
        self.refused(now, number, refusal);
    }

    /// Lets the caller of a refused request come back once, when it is told to.
    fn refused(&mut self, now: u64, number: usize, refusal: Refusal) {
        let deadline = Time(self.requests[number].asked) + LIMIT;
        let draw = self.rng.random();
        let soon = retry_delay(Time(now), deadline, draw);
        let wait = refusal.retry_after.unwrap_or(soon);
        let request = &mut self.requests[number];
        if refusal.retryable && !std::mem::replace(&mut request.returned, true) {
            self.later(now + wait.0, Next::Try(number));
        }
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

    /// Gets the part of the engines that a trouble of this kind takes.
    #[expect(clippy::cast_precision_loss, reason = "there are few engines")]
    fn takes(&self, engine: usize, share: f64) -> bool {
        (engine as f64) < share * self.engines.len() as f64
    }

    /// Gets whether an engine turns requests away, and for how long it asks for none then.
    fn sheds(&self, now: u64, engine: usize) -> Option<u64> {
        self.sheet.at(now).find_map(|t| match t {
            Trouble::Shed { share, back_off } if self.takes(engine, share) => Some(back_off),
            _ => None,
        })
    }

    /// Gets how many requests an engine may turn away within a second, if it says that it is brittle.
    fn brittle(&self, now: u64) -> Option<u32> {
        self.sheet.at(now).find_map(|t| match t {
            Trouble::Brittle { limit, stated, .. } if stated => Some(limit),
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

    /// Gets the thousandths of the usual time that work takes at an engine.
    fn slowdown(&self, now: u64, engine: usize) -> u32 {
        let slow = self.sheet.at(now).filter_map(|t| match t {
            Trouble::Slow { share, slowdown } if self.takes(engine, share) => Some(slowdown),
            _ => None,
        });
        slow.max().unwrap_or(1000)
    }

    /// Tells whether no digest passes between two routers.
    fn is_cut(&self, now: u64, from: usize, to: usize) -> bool {
        self.sheet.at(now).any(|t| match t {
            Trouble::CutOff { router } => router == from || router == to,
            Trouble::CutOffMany { routers } => from.min(to) < routers,
            _ => false,
        })
    }

    fn says_leaving(&self, now: u64, engine: usize) -> bool {
        let leaves = |t| matches!(t, Trouble::Leaves { share } if self.takes(engine, share));
        self.sheet.at(now).any(leaves)
    }

    /// Lists an engine that is back, under a new name.
    fn back(&mut self, now: u64, engine: usize) {
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

    #[expect(clippy::cast_precision_loss, reason = "loads are small")]
    fn arrive(&mut self, now: u64, number: usize, engine: usize) {
        let loads = self.engines.iter().map(|e| e.load().requests());
        let mean = f64::from(loads.sum::<u32>()) / self.engines.len() as f64;
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

    #[expect(clippy::cast_precision_loss, reason = "experiments are short")]
    fn work(&mut self, now: u64) {
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

    /// Sends the digests that are due.
    fn tell(&mut self, now: u64) {
        let routers = self.routers.len() as u64;
        if self.lost(now) {
            return;
        }
        let divides = |s: &Span| {
            matches!(
                s.trouble,
                Trouble::Brittle { .. } | Trouble::FatalPart { .. }
            )
        };
        let follows_fleet = self.sheet.troubles.iter().any(divides);
        let hash = |who: u64| xxhash_rust::xxh3::xxh3_64(&who.to_le_bytes());
        let hashes: Vec<u64> = (0..routers).map(hash).collect();
        let late = self.sheet.at(now).find_map(|t| match t {
            Trouble::LateDigests { by } => Some(by),
            _ => None,
        });
        let late = late.unwrap_or_default();
        let lost = self.lost_router(now);
        for who in 0..self.routers.len() {
            let turn = now + who as u64 * GOSSIP_INTERVAL.0 / routers;
            if !turn.is_multiple_of(GOSSIP_INTERVAL.0) || lost == Some(who) {
                continue;
            }
            let router = &mut self.routers[who];
            router.fleet(Time(now), u32::try_from(routers).unwrap_or(u32::MAX));
            router.tick(Time(now));
            if follows_fleet {
                let others = (0..hashes.len()).filter(|other| *other != who);
                let fleet = warmup::Fleet {
                    me: hashes[who],
                    others: others.map(|other| hashes[other]).collect(),
                    expected: true,
                };
                router.update_fleet(Time(now), &fleet);
            }
            let mut contents = router.digest_contents(Time(now), now);
            if !self.sheet.tells_back_offs {
                contents.back_offs.clear();
            }
            debug_assert!(contents.reports.len() <= MAX_REPORTS);
            let samples = router.samples();
            for _ in 0..FANOUT {
                let whom = self.rng.random_range(0..self.routers.len());
                let hear = Next::Hear(whom, contents.clone(), samples.clone());
                if !self.is_cut(now, who, whom) {
                    self.later(now + WAY + late, hear);
                }
            }
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "sizes are small, and the cast saturates"
)]
fn scaled(mean: u32, by: f64) -> u32 {
    (f64::from(mean) * by).round() as u32
}

/// Makes a router that has just read the registry and knows no loads.
fn router(sheet: &Sheet, now: u64, seed: u64) -> Gateway {
    let bounds = Bounds {
        evacuation: None,
        keys: Millis(4750),
        routes: Millis(2850),
        max_confirmation_age: Millis(2700),
        read_interval: Millis(666),
        outage_threshold: Millis(2500),
        lapse_grace: Millis(2000),
        skew: Permille(2000),
        retry: Policy {
            window: Millis(10_000),
            share: Permille(200),
            fleet: 54,
            extra: 3,
        },
        warmup: warmup::Policy {
            over: Permille(1000),
            slack: 0,
        },
        hold: Hold {
            first: Millis(sheet.hold),
        },
    };
    let mut gateway = Gateway::new(bounds, seed);
    let mut changes = vec![Change::Catalog(Box::new(catalog()))];
    changes.extend((0..sheet.engines).map(|n| Change::Entry(entry(sheet, n, 0))));
    gateway.record_registry_read(Time(now), Time(now));
    gateway.apply_changes(Time(now), changes);
    gateway.fleet(Time(now), u32::try_from(sheet.routers).unwrap_or(u32::MAX));
    gateway
}

fn catalog() -> Catalog {
    let route = Route {
        name: Bytes::from_static(b"chat"),
        host: Bytes::from_static(HOST),
        prefix: Bytes::from_static(b"/"),
        kind: Way::Stream { resumable: true },
        shares: vec![Share {
            service: Bytes::from_static(SERVICE),
            weight: 1,
        }],
        limit: LIMIT,
        goal: Millis(600),
        pause: Millis(300),
        attempts: 2,
        priority: 1,
        anonymous: true,
    };
    let service = Service {
        name: Bytes::from_static(SERVICE),
        health: Bytes::new(),
        connections: CONNECTIONS,
        engine: Some(toucanturn_core::gateway::catalog::Engine {
            slots: 0,
            memory: 0,
            shares: true,
        }),
        warmup: None,
    };
    let raw = RawCatalog {
        version: 1,
        routes: vec![route],
        services: vec![service],
        workspaces: Vec::new(),
        limits: Limits::default(),
        secret: [1; 32],
    };
    match Catalog::try_from(raw) {
        Ok(catalog) => catalog,
        Err(error) => unreachable!("the laboratory's own configuration is valid: {error}"),
    }
}

/// Gets the fingerprint of a request; those that are repeats have the same.
fn content(number: usize, repeated: bool) -> Fingerprint {
    Fingerprint {
        workspace: 0,
        content: if repeated { u64::MAX } else { number as u64 },
    }
}

fn entry(sheet: &Sheet, number: usize, life: u32) -> Entry {
    let low = u8::try_from(number % 250).unwrap_or_default();
    let high = u8::try_from(number / 250).unwrap_or_default();
    Entry {
        id: Bytes::from(format!("{number}.{life}")),
        service: Bytes::from_static(SERVICE),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, high, low), 8000),
        born: None,
        data_center: Bytes::from_static(b"a"),
        build: Bytes::from_static(b"v1"),
        slots: sheet.shape.slots,
        leaving: false,
        cold: Millis(0),
    }
}
