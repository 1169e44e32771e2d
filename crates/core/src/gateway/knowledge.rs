//! What a gateway knows: what the registry says and how old that is, other routers, and loads that they
//! know.

use std::sync::Arc;

use bytes::Bytes;

use crate::{
    arena::EndpointKey,
    gateway::{
        Gateway,
        catalog::Catalog,
        endpoint::{
            self,
            Entry, //
        },
        mesh::{
            self,
            Sample, //
        },
        quarantine::Record,
        warmup, //
    },
    units::{
        Millis,
        Time, //
    },
};

/// Time for which the greatest number of routers that was heard of divides the fleet's extra retries.
/// Cuts between data centres last seconds; routers that are gone for good cost the others a part of
/// the retries for so long.
const MOST_KEPT: Millis = Millis(30_000);
/// Time between two ticks that shows that the process was suspended: ticks are 100 ms apart, and a busy
/// machine delays one by two or three of them.
const PAUSE: Millis = Millis(400);
/// Time within which what had come during a suspension is read.
const SETTLE: Millis = Millis(100);
/// Least requests in progress at one endpoint, however many routers there are.
const MIN_SHARE: u32 = 2;

/// `Change` is one thing that the registry says.
#[derive(Clone, Debug)]
pub enum Change {
    /// The published configuration.
    Catalog(Box<Catalog>),
    /// An endpoint's entry, new or changed.
    Entry(Entry),
    /// An endpoint's entry is gone.
    Removed(Bytes),
    /// An endpoint's entry can't be understood: somebody else has written there, and it names nobody.
    Unreadable(Bytes),
    /// The endpoints of a data centre are to get nothing more.
    Evacuated(Bytes),
    /// They may get requests again.
    Restored(Bytes),
}

/// `News` is what became of a change, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// A configuration is in force.
    Applied {
        /// Its version.
        version: u64,
    },
    /// A configuration was refused, as a newer one is in force.
    Older {
        /// Its version.
        version: u64,
        /// The version in force.
        held: u64,
    },
    /// An endpoint changed its state.
    Endpoint {
        /// Its name.
        id: Bytes,
        /// The new state.
        state: endpoint::State,
    },
    /// The endpoints of a data centre get nothing more.
    Evacuated {
        /// Its name.
        data_center: Bytes,
    },
    /// They may get requests again.
    Restored {
        /// Its name.
        data_center: Bytes,
    },
}

impl Gateway {
    /// Notes a read of the registry that was sent at `sent` and answered with the newest state;
    /// what it has changed follows. After a long time without an answer, the registry counts as back.
    ///
    /// That time ends with the sending: of a read that itself took long, the registry was there.
    pub fn proved(&mut self, now: Time, sent: Time) {
        let answered = self.proof.answered();
        if answered.is_some_and(|last| sent.since(last) >= self.bounds.away) {
            self.registry.registry_recovered(now);
        }
        self.proof.renew(sent);
    }

    /// Notes that the registry told of something newer than what is known, in answer to a call that was
    /// sent at `sent`.
    pub fn outdated(&mut self, sent: Time) {
        self.proof.outdated(sent);
    }

    /// Follows what one read of the registry has changed.
    pub fn follow(&mut self, now: Time, changes: Vec<Change>) -> Vec<News> {
        let mut news = Vec::new();
        let mut removed = Vec::new();
        // What the first read lists has been there before this router.
        let since = (!self.registry.is_empty()).then_some(now);
        for change in changes {
            match change {
                Change::Catalog(catalog) => self.publish(*catalog, &mut news),
                Change::Entry(entry) => {
                    // It was there again before this read ended.
                    removed.retain(|id| *id != entry.id);
                    self.registry.put(now, since, entry, &mut news);
                }
                Change::Removed(id) => removed.push(id),
                Change::Unreadable(id) => self.registry.discard(&id, &mut news),
                Change::Evacuated(name) => self.registry.evacuate(now, name, &mut news),
                Change::Restored(name) => {
                    let cold = cold_time(self.catalog.as_ref());
                    self.registry.restore(now, &name, cold, &mut news);
                }
            }
        }
        let grace = self.bounds.lapse;
        self.registry.remove(now, &removed, grace, &mut news);
        news
    }

    /// Ends what has waited long enough; called each 100 ms.
    pub fn tick(&mut self, now: Time) -> Vec<News> {
        if now.since(self.ticked) >= PAUSE {
            self.woke = now;
        }
        self.ticked = now;
        let mut news = Vec::new();
        self.registry.expire(now, self.bounds.lapse, &mut news);
        let liveness_since = |life, since| self.registry.liveness_since(life, since);
        self.quarantine
            .expire(now, self.bounds.hold, liveness_since);
        news
    }

    fn publish(&mut self, catalog: Catalog, news: &mut Vec<News>) {
        let version = catalog.version;
        match &self.catalog {
            Some(held) if held.version > version => news.push(News::Older {
                version,
                held: held.version,
            }),
            Some(held) if held.version == version => {}
            _ => {
                self.hot_spots
                    .retain(|name, _| catalog.service(name).is_some());
                // They name services by their indices in the configuration before.
                self.samples.clear();
                self.catalog = Some(Arc::new(catalog));
                news.push(News::Applied { version });
            }
        }
    }

