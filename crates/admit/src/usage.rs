//! Recent usage of a backend server by caller and team.
//!
//! Load pattern: one caller or team sends far more than its share. Without accounting,
//! its requests fill the queue, and everyone else's miss their deadlines. Usage is
//! measured in stream time, not in requests, so that a caller can't hide long jobs among
//! short ones. It halves every [`HALF_LIFE`], a few times the length of a job, so that a
//! caller that stops sending regains its full share soon.

use std::hash::Hash;
use std::time::{Duration, Instant};

use chestnut_base::{CallerName, TeamName};
use indexmap::IndexMap;

/// The time after which recorded usage has decayed to a half.
pub const HALF_LIFE: Duration = Duration::from_secs(10);

/// Usage below which an account is removed, in seconds of stream time.
const MIN_USAGE_S: f64 = 1e-3;

/// The most callers, and the most teams, that are tracked; others are not charged.
const MAX_ACCOUNTS: usize = 1024;

/// The age of the scale after which all values are rescaled, long before they overflow.
const RESCALE_INTERVAL: Duration = Duration::from_secs(200);

/// Usage and weight of one caller or team.
#[derive(Debug, Clone, Copy, Default)]
struct Account {
    /// Seconds of stream time, multiplied by the scale; never negative.
    used: f64,
    /// The weight in the fair share.
    share: f64,
}

/// The accounts of all callers or all teams, with their totals.
#[derive(Debug, Clone)]
struct AccountSet<K> {
    accounts: IndexMap<K, Account>,
    total: Account,
}

impl<K: Clone + Eq + Hash> AccountSet<K> {
    fn new() -> Self {
        Self { accounts: IndexMap::new(), total: Account::default() }
    }

    fn charge(&mut self, key: &K, share: f64, cost: f64) {
        if !self.accounts.contains_key(key) {
            if self.accounts.len() >= MAX_ACCOUNTS {
                return;
            }
            self.accounts.insert(key.clone(), Account::default());
        }
        let account = &mut self.accounts[key];
        let used = (account.used + cost).max(0.0);
        self.total.used += used - account.used;
        self.total.share += share - account.share;
        *account = Account { used, share };
    }

    fn share_ratio(&self, key: &K) -> f64 {
        let Some(own) = self.accounts.get(key) else { return 0.0 };
        if self.total.used <= 0.0 {
            return 0.0;
        }
        own.used / own.share * self.total.share / self.total.used
    }

    /// Divides all values by `scale`, removes accounts of at most `min_used`, and
    /// recomputes the totals.
    fn rescale(&mut self, scale: f64, min_used: f64) {
        self.total = Account::default();
        self.accounts.retain(|_, account| {
            account.used /= scale;
            account.used > min_used
        });
        for account in self.accounts.values() {
            self.total.used += account.used;
            self.total.share += account.share;
        }
    }
}

/// Exponentially decaying usage by caller and team.
///
/// All usage decays at the same rate. So instead of scaling every account down as time
/// passes, new charges are scaled up; only ratios are ever read, and they are independent
/// of the scale.
#[derive(Debug, Clone)]
pub struct UsageTracker {
    callers: AccountSet<CallerName>,
    teams: AccountSet<TeamName>,
    /// Seconds of stream time of slow requests, multiplied by the scale.
    slow_used: f64,
    /// The time at which the scale is 1.
    scale_base: Instant,
}

impl UsageTracker {
    /// Starts without any usage.
    pub fn new(now: Instant) -> Self {
        Self {
            callers: AccountSet::new(),
            teams: AccountSet::new(),
            slow_used: 0.0,
            scale_base: now,
        }
    }

    /// Charges `cost` seconds of stream time; a negative cost is a refund.
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
            self.slow_used = (self.slow_used + cost).max(0.0);
        }
    }

    /// The usage of a caller relative to its fair share; 1 is fair.
    ///
    /// The ratio of the team counts if it is greater, so that a team can't get more by
    /// splitting itself into many callers. Callers and teams without recent usage don't
    /// compete for shares.
    pub fn share_ratio(&self, caller: &CallerName, team: &TeamName) -> f64 {
        self.callers.share_ratio(caller).max(self.teams.share_ratio(team))
    }

    /// The fraction of recent stream time that slow requests used.
    pub fn slow_fraction(&self) -> f64 {
        let all = self.callers.total.used;
        if all <= 0.0 { 0.0 } else { self.slow_used / all }
    }

    /// Removes accounts whose usage has decayed, and rescales if it is due.
    pub fn prune(&mut self, now: Instant) {
        let scale = self.scale(now);
        if now.saturating_duration_since(self.scale_base) < RESCALE_INTERVAL {
            self.callers.rescale(1.0, MIN_USAGE_S * scale);
            self.teams.rescale(1.0, MIN_USAGE_S * scale);
            return;
        }
        self.callers.rescale(scale, MIN_USAGE_S);
        self.teams.rescale(scale, MIN_USAGE_S);
        self.slow_used /= scale;
        self.scale_base = now;
    }

    /// The number of callers that are tracked.
    pub fn caller_count(&self) -> usize {
        self.callers.accounts.len()
    }

    /// The factor by which new charges are multiplied; it doubles every [`HALF_LIFE`].
    fn scale(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.scale_base).as_secs_f64();
        (age / HALF_LIFE.as_secs_f64()).exp2()
    }
}
