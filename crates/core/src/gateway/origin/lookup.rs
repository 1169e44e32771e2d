//! What a router knows of the origin of a stream that is taken up, and what it answers a peer.

use crate::{
    gateway::{
        Gateway, Ticket,
        incoming_request::IncomingRequest,
        origin::{
            Build,
            Origin,
            StreamKey, //
        },
    },
    units::{
        Millis,
        Time, //
    },
};

/// Time after a restart in which callers come back whose streams the earlier process had begun, at a
/// version that may have left meanwhile.
const RESTART_DOUBT: Millis = Millis(3000);
/// Age of the last registry read up to which this router knows what versions serve without its peers.
const MAX_LONE_PROOF_AGE: Millis = Millis(1500);
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
    /// After a restart, another version may have left just before. Its endpoints are replaced as they
    /// leave, so those that are listed then are cold.
    fn knows_builds(&self, now: Time, service: &[u8]) -> bool {
        let alone = !self.expects_peers;
        let told = now.since(self.heard_peer_at) < MAX_PEER_SILENCE;
        let read = self.proof.holds(now, MAX_LONE_PROOF_AGE);
        let replaced = || {
            let mut known = self.registry.known(service);
            known.any(|(_, e)| e.cold(now) > Millis(0))
        };
        let settled = now >= self.doubtful_until || !replaced();
        settled && (alone || told || read)
    }

    /// Notes that a digest of a peer with the same configuration in force has arrived.
    pub fn heard_peer(&mut self, now: Time) {
        self.heard_peer_at = now;
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
            _ if !mixed && self.knows_builds(now, &ticket.service) => {
                Lookup::Found(Origin::OnlyBuild)
            }
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
            only_build: self.knows_builds(now, service) && !self.is_mixed(now, service),
        }
    }

    /// Notes that this router may have begun streams before a restart.
    pub(in crate::gateway) fn doubt_origins(&mut self, now: Time) {
        self.doubtful_until = now + RESTART_DOUBT;
    }
}
