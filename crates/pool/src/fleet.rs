//! The backend servers that this daemon knows from the registry.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use chestnut_base::{Incarnation, ServerName, ServiceName};
use chestnut_edge::{Phase, ServerEntry};
use indexmap::{IndexMap, IndexSet};
use slotmap::{SlotMap, new_key_type};

use crate::health::Health;
use crate::rests::Rests;
use crate::usage::{InFlightRequest, Usage};

new_key_type! {
    /// One incarnation of a backend server; a restarted server gets a new key.
    pub struct ServerKey;
}

/// A backend server, with this daemon's own records of it.
#[derive(Debug, Clone)]
pub struct Server {
    /// Its last registry entry.
    pub entry: ServerEntry,
    /// Its recent failures.
    pub health: Health,
    /// What this daemon has in flight there; other daemons' requests are not included.
    pub own_usage: Usage,
    /// Since when the registry no longer lists it; `None` while it does.
    pub missing_since: Option<Instant>,
    /// When this daemon saw it start; `None` if it may have been running before.
    pub start_seen_at: Option<Instant>,
    /// Until when it wants no requests from this daemon; `None` if it has not asked for that.
    rest_until: Option<Instant>,
    /// Whether it has announced its shutdown in a response.
    is_leaving: bool,
    /// Whether its entry names the address of a daemon.
    names_daemon: bool,
}

impl Server {
    /// Its current incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.entry.incarnation()
    }

    /// How much longer it wants no requests from this daemon; zero if it wants some.
    pub fn rest_left(&self, now: Instant) -> Duration {
        self.rest_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }
}

/// The backend servers of all services.
#[derive(Debug, Default)]
pub struct Fleet {
    servers: SlotMap<ServerKey, Server>,
    names: IndexMap<ServerName, ServerKey>,
    /// Until when entries may be missing because the registry was unavailable.
    grace_until: Option<Instant>,
    rests: Rests,
    /// Servers that have announced their shutdown in a response, and when. They are kept apart
    /// from the registry's entries, which may lapse and return meanwhile.
    leaving: IndexMap<Incarnation, Instant>,
}

/// How long after an outage of the registry a missing entry may still return.
///
/// The platform specifies about two seconds.
pub const RELIST_GRACE: Duration = Duration::from_secs(2);

/// How long a server that has announced its shutdown is remembered; it ends within seconds.
const LEAVING_RETENTION: Duration = Duration::from_secs(600);

impl Fleet {
    /// Adds or updates a server's registry entry.
    pub fn update(&mut self, entry: ServerEntry) -> ServerKey {
        let previous = self.names.get(&entry.name).copied();
        if let Some(key) = previous
            && let Some(server) = self.servers.get_mut(key)
            && server.entry.started_at_ms == entry.started_at_ms
        {
            server.entry = entry;
            server.missing_since = None;
            return key;
        }
        if let Some(key) = previous {
            self.servers.remove(key);
        }
        let name = entry.name.clone();
        let (health, own_usage) = (Health::default(), Usage::default());
        let incarnation = entry.incarnation();
        let rest_until = self.rests.end(&incarnation);
        let is_leaving = self.leaving.contains_key(&incarnation);
        let key = self.servers.insert(Server {
            entry,
            health,
            own_usage,
            missing_since: None,
            start_seen_at: None,
            rest_until,
            is_leaving,
            names_daemon: false,
        });
        self.names.insert(name, key);
        key
    }

    /// Adds or updates a server's registry entry like [`Self::update`], and records whether
    /// the server has just started: it is another incarnation of one that was listed, or new
    /// after the first read of the registry and outside of a grace period.
    ///
    /// A daemon that reads the registry for the first time, or after an outage, can't tell
    /// new servers from others.
    pub fn update_seen(
        &mut self,
        entry: ServerEntry,
        is_first_read: bool,
        now: Instant,
    ) -> ServerKey {
        let previous = self.key(&entry.name);
        let key = self.update(entry);
        let is_start = match previous {
            Some(previous) => previous != key,
            None => !is_first_read && self.grace_left(now).is_zero(),
        };
        if let Some(server) = self.servers.get_mut(key).filter(|_| is_start) {
            server.start_seen_at = Some(now);
        }
        key
    }

    /// Records that the registry no longer lists a server.
    ///
    /// The server may be draining, so it is kept for the requests in flight; it gets no new
    /// ones, except within the grace period.
    pub fn mark_missing(&mut self, name: &ServerName, now: Instant) {
        if let Some(key) = self.names.get(name)
            && let Some(server) = self.servers.get_mut(*key)
        {
            server.missing_since.get_or_insert(now);
        }
    }

    /// Records at which addresses daemons listen, to be called after each read; returns the
    /// servers whose entries name one and did not before.
    ///
    /// A daemon would take a request that is sent there for one of a caller and forward it,
    /// perhaps to the same address again.
    pub fn set_daemon_addrs(&mut self, addrs: &IndexSet<SocketAddr>) -> Vec<ServerName> {
        let addrs: IndexSet<SocketAddr> = addrs.iter().copied().map(canonical).collect();
        let mut found = Vec::new();
        for server in self.servers.values_mut() {
            let names_daemon = addrs.contains(&canonical(server.entry.address));
            if names_daemon && !server.names_daemon {
                found.push(server.entry.name.clone());
            }
            server.names_daemon = names_daemon;
        }
        found
    }

