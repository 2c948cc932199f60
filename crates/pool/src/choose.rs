//! Which server gets a request.

use std::time::Instant;

use chestnut_base::DomainName;
use chestnut_edge::{Size, TargetModel};

use crate::fleet::{Server, ServerKey};

/// What a request needs.
#[derive(Debug, Clone, PartialEq)]
pub struct Want {
    /// The model, if it is a generation.
    pub target: Option<TargetModel>,
    /// The size of the generation.
    pub size: Size,
}

/// A server that could take a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The server.
    pub key: ServerKey,
    /// The estimated time to its first byte, in milliseconds.
    pub cost: f64,
}

/// Prompt tokens that a runner reads in a millisecond.
const READ_RATE: f64 = 20.0;

/// How much later a first event is for each request that runs, in milliseconds.
const RUN_COST: f64 = 1.0;

/// What an earlier failure costs, in milliseconds.
const FAILURE_COST: f64 = 400.0;

/// What a way to another failure domain costs, in milliseconds.
const DOMAIN_COST: f64 = 3.0;

/// Picks the server that is expected to answer first.
pub fn choose<'a>(
    servers: impl Iterator<Item = (ServerKey, &'a Server)>,
    want: &Want,
    domain: &DomainName,
    now: Instant,
) -> Option<Candidate> {
    servers
        .filter(|(_, server)| {
            want.target.as_ref().is_none_or(|target| server.holds(target))
        })
        .map(|(key, server)| Candidate { key, cost: cost(server, want, domain, now) })
        .min_by(|a, b| a.cost.total_cmp(&b.cost))
}

fn cost(server: &Server, want: &Want, domain: &DomainName, now: Instant) -> f64 {
    let unread = server.own.unread as f64 + f64::from(want.size.prompt);
    let away = if server.entry.domain == *domain { 0.0 } else { DOMAIN_COST };
    unread / READ_RATE
        + f64::from(server.own.requests) * RUN_COST
        + server.health.penalty(now) * FAILURE_COST
        + away
}
