//! A weight store that limits the rate of loads and slows down under concurrent loads.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use tokio::time::Instant;

/// How often a load's progress is updated.
const UPDATE_INTERVAL: Duration = Duration::from_millis(10);

/// The throughput of a weight store.
#[derive(Debug, Clone, Copy)]
pub struct WeightStoreConfig {
    /// Loads started per second at most.
    pub loads_per_second: f64,
    /// Concurrent loads served at full speed.
    pub parallel_loads: u32,
    /// The full speed of one load, in bytes per second.
    pub bytes_per_second: f64,
}

impl Default for WeightStoreConfig {
    fn default() -> Self {
        Self { loads_per_second: 20.0, parallel_loads: 2, bytes_per_second: 400e9 }
    }
}

/// A weight store; it serves no data, only the time that a load takes.
#[derive(Debug)]
pub struct WeightStore {
    config: WeightStoreConfig,
    /// When the next load may start.
    next_start: Mutex<Instant>,
    active: AtomicU32,
}

impl WeightStore {
    /// Creates a store without active loads.
    pub fn new(config: WeightStoreConfig) -> Self {
        Self { config, next_start: Mutex::new(Instant::now()), active: AtomicU32::new(0) }
    }

    /// Waits as long as a load of `bytes` takes; returns that time, including the wait
    /// for its start.
    pub async fn load(&self, bytes: u64) -> Duration {
        let requested_at = Instant::now();
        tokio::time::sleep_until(self.reserve_start()).await;
        let _active = ActiveLoad::new(&self.active);
        let mut remaining = bytes as f64;
        let mut updated_at = Instant::now();
        while remaining > 0.0 {
            tokio::time::sleep(UPDATE_INTERVAL).await;
            let now = Instant::now();
            remaining -= self.current_speed() * (now - updated_at).as_secs_f64();
            updated_at = now;
        }
        requested_at.elapsed()
    }

    /// Reserves the next start that the rate limit allows.
    fn reserve_start(&self) -> Instant {
        let mut next_start =
            self.next_start.lock().expect("the start time's lock is not poisoned");
        let start = (*next_start).max(Instant::now());
        *next_start = start + Duration::from_secs_f64(1.0 / self.config.loads_per_second);
        start
    }

    /// The current speed of one load, in bytes per second.
    ///
    /// Beyond `parallel_loads`, the total throughput falls with each further load, since
    /// disks lose time when they switch between files.
    fn current_speed(&self) -> f64 {
        let active = f64::from(self.active.load(Ordering::Relaxed).max(1));
        let at_full_speed = f64::from(self.config.parallel_loads);
        let excess = (active / at_full_speed).max(1.0);
        self.config.bytes_per_second / (excess * excess)
    }
}

/// Counts an active load until dropped, so that a load is also released when its caller
/// disconnects.
struct ActiveLoad<'a>(&'a AtomicU32);

impl<'a> ActiveLoad<'a> {
    fn new(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for ActiveLoad<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
