//! Keeps retries within the operators' bound.

use std::time::Instant;

use chestnut_base::ServiceName;
use chestnut_member::Part;
use chestnut_pool::{RetryBound, RetryBudget, RetryGrant};
use slog::info;

use crate::job::Job;
use crate::members;
use crate::metrics::Step;
use crate::shared::Shared;

/// Adds a request to its service's retry budget.
pub fn record_request(job: &Job) {
    let shared = &job.shared;
    let (bound, now) = (retry_bound(shared), shared.now());
    with_budget(shared, &job.service, |budget| budget.record_request(bound, now));
}

/// Takes a retry from the service's budget; returns whether there was one.
///
/// `cause` is the label in metrics.
pub fn try_take(job: &mut Job, cause: &'static str) -> bool {
    let grant = decide(job, cause, |budget, bound, part, now| {
        budget.try_consume(bound, part, now)
    });
    job.retry = Some(grant).filter(|grant| grant.granted);
    if grant.granted {
        job.shared.metrics.count(Step::Repeat, cause);
    }
    grant.granted
}

/// The retries that are left in the budget of a request's service.
pub fn left(job: &Job) -> f64 {
    let shared = &job.shared;
    let (bound, now) = (retry_bound(shared), shared.now());
    let part = members::part(shared, bound.window).fraction();
    with_budget(shared, &job.service, |budget| budget.left(bound, part, now))
}

/// Whether this daemon has a settled part of the retry bound.
pub fn has_share(job: &Job) -> bool {
    let window = retry_bound(&job.shared).window;
    matches!(members::part(&job.shared, window), Part::Share(_))
}

/// Whether a request may be sent now; decides again on a retry that has waited for a server.
pub fn may_send(job: &mut Job) -> bool {
    let Some(grant) = job.retry else { return true };
    let max_age = retry_bound(&job.shared).max_grant_age();
    if job.shared.now() < grant.at + max_age {
        return true;
    }
    let renewed = decide(job, "waited", |budget, bound, part, now| {
        budget.renew(grant, bound, part, now)
    });
    job.retry = Some(renewed);
    renewed.granted
}

/// Decides on a retry with the service's budget, and logs the decision.
fn decide(
    job: &Job,
    cause: &'static str,
    decision: impl FnOnce(&mut RetryBudget, RetryBound, f64, Instant) -> RetryGrant,
) -> RetryGrant {
    let shared = &job.shared;
    let (bound, now) = (retry_bound(shared), shared.now());
    let part = members::part(shared, bound.window);
    let grant = with_budget(shared, &job.service, |budget| {
        decision(budget, bound, part.fraction(), now)
    });
    let members = shared.tables.system.announcement(now);
    info!(shared.log, "retry decided"; "id" => job.id(), "service" => job.service.as_str(),
        "cause" => cause, "granted" => grant.granted, "earned" => grant.earned,
        "slack" => grant.slack, "part" => format!("{part:?}"),
        "members_version" => members.map(|(version, _)| version),
        "members_age_ms" => members.map(|(_, age)| age),
        "uptime_ms" => shared.uptime().as_millis() as u64);
    grant
}

fn retry_bound(shared: &Shared) -> RetryBound {
    let bounds = shared.bounds.borrow();
    RetryBound {
        ratio: bounds.retry_ratio,
        slack: bounds.retry_slack,
        window: bounds.retry_window,
    }
}

fn with_budget<T>(
    shared: &Shared,
    service: &ServiceName,
    update: impl FnOnce(&mut RetryBudget) -> T,
) -> T {
    let mut budgets = shared.retry_budgets();
    update(budgets.entry(service.clone()).or_default())
}
