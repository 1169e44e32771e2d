//! What peers are told of endpoints and requests, and what they report.

use bytes::Bytes;

use crate::{
    gateway::{
        Gateway,
        mesh::{
            self,
            Sample, //
        },
        quarantine::{
            MAX_DIGEST_CRASHES,
            MAX_DIGEST_RECORDS,
            Record, //
        },
        shared_reads::ReadReport, //
    },
    units::Time,
};

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
    /// Picks what a digest tells peers of endpoints: the newest reports, the quarantine's records of
    /// requests that were in progress at endpoints whose connections broke, and endpoints that have
    /// asked for a back-off. Records and back-offs displace some of the reports.
    pub fn digest_contents(&mut self, now: Time, draw: u64) -> DigestContents {
        let crashes = self.crash_records(now, draw);
        let back_offs = self.registry.back_offs(now, draw);
        let tells_streams = !self.reported.is_empty() || self.reports_streams(now);
        let reports_streams = tells_streams && self.routers as usize > mesh::SMALL_FLEET + 1;
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
    ///
    /// In messages that waited here during a suspension all looks newer than it is. An answer would then
    /// clear crashes that came after it, at all routers; crashes only count for a little longer.
    pub fn record_peer_crashes(&mut self, now: Time, records: &[Record]) {
        let is_backlog = self.reads_backlog(now);
        for record in records {
            let mut record = record.clone();
            record.answered = record.answered.filter(|_| !is_backlog);
            if record.is_part {
                self.part_quarantine.heard(now, &record);
            } else {
                self.quarantine.heard(now, &record);
            }
        }
    }

    /// Takes in a peer's reports of endpoints.
    ///
    /// The ages of reports count from when the peer sent them, so messages that waited in a socket
    /// while this process was suspended look new. They are ignored until the waiting ones are read:
    /// endpoints may have left meanwhile, and outdated loads would be passed on to all peers as the
    /// newest.
    pub fn record_peer_report(&mut self, now: Time, reports: &[mesh::EndpointReport]) {
        if self.reads_backlog(now) {
            return;
        }
        for report in reports {
            if report.delay.is_some() {
                self.variability.record_peer(now);
            }
            self.registry.record_peer_report(now, *report);
        }
    }

    /// Counts a request for a shared prompt part, and keeps it for the next digest.
    pub(in crate::gateway) fn record_request_sample(
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
}