    /// Starts a grace period for missing entries, since they expire during an outage of the
    /// registry while their servers are alive.
    ///
    /// Called when the registry is read again after an outage, and when it is read for the
    /// first time, since it may have been unavailable before.
    pub fn start_grace(&mut self, now: Instant) {
        self.grace_until = Some(now + RELIST_GRACE);
    }

    /// The rest of the grace period; zero outside of it.
    pub fn grace_left(&self, now: Instant) -> Duration {
        let until = self.grace_until.unwrap_or(now);
        until.saturating_duration_since(now)
    }

    /// Removes missing servers that have nothing in flight, unless in a grace period.
    pub fn remove_missing(&mut self, now: Instant) {
        if !self.grace_left(now).is_zero() {
            return;
        }
        let is_gone = |server: &Server| {
            server.missing_since.is_some() && server.own_usage.requests == 0
        };
        self.servers.retain(|_, server| !is_gone(server));
        let servers = &self.servers;
        self.names.retain(|_, key| servers.contains_key(*key));
    }

    /// Whether a server is listed as ready for new requests.
    ///
    /// A missing server counts as listed within the grace period, and one that has announced
    /// its shutdown, or whose entry names a daemon's address, as not listed, whatever its entry
    /// says.
    pub fn is_listed(&self, server: &Server, now: Instant) -> bool {
        let in_grace = !self.grace_left(now).is_zero();
        let is_ready = server.entry.phase == Phase::Ready
            && !server.is_leaving
            && !server.names_daemon;
        (server.missing_since.is_none() || in_grace) && is_ready
    }

    /// Records that a server has announced its shutdown in a response; returns whether that
    /// is new.
    pub fn record_leaving(&mut self, server: &Incarnation, now: Instant) -> bool {
        let is_recent =
            |at: Instant| now.saturating_duration_since(at) < LEAVING_RETENTION;
        self.leaving.retain(|_, at| is_recent(*at));
        let key = self.names.get(&server.server);
        if let Some(listed) = key.and_then(|key| self.servers.get_mut(*key))
            && listed.incarnation() == *server
        {
            listed.is_leaving = true;
        }
        self.leaving.insert(server.clone(), now).is_none()
    }

    /// Records that a server wants no requests from this daemon for a time.
    pub fn record_rest(&mut self, server: &Incarnation, rest: Duration, now: Instant) {
        let until = self.rests.record(server, rest, now);
        let key = self.names.get(&server.server);
        if let Some(listed) = key.and_then(|key| self.servers.get_mut(*key))
            && listed.incarnation() == *server
        {
            listed.rest_until = Some(until);
        }
    }

    /// Whether servers have asked for rest.
    pub fn has_rests(&self) -> bool {
        !self.rests.is_empty()
    }

    /// How much longer a server wants no requests from this daemon; zero if it wants some.
    pub fn rest_left(&self, server: &Incarnation, now: Instant) -> Duration {
        let end = self.rests.end(server);
        end.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Whether a server would get requests if it did not want none for a time.
    pub fn accepts_after_rest(&self, server: &Server, now: Instant) -> bool {
        self.is_listed(server, now) && server.health.allows_requests(now)
    }

    /// Whether a server is listed as ready, its health allows requests, and it wants some.
    pub fn accepts_requests(&self, server: &Server, now: Instant) -> bool {
        self.accepts_after_rest(server, now) && server.rest_left(now).is_zero()
    }

    /// The servers of a service that accept new requests.
    pub fn available<'a>(
        &'a self,
        service: &'a ServiceName,
        now: Instant,
    ) -> impl Iterator<Item = (ServerKey, &'a Server)> {
        self.servers.iter().filter(move |(_, server)| {
            server.entry.service == *service && self.accepts_requests(server, now)
        })
    }

    /// All servers, including missing ones.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, &Server)> {
        self.servers.iter()
    }

    /// `None` if this incarnation was removed.
    pub fn get(&self, key: ServerKey) -> Option<&Server> {
        self.servers.get(key)
    }

    /// `None` if this incarnation was removed.
    pub fn get_mut(&mut self, key: ServerKey) -> Option<&mut Server> {
        self.servers.get_mut(key)
    }

    /// The key of a server's current incarnation.
    pub fn key(&self, name: &ServerName) -> Option<ServerKey> {
        self.names.get(name).copied()
    }

    /// Adds a request to the server's own usage.
    pub fn begin_request(&mut self, key: ServerKey, request: InFlightRequest) {
        if let Some(server) = self.servers.get_mut(key) {
            server.own_usage += request.into();
        }
    }

    /// Subtracts a request from the server's own usage.
    pub fn end_request(&mut self, key: ServerKey, request: InFlightRequest) {
        if let Some(server) = self.servers.get_mut(key) {
            server.own_usage -= request.into();
        }
    }
}

/// The address with an IPv4 address in its own form if it is mapped to IPv6.
fn canonical(addr: SocketAddr) -> SocketAddr {
    SocketAddr::new(addr.ip().to_canonical(), addr.port())
}
