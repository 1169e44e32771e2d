//! What the operator is told.

use serde::Serialize;
use toucanturn_core::{
    arena::{
        EndpointKey,
        RouterKey, //
    },
    config::{
        Config,
        Endpoint, //
    },
    request::{
        Placed,
        Reason,
        Work, //
    },
};

use super::subject::Subject;
use crate::{
    output,
    view::PlacementContext, //
};

/// `Choice` is where the request goes first.
#[derive(Debug, Serialize)]
struct Choice {
    endpoint: String,
    reason: Reason,
    /// Where the next attempt would go.
    runner_up: Option<String>,
    import_from: Option<String>,
    /// Requests at which the endpoint gets no more.
    limit: u32,
}

/// `Candidate` is an endpoint that can take the request.
#[derive(Debug, Serialize)]
struct Candidate {
    rank: usize,
    endpoint: String,
    state: String,
    load: u32,
    reason: Reason,
}

/// `Excluded` is an endpoint that serves such requests and can't take this one.
#[derive(Debug, Serialize)]
struct Excluded {
    endpoint: String,
    state: String,
    load: u32,
    capacity: u32,
}

/// `Report` is an explanation.
#[derive(Debug, Serialize)]
pub(super) struct Report {
    workspace: String,
    work: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    prefix: Option<String>,
    seed: u64,
    limit_home: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    key_home: Option<String>,
    choice: Option<Choice>,
    candidates: Vec<Candidate>,
    excluded: Vec<Excluded>,
}

impl Report {
    /// Makes the explanation of a ranking.
    pub(super) fn new(
        config: &Config,
        scene: &PlacementContext,
        subject: &Subject,
        ranked: &[Placed],
        seed: u64,
    ) -> Self {
        let state = |key| scene.view.state(scene.now, key).to_string();
        let load = |key| scene.loads.estimate(scene.now, key);
        let candidate = |(i, placed): (usize, &Placed)| Candidate {
            rank: i + 1,
            endpoint: endpoint(config, placed.endpoint),
            state: state(placed.endpoint),
            load: load(placed.endpoint),
            reason: placed.reason,
        };
        let choice = ranked.first().map(|placed| Choice {
            endpoint: endpoint(config, placed.endpoint),
            reason: placed.reason,
            runner_up: ranked.get(1).map(|next| endpoint(config, next.endpoint)),
            import_from: placed.import_from.map(|key| endpoint(config, key)),
            limit: placed.limit,
        });
        let is_ranked = |key| ranked.iter().any(|p| p.endpoint == key);
        let left_out = config
            .endpoints
            .iter()
            .filter(|(key, e)| serves(&subject.work, e) && !is_ranked(*key));
        let excluded = left_out.map(|(key, e)| Excluded {
            endpoint: e.id.to_string(),
            state: state(key),
            load: load(key),
            capacity: e.capacity,
        });
        Self {
            workspace: subject.workspace.id.to_string(),
            work: work(config, &subject.work),
            prefix: prefix(&subject.work),
            seed,
            limit_home: router(config, config.home(u64::from(subject.workspace.tag.0))),
            key_home: key_home(config, &subject.work),
            choice,
            candidates: ranked.iter().enumerate().map(candidate).collect(),
            excluded: excluded.collect(),
        }
    }

