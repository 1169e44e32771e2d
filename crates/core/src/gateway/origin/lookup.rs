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
    units::Time,
};

/// `Lookup` is what a router knows of the origin of a request's stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// The origin is known, or can't be found out.
    Found(Origin),
    /// Peers may have a record of it.
    Ask(StreamKey),
    /// The registry may prove that one version alone has served, and peers may have a record of it.
    Prove(StreamKey),
}

/// `Versions` is what is proved of the versions that may have begun a stream of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Versions {
    /// Nothing.
    #[default]
    Unproven,
    /// This one alone has served.
    Only(Build),
    /// Several have served.
    Several,
}

/// `PeerKnowledge` is what a router answers a peer that asks for a stream's origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerKnowledge {
    /// Version that began the stream, if the router knows it.
    pub build: Option<Build>,
    /// Versions that may have begun it otherwise.
    pub versions: Versions,
}

impl Gateway {
    /// Tells which versions may have begun a stream of a service before `before`.
    ///
    /// Only a registry read that was sent after `before` proves anything: a version may have joined since an earlier
    /// one, and have begun the stream through another router.
    pub fn versions_before(&self, now: Time, before: Time, service: &[u8]) -> Versions {
        if self.is_mixed(now, service) {
            return Versions::Several;
        }
        let has_read = self.proof.read().is_some_and(|read| read > before);
        if !has_read || self.doubts_versions(now) {
            return Versions::Unproven;
        }
        let mut builds = self.registry.builds().builds(service);
        let only = builds.next().map(|(build, _, _)| build);
        only.map_or(Versions::Unproven, Versions::Only)
    }

    /// Tells whether a version that is proved to have served alone must have begun the stream of a request: this router
    /// lists no other one, and the route has had no other service.
    pub fn must_have_begun(&self, now: Time, ticket: &Ticket, build: Build) -> bool {
        let mut builds = self.registry.builds().builds(&ticket.service);
        !self.may_be_of_several(now, ticket) && builds.all(|(listed, _, _)| listed == build)
    }

    /// Tells whether several versions may have begun the stream of a request.
    pub(super) fn may_be_of_several(&self, now: Time, ticket: &Ticket) -> bool {
        self.is_mixed(now, &ticket.service) || self.has_several_services(now, &ticket.route)
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
            return Lookup::Found(record.build.into());
        }
        let mixed = self.may_be_of_several(now, ticket);
        match key {
            Some(key) if mixed => Lookup::Ask(key),
            None if mixed => Lookup::Found(Origin::Unknown),
            key => Lookup::Prove(key.unwrap_or_else(|| Self::stream_key(ticket, b""))),
        }
    }

    /// Answers a peer that asked at `asked` for a stream's origin.
    pub fn knowledge_of(
        &self,
        now: Time,
        asked: Time,
        key: StreamKey,
        service: &[u8],
    ) -> PeerKnowledge {
        PeerKnowledge {
            // An unknown version is told as well: the asker must not take another one for proved.
            build: self.streams.get(now, key).map(|r| r.build),
            versions: self.versions_before(now, asked, service),
        }
    }
}
