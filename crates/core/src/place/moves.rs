//! Chats that move with their KV cache before they return.
//!
//! Each router remembers the chats that it sent out last. When an engine starts to leave, they go
//! to their home by rendezvous hash among the engines that stay, a few with each tick; a chat that
//! returns with a token for the engine that is gone is looked for there. What is forgotten or
//! moved in vain costs a prefill.

use indexmap::IndexMap;
use slotmap::SecondaryMap;

use super::Scene;
use crate::{
    arena::{
        EndpointKey,
        ModelKey,
        WorkspaceKey, //
    },
    config::Config,
    load::{
        Group,
        Usable,
        item_seed,
        score, //
    },
    membership::State,
    request::{
        Prefix,
        Token,
        Work, //
    },
    units::{
        Incarnation,
        Permille, //
    },
};

/// Chats that a router remembers; the one sent longest ago is forgotten.
const MAX_RECENT: usize = 32_768;
/// Moves with each tick, so that a leaving engine's network is left to its answers.
const MOVES_PER_TICK: usize = 8;

/// Returns over which a workspace's share of tokens is taken.
const SHARE_REQUESTS: u32 = 16;
/// Share of tokens from which on a chat without one counts as new.
const KEEPS: Permille = Permille(500);

/// `Move` is a prefix that is to be imported elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    /// The prefix.
    pub prefix: Prefix,
    /// The engine that leaves.
    pub from: EndpointKey,
    /// The engine that is to hold it.
    pub to: EndpointKey,
}

#[derive(Clone, Copy, Debug)]
struct Chat {
    model: ModelKey,
    engine: EndpointKey,
    life: Incarnation,
}

/// `Share` is the share of chats that brought a token when they returned, of late.
#[derive(Clone, Copy, Debug)]
struct Share {
    kept: Permille,
    requests: u32,
}

impl Default for Share {
    fn default() -> Self {
        Self {
            kept: Permille(1000),
            requests: 0,
        }
    }
}

impl Share {
    fn note(&mut self, brought: bool) {
        let target = if brought { 1000 } else { 0 };
        self.kept.0 = (self.kept.0 * (SHARE_REQUESTS - 1) + target) / SHARE_REQUESTS;
        self.requests = self.requests.saturating_add(1);
    }
}

/// `Recent` is the chats that this router sent out last.
#[derive(Debug, Default)]
pub struct Recent {
    // A ring: the next slot to overwrite is `next`.
    chats: IndexMap<Prefix, Chat>,
    next: usize,
    // One entry for each configured workspace.
    tokens: SecondaryMap<WorkspaceKey, Share>,
    all_tokens: Share,
    // Engines that leave, with the slot down to which their chats were moved.
    leaving: IndexMap<EndpointKey, usize>,
}

impl Recent {
    /// Notes where a chat was sent.
    pub fn note(
        &mut self,
        prefix: Prefix,
        model: ModelKey,
        (engine, life): (EndpointKey, Incarnation),
    ) {
        let chat = Chat {
            model,
            engine,
            life,
        };
        if let Some(known) = self.chats.get_mut(&prefix) {
            *known = chat;
        } else if self.chats.len() < MAX_RECENT {
            self.chats.insert(prefix, chat);
        } else {
            // The slot's old chat is forgotten; the new one takes its place.
            self.chats.swap_remove_index(self.next);
            let (last, _) = self.chats.insert_full(prefix, chat);
            self.chats.swap_indices(self.next, last);
            self.next = (self.next + 1) % MAX_RECENT;
        }
    }

