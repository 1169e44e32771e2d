//! Plays engines that turn requests away and ask for pauses, before fleets whose routers tell each other of that, and
//! before fleets whose routers don't.
//!
//! ```text
//! cargo run --release -p toucanturn-replay --example measure_back_offs
//! ```

use toucanturn_replay::lab::{
    play,
    sheet::{
        Sheet,
        Span,
        Trouble, //
    },
};

#[path = "../tests/fleet/mod.rs"]
mod fleet;

/// Routers, engines and seeds.
const FLEETS: [(usize, usize, u64); 3] = [(7, 12, 12), (86, 140, 2), (295, 204, 1)];
/// When the engines turn requests away, in milliseconds.
const TROUBLE: (u64, u64) = (4000, 10_000);
/// Pause that they ask for, in milliseconds.
const BACK_OFF: u64 = 3000;
/// Time after the trouble in which the last pauses end, in milliseconds.
const RETURN: u64 = 4000;

fn main() {
    println!(
        "routers  engines that shed  peers told  on time meanwhile  in the return  over the multiple then  after all pauses"
    );
    for (routers, engines, seeds) in FLEETS {
        for share in [0.34, 0.6, 1.0] {
            for tells_back_offs in [false, true] {
                let sheet = Sheet {
                    troubles: vec![Span {
                        from: TROUBLE.0,
                        to: TROUBLE.1,
                        trouble: Trouble::Shed {
                            share,
                            back_off: BACK_OFF,
                        },
                    }],
                    length: 20_000,
                    tells_back_offs,
                    ..fleet::sheet(routers, engines, [330.0, 347.0, 92.0])
                };
                let (mut meanwhile, mut after) = (0.0, 0.0);
                let (mut over, mut over_later) = (0.0_f64, 0.0_f64);
                for seed in 1..=seeds {
                    let account = play(&sheet, seed);
                    meanwhile += account.on_time(TROUBLE.0, TROUBLE.1);
                    after += account.on_time(TROUBLE.1, TROUBLE.1 + RETURN);
                    over = over.max(account.worst_multiple_since(TROUBLE.1).0);
                    let later = account.worst_multiple_since(TROUBLE.1 + BACK_OFF);
                    over_later = over_later.max(later.0);
                }
                let seeds = f64::from(u32::try_from(seeds).unwrap_or(1));
                println!(
                    "{routers:7}  {share:17}  {tells_back_offs:10}  {:17.3}  {:13.3}  {over:22.3}  {over_later:16.3}",
                    meanwhile / seeds,
                    after / seeds
                );
            }
        }
    }
}
