//! The published documents as they are written, before any check.

use indexmap::IndexMap;
use serde::Deserialize;

/// `Document` is a whole configuration in one file.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Key `policy`.
    #[serde(default)]
    pub policy: Policy,
    /// Key `fleet`.
    pub fleet: IndexMap<String, Router>,
    /// Keys `endpoints/NAME`.
    pub endpoints: IndexMap<String, Endpoint>,
    /// Keys `services/NAME`.
    #[serde(default)]
    pub services: IndexMap<String, Service>,
    /// Keys `models/NAME`.
    #[serde(default)]
    pub models: IndexMap<String, Model>,
    /// Keys `workspaces/NAME`.
    pub workspaces: IndexMap<String, Workspace>,
}

/// `Policy` as written.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[expect(missing_docs, reason = "docs/CONFIGURATION.md gives each field")]
pub struct Policy {
    pub load_multiple: Option<f64>,
    pub drain_deadline_ms: Option<u64>,
    pub retry_budget: Option<f64>,
    pub max_attempts: Option<u32>,
    pub key_ttl_ms: Option<u64>,
    pub lease_ms: Option<u64>,
    pub clock_skew_ms: Option<u64>,
    pub idle_timeout_ms: Option<u64>,
    pub poll_interval_ms: Option<u64>,
    pub summary_interval_ms: Option<u64>,
    pub config_readers: Option<u32>,
    pub data_centers: IndexMap<String, String>,
}

/// `Router` as written.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
#[expect(missing_docs, reason = "docs/CONFIGURATION.md gives each field")]
pub struct Router {
    pub address: String,
    pub peer_address: String,
    pub data_center: String,
}

/// `Endpoint` as written.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
#[expect(missing_docs, reason = "docs/CONFIGURATION.md gives each field")]
pub struct Endpoint {
    pub kind: String,
    pub address: String,
    pub data_center: String,
    #[serde(default)]
    pub models: Vec<String>,
    pub service: Option<String>,
    pub capacity: Option<u32>,
    #[serde(default)]
    pub checks_fencing: bool,
    #[serde(default)]
    pub checks_key: bool,
}

/// `Rule` as written.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
#[expect(missing_docs, reason = "docs/CONFIGURATION.md gives each field")]
pub struct Rule {
    pub method: String,
    #[serde(default)]
    pub path: String,
}

/// `Service` as written.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
#[expect(missing_docs, reason = "docs/CONFIGURATION.md gives each field")]
pub struct Service {
    pub path: String,
    #[serde(default)]
    pub once: Vec<Rule>,
}

/// `Model` as written.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
#[expect(missing_docs, reason = "docs/CONFIGURATION.md gives each field")]
pub struct Model {
    pub version: String,
    #[serde(default)]
    pub min_replicas: u32,
}

/// `Workspace` as written.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
#[expect(missing_docs, reason = "docs/CONFIGURATION.md gives each field")]
pub struct Workspace {
    pub key_sha256: Vec<String>,
    pub priority: u8,
    pub requests_per_s: u32,
    pub burst: Option<u32>,
    #[serde(default)]
    pub models: Vec<String>,
    #[serde(default)]
    pub services: Vec<String>,
    pub deadline_ms: u64,
}
