//! Types for times, revisions, ratios and incarnations, so that modules don't pass bare integers
//! to each other.

use std::ops::{
    Add,
    Sub, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// `Millis` is a duration in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Millis(pub u64);

impl Millis {
    /// Makes a duration from whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1000))
    }
}

/// `Time` is a point on a node's monotonic clock in milliseconds. The clock includes the time that
/// the system is suspended (`CLOCK_BOOTTIME`), so that a process sees after a suspension how much
/// time has passed.
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

/// `Wall` is a wall-clock time in milliseconds since the Unix epoch. It is compared with timestamps
/// from other machines, and never used to measure a duration.
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

/// `Revision` is a revision of the published configuration; it only increases.
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
    /// Rounds a ratio to thousandths; a value out of range becomes zero or the greatest ratio.
    #[expect(clippy::cast_possible_truncation, reason = "a float cast saturates")]
    pub fn from_ratio(ratio: f64) -> Self {
        Self((ratio * 1000.0).round() as u32)
    }

    /// Multiplies `value` by the ratio, rounding up.
    pub const fn of(self, value: u64) -> u64 {
        value.saturating_mul(self.0 as u64).div_ceil(1000)
    }
}

/// `Incarnation` distinguishes successive processes at the same address. A later process has a
/// greater number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);
