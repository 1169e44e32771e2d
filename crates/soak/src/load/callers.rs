//! Callers that send at a rate, whether answers come or not.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use tokio::{
    task::spawn_local,
    time::{
        sleep,
        sleep_until,
        timeout, //
    },
};
use toucanturn_platform_standin::{
    caller::{
        Caller,
        PromptSpec,
        ReceivedResponse,
        RequestSpec, //
    },
    clock_ms,
};

use crate::load::{
    fleet::{
        Call,
        Fleet,
        key, //
    },
    sheet::{
        Kind,
        Sheet, //
    },
};

/// Requests of one connection, at most.
const KEPT: u32 = 12;
/// Time after which an idle connection is not used again.
const IDLE: Duration = Duration::from_millis(1500);
/// Callers for each router; each keeps to one router for as long as a connection.
const CALLERS_PER_ROUTER: u64 = 2;
/// Part by which the rate rises and falls, and how fast.
const SWING: f64 = 0.27;
const PERIOD_S: f64 = 11.0;
/// Numbers from which on the shared parts of a kind are counted.
const COMMON_PARTS: u64 = 0x1000_0000;
const SESSION_PARTS: u64 = 0x2000_0000;
/// Sizes of prompts and answers, in percent of the usual ones.
const SIZE_PERCENT: std::ops::Range<u32> = 30..170;
/// Requests that come at once.
const CLUMP: u32 = 3;

/// `Open` is a connection that rests.
struct Open {
    caller: Caller,
    router: usize,
    since: Instant,
    requests: u32,
}

/// `Callers` is all callers of a run.
pub struct Callers {
    fleet: Rc<Fleet>,
    kinds: Vec<Kind>,
    /// Kind and share of the session that gets much of the traffic.
    pub hot: Cell<Option<(usize, f64)>>,
    /// How many times the usual rate is sent.
    pub factor: Cell<f64>,
    /// How many times its usual rate the first workspace sends to pools.
    pub crowding: Cell<f64>,
    workspaces: usize,
    over: Cell<bool>,
    clients: u64,
    open: RefCell<HashMap<u64, Vec<Open>>>,
    count: Cell<u64>,
}

impl Callers {
    /// Starts all callers.
    pub fn start(fleet: Rc<Fleet>, sheet: &Sheet, seed: u64) -> Rc<Self> {
        let clients = CALLERS_PER_ROUTER * sheet.routers as u64;
        let callers = Rc::new(Self {
            fleet,
            kinds: sheet.kinds.clone(),
            hot: Cell::new(None),
            factor: Cell::new(1.0),
            crowding: Cell::new(1.0),
            workspaces: sheet.workspaces.max(1),
            over: Cell::new(false),
            clients,
            open: RefCell::default(),
            count: Cell::new(0),
        });
        for n in 0..sheet.kinds.len() {
            spawn_local(send(Rc::clone(&callers), n, seed));
        }
        callers
    }

    /// Ends all callers; what is in progress goes on.
    pub fn stop(&self) {
        self.over.set(true);
    }

    /// Makes one request, and repeats it once if the answer allows that.
    async fn call(self: Rc<Self>, (number, workspace): (usize, usize), mut rng: StdRng) {
        let kind = self.kinds[number];
        let key = key(workspace);
        let request = self.count.get() + 1;
        let client = rng.random_range(0..self.clients);
        let (fields, item) = self.draw(number, &mut rng);
        let until = Instant::now() + Duration::from_millis(kind.deadline_ms);
        for attempt in 0..2 {
            self.count.set(self.count.get() + 1);
            let id = format!("{}-{}", kind.route.name, self.count.get());
            let left = until.saturating_duration_since(Instant::now());
            let deadline_ms = u64::try_from(left.as_millis()).unwrap_or_default();
            if deadline_ms == 0 {
                return;
            }
            let spec = RequestSpec {
                kind: kind.route.name,
                id: &id,
                key: &key,
                deadline_ms,
                item: &item,
            };
            let sent = clock_ms();
            let (router, response) = self.one(client + attempt, &spec.text(&fields), left).await;
            let status = response.as_ref().map_or(0, |r| r.status);
            self.fleet.note_call(Call {
                route: kind.route.name,
                id,
                request,
                workspace,
                router,
                status,
                times: (sent, clock_ms()),
            });
            let wait = response.and_then(|r| r.field("retry-after")?.parse::<f64>().ok());
            let Some(wait) = wait.filter(|_| matches!(status, 429 | 503)) else {
                return;
            };
            sleep(Duration::from_secs_f64(wait.clamp(0.0, 5.0))).await;
        }
    }

