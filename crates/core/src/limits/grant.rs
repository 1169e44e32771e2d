//! Answers to the grant requests of peers: the home grants from its bucket, another router relays
//! from its own grants.

use super::{
    GrantRequest,
    HOME_HALF_RATE_PERIOD,
    HOME_PROBE_INTERVAL,
    Limits,
    LimitsOutput,
    MAX_RETRY_AFTER,
    MIN_RETRY_AFTER,
    RELAY_RETRY_AFTER,
    Role,
    SUBSTITUTE_HALF_RATE_PERIOD,
    Scene,
    Verdict,
    bucket::{
        Bucket,
        Withdrawal, //
    },
    refuse,
    state_mut, //
};
use crate::{
    arena::RouterKey,
    config::Config,
    request::Call,
    units::{
        Millis,
        Time, //
    },
};

impl Limits {
    /// Answers a peer's grant request: the number of requests granted, and the time until more are
    /// available. Zero for both means that the peer itself is the home.
    pub fn ask(
        &mut self,
        now: Time,
        config: &Config,
        request: GrantRequest,
        out: &mut Vec<LimitsOutput>,
    ) -> (u32, Millis) {
        let GrantRequest {
            me,
            from,
            workspace,
            want,
        } = request;
        let Some(scene) = Scene::new(now, config, me, workspace) else {
            return (0, MAX_RETRY_AFTER);
        };
        self.homes.mark_reachable(from);
        // A witness that sends a grant request confirms by it that this router is the home.
        let mut role = self.role(scene);
        if role == Role::Entry(Some(from)) && self.homes.current_home(now, me, scene.tag) == me {
            if let Some(state) = state_mut(&mut self.states, scene) {
                state.home_confirmed = true;
            }
            role = Role::Home;
        }
        match role {
            Role::Home if want == 0 => (0, MIN_RETRY_AFTER),
            Role::Home => self.take(scene, Some(from), want),
            Role::Entry(Some(home)) if home == from => (0, Millis(0)),
            Role::Entry(home) => self.relay(scene, home, want, out),
        }
    }

    /// Determines this router's role. Removes the bucket if this router is not the home, so that it
    /// starts with a new one if it becomes the home later.
    pub(super) fn role(&mut self, scene: Scene) -> Role {
        let Scene { now, me, tag, .. } = scene;
        if self.homes.len() == 0 {
            return Role::Home;
        }
        let current = self.homes.current_home(now, me, tag);
        let state = self.states.get_mut(scene.workspace);
        let Some(me) = me.filter(|_| current == me) else {
            if let Some(state) = state {
                state.bucket = None;
                state.home_confirmed = false;
            }
            let predecessor = self.homes.predecessor(now, scene.me, tag);
            return Role::Entry(predecessor.or(current));
        };
        if state.is_some_and(|state| state.home_confirmed || state.bucket.is_some()) {
            return Role::Home;
        }
        match self.homes.witness(now, me, tag) {
            Some(witness) => Role::Entry(Some(witness)),
            None => Role::Home,
        }
    }

    pub(super) fn admit_as_home(&mut self, scene: Scene, call: Call) -> Verdict {
        match self.take(scene, None, 1) {
            (0, retry_after) => refuse(scene.me, call, retry_after),
            _ => Verdict::Admit,
        }
    }

    pub(super) fn take(
        &mut self,
        scene: Scene,
        from: Option<RouterKey>,
        want: u32,
    ) -> (u32, Millis) {
        // The published home's bucket fills from the change of the fleet list on; the bucket of a
        // substitute, or of a home that a witness has confirmed, from now on.
        let is_published = scene.me.is_none() || self.homes.published_home(scene.tag) == scene.me;
        let fill = self.homes.fill_share(scene.now);
        let fleet_changed = self.homes.fleet_changed();
        let Some(state) = state_mut(&mut self.states, scene) else {
            return (0, MAX_RETRY_AFTER);
        };
        let (created, half_rate_period) = match (is_published, state.home_confirmed) {
            (true, false) => (fleet_changed, HOME_HALF_RATE_PERIOD),
            // The predecessor has confirmed that it is no longer the home.
            (true, true) => (scene.now, Millis(0)),
            (false, _) => (scene.now, SUBSTITUTE_HALF_RATE_PERIOD),
        };
        let bucket = state.bucket.get_or_insert_with(|| match self.homes.len() {
            // No other router can hold a bucket.
            0 | 1 => Bucket::full(created, scene.limit),
            _ => Bucket::new(created, half_rate_period, scene.limit),
        });
        let withdrawal = Withdrawal {
            limit: scene.limit,
            fill,
            want,
            from,
        };
        bucket.take(scene.now, withdrawal)
    }

    /// Grants from this router's own grants, and requests the rest from the home.
    pub(super) fn relay(
        &mut self,
        scene: Scene,
        home: Option<RouterKey>,
        want: u32,
        out: &mut Vec<LimitsOutput>,
    ) -> (u32, Millis) {
        let Some(state) = state_mut(&mut self.states, scene) else {
            return (0, MAX_RETRY_AFTER);
        };
        state.last_request = scene.now;
        state.demand.note(scene.now, want);
        let granted = state.grants.take(scene.now, want);
        if granted == want {
            return (granted, Millis(0));
        }
        // The peer asks here because it can't reach the home, so this router checks soon whether it
        // can itself.
        state.refuse_until = state.refuse_until.min(state.refused_at + MIN_RETRY_AFTER);
        if scene.now < state.refuse_until {
            return (granted, state.refuse_until.since(scene.now));
        }
        state.relayed = state.relayed.saturating_add(want - granted);
        self.send_grant_request(scene, home, out);
        (granted, RELAY_RETRY_AFTER)
    }

    /// Probes the published home while this router substitutes for it. A home that is back may
    /// contact few routers at first, and two buckets would fill until it contacted this one.
    pub(super) fn probe_home(&mut self, scene: Scene, out: &mut Vec<LimitsOutput>) {
        let Some(state) = self.states.get_mut(scene.workspace) else {
            return;
        };
        if state.bucket.is_none() || scene.now.since(state.last_probe) < HOME_PROBE_INTERVAL {
            return;
        }
        state.last_probe = scene.now;
        let published = self.homes.published_home(scene.tag);
        let Some(home) = published.filter(|_| published != scene.me) else {
            return;
        };
        out.push(LimitsOutput::Ask {
            home,
            workspace: scene.workspace,
            want: 0,
            nonce: 0,
        });
    }
}
