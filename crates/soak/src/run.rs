//! Plays a plan against a fleet, and collects what callers and endpoints saw.

use std::{
    os::unix::process::ExitStatusExt as _,
    path::Path,
    process::ExitStatus,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use rustix::process::Signal;
use snafu::ResultExt;
use strum::IntoEnumIterator as _;
use tokio::{
    net::TcpStream,
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
        ready, //
    },
    clock_ms,
    replica::{
        self,
        Behavior,
        STREAM_EVENTS, //
    },
    reply::{
        Break,
        Content,
        Framing,
        Place,
        Reply, //
    },
    store::{
        ControlCommand,
        Mode as Answers, //
    },
};
use toucanturn_standin::link::{
    Link,
    Mode, //
};

use crate::{
    caller::{
        Ask,
        Habits,
        Shared,
        balance,
        call,
        fatal,
        one, //
    },
    errors::{
        Result,
        TaskSnafu, //
    },
    fleet::{
        Fleet,
        LEAVING_MS,
        REVOKE_MS,
        ROUTE_MS,
        STOP_S,
        data_center, //
    },
    judge::take_ups,
    plan::{
        Fault,
        Size,
        Step,
        Versions, //
    },
    record::{
        Kill,
        Kind,
        Leaving,
        Record,
        Release,
        Target, //
    },
};

/// Time within which routers serve once all faults are over.
const RECOVERY: Duration = Duration::from_secs(8);
/// Time for which a fault is still felt, in milliseconds: a request that it met may last so long.
const AFTER: u64 = ROUTE_MS;
/// Time after which the entry of an endpoint that was killed is taken out.
const LAPSE: Duration = Duration::from_millis(700);
/// Time from which the links count as stalled, in milliseconds: shorter than the shortest silence after which a router
/// gives up an answer.
const LINKS_STALLED: u64 = 300;
/// Time between two looks whether an endpoint has ended.
const SUPERVISED: Duration = Duration::from_millis(20);
/// Time over the published one that a router may take to end, for what the system needs.
const STOP_MARGIN: Duration = Duration::from_millis(1500);
/// Requests by which each router shows that it serves again.
const PROOFS: usize = 5;
/// Time for which all endpoints fail, at least: as many retries as there are requests then would go
/// past the budget of a whole window.
const FAILING: Duration = Duration::from_secs(5);
/// Time from an endpoint's word that it leaves to its end, in a quick release.
const QUICK_LEAVING: Duration = Duration::from_millis(300);
/// Step from one odd act to the next; all follow each other in some plan.
const STRIDE: usize = 5;
/// Time for which an endpoint breaks answers off in the same way, and most of them.
const BREAKS_ALIKE: Duration = Duration::from_millis(200);
const MOST_BREAKING_ACTS: usize = 40;
/// Pause within each event of such an answer, in milliseconds, so that its endpoint can be killed there.
const BREAKING_PAUSE_MS: u64 = 5;
/// Seconds for which an endpoint asks for no requests.
const PAUSES: [&str; 4] = ["0.8", "1", "2.5", "4"];
/// Delay of a slow link.
const SLOW: Duration = Duration::from_millis(60);

/// Plays a plan; `seed` is that of the callers' choices, and logs go to `folder`.
///
/// # Errors
///
/// A program could not be started or did not obey.
pub async fn run(steps: &[Step], seed: u64, size: Size, folder: &Path) -> Result<Record> {
    run_with(steps, seed, size, Versions::of(seed), folder).await
}

/// Plays a plan of releases, with routers that start for the first time and callers that take streams up often.
///
/// # Errors
///
/// A program could not be started or did not obey.
pub async fn run_releases(steps: &[Step], seed: u64, size: Size, folder: &Path) -> Result<Record> {
    run_with(steps, seed, size, Versions::Releases, folder).await
}

