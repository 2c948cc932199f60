//! The state of an entry's load balancer.

use std::time::{Duration, Instant};

use chestnut_base::ServerName;
use chestnut_base::id::rendezvous_rank;
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use slotmap::{SlotMap, new_key_type};

use crate::health::Health;
use crate::load::{LoadReport, ServerLoad};
use crate::policy::{CandidateScore, RoutingPolicy};
use crate::prefix::{RecentBlocks, rendezvous_weight};

new_key_type! {
    /// Identifies a backend server within one router.
    pub struct ServerKey;
}

/// The most candidates that are drawn and scored in one choice.
///
/// If there are more, this many are drawn, and the server with prefix affinity is added:
/// the best of 48 drawn is within the best 5 in 100 nine times out of ten, and a choice
/// among 1,200 costs no more than one among 48.
pub const MAX_SAMPLED: usize = 48;

/// The assumed prefill time of one prompt token that is not cached.
const PREFILL_TIME_PER_TOKEN: Duration = Duration::from_micros(60);

/// Tokens of a block of prompt text, at about 4 bytes each.
const BLOCK_TOKENS: usize = chestnut_base::request::PREFIX_BLOCK_BYTES / 4;

/// A backend server that can serve a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The backend server.
    pub server: ServerKey,
    /// The network latency beyond that to the nearest server.
    pub extra_latency: Duration,
    /// Streams that it runs concurrently.
    pub streams: u32,
    /// The declared time of an engine step, used until its lead reports one.
    pub step_time: Duration,
}

/// The properties of a request that the choice depends on.
#[derive(Debug, Clone, Copy)]
pub struct RouteRequest<'a> {
    /// The length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// The maximum length of the response, in tokens.
    pub output_tokens: u32,
    /// Chained hashes of the prompt's blocks.
    pub prefix_blocks: &'a [u64],
}

/// What an attempt reveals about its backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Feedback {
    /// The lead reported its load.
    Load(LoadReport),
    /// The server responded.
    Responded,
    /// The server itself failed.
    Failed,
}

#[derive(Debug, Clone, Default)]
struct Server {
    name_hash: u64,
    load: ServerLoad,
    health: Health,
}

/// The prefix affinity of a request.
#[derive(Debug, Clone, Copy, Default)]
struct Affinity {
    /// The server to which the start of the prompt is assigned.
    home: Option<ServerKey>,
    /// Blocks that are probably cached there.
    cached_blocks: usize,
}

/// Chooses backend servers from one entry's view of their load and health.
#[derive(Debug)]
pub struct Router {
    policy: RoutingPolicy,
    keys: IndexMap<ServerName, ServerKey>,
    servers: SlotMap<ServerKey, Server>,
    recent_blocks: RecentBlocks,
    /// The number of choices so far.
    choice_count: usize,
    /// Entries that send to the same servers, including this one; at least 1.
    entry_count: f64,
    rng: SmallRng,
}

