//! The callers, and the balancer that says which routers take them.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddr,
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
use strum::IntoEnumIterator;
use tokio::time::{
    sleep,
    timeout, //
};
use toucanturn_platform_standin::{
    caller::{
        Caller,
        PromptSpec,
        ReceivedResponse,
        RequestSpec,
        ready, //
    },
    clock_ms,
    replica::{
        FATAL_REQUEST_MARKER,
        STREAM_EVENTS, //
    },
};

use crate::{
    fleet::{
        Fleet,
        key_name, //
    },
    plan::Step,
    record::{
        Call,
        Kind, //
    },
};

/// Time that a caller gives the system, in milliseconds.
const DEADLINE_MS: u64 = 3000;
/// Time for which it waits for an answer's end.
const PATIENCE: Duration = Duration::from_millis(3500);
/// Time between two looks of the balancer, and for which it waits for an answer.
const LOOK: Duration = Duration::from_millis(150);
/// Most requests of one connection.
const KEPT: u32 = 12;

/// Part of the streams that their callers break off in the middle.
const BROKEN_OFF: f64 = 0.15;
/// Tries by which a caller takes a stream up, and the longest pause before each.
const TAKE_UPS: usize = 2;
const TAKE_UP_PAUSE_MS: u64 = 150;
/// The same in plans of releases, where half of the tries come at once and the others later.
const RELEASE_BROKEN_OFF: f64 = 0.8;
const RELEASE_TAKE_UPS: usize = 4;
const AT_ONCE_MS: u64 = 40;
const LATER_MS: u64 = 600;
/// Part of the requests that have the content of others.
const SHARED: f64 = 0.5;
/// What these are for.
pub const COMMON: &str = "x";
/// Time for which a caller repeats a request that ends endpoints, and its pause.
const FATAL_TIME: Duration = Duration::from_millis(6000);
const FATAL_PAUSE: Duration = Duration::from_millis(150);
/// Part that all prompts begin with, and its tokens.
const FIRST_PART: (u64, u64) = (0xa0, 600);
/// Second parts that sound prompts have.
const SOUND_PARTS: u64 = 12;
/// IDs of parts that end endpoints begin with these hexadecimal digits.
const FATAL_PARTS: u64 = 0xdead;
/// First IDs of parts that one request alone has, in the middle and at the end.
const NEW_PARTS: u64 = 0x10_0000;
const OWN_PARTS: u64 = 0x20_0000;

/// `Habits` is what callers do with streams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Habits {
    /// They break few off, and take them up soon at routers in rotation.
    #[default]
    Usual,
    /// They ask for streams that can be resumed alone, break most off, and take them up at any router, at once and later.
    Releases,
}

impl Habits {
    fn broken_off(self) -> f64 {
        match self {
            Habits::Usual => BROKEN_OFF,
            Habits::Releases => RELEASE_BROKEN_OFF,
        }
    }

    /// Gets the part of the requests that have the content of others. A release ends several endpoints, and what all of them
    /// were running would be held back.
    fn shared(self) -> f64 {
        match self {
            Habits::Usual => SHARED,
            Habits::Releases => 0.0,
        }
    }

    fn take_ups(self) -> usize {
        match self {
            Habits::Usual => TAKE_UPS,
            Habits::Releases => RELEASE_TAKE_UPS,
        }
    }

    fn pick_kind(self, rng: &mut StdRng) -> Kind {
        let kinds: Vec<Kind> = Kind::iter().collect();
        match self {
            Habits::Usual => kinds[rng.random_range(0..kinds.len())],
            Habits::Releases => Kind::Chat,
        }
    }

    /// Gets the milliseconds before a stream is taken up.
    fn pause(self, rng: &mut StdRng) -> u64 {
        match self {
            Habits::Usual => rng.random_range(0..TAKE_UP_PAUSE_MS),
            Habits::Releases if rng.random_bool(0.5) => rng.random_range(0..AT_ONCE_MS),
            Habits::Releases => rng.random_range(AT_ONCE_MS..LATER_MS),
        }
    }
}

/// `Shared` is what callers and balancer share.
#[derive(Default)]
pub struct Shared {
    /// Routers in rotation: number, process and address.
    pub rotation: RefCell<Vec<(usize, u32, SocketAddr)>>,
    /// What callers do with streams.
    pub habits: Habits,
    /// Whether the callers end.
    pub over: Cell<bool>,
}

/// Asks routers whether they take callers, until the run is over. Where none does, all are used.
pub async fn balance(fleet: Rc<Fleet>, shared: Rc<Shared>) {
    while !shared.over.get() {
        let mut rotation = Vec::new();
        let mut all = Vec::new();
        for (n, router) in fleet.routers.iter().enumerate() {
            let (life, callers, asked) = {
                let router = router.borrow();
                (router.life, router.callers, router.ready)
            };
            all.push((n, life, callers));
            if timeout(LOOK, ready(asked)).await == Ok(true) {
                rotation.push((n, life, callers));
            }
        }
        *shared.rotation.borrow_mut() = if rotation.is_empty() { all } else { rotation };
        sleep(LOOK).await;
    }
}

