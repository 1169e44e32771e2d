//! Time bounds and policies of a gateway, as its settings define them.

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

/// `Bounds` is the time bounds and policies that a gateway follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Greatest age of the last registry read up to which API keys and routes are used.
    pub keys: Millis,
    /// Greatest age of the last registry read up to which routes are used while the registry is
    /// known to hold newer state.
    pub routes: Millis,
    /// Greatest age of the last confirmation that an endpoint is not leaving up to which it gets
    /// requests.
    pub max_confirmation_age: Millis,
    /// Greatest age of the last registry read up to which endpoints get requests; `None` if data
    /// centres are never evacuated.
    pub evacuation: Option<Millis>,
    /// Time between registry reads.
    pub read_interval: Millis,
    /// Time without an answer of the registry after which the next answer ends an outage. It must
    /// exceed the normal age of the copies that come from peers: otherwise, entries of endpoints
    /// that leave would be taken for entries that expired during an outage, and would stay in use.
    pub outage_threshold: Millis,
    /// How long after the end of an outage an entry that disappeared during it is still used.
    pub lapse_grace: Millis,
    /// Greatest allowed load of an endpoint without faults or changes in the fleet, as a multiple of
    /// the mean load.
    pub skew: Permille,
    /// Limits of retries.
    pub retry: Policy,
    /// How many requests a cold endpoint may get.
    pub warmup: warmup::Policy,
    /// How long requests that crash endpoints are held back.
    pub hold: quarantine::Policy,
}

impl Bounds {
    /// Gets the read interval that these bounds need, and the age up to which a read is useful.
    pub fn pace(&self) -> ReadTiming {
        ReadTiming {
            interval: self.read_interval,
            validity: self.routes.min(self.keys),
        }
    }
}
