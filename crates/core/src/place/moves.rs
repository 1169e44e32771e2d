//! Moves the KV caches of recent chats away from engines that leave, before the chats return.
//!
//! Each router remembers the chats that it dispatched most recently. When an engine starts to
//! leave, their prefixes are imported by their home, the first engine by rendezvous hash among
//! those that stay, a few with each tick. A chat that returns with a token for the departed engine
//! is sent to that home. A chat that was not remembered, or was moved but didn't find its prefix,
//! costs a prefill.

use indexmap::IndexMap;
use slotmap::SecondaryMap;

use super::PlacementContext;
use crate::{
    arena::{
        EndpointKey,
        ModelKey,
        WorkspaceKey, //
    },
    config::Config,
    load::{
        PoolKey,
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

/// Most chats that a router remembers; beyond that, the oldest entry is overwritten.
const MAX_RECENT_CHATS: usize = 32_768;
/// Most moves per tick, which leaves a leaving engine's network bandwidth to its answers.
const MOVES_PER_TICK: usize = 8;

/// Returning requests over which the moving average of a workspace's token share is taken.
const TOKEN_SHARE_REQUESTS: u32 = 16;
/// Share of returning chats with a token from which on a chat without one counts as new.
const MIN_TOKEN_SHARE: Permille = Permille(500);

/// `PrefixMove` is an import of a prefix from an engine that leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixMove {
    /// The prefix.
    pub prefix: Prefix,
    /// The engine that leaves.
    pub from: EndpointKey,
    /// The engine that imports it.
    pub to: EndpointKey,
}

#[derive(Clone, Copy, Debug)]
struct Chat {
    model: ModelKey,
    engine: EndpointKey,
    incarnation: Incarnation,
}

/// `TokenShare` is the recent share of returning chats that carried a placement token.
#[derive(Clone, Copy, Debug)]
struct TokenShare {
    share: Permille,
    requests: u32,
}

impl Default for TokenShare {
    fn default() -> Self {
        Self {
            share: Permille(1000),
            requests: 0,
        }
    }
}

impl TokenShare {
    fn note(&mut self, had_token: bool) {
        let target = if had_token { 1000 } else { 0 };
        self.share.0 = (self.share.0 * (TOKEN_SHARE_REQUESTS - 1) + target) / TOKEN_SHARE_REQUESTS;
        self.requests = self.requests.saturating_add(1);
    }
}

/// `RecentChats` holds the chats that this router dispatched most recently.
#[derive(Debug, Default)]
pub struct RecentChats {
    // A ring: `next` is the next slot to overwrite.
    chats: IndexMap<Prefix, Chat>,
    next: usize,
    // At most one entry for each configured workspace.
    token_shares: SecondaryMap<WorkspaceKey, TokenShare>,
    overall_token_share: TokenShare,
    // Engines that leave, with the slot down to which their chats have been moved.
    leaving: IndexMap<EndpointKey, usize>,
}

impl RecentChats {
    /// Records the engine to which a chat was dispatched.
    pub fn note(
        &mut self,
        prefix: Prefix,
        model: ModelKey,
        (engine, incarnation): (EndpointKey, Incarnation),
    ) {
        let chat = Chat {
            model,
            engine,
            incarnation,
        };
        if let Some(known) = self.chats.get_mut(&prefix) {
            *known = chat;
        } else if self.chats.len() < MAX_RECENT_CHATS {
            self.chats.insert(prefix, chat);
        } else {
            // The new chat replaces the slot's old one.
            self.chats.swap_remove_index(self.next);
            let (last, _) = self.chats.insert_full(prefix, chat);
            self.chats.swap_indices(self.next, last);
            self.next = (self.next + 1) % MAX_RECENT_CHATS;
        }
    }

    /// Gets the work with a placement token added where the caller sent none and one can be
    /// presumed: for the engine to which this router dispatched the chat last, or, in a workspace
    /// whose callers seldom send tokens, for the chat's home by rendezvous hash.
    ///
    /// A chat without a token is either new, or from a caller that doesn't keep tokens. A chat that
    /// counts as new goes where the load is low, so without this rule callers that keep no tokens
    /// would reach an engine with their prefix only by chance.
    pub fn with_presumed_token(
        &mut self,
        context: PlacementContext<'_>,
        workspace: WorkspaceKey,
        work: &Work,
    ) -> Work {
        let mut work = work.clone();
        let Work::Chat {
            prefix,
            token,
            model,
        } = &mut work
        else {
            return work;
        };
        let known = self.token(context.config, *prefix);
        if token.is_some() {
            self.note_token(workspace, 1, true);
        } else if known.is_some() {
            // This router recognizes a return without a token only if it dispatched the chat
            // itself, so each counts for all routers.
            let routers = u32::try_from(context.config.fleet.len()).unwrap_or(u32::MAX);
            self.note_token(workspace, routers.clamp(1, TOKEN_SHARE_REQUESTS), false);
        }
        *token = token.or(known);
        let keeps_tokens = self.keeps_tokens(workspace);
        if token.is_none() && !keeps_tokens {
            let home = home(context, *prefix, *model);
            let engine = home.and_then(|key| context.config.endpoints.get(key));
            *token = engine.map(|e| Token {
                last: e.tag,
                ..Token::default()
            });
        }
        work
    }

    /// Records `weight` times whether a returning chat had a token.
    fn note_token(&mut self, workspace: WorkspaceKey, weight: u32, had_token: bool) {
        for _ in 0..weight {
            self.overall_token_share.note(had_token);
        }
        if let Some(entry) = self.token_shares.entry(workspace) {
            let share = entry.or_default();
            for _ in 0..weight {
                share.note(had_token);
            }
        }
    }

    /// Tells whether most returning chats of a workspace have a token. While the workspace has had
    /// few returns, those of all workspaces decide.
    fn keeps_tokens(&self, workspace: WorkspaceKey) -> bool {
        let share = self.token_shares.get(workspace);
        let share = share.filter(|s| s.requests >= TOKEN_SHARE_REQUESTS);
        share.unwrap_or(&self.overall_token_share).share >= MIN_TOKEN_SHARE
    }

    /// Gets a token for the engine to which a chat was dispatched last.
    fn token(&self, config: &Config, prefix: Prefix) -> Option<Token> {
        let chat = self.chats.get(&prefix)?;
        let engine = config.endpoints.get(chat.engine)?;
        Some(Token {
            last: engine.tag,
            incarnation: chat.incarnation,
            before: None,
        })
    }

    /// Applies a new configuration.
    pub fn apply(&mut self, config: &Config) {
        self.token_shares
            .retain(|key, _| config.workspaces.get(key).is_some());
    }

    /// Gets the next prefixes to move away from engines that leave.
    pub fn moves(&mut self, context: PlacementContext<'_>) -> Vec<PrefixMove> {
        let is_leaving = |key: EndpointKey| context.view.state(context.now, key) == State::Leaving;
        self.leaving.retain(|key, _| is_leaving(*key));
        for (key, _) in context.view.all_leaving() {
            self.leaving.entry(key).or_insert(self.chats.len());
        }
        let mut out = Vec::new();
        for (&from, slot) in &mut self.leaving {
            while *slot > 0 && out.len() < MOVES_PER_TICK {
                *slot -= 1;
                let Some((prefix, chat)) = self.chats.get_index_mut(*slot) else {
                    continue;
                };
                if chat.engine != from {
                    continue;
                }
                if let Some(to) = home(context, *prefix, chat.model) {
                    chat.engine = to;
                    chat.incarnation = context.view.incarnation(to);
                    let prefix = *prefix;
                    out.push(PrefixMove { prefix, from, to });
                }
            }
        }
        out
    }
}

/// Gets a chat's home: the first engine by rendezvous hash among those that take work, whatever
/// their load. Engines of the own region come first.
fn home(context: PlacementContext<'_>, prefix: Prefix, model: ModelKey) -> Option<EndpointKey> {
    let pool = context.loads.pool(PoolKey::Model(model))?;
    let is_live = |at: &usize| {
        pool.usable(*at) == Usable::Yes
            && context.view.state(context.now, pool.keys()[*at]) == State::Live
    };
    let item = item_seed(prefix.0);
    let all = 0..pool.keys().len();
    let score = |at: &usize| score(item, pool.seeds(&all)[*at]);
    let local = pool.own_region().filter(is_live).max_by_key(score);
    let found = local.or_else(|| pool.other_regions().filter(is_live).max_by_key(score));
    found.map(|at| pool.keys()[at])
}
