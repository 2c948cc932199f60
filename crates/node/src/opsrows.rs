//! What operators can look at, as rows of named fields.

use std::sync::Arc;

use chestnut_base::{MemberId, ModelName, Revision, VersionName};
use chestnut_config::Route;
use chestnut_config::rows::Entry;
use chestnut_member::{ClaimKey, LeaseRow, Server, ServerRole, View};
use chestnut_wire::{Ask, Say};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
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
pub fn entry(entry: &Entry) -> Row {
    object(json!({
        "revision": entry.revision, "team": entry.team, "author": entry.author,
        "note": entry.note, "change": entry.change, "at": entry.at,
        "files": entry.before.keys().collect::<Vec<_>>(),
    }))
}

/// A request that an operator asks about.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// What the caller puts into `model`.
    model: Option<String>,
    /// The plain service.
    service: Option<String>,
    /// The kind that the caller names.
    kind: Option<String>,
    /// The caller.
    caller: Option<String>,
}

/// What would happen to a request, step by step.
pub fn explain(shared: &Shared, request: &Request) -> Value {
    let mut steps = Vec::new();
    let catalog = shared.catalog();
    steps.push(format!("declarations of revision {} are in force", catalog.revision));
    if !confsync::is_fresh(shared, shared.clock.now()) {
        steps.push("this daemon can't confirm that and takes no new work".into());
    }
    if let Some(caller) = &request.caller {
        steps.push(
            match catalog.callers.iter().find(|(name, _)| name.as_str() == caller) {
                Some((_, it)) => format!("caller `{caller}` has share {}", it.share),
                None => {
                    format!("caller `{caller}` is not declared; refused (unauthorised)")
                }
            },
        );
    }
    let mut default = None;
    let mut servers = Vec::new();
    let view = shared.view();
    if let Some(name) = &request.service {
        let found = catalog.services.iter().find(|(it, _)| it.as_str() == name);
        if let Some((name, service)) = found {
            steps.push(format!("service `{name}` is declared by {}", service.team));
            default = service.kind.clone();
            for (server, it) in &view.servers {
                if it.role == ServerRole::Service(name.clone()) {
                    servers.push(candidate(&view, server.as_str(), it, true));
                }
            }
        } else {
            steps.push(format!("no service `{name}` is declared; refused"));
        }
    }
    if let Some(name) = &request.model {
        if let Some(route) = catalog.routes.get(name) {
            default = route.kind.clone();
            steps.push(along(name, route));
            if let Some(model) = catalog.models.get(&route.model) {
                steps.push(format!(
                    "version `{}` of it is served by pool `{}`",
                    model.version, model.pool
                ));
                let holding = holding(shared, route, &route.model, &model.version);
                for (server, it) in &view.servers {
                    if it.role == ServerRole::Runner(model.pool.clone()) {
                        let resident = holding.contains(&server.to_string());
                        servers.push(candidate(&view, server.as_str(), it, resident));
                    }
                }
            }
        } else {
            steps.push(format!("no route `{name}` is declared; refused"));
        }
    }
    let kind = request.kind.clone().or(default.map(|kind| kind.to_string()));
    steps.push(match &kind {
        Some(name) => match catalog.kinds.iter().find(|(it, _)| it.as_str() == name) {
            Some((_, kind)) => format!(
                "kind `{name}`: {:?}, to be answered within {} ms, {}",
                kind.urgency,
                kind.deadline.as_millis(),
                if kind.idempotent { "may be retried" } else { "runs at most once" }
            ),
            None => format!("no kind `{name}` is declared; refused"),
        },
        None => "no kind is named or declared for the route".into(),
    });
    let ready = servers.iter().filter(|it| it["resident"] == true).count();
    if request.model.is_some() || request.service.is_some() {
        steps.push(format!("{ready} of {} backend servers can take it", servers.len()));
    }
    json!({ "revision": catalog.revision, "steps": steps, "servers": servers })
}

fn along(name: &str, route: &Route) -> String {
    let base =
        format!("route `{name}` of {} leads to model `{}`", route.team, route.model);
    match &route.adapter {
        Some(adapter) => format!("{base} with adapter `{adapter}`"),
        None => base,
    }
}

fn holding(
    shared: &Shared,
    route: &Route,
    model: &ModelName,
    version: &VersionName,
) -> Vec<String> {
    let residence = shared.residence();
    let found = residence.serving(model, version, route.adapter.as_ref());
    found.map(ToString::to_string).collect()
}

fn candidate(view: &View, name: &str, server: &Server, resident: bool) -> Value {
    json!({
        "server": name, "domain": server.domain, "leaving": server.leaving,
        "resident": resident && !server.leaving, "lead": lead(view, name),
    })
}

/// The VM of the daemon that leads a backend server.
fn lead(view: &View, server: &str) -> Option<String> {
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
        calls.spawn(async move { node.peers.ask_once(addr, &Ask::Status).await });
    }
    while let Some(answer) = calls.join_next().await {
        if let Ok(Ok(Say::Status(status))) = answer {
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
