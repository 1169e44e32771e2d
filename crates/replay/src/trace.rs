//! Traces: JSON lines that say what happened and what is to come of it.
//!
//! The first line is the [`Setup`], the others are [`Line`]s in ascending time. Times are
//! milliseconds from the start of the trace.

use std::io::{
    BufRead,
    Write, //
};

use indexmap::IndexMap;
use serde::{
    Deserialize,
    Serialize, //
};
use snafu::{
    ResultExt,
    Snafu, //
};

/// `Error` says why a trace can't be read or written.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file can't be read or written.
    #[snafu(display("trace: {source}"))]
    Io {
        /// Cause.
        source: std::io::Error,
    },
    /// A line is not what a trace has.
    #[snafu(display("line {line}: {source}"))]
    Json {
        /// Number of the line, from 1.
        line: usize,
        /// Cause.
        source: serde_json::Error,
    },
    /// The file has no line.
    #[snafu(display("expected a setup in line 1, found an empty file"))]
    Empty,
    /// Time runs backwards.
    #[snafu(display("line {line}: expected a time not before {before}, found {found}"))]
    Order {
        /// Number of the line, from 1.
        line: usize,
        /// Time of the line before.
        before: u64,
        /// Time found.
        found: u64,
    },
}

/// `Setup` is the first line of a trace.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Setup {
    /// Name.
    pub name: String,
    /// Seed of the routers' random numbers.
    pub seed: u64,
    /// When the replay ends.
    pub until: u64,
    /// Routers, by their names in the published fleet; the lines give their index.
    pub routers: Vec<String>,
    /// Endpoints that run, by their published names.
    pub engines: IndexMap<String, EngineSetup>,
    /// Lag of endpoints' reports.
    pub report_lag: u64,
    /// One way between two processes.
    pub latency: u64,
    /// Keys and values that are published at the start.
    pub publish: IndexMap<String, serde_json::Value>,
    /// What is to come of it.
    pub expect: Expect,
}

/// `EngineSetup` is what an engine of the replay has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSetup {
    /// Tokens of prefixes that its cache holds; zero for plain services.
    pub cache_tokens: u64,
}

/// `Expect` is the stated outcome of a trace; what is left out is not judged.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expect {
    /// Least share of the oracle's reuse, imported prefixes included on both sides, in percent.
    pub reuse_of_oracle: Option<f64>,
    /// Least share of the oracle's reuse in engines' own caches, in percent.
    pub own_cache_of_oracle: Option<f64>,
    /// Least lead of the reuse over every baseline's, in percentage points.
    pub lead: Option<f64>,
    /// Most that an engine may carry over one second above the multiple of the mean rounded up, in
    /// requests.
    pub slack: Option<f64>,
    /// Worst multiple of the mean over one second, in seconds with a mean of 8 or more.
    pub worst_multiple: Option<f64>,
    /// Most requests that may be refused.
    pub refused: Option<u64>,
    /// Most control bytes that a router may send and receive in a second, on average.
    pub control_bytes_per_s: Option<u64>,
    /// Revision in force on every router at the end.
    pub revision: Option<u64>,
}

/// `Line` is one thing that happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Line {
    /// When.
    pub at: u64,
    /// What.
    #[serde(rename = "do")]
    pub what: Happening,
}

/// `Happening` is what a line says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Happening {
    /// A caller sends a request.
    Request(Request),
    /// An engine changes its state.
    Engine {
        /// Its name.
        id: String,
        /// The new state.
        state: EngineState,
    },
    /// Some routers get a list of VMs.
    Vms {
        /// Indices of the routers.
        routers: Vec<usize>,
        /// States by name: `live` or `leaving`.
        vms: IndexMap<String, String>,
    },
    /// Keys are published.
    Publish {
        /// New values; `null` deletes.
        entries: IndexMap<String, serde_json::Value>,
    },
    /// The configuration service changes its state.
    ConfigService {
        /// Whether it answers.
        up: bool,
    },
    /// A router stands still and wakes late.
    Pause {
        /// Index of the router.
        router: usize,
        /// For how long.
        ms: u64,
    },
    /// A router is replaced by a new process that knows nothing.
    Restart {
        /// Index of the router.
        router: usize,
    },
    /// Routers of different groups lose each other; one group ends the partition.
    Partition {
        /// Indices of the routers of each group.
        groups: Vec<Vec<usize>>,
    },
}

/// `EngineState` is the true state of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineState {
    /// Runs; a new life with an empty cache when it was down before.
    #[default]
    Live,
    /// Ends what it has and refuses new work.
    Leaving,
    /// Is gone; what it had breaks off.
    Down,
}

/// `Request` is one request of a caller.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Index of the router that the balancer picked.
    pub router: usize,
    /// Workspace.
    pub workspace: String,
    /// Model or plain service.
    #[serde(rename = "for")]
    pub target: String,
    /// Number of the chat, or of the call of a plain service.
    pub chat: u64,
    /// Tokens of the prompt; zero for plain services.
    #[serde(default)]
    pub tokens: u64,
    /// Time that the work takes when the prefix is cached.
    pub ms: u64,
    /// Whether the caller forgets its placement token.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub tokenless: bool,
}

/// `Trace` is a whole trace.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Trace {
    /// First line.
    pub setup: Setup,
    /// The others.
    pub lines: Vec<Line>,
}

impl Trace {
    /// Reads a trace.
    ///
    /// # Errors
    ///
    /// Fails on the first line that is not valid, with its number.
    pub fn read(input: impl BufRead) -> Result<Self, Error> {
        let mut setup = None;
        let mut lines: Vec<Line> = Vec::new();
        for (i, text) in input.lines().enumerate() {
            let text = text.context(IoSnafu)?;
            let line = i + 1;
            if setup.is_none() {
                setup = Some(serde_json::from_str(&text).context(JsonSnafu { line })?);
                continue;
            }
            let next: Line = serde_json::from_str(&text).context(JsonSnafu { line })?;
            let before = lines.last().map_or(0, |l| l.at);
            if next.at < before {
                let found = next.at;
                return OrderSnafu {
                    line,
                    before,
                    found,
                }
                .fail();
            }
            lines.push(next);
        }
        let setup = setup.ok_or(Error::Empty)?;
        Ok(Self { setup, lines })
    }

    /// Writes a trace.
    ///
    /// # Errors
    ///
    /// Fails when the output does.
    pub fn write(&self, mut output: impl Write) -> Result<(), Error> {
        let text = serde_json::to_string(&self.setup).context(JsonSnafu { line: 1usize })?;
        writeln!(output, "{text}").context(IoSnafu)?;
        for (i, one) in self.lines.iter().enumerate() {
            let text = serde_json::to_string(one).context(JsonSnafu { line: i + 2 })?;
            writeln!(output, "{text}").context(IoSnafu)?;
        }
        Ok(())
    }
}
