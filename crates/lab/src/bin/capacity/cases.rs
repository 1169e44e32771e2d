//! Single cases: a change, a fresh node, lost data centres, one workspace's grants.

use toucanturn_core::{
    peer::Change,
    units::{
        Millis,
        Revision, //
    },
};
use toucanturn_wire::envelope::EXCHANGE;

use crate::{
    COUNTED, FLEETS, PLAN, RATE, WARM, per_second,
    published::{
        self,
        Size, //
    },
    row, short,
    world::{
        self,
        World, //
    },
};

/// Measures one change: time to apply it, and what is asked of peers that have it before.
pub(crate) fn changes() -> (f64, f64) {
    println!("@@ changes");
    println!(
        "| a change of | bytes from the service | us at 7 routers | 66 | 165 | 330 | line in n | residual |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    let routers: Vec<f64> = FLEETS.iter().map(|s| f64::from(s.routers)).collect();
    let kinds: [(&str, Make); 3] = [
        ("one workspace", |_, n| {
            published::change(n, 1000 + u32::try_from(n).unwrap_or(0))
        }),
        ("one endpoint", |_, n| published::endpoint_change(n)),
        ("one router's address", published::fleet_change),
    ];
    let mut workspace = 0.0;
    for (name, make) in kinds {
        let points: Vec<f64> = FLEETS.iter().map(|size| applied(*size, make)).collect();
        let bytes = published::service_bytes(&make(PLAN, 2));
        row(&format!("{name} | {bytes}"), &points, &routers);
        if workspace == 0.0 {
            workspace = points[3];
        }
    }
    println!();
    let snapshot = published::snapshot(PLAN);
    let whole = World::with(&snapshot).event("publish").micros() / 1000.0;
    let bytes = published::service_bytes(&snapshot) as f64 / 1000.0;
    println!(
        "A whole snapshot at the plan: {} KB from the service, {} ms to apply.",
        short(bytes),
        short(whole)
    );
    println!();
    println!(
        "| peers are this far (round trip) | questions to peers for one change | KB asked and answered |"
    );
    println!("|---|---|---|");
    let mut pulled = 0.0;
    for round_trip in [1, 5, 20, 100] {
        let mut world = World::new(PLAN).surround();
        world.round_trip = Millis(round_trip);
        world.run(Millis(3000), 0.0);
        world.reset();
        world.told(Revision(2));
        world.foresee(&published::change(2, 1002));
        world.run(Millis(200), 0.0);
        world.publish(&published::change(2, 1002));
        world.run(Millis(1000), 0.0);
        let (asked, pushed) = (world.action("pull"), world.event("push"));
        let bytes = asked.bytes + pushed.bytes;
        let exchanges = asked.count as f64 * EXCHANGE as f64;
        let all = (bytes as f64 + exchanges) / 1000.0;
        println!("| {round_trip} ms | {} | {} |", asked.count, short(all));
        if round_trip == 20 {
            pulled = all;
        }
    }
    (workspace, pulled)
}

/// Makes the n-th change of a kind.
type Make = fn(Size, u64) -> Change;

/// Gets the microseconds that a node takes to put one change in force.
fn applied(size: Size, make: Make) -> f64 {
    let mut world = World::new(size).surround();
    world.run(Millis(3000), 0.0);
    world.reset();
    for n in 2..52 {
        world.publish(&make(size, n));
    }
    world.event("publish").micros()
}

/// Drives a node from its first snapshot on.
pub(crate) fn fresh() {
    println!("@@ fresh");
    println!("| a fresh node, after its snapshot | first second | seconds 2 to 10 | 11 to 60 |");
    println!("|---|---|---|---|");
    let mut world = World::new(PLAN).surround();
    let mut parts = Vec::new();
    for seconds in [1, 9, 50] {
        world.reset();
        world.run(Millis::from_secs(seconds), RATE);
        let ms = world.events.values().map(|t| t.time.as_secs_f64());
        parts.push((world.actions.clone(), ms.sum::<f64>() * 1000.0));
    }
    for kind in [
        "pull",
        "poll",
        "probe",
        "lease ask",
        "ask",
        "summary",
        "dispatch",
        "refuse",
    ] {
        let counts: Vec<String> = parts
            .iter()
            .map(|(actions, _)| actions.get(kind).map_or(0, |t| t.count).to_string())
            .collect();
        println!("| {kind} | {} |", counts.join(" | "));
    }
    let times: Vec<String> = parts.iter().map(|p| short(p.1)).collect();
    println!("| ms of decisions | {} |", times.join(" | "));
}

/// Drives a node at the plan that loses data centres for a minute.
pub(crate) fn losses() {
    println!("@@ losses");
    println!(
        "| actions of one node in a minute, and ms of decisions | none lost | a rack: a quarter of a data centre of its region | the whole data centre | another region |"
    );
    println!("|---|---|---|---|---|");
    let center = |n: u32| world::name(&format!("dc{n}"));
    let region: Vec<_> = [1, 6, 11, 16].map(center).to_vec();
    let cases = [
        (Vec::new(), 1),
        (vec![center(5)], 4),
        (vec![center(5)], 1),
        (region, 1),
    ];
    let mut parts = Vec::new();
    for (lost, part) in cases {
        let mut world = World::new(PLAN).surround();
        world.run(Millis::from_secs(WARM), RATE);
        world.reset();
        world.lost = lost;
        world.part = part;
        world.run(Millis::from_secs(60), RATE);
        parts.push(world);
    }
    let kinds = [
        "poll",
        "probe",
        "lease ask",
        "ask",
        "summary",
        "log line",
        "dispatch",
        "refuse",
    ];
    for kind in kinds {
        let counts: Vec<String> = parts
            .iter()
            .map(|w| w.action(kind).count.to_string())
            .collect();
        println!("| {kind} | {} |", counts.join(" | "));
    }
    let failed: Vec<String> = parts
        .iter()
        .map(|w| w.event("peer failed").count.to_string())
        .collect();
    let wronged: Vec<String> = parts.iter().map(|w| w.wronged().to_string()).collect();
    println!(
        "| reachable endpoints of its region not live at the end | {} |",
        wronged.join(" | ")
    );
    println!("| peers found lost | {} |", failed.join(" | "));
    let ms = |w: &World| w.events.values().map(|t| t.time.as_secs_f64()).sum::<f64>() * 1000.0;
    let times: Vec<String> = parts.iter().map(|w| short(ms(w))).collect();
    println!("| ms of decisions | {} |", times.join(" | "));
}

/// Measures how often a router asks for one workspace.
pub(crate) fn grants() {
    println!("@@ grants");
    println!(
        "| requests/s of one workspace at one router | questions/s | home of a workspace with 330 such routers: grants sent, KB/s |"
    );
    println!("|---|---|---|");
    for rate in [0.1, 0.5, 1.0, 2.27, 5.0, 20.0] {
        let mut world = World::new(Size::new(330, 3900, 1)).surround();
        world.run(Millis::from_secs(WARM), rate);
        world.reset();
        world.run(Millis::from_secs(COUNTED), rate);
        let asked = per_second(world.action("ask").count);
        let grant = 18.0 + EXCHANGE as f64;
        println!(
            "| {rate} | {} | {} |",
            short(asked),
            short(asked * 330.0 * grant / 1000.0)
        );
    }
}
