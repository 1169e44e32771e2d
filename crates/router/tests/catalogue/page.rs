//! Reads the tables of a page.

use std::path::Path;

/// Reads a page of docs/.
#[expect(clippy::expect_used, reason = "a test without its page fails")]
pub(crate) fn read(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(name);
    std::fs::read_to_string(path).expect("the page")
}

/// Gets the rows of the first table after `start`, without its head.
pub(crate) fn table(page: &str, start: &str) -> Vec<Vec<String>> {
    let after = page.split_once(start).map_or("", |(_, after)| after);
    let lines = after.lines().skip_while(|l| !l.starts_with('|'));
    let rows = lines.take_while(|l| l.starts_with('|')).skip(2);
    let cells = |row: &str| {
        let inner = row.trim().trim_matches('|');
        inner
            .split('|')
            .map(|cell| cell.trim().to_owned())
            .collect()
    };
    rows.map(cells).collect()
}
