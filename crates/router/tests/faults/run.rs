//! Runs one cell: holds requests at the step, brings the fault about, lets go, and judges.

use std::{
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Instant,
};

use futures_util::future::join_all;

use toucanturn_core::node::Node;
use toucanturn_router::driver::Driver;
use toucanturn_standin::link::{
    Link, Mode,
    gate::{
        Gate,
        Point, //
    },
};

use crate::{
    caller::{
        Callers,
        Kind,
        Told,
        Word, //
    },
    cluster::{
        self,
        Cluster,
        LEASE,
        LOOK,
        REST, //
    },
    inject::{
        ENTRY,
        HOME,
        Targets, //
    },
    judge,
    matrix::{
        Fault,
        Step,
        name, //
    },
};

/// Time within which an accepted configuration is in force on every router.
const IN_FORCE: std::time::Duration = std::time::Duration::from_secs(5);
/// Tokens of a held chat.
const TOKENS: usize = 12;
/// Longest wait for a grant of the workspace's home, and some.
const ADMISSION: std::time::Duration = std::time::Duration::from_millis(200);
/// Time between two looks at whether a home runs new keys.
const SAMPLE: std::time::Duration = std::time::Duration::from_millis(2);
/// Longest wait for a request to come to its gate.
const AT_GATE: std::time::Duration = std::time::Duration::from_secs(5);

fn point(step: Step) -> Option<Point> {
    match step {
        Step::Connecting => Some(Point::Connect),
        Step::Authenticating => Some(Point::RequestPart),
        Step::AskingPeer | Step::BeforeFirstByteOut => Some(Point::Request),
        Step::RequestPartlySent => Some(Point::RequestPart),
        Step::RequestSent | Step::AnswerToCaller | Step::Draining => Some(Point::Answer),
        Step::FirstByte => Some(Point::FirstByte),
        Step::MidStream => Some(Point::Middle),
        Step::LastByte => Some(Point::LastByte),
        Step::Applying => Some(Point::Answer),
        Step::Starting => Some(Point::Connect),
        Step::Admitting => None,
    }
}

fn links(cluster: &Cluster, step: Step) -> Vec<Link> {
    let routers = cluster.routers.iter();
    match step {
        Step::Authenticating | Step::AnswerToCaller => routers.map(|r| r.callers.clone()).collect(),
        Step::AskingPeer | Step::Admitting => routers.map(|r| r.peers.clone()).collect(),
        Step::Applying => routers.map(|r| r.platform.clone()).collect(),
        Step::Starting => vec![cluster.routers[ENTRY].platform.clone()],
        _ => {
            let endpoints = cluster.engines.iter().chain(&cluster.replicas);
            endpoints.map(|e| e.link.clone()).collect()
        }
    }
}

type Sent<T> = Vec<tokio::task::JoinHandle<T>>;

/// `HeldOrder` is the order that a cell holds at a gate.
struct HeldOrder {
    home: Arc<Driver>,
    new_key: Box<dyn Fn() -> uuid::Uuid + Send + Sync>,
    /// Key under which it was last sent.
    key: Mutex<uuid::Uuid>,
    /// Where it is held; `None` if the step holds no order by itself.
    gate: Option<Arc<Gate>>,
}

