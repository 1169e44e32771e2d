//! Counters and gauges to a StatsD address. Sending never blocks or fails a request: metrics go
//! through a bounded queue to a thread, and what does not fit is dropped.

use std::net::{
    SocketAddr,
    UdpSocket, //
};

use cadence::{
    BufferedUdpMetricSink,
    Counted,
    Gauged,
    NopMetricSink,
    QueuingMetricSink,
    StatsdClient,
    Timed, //
};
use snafu::ResultExt;

use crate::errors::{
    MetricsSnafu,
    Result, //
};

/// Prefix of every metric.
pub const PREFIX: &str = "toucanturn";

/// Metrics that wait to be sent; more are dropped.
const QUEUE: usize = 4096;

/// `Name` is a metric's name; docs/METRICS.md lists them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Name {
    /// Requests accepted from callers.
    Requests,
    /// Final answers with outcome done.
    Done,
    /// Final answers with outcome `not_run`.
    NotRun,
    /// Final answers with outcome unknown.
    Unknown,
    /// Attempts after the first.
    Retries,
    /// Requests refused.
    Refusals,
    /// Prompt tokens found in an engine's cache.
    CachedTokens,
    /// Returning chats whose engine found a part of the prompt in its cache.
    CacheHits,
    /// Returning chats.
    CacheReturns,
    /// Highest load of an engine over the mean, in thousandths, as estimated here.
    Skew,
    /// Bytes of control messages sent to peers.
    ControlBytesOut,
    /// Bytes of control messages received from peers.
    ControlBytesIn,
    /// Age of the view in milliseconds.
    ViewAgeMs,
    /// Configuration revision in force.
    ConfigRevision,
    /// Calls in progress.
    Open,
    /// Time from a request to the first byte of its answer, in milliseconds.
    FirstByteMs,
}

/// `Kind` is a kind of metric, by its name in StatsD's own documentation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// Summed up by the receiver.
    Counter,
    /// The last value counts.
    Gauge,
    /// A length of time, of which the receiver makes percentiles.
    Timer,
}

impl Name {
    /// Gets the kind that the name is sent as.
    pub const fn kind(self) -> Kind {
        match self {
            Self::Requests
            | Self::Done
            | Self::NotRun
            | Self::Unknown
            | Self::Retries
            | Self::Refusals
            | Self::CachedTokens
            | Self::CacheHits
            | Self::CacheReturns
            | Self::ControlBytesOut
            | Self::ControlBytesIn => Kind::Counter,
            Self::Skew | Self::ViewAgeMs | Self::ConfigRevision | Self::Open => Kind::Gauge,
            Self::FirstByteMs => Kind::Timer,
        }
    }
}

/// `Metrics` sends this process's metrics.
#[derive(Debug)]
pub struct Metrics(StatsdClient);

impl Metrics {
    /// Opens the way to a StatsD address; without one, metrics go nowhere.
    ///
    /// # Errors
    ///
    /// Fails when no local UDP socket can be had.
    pub fn new(address: Option<SocketAddr>) -> Result<Self> {
        let Some(address) = address else {
            return Ok(Self(StatsdClient::from_sink(PREFIX, NopMetricSink)));
        };
        let local: SocketAddr = if address.is_ipv4() {
            SocketAddr::from(([0, 0, 0, 0], 0))
        } else {
            SocketAddr::from(([0; 16], 0))
        };
        let socket = UdpSocket::bind(local).context(MetricsSnafu { address })?;
        socket
            .set_nonblocking(true)
            .context(MetricsSnafu { address })?;
        let sink = BufferedUdpMetricSink::from(address, socket)
            .map_err(std::io::Error::other)
            .context(MetricsSnafu { address })?;
        Ok(Self(StatsdClient::from_sink(
            PREFIX,
            QueuingMetricSink::with_capacity(sink, QUEUE),
        )))
    }

    /// Adds to a counter. A metric that cannot be sent is lost on purpose.
    pub fn count(&self, name: Name, by: u64) {
        debug_assert_eq!(name.kind(), Kind::Counter, "{name:?}");
        let _ = self.0.count(name.into(), by);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: Name, value: u64) {
        debug_assert_eq!(name.kind(), Kind::Gauge, "{name:?}");
        let _ = self.0.gauge(name.into(), value);
    }

    /// Notes a time in milliseconds.
    pub fn time(&self, name: Name, millis: u64) {
        debug_assert_eq!(name.kind(), Kind::Timer, "{name:?}");
        let _ = self.0.time(name.into(), millis);
    }
    /// Sends what waits for its datagram to fill. Where metrics are few, they would wait for long.
    pub fn flush(&self) {
        let _ = self.0.flush();
    }
}
