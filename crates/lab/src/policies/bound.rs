//! The most requests that any schedule could serve in time.
//!
//! Engines are taken as one machine that serves at the speed of full batches,
//! switches at no cost, has every shared prefix cached, holds every model on every
//! server and knows all requests and their lengths beforehand. In that relaxation
//! the work that can be done by deadlines is a polymatroid over the requests, so
//! that serving the cheapest first, each as far as the others leave room, is the
//! exact optimum; a part of a request counts as that part. No policy can exceed
//! the result, and none can reach it where one of the relaxations matters.

use std::time::Duration;

use super::scenario::DeploymentSpec;
use super::traffic::Traffic;

/// Intervals into which the time is cut; windows are rounded outwards.
const CELLS: usize = 150;

/// The most requests that any schedule could serve in time.
pub fn max_served(spec: &DeploymentSpec, traffic: &Traffic) -> f64 {
    let end = traffic.requests.iter().map(|request| request.deadline).max();
    let cell = end.unwrap_or_default() / CELLS as u32 + Duration::from_nanos(1);
    let mut room = room(spec, traffic, cell);
    let mut order: Vec<_> = traffic.requests.iter().collect();
    order.sort_by_key(|request| request.min_service_time(spec));
    order
        .iter()
        .map(|request| {
            let first = (request.arrival.as_nanos() / cell.as_nanos()) as usize;
            let last = (request.deadline.as_nanos() / cell.as_nanos()) as usize;
            let cost = request.min_service_time(spec).as_secs_f64();
            let given = take(&mut room, first, last.min(CELLS - 1), cost);
            given / cost
        })
        .sum()
}

/// The free engine seconds from the start of each cell to the end of each other.
fn room(spec: &DeploymentSpec, traffic: &Traffic, cell: Duration) -> Vec<Vec<f64>> {
    let speeds: Vec<f64> =
        (0..CELLS).map(|index| speed(spec, traffic, cell * index as u32, cell)).collect();
    (0..CELLS)
        .map(|first| {
            let mut sum = 0.0;
            let add = |last: usize| {
                if last >= first {
                    sum += speeds[last];
                }
                sum
            };
            (0..CELLS).map(add).collect()
        })
        .collect()
}

/// The engine seconds that all servers give in one cell.
fn speed(
    spec: &DeploymentSpec,
    traffic: &Traffic,
    from: Duration,
    length: Duration,
) -> f64 {
    let mut sum = spec.servers as f64 * length.as_secs_f64();
    for fault in &traffic.faults {
        let start = fault.start.max(from);
        let both = fault.end.min(from + length).saturating_sub(start).as_secs_f64();
        let left = fault.slowdown.map_or(0.0, |factor| 1.0 / f64::from(factor));
        sum -= both * (1.0 - left);
    }
    sum
}

/// Takes as much of `cost` as every interval around the window has left.
fn take(room: &mut [Vec<f64>], first: usize, last: usize, cost: f64) -> f64 {
    let mut given = cost;
    for row in &room[..=first] {
        for &left in &row[last..] {
            given = given.min(left);
        }
    }
    for row in &mut room[..=first] {
        for left in &mut row[last..] {
            *left -= given;
        }
    }
    given
}
