//! Updates of a gateway's knowledge: changes of the registry and when it was last read, the other
//! routers, and what they report of endpoints and requests.

use std::sync::Arc;

use bytes::Bytes;
use indexmap::IndexMap;

use crate::{
    arena::EndpointKey,
    gateway::{
        Gateway,
        brittle::BrittleEndpoint,
        catalog::Catalog,
        endpoint::{
            self,
            Entry, //
        },
        mesh::{
            self,
            Sample, //
        },
        quarantine::{
            MAX_DIGEST_CRASHES,
            MAX_DIGEST_RECORDS,
            Record, //
        },
        shared_reads::ReadReport,
        warmup, //
    },
    units::{
        Millis,
        Time, //
    },
};

/// Time for which the greatest recent number of routers divides the fleet's extra retries. Network
/// partitions between data centres last seconds; routers that have left for good reduce the others'
/// parts for this long.
const MAX_ROUTERS_TTL: Millis = Millis(30_000);
/// Time between two ticks that shows that the process was suspended. Ticks are 100 ms apart, and a
/// busy machine delays one by two or three of them.
const SUSPENSION_GAP: Millis = Millis(400);
/// Time after a suspension within which the messages that arrived during it are read.
const RESUME_DRAIN_TIME: Millis = Millis(100);
/// Least number of requests that a router may have in progress at one endpoint, however many
/// routers there are.
const MIN_CONNECTION_SHARE: u32 = 2;

/// `Change` is one change of the registry.
#[derive(Clone, Debug)]
pub enum Change {
    /// A configuration was published.
    Catalog(Box<Catalog>),
    /// An endpoint's entry was added or changed.
    Entry(Entry),
    /// An endpoint's entry was removed.
    Removed(Bytes),
    /// An endpoint's entry can't be decoded: another program has written to its key, and the entry
    /// identifies no endpoint.
    Unreadable(Bytes),
    /// A data centre is evacuated: its endpoints get no more requests.
    Evacuated(Bytes),
    /// The evacuation of a data centre has ended: its endpoints may get requests again.
    Restored(Bytes),
}

/// `RegistryEvent` is the effect of a registry change, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryEvent {
    /// A configuration came into force.
    Applied {
        /// Its version.
        version: u64,
    },
    /// A configuration was rejected because a newer one is in force.
    Older {
        /// Its version.
        version: u64,
        /// Version in force.
        held: u64,
    },
    /// The state of an endpoint changed.
    Endpoint {
        /// Its name.
        id: Bytes,
        /// The new state.
        state: endpoint::State,
    },
    /// The time for which an endpoint wanted no requests has ended.
    BackOffEnded {
        /// Its name.
        id: Bytes,
    },
    /// A data centre is evacuated: its endpoints get no more requests.
    Evacuated {
        /// Its name.
        data_center: Bytes,
    },
    /// The evacuation of a data centre has ended: its endpoints may get requests again.
    Restored {
        /// Its name.
        data_center: Bytes,
    },
    /// This router reaches no endpoint of a service.
    Unreached {
        /// Name of the service.
        service: Bytes,
        /// Time since one of its endpoints was last heard from; `None` if none ever was.
        silent: Option<Millis>,
    },
    /// This router reaches an endpoint of a service again.
    Reached {
        /// Name of the service.
        service: Bytes,
        /// Time for which it was not reached.
        after: Millis,
    },
}

/// `DigestContents` is what a digest tells peers of endpoints.
#[derive(Clone, Debug, Default)]
pub struct DigestContents {
    /// States of endpoints.
    pub reports: Vec<mesh::EndpointReport>,
    /// Requests that were in progress at endpoints whose connections broke.
    pub crashes: Vec<Record>,
    /// Endpoints that have asked this router for a back-off.
    pub back_offs: Vec<mesh::BackOffReport>,
    /// Where the first parts of prompts are read.
    pub reads: Vec<ReadReport>,
}

