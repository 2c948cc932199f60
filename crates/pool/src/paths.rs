//! Which way a request takes to a backend server: directly, or through another daemon.
//!
//! Load pattern: some daemons lose their links to servers that all others reach. New
//! connections hang or are refused while old ones may live on, and callers still reach
//! these daemons. Without another way, each of their requests fails at one server after
//! the other; with it, only the first requests after the loss wait for a connection.
//!
//! Once a few servers are lost, the link of this daemon is the likely cause. Servers that
//! it has not reached since then count as lost as well, until a probe reaches them.

use std::time::{Duration, Instant};

use chestnut_base::{Incarnation, MemberId, ServerName};
use indexmap::IndexMap;
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

/// The most paths that are tried for one attempt.
const MAX_PATHS: usize = 3;

/// The number of lost servers that others reach from which the daemon's own link is suspect.
const MIN_LOST: usize = 2;

/// The time between two probes of a server.
const PROBE_PERIOD: Duration = Duration::from_millis(500);

/// The most probes that begin together. They are due four times a second.
const MAX_PROBES: usize = 8;

/// How long a daemon that couldn't reach a server is not used as its forwarder.
const FORWARDER_BACKOFF: Duration = Duration::from_secs(1);

/// How long a daemon that didn't accept a request to forward is not used as a forwarder.
const MEMBER_BACKOFF: Duration = Duration::from_millis(500);

/// How long a daemon that reached a server is preferred as a forwarder.
const REACHED_TTL: Duration = Duration::from_secs(3);

/// The share of requests through other daemons that also try those of which nothing is known.
const EXPLORATION: f64 = 0.1;

/// How long a report that another daemon reaches a server counts.
const CONFIRMATION_TTL: Duration = Duration::from_secs(1);

/// How long a server must be lost before it is reported as unreachable.
///
/// A busy daemon may miss the time limit of single connections.
const MIN_LOST_TIME: Duration = Duration::from_millis(700);

/// How long a server must be reached again before it is no longer reported as unreachable.
///
/// Claims return to a daemon after that. Each move of a claim delays orders for seconds, so
/// that a link that fails again and again must not move it each time.
const RETURN_DELAY: Duration = Duration::from_secs(10);

/// The way of a request to its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// On a connection of this daemon.
    Direct,
    /// Through another daemon.
    Forwarded(MemberId),
}

/// What became of an attempt to connect to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reachability {
    /// It accepted the connection.
    Connected,
    /// It accepted the connection and closed it at once.
    Closed,
    /// Its address refused the connection.
    Refused,
    /// There was no answer in time.
    Silent,
}

/// A daemon that could forward a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Forwarder {
    /// Its id.
    pub member: MemberId,
    /// How many times the way through it crosses between failure domains.
    pub crossings: u8,
}

/// What is known of the way to one server.
#[derive(Debug, Clone, Default)]
struct ServerPath {
    /// When it last accepted a connection of this daemon.
    connected_at: Option<Instant>,
    /// Since when it accepts none; `None` while it does.
    lost_at: Option<Instant>,
    /// When another daemon last reached it.
    confirmed_at: Option<Instant>,
    /// When a probe of it last began.
    probed_at: Option<Instant>,
    /// When it was last lost while another daemon reached it.
    unreachable_at: Option<Instant>,
    /// Daemons that couldn't reach it, and when.
    failed: IndexMap<MemberId, Instant>,
}

impl ServerPath {
    /// Whether it is lost though another daemon reached it meanwhile.
    fn is_confirmed(&self) -> bool {
        let confirmed = self.lost_at.zip(self.confirmed_at);
        confirmed.is_some_and(|(lost_at, confirmed_at)| confirmed_at >= lost_at)
    }
}

/// The ways of this daemon to the servers.
#[derive(Debug, Clone, Default)]
pub struct Paths {
    servers: IndexMap<Incarnation, ServerPath>,
    /// Until when daemons are not used as forwarders.
    backoffs: IndexMap<MemberId, Instant>,
    /// When daemons last reached a server for this one; without those that failed since.
    reached: IndexMap<MemberId, Instant>,
}

impl Paths {
    /// Whether requests to a server go directly.
    pub fn is_direct(&self, server: &Incarnation) -> bool {
        let path = self.servers.get(server);
        if path.is_some_and(|path| path.lost_at.is_some()) {
            return false;
        }
        let connected_at = path.and_then(|path| path.connected_at);
        self.suspect_since().is_none_or(|since| connected_at.is_some_and(|at| at > since))
    }

