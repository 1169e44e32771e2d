//! Child processes: started here, signalled and ended by their ids, never others.

use std::{
    path::{
        Path,
        PathBuf, //
    },
    process::{
        ExitStatus,
        Stdio, //
    },
    time::Duration,
};

use rustix::process::{
    Pid,
    Signal,
    kill_process, //
};
use serde::Deserialize;
use snafu::{
    OptionExt,
    ResultExt, //
};
use std::net::SocketAddr;
use tokio::{
    io::{
        AsyncBufReadExt,
        BufReader,
        Lines, //
    },
    process::{
        ChildStdout,
        Command, //
    },
    time::timeout,
};

use crate::{
    errors::{
        PortsSnafu,
        Result,
        StartSnafu, //
    },
    guard,
};

/// `Child` is a process of the soak; dropping it kills it.
#[derive(Debug)]
pub struct Child {
    inner: tokio::process::Child,
}

/// `Ports` is what a stand-in says of itself first.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Ports {
    /// Where it serves.
    pub listen: SocketAddr,
    /// Where it takes orders.
    pub control: SocketAddr,
}

/// Gets the path of a program that was built beside this one. Tests run from a folder below.
pub fn beside(program: &str) -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    let near = own.with_file_name(program);
    if near.exists() {
        return Ok(near);
    }
    let above = own.parent().and_then(Path::parent);
    Ok(above.map(|folder| folder.join(program)).unwrap_or(near))
}

impl Child {
    /// Starts a program.
    ///
    /// # Errors
    ///
    /// It can't be started.
    pub fn start(command: &mut Command) -> Result<Self> {
        let path = PathBuf::from(command.as_std().get_program());
        let group = guard::group()?;
        let command = command.stdin(Stdio::null()).kill_on_drop(true);
        let started = command.process_group(group).spawn();
        let inner = started.context(StartSnafu { path })?;
        Ok(Self { inner })
    }

    /// Gets its id, if it has not ended.
    pub fn id(&self) -> Option<u32> {
        self.inner.id()
    }

    /// Sends a signal, if the process has not ended.
    pub fn signal(&self, signal: Signal) {
        let id = self.inner.id().and_then(|id| i32::try_from(id).ok());
        if let Some(pid) = id.and_then(Pid::from_raw) {
            // It may end at this moment.
            let _ = kill_process(pid, signal);
        }
    }

    /// Gets how it ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.inner.try_wait().ok().flatten()
    }

    /// Waits for its end; `None` when it does not come in time.
    pub async fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let waited = timeout(limit, self.inner.wait()).await;
        waited.ok().and_then(|status| status.ok())
    }

    /// Takes a stand-in's output, and its ports from the first line.
    ///
    /// # Errors
    ///
    /// It did not say them.
    pub async fn ports(&mut self, name: &str) -> Result<(Ports, Lines<BufReader<ChildStdout>>)> {
        let output = self.inner.stdout.take();
        let mut lines = BufReader::new(output.context(PortsSnafu { name })?).lines();
        let line = lines.next_line().await?.unwrap_or_default();
        let ports = serde_json::from_str(&line).ok();
        Ok((ports.context(PortsSnafu { name })?, lines))
    }
}
