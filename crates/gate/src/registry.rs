//! Takes in declarations and what backend servers say of themselves.

use std::sync::Arc;

use bytes::Bytes;
use chestnut_base::{Revision, ServerName};
use chestnut_edge::{Change, ServerEntry};
use slog::{info, warn};

use crate::shared::Shared;
use crate::table_sync::ChangeHandler;

/// Takes in the operators' declarations.
pub struct DeclarationsHandler(pub Arc<Shared>);

/// Takes in the registry of backend servers.
pub struct ServerHandler(pub Arc<Shared>);

impl ChangeHandler for DeclarationsHandler {
    fn on_change(&mut self, change: Change) {
        let Self(shared) = self;
        if change.key != shared.dialect.declarations_key() {
            return;
        }
        match change.value {
            Some(value) => apply_declarations(shared, &value),
            // The last declarations stay in force: their removal names no others.
            None => warn!(shared.log, "declarations removed, the last ones stay"),
        }
    }
}

/// Brings declarations into force unless later ones are.
pub fn apply_declarations(shared: &Shared, value: &Bytes) {
    let declared = match shared.dialect.read_declarations(value) {
        Ok(declared) => declared,
        Err(error) => {
            warn!(shared.log, "declarations refused"; "error" => error.to_string());
            return;
        }
    };
    let revision = declared.revision;
    let known = shared.declarations().map(|known| known.revision);
    if known.is_some_and(|known| known >= revision) {
        return;
    }
    let routes = declared.routes.len();
    shared.declarations.send_replace(Some(Arc::new(declared)));
    info!(shared.log, "declarations in force";
        "revision" => revision.0, "before" => known.unwrap_or(Revision(0)).0, "routes" => routes);
}

impl ChangeHandler for ServerHandler {
    fn on_change(&mut self, change: Change) {
        let Self(shared) = self;
        let Some(value) = change.value else {
            unlist(shared, &change.key, change.version);
            return;
        };
        match shared.dialect.read_server(&change.key, &value) {
            Ok(entry) => {
                info!(shared.log, "server listed"; "server" => entry.name.to_string(),
                    "version" => change.version, "service" => entry.service.to_string(),
                    "phase" => format!("{:?}", entry.phase), "models" => names(&entry));
                shared.fleet().update(entry);
            }
            Err(error) => {
                // An entry that can't be read names no server to use.
                warn!(shared.log, "server's entry refused"; "key" => &change.key,
                    "version" => change.version, "error" => error.to_string());
                unlist(shared, &change.key, change.version);
            }
        }
    }

    fn on_batch_end(&mut self) {
        let now = self.0.now();
        if *self.0.server_updates.borrow() == 0 {
            self.0.fleet().start_grace(now);
        }
        self.0.fleet().remove_missing(now);
        self.0.server_updates.send_modify(|count| *count += 1);
    }

    fn on_store_recovery(&mut self) {
        let now = self.0.now();
        self.0.fleet().start_grace(now);
    }
}

/// The models that a server holds, for logs.
fn names(entry: &ServerEntry) -> String {
    let names: Vec<&str> = entry.models.iter().map(|held| held.model.as_str()).collect();
    names.join(" ")
}

fn unlist(shared: &Shared, key: &str, version: u64) {
    let Ok(name) = ServerName::try_from(key) else { return };
    info!(shared.log, "server gone from the registry"; "server" => key, "version" => version);
    shared.fleet().mark_missing(&name, shared.now());
}
