//! Parses the keys of published entries.

use crate::ids::Id;

/// `Key` is the key of one published entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Key {
    /// `policy`.
    Policy,
    /// `fleet`.
    Fleet,
    /// `models/NAME`.
    Model(Id),
    /// `services/NAME`.
    Service(Id),
    /// `endpoints/NAME`.
    Endpoint(Id),
    /// `workspaces/NAME`.
    Workspace(Id),
}

/// `Error` is returned for a text that is not a valid key.
#[derive(Debug, snafu::Snafu, Clone, Copy, PartialEq, Eq)]
#[snafu(display(
    "`policy`, `fleet`, or `models/`, `services/`, `endpoints/` or `workspaces/` and a name \
     `[a-z0-9][a-z0-9._-]{{0,62}}`"
))]
pub struct Error;

impl TryFrom<&[u8]> for Key {
    type Error = Error;

    fn try_from(raw: &[u8]) -> Result<Self, Error> {
        let text = std::str::from_utf8(raw).map_err(|_| Error)?;
        match text.split_once('/') {
            None if text == "policy" => Ok(Key::Policy),
            None if text == "fleet" => Ok(Key::Fleet),
            None => Err(Error),
            Some((kind, name)) => {
                let id = Id::try_from(name).map_err(|_| Error)?;
                match kind {
                    "models" => Ok(Key::Model(id)),
                    "services" => Ok(Key::Service(id)),
                    "endpoints" => Ok(Key::Endpoint(id)),
                    "workspaces" => Ok(Key::Workspace(id)),
                    _ => Err(Error),
                }
            }
        }
    }
}
