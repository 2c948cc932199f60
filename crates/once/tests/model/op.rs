//! What can happen in the world, and what can be left out of it.

/// A safeguard that the model can leave out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Guard {
    /// Nothing is left out.
    All,
    /// The table ignores the claims in a batch and whether rows exist.
    NoFence,
    /// The table ignores whether rows exist.
    NoAbsent,
    /// The table ignores the versions of rows.
    NoVersion,
    /// A lost acknowledgement counts as success.
    NoReadBack,
    /// A new lead does not read the journal, and the table ignores existing rows.
    NoRecovery,
    /// A daemon always believes that its lease holds.
    NoLease,
    /// A row of the same attempt counts as one of the same transaction.
    NoStamp,
    /// A new lead does not take a place in the log for its seal.
    NoSeal,
    /// A new lead does not read the log.
    NoLog,
}

/// One step of the world.
#[derive(Debug, Clone)]
pub enum Op {
    /// A caller sends an id with a body to a daemon.
    Ask { daemon: usize, id: u8, body: u8 },
    /// A caller asks a daemon what became of an id.
    Lookup { daemon: usize, id: u8 },
    /// A daemon carries out its next effect; the platform takes it as `link` says.
    Step { daemon: usize, link: Link },
    /// A change that was believed lost takes effect now.
    Arrive,
    /// A run is handed to the backend server, if it is still to be.
    Dispatch { run: usize },
    /// A run is refused before it is handed over.
    Refuse { run: usize },
    /// A run that was handed over ends whole, or breaks off.
    End { run: usize, whole: bool },
    /// Another daemon takes the slot over once the lease has lapsed.
    Takeover { daemon: usize },
    /// A daemon gives its slot up to another.
    Release { daemon: usize },
    /// A daemon learns who holds the slot, and renews its lease.
    Notice { daemon: usize },
    /// A daemon dies and starts anew.
    Crash { daemon: usize },
    /// Time passes.
    Pass { millis: u16 },
}

/// How the table service takes a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// It does it and says so.
    Good,
    /// It does it and the answer is lost.
    Lost,
    /// It does it some time after the asker gave up.
    Late,
    /// It refuses.
    Down,
}
