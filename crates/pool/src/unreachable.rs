//! Servers that daemons can't connect to, though the registry lists them.
//!
//! Load pattern: a rack of runners dies at once. The registry lists them for some
//! seconds more; meanwhile the planner takes their models for resident, and callers
//! of models whose only replica was there wait in vain. Daemons that send requests
//! know it within a connection attempt. One daemon alone may be the one that is cut
//! off, so that its word is not enough where there are others.

use std::time::{Duration, Instant};

use chestnut_base::{MemberId, ServerName};
use indexmap::IndexMap;

/// How long a daemon's word counts; it is repeated four times a second.
const WORD_TIME: Duration = Duration::from_millis(700);

/// How many daemons have to say so where there are more.
const QUORUM: usize = 2;

/// Who can't connect to which server.
#[derive(Debug, Default)]
pub struct UnreachableReports {
    words: IndexMap<ServerName, IndexMap<MemberId, Instant>>,
}

impl UnreachableReports {
    /// Takes in which servers a daemon can't connect to.
    pub fn record(&mut self, from: MemberId, servers: Vec<ServerName>, now: Instant) {
        for server in servers {
            self.words.entry(server).or_default().insert(from, now);
        }
        for words in self.words.values_mut() {
            words.retain(|_, at| now.saturating_duration_since(*at) < WORD_TIME);
        }
        self.words.retain(|_, words| !words.is_empty());
    }

    /// Whether a server counts as lost among so many daemons.
    pub fn is_unreachable(
        &self,
        server: &ServerName,
        daemons: usize,
        now: Instant,
    ) -> bool {
        let Some(words) = self.words.get(server) else { return false };
        let fresh = |at: &&Instant| now.saturating_duration_since(**at) < WORD_TIME;
        words.values().filter(fresh).count() >= QUORUM.min(daemons)
    }
}
