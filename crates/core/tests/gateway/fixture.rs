//! A small published configuration with endpoints, shared by the tests.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

use bytes::Bytes;
use toucanturn_core::{
    gateway::{
        Change,
        Gateway,
        budget::Policy,
        catalog::{
            Catalog,
            Engine,
            Limits,
            RawCatalog,
            Service,
            Workspace, //
        },
        endpoint::{
            Entry,
            Load, //
        },
        incoming_request::{
            IncomingRequest,
            Part,
            Prompt, //
        },
        quarantine::Policy as QuarantinePolicy,
        route::{
            Kind,
            Route,
            Share, //
        },
        settings::Bounds,
        warmup, //
    },
    units::{
        Millis,
        Permille,
        Time, //
    },
};

pub(crate) const HOST: &str = "shop.example";
pub(crate) const KEY: &str = "key-of-one";

pub(crate) fn bounds() -> Bounds {
    Bounds {
        keys: Millis(4750),
        routes: Millis(2850),
        max_confirmation_age: Millis(2700),
        evacuation: None,
        read_interval: Millis(666),
        outage_threshold: Millis(2500),
        lapse_grace: Millis(2000),
        skew: Permille(2000),
        retry: Policy {
            window: Millis(10_000),
            share: Permille(200),
            fleet: 54,
            extra: 3,
        },
        warmup: warmup::Policy {
            over: Permille(1500),
            slack: 5,
        },
        hold: QuarantinePolicy {
            first: Millis(5000),
        },
    }
}

pub(crate) fn route(name: &str, prefix: &str, kind: Kind) -> Route {
    Route {
        name: Bytes::copy_from_slice(name.as_bytes()),
        host: Bytes::from_static(HOST.as_bytes()),
        prefix: Bytes::copy_from_slice(prefix.as_bytes()),
        kind,
        shares: vec![Share {
            service: Bytes::from_static(b"engines"),
            weight: 1,
        }],
        limit: Millis(4000),
        goal: Millis(500),
        pause: Millis(300),
        attempts: 2,
        priority: 1,
        anonymous: false,
    }
}

pub(crate) fn service(name: &str) -> Service {
    Service {
        name: Bytes::copy_from_slice(name.as_bytes()),
        health: Bytes::from_static(b"/health"),
        connections: 100,
        engine: Some(Engine {
            slots: 64,
            memory: 400_000,
            shares: true,
        }),
        warmup: None,
    }
}

pub(crate) fn raw_catalog(version: u64) -> RawCatalog {
    let workspace = Workspace {
        name: Bytes::from_static(b"one"),
        priority: None,
    };
    RawCatalog {
        version,
        routes: vec![
            route("chat", "/chat/", Kind::Stream { resumable: true }),
            route("once", "/once/", Kind::Once),
            route("read", "/read/", Kind::Repeatable),
        ],
        services: vec![service("engines"), service("others")],
        workspaces: Some(vec![(workspace, vec![Bytes::from_static(KEY.as_bytes())])]),
        limits: Limits::default(),
        secret: [7; 32],
    }
}

pub(crate) fn catalog_change(version: u64) -> Change {
    let catalog = Catalog::try_from(raw_catalog(version)).expect("the configuration is valid");
    Change::Catalog(Box::new(catalog))
}

pub(crate) fn entry(number: u8) -> Entry {
    Entry {
        id: Bytes::from(format!("e-{number}")),
        service: Bytes::from_static(b"engines"),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 8000),
        born: None,
        data_center: Bytes::from_static(b"a"),
        build: Bytes::from_static(b"v1"),
        slots: 64,
        leaving: false,
        cold: Millis(0),
    }
}

/// Makes a gateway with a configuration and `endpoints` endpoints, both read at time 0.
pub(crate) fn gateway(endpoints: u8) -> Gateway {
    gateway_with_seed(endpoints, 1)
}

/// Makes the same gateway with other random numbers.
pub(crate) fn gateway_with_seed(endpoints: u8, seed: u64) -> Gateway {
    let mut gateway = Gateway::new(bounds(), seed);
    let mut changes = vec![catalog_change(1)];
    changes.extend((0..endpoints).map(|n| Change::Entry(entry(n))));
    gateway.record_registry_read(Time(0), Time(0));
    gateway.apply_changes(Time(0), changes);
    gateway
}

pub(crate) fn request(path: &str) -> IncomingRequest {
    IncomingRequest {
        id: Bytes::from_static(b"a1"),
        host: Bytes::from_static(HOST.as_bytes()),
        path: Bytes::copy_from_slice(path.as_bytes()),
        key: Some(Bytes::from_static(KEY.as_bytes())),
        deadline: Some(Millis(3000)),
        ..IncomingRequest::default()
    }
}

/// Makes a prompt of three parts: one that all prompts begin with, then `shared` and `own`.
pub(crate) fn prompt(shared: u64, own: u64) -> Prompt {
    let part = |id| Part { id, tokens: 1000 };
    Prompt {
        model: Bytes::from_static(b"m"),
        parts: vec![part(1), part(shared), part(own)].into(),
        input: 3000,
        output: 50,
    }
}

/// Lets an endpoint state a slowdown, so that speeds vary.
pub(crate) fn state_slowdown(gateway: &mut Gateway, now: Time) {
    let (key, _) = gateway.registry().usable().next().expect("one is listed");
    let load = Load {
        slots: 64,
        slowdown: Some(Permille(1000)),
        ..Load::default()
    };
    gateway.record_load(now, key, load);
}
