//! The account of one share, and the connections in it.

use std::fmt::{self, Display, Formatter};
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use chestnut_base::Clock;
use slog::{Logger, info};
use slotmap::SecondaryMap;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::quota::{Admission, ConnectionKey, Phase, Quota, QuotaLimits, Reserved};

/// How often a response that waits for memory looks for some.
const MEMORY_POLL_PERIOD: Duration = Duration::from_millis(5);

/// How long a newcomer waits until another connection has closed for it.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// How often it looks whether one may close for it.
const OPEN_RETRY_PERIOD: Duration = Duration::from_millis(20);

/// The shortest time between two log lines for the same reason.
const LOG_PERIOD: Duration = Duration::from_secs(1);

/// Why the daemon closed a connection, or refused a request on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// A head took longer than declared.
    HeadTimeout,
    /// No request came within the idle timeout.
    IdleTimeout,
    /// What arrived is no request, or its head exceeds the declared size.
    InvalidHead,
    /// The connection yielded its descriptor to another one.
    Evicted,
    /// All connections are in use, and the connection was closed unread.
    Full,
    /// The message yielded its memory to others, or there was none for it.
    OutOfMemory,
    /// The body had not arrived by the deadline of its request.
    BodyTimeout,
    /// The client had not read a response whose memory was needed for others.
    Unread,
}

impl CloseReason {
    /// All reasons.
    pub const ALL: [Self; 8] = [
        Self::HeadTimeout,
        Self::IdleTimeout,
        Self::InvalidHead,
        Self::Evicted,
        Self::Full,
        Self::OutOfMemory,
        Self::BodyTimeout,
        Self::Unread,
    ];

    /// The label in logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Self::HeadTimeout => "head timeout",
            Self::IdleTimeout => "idle timeout",
            Self::InvalidHead => "invalid head",
            Self::Evicted => "evicted",
            Self::Full => "full",
            Self::OutOfMemory => "out of memory",
            Self::BodyTimeout => "body timeout",
            Self::Unread => "unread response",
        }
    }
}

impl Display for CloseReason {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

/// Counts what an [`Intake`] closes; implemented by the metrics of a process.
pub trait Observer: Send + Sync {
    /// A connection was closed, or a request on it refused.
    fn record_close(&self, reason: CloseReason);
}

/// The connections of some listeners, and what they may hold.
pub struct Intake {
    /// The name of the share, in logs.
    name: &'static str,
    limits: QuotaLimits,
    clock: Arc<dyn Clock>,
    log: Logger,
    observer: Arc<dyn Observer>,
    /// Notified when a connection has closed.
    closed: Notify,
    state: Mutex<State>,
}

struct State {
    quota: Quota,
    /// Tells connections to close.
    evictions: SecondaryMap<ConnectionKey, CancellationToken>,
    /// By the index of the reason: how often since the last line, and when that was.
    closed: [(u64, Option<Instant>); CloseReason::ALL.len()],
}

impl Intake {
    /// Creates an account without connections.
    pub fn new(
        name: &'static str,
        limits: QuotaLimits,
        clock: Arc<dyn Clock>,
        log: Logger,
        observer: Arc<dyn Observer>,
    ) -> Self {
        let state = State {
            quota: Quota::new(limits),
            evictions: SecondaryMap::new(),
            closed: Default::default(),
        };
        let (closed, state) = (Notify::new(), Mutex::new(state));
        Self { name, limits, clock, log, observer, closed, state }
    }

    /// The open connections and the bytes of their messages.
    pub fn usage(&self) -> QuotaLimits {
        self.lock().quota.usage()
    }

    /// The current time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Adds a connection; `None` if it has to be closed at once, since none closes for it.
    ///
    /// Connections that were told to close do so soon. Until then newcomers wait.
    pub async fn open(self: &Arc<Self>) -> Option<Arc<Connection>> {
        let opened = async {
            loop {
                let mut closed = pin!(self.closed.notified());
                closed.as_mut().enable();
                if let Some(connection) = self.try_open() {
                    return connection;
                }
                // Others may have stalled when none has closed.
                let _ = timeout(OPEN_RETRY_PERIOD, closed).await;
            }
        };
        let opened = timeout(OPEN_TIMEOUT, opened).await;
        if opened.is_err() {
            self.record_close(CloseReason::Full);
        }
        opened.ok()
    }

