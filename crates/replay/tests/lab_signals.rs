//! Engines that ask for pauses, or say that they leave, before fleets of several sizes in the laboratory.

mod fleet;

use googletest::prelude::*;
use toucanturn_replay::lab::{
    account::Account,
    play,
    sheet::{
        Sheet,
        Span,
        Trouble, //
    },
};

/// Routers and engines of the fleets.
const SIZES: [(usize, usize); 3] = [(7, 12), (86, 140), (295, 204)];
/// Milliseconds for which engines ask for no requests.
const BACK_OFF: u64 = 3000;
/// When the trouble begins and ends, in milliseconds.
const TROUBLE: (u64, u64) = (4000, 10_000);
/// Time after the trouble in which the last back-offs end, in milliseconds.
const RETURN: u64 = 4000;
const LENGTH: u64 = 16_000;
/// Largest share of requests that may reach engines over the published load multiple.
const MULTIPLE: f64 = 0.03;

fn account((routers, engines): (usize, usize), trouble: Trouble) -> Account {
    let sheet = Sheet {
        troubles: vec![Span {
            from: TROUBLE.0,
            to: TROUBLE.1,
            trouble,
        }],
        length: LENGTH,
        ..fleet::sheet(routers, engines, [330.0, 347.0, 92.0])
    };
    play(&sheet, 1)
}

/// Guards against routers that send on to engines that have asked for a pause, and against uneven load when it ends.
#[gtest]
fn verify_pauses_are_kept_at_any_size() {
    for size in SIZES {
        for share in [0.34, 1.0] {
            let shed = |back_off| Trouble::Shed { share, back_off };
            let asked = account(size, shed(BACK_OFF));
            let unasked = account(size, shed(0));
            expect_that!(asked.in_back_off, eq(0), "{size:?}, {share} of the engines");
            let (worst, from) = asked.worst_multiple_since(TROUBLE.1);
            expect_that!(worst, le(MULTIPLE), "{size:?}, {share}, from {from} ms");
            let after = TROUBLE.1 + RETURN;
            println!(
                "{size:?}, {share} of the engines shed: {} rejected, {:.3} on time meanwhile, {:.3} in the return, \
                 {:.3} after it, at most {} in 0.1 s at one engine; if they don't ask {}, {:.3}, {:.3}, {:.3}, {}",
                asked.rejected.len(),
                asked.on_time(TROUBLE.0, TROUBLE.1),
                asked.on_time(TROUBLE.1, after),
                asked.on_time(after, LENGTH - 1000),
                asked.largest_crowd(TROUBLE.1, after),
                unasked.rejected.len(),
                unasked.on_time(TROUBLE.0, TROUBLE.1),
                unasked.on_time(TROUBLE.1, after),
                unasked.on_time(after, LENGTH - 1000),
                unasked.largest_crowd(TROUBLE.1, after),
            );
        }
    }
}

/// Guards against routers that send on to engines that have told them that they leave, while the registry has not.
#[gtest]
fn verify_engines_that_say_they_leave_get_nothing_at_any_size() {
    for size in SIZES {
        let account = account(size, Trouble::Leaves { share: 0.2 });
        expect_that!(account.after_leaving, eq(0), "{size:?}");
        println!(
            "{size:?}, a fifth of the engines leave: {:.3} on time",
            account.on_time(TROUBLE.0, TROUBLE.1)
        );
    }
}
