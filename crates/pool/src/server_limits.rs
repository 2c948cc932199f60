//! Tracks the limits that servers announce on the requests that they take.
//!
//! A server in need names in its responses how many requests a second it takes from all
//! daemons together, for as long as it names it. Responses reach different daemons, and not
//! in the order in which they were sent: one that was sent before the limit was announced
//! may arrive after it. A response without a limit ends a limit only if its request was sent
//! after the limit was last seen.

use std::time::Instant;

use chestnut_base::Incarnation;
use chestnut_edge::RequestRate;
use indexmap::IndexMap;

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

    /// All limits.
    pub fn iter(&self) -> impl Iterator<Item = (&Incarnation, RequestRate)> {
        self.limits.iter().map(|(server, limit)| (server, limit.rate))
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
                let is_over = known.is_some_and(|known| sent_at > known.seen_at);
                if is_over {
                    self.limits.swap_remove(server);
                }
                is_over
            }
        }
    }

    /// Forgets the servers for which `is_listed` is false.
    pub fn retain(&mut self, is_listed: impl Fn(&Incarnation) -> bool) {
        self.limits.retain(|server, _| is_listed(server));
    }
}