/// Connects to a random router in rotation; gives its number and process, too.
async fn connect(shared: &Shared, rng: &mut StdRng) -> Option<((usize, u32), Caller)> {
    let place = {
        let rotation = shared.rotation.borrow();
        let pick = rng.random_range(0..rotation.len().max(1));
        rotation.get(pick).copied()
    };
    reach(place?).await
}

/// Connects to a random router, whether it is in rotation or not.
async fn connect_anywhere(fleet: &Fleet, rng: &mut StdRng) -> Option<((usize, u32), Caller)> {
    let n = rng.random_range(0..fleet.routers.len());
    let (life, address) = {
        let router = fleet.routers[n].borrow();
        (router.life, router.callers)
    };
    reach((n, life, address)).await
}

async fn reach(
    (router, life, address): (usize, u32, SocketAddr),
) -> Option<((usize, u32), Caller)> {
    let connected = timeout(Duration::from_secs(1), Caller::connect(address)).await;
    Some(((router, life), connected.ok()?.ok()?))
}

/// Makes calls one after the other, on connections that are kept until they end.
pub async fn call(fleet: Rc<Fleet>, shared: Rc<Shared>, number: usize, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed ^ number as u64);
    let mut count = 0;
    while !shared.over.get() {
        let Some((place, mut caller)) = connect(&shared, &mut rng).await else {
            sleep(LOOK).await;
            continue;
        };
        for _ in 0..rng.random_range(1..KEPT) {
            count += 1;
            let kind = shared.habits.pick_kind(&mut rng);
            let key = pick_key(&fleet, &mut rng);
            let id = format!("c{number}-{count}");
            // Others ask for the same, too.
            let item = if rng.random_bool(shared.habits.shared()) {
                COMMON
            } else {
                &id
            };
            let broken_off = kind == Kind::Chat && rng.random_bool(shared.habits.broken_off());
            let ask = Ask {
                break_after: broken_off.then(|| rng.random_range(1..STREAM_EVENTS)),
                ..Ask::new(&id, item)
            };
            let call = one(&mut caller, place, kind, key, ask).await;
            let goes_on = call.whole && !shared.over.get();
            if kind == Kind::Chat {
                take_up(&fleet, &shared, &call, &mut rng).await;
            }
            fleet.record.borrow_mut().calls.push(call);
            sleep(Duration::from_millis(rng.random_range(0..60))).await;
            if !goes_on {
                break;
            }
        }
    }
}

/// Name of the requests whose prompts have a part that ends each endpoint that runs one.
pub const FATAL_PART: &str = "part";

/// Repeats a request that ends each endpoint that runs it, under new ids at any router in rotation; or sends requests
/// with one part in their prompts that does so, and nothing else in common.
pub async fn fatal(fleet: &Fleet, shared: &Shared, step: &Step) {
    let mut rng = StdRng::seed_from_u64(step.at);
    let kinds: Vec<Kind> = Kind::iter().collect();
    let kind = kinds[step.variant % kinds.len()];
    let item = format!(
        "{}-{}",
        FATAL_REQUEST_MARKER.trim_start_matches('/'),
        step.at
    );
    let part = step.variant / kinds.len() % 2 == 1;
    let began = Instant::now();
    let mut count = 0;
    while began.elapsed() < FATAL_TIME && !shared.over.get() {
        sleep(FATAL_PAUSE).await;
        let Some(key) = fleet.good_keys().pop() else {
            continue;
        };
        let Some((place, mut caller)) = connect(shared, &mut rng).await else {
            continue;
        };
        count += 1;
        let call = if part {
            let id = format!("{FATAL_PART}-{}-{count}", step.at);
            let fatal = FATAL_PARTS << u32::BITS | step.at;
            let parts = [FIRST_PART, (fatal, 90), (NEW_PARTS + count, 30)];
            let ask = Ask {
                parts: Some(&parts),
                ..Ask::new(&id, &id)
            };
            let call = one(&mut caller, place, kind, key, ask).await;
            Call {
                item: format!("{FATAL_PART}-{}", step.at),
                ..call
            }
        } else {
            let id = format!("{item}-{count}");
            one(&mut caller, place, kind, key, Ask::new(&id, &item)).await
        };
        fleet.record.borrow_mut().calls.push(call);
    }
}

/// Picks a good key mostly, and now and then any that ever was.
fn pick_key(fleet: &Fleet, rng: &mut StdRng) -> usize {
    let good = fleet.good_keys();
    if rng.random_range(0..100) < 15 || good.is_empty() {
        return rng.random_range(0..fleet.record.borrow().keys.len().max(1));
    }
    good[rng.random_range(0..good.len())]
}

