//! What the plan takes, worked out from what was measured.

use toucanturn_wire::envelope::EXCHANGE;

use crate::{
    CHANGES,
    COUNTED,
    MAY,
    PLAN,
    RATE,
    busy_ms,
    fit::Line,
    memory,
    per_second,
    published,
    short,
    world::World, //
};

pub(crate) fn budget(usual: &World, poll: f64, pulled: f64) -> f64 {
    println!("@@ bytes");
    println!("| what a router sends or asks for at the plan | 1/s | KB/s | of 24 KB/s |");
    println!("|---|---|---|---|");
    let exchange = EXCHANGE as f64;
    let line = |what: &str, rate: f64, bytes: f64| {
        let kb = rate * bytes / 1000.0;
        let share = kb / MAY.0 * 100.0;
        println!("| {what} | {} | {} | {share:.0}% |", short(rate), short(kb));
        kb
    };
    let peers = f64::from(PLAN.routers - 1);
    let summary = usual.action("summary").each() + exchange;
    let sent = per_second(usual.action("summary").count);
    let mut all = line("summaries each 200 ms", peers * 5.0, summary);
    all += line("early summaries", sent - peers * 5.0, summary);
    let asks = per_second(usual.action("ask").count);
    all += line("grants: questions", asks, 14.0 + exchange);
    let grants = usual.action("grant");
    let rate = per_second(grants.count);
    all += line(
        "grants: answers as a home, mean",
        rate,
        grants.each() + exchange,
    );
    let lease = per_second(usual.action("lease ask").count);
    all += line("lease questions, `lease_ms` 8000", lease, 11.0 + exchange);
    let answers = usual.action("lease answer");
    let rate = per_second(answers.count);
    all += line("lease answers", rate, answers.each() + exchange);
    let polls = per_second(usual.action("poll").count);
    all += line("polls, `poll_interval_ms` 1000, both ways", polls, poll);
    let list = published::vm_list(PLAN.endpoints).len() as f64;
    all += line("list of VMs, read", 1.0, list);
    let watched = published::service_bytes(&published::change(2, 1002)) as f64;
    all += line("configuration: watch", CHANGES + 1.0 / 30.0, watched + poll);
    all += line(
        "configuration: asked of peers, 20 ms away",
        CHANGES,
        pulled * 1000.0,
    );
    println!("| all | | {} | {:.0}% |", short(all), all / MAY.0 * 100.0);
    println!();
    println!(
        "One poll and its answer took {} B over TCP; the list of VMs is {} KB.",
        short(poll),
        short(list / 1000.0)
    );
    all
}

pub(crate) fn time(busy: &World, idle: (Line, Line), apply: f64) -> (f64, f64) {
    println!("@@ time");
    println!("| what takes processor time at the plan | ms of a core a second | of 31 |");
    println!("|---|---|---|");
    let line = |what: &str, ms: f64| {
        println!("| {what} | {} | {:.0}% |", short(ms), ms / MAY.1 * 100.0);
    };
    let kind = |k: &str| busy.event(k).time.as_secs_f64() * 1000.0 / COUNTED as f64;
    line("decisions: summaries heard", kind("summary"));
    line("decisions: ticks", kind("tick"));
    line("decisions: grants heard", kind("grant"));
    line("decisions: questions answered as a home", kind("ask"));
    line("decisions: lease questions answered", kind("lease ask"));
    line("decisions: all", busy_ms(busy));
    line("changes applied", apply / 1000.0 * CHANGES);
    let daemon = idle.1.at(330.0);
    line(
        "daemon without callers, by its line (summaries each 200 ms)",
        daemon,
    );
    (busy_ms(busy) + apply / 1000.0 * CHANGES, daemon)
}

pub(crate) fn sums(held: (memory::Held, memory::Held), idle: (Line, Line)) -> f64 {
    println!("@@ held");
    println!("| what takes memory at the plan | MB | of 32 |");
    println!("|---|---|---|");
    let line = |what: &str, mb: f64| {
        println!("| {what} | {} | {:.0}% |", short(mb), mb / MAY.2 * 100.0);
        mb
    };
    let (small, plan) = held;
    let mut all = line("daemon with its connections, by its line", idle.0.at(330.0));
    all += line(
        "configuration and the tables that it sizes",
        plan.config / 1e6,
    );
    all += line("what peers told", plan.heard / 1e6);
    let calls = plan.calls / f64::from(memory::CALLS) * RATE * 7.1;
    all += line("142 open chats, decisions only", calls / 1e6);
    let keys = small.keys / f64::from(memory::KEYS) * 40_000.0;
    all += line("40,000 keys with 200 B each, the bound", keys / 1e6);
    all += line("chats kept for moves, 32,768 at most", small.recent / 1e6);
    println!("| all | {} | {:.0}% |", short(all), all / MAY.2 * 100.0);
    all
}

pub(crate) fn verdict(bytes: f64, (decisions, daemon): (f64, f64), memory: f64) {
    println!("@@ verdict");
    println!("| a node may spend on control | at the plan it needs | times | met |");
    println!("|---|---|---|---|");
    let line = |may: &str, needs: String, times: f64| {
        let met = if times <= 1.0 { "yes" } else { "**no**" };
        println!("| {may} | {needs} | {times:.1} | {met} |");
    };
    let kb = format!("{} KB/s sent or asked for", short(bytes));
    line("24 KB a second", kb, bytes / MAY.0);
    let ms = format!("{:.1}% for decisions alone", decisions / 10.0);
    line("3.1% of a core", ms, decisions / MAY.1);
    let ms = format!(
        "{:.0}% for a daemon without callers, extrapolated from 24",
        daemon / 10.0
    );
    line("3.1% of a core", ms, daemon / MAY.1);
    let mb = format!(
        "{} MB, extrapolated from daemons in fleets of up to 24",
        short(memory)
    );
    line("32 MB", mb, memory / MAY.2);
}

pub(crate) fn platform() {
    println!("@@ platform");
    println!(
        "| the platform sees, at 330 routers | each router watches (today) | 7 readers a region (`config_readers`, not in use) |"
    );
    println!("|---|---|---|");
    let one = published::service_bytes(&published::change(2, 1002)) as f64;
    let fleet = published::service_bytes(&published::fleet_change(PLAN, 2)) as f64;
    let both = |what: &str, f: &dyn Fn(f64) -> f64| {
        println!("| {what} | {} | {} |", short(f(330.0)), short(f(35.0)));
    };
    both("watch calls a second, mean", &|n| {
        n * (CHANGES + 1.0 / 30.0)
    });
    both(
        "changes a second at which 2,000 calls/s are reached",
        &|n| 2000.0 / n,
    );
    both("most watch calls a second (one a tick)", &|n| n * 20.0);
    both("MB a day for 21,000 changes of workspaces", &|n| {
        n * 21_000.0 * one / 1e6
    });
    both("MB a day for 1,840 changes of the fleet", &|n| {
        n * 1840.0 * fleet / 1e6
    });
    let list = published::vm_list(PLAN.endpoints).len() as f64;
    let all = short(list * 330.0 / 1e6);
    println!("| MB a second for lists of VMs (330 calls/s) | {all} | {all} |");
}
