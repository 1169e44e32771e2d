//! What peers are told of endpoints, and what they report of them.

use crate::{
    arena::EndpointKey,
    gateway::{
        endpoint::Endpoint,
        mesh::{
            BackOffReport,
            EndpointReport,
            MAX_BACK_OFFS,
            MAX_PEER_BACK_OFF,
            MAX_REPORTS_WITHOUT_LOAD, //
        },
        registry::Registry, //
    },
    ids::Tag,
    load::score,
    units::{
        Millis,
        Time, //
    },
};

impl Registry {
    /// Lists endpoints that have asked this router for a back-off, for its peers; `draw` picks them.
    pub fn back_offs(&self, now: Time, draw: u64) -> Vec<BackOffReport> {
        let report = |e: &Endpoint| BackOffReport {
            endpoint: e.tag().0,
            left: Millis(e.back_off(now).0.min(MAX_PEER_BACK_OFF.0)),
        };
        let all = self.endpoints.values().filter(|e| e.backing_off(now));
        let mut reports: Vec<BackOffReport> = all.map(report).collect();
        if reports.len() > MAX_BACK_OFFS {
            reports.sort_by_key(|r| score(draw, r.endpoint.into()));
            reports.truncate(MAX_BACK_OFFS);
        }
        reports
    }

    /// Applies a peer's report of a back-off.
    pub fn record_peer_back_off(&mut self, now: Time, report: BackOffReport) {
        let key = self.by_tag.get(&Tag(report.endpoint));
        if let Some(endpoint) = key.and_then(|k| self.endpoints.get_mut(*k)) {
            endpoint.record_peer_back_off(now, report.left);
        }
    }

    /// Lists at most `room` of the newest endpoint reports, including a few without a load; `draw`
    /// picks these.
    pub fn reports(&self, now: Time, draw: u64, room: usize) -> Vec<EndpointReport> {
        let all = self.endpoints.values().filter_map(|e| e.report(now));
        let (mut reports, mut without_load): (Vec<EndpointReport>, Vec<EndpointReport>) =
            all.partition(|s| s.load.is_some());
        without_load.sort_by_key(|s| score(draw, s.endpoint.into()));
        without_load.truncate(MAX_REPORTS_WITHOUT_LOAD);
        let most = room.saturating_sub(without_load.len());
        if reports.len() > most {
            reports.sort_by_key(|s| s.age);
            reports.truncate(most);
        }
        reports.append(&mut without_load);
        reports
    }

    /// Lists the longest waits of unanswered requests.
    pub fn wait_reports(&self, now: Time, room: usize) -> Vec<EndpointReport> {
        let all = self.endpoints.values().filter_map(|e| e.wait_report(now));
        let mut reports: Vec<EndpointReport> = all.collect();
        reports.sort_by_key(|r| std::cmp::Reverse(r.delay));
        reports.truncate(room);
        reports
    }

    /// Gets an endpoint by the tag of its incarnation.
    pub(in crate::gateway) fn by_tag_mut(&mut self, tag: Tag) -> Option<&mut Endpoint> {
        let key = self.by_tag.get(&tag)?;
        self.endpoints.get_mut(*key)
    }

    /// Applies a keeper's estimate of an endpoint's load.
    pub(in crate::gateway) fn record_load_estimate(
        &mut self,
        now: Time,
        key: EndpointKey,
        load: u32,
    ) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.record_load_estimate(now, load);
        }
    }

    /// Applies a peer's report of an endpoint.
    pub fn record_peer_report(&mut self, now: Time, report: EndpointReport) {
        let key = self.by_tag.get(&Tag(report.endpoint));
        if let Some(endpoint) = key.and_then(|k| self.endpoints.get_mut(*k)) {
            endpoint.record_peer_report(now, report);
            if let Some(age) = report.confirmation_age() {
                endpoint.confirm_by_peer(now - age);
            }
        }
    }
}