    /// Gets the work with a token, where the caller brought none and one can be presumed: for the
    /// engine that this router sent the chat to, or, in a workspace whose callers seldom bring
    /// tokens, for the chat's home by hash.
    ///
    /// A chat without a token is new or its caller doesn't keep tokens. Taken for new, it goes
    /// where the load is low, and callers without tokens would find their prefix by chance alone.
    pub fn recall(&mut self, scene: Scene<'_>, workspace: WorkspaceKey, work: &Work) -> Work {
        let mut work = work.clone();
        let Work::Chat {
            prefix,
            token,
            model,
        } = &mut work
        else {
            return work;
        };
        let known = self.token(scene.config, *prefix);
        if token.is_some() {
            self.note_token(workspace, 1, true);
        } else if known.is_some() {
            // This router sees only its own part of the returns that come without a token.
            let routers = u32::try_from(scene.config.fleet.len()).unwrap_or(u32::MAX);
            self.note_token(workspace, routers.clamp(1, SHARE_REQUESTS), false);
        }
        *token = token.or(known);
        let keeps = self.keeps_tokens(workspace);
        if token.is_none() && !keeps {
            let home = home(scene, *prefix, *model);
            let engine = home.and_then(|key| scene.config.endpoints.get(key));
            *token = engine.map(|e| Token {
                last: e.tag,
                ..Token::default()
            });
        }
        work
    }

    /// Notes that a chat which returned brought a token or not, as often as `weight` says.
    fn note_token(&mut self, workspace: WorkspaceKey, weight: u32, brought: bool) {
        for _ in 0..weight {
            self.all_tokens.note(brought);
        }
        if let Some(entry) = self.tokens.entry(workspace) {
            let share = entry.or_default();
            for _ in 0..weight {
                share.note(brought);
            }
        }
    }

    /// Tells whether most chats that return to a workspace bring a token, or to all workspaces
    /// while it has few.
    fn keeps_tokens(&self, workspace: WorkspaceKey) -> bool {
        let share = self.tokens.get(workspace);
        let share = share.filter(|s| s.requests >= SHARE_REQUESTS);
        share.unwrap_or(&self.all_tokens).kept >= KEEPS
    }

    fn token(&self, config: &Config, prefix: Prefix) -> Option<Token> {
        let chat = self.chats.get(&prefix)?;
        let engine = config.endpoints.get(chat.engine)?;
        Some(Token {
            last: engine.tag,
            incarnation: chat.life,
            before: None,
        })
    }

    /// Follows a new configuration.
    pub fn apply(&mut self, config: &Config) {
        self.tokens
            .retain(|key, _| config.workspaces.get(key).is_some());
    }

    /// Gets the next chats to move away from engines that leave.
    pub fn moves(&mut self, scene: Scene<'_>) -> Vec<Move> {
        let leaves = |key: EndpointKey| scene.view.state(scene.now, key) == State::Leaving;
        self.leaving.retain(|key, _| leaves(*key));
        for (key, _) in scene.view.all_leaving() {
            self.leaving.entry(key).or_insert(self.chats.len());
        }
        let mut out = Vec::new();
        for (&from, left) in &mut self.leaving {
            while *left > 0 && out.len() < MOVES_PER_TICK {
                *left -= 1;
                let Some((prefix, chat)) = self.chats.get_index_mut(*left) else {
                    continue;
                };
                if chat.engine != from {
                    continue;
                }
                if let Some(to) = home(scene, *prefix, chat.model) {
                    chat.engine = to;
                    chat.life = scene.view.incarnation(to);
                    let prefix = *prefix;
                    out.push(Move { prefix, from, to });
                }
            }
        }
        out
    }
}

/// Gets the first engine by rendezvous hash among those that take work, whatever its load.
fn home(scene: Scene<'_>, prefix: Prefix, model: ModelKey) -> Option<EndpointKey> {
    let pool = scene.loads.pool(Group::Model(model))?;
    let stays = |at: &usize| {
        pool.usable(*at) == Usable::Yes
            && scene.view.state(scene.now, pool.keys()[*at]) == State::Live
    };
    let item = item_seed(prefix.0);
    let all = 0..pool.keys().len();
    let score = |at: &usize| score(item, pool.seeds(&all)[*at]);
    let near = pool.near().filter(stays).max_by_key(score);
    let found = near.or_else(|| pool.far().filter(stays).max_by_key(score));
    found.map(|at| pool.keys()[at])
}
