//! Units of time, revision and size, so that a bare integer never crosses a module border.

use std::ops::{
    Add,
    Sub, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// `Millis` is a length of time in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Millis(pub u64);

impl Millis {
    /// Makes a length of time from whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1000))
    }
}

/// `Time` is a point on a node's monotonic clock in milliseconds. The clock counts suspended time
/// (`CLOCK_BOOTTIME`), so that a process that wakes late sees how late it is.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(pub u64);

impl Time {
    /// Gets the time since `earlier`, zero if that is later.
    pub const fn since(self, earlier: Time) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Millis {
    type Output = Millis;

    fn add(self, span: Millis) -> Millis {
        Millis(self.0.saturating_add(span.0))
    }
}

impl Add<Millis> for Time {
    type Output = Time;

    fn add(self, span: Millis) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub<Millis> for Time {
    type Output = Time;

    fn sub(self, span: Millis) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

/// `Wall` is a wall-clock time in milliseconds since the Unix epoch. It is compared with dates
/// that others wrote, never used to measure a length of time.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Wall(pub u64);

impl Add<Millis> for Wall {
    type Output = Wall;

    fn add(self, span: Millis) -> Wall {
        Wall(self.0.saturating_add(span.0))
    }
}

/// `Now` is one reading of both clocks of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Now {
    /// Monotonic time.
    pub mono: Time,
    /// Wall-clock time.
    pub wall: Wall,
}

impl Add<Millis> for Now {
    type Output = Now;

    fn add(self, span: Millis) -> Now {
        Now {
            mono: self.mono + span,
            wall: self.wall + span,
        }
    }
}

/// `Revision` is a revision of the published configuration; it only goes up.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

/// `Permille` is a ratio in thousandths: 1250 is a multiple of 1.25.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Permille(pub u32);

impl Permille {
    /// Makes the nearest ratio in thousandths; out of range becomes zero or the greatest.
    #[expect(clippy::cast_possible_truncation, reason = "a float cast saturates")]
    pub fn from_ratio(ratio: f64) -> Self {
        Self((ratio * 1000.0).round() as u32)
    }

    /// Multiplies `value` by the ratio, rounding up.
    pub const fn of(self, value: u64) -> u64 {
        value.saturating_mul(self.0 as u64).div_ceil(1000)
    }
}

/// `Incarnation` tells one life of a process from the next at the same address. Later lives have
/// greater numbers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);
