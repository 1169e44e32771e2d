//! The promises, judged from what callers and endpoints saw. No judge looks at the routers' logs.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    ops::Range, //
};

use strum::IntoEnumIterator;
use toucanturn_judge::multiple::{
    Note,
    Window,
    arrivals,
    calm_windows,
    worst, //
};
use toucanturn_platform_standin::{
    document::COLD_PER_S,
    replica::{
        FATAL_REQUEST_MARKER,
        RequestEvent,
        RequestEventKind,
        STREAM_EVENTS, //
    },
    reply::BUILD_COMMENT,
};

use crate::{
    caller::FATAL_PART,
    fleet::{
        CONFIG_MS,
        EVACUATION_MS,
        LEAVING_MS,
        RETRY_EXTRA,
        RETRY_PERCENT,
        RETRY_WINDOW_S,
        REVOKE_MS,
        WARMUP_PERCENT,
        WARMUP_SLACK,
        data_center, //
    },
    load::fleet::change,
    record::{
        Call,
        Cold,
        Evacuation,
        Kind,
        Leaving,
        Member,
        Phase,
        Record,
        Start,
        TakeUps,
        Target, //
    },
};

/// Streams that are taken up from which their share is judged.
const MIN_TAKE_UPS: usize = 12;
/// Time that a judge allows for what passes between the clocks of two processes, in milliseconds.
const SLACK: u64 = 500;
/// Time after an answer from which requests count against the pause that it asks for, in milliseconds, and how many
/// may come until its end.
const BACK_OFF_GRACE: u64 = 500;
const BACK_OFF_MOST: usize = 2;
/// Time for which a fault may still be felt in what a router knows, in milliseconds.
const FELT: u64 = 3000;

/// Endpoints that a request may end before it is to be held back.
const ENDED: usize = 3;
/// Time after which all routers are to do so, in milliseconds, and how often it may reach endpoints then.
const KNOWN: u64 = 3000;
const LATE: usize = 3;
/// Bodies of the answers to what is held back, for its content or for a part of its prompt.
const HELD: [&str; 2] = ["quarantined", "part_quarantined"];

/// `Promise` is what the system owes its users.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Promise {
    /// What may run once runs at most once, and nothing at more endpoints than allowed.
    Once,
    /// What is said not to have run has not.
    NotRun,
    /// An answer is the request's own and whole, a stream without gap or repeat.
    Own,
    /// A router that stops, or goes on, cuts no answer.
    Uncut,
    /// A leaving endpoint gets nothing new after the bound.
    Leaving,
    /// A key that was taken away opens nothing after the bound.
    Revoked,
    /// A router never goes back to what it has acted against.
    Forward,
    /// A published key opens requests within the bound.
    InForce,
    /// Retries stay within the budget.
    Budget,
    /// No process ends by itself, and a stop takes no longer than it may.
    Alive,
    /// When all faults are over, everything is served again.
    Recovered,
    /// A request that ends endpoints is held back once it has ended three.
    Contained,
    /// No other request is.
    Innocent,
    /// An evacuated data centre gets nothing new after the bound.
    Evacuated,
    /// A cold endpoint gets no more than it tolerates.
    Warmup,
    /// An endpoint that has told a router that it leaves gets nothing new from that router after the bound.
    SaidLeaving,
    /// An endpoint gets next to nothing from a router in the time for which it has asked that router for none.
    BackOff,
    /// All events of a stream, over its caller's tries, are of one software version.
    OneVersion,
    /// Streams that callers take up go on about as often as new ones begin, while their version serves.
    TakenUp,
    /// In calm times endpoints get little while they hold more than the load multiple allows.
    Multiple,
}

/// `Finding` is a promise that was not kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Which.
    pub promise: Promise,
    /// How that was seen.
    pub what: String,
}

/// Runs of each request, in the order of their beginnings.
type Runs<'a> = HashMap<&'a str, Vec<&'a RequestEvent>>;

