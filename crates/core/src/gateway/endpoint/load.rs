//! The load of an endpoint: requests in progress by its reports and by this router's own count, and
//! whether it has room for one more.

use crate::{
    gateway::{
        endpoint::{
            Endpoint,
            LOAD_REPORT_TTL,
            LoadReport, //
        },
        remaining_fraction, //
    },
    units::{
        Millis,
        Permille,
        Time, //
    },
};

/// Time within which a router learns of a load that an endpoint reported to another router, or gets
/// the answer to its own newest request. Until then, the absence of reports carries no information.
const LOAD_REPORT_DELAY: Millis = Millis(200);
/// Time in which the estimated number of other routers' requests halves at an endpoint without new
/// load reports. No router has started a request there, or a new load would have been reported, so
/// these requests only end. Without the decay, the stale loads of endpoints that get no requests
/// would raise the mean load and with it the limit of the other endpoints, which would then exceed
/// the allowed multiple of the mean.
const OTHER_LOAD_HALF_LIFE: Millis = Millis(300);
/// Own requests whose send times are kept, to correct the loads that peers report.
const MAX_SEND_TIMES: usize = 32;
/// Time after which a request that another router has asked for no longer counts: its answer's load should be
/// known by then, or it went elsewhere.
const RESERVATION_TTL: Millis = Millis(500);
/// Limit of the requests of other routers that are counted; beyond it the oldest is dropped.
const MAX_RESERVATIONS: usize = 64;
/// Time for which the load at which an endpoint turned a request away counts as its room.
const ROOM_TTL: Millis = Millis(3000);

/// `Load` is the load that an endpoint reports about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are queued.
    pub waiting: u32,
    /// Requests that it can run concurrently.
    pub slots: u32,
    /// How long work takes there now, as a multiple of the usual time; `None` if it does not say.
    pub slowdown: Option<Permille>,
}

impl Load {
    /// Counts the running and queued requests.
    pub const fn requests(self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

impl Endpoint {
    /// Estimates the requests that it has in progress from all routers: this router's own, plus
    /// those of other routers at the last load report, less the ones that have probably ended
    /// since.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "loads are small numbers, and the cast saturates"
    )]
    pub fn load(&self, now: Time) -> u32 {
        let Some(load_report) = self.newest_load(now) else {
            return self.own_in_flight;
        };
        let others = load_report
            .load
            .requests()
            .saturating_sub(load_report.own_in_flight);
        let silent = Millis(
            now.since(load_report.at)
                .0
                .saturating_sub(LOAD_REPORT_DELAY.0),
        );
        let others = others as f32 * remaining_fraction(silent, OTHER_LOAD_HALF_LIFE);
        let reserved = self
            .reservations
            .iter()
            .filter(|at| **at > load_report.at && now.since(**at) < RESERVATION_TTL);
        let reserved = u32::try_from(reserved.count()).unwrap_or(u32::MAX);
        self.own_in_flight
            .saturating_add(others.round() as u32)
            .saturating_add(reserved)
    }

    /// Gets its last load report or its keeper's estimate, whichever is newer; `None` if it is too old to use.
    fn newest_load(&self, now: Time) -> Option<LoadReport> {
        let known = self.load_report.into_iter().chain(self.load_estimate);
        let newest = known.max_by_key(|s| s.at);
        newest.filter(|s| now.since(s.at) < LOAD_REPORT_TTL)
    }

    /// Tells whether it is known to have no room for one more request; `routers` is the number of
    /// routers that send to it.
    pub fn is_known_full(&self, now: Time, routers: u32) -> bool {
        let fresh = self
            .load_report
            .filter(|s| now.since(s.at) < LOAD_REPORT_TTL);
        let room = self.room.filter(|(at, _)| now.since(*at) < ROOM_TTL);
        let load = match fresh {
            // Unlike for placement, other routers' requests don't fade: a full endpoint answers late,
            // and none of its reports are newer.
            Some(s) => {
                let others = s.load.requests().saturating_sub(s.own_in_flight);
                others.saturating_add(self.own_in_flight)
            }
            None if room.is_some() => return true,
            // One request here says nothing of the other routers, a second one that they are busy, too.
            None => {
                let alike = self.own_in_flight.saturating_sub(1);
                alike.saturating_mul(routers).saturating_add(1)
            }
        };
        let slots = Some(self.entry.slots).filter(|slots| *slots > 0);
        let room = room.map(|(_, room)| room).into_iter().chain(slots).min();
        fresh.is_some_and(|s| s.load.waiting > 0) || room.is_some_and(|room| load >= room)
    }

    /// Notes that it turned a request away for want of room.
    pub(super) fn record_full(&mut self, now: Time) {
        let load = self.load(now);
        let recent = self.room.filter(|(at, _)| now.since(*at) < ROOM_TTL);
        let room = recent.map_or(load, |(_, room)| room.min(load));
        self.room = Some((now, room));
    }

    /// Gets the age of its last load report; `None` if there is none or it is too old to use.
    pub fn age(&self, now: Time) -> Option<Millis> {
        self.newest_load(now).map(|s| now.since(s.at))
    }

    /// Counts a request of another router that is probably sent to it, until a newer load is known.
    pub(in crate::gateway) fn reserve(&mut self, now: Time) {
        if self.reservations.len() >= MAX_RESERVATIONS {
            self.reservations.pop_front();
        }
        self.reservations.push_back(now);
    }

    /// Notes what its keeper estimates.
    pub(in crate::gateway) fn record_load_estimate(&mut self, now: Time, load: u32) {
        self.load_estimate = Some(LoadReport {
            at: now,
            load: Load {
                running: load,
                ..Load::default()
            },
            own_in_flight: self.own_in_flight,
        });
    }

    /// Notes a load that another router has just seen, as its keeper.
    pub(in crate::gateway) fn record_load_note(&mut self, now: Time, load: u32) {
        self.load_report = Some(LoadReport {
            at: now,
            load: Load {
                running: load,
                slots: self.entry.slots,
                ..Load::default()
            },
            own_in_flight: self.own_in_flight,
        });
    }

    /// Notes that a request is sent to it.
    pub fn sent(&mut self, now: Time) {
        self.send_times.push_back(now);
        if self.send_times.len() > MAX_SEND_TIMES {
            self.send_times.pop_front();
        }
        self.own_in_flight = self.own_in_flight.saturating_add(1);
    }

    /// Notes the load that it reports in an answer.
    pub fn record_load(&mut self, now: Time, load: Load) {
        self.load_report = Some(LoadReport {
            at: now,
            load,
            own_in_flight: self.own_in_flight,
        });
    }
}
