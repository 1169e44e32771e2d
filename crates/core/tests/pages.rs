//! Checks the Markdown pages against the repository: relative links, and the example of
//! docs/EMBEDDING.md.

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

/// Collects all pages below a folder, except hidden ones and those in `target` or hidden folders.
fn collect_pages(folder: &Path, out: &mut Vec<PathBuf>) -> Result<()> {
    for entry in fs::read_dir(folder).or_fail()? {
        let path = entry.or_fail()?.path();
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        if name.starts_with('.') || name == "target" {
            continue;
        }
        if path.is_dir() {
            collect_pages(&path, out)?;
        } else if name.ends_with(".md") {
            out.push(path);
        }
    }
    Ok(())
}

/// Gets the relative targets of a page's links, without their anchors.
fn link_targets(text: &str) -> Vec<&str> {
    let after_bracket = text.split("](").skip(1);
    let links = after_bracket.filter_map(|rest| Some(rest.split_once(')')?.0));
    let relative = links.filter(|l| !l.contains("://"));
    let files = relative.filter_map(|l| l.split('#').next());
    files.filter(|l| !l.is_empty()).collect()
}

/// Gets the content of the first code block in a language.
fn code_block<'a>(page: &'a str, language: &str) -> &'a str {
    let start = format!("```{language}\n");
    let after = page.split_once(&start).map_or("", |(_, after)| after);
    after.split_once("```\n").map_or("", |(block, _)| block)
}

#[gtest]
fn verify_every_relative_link_of_every_page_resolves() -> Result<()> {
    let mut all = Vec::new();
    collect_pages(&root(), &mut all)?;
    let mut links = 0;
    for page in all {
        let text = fs::read_to_string(&page).or_fail()?;
        let folder = page.parent().unwrap_or(Path::new("."));
        for target in link_targets(&text) {
            let exists = folder.join(target).exists();
            expect_that!(exists, eq(true), "{}: {target}", page.display());
            links += 1;
        }
    }
    verify_that!(links, gt(20))
}

#[gtest]
fn verify_the_embedding_page_shows_the_example_as_it_is() {
    expect_that!(code_block(EMBEDDING, "rust"), eq(EXAMPLE));
}

#[gtest]
fn verify_the_embedding_page_shows_what_the_example_writes() -> Result<()> {
    let mut written = Vec::new();
    embed::run(&mut written)
        .map_err(|e| e.to_string())
        .or_fail()?;
    let written = String::from_utf8(written).or_fail()?;
    verify_that!(code_block(EMBEDDING, "text"), eq(written.as_str()))
}

#[gtest]
fn verify_the_example_ends_without_an_error() {
    expect_that!(embed::main().is_ok(), eq(true));
}