/// Requests by id.
type Calls<'a> = HashMap<&'a str, &'a Call>;
/// A router, which of its processes, and an endpoint.
type Link<'a> = (usize, usize, &'a str);

/// Judges a run.
pub fn judge(record: &Record) -> Vec<Finding> {
    let mut runs: Runs<'_> = HashMap::new();
    for note in &record.notes {
        runs.entry(&note.id).or_default().push(note);
    }
    let calls: Calls<'_> = record.calls.iter().map(|c| (c.id.as_str(), c)).collect();
    let mut findings = Vec::new();
    for promise in Promise::iter() {
        let found = match promise {
            Promise::Once => each(record, |call| once(call, &runs)),
            Promise::NotRun => each(record, |call| not_run(call, &runs)),
            Promise::Own => each(record, |call| own(record, call, &runs)),
            Promise::Uncut => each(record, |call| uncut(record, call, &runs)),
            Promise::Revoked => each(record, |call| revoked(record, call, &runs)),
            Promise::InForce => each(record, |call| in_force(record, call)),
            Promise::Forward => forward(record, &runs),
            Promise::Leaving => leaving(record),
            Promise::Budget => budget(record, &runs),
            Promise::Alive => record.processes.clone(),
            Promise::Recovered => record.unrecovered.clone(),
            Promise::Contained => contained(record, &runs),
            Promise::Innocent => each(record, |call| innocent(record, call)),
            Promise::Evacuated => evacuated(record, &calls),
            Promise::Warmup => warmup(record),
            Promise::SaidLeaving => said_leaving(record, &calls),
            Promise::BackOff => back_off(record, &calls),
            Promise::Multiple => multiple(record, &calls),
            Promise::OneVersion => one_version(record),
            Promise::TakenUp => taken_up(record),
        };
        let found = found.into_iter().map(|what| Finding { promise, what });
        findings.extend(found);
    }
    findings
}

fn each(record: &Record, judge: impl Fn(&Call) -> Option<String>) -> Vec<String> {
    record.calls.iter().filter_map(judge).collect()
}

fn began<'a>(runs: &'a Runs<'_>, id: &str) -> impl Iterator<Item = &'a RequestEvent> {
    let notes = runs.get(id).into_iter().flatten();
    notes
        .copied()
        .filter(|note| note.what == RequestEventKind::Began)
}

fn once(call: &Call, runs: &Runs<'_>) -> Option<String> {
    let count = began(runs, &call.id).count();
    let most = call.kind.attempts();
    (count > most).then(|| format!("{} ran {count} times, {most} allowed", call.id))
}

/// Tells whether a status promises that the request has not run.
fn promises(status: u16) -> bool {
    matches!(status, 400 | 401 | 404 | 408 | 413 | 421 | 429 | 431 | 503)
}

fn not_run(call: &Call, runs: &Runs<'_>) -> Option<String> {
    let ran = promises(call.status) && began(runs, &call.id).next().is_some();
    ran.then(|| format!("{} was answered {} and has run", call.id, call.status))
}

fn own(record: &Record, call: &Call, runs: &Runs<'_>) -> Option<String> {
    if call.status != 200 {
        return None;
    }
    let Call { id, body, .. } = call;
    // An endpoint that breaks the protocol may still answer whole, in few words.
    let odd = record.faulty(call.sent, call.ended, |t| matches!(t, Target::Replica(_)));
    let short = odd && body == "done";
    let right = match (call.whole, call.kind.streams()) {
        (true, true) => {
            without_versions(body) == events(id, call.after())
                || short
                || (ended_unmarked(record, call, runs) && is_whole_events(body, id, call.after()))
        }
        (true, false) => *body == format!("done {id}") || short,
        (false, true) => in_order(body, id, call.after()),
        (false, false) => true,
    };
    (!right).then(|| format!("{id} got another's or a wrong answer: {body:.200}"))
}

