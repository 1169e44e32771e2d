//! Settings of the gateway, read from a JSON file.

use std::net::SocketAddrV4;

use serde::Deserialize;
use snafu::{
    ResultExt as _,
    Snafu,
    ensure, //
};
use toucanturn_core::{
    gateway::{
        budget::Policy,
        quarantine::Policy as Hold,
        settings::Bounds,
        variability::Speeds,
        warmup, //
    },
    units::{
        Millis,
        Permille, //
    },
};

/// A bound on the age of keys and routes is shortened by this fraction, a twentieth, for the time between the check
/// and the start at the endpoint, and for clock drift.
const PROOF_MARGIN_DIVISOR: u64 = 20;
/// The bound on leaving endpoints is shortened by this fraction, a tenth. It covers the time until a request reaches
/// an endpoint, and a VM that has used up its CPU quota is paused for a while between the check and the sending.
const STAYING_MARGIN_DIVISOR: u64 = 10;
/// Number of reads of the registry within the shortest bound on changes: one may be lost and one may be slow.
const READS_PER_BOUND: u64 = 3;
/// Read intervals without a proof of the known state's age after which the registry counts as unavailable, with
/// [`REGISTRY_AWAY_EXTRA`] on top: one read may be lost, and one may be on its way through a peer.
const REGISTRY_AWAY_READS: u64 = 3;
const REGISTRY_AWAY_EXTRA: Millis = Millis(500);
/// Number of routers among which the fleet's extra retries are divided while the real number is unknown.
const ASSUMED_FLEET_SIZE: u32 = 16;
/// Default of [`PublishedBounds::hold_s`], in seconds.
const DEFAULT_HOLD_S: f64 = 5.0;
/// Default of [`PublishedBounds::memory_mb`], in mebibytes.
const DEFAULT_MEMORY_MB: u64 = 256;
/// Fraction of the published retry share that is used, as the windows of the routers are not aligned.
const RETRY_SHARE_USED: f64 = 0.8;

/// `Settings` is the settings file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Id of this router.
    pub id: String,
    /// Data centre where it runs.
    pub data_center: String,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Address of the registry.
    pub registry: SocketAddrV4,
    /// Addresses of peers to contact first; some may be down.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the whole fleet starts for the first time. Otherwise, an earlier process of this router may just have
    /// used the router's part of the fleet's extra retries.
    #[serde(default)]
    pub first_start: bool,
    /// Whether the endpoints' speed varies.
    #[serde(default)]
    pub speeds: Speeds,
    /// Bounds that the router keeps.
    pub bounds: PublishedBounds,
}

/// Default of [`PublishedBounds::hold_s`].
fn hold_s() -> f64 {
    DEFAULT_HOLD_S
}

/// Default of [`PublishedBounds::warmup_over`].
fn warmup_over() -> f64 {
    1.0
}

/// Default of [`PublishedBounds::memory_mb`].
fn memory_mb() -> u64 {
    DEFAULT_MEMORY_MB
}

/// `Listen` is the addresses to listen on.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddrV4,
    /// For the load balancer's readiness checks, and for metrics.
    pub ready: SocketAddrV4,
    /// For peers, on TCP and UDP.
    pub peers: SocketAddrV4,
    /// Address at which peers reach `peers`, if it is another one: they are behind a proxy or a translation of addresses.
    #[serde(default)]
    pub advertised: Option<SocketAddrV4>,
}

/// `PublishedBounds` is the bounds that the operators of the platform publish and the router must keep.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishedBounds {
    /// Milliseconds within which a change of the configuration is in force.
    pub config_ms: u64,
    /// Milliseconds after which a revoked key is refused.
    pub revoke_ms: u64,
    /// Milliseconds within which a leaving endpoint gets no more requests.
    pub leaving_ms: u64,
    /// Milliseconds after which the endpoints of an evacuated data centre get no more requests; `None` where data
    /// centres are not evacuated.
    #[serde(default)]
    pub evacuation_ms: Option<u64>,
    /// Limit of the rate at which all routers together send requests to a cold endpoint, as a multiple of the published
    /// rate that it tolerates.
    #[serde(default = "warmup_over")]
    pub warmup_over: f64,
    /// Requests per second above that limit.
    #[serde(default)]
    pub warmup_slack: f64,
    /// Seconds from SIGTERM until the process is killed.
    pub stop_s: f64,
    /// Seconds after the end of a registry outage within which lapsed entries return.
    pub lapse_s: f64,
    /// Highest load of an endpoint, as a multiple of the mean load.
    pub skew: f64,
    /// Allowed retries, as a share of requests.
    pub retry_share: f64,
    /// Allowed retries of the whole fleet in addition to that share.
    pub retry_extra: f64,
    /// Length in seconds of the window over which both are counted.
    pub retry_window_s: f64,
    /// Seconds for which a request that has crashed endpoints is held back the first time; 0 disables holding back.
    #[serde(default = "hold_s")]
    pub hold_s: f64,
    /// Mebibytes of memory that the process may use; it is killed beyond them.
    #[serde(default = "memory_mb")]
    pub memory_mb: u64,
}