async fn run_with(
    steps: &[Step],
    seed: u64,
    size: Size,
    versions: Versions,
    folder: &Path,
) -> Result<Record> {
    let fleet = Fleet::start(size, versions, folder).await?;
    let began = Instant::now();
    while !all_ready(&fleet).await && began.elapsed() < RECOVERY {
        sleep(Duration::from_millis(50)).await;
    }
    fleet.write_settings(false)?;
    let habits = match versions {
        Versions::Releases => Habits::Releases,
        _ => Habits::Usual,
    };
    let shared = Rc::new(Shared {
        habits,
        ..Shared::default()
    });
    let balancer = spawn_local(balance(Rc::clone(&fleet), Rc::clone(&shared)));
    let supervisor = spawn_local(supervise(Rc::clone(&fleet)));
    let watcher = spawn_local(watch_links(Rc::clone(&fleet)));
    let callers: Vec<_> = (0..size.callers)
        .map(|n| spawn_local(call(Rc::clone(&fleet), Rc::clone(&shared), n, seed)))
        .collect();
    let origin = tokio::time::Instant::now();
    let mut faults = Vec::new();
    for step in steps.iter().copied() {
        sleep_until(origin + Duration::from_millis(step.at)).await;
        let (fleet, shared) = (Rc::clone(&fleet), Rc::clone(&shared));
        faults.push(spawn_local(
            async move { play(&fleet, &shared, step).await },
        ));
    }
    for fault in faults {
        fault.await.context(TaskSnafu)??;
    }
    recover(&fleet, seed).await;
    shared.over.set(true);
    for caller in callers {
        caller.await.context(TaskSnafu)?;
    }
    balancer.abort();
    supervisor.abort();
    watcher.abort();
    let stops: Vec<_> = (0..size.routers)
        .map(|n| {
            let fleet = Rc::clone(&fleet);
            spawn_local(async move { stop(&fleet, n).await })
        })
        .collect();
    for stop in stops {
        stop.await.context(TaskSnafu)?;
    }
    // What endpoints wrote last is still on its way.
    sleep(Duration::from_millis(200)).await;
    let mut record = fleet.record.borrow().clone();
    record.take_ups = take_ups(&record);
    Ok(record)
}

async fn all_ready(fleet: &Fleet) -> bool {
    for router in &fleet.routers {
        let address = router.borrow().ready;
        if !ready(address).await {
            return false;
        }
    }
    true
}

/// Takes a router's process for one fault; false while another has it or there is none.
fn take(fleet: &Fleet, n: usize) -> bool {
    let mut router = fleet.routers[n].borrow_mut();
    let free = !router.busy && router.child.is_some();
    router.busy |= free;
    free
}

fn signal(fleet: &Fleet, n: usize, signal: Signal) {
    if let Some(child) = &fleet.routers[n].borrow().child {
        child.signal(signal);
    }
}