/// Tells whether the endpoint of a call crashed during an answer that was to end with its connection. Nothing
/// tells such a stream that ends between two events from a complete one.
fn ended_unmarked(record: &Record, call: &Call, runs: &Runs<'_>) -> bool {
    let notes = runs.get(call.id.as_str()).into_iter().flatten();
    let mut unmarked = notes.filter(|n| n.what == RequestEventKind::Began && n.unmarked);
    unmarked.any(|begun| {
        let during = begun.at_ms..=call.ended;
        record.notes.iter().any(|n| {
            n.what == RequestEventKind::Crashed
                && n.replica == begun.replica
                && during.contains(&n.at_ms)
        })
    })
}

/// Tells whether a body is the first events of a request's stream, each whole.
fn is_whole_events(body: &str, id: &str, after: u64) -> bool {
    let body = without_versions(body);
    body.ends_with("\n\n") && events(id, after).starts_with(&body)
}

/// Leaves out the comments that name software versions.
fn without_versions(body: &str) -> String {
    let lines = body.split_inclusive('\n');
    lines.filter(|l| !l.starts_with(BUILD_COMMENT)).collect()
}

/// Gets the software versions that a body's events name. The last line may be cut.
fn versions(body: &str) -> impl Iterator<Item = &str> {
    let (lines, _) = body.rsplit_once('\n').unwrap_or_default();
    lines.lines().filter_map(|l| l.strip_prefix(BUILD_COMMENT))
}

/// Gets the stream of a request after an event.
fn events(id: &str, after: u64) -> String {
    let event = |n| format!("id: {n}\ndata: piece {n} of {id}\n\n");
    (after + 1..=STREAM_EVENTS).map(event).collect()
}

/// Tells whether all events are of one request and count up without a gap, from the one after `after` on.
fn in_order(body: &str, id: &str, after: u64) -> bool {
    // The last line may be cut.
    let (lines, _) = body.rsplit_once('\n').unwrap_or_default();
    let pieces = lines.lines().filter_map(|l| l.strip_prefix("data: piece "));
    let numbers = pieces.map(|piece| {
        let (number, of) = piece.split_once(" of ")?;
        (of == id).then(|| number.parse::<u64>().ok())?
    });
    numbers
        .zip(after + 1..)
        .all(|(number, n)| number == Some(n))
}

fn uncut(record: &Record, call: &Call, runs: &Runs<'_>) -> Option<String> {
    let cut = call.status == 0 || (call.status == 200 && !call.whole);
    if !cut || call.gave_up {
        return None;
    }
    // Whoever was killed, suspended or hidden behind a fault can't be asked for an answer.
    // A peer may have passed the answer on.
    let own = [
        Target::Router(call.router),
        Target::Paused(call.router),
        Target::Peers(call.router),
        Target::Links,
    ];
    let place = |t| own.contains(&t) || matches!(t, Target::Replica(_));
    if record.faulty(call.sent, call.ended, place) {
        return None;
    }
    let ran = began(runs, &call.id).next().is_some();
    // A connection that closes as the request comes was idle: nothing ran, the caller sends again.
    ran.then(|| {
        let Call { id, router, .. } = call;
        format!(
            "{id}'s answer of router {router} was cut, status {}",
            call.status
        )
    })
}

fn revoked(record: &Record, call: &Call, runs: &Runs<'_>) -> Option<String> {
    let at = record.keys.get(call.key)?.revoked?;
    let late = call.sent > at + REVOKE_MS + SLACK / 2;
    let ran = late && began(runs, &call.id).next().is_some();
    ran.then(|| format!("{} ran {} ms after its key went", call.id, call.sent - at))
}

fn in_force(record: &Record, call: &Call) -> Option<String> {
    let key = record.keys.get(call.key)?;
    let good = key.revoked.is_none_or(|at| call.ended < at);
    let due = call.sent > key.since + CONFIG_MS + SLACK;
    let blind = |target: Target| target.blinds(Some(call.router));
    let excused = record.faulty(key.since.saturating_sub(FELT), call.sent, blind);
    let refused = call.status == 401 && good && due && !excused;
    refused.then(|| {
        let age = call.sent - key.since;
        format!("{} was refused though its key is {age} ms old", call.id)
    })
}

