//! The sending side: one link to each peer.

use std::sync::{
    Arc, PoisonError, RwLock,
    atomic::{
        AtomicU64,
        Ordering, //
    },
};

use indexmap::IndexMap;
use tokio::task::JoinHandle;
use toucanturn_core::{
    arena::RouterKey,
    peer::Message, //
};
use toucanturn_wire::forward;

use super::{
    Identity, Options, Peer,
    counters::Counters,
    errors::{
        Failure,
        ForwardError, //
    },
    link::{
        Link,
        Shared, //
    },
};

/// `Entry` is a link and the task that serves it.
struct Entry {
    link: Arc<Link>,
    task: JoinHandle<()>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// `Links` are the links by peer.
#[derive(Default)]
struct Links {
    entries: IndexMap<RouterKey, Entry>,
    /// Highest sequence number of the links that were dropped. A peer that comes back to the fleet
    /// goes on from here; numbers from 1 would be refused as replays.
    retired: u64,
}

/// `Client` sends to all peers. Dropping it ends its links.
pub struct Client {
    shared: Arc<Shared>,
    links: RwLock<Links>,
}

impl Client {
    /// Makes a client without peers. `failed` is called, from any task, when a peer could not be
    /// reached or refused a batch; it must not block.
    pub fn new(
        identity: Identity,
        options: Options,
        counters: Arc<Counters>,
        failed: Arc<dyn Fn(RouterKey) + Send + Sync>,
    ) -> Self {
        let shared = Shared {
            identity,
            options,
            counters,
            failed,
        };
        Self {
            shared: Arc::new(shared),
            links: RwLock::default(),
        }
    }

    /// Sets the peers: links to new ones begin, those to others end, and one whose address changed
    /// is connected anew. It must run within a tokio runtime.
    pub fn update(&self, peers: impl IntoIterator<Item = Peer>) {
        let mut links = self.links.write().unwrap_or_else(PoisonError::into_inner);
        let mut old = std::mem::take(&mut links.entries);
        let retired = links.retired;
        for peer in peers {
            let entry = match old.swap_remove(&peer.router) {
                Some(entry) if entry.link.peer == peer => entry,
                Some(entry) if entry.link.peer.tag == peer.tag => {
                    self.start(peer, Arc::clone(&entry.link.sequence))
                }
                _ => self.start(peer, Arc::new(AtomicU64::new(retired))),
            };
            links.entries.insert(peer.router, entry);
        }
        let gone = old.values().map(|e| &e.link.sequence);
        let highest = gone.map(|s| s.load(Ordering::Relaxed)).max();
        links.retired = retired.max(highest.unwrap_or(0));
    }

    fn start(&self, peer: Peer, sequence: Arc<AtomicU64>) -> Entry {
        let link = Arc::new(Link::new(peer, sequence, Arc::clone(&self.shared)));
        let task = tokio::spawn(Arc::clone(&link).run());
        Entry { link, task }
    }

    fn link(&self, router: RouterKey) -> Option<Arc<Link>> {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        links.entries.get(&router).map(|e| Arc::clone(&e.link))
    }

    /// Puts a message into a peer's queue; one for a router that is no peer is dropped.
    pub fn send(&self, router: RouterKey, message: Message) {
        if let Some(link) = self.link(router) {
            link.send(message);
        }
    }

    /// Forwards a call to its home and waits for the answer until the call's deadline. The call is
    /// sent at most once.
    ///
    /// # Errors
    ///
    /// [`ForwardError::sent`] says whether the home may have begun to process it.
    pub async fn forward(
        &self,
        router: RouterKey,
        request: &forward::Request,
    ) -> Result<forward::Reply, ForwardError> {
        match self.link(router) {
            Some(link) => link.forward(request).await,
            None => Err(ForwardError {
                sent: false,
                failure: Failure::UnknownPeer,
            }),
        }
    }
}
