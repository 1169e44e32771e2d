//! The load of a deployment's sheet, scaled, on the real programs: batching engines with prompts, pools without a stated
//! load, callers at a rate that does not wait for answers, and planned work.
//!
//! Unlike the fault soak it disturbs no endpoint, so each five seconds of it are calm, and the load multiple is judged in all of
//! them. Endpoints are reached directly, as links would forward through this process.

pub mod callers;
pub mod fleet;
pub mod judge;
pub mod plan;
pub mod sheet;

use std::{
    path::Path,
    rc::Rc,
    time::Duration, //
};

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use tokio::{
    task::spawn_local,
    time::{
        Instant,
        sleep,
        sleep_until, //
    },
};

use toucanturn_platform_standin::{
    control,
    replica, //
};

use crate::{
    errors::Result,
    load::{
        callers::Callers,
        fleet::{
            Fleet,
            Seen, //
        },
        plan::{
            Act,
            Step, //
        },
        sheet::Sheet, //
    },
};

/// Time for which routers find each other before callers come.
const LEAD: Duration = Duration::from_millis(3000);
/// Time for which what is in progress may end.
const TAIL: Duration = Duration::from_millis(1500);
/// Time for which a router is held up at a time, in milliseconds, and the usual time between two.
const HELD: std::ops::Range<u64> = 50..500;
const HELD_EVERY: u64 = 1500;
/// Time for which engines are slow, and not slow, by turns.
const SPELL: Duration = Duration::from_millis(400);

/// Plays a sheet's load; logs go to `folder`.
///
/// # Errors
///
/// A program could not be started or did not obey.
pub async fn run(
    sheet: &Sheet,
    steps: &[Step],
    (seed, seconds): (u64, u64),
    folder: &Path,
) -> Result<Seen> {
    let fleet = Fleet::start(sheet, folder).await?;
    fleet.wait_until_ready().await?;
    sleep(LEAD).await;
    let callers = Callers::start(Rc::clone(&fleet), sheet, seed);
    let holds = sheet
        .held
        .then(|| spawn_local(hold_routers(Rc::clone(&fleet), seed)));
    let origin = Instant::now();
    let mut acts = Vec::new();
    for step in steps.iter().copied() {
        sleep_until(origin + Duration::from_millis(step.at)).await;
        let (fleet, callers) = (Rc::clone(&fleet), Rc::clone(&callers));
        acts.push(spawn_local(
            async move { act(&fleet, &callers, step).await },
        ));
    }
    sleep_until(origin + Duration::from_secs(seconds)).await;
    callers.stop();
    if let Some(holds) = holds {
        holds.abort();
    }
    acts.iter().for_each(tokio::task::JoinHandle::abort);
    sleep(TAIL).await;
    Ok(fleet.seen())
}

/// Carries out one step.
async fn act(fleet: &Rc<Fleet>, callers: &Callers, step: Step) -> Result<()> {
    let lasts = Duration::from_millis(step.lasts);
    match step.act {
        Act::HotSession { kind, share } => {
            callers.hot.set(Some((kind, share)));
            sleep(lasts).await;
            callers.hot.set(None);
        }
        Act::Burst { factor } => {
            callers.factor.set(factor);
            sleep(lasts).await;
            callers.factor.set(1.0);
        }
        Act::Uneven { share, percent } => uneven(fleet, (share, percent), lasts).await,
        Act::Crowded { factor } => {
            callers.crowding.set(factor);
            sleep(lasts).await;
            callers.crowding.set(1.0);
        }
        Act::ScaleIn { share } => fleet.scale_in(share).await?,
        Act::ScaleOut { share } => fleet.scale_out(share, lasts).await?,
        Act::Release { share } => fleet.release(share, lasts).await?,
        Act::Evacuate { data_center } => {
            fleet.evacuate(data_center, true).await?;
            sleep(lasts).await;
            fleet.evacuate(data_center, false).await?;
        }
        Act::RestartRouters { share } => fleet.restart_routers(share, lasts).await?,
    }
    Ok(())
}

/// Lets a share of the engines be slow in spells. All engines state how slow they are.
async fn uneven(fleet: &Rc<Fleet>, (share, percent): (f64, u32), lasts: Duration) {
    let until = Instant::now() + lasts;
    let slow = |percent| replica::ControlCommand::Slow { percent };
    for engine in fleet.engines(1.0) {
        control::order(engine, &slow(100)).await;
    }
    let engines = fleet.engines(share);
    while Instant::now() < until {
        for percent in [percent, 100] {
            for engine in &engines {
                control::order(*engine, &slow(percent)).await;
            }
            sleep(SPELL).await;
        }
    }
}

/// Holds routers up, one after the other and several at once, as machines do whose processors are busy.
async fn hold_routers(fleet: Rc<Fleet>, seed: u64) {
    let mut held = Vec::new();
    for n in 0..fleet.routers.len() {
        let fleet = Rc::clone(&fleet);
        held.push(spawn_local(async move {
            let mut rng = StdRng::seed_from_u64(seed ^ (n as u64) << 32);
            loop {
                let pause = rng.random_range(0..2 * HELD_EVERY);
                let lasts = rng.random_range(HELD);
                sleep(Duration::from_millis(pause)).await;
                fleet.hold_router(n, Duration::from_millis(lasts)).await;
            }
        }));
    }
    let guards: Vec<AbortOnDrop> = held.into_iter().map(AbortOnDrop).collect();
    std::future::pending::<()>().await;
    drop(guards);
}

/// Ends a task when it is dropped.
struct AbortOnDrop(tokio::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
