//! States and loads of endpoints as a router shows them, and the core's view made from them.

use serde::{
    Deserialize,
    Serialize, //
};
use toucanturn_core::{
    arena::{
        EndpointKey,
        RouterKey, //
    },
    config::Config,
    ids::Id,
    load::LoadTable,
    membership::{
        self,
        Observation,
        SelfReport, //
    },
    units::Time,
};

use crate::errors::{
    Result,
    StateSnafu, //
};

/// Time at which the view is looked at; any will do that leaves a past.
const NOW: Time = Time(1 << 40);

/// Observations in a row after which the core must hold an endpoint for what they say.
const MOST_OBSERVATIONS: u32 = 64;

/// Most requests in progress that a view may give one endpoint; more make no difference.
const MOST_LOAD: u32 = 100_000;

/// `State` is an endpoint's state as a router shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub(crate) enum State {
    /// Takes work.
    Live,
    /// Takes work only where no live one can.
    Suspect,
    /// Gets no new work in this life.
    Leaving,
    /// Gets no work.
    Down,
}

impl State {
    fn to_core(self) -> membership::State {
        match self {
            Self::Live => membership::State::Live,
            Self::Suspect => membership::State::Suspect,
            Self::Leaving => membership::State::Leaving,
            Self::Down => membership::State::Down,
        }
    }
}

/// `Endpoint` is one endpoint of a router's view.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Endpoint {
    /// Name.
    pub(crate) id: Id,
    /// State.
    pub(crate) state: State,
    /// Requests in progress there, as the router estimates.
    pub(crate) load: u32,
}

/// `View` is what the file of a view must hold; a whole status has it too.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct View {
    /// The router whose view it is.
    #[serde(default)]
    pub(crate) id: Option<Id>,
    /// The endpoints.
    pub(crate) endpoints: Vec<Endpoint>,
}

/// `PlacementContext` is a view in the core's own types.
#[derive(Debug)]
pub(crate) struct PlacementContext {
    /// States.
    pub(crate) view: membership::View,
    /// Loads.
    pub(crate) loads: LoadTable,
    /// When it is looked at.
    pub(crate) now: Time,
}

impl PlacementContext {
    /// Makes the scene of a view at the router `me`; without a view, every endpoint is live and
    /// idle. An endpoint that the view lacks stays what the core makes of one that it never heard
    /// of.
    pub(crate) fn new(config: &Config, me: Option<RouterKey>, view: Option<&View>) -> Result<Self> {
        let mut scene = Self {
            view: membership::View::default(),
            loads: LoadTable::default(),
            now: NOW,
        };
        scene.view.apply(NOW, config);
        scene.loads.apply(config, me);
        match view {
            Some(view) => {
                for endpoint in &view.endpoints {
                    if let Some(key) = config.endpoints.key(&endpoint.id) {
                        scene.put(key, endpoint)?;
                    }
                }
            }
            None => {
                for (key, endpoint) in config.endpoints.iter() {
                    let idle = Endpoint {
                        id: endpoint.id.clone(),
                        state: State::Live,
                        load: 0,
                    };
                    scene.put(key, &idle)?;
                }
            }
        }
        // The requests are known to the other routers, too: what is new to them is bounded.
        scene.loads.mark_announced();
        scene.loads.refresh(NOW, &scene.view);
        Ok(scene)
    }

    fn put(&mut self, key: EndpointKey, endpoint: &Endpoint) -> Result<()> {
        self.observe(key, endpoint.state);
        let found = self.view.state(self.now, key);
        if found != endpoint.state.to_core() {
            return StateSnafu {
                endpoint: endpoint.id.to_string(),
                found: found.to_string(),
                wanted: endpoint.state.to_string(),
            }
            .fail();
        }
        for _ in 0..endpoint.load.min(MOST_LOAD) {
            self.loads.sent(self.now, key);
        }
        Ok(())
    }

    /// Leads the core's view to a state by what a router would observe.
    fn observe(&mut self, key: EndpointKey, state: State) {
        let leaving = state == State::Leaving;
        let self_report = SelfReport {
            life: None,
            leaving,
            seen: Observation::Reached,
            since: Some(self.now),
        };
        self.view.self_report(self.now, key, self_report);
        if leaving {
            return;
        }
        for _ in 0..MOST_OBSERVATIONS {
            if self.view.state(self.now, key) == state.to_core() {
                return;
            }
            self.view.seen(self.now, key, Observation::Unreached);
        }
    }
}