    /// Since when the daemon's own link is suspect; `None` if it isn't.
    pub fn suspect_since(&self) -> Option<Instant> {
        let lost = self.servers.values().filter(|path| path.is_confirmed());
        let mut lost: Vec<Instant> = lost.filter_map(|path| path.lost_at).collect();
        lost.sort_unstable();
        (lost.len() >= MIN_LOST).then(|| lost[0])
    }

    /// Records that a server accepted a connection; returns whether it was lost before.
    pub fn record_connected(&mut self, server: &Incarnation, now: Instant) -> bool {
        let path = self.servers.entry(server.clone()).or_default();
        path.connected_at = Some(now);
        let was_lost = path.lost_at.take().is_some();
        if was_lost {
            // The link may work again, which concerns all servers.
            self.servers.values_mut().for_each(|path| path.probed_at = None);
        }
        was_lost
    }

    /// Records that a server accepted no connection; returns whether it did before.
    pub fn record_unconnected(&mut self, server: &Incarnation, now: Instant) -> bool {
        let path = self.servers.entry(server.clone()).or_default();
        let is_new = path.lost_at.is_none();
        path.lost_at.get_or_insert(now);
        is_new
    }

    /// Records that another daemon reaches a server; returns whether this is the first that
    /// does since this daemon lost it.
    pub fn record_confirmed(
        &mut self,
        server: &Incarnation,
        member: MemberId,
        now: Instant,
    ) -> bool {
        self.reached.retain(|_, at| is_within(*at, REACHED_TTL, now));
        self.reached.insert(member, now);
        let path = self.servers.entry(server.clone()).or_default();
        let was_confirmed = path.is_confirmed();
        path.confirmed_at = Some(now);
        path.failed.swap_remove(&member);
        if path.lost_at.is_some_and(|at| !is_within(at, MIN_LOST_TIME, now)) {
            path.unreachable_at = Some(now);
        }
        path.is_confirmed() && !was_confirmed
    }

    /// Records that a daemon couldn't reach a server.
    pub fn record_failed(
        &mut self,
        server: &Incarnation,
        member: MemberId,
        now: Instant,
    ) {
        self.reached.swap_remove(&member);
        let path = self.servers.entry(server.clone()).or_default();
        path.failed.retain(|_, at| is_within(*at, FORWARDER_BACKOFF, now));
        path.failed.insert(member, now);
    }

    /// Records that a daemon didn't accept a request to forward.
    pub fn record_refused(&mut self, member: MemberId, now: Instant) {
        self.backoffs.retain(|_, until| now < *until);
        self.backoffs.insert(member, now + MEMBER_BACKOFF);
        self.reached.swap_remove(&member);
    }

