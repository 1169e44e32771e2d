//! The fields of a process's settings, with their defaults and ranges.
//!
//! docs/CONFIGURATION.md describes each field.

use crate::config::field::{
    Field,
    Section, //
};

/// Most bytes of a settings file.
pub const MAX_FILE_BYTES: usize = 64 * 1024;
/// Fewest bytes of a secret key.
pub const MIN_SECRET_BYTES: usize = 32;
/// Most bytes of a secret key.
pub const MAX_SECRET_BYTES: usize = 128;

const LISTEN_FORM: &str = "`IP:PORT`, port not 0";
const ADDRESS: &str = "`IP:PORT`, not 0";
const KEY: &str = "64 to 256 hexadecimal digits";
const MIB: u64 = 1 << 20;

/// Field of [`super::Settings`].
pub const ID: Field = Field::text("id", "name `[a-z0-9][a-z0-9._-]{0,62}`");
/// Field of [`super::Settings`].
pub const DATA_CENTER: Field = Field::text("data_center", "name `[a-z0-9][a-z0-9._-]{0,62}`");
/// Field of [`super::Settings`].
pub const LISTEN: Field = Field::text("listen", LISTEN_FORM);
/// Field of [`super::Settings`].
pub const PEER_LISTEN: Field = Field::text("peer_listen", LISTEN_FORM);
/// Field of [`super::Settings`].
pub const ADMIN_LISTEN: Field = Field::text("admin_listen", LISTEN_FORM);
/// Field of [`super::Settings`].
pub const CONFIG_SERVICE: Field = Field::list("config_service", ADDRESS, 1, 16);
/// Field of [`super::Settings`].
pub const VM_LIST: Field = Field::list("vm_list", ADDRESS, 1, 16).or_absent("as `config_service`");
/// Field of [`super::Settings`].
pub const PEER_KEY: Field = Field::text("peer_key", KEY);
/// Field of [`super::Settings`].
pub const TOKEN_KEY: Field = Field::text("token_key", KEY);
/// Field of [`super::Settings`].
pub const STATSD: Field = Field::text("statsd", ADDRESS).or_absent("no metrics sent");
/// Field of [`super::Settings`].
pub const SEED: Field = Field::number("seed", "-", 0, u64::MAX).or_absent("drawn at start");
/// Field of [`super::Settings`].
pub const LOG: Field = Field::object("log");
/// Field of [`super::Settings`].
pub const LIMITS: Field = Field::object("limits");

/// Field of [`super::Log`].
pub const FORMAT: Field = Field::text("format", "`json` or `text`").or_text("json");
/// Field of [`super::Log`].
pub const LEVEL: Field =
    Field::text("level", "`error`, `warn`, `info`, `debug` or `trace`").or_text("info");

/// Field of [`super::Limits`].
pub const MAX_BODY: Field = Field::number("max_body_bytes", "bytes", 1024, 64 * MIB).or(8 * MIB);
/// Field of [`super::Limits`].
pub const MAX_BUFFERED_BODIES: Field =
    Field::number("max_buffered_body_bytes", "bytes", 2048, 16_384 * MIB)
        .or_absent("8 times `max_body_bytes`");
/// Field of [`super::Limits`].
pub const MAX_HEADER: Field = Field::number("max_header_bytes", "bytes", 4096, 262_144).or(32_768);
/// Field of [`super::Limits`].
pub const MAX_OPEN_REQUESTS: Field =
    Field::number("max_open_requests", "requests", 1, 65_536).or(4096);
/// Field of [`super::Limits`].
pub const SLOW_SENDER_TIMEOUT: Field =
    Field::number("slow_sender_timeout_ms", "ms", 100, 600_000).or(10_000);
/// Field of [`super::Limits`].
pub const KEY_MEMORY: Field =
    Field::number("key_memory_bytes", "bytes", 65_536, 256 * MIB).or(4 * MIB);

/// All fields, grouped by the object that contains them.
pub const SECTIONS: &[Section] = &[
    Section {
        name: "settings",
        fields: &[
            ID,
            DATA_CENTER,
            LISTEN,
            PEER_LISTEN,
            ADMIN_LISTEN,
            CONFIG_SERVICE,
            VM_LIST,
            PEER_KEY,
            TOKEN_KEY,
            STATSD,
            SEED,
            LOG,
            LIMITS,
        ],
    },
    Section {
        name: "settings.log",
        fields: &[FORMAT, LEVEL],
    },
    Section {
        name: "settings.limits",
        fields: &[
            MAX_BODY,
            MAX_BUFFERED_BODIES,
            MAX_HEADER,
            MAX_OPEN_REQUESTS,
            SLOW_SENDER_TIMEOUT,
            KEY_MEMORY,
        ],
    },
];
