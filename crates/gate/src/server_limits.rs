//! The limits on requests that backend servers announce in their responses.

use std::time::Instant;

use chestnut_edge::ResponseHead;
use chestnut_pool::LimitSighting;
use slog::info;

use crate::attempt::Target;
use crate::job::Job;

/// Records whether a response to a request that was sent at `sent_at` names a limit.
pub fn observe(job: &Job, target: &Target, metadata: &ResponseHead, sent_at: Instant) {
    let shared = &job.shared;
    let server = target.incarnation();
    let sighting = match metadata.request_limit {
        Some(rate) => LimitSighting::Named(rate, shared.now()),
        None => LimitSighting::None(sent_at),
    };
    if !shared.server_limits().record(&server, sighting) {
        return;
    }
    info!(shared.log, "server limit changed"; "server" => server.server.as_str(),
        "id" => job.id(), "per_second" => metadata.request_limit.map(f64::from));
}
