//! Which servers may run a request: those of its software version that don't rest.

use std::time::{Duration, Instant};

use chestnut_pool::software::KnownVersions;
use chestnut_pool::{Server, SoftwareBinding};

use crate::job::Job;
use crate::planner;

/// The fraction of its objective that a request waits for servers that rest.
const REST_WAIT_FRACTION: f64 = 0.5;

/// How long all servers that could run a request want none; `None` if one accepts requests or
/// none is listed.
pub fn shortest_rest(job: &Job) -> Option<Duration> {
    let (fleet, now) = (job.shared.fleet(), job.shared.now());
    if !fleet.has_rests() {
        return None;
    }
    let could_run = |server: &&Server| {
        let model = job.call.target.as_ref().map(|target| &target.model);
        server.entry.service == job.service
            && model.is_none_or(|model| server.entry.has_model(model))
            && job.software.permits(server.entry.software.as_ref())
            && fleet.accepts_after_rest(server, now)
    };
    let servers = fleet.iter().map(|(_, server)| server).filter(could_run);
    servers.map(|server| server.rest_left(now)).min().filter(|rest| !rest.is_zero())
}

/// Until when a request waits for a server that rests; `None` if it is refused. It waits if it
/// can still be served early enough, or if its caller has part of the response.
pub fn rest_end(job: &Job, rest: Duration) -> Option<Instant> {
    let end = job.shared.now() + rest;
    let early_enough = job.arrived_at + job.route().objective.mul_f64(REST_WAIT_FRACTION);
    (job.response_started || end <= early_enough).then_some(end)
}

/// Has the model of a resumed stream loaded at its software version, if no runner of that has
/// it: the planner goes by the demand at all versions.
pub fn request_model(job: &Job) {
    let (SoftwareBinding::Only(software), Some(target)) =
        (&job.software, &job.call.target)
    else {
        return;
    };
    if !is_bound_among_versions(job) {
        return;
    }
    let has_model = {
        let (fleet, now) = (job.shared.fleet(), job.shared.now());
        fleet.iter().any(|(_, server)| {
            server.entry.service == job.service
                && server.entry.software == *software
                && server.entry.has_model(&target.model)
                && fleet.is_listed(server, now)
        })
    };
    if !has_model {
        planner::request_model(&job.shared, &job.service, &target.model, software);
    }
}

/// Whether a request may run at one software version of several that its service has or had.
fn is_bound_among_versions(job: &Job) -> bool {
    let is_bound = job.software != SoftwareBinding::Any;
    let known = || job.shared.software_history().known(&job.service);
    is_bound && known() == KnownVersions::Several
}

/// Whether a server that may run the request is listed as ready, whatever its health, or its
/// entry may still return.
///
/// Servers of a version that has been replaced don't come back, so that waiting is in vain.
pub fn is_version_listed(job: &Job) -> bool {
    if !is_bound_among_versions(job) {
        return true;
    }
    let (fleet, now) = (job.shared.fleet(), job.shared.now());
    let mut listed = fleet.iter().filter(|(_, server)| {
        server.entry.service == job.service && fleet.is_listed(server, now)
    });
    listed.any(|(_, server)| job.software.permits(server.entry.software.as_ref()))
        || !fleet.grace_left(now).is_zero()
}