async fn play(fleet: &Rc<Fleet>, shared: &Shared, step: Step) -> Result<()> {
    let lasts = Duration::from_millis(step.lasts);
    let (n, router) = (step.replica, step.router);
    match step.fault {
        Fault::RouterStops if take(fleet, router) => {
            stop(fleet, router).await;
            sleep(lasts / 2).await;
            restart(fleet, router)?;
        }
        Fault::RouterKilled if take(fleet, router) => killed(fleet, &[router], lasts).await?,
        Fault::AllKilled => {
            let all: Vec<usize> = (0..fleet.size.routers)
                .filter(|n| take(fleet, *n))
                .collect();
            killed(fleet, &all, lasts).await?;
        }
        Fault::RouterPaused if take(fleet, router) => {
            let from = clock_ms();
            signal(fleet, router, Signal::STOP);
            sleep(lasts).await;
            signal(fleet, router, Signal::CONT);
            fleet.note_span(Target::Paused(router), from, AFTER);
            fleet.routers[router].borrow_mut().busy = false;
        }
        Fault::RouterReloads if take(fleet, router) => {
            signal(fleet, router, Signal::HUP);
            fleet.routers[router].borrow_mut().busy = false;
        }
        Fault::ReplicaBacksOff => {
            let retry_after = PAUSES[step.variant % PAUSES.len()].to_owned();
            let back_off = Behavior::BackOff { retry_after };
            let usual = replica::ControlCommand::Usual;
            fleet.tell_replica(n, &usual(back_off)).await;
            sleep(lasts).await;
            fleet.tell_replica(n, &usual(fleet.usual())).await;
        }
        Fault::ReplicaBreaksOff => {
            let from = clock_ms();
            let began = Instant::now();
            let mut variant = step.variant;
            while began.elapsed() < lasts {
                let order = replica::ControlCommand::Next(breaking_acts(variant));
                fleet.tell_replica(n, &order).await;
                sleep(BREAKS_ALIKE.min(lasts)).await;
                fleet.tell_replica(n, &replica::ControlCommand::Clear).await;
                variant += STRIDE;
            }
            let killed = step.variant.is_multiple_of(2)
                && !std::mem::replace(&mut fleet.replicas[n].borrow_mut().busy, true);
            if killed {
                let fault = Fault::ReplicaKilled;
                replica_process(fleet, Step { fault, ..step }, lasts).await?;
            }
            fleet.note_span(Target::Replica(n), from, AFTER);
        }
        Fault::ReplicaKilled
        | Fault::ReplicaPaused
        | Fault::ReplicaLeaves
        | Fault::ReplicaSaysLeaving => {
            let free = !std::mem::replace(&mut fleet.replicas[n].borrow_mut().busy, true);
            if free {
                replica_process(fleet, step, lasts).await?;
            }
        }
        Fault::ReplicaMisbehaves => {
            let from = clock_ms();
            let order = replica::ControlCommand::Next(odd_acts(step.variant));
            fleet.tell_replica(n, &order).await;
            sleep(lasts).await;
            // One that gets no requests meanwhile would do it after the fault.
            fleet.tell_replica(n, &replica::ControlCommand::Clear).await;
            fleet.note_span(Target::Replica(n), from, AFTER);
        }
        Fault::ReplicaSlow | Fault::AnswersLost | Fault::ReplicaReset | Fault::ReplicaSilent => {
            let link = fleet.replicas[n].borrow().link.clone();
            let from = clock_ms();
            link_fault(&link, step.fault, lasts).await;
            fleet.note_span(Target::Replica(n), from, AFTER);
            if step.fault == Fault::ReplicaSlow {
                fleet.note_span(Target::HeldUp(n), from, AFTER);
            }
        }
        Fault::StoreCut | Fault::StoreAnswersLost | Fault::StoreSilent => {
            let link = fleet.routers[router].borrow().link.clone();
            let from = clock_ms();
            link_fault(&link, step.fault, lasts).await;
            fleet.note_span(Target::Link(router), from, AFTER);
        }
        Fault::StoreCompacts => fleet.tell_store(&ControlCommand::Compact).await?,
        Fault::StoreBusy | Fault::StoreSlow | Fault::StorePaused => {
            let from = clock_ms();
            store_fault(fleet, step.fault, lasts).await?;
            fleet.note_span(Target::Store, from, AFTER);
        }
        Fault::Published => fleet.publish(|good| good).await?,
        Fault::KeyRevoked => fleet.revoke().await?,
        Fault::RevokedUnseen => {
            let from = clock_ms();
            fleet
                .tell_store(&ControlCommand::Mode(Answers::Busy))
                .await?;
            fleet.revoke().await?;
            sleep(Duration::from_millis(REVOKE_MS + AFTER)).await;
            fleet
                .tell_store(&ControlCommand::Mode(Answers::Sound))
                .await?;
            fleet.note_span(Target::Store, from, AFTER);
        }
        Fault::AllFail => {
            let from = clock_ms();
            let usual = |act| replica::ControlCommand::Usual(act);
            for n in 0..fleet.size.replicas {
                fleet.tell_replica(n, &usual(Behavior::Fail)).await;
            }
            sleep(FAILING + lasts).await;
            for n in 0..fleet.size.replicas {
                fleet.tell_replica(n, &usual(fleet.usual())).await;
                fleet.note_span(Target::Replica(n), from, AFTER);
            }
        }
        Fault::FatalRequest => fatal(fleet, shared, &step).await,
        Fault::Evacuated => evacuated(fleet, &step, lasts).await?,
        Fault::Released => {
            let place = note_release(fleet);
            released(fleet, step, lasts).await?;
            fleet.record.borrow_mut().releases[place].to = Some(clock_ms());
        }
        Fault::QuickRelease => {
            let place = note_release(fleet);
            quick_release(fleet, step, lasts).await?;
            fleet.record.borrow_mut().releases[place].to = Some(clock_ms());
        }
        Fault::PeersCut => {
            let all = fleet.size.routers;
            let group: Vec<usize> = (0..step.variant).map(|n| (router + n) % all).collect();
            let from = clock_ms();
            fleet.peer_links.cut(&group, all);
            sleep(lasts).await;
            fleet.peer_links.heal(&group, all);
            for n in 0..all {
                fleet.note_span(Target::Peers(n), from, AFTER);
            }
        }
        // Another fault has the process.
        _ => {}
    }
    Ok(())
}