fn forward(record: &Record, runs: &Runs<'_>) -> Vec<String> {
    let mut gone: HashMap<(usize, u32, usize), u64> = HashMap::new();
    let mut calls: Vec<&Call> = record.calls.iter().collect();
    calls.sort_by_key(|call| call.ended);
    let mut found = Vec::new();
    for call in calls {
        let place = (call.router, call.life, call.key);
        let revoked = record.keys.get(call.key).and_then(|key| key.revoked);
        if call.status == 401 && revoked.is_some_and(|at| at < call.ended) {
            gone.entry(place).or_insert(call.ended);
        }
        let after = gone.get(&place).is_some_and(|at| call.sent > *at);
        if after && began(runs, &call.id).next().is_some() {
            let Call {
                id, router, key, ..
            } = call;
            found.push(format!(
                "{id} ran by key {key}, which router {router} had refused"
            ));
        }
    }
    found
}

fn leaving(record: &Record) -> Vec<String> {
    let mut found = Vec::new();
    for leaving in &record.leaving {
        let end = leaving.at + LEAVING_MS + SLACK;
        let late = |note: &&RequestEvent| {
            let new = note.replica == leaving.replica && note.what == RequestEventKind::Began;
            new && note.at_ms > end && !excused(record, note, leaving.at)
        };
        let late = record.notes.iter().filter(late);
        found.extend(late.map(|note| {
            let after = note.at_ms - leaving.at;
            format!(
                "{} began at {} {after} ms after it left",
                note.id, note.replica
            )
        }));
    }
    found
}

/// Tells whether a fault kept the router of a run from hearing what was published at `at`.
fn excused(record: &Record, note: &RequestEvent, at: u64) -> bool {
    let call = record.calls.iter().find(|call| call.id == note.id);
    let router = call.map(|call| call.router);
    record.faulty(at, note.at_ms, |target| target.blinds(router))
}

fn budget(record: &Record, runs: &Runs<'_>) -> Vec<String> {
    let window = RETRY_WINDOW_S * 1000;
    let mut repeats: Vec<u64> = Vec::new();
    for notes in runs.values() {
        let arrivals = notes
            .iter()
            .filter(|n| matches!(n.what, RequestEventKind::Began | RequestEventKind::Rejected));
        repeats.extend(arrivals.skip(1).map(|note| note.at_ms));
    }
    repeats.sort_unstable();
    let mut worst = None;
    for (n, from) in repeats.iter().enumerate() {
        let inside = repeats[n..].iter().take_while(|at| **at < from + window);
        let count = inside.count();
        // Requests of the window before count as well: a retry may follow its request late.
        let since = from.saturating_sub(window / 2);
        let asked = |call: &&Call| (since..from + window).contains(&call.sent);
        let asked = record.calls.iter().filter(asked).count();
        let allowed = asked * RETRY_PERCENT / 100 + RETRY_EXTRA;
        if count > allowed {
            worst = worst.max(Some((count, allowed)));
        }
    }
    let told = worst.map(|(count, allowed)| {
        format!("{count} retries in {RETRY_WINDOW_S} s, {allowed} allowed")
    });
    told.into_iter().collect()
}

