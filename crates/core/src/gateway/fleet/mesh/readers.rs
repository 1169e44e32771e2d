//! Which routers read the registry, and whom the others ask for its state.

use std::net::SocketAddrV4;

use crate::{
    gateway::{
        mesh::{
            Heartbeat,
            Mesh,
            address_hash, //
        },
        reading::ALL_STANDBYS, //
    },
    load::score,
    units::{
        Millis,
        Time, //
    },
};

/// One in so many routers of a data centre reads the registry in normal operation. It forwards
/// changes to all of them, over a link that may be narrow.
const ROUTERS_PER_READER: usize = 64;

impl Mesh {
    /// Returns the heartbeat of the first-ranked reader in the data centre of `target`.
    ///
    /// It reaches all routers of that data centre within a few rounds, because each forwards the
    /// best that it knows. Without it, a router would learn who reads for it only after it has
    /// heard of nearly all others, and would read the registry itself until then.
    pub(super) fn first_reader(
        &self,
        now: Time,
        target: SocketAddrV4,
        forward_timeout: Millis,
    ) -> Option<Heartbeat> {
        let data_center = self.peers.get(&target)?.heartbeat.data_center;
        let others = self
            .peers
            .values()
            .filter(|p| now.since(p.last_heard) < forward_timeout);
        let others = others.map(|p| &p.heartbeat).chain([&self.me]);
        let others = others.filter(|r| r.data_center == data_center && r.address != target);
        let first = others.min_by_key(|r| score(u64::from(data_center), address_hash(r.address)));
        first.filter(|r| r.address != self.me.address).copied()
    }

    /// Tells whether this router is one of those that read the registry for its data centre in
    /// normal operation: the first ones by rendezvous hashing. All routers that know the same fleet
    /// agree on them. If they disagree, there is one reader too many, or a router follows one that
    /// is itself a follower.
    pub fn reads(&self, now: Time) -> bool {
        let (rank, readers) = self.rank(now);
        rank < readers
    }

    /// Returns the number of routers of this data centre that come before this one as readers, and
    /// the number of those that read in normal operation.
    pub fn rank(&self, now: Time) -> (usize, usize) {
        let reader_candidates = self.reader_candidates(now);
        let before = reader_candidates
            .iter()
            .position(|r| r.address == self.me.address);
        (
            before.unwrap_or_default(),
            readers(&reader_candidates).len(),
        )
    }

    /// Returns the router to ask for the registry's state; `None` where this one must read it
    /// itself.
    ///
    /// The first-ranked readers are asked whether they read at the moment or not: one that has just
    /// started, or cannot reach the registry, forwards what it has from another. If routers asked
    /// only those that announce reading, routers that start together would all read for seconds,
    /// because these announcements are old.
    pub fn upstream(&self, now: Time) -> Option<SocketAddrV4> {
        let reader_candidates = self.reader_candidates(now);
        let readers = readers(&reader_candidates);
        if readers.iter().any(|r| r.address == self.me.address) {
            return None;
        }
        // Each router ranks the readers in its own stable order, which divides the followers among
        // the readers and keeps their connections.
        let me = address_hash(self.me.address);
        let first = readers
            .iter()
            .max_by_key(|r| score(me, address_hash(r.address)));
        first.map(|r| r.address)
    }

    /// Returns a router that may know more than the assigned reader: in turn one of those anywhere
    /// that announce that they read the registry, and one of this data centre's standbys; else any.
    ///
    /// A router without the newest configuration cannot open digests that are sealed with it, so it
    /// hears no more of readers or of anybody; then it asks a seed.
    pub fn fallback_upstream(&self, now: Time, draw: u64) -> Option<SocketAddrV4> {
        let usable = || self.live(now).filter(|r| !self.is_avoided(now, r));
        let addresses = |routers: Vec<&Heartbeat>| routers.iter().map(|r| r.address).collect();
        let standbys = self.reader_candidates(now).into_iter().take(ALL_STANDBYS);
        let standbys: Vec<&Heartbeat> = standbys.filter(|r| r.address != self.me.address).collect();
        let mut found: Vec<SocketAddrV4> = addresses(usable().filter(|r| r.reads).collect());
        if found.is_empty() || !draw.is_multiple_of(2) {
            found = if standbys.is_empty() {
                found
            } else {
                addresses(standbys)
            };
        }
        if found.is_empty() {
            found = addresses(usable().collect());
        }
        if found.is_empty() {
            found.clone_from(&self.seeds);
        }
        let pick = (draw / 2).checked_rem(found.len() as u64)?;
        found.get(usize::try_from(pick).ok()?).copied()
    }

    /// Excludes a router as a reader for `pause`, because it did not answer or its answer was too
    /// old. Meanwhile another router of the data centre reads: all that asked the same one find out
    /// within a second.
    pub fn avoid(&mut self, now: Time, address: SocketAddrV4, pause: Millis) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.avoided_until = now + pause;
        }
    }

    /// Lists the routers of this data centre that are alive and not avoided, including this one, in
    /// their order as readers.
    fn reader_candidates(&self, now: Time) -> Vec<&Heartbeat> {
        let data_center = self.me.data_center;
        let local = self.live(now).chain([&self.me]);
        let local = local.filter(|r| r.data_center == data_center && !self.is_avoided(now, r));
        let mut local: Vec<&Heartbeat> = local.collect();
        local.sort_by_key(|r| score(u64::from(data_center), address_hash(r.address)));
        local
    }

    fn is_avoided(&self, now: Time, heartbeat: &Heartbeat) -> bool {
        let peer = self.peers.get(&heartbeat.address);
        peer.is_some_and(|p| now < p.avoided_until)
    }
}

/// Returns the routers of a data centre that read the registry, from all of them in their order.
fn readers<'a, 'b>(reader_candidates: &'a [&'b Heartbeat]) -> &'a [&'b Heartbeat] {
    let count = reader_candidates.len().div_ceil(ROUTERS_PER_READER);
    &reader_candidates[..count]
}
