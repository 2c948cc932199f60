//! The state that operators can query, as rows of named fields.

use std::sync::Arc;

use chestnut_base::{MemberId, Revision};
use chestnut_config::rows::HistoryEntry;
use chestnut_member::{ClaimKey, LeaseRow, ServerRole, View};
use chestnut_wire::{PeerRequest, PeerResponse};
use indexmap::IndexMap;
use serde::Serialize;
use serde_json::{Map, Value, json};
use tokio::task::JoinSet;

use crate::members::LEASES;
use crate::node::Node;
use crate::shared::Shared;
use crate::{config_sync, members};

/// Maximum number of other daemons at which all are queried for their current revision;
/// with more, none is.
const MAX_QUERIED_DAEMONS: usize = 64;

/// A row: its values by field name.
pub type Row = Map<String, Value>;

/// The rows of a subject; absent if the subject is unknown or is `daemons`.
pub fn rows(shared: &Shared, subject: &str) -> Option<Vec<Row>> {
    let catalog = shared.catalog();
    Some(match subject {
        "pools" => named_rows(&catalog.pools),
        "models" => named_rows(&catalog.models),
        "adapters" => named_rows(&catalog.adapters),
        "services" => named_rows(&catalog.services),
        "kinds" => named_rows(&catalog.kinds),
        "callers" => named_rows(&catalog.callers),
        "routes" => named_rows(&catalog.routes),
        "files" => config_sync::files(shared)
            .rows()
            .filter_map(|row| {
                row.text.as_ref().map(|text| {
                    to_row(json!({
                        "name": row.file, "team": row.team, "revision": row.revision,
                        "author": row.author, "change": row.change,
                        "bytes": text.len(),
                    }))
                })
            })
            .collect(),
        "servers" => server_rows(shared),
        "residents" => resident_rows(shared),
        _ => return None,
    })
}

/// A revision of the history, without the contents of its files.
pub fn history_entry(entry: &HistoryEntry) -> Row {
    to_row(json!({
        "revision": entry.revision, "team": entry.team, "author": entry.author,
        "note": entry.note, "change": entry.change, "at": entry.accepted_at,
        "files": entry.previous_texts.keys().collect::<Vec<_>>(),
    }))
}

/// The VM of the daemon that leads a backend server, if one does.
pub fn lead_vm(view: &View, server: &str) -> Option<String> {
    let (name, _) = view.servers.iter().find(|(name, _)| name.as_str() == server)?;
    let (_, member) = view.holder(&ClaimKey::Server(name.clone()))?;
    Some(member.vm.to_string())
}

/// The daemons with a valid lease and the revision in force at each.
///
/// The table has the revisions as of the last lease renewals. In a small deployment
/// the daemons are also queried directly, so that an operator who waits for a change
/// sees it at once.
pub async fn daemons(node: &Arc<Node>) -> Vec<Row> {
    let shared = &node.shared;
    let mut revisions = revisions_at_renewal(shared).await;
    revisions.extend(query_revisions(node).await);
    let newest = shared.catalog().revision;
    revisions.insert(shared.me, newest);
    let view = shared.view();
    let rows = view.members.iter().map(|(id, member)| {
        let revision = revisions.get(id);
        let behind = revision.map(|revision| newest.0.saturating_sub(revision.0));
        to_row(json!({
            "name": member.vm, "member": id.to_string(), "domain": member.domain,
            "caller_addr": member.caller_addr, "ops_addr": member.ops_addr,
            "leaving": member.leaving, "revision": revision, "behind": behind,
        }))
    });
    rows.collect()
}

/// The revisions as of the last lease renewals; empty while the table can't be read.
async fn revisions_at_renewal(shared: &Shared) -> IndexMap<MemberId, Revision> {
    let Ok(delta) = shared.table.scan(LEASES, "", 0).await else {
        return IndexMap::new();
    };
    let leases = delta.rows.into_iter().map(|row| serde_json::from_value(row.value));
    let leases = leases.filter_map(Result::<LeaseRow, _>::ok);
    leases.map(|lease| (lease.member, lease.revision)).collect()
}

/// Queries the other daemons for their revisions; empty if there are too many daemons.
async fn query_revisions(node: &Arc<Node>) -> IndexMap<MemberId, Revision> {
    let mut revisions = IndexMap::new();
    let others = members::other_members(&node.shared);
    if others.len() > MAX_QUERIED_DAEMONS {
        return revisions;
    }
    let mut calls = JoinSet::new();
    for (_, addr) in others {
        let node = node.clone();
        calls.spawn(async move { node.peers.request(addr, &PeerRequest::Status).await });
    }
    while let Some(response) = calls.join_next().await {
        if let Ok(Ok(PeerResponse::Status(status))) = response {
            revisions.insert(status.member, status.revision);
        }
    }
    revisions
}

fn server_rows(shared: &Shared) -> Vec<Row> {
    let view = shared.view();
    let rows = view.servers.iter().map(|(name, server)| {
        let (role, of) = match &server.role {
            ServerRole::Runner(pool) => ("runner", pool.to_string()),
            ServerRole::Service(service) => ("service", service.to_string()),
        };
        to_row(json!({
            "name": name, "role": role, "of": of, "domain": server.domain,
            "address": server.address, "leaving": server.leaving,
            "lead": lead_vm(&view, name.as_str()),
        }))
    });
    rows.collect()
}

fn resident_rows(shared: &Shared) -> Vec<Row> {
    let residency = shared.residency();
    let mut rows = Vec::new();
    for (server, assets) in residency.runners() {
        for (model, version) in &assets.models {
            rows.push(to_row(json!({
                "name": model, "kind": "model", "version": version, "server": server,
            })));
        }
        for adapter in &assets.adapters {
            rows.push(to_row(json!({
                "name": adapter, "kind": "adapter", "version": null, "server": server,
            })));
        }
    }
    rows
}

fn named_rows<K: ToString, T: Serialize>(map: &IndexMap<K, T>) -> Vec<Row> {
    let rows = map.iter().map(|(name, item)| {
        let mut row = Row::new();
        row.insert("name".into(), name.to_string().into());
        row.extend(to_row(serde_json::to_value(item).unwrap_or_default()));
        row
    });
    rows.collect()
}

fn to_row(value: Value) -> Row {
    match value {
        Value::Object(row) => row,
        _ => Row::new(),
    }
}
