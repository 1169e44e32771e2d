//! docs/CLI.md and the program.

use std::collections::BTreeSet;

use googletest::prelude::*;

use crate::support::toucanturn;

const COMMANDS: [&[&str]; 7] = [
    &["check", "settings"],
    &["check", "config"],
    &["explain"],
    &["status"],
    &["drain"],
    &["replay"],
    &["trace"],
];

/// Gets the long options in a text.
fn options(text: &str) -> BTreeSet<String> {
    let plain = |c: char| c.is_ascii_lowercase() || c == '-';
    let words = text.split(|c| !plain(c));
    let options = words.filter(|w| w.starts_with("--") && w.len() > 2);
    options.map(str::to_owned).collect()
}

/// Gets the part of the page under a command's heading.
fn section<'a>(page: &'a str, command: &str) -> &'a str {
    let heading = format!("## toucanturn {command}\n");
    let after = page.split_once(&heading).map_or("", |(_, after)| after);
    after.split("\n## ").next().unwrap_or_default()
}

#[gtest]
fn verify_the_manual_has_every_option_of_every_command_and_no_other() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/CLI.md");
    let page = std::fs::read_to_string(path).expect("the manual");
    for command in COMMANDS {
        let help = toucanturn(command.iter().copied().chain(["--help"])).out;
        let mut has = options(&help);
        // Every command has it; the page says so once.
        has.remove("--help");
        // One section holds both kinds of check.
        let said = options(section(&page, command[0]));
        expect_that!(said, eq(&has), "{command:?}");
    }
}