impl Gateway {
    /// Notes a registry read that was sent at `sent` and returned the newest state; the changes
    /// that it found follow. If the registry had not answered for long before `sent`, it counts as
    /// returned from an outage.
    ///
    /// The time is counted up to the sending, because a read that itself took long shows no outage.
    pub fn record_registry_read(&mut self, now: Time, sent: Time) {
        let answered = self.proof.answered();
        if answered.is_some_and(|last| sent.since(last) >= self.bounds.outage_threshold) {
            self.registry.registry_recovered(now);
        }
        self.proof.renew(sent);
    }

    /// Notes that the answer to a call sent at `sent` shows that the registry holds newer state
    /// than what is known.
    pub fn record_newer_state(&mut self, sent: Time) {
        self.proof.record_newer_state(sent);
    }

    /// Applies the changes that one registry read found.
    pub fn apply_changes(&mut self, now: Time, changes: Vec<Change>) -> Vec<RegistryEvent> {
        let mut events = Vec::new();
        let mut removed = Vec::new();
        // Endpoints listed by the first read have been there before this router started.
        let since = (!self.registry.is_empty()).then_some(now);
        for change in changes {
            match change {
                Change::Catalog(catalog) => self.publish(*catalog, &mut events),
                Change::Entry(entry) => {
                    // The entry was added again before this read ended.
                    removed.retain(|id| *id != entry.id);
                    self.registry.put(now, since, entry, &mut events);
                }
                Change::Removed(id) => removed.push(id),
                Change::Unreadable(id) => self.registry.discard(&id, &mut events),
                Change::Evacuated(name) => self.registry.evacuate(now, name, &mut events),
                Change::Restored(name) => {
                    let cold = warmup_time(self.catalog.as_ref());
                    self.registry.restore(now, &name, cold, &mut events);
                }
            }
        }
        let grace = self.bounds.lapse_grace;
        self.registry.remove(now, &removed, grace, &mut events);
        self.registry.check_start_times(&mut events);
        events
    }

    /// Expires what has timed out; called every 100 ms.
    pub fn tick(&mut self, now: Time) -> Vec<RegistryEvent> {
        if now.since(self.last_tick) >= SUSPENSION_GAP {
            self.resumed_at = now;
        }
        self.last_tick = now;
        let mut events = std::mem::take(&mut self.events);
        self.registry
            .expire(now, self.bounds.lapse_grace, &mut events);
        self.registry.end_back_offs(now, &mut events);
        let liveness_since = |life, since| self.registry.liveness_since(life, since);
        self.quarantine
            .judge_unproved(now, &mut self.part_quarantine, liveness_since);
        self.quarantine
            .expire(now, self.bounds.hold, liveness_since);
        self.part_quarantine
            .expire(now, self.bounds.hold, liveness_since);
        self.tick_streams(now);
        events
    }

    fn publish(&mut self, catalog: Catalog, events: &mut Vec<RegistryEvent>) {
        let version = catalog.version;
        match &self.catalog {
            Some(held) if held.version > version => events.push(RegistryEvent::Older {
                version,
                held: held.version,
            }),
            Some(held) if held.version == version => {}
            _ => {
                self.hot_spots
                    .retain(|name, _| catalog.service(name).is_some());
                self.reach.retain(|name| catalog.service(name).is_some());
                self.brittleness
                    .retain(|name| catalog.service(name).is_some());
                // Samples name services by their indices in the previous configuration.
                self.samples.clear();
                self.waiting
                    .retain(|service| catalog.service(service).is_some());
                self.catalog = Some(Arc::new(catalog));
                self.update_stream_life();
                events.push(RegistryEvent::Applied { version });
            }
        }
    }