/// Replaces all endpoints, one after the other in a time; several may be leaving at once.
async fn released(fleet: &Rc<Fleet>, step: Step, lasts: Duration) -> Result<()> {
    let all = fleet.size.replicas;
    let mut leaving = Vec::new();
    for replica in 0..all {
        let free = !std::mem::replace(&mut fleet.replicas[replica].borrow_mut().busy, true);
        if free {
            let fleet = Rc::clone(fleet);
            let fault = Fault::ReplicaLeaves;
            let step = Step {
                fault,
                replica,
                ..step
            };
            leaving.push(spawn_local(async move {
                replica_process(&fleet, step, Duration::ZERO).await
            }));
        }
        sleep(lasts / u32::try_from(all).unwrap_or(1)).await;
    }
    for one in leaving {
        one.await.context(TaskSnafu)??;
    }
    Ok(())
}

/// Notes the beginning of a release; gives its place in the record.
fn note_release(fleet: &Fleet) -> usize {
    let mut record = fleet.record.borrow_mut();
    record.releases.push(Release {
        from: clock_ms(),
        to: None,
    });
    record.releases.len() - 1
}

/// Replaces an endpoint by one of a new version, which serves alone for a time. It is replaced by one of the version
/// before then, or all others follow: killed, or leaving as they should.
async fn quick_release(fleet: &Rc<Fleet>, step: Step, lasts: Duration) -> Result<()> {
    let (before, next) = (fleet.release.get(), fleet.next_release());
    let first = step.replica;
    replace_now(fleet, first, next).await?;
    sleep(lasts).await;
    if step.variant.is_multiple_of(3) {
        return replace_now(fleet, first, before).await;
    }
    fleet.release.set(next);
    for n in (0..fleet.size.replicas).filter(|n| *n != first) {
        if step.variant % 3 == 1 {
            leave(fleet, n).await?;
            sleep(QUICK_LEAVING).await;
        }
        replace_now(fleet, n, next).await?;
    }
    Ok(())
}

/// Kills an endpoint and replaces it by one of a release at once.
async fn replace_now(fleet: &Rc<Fleet>, n: usize, release: usize) -> Result<()> {
    let from = clock_ms();
    {
        let mut replica = fleet.replicas[n].borrow_mut();
        replica.busy = true;
        replica.child.signal(Signal::KILL);
    }
    fleet.replace_by(n, release).await?;
    fleet.note_span(Target::Replica(n), from, AFTER);
    Ok(())
}

/// Tells an endpoint to leave, and publishes that it does.
async fn leave(fleet: &Fleet, n: usize) -> Result<()> {
    fleet.tell_replica(n, &replica::ControlCommand::Leave).await;
    fleet.enter(n, "draining", 0).await?;
    let at = clock_ms();
    let replica = fleet.replicas[n].borrow().id.clone();
    let leaving = Leaving { replica, at };
    fleet.record.borrow_mut().leaving.push(leaving);
    Ok(())
}

/// Evacuates a data centre and restores it; each second time its endpoints are cold by then.
async fn evacuated(fleet: &Rc<Fleet>, step: &Step, lasts: Duration) -> Result<()> {
    let name = data_center(step.variant / 2);
    if !fleet.evacuate(name).await? {
        return Ok(());
    }
    sleep(lasts).await;
    for n in 0..fleet.size.replicas {
        // The entry of one that leaves or was killed is another fault's.
        let cold = data_center(n) == name && step.variant.is_multiple_of(2);
        if cold && !fleet.replicas[n].borrow().busy {
            fleet.enter_cold(n).await?;
        }
    }
    fleet.restore(name).await
}

/// Notes when this process did not run, as then no link has forwarded anything.
async fn watch_links(fleet: Rc<Fleet>) {
    loop {
        let from = clock_ms();
        sleep(SUPERVISED).await;
        if clock_ms().saturating_sub(from) > LINKS_STALLED {
            fleet.note_span(Target::Links, from, 0);
        }
    }
}

/// Replaces endpoints that end by themselves: a request has ended them.
async fn supervise(fleet: Rc<Fleet>) {
    loop {
        sleep(SUPERVISED).await;
        for n in 0..fleet.size.replicas {
            let ended = {
                let mut replica = fleet.replicas[n].borrow_mut();
                let ended = !replica.busy && replica.child.ended().is_some();
                replica.busy |= ended;
                ended
            };
            if ended {
                let fleet = Rc::clone(&fleet);
                spawn_local(async move {
                    let from = clock_ms();
                    sleep(LAPSE).await;
                    let replaced = fleet.replace(n).await;
                    fleet.note_span(Target::Replica(n), from, AFTER);
                    if let Err(error) = replaced {
                        let told = format!("endpoint {n} was not replaced: {error}");
                        fleet.record.borrow_mut().processes.push(told);
                    }
                });
            }
        }
    }
}

