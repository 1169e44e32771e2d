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
        RequestSpec,
        ready, //
    },
    clock_ms,
    replica::FATAL_REQUEST_MARKER,
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

/// Part of the requests that have the content of others.
const SHARED: f64 = 0.5;
/// What these are for.
pub const COMMON: &str = "x";
/// Time for which a caller repeats a request that ends endpoints, and its pause.
const FATAL_TIME: Duration = Duration::from_millis(6000);
const FATAL_PAUSE: Duration = Duration::from_millis(150);

/// `Shared` is what callers and balancer share.
#[derive(Default)]
pub struct Shared {
    /// Routers in rotation: number, process and address.
    pub rotation: RefCell<Vec<(usize, u32, SocketAddr)>>,
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
    let (router, life, address) = place?;
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
            let kinds: Vec<Kind> = Kind::iter().collect();
            let kind = kinds[rng.random_range(0..kinds.len())];
            let key = pick_key(&fleet, &mut rng);
            let id = format!("c{number}-{count}");
            // Others ask for the same, too.
            let item = if rng.random_bool(SHARED) { COMMON } else { &id };
            let call = one(&mut caller, place, kind, key, (&id, item)).await;
            let goes_on = call.whole && !shared.over.get();
            fleet.record.borrow_mut().calls.push(call);
            sleep(Duration::from_millis(rng.random_range(0..60))).await;
            if !goes_on {
                break;
            }
        }
    }
}

/// Repeats a request that ends each endpoint that runs it, under new ids at any router in rotation.
pub async fn fatal(fleet: &Fleet, shared: &Shared, step: &Step) {
    let mut rng = StdRng::seed_from_u64(step.at);
    let kinds: Vec<Kind> = Kind::iter().collect();
    let kind = kinds[step.variant % kinds.len()];
    let item = format!(
        "{}-{}",
        FATAL_REQUEST_MARKER.trim_start_matches('/'),
        step.at
    );
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
        let id = format!("{item}-{count}");
        let call = one(&mut caller, place, kind, key, (&id, &item)).await;
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

/// Makes one call on an open connection.
pub async fn one(
    caller: &mut Caller,
    (router, life): (usize, u32),
    kind: Kind,
    key: usize,
    (id, item): (&str, &str),
) -> Call {
    let name = key_name(key);
    let ask = RequestSpec {
        kind: kind.into(),
        id,
        key: &name,
        deadline_ms: DEADLINE_MS,
        item,
    };
    let sent = clock_ms();
    let answered = async {
        caller.write(&ask.text("")).await.ok()?;
        Some(caller.response().await)
    };
    let response = timeout(PATIENCE, answered).await;
    let gave_up = response.is_err();
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
    }
}
