//! What operators can look at, as rows of named fields.

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
use crate::{confsync, members};

/// The greatest number of daemons that are asked for their revision one by one.
const ASKED: usize = 64;

/// A row of named fields.
pub type Row = Map<String, Value>;

/// The rows of a subject, if there is such a subject.
pub fn rows(shared: &Shared, subject: &str) -> Option<Vec<Row>> {
    let catalog = shared.catalog();
    Some(match subject {
        "pools" => named(&catalog.pools),
        "models" => named(&catalog.models),
        "adapters" => named(&catalog.adapters),
        "services" => named(&catalog.services),
        "kinds" => named(&catalog.kinds),
        "callers" => named(&catalog.callers),
        "routes" => named(&catalog.routes),
        "files" => confsync::files(shared)
            .rows()
            .filter_map(|row| {
                row.text.as_ref().map(|text| {
                    object(json!({
                        "name": row.file, "team": row.team, "revision": row.revision,
                        "author": row.author, "change": row.change,
                        "bytes": text.len(),
                    }))
                })
            })
            .collect(),
        "servers" => servers(shared),
        "residents" => residents(shared),
        _ => return None,
    })
}

/// A revision of the history, without texts.
pub fn entry(entry: &HistoryEntry) -> Row {
    object(json!({
        "revision": entry.revision, "team": entry.team, "author": entry.author,
        "note": entry.note, "change": entry.change, "at": entry.accepted_at,
        "files": entry.previous_texts.keys().collect::<Vec<_>>(),
    }))
}

/// The VM of the daemon that leads a backend server.
pub fn lead(view: &View, server: &str) -> Option<String> {
    let (name, _) = view.servers.iter().find(|(name, _)| name.as_str() == server)?;
    let (_, member) = view.holder(&ClaimKey::Server(name.clone()))?;
    Some(member.vm.to_string())
}

/// The daemons whose lease holds, with the revision in force at each.
///
/// The table knows the revisions as of the last renewals; few daemons are asked
/// themselves, so that an operator who waits for a change sees it at once.
pub async fn daemons(node: &Arc<Node>) -> Vec<Row> {
    let shared = &node.shared;
    let mut known = renewed(shared).await;
    known.extend(asked(node).await);
    let newest = shared.catalog().revision;
    known.insert(shared.me, newest);
    let view = shared.view();
    let rows = view.members.iter().map(|(id, member)| {
        let revision = known.get(id);
        let behind = revision.map(|revision| newest.0.saturating_sub(revision.0));
        object(json!({
            "name": member.vm, "member": id.to_string(), "domain": member.domain,
            "caller_addr": member.caller_addr, "ops_addr": member.ops_addr,
            "leaving": member.leaving, "revision": revision, "behind": behind,
        }))
    });
    rows.collect()
}

/// The revisions as of the last renewals; none while the table can't be read.
async fn renewed(shared: &Shared) -> IndexMap<MemberId, Revision> {
    let Ok(delta) = shared.table.scan(LEASES, "", 0).await else {
        return IndexMap::new();
    };
    let leases = delta.rows.into_iter().map(|row| serde_json::from_value(row.value));
    let leases = leases.filter_map(Result::<LeaseRow, _>::ok);
    leases.map(|lease| (lease.member, lease.revision)).collect()
}

/// The revisions that the other daemons tell.
async fn asked(node: &Arc<Node>) -> IndexMap<MemberId, Revision> {
    let mut found = IndexMap::new();
    let others = members::others(&node.shared);
    if others.len() > ASKED {
        return found;
    }
    let mut calls = JoinSet::new();
    for (_, addr) in others {
        let node = node.clone();
        calls.spawn(async move { node.peers.ask_once(addr, &PeerRequest::Status).await });
    }
    while let Some(answer) = calls.join_next().await {
        if let Ok(Ok(PeerResponse::Status(status))) = answer {
            found.insert(status.member, status.revision);
        }
    }
    found
}

fn servers(shared: &Shared) -> Vec<Row> {
    let view = shared.view();
    let rows = view.servers.iter().map(|(name, server)| {
        let (role, of) = match &server.role {
            ServerRole::Runner(pool) => ("runner", pool.to_string()),
            ServerRole::Service(service) => ("service", service.to_string()),
        };
        object(json!({
            "name": name, "role": role, "of": of, "domain": server.domain,
            "address": server.address, "leaving": server.leaving,
            "lead": lead(&view, name.as_str()),
        }))
    });
    rows.collect()
}

fn residents(shared: &Shared) -> Vec<Row> {
    let residence = shared.residence();
    let mut rows = Vec::new();
    for (server, held) in residence.runners() {
        for (model, version) in &held.models {
            rows.push(object(json!({
                "name": model, "kind": "model", "version": version, "server": server,
            })));
        }
        for adapter in &held.adapters {
            rows.push(object(json!({
                "name": adapter, "kind": "adapter", "version": null, "server": server,
            })));
        }
    }
    rows
}

fn named<K: ToString, T: Serialize>(map: &IndexMap<K, T>) -> Vec<Row> {
    let rows = map.iter().map(|(name, item)| {
        let mut row = Row::new();
        row.insert("name".into(), name.to_string().into());
        row.extend(object(serde_json::to_value(item).unwrap_or_default()));
        row
    });
    rows.collect()
}

fn object(value: Value) -> Row {
    match value {
        Value::Object(row) => row,
        _ => Row::new(),
    }
}
