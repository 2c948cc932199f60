//! Checks declarations before an operator sends them, and compares them with those in force.
//!
//! Daemons refuse declarations that they can't read, and put all others into force. A route that
//! no request can match or a model that fits on no runner is only noticed by refused requests;
//! this check finds such mistakes by the declarations alone. It does no I/O.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use chestnut_account::{ClientAccount, Unit};
use chestnut_edge::{Declarations, Engine, Route, RouteKind, Service};
use chestnut_pool::ServiceProfile;
use indexmap::IndexMap;

/// How serious a finding is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// Requests are refused, or the declarations have no effect.
    Error,
    /// It is valid, but probably not meant.
    Warning,
    /// It differs from the declarations in force.
    Change,
}

impl Severity {
    fn label(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warning => "warning",
            Self::Change => "change",
        }
    }
}

/// What was found in declarations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// How serious it is.
    pub severity: Severity,
    /// What it concerns, such as `route "hints"`.
    pub subject: String,
    /// What was found, and for errors and warnings what to do about it.
    pub text: String,
}

impl Display for Finding {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.severity.label(), self.subject, self.text)
    }
}

/// Findings, in the order in which they are made.
#[derive(Default)]
struct Findings(Vec<Finding>);

impl Findings {
    fn add(&mut self, severity: Severity, subject: &str, text: impl Into<String>) {
        self.0.push(Finding { severity, subject: subject.into(), text: text.into() });
    }

    fn error_if(&mut self, is_wrong: bool, subject: &str, text: &str) {
        if is_wrong {
            self.add(Severity::Error, subject, text);
        }
    }

    fn warn_if(&mut self, is_odd: bool, subject: &str, text: &str) {
        if is_odd {
            self.add(Severity::Warning, subject, text);
        }
    }
}

/// Checks new declarations, and compares them with those in force if these are given; errors come
/// first, changes last.
pub fn plan(new: &Declarations, current: Option<&Declarations>) -> Vec<Finding> {
    let mut findings = Findings::default();
    for (index, route) in new.routes.iter().enumerate() {
        check_route(new, route, &new.routes[index + 1..], &mut findings);
    }
    for (name, service) in &new.services {
        let subject = format!("service {:?}", name.as_str());
        let is_used = new.routes.iter().any(|route| leads_to(route, name.as_str()));
        let text = "no route leads to it; remove it, or add a route";
        findings.warn_if(!is_used, &subject, text);
        check_service(&subject, service, &mut findings);
    }
    check_limits(new, &mut findings);
    check_accounts(new, &mut findings);
    if let Some(current) = current {
        check_revision(new, current, &mut findings);
        compare(new, current, &mut findings);
    }
    findings.0.sort_by_key(|finding| finding.severity);
    findings.0
}

fn route_subject(route: &Route) -> String {
    format!("route {:?}", route.name)
}

fn leads_to(route: &Route, service: &str) -> bool {
    route.shares.iter().any(|share| share.service.as_str() == service)
}

/// Checks a route; of equal routes, the last of the declarations is used.
fn check_route(
    new: &Declarations,
    route: &Route,
    later: &[Route],
    findings: &mut Findings,
) {
    let subject = &route_subject(route);
    check_match(route, later, subject, findings);
    for share in &route.shares {
        if !new.services.contains_key(&share.service) {
            let service = share.service.as_str();
            let text = format!(
                "the service {service:?} is not declared; declare it, or correct the name"
            );
            findings.add(Severity::Error, subject, text);
        }
    }
    let is_weight = |weight: f64| weight.is_finite() && weight >= 0.0;
    let is_wrong = route.shares.iter().any(|share| !is_weight(share.weight));
    let text = "a weight is negative or no number; give 0 or more";
    findings.error_if(is_wrong, subject, text);
    let total: f64 = route.shares.iter().map(|share| share.weight).sum();
    let text = "all weights are 0, so that no service gets requests; give one above 0";
    findings.error_if(!is_wrong && total == 0.0, subject, text);
    check_times(route, subject, findings);
    let text = "`max_attempts` is 0, so that no request is sent; give 1 or more";
    findings.error_if(route.max_attempts == 0, subject, text);
    let is_ignored = route.max_attempts > 1 && !route.kind.is_repeatable();
    let text = "`max_attempts` is above 1, but its requests run at most once; give 1, or make \
                it idempotent or resumable if they may run again";
    findings.warn_if(is_ignored, subject, text);
}

