//! Operations of the simulation, and the safeguards that it can disable.

/// A safeguard that the simulation disables.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disabled {
    /// All safeguards are in effect.
    Nothing,
    /// The table ignores claims, and whether rows exist.
    ClaimAndAbsenceChecks,
    /// The table ignores whether rows exist.
    AbsenceChecks,
    /// The table ignores the versions of rows.
    VersionChecks,
    /// A commit whose response was lost counts as committed.
    UnknownResults,
    /// A new holder doesn't read the rows, and the table ignores whether rows exist.
    RowLoading,
    /// A daemon always assumes that its lease is valid.
    LeaseExpiry,
    /// A row of the same attempt counts as written by the same transaction.
    TransactionIds,
    /// A new holder doesn't seal the log.
    LogSeal,
    /// A log that was sealed under a later claim is sealed again.
    SealClaims,
    /// Positions before one that was trimmed count.
    TrimMarks,
    /// A new holder doesn't read the log.
    LogReading,
}

/// One step of the simulation.
#[derive(Debug, Clone)]
pub enum Op {
    /// A caller sends an id with a body to a daemon.
    Submit { daemon: usize, id: u8, body: u8 },
    /// A caller queries the outcome of an id at a daemon.
    Lookup { daemon: usize, id: u8 },
    /// A daemon carries out its next effect; the platform treats it as `delivery` says.
    Step { daemon: usize, delivery: Delivery },
    /// The oldest delayed write takes effect.
    ApplyDelayed,
    /// One of the runs that wait for dispatch is sent to the backend server.
    Dispatch { run: usize },
    /// One of the runs that wait for dispatch is refused.
    Refuse { run: usize },
    /// One of the dispatched runs completes or is cut off.
    Finish { run: usize, completed: bool },
    /// Another daemon takes over the slot after the holder's lease has expired.
    Takeover { daemon: usize },
    /// The holder releases the slot to another daemon.
    Release { daemon: usize },
    /// A daemon learns who holds the slot, and renews its lease.
    RefreshView { daemon: usize },
    /// The platform starts or stops to serve the table to a daemon.
    SetTable { daemon: usize, reachable: bool },
    /// A daemon crashes and is replaced by a new one.
    Crash { daemon: usize },
    /// Time passes.
    Advance { millis: u16 },
}

/// How the platform handles a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// The call takes effect and its response arrives.
    Normal,
    /// The call takes effect but its response is lost.
    ResponseLost,
    /// The call takes effect only after its sender has timed out.
    Delayed,
    /// The call fails without an effect.
    Unavailable,
}
