//! Callers, and the home that each way finds for a key.

use std::sync::Arc;

use rand::RngExt;
use toucanturn_core::{
    config::Config,
    ids::{
        Tag,
        rendezvous, //
    },
    once::KeyDecision,
    request::{
        Answer,
        Call,
        Key,
        Outcome, //
    },
};

use super::{
    Action,
    Event,
    LOST,
    PATIENCE,
    REPEAT_AFTER,
    REPEATS,
    RUN_TIME,
    Sim,
    WALL,
    Way, //
};

impl Sim {
    pub(super) fn arrive(&mut self, number: usize) {
        let uuid = (u128::from(WALL + self.now) << 80) | (7 << 76) | number as u128;
        let key = Key {
            workspace: Tag(1),
            uuid,
        };
        self.actions.push(Action {
            key,
            tries: 0,
            ticket: None,
            runs: 0,
            told: None,
            answered: false,
        });
        self.send(self.actions.len() - 1);
    }

    /// Sends an action, or its repeat, to a router that is up; the balancer finds one.
    pub(super) fn send(&mut self, index: usize) {
        if self.actions[index].answered || self.actions[index].tries > REPEATS {
            return;
        }
        self.actions[index].tries += 1;
        self.sent += 1;
        let entry = loop {
            let entry = self.rng.random_range(0..self.setting.routers);
            if self.routers[entry].up {
                break entry;
            }
        };
        let key = self.actions[index].key;
        let life = self.routers[entry].life;
        let ticket = *self.actions[index].ticket.get_or_insert((entry, life));
        let home = match self.way {
            Way::Ticket => Some(ticket.0),
            Way::Lease => {
                let config: &Config = self.routers[entry].store.current();
                let home = config
                    .home(key.item())
                    .and_then(|k| config.fleet.get(k).cloned());
                home.map(|r| self.names[&r.id])
            }
            Way::Live => {
                let live = |n: &usize| self.routers[entry].live[*n] || *n == entry;
                let score = |n: &usize| rendezvous(key.item(), self.ids[*n].tag());
                (0..self.setting.routers).filter(live).max_by_key(score)
            }
        };
        let reached = |h: &usize| self.routers[*h].up && self.joined(entry, *h);
        match home.filter(reached) {
            Some(home) => self.at_home(index, entry, home, ticket),
            None => self.tell(index, Outcome::Unknown, true),
        }
    }

    fn at_home(&mut self, index: usize, entry: usize, home: usize, ticket: (usize, u64)) {
        let now = self.clock();
        let key = self.actions[index].key;
        let life = self.routers[home].life;
        let begin = match self.way {
            Way::Lease => {
                let config = Arc::clone(self.routers[home].store.current());
                let mine = config
                    .home(key.item())
                    .is_some_and(|k| Some(k) == self.key(home, home));
                if !mine {
                    return self.tell(index, Outcome::Unknown, true);
                }
                self.routers[home]
                    .home
                    .begin(now, &config, Call(index as u64), key, 1)
            }
            Way::Ticket if ticket.1 != life => return self.tell(index, Outcome::Unknown, false),
            Way::Ticket | Way::Live => match self.routers[home].known.insert(key, true) {
                None => KeyDecision::Run,
                Some(_) => KeyDecision::Replay(Answer::default()),
            },
        };
        match begin {
            KeyDecision::Run => {
                self.actions[index].runs += 1;
                self.push(
                    RUN_TIME,
                    Event::Ran {
                        action: index,
                        at: home,
                        life,
                        entry,
                    },
                );
            }
            KeyDecision::Replay(_) => self.tell(index, Outcome::Done, false),
            KeyDecision::Wait => self.push(REPEAT_AFTER, Event::Send(index)),
            KeyDecision::Refuse(refusal) => {
                self.tell(index, refusal.outcome, refusal.retry_after.is_some());
            }
        }
    }

    pub(super) fn ran(&mut self, action: usize, at: usize, life: u64, entry: usize) {
        let key = self.actions[action].key;
        let router = &mut self.routers[at];
        let alive = router.up && router.life == life;
        if alive {
            router.home.end(key, Outcome::Done, Some(Answer::default()));
        }
        if alive && self.routers[entry].up && self.joined(entry, at) {
            return self.tell(action, Outcome::Done, false);
        }
        self.push(PATIENCE, Event::Send(action));
    }

    /// Brings an answer to the caller, which repeats what it got no answer to or was told to.
    pub(super) fn tell(&mut self, index: usize, outcome: Outcome, again: bool) {
        if self.rng.random_range(0..1000) < LOST {
            return self.push(PATIENCE, Event::Send(index));
        }
        let action = &mut self.actions[index];
        action.told = Some(outcome);
        if outcome == Outcome::Unknown && again && action.tries <= REPEATS {
            return self.push(REPEAT_AFTER, Event::Send(index));
        }
        action.answered = true;
    }
}
