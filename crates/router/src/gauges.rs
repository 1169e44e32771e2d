//! What a router tells of itself once a second: gauges, and the bytes of its control messages.

use std::{
    sync::Arc,
    time::Duration, //
};

use strum::IntoEnumIterator;
use toucanturn_core::{
    config::{
        Endpoint,
        Kind, //
    },
    membership::State,
    node::Node,
    units::Time, //
};

use crate::{
    clock,
    driver::Driver,
    metrics::Name,
    peers::counters::{
        self,
        Traffic, //
    },
};

/// Time between two of them.
pub(crate) const INTERVAL: Duration = Duration::from_secs(1);

/// Skew of engines that all carry the same, in thousandths.
const EVEN: u64 = 1000;

/// `Gauges` remembers what was sent, for the counters that add up.
#[derive(Debug, Default)]
pub(crate) struct Gauges {
    bytes_out: u64,
    bytes_in: u64,
}

impl Gauges {
    /// Sends everything, with what waits for its datagram to fill.
    pub(crate) fn send(&mut self, driver: &Driver) {
        let now = clock::now().mono;
        let (skew, age) = driver.with_node(|node| (skew(node, now), node.view().age(now)));
        let metrics = &driver.metrics;
        metrics.gauge(Name::Skew, skew);
        metrics.gauge(Name::ViewAgeMs, age.0);
        // A datagram may be lost: what changes seldom is told again.
        metrics.gauge(Name::ConfigRevision, driver.config().revision.0);
        metrics.gauge(Name::Open, driver.open() as u64);
        let bytes_out = control_bytes(&driver.counters.sent);
        let bytes_in = control_bytes(&driver.counters.received);
        let since = |total: u64, before: u64| total.saturating_sub(before);
        metrics.count(Name::ControlBytesOut, since(bytes_out, self.bytes_out));
        metrics.count(Name::ControlBytesIn, since(bytes_in, self.bytes_in));
        (self.bytes_out, self.bytes_in) = (bytes_out, bytes_in);
        metrics.flush();
    }
}

/// Gets the bytes of the messages that routers exchange for themselves. Callers' own calls, on
/// their way to their homes and back, are none of these.
fn control_bytes(traffic: &Traffic) -> u64 {
    let calls = [counters::Kind::Forward, counters::Kind::ForwardReply];
    let control = counters::Kind::iter().filter(|kind| !calls.contains(kind));
    control.map(|kind| traffic.of(kind).bytes()).sum()
}

/// Gets the highest load of an engine over the mean, in thousandths. Engines that take no work
/// don't count: they would pull the mean down.
fn skew(node: &Node, now: Time) -> u64 {
    let config = node.config();
    let takes_work = |(key, endpoint): &(_, &Arc<Endpoint>)| {
        let state = node.view().state(now, *key);
        endpoint.kind == Kind::Engine && matches!(state, State::Live | State::Suspect)
    };
    let engines = config.endpoints.iter().filter(takes_work);
    let loads = engines.map(|(key, _)| u64::from(node.loads().estimate(now, key)));
    let (mut highest, mut sum, mut engines) = (0, 0, 0_u64);
    for load in loads {
        highest = load.max(highest);
        sum += load;
        engines += 1;
    }
    (highest * engines * EVEN).checked_div(sum).unwrap_or(EVEN)
}
