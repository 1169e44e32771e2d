//! The members of a published fleet, and which sets of them are a quorum.

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

/// `Member` is one router of a published fleet. The same name at another address is another member:
/// both processes may run for a while, and each would vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// Tag of the router's name.
    pub tag: Tag,
    /// Address at which peers reach the router.
    pub address: SocketAddr,
}

/// `Fleet` is the published fleet of one epoch.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Revision of the fleet list.
    pub epoch: Revision,
    /// Routers in the list.
    pub members: IndexSet<Member>,
}

impl Fleet {
    /// Makes the fleet of a configuration.
    pub fn of(config: &Config) -> Self {
        let members = members(config).map(|(_, member)| member).collect();
        Self {
            epoch: config.epoch,
            members,
        }
    }

    /// Gets the number of members of the smallest majority.
    pub fn quorum(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Tells whether `voters` include a majority of the members.
    pub fn has_majority<'a>(&self, voters: impl Iterator<Item = &'a Member>) -> bool {
        !self.members.is_empty()
            && voters.filter(|v| self.members.contains(*v)).count() >= self.quorum()
    }

    /// Tells whether every majority of this fleet shares a member with every majority of `other`.
    /// A change of the list that adds or removes one member keeps this (Ongaro, 2014, section 4.1).
    pub fn quorums_intersect(&self, other: &Self) -> bool {
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
