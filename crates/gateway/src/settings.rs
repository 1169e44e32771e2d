//! Settings of the gateway, read from a JSON file.
//!
//! Each field counts by itself: a bound that was shortened is in force though another value can't be used. [`FIELDS`]
//! and [`BOUNDS`] say what stands in for a value that can't be used.

use std::net::SocketAddrV4;

use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::{
    Map,
    Value,
    json, //
};
use snafu::{
    ResultExt as _,
    Snafu, //
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

/// `StandIn` is what counts in place of a value that can't be used where none was in force before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StandIn {
    /// Nothing: a router that does not know it must not serve.
    Nothing,
    /// The default, as where the field is absent.
    Default,
    /// Another bound.
    Bound(&'static str),
}

/// Fields beside the bounds, with what stands in for them.
const FIELDS: [(&str, StandIn); 7] = [
    ("id", StandIn::Nothing),
    ("data_center", StandIn::Nothing),
    ("listen", StandIn::Nothing),
    ("registry", StandIn::Nothing),
    ("seeds", StandIn::Default),
    ("first_start", StandIn::Default),
    ("speeds", StandIn::Default),
];

/// `Range` is the range of a bound. A value outside it becomes the nearest one.
struct Range {
    name: &'static str,
    /// Whether the part after the decimal point is cut off.
    is_whole: bool,
    least: f64,
    most: f64,
    stand_in: StandIn,
}

const fn range(name: &'static str, least: f64, most: f64, stand_in: StandIn) -> Range {
    Range {
        name,
        is_whole: false,
        least,
        most,
        stand_in,
    }
}

const fn whole(name: &'static str, least: f64, most: f64, stand_in: StandIn) -> Range {
    Range {
        is_whole: true,
        ..range(name, least, most, stand_in)
    }
}

/// The bounds, in the units of [`PublishedBounds`].
const BOUNDS: [Range; 15] = [
    whole("config_ms", 100.0, 600_000.0, StandIn::Nothing),
    whole("revoke_ms", 100.0, 600_000.0, StandIn::Nothing),
    whole("leaving_ms", 100.0, 600_000.0, StandIn::Nothing),
    whole(
        "evacuation_ms",
        100.0,
        600_000.0,
        StandIn::Bound("leaving_ms"),
    ),
    range("warmup_over", 0.0, 1000.0, StandIn::Default),
    range("warmup_slack", 0.0, 1e6, StandIn::Default),
    range("stop_s", 0.0, 600.0, StandIn::Nothing),
    range("lapse_s", 0.0, 600.0, StandIn::Nothing),
    range("skew", 1.0, 1000.0, StandIn::Nothing),
    range("retry_share", 0.0, 10.0, StandIn::Nothing),
    range("retry_extra", 0.0, 1e6, StandIn::Nothing),
    range("retry_window_s", 0.0, 600.0, StandIn::Nothing),
    range("hold_s", 0.0, 600.0, StandIn::Default),
    whole("memory_mb", 1.0, 1_048_576.0, StandIn::Default),
    whole("max_descriptors", 64.0, 1_048_576.0, StandIn::Default),
];

/// `Settings` is the settings file.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
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

/// `Loaded` is settings as they were read from a file.
#[derive(Clone, Debug, PartialEq)]
pub struct Loaded {
    /// What counts.
    pub settings: Settings,
    /// Values of the file that can't be used, and what counts in their place.
    pub faults: Vec<String>,
}

/// `Listen` is the addresses to listen on.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
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
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
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
    /// File descriptors that the process may open; `None` for those that the operating system allows.
    #[serde(default)]
    pub max_descriptors: Option<u64>,
}

/// `Error` is why settings are refused.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The text is not valid JSON.
    #[snafu(display("expected settings as JSON: {source}"))]
    Json {
        /// The cause, with line and column.
        source: serde_json::Error,
    },
    /// A value that must be known is missing or can't be used.
    #[snafu(display("expected settings that can be used: {}", faults.join("; ")))]
    Unusable {
        /// The values that can't be used.
        faults: Vec<String>,
    },
}

impl TryFrom<&[u8]> for Settings {
    type Error = Error;

    fn try_from(text: &[u8]) -> Result<Self, Error> {
        Self::read(text, None).map(|loaded| loaded.settings)
    }
}

