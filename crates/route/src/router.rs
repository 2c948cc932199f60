//! The state from which an entry chooses.

use std::time::{Duration, Instant};

use chestnut_base::ServerName;
use chestnut_base::id::rendezvous_rank;
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use slotmap::{SlotMap, new_key_type};

use crate::health::Health;
use crate::load::{Known, LoadReport};
use crate::policy::{Prospect, RoutingPolicy};
use crate::prefix::{Seen, rank};

new_key_type! {
    /// A backend server, as the router knows it.
    pub struct ServerKey;
}

/// The candidates that are looked at in one choice at most.
///
/// Of more, this many are drawn, beside the one that the prefix belongs to: the best of
/// 48 drawn is within the best 5 in 100 nine times out of ten, and a choice among
/// 1,200 costs no more than one among 48.
pub const LOOK: usize = 48;

/// The time of a token of a prompt that is not cached, until it is measured.
const PREFILL: Duration = Duration::from_micros(60);

/// Tokens of a block of prompt text.
const BLOCK_TOKENS: usize = chestnut_base::request::PREFIX_BLOCK_BYTES / 4;

/// A backend server that may serve a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The backend server.
    pub server: ServerKey,
    /// What the way to it costs more than to the nearest.
    pub extra_latency: Duration,
    /// Streams that it runs at the same time.
    pub streams: u32,
    /// The expected time of a step, until its lead tells.
    pub step_time: Duration,
}

/// What the choice depends on.
#[derive(Debug, Clone, Copy)]
pub struct RouteRequest<'a> {
    /// The length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// The length of the answer, in tokens.
    pub output_tokens: u32,
    /// Chained hashes of the prompt's blocks.
    pub prefix_blocks: &'a [u64],
}

/// What an entry learns from an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Feedback {
    /// The lead told its load.
    Load(LoadReport),
    /// The attempt was answered.
    Responded,
    /// The server itself failed.
    Failed,
}

#[derive(Debug, Clone, Default)]
struct Server {
    /// A hash of the name.
    hash: u64,
    known: Known,
    health: Health,
}

/// Where the start of a prompt belongs.
#[derive(Debug, Clone, Copy, Default)]
struct Affinity {
    home: Option<ServerKey>,
    /// Blocks that are cached there if it had such a prompt lately.
    blocks: usize,
}

/// The state from which an entry chooses.
#[derive(Debug)]
pub struct Router {
    policy: RoutingPolicy,
    names: IndexMap<ServerName, ServerKey>,
    servers: SlotMap<ServerKey, Server>,
    seen: Seen,
    turn: usize,
    /// Entries that send to the same servers, with this one; at least 1.
    entries: f64,
    rng: SmallRng,
}

