//! What a running gateway of the users' platform says of a request.

use std::fmt::Write as _;

use reqwest::Method;
use serde::Deserialize;
use serde_json::Value;
use snafu::{
    ResultExt,
    ensure, //
};

use crate::{
    Verdict,
    args::Explain,
    client::{
        self,
        Peer, //
    },
    errors::{
        AnswerSnafu,
        Error,
        Result,
        UnexplainedSnafu,
        ValueSnafu, //
    },
    explain::recorded::{
        Recorded,
        recorded, //
    },
    output,
};

/// `Choice` is the part of the answer on the chosen endpoint.
#[derive(Debug, Deserialize)]
struct Choice {
    endpoint: String,
    decision: String,
    among: u64,
    rank: u64,
    load: u64,
    load_age_ms: Option<u64>,
    limit: f64,
    mean: f64,
    cold: bool,
    at_risk: bool,
    trial: bool,
    holder: Option<String>,
    runner_up: Option<String>,
}

/// `Wait` is the part of the answer on what the request would wait for.
#[derive(Debug, Deserialize)]
struct Wait {
    endpoint: String,
    last_ms: Option<u64>,
    last_age_ms: Option<u64>,
    silence_ms: Option<u64>,
    at_most_ms: u64,
}

/// `Denial` is the part of the answer on a refusal.
#[derive(Debug, Deserialize)]
struct Denial {
    cause: String,
    retry_after_ms: Option<u64>,
}

/// `Held` is the part of the answer on one thing that the quarantine holds the request back for.
#[derive(Debug, Deserialize)]
struct Held {
    by: String,
    part: Option<String>,
    place: Option<u64>,
    left_ms: u64,
    crashes: Vec<Ended>,
}

/// `Ended` is an endpoint that ended while such a request was in progress there.
#[derive(Debug, Deserialize)]
struct Ended {
    endpoint: String,
    age_ms: u64,
    observed_here: bool,
}

/// `Other` is the part of the answer on another endpoint.
#[derive(Debug, Deserialize)]
struct Other {
    endpoint: String,
    reason: Option<String>,
    left_ms: Option<u64>,
    load: u64,
    load_age_ms: Option<u64>,
    limit: Option<f64>,
    latency_ms: Option<f64>,
}

/// `Group` is the part of the answer on further endpoints.
#[derive(Debug, Deserialize)]
struct Group {
    reason: Option<String>,
    endpoints: Vec<String>,
}

/// `Explanation` is a gateway's answer to `GET /explain`.
#[derive(Debug, Deserialize)]
struct Explanation {
    route: String,
    service: String,
    services: u64,
    workspace: Option<String>,
    priority: u64,
    version: u64,
    registry_age_ms: Option<u64>,
    routers: u64,
    unreached_ms: Option<u64>,
    #[serde(default = "all")]
    admitted: f64,
    choice: Option<Choice>,
    wait: Option<Wait>,
    refusal: Option<Denial>,
    #[serde(default)]
    held: Vec<Held>,
    others: Vec<Other>,
    more: Vec<Group>,
}

/// Part that a gateway admits if it does not say.
fn all() -> f64 {
    1.0
}

/// Asks the gateway that the command line names.
pub(super) fn run(args: &Explain) -> Result<Verdict> {
    let address = args.gateway;
    let address = address.ok_or_else(|| Error::usage("explain: expected --gateway ADDRESS"))?;
    let path = question(args)?;
    let peer = Peer::new(address)?;
    let (status, body) = client::block_on(peer.fetch(Method::GET, &path))?;
    if status != 200 {
        let said = serde_json::from_slice::<Value>(&body).ok();
        let said = said.and_then(|v| v.get("error")?.as_str().map(str::to_owned));
        let unknown = || format!("status {status}; is this the address of a gateway's metrics?");
        let message = said.unwrap_or_else(unknown);
        return UnexplainedSnafu { address, message }.fail();
    }
    let raw: Value = serde_json::from_slice(&body).context(AnswerSnafu { address })?;
    let explanation: Explanation =
        serde_json::from_slice(&body).context(AnswerSnafu { address })?;
    if args.json {
        output::print_json(&raw)?;
    } else {
        output::print(&text(&explanation))?;
        if args.id.is_some() && !path.contains("&parts=") && !path.contains("&hashes=") {
            output::print("\nThe log names no parts; a prompt goes by its parts. See --parts.\n")?;
        }
    }
    Ok(match explanation.choice {
        Some(_) => Verdict::Yes,
        None => Verdict::No,
    })
}

/// Tells whether an option is given that goes with a gateway alone.
pub(super) fn has_options(args: &Explain) -> bool {
    let texts = [
        &args.route,
        &args.host,
        &args.path,
        &args.service,
        &args.parts,
        &args.hashes,
        &args.content,
        &args.tokens,
        &args.deadline,
        &args.id,
    ];
    texts.iter().any(|text| text.is_some()) || !args.log.is_empty()
}

