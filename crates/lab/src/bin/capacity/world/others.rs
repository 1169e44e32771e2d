//! What the modelled routers say, ask and answer, and which of them can't be reached.

use toucanturn_core::{
    arena::{
        EndpointKey,
        RouterKey, //
    },
    config::Endpoint,
    event::Event,
    ids::{
        Id,
        Tag, //
    },
    membership::State,
    peer::Message,
    units::{
        Incarnation,
        Millis,
        Revision, //
    },
};
use toucanturn_wire::{
    envelope::EXCHANGE,
    size, //
};

use super::{
    World,
    of, //
};

/// Time between two questions for a grant that a home hears: 20 a second in the mean.
const GRANT_EVERY: u64 = 50;

/// Time after which a message to a peer that is cut off is reported lost.
const LOST_AFTER: Millis = Millis(1250);

impl World {
    /// Lets each peer send its summary at its turn within the interval.
    pub(super) fn summaries(&mut self) {
        let interval = self.pace.0;
        let phase = usize::try_from(self.now.mono.0 % interval).unwrap_or(0);
        let step = usize::try_from(interval).unwrap_or(1);
        let beat = self.now.mono.0 / interval;
        let all = self.peers.len();
        for n in (phase..all).step_by(step) {
            let (from, mut summary) = self.peers[n].clone();
            if self.cut(from) {
                continue;
            }
            // Each report comes once in a poll interval.
            let rounds = self.config.policy.poll_interval.0 / interval;
            let mut at = 0;
            summary.reports.retain(|_| {
                at += 1;
                at % rounds == beat % rounds
            });
            self.peer("summary", from, Message::Summary(summary));
        }
    }

    /// Lets peers ask this router as a home and as a voter, as often as it asks them.
    pub(super) fn questions(&mut self) {
        let at = self.now.mono.0;
        let count = self.peers.len();
        if count == 0 {
            return;
        }
        let any = |n: u64| usize::try_from(n).unwrap_or(0) % count;
        if at.is_multiple_of(GRANT_EVERY)
            && let Some(&workspace) = self.own.get(any(at / GRANT_EVERY) % self.own.len().max(1))
        {
            let from = self.peers[any(at / GRANT_EVERY)].0;
            let message = Message::Ask {
                workspace,
                want: 1,
                nonce: at,
            };
            self.peer("ask", from, message);
        }
        // Of a larger fleet a majority and a sixteenth are asked in each quarter of a lease.
        let asked = if count < 16 {
            count
        } else {
            count.div_ceil(2) + count / 16
        };
        let quarter = self.config.policy.lease.0 / 4;
        let due = |ms: u64| ms * asked as u64 / quarter;
        for n in due(at % quarter)..due(at % quarter + 1) {
            let from = self.peers[any(n)].0;
            let message = Message::LeaseAsk {
                epoch: self.config.epoch,
                round: at / quarter,
                lease: self.config.policy.lease,
            };
            if !self.cut(from) {
                self.peer("lease ask", from, message);
            }
        }
    }

    /// Lets a peer say something.
    fn peer(&mut self, kind: &'static str, from: RouterKey, message: Message) {
        let bytes = size(&message) + EXCHANGE;
        let incarnation = Incarnation(1);
        let event = Event::Peer {
            from,
            incarnation,
            message,
        };
        self.handle(kind, event);
        self.events.entry(kind).or_default().bytes += bytes;
    }

    /// Changes the revision that peers tell of.
    pub(crate) fn told(&mut self, revision: Revision) {
        for (_, summary) in &mut self.peers {
            summary.revision = revision;
        }
    }

    /// Counts the endpoints of the node's region that can be reached and aren't taken for live.
    pub(crate) fn wronged(&self) -> usize {
        let region = |dc: &Id| self.config.policy.data_centers.get(dc);
        let me = self.node.me().and_then(|key| self.config.fleet.get(key));
        let home = me.and_then(|router| region(&router.data_center));
        let near = |e: &Endpoint| region(&e.data_center) == home;
        let live = |key| self.node.view().state(self.now.mono, key) == State::Live;
        let endpoints = self.config.endpoints.iter();
        let wronged = endpoints.filter(|(key, e)| near(e) && !self.gone(*key) && !live(*key));
        wronged.count()
    }

    /// Tells whether an endpoint can't be reached.
    pub(super) fn gone(&self, endpoint: EndpointKey) -> bool {
        let endpoint = self.config.endpoints.get(endpoint);
        let part = |tag: Tag| tag.0.is_multiple_of(self.part);
        endpoint.is_some_and(|e| self.lost.contains(&e.data_center) && part(e.tag))
    }

    pub(super) fn reply(&mut self, from: RouterKey, message: Message) {
        if self.cut(from) {
            if self.failing.insert(from) {
                self.later(LOST_AFTER, Event::PeerFailed { router: from });
            }
            return;
        }
        let answers = match message {
            Message::Ask {
                workspace,
                want,
                nonce,
            } => vec![Message::Grant {
                workspace,
                granted: want,
                retry_after: Millis(0),
                nonce,
            }],
            Message::LeaseAsk { epoch, round, .. } => vec![Message::LeaseAnswer {
                epoch,
                round,
                confirmed: true,
                previous: Revision(0),
            }],
            Message::Pull { since } => {
                let changes = self.store.after(since).into_iter();
                changes.map(Message::Push).collect()
            }
            _ => Vec::new(),
        };
        for message in answers {
            let tally = self.events.entry(of(&message)).or_default();
            tally.bytes += size(&message) + EXCHANGE;
            let incarnation = Incarnation(1);
            let event = Event::Peer {
                from,
                incarnation,
                message,
            };
            self.later(self.round_trip, event);
        }
    }
}
