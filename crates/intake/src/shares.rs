//! How the limits of a process are divided.

use rustix::process::{Resource, getrlimit};

use crate::quota::QuotaLimits;

/// The descriptors that a machine reserves for files.
const FILE_DESCRIPTORS: u64 = 200;

/// The memory of a process whose settings don't tell it, in bytes.
const DEFAULT_MEMORY: u64 = 256_000_000;

/// The descriptors of a process that has no limit.
const MAX_DESCRIPTORS: u64 = 1 << 20;

/// The memory that a connection takes beside what its quota counts, in bytes: its task, the
/// buffers of HTTP, and those of the kernel.
pub const CONNECTION_BYTES: u64 = 96 * 1024;

/// The buffer for received bytes of a connection that are not read; the kernel may use twice as
/// much memory.
pub const RECEIVE_BUFFER: u32 = 24 * 1024;

/// The buffer for sent bytes of a connection that its client does not have yet; the kernel may
/// use twice as much memory.
pub const SEND_BUFFER: u32 = 16 * 1024;

/// The part of the sockets that connections to servers have: as many as the shares of callers and
/// other daemons.
const SERVER_SOCKETS: f64 = 0.36;

/// The bounds of [`ProcessLimits::backlog`].
const MIN_BACKLOG: u32 = 16;
const MAX_BACKLOG: u32 = 1024;

/// What a process may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory in bytes, with what the kernel has received for the process.
    pub memory: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

/// The listeners that share a quota.
///
/// A crowd at some listeners leaves the share of the others alone. What no share has is left for
/// connections to servers, for the store and for the state of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Share {
    /// Listeners for callers' requests.
    Callers,
    /// Listeners for lookups, checks and operators.
    Lookups,
    /// Listeners for other daemons.
    Peers,
}

impl ProcessLimits {
    /// Limits of `memory_mb` (10⁶ bytes) and `descriptors`, where they are known.
    ///
    /// Descriptors default to the limit of the process (`RLIMIT_NOFILE`).
    pub fn new(memory_mb: Option<f64>, descriptors: Option<u64>) -> Self {
        let allowed = getrlimit(Resource::Nofile).current;
        let allowed = allowed.unwrap_or(MAX_DESCRIPTORS).min(MAX_DESCRIPTORS);
        let memory = memory_mb.map(|megabytes| (megabytes * 1e6) as u64);
        Self {
            memory: memory.unwrap_or(DEFAULT_MEMORY),
            descriptors: descriptors.unwrap_or(allowed).min(allowed),
        }
    }

    /// The most connections to a listener that wait to be accepted.
    ///
    /// The kernel receives their first bytes: while the process stands still, they take memory
    /// that no quota counts.
    pub fn backlog(self, share: Share) -> u32 {
        let part = match share {
            Share::Callers => 0.04,
            Share::Lookups => 0.008,
            Share::Peers => 0.01,
        };
        let count = self.memory as f64 * part / f64::from(2 * RECEIVE_BUFFER);
        (count as u32).clamp(MIN_BACKLOG, MAX_BACKLOG)
    }

    /// The most connections to servers and forwarding daemons.
    ///
    /// Each request in progress has one, those that are forwarded for other daemons included.
    pub fn server_connections(self) -> usize {
        (self.sockets() as f64 * SERVER_SOCKETS) as usize
    }

    /// The descriptors that are left for sockets.
    fn sockets(self) -> u64 {
        self.descriptors.saturating_sub(FILE_DESCRIPTORS)
    }

    /// The part of a share.
    pub fn quota(self, share: Share) -> QuotaLimits {
        // Connections that are being closed may exceed their number and their bytes by a quarter.
        let (connections, connection_memory, bytes) = match share {
            Share::Callers => (0.28, 0.34, 0.13),
            Share::Lookups => (0.05, 0.04, 0.02),
            Share::Peers => (0.08, 0.06, 0.05),
        };
        let part = |whole: u64, part: f64| (whole as f64 * part) as u64;
        let by_descriptors = part(self.sockets(), connections);
        let by_memory = part(self.memory, connection_memory) / CONNECTION_BYTES;
        QuotaLimits {
            connections: by_descriptors.min(by_memory).max(1) as usize,
            bytes: part(self.memory, bytes) as usize,
        }
    }
}