    /// Writes the explanation as text.
    pub(super) fn text(&self) -> String {
        let none = || "none: the fleet list is empty".to_owned();
        let mut about = vec![
            ("workspace", self.workspace.clone()),
            ("work", self.work.clone()),
        ];
        about.extend(self.prefix.clone().map(|p| ("prefix", p)));
        about.push(("limit home", self.limit_home.clone().unwrap_or_else(none)));
        about.extend(self.key_home.clone().map(|home| ("key home", home)));
        about.push(("choice", self.choice_text()));
        if let Some(choice) = &self.choice {
            about.push(("load limit", choice.limit.to_string()));
            let from = choice.import_from.clone();
            about.extend(from.map(|from| ("import from", from)));
        }
        let mut out = String::new();
        for (name, value) in about {
            out.push_str(&format!("{name:<11} {value}\n"));
        }
        if !self.candidates.is_empty() {
            out.push('\n');
            out.push_str(&self.candidates_text());
        }
        if !self.excluded.is_empty() {
            out.push('\n');
            let row = |e: &Excluded| {
                let load = format!("{} of {}", e.load, e.capacity);
                [e.endpoint.clone(), e.state.clone(), load]
            };
            let rows: Vec<_> = self.excluded.iter().map(row).collect();
            out.push_str(&output::table(["excluded", "state", "load"], &rows));
        }
        out
    }

    fn choice_text(&self) -> String {
        let Some(choice) = &self.choice else {
            return "none: no endpoint can take it".to_owned();
        };
        let runner_up = choice.runner_up.as_deref().unwrap_or("none");
        let drawn = if choice.reason == Reason::LeastLoaded {
            format!(", drawn with seed {}", self.seed)
        } else {
            String::new()
        };
        format!(
            "{}: {}, runner-up {runner_up}{drawn}",
            choice.endpoint,
            phrase(choice.reason)
        )
    }

    fn candidates_text(&self) -> String {
        let row = |c: &Candidate| {
            [
                c.rank.to_string(),
                c.endpoint.clone(),
                c.state.clone(),
                c.load.to_string(),
                c.reason.to_string(),
            ]
        };
        let rows: Vec<_> = self.candidates.iter().map(row).collect();
        output::table(["rank", "endpoint", "state", "load", "reason"], &rows)
    }
}

fn phrase(reason: Reason) -> &'static str {
    match reason {
        Reason::Token => "the placement token names it last",
        Reason::TokenBefore => "the placement token names it before the last",
        Reason::CacheEvent => "a cache event said that it holds the prefix",
        Reason::Home => "first by rendezvous hash of the prefix",
        Reason::Overflow => "the better ones are at the load multiple",
        Reason::LeastLoaded => "least loaded of two drawn",
    }
}

fn serves(work: &Work, endpoint: &Endpoint) -> bool {
    match work {
        Work::Chat { model, .. } => endpoint.models.contains(model),
        Work::Plain { service, .. } | Work::Once { service, .. } => {
            endpoint.service == Some(*service)
        }
    }
}

fn work(config: &Config, work: &Work) -> String {
    let service = |key| {
        config
            .services
            .get(key)
            .map_or(String::new(), |s| s.id.to_string())
    };
    match work {
        Work::Chat { model, .. } => {
            let model = config.models.get(*model).map(|m| m.id.to_string());
            format!("chat with {}", model.unwrap_or_default())
        }
        Work::Plain {
            service: key,
            idempotent: true,
        } => format!("idempotent call of {}", service(*key)),
        Work::Plain { service: key, .. } => format!("call of {}", service(*key)),
        Work::Once { service: key, .. } => {
            format!("call of {} that runs at most once", service(*key))
        }
    }
}

fn prefix(work: &Work) -> Option<String> {
    match work {
        Work::Chat { prefix, .. } => Some(format!("{:016x}", prefix.0)),
        Work::Plain { .. } | Work::Once { .. } => None,
    }
}

fn key_home(config: &Config, work: &Work) -> Option<String> {
    match work {
        Work::Once { key, .. } => router(config, config.home(key.item())),
        Work::Chat { .. } | Work::Plain { .. } => None,
    }
}

fn endpoint(config: &Config, key: EndpointKey) -> String {
    config
        .endpoints
        .get(key)
        .map_or(String::new(), |e| e.id.to_string())
}

fn router(config: &Config, key: Option<RouterKey>) -> Option<String> {
    config.fleet.get(key?).map(|r| r.id.to_string())
}