/// `Error` is why settings are refused.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The text is not valid JSON or lacks the expected structure.
    #[snafu(display("expected settings as JSON: {source}"))]
    Json {
        /// The cause, with line and column.
        source: serde_json::Error,
    },
    /// A bound is out of range.
    #[snafu(display("expected `bounds.{name}` to be {expected}"))]
    Bound {
        /// Name of the bound.
        name: &'static str,
        /// The allowed range.
        expected: &'static str,
    },
}

impl TryFrom<&[u8]> for Settings {
    type Error = Error;

    fn try_from(text: &[u8]) -> Result<Self, Error> {
        let settings: Self = serde_json::from_slice(text).context(JsonSnafu)?;
        settings.bounds.check()?;
        Ok(settings)
    }
}

impl PublishedBounds {
    fn check(&self) -> Result<(), Error> {
        let times = [
            ("config_ms", self.config_ms),
            ("revoke_ms", self.revoke_ms),
            ("leaving_ms", self.leaving_ms),
        ];
        let evacuation = self.evacuation_ms.map(|ms| ("evacuation_ms", ms));
        for (name, millis) in times.into_iter().chain(evacuation) {
            let expected = "100 to 600000 milliseconds";
            ensure!(
                (100..=600_000).contains(&millis),
                BoundSnafu { name, expected }
            );
        }
        let lengths = [
            ("stop_s", self.stop_s),
            ("lapse_s", self.lapse_s),
            ("retry_window_s", self.retry_window_s),
            ("hold_s", self.hold_s),
        ];
        for (name, seconds) in lengths {
            let expected = "0 to 600 seconds";
            ensure!(
                (0.0..=600.0).contains(&seconds),
                BoundSnafu { name, expected }
            );
        }
        let memory = 1..=1 << 20;
        let (name, expected) = ("memory_mb", "1 to 1048576 mebibytes");
        ensure!(
            memory.contains(&self.memory_mb),
            BoundSnafu { name, expected }
        );
        let factors = [
            ("skew", self.skew, 1.0..=1000.0, "1 to 1000"),
            ("retry_share", self.retry_share, 0.0..=10.0, "0 to 10"),
            ("retry_extra", self.retry_extra, 0.0..=1e6, "0 to 1000000"),
            ("warmup_over", self.warmup_over, 0.0..=1000.0, "0 to 1000"),
            ("warmup_slack", self.warmup_slack, 0.0..=1e6, "0 to 1000000"),
        ];
        for (name, factor, range, expected) in factors {
            ensure!(range.contains(&factor), BoundSnafu { name, expected });
        }
        Ok(())
    }

    /// Returns the time between reads of the registry.
    pub fn read_interval(&self) -> Millis {
        let evacuation = self.evacuation_ms.unwrap_or(u64::MAX);
        Millis(self.config_ms.min(self.leaving_ms).min(evacuation) / READS_PER_BOUND)
    }

    /// Converts the settings to the bounds of the gateway decisions.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a float cast saturates"
    )]
    pub fn bounds(&self) -> Bounds {
        let millis = |seconds: f64| Millis((seconds * 1000.0) as u64);
        let proven = |bound: u64| Millis(bound - bound / PROOF_MARGIN_DIVISOR);
        Bounds {
            keys: proven(self.revoke_ms),
            routes: proven(self.config_ms),
            evacuation: self.evacuation_ms.map(proven),
            max_confirmation_age: Millis(
                self.leaving_ms - self.leaving_ms / STAYING_MARGIN_DIVISOR,
            ),
            read_interval: self.read_interval(),
            outage_threshold: Millis(self.read_interval().0 * REGISTRY_AWAY_READS)
                + REGISTRY_AWAY_EXTRA,
            lapse_grace: millis(self.lapse_s),
            skew: Permille::from_ratio(self.skew),
            retry: Policy {
                window: millis(self.retry_window_s),
                share: Permille::from_ratio(self.retry_share * RETRY_SHARE_USED),
                fleet: self.retry_extra as u32,
                extra: self.retry_extra as u32 / ASSUMED_FLEET_SIZE,
            },
            warmup: warmup::Policy {
                over: Permille::from_ratio(self.warmup_over),
                slack: self.warmup_slack as u32,
            },
            hold: Hold {
                first: millis(self.hold_s),
            },
        }
    }
}
