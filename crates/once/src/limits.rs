//! Limits of the journal, with their grounds.

use std::time::Duration;

/// Limits of one daemon's journal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Rows in one transaction.
    ///
    /// A row has about 300 bytes, so that a transaction stays below 40 KB and
    /// its time at the table service close to that of a single row.
    pub max_batch_rows: usize,
    /// The least time between the starts of two transactions.
    ///
    /// The daemon sets it to the number of journalling daemons divided by
    /// [`MAX_TRANSACTIONS_PER_SECOND`].
    pub batch_interval: Duration,
    /// Requests that wait for the journal; more are refused at once.
    pub max_queued: usize,
    /// How long a request may wait for the journal before it is refused.
    ///
    /// Longer than one slow transaction, and short enough that the caller still
    /// meets its deadline elsewhere or later.
    pub wait_limit: Duration,
    /// How long a finished id is remembered; afterwards it counts as new.
    pub retention: Duration,
    /// Ids that are held in memory; the oldest finished ones are dropped first.
    ///
    /// A dropped id is still found by the check in the table's transaction. Ten
    /// thousand were measured to take under 20 MB of a daemon's 64 MB, with what
    /// reading them takes.
    pub max_ids: usize,
    /// Bytes of finished answers that are held in memory.
    pub max_cached_bytes: usize,
    /// The first wait after the table service failed.
    pub initial_backoff: Duration,
    /// The longest wait after the table service failed repeatedly.
    pub max_backoff: Duration,
}

/// Transactions a second that all journals together may start.
///
/// A third of the several hundred writes a second that the platform gives; the
/// rest is for leases, claims, the configuration and the ledgers.
pub const MAX_TRANSACTIONS_PER_SECOND: u32 = 200;

/// The least gap, also with a single daemon: half an engine step.
pub const MIN_BATCH_INTERVAL: Duration = Duration::from_millis(5);

/// The gap that keeps `daemons` journals within [`MAX_TRANSACTIONS_PER_SECOND`].
pub fn batch_interval(daemons: usize) -> Duration {
    let share = Duration::from_secs(1) * daemons as u32 / MAX_TRANSACTIONS_PER_SECOND;
    share.max(MIN_BATCH_INTERVAL)
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_batch_rows: 128,
            batch_interval: MIN_BATCH_INTERVAL,
            max_queued: 1024,
            wait_limit: Duration::from_millis(2500),
            retention: Duration::from_secs(24 * 3600),
            max_ids: 10_000,
            max_cached_bytes: 4 << 20,
            initial_backoff: Duration::from_millis(250),
            max_backoff: Duration::from_secs(5),
        }
    }
}

/// A time between half of `wait` and all of it, drawn from `seed`.
///
/// Daemons that fail at the same time must not come back at the same time.
pub(crate) fn jitter(wait: Duration, seed: &mut u64) -> Duration {
    // The step of SplitMix64, by Steele, Lea and Flood (2014).
    *seed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut mixed = *seed;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^= mixed >> 31;
    let part = (mixed >> 11) as f64 / (1u64 << 53) as f64;
    wait / 2 + (wait / 2).mul_f64(part)
}
