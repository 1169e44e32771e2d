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

/// Reads both clocks.
pub fn now() -> Now {
    let boot = clock_gettime(ClockId::Boottime);
    let millis = boot
        .tv_sec
        .saturating_mul(1000)
        .saturating_add(boot.tv_nsec / 1_000_000);
    let wall = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Now {
        mono: Time(u64::try_from(millis).unwrap_or_default()),
        wall: Wall(u64::try_from(wall.as_millis()).unwrap_or(u64::MAX)),
    }
}
