//! The choice of a backend server for one attempt.
//!
//! The state is the `route` crate's; this module looks the candidates up and
//! counts attempts in flight by a guard, so that no way out of an attempt can
//! leave a count behind. (A count that is never taken back makes a server look
//! busy for good; "Two-Level AI Inference Gateway" tells of one that got no more
//! requests until a restart, and of the guard as remedy.)

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

use crate::engine::engine_model;
use crate::shared::Shared;

/// What the way to another failure domain costs; they are 0.5 to 1 ms apart.
const FAR: Duration = Duration::from_millis(1);

/// How long a daemon that did not answer is passed over.
///
/// Until its lease lapses, every backend server that it leads would cost each
/// request a try; after this time one request tries again.
const SILENT: Duration = Duration::from_secs(1);

/// The expected time of a plain service's call; its lead measures it as one step.
pub const CALL: Duration = Duration::from_millis(20);

/// Picks after which servers that are gone are forgotten.
const TIDY: u64 = 4096;

/// The backend server that was chosen and the daemon that leads it.
///
/// The attempt counts as in flight until this is dropped.
pub struct Choice {
    /// The backend server.
    pub server: ServerName,
    /// The daemon that leads it.
    pub member: MemberId,
    /// Where that daemon answers other daemons.
    pub addr: SocketAddr,
    /// The fence of its claim.
    pub fence: Fence,
    _flight: Flight,
}

/// What became of an attempt at a backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Note {
    /// The lead told the load.
    Load(ServerLoad),
    /// Tokens arrived.
    Tokens(u32),
    /// The lead refused.
    Refused,
    /// The backend server broke off.
    Broken {
        /// Whether it died.
        crashed: bool,
    },
    /// The lead does not answer.
    Unreachable,
}

/// Chooses backend servers by what this entry knows.
pub struct Picker {
    clock: Arc<dyn Clock>,
    state: Arc<Mutex<State>>,
}

struct State {
    router: Router,
    budget: RetryBudget,
    picks: u64,
    /// Who led a backend server when it was last picked.
    members: IndexMap<ServerName, MemberId>,
    /// Daemons that did not answer, and when.
    silent: IndexMap<MemberId, Instant>,
}

/// One attempt in flight.
struct Flight {
    state: Arc<Mutex<State>>,
    key: ServerKey,
}

/// A candidate before it is chosen.
struct Prospect {
    server: ServerName,
    member: MemberId,
    addr: SocketAddr,
    fence: Fence,
    far: Duration,
    streams: u32,
    step: Duration,
}

impl Picker {
    /// Creates a picker that knows no load yet; daemons need different seeds.
    pub fn new(clock: Arc<dyn Clock>, seed: u64) -> Self {
        let state = State {
            router: Router::new(RoutingPolicy::Estimate, seed),
            budget: RetryBudget::new(),
            picks: 0,
            members: IndexMap::new(),
            silent: IndexMap::new(),
        };
        Self { clock, state: Arc::new(Mutex::new(state)) }
    }

    /// Chooses a backend server that was not tried yet and counts the attempt.
    pub fn pick(
        &self,
        shared: &Shared,
        work: &RequestSpec,
        tried: &[ServerName],
    ) -> Result<Choice, Refusal> {
        let view = shared.view();
        let mut options = options(shared, &view, work);
        options.retain(|option| !tried.contains(&option.server));
        let now = self.clock.now();
        let mut state = self.lock();
        state.begin(&view, tried.is_empty());
        state.pass_over(&mut options, now);
        let candidates: Vec<Candidate> =
            options.iter().map(|option| state.candidate(option)).collect();
        let prefix = prefix(work);
        let (prompt, output) = match work.target {
            Target::Model { .. } => (work.prompt_tokens, work.max_output_tokens),
            Target::Service { .. } => (0, 1),
        };
        let ask = RouteRequest {
            prompt_tokens: prompt,
            output_tokens: output,
            prefix_blocks: &prefix,
        };
        let Some(key) = state.router.choose(&candidates, ask, now) else {
            return Err(nowhere(work));
        };
        let index = candidates.iter().position(|candidate| candidate.server == key);
        let option = options.swap_remove(index.expect("the router chooses a candidate"));
        state.router.begin_attempt(key, &prefix);
        state.members.insert(option.server.clone(), option.member);
        Ok(Choice {
            server: option.server,
            member: option.member,
            addr: option.addr,
            fence: option.fence,
            _flight: Flight { state: self.state.clone(), key },
        })
    }