/// Looks for requests that reached endpoints too often after they had ended the third.
fn contained(record: &Record, runs: &Runs<'_>) -> Vec<String> {
    let mut items: HashMap<&str, Vec<&Call>> = HashMap::new();
    for call in record.calls.iter().filter(|c| fatal(c)) {
        items.entry(&call.item).or_default().push(call);
    }
    let mut found = Vec::new();
    for (item, calls) in items {
        let notes = |call: &&Call| runs.get(call.id.as_str()).into_iter().flatten();
        let ended = calls.iter().flat_map(notes);
        let ended = ended.filter(|note| note.what == RequestEventKind::Crashed);
        let mut ended: Vec<u64> = ended.map(|note| note.at_ms).collect();
        ended.sort_unstable();
        let Some(third) = ended.get(ENDED - 1) else {
            continue;
        };
        let known = third + KNOWN;
        // A router that was away, or has just started, may know less.
        let away = |call: &Call| {
            let own = [Target::Router(call.router), Target::Paused(call.router)];
            let from = call.sent.saturating_sub(FELT);
            let started = |s: &Start| s.router == call.router && (from..call.ended).contains(&s.at);
            record.starts.iter().any(started)
                || record.faulty(from, call.ended, |t| own.contains(&t))
        };
        let late = calls.iter().filter(|c| c.sent > known && !away(c));
        let late = late.flat_map(|c| began(runs, &c.id)).count();
        if late > LATE {
            found.push(format!(
                "{item} reached endpoints {late} times later than {KNOWN} ms after the third crash"
            ));
        }
    }
    found
}

/// Tells whether a call ends endpoints.
fn fatal(call: &Call) -> bool {
    let name = call.item.split('-').next();
    format!("/{}", call.item).starts_with(FATAL_REQUEST_MARKER) || name == Some(FATAL_PART)
}

fn innocent(record: &Record, call: &Call) -> Option<String> {
    let held = call.status == 503 && HELD.contains(&call.body.trim_end());
    if !held || fatal(call) {
        return None;
    }
    // A router that can't follow the configuration can't open what others tell it of answers.
    let own = [Target::Link(call.router), Target::Paused(call.router)];
    let from = call.sent.saturating_sub(FELT);
    let cut = record.faulty(from, call.ended, |t| own.contains(&t));
    // Where no endpoint answers anything, nobody would have served it.
    let near = call.sent.saturating_sub(SLACK)..call.ended + SLACK;
    let answers =
        |note: &RequestEvent| note.what == RequestEventKind::Ended && near.contains(&note.at_ms);
    let served = record.notes.iter().any(answers);
    (!cut && served).then(|| format!("{} ({}) was held back", call.id, call.item))
}

/// Gets the number of an endpoint by its name, `i-NUMBER-LIFE`.
fn number(replica: &str) -> Option<usize> {
    replica.split('-').nth(1)?.parse().ok()
}

fn evacuated(record: &Record, calls: &Calls<'_>) -> Vec<String> {
    let mut found = Vec::new();
    for evacuation in &record.evacuations {
        let end = evacuation.from.saturating_add(EVACUATION_MS + SLACK);
        let during = end..evacuation.to.unwrap_or(u64::MAX);
        // A request that was sent in time may wait at an endpoint that is held up.
        let waited = |note: &RequestEvent| {
            let in_time = calls.get(note.id.as_str()).is_some_and(|c| c.sent < end);
            let held_up = number(&note.replica).map(Target::HeldUp);
            in_time && record.faulty(end, note.at_ms, |t| Some(t) == held_up)
        };
        let late = |note: &&RequestEvent| {
            let place = number(&note.replica).map(data_center);
            note.what == RequestEventKind::Began
                && during.contains(&note.at_ms)
                && place == Some(&evacuation.data_center)
                && !waited(note)
        };
        let late = record.notes.iter().filter(late);
        found.extend(late.map(|note| {
            let after = note.at_ms - evacuation.from;
            let (id, replica) = (&note.id, &note.replica);
            format!("{id} began at {replica} {after} ms after its data centre was evacuated")
        }));
    }
    found
}

fn warmup(record: &Record) -> Vec<String> {
    let most = COLD_PER_S * WARMUP_PERCENT / 100 + WARMUP_SLACK;
    let crowd = |cold: &Cold| {
        let own = |note: &&RequestEvent| {
            note.replica == cold.replica
                && note.what == RequestEventKind::Began
                && (cold.from..cold.to).contains(&note.at_ms)
        };
        let mut times: Vec<u64> = record.notes.iter().filter(own).map(|n| n.at_ms).collect();
        times.sort_unstable();
        // What was held up on its way was sent at other times.
        let place = number(&cold.replica).map(Target::HeldUp);
        let counts = times.iter().enumerate().map(|(n, from)| {
            let inside = times[n..].iter().take_while(|at| **at < from + 1000);
            let held_up = record.faulty(*from, from + 1000, |t| Some(t) == place);
            (inside.count() as u64, held_up)
        });
        let worst = counts
            .filter(|(_, excused)| !excused)
            .map(|(count, _)| count)
            .max()?;
        (worst > most).then(|| {
            format!(
                "{} got {worst} requests within a second while it was cold, {most} allowed",
                cold.replica
            )
        })
    };
    record.cold.iter().filter_map(crowd).collect()
}

