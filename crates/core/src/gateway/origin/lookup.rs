//! What a router knows of the origin of a stream that is taken up, and what it answers a peer.

use crate::{
    gateway::{
        Gateway, Ticket,
        incoming_request::IncomingRequest,
        origin::{
            Build,
            MAX_MIXED_SERVICES,
            Origin,
            StreamKey, //
        },
    },
    units::{
        Millis,
        Time, //
    },
};

/// Age of the last registry read up to which this router knows what versions serve without its peers.
const MAX_LONE_PROOF_AGE: Millis = Millis(1500);
/// Time after a restart until each peer that vouches for its versions has read a registry that is as new as the one
/// that this router began with, and has stated it.
const VOUCH_DELAY: Millis = Millis(2000);
/// Time since the last digest of a peer within which peers would have stated a second version. Each
/// router is sent about two in a round.
const MAX_PEER_SILENCE: Millis = Millis(1000);

/// `Lookup` is what a router knows of the origin of a request's stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// The origin is known, or can't be found out.
    Found(Origin),
    /// Peers may know it.
    Ask(StreamKey),
}

/// `PeerKnowledge` is what a router answers a peer that asks for a stream's origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerKnowledge {
    /// Version that began the stream, if the router knows it.
    pub build: Option<Build>,
    /// Whether the router knows that one version alone has served since before the stream began.
    pub only_build: bool,
}

/// Combines what peers have answered, of which none knows the stream itself.
pub fn without_record(answers: &[PeerKnowledge]) -> Origin {
    let agreed = !answers.is_empty() && answers.iter().all(|a| a.only_build);
    if agreed {
        Origin::OnlyBuild
    } else {
        Origin::Unknown
    }
}

impl Gateway {
    /// Tells whether this router would know of a second version.
    ///
    /// One that is cut off from the registry and from its peers still reaches endpoints for a while.
    fn knows_builds(&self, now: Time) -> bool {
        let alone = !self.expects_peers;
        let told = now.since(self.heard_peer_at) < MAX_PEER_SILENCE;
        let read = self.proof.holds(now, MAX_LONE_PROOF_AGE);
        !self.doubts_versions(now) && (alone || told || read)
    }

    /// Tells whether streams may go on that a version has begun of which this router never knew: one that left before
    /// its restart. The registry does not tell when it last listed a version.
    pub fn doubts_versions(&self, now: Time) -> bool {
        self.restarted_at
            .is_some_and(|at| now.since(at) < self.stream_life)
    }

    /// Tells whether this router knows of each version that streams may be of, and its digests state all services that
    /// have several.
    pub fn vouches_for_versions(&self, now: Time) -> bool {
        !self.doubts_versions(now)
            && self.proof.holds(now, MAX_LONE_PROOF_AGE)
            && self.all_mixed().count() <= MAX_MIXED_SERVICES
    }

    /// Notes that a digest of a peer with the same configuration in force has arrived, whether the peer vouches for its
    /// versions, and which services have several of them.
    ///
    /// A restarted router relies on a peer that vouches. It cannot tell when what the peer states ends, so it keeps that
    /// for the life of a stream.
    pub fn heard_peer(&mut self, now: Time, vouches: bool, mixed: &[u32]) {
        self.heard_peer_at = now;
        let settles = |at: Time| vouches && now.since(at) >= VOUCH_DELAY;
        if !self.restarted_at.is_some_and(settles) {
            return;
        }
        self.restarted_at = None;
        let until = now + self.stream_life;
        let names = self.catalog.iter().flat_map(|c| c.names_at(mixed));
        self.inherited_mixed.extend(names.map(|name| (name, until)));
    }

    /// Looks for the origin of the stream that a request takes up.
    pub fn look_up_origin(
        &self,
        now: Time,
        ticket: &Ticket,
        incoming_request: &IncomingRequest,
    ) -> Lookup {
        if !ticket.route.kind.streams() || !incoming_request.takes_up_stream() {
            return Lookup::Found(Origin::New);
        }
        let key = incoming_request.resumes.as_ref();
        let key = key.map(|id| Self::stream_key(ticket, id));
        if let Some(record) = key.and_then(|key| self.streams.get(now, key)) {
            return Lookup::Found(Origin::Build(record.build));
        }
        let mixed = self.is_mixed(now, &ticket.service);
        match key {
            _ if !mixed && self.knows_builds(now) => Lookup::Found(Origin::OnlyBuild),
            Some(key) => Lookup::Ask(key),
            None if mixed => Lookup::Found(Origin::Unknown),
            // Peers may know that one version alone has served.
            None => Lookup::Ask(Self::stream_key(ticket, b"")),
        }
    }

    /// Answers a peer that asks for a stream's origin.
    pub fn knowledge_of(&self, now: Time, key: StreamKey, service: &[u8]) -> PeerKnowledge {
        PeerKnowledge {
            build: self.streams.get(now, key).map(|r| r.build),
            only_build: self.knows_builds(now) && !self.is_mixed(now, service),
        }
    }
}
