//! Reading the operator's files.

use std::{
    fs::File,
    io::Read,
    path::Path, //
};

use snafu::ResultExt;

use crate::errors::{
    ReadSnafu,
    Result,
    TooLongSnafu, //
};

/// Most bytes of a file; above what any check takes, so that the check itself says what is too
/// long, and below what a device without end would fill.
const MOST: u64 = 256 << 20;

/// Reads a whole file.
pub(crate) fn read(path: &Path) -> Result<Vec<u8>> {
    let file = File::open(path).context(ReadSnafu { path })?;
    let mut out = Vec::new();
    let length = file.take(MOST + 1).read_to_end(&mut out);
    if length.context(ReadSnafu { path })? as u64 > MOST {
        return TooLongSnafu { path, most: MOST }.fail();
    }
    Ok(out)
}
