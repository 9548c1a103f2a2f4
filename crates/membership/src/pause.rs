//! Detects pauses of the process or the machine.

use std::time::Duration;

use chicorycroft_core::prelude::*;

/// A pause that has just ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DetectedPause {
    /// Time between two ticks in excess of the period, by the clock that shows more.
    pub duration: Duration,
    /// Whether only the wall clock shows the pause. Either the machine was suspended or the clock was stepped
    /// forward, which cannot be distinguished.
    pub is_wall_clock_only: bool,
}

/// Detects pauses by comparing the expected with the actual time between ticks.
///
/// The monotonic clock shows that the process was stopped. It does not advance while the machine is suspended,
/// which only the wall clock shows.
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    period: Duration,
    threshold: Duration,
    last: Option<(MonoTime, UnixTime)>,
}

impl PauseDetector {
    /// Creates a detector for ticks with the given period. Longer gaps than `period` plus `threshold` are pauses.
    pub fn new(period: Duration, threshold: Duration) -> Self {
        Self {
            period,
            threshold,
            last: None,
        }
    }

    /// Records a tick, and returns the pause since the last tick if there was one.
    pub fn on_tick(&mut self, mono: MonoTime, wall: UnixTime) -> Option<DetectedPause> {
        let (last_mono, last_wall) = self.last.replace((mono, wall))?;
        let by_mono = mono.since(last_mono).saturating_sub(self.period);
        let wall_millis = wall.as_millis().saturating_sub(last_wall.as_millis());
        let by_wall = Duration::from_millis(wall_millis).saturating_sub(self.period);
        let duration = by_mono.max(by_wall);
        (duration > self.threshold).then_some(DetectedPause {
            duration,
            is_wall_clock_only: by_mono <= self.threshold,
        })
    }
}