    /// The next path to try for an attempt, after those in `tried` have failed; `None` if the
    /// server counts as unreachable.
    pub fn next(
        &self,
        server: &Incarnation,
        forwarders: &[Forwarder],
        tried: &[Path],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<Path> {
        if tried.len() >= MAX_PATHS {
            return None;
        }
        if tried.is_empty() && self.is_direct(server) {
            return Some(Path::Direct);
        }
        let is_untried =
            |forwarder: &&Forwarder| !tried.contains(&Path::Forwarded(forwarder.member));
        let untried: Vec<Forwarder> =
            forwarders.iter().filter(is_untried).copied().collect();
        let explore = tried.is_empty() && rng.random_bool(EXPLORATION);
        match self.choose_forwarder(server, &untried, explore, now, rng) {
            Some(member) => Some(Path::Forwarded(member)),
            None => tried.is_empty().then_some(Path::Direct),
        }
    }

    /// Picks one of the forwarders with the shortest way at random, without those that failed
    /// recently.
    ///
    /// Mostly one that has reached a server lately: many others may be cut off too. The rest of
    /// the requests find further ones, which spreads the load.
    fn choose_forwarder(
        &self,
        server: &Incarnation,
        forwarders: &[Forwarder],
        explore: bool,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<MemberId> {
        let failed = self.servers.get(server).map(|path| &path.failed);
        let has_failed = |member: &MemberId| {
            let at = failed.and_then(|failed| failed.get(member));
            at.is_some_and(|at| is_within(*at, FORWARDER_BACKOFF, now))
        };
        let is_usable = |forwarder: &Forwarder| {
            let backoff = self.backoffs.get(&forwarder.member);
            backoff.is_none_or(|until| now >= *until) && !has_failed(&forwarder.member)
        };
        let has_reached = |forwarder: &Forwarder| {
            let at = self.reached.get(&forwarder.member);
            is_usable(forwarder) && at.is_some_and(|at| is_within(*at, REACHED_TTL, now))
        };
        let known = match explore {
            true => None,
            false => choose_nearest(forwarders, has_reached, rng),
        };
        known.or_else(|| choose_nearest(forwarders, is_usable, rng))
    }

    /// The servers to probe now; they count as probed.
    pub fn due_probes(
        &mut self,
        listed: &[Incarnation],
        now: Instant,
    ) -> Vec<Incarnation> {
        let is_due = |server: &&Incarnation| {
            let probed_at = self.servers.get(*server).and_then(|path| path.probed_at);
            !self.is_direct(server)
                && probed_at.is_none_or(|at| !is_within(at, PROBE_PERIOD, now))
        };
        let mut due: Vec<Incarnation> = listed.iter().filter(is_due).cloned().collect();
        due.sort_by_key(|server| {
            self.servers.get(server).and_then(|path| path.probed_at)
        });
        due.truncate(MAX_PROBES);
        for server in &due {
            self.servers.entry(server.clone()).or_default().probed_at = Some(now);
        }
        due
    }

    /// Whether another daemon has to be asked again whether it reaches a lost server.
    pub fn needs_confirmation(&self, server: &Incarnation, now: Instant) -> bool {
        let path = self.servers.get(server).filter(|path| path.lost_at.is_some());
        path.is_some_and(|path| {
            path.confirmed_at.is_none_or(|at| !is_within(at, CONFIRMATION_TTL, now))
        })
    }

    /// The servers that this daemon can't reach though others can, or couldn't until recently,
    /// in order.
    pub fn unreachable(&self, now: Instant) -> Vec<ServerName> {
        let is_listed = |path: &ServerPath| {
            let at = path.unreachable_at;
            at.is_some_and(|at| is_within(at, RETURN_DELAY, now))
        };
        let listed = self.servers.iter().filter(|(_, path)| is_listed(path));
        let mut names: Vec<ServerName> =
            listed.map(|(server, _)| server.server.clone()).collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// The servers that accept no connections of this daemon.
    pub fn lost(&self) -> impl Iterator<Item = &Incarnation> {
        let lost = self.servers.iter().filter(|(_, path)| path.lost_at.is_some());
        lost.map(|(server, _)| server)
    }

    /// Forgets the servers that are not listed any more.
    pub fn retain(&mut self, listed: &[Incarnation]) {
        self.servers.retain(|server, _| listed.contains(server));
    }
}

/// Whether a server has ended, by what became of connections of this daemon and of others.
///
/// A connection that is refused may be refused by the link alone, of this daemon or of one
/// that was asked.
pub fn has_ended(own: Reachability, others: &[Reachability]) -> bool {
    use Reachability::{Connected, Refused};
    match own {
        Connected => false,
        own if others.is_empty() => own == Refused,
        _ => others.contains(&Refused) && !others.contains(&Connected),
    }
}

/// Picks up to `count` of the daemons to ask, first one of each failure domain.
pub fn choose_witnesses<D: Eq>(
    mut daemons: Vec<(MemberId, D)>,
    count: usize,
    rng: &mut impl Rng,
) -> Vec<MemberId> {
    let mut chosen: Vec<(MemberId, D)> = Vec::new();
    let mut rest = Vec::new();
    while !daemons.is_empty() {
        let daemon = daemons.swap_remove(rng.random_range(0..daemons.len()));
        match chosen.iter().any(|(_, domain)| *domain == daemon.1) {
            true => rest.push(daemon),
            false => chosen.push(daemon),
        }
    }
    chosen.extend(rest);
    chosen.into_iter().take(count).map(|(member, _)| member).collect()
}

/// One of the accepted forwarders with the fewest crossings, at random.
fn choose_nearest(
    forwarders: &[Forwarder],
    accepts: impl Fn(&Forwarder) -> bool,
    rng: &mut impl Rng,
) -> Option<MemberId> {
    let accepted: Vec<&Forwarder> = forwarders.iter().filter(|at| accepts(at)).collect();
    let least = accepted.iter().map(|forwarder| forwarder.crossings).min()?;
    let nearest = accepted.iter().filter(|forwarder| forwarder.crossings == least);
    let nearest: Vec<MemberId> = nearest.map(|forwarder| forwarder.member).collect();
    nearest.choose(rng).copied()
}

fn is_within(at: Instant, duration: Duration, now: Instant) -> bool {
    now.saturating_duration_since(at) < duration
}
