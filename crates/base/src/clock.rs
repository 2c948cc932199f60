//! The time source, which is injected so that tests can control it.

use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime};

use rustix::time::{ClockId, Timespec, clock_gettime};

/// A source of time.
///
/// Code that depends on the time takes a clock instead of reading the system's, so that
/// tests can run it on a [`ManualClock`].
pub trait Clock: Send + Sync + 'static {
    /// The monotonic time, for intervals and deadlines; excludes the time during which
    /// the VM was suspended.
    fn now(&self) -> Instant;

    /// The wall-clock time, for logs and other output.
    fn wall_time(&self) -> SystemTime;

    /// The total time for which the VM has been suspended since it booted, which
    /// [`now`](Self::now) does not count.
    fn suspended_time(&self) -> Duration;
}

/// The operating system's clocks.
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
        let suspended = nanos(boot) - nanos(monotonic);
        Duration::from_nanos(u64::try_from(suspended).unwrap_or_default())
    }
}

/// A clock for tests that only changes when it is advanced.
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    elapsed: Mutex<Duration>,
    suspended: Mutex<Duration>,
}

impl ManualClock {
    /// Creates a clock with an elapsed time of zero; its wall-clock time is the Unix
    /// epoch.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            elapsed: Mutex::default(),
            suspended: Mutex::default(),
        }
    }

    /// Advances the monotonic and the wall-clock time.
    pub fn advance(&self, duration: Duration) {
        *self.elapsed.lock().expect("clock lock is not poisoned") += duration;
    }

    /// Simulates a suspension of the VM: adds to the suspended time only.
    pub fn suspend(&self, duration: Duration) {
        *self.suspended.lock().expect("clock lock is not poisoned") += duration;
    }

    /// The total time by which the clock has been advanced.
    pub fn elapsed(&self) -> Duration {
        *self.elapsed.lock().expect("clock lock is not poisoned")
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
        *self.suspended.lock().expect("clock lock is not poisoned")
    }
}