impl Router {
    /// Starts knowing nothing; entries must have different seeds.
    pub fn new(policy: RoutingPolicy, seed: u64) -> Self {
        Self {
            policy,
            names: IndexMap::new(),
            servers: SlotMap::with_key(),
            seen: Seen::default(),
            turn: 0,
            entries: 1.0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Says how many entries send to the same servers, with this one.
    pub fn set_entry_count(&mut self, count: usize) {
        self.entries = count.max(1) as f64;
    }

    /// The key of a backend server, new if it is not known.
    pub fn server_key(&mut self, name: &ServerName) -> ServerKey {
        if let Some(&key) = self.names.get(name) {
            return key;
        }
        let hash = rendezvous_rank("prefix", name.as_str());
        let key = self.servers.insert(Server { hash, ..Server::default() });
        self.names.insert(name.clone(), key);
        key
    }

    /// Forgets backend servers that are gone and have nothing in flight.
    pub fn retain(&mut self, keep: impl Fn(&ServerName) -> bool) {
        let Self { names, servers, .. } = self;
        names.retain(|name, &mut key| {
            let stays = keep(name) || servers[key].known.own() > 0;
            if !stays {
                servers.remove(key);
            }
            stays
        });
    }

    /// Chooses a backend server, or none if no candidate may be used.
    pub fn choose(
        &mut self,
        candidates: &[Candidate],
        ask: RouteRequest,
        now: Instant,
    ) -> Option<ServerKey> {
        self.turn += 1;
        let affinity = match self.policy {
            RoutingPolicy::Estimate => self.affinity(candidates, ask),
            _ => Affinity::default(),
        };
        let looked = self.look(candidates, affinity, now);
        let options: Vec<_> = looked
            .iter()
            .map(|candidate| self.prospect(candidate, ask, affinity, now))
            .collect();
        let run = looked.first().map_or(0.0, |c| self.decode(c, ask, now));
        let index = self.policy.choose(&options, self.turn, run, &mut self.rng)?;
        Some(looked[index].server)
    }

    /// Counts an attempt in flight; [`Router::end_attempt`] must follow.
    pub fn begin_attempt(&mut self, server: ServerKey, prefix: &[u64]) {
        if let Some(server) = self.servers.get_mut(server) {
            server.known.begin();
        }
        if self.policy == RoutingPolicy::Estimate {
            self.seen.note(prefix);
        }
    }

    /// Ends an attempt in flight.
    pub fn end_attempt(&mut self, server: ServerKey) {
        if let Some(server) = self.servers.get_mut(server) {
            server.known.end();
        }
    }

    /// Takes what an attempt taught.
    pub fn record(&mut self, key: ServerKey, note: Feedback, now: Instant) {
        let Some(server) = self.servers.get_mut(key) else { return };
        match note {
            Feedback::Load(report) => server.known.set(report, now),
            Feedback::Responded => server.health.answered(now),
            Feedback::Failed => server.health.failed(now),
        }
    }

    /// Own attempts in flight at a backend server.
    pub fn in_flight(&self, server: ServerKey) -> u32 {
        self.servers.get(server).map_or(0, |server| server.known.own())
    }

    /// Where the start of a prompt belongs, and how much of it is known.
    fn affinity(&self, candidates: &[Candidate], ask: RouteRequest) -> Affinity {
        let Some(&first) = ask.prefix_blocks.first() else { return Affinity::default() };
        let rank = |c: &&Candidate| rank(first, self.servers[c.server].hash);
        let home = candidates.iter().max_by_key(rank).map(|c| c.server);
        Affinity { home, blocks: self.seen.depth(ask.prefix_blocks) }
    }

    /// The candidates to look at: usable ones, drawn if there are many.
    fn look(
        &mut self,
        candidates: &[Candidate],
        affinity: Affinity,
        now: Instant,
    ) -> Vec<Candidate> {
        let Self { servers, rng, policy, .. } = self;
        let usable = |candidate: &Candidate| {
            let server = servers.get(candidate.server);
            server.is_some_and(|server| server.health.trust(now) > 0.0)
        };
        if candidates.len() <= LOOK || *policy != RoutingPolicy::Estimate {
            let mut all: Vec<_> = candidates.iter().copied().filter(usable).collect();
            if all.is_empty() {
                // All have failed: one of them is still better than no answer.
                all = candidates.to_vec();
            }
            return all;
        }
        let mut drawn: Vec<Candidate> = Vec::with_capacity(LOOK + 1);
        let home = candidates.iter().find(|c| Some(c.server) == affinity.home);
        drawn.extend(home.filter(|c| usable(c)));
        for _ in 0..LOOK {
            let candidate = candidates[rng.random_range(0..candidates.len())];
            if usable(&candidate) {
                drawn.push(candidate);
            }
        }
        drawn
    }

    fn prospect(
        &self,
        candidate: &Candidate,
        ask: RouteRequest,
        affinity: Affinity,
        now: Instant,
    ) -> Prospect {
        let home = affinity.home == Some(candidate.server);
        let blocks = if home { affinity.blocks } else { 0 };
        let server = &self.servers[candidate.server];
        let prefill = self.prefill(ask, blocks);
        let decode = self.decode(candidate, ask, now);
        let streams = f64::from(candidate.streams.max(1));
        let requests = server.known.requests(now, self.entries);
        // While an engine computes a prompt all its streams stand still, so that
        // the prefill costs as often its time as there are streams.
        let time = candidate.extra_latency.as_secs_f64()
            + prefill * (1.0 + requests.min(streams))
            + decode * (1.0 + requests / streams);
        Prospect { own: server.known.own(), time, trust: server.health.trust(now) }
    }

    /// Seconds of the part of the prompt that is not cached.
    fn prefill(&self, ask: RouteRequest, blocks: usize) -> f64 {
        let cached = (blocks * BLOCK_TOKENS) as f64;
        (f64::from(ask.prompt_tokens) - cached).max(0.0) * PREFILL.as_secs_f64()
    }

    /// Seconds of the answer on a server that is otherwise idle.
    fn decode(&self, candidate: &Candidate, ask: RouteRequest, now: Instant) -> f64 {
        let declared = candidate.step_time.as_secs_f64();
        let step = self.servers[candidate.server].known.step(now, declared);
        f64::from(ask.output_tokens) * step
    }
}
