//! The fields of the published configuration, with their defaults and ranges.
//!
//! docs/CONFIGURATION.md describes each field.

use super::field::{
    Field,
    Section, //
};
use crate::units::Permille;

/// Most bytes of a published key.
pub const MAX_KEY_BYTES: usize = 128;
/// Most bytes of all keys and values together.
pub const MAX_CONTENT_BYTES: usize = 8 << 20;
/// Most routers of a fleet.
pub const MAX_ROUTERS: usize = 1024;
/// Most models.
pub const MAX_MODELS: usize = 256;
/// Most plain services.
pub const MAX_SERVICES: usize = 1024;
/// Most endpoints.
pub const MAX_ENDPOINTS: usize = 16_384;
/// Most workspaces.
pub const MAX_WORKSPACES: usize = 16_384;

const DAY_MS: u64 = 86_400_000;
const ID: &str = "name `[a-z0-9][a-z0-9._-]{0,62}`";
const ADDRESS: &str = "`IP:PORT`, not 0";

/// Field of [`super::Policy`].
pub const LOAD_MULTIPLE: Field =
    Field::ratio("load_multiple", Permille(1050), Permille(10_000)).or(1250);
/// Field of [`super::Policy`].
pub const DRAIN_DEADLINE: Field = Field::number("drain_deadline_ms", "ms", 100, DAY_MS).or(600_000);
/// Field of [`super::Policy`].
pub const RETRY_BUDGET: Field = Field::ratio("retry_budget", Permille(0), Permille(1000)).or(100);
/// Field of [`super::Policy`].
pub const MAX_ATTEMPTS: Field = Field::number("max_attempts", "attempts", 1, 10).or(3);
/// Field of [`super::Policy`].
pub const KEY_TTL: Field = Field::number("key_ttl_ms", "ms", 1000, DAY_MS).or(3_600_000);
/// Field of [`super::Policy`].
pub const LEASE: Field = Field::number("lease_ms", "ms", 50, 60_000).or(2000);
/// Field of [`super::Policy`].
pub const CLOCK_SKEW: Field = Field::number("clock_skew_ms", "ms", 0, 60_000).or(1000);
/// Field of [`super::Policy`].
pub const IDLE_TIMEOUT: Field = Field::number("idle_timeout_ms", "ms", 50, 600_000).or(15_000);
/// Field of [`super::Policy`].
pub const POLL_INTERVAL: Field = Field::number("poll_interval_ms", "ms", 10, 60_000).or(500);
/// Field of [`super::Policy`].
pub const SUMMARY_INTERVAL: Field = Field::number("summary_interval_ms", "ms", 10, 60_000).or(200);
/// Field of [`super::Policy`].
pub const CONFIG_READERS: Field = Field::number("config_readers", "routers", 1, 1024).or(7);
/// Field of [`super::Policy`].
pub const DATA_CENTERS: Field = Field::table("data_centers", "data centre to region", 256);

/// Field of [`super::Router`] and [`super::Endpoint`].
pub const ENDPOINT_ADDRESS: Field = Field::text("address", ADDRESS);
/// Field of [`super::Router`].
pub const PEER_ADDRESS: Field = Field::text("peer_address", ADDRESS);
/// Field of [`super::Router`] and [`super::Endpoint`].
pub const DATA_CENTER: Field = Field::text("data_center", ID);

/// Field of [`super::Endpoint`].
pub const KIND: Field = Field::text("kind", "`engine` or `service`");
/// Field of [`super::Endpoint`] and [`super::Workspace`].
pub const MODELS: Field = Field::list("models", "published models", 0, 64).or_absent("none");
/// Field of [`super::Endpoint`].
pub const SERVICE: Field = Field::text("service", "published service").or_absent("none");
/// Field of [`super::Endpoint`].
pub const CAPACITY: Field = Field::number("capacity", "requests", 1, 4096).or(32);
/// Field of [`super::Endpoint`].
pub const CHECKS_FENCING: Field = Field::flag("checks_fencing");
/// Field of [`super::Endpoint`].
pub const CHECKS_KEY: Field = Field::flag("checks_key");

/// Field of [`super::Service`].
pub const PATH: Field = Field::text(
    "path",
    "path `/a/b`: no empty, `.` or `..` segment, no `/` at the end, bytes of RFC 3986 `pchar` but `%`",
);
/// Field of [`super::Service`].
pub const ONCE: Field = Field::list("once", "rules", 0, 64).or_absent("none");
/// Field of [`super::Rule`].
pub const METHOD: Field = Field::text("method", "HTTP method, 1 to 16 capitals");
/// Field of [`super::Rule`].
pub const RULE_PATH: Field = Field::text("path", "empty or a path as of a service").or_text("");

/// Field of [`super::Model`].
pub const VERSION: Field = Field::text("version", ID);
/// Field of [`super::Model`].
pub const MIN_REPLICAS: Field = Field::number("min_replicas", "engines", 0, 16_384).or(0);

/// Field of [`super::Workspace`].
pub const KEY_HASHES: Field = Field::list("key_sha256", "SHA-256 in 64 hexadecimal digits", 1, 16);
/// Field of [`super::Workspace`].
pub const PRIORITY: Field = Field::number("priority", "0 is shed first", 0, 9);
/// Field of [`super::Workspace`].
pub const REQUESTS_PER_S: Field = Field::number("requests_per_s", "requests/s", 1, 1_000_000);
/// Field of [`super::Workspace`].
pub const BURST: Field =
    Field::number("burst", "requests", 1, 1_000_000).or_absent("as `requests_per_s`");
/// Field of [`super::Workspace`].
pub const SERVICES: Field = Field::list("services", "published services", 0, 64).or_absent("none");
/// Field of [`super::Workspace`].
pub const DEADLINE: Field = Field::number("deadline_ms", "ms", 10, DAY_MS);

/// All fields, grouped by the key whose value contains them.
pub const SECTIONS: &[Section] = &[
    Section {
        name: "policy",
        fields: &[
            LOAD_MULTIPLE,
            DRAIN_DEADLINE,
            RETRY_BUDGET,
            MAX_ATTEMPTS,
            KEY_TTL,
            LEASE,
            CLOCK_SKEW,
            IDLE_TIMEOUT,
            POLL_INTERVAL,
            SUMMARY_INTERVAL,
            CONFIG_READERS,
            DATA_CENTERS,
        ],
    },
    Section {
        name: "fleet.NAME",
        fields: &[ENDPOINT_ADDRESS, PEER_ADDRESS, DATA_CENTER],
    },
    Section {
        name: "models/NAME",
        fields: &[VERSION, MIN_REPLICAS],
    },
    Section {
        name: "services/NAME",
        fields: &[PATH, ONCE],
    },
    Section {
        name: "services/NAME.once[]",
        fields: &[METHOD, RULE_PATH],
    },
    Section {
        name: "endpoints/NAME",
        fields: &[
            KIND,
            ENDPOINT_ADDRESS,
            DATA_CENTER,
            MODELS,
            SERVICE,
            CAPACITY,
            CHECKS_FENCING,
            CHECKS_KEY,
        ],
    },
    Section {
        name: "workspaces/NAME",
        fields: &[
            KEY_HASHES,
            PRIORITY,
            REQUESTS_PER_S,
            BURST,
            MODELS,
            SERVICES,
            DEADLINE,
        ],
    },
];
