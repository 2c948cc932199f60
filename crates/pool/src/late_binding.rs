//! Decides in which runners' queues a request waits.
//!
//! Load pattern: a burst of prompts over runners whose queues drain at different speeds,
//! because streams end unevenly and runners differ in speed. A request that waits at one
//! runner alone starts late while another one has a free slot, until the bids are compared
//! again.
//!
//! The best runner is asked first, so that without load nothing changes. A request that is
//! still queued after [`JOIN_AFTER`] joins further queues, and the first holder that admits
//! it wins. At each comparison of bids, entries at runners that are still among the best are
//! kept.

use std::time::Duration;

use crate::fleet::ServerKey;

/// How long a request waits in one queue before it joins further ones.
///
/// A runner with free slots admits a request in less, between the prefills of two prompts.
pub const JOIN_AFTER: Duration = Duration::from_millis(30);

/// The same for a request with an adapter, which other runners may have to load first.
///
/// A load takes some 25 ms and may evict another adapter, so that a request that waits only
/// for its adapter should not have it loaded elsewhere as well.
pub const JOIN_AFTER_WITH_ADAPTER: Duration = Duration::from_millis(100);

/// The largest number of queues that a request waits in.
///
/// Each further one adds messages for every queued request, and shortens the wait by less.
pub const MAX_QUEUES: usize = 3;

/// The factor on the cost and the wait at runners whose queues the request is in.
///
/// The request itself is part of their backlog, a tenth to a quarter of the wait at runners
/// of 12 slots. Without the factor it would leave each queue for one of the same length.
const JOINED_FACTOR: f64 = 0.75;

/// A runner in whose queue a request may wait.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueOption {
    /// The runner.
    pub key: ServerKey,
    /// The cost in milliseconds by which runners are compared.
    pub cost_ms: f64,
    /// The estimated time to the first event, in milliseconds.
    pub wait_ms: f64,
    /// Whether the request is in its queue.
    pub joined: bool,
}

impl QueueOption {
    fn factor(&self) -> f64 {
        if self.joined { JOINED_FACTOR } else { 1.0 }
    }

    /// The estimated time to the first event, without what the request itself adds to it.
    pub fn wait(&self) -> Duration {
        let wait_ms = (self.wait_ms * self.factor()).max(0.0);
        Duration::try_from_secs_f64(wait_ms / 1000.0).unwrap_or(Duration::MAX)
    }

    fn cost_ms(&self) -> f64 {
        self.cost_ms * self.factor()
    }
}

/// Sorts the runners by their cost, the best first.
pub fn sort_options(options: &mut [QueueOption]) {
    options.sort_by(|a, b| a.cost_ms().total_cmp(&b.cost_ms()));
}

/// The queues to wait in, of runners sorted by [`sort_options`]: at most `max_queues`.
///
/// A queue that the request is not in is only joined if its wait is at most `max_wait`.
pub fn choose_queues(
    options: &[QueueOption],
    max_queues: usize,
    max_wait: Duration,
) -> Vec<QueueOption> {
    let is_worth_it = |option: &&QueueOption| option.joined || option.wait() <= max_wait;
    options.iter().take(max_queues).filter(is_worth_it).copied().collect()
}