impl Settings {
    /// Reads settings, with `held` in force.
    ///
    /// The value in force stands in for one that is missing or has another type. Before the first settings, [`FIELDS`]
    /// and [`BOUNDS`] say what does.
    ///
    /// # Errors
    ///
    /// The text is no JSON object, or a value is unknown that nothing stands in for.
    pub fn read(text: &[u8], held: Option<&Self>) -> Result<Loaded, Error> {
        let mut fields: Map<String, Value> = serde_json::from_slice(text).context(JsonSnafu)?;
        let held = held.map(|held| serde_json::to_value(held).context(JsonSnafu));
        let held = held.transpose()?.unwrap_or_default();
        let mut faults = Vec::new();
        let mut is_usable = true;
        let mut note = |fault| faults.push(fault);
        for (name, stand_in) in FIELDS {
            let value = fields.remove(name);
            let found = value.clone().unwrap_or_default();
            match field(name, value) {
                Ok(Some(usable)) => {
                    if usable != found {
                        note(format!("`{name}`: found {found}, {usable} counts"));
                    }
                    fields.insert(name.to_owned(), usable);
                }
                Ok(None) if stand_in == StandIn::Default => {}
                Ok(None) | Err(_) => {
                    let counts = held.get(name);
                    is_usable &= counts.is_some() || stand_in == StandIn::Default;
                    note(fault(name, &found, counts));
                    fields.extend(counts.map(|value| (name.to_owned(), value.clone())));
                }
            }
        }
        let bounds = fields.remove("bounds");
        let mut bounds = match bounds {
            Some(Value::Object(bounds)) => bounds,
            _ => {
                note("`bounds`: expected an object".to_owned());
                Map::new()
            }
        };
        for range in &BOUNDS {
            is_usable &= range.replace(&mut bounds, held.get("bounds"), &mut note);
        }
        bounds.retain(|name, _| {
            let is_known = BOUNDS.iter().any(|range| range.name == name);
            if !is_known {
                note(format!("`bounds.{name}`: unknown, passed over"));
            }
            is_known
        });
        fields.retain(|name, _| {
            let is_known = FIELDS.iter().any(|(known, _)| known == name);
            if !is_known {
                note(format!("`{name}`: unknown, passed over"));
            }
            is_known
        });
        if !is_usable {
            return UnusableSnafu { faults }.fail();
        }
        fields.insert("bounds".to_owned(), Value::Object(bounds));
        let settings = serde_json::from_value(Value::Object(fields)).context(JsonSnafu)?;
        Ok(Loaded { settings, faults })
    }
}

/// Checks a field; returns what of it can be used, or `None` if it is absent.
fn field(name: &str, value: Option<Value>) -> Result<Option<Value>, serde_json::Error> {
    fn checked<T: for<'de> Deserialize<'de>>(value: Value) -> Result<Value, serde_json::Error> {
        serde_json::from_value::<T>(value.clone()).map(|_| value)
    }
    let Some(value) = value else {
        return Ok(None);
    };
    let usable = match (name, value) {
        ("id" | "data_center", value) => checked::<String>(value),
        ("listen", value) => checked::<Listen>(value),
        ("registry", value) => checked::<SocketAddrV4>(value),
        ("first_start", value) => checked::<bool>(value),
        ("speeds", value) => checked::<Speeds>(value),
        // Each seed counts by itself.
        (_, Value::Array(seeds)) => {
            let usable = seeds.into_iter().map(checked::<SocketAddrV4>);
            Ok(usable.flatten().collect())
        }
        (_, value) => checked::<Vec<SocketAddrV4>>(value),
    };
    usable.map(Some)
}

/// Says that a value can't be used, and what counts in its place.
fn fault(name: &str, found: &Value, counts: Option<&Value>) -> String {
    match counts {
        Some(counts) => format!("`{name}`: found {found}, {counts} counts"),
        None => format!("`{name}`: found {found}"),
    }
}

impl Range {
    /// Replaces a bound that can't be used; returns whether there is one that can.
    fn replace(
        &self,
        bounds: &mut Map<String, Value>,
        held: Option<&Value>,
        note: &mut impl FnMut(String),
    ) -> bool {
        let name = self.name;
        let is_optional = self.stand_in != StandIn::Nothing;
        let found = bounds.remove(name).unwrap_or_default();
        if found.is_null() && is_optional {
            return true;
        }
        let before = || held?.get(name).filter(|value| value.is_number()).cloned();
        let other = || match self.stand_in {
            StandIn::Bound(other) => bounds.get(other).cloned(),
            StandIn::Nothing | StandIn::Default => None,
        };
        let nearest = found.as_f64().map(|number| self.nearest(number));
        let is_kept =
            nearest.is_some() && nearest.as_ref().and_then(Value::as_f64) == found.as_f64();
        let counts = nearest.or_else(before).or_else(other);
        if !is_kept {
            note(fault(&format!("bounds.{name}"), &found, counts.as_ref()));
        }
        let is_usable = counts.is_some() || is_optional;
        bounds.extend(counts.map(|value| (name.to_owned(), value)));
        is_usable
    }

    /// Gets the nearest value in the range.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is in the range"
    )]
    fn nearest(&self, number: f64) -> Value {
        let nearest = number.clamp(self.least, self.most);
        if self.is_whole {
            json!(nearest as u64)
        } else {
            json!(nearest)
        }
    }
}

impl PublishedBounds {
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
