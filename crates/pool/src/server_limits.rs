//! Tracks the limits that servers announce on the requests that they take.
//!
//! A server in need names in its responses how many requests a second it takes from all
//! daemons together, for as long as it names it. Responses reach different daemons, and not
//! in the order in which they were sent: one that was sent before the limit was announced
//! may arrive after it. A response without a limit ends a limit only if its request was sent
//! well after the limit was last seen.

use std::time::{Duration, Instant};

use chestnut_base::Incarnation;
use chestnut_edge::RequestRate;
use indexmap::IndexMap;

use crate::request_pacer::RequestPacer;

/// How long a daemon's share of a limit is not asked for until the server's holder counts as
/// having responded in between.
const SHARE_PAUSE: Duration = Duration::from_secs(1);

/// How much later than the last response with a limit a request has to be sent whose response
/// ends the limit.
///
/// Other daemons tell the age of what they saw, to which the delay of their message adds.
const END_MARGIN: Duration = Duration::from_millis(100);

/// A limit that a server announced.
#[derive(Debug, Clone, Copy, PartialEq)]
struct AnnouncedLimit {
    rate: RequestRate,
    /// When a response last named it.
    seen_at: Instant,
}

/// What a response told about its server's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitSighting {
    /// It named a limit, at this time.
    Named(RequestRate, Instant),
    /// It named none, and its request was sent at this time.
    None(Instant),
}

/// The limits that servers have announced, by incarnation.
#[derive(Debug, Default)]
pub struct ServerLimits {
    limits: IndexMap<Incarnation, AnnouncedLimit>,
    /// Space the requests that this daemon sends without the server's holder.
    own_shares: IndexMap<Incarnation, OwnShare>,
}

/// A daemon's share of a limit while the server's holder does not respond.
#[derive(Debug, Clone, Copy)]
struct OwnShare {
    pacer: RequestPacer,
    /// When the share was last asked for.
    asked_at: Instant,
}

impl ServerLimits {
    /// The limit of a server; `None` if it takes as many requests as it can.
    pub fn rate(&self, server: &Incarnation) -> Option<RequestRate> {
        self.limits.get(server).map(|limit| limit.rate)
    }

    /// When a response last named the limit of a server.
    pub fn seen_at(&self, server: &Incarnation) -> Option<Instant> {
        self.limits.get(server).map(|limit| limit.seen_at)
    }

    /// Whether no server announces a limit.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// All limits, and when a response last named each.
    pub fn iter(&self) -> impl Iterator<Item = (&Incarnation, RequestRate, Instant)> {
        self.limits.iter().map(|(server, limit)| (server, limit.rate, limit.seen_at))
    }

    /// Records what a response told; returns whether the limit has changed.
    pub fn record(&mut self, server: &Incarnation, sighting: LimitSighting) -> bool {
        let known = self.limits.get(server).copied();
        match sighting {
            LimitSighting::Named(_, at)
                if known.is_some_and(|known| at < known.seen_at) =>
            {
                false
            }
            LimitSighting::Named(rate, seen_at) => {
                self.limits.insert(server.clone(), AnnouncedLimit { rate, seen_at });
                known.is_none_or(|known| known.rate != rate)
            }
            LimitSighting::None(sent_at) => {
                let is_over =
                    known.is_some_and(|known| sent_at > known.seen_at + END_MARGIN);
                if is_over {
                    self.limits.swap_remove(server);
                }
                is_over
            }
        }
    }

    /// Decides whether this daemon, one of `daemons`, may send a request to a server without
    /// the decision of the server's holder, and counts the request if so; otherwise returns
    /// how long to wait.
    ///
    /// Each daemon has an equal share of the limit, which needs no messages. When a holder
    /// stops responding, all daemons begin to use their shares at the same time. So each
    /// begins after a part of its interval, `phase` between 0 and 1.
    pub fn try_send_share(
        &mut self,
        server: &Incarnation,
        daemons: usize,
        phase: f64,
        now: Instant,
    ) -> Result<(), Duration> {
        let Some(rate) = self.rate(server) else { return Ok(()) };
        let rate = rate.divided_by(daemons);
        let begin = || OwnShare {
            pacer: RequestPacer::with_phase(rate, phase, now),
            asked_at: now,
        };
        let share = self.own_shares.entry(server.clone()).or_insert_with(begin);
        if now.saturating_duration_since(share.asked_at) > SHARE_PAUSE {
            *share = begin();
        }
        share.asked_at = now;
        share.pacer.set_rate(rate);
        if !share.pacer.is_ready(now) {
            return Err(share.pacer.wait(0, now));
        }
        share.pacer.record_sent(now);
        Ok(())
    }

    /// How long a request to a server would wait for this daemon's share of its limit.
    pub fn share_wait(
        &self,
        server: &Incarnation,
        daemons: usize,
        now: Instant,
    ) -> Duration {
        let Some(rate) = self.rate(server) else { return Duration::ZERO };
        let share = self.own_shares.get(server).map(|share| share.pacer);
        let unused = || RequestPacer::new(rate.divided_by(daemons), now);
        share.unwrap_or_else(unused).wait(0, now)
    }

    /// Forgets the servers for which `is_listed` is false.
    pub fn retain(&mut self, is_listed: impl Fn(&Incarnation) -> bool) {
        self.limits.retain(|server, _| is_listed(server));
        self.own_shares.retain(|server, _| is_listed(server));
    }
}
