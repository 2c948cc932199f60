//! The time source that is passed in everywhere.

use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime};

/// A source of time.
///
/// Decisions never read the time themselves, so that tests can run them on a
/// [`ManualClock`].
pub trait Clock: Send + Sync + 'static {
    /// The monotonic time, for intervals and deadlines.
    fn now(&self) -> Instant;

    /// The wall-clock time, for logs and for what people read.
    fn wall(&self) -> SystemTime;
}

/// The clock of the operating system.
#[derive(Debug, Default, Clone, Copy)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that stands still until it is advanced.
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    offset: Mutex<Duration>,
}

impl ManualClock {
    /// Creates a clock that stands at its starting point.
    pub fn new() -> Self {
        Self { start: Instant::now(), offset: Mutex::new(Duration::ZERO) }
    }

    /// Moves the clock forward.
    pub fn advance(&self, by: Duration) {
        *self.offset.lock().expect("no holder of the clock panics") += by;
    }

    /// The time that has passed since the clock was created.
    pub fn elapsed(&self) -> Duration {
        *self.offset.lock().expect("no holder of the clock panics")
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed()
    }
}
