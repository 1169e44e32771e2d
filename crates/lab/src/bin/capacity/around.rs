//! What the other routers of a fleet know and tell.

use std::sync::Arc;

use toucanturn_core::{
    arena::{
        EndpointKey,
        RouterKey, //
    },
    config::{
        Config,
        Endpoint,
        Kind, //
    },
    ids::Id,
    membership::pollers,
    peer::{
        self,
        Load,
        Summary, //
    },
    units::{
        Incarnation,
        Millis, //
    },
};

/// Requests in progress at an endpoint of the plan: 6,600 a second for 7.1 s over 3,900.
pub(crate) const IN_FLIGHT: u64 = 12;

/// Makes each peer's summary: its share of the requests in progress in its region, and the
/// reports of the endpoints that it polls.
pub(crate) fn peers(config: &Config, me: Option<RouterKey>) -> Vec<(RouterKey, Summary)> {
    let empty = Summary {
        revision: config.revision,
        epoch: config.epoch,
        ..Summary::default()
    };
    let routers = config.fleet.iter().filter(|(key, _)| Some(*key) != me);
    let mut peers: Vec<_> = routers.map(|(key, _)| (key, empty.clone())).collect();
    let region = |dc: &Id| config.policy.data_centers.get(dc);
    for (n, (_, endpoint)) in config.endpoints.iter().enumerate() {
        let near = |key| {
            let router = config.fleet.get(key);
            router.is_some_and(|r| region(&r.data_center) == region(&endpoint.data_center))
        };
        let mut local: Vec<usize> = (0..peers.len()).filter(|p| near(peers[*p].0)).collect();
        if local.is_empty() {
            local = (0..peers.len()).collect();
        }
        let in_flight = match endpoint.kind {
            Kind::Engine => IN_FLIGHT,
            Kind::Service => 1,
        };
        for one in 0..in_flight {
            let pick = (n as u64 * 31 + one).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
            let at = local[usize::try_from(pick).unwrap_or(0) % local.len()];
            let loads = &mut peers[at].1.loads;
            match loads.iter_mut().find(|l| l.endpoint == endpoint.tag) {
                Some(load) => load.in_flight += 1,
                None => loads.push(Load {
                    endpoint: endpoint.tag,
                    in_flight: 1,
                }),
            }
        }
        let first = |p: &&usize| pollers::rank(config, peers[**p].0, endpoint) == Some(0);
        if let Some(&first) = local.iter().find(first) {
            peers[first].1.reports.push(peer::Report {
                endpoint: endpoint.tag,
                incarnation: Incarnation(1),
                in_flight: u32::try_from(in_flight).unwrap_or(0),
                queued: 0,
                age: Millis(20),
            });
        }
    }
    peers
}

/// Gets the number of endpoints that this router is the first to poll.
pub(crate) fn first_polled(config: &Config, router: RouterKey) -> usize {
    let first =
        |(_, e): &(EndpointKey, &Arc<Endpoint>)| pollers::rank(config, router, e) == Some(0);
    config.endpoints.iter().filter(first).count()
}
