//! Histograms of latencies with logarithmic buckets.

use std::time::Duration;

/// Number of buckets: two for each power of two, from 64 microseconds to about a quarter of an
/// hour.
const BUCKET_COUNT: usize = 48;

/// Latencies below this number of microseconds share the first bucket.
const FIRST_MICROS: u64 = 64;

/// Counts of latencies in logarithmic buckets, two for each power of two. Histograms of several
/// hosts can be merged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LatencyHistogram {
    counts: [u32; BUCKET_COUNT],
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self {
            counts: [0; BUCKET_COUNT],
        }
    }
}

/// Returns the bucket of a latency.
pub fn bucket_of(latency: Duration) -> usize {
    let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
    if micros < FIRST_MICROS {
        return 0;
    }
    let octave = micros.ilog2();
    let is_upper_half = micros >> (octave - 1) & 1 == 1;
    let bucket = 2 * (octave - FIRST_MICROS.ilog2()) as usize + usize::from(is_upper_half);
    bucket.min(BUCKET_COUNT - 1)
}

/// Returns the lower bound of a bucket.
pub fn bucket_start(bucket: usize) -> Duration {
    let bucket = bucket.min(BUCKET_COUNT - 1);
    let octave = FIRST_MICROS << (bucket / 2);
    Duration::from_micros(octave + octave / 2 * (bucket as u64 % 2))
}

impl LatencyHistogram {
    /// Creates an empty histogram.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a latency.
    pub fn record(&mut self, latency: Duration) {
        let count = &mut self.counts[bucket_of(latency)];
        *count = count.saturating_add(1);
    }

    /// Adds the counts of another histogram.
    pub fn merge(&mut self, other: &Self) {
        for (count, other) in self.counts.iter_mut().zip(other.counts) {
            *count = count.saturating_add(other);
        }
    }

    /// Returns the number of latencies.
    pub fn len(&self) -> u64 {
        self.counts.iter().map(|count| u64::from(*count)).sum()
    }

    /// Returns `true` if the histogram contains no latency.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the bucket that contains the median, or `None` if the histogram is empty.
    pub fn median_bucket(&self) -> Option<usize> {
        let half = self.len().div_ceil(2);
        let mut sum = 0;
        let reaches_half = |count: &u32| {
            sum += u64::from(*count);
            half > 0 && sum >= half
        };
        self.counts.iter().position(reaches_half)
    }

    /// Returns the number of latencies in a bucket and all higher ones.
    pub fn count_from(&self, bucket: usize) -> u64 {
        let above = self.counts.iter().skip(bucket);
        above.map(|count| u64::from(*count)).sum()
    }

    /// Returns the buckets that are not empty with their counts, for a compact message.
    pub fn nonzero_buckets(&self) -> impl Iterator<Item = (u8, u32)> {
        let counts = (0..).zip(self.counts);
        counts.filter(|(_, count)| *count > 0)
    }

    /// Adds the count of a bucket from a message. A bucket that does not exist counts as the last
    /// one.
    pub fn add_to_bucket(&mut self, bucket: u8, count: u32) {
        let bucket = usize::from(bucket).min(BUCKET_COUNT - 1);
        self.counts[bucket] = self.counts[bucket].saturating_add(count);
    }
}
