//! What this router's own requests show of endpoints.

use bytes::Bytes;

use crate::{
    arena::EndpointKey,
    gateway::{
        RegistryEvent,
        endpoint::{
            Liveness,
            Load,
            Signal,
            Signals, //
        },
        outcome::AttemptOutcome,
        registry::Registry, //
    },
    ids::Tag,
    units::{
        Millis,
        Time, //
    },
};

/// Limit of the instances without an entry whose signals are kept; beyond it the one that lost its
/// entry first is evicted.
const MAX_UNLISTED_SIGNALS: usize = 1024;

impl Registry {
    /// Records that a request is sent to an endpoint.
    pub fn sent(&mut self, now: Time, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.sent(now);
        }
    }

    /// Records that a connection to an endpoint is begun, or that it is no longer being opened.
    pub(in crate::gateway) fn count_opening(&mut self, key: EndpointKey, change: i32) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.own_opening = endpoint.own_opening.saturating_add_signed(change);
        }
    }

    /// Records the load that an endpoint states.
    pub fn record_load(&mut self, now: Time, key: EndpointKey, load: Load) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.record_load(now, load);
        }
    }

    /// Records that a stream is sent to an endpoint, whose answer begins with its first event.
    pub fn sent_stream(&mut self, now: Time, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.waits.sent(now);
        }
    }

    /// Records how long a request waited at an endpoint before its answer began.
    pub fn record_delay(&mut self, now: Time, key: EndpointKey, delay: Millis) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.waits.begun(now, now - delay);
            endpoint.record_delay(now, delay);
        }
    }

    /// Records how long a prompt would wait at an endpoint, by the keeper of its backlog.
    pub(in crate::gateway) fn record_wait_estimate(
        &mut self,
        now: Time,
        key: EndpointKey,
        wait: Millis,
    ) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.waits.record_estimate(now, wait);
        }
    }

    /// Records that a connection to an endpoint has broken.
    pub fn record_break(&mut self, now: Time, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.record_break(now);
        }
    }

    /// Records that an endpoint has answered on a connection that was opened at `opened`.
    pub fn record_answer_on(&mut self, key: EndpointKey, opened: Time) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.record_answer_on(opened);
        }
    }

    /// Records how an attempt ended and how long it took.
    pub fn ended(&mut self, now: Time, key: EndpointKey, outcome: AttemptOutcome, took: Millis) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.ended(now, outcome, took);
        }
    }

    /// Records that an endpoint could not be reached. Where a restarted endpoint keeps its name,
    /// the next connection may reach a new incarnation that is cold for the time that `cold`
    /// returns for its service.
    pub fn unreached(&mut self, now: Time, key: EndpointKey, cold: impl Fn(&Bytes) -> Millis) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.record_unreached(now);
            endpoint.record_break(now);
            if endpoint.entry.born.is_some() {
                let time = cold(&endpoint.entry.service);
                endpoint.doubt(now, time);
            }
        }
    }

    /// Records that an endpoint was not leaving at a time, according to its own answer.
    pub fn confirm(&mut self, key: EndpointKey, at: Time) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.confirm(at);
        }
    }

    /// Records what an instance said of itself in an answer; returns whether that is news.
    pub fn record_signal(&mut self, now: Time, life: Tag, signal: Signal) -> bool {
        let key = self.by_tag.get(&life);
        if let Some(endpoint) = key.and_then(|k| self.endpoints.get_mut(*k)) {
            return endpoint.record_signal(now, signal);
        }
        let mut signals = self
            .unlisted_signals
            .get(&life)
            .copied()
            .unwrap_or_default();
        let news = signals.record(now, signal);
        self.keep_unlisted(life, signals);
        news
    }

    /// Keeps the signals of an instance that has no entry.
    pub(super) fn keep_unlisted(&mut self, life: Tag, signals: Signals) {
        self.unlisted_signals.insert(life, signals);
        if self.unlisted_signals.len() > MAX_UNLISTED_SIGNALS {
            self.unlisted_signals.shift_remove_index(0);
        }
    }

    /// Ends the back-offs whose time has passed.
    pub fn end_back_offs(&mut self, now: Time, events: &mut Vec<RegistryEvent>) {
        for endpoint in self.endpoints.values_mut() {
            if endpoint.end_back_off(now) {
                let id = endpoint.entry.id.clone();
                events.push(RegistryEvent::BackOffEnded { id });
            }
        }
    }

    /// Tells whether an incarnation of an endpoint has answered or ended since a connection to it
    /// broke.
    pub fn liveness_since(&self, life: Tag, since: Time) -> Liveness {
        self.life(life)
            .map_or(Liveness::Dead, |e| e.liveness_since(since))
    }

    /// Ends the pauses of a service's endpoints that peers have reached since this router could not.
    pub fn end_pauses_if_peers_reach(&mut self, now: Time, service: &[u8]) {
        for key in self.by_service.get(service).into_iter().flatten() {
            if let Some(endpoint) = self.endpoints.get_mut(*key) {
                endpoint.end_pause_if_peers_reach(now);
            }
        }
    }
}
