//! The same trace under a placement to compare with.

use toucanturn_core::request::{
    Attempt,
    Call, //
};

use crate::{
    baseline::{
        Baseline,
        Kind, //
    },
    trace::{
        EngineState,
        Happening,
        Request,
        Trace, //
    },
    world::{
        Due,
        Job,
        World, //
    },
};

/// Most attempts for one request.
const MAX_ATTEMPTS: u32 = 3;

/// Runs the trace with a baseline's placement and gives the world at its end.
pub fn run(trace: &Trace, kind: Kind, multiple: f64) -> World {
    let setup = &trace.setup;
    let mut world = World::new(setup);
    let mut baseline = Baseline::new(kind, setup, multiple);
    for (i, line) in trace.lines.iter().enumerate() {
        world.plan(line.at, Due::Line(i));
    }
    world.plan(0, Due::Sample);
    while let Some(due) = world.pop() {
        if world.now > setup.until {
            break;
        }
        match due {
            Due::Sample => world.sample(setup.until),
            Due::JobEnd(number) => {
                if let Some(job) = world.finish(number)
                    && let Happening::Request(request) = &trace.lines[job.line].what
                {
                    world.answered(request, None);
                }
            }
            Due::Line(i) => line(trace, i, &mut world, &mut baseline),
            Due::Router(..) => {}
        }
    }
    world
}

fn line(trace: &Trace, index: usize, world: &mut World, baseline: &mut Baseline) {
    match &trace.lines[index].what {
        Happening::Request(request) => {
            world.account.requests += 1;
            let first = Attempt(1);
            send(trace, index, request, first, world, baseline);
        }
        Happening::Engine { id, state } => {
            let found = trace.setup.engines.get_index_of(id);
            let jobs = found.map(|e| world.change(e, *state)).unwrap_or_default();
            for job in jobs {
                if let Happening::Request(request) = &trace.lines[job.line].what {
                    baseline.note(world.now, job.router.0, job.engine, false);
                    let next = Attempt(job.attempt.0 + 1);
                    send(trace, job.line, request, next, world, baseline);
                }
            }
        }
        Happening::Vms { routers, vms } => {
            for (id, state) in vms {
                let Some(engine) = trace.setup.engines.get_index_of(id) else {
                    continue;
                };
                for &router in routers {
                    baseline.note(world.now, router, engine, state == "live");
                }
            }
        }
        _ => {}
    }
}

fn send(
    trace: &Trace,
    line: usize,
    request: &Request,
    attempt: Attempt,
    world: &mut World,
    baseline: &mut Baseline,
) {
    let pool = crate::pool(&trace.setup, &request.target);
    let mut tried = Vec::new();
    for n in attempt.0..=MAX_ATTEMPTS {
        let Some((engine, from)) = baseline.choose(world, request, &pool, &tried) else {
            break;
        };
        let job = Job {
            engine,
            router: (request.router, 1),
            call: Call(line as u64),
            attempt: Attempt(n),
            line,
        };
        match world.start(job, request, from) {
            Ok(()) => return,
            Err(EngineState::Live | EngineState::Leaving | EngineState::Down) => {
                baseline.note(world.now, request.router, engine, false);
                tried.push(engine);
            }
        }
    }
    world.account.refused += 1;
}
