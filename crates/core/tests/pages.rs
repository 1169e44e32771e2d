//! The pages against the repository: their links, and the example of docs/EMBEDDING.md.

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    },
};

use googletest::prelude::*;

#[path = "../examples/embed.rs"]
mod embed;

const EMBEDDING: &str = include_str!("../../../docs/EMBEDDING.md");

const EXAMPLE: &str = include_str!("../examples/embed.rs");

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Gets all pages below a folder, but those of the build and hidden ones.
fn pages(folder: &Path, out: &mut Vec<PathBuf>) -> Result<()> {
    for entry in fs::read_dir(folder).or_fail()? {
        let path = entry.or_fail()?.path();
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        if name.starts_with('.') || name == "target" {
            continue;
        }
        if path.is_dir() {
            pages(&path, out)?;
        } else if name.ends_with(".md") {
            out.push(path);
        }
    }
    Ok(())
}

/// Gets the relative targets of a page's links, without their anchors.
fn targets(text: &str) -> Vec<&str> {
    let after = text.split("](").skip(1);
    let link = after.filter_map(|rest| Some(rest.split_once(')')?.0));
    let relative = link.filter(|l| !l.contains("://"));
    let file = relative.filter_map(|l| l.split('#').next());
    file.filter(|l| !l.is_empty()).collect()
}

/// Gets the lines of the first block of a kind, as they stand in the page.
fn block<'a>(page: &'a str, kind: &str) -> &'a str {
    let start = format!("```{kind}\n");
    let after = page.split_once(&start).map_or("", |(_, after)| after);
    after.split_once("```\n").map_or("", |(block, _)| block)
}

#[gtest]
fn verify_every_relative_link_of_every_page_resolves() -> Result<()> {
    let mut all = Vec::new();
    pages(&root(), &mut all)?;
    let mut seen = 0;
    for page in all {
        let text = fs::read_to_string(&page).or_fail()?;
        let folder = page.parent().unwrap_or(Path::new("."));
        for target in targets(&text) {
            let there = folder.join(target).exists();
            expect_that!(there, eq(true), "{}: {target}", page.display());
            seen += 1;
        }
    }
    verify_that!(seen, gt(20))
}

#[gtest]
fn verify_the_embedding_page_shows_the_example_as_it_is() {
    expect_that!(block(EMBEDDING, "rust"), eq(EXAMPLE));
}

#[gtest]
fn verify_the_embedding_page_shows_what_the_example_writes() -> Result<()> {
    let mut written = Vec::new();
    embed::run(&mut written)
        .map_err(|e| e.to_string())
        .or_fail()?;
    let written = String::from_utf8(written).or_fail()?;
    verify_that!(block(EMBEDDING, "text"), eq(written.as_str()))
}

#[gtest]
fn verify_the_example_ends_without_an_error() {
    expect_that!(embed::main().is_ok(), eq(true));
}
