//! The laboratory's own configuration: routers, the one route, engines.

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
            Limits,
            RawCatalog,
            Service, //
        },
        endpoint::Entry,
        quarantine::Policy as Hold,
        route::{
            Kind as Way,
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

use crate::lab::{
    fleet::LIMIT,
    sheet::Sheet, //
};

/// Name of the one service.
pub(super) const SERVICE: &[u8] = b"engines";
/// Host of the one route.
pub(super) const HOST: &[u8] = b"lab.example";
/// Connections that an engine takes.
const CONNECTIONS: u32 = 560;

/// Makes a router that has just read the registry and knows no loads.
pub(super) fn router(sheet: &Sheet, now: u64, seed: u64) -> Gateway {
    let bounds = Bounds {
        evacuation: None,
        keys: Millis(4750),
        routes: Millis(2850),
        max_confirmation_age: Millis(2700),
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
            over: Permille(1000),
            slack: 0,
        },
        hold: Hold {
            first: Millis(sheet.hold),
        },
    };
    let mut gateway = Gateway::new(bounds, seed);
    let mut changes = vec![Change::Catalog(Box::new(catalog()))];
    changes.extend((0..sheet.engines).map(|n| Change::Entry(entry(sheet, n, 0))));
    gateway.record_registry_read(Time(now), Time(now));
    gateway.apply_changes(Time(now), changes);
    gateway.fleet(Time(now), u32::try_from(sheet.routers).unwrap_or(u32::MAX));
    gateway
}

fn catalog() -> Catalog {
    let route = Route {
        name: Bytes::from_static(b"chat"),
        host: Bytes::from_static(HOST),
        prefix: Bytes::from_static(b"/"),
        kind: Way::Stream { resumable: true },
        shares: vec![Share {
            service: Bytes::from_static(SERVICE),
            weight: 1,
        }],
        limit: LIMIT,
        goal: Millis(600),
        pause: Millis(300),
        attempts: 2,
        priority: 1,
        anonymous: true,
    };
    let service = Service {
        name: Bytes::from_static(SERVICE),
        health: Bytes::new(),
        connections: CONNECTIONS,
        engine: Some(toucanturn_core::gateway::catalog::Engine {
            slots: 0,
            memory: 0,
            shares: true,
        }),
        warmup: None,
    };
    let raw = RawCatalog {
        version: 1,
        routes: vec![route],
        services: vec![service],
        workspaces: None,
        limits: Limits::default(),
        secret: [1; 32],
    };
    match Catalog::try_from(raw) {
        Ok(catalog) => catalog,
        Err(error) => unreachable!("the laboratory's own configuration is valid: {error}"),
    }
}

pub(super) fn entry(sheet: &Sheet, number: usize, life: u32) -> Entry {
    let low = u8::try_from(number % 250).unwrap_or_default();
    let high = u8::try_from(number / 250).unwrap_or_default();
    Entry {
        id: Bytes::from(format!("{number}.{life}")),
        service: Bytes::from_static(SERVICE),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, high, low), 8000),
        born: None,
        data_center: Bytes::from_static(b"a"),
        build: Bytes::from_static(b"v1"),
        slots: sheet.shape.slots,
        leaving: false,
        cold: Millis(0),
    }
}
