//! Tests of the prefill backlog: what keepers tell, whom routers ask, and what becomes of notes when routers,
//! links or keepers fail.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

use toucanturn_core::{
    arena::EndpointKey,
    gateway::{
        Gateway,
        Ticket,
        incoming_request::{
            IncomingRequest,
            Part,
            Prompt, //
        },
        mesh::{
            Heartbeat,
            Mesh, //
        },
        prefill::{
            Estimate,
            Note, //
        },
        variability::Speeds, //
    },
    ids::Tag,
    units::{
        Incarnation,
        Millis,
        Time, //
    },
};

use crate::fixture::{
    gateway_with_seed,
    request, //
};

mod claims;
mod failures;
mod ledger;

/// Gets a request with a shared part, of so many tokens.
fn chat(shared: u64, tokens: u32) -> IncomingRequest {
    let part = |id, tokens| Part { id, tokens };
    IncomingRequest {
        prompt: Some(Prompt {
            parts: vec![part(shared, tokens - 100), part(shared + 1000, 100)].into(),
            input: tokens,
            output: 50,
            ..Prompt::default()
        }),
        ..request("/chat/x")
    }
}

/// Makes a router in front of 12 endpoints whose speed varies.
fn varying(seed: u64) -> Gateway {
    let mut gateway = gateway_with_seed(12, seed);
    gateway.set_speeds(Speeds::Varying);
    gateway
}

fn tag_of(gateway: &Gateway, endpoint: EndpointKey) -> Tag {
    gateway
        .registry()
        .get(endpoint)
        .expect("it is listed")
        .tag()
}

struct Router {
    gateway: Gateway,
    mesh: Mesh,
}

/// `Sent` is a request that was sent to an endpoint.
struct Sent {
    router: usize,
    ticket: Ticket,
    endpoint: EndpointKey,
    tag: Tag,
}