    /// Picks what a digest tells peers of endpoints: the newest reports, the quarantine's records of
    /// requests that were in progress at endpoints whose connections broke, and endpoints that have
    /// asked for a back-off. Records and back-offs displace some of the reports.
    pub fn digest_contents(&mut self, now: Time, draw: u64) -> DigestContents {
        let crashes = self.crash_records(now, draw);
        let back_offs = self.registry.back_offs(now, draw);
        let reports_streams =
            !self.reported.is_empty() && self.routers as usize > mesh::SMALL_FLEET + 1;
        let streams = if reports_streams {
            mesh::MIXED_DISPLACES
        } else {
            0
        };
        let tells_delays = self.variability.tells_delays(now);
        let delays = if tells_delays {
            mesh::DELAYS_DISPLACE
        } else {
            0
        };
        let reads = if self.variability.is_stated(now) {
            self.shared_reads.reports(now, draw)
        } else {
            Vec::new()
        };
        let displaced = mesh::displaced_reports(&crashes, &back_offs);
        let displaced = displaced + streams + delays + reads.len();
        let room = mesh::MAX_REPORTS.saturating_sub(displaced);
        let waits = if tells_delays {
            self.registry
                .wait_reports(now, room.min(mesh::MAX_WAIT_REPORTS))
        } else {
            Vec::new()
        };
        let room = room - waits.len();
        let mut reports = self.registry.reports(now, draw, room);
        for report in &mut reports {
            report.delay = report.delay.filter(|_| tells_delays);
        }
        reports.extend(waits);
        DigestContents {
            reports,
            crashes,
            back_offs,
            reads,
        }
    }

    /// Picks the records of requests and of prompt parts, either first by chance.
    fn crash_records(&mut self, now: Time, draw: u64) -> Vec<Record> {
        let room = (MAX_DIGEST_RECORDS, MAX_DIGEST_CRASHES);
        let rest = |records: &[Record]| {
            let crashes: usize = records.iter().map(|r| r.crashes.len()).sum();
            (
                MAX_DIGEST_RECORDS - records.len(),
                MAX_DIGEST_CRASHES - crashes,
            )
        };
        let (mut records, others) = if draw.is_multiple_of(2) {
            let records = self.quarantine.records(now, room);
            let others = self.part_quarantine.records(now, rest(&records));
            (records, others)
        } else {
            let records = self.part_quarantine.records(now, room);
            let others = self.quarantine.records(now, rest(&records));
            (records, others)
        };
        records.extend(others);
        records
    }

    /// Takes in a peer's reports of endpoints that have asked it for a back-off.
    pub fn record_peer_back_offs(&mut self, now: Time, reports: &[mesh::BackOffReport]) {
        for report in reports {
            self.registry.record_peer_back_off(now, *report);
        }
    }

    /// Takes in a peer's quarantine records.
    pub fn record_peer_crashes(&mut self, now: Time, records: &[Record]) {
        for record in records {
            if record.is_part {
                self.part_quarantine.heard(now, record);
            } else {
                self.quarantine.heard(now, record);
            }
        }
    }

    /// Takes in a peer's reports of endpoints.
    ///
    /// The ages of reports count from when the peer sent them, so messages that waited in a socket
    /// while this process was suspended look new. An outdated load does little harm. Confirmations
    /// that an endpoint is not leaving are ignored until the waiting messages are read, as the
    /// endpoint may have left at any time during the suspension.
    pub fn record_peer_report(&mut self, now: Time, reports: &[mesh::EndpointReport]) {
        let running = now.since(self.last_tick) < SUSPENSION_GAP;
        let timely = running && now.since(self.resumed_at) >= RESUME_DRAIN_TIME;
        for report in reports {
            if report.delay.is_some() {
                self.variability.record_peer(now);
            }
            self.registry.record_peer_report(now, *report, timely);
        }
    }

