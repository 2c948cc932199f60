//! Collects the reports of several crashes for one datagram.
//!
//! Load pattern: a failure domain with a quarter of the servers is lost. Each of 60 daemons had
//! requests in flight at several of them, and sends each report to all others, three times: 141
//! reports became 25,000 datagrams within two seconds, on daemons with a tenth of a core.
//!
//! A report is sent at once unless another was sent shortly before; it is then collected with
//! those that follow. A single crash is therefore reported without delay. Collected reports
//! carry the time that they waited, so that receivers decide no later on their cause.

use std::time::{Duration, Instant};

use chestnut_base::MemberId;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::evidence::CrashReport;

/// How long reports are collected after one was sent.
///
/// Daemons notice the loss of a failure domain over some tens of milliseconds. A report that is
/// collected, lost and collected again when it is repeated after 100 ms still arrives within the
/// 250 ms after which the cause is decided.
pub const COLLECT_TIME: Duration = Duration::from_millis(20);

/// The most digests in one datagram.
///
/// With its phase a digest takes 18 bytes, and datagrams have up to 16 kilobytes.
pub const MAX_LISTED: usize = 256;

/// The most reports in one datagram; the names of a server and of its domain may take 128 bytes.
const MAX_REPORTS: usize = 48;

/// How often a daemon is told that this one reads collected reports.
///
/// Two of these datagrams may be lost.
const MAX_OFFERS: u8 = 3;

/// The shortest time between two of them.
///
/// A report is repeated for a second. With an offer for each copy, a single crash would cost
/// twice as many datagrams as its reports.
const OFFER_PERIOD: Duration = Duration::from_secs(2);

/// The number of daemons' processes that are remembered.
const MAX_MEMBERS: usize = 1024;

/// A report that was collected, and how long it waited for others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CollectedReport {
    /// Time from when it was due until it was sent, in milliseconds.
    pub age_ms: u32,
    /// The report, or a part of it.
    pub report: CrashReport,
}

impl CollectedReport {
    /// How long it waited; at most [`COLLECT_TIME`], whatever the sender says.
    pub fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms.into()).min(COLLECT_TIME)
    }
}

/// What to do with a report that is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportTurn {
    /// Send it now.
    Send,
    /// It is collected, and [`ReportCollector::take`] has to be called at this time.
    TakeAt(Instant),
    /// It is collected with earlier ones.
    Collected,
}

/// Collects reports, and knows which daemons read them collected.
#[derive(Debug, Default)]
pub struct ReportCollector {
    /// When a report was last sent.
    last_sent: Option<Instant>,
    /// Reports that were due since then, each with the time when it was.
    collected: Vec<(CrashReport, Instant)>,
    /// The daemons that read collected reports.
    readers: IndexSet<MemberId>,
    /// How often daemons were told that this one does, and when they were last.
    offers: IndexMap<MemberId, (u8, Instant)>,
}

impl ReportCollector {
    /// Decides whether the parts of a report are sent now or collected.
    pub fn submit(&mut self, parts: &[CrashReport], now: Instant) -> ReportTurn {
        let until = self.last_sent.map(|at| at + COLLECT_TIME);
        let Some(until) = until.filter(|until| now < *until) else {
            self.last_sent = Some(now);
            return ReportTurn::Send;
        };
        let is_first = self.collected.is_empty();
        self.collected.extend(parts.iter().map(|part| (part.clone(), now)));
        if is_first { ReportTurn::TakeAt(until) } else { ReportTurn::Collected }
    }

    /// Takes the reports that were collected, divided into datagrams.
    pub fn take(&mut self, now: Instant) -> Vec<Vec<CollectedReport>> {
        self.last_sent = Some(now);
        let mut datagrams: Vec<Vec<CollectedReport>> = Vec::new();
        let mut listed = 0;
        for (report, due) in self.collected.drain(..) {
            let age_ms = now.saturating_duration_since(due).as_millis() as u32;
            listed += report.requests.len();
            let collected = CollectedReport { age_ms, report };
            match datagrams.last_mut() {
                Some(last) if listed <= MAX_LISTED && last.len() < MAX_REPORTS => {
                    last.push(collected);
                }
                _ => {
                    listed = collected.report.requests.len();
                    datagrams.push(vec![collected]);
                }
            }
        }
        datagrams
    }

    /// Whether a daemon is known to read collected reports; one of an earlier version, or one
    /// that has received no report from this daemon yet, is not.
    pub fn is_reader(&self, member: MemberId) -> bool {
        self.readers.contains(&member)
    }

    /// Records that a daemon reads collected reports.
    pub fn record_reader(&mut self, member: MemberId) {
        if self.readers.len() >= MAX_MEMBERS {
            self.readers.shift_remove_index(0);
        }
        self.readers.insert(member);
    }

    /// Whether to tell the sender of a single report that this daemon reads collected ones.
    pub fn should_offer(&mut self, member: MemberId, now: Instant) -> bool {
        if self.offers.len() >= MAX_MEMBERS && !self.offers.contains_key(&member) {
            self.offers.shift_remove_index(0);
        }
        let Some((offers, last)) = self.offers.get_mut(&member) else {
            self.offers.insert(member, (1, now));
            return true;
        };
        let is_recent = now.saturating_duration_since(*last) < OFFER_PERIOD;
        if is_recent || *offers >= MAX_OFFERS {
            return false;
        }
        (*offers, *last) = (*offers + 1, now);
        true
    }
}
