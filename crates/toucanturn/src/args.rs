//! The command line as it is written.

use std::{
    net::SocketAddr,
    path::PathBuf, //
};

use gumdrop::Options;

/// `Args` is the whole command line.
#[derive(Debug, Options)]
#[options(help = "Operates a fleet of toucanturn routers.")]
pub(crate) struct Args {
    /// Show this help.
    help: bool,
    /// Show the version.
    #[options(short = "V")]
    pub(crate) version: bool,
    /// What to do.
    #[options(command)]
    pub(crate) command: Option<Command>,
}

/// `Command` is a subcommand.
#[derive(Debug, Options)]
#[expect(clippy::large_enum_variant, reason = "a process has one")]
pub(crate) enum Command {
    /// Check a settings file or a configuration file.
    Check(Check),
    /// Explain where a chat or a call of a service would go.
    Explain(Explain),
    /// Show the state of a router.
    Status(Status),
    /// Drain a router.
    Drain(Drain),
    /// Replay a trace and judge its stated outcome.
    Replay(Replay),
    /// Tell what became of a request, from the routers' logs.
    Trace(Trace),
}

/// `Check` checks a file.
#[derive(Debug, Options)]
#[options(help = "Checks a file and names all its faults.")]
pub(crate) struct Check {
    /// Show this help.
    help: bool,
    /// What to check.
    #[options(command)]
    pub(crate) kind: Option<CheckKind>,
}

/// `CheckKind` says what a file holds.
#[derive(Debug, Options)]
pub(crate) enum CheckKind {
    /// Check the settings of a router process.
    Settings(CheckFile),
    /// Check a configuration before it is published.
    Config(CheckFile),
}

/// `CheckFile` names the file to check.
#[derive(Debug, Options)]
#[options(help = "Checks a file and names all its faults.")]
pub(crate) struct CheckFile {
    /// Show this help.
    help: bool,
    /// Write JSON.
    #[options(no_short)]
    pub(crate) json: bool,
    /// The file.
    #[options(free)]
    pub(crate) file: Option<PathBuf>,
}

/// `Explain` says whose request is explained, and under what.
#[derive(Debug, Options)]
#[options(
    help = "Explains where a request would go: --model with --prefix or --chat, or --service-path; or asks a running gateway of the users' platform: --gateway with --route, --host and --path, or --id and --log."
)]
pub(crate) struct Explain {
    /// Show this help.
    help: bool,
    /// Write JSON.
    #[options(no_short)]
    pub(crate) json: bool,
    /// The configuration file.
    #[options(no_short, meta = "FILE")]
    pub(crate) config: Option<PathBuf>,
    /// States and loads of endpoints, from `status --json`; without it all are live and idle.
    #[options(no_short, meta = "FILE")]
    pub(crate) view: Option<PathBuf>,
    /// The router that decides; without it the one of the view.
    #[options(no_short, meta = "NAME")]
    pub(crate) router: Option<String>,
    /// The workspace that sends it.
    #[options(no_short, meta = "NAME")]
    pub(crate) workspace: Option<String>,
    /// A chat: the model it asks for.
    #[options(no_short, meta = "NAME")]
    pub(crate) model: Option<String>,
    /// A chat: its prefix hash in hexadecimal, as in the header x-prefix.
    #[options(no_short, meta = "HEX")]
    pub(crate) prefix: Option<String>,
    /// A chat: the user's first message, or the whole request in JSON.
    #[options(no_short, meta = "TEXT")]
    pub(crate) chat: Option<String>,
    /// A chat that returns: the engine that answered last.
    #[options(no_short, meta = "ENDPOINT")]
    pub(crate) token_last: Option<String>,
    /// A chat that returns: the engine that answered before the last.
    #[options(no_short, meta = "ENDPOINT")]
    pub(crate) token_before: Option<String>,
    /// A call of a service: its path.
    #[options(no_short, meta = "PATH")]
    pub(crate) service_path: Option<String>,
    /// A call of a service: its method.
    #[options(no_short, meta = "METHOD", default = "POST")]
    pub(crate) method: String,
    /// A call of a service: its idempotency key, a UUIDv7.
    #[options(no_short, meta = "UUID")]
    pub(crate) key: Option<String>,
    /// Seed of the random draws.
    #[options(no_short, meta = "N", default = "0")]
    pub(crate) seed: u64,
    /// A running gateway: IP:PORT of its readiness check and metrics.
    #[options(no_short, meta = "ADDRESS")]
    pub(crate) gateway: Option<SocketAddr>,
    /// At a gateway: the route.
    #[options(no_short, meta = "NAME")]
    pub(crate) route: Option<String>,
    /// At a gateway: the host that finds the route, with --path.
    #[options(no_short, meta = "HOST")]
    pub(crate) host: Option<String>,
    /// At a gateway: the path that finds the route, with --host.
    #[options(no_short, meta = "PATH")]
    pub(crate) path: Option<String>,
    /// At a gateway: one of the route's services, if it has several.
    #[options(no_short, meta = "NAME")]
    pub(crate) service: Option<String>,
    /// At a gateway: the parts of the prompt, HEX:TOKENS separated by commas.
    #[options(no_short, meta = "LIST")]
    pub(crate) parts: Option<String>,
    /// At a gateway: hashes of the prompt's shared parts as logs have them, separated by commas, instead of --parts.
    #[options(no_short, meta = "LIST")]
    pub(crate) hashes: Option<String>,
    /// At a gateway: the fingerprint of the request's content, as logs have it.
    #[options(no_short, meta = "HEX")]
    pub(crate) content: Option<String>,
    /// At a gateway: the tokens of the prompt, and after a comma the most of the output.
    #[options(no_short, meta = "N")]
    pub(crate) tokens: Option<String>,
    /// At a gateway: how long the caller waits, in milliseconds.
    #[options(no_short, meta = "MS")]
    pub(crate) deadline: Option<String>,
    /// At a gateway: a recorded request, with --log.
    #[options(no_short, meta = "ID")]
    pub(crate) id: Option<String>,
    /// At a gateway: a log file with the recorded request; may be given several times.
    #[options(no_short, meta = "FILE")]
    pub(crate) log: Vec<PathBuf>,
}

