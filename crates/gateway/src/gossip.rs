//! Gossip between routers: digests in UDP datagrams, and other messages that come on the same socket.
//!
//! Lost, late or replayed datagrams do no harm: the next round repeats the same information, and a digest that is
//! not newer than the last one of its sender is ignored.

use std::{
    rc::Rc,
    time::Duration, //
};

use tokio::{
    net::UdpSocket,
    time::{
        MissedTickBehavior,
        interval, //
    },
};
use toucanturn_core::gateway::mesh::{
    Digest,
    GOSSIP_INTERVAL, //
};
use toucanturn_wire::{
    gossip::{
        MAX_DATAGRAM,
        decode_digest,
        encode_digest,
        is_stream_reports,
        open,
        seal, //
    },
    prefill::is_prefill,
};

use crate::{
    prefill,
    state::{
        Shared,
        now, //
    },
    streams,
};

/// Sends and receives digests until the process ends.
pub async fn run(state: Shared, socket: Rc<UdpSocket>) {
    let mut buffer = [0; MAX_DATAGRAM];
    let mut rounds = interval(Duration::from_millis(GOSSIP_INTERVAL.0));
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = rounds.tick() => send_digests(&state, &socket).await,
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, _)) => receive_digest(&state, &buffer[..length]),
                // An ICMP error after sending to a peer that has ended, for example; receiving continues.
                Err(error) => tracing::debug!(%error, "can't receive a datagram"),
            },
        }
    }
}

async fn send_digests(state: &Shared, socket: &UdpSocket) {
    let at = now();
    let datagrams: Vec<_> = {
        let mut gateway = state.gateway.borrow_mut();
        let Some(catalog) = gateway.catalog().cloned() else {
            return;
        };
        let draw = gateway.draw();
        let mut mesh = state.mesh.borrow_mut();
        let targets = mesh.round(at, draw);
        let reads = state.reads.get();
        let samples = gateway.samples();
        let contents = gateway.digest_contents(at, draw);
        gateway.fleet(at, mesh.size(at));
        gateway.update_fleet(at, &mesh.fleet(at));
        gateway.update_peers(mesh.live(at).map(|r| r.address));
        let unreached_services = gateway.unreached_services();
        let mixed_services = gateway.mixed_services(draw);
        let versions_until = gateway.versions_until(at);
        let seal_for = |target| {
            let digest = Digest {
                samples: samples.clone(),
                crashes: contents.crashes.clone(),
                back_offs: contents.back_offs.clone(),
                unreached_services: unreached_services.clone(),
                mixed_services: mixed_services.clone(),
                versions_until,
                reads: contents.reads.clone(),
                ..mesh.digest(at, target, reads, contents.reports.clone())
            };
            let payload = encode_digest(&digest);
            (seal(&catalog.secret, catalog.version, payload), target)
        };
        targets.into_iter().map(seal_for).collect()
    };
    for (sealed, target) in datagrams {
        if let Err(error) = socket.send_to(&sealed, target).await {
            tracing::debug!(%error, %target, "can't send a digest");
        }
    }
}

fn receive_digest(state: &Shared, datagram: &[u8]) {
    let opened = open(datagram, |epoch| state.secret(epoch));
    if let Ok((_, payload)) = &opened
        && is_stream_reports(payload)
    {
        return streams::receive(state, payload);
    }
    if let Ok((_, payload)) = &opened
        && is_prefill(payload)
    {
        return prefill::receive(state, payload);
    }
    let digest = opened.and_then(|(epoch, payload)| Ok((epoch, decode_digest(&payload)?)));
    match digest {
        Ok((epoch, digest)) => {
            let fresh = state.mesh.borrow_mut().receive(now(), &digest);
            if fresh {
                let mut gateway = state.gateway.borrow_mut();
                gateway.record_peer_report(now(), &digest.reports);
                gateway.record_peer_crashes(now(), &digest.crashes);
                gateway.record_peer_back_offs(now(), &digest.back_offs);
                gateway.record_peer_reads(now(), &digest.reads);
                // Services are named by index, which is valid for one configuration version only.
                if gateway.catalog().is_some_and(|c| c.version == epoch) {
                    gateway.record_peer_samples(now(), &digest.samples);
                    let from = digest.from.address;
                    gateway.record_peer_unreached(now(), from, &digest.unreached_services);
                    gateway.record_peer_mixed(now(), &digest.mixed_services);
                    let mixed = &digest.mixed_services;
                    gateway.heard_peer(now(), digest.versions_until, mixed);
                }
            }
            state
                .metrics
                .count("digests", if fresh { "heard" } else { "old" });
        }
        Err(error) => {
            state.metrics.count("digests", "refused");
            tracing::debug!(%error, "digest refused");
        }
    }
}