/// Tells between which process of a router and which endpoint a note is. The process is counted by starts: a caller may
/// reach a new process by what the balancer knew of the one before.
fn link<'a>(record: &Record, note: &'a RequestEvent, calls: &Calls<'_>) -> Option<Link<'a>> {
    let call = calls.get(note.id.as_str())?;
    let before = |s: &&Start| s.router == call.router && s.at <= call.sent;
    let process = record.starts.iter().filter(before).count();
    Some((call.router, process, &note.replica))
}

fn said_leaving(record: &Record, calls: &Calls<'_>) -> Vec<String> {
    // When each process has first passed on an answer that says so. It was said from its beginning on.
    let mut told: HashMap<Link<'_>, u64> = HashMap::new();
    for note in &record.notes {
        let call = calls.get(note.id.as_str());
        let passed_on = call.filter(|c| note.says_leaving && c.status == 200 && c.whole);
        if let (RequestEventKind::Began, Some(call)) = (note.what, passed_on)
            && let Some(link) = link(record, note, calls)
        {
            let at = told.entry(link).or_insert(call.ended);
            *at = call.ended.min(*at);
        }
    }
    let late = |note: &RequestEvent| {
        let link = link(record, note, calls)?;
        let (at, call) = (*told.get(&link)?, calls.get(note.id.as_str())?);
        let began = note.what == RequestEventKind::Began;
        let paused = |t| t == Target::Paused(call.router);
        let late = began && call.sent > at + LEAVING_MS + SLACK;
        (late && !record.faulty(at, note.at_ms, paused)).then(|| {
            let (id, replica, after) = (&note.id, &note.replica, call.sent - at);
            format!(
                "{id} began at {replica} {after} ms after that had told its router that it leaves"
            )
        })
    };
    record.notes.iter().filter_map(late).collect()
}

fn back_off(record: &Record, calls: &Calls<'_>) -> Vec<String> {
    let mut arrivals: HashMap<Link<'_>, Vec<u64>> = HashMap::new();
    let arrives =
        |n: &RequestEvent| matches!(n.what, RequestEventKind::Began | RequestEventKind::Rejected);
    for note in record.notes.iter().filter(|n| arrives(n)) {
        if let Some(link) = link(record, note, calls) {
            arrivals.entry(link).or_default().push(note.at_ms);
        }
    }
    let asks = record.notes.iter().filter(|n| n.back_off_ms > 0);
    let broken = |note: &RequestEvent| {
        let link = link(record, note, calls)?;
        let (from, to) = (note.at_ms + BACK_OFF_GRACE, note.at_ms + note.back_off_ms);
        // A router that was suspended, or whose way to the endpoint was disturbed, may not have heard it.
        let place = number(&note.replica);
        let unheard = |t| match t {
            Target::Paused(n) => n == link.0,
            Target::Replica(n) | Target::HeldUp(n) => Some(n) == place,
            _ => false,
        };
        if from >= to || record.faulty(note.at_ms, to, unheard) {
            return None;
        }
        let inside = |at: &&u64| (from + 1..=to).contains(*at);
        let count = arrivals.get(&link)?.iter().filter(inside).count();
        let (replica, asked, router) = (&note.replica, note.back_off_ms, link.0);
        (count > BACK_OFF_MOST).then(|| {
            format!(
                "{replica} asked router {router} for {asked} ms without requests and got {count}"
            )
        })
    };
    asks.filter_map(broken).collect()
}

