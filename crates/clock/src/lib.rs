//! The clocks of this process.
//!
//! The monotonic one counts the time that the machine was suspended (`CLOCK_BOOTTIME`): a process
//! that wakes late must see how old its view is, or it would act on it.

#![forbid(unsafe_code)]

use std::time::{
    SystemTime,
    UNIX_EPOCH, //
};

use rustix::time::{
    ClockId,
    clock_gettime, //
};
use toucanturn_core::units::{
    Now,
    Time,
    Wall, //
};

/// Longest time between two readings of the monotonic clock between which the wall clock is read.
/// Keys are dated by the difference of the clocks: a process that is paused between the readings
/// would take keys that were just made for older than they are.
const MAX_READING_MS: u64 = 1;

/// Most readings of both clocks for one result. After them the last one counts: its wall clock is
/// late, so keys are refused but none runs twice.
const MAX_READINGS: usize = 16;

/// Reads both clocks at the same moment.
pub fn now() -> Now {
    read_together(monotonic, wall)
}

fn monotonic() -> Time {
    let boot = clock_gettime(ClockId::Boottime);
    let millis = boot
        .tv_sec
        .saturating_mul(1000)
        .saturating_add(boot.tv_nsec / 1_000_000);
    Time(u64::try_from(millis).unwrap_or_default())
}

fn wall() -> Wall {
    let wall = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Wall(u64::try_from(wall.as_millis()).unwrap_or(u64::MAX))
}

fn read_together(mut monotonic: impl FnMut() -> Time, mut wall: impl FnMut() -> Wall) -> Now {
    let mut mono = monotonic();
    for _ in 1..MAX_READINGS {
        let now = Now { mono, wall: wall() };
        let after = monotonic();
        if after.since(mono).0 <= MAX_READING_MS {
            return now;
        }
        mono = after;
    }
    Now { mono, wall: wall() }
}

#[cfg(test)]
mod tests {
    use std::cell::{
        Cell,
        RefCell, //
    };

    use googletest::prelude::*;

    use super::*;

    /// Difference of the clocks.
    const AHEAD: u64 = 1_000_000;

    /// Reads clocks in a process that is paused for as many milliseconds after each of its readings.
    fn paused(pauses: &[u64]) -> Now {
        let at = Cell::new(500);
        let pauses = RefCell::new(pauses.iter());
        let read = || {
            let now = at.get();
            at.set(now + pauses.borrow_mut().next().copied().unwrap_or_default());
            now
        };
        read_together(|| Time(read()), || Wall(read() + AHEAD))
    }

    /// Guards against keys that are refused as expired because the process was paused between its
    /// readings of the two clocks.
    #[gtest]
    fn verify_a_pause_between_readings_does_not_part_the_clocks() {
        for pauses in [&[][..], &[40], &[0, 40], &[40, 0, 0, 40], &[40, 40, 40, 40]] {
            let now = paused(pauses);
            expect_that!(now.wall.0 - now.mono.0, le(AHEAD + MAX_READING_MS));
            expect_that!(now.wall.0 - now.mono.0, ge(AHEAD));
        }
    }

    /// Guards against a reading that never ends in a process that is always paused.
    #[gtest]
    fn verify_readings_of_a_process_that_is_always_paused_end() {
        let now = paused(&[40; 1000]);
        expect_that!(now.wall.0 - now.mono.0, eq(AHEAD + 40));
    }
}