/// Stops a router by its signal, and judges its end. Its process is taken by the caller.
async fn stop(fleet: &Rc<Fleet>, n: usize) {
    let child = fleet.routers[n].borrow_mut().child.take();
    let Some(mut child) = child else {
        return;
    };
    let early = child.ended();
    // A process that does not listen yet may have no handler of the signal either, and has nothing to cut.
    let ready = fleet.routers[n].borrow().ready;
    let listens = TcpStream::connect(ready).await.is_ok();
    child.signal(Signal::TERM);
    let limit = Duration::from_secs_f64(STOP_S) + STOP_MARGIN;
    let told = match (early, child.wait(limit).await) {
        (Some(status), _) => Some(format!("router {n} ended by itself: {status}")),
        (None, None) => Some(format!("router {n} did not end in {limit:?}")),
        (None, Some(status)) if !listens && ended_by(status, Signal::TERM) => None,
        (None, Some(status)) if !status.success() => {
            Some(format!("router {n} cut requests as it stopped: {status}"))
        }
        _ => None,
    };
    fleet.record.borrow_mut().processes.extend(told);
}

fn ended_by(status: ExitStatus, signal: Signal) -> bool {
    status.signal() == Some(signal.as_raw())
}

async fn killed(fleet: &Rc<Fleet>, routers: &[usize], lasts: Duration) -> Result<()> {
    let from = clock_ms();
    if !routers.is_empty() {
        let all = routers.len() == fleet.size.routers;
        let kill = Kill { at: from, all };
        fleet.record.borrow_mut().kills.push(kill);
    }
    for n in routers {
        let child = fleet.routers[*n].borrow_mut().child.take();
        if let Some(mut child) = child {
            if let Some(status) = child.ended() {
                let told = format!("router {n} ended by itself: {status}");
                fleet.record.borrow_mut().processes.push(told);
            }
            child.signal(Signal::KILL);
            child.wait(STOP_MARGIN).await;
        }
    }
    sleep(lasts / 2).await;
    for n in routers {
        restart(fleet, *n)?;
        fleet.note_span(Target::Router(*n), from, AFTER);
    }
    Ok(())
}

fn restart(fleet: &Fleet, n: usize) -> Result<()> {
    fleet.start_router(n)?;
    fleet.routers[n].borrow_mut().busy = false;
    Ok(())
}

async fn replica_process(fleet: &Rc<Fleet>, step: Step, lasts: Duration) -> Result<()> {
    let n = step.replica;
    let signal = |signal| fleet.replicas[n].borrow().child.signal(signal);
    let mut from = clock_ms();
    match step.fault {
        Fault::ReplicaPaused => {
            signal(Signal::STOP);
            sleep(lasts).await;
            signal(Signal::CONT);
            fleet.note_span(Target::Replica(n), from, AFTER);
            fleet.note_span(Target::HeldUp(n), from, AFTER);
            fleet.replicas[n].borrow_mut().busy = false;
            return Ok(());
        }
        Fault::ReplicaSaysLeaving => {
            fleet.tell_replica(n, &replica::ControlCommand::Leave).await;
            sleep(Duration::from_millis(LEAVING_MS) + lasts).await;
            from = clock_ms();
            signal(Signal::KILL);
        }
        Fault::ReplicaLeaves => {
            leave(fleet, n).await?;
            // Whoever heard of it in time has his answer by then.
            sleep(Duration::from_millis(2 * ROUTE_MS)).await;
            from = clock_ms();
            signal(Signal::KILL);
        }
        _ => {
            signal(Signal::KILL);
            sleep(LAPSE).await;
        }
    }
    fleet.replace(n).await?;
    fleet.note_span(Target::Replica(n), from, AFTER);
    Ok(())
}

/// Brings a fault of a link about and takes it away.
async fn link_fault(link: &Link, fault: Fault, lasts: Duration) {
    let mode = match fault {
        Fault::ReplicaReset => return link.reset(),
        Fault::ReplicaSilent | Fault::StoreSilent => return link.silence(),
        Fault::ReplicaSlow => Mode::Slow(SLOW),
        Fault::StoreCut => Mode::Drop,
        _ => Mode::DropAnswers,
    };
    link.set(mode);
    sleep(lasts).await;
    link.set(Mode::Pass);
    if mode != Mode::Slow(SLOW) {
        // What was lost stays lost: its connections would be silent for good.
        link.reset();
    }
}

