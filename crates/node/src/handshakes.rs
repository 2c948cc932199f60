//! Handshakes of other daemons that are in progress.
//!
//! Until its handshake has ended, anyone may have sent it, and each takes a quarter of a megabyte
//! for the keys and the buffers of its connection.

use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use indexmap::IndexMap;

/// The most handshakes in progress.
const MAX_HANDSHAKES: usize = 64;

/// The most handshakes in progress from one address, which is that of one daemon.
const MAX_PER_ADDRESS: usize = 8;

/// The number of handshakes in progress from which senders have to show that they receive what
/// is sent to their address.
const MIN_VALIDATED: usize = 16;

/// How long a handshake may take; the other daemon gives up earlier.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Counts the handshakes in progress, by address.
#[derive(Debug, Default, Clone)]
pub struct Handshakes(Arc<Mutex<IndexMap<IpAddr, usize>>>);

/// A handshake in progress; it ends when this is dropped.
#[derive(Debug)]
pub struct Handshake {
    handshakes: Handshakes,
    addr: IpAddr,
}

impl Handshakes {
    /// Whether the address of the next sender has to be validated.
    pub fn needs_validation(&self) -> bool {
        self.lock().values().sum::<usize>() >= MIN_VALIDATED
    }

    /// Begins a handshake; `None` if it is to be refused.
    pub fn begin(&self, addr: IpAddr) -> Option<Handshake> {
        let mut counts = self.lock();
        let total: usize = counts.values().sum();
        let own = counts.get(&addr).copied().unwrap_or_default();
        if total >= MAX_HANDSHAKES || own >= MAX_PER_ADDRESS {
            return None;
        }
        counts.insert(addr, own + 1);
        Some(Handshake { handshakes: self.clone(), addr })
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<IpAddr, usize>> {
        self.0.lock().expect("no holder of the lock panics")
    }
}

impl Drop for Handshake {
    fn drop(&mut self) {
        let mut counts = self.handshakes.lock();
        match counts.get_mut(&self.addr) {
            Some(count) if *count > 1 => *count -= 1,
            _ => drop(counts.swap_remove(&self.addr)),
        }
    }
}