/// Takes a stream up that has broken off, at several routers, until it is whole.
async fn take_up(fleet: &Fleet, shared: &Shared, began: &Call, rng: &mut StdRng) {
    let mut last = last_event(&began.body);
    for number in 0..shared.habits.take_ups() {
        let Some(after) = last.filter(|n| began.status == 200 && *n < STREAM_EVENTS) else {
            return;
        };
        sleep(Duration::from_millis(shared.habits.pause(rng))).await;
        let connected = match shared.habits {
            Habits::Usual => connect(shared, rng).await,
            Habits::Releases => connect_anywhere(fleet, rng).await,
        };
        let Some((place, mut caller)) = connected else {
            match shared.habits {
                Habits::Usual => return,
                // The next try is at another router.
                Habits::Releases => continue,
            }
        };
        let id = format!("{}-t{number}", began.id);
        let ask = Ask {
            resumes: Some((&began.id, after)),
            ..Ask::new(&id, &began.item)
        };
        let call = one(&mut caller, place, began.kind, began.key, ask).await;
        last = last_event(&call.body).or(last).filter(|_| !call.whole);
        fleet.record.borrow_mut().calls.push(call);
    }
}

/// Gets the number of the last whole event of a body.
pub fn last_event(body: &str) -> Option<u64> {
    let (whole, _) = body.rsplit_once("\n\n")?;
    let ids = whole.lines().filter_map(|l| l.strip_prefix("id: "));
    ids.filter_map(|n| n.parse().ok()).next_back()
}

/// `Ask` is what a caller asks for.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// Id of the request.
    pub id: &'a str,
    /// What it is for.
    pub item: &'a str,
    /// Request that began the stream which this one takes up, and the last event that had come.
    pub resumes: Option<(&'a str, u64)>,
    /// Event after which the caller breaks the connection, if it does.
    pub break_after: Option<u64>,
    /// Shared parts of its prompt; `None` for those that many requests have.
    pub parts: Option<&'a [(u64, u64)]>,
}

impl<'a> Ask<'a> {
    /// Makes the ask for a whole answer.
    pub const fn new(id: &'a str, item: &'a str) -> Self {
        Self {
            id,
            item,
            resumes: None,
            break_after: None,
            parts: None,
        }
    }
}

/// Makes one call on an open connection.
pub async fn one(
    caller: &mut Caller,
    (router, life): (usize, u32),
    kind: Kind,
    key: usize,
    ask: Ask<'_>,
) -> Call {
    let Ask { id, item, .. } = ask;
    let name = key_name(key);
    let spec = RequestSpec {
        kind: kind.into(),
        id,
        key: &name,
        deadline_ms: DEADLINE_MS,
        item,
    };
    let sent = clock_ms();
    let answered = async {
        let fields = ask
            .resumes
            .map(|(began, after)| format!("Last-Event-Id: {after}\r\nResumes: {began}\r\n"));
        let fields = fields.unwrap_or_default() + &prompt(&ask);
        let text = spec.text(&fields);
        caller.write(&text).await.ok()?;
        let Some(event) = ask.break_after else {
            return Some(caller.response().await);
        };
        let end = format!("piece {event} of {id}\n\n");
        let received = caller.read_until(&end).await;
        Some(partial(received.unwrap_or_else(|received| received)))
    };
    let response = timeout(PATIENCE, answered).await;
    let gave_up = response.is_err() || ask.break_after.is_some();
    let response = response.ok().flatten().unwrap_or_default();
    Call {
        kind,
        key,
        router,
        life,
        sent,
        ended: clock_ms(),
        status: response.status,
        whole: response.whole,
        body: response.body,
        gave_up,
        id: id.to_owned(),
        item: item.to_owned(),
        resumes: ask.resumes.map(|(began, after)| (began.to_owned(), after)),
    }
}

/// Makes the header lines of a request's prompt. Sound ones share the first part with those that end endpoints.
fn prompt(ask: &Ask<'_>) -> String {
    let number = ask.id.bytes().fold(0, |sum: u64, b| sum + u64::from(b));
    let sound = [FIRST_PART, (number % SOUND_PARTS, 120)];
    let mut parts = ask.parts.unwrap_or(&sound).to_vec();
    parts.push((OWN_PARTS + number, 90));
    let prompt = PromptSpec {
        parts: &parts,
        output: 40,
    };
    prompt.fields()
}

/// Makes the response of what has come when a caller breaks its connection.
fn partial(received: String) -> ReceivedResponse {
    let (head, body) = received.split_once("\r\n\r\n").unwrap_or_default();
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    ReceivedResponse {
        status: status.unwrap_or(0),
        head: head.to_owned(),
        body: body.to_owned(),
        whole: false,
    }
}
