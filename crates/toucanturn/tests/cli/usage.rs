//! The command line itself: help, version, exit codes.

use googletest::prelude::*;

use crate::support::toucanturn;

#[gtest]
fn verify_help_names_every_command() {
    let run = toucanturn(["--help"]);
    expect_that!(run.code, some(eq(0)));
    for command in ["check", "explain", "status", "drain", "replay"] {
        expect_that!(run.out, contains_substring(command));
    }
}

#[gtest]
fn verify_each_command_has_help() {
    let commands = [
        vec!["check"],
        vec!["check", "settings"],
        vec!["check", "config"],
        vec!["explain"],
        vec!["status"],
        vec!["drain"],
        vec!["replay"],
    ];
    for command in commands {
        let run = toucanturn(command.iter().copied().chain(["--help"]));
        expect_that!(run.code, some(eq(0)), "{command:?}");
        let usage = format!("Usage: toucanturn {}", command.join(" "));
        expect_that!(run.out, starts_with(usage));
    }
}

#[gtest]
fn verify_version_is_the_crates() {
    let run = toucanturn(["--version"]);
    expect_that!(run.code, some(eq(0)));
    expect_that!(
        run.out,
        eq(concat!("toucanturn ", env!("CARGO_PKG_VERSION"), "\n"))
    );
}

#[gtest]
fn verify_wrong_usage_exits_with_2_and_says_why() {
    let wrong: [&[&str]; 9] = [
        &[],
        &["nonsense"],
        &["check"],
        &["check", "config"],
        &["explain"],
        &["status"],
        &["status", "entry-1:80"],
        &["drain", "--wait"],
        &["replay"],
    ];
    for args in wrong {
        let run = toucanturn(args);
        expect_that!(run.code, some(eq(2)), "{args:?}");
        expect_that!(run.out, eq(""), "{args:?}");
        expect_that!(run.err, starts_with("toucanturn: "), "{args:?}");
    }
}
