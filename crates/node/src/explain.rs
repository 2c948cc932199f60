//! What would happen to a request, told to operators.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnut_base::{ModelName, ServerName, VersionName};
use chestnut_config::Route;
use chestnut_member::{ClaimKey, Server, ServerRole, View};
use chestnut_wire::ServerLoad;
use indexmap::IndexMap;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::task::JoinSet;

use crate::node::Node;
use crate::shared::Shared;
use crate::{confsync, opsrows};

/// The greatest number of other daemons that are asked for their queues.
const ASKED: usize = 8;

/// How long another daemon may take to tell its queues.
const PATIENCE: Duration = Duration::from_secs(1);

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

/// What would happen to a request, step by step, and who waits before it.
pub async fn explain(node: &Arc<Node>, request: &Request) -> Value {
    let mut found = steps(&node.shared, request);
    let names: Vec<String> = found["servers"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|server| server["server"].as_str().map(str::to_owned))
        .collect();
    let loads = loads(node, &names).await;
    for server in found["servers"].as_array_mut().into_iter().flatten() {
        let load = server["server"].as_str().and_then(|name| loads.get(name));
        server["load"] = load.cloned().unwrap_or_default();
    }
    found
}

/// What the leads of backend servers say of their queues.
async fn loads(node: &Arc<Node>, servers: &[String]) -> IndexMap<String, Value> {
    let view = node.shared.view();
    let mut found = IndexMap::new();
    let mut others: IndexMap<SocketAddr, Vec<String>> = IndexMap::new();
    let own = node.leads.loads();
    for name in servers {
        let Ok(server) = ServerName::try_from(name.as_str()) else { continue };
        let holder = view.holder(&ClaimKey::Server(server.clone()));
        let Some((claim, lead)) = holder else { continue };
        if claim.holder == node.shared.me {
            // A backend server that was never asked for anything has no load yet.
            let load = own.get(&server).copied().unwrap_or_default();
            found.insert(name.clone(), json!(load));
        } else {
            others.entry(lead.ops_addr).or_default().push(name.clone());
        }
    }
    let mut calls = JoinSet::new();
    for (addr, led) in others.into_iter().take(ASKED) {
        let call = node.http.get(format!("http://{addr}/debug/state")).timeout(PATIENCE);
        calls.spawn(async move {
            let state: Value = call.send().await.ok()?.json().await.ok()?;
            Some((led, state.get("leads")?.clone()))
        });
    }
    while let Some(answer) = calls.join_next().await {
        let Ok(Some((led, leads))) = answer else { continue };
        for name in led {
            let load = leads.get(&name).cloned();
            found.insert(name, load.unwrap_or_else(|| json!(ServerLoad::default())));
        }
    }
    found
}

fn steps(shared: &Shared, request: &Request) -> Value {
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
            default = service.default_kind.clone();
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
            default = route.default_kind.clone();
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
        "resident": resident && !server.leaving, "lead": opsrows::lead(view, name),
    })
}
