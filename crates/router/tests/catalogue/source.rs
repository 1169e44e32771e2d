//! The router's own source, for what must or must not stand in it.

use std::path::{
    Path,
    PathBuf, //
};

/// Gets path and text of each source file of the router but one.
pub(crate) fn files(but: &str) -> Vec<(PathBuf, String)> {
    let mut out = Vec::new();
    walk(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"), &mut out);
    out.retain(|(path, _)| !path.ends_with(but));
    out
}

#[expect(clippy::expect_used, reason = "a test without its source fails")]
fn walk(directory: &Path, out: &mut Vec<(PathBuf, String)>) {
    for entry in std::fs::read_dir(directory).expect("a directory") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            walk(&path, out);
        } else {
            let text = std::fs::read_to_string(&path).expect("a source file");
            out.push((path, text));
        }
    }
}
