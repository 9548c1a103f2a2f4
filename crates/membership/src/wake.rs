//! Recognises that the process or the machine was paused.

use std::time::Duration;

use chicorycroft_core::prelude::*;

/// A pause that has just ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WakeGap {
    /// Time between two ticks beyond the expected one, by the clock that shows more.
    pub gap: Duration,
    /// Whether only the wall clock shows the pause: the machine was suspended, or the clock was
    /// stepped forward, which cannot be told apart.
    pub is_by_wall_only: bool,
}

/// Compares the expected with the actual time of ticks.
///
/// The monotonic clock shows a stopped process. It stands still while a machine is suspended, which
/// the wall clock shows.
#[derive(Clone, Copy, Debug)]
pub struct WakeDetector {
    tick: Duration,
    wake_gap: Duration,
    last: Option<(MonoTime, UnixTime)>,
}

impl WakeDetector {
    /// Makes a detector for ticks of the given period.
    pub fn new(tick: Duration, wake_gap: Duration) -> Self {
        Self {
            tick,
            wake_gap,
            last: None,
        }
    }

    /// Notes a tick and returns the pause that it ends, if there was one.
    pub fn on_tick(&mut self, mono: MonoTime, wall: UnixTime) -> Option<WakeGap> {
        let (last_mono, last_wall) = self.last.replace((mono, wall))?;
        let by_mono = mono.since(last_mono).saturating_sub(self.tick);
        let wall_millis = wall.as_millis().saturating_sub(last_wall.as_millis());
        let by_wall = Duration::from_millis(wall_millis).saturating_sub(self.tick);
        let gap = by_mono.max(by_wall);
        (gap > self.wake_gap).then_some(WakeGap {
            gap,
            is_by_wall_only: by_mono <= self.wake_gap,
        })
    }
}
