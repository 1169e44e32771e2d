//! The settings of one process, such as its name, listening addresses and configuration service.
//!
//! They come from one JSON file that is read once at the start. Configuration of the whole fleet is
//! published instead ([`crate::config`]).

use std::{
    fmt,
    net::SocketAddr, //
};

use bytes::Bytes;

use crate::{
    config::{
        fault::{
            Fault,
            Faults, //
        },
        field::Field,
        object::{
            Object,
            parse_hex,
            parse_reachable, //
        },
        raw::Value, //
    },
    ids::Id,
    units::Millis, //
};

pub mod reference;

use reference as r;

/// `Settings` is what one process must know before it contacts other processes.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name in the published fleet.
    pub id: Id,
    /// Its data centre.
    pub data_center: Id,
    /// Address at which it listens for callers.
    pub listen: SocketAddr,
    /// Address at which it listens for other routers.
    pub peer_listen: SocketAddr,
    /// Address at which it listens for operators.
    pub admin_listen: SocketAddr,
    /// Addresses of the configuration service, tried in turn.
    pub config_service: Vec<SocketAddr>,
    /// Addresses of the list of VMs, tried in turn.
    pub vm_list: Vec<SocketAddr>,
    /// Key that authenticates messages between routers; the same on all routers.
    pub peer_key: Secret,
    /// Key that signs placement tokens; the same on all routers.
    pub token_key: Secret,
    /// Address to which metrics are sent; `None`: no metrics are sent.
    pub statsd: Option<SocketAddr>,
    /// Seed of its random numbers; `None`: a random seed at each start.
    pub seed: Option<u64>,
    /// Format and level of its log.
    pub log: Log,
    /// Bounds on its use of resources.
    pub limits: Limits,
}

/// `Log` is the format and level of a process's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Log {
    /// Format of the lines.
    pub format: Format,
    /// Least severe level that is written.
    pub level: Level,
}

/// `Format` is the format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Format {
    /// One JSON object a line.
    Json,
    /// Text for human readers.
    Text,
}

/// `Level` is the level of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Level {
    /// Something failed.
    Error,
    /// Something is wrong and has been handled.
    Warn,
    /// Decisions.
    Info,
    /// Reasons for decisions.
    Debug,
    /// Everything.
    Trace,
}

/// `Limits` bounds the resources that one process uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most bytes of a request's body.
    pub max_body: usize,
    /// Most bytes of all requests' bodies together; those of one workspace may hold half of it.
    pub max_buffered_bodies: usize,
    /// Most bytes of a request's header section.
    pub max_header: usize,
    /// Most requests in progress.
    pub max_open_requests: usize,
    /// Time without a byte from a caller after which its request is aborted.
    pub slow_sender_timeout: Millis,
    /// Most bytes of memory for idempotency keys.
    pub key_memory: usize,
}

/// [`Limits::max_buffered_bodies`] as a multiple of the longest body, where it is not set.
const BUFFERED_BODIES: usize = 8;
/// Least value of it as a multiple of the longest body: a workspace may hold half.
const LEAST_BUFFERED_BODIES: usize = 2;

impl Default for Limits {
    fn default() -> Self {
        let size = |field: &Field| usize::try_from(field.number_or_least()).unwrap_or(usize::MAX);
        Self {
            max_body: size(&r::MAX_BODY),
            max_buffered_bodies: size(&r::MAX_BODY).saturating_mul(BUFFERED_BODIES),
            max_header: size(&r::MAX_HEADER),
            max_open_requests: size(&r::MAX_OPEN_REQUESTS),
            slow_sender_timeout: Millis(r::SLOW_SENDER_TIMEOUT.number_or_least()),
            key_memory: size(&r::KEY_MEMORY),
        }
    }
}

/// `Secret` is a key that must not appear in log lines or errors.
#[derive(Clone)]
pub struct Secret(Bytes);