    /// Adds a connection; `None` if there are too many that have not closed yet.
    fn try_open(self: &Arc<Self>) -> Option<Arc<Connection>> {
        let now = self.now();
        let mut state = self.lock();
        let evicted = state.quota.make_room(now);
        state.signal(evicted);
        let opened = state.quota.open(now)?;
        let eviction = CancellationToken::new();
        state.evictions.insert(opened.key, eviction.clone());
        drop(state);
        Some(Arc::new(Connection {
            intake: self.clone(),
            key: opened.key,
            admission: opened.admission,
            phase: Mutex::new(Phase::Idle),
            eviction,
        }))
    }

    /// Frees a descriptor, if a connection without a request in progress has one.
    pub fn evict_stalled(&self) {
        let now = self.now();
        let mut state = self.lock();
        let evicted = state.quota.evict_stalled(now);
        state.signal(evicted);
    }

    /// Counts a close, and logs it unless a line for the same reason was logged just before.
    pub fn record_close(&self, reason: CloseReason) {
        self.observer.record_close(reason);
        let now = self.now();
        let mut state = self.lock();
        let (count, logged_at) = &mut state.closed[reason as usize];
        *count += 1;
        let is_due =
            logged_at.is_none_or(|at| now.saturating_duration_since(at) >= LOG_PERIOD);
        if !is_due {
            return;
        }
        *logged_at = Some(now);
        let count = std::mem::take(count);
        let usage = state.quota.usage();
        drop(state);
        info!(self.log, "connections closed or refused"; "listeners" => self.name,
            "why" => reason.label(), "count" => count, "open" => usage.connections,
            "max_open" => self.limits.connections, "held_bytes" => usage.bytes,
            "max_bytes" => self.limits.bytes);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl State {
    fn signal(&self, evicted: impl IntoIterator<Item = ConnectionKey>) {
        for key in evicted {
            if let Some(eviction) = self.evictions.get(key) {
                eviction.cancel();
            }
        }
    }
}

/// An open connection; handlers find it among the extensions of a request.
pub struct Connection {
    intake: Arc<Intake>,
    key: ConnectionKey,
    admission: Admission,
    phase: Mutex<Phase>,
    eviction: CancellationToken,
}

impl Connection {
    /// Whether requests have to be refused, since those in progress use up all connections.
    pub fn is_refusing(&self) -> bool {
        self.admission == Admission::Refused
    }

    /// What the connection does.
    pub fn phase(&self) -> Phase {
        *self.phase.lock().expect("no holder of the lock panics")
    }

    /// Records what the connection does now.
    pub fn set_phase(&self, phase: Phase) {
        *self.phase.lock().expect("no holder of the lock panics") = phase;
        let now = self.intake.now();
        self.intake.lock().quota.set_phase(self.key, phase, now);
    }

    /// Records that bytes have arrived.
    pub fn record_progress(&self) {
        let now = self.intake.now();
        self.intake.lock().quota.record_progress(self.key, now);
    }

    /// Requests memory for its message, in bytes; `false` if the message has to be given up.
    pub fn reserve(&self, bytes: usize) -> bool {
        let now = self.intake.now();
        let mut state = self.intake.lock();
        let Reserved { granted, evicted } = state.quota.reserve(self.key, bytes, now);
        state.signal(evicted);
        granted
    }

    /// Requests memory that its message has taken already; without it, the message has to be
    /// given up.
    pub fn reserve_or_yield(&self, bytes: usize) {
        if !self.reserve(bytes) {
            self.intake.lock().quota.evict(self.key);
            self.eviction.cancel();
        }
    }

    /// Requests memory for a part of the response to its request, in bytes, and waits until
    /// there is some: a request that may have run can't be refused.
    pub async fn reserve_response(&self, bytes: usize) {
        while !self.is_evicted() && !self.reserve(bytes) {
            sleep(MEMORY_POLL_PERIOD).await;
        }
    }

    /// Records that a response of that many bytes is being sent, in place of its request.
    pub(crate) fn begin_response(&self, bytes: usize) {
        let now = self.intake.now();
        *self.phase.lock().expect("no holder of the lock panics") = Phase::Responding;
        let mut state = self.intake.lock();
        let Reserved { granted, evicted } =
            state.quota.begin_response(self.key, bytes, now);
        state.signal(evicted);
        if !granted {
            state.quota.evict(self.key);
            self.eviction.cancel();
        }
    }

    /// Waits until the connection has to close.
    pub async fn evicted(&self) {
        self.eviction.cancelled().await;
    }

    /// Whether the connection has to close.
    pub fn is_evicted(&self) -> bool {
        self.eviction.is_cancelled()
    }

    /// The account that it belongs to.
    pub fn intake(&self) -> &Arc<Intake> {
        &self.intake
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut state = self.intake.lock();
        state.quota.close(self.key);
        state.evictions.remove(self.key);
        drop(state);
        self.intake.closed.notify_waiters();
    }
}