/// Checks whether any request can match a route.
fn check_match(route: &Route, later: &[Route], subject: &str, findings: &mut Findings) {
    let text = "its prefix does not start with a slash, so that no request matches it; \
                begin it with `/`";
    findings.error_if(!route.prefix.starts_with('/'), subject, text);
    let text = "its prefix does not end with a slash, so that it also matches longer names; \
                end it with `/`";
    findings.warn_if(!route.prefix.ends_with('/'), subject, text);
    let text = "its prefix has a query or fragment, so that no request matches it; give a \
                path alone";
    findings.error_if(route.prefix.contains(['?', '#']), subject, text);
    let is_host = |host: &str| {
        !host.is_empty()
            && !host.contains(|c: char| c.is_whitespace() || ":/".contains(c))
    };
    let text = "its host is empty or has a port or path, so that no request matches it; give \
                a name alone";
    findings.error_if(!is_host(&route.host), subject, text);
    let is_same =
        |other: &&Route| (&other.host, &other.prefix) == (&route.host, &route.prefix);
    if let Some(other) = later.iter().find(is_same) {
        let text = format!(
            "no request matches it, since {} has the same host and prefix; remove one",
            route_subject(other)
        );
        findings.add(Severity::Error, subject, text);
    }
    let has_name = later.iter().any(|other| other.name == route.name);
    let text = "another route has its name, so that logs and metrics can't tell them apart; \
                rename one";
    findings.warn_if(has_name, subject, text);
}

fn check_times(route: &Route, subject: &str, findings: &mut Findings) {
    let text = "its timeout is 0, so that all requests time out; give more";
    findings.error_if(route.timeout.is_zero(), subject, text);
    let text = "its objective is longer than its timeout, so that no response is late; \
                shorten the objective or extend the timeout";
    findings.error_if(route.objective > route.timeout, subject, text);
    let RouteKind::Stream { event_gap: Some(gap), .. } = route.kind else { return };
    let text = "its event gap is 0, so that every stream is late; give more";
    findings.error_if(gap.is_zero(), subject, text);
    let text = "its event gap is longer than its timeout, so that no stream is late; shorten \
                the gap or extend the timeout";
    findings.error_if(gap > route.timeout, subject, text);
}

fn check_service(subject: &str, service: &Service, findings: &mut Findings) {
    let text = "no connections to a server are allowed; give 1 or more";
    findings.error_if(service.max_connections == 0, subject, text);
    let Some(engine) = &service.engine else { return };
    let text = "its servers have no slots or no KV cache, so that all requests are refused; \
                give more than 0";
    findings.error_if(engine.slots == 0 || engine.kv_tokens == 0, subject, text);
    let is_short = 0 < service.max_connections && service.max_connections < engine.slots;
    let text = "fewer connections than slots are allowed, so that slots stay empty; allow as \
                many connections as slots";
    findings.warn_if(is_short, subject, text);
    let text = "it declares no models, so that all requests are refused; declare some";
    findings.error_if(engine.models.is_empty(), subject, text);
    let text =
        "its rate of loads is 0, so that few models or none are loaded; give more than 0";
    let is_rate = engine.loads_per_s.is_finite() && engine.loads_per_s > 0.0;
    findings.error_if(!is_rate && !engine.models.is_empty(), subject, text);
    check_models(subject, engine, findings);
}

