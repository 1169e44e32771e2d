//! A published fleet as the lease sees it: who counts, and how many are enough.

use std::net::SocketAddr;

use indexmap::IndexSet;

use crate::{
    arena::RouterKey,
    config::Config,
    ids::{
        Tag,
        rendezvous, //
    },
    units::Revision,
};

/// `Member` is one router of a published fleet. A name that moves to another address is another
/// member: both processes may be up for a while, and each would count as a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// Tag of its name.
    pub tag: Tag,
    /// Where peers reach it.
    pub address: SocketAddr,
}

/// `Fleet` is the published fleet of one epoch.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Revision of the list.
    pub epoch: Revision,
    /// Its members.
    pub members: IndexSet<Member>,
}

impl Fleet {
    /// Takes the fleet out of a configuration.
    pub fn of(config: &Config) -> Self {
        let members = members(config).map(|(_, member)| member).collect();
        Self {
            epoch: config.epoch,
            members,
        }
    }

    /// Gets the least number of members that is a majority.
    pub fn quorum(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Tells whether `voters` hold a majority.
    pub fn won<'a>(&self, voters: impl Iterator<Item = &'a Member>) -> bool {
        !self.members.is_empty()
            && voters.filter(|v| self.members.contains(*v)).count() >= self.quorum()
    }

    /// Tells whether every majority of this fleet shares a member with every majority of `other`.
    /// A publish that adds or takes out one member keeps this (Ongaro, 2014, section 4.1).
    pub fn overlaps(&self, other: &Self) -> bool {
        let added = other.members.iter().filter(|m| !self.members.contains(*m));
        self.quorum() + other.quorum() > self.members.len() + added.count()
    }

    /// Gets the member with the highest rendezvous score, as [`Config::home`] does.
    pub fn home(&self, item: u64) -> Option<Tag> {
        let tags = self.members.iter().map(|m| m.tag);
        tags.max_by_key(|tag| (rendezvous(item, *tag), *tag))
    }
}

/// Gets a router of a configuration.
pub(super) fn member(config: &Config, key: RouterKey) -> Option<Member> {
    let router = config.fleet.get(key)?;
    Some(Member {
        tag: router.tag,
        address: router.peer_address,
    })
}

/// Lists the routers of a configuration.
pub(super) fn members(config: &Config) -> impl Iterator<Item = (RouterKey, Member)> {
    let keys = config.fleet.iter().map(|(key, _)| key);
    keys.filter_map(|key| Some((key, member(config, key)?)))
}
