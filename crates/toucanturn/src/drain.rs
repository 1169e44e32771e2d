//! `toucanturn drain`: asks a router to end what it has and go.

use std::{
    io::ErrorKind,
    time::{
        Duration,
        Instant, //
    },
};

use reqwest::Method;
use serde::{
    Deserialize,
    Serialize, //
};
use snafu::ResultExt;

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
        LateSnafu,
        Result, //
    },
    output::{
        self,
        Progress, //
    },
    status::Status, //
};

/// Time between two looks at a draining router.
const LOOK: Duration = Duration::from_millis(250);

/// `Accepted` is a router's answer to `POST /drain`.
#[derive(Clone, Copy, Debug, Deserialize)]
struct Accepted {
    open: u64,
}

/// `Phase` is how far a drain has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
enum Phase {
    /// The router was asked and still has calls.
    Draining,
    /// No call is open and it takes no new one.
    Over,
    /// The process is gone.
    Gone,
}

/// `Report` is what the operator is told.
#[derive(Clone, Copy, Debug, Serialize)]
struct Report {
    phase: Phase,
    /// Calls open when the router last answered.
    open: u64,
}

/// Drains a router.
pub(crate) fn run(args: &args::Drain) -> Result<Verdict> {
    let address = args
        .address
        .ok_or_else(|| Error::usage("drain: expected IP:PORT"))?;
    let peer = Peer::new(address)?;
    let report = client::block_on(drain(&peer, args))?;
    if args.json {
        output::print_json(&report)?;
    } else {
        let Report { phase, open } = report;
        output::print(&format!(
            "{address} {phase}, {open} calls open when it last answered\n"
        ))?;
    }
    Ok(Verdict::Yes)
}

async fn drain(peer: &Peer, args: &args::Drain) -> Result<Report> {
    // The life that is to go: the platform may start the next one at the same address.
    let (before, _) = Status::get(peer).await?;
    let body = peer.call(Method::POST, "/drain").await?;
    let address = peer.address;
    let accepted: Accepted = serde_json::from_slice(&body).context(AnswerSnafu { address })?;
    let mut report = Report {
        phase: Phase::Draining,
        open: accepted.open,
    };
    if !args.wait {
        return Ok(report);
    }
    let start = Instant::now();
    let progress = Progress::new();
    while report.phase == Phase::Draining {
        let seconds = start.elapsed().as_secs();
        if seconds >= args.limit {
            return LateSnafu {
                address,
                seconds,
                open: report.open,
            }
            .fail();
        }
        progress.show(&format!(
            "{address}: {} calls open, {seconds} s",
            report.open
        ));
        tokio::time::sleep(LOOK).await;
        look(peer, before.incarnation, &mut report).await?;
    }
    Ok(report)
}

/// Looks at the router again.
///
/// An answer that does not come says nothing: the VM may be slow, or the network cut. Only a
/// refused connection or another life at the address shows that the process is gone. Were a time-out
/// taken for that, an operator could delete a VM that still has callers.
async fn look(peer: &Peer, incarnation: u64, report: &mut Report) -> Result<()> {
    match Status::get(peer).await {
        Ok((status, _)) if status.incarnation != incarnation => report.phase = Phase::Gone,
        Ok((status, _)) => {
            report.open = status.open;
            if status.open == 0 && !status.ready {
                report.phase = Phase::Over;
            }
        }
        Err(Error::Call { source, .. }) if is_refused(&source) => report.phase = Phase::Gone,
        Err(Error::Call { .. }) => {}
        Err(other) => return Err(other),
    }
    Ok(())
}

fn is_refused(error: &reqwest::Error) -> bool {
    let mut cause = std::error::Error::source(error);
    while let Some(next) = cause {
        let io = next.downcast_ref::<std::io::Error>();
        if io.is_some_and(|e| e.kind() == ErrorKind::ConnectionRefused) {
            return true;
        }
        cause = next.source();
    }
    false
}