impl Router {
    /// Creates a router without any servers. Entries must use different seeds, since
    /// equal ones would make equal choices.
    pub fn new(policy: RoutingPolicy, seed: u64) -> Self {
        Self {
            policy,
            keys: IndexMap::new(),
            servers: SlotMap::with_key(),
            recent_blocks: RecentBlocks::default(),
            choice_count: 0,
            entry_count: 1.0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets how many entries send to the same servers, including this one.
    pub fn set_entry_count(&mut self, count: usize) {
        self.entry_count = count.max(1) as f64;
    }

    /// Returns the key of a backend server, and registers the server if it is new.
    pub fn server_key(&mut self, name: &ServerName) -> ServerKey {
        if let Some(&key) = self.keys.get(name) {
            return key;
        }
        let name_hash = rendezvous_rank("prefix", name.as_str());
        let key = self.servers.insert(Server { name_hash, ..Server::default() });
        self.keys.insert(name.clone(), key);
        key
    }

    /// Removes the servers that `keep` rejects, unless they have attempts in flight.
    pub fn retain(&mut self, keep: impl Fn(&ServerName) -> bool) {
        let Self { keys, servers, .. } = self;
        keys.retain(|name, &mut key| {
            let retained = keep(name) || servers[key].load.in_flight() > 0;
            if !retained {
                servers.remove(key);
            }
            retained
        });
    }

    /// Chooses a backend server, or `None` if no candidate may be used.
    pub fn choose(
        &mut self,
        candidates: &[Candidate],
        request: RouteRequest,
        now: Instant,
    ) -> Option<ServerKey> {
        self.choice_count += 1;
        let affinity = match self.policy {
            RoutingPolicy::Estimate => self.affinity(candidates, request),
            _ => Affinity::default(),
        };
        let sampled = self.sample(candidates, affinity, now);
        let scores: Vec<_> = sampled
            .iter()
            .map(|candidate| self.score(candidate, request, affinity, now))
            .collect();
        let run_time_s = sampled.first().map_or(0.0, |c| self.decode_s(c, request, now));
        let index =
            self.policy.choose(&scores, self.choice_count, run_time_s, &mut self.rng)?;
        Some(sampled[index].server)
    }

    /// Counts an attempt as in flight; [`Router::end_attempt`] must follow.
    pub fn begin_attempt(&mut self, server: ServerKey, prefix_blocks: &[u64]) {
        if let Some(server) = self.servers.get_mut(server) {
            server.load.begin_attempt();
        }
        if self.policy == RoutingPolicy::Estimate {
            self.recent_blocks.insert(prefix_blocks);
        }
    }

    /// Ends an attempt in flight.
    pub fn end_attempt(&mut self, server: ServerKey) {
        if let Some(server) = self.servers.get_mut(server) {
            server.load.end_attempt();
        }
    }

    /// Records feedback from an attempt; ignored if the server has been removed.
    pub fn record(&mut self, key: ServerKey, feedback: Feedback, now: Instant) {
        let Some(server) = self.servers.get_mut(key) else { return };
        match feedback {
            Feedback::Load(report) => server.load.update(report, now),
            Feedback::Responded => server.health.record_response(now),
            Feedback::Failed => server.health.record_failure(now),
        }
    }

    /// This entry's attempts in flight at a backend server.
    pub fn in_flight(&self, server: ServerKey) -> u32 {
        self.servers.get(server).map_or(0, |server| server.load.in_flight())
    }

    /// The candidate to which the start of the prompt is assigned by rendezvous hashing.
    fn affinity(&self, candidates: &[Candidate], request: RouteRequest) -> Affinity {
        let Some(&first) = request.prefix_blocks.first() else {
            return Affinity::default();
        };
        let weight =
            |c: &&Candidate| rendezvous_weight(first, self.servers[c.server].name_hash);
        let home = candidates.iter().max_by_key(weight).map(|c| c.server);
        Affinity {
            home,
            cached_blocks: self.recent_blocks.matching_blocks(request.prefix_blocks),
        }
    }

    /// The candidates to score: those not ejected, and a random sample if there are many.
    fn sample(
        &mut self,
        candidates: &[Candidate],
        affinity: Affinity,
        now: Instant,
    ) -> Vec<Candidate> {
        let Self { servers, rng, policy, .. } = self;
        let usable = |candidate: &Candidate| {
            let server = servers.get(candidate.server);
            server.is_some_and(|server| server.health.traffic_share(now) > 0.0)
        };
        if candidates.len() <= MAX_SAMPLED || *policy != RoutingPolicy::Estimate {
            let mut all: Vec<_> = candidates.iter().copied().filter(usable).collect();
            if all.is_empty() {
                // If all have failed, trying one is still better than no response.
                all = candidates.to_vec();
            }
            return all;
        }
        let mut sampled: Vec<Candidate> = Vec::with_capacity(MAX_SAMPLED + 1);
        let home = candidates.iter().find(|c| Some(c.server) == affinity.home);
        sampled.extend(home.filter(|c| usable(c)));
        for _ in 0..MAX_SAMPLED {
            let candidate = candidates[rng.random_range(0..candidates.len())];
            if usable(&candidate) {
                sampled.push(candidate);
            }
        }
        sampled
    }

    fn score(
        &self,
        candidate: &Candidate,
        request: RouteRequest,
        affinity: Affinity,
        now: Instant,
    ) -> CandidateScore {
        let is_home = affinity.home == Some(candidate.server);
        let cached_blocks = if is_home { affinity.cached_blocks } else { 0 };
        let server = &self.servers[candidate.server];
        let prefill_s = self.prefill_s(request, cached_blocks);
        let decode_s = self.decode_s(candidate, request, now);
        let streams = f64::from(candidate.streams.max(1));
        let requests = server.load.estimated_requests(now, self.entry_count);
        // While an engine prefills a prompt all its streams stall, so the prefill costs
        // its time once for each of them.
        let estimated_s = candidate.extra_latency.as_secs_f64()
            + prefill_s * (1.0 + requests.min(streams))
            + decode_s * (1.0 + requests / streams);
        CandidateScore {
            in_flight: server.load.in_flight(),
            estimated_s,
            traffic_share: server.health.traffic_share(now),
        }
    }

    /// Seconds to prefill the part of the prompt that is not cached.
    fn prefill_s(&self, request: RouteRequest, cached_blocks: usize) -> f64 {
        let cached_tokens = (cached_blocks * BLOCK_TOKENS) as f64;
        (f64::from(request.prompt_tokens) - cached_tokens).max(0.0)
            * PREFILL_TIME_PER_TOKEN.as_secs_f64()
    }

    /// Seconds to generate the response on a server that is otherwise idle.
    fn decode_s(
        &self,
        candidate: &Candidate,
        request: RouteRequest,
        now: Instant,
    ) -> f64 {
        let declared = candidate.step_time.as_secs_f64();
        let step_time = self.servers[candidate.server].load.step_time(now, declared);
        f64::from(request.output_tokens) * step_time
    }
}