    /// Gets the part of a kind's usual rate that the first workspace sends beyond its own.
    fn extra(&self, number: usize) -> f64 {
        let crowded = self.kinds[number].prompt.is_none();
        let beyond = (self.crowding.get() - 1.0).max(0.0);
        if crowded {
            beyond / self.workspaces as f64
        } else {
            0.0
        }
    }

    /// Draws a request's workspace.
    fn workspace(&self, extra: f64, rng: &mut StdRng) -> usize {
        if self.workspaces == 1 {
            return 0;
        }
        let is_extra = extra > 0.0 && rng.random_bool(extra / (1.0 + extra));
        if is_extra {
            0
        } else {
            rng.random_range(0..self.workspaces)
        }
    }

    /// Draws a request's prompt as header fields, and the end of its path.
    fn draw(&self, number: usize, rng: &mut StdRng) -> (String, String) {
        let item = rng.random::<u32>().to_string();
        let Some(prompt) = self.kinds[number].prompt else {
            return (String::new(), item);
        };
        let (common_tokens, commons) = prompt.common;
        let (session_tokens, sessions) = prompt.session;
        let hot = self.hot.get();
        let hot = hot.is_some_and(|(kind, share)| kind == number && rng.random_bool(share));
        let session = if hot {
            0
        } else {
            rng.random_range(0..sessions)
        };
        // A part has the same size each time.
        let spread = |tokens: u32, part: u64| {
            let percent = StdRng::seed_from_u64(part).random_range(SIZE_PERCENT);
            u64::from(tokens * percent / 100)
        };
        let place = (number as u64) << 32;
        let common = session % commons;
        let common_tokens = spread(common_tokens, place + common);
        let session_tokens = spread(session_tokens, place + session + 1);
        let varied = |tokens: u32, rng: &mut StdRng| tokens * rng.random_range(SIZE_PERCENT) / 100;
        let own = u64::from(varied(prompt.own, rng));
        let output = varied(prompt.output, rng).max(1);
        let parts = [
            (place + common + COMMON_PARTS, common_tokens),
            (place + session + SESSION_PARTS, session_tokens),
            (rng.random(), own),
        ];
        let prompt = PromptSpec {
            parts: &parts,
            output,
        };
        (prompt.fields(), item)
    }

    /// Sends one request over a client's connection, or a new one.
    async fn one(
        &self,
        client: u64,
        text: &str,
        patience: Duration,
    ) -> (usize, Option<ReceivedResponse>) {
        let kept = self.take(client);
        let mut open = match kept {
            Some(open) => open,
            None => {
                let Some((router, address)) = self.fleet.router_for(client) else {
                    sleep(IDLE / 10).await;
                    return (usize::MAX, None);
                };
                let connected = timeout(Duration::from_secs(1), Caller::connect(address)).await;
                let Ok(Ok(caller)) = connected else {
                    return (router, None);
                };
                Open {
                    caller,
                    router,
                    since: Instant::now(),
                    requests: 0,
                }
            }
        };
        let router = open.router;
        let answered = async {
            open.caller.write(text).await.ok()?;
            Some(open.caller.response().await)
        };
        let response = timeout(patience, answered).await.ok().flatten();
        let whole = response.as_ref().is_some_and(|r| r.whole);
        let closes = response
            .as_ref()
            .and_then(|r| r.field("connection"))
            .is_some_and(|value| value == "close");
        if whole && !closes && open.requests + 1 < KEPT {
            open.since = Instant::now();
            open.requests += 1;
            self.open.borrow_mut().entry(client).or_default().push(open);
        }
        (router, response)
    }

    fn take(&self, client: u64) -> Option<Open> {
        let mut open = self.open.borrow_mut();
        let own = open.get_mut(&client)?;
        own.retain(|open| open.since.elapsed() < IDLE);
        own.pop()
    }
}

/// Sends a kind's requests until the run is over.
async fn send(callers: Rc<Callers>, number: usize, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed ^ ((number as u64 + 1) << 40));
    let began = tokio::time::Instant::now();
    let mut at = 0.0;
    while !callers.over.get() {
        let phase = at / PERIOD_S * std::f64::consts::TAU;
        let extra = callers.extra(number);
        let rate = callers.kinds[number].per_second * callers.factor.get() * (1.0 + extra);
        let rate = rate * (1.0 + SWING * phase.sin()) / f64::from(CLUMP);
        let drawn: f64 = rng.random_range(f64::EPSILON..1.0);
        at += -drawn.ln() / rate;
        sleep_until(began + Duration::from_secs_f64(at)).await;
        for _ in 0..CLUMP {
            let mut own = StdRng::seed_from_u64(rng.random());
            let workspace = callers.workspace(extra, &mut own);
            spawn_local(Rc::clone(&callers).call((number, workspace), own));
        }
    }
}
