//! The bounds that a gateway keeps, in the product's own terms.

use crate::{
    gateway::{
        budget::Policy,
        quarantine,
        reading::ReadTiming,
        warmup, //
    },
    units::{
        Millis,
        Permille, //
    },
};

/// `Bounds` is what the place where it runs asks of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Greatest age of the newest proof on which keys, and the routes with them, are acted on.
    pub keys: Millis,
    /// The same for routes once the registry has said that it holds something newer.
    pub routes: Millis,
    /// Greatest age of the newest sign that an endpoint stays on which it gets a request.
    pub staying: Millis,
    /// Greatest age of the newest proof on which endpoints get requests; `None` where data centres are not evacuated.
    pub evacuation: Option<Millis>,
    /// Time between reads of the registry.
    pub read_every: Millis,
    /// Time without an answer of the registry from which on a new one means that it was away. Copies that
    /// come by a peer are old in calm times, too; with less, entries that leave would be taken for
    /// lapsed, and used on.
    pub away: Millis,
    /// How long an entry that lapsed while the registry was away is still used after its return.
    pub lapse: Millis,
    /// Greatest multiple of the mean load that an endpoint may carry in calm times.
    pub skew: Permille,
    /// Bounds of repeats.
    pub retry: Policy,
    /// How many requests a cold endpoint may get.
    pub warmup: warmup::Policy,
    /// For how long requests that crash endpoints are held back.
    pub hold: quarantine::Policy,
}

impl Bounds {
    /// Gets how the registry is read to keep them.
    pub fn pace(&self) -> ReadTiming {
        ReadTiming {
            interval: self.read_every,
            validity: self.routes.min(self.keys),
        }
    }
}
