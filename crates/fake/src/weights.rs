//! The weight store, which starts few loads a second and slows down under many.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use tokio::time::Instant;

/// How often a load's progress is brought up to date.
const TICK: Duration = Duration::from_millis(10);

/// How fast a weight store is.
#[derive(Debug, Clone, Copy)]
pub struct WeightStoreConfig {
    /// Loads that it starts in a second.
    pub loads_per_second: f64,
    /// Loads that it serves at full speed at the same time.
    pub parallel_loads: u32,
    /// The full speed of one load, in bytes a second.
    pub bytes_per_second: f64,
}

impl Default for WeightStoreConfig {
    fn default() -> Self {
        Self { loads_per_second: 20.0, parallel_loads: 2, bytes_per_second: 400e9 }
    }
}

/// The weight store.
#[derive(Debug)]
pub struct WeightStore {
    config: WeightStoreConfig,
    /// When the next load may start.
    next: Mutex<Instant>,
    active: AtomicU32,
}

impl WeightStore {
    /// Creates a store.
    pub fn new(config: WeightStoreConfig) -> Self {
        Self { config, next: Mutex::new(Instant::now()), active: AtomicU32::new(0) }
    }

    /// Takes the time that a load of so many bytes takes, which is returned.
    pub async fn load(&self, bytes: u64) -> Duration {
        let asked = Instant::now();
        tokio::time::sleep_until(self.book()).await;
        let _active = Active::enter(&self.active);
        let mut left = bytes as f64;
        let mut last = Instant::now();
        while left > 0.0 {
            tokio::time::sleep(TICK).await;
            let now = Instant::now();
            left -= self.share() * (now - last).as_secs_f64();
            last = now;
        }
        asked.elapsed()
    }

    /// Books the next start that the rate allows.
    fn book(&self) -> Instant {
        let mut next = self.next.lock().expect("no holder of the booking panics");
        let start = (*next).max(Instant::now());
        *next = start + Duration::from_secs_f64(1.0 / self.config.loads_per_second);
        start
    }

    /// The present speed of one load, in bytes a second.
    ///
    /// Loads beyond the parallel ones share a speed that falls with each of
    /// them, as the store's disks lose time between their files.
    fn share(&self) -> f64 {
        let active = f64::from(self.active.load(Ordering::Relaxed).max(1));
        let parallel = f64::from(self.config.parallel_loads);
        let crowd = (active / parallel).max(1.0);
        self.config.bytes_per_second / (crowd * crowd)
    }
}

/// Counts a load while it lasts, also when its caller goes away.
struct Active<'a>(&'a AtomicU32);

impl<'a> Active<'a> {
    fn enter(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Active<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
