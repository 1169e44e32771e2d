//! Tests of the published configuration: route lookup, and the configurations that are rejected.

use bytes::Bytes;
use googletest::prelude::*;
use toucanturn_core::{
    gateway::{
        catalog::{
            Catalog,
            Error,
            RawCatalog,
            Workspace, //
        },
        route::{
            Kind,
            Share, //
        },
    },
    units::Millis,
};

use crate::fixture::{
    HOST,
    raw_catalog,
    route,
    service, //
};

fn rejection(change: impl FnOnce(&mut RawCatalog)) -> Error {
    let mut raw = raw_catalog(1);
    change(&mut raw);
    Catalog::try_from(raw).expect_err("the configuration is rejected")
}

#[gtest]
fn verify_longest_prefix_wins() {
    let mut raw = raw_catalog(1);
    raw.routes.push(route("deep", "/chat/deep/", Kind::Once));
    raw.routes.push(route("root", "/", Kind::Once));
    let catalog = Catalog::try_from(raw).expect("the configuration is valid");
    let route_name = |path: &str| {
        let found = catalog.route(HOST.as_bytes(), path.as_bytes());
        found.map(|r| String::from_utf8_lossy(&r.name).into_owned())
    };
    expect_that!(route_name("/chat/x").as_deref(), some(eq("chat")));
    expect_that!(route_name("/chat/deep/x").as_deref(), some(eq("deep")));
    expect_that!(route_name("/chat/deeper").as_deref(), some(eq("chat")));
    expect_that!(route_name("/chat").as_deref(), some(eq("root")));
    expect_that!(route_name("/").as_deref(), some(eq("root")));
    expect_that!(route_name("").as_deref(), none());
}

#[gtest]
fn verify_an_unknown_host_has_no_route() {
    let catalog = Catalog::try_from(raw_catalog(1)).expect("the configuration is valid");
    expect_true!(catalog.route(b"other.example", b"/chat/x").is_none());
}

#[gtest]
fn verify_requests_are_split_by_the_weights_of_the_shares() {
    let mut split = route("split", "/split/", Kind::Once);
    let share = |name: &'static [u8], weight| Share {
        service: Bytes::from_static(name),
        weight,
    };
    split.shares = vec![
        share(b"engines", 90),
        share(b"others", 10),
        share(b"none", 0),
    ];
    let drawn = (0..100).filter_map(|n| split.service(n));
    let others = drawn.filter(|s| s == "others").count();
    expect_that!(others, eq(10));
}

#[gtest]
fn verify_an_invalid_configuration_is_rejected_as_a_whole() {
    let engines = || service("engines");
    expect_that!(
        rejection(|raw| raw.services.push(engines())),
        pat!(Error::Duplicate { .. })
    );
    expect_that!(
        rejection(|raw| raw.routes.push(route("again", "/chat/", Kind::Once))),
        pat!(Error::Duplicate { .. })
    );
    expect_that!(
        rejection(|raw| raw.routes[0].prefix = Bytes::from_static(b"/chat")),
        pat!(Error::Prefix { .. })
    );
    expect_that!(
        rejection(|raw| raw.routes[0].shares.clear()),
        pat!(Error::NoTarget { .. })
    );
    expect_that!(
        rejection(|raw| raw.routes[0].shares[0].weight = 0),
        pat!(Error::NoTarget { .. })
    );
    expect_that!(
        rejection(|raw| raw.services.clear()),
        pat!(Error::Service { .. })
    );
    expect_that!(
        rejection(|raw| raw.routes[0].attempts = 0),
        pat!(Error::Number { .. })
    );
    expect_that!(
        rejection(|raw| raw.routes[0].limit = Millis(0)),
        pat!(Error::Number { .. })
    );
    expect_that!(
        rejection(|raw| raw.services[0].connections = 0),
        pat!(Error::Number { .. })
    );
}

#[gtest]
fn verify_a_key_of_two_workspaces_is_rejected() {
    let error = rejection(|raw| {
        let other = Workspace {
            name: Bytes::from_static(b"two"),
            priority: None,
        };
        let workspaces = raw.workspaces.get_or_insert_default();
        let keys = workspaces[0].1.clone();
        workspaces.push((other, keys));
    });
    expect_that!(error, pat!(Error::Duplicate { .. }));
}
