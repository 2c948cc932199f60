//! Picks the backend server for one attempt.
//!
//! The `route` crate ranks the servers; this module looks up the eligible ones and counts
//! attempts in flight with a guard, so that the count is decremented however an attempt
//! ends. A leaked count would make a server appear busy until the daemon restarts, so that
//! it gets no more requests; "Two-Level AI Inference Gateway" reports such a case and
//! proposes the guard.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use chestnut_base::{
    Clock, Fence, MemberId, Refusal, RefusalCode, RequestSpec, ServerName, Target,
};
use chestnut_config::Catalog;
use chestnut_member::{ClaimKey, Server, ServerRole, View};
use chestnut_route::{
    Candidate, Feedback, LoadReport, RetryBudget, RouteRequest, Router, RoutingPolicy,
    ServerKey,
};
use chestnut_wire::ServerLoad;
use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::engine::engine_model_name;
use crate::shared::Shared;

/// The extra latency of a server in another failure domain; domains are 0.5 to 1 ms apart.
const CROSS_DOMAIN_LATENCY: Duration = Duration::from_millis(1);

/// How long the backend servers of a daemon are skipped after it was unreachable.
///
/// Until its lease expires, every backend server that it leads would cost each request a
/// failed attempt.
const UNREACHABLE_HOLDOFF: Duration = Duration::from_secs(1);

/// The expected time of a plain service's call, which its lead measures as one step.
pub const SERVICE_STEP_TIME: Duration = Duration::from_millis(20);

/// The number of picks between two removals of state about servers and daemons that no
/// longer exist.
const PRUNE_INTERVAL: u64 = 4096;

/// The backend server for an attempt, and the daemon that leads it.
///
/// The attempt counts as in flight until this is dropped.
pub struct SelectedServer {
    /// The backend server's name.
    pub server: ServerName,
    /// The daemon that leads it.
    pub lead: MemberId,
    /// The address at which that daemon accepts other daemons.
    pub lead_addr: SocketAddr,
    /// The fence of its claim of the backend server.
    pub fence: Fence,
    _in_flight: InFlightGuard,
}

/// An observation about a backend server that an attempt made.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptFeedback {
    /// The lead responded and reported the load.
    Load(ServerLoad),
    /// This number of tokens arrived.
    Tokens(u32),
    /// The lead refused the attempt. Its load, if reported, is recorded separately.
    Refused,
    /// The backend server interrupted its response.
    Failed {
        /// Whether it crashed.
        crashed: bool,
    },
    /// The lead can't be reached.
    Unreachable,
}

/// Picks backend servers by the loads that this entry has observed.
pub struct Picker {
    clock: Arc<dyn Clock>,
    state: Arc<Mutex<PickerState>>,
}

struct PickerState {
    router: Router,
    retry_budget: RetryBudget,
    picks: u64,
    /// The lead of each backend server when it was last picked.
    leads: IndexMap<ServerName, MemberId>,
    /// When each daemon was last found unreachable.
    unreachable_at: IndexMap<MemberId, Instant>,
}

/// Counts one attempt as in flight until dropped.
struct InFlightGuard {
    state: Arc<Mutex<PickerState>>,
    key: ServerKey,
}

/// A backend server that can serve a request.
struct EligibleServer {
    name: ServerName,
    lead: MemberId,
    lead_addr: SocketAddr,
    fence: Fence,
    extra_latency: Duration,
    streams: u32,
    step_time: Duration,
}

impl Picker {
    /// Creates a picker that has observed no load yet; each daemon needs a seed of its own,
    /// so that their random choices differ.
    pub fn new(clock: Arc<dyn Clock>, seed: u64) -> Self {
        let state = PickerState {
            router: Router::new(RoutingPolicy::Estimate, seed),
            retry_budget: RetryBudget::new(),
            picks: 0,
            leads: IndexMap::new(),
            unreachable_at: IndexMap::new(),
        };
        Self { clock, state: Arc::new(Mutex::new(state)) }
    }

    /// Picks a backend server that is not in `tried` and counts the attempt as in flight.
    ///
    /// An empty `tried` marks the request's first attempt, which deposits into the retry
    /// budget.
    pub fn pick(
        &self,
        shared: &Shared,
        request: &RequestSpec,
        tried: &[ServerName],
    ) -> Result<SelectedServer, Refusal> {
        let view = shared.view();
        let mut servers = eligible_servers(shared, &view, request);
        servers.retain(|eligible| !tried.contains(&eligible.name));
        let now = self.clock.now();
        let mut state = self.lock();
        state.record_pick(&view, tried.is_empty());
        state.skip_unreachable(&mut servers, now);
        let candidates: Vec<Candidate> =
            servers.iter().map(|eligible| state.candidate(eligible)).collect();
        let prefix_blocks = prefix_blocks(request);
        let (prompt, output) = match request.target {
            Target::Model { .. } => (request.prompt_tokens, request.max_output_tokens),
            Target::Service { .. } => (0, 1),
        };
        let route_request = RouteRequest {
            prompt_tokens: prompt,
            output_tokens: output,
            prefix_blocks: &prefix_blocks,
        };
        let Some(key) = state.router.choose(&candidates, route_request, now) else {
            return Err(no_server(request));
        };
        let index = candidates.iter().position(|candidate| candidate.server == key);
        let eligible =
            servers.swap_remove(index.expect("the router chooses a candidate"));
        state.router.begin_attempt(key, &prefix_blocks);
        state.leads.insert(eligible.name.clone(), eligible.lead);
        Ok(SelectedServer {
            server: eligible.name,
            lead: eligible.lead,
            lead_addr: eligible.lead_addr,
            fence: eligible.fence,
            _in_flight: InFlightGuard { state: self.state.clone(), key },
        })
    }

