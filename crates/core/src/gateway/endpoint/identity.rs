//! Whether the process that answers at an endpoint's address is the one that its entry describes.
//!
//! An endpoint may restart under its name with other software. A connection does not survive that, and the new process
//! has written its entry before it answers.

use crate::{
    gateway::{
        endpoint::Endpoint,
        origin::Build, //
    },
    ids::Tag,
    units::Time, //
};

/// `Incarnation` is the process that an endpoint's entry describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Incarnation {
    /// Tag of its name and start.
    pub life: Tag,
    /// Version of its software.
    pub build: Build,
}

/// `Identity` is what connections to an endpoint show of its process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Identity {
    /// When a connection last broke or could not be opened.
    broke_at: Option<Time>,
    /// When the first connection since then was opened on which it has answered.
    reopened_at: Option<Time>,
}

impl Endpoint {
    /// Notes that a connection to it has broken or could not be opened.
    pub fn record_break(&mut self, now: Time) {
        self.identity = Identity {
            broke_at: Some(now),
            reopened_at: None,
        };
    }

    /// Notes that it has answered on a connection that was opened at `opened`.
    pub fn record_answer_on(&mut self, opened: Time) {
        let identity = &mut self.identity;
        if identity.broke_at.is_some_and(|broke| opened > broke) {
            identity.reopened_at.get_or_insert(opened);
        }
    }

    /// Tells whether another process may have taken its place since its entry was confirmed; `read` is the send time of
    /// the newest registry read.
    ///
    /// A read alone confirms nothing: it may have come between the end of one process and the start of the next.
    pub fn may_have_restarted(&self, read: Option<Time>) -> bool {
        let Identity {
            broke_at,
            reopened_at,
        } = self.identity;
        broke_at.is_some() && (reopened_at.is_none() || reopened_at >= read)
    }

    /// Tells whether its entry describes the process at the other end of a connection that was opened at `opened`.
    pub fn is_described(&self, read: Option<Time>, opened: Time) -> bool {
        read > Some(opened) || !self.may_have_restarted(read)
    }
}
