//! `toucanturn status`: what a router says of itself.

use reqwest::Method;
use serde::Deserialize;
use snafu::ResultExt;
use toucanturn_core::ids::Id;

use crate::{
    Verdict,
    args,
    client::{
        self,
        Peer, //
    },
    errors::{
        AnswerSnafu,
        Error,
        Result, //
    },
    output,
    view::Endpoint, //
};

/// `Status` is a router's answer to `GET /status`.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Status {
    /// The router's name.
    pub(crate) id: Id,
    /// The number of its life.
    pub(crate) incarnation: u64,
    /// Whether the balancer may send callers there.
    pub(crate) ready: bool,
    /// Configuration revision in force.
    pub(crate) revision: u64,
    /// Revision of its fleet list.
    pub(crate) epoch: u64,
    /// Time since it last heard anything from outside.
    pub(crate) view_age_ms: u64,
    /// Calls in progress.
    pub(crate) open: u64,
    /// Whether it would run a new key as its home; routers of older versions don't say.
    #[serde(default)]
    pub(crate) takes_keys: Option<bool>,
    /// Endpoints as it sees them.
    pub(crate) endpoints: Vec<Endpoint>,
}

impl Status {
    /// Reads a router's status from its answer.
    pub(crate) async fn get(peer: &Peer) -> Result<(Self, serde_json::Value)> {
        let address = peer.address;
        let body = peer.call(Method::GET, "/status").await?;
        let status = serde_json::from_slice(&body).context(AnswerSnafu { address })?;
        let raw = serde_json::from_slice(&body).context(AnswerSnafu { address })?;
        Ok((status, raw))
    }

    fn text(&self) -> String {
        let word = |yes| if yes { "yes" } else { "no" };
        let takes_keys = self.takes_keys.map_or("not said", word);
        let about = [
            ("router", self.id.to_string()),
            ("incarnation", self.incarnation.to_string()),
            ("ready", word(self.ready).to_owned()),
            ("revision", self.revision.to_string()),
            ("fleet epoch", self.epoch.to_string()),
            ("view age", format!("{} ms", self.view_age_ms)),
            ("open calls", self.open.to_string()),
            ("takes keys", takes_keys.to_owned()),
        ];
        let mut out = String::new();
        for (name, value) in about {
            out.push_str(&format!("{name:<12} {value}\n"));
        }
        let row = |e: &Endpoint| [e.id.to_string(), e.state.to_string(), e.load.to_string()];
        let rows: Vec<_> = self.endpoints.iter().map(row).collect();
        out.push('\n');
        out.push_str(&output::table(["endpoint", "state", "load"], &rows));
        out
    }
}

/// Shows a router's status.
pub(crate) fn run(args: &args::Status) -> Result<Verdict> {
    let address = args
        .address
        .ok_or_else(|| Error::usage("status: expected IP:PORT"))?;
    let peer = Peer::new(address)?;
    let (status, raw) = client::block_on(Status::get(&peer))?;
    if args.json {
        output::print_json(&raw)?;
    } else {
        output::print(&status.text())?;
    }
    Ok(Verdict::Yes)
}
