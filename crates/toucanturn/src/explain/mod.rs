//! `toucanturn explain`: where a request would go and why, by the core's own code, or as a
//! running gateway says.

use rand::{
    SeedableRng,
    rngs::StdRng, //
};
use snafu::ResultExt;
use toucanturn_core::{
    arena::{
        EndpointKey,
        RouterKey, //
    },
    config::Config,
    place,
    request::{
        Placed,
        Work, //
    },
};

use crate::{
    Verdict, args,
    errors::{
        ConfigSnafu,
        Error,
        Result,
        ViewSnafu, //
    },
    files, output,
    view::{
        PlacementContext,
        View, //
    },
};

mod chat;
mod gateway;
mod recorded;
mod report;
mod subject;

use report::Report;
use subject::Subject;

/// Explains a request.
pub(crate) fn run(args: &args::Explain) -> Result<Verdict> {
    if args.gateway.is_some() {
        return gateway::run(args);
    }
    if gateway::has_options(args) {
        let message = "explain: --route, --host, --path, --service, --parts, --tokens, --deadline, \
                       --id and --log go with --gateway";
        return Err(Error::usage(message));
    }
    let path = args.config.as_deref();
    let path =
        path.ok_or_else(|| Error::usage("explain: expected --config FILE or --gateway ADDRESS"))?;
    let config = Config::try_from(files::read(path)?.as_slice());
    let config = config.map_err(|faults| {
        let count = faults.len();
        ConfigSnafu { path, count }.build()
    })?;
    let view = args.view.as_deref().map(read_view).transpose()?;
    let subject = Subject::new(&config, args)?;
    let me = router(&config, args, view.as_ref())?;
    let scene = PlacementContext::new(&config, me, view.as_ref())?;
    let ranked = rank(&config, &scene, &subject.work, args.seed);
    let report = Report::new(&config, &scene, &subject, &ranked, args.seed);
    if args.json {
        output::print_json(&report)?;
    } else {
        output::print(&report.text())?;
    }
    Ok(if ranked.is_empty() {
        Verdict::No
    } else {
        Verdict::Yes
    })
}

fn read_view(path: &std::path::Path) -> Result<View> {
    let file = files::read(path)?;
    serde_json::from_slice(&file).context(ViewSnafu { path })
}

/// Gets the router that decides. It places in its own region first.
fn router(config: &Config, args: &args::Explain, view: Option<&View>) -> Result<Option<RouterKey>> {
    if let Some(name) = &args.router {
        return subject::find("router", name, config.fleet.names()).map(Some);
    }
    let id = view.and_then(|view| view.id.as_ref());
    Ok(id.and_then(|id| config.fleet.key(id)))
}

/// Ranks the endpoints as the router's attempts would: each time all earlier ones were tried.
fn rank(config: &Config, scene: &PlacementContext, work: &Work, seed: u64) -> Vec<Placed> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut tried: Vec<EndpointKey> = Vec::new();
    let mut ranked = Vec::new();
    // INVARIANT: every placement is of an endpoint that was not tried, so this ends.
    while let Some(placed) = choose(config, scene, work, &tried, &mut rng) {
        if tried.contains(&placed.endpoint) {
            break;
        }
        tried.push(placed.endpoint);
        ranked.push(placed);
    }
    ranked
}

fn choose(
    config: &Config,
    scene: &PlacementContext,
    work: &Work,
    tried: &[EndpointKey],
    rng: &mut StdRng,
) -> Option<Placed> {
    let scene = place::PlacementContext {
        config,
        view: &scene.view,
        loads: &scene.loads,
        now: scene.now,
    };
    place::choose(scene, work, tried, rng)
}