fn check_models(subject: &str, engine: &Engine, findings: &mut Findings) {
    let reserve = engine.adapter_reserve_mb();
    for (name, model) in &engine.models {
        let subject = &format!("{subject}, model {:?}", name.as_str());
        if model.weights_mb + reserve > engine.memory_mb {
            let text = format!(
                "its weights ({} MB) and the room for adapters ({reserve} MB) exceed a \
                 server's memory ({} MB), so that it is never loaded; correct the sizes or \
                 the number of adapter slots",
                model.weights_mb, engine.memory_mb
            );
            findings.add(Severity::Error, subject, text);
        }
        let is_size = model.weights_mb.is_finite() && model.weights_mb > 0.0;
        let text = "its weights have no size; give more than 0 MB";
        findings.error_if(!is_size, subject, text);
        let text = "it has adapters, but servers have no adapter slots, so that requests for \
                    them are refused; give 1 slot or more";
        findings.error_if(
            model.adapter_count > 0 && engine.adapter_slots == 0,
            subject,
            text,
        );
        let is_odd = model.memory_load_time.max(model.disk_load_time)
            > model.store_load_time
            || model.memory_load_time > model.disk_load_time;
        let text = "a load from a nearer copy takes longer than one from a farther copy; \
                    correct the times";
        findings.warn_if(is_odd, subject, text);
    }
}

fn check_limits(new: &Declarations, findings: &mut Findings) {
    let limits = new.limits;
    let text = "a size is 0, so that all requests are refused; give more than 0";
    let is_zero = limits.head_bytes == 0 || limits.body_bytes == 0;
    findings.error_if(is_zero, "limits", text);
    let text = "a timeout is 0, so that all connections are closed; give more than 0";
    let times = [limits.head_timeout, limits.idle_timeout];
    findings.error_if(times.contains(&Duration::ZERO), "limits", text);
}

fn check_accounts(new: &Declarations, findings: &mut Findings) {
    let Some(accounts) = &new.accounts else { return };
    for (name, account) in accounts.iter() {
        let subject = &format!("account {:?}", name.as_str());
        let text =
            "it has no keys, so that no request is charged to it; add one, or remove it";
        findings.warn_if(account.keys.is_empty(), subject, text);
        let Some(limit) = account.limit else { continue };
        let is_exceeded =
            limit.unit == Unit::Tokens && f64::from(limit.plain_tokens) > limit.burst;
        let text = "a request without a token count counts for more than the burst, so that it \
                    is refused unless the account was idle; raise the burst or lower \
                    `plain_tokens`";
        findings.warn_if(is_exceeded, subject, text);
    }
    let all_public = new.routes.iter().all(|route| route.public);
    let text = "all routes are public, so that no request is charged to an account; make some \
                private, or remove the accounts";
    findings.warn_if(all_public && !new.routes.is_empty(), "accounts", text);
}

fn check_revision(new: &Declarations, current: &Declarations, findings: &mut Findings) {
    if new.revision <= current.revision {
        let text = format!(
            "revision {} is in force, so that daemons ignore revision {}; give a higher one",
            current.revision.0, new.revision.0
        );
        findings.add(Severity::Error, "revision", text);
    }
}

/// Lists what differs from the declarations in force.
fn compare(new: &Declarations, current: &Declarations, findings: &mut Findings) {
    let routes = |declared: &Declarations| -> IndexMap<String, Route> {
        let routes = declared.routes.iter();
        routes.map(|route| (route_subject(route), route.clone())).collect()
    };
    compare_all(&routes(new), &routes(current), findings, changed_route);
    let services =
        |declared: &Declarations| -> IndexMap<String, (Service, ServiceProfile)> {
            let services = declared.services.iter();
            let described = services.map(|(name, service)| {
                let profile = ServiceProfile::of(name, &declared.routes);
                (format!("service {:?}", name.as_str()), (service.clone(), profile))
            });
            described.collect()
        };
    compare_all(&services(new), &services(current), findings, changed_service);
    let accounts = |declared: &Declarations| -> IndexMap<String, ClientAccount> {
        let accounts = declared.accounts.iter().flat_map(|accounts| accounts.iter());
        let described = accounts.map(|(name, account)| {
            (format!("account {:?}", name.as_str()), account.clone())
        });
        described.collect()
    };
    compare_all(&accounts(new), &accounts(current), findings, changed_account);
    if new.limits != current.limits {
        let text = format!("{:?}, before {:?}", new.limits, current.limits);
        findings.add(Severity::Change, "limits", text);
    }
}

