//! Digests between routers.

use rand::RngExt;
use toucanturn_core::{
    gateway::{
        mesh::{
            FANOUT,
            GOSSIP_INTERVAL,
            MAX_REPORTS,
            Sample, //
        },
        updates::DigestContents,
        warmup, //
    },
    units::Time,
};

use crate::lab::{
    fleet::{
        Fleet,
        Next,
        WAY, //
    },
    sheet::{
        Span,
        Trouble, //
    },
};

impl Fleet<'_> {
    /// Sends the digests that are due.
    pub(super) fn tell(&mut self, now: u64) {
        let routers = self.routers.len() as u64;
        if self.lost(now) {
            return;
        }
        let divides = |s: &Span| {
            matches!(
                s.trouble,
                Trouble::Brittle { .. } | Trouble::FatalPart { .. }
            )
        };
        let follows_fleet = self.sheet.troubles.iter().any(divides);
        let hash = |who: u64| xxhash_rust::xxh3::xxh3_64(&who.to_le_bytes());
        let hashes: Vec<u64> = (0..routers).map(hash).collect();
        let late = self.sheet.at(now).find_map(|t| match t {
            Trouble::LateDigests { by } => Some(by),
            _ => None,
        });
        let late = late.unwrap_or_default();
        let lost = self.lost_router(now);
        for who in 0..self.routers.len() {
            let turn = now + who as u64 * GOSSIP_INTERVAL.0 / routers;
            if !turn.is_multiple_of(GOSSIP_INTERVAL.0) || lost == Some(who) {
                continue;
            }
            self.beat(now, who);
            let router = &mut self.routers[who];
            router.fleet(Time(now), u32::try_from(routers).unwrap_or(u32::MAX));
            router.tick(Time(now));
            if follows_fleet {
                let others = (0..hashes.len()).filter(|other| *other != who);
                let fleet = warmup::Fleet {
                    me: hashes[who],
                    others: others.map(|other| hashes[other]).collect(),
                    expected: true,
                };
                router.update_fleet(Time(now), &fleet);
            }
            let mut contents = router.digest_contents(Time(now), now);
            if !self.sheet.tells_back_offs {
                contents.back_offs.clear();
            }
            debug_assert!(contents.reports.len() <= MAX_REPORTS);
            let samples = router.samples();
            for _ in 0..FANOUT {
                let whom = self.rng.random_range(0..self.routers.len());
                let hear = Next::Hear(whom, contents.clone(), samples.clone());
                if !self.is_cut(now, who, whom) {
                    self.later(now + WAY + late, hear);
                    if let Some(digest) = self.heartbeats(now, who, whom) {
                        self.later(now + WAY + late, Next::HearOfRouters(whom, digest));
                    }
                }
            }
        }
    }

    /// Tells whether no digest passes between two routers.
    pub(super) fn is_cut(&self, now: u64, from: usize, to: usize) -> bool {
        self.sheet.at(now).any(|t| match t {
            Trouble::CutOff { router } => router == from || router == to,
            Trouble::CutOffMany { routers } => from.min(to) < routers,
            _ => false,
        })
    }

    /// Gives a router what a digest tells.
    pub(super) fn hear(
        &mut self,
        now: u64,
        who: usize,
        contents: &DigestContents,
        samples: &[Sample],
    ) {
        let router = &mut self.routers[who];
        router.record_peer_report(Time(now), &contents.reports);
        router.record_peer_samples(Time(now), samples);
        router.record_peer_crashes(Time(now), &contents.crashes);
        router.record_peer_back_offs(Time(now), &contents.back_offs);
        router.record_peer_reads(Time(now), &contents.reads);
    }
}
