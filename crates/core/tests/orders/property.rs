//! Random network cuts, pauses, restarts, replacements and publishes, with fixed seeds.

use googletest::prelude::*;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use toucanturn_core::units::Millis;

use crate::sim::{
    Setup,
    Simulation, //
};

/// Injects a random fault or publishes a new revision.
fn inject_fault(sim: &mut Simulation, rng: &mut StdRng, revision: &mut u64) {
    let router = rng.random_range(0..sim.routers.len());
    let engine = rng.random_range(0..sim.engines.len());
    match rng.random_range(0..7) {
        0 => sim.routers[router].isolated ^= true,
        1 => sim.routers[router].paused ^= true,
        2 => sim.restart(router),
        3 => {
            let engine = &mut sim.engines[engine];
            engine.incarnation += 1;
            engine.fence = 0;
            engine.loading = None;
            "v0".clone_into(&mut engine.version);
        }
        4 => sim.drop_replies ^= true,
        _ => {
            *revision += 1;
            let reachable: Vec<_> = (0..sim.routers.len())
                .filter(|n| !sim.routers[*n].isolated && !sim.routers[*n].paused)
                .collect();
            sim.publish(*revision, &format!("v{revision}"), &reachable);
        }
    }
}

#[gtest]
fn verify_engines_converge_on_the_published_version_after_random_faults() {
    // Guards against an engine that keeps a version published earlier, after any sequence of the
    // faults that the other tests inject one by one.
    for seed in 0..40u64 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut sim = Simulation::new(Setup {
            engines: 4,
            fenced: seed % 2 == 0,
            ..Setup::default()
        });
        let mut revision = 1;
        for _ in 0..20 {
            let wait = rng.random_range(100..8000);
            sim.run(Millis(wait));
            inject_fault(&mut sim, &mut rng, &mut revision);
        }
        sim.drop_replies = false;
        for router in &mut sim.routers {
            router.isolated = false;
            router.paused = false;
        }
        revision += 1;
        let version = format!("v{revision}");
        sim.publish_all(revision, &version);
        sim.run(Millis::from_secs(400));
        expect_that!(sim.versions(), each(eq(&version.as_str())), "seed {seed}");
        let sent_before = sim.sent.len();
        sim.run(Millis::from_secs(150));
        expect_that!(
            sim.sent.len(),
            eq(sent_before),
            "seed {seed}: orders sent after convergence"
        );
        for sent in &sim.sent {
            expect_that!(sent.order.revision, eq(sent.in_force), "seed {seed}");
        }
    }
}