    /// Records an observation about a backend server.
    pub fn record(&self, server: &ServerName, feedback: AttemptFeedback) {
        let now = self.clock.now();
        let mut state = self.lock();
        let key = state.router.server_key(server);
        match feedback {
            AttemptFeedback::Load(load) => {
                state.router.record(key, Feedback::Load(load_report(load)), now);
                state.router.record(key, Feedback::Responded, now);
            }
            AttemptFeedback::Tokens(_) => {
                state.router.record(key, Feedback::Responded, now)
            }
            AttemptFeedback::Refused => {}
            AttemptFeedback::Failed { .. } => {
                state.router.record(key, Feedback::Failed, now)
            }
            AttemptFeedback::Unreachable => {
                if let Some(&member) = state.leads.get(server) {
                    state.unreachable_at.insert(member, now);
                }
            }
        }
    }

    /// Withdraws a retry from the budget; false if there is none left.
    pub fn try_withdraw_retry(&self, _shared: &Shared) -> bool {
        self.lock().retry_budget.try_withdraw()
    }

    /// The number of retries that the budget still allows.
    pub fn retries_left(&self) -> u32 {
        self.lock().retry_budget.remaining()
    }

    fn lock(&self) -> MutexGuard<'_, PickerState> {
        self.state.lock().expect("no holder of the state panics")
    }
}

impl PickerState {
    /// Counts a pick; every [`PRUNE_INTERVAL`] picks, removes state about servers and
    /// daemons that no longer exist.
    fn record_pick(&mut self, view: &View, first_attempt: bool) {
        self.picks += 1;
        self.router.set_entry_count(view.members.len());
        if first_attempt {
            self.retry_budget.deposit();
        }
        if self.picks.is_multiple_of(PRUNE_INTERVAL) {
            self.router.retain(|name| view.servers.contains_key(name));
            self.leads.retain(|name, _| view.servers.contains_key(name));
            self.unreachable_at.retain(|member, _| view.members.contains_key(member));
        }
    }

    /// Removes the servers of daemons that were unreachable within [`UNREACHABLE_HOLDOFF`],
    /// unless none would remain.
    fn skip_unreachable(&self, servers: &mut Vec<EligibleServer>, now: Instant) {
        let is_unreachable = |eligible: &EligibleServer| {
            let at = self.unreachable_at.get(&eligible.lead);
            at.is_some_and(|&at| now.saturating_duration_since(at) < UNREACHABLE_HOLDOFF)
        };
        if servers.iter().any(|eligible| !is_unreachable(eligible)) {
            servers.retain(|eligible| !is_unreachable(eligible));
        }
    }

    fn candidate(&mut self, eligible: &EligibleServer) -> Candidate {
        let server = self.router.server_key(&eligible.name);
        let (extra_latency, streams, step_time) =
            (eligible.extra_latency, eligible.streams, eligible.step_time);
        Candidate { server, extra_latency, streams, step_time }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut state = self.state.lock().expect("no holder of the state panics");
        state.router.end_attempt(self.key);
    }
}

/// The backend servers that can serve the request and have a lead.
fn eligible_servers(
    shared: &Shared,
    view: &View,
    request: &RequestSpec,
) -> Vec<EligibleServer> {
    let catalog = shared.catalog();
    let eligible = |server: &ServerName| {
        let info = view.servers.get(server).filter(|info| !info.leaving)?;
        let (claim, member) = view.holder(&ClaimKey::Server(server.clone()))?;
        let same_domain = info.domain == shared.settings.domain;
        let (streams, step_time) = capacity(&catalog, info)?;
        Some(EligibleServer {
            name: server.clone(),
            lead: claim.holder,
            lead_addr: member.peer_addr,
            fence: claim.fence,
            extra_latency: if same_domain {
                Duration::ZERO
            } else {
                CROSS_DOMAIN_LATENCY
            },
            streams,
            step_time,
        })
    };
    match &request.target {
        Target::Model { model, version, adapter } => shared
            .residency()
            .serving(model, version, adapter.as_ref())
            .filter_map(eligible)
            .collect(),
        Target::Service { name } => view
            .servers
            .iter()
            .filter(|(_, info)| info.role == ServerRole::Service(name.clone()))
            .filter_map(|(server, _)| eligible(server))
            .collect(),
    }
}

/// The parallel streams and the step time of a backend server, as declared.
fn capacity(catalog: &Catalog, info: &Server) -> Option<(u32, Duration)> {
    match &info.role {
        ServerRole::Runner(pool) => {
            catalog.pools.get(pool).map(|pool| (pool.max_streams, pool.step_time))
        }
        ServerRole::Service(name) => {
            let service = catalog.services.get(name)?;
            Some((service.max_parallel, SERVICE_STEP_TIME))
        }
    }
}

/// The hashes of the prompt's blocks, distinct for each model and adapter since engines
/// cache them separately.
fn prefix_blocks(request: &RequestSpec) -> Vec<u64> {
    let seed = xxh3_64(engine_model_name(&request.target).as_bytes());
    request.prefix_hashes.iter().map(|block| block ^ seed).collect()
}

fn load_report(load: ServerLoad) -> LoadReport {
    LoadReport {
        running: load.running,
        queued: load.queued,
        estimated_wait: Duration::from_millis(load.wait_ms.into()),
        step_time: Duration::from_micros(load.step_us.into()),
    }
}

fn no_server(request: &RequestSpec) -> Refusal {
    let (code, subject) = match &request.target {
        Target::Model { model, .. } => (RefusalCode::NotResident, model.to_string()),
        Target::Service { name } => (RefusalCode::Unavailable, name.to_string()),
    };
    let text = format!("no backend server serves {subject} now; retry later");
    Refusal::not_run(code, text).with_retry_after(Duration::from_secs(2))
}
