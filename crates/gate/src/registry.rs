//! Handles rows of declarations and of backend servers.

use std::sync::Arc;

use bytes::Bytes;
use chestnut_base::{Revision, ServerName, ServiceName};
use chestnut_edge::{Change, ServerEntry};
use chestnut_pool::ServiceProfile;
use slog::{info, warn};

use crate::shared::Shared;
use crate::table_sync::ChangeHandler;
use crate::{holder, members, resumption};

/// The number of a server's models that are logged.
const MAX_LOGGED_MODELS: usize = 64;

/// Handles the row of the operators' declarations.
pub struct DeclarationsHandler(pub Arc<Shared>);

/// Handles rows of the registry of backend servers.
pub struct ServerHandler(pub Arc<Shared>);

impl ChangeHandler for DeclarationsHandler {
    fn on_change(&mut self, change: Change) {
        let Self(shared) = self;
        if change.key != shared.dialect.declarations_key() {
            return;
        }
        match change.value {
            Some(value) => apply_declarations(shared, &value),
            // Without new declarations the last ones stay in force.
            None => {
                warn!(shared.log, "declarations removed, the last ones stay in force")
            }
        }
    }

    fn on_batch_end(&mut self) {
        let Self(shared) = self;
        let version = shared.tables.declarations.replica().version();
        shared.applied_version.send_replace(version.unwrap_or_default());
    }
}

/// Puts declarations in force unless the current ones have the same or a later revision.
pub fn apply_declarations(shared: &Shared, value: &Bytes) {
    let declarations = match shared.dialect.read_declarations(value) {
        Ok(declarations) => declarations,
        Err(error) => {
            warn!(shared.log, "invalid declarations ignored"; "error" => error.to_string());
            return;
        }
    };
    let revision = declarations.revision;
    let current = shared.declarations().map(|current| current.revision);
    if current.is_some_and(|current| current >= revision) {
        return;
    }
    let routes = declarations.routes.len();
    let origin = shared.tables.declarations.origins().changes;
    let services = declarations.services.keys();
    let profile = |service: &ServiceName| {
        (service.clone(), ServiceProfile::of(service, &declarations.routes))
    };
    shared.profiles.send_replace(services.map(profile).collect());
    shared.declarations.send_replace(Some(Arc::new(declarations)));
    info!(shared.log, "declarations in force";
        "revision" => revision.0, "before" => current.unwrap_or(Revision(0)).0,
        "from" => origin.map(|origin| origin.to_string()), "routes" => routes);
}

impl ChangeHandler for ServerHandler {
    fn on_change(&mut self, change: Change) {
        let Self(shared) = self;
        let Some(value) = change.value else {
            mark_missing(shared, &change.key, change.version);
            return;
        };
        match read_entry(shared, &change.key, &value) {
            Ok(entry) => {
                info!(shared.log, "server listed"; "server" => entry.name.to_string(),
                    "version" => change.version, "service" => entry.service.to_string(),
                    "software" => entry.software.as_ref().map(|version| version.as_str()),
                    "phase" => format!("{:?}", entry.phase), "models" => model_names(&entry));
                let is_first_read = *shared.server_updates.borrow() == 0;
                let now = shared.now();
                let mut history = shared.software_history();
                history.record_listed(&entry.service, &entry.software, now);
                drop(history);
                shared.fleet().update_seen(entry, is_first_read, now);
            }
            Err(error) => {
                // A server whose entry can't be read must not be used.
                warn!(shared.log, "server's entry refused"; "key" => &change.key,
                    "version" => change.version, "error" => error);
                mark_missing(shared, &change.key, change.version);
            }
        }
    }

    fn on_batch_end(&mut self) {
        let now = self.0.now();
        if *self.0.server_updates.borrow() == 0 {
            self.0.fleet().start_grace(now);
        }
        self.0.fleet().remove_missing(now);
        exclude_daemons(&self.0);
        resumption::send_mixed(&self.0);
        self.0.server_updates.send_modify(|count| *count += 1);
        holder::sync_claims(&self.0);
    }

    fn on_store_recovery(&mut self) {
        let now = self.0.now();
        self.0.fleet().start_grace(now);
    }
}

/// Keeps requests away from servers whose entries name the address of a daemon.
pub fn exclude_daemons(shared: &Shared) {
    let addrs = members::daemon_addrs(shared);
    for server in shared.fleet().set_daemon_addrs(&addrs) {
        warn!(shared.log, "server not used, its entry names a daemon's address";
            "server" => server.to_string());
    }
}

/// Reads an entry of which no value is impossible.
fn read_entry(shared: &Shared, key: &str, value: &Bytes) -> Result<ServerEntry, String> {
    let entry = shared.dialect.read_server(key, value);
    let entry = entry.map_err(|error| error.to_string())?;
    entry.check().map_err(|error| error.to_string())?;
    Ok(entry)
}

/// The names of a server's models, for logs.
fn model_names(entry: &ServerEntry) -> String {
    let names = entry.models.iter().map(|loaded| loaded.model.as_str());
    let logged: Vec<&str> = names.take(MAX_LOGGED_MODELS).collect();
    match entry.models.len() - logged.len() {
        0 => logged.join(" "),
        others => format!("{} and {others} others", logged.join(" ")),
    }
}

fn mark_missing(shared: &Shared, key: &str, version: u64) {
    let Ok(name) = ServerName::try_from(key) else { return };
    info!(shared.log, "server gone from the registry"; "server" => key, "version" => version);
    shared.fleet().mark_missing(&name, shared.now());
}
