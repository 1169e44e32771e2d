//! A router that is asked: as the home it grants from its bucket, else it passes on what it has.

use super::{
    CAUTION,
    HOME_CAUTION,
    Limits,
    MAX_RETRY,
    MIN_RETRY,
    Outgo,
    PROBE,
    Question,
    RELAY_RETRY,
    Role,
    Scene,
    Verdict,
    bucket::{
        Bucket,
        Take, //
    },
    refuse,
    row, //
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
    /// Answers a router's question as the workspace's home: requests granted and the time until
    /// more can be had. Nothing granted and no time says that the asker is the home itself.
    pub fn ask(
        &mut self,
        now: Time,
        config: &Config,
        question: Question,
        out: &mut Vec<Outgo>,
    ) -> (u32, Millis) {
        let Question {
            me,
            from,
            workspace,
            want,
        } = question;
        let Some(scene) = Scene::new(now, config, me, workspace) else {
            return (0, MAX_RETRY);
        };
        self.homes.heard(from);
        // A witness that asks says by that that this router is the home.
        let mut role = self.role(scene);
        if role == Role::Entry(Some(from)) && self.homes.first(now, me, scene.tag) == me {
            if let Some(row) = row(&mut self.rows, scene) {
                row.handed = true;
            }
            role = Role::Home;
        }
        match role {
            Role::Home if want == 0 => (0, MIN_RETRY),
            Role::Home => self.take(scene, Some(from), want),
            Role::Entry(Some(home)) if home == from => (0, Millis(0)),
            Role::Entry(home) => self.relay(scene, home, want, out),
        }
    }

    /// Finds this router's part. A router that is not the home holds no bucket, so that a later
    /// take-over starts afresh.
    pub(super) fn role(&mut self, scene: Scene) -> Role {
        let Scene { now, me, tag, .. } = scene;
        if self.homes.len() == 0 {
            return Role::Home;
        }
        let first = self.homes.first(now, me, tag);
        let row = self.rows.get_mut(scene.workspace);
        let Some(me) = me.filter(|_| first == me) else {
            if let Some(row) = row {
                row.bucket = None;
                row.handed = false;
            }
            let old = self.homes.predecessor(now, scene.me, tag);
            return Role::Entry(old.or(first));
        };
        if row.is_some_and(|row| row.handed || row.bucket.is_some()) {
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
        // The first in the published order fills from the time it became that; a substitute, and
        // one that draws on a predecessor first, from now.
        let published = scene.me.is_none() || self.homes.published(scene.tag) == scene.me;
        let fill = self.homes.fill(scene.now);
        let moved = self.homes.moved();
        let Some(row) = row(&mut self.rows, scene) else {
            return (0, MAX_RETRY);
        };
        let (born, caution) = match (published, row.handed) {
            (true, false) => (moved, HOME_CAUTION),
            // The one before has said that it is home no more.
            (true, true) => (scene.now, Millis(0)),
            (false, _) => (scene.now, CAUTION),
        };
        let bucket = row.bucket.get_or_insert_with(|| match self.homes.len() {
            // Nobody else can hold a bucket.
            0 | 1 => Bucket::full(born, scene.limit),
            _ => Bucket::new(born, caution, scene.limit),
        });
        let take = Take {
            limit: scene.limit,
            fill,
            want,
            from,
        };
        bucket.take(scene.now, take)
    }

    /// Passes on what this router itself was granted.
    pub(super) fn relay(
        &mut self,
        scene: Scene,
        home: Option<RouterKey>,
        want: u32,
        out: &mut Vec<Outgo>,
    ) -> (u32, Millis) {
        let Some(row) = row(&mut self.rows, scene) else {
            return (0, MAX_RETRY);
        };
        row.used = scene.now;
        row.demand.note(scene.now, want);
        let granted = row.lots.take(scene.now, want);
        if granted == want {
            return (granted, Millis(0));
        }
        // Whoever asks here finds the home unreachable: hear soon whether it is.
        row.refuse_until = row.refuse_until.min(row.refused + MIN_RETRY);
        if scene.now < row.refuse_until {
            return (granted, row.refuse_until.since(scene.now));
        }
        row.relayed = row.relayed.saturating_add(want - granted);
        self.send_ask(scene, home, out);
        (granted, RELAY_RETRY)
    }

    /// Asks the published home for a sign of life while this router stands in for it. A home that
    /// is back may speak to few routers; two buckets would fill until it speaks to this one.
    pub(super) fn tick_probe(&mut self, scene: Scene, out: &mut Vec<Outgo>) {
        let Some(row) = self.rows.get_mut(scene.workspace) else {
            return;
        };
        if row.bucket.is_none() || scene.now.since(row.probed) < PROBE {
            return;
        }
        row.probed = scene.now;
        let published = self.homes.published(scene.tag);
        let Some(home) = published.filter(|_| published != scene.me) else {
            return;
        };
        out.push(Outgo::Ask {
            home,
            workspace: scene.workspace,
            want: 0,
            nonce: 0,
        });
    }
}
