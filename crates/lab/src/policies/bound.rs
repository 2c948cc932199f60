//! Upper bound on the number of requests that any schedule could serve in time.
//!
//! The bound relaxes the scheduling problem: all engines together are one preemptive
//! machine that always runs at the speed of full batches, switches at no cost, has every
//! shared prefix cached and every model loaded, and knows all requests and their lengths
//! in advance. In this relaxation the work that can be done by the deadlines is a
//! polymatroid over the requests, so a greedy schedule is optimal: cheapest request first,
//! each as far as the remaining capacity allows. A request that is served in part counts
//! as that fraction. No policy can exceed the bound, and none reaches it where one of the
//! relaxations matters.

use std::time::Duration;

use super::scenario::DeploymentSpec;
use super::traffic::Traffic;

/// Number of time slots; windows of requests are rounded outwards to whole slots.
const TIME_SLOTS: usize = 150;

/// Upper bound on the requests served in time; fractions of requests count.
pub fn max_served(spec: &DeploymentSpec, traffic: &Traffic) -> f64 {
    let end = traffic.requests.iter().map(|request| request.deadline).max();
    let slot = end.unwrap_or_default() / TIME_SLOTS as u32 + Duration::from_nanos(1);
    let mut free = free_capacity(spec, traffic, slot);
    let mut by_cost: Vec<_> = traffic.requests.iter().collect();
    by_cost.sort_by_key(|request| request.min_service_time(spec));
    by_cost
        .iter()
        .map(|request| {
            let first = (request.arrival.as_nanos() / slot.as_nanos()) as usize;
            let last = (request.deadline.as_nanos() / slot.as_nanos()) as usize;
            let cost = request.min_service_time(spec).as_secs_f64();
            let allocated = allocate(&mut free, first, last.min(TIME_SLOTS - 1), cost);
            allocated / cost
        })
        .sum()
}

/// Free engine seconds from the start of each slot (row) to the end of each slot (column).
fn free_capacity(
    spec: &DeploymentSpec,
    traffic: &Traffic,
    slot: Duration,
) -> Vec<Vec<f64>> {
    let capacities: Vec<f64> = (0..TIME_SLOTS)
        .map(|index| capacity(spec, traffic, slot * index as u32, slot))
        .collect();
    (0..TIME_SLOTS)
        .map(|first| {
            let mut sum = 0.0;
            let add = |last: usize| {
                if last >= first {
                    sum += capacities[last];
                }
                sum
            };
            (0..TIME_SLOTS).map(add).collect()
        })
        .collect()
}

/// Engine seconds that all servers provide in the interval; less while servers are faulty.
fn capacity(
    spec: &DeploymentSpec,
    traffic: &Traffic,
    from: Duration,
    length: Duration,
) -> f64 {
    let mut sum = spec.servers as f64 * length.as_secs_f64();
    for fault in &traffic.faults {
        let start = fault.start.max(from);
        let overlap = fault.end.min(from + length).saturating_sub(start).as_secs_f64();
        let speed = fault.slowdown.map_or(0.0, |factor| 1.0 / f64::from(factor));
        sum -= overlap * (1.0 - speed);
    }
    sum
}

/// Allocates as much of `cost` as is free in every interval that contains the window.
fn allocate(free: &mut [Vec<f64>], first: usize, last: usize, cost: f64) -> f64 {
    let mut allocated = cost;
    for row in &free[..=first] {
        for &available in &row[last..] {
            allocated = allocated.min(available);
        }
    }
    for row in &mut free[..=first] {
        for available in &mut row[last..] {
            *available -= allocated;
        }
    }
    allocated
}
