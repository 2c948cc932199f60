//! Explains to operators how a request would be handled.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnut_base::{ModelName, ServerName, VersionName};
use chestnut_config::Route;
use chestnut_member::{ClaimKey, Server, ServerRole, View};
use chestnut_reply::read_response;
use chestnut_wire::ServerLoad;
use indexmap::IndexMap;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::task::JoinSet;

use crate::node::Node;
use crate::shared::Shared;
use crate::{config_sync, show_rows};

/// Maximum number of other daemons that are queried for the load of their servers.
const MAX_QUERIED_DAEMONS: usize = 8;

/// Timeout of a query to another daemon.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// The largest state of another daemon that is read, in bytes.
const MAX_STATE_BYTES: usize = 32 << 20;

/// The request to explain; it names a plain service or a model's route.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExplainQuery {
    /// The route that the caller names in `model`.
    model: Option<String>,
    /// The plain service that the caller calls.
    service: Option<String>,
    /// The kind that the caller names; the route's default if absent.
    kind: Option<String>,
    /// The caller's name.
    caller: Option<String>,
}

/// The steps by which a request would be handled, and the candidate servers with
/// their loads.
pub async fn explain(node: &Arc<Node>, query: &ExplainQuery) -> Value {
    let mut explanation = explain_steps(&node.shared, query);
    let names: Vec<String> = explanation["servers"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|server| server["server"].as_str().map(str::to_owned))
        .collect();
    let loads = server_loads(node, &names).await;
    for server in explanation["servers"].as_array_mut().into_iter().flatten() {
        let load = server["server"].as_str().and_then(|name| loads.get(name));
        server["load"] = load.cloned().unwrap_or_default();
    }
    explanation
}

/// The loads of backend servers as their leads report them.
async fn server_loads(node: &Arc<Node>, servers: &[String]) -> IndexMap<String, Value> {
    let view = node.shared.view();
    let mut loads = IndexMap::new();
    let mut by_lead: IndexMap<SocketAddr, Vec<String>> = IndexMap::new();
    let own_loads = node.led_servers.loads();
    for name in servers {
        let Ok(server) = ServerName::try_from(name.as_str()) else { continue };
        let holder = view.holder(&ClaimKey::Server(server.clone()));
        let Some((claim, lead)) = holder else { continue };
        if claim.holder == node.shared.me {
            // A backend server without any request so far has no load yet.
            let load = own_loads.get(&server).copied().unwrap_or_default();
            loads.insert(name.clone(), json!(load));
        } else {
            by_lead.entry(lead.ops_addr).or_default().push(name.clone());
        }
    }
    let mut calls = JoinSet::new();
    for (addr, led) in by_lead.into_iter().take(MAX_QUERIED_DAEMONS) {
        let call =
            node.http.get(format!("http://{addr}/debug/state")).timeout(QUERY_TIMEOUT);
        calls.spawn(async move {
            let response = call.send().await.ok()?;
            let response = read_response(response, MAX_STATE_BYTES).await.ok()?;
            let state: Value = serde_json::from_slice(response.body()).ok()?;
            Some((led, state.get("leads")?.clone()))
        });
    }
    while let Some(response) = calls.join_next().await {
        let Ok(Some((led, leads))) = response else { continue };
        for name in led {
            let load = leads.get(&name).cloned();
            loads.insert(name, load.unwrap_or_else(|| json!(ServerLoad::default())));
        }
    }
    loads
}

fn explain_steps(shared: &Shared, query: &ExplainQuery) -> Value {
    let mut steps = Vec::new();
    let catalog = shared.catalog();
    steps.push(format!("declarations of revision {} are in force", catalog.revision));
    if !config_sync::is_fresh(shared, shared.clock.now()) {
        steps.push("this daemon can't confirm that and accepts no new requests".into());
    }
    if let Some(caller) = &query.caller {
        steps.push(
            match catalog.callers.iter().find(|(name, _)| name.as_str() == caller) {
                Some((_, declared)) => {
                    format!("caller `{caller}` has share {}", declared.account.share)
                }
                None => {
                    format!("caller `{caller}` is not declared; refused (unauthorised)")
                }
            },
        );
    }
    let mut default_kind = None;
    let mut servers = Vec::new();
    let view = shared.view();
    if let Some(name) = &query.service {
        let declared = catalog.services.iter().find(|(key, _)| key.as_str() == name);
        if let Some((name, service)) = declared {
            steps.push(format!("service `{name}` is declared by {}", service.team));
            default_kind = service.default_kind.clone();
            for (server, row) in &view.servers {
                if row.role == ServerRole::Service(name.clone()) {
                    servers.push(candidate_json(&view, server.as_str(), row, true));
                }
            }
        } else {
            steps.push(format!("no service `{name}` is declared; refused"));
        }
    }
    if let Some(name) = &query.model {
        if let Some(route) = catalog.routes.get(name) {
            default_kind = route.default_kind.clone();
            steps.push(route_step(name, route));
            if let Some(model) = catalog.models.get(&route.model) {
                steps.push(format!(
                    "version `{}` of the model is served by pool `{}`",
                    model.version, model.pool
                ));
                let serving =
                    serving_runners(shared, route, &route.model, &model.version);
                for (server, row) in &view.servers {
                    if row.role == ServerRole::Runner(model.pool.clone()) {
                        let resident = serving.contains(&server.to_string());
                        servers.push(candidate_json(
                            &view,
                            server.as_str(),
                            row,
                            resident,
                        ));
                    }
                }
            }
        } else {
            steps.push(format!("no route `{name}` is declared; refused"));
        }
    }
    let kind = query.kind.clone().or(default_kind.map(|kind| kind.to_string()));
    steps.push(match &kind {
        Some(name) => match catalog.kinds.iter().find(|(key, _)| key.as_str() == name) {
            Some((_, kind)) => format!(
                "kind `{name}`: {:?}, deadline {} ms, {}",
                kind.urgency,
                kind.deadline.as_millis(),
                if kind.idempotent { "may be retried" } else { "runs at most once" }
            ),
            None => format!("no kind `{name}` is declared; refused"),
        },
        None => "the request names no kind and none is declared as default".into(),
    });
    let ready = servers.iter().filter(|server| server["resident"] == true).count();
    if query.model.is_some() || query.service.is_some() {
        steps.push(format!("{ready} of {} backend servers can serve it", servers.len()));
    }
    json!({ "revision": catalog.revision, "steps": steps, "servers": servers })
}

fn route_step(name: &str, route: &Route) -> String {
    let base =
        format!("route `{name}` of {} leads to model `{}`", route.team, route.model);
    match &route.adapter {
        Some(adapter) => format!("{base} with adapter `{adapter}`"),
        None => base,
    }
}

fn serving_runners(
    shared: &Shared,
    route: &Route,
    model: &ModelName,
    version: &VersionName,
) -> Vec<String> {
    let residency = shared.residency();
    let runners = residency.serving(model, version, route.adapter.as_ref());
    runners.map(ToString::to_string).collect()
}

fn candidate_json(view: &View, name: &str, server: &Server, resident: bool) -> Value {
    json!({
        "server": name, "domain": server.domain, "leaving": server.leaving,
        "resident": resident && !server.leaving, "lead": show_rows::lead_vm(view, name),
    })
}