/// `Status` names the router to show.
#[derive(Debug, Options)]
#[options(help = "Shows what a router says of itself.")]
pub(crate) struct Status {
    /// Show this help.
    help: bool,
    /// Write JSON, as the router gave it.
    #[options(no_short)]
    pub(crate) json: bool,
    /// IP:PORT where operators reach the router.
    #[options(free)]
    pub(crate) address: Option<SocketAddr>,
}

/// `Drain` names the router to drain.
#[derive(Debug, Options)]
#[options(help = "Asks a router to end what it has and go.")]
pub(crate) struct Drain {
    /// Show this help.
    help: bool,
    /// Write JSON.
    #[options(no_short)]
    pub(crate) json: bool,
    /// Wait until the process is gone or its drain is over.
    #[options(no_short)]
    pub(crate) wait: bool,
    /// Longest wait in seconds.
    #[options(no_short, meta = "SECONDS", default = "900")]
    pub(crate) limit: u64,
    /// IP:PORT where operators reach the router.
    #[options(free)]
    pub(crate) address: Option<SocketAddr>,
}

/// `Replay` names the trace to replay.
#[derive(Debug, Options)]
#[options(help = "Replays a trace and judges its stated outcome.")]
pub(crate) struct Replay {
    /// Show this help.
    help: bool,
    /// Write JSON.
    #[options(no_short)]
    pub(crate) json: bool,
    /// The trace, JSON lines.
    #[options(free)]
    pub(crate) trace: Option<PathBuf>,
}

/// `Trace` names the request and the logs.
#[derive(Debug, Options)]
#[options(help = "Tells what became of a request, from the routers' logs.")]
pub(crate) struct Trace {
    /// Show this help.
    help: bool,
    /// Write JSON.
    #[options(no_short)]
    pub(crate) json: bool,
    /// Identity of the caller's attempt.
    #[options(no_short, meta = "ID")]
    pub(crate) id: Option<String>,
    /// Log files of routers, JSON lines.
    #[options(free)]
    pub(crate) logs: Vec<PathBuf>,
}

/// Writes the help of the innermost command that was named.
pub(crate) fn help(args: &Args) -> String {
    let mut path = vec!["toucanturn"];
    let mut innermost: &dyn Options = args;
    while let Some(next) = innermost.command() {
        path.extend(next.command_name());
        innermost = next;
    }
    let list = innermost.self_command_list();
    let rest = match (&list, path.last()) {
        (Some(_), _) => " COMMAND",
        (None, Some(&"status" | &"drain")) => " ADDRESS",
        (None, Some(&"settings" | &"config")) => " FILE",
        (None, Some(&"replay")) => " TRACE",
        (None, Some(&"trace")) => " LOG...",
        (None, _) => "",
    };
    let usage = format!("Usage: {} [OPTIONS]{rest}", path.join(" "));
    let options = innermost.self_usage();
    match list {
        Some(list) => format!("{usage}\n\n{options}\n\nCommands:\n{list}\n"),
        None => format!("{usage}\n\n{options}\n"),
    }
}
