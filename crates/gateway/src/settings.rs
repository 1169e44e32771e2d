//! What this process is told at its start, as JSON.

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
        warmup, //
    },
    units::{
        Millis,
        Permille, //
    },
};

/// Part of a bound on the age of keys and routes that is left for what passes between the check and the
/// endpoint's start, and for clocks that drift: a twentieth.
const PROOF_MARGIN_DIVISOR: u64 = 20;
/// The same of the bound on endpoints that leave, which counts until a request reaches one: a tenth, as a VM whose
/// quota is used up stands still for a while between the check and the sending.
const STAYING_MARGIN_DIVISOR: u64 = 10;
/// Reads of the registry within the shortest bound on changes: one may be lost, one be slow.
const READS_PER_BOUND: u64 = 3;
/// Reads whose time must have passed without a proof before the registry counts as away, and how much longer:
/// one may be lost, and one be on its way by a peer.
const REGISTRY_AWAY_READS: u64 = 3;
const REGISTRY_AWAY_EXTRA: Millis = Millis(500);
/// Routers among which the fleet's extra retries are divided while their number is not known.
const ASSUMED_FLEET_SIZE: u32 = 16;
/// Seconds for which a request that has crashed endpoints is held back at first, unless the settings say otherwise.
const DEFAULT_HOLD_S: f64 = 5.0;
/// Part of the published share of retries that is used: windows of routers are not aligned.
const RETRY_SHARE_USED: f64 = 0.8;

/// `Settings` is the settings file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this router.
    pub id: String,
    /// Data centre where it runs.
    pub data_center: String,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Address of the registry.
    pub registry: SocketAddrV4,
    /// Peers to begin with; some may be down.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the whole fleet starts for the first time, so that no earlier life of this router may
    /// just have used its part of the fleet's extra retries.
    #[serde(default)]
    pub first_start: bool,
    /// Bounds to keep.
    pub bounds: PublishedBounds,
}

/// Gets the seconds for which requests are held back where the settings don't say.
fn hold_s() -> f64 {
    DEFAULT_HOLD_S
}

/// Gets the multiple of a cold endpoint's rate where the settings don't say.
fn warmup_over() -> f64 {
    1.0
}

/// `Listen` is the addresses to listen on.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddrV4,
    /// For the balancer's readiness checks, and metrics.
    pub ready: SocketAddrV4,
    /// For peers, by TCP and UDP.
    pub peers: SocketAddrV4,
}

/// `PublishedBounds` is the bounds that operators publish for the place where the router runs.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishedBounds {
    /// Milliseconds within which a change of the configuration is in force.
    pub config_ms: u64,
    /// Milliseconds after which a key that was taken away opens nothing.
    pub revoke_ms: u64,
    /// Milliseconds within which a leaving endpoint gets no more requests.
    pub leaving_ms: u64,
    /// Milliseconds after which an evacuated data centre's endpoints get no more requests; none where data centres are
    /// not evacuated.
    #[serde(default)]
    pub evacuation_ms: Option<u64>,
    /// Multiple of the rate that a cold endpoint is published to tolerate, up to which all routers send it requests.
    #[serde(default = "warmup_over")]
    pub warmup_over: f64,
    /// Requests within a second above that.
    #[serde(default)]
    pub warmup_slack: f64,
    /// Seconds from the signal to stop until the process is killed.
    pub stop_s: f64,
    /// Seconds after the registry's return within which lapsed entries come back.
    pub lapse_s: f64,
    /// Greatest multiple of the mean load.
    pub skew: f64,
    /// Retries as a share of requests.
    pub retry_share: f64,
    /// Retries of the whole fleet besides that share.
    pub retry_extra: f64,
    /// Seconds over which both are counted.
    pub retry_window_s: f64,
    /// Seconds for which a request is held back at first that has crashed endpoints; 0 holds nothing back.
    #[serde(default = "hold_s")]
    pub hold_s: f64,
}

/// `Error` says why settings are refused.
#[derive(Debug, Snafu)]
pub enum Error {
    /// They are not the JSON that is expected.
    #[snafu(display("expected settings as JSON: {source}"))]
    Json {
        /// Where and why.
        source: serde_json::Error,
    },
    /// A bound is out of range.
    #[snafu(display("expected `bounds.{name}` to be {expected}"))]
    Bound {
        /// Its name.
        name: &'static str,
        /// What it should be.
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

    /// Gets the time between reads of the registry.
    pub fn read_interval(&self) -> Millis {
        let evacuation = self.evacuation_ms.unwrap_or(u64::MAX);
        Millis(self.config_ms.min(self.leaving_ms).min(evacuation) / READS_PER_BOUND)
    }

    /// Gets the bounds that the decisions keep.
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
            staying: Millis(self.leaving_ms - self.leaving_ms / STAYING_MARGIN_DIVISOR),
            read_every: self.read_interval(),
            away: Millis(self.read_interval().0 * REGISTRY_AWAY_READS) + REGISTRY_AWAY_EXTRA,
            lapse: millis(self.lapse_s),
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
