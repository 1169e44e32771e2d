//! The command line.

use gumdrop::Options;
use std::{
    net::SocketAddr,
    path::PathBuf,
    time::Duration, //
};
use toucanturn_standin::{
    balancer,
    engine::{
        self,
        Fencing, //
    },
    platform,
    server::{
        ANY_PORT,
        Ports, //
    },
    service::{
        self,
        KeyCheck, //
    },
};

/// `Args` is the whole command line.
#[derive(Debug, Options)]
pub(crate) struct Args {
    /// Print this help.
    help: bool,
    /// Which stand-in to run.
    #[options(command)]
    pub(crate) command: Option<Command>,
}

/// `Command` is the stand-in to run.
#[derive(Debug, Options)]
pub(crate) enum Command {
    /// Run the platform.
    Platform(Platform),
    /// Run a model engine.
    Engine(Engine),
    /// Run a plain service.
    Service(Service),
    /// Run the platform's balancer.
    Balancer(Balancer),
}

/// `Platform` is the command line of `platform`.
#[derive(Debug, Options)]
pub(crate) struct Platform {
    /// Print this help.
    help: bool,
    /// Address of the protocol.
    listen: Option<SocketAddr>,
    /// Address of the control calls.
    control: Option<SocketAddr>,
    /// Configuration document to publish at the start.
    publish: Option<PathBuf>,
    /// Tokens a second of the weight store.
    #[options(default = "10")]
    weight_tokens_per_s: u32,
    /// Tokens the weight store can save up.
    #[options(default = "10")]
    weight_burst: u32,
}

/// `Engine` is the command line of `engine`.
#[derive(Debug, Options)]
pub(crate) struct Engine {
    /// Print this help.
    help: bool,
    /// Address of the protocol.
    listen: Option<SocketAddr>,
    /// Address of the control calls.
    control: Option<SocketAddr>,
    /// Model loaded at the start; may be given several times.
    #[options(meta = "ID")]
    model: Vec<String>,
    /// Version loaded at the start.
    #[options(default = "v1")]
    version: String,
    /// Role at the start.
    #[options(default = "mixed")]
    role: String,
    /// Places in the batch.
    #[options(default = "32")]
    capacity: usize,
    /// Most requests that wait for the batch.
    #[options(default = "1024")]
    max_queued: usize,
    /// Milliseconds to the first token, prefix not cached.
    #[options(default = "200")]
    first_token_ms: u64,
    /// Milliseconds to the first token, prefix cached.
    #[options(default = "50")]
    first_token_cached_ms: u64,
    /// Milliseconds for each later token.
    #[options(default = "10")]
    per_token_ms: u64,
    /// Most prefixes cached.
    #[options(default = "64")]
    prefixes: usize,
    /// Lag of the load report in milliseconds.
    #[options(default = "500")]
    load_lag_ms: u64,
    /// Lag of the cache events in milliseconds.
    #[options(default = "500")]
    event_lag_ms: u64,
    /// Share of the cache events that are lost, from 0 to 1.
    #[options(default = "0")]
    event_loss: f64,
    /// Refuse orders with an old fencing number.
    fencing: bool,
    /// Number of this process's life.
    #[options(default = "1")]
    incarnation: u64,
    /// Seed of what is random.
    #[options(default = "0")]
    seed: u64,
}

/// `Service` is the command line of `service`.
#[derive(Debug, Options)]
pub(crate) struct Service {
    /// Print this help.
    help: bool,
    /// Address of the protocol.
    listen: Option<SocketAddr>,
    /// Address of the control calls.
    control: Option<SocketAddr>,
    /// Answer a known idempotency key with its first answer.
    checks_key: bool,
    /// Number of this process's life.
    #[options(default = "1")]
    incarnation: u64,
}

/// `Balancer` is the command line of `balancer`.
#[derive(Debug, Options)]
pub(crate) struct Balancer {
    /// Print this help.
    help: bool,
    /// Address that callers connect to.
    listen: Option<SocketAddr>,
    /// Address of the control calls.
    control: Option<SocketAddr>,
    /// Address to forward to; may be given several times.
    #[options(meta = "ADDRESS")]
    to: Vec<SocketAddr>,
}

fn ports(listen: Option<SocketAddr>, control: Option<SocketAddr>) -> Ports {
    Ports {
        listen: listen.unwrap_or(ANY_PORT),
        control: control.unwrap_or(ANY_PORT),
    }
}

impl From<Platform> for platform::Options {
    fn from(args: Platform) -> Self {
        Self {
            ports: ports(args.listen, args.control),
            publish: args.publish,
            weight_tokens_per_s: args.weight_tokens_per_s,
            weight_burst: args.weight_burst,
        }
    }
}

impl From<Engine> for engine::Options {
    fn from(args: Engine) -> Self {
        let default = Self::default();
        Self {
            ports: ports(args.listen, args.control),
            models: if args.model.is_empty() {
                default.models
            } else {
                args.model
            },
            version: args.version,
            role: args.role,
            capacity: args.capacity,
            max_queued: args.max_queued,
            first_token: Duration::from_millis(args.first_token_ms),
            first_token_cached: Duration::from_millis(args.first_token_cached_ms),
            per_token: Duration::from_millis(args.per_token_ms),
            prefixes: args.prefixes,
            load_lag: Duration::from_millis(args.load_lag_ms),
            event_lag: Duration::from_millis(args.event_lag_ms),
            event_loss: args.event_loss,
            fencing: if args.fencing {
                Fencing::On
            } else {
                Fencing::Off
            },
            incarnation: args.incarnation,
            seed: args.seed,
        }
    }
}

impl From<Service> for service::Options {
    fn from(args: Service) -> Self {
        Self {
            ports: ports(args.listen, args.control),
            key_check: if args.checks_key {
                KeyCheck::On
            } else {
                KeyCheck::Off
            },
            incarnation: args.incarnation,
        }
    }
}

impl From<Balancer> for balancer::Options {
    fn from(args: Balancer) -> Self {
        Self {
            ports: ports(args.listen, args.control),
            to: args.to,
        }
    }
}
