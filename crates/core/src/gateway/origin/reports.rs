//! What routers tell each other of streams and of versions, and for how long it counts.

use bytes::Bytes;

use crate::{
    gateway::{
        Gateway, Ticket,
        endpoint::Incarnation,
        origin::{
            Build,
            Origin,
            STATEMENT_TTL,
            StreamRecord,
            StreamReport, //
        },
    },
    ids::Tag,
    units::{
        Millis,
        Time, //
    },
};

/// Limit of the services in a digest that more than one version serves.
pub const MAX_MIXED_SERVICES: usize = 8;
/// Shortest time for which the version of a stream is remembered, and for which a version that has
/// left still counts, however short the time limits of routes are.
const MIN_STREAM_LIFE: Millis = Millis(60_000);
/// Multiple of the longest time limit of a route that a stream may last, with its caller's tries.
const STREAM_LIFE_FACTOR: u64 = 2;
/// Time after a report of streams within which further ones are expected.
const REPORT_WINDOW: Millis = Millis(1000);
/// Time after a stream's deadline for which its version is remembered.
const DEADLINE_MARGIN: Millis = Millis(1000);

impl Gateway {
    /// Notes that the first event of a request's answer is delivered, which an endpoint of version
    /// `build` has sent, if that is known; `life` is its incarnation. Returns whether peers are to be told.
    pub fn begin_stream(
        &mut self,
        now: Time,
        ticket: &mut Ticket,
        request_id: &[u8],
        (build, life): (Option<Build>, Option<Tag>),
    ) -> bool {
        // A stream that can't be resumed is not taken up either.
        if !ticket.route.kind.repeatable() {
            return false;
        }
        if !matches!(ticket.origin, Origin::Build(_)) {
            ticket.origin = build.map_or(Origin::Unknown, Origin::Build);
            let begun_by = life.zip(build);
            let begun_by = begun_by.map(|(life, build)| Incarnation { life, build });
            ticket.begun = begun_by.map(|incarnation| (incarnation, now));
        }
        let Origin::Build(build) = ticket.origin else {
            return false;
        };
        let key = Self::stream_key(ticket, request_id);
        let told = self.may_be_of_several(now, ticket) || self.lacks_proof(now);
        let report = told && !ticket.from_peer;
        let longest = now + self.stream_life;
        let record = StreamRecord {
            build,
            incarnation: ticket.begun.map(|(incarnation, _)| incarnation),
            began: now,
            until: ticket.deadline.min(longest) + DEADLINE_MARGIN,
            // The router that has handed the request over tells the peers.
            service: Some(ticket.service.clone()).filter(|_| !ticket.from_peer && !report),
        };
        self.streams.insert(key, record);
        if report {
            self.streams.unsent.push(key);
        }
        report
    }

    /// Takes the reports of streams that peers are still to be told of.
    pub fn take_unsent_streams(&mut self, now: Time) -> Vec<StreamReport> {
        let reports = self.streams.take_unsent(now);
        if !reports.is_empty() {
            self.streams_reported_at = Some(now);
        }
        reports
    }

    /// Tells whether this router has told peers of streams lately.
    pub(in crate::gateway) fn reports_streams(&self, now: Time) -> bool {
        self.streams_reported_at
            .is_some_and(|at| now.since(at) < REPORT_WINDOW)
    }

    /// Tells whether peers are still to be told of streams.
    pub fn has_unsent_streams(&self) -> bool {
        !self.streams.unsent.is_empty()
    }

    /// Takes in a peer's reports of streams.
    pub fn record_peer_streams(&mut self, now: Time, reports: &[StreamReport]) {
        for report in reports {
            let record = StreamRecord {
                build: report.build,
                incarnation: None,
                began: now - report.age,
                until: now + Millis(report.left.0.min(self.stream_life.0)),
                service: None,
            };
            self.streams.insert(report.key, record);
        }
    }

    /// Lists services of which this router's registry lists more than one version, or did recently,
    /// by their indices in the configuration; `draw` picks some if there are many.
    pub fn mixed_services(&self, draw: u64) -> Vec<u32> {
        let Some(catalog) = &self.catalog else {
            return Vec::new();
        };
        let mixed = self.all_mixed();
        let mut indices: Vec<u32> = mixed.filter_map(|s| catalog.index_of(s)).collect();
        if indices.len() > MAX_MIXED_SERVICES {
            let shift = draw % indices.len() as u64;
            indices.rotate_left(usize::try_from(shift).unwrap_or_default());
            indices.truncate(MAX_MIXED_SERVICES);
        }
        indices
    }

    /// Lists the services that have several versions by this router's own registry, or by a peer's on which it relies.
    pub(super) fn all_mixed(&self) -> impl Iterator<Item = &Bytes> {
        let builds = self.registry.builds();
        let inherited = self.inherited_mixed.keys();
        let inherited = inherited.filter(|service| !builds.is_mixed(service));
        builds.mixed().chain(inherited)
    }

    /// Takes in of which services a peer's registry lists more than one version; peer and router have
    /// the same configuration in force.
    pub fn record_peer_mixed(&mut self, now: Time, services: &[u32]) {
        let names = self.catalog.iter().flat_map(|c| c.names_at(services));
        self.peers_mixed.extend(names.map(|name| (name, now)));
    }

    /// Tells whether the versions that serve can't be proved at present, so that streams go on by their records only.
    pub(in crate::gateway) fn lacks_proof(&self, now: Time) -> bool {
        self.doubts_versions(now) || !self.proof.holds(now, self.bounds.pace().late())
    }

    /// Expires what has timed out, and queues the streams that peers are to be told of from now on: of services that
    /// now have more than one version, and all while the versions can't be proved.
    pub(in crate::gateway) fn tick_streams(&mut self, now: Time) {
        if now >= self.stream_life_until {
            self.stream_life = self.published_stream_life;
        }
        self.registry.expire_builds(now, self.stream_life);
        self.streams.expire(now);
        let life = self.stream_life;
        self.replaced
            .retain(|_, replaced| now.since(replaced.at) < life);
        self.peers_mixed
            .retain(|_, at| now.since(*at) < STATEMENT_TTL);
        self.inherited_mixed.retain(|_, until| now < *until);
        self.moved_routes.retain(|_, until| now < *until);
        let own = self.all_mixed();
        let stated = self.peers_mixed.keys();
        let mixed: Vec<Bytes> = own.chain(stated).cloned().collect();
        let all = self.lacks_proof(now);
        let new = |service: &Bytes| mixed.contains(service) && !self.reported.contains(service);
        if all || mixed.iter().any(new) {
            self.streams.queue(|service| all || new(service));
        }
        self.reported = mixed;
    }

    /// Sets for how long streams last, by the time limits of the routes.
    pub(in crate::gateway) fn update_stream_life(&mut self, now: Time) {
        let routes = self.catalog.iter().flat_map(|c| c.routes());
        let longest = routes.filter(|r| r.kind.streams()).map(|r| r.limit.0).max();
        let life = longest.unwrap_or(0).saturating_mul(STREAM_LIFE_FACTOR);
        self.published_stream_life = Millis(life).max(MIN_STREAM_LIFE);
        if self.published_stream_life < self.stream_life {
            self.stream_life_until = now + self.stream_life;
        } else {
            self.stream_life = self.published_stream_life;
        }
    }
}