/// Gets the id of the request that began a call's stream.
fn stream_of(call: &Call) -> &str {
    call.resumes.as_ref().map_or(&call.id, |(began, _)| began)
}

fn one_version(record: &Record) -> Vec<String> {
    let mut streams: HashMap<&str, BTreeSet<&str>> = HashMap::new();
    for call in record.calls.iter().filter(|c| c.kind.streams()) {
        let stream = streams.entry(stream_of(call)).or_default();
        stream.extend(versions(&call.body));
    }
    let mixed = streams
        .into_iter()
        .filter(|(_, versions)| versions.len() > 1);
    mixed
        .map(|(id, versions)| format!("the stream of {id} has events of {versions:?}"))
        .collect()
}

/// Counts the streams that callers took up by what went on meanwhile.
pub fn take_ups(record: &Record) -> BTreeMap<Phase, TakeUps> {
    let calls: Calls<'_> = record.calls.iter().map(|c| (c.id.as_str(), c)).collect();
    let mut streams: HashMap<&str, Vec<&Call>> = HashMap::new();
    for call in record.calls.iter().filter(|c| c.kind.streams()) {
        streams.entry(stream_of(call)).or_default().push(call);
    }
    let mut counts: BTreeMap<Phase, TakeUps> = Phase::iter()
        .map(|phase| (phase, TakeUps::default()))
        .collect();
    for call in record.calls.iter().filter(|c| c.resumes.is_some()) {
        let began = calls.get(stream_of(call)).map_or(call.sent, |c| c.sent);
        let count = counts.entry(phase(record, call, began)).or_default();
        count.sent += 1;
        count.going += usize::from(call.status == 200);
        count.refused += usize::from(promises(call.status));
        // Tries of one caller follow each other.
        let before = streams.get(stream_of(call)).into_iter().flatten();
        let before = before.filter(|c| c.sent < call.sent);
        let before: BTreeSet<&str> = before.flat_map(|c| versions(&c.body)).collect();
        let joined = versions(&call.body).any(|v| !before.is_empty() && !before.contains(v));
        count.joined += usize::from(joined);
    }
    counts
}

/// Gets what goes on as a stream is taken up that began at `began`.
fn phase(record: &Record, call: &Call, began: u64) -> Phase {
    let felt = call.sent.saturating_sub(FELT);
    let since = felt.min(began)..=call.ended;
    let killed = |all: bool| {
        let mut kills = record.kills.iter().filter(|k| k.all == all);
        kills.any(|kill| since.contains(&kill.at))
    };
    let own = [Target::Paused(call.router), Target::Peers(call.router)];
    let unheard = |t: Target| own.contains(&t) || t.blinds(Some(call.router));
    let mut releases = record.releases.iter();
    if killed(true) {
        Phase::AllKilled
    } else if killed(false) {
        Phase::SomeKilled
    } else if record.faulty(felt, call.ended, unheard) {
        Phase::OutOfStep
    } else if releases.any(|r| r.from <= call.ended && r.to.is_none_or(|to| to >= *since.start())) {
        Phase::Release
    } else {
        Phase::Calm
    }
}

