//! The table of backend servers as the registry lists them.

use std::time::{Duration, Instant};

use chestnut_base::{ServerName, ServiceName};
use chestnut_edge::{Phase, ServerEntry};
use indexmap::IndexMap;
use slotmap::{SlotMap, new_key_type};

use crate::health::Health;
use crate::usage::{InFlightRequest, Usage};

new_key_type! {
    /// A run of a backend server: a server that starts again gets a new key.
    pub struct ServerKey;
}

/// A backend server.
#[derive(Debug, Clone)]
pub struct Server {
    /// What it last said of itself.
    pub entry: ServerEntry,
    /// How far its answers can be trusted.
    pub health: Health,
    /// What this daemon has in flight there.
    pub own_usage: Usage,
    /// Since when the registry does not list it.
    pub missing_since: Option<Instant>,
}

/// The table of backend servers.
#[derive(Debug, Default)]
pub struct Fleet {
    servers: SlotMap<ServerKey, Server>,
    names: IndexMap<ServerName, ServerKey>,
    /// Until when entries may be missing since the registry was away.
    excused: Option<Instant>,
}

/// How long after an outage of the registry a missing entry may still return.
///
/// The platform says about two seconds.
pub const RELIST_GRACE: Duration = Duration::from_secs(2);

impl Fleet {
    /// Takes in what a server says of itself.
    pub fn update(&mut self, entry: ServerEntry) -> ServerKey {
        let known = self.names.get(&entry.name).copied();
        if let Some(key) = known
            && let Some(server) = self.servers.get_mut(key)
            && server.entry.started_at_ms == entry.started_at_ms
        {
            server.entry = entry;
            server.missing_since = None;
            return key;
        }
        if let Some(key) = known {
            self.servers.remove(key);
        }
        let name = entry.name.clone();
        let (health, own) = (Health::default(), Usage::default());
        let key = self.servers.insert(Server {
            entry,
            health,
            own_usage: own,
            missing_since: None,
        });
        self.names.insert(name, key);
        key
    }

    /// Takes in that the registry no longer lists a server.
    ///
    /// It may be a server that leaves and still serves, so that it is kept for what
    /// is in flight; it gets nothing new, unless the registry was away.
    pub fn mark_missing(&mut self, name: &ServerName, now: Instant) {
        if let Some(key) = self.names.get(name)
            && let Some(server) = self.servers.get_mut(*key)
        {
            server.missing_since.get_or_insert(now);
        }
    }

    /// Takes note that the registry could not be read until now, or is read for the first
    /// time: whether it was away before is not known then.
    ///
    /// Entries lapse meanwhile though their servers live.
    pub fn start_grace(&mut self, now: Instant) {
        self.excused = Some(now + RELIST_GRACE);
    }

    /// How much longer entries may be missing though their servers live.
    pub fn grace_left(&self, now: Instant) -> Duration {
        let until = self.excused.unwrap_or(now);
        until.saturating_duration_since(now)
    }

    /// Forgets servers that are gone and have nothing in flight.
    pub fn remove_missing(&mut self, now: Instant) {
        if !self.grace_left(now).is_zero() {
            return;
        }
        let gone = |server: &Server| {
            server.missing_since.is_some() && server.own_usage.requests == 0
        };
        self.servers.retain(|_, server| !gone(server));
        let servers = &self.servers;
        self.names.retain(|_, key| servers.contains_key(*key));
    }

    /// Whether the registry lists a server as one that takes new requests.
    pub fn is_listed(&self, server: &Server, now: Instant) -> bool {
        let excused = !self.grace_left(now).is_zero();
        (server.missing_since.is_none() || excused) && server.entry.phase == Phase::Ready
    }

    /// Whether a server may get new requests.
    pub fn accepts_requests(&self, server: &Server, now: Instant) -> bool {
        self.is_listed(server, now) && server.health.allows_requests(now)
    }

    /// The servers of a service that may get new requests.
    pub fn available<'a>(
        &'a self,
        service: &'a ServiceName,
        now: Instant,
    ) -> impl Iterator<Item = (ServerKey, &'a Server)> {
        self.servers.iter().filter(move |(_, server)| {
            server.entry.service == *service && self.accepts_requests(server, now)
        })
    }

    /// All servers.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, &Server)> {
        self.servers.iter()
    }

    /// A server.
    pub fn get(&self, key: ServerKey) -> Option<&Server> {
        self.servers.get(key)
    }

    /// A server.
    pub fn get_mut(&mut self, key: ServerKey) -> Option<&mut Server> {
        self.servers.get_mut(key)
    }

    /// The current run of a server.
    pub fn key(&self, name: &ServerName) -> Option<ServerKey> {
        self.names.get(name).copied()
    }

    /// Counts a request that is sent.
    pub fn begin_request(&mut self, key: ServerKey, flight: InFlightRequest) {
        if let Some(server) = self.servers.get_mut(key) {
            server.own_usage += flight.into();
        }
    }

    /// Counts a request that has ended.
    pub fn end_request(&mut self, key: ServerKey, flight: InFlightRequest) {
        if let Some(server) = self.servers.get_mut(key) {
            server.own_usage -= flight.into();
        }
    }
}