impl HeldOrder {
    fn key(&self) -> uuid::Uuid {
        *self.key.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends the order, and again under a new key as long as it is refused before it comes to its gate because its
    /// home can't run new keys: on a busy machine, its lease lapses. Any other refusal is final.
    async fn send(&self, callers: &Callers, id: &str) -> Vec<Told> {
        let end = Instant::now() + AT_GATE;
        let mut told = Vec::new();
        loop {
            let sending = callers.send(ENTRY, Kind::Order, id, self.key(), TOKENS);
            let (one, lapsed) = self.watch_home(sending).await;
            told.push(one);
            let came = self.gate.as_ref().is_none_or(|gate| gate.is_reached());
            if came || !lapsed || Instant::now() >= end {
                return told;
            }
            tokio::time::sleep(LEASE).await;
            *self.key.lock().unwrap_or_else(PoisonError::into_inner) = (self.new_key)();
        }
    }

    /// Waits for an answer; tells also whether the home could not run new keys meanwhile.
    async fn watch_home<T>(&self, answer: impl Future<Output = T>) -> (T, bool) {
        let mut answer = std::pin::pin!(answer);
        let mut lapsed = false;
        loop {
            let takes_keys = |node: &Node| node.takes_keys(toucanturn_router::clock::now());
            lapsed |= !self.home.with_node(takes_keys);
            tokio::select! {
                answer = &mut answer => return (answer, lapsed),
                () = tokio::time::sleep(SAMPLE) => {}
            }
        }
    }
}

/// Runs a cell; gives what contradicts the promises.
pub(crate) async fn cell(cluster: &mut Cluster, fault: Fault, step: Step) -> Vec<String> {
    let label = format!("{}-{}", name(fault), name(step));
    let kinds = match step {
        Step::AskingPeer => vec![Kind::Order],
        _ => vec![Kind::Stream, Kind::Whole, Kind::Order],
    };
    let ids: Vec<String> = kinds.iter().map(|k| id(&label, *k)).collect();
    let held = hold(cluster, step, &ids);
    let orders = Arc::new(HeldOrder {
        home: Arc::clone(cluster.routers[HOME].driver()),
        new_key: Box::new(cluster.keys_at(HOME)),
        key: Mutex::new(cluster.key_at(HOME)),
        gate: ids
            .last()
            .and_then(|id| held.iter().find(|gate| gate.is_for(id)).cloned()),
    });
    let mut told = Vec::new();
    let mut faults = Vec::new();

    if step == Step::Starting {
        cluster.routers[ENTRY].kill();
        cluster.start_router(ENTRY).await;
    }
    if step == Step::Applying {
        cluster.publish_something(3).await;
    }
    // The callers go on while the fault changes the cluster.
    let callers = cluster.callers();
    let sent = kinds.iter().zip(&ids).map(|(kind, id)| {
        let (callers, kind, id) = (callers.clone(), *kind, id.clone());
        let orders = Arc::clone(&orders);
        tokio::spawn(async move {
            match kind {
                Kind::Order => orders.send(&callers, &id).await,
                Kind::Stream | Kind::Whole => {
                    vec![
                        callers
                            .send(ENTRY, kind, &id, uuid::Uuid::nil(), TOKENS)
                            .await,
                    ]
                }
            }
        })
    });
    let sent: Vec<_> = sent.collect();
    let mut missing = None;
    let targets = at_gates(cluster, step, &held).await;
    let targets = targets.unwrap_or_else(|gate| {
        let views: Vec<_> = cluster.routers.iter().map(view).collect();
        missing = Some(format!("{gate} with {views:?}"));
        Targets::default()
    });
    if step == Step::Draining {
        cluster.routers[ENTRY].drain();
    }
    let key = orders.key();
    let before = revisions(cluster);
    cluster.inject(fault, &targets).await;
    held.iter().for_each(|gate| gate.open());
    if step == Step::Admitting {
        resume_peers(cluster, fault);
    }
    let during = wave(cluster, &label, "during", key);
    if cluster.endure(fault).await {
        cluster.lift(fault, &targets).await;
        told.extend(join(during).await);
    } else {
        told.extend(join(during).await);
        cluster.lift(fault, &targets).await;
    }
    let sent = join(sent).await.concat();
    faults.extend(missing.map(|gate| format!("{gate}: {sent:?}")));
    let before_sent = told.len();
    told.extend(sent);
    links(cluster, step).iter().for_each(|link| link.arm(&[]));
    if step == Step::Draining && fault != Fault::EntryKilled {
        faults.extend(drained(cluster, &told[before_sent..], fault).await);
    }
    if step == Step::Draining && fault != Fault::EntryKilled {
        cluster.start_router(ENTRY).await;
    }
    faults.extend(in_force(cluster, fault, &before).await);
    faults.extend(recovered(cluster, &label, &mut told, key).await);
    cluster.close_silent(fault, &targets);
    faults.extend(judge::judge(cluster, &told).await);
    faults
        .into_iter()
        .map(|fault| format!("{label}: {fault}"))
        .collect()
}

fn id(label: &str, kind: Kind) -> String {
    let short = xxhash_rust::xxh3::xxh3_64(label.as_bytes());
    let kind = match kind {
        Kind::Stream => "s",
        Kind::Whole => "w",
        Kind::Order => "o",
    };
    format!("{short:016x}-{kind}")
}

fn hold(cluster: &Cluster, step: Step, ids: &[String]) -> Vec<Arc<Gate>> {
    let links = links(cluster, step);
    if step == Step::Connecting {
        // Pooled connections would not be made anew.
        links.iter().for_each(Link::reset);
    }
    if step == Step::Applying {
        // Each router hears of the change on its own link.
        let gates: Vec<_> = links
            .iter()
            .map(|_| Gate::new(Point::Answer, None))
            .collect();
        for (link, gate) in links.iter().zip(&gates) {
            link.arm(std::slice::from_ref(gate));
        }
        return gates;
    }
    let gates: Vec<_> = match point(step) {
        Some(Point::Connect) => vec![Gate::new(Point::Connect, None)],
        Some(point) => ids.iter().map(|id| Gate::new(point, Some(id))).collect(),
        None => Vec::new(),
    };
    if step == Step::Admitting {
        // The grant of the workspace's home doesn't come.
        links.iter().for_each(|link| link.set(Mode::Pause));
    }
    links.iter().for_each(|link| link.arm(&gates));
    gates
}

fn resume_peers(cluster: &Cluster, fault: Fault) {
    let home_is_cut = matches!(
        fault,
        Fault::PeerCutBothWays
            | Fault::PeerRequestsLost
            | Fault::PeerAnswersLost
            | Fault::PeerSlow
            | Fault::PeerCutAndServiceStale
    );
    for (n, router) in cluster.routers.iter().enumerate() {
        if n != HOME || !home_is_cut {
            router.peers.set(Mode::Pass);
        }
    }
}

/// Waits until every request is held; gives the endpoints that hold them.
async fn at_gates(cluster: &Cluster, step: Step, held: &[Arc<Gate>]) -> Result<Targets, String> {
    let mut links = Vec::new();
    for gate in held {
        let reached = tokio::time::timeout(AT_GATE, gate.reached()).await;
        let link = reached.map_err(|_| format!("no request came to {:?}", gate.point))?;
        links.push(link);
    }
    if step == Step::Admitting {
        let entry = cluster.routers[ENTRY].driver();
        // A request waits for its grant for a moment only; one that was admitted at once is past.
        cluster::reached(ADMISSION, || entry.open() > 0).await;
    }
    let engines = cluster.engines.len();
    let endpoints = engines + cluster.replicas.len();
    let mut targets = Targets::default();
    for link in links.into_iter().filter(|link| *link < endpoints) {
        let (list, n) = match link.checked_sub(engines) {
            None => (&mut targets.engines, link),
            Some(n) => (&mut targets.replicas, n),
        };
        if !list.contains(&n) {
            list.push(n);
        }
    }
    if targets.engines.is_empty() {
        targets.engines.push(0);
    }
    if targets.replicas.is_empty() {
        targets.replicas.push(0);
    }
    Ok(targets)
}

/// Sends a chat of each shape and an order through every router that can be reached, and repeats
/// the held order through the others.
fn wave(cluster: &Cluster, label: &str, when: &str, key: uuid::Uuid) -> Sent<Told> {
    wave_of(cluster, label, when, key, |_| uuid::Uuid::now_v7())
}

/// Sends a wave whose order through a router has the key that `fresh` makes for it.
fn wave_of(
    cluster: &Cluster,
    label: &str,
    when: &str,
    key: uuid::Uuid,
    fresh: impl Fn(usize) -> uuid::Uuid,
) -> Sent<Told> {
    let callers = cluster.callers();
    let mut sent = Vec::new();
    for router in 0..cluster.routers.len() {
        let base = format!("{label}-{when}-{router}");
        let fresh = fresh(router);
        for (kind, key) in [
            (Kind::Stream, fresh),
            (Kind::Whole, fresh),
            (Kind::Order, fresh),
        ] {
            let (callers, id) = (callers.clone(), id(&base, kind));
            sent.push(tokio::spawn(async move {
                callers.send(router, kind, &id, key, TOKENS).await
            }));
        }
        if router != ENTRY {
            let (callers, id) = (callers.clone(), format!("{}-r", id(&base, Kind::Order)));
            sent.push(tokio::spawn(async move {
                callers.send(router, Kind::Order, &id, key, TOKENS).await
            }));
        }
    }
    sent
}

async fn join<T>(sent: Sent<T>) -> Vec<T> {
    let told = join_all(sent).await;
    told.into_iter()
        .map(|one| one.expect("a caller does not panic"))
        .collect()
}

/// Waits until every router answers everything again, and runs orders as their home: each order
/// of a round goes through one router and has the next one for its home.
pub(crate) async fn recovered(
    cluster: &Cluster,
    label: &str,
    told: &mut Vec<Told>,
    key: uuid::Uuid,
) -> Vec<String> {
    cluster.wait_ready().await;
    let end = Instant::now() + REST;
    let mut round = 0;
    loop {
        let when = format!("after-{round}");
        let next = |router: usize| cluster.key_at((router + 1) % cluster.routers.len());
        let more = join(wave_of(cluster, label, &when, key, next)).await;
        let held = key.to_string();
        // The held order may for good be one whose fate nobody knows.
        let undone = |one: &&Told| one.name != held && !matches!(one.word, Word::Done(_));
        let undone: Vec<Told> = more.iter().filter(undone).cloned().collect();
        told.extend(more);
        if undone.is_empty() {
            return Vec::new();
        }
        if Instant::now() >= end {
            let views: Vec<_> = cluster.routers.iter().map(view).collect();
            let one = &undone[0];
            return vec![format!("the fleet did not recover: {views:?}, {one:?}")];
        }
        round += 1;
        tokio::time::sleep(LOOK).await;
    }
}

/// Tells whether a router takes every endpoint whose name begins like this for down.
pub(crate) fn sees_down(router: &cluster::Router, name: &str) -> bool {
    let (_, states) = view(router);
    let mut states = states.iter().filter(|state| state.starts_with(name));
    states.all(|state| state.ends_with("Down"))
}

/// Gets a router's name and the state of each endpoint in its view.
fn view(router: &cluster::Router) -> (String, Vec<String>) {
    if !router.is_up() {
        return (router.name.clone(), Vec::new());
    }
    let states = router.driver().with_node(|node| {
        let now = toucanturn_router::clock::now().mono;
        let state = |(key, e): (_, &Arc<toucanturn_core::config::Endpoint>)| {
            format!("{} {:?}", e.id.as_str(), node.view().state(now, key))
        };
        node.config().endpoints.iter().map(state).collect()
    });
    (router.name.clone(), states)
}

fn revisions(cluster: &Cluster) -> Vec<Option<u64>> {
    let routers = cluster.routers.iter();
    routers.map(|r| r.is_up().then(|| r.revision().0)).collect()
}

/// Publishes after the fault, and checks that the new revision is in force everywhere in time, and
/// that none went back.
async fn in_force(cluster: &Cluster, fault: Fault, before: &[Option<u64>]) -> Vec<String> {
    let mut faults = Vec::new();
    for (router, before) in cluster.routers.iter().zip(before) {
        let replaced = matches!(
            fault,
            Fault::RouterReplaced
                | Fault::HomeKilled
                | Fault::EntryKilled
                | Fault::EndpointKilledAndHomeKilled
        );
        let after = router.revision().0;
        if before.is_some_and(|before| after < before) && !replaced && router.name != "router-0" {
            faults.push(format!(
                "{} went back from {before:?} to {after}",
                router.name
            ));
        }
    }
    let revision = cluster.publish_something(5).await;
    let everywhere = || cluster.routers.iter().all(|r| r.revision().0 >= revision);
    if !cluster::reached(IN_FORCE, everywhere).await {
        let found = revisions(cluster);
        faults.push(format!(
            "revision {revision} is not in force in 5 s: {found:?}"
        ));
    }
    faults
}

/// Waits for the end of the entry's drain and checks that it cut nothing that could be answered.
async fn drained(cluster: &mut Cluster, told: &[Told], fault: Fault) -> Vec<String> {
    let cut = cluster.routers[ENTRY].drained().await;
    let mut faults = Vec::new();
    if cut > 0 {
        faults.push(format!("the drain cut {cut} calls under {}", name(fault)));
    }
    for one in told {
        if matches!(one.word, Word::Broken(_)) {
            faults.push(format!("the drain cut {one:?}"));
        }
    }
    faults
}