fn taken_up(record: &Record) -> Vec<String> {
    // A router that a fault has come to is out of touch for a while.
    let in_touch = |call: &&Call| {
        let own = [
            Target::Router(call.router),
            Target::Paused(call.router),
            Target::Peers(call.router),
        ];
        let from = call.sent.saturating_sub(FELT);
        let started = |s: &Start| s.router == call.router && (from..call.ended).contains(&s.at);
        !record.starts.iter().any(started)
            && !record.faulty(from, call.ended, |t| {
                own.contains(&t) || t.blinds(Some(call.router)) || t == Target::Links
            })
    };
    let began: HashMap<&str, &str> = record
        .calls
        .iter()
        .filter_map(|c| Some((c.id.as_str(), versions(&c.body).next()?)))
        .collect();
    // An endpoint that leaves, has just joined or is disturbed may not serve.
    let serves = |version: &str, call: &Call| {
        let from = call.sent.saturating_sub(FELT);
        let sound = |m: &&Member| {
            let leaves = |l: &Leaving| l.replica == m.replica && l.at < call.ended;
            let place = number(&m.replica);
            let disturbed = |t: Target| match t {
                Target::Replica(n) | Target::HeldUp(n) => Some(n) == place,
                _ => false,
            };
            let evacuated = |e: &Evacuation| {
                place.map(data_center) == Some(&e.data_center)
                    && e.from <= call.ended
                    && e.to.is_none_or(|to| to >= from)
            };
            m.build == version
                && m.from < from
                && m.to.is_none_or(|to| to > call.ended)
                && !record.leaving.iter().any(leaves)
                && !record.evacuations.iter().any(evacuated)
                && !record.faulty(from, call.ended, disturbed)
        };
        record.members.iter().filter(sound).count() >= 2
    };
    let goes_on = |call: &&Call| call.status == 200;
    let chats = || {
        record
            .calls
            .iter()
            .filter(|c| c.kind == Kind::Chat && !fatal(c))
    };
    let new: Vec<&Call> = chats()
        .filter(|c| c.resumes.is_none())
        .filter(in_touch)
        .collect();
    let known = |call: &&Call| {
        let version = began.get(stream_of(call));
        call.resumes.is_some() && version.is_some_and(|v| serves(v, call))
    };
    let taken: Vec<&Call> = chats().filter(known).filter(in_touch).collect();
    let going = taken.iter().copied().filter(goes_on).count();
    let begun = new.iter().copied().filter(goes_on).count();
    let few = taken.len() >= MIN_TAKE_UPS && 2 * going * new.len() < begun * taken.len();
    few.then(|| {
        format!(
            "{going} of {} streams that were taken up go on, and {begun} of {} new ones begin",
            taken.len(),
            new.len()
        )
    })
    .into_iter()
    .collect()
}

fn multiple(record: &Record, calls: &Calls<'_>) -> Vec<String> {
    let number = |replica: &str| record.members.iter().position(|m| m.replica == replica);
    // A router that a fault has come to is out of touch for a while.
    let in_touch = |note: &RequestEvent| {
        calls.get(note.id.as_str()).is_some_and(|call| {
            let own = [
                Target::Router(call.router),
                Target::Paused(call.router),
                Target::Peers(call.router),
            ];
            let from = note.at_ms.saturating_sub(FELT);
            !record.faulty(from, note.at_ms, |t| {
                own.contains(&t) || t.blinds(Some(call.router))
            })
        })
    };
    let notes = record.notes.iter().filter_map(|note| {
        Some(Note {
            at: note.at_ms,
            endpoint: number(&note.replica)?,
            change: change(note.what),
            counts: in_touch(note),
        })
    });
    let notes: Vec<Note> = notes.collect();
    let up = record.members.iter().enumerate();
    let up = up.map(|(n, m)| (n, m.from..m.to.unwrap_or(u64::MAX)));
    let disturbs = |t: Target| matches!(t, Target::Replica(_) | Target::HeldUp(_) | Target::Links);
    let faults = record.spans.iter().filter(|span| disturbs(span.target));
    let faults = faults.map(|span| span.from..span.to);
    // An endpoint that turns all away is disturbed as well.
    let asks = record.notes.iter().filter(|note| note.back_off_ms > 0);
    let asks = asks.map(|note| note.at_ms..note.at_ms + note.back_off_ms);
    let disturbed: Vec<Range<u64>> = faults.chain(asks).collect();
    let windows = calm_windows(&arrivals(&notes, &up.collect()), &disturbed);
    let broken: Vec<Window> = windows.into_iter().filter(Window::is_broken).collect();
    let told = worst(&broken).map(|window| {
        let (over, all) = (window.over, window.arrivals);
        let count = broken.len();
        format!("{over} of {all} requests in five seconds, and {count} such windows")
    });
    told.into_iter().collect()
}
