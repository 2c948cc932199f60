//! Limits of the journal and the reasons for them.

use std::time::Duration;

/// Limits of one daemon's journal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Rows in one transaction.
    ///
    /// A row has about 300 bytes, so a transaction stays below 40 KB and takes
    /// about as long at the table service as a single row.
    pub max_batch_rows: usize,
    /// Minimum time between the starts of two transactions.
    ///
    /// The daemon sets it with [`batch_interval`], so that all journals together
    /// stay within [`MAX_TRANSACTIONS_PER_SECOND`].
    pub batch_interval: Duration,
    /// Changes that may be queued for the table, and requests that may wait for one slot
    /// to load; beyond it new requests are refused at once.
    pub max_queued: usize,
    /// How long a request may wait for the journal before it is refused.
    ///
    /// Longer than one slow transaction, and short enough that the caller can still
    /// retry within its deadline.
    pub wait_limit: Duration,
    /// How long a finished id is retained; after that it counts as new.
    pub retention: Duration,
    /// Ids held in memory; beyond it the oldest finished ones are evicted.
    ///
    /// An evicted id is still detected by the condition of the table's transaction.
    /// Ten thousand ids take under 20 MB of a daemon's 64 MB, including what loading
    /// them takes.
    pub max_ids: usize,
    /// Bytes of finished responses cached in memory.
    pub max_cached_bytes: usize,
    /// The first retry delay after the table service failed.
    pub initial_backoff: Duration,
    /// The longest retry delay after repeated failures of the table service.
    pub max_backoff: Duration,
}

/// Transactions per second that all journals together may start.
///
/// A third of the several hundred writes per second that the platform allows; the
/// rest is for leases, claims, the configuration and the ledgers.
pub const MAX_TRANSACTIONS_PER_SECOND: u32 = 200;

/// The shortest batch interval, also with a single daemon: half an engine step.
pub const MIN_BATCH_INTERVAL: Duration = Duration::from_millis(5);

/// The batch interval that keeps the journals of this many daemons together within
/// [`MAX_TRANSACTIONS_PER_SECOND`].
pub fn batch_interval(daemons: usize) -> Duration {
    let interval = Duration::from_secs(1) * daemons as u32 / MAX_TRANSACTIONS_PER_SECOND;
    interval.max(MIN_BATCH_INTERVAL)
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

/// A pseudorandom delay between half of `delay` and all of it.
///
/// Keeps daemons that fail at the same time from retrying at the same time.
pub(crate) fn jitter(delay: Duration, seed: &mut u64) -> Duration {
    // One step of SplitMix64, by Steele, Lea and Flood (2014).
    *seed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut mixed = *seed;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^= mixed >> 31;
    let fraction = (mixed >> 11) as f64 / (1u64 << 53) as f64;
    delay / 2 + (delay / 2).mul_f64(fraction)
}
