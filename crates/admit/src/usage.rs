//! Who has had how much of a backend server lately.
//!
//! Load pattern: one caller or key sends far more than its share. Without this
//! its requests fill the queue, and everyone else's miss their deadlines. Usage
//! is measured in the backend server's stream time, not in requests, so that a
//! caller can't hide long jobs among short ones; it halves every [`HALF`], a few
//! times the length of a job, so that a caller that stops is soon in favour again.

use std::hash::Hash;
use std::time::{Duration, Instant};

use chestnut_base::{CallerName, TeamName};
use indexmap::IndexMap;

/// The time after which usage counts a half.
pub const HALF: Duration = Duration::from_secs(10);

/// Usage in seconds below which an account is forgotten.
const FORGET: f64 = 1e-3;

/// The most accounts of each sort that are kept; others are not charged.
const ACCOUNTS: usize = 1024;

/// The age of the scale at which all values are brought back to it.
const REBASE: Duration = Duration::from_secs(200);

/// Usage and weight of one caller or team.
#[derive(Debug, Clone, Copy, Default)]
struct Account {
    /// Scaled seconds of stream time; never negative.
    used: f64,
    share: f64,
}

/// Accounts of one sort and their sums.
#[derive(Debug, Clone)]
struct Ledger<K> {
    accounts: IndexMap<K, Account>,
    /// The sum of all accounts.
    sum: Account,
}

impl<K: Clone + Eq + Hash> Ledger<K> {
    fn new() -> Self {
        Self { accounts: IndexMap::new(), sum: Account::default() }
    }

    fn charge(&mut self, key: &K, share: f64, cost: f64) {
        if !self.accounts.contains_key(key) {
            if self.accounts.len() >= ACCOUNTS {
                return;
            }
            self.accounts.insert(key.clone(), Account::default());
        }
        let account = &mut self.accounts[key];
        let used = (account.used + cost).max(0.0);
        self.sum.used += used - account.used;
        self.sum.share += share - account.share;
        *account = Account { used, share };
    }

    fn excess(&self, key: &K) -> f64 {
        let Some(own) = self.accounts.get(key) else { return 0.0 };
        if self.sum.used <= 0.0 {
            return 0.0;
        }
        own.used / own.share * self.sum.share / self.sum.used
    }

    /// Divides all values by `scale`, forgets what has faded, and sums anew.
    fn rebase(&mut self, scale: f64, forget: f64) {
        self.sum = Account::default();
        self.accounts.retain(|_, account| {
            account.used /= scale;
            account.used > forget
        });
        for account in self.accounts.values() {
            self.sum.used += account.used;
            self.sum.share += account.share;
        }
    }
}

/// Who has had how much lately.
///
/// All usage fades at the same rate, so that instead of every account being
/// scaled down as time passes, what is charged is scaled up; ratios, which are
/// all that is asked for, then need no look at the time.
#[derive(Debug, Clone)]
pub struct Usage {
    callers: Ledger<CallerName>,
    teams: Ledger<TeamName>,
    slow: f64,
    /// When the scale was 1.
    base: Instant,
}

impl Usage {
    /// Starts empty.
    pub fn new(now: Instant) -> Self {
        Self { callers: Ledger::new(), teams: Ledger::new(), slow: 0.0, base: now }
    }

    /// Charges seconds of stream time, or gives them back if `cost` is negative.
    pub fn charge(
        &mut self,
        caller: &CallerName,
        team: &TeamName,
        share: u32,
        slow: bool,
        cost: f64,
        now: Instant,
    ) {
        let cost = cost * self.scale(now);
        self.callers.charge(caller, f64::from(share.max(1)), cost);
        self.teams.charge(team, 1.0, cost);
        if slow {
            self.slow = (self.slow + cost).max(0.0);
        }
    }

    /// How often its fair share a caller has had; 1 is fair.
    ///
    /// A team that is over its share makes each of its callers so: a team must
    /// not get more by splitting itself into many callers. Callers and teams that
    /// had nothing lately don't count as rivals.
    pub fn excess(&self, caller: &CallerName, team: &TeamName) -> f64 {
        self.callers.excess(caller).max(self.teams.excess(team))
    }

    /// The part of the stream time that slow requests have had lately.
    pub fn slow_part(&self) -> f64 {
        let all = self.callers.sum.used;
        if all <= 0.0 { 0.0 } else { self.slow / all }
    }

    /// Forgets accounts that have faded.
    pub fn tidy(&mut self, now: Instant) {
        let scale = self.scale(now);
        if now.saturating_duration_since(self.base) < REBASE {
            self.callers.rebase(1.0, FORGET * scale);
            self.teams.rebase(1.0, FORGET * scale);
            return;
        }
        self.callers.rebase(scale, FORGET);
        self.teams.rebase(scale, FORGET);
        self.slow /= scale;
        self.base = now;
    }

    /// The number of callers that are accounted for.
    pub fn callers(&self) -> usize {
        self.callers.accounts.len()
    }

    fn scale(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.base).as_secs_f64();
        (age / HALF.as_secs_f64()).exp2()
    }
}