    /// Picks what a digest tells of endpoints: their newest sights, which make room for records of requests that were in
    /// progress at endpoints that broke off.
    pub fn observed(&mut self, now: Time, draw: u64) -> (Vec<mesh::EndpointReport>, Vec<Record>) {
        let records = self.quarantine.records(now);
        let room = mesh::MAX_REPORTS.saturating_sub(mesh::displaced_reports(&records));
        (self.registry.reports(now, draw, room), records)
    }

    /// Notes a peer's records of requests that were in progress at endpoints that broke off.
    pub fn crashed(&mut self, now: Time, records: &[Record]) {
        self.quarantine.heard(now, records);
    }

    /// Notes what a peer knows of endpoints.
    ///
    /// Their ages count from the sending, so what waited in a socket while this process was suspended looks
    /// new. An old load does little harm; a confirmation is passed over until all that waited is read, or
    /// the endpoint might have left as long ago as the suspension was long.
    pub fn record_peer_report(&mut self, now: Time, reports: &[mesh::EndpointReport]) {
        let runs = now.since(self.ticked) < PAUSE;
        let timely = runs && now.since(self.woke) >= SETTLE;
        for report in reports {
            self.registry.record_peer_report(now, *report, timely);
        }
    }

    /// Notes a request for a shared part, and keeps it for the next digest.
    pub(super) fn note_request(&mut self, now: Time, service: &Bytes, part: u32, work: u32) {
        let spots = self.hot_spots.entry(service.clone()).or_default();
        spots.note(now, part, work);
        let index = self.catalog.as_ref().and_then(|c| c.index_of(service));
        let Some(service) = index else {
            return;
        };
        if self.samples.len() == mesh::MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample {
            service,
            part,
            work,
        });
    }

    /// Takes the newest requests that peers have not been told of.
    pub fn samples(&mut self) -> Vec<Sample> {
        self.samples.drain(..).collect()
    }

    /// Notes requests that a peer placed under the configuration in force here.
    pub fn sampled(&mut self, now: Time, samples: &[Sample]) {
        for sample in samples {
            let name = self
                .catalog
                .as_ref()
                .and_then(|c| c.name_at(sample.service));
            if let Some(name) = name.cloned() {
                let spots = self.hot_spots.entry(name).or_default();
                spots.note(now, sample.part, sample.work);
            }
        }
    }

    /// Follows the number of routers among which the fleet's retries and the endpoints' connections
    /// are divided.
    ///
    /// Retries are divided among the most that were heard of lately: those that are not heard may be
    /// cut off, and use their part.
    pub fn fleet(&mut self, now: Time, routers: u32) {
        self.routers = routers.max(1);
        let (most, heard) = self.most;
        if self.routers >= most || now.since(heard) >= MOST_KEPT {
            self.most = (self.routers, now);
        }
        self.divide();
    }

    /// Follows which routers there are, among whom requests to cold endpoints are divided.
    pub fn follow_fleet(&mut self, now: Time, fleet: &warmup::Fleet) {
        let bounded = |(key, endpoint): (EndpointKey, &endpoint::Endpoint)| {
            let bound = self.cold_bound(&endpoint.entry.service)?;
            Some(warmup::ColdEndpoint {
                key,
                seed: endpoint.seed,
                bound,
            })
        };
        // Few of many endpoints are cold, and this is asked several times a second.
        let cold = self.registry.usable();
        let cold = cold.filter(|(_, e)| e.cold(now) > Millis(0));
        let cold: Vec<warmup::ColdEndpoint> = cold.filter_map(bounded).collect();
        self.warmup.follow(now, fleet, &cold);
    }

    /// Gets the requests that a cold endpoint of a service may get within a second; `None` where any number will do.
    pub(super) fn cold_bound(&self, service: &[u8]) -> Option<u32> {
        let catalog = self.catalog.as_ref()?;
        let rate = catalog.service(service)?.warmup?;
        Some(rate.bound(&self.bounds.warmup))
    }

    /// Sets this router's part of the fleet's extra repeats. Until another router was heard of it stays
    /// the one that the settings give to a fleet of unknown size.
    pub(super) fn divide(&mut self) {
        if self.most.0 > 1 {
            self.bounds.retry.extra = self.bounds.retry.fleet / self.most.0;
        }
    }

    /// Gets the requests that this router may have in progress at one endpoint of a service: its
    /// part of the connections that the endpoint takes. Beyond them it resets new ones, and what was
    /// sent there may or may not have run.
    pub(super) fn share(&self, service: &[u8]) -> u32 {
        let catalog = self.catalog.as_ref();
        let service = catalog.and_then(|c| c.service(service));
        let all = service.map_or(u32::MAX, |s| s.connections);
        (all / self.routers).max(MIN_SHARE)
    }
}

/// Gets for how long endpoints of a service are cold by a configuration.
pub(super) fn cold_time(catalog: Option<&Arc<Catalog>>) -> impl Fn(&Bytes) -> Millis {
    move |service| {
        let service = catalog.and_then(|c| c.service(service));
        let rate = service.and_then(|s| s.warmup);
        rate.map_or(Millis(0), |r| r.time)
    }
}