/// `Fleet` is some routers and the links between them, on which a message arrives at once or not at all.
struct Fleet {
    routers: Vec<Router>,
    lost: Vec<usize>,
    /// Routers before this one don't reach the others.
    cut: usize,
    /// Whether nobody asks a keeper.
    silent: bool,
    /// Queries and notes that were sent.
    messages: usize,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let router = |number: usize| {
            let number = u32::try_from(number).expect("it is small");
            let me = Heartbeat {
                address: SocketAddrV4::new(Ipv4Addr::from(0x0a01_0000 + number), 7000),
                data_center: 1,
                incarnation: Incarnation(1),
                beat: 0,
                reads: false,
            };
            Router {
                gateway: varying(u64::from(number) + 1),
                mesh: Mesh::new(me, Vec::new()),
            }
        };
        Self {
            routers: (0..count).map(router).collect(),
            lost: Vec::new(),
            cut: 0,
            silent: false,
            messages: 0,
        }
    }

    /// Makes routers that know each other.
    fn acquainted(count: usize) -> Self {
        let mut fleet = Self::new(count);
        fleet.gossip(0);
        fleet
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let is_up = |router| !self.lost.contains(&router);
        is_up(from) && is_up(to) && (from < self.cut) == (to < self.cut)
    }

    /// Lets all routers hear each other, and the registry.
    fn gossip(&mut self, now: u64) {
        let now = Time(now);
        for from in 0..self.routers.len() {
            self.routers[from].mesh.round(now, 0);
            for to in 0..self.routers.len() {
                if from != to && self.reaches(from, to) {
                    let target = self.address(to);
                    let mesh = &mut self.routers[from].mesh;
                    let digest = mesh.digest(now, target, false, Vec::new());
                    self.routers[to].mesh.receive(now, &digest);
                }
            }
        }
        for router in &mut self.routers {
            let alive = router.mesh.size(now);
            router.gateway.fleet(now, alive);
            router.gateway.record_registry_read(now, now);
        }
    }

    /// Lets all routers report of endpoints to each other.
    fn report(&mut self, now: u64) {
        let now = Time(now);
        for from in 0..self.routers.len() {
            let reports = self.routers[from]
                .gateway
                .digest_contents(now, now.0)
                .reports;
            for to in 0..self.routers.len() {
                if from != to && self.reaches(from, to) {
                    let gateway = &mut self.routers[to].gateway;
                    gateway.record_peer_report(now, &reports);
                }
            }
        }
    }

    fn address(&self, router: usize) -> SocketAddrV4 {
        self.routers[router].mesh.own_heartbeat().address
    }

    /// Gets the router that another one takes for the keeper of a backlog.
    fn keeper(&self, router: usize, now: u64, endpoint: Tag) -> usize {
        let keeper = self.routers[router]
            .mesh
            .backlog_keeper(Time(now), endpoint);
        let Some(keeper) = keeper else {
            return router;
        };
        let mut all = 0..self.routers.len();
        all.find(|r| self.address(*r) == keeper)
            .expect("it is one of the fleet")
    }

    /// Asks the keepers as a router does; gets their estimates.
    fn ask(
        &mut self,
        router: usize,
        now: u64,
        ticket: &mut Ticket,
        request: &IncomingRequest,
    ) -> Vec<Estimate> {
        let gateway = &mut self.routers[router].gateway;
        let readers = gateway.prefill_readers(Time(now), ticket, request);
        let mut estimates = Vec::new();
        for (number, reader) in readers.into_iter().enumerate() {
            let gateway = &mut self.routers[router].gateway;
            let query = gateway.prefill_query(ticket, request, reader, number == 0);
            self.messages += 1;
            let keeper = self.keeper(router, now, reader.tag);
            if !self.reaches(router, keeper) {
                let address = self.address(keeper);
                let mesh = &mut self.routers[router].mesh;
                mesh.record_silent_keeper(Time(now), address);
                break;
            }
            let keeper = &mut self.routers[keeper].gateway;
            let estimate = keeper.answer_prefill_query(Time(now), &query);
            estimates.push(estimate);
            let gateway = &mut self.routers[router].gateway;
            let goes = gateway.record_prefill_estimate(Time(now), ticket, reader, &estimate);
            if number == 0 && goes {
                break;
            }
        }
        estimates
    }

    /// Sends the notes of a router to the keepers.
    fn deliver(&mut self, router: usize, now: u64) {
        for note in self.routers[router].gateway.take_prefill_notes() {
            self.messages += 1;
            let (Note::Reserved { endpoint, .. } | Note::Released { endpoint, .. }) = note;
            let keeper = self.keeper(router, now, endpoint);
            if self.reaches(router, keeper) {
                let keeper = &mut self.routers[keeper].gateway;
                keeper.record_prefill_note(Time(now), note);
            }
        }
    }

    fn send(&mut self, router: usize, now: u64, request: &IncomingRequest) -> Sent {
        let ticket = self.admit(router, now, request);
        self.place(router, now, ticket, request)
    }

    /// Admits a request, and asks for it.
    fn admit(&mut self, router: usize, now: u64, request: &IncomingRequest) -> Ticket {
        let gateway = &mut self.routers[router].gateway;
        let ticket = gateway.admit(Time(now), request);
        let mut ticket = ticket.expect("it is admitted");
        if !self.silent {
            self.ask(router, now, &mut ticket, request);
        }
        ticket
    }

    fn place(
        &mut self,
        router: usize,
        now: u64,
        mut ticket: Ticket,
        request: &IncomingRequest,
    ) -> Sent {
        let at = Time(now);
        let gateway = &mut self.routers[router].gateway;
        let placed = gateway.place(at, &ticket, request);
        let endpoint = placed.expect("there is an endpoint").endpoint;
        gateway.sent(at, &mut ticket, endpoint);
        let tag = tag_of(gateway, endpoint);
        self.deliver(router, now);
        Sent {
            router,
            ticket,
            endpoint,
            tag,
        }
    }

    /// Lets the first event of a request arrive.
    fn begin(&mut self, now: u64, sent: &Sent) {
        let gateway = &mut self.routers[sent.router].gateway;
        gateway.record_begun(Time(now), &sent.ticket, sent.endpoint);
        self.deliver(sent.router, now);
    }

    /// Gets how long a prompt would wait at an endpoint, according to the keeper that a router asks.
    fn wait(&mut self, router: usize, now: u64, endpoint: Tag) -> Millis {
        let keeper = self.keeper(router, now, endpoint);
        let query = toucanturn_core::gateway::prefill::Query {
            nonce: u64::MAX,
            endpoint,
            tokens: 1,
            bears: None,
        };
        let gateway = &mut self.routers[keeper].gateway;
        gateway.answer_prefill_query(Time(now), &query).wait
    }
}
