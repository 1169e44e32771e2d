//! Faults of a document, collected so that operators see all of them at once.

use std::fmt;

/// Most faults that are kept of one check. Further ones are only counted, so that an invalid value
/// of a megabyte does not cause a log line of several megabytes.
pub const MAX_FAULTS: usize = 100;

/// `Fault` is one fault of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// JSON path of the field, such as `endpoints/eng-1.models[0]`.
    pub path: String,
    /// The value found, cut if long; secrets are only described.
    pub found: String,
    /// What was expected.
    pub expected: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            path,
            found,
            expected,
        } = self;
        write!(f, "{path}: found {found}, expected {expected}")
    }
}

/// `Faults` collects the faults that a check finds.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    list: Vec<Fault>,
    more: usize,
}

impl Faults {
    /// Adds a fault; only counts it if there are [`MAX_FAULTS`] already.
    pub(crate) fn add(
        &mut self,
        path: impl Into<String>,
        found: impl fmt::Display,
        expected: impl fmt::Display,
    ) {
        if self.list.len() >= MAX_FAULTS {
            self.more += 1;
            return;
        }
        self.list.push(Fault {
            path: path.into(),
            found: found.to_string(),
            expected: expected.to_string(),
        });
    }

    /// Returns `value` if there are no faults, else all faults.
    pub(crate) fn or<T>(mut self, value: T) -> Result<T, Vec<Fault>> {
        if self.list.is_empty() {
            return Ok(value);
        }
        if self.more > 0 {
            self.list.push(Fault {
                path: "...".to_owned(),
                found: format!("{} more faults", self.more),
                expected: "none".to_owned(),
            });
        }
        Err(self.list)
    }
}