async fn store_fault(fleet: &Rc<Fleet>, fault: Fault, lasts: Duration) -> Result<()> {
    let mode = match fault {
        Fault::StorePaused => {
            // Orders wait until it goes on: short enough for them.
            fleet.store.borrow().signal(Signal::STOP);
            sleep(lasts).await;
            fleet.store.borrow().signal(Signal::CONT);
            return Ok(());
        }
        Fault::StoreBusy => Answers::Busy,
        _ => Answers::Slow(400),
    };
    fleet.tell_store(&ControlCommand::Mode(mode)).await?;
    sleep(lasts).await;
    fleet
        .tell_store(&ControlCommand::Mode(Answers::Sound))
        .await
}

/// Gets acts that break the protocol: up to all kinds, each once.
fn odd_acts(variant: usize) -> Vec<Behavior> {
    let acts = [
        Behavior::OtherId,
        Behavior::Unsealed,
        Behavior::Encoded,
        Behavior::Reject,
        Behavior::Fail,
        Behavior::Truncate,
        Behavior::Extra,
        Behavior::Unframed,
        Behavior::Close,
        Behavior::Hang,
        Behavior::Torn { to: 3 },
        Behavior::Stuck { to: 3 },
    ];
    let count = 1 + variant % acts.len();
    let other = |n: usize| acts[(variant + n * STRIDE) % acts.len()].clone();
    (0..count).map(other).collect()
}

/// Gets answers that are broken off and whole by turns, as an endpoint that breaks off two in a row is paused.
fn breaking_acts(variant: usize) -> Vec<Behavior> {
    let reply = broken_reply(variant);
    let whole = Reply {
        broken: None,
        ..reply
    };
    let acts = [reply, whole].into_iter().cycle().map(Behavior::Reply);
    acts.take(MOST_BREAKING_ACTS).collect()
}

/// Gets the answer of an endpoint in another framing, whole or broken off where its end shows that.
fn broken_reply(variant: usize) -> Reply {
    let framings: Vec<Framing> = Framing::iter().collect();
    let framing = framings[variant % framings.len()];
    let variant = variant / framings.len();
    let how = [Break::Close, Break::Reset][variant % 2];
    let places = [
        Some(Place::Within { event: 1 }),
        Some(Place::Within { event: 4 }),
        Some(Place::Within {
            event: STREAM_EVENTS,
        }),
        Some(Place::After { event: 3 }),
        Some(Place::Body),
        None,
    ];
    // Nothing distinguishes a stream that its connection ends between two events from a whole one.
    let shows = |place: &Place| {
        (framing, how) != (Framing::Close, Break::Close) || !matches!(place, Place::After { .. })
    };
    let place = places[variant / 2 % places.len()].filter(shows);
    Reply {
        content: Content::Own,
        every_ms: BREAKING_PAUSE_MS,
        broken: place.map(|place| (place, how)),
        ..Reply::events(framing, STREAM_EVENTS)
    }
}

/// Waits until all routers serve, and makes each of them show it.
async fn recover(fleet: &Rc<Fleet>, seed: u64) {
    let began = Instant::now();
    let mut left = vec!["nothing was asked".to_owned()];
    while !left.is_empty() && began.elapsed() < RECOVERY {
        sleep(Duration::from_millis(100)).await;
        left = proofs(fleet, seed, began.elapsed().as_millis()).await;
    }
    fleet.record.borrow_mut().unrecovered = left;
}

/// Sends requests through each router; gives what was not served.
async fn proofs(fleet: &Rc<Fleet>, seed: u64, round: u128) -> Vec<String> {
    let mut left = Vec::new();
    let Some(key) = fleet.good_keys().last().copied() else {
        return left;
    };
    for n in 0..fleet.size.routers {
        let (address, life) = {
            let router = fleet.routers[n].borrow();
            (router.callers, router.life)
        };
        let connected = timeout(Duration::from_secs(1), Caller::connect(address)).await;
        let Ok(Ok(mut caller)) = connected else {
            left.push(format!("router {n} takes no connection"));
            continue;
        };
        for proof in 0..PROOFS {
            let kind = if proof % 2 == 0 {
                Kind::Once
            } else {
                Kind::Chat
            };
            let id = format!("p{seed}-{round}-{n}-{proof}");
            let call = one(&mut caller, (n, life), kind, key, Ask::new(&id, &id)).await;
            let served = call.status == 200 && call.whole;
            if !served {
                left.push(format!("{} at router {n}: status {}", call.id, call.status));
            }
            fleet.record.borrow_mut().calls.push(call);
            if !served {
                break;
            }
        }
    }
    left
}
