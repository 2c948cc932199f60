//! Servers to which daemons can't connect though the registry lists them.
//!
//! Load pattern: a rack of runners fails at once. The registry lists them for some
//! seconds more; meanwhile the planner counts their models as resident, and callers of
//! models whose only replica was there wait until they time out. Daemons that send
//! requests notice within one connection attempt. A single daemon may be disconnected
//! itself, so its report is not enough where there are others.

use std::time::{Duration, Instant};

use chestnut_base::{MemberId, ServerName};
use indexmap::IndexMap;

/// How long a daemon's report counts; it is repeated four times a second.
const REPORT_TIMEOUT: Duration = Duration::from_millis(700);

/// Number of daemons that have to report a server; all of them where there are fewer.
const QUORUM: usize = 2;

/// Reports of daemons that can't connect to servers.
#[derive(Debug, Default)]
pub struct UnreachableReports {
    reports: IndexMap<ServerName, IndexMap<MemberId, Instant>>,
}

impl UnreachableReports {
    /// Records the servers to which a daemon can't connect.
    pub fn record(&mut self, from: MemberId, servers: Vec<ServerName>, now: Instant) {
        for server in servers {
            self.reports.entry(server).or_default().insert(from, now);
        }
        for reports in self.reports.values_mut() {
            reports.retain(|_, at| now.saturating_duration_since(*at) < REPORT_TIMEOUT);
        }
        self.reports.retain(|_, reports| !reports.is_empty());
    }

    /// Whether enough of `daemons` daemons can't connect to a server.
    pub fn is_unreachable(
        &self,
        server: &ServerName,
        daemons: usize,
        now: Instant,
    ) -> bool {
        let Some(reports) = self.reports.get(server) else { return false };
        let is_current =
            |at: &&Instant| now.saturating_duration_since(**at) < REPORT_TIMEOUT;
        reports.values().filter(is_current).count() >= QUORUM.min(daemons)
    }
}
