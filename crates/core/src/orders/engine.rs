//! What one engine holds, what it should hold, and how far its last order is.

use std::sync::Arc;

use super::message::{
    Change,
    Loaded,
    Number,
    Order, //
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

/// `News` is an engine's own report of what it holds.
#[derive(Clone, Debug)]
pub(super) struct News {
    /// When it was heard.
    pub(super) at: Time,
    /// The life that it is about.
    pub(super) life: Incarnation,
    pub(super) loaded: Arc<Loaded>,
}

/// `Stage` is how far an engine's order is.
#[derive(Clone, Debug, Default)]
pub(super) enum Stage {
    /// Nothing is under way.
    #[default]
    Idle,
    /// The weight store is asked.
    Asking { number: Number, at: Time },
    /// The order is sent and unanswered.
    Sent { order: Order, at: Time },
    /// The engine obeys; what it loads should show by `until`.
    Loading { order: Order, until: Time },
    /// The last order failed; the next may follow at `until`.
    Resting { until: Time },
}

/// `Engine` is one engine as the orders see it.
#[derive(Clone, Debug, Default)]
pub(super) struct Engine {
    pub(super) news: Option<News>,
    /// Since when this router is the engine's issuer.
    pub(super) issuer: Option<Time>,
    pub(super) stage: Stage,
    /// Orders in a row that did not lead to what is published.
    pub(super) tries: u32,
    /// Greatest fencing number that the engine named in a refusal.
    pub(super) fenced: u64,
    /// Reason last logged.
    pub(super) held: Option<super::Hold>,
}

impl Engine {
    /// Gets the news of the given life.
    pub(super) fn news(&self, life: Incarnation) -> Option<&News> {
        self.news.as_ref().filter(|news| news.life == life)
    }

    /// Gets the greatest fencing number that the engine is known to hold.
    pub(super) fn fence(&self) -> u64 {
        let reported = self.news.as_ref().map_or(0, |news| news.loaded.fence);
        reported.max(self.fenced)
    }

    /// Notes a report. A later life knows nothing of what the former one was told.
    pub(super) fn report(&mut self, news: News) {
        let before = self.news.as_ref().map(|old| old.life);
        if before.is_some_and(|life| news.life < life) {
            return;
        }
        if before.is_some_and(|life| news.life > life) {
            self.tries = 0;
            self.fenced = 0;
            // An unanswered order stays: it may still reach the later life.
            if !matches!(self.stage, Stage::Sent { .. }) {
                self.stage = Stage::Idle;
            }
        }
        self.news = Some(news);
    }
}

fn models<'a>(config: &'a Config, endpoint: &'a Endpoint) -> impl Iterator<Item = &'a Arc<Model>> {
    let model = |key: &_| config.models.get(*key);
    endpoint.models.iter().filter_map(model)
}

/// Gets the version that an engine should report; `None` where the published versions of its models
/// differ, which one reported version can't show.
fn version<'a>(config: &'a Config, endpoint: &'a Endpoint) -> Option<&'a Model> {
    let mut models = models(config, endpoint);
    let first = models.next()?;
    models.all(|m| m.version == first.version).then_some(first)
}

/// Gets the next change that leads an engine to what is published; `None` when it is there.
///
/// It follows from the configuration and the report alone, so that two routers with the same
/// configuration can only give the same order.
pub(super) fn wanted(config: &Config, endpoint: &Endpoint, loaded: &Loaded) -> Option<Change> {
    let missing = models(config, endpoint).find(|m| !loaded.models.contains(&m.id));
    if let Some(model) = missing {
        return Some(Change::LoadModel {
            model: model.id.clone(),
            version: model.version.clone(),
        });
    }
    let model = version(config, endpoint)?;
    (loaded.version.as_ref() != Some(&model.version)).then(|| Change::LoadVersion {
        model: model.id.clone(),
        version: model.version.clone(),
    })
}
