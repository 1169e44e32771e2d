//! State of one engine: the models that it reports, those that it should hold, and the progress of
//! its last order.

use std::sync::Arc;

use super::message::{
    Change,
    Loaded,
    Order,
    OrderNumber, //
};
use crate::{
    config::{
        Config,
        Endpoint,
        Model, //
    },
    units::{
        Incarnation,
        Time, //
    },
};

/// `LoadedReport` is an engine's own report of the models that it holds.
#[derive(Clone, Debug)]
pub(super) struct LoadedReport {
    /// Time at which this router received it.
    pub(super) at: Time,
    /// Incarnation of the engine that sent it.
    pub(super) incarnation: Incarnation,
    pub(super) loaded: Arc<Loaded>,
}

/// `Phase` is the progress of an engine's current order.
#[derive(Clone, Debug, Default)]
pub(super) enum Phase {
    /// No order is in progress.
    #[default]
    Idle,
    /// The weight store was asked for a token and has not answered.
    RequestingToken { number: OrderNumber, at: Time },
    /// The order was sent and has no answer yet.
    Sent { order: Order, at: Time },
    /// The engine accepted the order; its reports should show the change by `until`.
    Loading { order: Order, until: Time },
    /// The last order failed; the next may be sent at `until`.
    BackingOff { until: Time },
}

/// `Engine` is what the scheduler knows of one engine.
#[derive(Clone, Debug, Default)]
pub(super) struct Engine {
    pub(super) last_report: Option<LoadedReport>,
    /// Time since which this router is the engine's issuer.
    pub(super) issuer_since: Option<Time>,
    pub(super) phase: Phase,
    /// Consecutive orders after which the engine did not match the published configuration.
    pub(super) tries: u32,
    /// Greatest fencing number that the engine returned with a refusal.
    pub(super) refused_fence: u64,
    /// Reason that was logged last.
    pub(super) logged_hold: Option<super::HoldReason>,
}

impl Engine {
    /// Gets the last report, if it came from the given incarnation.
    pub(super) fn report_of(&self, incarnation: Incarnation) -> Option<&LoadedReport> {
        self.last_report
            .as_ref()
            .filter(|report| report.incarnation == incarnation)
    }

    /// Gets the greatest fencing number that the engine is known to hold.
    pub(super) fn known_fence(&self) -> u64 {
        let reported = self
            .last_report
            .as_ref()
            .map_or(0, |report| report.loaded.fence);
        reported.max(self.refused_fence)
    }

    /// Records a report. Ignores one of an older incarnation; a newer incarnation starts without
    /// the orders and fencing numbers of the older one.
    pub(super) fn record_report(&mut self, report: LoadedReport) {
        let before = self.last_report.as_ref().map(|old| old.incarnation);
        if before.is_some_and(|incarnation| report.incarnation < incarnation) {
            return;
        }
        if before.is_some_and(|incarnation| report.incarnation > incarnation) {
            self.tries = 0;
            self.refused_fence = 0;
            // An unanswered order stays recorded: it may still reach the new incarnation.
            if !matches!(self.phase, Phase::Sent { .. }) {
                self.phase = Phase::Idle;
            }
        }
        self.last_report = Some(report);
    }
}

fn models<'a>(config: &'a Config, endpoint: &'a Endpoint) -> impl Iterator<Item = &'a Arc<Model>> {
    let model = |key: &_| config.models.get(*key);
    endpoint.models.iter().filter_map(model)
}

/// Gets the version that an engine should report. Returns `None` where its models have different
/// published versions, because a report names only one version.
fn common_version<'a>(config: &'a Config, endpoint: &'a Endpoint) -> Option<&'a Model> {
    let mut models = models(config, endpoint);
    let first = models.next()?;
    models.all(|m| m.version == first.version).then_some(first)
}

/// Gets the next change that brings an engine to the published configuration; `None` when it holds
/// all that is published.
///
/// The result depends on the configuration and the report alone, so that two routers with the same
/// configuration and report order the same change.
pub(super) fn next_change(config: &Config, endpoint: &Endpoint, loaded: &Loaded) -> Option<Change> {
    let missing = models(config, endpoint).find(|m| !loaded.models.contains(&m.id));
    if let Some(model) = missing {
        return Some(Change::LoadModel {
            model: model.id.clone(),
            version: model.version.clone(),
        });
    }
    let model = common_version(config, endpoint)?;
    (loaded.version.as_ref() != Some(&model.version)).then(|| Change::LoadVersion {
        model: model.id.clone(),
        version: model.version.clone(),
    })
}
