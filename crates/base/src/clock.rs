//! The time source that is passed in everywhere.

use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime};

use rustix::time::{ClockId, Timespec, clock_gettime};

/// A source of time.
///
/// Decisions never read the time themselves, so that tests can run them on a
/// [`ManualClock`].
pub trait Clock: Send + Sync + 'static {
    /// The monotonic time, for intervals and deadlines.
    fn now(&self) -> Instant;

    /// The wall-clock time, for logs and for what people read.
    fn wall_time(&self) -> SystemTime;

    /// The time that the VM has stood still since it was started, which the monotonic
    /// time does not count.
    fn suspended_time(&self) -> Duration;
}

/// The clock of the operating system.
#[derive(Debug, Default, Clone, Copy)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }

    fn suspended_time(&self) -> Duration {
        let monotonic = clock_gettime(ClockId::Monotonic);
        let boot = clock_gettime(ClockId::Boottime);
        let nanos = |time: Timespec| {
            i128::from(time.tv_sec) * 1_000_000_000 + i128::from(time.tv_nsec)
        };
        let still = nanos(boot) - nanos(monotonic);
        Duration::from_nanos(u64::try_from(still).unwrap_or_default())
    }
}

/// A clock that stands still until it is advanced.
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    offset: Mutex<Duration>,
    suspended: Mutex<Duration>,
}

impl ManualClock {
    /// Creates a clock that stands at its starting point.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            offset: Mutex::default(),
            suspended: Mutex::default(),
        }
    }

    /// Moves the clock forward.
    pub fn advance(&self, by: Duration) {
        *self.offset.lock().expect("no holder of the clock panics") += by;
    }

    /// Lets the VM stand still.
    pub fn suspend(&self, time: Duration) {
        *self.suspended.lock().expect("no holder of the clock panics") += time;
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

    fn wall_time(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed()
    }

    fn suspended_time(&self) -> Duration {
        *self.suspended.lock().expect("no holder of the clock panics")
    }
}