    /// Counts a request for a shared prompt part, and keeps it for the next digest.
    pub(super) fn record_request_sample(
        &mut self,
        now: Time,
        service: &Bytes,
        part: u32,
        work: u32,
    ) {
        let spots = self.hot_spots.entry(service.clone()).or_default();
        spots.record(now, part, work);
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

    /// Counts requests that a peer placed; peer and router have the same configuration in force.
    pub fn record_peer_samples(&mut self, now: Time, samples: &[Sample]) {
        for sample in samples {
            let name = self
                .catalog
                .as_ref()
                .and_then(|c| c.name_at(sample.service));
            if let Some(name) = name.cloned() {
                let spots = self.hot_spots.entry(name).or_default();
                spots.record(now, sample.part, sample.work);
            }
        }
    }

    /// Sets the number of routers that share the fleet's extra retries and the connections of
    /// endpoints.
    ///
    /// Retries are divided by the greatest recent number of routers, since routers that can't be
    /// heard may be partitioned and still use their parts.
    pub fn fleet(&mut self, now: Time, routers: u32) {
        self.routers = routers.max(1);
        let (max_routers, heard) = self.max_routers;
        if self.routers >= max_routers || now.since(heard) >= MAX_ROUTERS_TTL {
            self.max_routers = (self.routers, now);
        }
        self.update_extra_retries();
    }

    /// Updates the list of routers that share the requests that cold endpoints may get.
    pub fn update_fleet(&mut self, now: Time, fleet: &warmup::Fleet) {
        self.expects_peers = fleet.expected;
        self.part_quarantine.update_fleet(fleet);
        let bounded = |(key, endpoint): (EndpointKey, &endpoint::Endpoint)| {
            let bound = self.warmup_limit(&endpoint.entry.service)?;
            Some(warmup::ColdEndpoint {
                key,
                seed: endpoint.seed,
                bound,
            })
        };
        // Only a few of many endpoints are cold, and this runs several times a second.
        let cold = self.registry.usable();
        let cold = cold.filter(|(_, e)| e.cold(now) > Millis(0));
        let cold: Vec<warmup::ColdEndpoint> = cold.filter_map(bounded).collect();
        self.warmup.follow(now, fleet, &cold);
        if !self.brittleness.is_empty() {
            self.divide_brittle_endpoints(now);
        }
    }

    /// Updates what this router may do to brittle endpoints.
    pub(super) fn divide_brittle_endpoints(&mut self, now: Time) {
        let mut endpoints: IndexMap<Bytes, Vec<BrittleEndpoint>> = IndexMap::new();
        for (key, e) in self.registry.usable() {
            let service = &e.entry.service;
            let Some(limit) = self.brittleness.limit(now, service) else {
                continue;
            };
            let endpoint = BrittleEndpoint {
                key,
                seed: e.seed,
                limit,
                slots: e.entry.slots,
                states_load: e.age(now).is_some(),
            };
            endpoints.entry(service.clone()).or_default().push(endpoint);
        }
        self.brittleness
            .follow(&self.warmup, self.routers, &endpoints);
    }

    /// Gets how many requests a cold endpoint of a service may get within a second; `None` if that
    /// is not limited.
    pub(super) fn warmup_limit(&self, service: &[u8]) -> Option<u32> {
        let catalog = self.catalog.as_ref()?;
        let rate = catalog.service(service)?.warmup?;
        Some(rate.bound(&self.bounds.warmup))
    }

    /// Sets this router's part of the fleet's extra retries. Until another router has been heard,
    /// it stays the part that the settings give for a fleet of unknown size.
    pub(super) fn update_extra_retries(&mut self) {
        if self.max_routers.0 > 1 {
            self.bounds.retry.extra = self.bounds.retry.fleet / self.max_routers.0;
        }
    }

    /// Gets the requests that this router may have in progress at one endpoint of a service: its
    /// part of the connections that the endpoint accepts. Beyond that limit the endpoint resets new
    /// connections, and requests sent on them may or may not have run.
    pub(super) fn connection_share(&self, service: &[u8]) -> u32 {
        let catalog = self.catalog.as_ref();
        let service = catalog.and_then(|c| c.service(service));
        let all = service.map_or(u32::MAX, |s| s.connections);
        (all / self.routers).max(MIN_CONNECTION_SHARE)
    }
}

/// Gets for how long an endpoint of a service stays cold after its start, by the configuration.
pub(super) fn warmup_time(catalog: Option<&Arc<Catalog>>) -> impl Fn(&Bytes) -> Millis {
    move |service| {
        let service = catalog.and_then(|c| c.service(service));
        let rate = service.and_then(|s| s.warmup);
        rate.map_or(Millis(0), |r| r.time)
    }
}