impl Secret {
    /// Gets the key's bytes.
    pub fn expose(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl TryFrom<&[u8]> for Settings {
    type Error = Vec<Fault>;

    /// Reads a settings file.
    fn try_from(file: &[u8]) -> Result<Self, Vec<Fault>> {
        let mut faults = Faults::default();
        let value = Value::parse("", file, r::MAX_FILE_BYTES, &mut faults);
        let object = value.map(|value| Object::new("", value, &mut faults));
        let settings = object.flatten().and_then(settings);
        match faults.or(settings)? {
            Some(settings) => Ok(settings),
            // Not reached: a file without valid settings always causes a fault.
            None => Err(Vec::new()),
        }
    }
}

fn settings(mut o: Object<'_>) -> Option<Settings> {
    let id = o.id(&r::ID);
    let data_center = o.id(&r::DATA_CENTER);
    let listen = listen(&mut o, &r::LISTEN);
    let peer_listen = distinct_listen(&mut o, &r::PEER_LISTEN, &[listen]);
    let admin_listen = distinct_listen(&mut o, &r::ADMIN_LISTEN, &[listen, peer_listen]);
    let config_service = addresses(&mut o, &r::CONFIG_SERVICE);
    let vm_list = addresses(&mut o, &r::VM_LIST);
    let peer_key = secret(&mut o, &r::PEER_KEY);
    let token_key = secret(&mut o, &r::TOKEN_KEY);
    if let (Some(one), Some(other)) = (&peer_key, &token_key)
        && one.0 == other.0
    {
        let path = o.path(&r::TOKEN_KEY);
        o.faults
            .add(path, "the same key", "another than `peer_key`");
    }
    let statsd = o.address(&r::STATSD);
    let seed = o.optional_number(&r::SEED);
    let log = nested(&mut o, &r::LOG).map(log);
    let limits = nested(&mut o, &r::LIMITS).map(limits);
    o.finish();
    Some(Settings {
        id: id?,
        data_center: data_center?,
        listen: listen?,
        peer_listen: peer_listen?,
        admin_listen: admin_listen?,
        vm_list: if vm_list.is_empty() {
            config_service.clone()
        } else {
            vm_list
        },
        config_service,
        peer_key: peer_key?,
        token_key: token_key?,
        statsd,
        seed,
        log: log?,
        limits: limits?,
    })
}

/// Starts to read a nested object of the settings; an absent one counts as empty.
fn nested<'a>(o: &'a mut Object<'_>, field: &Field) -> Option<Object<'a>> {
    let value = o.take(field);
    let value = value.unwrap_or_else(|| Value::Object(indexmap::IndexMap::new()));
    Object::new(&o.path(field), value, o.faults)
}

fn log(mut o: Object<'_>) -> Log {
    let format = o.parsed(&r::FORMAT, |text| text.parse().ok());
    let level = o.parsed(&r::LEVEL, |text| text.parse().ok());
    o.finish();
    Log {
        format: format.unwrap_or(Format::Json),
        level: level.unwrap_or(Level::Info),
    }
}

fn limits(mut o: Object<'_>) -> Limits {
    let size = |n| usize::try_from(n).unwrap_or(usize::MAX);
    let max_body = size(o.number(&r::MAX_BODY));
    let buffered = o.optional_number(&r::MAX_BUFFERED_BODIES).map(size);
    let least = max_body.saturating_mul(LEAST_BUFFERED_BODIES);
    if let Some(buffered) = buffered.filter(|buffered| *buffered < least) {
        let path = o.path(&r::MAX_BUFFERED_BODIES);
        let expected = format!("{least} or more, twice `max_body_bytes`");
        o.faults.add(path, buffered, &expected);
    }
    let limits = Limits {
        max_body,
        max_buffered_bodies: buffered.unwrap_or(max_body.saturating_mul(BUFFERED_BODIES)),
        max_header: size(o.number(&r::MAX_HEADER)),
        max_open_requests: size(o.number(&r::MAX_OPEN_REQUESTS)),
        slow_sender_timeout: Millis(o.number(&r::SLOW_SENDER_TIMEOUT)),
        key_memory: size(o.number(&r::KEY_MEMORY)),
    };
    o.finish();
    limits
}

fn listen(o: &mut Object<'_>, field: &Field) -> Option<SocketAddr> {
    let make = |text: &str| text.parse().ok().filter(|a: &SocketAddr| a.port() != 0);
    o.parsed(field, make)
}

fn distinct_listen(
    o: &mut Object<'_>,
    field: &Field,
    others: &[Option<SocketAddr>],
) -> Option<SocketAddr> {
    let address = listen(o, field)?;
    if others.contains(&Some(address)) {
        let path = o.path(field);
        o.faults.add(path, address, "an address of its own");
    }
    Some(address)
}

fn addresses(o: &mut Object<'_>, field: &Field) -> Vec<SocketAddr> {
    let mut out = Vec::new();
    for (path, value) in o.list(field) {
        let address = match &value {
            Value::Text(text) => parse_reachable(text),
            _ => None,
        };
        match address {
            Some(address) if out.contains(&address) => {
                o.faults.add(path, address, "each address once");
            }
            Some(address) => out.push(address),
            None => o.faults.add(path, value, "`IP:PORT`, not 0"),
        }
    }
    out
}

/// Reads a secret key. The fault of an invalid one shows neither the text nor its length, as it may
/// be the real key with one character missing.
fn secret(o: &mut Object<'_>, field: &Field) -> Option<Secret> {
    let value = o.take(field)?;
    let key = match &value {
        Value::Text(text) => parse_hex(text),
        _ => None,
    };
    let key = key.filter(|key| (r::MIN_SECRET_BYTES..=r::MAX_SECRET_BYTES).contains(&key.len()));
    if key.is_none() {
        o.refuse(field, "something else");
    }
    key.map(|key| Secret(key.into()))
}
