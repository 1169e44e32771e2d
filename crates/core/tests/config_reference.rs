//! Compares the configuration reference for operators, docs/CONFIGURATION.md, with the code.

use googletest::prelude::*;
use toucanturn_core::{
    config::{
        field::Section,
        reference::SECTIONS, //
    },
    settings, //
};

const PAGE: &str = include_str!("../../../docs/CONFIGURATION.md");

/// Gets the table rows, one for each field, under a heading of the page.
fn rows<'a>(heading: &str) -> Vec<&'a str> {
    let title = format!("### {heading}");
    let after_title = PAGE.lines().skip_while(|line| *line != title).skip(1);
    let section = after_title.take_while(|line| !line.starts_with('#'));
    section.filter(|line| line.starts_with("| `")).collect()
}

/// Checks that the page lists exactly the fields of a section in order, each with a meaning.
fn check_section(section: &Section) {
    let rows = rows(section.name);
    for (row, field) in rows.iter().zip(section.fields) {
        expect_that!(*row, starts_with(field.row()), "{}", section.name);
        let meaning = row.strip_prefix(&field.row()).unwrap_or_default();
        expect_that!(meaning.len(), gt(10), "{row}: the field has no description");
    }
    expect_that!(rows.len(), eq(section.fields.len()), "{}", section.name);
}

#[gtest]
fn verify_the_reference_page_names_every_field_with_unit_default_and_range() {
    SECTIONS.iter().for_each(check_section);
    settings::reference::SECTIONS.iter().for_each(check_section);
}