/// Makes the path of the question.
fn question(args: &Explain) -> Result<String> {
    let other = [
        &args.router,
        &args.model,
        &args.prefix,
        &args.chat,
        &args.token_last,
        &args.token_before,
        &args.service_path,
        &args.key,
    ];
    let files = [&args.config, &args.view];
    if other.iter().any(|o| o.is_some()) || files.iter().any(|f| f.is_some()) {
        let message =
            "explain: --gateway takes none of the options for a configuration file, and no key";
        return Err(Error::usage(message));
    }
    let recorded = match (&args.id, args.log.is_empty()) {
        (Some(id), false) => recorded(args, id)?,
        (None, true) => Recorded::default(),
        _ => return Err(Error::usage("explain: --id and --log go together")),
    };
    let by_address = args.host.is_some() || args.path.is_some();
    let route = args
        .route
        .clone()
        .or(recorded.route.filter(|_| !by_address));
    let is_address = args.host.is_some() && args.path.is_some();
    if route.is_some() == is_address || (route.is_some() && by_address) {
        let message = "explain: expected either --route NAME, or --host HOST and --path PATH, or --id ID and --log FILE";
        return Err(Error::usage(message));
    }
    if args.parts.is_some() && args.hashes.is_some() {
        let message = "explain: expected either --parts or --hashes";
        return Err(Error::usage(message));
    }
    let tokens = args.tokens.clone().or(recorded.prompt);
    let recorded_hashes = recorded.hashes.filter(|_| args.parts.is_none());
    let hashes = args.hashes.clone().or(recorded_hashes);
    let content = args.content.clone().or(recorded.content);
    let fields = [
        ("route", route),
        ("host", args.host.clone()),
        ("path", args.path.clone()),
        ("service", args.service.clone()),
        ("workspace", args.workspace.clone().or(recorded.workspace)),
        (
            "parts",
            checked(
                "--parts",
                "HEX:TOKENS, separated by commas",
                &args.parts,
                is_parts,
            )?,
        ),
        (
            "hashes",
            checked(
                "--hashes",
                "16 hexadecimal digits each, separated by commas",
                &hashes,
                is_hashes,
            )?,
        ),
        (
            "content",
            checked("--content", "24 hexadecimal digits", &content, is_content)?,
        ),
        (
            "tokens",
            checked(
                "--tokens",
                "a whole number, or two with a comma",
                &tokens,
                is_tokens,
            )?,
        ),
        (
            "deadline",
            checked("--deadline", "milliseconds", &args.deadline, is_number)?,
        ),
    ];
    let given = fields
        .iter()
        .filter_map(|(name, value)| Some((name, value.as_ref()?)));
    let given = given.map(|(name, value)| format!("{name}={}", encode(value)));
    Ok(format!("/explain?{}", given.collect::<Vec<_>>().join("&")))
}

fn checked(
    what: &'static str,
    expected: &'static str,
    value: &Option<String>,
    is_valid: fn(&str) -> bool,
) -> Result<Option<String>> {
    if let Some(found) = value {
        ensure!(
            is_valid(found),
            ValueSnafu {
                what,
                expected,
                found
            }
        );
    }
    Ok(value.clone())
}

fn is_number(text: &str) -> bool {
    text.bytes().all(|b| b.is_ascii_digit()) && text.parse::<u32>().is_ok()
}

fn is_tokens(text: &str) -> bool {
    let (input, output) = text.split_once(',').unwrap_or((text, "0"));
    is_number(input) && is_number(output)
}

fn is_parts(text: &str) -> bool {
    let is_part = |(id, tokens): (&str, &str)| {
        !id.is_empty() && id.bytes().all(|b| b.is_ascii_hexdigit()) && is_number(tokens)
    };
    text.split(',')
        .all(|part| part.split_once(':').is_some_and(is_part))
}

fn is_hashes(text: &str) -> bool {
    text.split(',').all(|hash| is_hexadecimal(hash, 16))
}

fn is_content(text: &str) -> bool {
    is_hexadecimal(text, 24)
}

fn is_hexadecimal(text: &str, digits: usize) -> bool {
    text.len() == digits && text.bytes().all(|b| b.is_ascii_hexdigit())
}

/// Encodes a value for a query (RFC 3986, section 2.1).
fn encode(value: &str) -> String {
    let mut encoded = String::with_capacity(value.len());
    for byte in value.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            let _ = write!(encoded, "%{byte:02X}");
        }
    }
    encoded
}

fn age(ms: Option<u64>) -> String {
    ms.map_or("unknown".to_owned(), |ms| format!("{ms} ms"))
}

