//! Takes in declarations and what backend servers say of themselves.

use std::sync::Arc;

use bytes::Bytes;
use chestnut_base::{Revision, ServerName};
use chestnut_edge::{Change, ServerEntry};
use slog::{info, warn};

use crate::follow::Follower;
use crate::shared::Shared;

/// Takes in the operators' declarations.
pub struct Declarations(pub Arc<Shared>);

/// Takes in the registry of backend servers.
pub struct Servers(pub Arc<Shared>);

impl Follower for Declarations {
    fn changed(&mut self, change: Change) {
        let Self(shared) = self;
        if change.key != shared.dialect.declarations_key() {
            return;
        }
        match change.value {
            Some(value) => adopt(shared, &value),
            // The last declarations stay in force: their removal names no others.
            None => warn!(shared.log, "declarations removed, the last ones stay"),
        }
    }
}

/// Brings declarations into force unless later ones are.
pub fn adopt(shared: &Shared, value: &Bytes) {
    let declared = match shared.dialect.read_declarations(value) {
        Ok(declared) => declared,
        Err(error) => {
            warn!(shared.log, "declarations refused"; "error" => error.to_string());
            return;
        }
    };
    let revision = declared.revision;
    let known = shared.declared().map(|known| known.revision);
    if known.is_some_and(|known| known >= revision) {
        return;
    }
    let routes = declared.routes.len();
    shared.declared.send_replace(Some(Arc::new(declared)));
    info!(shared.log, "declarations in force";
        "revision" => revision.0, "before" => known.unwrap_or(Revision(0)).0, "routes" => routes);
}

impl Follower for Servers {
    fn changed(&mut self, change: Change) {
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

    fn settled(&mut self) {
        let now = self.0.now();
        if *self.0.listed.borrow() == 0 {
            self.0.fleet().start_grace(now);
        }
        self.0.fleet().remove_missing(now);
        self.0.listed.send_modify(|count| *count += 1);
    }

    fn regained(&mut self) {
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
