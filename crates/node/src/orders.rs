//! Orders to the engines of the runners that this daemon leads.
//!
//! Every daemon reads the ledger rows of all runners and publishes which assets are
//! resident where ([`rows`]). For each runner that it leads, it runs one task
//! ([`runner`]) that reads the engine's report, reconciles the ledger with the plan
//! by means of `chestnut-place`, commits the ledger row under the claim, and only
//! then sends orders ([`engine_client`]). [`usage`] counts the requests that use an
//! asset, so that no asset is unloaded while a request uses it.

pub mod counters;
pub mod engine_client;
pub mod rows;
pub mod runner;
pub mod usage;

use std::sync::Arc;
use std::time::Duration;

use chestnut_base::ServerName;
use chestnut_member::{Claim, ClaimKey, ServerRole};
use indexmap::IndexMap;
use tokio::task::JoinHandle;

use crate::feed::ChangeFeed;
use crate::orders::counters::Counters;
use crate::orders::engine_client::EngineClient;
use crate::orders::runner::RunnerReconciler;
use crate::shared::Shared;

/// Reads the placement tables and runs a task for each runner that this daemon leads.
pub async fn run(shared: Arc<Shared>) {
    let counters = Arc::new(Counters::new(&shared.metrics));
    let engines = match EngineClient::new(shared.settings.times.platform_timeout) {
        Ok(engines) => engines,
        Err(error) => {
            slog::error!(shared.log, "the engine client can't be created; no orders are sent until the daemon is restarted"; "error" => %error);
            return;
        }
    };
    let mut tasks: IndexMap<ServerName, (Claim, JoinHandle<()>)> = IndexMap::new();
    loop {
        // A daemon that starts reads thousands of rows, page by page.
        while rows::refresh(&shared).await {}
        let led = led_runners(&shared);
        tasks.retain(|name, (claim, task)| {
            let retain = led.get(name) == Some(claim) && !task.is_finished();
            if !retain {
                task.abort();
            }
            retain
        });
        for (name, claim) in led {
            tasks.entry(name.clone()).or_insert_with(|| {
                let reconciler = RunnerReconciler::new(
                    shared.clone(),
                    engines.clone(),
                    counters.clone(),
                    name,
                    claim,
                );
                (claim, tokio::spawn(reconciler.run()))
            });
        }
        tokio::time::sleep(poll_interval(&shared)).await;
    }
}

/// Time between two reads of the tables, within the limit on reads of all daemons.
pub fn poll_interval(shared: &Shared) -> Duration {
    ChangeFeed::poll_interval(
        shared.settings.times.poll_interval,
        shared.view().members.len(),
    )
}

/// The runners that this daemon leads, by its view.
fn led_runners(shared: &Shared) -> IndexMap<ServerName, Claim> {
    let view = shared.view();
    let led = view.servers.iter().filter_map(|(name, server)| {
        let ServerRole::Runner(_) = server.role else { return None };
        let (claim, _) = view.holder(&ClaimKey::Server(name.clone()))?;
        (claim.holder == shared.me).then(|| (name.clone(), claim))
    });
    led.collect()
}
