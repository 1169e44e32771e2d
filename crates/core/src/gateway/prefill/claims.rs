//! What keepers have noted for this router's prompts, from the query to the first event.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::{
    gateway::prefill::{
        Note,
        Reader,
        ledger::NOTE_TTL, //
    },
    units::{
        Millis,
        Time, //
    },
};

/// Limit of the prompts for which a claim is kept; beyond it the oldest is dropped, and its note ends by itself.
const MAX_CLAIMS: usize = 1024;
/// Limit of the notes that are not yet taken; beyond it the oldest is dropped: one that reserves is missing, and
/// one that releases leaves its note to end by itself.
pub const MAX_QUEUED_NOTES: usize = 256;

/// `Owner` names an admitted request of this router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Owner(pub(in crate::gateway) u64);

/// `Noted` is whether a keeper has noted a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Noted {
    /// It hasn't.
    No,
    /// It was asked to, and has not answered.
    Maybe,
    /// It has, or was told to.
    Yes,
}

/// `Claim` is a prompt's claim on the time of an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claim {
    pub(super) at: Time,
    pub(super) nonce: u64,
    pub(super) reader: Reader,
    /// Longest wait there at which the prompt stays.
    pub(super) bears: Millis,
    /// Whether the keeper expects no longer one; `None` if it has not answered.
    pub(super) fits: Option<bool>,
    pub(super) noted: Noted,
}

impl Claim {
    fn released(&self) -> Note {
        Note::Released {
            nonce: self.nonce,
            endpoint: self.reader.tag,
        }
    }
}

/// `Claims` holds the claims of this router's prompts, and the notes that their keepers have not been sent.
#[derive(Clone, Debug, Default)]
pub(super) struct Claims {
    claims: IndexMap<Owner, Claim>,
    notes: VecDeque<Note>,
}

impl Claims {
    pub(super) fn get(&self, owner: Owner) -> Option<&Claim> {
        self.claims.get(&owner)
    }

    pub(super) fn get_mut(&mut self, owner: Owner) -> Option<&mut Claim> {
        self.claims.get_mut(&owner)
    }

    /// Keeps a claim in the place of the one before it, which is released.
    pub(super) fn put(&mut self, owner: Owner, claim: Claim) {
        self.release(owner);
        let is_over = |c: &Claim| claim.at.since(c.at) >= NOTE_TTL;
        while self.claims.len() >= MAX_CLAIMS
            || self.claims.first().is_some_and(|(_, c)| is_over(c))
        {
            self.claims.shift_remove_index(0);
        }
        self.claims.insert(owner, claim);
    }

    /// Ends a claim, and releases what may be noted for it.
    pub(super) fn release(&mut self, owner: Owner) {
        let claim = self.claims.shift_remove(&owner);
        if let Some(claim) = claim.filter(|c| c.noted != Noted::No) {
            self.queue(claim.released());
        }
    }

    pub(super) fn queue(&mut self, note: Note) {
        if self.notes.len() >= MAX_QUEUED_NOTES {
            self.notes.pop_front();
        }
        self.notes.push_back(note);
    }

    pub(super) fn take_notes(&mut self) -> Vec<Note> {
        self.notes.drain(..).collect()
    }
}