/// Lists added and removed entries, and those for which `changed` names fields.
fn compare_all<T>(
    new: &IndexMap<String, T>,
    current: &IndexMap<String, T>,
    findings: &mut Findings,
    changed: fn(&T, &T) -> Vec<String>,
) {
    for (subject, entry) in new {
        let text = match current.get(subject) {
            None => "added".to_owned(),
            Some(before) => changed(entry, before).join(", "),
        };
        if !text.is_empty() {
            findings.add(Severity::Change, subject, text);
        }
    }
    for subject in current.keys().filter(|subject| !new.contains_key(*subject)) {
        findings.add(Severity::Change, subject, "removed");
    }
}

/// Describes a field if it has changed.
fn field<T: PartialEq + fmt::Debug>(name: &str, new: T, current: T) -> Option<String> {
    (new != current).then(|| format!("{name} {new:?} (before {current:?})"))
}

fn changed_route(new: &Route, current: &Route) -> Vec<String> {
    let shares = |route: &Route| -> Vec<(String, f64)> {
        let shares = route.shares.iter();
        shares.map(|share| (share.service.to_string(), share.weight)).collect()
    };
    let fields = [
        field("host", &new.host, &current.host),
        field("prefix", &new.prefix, &current.prefix),
        field("kind", new.kind, current.kind),
        field("timeout", new.timeout, current.timeout),
        field("objective", new.objective, current.objective),
        field("wait limit", new.wait_limit, current.wait_limit),
        field("priority", new.priority, current.priority),
        field("public", new.public, current.public),
        field("max_attempts", new.max_attempts, current.max_attempts),
        field("services", shares(new), shares(current)),
    ];
    fields.into_iter().flatten().collect()
}

fn changed_service(
    (new, new_profile): &(Service, ServiceProfile),
    (current, profile): &(Service, ServiceProfile),
) -> Vec<String> {
    let mut fields = vec![
        field("connections", new.max_connections, current.max_connections),
        // Decides whether the `policy` settings act for the service.
        field("mixed objectives", new_profile.mixed_objectives, profile.mixed_objectives),
        field(
            "patient streams",
            new_profile.has_patient_streams(),
            profile.has_patient_streams(),
        ),
        field("model engine", new.engine.is_some(), current.engine.is_some()),
    ];
    if let (Some(new), Some(current)) = (&new.engine, &current.engine) {
        fields.extend([
            field("slots", new.slots, current.slots),
            field("KV tokens", new.kv_tokens, current.kv_tokens),
            field("tokens per event", new.event_tokens, current.event_tokens),
            field("memory in MB", new.memory_mb, current.memory_mb),
            field("adapter slots", new.adapter_slots, current.adapter_slots),
            field("loads per second", new.loads_per_s, current.loads_per_s),
        ]);
        fields.extend(changed_models(new, current).map(Some));
    }
    fields.into_iter().flatten().collect()
}

fn changed_models(new: &Engine, current: &Engine) -> impl Iterator<Item = String> {
    let of_kind = |kind: &str, names: Vec<&str>| {
        (!names.is_empty()).then(|| format!("models {kind} {}", names.join(" ")))
    };
    let missing_in = |engine: &Engine, others: &Engine| -> Vec<String> {
        let missing =
            engine.models.keys().filter(|name| !others.models.contains_key(*name));
        missing.map(ToString::to_string).collect()
    };
    let changed = new.models.iter().filter(|(name, model)| {
        current.models.get(*name).is_some_and(|before| before != *model)
    });
    let (added, removed) = (missing_in(new, current), missing_in(current, new));
    let texts = [
        of_kind("added:", added.iter().map(String::as_str).collect()),
        of_kind("removed:", removed.iter().map(String::as_str).collect()),
        of_kind("changed:", changed.map(|(name, _)| name.as_str()).collect()),
    ];
    texts.into_iter().flatten()
}

fn changed_account(new: &ClientAccount, current: &ClientAccount) -> Vec<String> {
    let limit = |account: &ClientAccount| account.limit.map(|limit| limit.to_string());
    // Keys are secret, also by their digests.
    let keys = |account: &ClientAccount| account.keys.len();
    let mut fields = vec![
        field("keys", keys(new), keys(current)),
        field("priority", new.priority, current.priority),
        field("limit", limit(new), limit(current)),
        field("share", new.share, current.share),
    ];
    if keys(new) == keys(current) && new.keys != current.keys {
        fields.push(Some("keys replaced".to_owned()));
    }
    fields.into_iter().flatten().collect()
}
