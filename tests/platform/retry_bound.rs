//! The operators' bound on retries, as callers and servers observe it.

use std::collections::HashSet;
use std::fmt::{self, Display, Formatter};
use std::time::{Duration, Instant};

use chestnut_platform_stand_in::{Arrival, PlainServer, Runner};

use crate::cluster::Cluster;

/// Retries allowed for each request.
pub const RATIO: f64 = 0.2;

/// Retries allowed in addition, in each window.
pub const SLACK: f64 = 52.0;

/// The window in which requests and retries are counted.
pub const WINDOW: Duration = Duration::from_secs(10);

/// The window of a service that comes nearest to the bound, or exceeds it the most.
#[derive(Debug, Clone, PartialEq)]
pub struct WorstWindow {
    /// The service.
    pub service: &'static str,
    /// The end of the window, after the first request.
    pub end: Duration,
    /// The requests that the bound is based on.
    pub requests: usize,
    /// The retries that reached servers.
    pub retries: usize,
    /// The number of windows, each ending or beginning with a retry, that exceed the bound.
    pub exceeded: usize,
}

impl WorstWindow {
    /// The number of retries that are allowed.
    pub fn allowed(&self) -> f64 {
        self.requests as f64 * RATIO + SLACK
    }
}

impl Display for WorstWindow {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { service, end, requests, retries, exceeded } = self;
        write!(
            f,
            "{service}: {retries} retries of {:.1} allowed for {requests} requests in the \
             window to {:.1} s; {exceeded} windows exceed the bound",
            self.allowed(),
            end.as_secs_f64()
        )
    }
}

/// The worst windows of the runners' service and of the plain service.
pub fn worst_windows(cluster: &Cluster) -> [WorstWindow; 2] {
    let sent = cluster.caller.sent();
    let times = |is_stream: bool| {
        let of_service = sent.iter().filter(|request| request.is_stream == is_stream);
        of_service.map(|request| request.at).collect::<Vec<_>>()
    };
    let at_runners = cluster.runners.iter().flat_map(Runner::arrivals).collect();
    let at_servers = cluster.services.iter().flat_map(PlainServer::arrivals).collect();
    [
        worst_window("runners", &times(true), at_runners),
        worst_window("plain service", &times(false), at_servers),
    ]
}

/// Checks that no window of any service exceeds the bound.
pub fn check(cluster: &Cluster) {
    for worst in worst_windows(cluster) {
        eprintln!("{worst}");
        assert_eq!(worst.exceeded, 0, "{worst}");
    }
}

fn worst_window(
    service: &'static str,
    sent: &[Instant],
    arrivals: Vec<Arrival>,
) -> WorstWindow {
    let retries = retry_times(arrivals);
    let ends = retries.iter().flat_map(|&at| [at, at + WINDOW]);
    let mut windows: Vec<WorstWindow> = ends
        .map(|end| WorstWindow {
            service,
            end: sent.first().map_or(Duration::ZERO, |first| end - *first),
            requests: counted_requests(sent, end),
            retries: count(&retries, end),
            exceeded: 0,
        })
        .collect();
    let excess = |window: &WorstWindow| window.retries as f64 - window.allowed();
    windows.sort_by(|a, b| excess(b).total_cmp(&excess(a)));
    let exceeded = windows.iter().filter(|window| excess(window) > 0.0).count();
    let none = WorstWindow {
        service,
        end: Duration::ZERO,
        requests: 0,
        retries: 0,
        exceeded: 0,
    };
    WorstWindow { exceeded, ..windows.into_iter().next().unwrap_or(none) }
}

/// When retries arrived: all arrivals but the first of each request.
fn retry_times(mut arrivals: Vec<Arrival>) -> Vec<Instant> {
    arrivals.sort_by_key(|arrival| arrival.at);
    let mut arrived = HashSet::new();
    let repeated =
        arrivals.into_iter().filter(|arrival| !arrived.insert(arrival.id.clone()));
    repeated.map(|arrival| arrival.at).collect()
}

/// The requests of the window, of the one before it, or of the one half a window before it,
/// whichever has most.
fn counted_requests(sent: &[Instant], end: Instant) -> usize {
    let shifts = [Duration::ZERO, WINDOW / 2, WINDOW];
    let counts = shifts.map(|shift| count(sent, end - shift));
    counts.into_iter().max().unwrap_or_default()
}

/// How many of the times are in the window to `end`.
fn count(times: &[Instant], end: Instant) -> usize {
    times.iter().filter(|at| **at <= end && end.duration_since(**at) <= WINDOW).count()
}
