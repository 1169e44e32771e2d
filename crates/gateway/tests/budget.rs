//! The division of a process's memory and descriptors.

#![expect(clippy::expect_used, reason = "a test fails by its panic")]

use googletest::prelude::*;
use toucanturn_gateway::{
    budget::Budget,
    settings::{
        PublishedBounds,
        Settings, //
    },
};

/// Longest head of a request that the platform's operators publish.
const HEAD: usize = 16 << 10;
/// Fewest descriptors that the process keeps for other uses than callers.
const OTHERS: usize = 300;

fn bounds(memory_mb: u64) -> PublishedBounds {
    let any = "127.0.0.1:0";
    let text = serde_json::json!({
        "id": "r1", "data_center": "a", "registry": "127.0.0.1:1",
        "listen": {"callers": any, "ready": any, "peers": any},
        "bounds": {"config_ms": 2000, "revoke_ms": 5000, "leaving_ms": 2000, "stop_s": 4,
            "lapse_s": 2, "skew": 2, "retry_share": 0.2, "retry_extra": 54, "retry_window_s": 10,
            "memory_mb": memory_mb},
    });
    let settings = Settings::try_from(text.to_string().as_bytes());
    settings.expect("the settings are valid").bounds
}

/// Guards against parts that each have a bound, and whose sum exceeds the memory.
#[gtest]
fn verify_the_parts_fit_into_the_memory() {
    for memory_mb in [112, 160, 260, 512, 4096] {
        for head in [1 << 10, HEAD, 64 << 10] {
            let budget = Budget::new(&bounds(memory_mb), u64::MAX);
            let sum = budget.bytes(head);
            expect_that!(sum, le(memory_mb << 20), "{memory_mb} MiB, heads of {head}");
        }
    }
}

/// Guards against callers' connections that leave no descriptor for endpoints, peers and the registry.
#[gtest]
fn verify_callers_leave_descriptors_for_others() {
    for descriptors in [600, 2870, 4100, 8192] {
        let budget = Budget::new(&bounds(512), u64::try_from(descriptors).unwrap_or(u64::MAX));
        let callers = budget.most_callers(HEAD);
        let left = descriptors - callers - budget.most_peers(HEAD);
        expect_that!(left, ge(callers.max(OTHERS)), "{descriptors}");
    }
}

/// Guards against a setting that lifts what the operating system allows.
#[gtest]
fn verify_the_lower_limit_of_descriptors_counts() {
    let stated = PublishedBounds {
        max_descriptors: Some(600),
        ..bounds(512)
    };
    let low = Budget::new(&stated, 4100).most_callers(HEAD);
    expect_that!(Budget::new(&stated, 600).most_callers(HEAD), eq(low));
    expect_that!(Budget::new(&bounds(512), 600).most_callers(HEAD), eq(low));
    expect_that!(Budget::new(&bounds(512), 4100).most_callers(HEAD), gt(low));
}
