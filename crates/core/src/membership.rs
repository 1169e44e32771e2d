//! Which endpoints may get work, as far as this router knows.

use slotmap::SecondaryMap;

use crate::{
    arena::EndpointKey,
    config::Config,
    units::{
        Incarnation,
        Millis,
        Time, //
    },
};

/// `State` is an endpoint's state in this router's view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, serde::Serialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Takes work.
    #[default]
    Live,
    /// Takes work only where no live one can, until it is known better.
    Suspect,
    /// Gets no new work in this life.
    Leaving,
    /// Gets no work until a probe on a new connection succeeds.
    Down,
}

/// `Seen` is one observation of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    /// It answered a request, a poll or a probe.
    Answered,
    /// A connection could not be made, or it said 503.
    Refused,
    /// It made no progress, or broke off.
    Silent,
}

#[derive(Clone, Copy, Debug, Default)]
struct Member {
    state: State,
    incarnation: Incarnation,
    failures: u32,
    since: Time,
}

/// `View` is the state of every endpoint.
#[derive(Debug, Default)]
pub struct View {
    members: SecondaryMap<EndpointKey, Member>,
    heard: Time,
}

/// Failures in a row after which an endpoint counts as down.
const DOWN_AFTER: u32 = 3;

impl View {
    /// Follows a new configuration: endpoints that are gone from it are forgotten.
    pub fn apply(&mut self, now: Time, config: &Config) {
        self.members
            .retain(|key, _| config.endpoints.get(key).is_some());
        for (key, _) in config.endpoints.iter() {
            if !self.members.contains_key(key) {
                self.members.insert(
                    key,
                    Member {
                        since: now,
                        ..Member::default()
                    },
                );
            }
        }
    }

    /// Gets an endpoint's state; unknown ones are down.
    pub fn state(&self, _now: Time, endpoint: EndpointKey) -> State {
        self.members.get(endpoint).map_or(State::Down, |m| m.state)
    }

    /// Gets an endpoint's latest known life.
    pub fn incarnation(&self, endpoint: EndpointKey) -> Incarnation {
        self.members
            .get(endpoint)
            .map_or(Incarnation::default(), |m| m.incarnation)
    }

    /// Gets the time since the view last heard anything from outside.
    pub fn age(&self, now: Time) -> Millis {
        now.since(self.heard)
    }

    /// Notes that something was heard from the platform, a peer or an endpoint.
    pub fn heard(&mut self, now: Time) {
        self.heard = now;
    }

    /// Notes an observation; gives the new state if it changed.
    pub fn seen(&mut self, now: Time, endpoint: EndpointKey, seen: Seen) -> Option<State> {
        let member = self.members.get_mut(endpoint)?;
        if member.state == State::Leaving {
            return None;
        }
        let next = match seen {
            Seen::Answered => {
                member.failures = 0;
                State::Live
            }
            Seen::Refused | Seen::Silent => {
                member.failures += 1;
                if member.failures >= DOWN_AFTER {
                    State::Down
                } else {
                    State::Suspect
                }
            }
        };
        self.change(now, endpoint, next)
    }

    /// Notes that one life of an endpoint is leaving. This sticks until a later life is seen.
    pub fn leaving(
        &mut self,
        now: Time,
        endpoint: EndpointKey,
        incarnation: Incarnation,
    ) -> Option<State> {
        let member = self.members.get_mut(endpoint)?;
        if incarnation < member.incarnation {
            return None;
        }
        member.incarnation = incarnation;
        self.change(now, endpoint, State::Leaving)
    }

    /// Notes an endpoint's life; a later one starts afresh.
    pub fn life(
        &mut self,
        now: Time,
        endpoint: EndpointKey,
        incarnation: Incarnation,
    ) -> Option<State> {
        let member = self.members.get_mut(endpoint)?;
        if incarnation <= member.incarnation {
            return None;
        }
        member.incarnation = incarnation;
        member.failures = 0;
        self.change(now, endpoint, State::Live)
    }

    /// Lists the endpoints that are leaving.
    pub fn all_leaving(&self) -> impl Iterator<Item = (EndpointKey, Incarnation)> {
        let leaving = self
            .members
            .iter()
            .filter(|(_, m)| m.state == State::Leaving);
        leaving.map(|(key, m)| (key, m.incarnation))
    }

    /// Lists the endpoints that need a probe.
    pub fn to_probe(&self, _now: Time) -> impl Iterator<Item = EndpointKey> {
        let down = self.members.iter().filter(|(_, m)| m.state == State::Down);
        down.map(|(key, _)| key)
    }

    fn change(&mut self, now: Time, endpoint: EndpointKey, next: State) -> Option<State> {
        let member = self.members.get_mut(endpoint)?;
        let changed = member.state != next;
        if changed {
            member.state = next;
            member.since = now;
        }
        changed.then_some(next)
    }
}