fn text(explanation: &Explanation) -> String {
    let e = explanation;
    let mut about = vec![("route", e.route.clone()), ("service", service(e))];
    let workspace = e.workspace.clone().unwrap_or("none".to_owned());
    about.push(("workspace", format!("{workspace}, priority {}", e.priority)));
    if let Some(denial) = &e.refusal {
        let cause = denial.cause.replace('_', " ");
        let retry = match denial.retry_after_ms {
            Some(ms) => format!("retry after {ms} ms, spread at random"),
            None => "a retry can't succeed".to_owned(),
        };
        about.push(("refused", format!("not run: {cause}; {retry}")));
    }
    about.extend(e.held.iter().map(|held| ("held for", held_line(held))));
    if let Some(choice) = &e.choice {
        about.extend(choice_lines(choice));
    }
    if let Some(wait) = &e.wait {
        about.push(("waits for", wait_line(wait)));
    }
    let unreached = e
        .unreached_ms
        .map(|ms| format!(", service not reached for {ms} ms"));
    if e.admitted < 1.0 {
        let sent = format!(
            "short of room, {:.2} of such requests are sent now",
            e.admitted
        );
        about.push(("room", sent));
    }
    about.push((
        "inputs",
        format!(
            "configuration {}, registry read {} ago, {} routers{}",
            e.version,
            age(e.registry_age_ms),
            e.routers,
            unreached.unwrap_or_default()
        ),
    ));
    let mut out = String::new();
    for (name, value) in about {
        let _ = writeln!(out, "{name:<10} {value}");
    }
    if !e.others.is_empty() {
        out.push('\n');
        let rows: Vec<_> = e.others.iter().map(row).collect();
        let head = [
            "endpoint", "why not", "for", "load", "load age", "limit", "answers",
        ];
        out.push_str(&output::table(head, &rows));
    }
    for group in &e.more {
        let reason = group.reason.as_deref().unwrap_or("-").replace('_', " ");
        let _ = writeln!(out, "{reason}, too: {}", group.endpoints.join(" "));
    }
    out
}

fn service(explanation: &Explanation) -> String {
    let name = &explanation.service;
    match explanation.services {
        0 | 1 => name.clone(),
        count => format!("{name}, one of {count} at random by weight"),
    }
}

fn choice_lines(choice: &Choice) -> Vec<(&'static str, String)> {
    let why = match choice.decision.as_str() {
        "prompt_part" => format!("by its prompt's part, rank {}", choice.rank),
        "stated_load" => "by stated loads".to_owned(),
        "answer_time" => "by how fast answers were".to_owned(),
        other => other.replace('_', " "),
    };
    let chance = match choice.among {
        0 | 1 => String::new(),
        count => format!(", one of {count} at random"),
    };
    let marks = [
        (choice.cold, "cold"),
        (choice.at_risk, "may turn it away"),
        (choice.trial, "a trial of the quarantine"),
    ];
    let marks = marks.iter().filter(|(is, _)| *is);
    let marks: String = marks.map(|(_, mark)| format!(", {mark}")).collect();
    let load = format!(
        "{}, {} old, passed over from {:.1}; mean {:.1}",
        choice.load,
        age(choice.load_age_ms),
        choice.limit,
        choice.mean
    );
    let runner_up = choice.runner_up.clone().unwrap_or("none".to_owned());
    let mut lines = vec![
        (
            "choice",
            format!("{} {why}{chance}{marks}", choice.endpoint),
        ),
        ("load", load),
        ("runner-up", runner_up),
    ];
    let holder = choice.holder.clone();
    lines.extend(holder.map(|holder| ("parts from", holder)));
    lines
}

fn held_line(held: &Held) -> String {
    let what = match (held.by.as_str(), &held.part) {
        (_, Some(part)) => {
            let place = held.place.map(|place| format!(", number {place}"));
            format!("part {part}{}", place.unwrap_or_default())
        }
        ("content", None) => "its content".to_owned(),
        (other, None) => other.replace('_', " "),
    };
    let ended = held.crashes.iter().map(|crash| {
        let by = if crash.observed_here {
            "here"
        } else {
            "elsewhere"
        };
        format!("{} {} ms ago, seen {by}", crash.endpoint, crash.age_ms)
    });
    let ended: Vec<String> = ended.collect();
    format!(
        "{what}: endpoints ended: {}; a trial after {} ms at the earliest",
        ended.join("; "),
        held.left_ms
    )
}

fn wait_line(wait: &Wait) -> String {
    let last = match (wait.last_ms, wait.last_age_ms) {
        (Some(ms), Some(age)) => format!("; the last one began after {ms} ms, {age} ms ago"),
        _ => String::new(),
    };
    let silence = wait
        .silence_ms
        .map(|ms| format!(", the next endpoint after {ms} ms of silence"));
    format!(
        "the answer of {}, at most {} ms{}{last}",
        wait.endpoint,
        wait.at_most_ms,
        silence.unwrap_or_default()
    )
}

fn row(other: &Other) -> [String; 7] {
    let ms = |ms: Option<u64>| ms.map_or("-".to_owned(), |ms| format!("{ms} ms"));
    [
        other.endpoint.clone(),
        other.reason.as_deref().unwrap_or("-").replace('_', " "),
        ms(other.left_ms),
        other.load.to_string(),
        ms(other.load_age_ms),
        other
            .limit
            .map_or("-".to_owned(), |limit| format!("{limit:.1}")),
        other
            .latency_ms
            .map_or("-".to_owned(), |ms| format!("{ms:.0} ms")),
    ]
}
