//! JSON of callers, with errors that name the field.

use serde::Deserialize;
use serde_path_to_error::{
    Error,
    Track, //
};

/// Reads one JSON value that takes up the whole of `body`.
///
/// # Errors
///
/// Fails with the path of the field that is wrong and what was expected there.
pub(super) fn read<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Error<serde_json::Error>> {
    let mut json = serde_json::Deserializer::from_slice(body);
    let value = serde_path_to_error::deserialize(&mut json)?;
    json.end().map_err(|e| Error::new(Track::new().path(), e))?;
    Ok(value)
}
