//! What routers tell each other of an endpoint.

use crate::{
    gateway::{
        endpoint::{
            Endpoint,
            LOAD_REPORT_TTL,
            Load,
            LoadReport, //
        },
        mesh::{
            self,
            EndpointReport, //
        },
    },
    units::{
        Millis,
        Time, //
    },
};

/// Weight of the newest delay in the mean; about the last two count, as a queue of a few slots fills and
/// empties within some hundred milliseconds.
const DELAY_WEIGHT: f32 = 0.4;

impl Endpoint {
    /// Gets what this router tells its peers: the last reported load, or without one only that the
    /// endpoint is not leaving.
    pub fn report(&self, now: Time) -> Option<EndpointReport> {
        let endpoint = self.tag().0;
        let fresh = |s: &LoadReport| now.since(s.at) < LOAD_REPORT_TTL;
        if let Some(load_report) = self.load_report.filter(fresh) {
            let age = now.since(load_report.at);
            let recent = |at| at + mesh::MAX_CONFIRMED_LATENCY >= load_report.at;
            let confirmed = self.confirmed_at.is_some_and(recent);
            return Some(EndpointReport {
                endpoint,
                age,
                load: Some(load_report.load.requests()),
                confirmed,
                delay: self.delay(now).map(|(delay, _)| delay),
            });
        }
        let age = now.since(self.confirmed_at?);
        (age < LOAD_REPORT_TTL).then_some(EndpointReport {
            endpoint,
            age,
            load: None,
            confirmed: true,
            delay: self.delay(now).map(|(delay, _)| delay),
        })
    }

    /// Gets what this router tells its peers of requests there that are still unanswered.
    pub fn wait_report(&self, now: Time) -> Option<EndpointReport> {
        let (wait, age) = self.waits.report(now)?;
        Some(EndpointReport {
            endpoint: self.tag().0,
            load: None,
            age,
            confirmed: false,
            delay: Some(wait),
        })
    }

    /// Takes over a load that a peer knows of if it is newer than the one known here. Own requests
    /// that were sent after that report are not part of it.
    pub fn record_peer_report(&mut self, now: Time, report: EndpointReport) {
        let at = now - report.age;
        if let Some(delay) = report.delay {
            let unanswered = report.tells_wait();
            self.waits.record_peer(at, delay, unanswered);
            if unanswered {
                return;
            }
            self.record_delay(at, delay);
        }
        let Some(load) = report.load else {
            return;
        };
        if self.load_report.is_some_and(|s| s.at >= at) {
            return;
        }
        let recent = self.send_times.iter().filter(|t| **t > at).count();
        let recent = u32::try_from(recent).unwrap_or(u32::MAX);
        let load = Load {
            running: load,
            waiting: 0,
            slots: self.entry.slots,
            slowdown: None,
        };
        let own_in_flight = self.own_in_flight.saturating_sub(recent);
        self.load_report = Some(LoadReport {
            at,
            load,
            own_in_flight,
        });
    }

    /// Notes how long a request waited whose answer began at `at`; a newer one is kept.
    pub fn record_delay(&mut self, at: Time, delay: Millis) {
        if self.delay.is_some_and(|(held, _)| held >= at) {
            return;
        }
        let recent = self.mean_delay(at);
        self.delay = Some((at, delay));
        #[expect(
            clippy::cast_precision_loss,
            reason = "milliseconds of an answer are few"
        )]
        let newest = delay.0 as f32;
        self.mean_delay = recent.map_or(newest, |mean| mean + (newest - mean) * DELAY_WEIGHT);
    }

    /// Gets the mean of the newest delays in milliseconds; `None` if the last is too long ago.
    pub fn mean_delay(&self, now: Time) -> Option<f32> {
        self.delay(now).map(|_| self.mean_delay)
    }

    /// Gets how long the request waited whose answer began last, and how long ago that was; `None`
    /// if that is too long.
    pub fn delay(&self, now: Time) -> Option<(Millis, Millis)> {
        let (at, delay) = self.delay?;
        let age = now.since(at);
        (age < LOAD_REPORT_TTL).then_some((delay, age))
    }
}