    /// Takes note of what became of an attempt.
    pub fn note(&self, server: &ServerName, note: Note) {
        let now = self.clock.now();
        let mut state = self.lock();
        let key = state.router.server_key(server);
        match note {
            Note::Load(load) => {
                state.router.record(key, Feedback::Load(report(load)), now);
                state.router.record(key, Feedback::Responded, now);
            }
            Note::Tokens(_) => state.router.record(key, Feedback::Responded, now),
            Note::Refused => {}
            Note::Broken { .. } => state.router.record(key, Feedback::Failed, now),
            Note::Unreachable => {
                if let Some(&member) = state.members.get(server) {
                    state.silent.insert(member, now);
                }
            }
        }
    }

    /// Whether the budget allows one more attempt after a broken one.
    pub fn may_retry(&self, _shared: &Shared) -> bool {
        self.lock().budget.try_withdraw()
    }

    /// Retries that the budget still allows.
    pub fn retries_left(&self) -> u32 {
        self.lock().budget.remaining()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the state panics")
    }
}

impl State {
    /// Counts a pick, and forgets what is gone from time to time.
    fn begin(&mut self, view: &View, first: bool) {
        self.picks += 1;
        self.router.set_entry_count(view.members.len());
        if first {
            self.budget.deposit();
        }
        if self.picks.is_multiple_of(TIDY) {
            self.router.retain(|name| view.servers.contains_key(name));
            self.members.retain(|name, _| view.servers.contains_key(name));
            self.silent.retain(|member, _| view.members.contains_key(member));
        }
    }

    /// Leaves out daemons that did not answer just now, if others are left.
    fn pass_over(&self, options: &mut Vec<Prospect>, now: Instant) {
        let silent = |option: &Prospect| {
            let at = self.silent.get(&option.member);
            at.is_some_and(|&at| now.saturating_duration_since(at) < SILENT)
        };
        if options.iter().any(|option| !silent(option)) {
            options.retain(|option| !silent(option));
        }
    }

    fn candidate(&mut self, option: &Prospect) -> Candidate {
        let server = self.router.server_key(&option.server);
        let (far, streams, step) = (option.far, option.streams, option.step);
        Candidate { server, extra_latency: far, streams, step_time: step }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let mut state = self.state.lock().expect("no holder of the state panics");
        state.router.end_attempt(self.key);
    }
}

/// The backend servers that can serve the work and whose lead is known.
fn options(shared: &Shared, view: &View, work: &RequestSpec) -> Vec<Prospect> {
    let catalog = shared.catalog();
    let option = |server: &ServerName| {
        let info = view.servers.get(server).filter(|info| !info.leaving)?;
        let (claim, member) = view.holder(&ClaimKey::Server(server.clone()))?;
        let near = info.domain == shared.settings.domain;
        let (streams, step) = size(&catalog, info)?;
        Some(Prospect {
            server: server.clone(),
            member: claim.holder,
            addr: member.peer_addr,
            fence: claim.fence,
            far: if near { Duration::ZERO } else { FAR },
            streams,
            step,
        })
    };
    match &work.target {
        Target::Model { model, version, adapter } => shared
            .residence()
            .serving(model, version, adapter.as_ref())
            .filter_map(option)
            .collect(),
        Target::Service { name } => view
            .servers
            .iter()
            .filter(|(_, info)| info.role == ServerRole::Service(name.clone()))
            .filter_map(|(server, _)| option(server))
            .collect(),
    }
}

/// The streams and the declared step time of a backend server.
fn size(catalog: &Catalog, info: &Server) -> Option<(u32, Duration)> {
    match &info.role {
        ServerRole::Runner(pool) => {
            catalog.pools.get(pool).map(|pool| (pool.max_streams, pool.step_time))
        }
        ServerRole::Service(name) => {
            let service = catalog.services.get(name)?;
            Some((service.max_parallel, CALL))
        }
    }
}

/// The prompt's blocks, which engines cache for each model and adapter apart.
fn prefix(work: &RequestSpec) -> Vec<u64> {
    let seed = xxh3_64(engine_model(&work.target).as_bytes());
    work.prefix_hashes.iter().map(|block| block ^ seed).collect()
}

fn report(load: ServerLoad) -> LoadReport {
    LoadReport {
        running: load.running,
        queued: load.queued,
        estimated_wait: Duration::from_millis(load.wait_ms.into()),
        step_time: Duration::from_micros(load.step_us.into()),
    }
}

fn nowhere(work: &RequestSpec) -> Refusal {
    let (code, what) = match &work.target {
        Target::Model { model, .. } => (RefusalCode::NotResident, model.to_string()),
        Target::Service { name } => (RefusalCode::Unavailable, name.to_string()),
    };
    let text = format!("no backend server serves {what} now; wait and send again");
    Refusal::not_run(code, text).with_retry_after(Duration::from_secs(2))
}
