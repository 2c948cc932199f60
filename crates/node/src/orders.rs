//! Orders to the engines that this daemon leads, through the ledger.
//!
//! Every daemon reads the ledger's rows and publishes what is resident where
//! ([`rows`]). For each runner that it leads it runs one task ([`runner`]) that
//! reads the engine's report, decides the next steps with `chestnut-place`,
//! commits them to the runner's row under the claim, and only then sends orders
//! ([`command`]). [`usage`] counts the requests that use an asset, so that
//! nothing is unloaded under a running request.

pub mod command;
pub mod counters;
pub mod rows;
pub mod runner;
pub mod usage;

use std::sync::Arc;
use std::time::Duration;

use chestnut_base::ServerName;
use chestnut_member::{Claim, ClaimKey, ServerRole};
use indexmap::IndexMap;
use tokio::task::JoinHandle;

use crate::feed::Feed;
use crate::orders::command::Engines;
use crate::orders::counters::Counters;
use crate::orders::runner::Runner;
use crate::shared::Shared;

/// Reads the ledger and serves the runners that this daemon leads.
pub async fn run(shared: Arc<Shared>) {
    let counters = Arc::new(Counters::new(&shared.metrics));
    let engines = match Engines::new(shared.settings.times.platform_timeout) {
        Ok(engines) => engines,
        Err(error) => {
            slog::error!(shared.log, "no orders can be sent"; "error" => %error);
            return;
        }
    };
    let mut tasks: IndexMap<ServerName, (Claim, JoinHandle<()>)> = IndexMap::new();
    loop {
        // A daemon that starts reads thousands of rows in parts.
        while rows::refresh(&shared).await {}
        let led = led_runners(&shared);
        tasks.retain(|name, (claim, task)| {
            let keep = led.get(name) == Some(claim) && !task.is_finished();
            if !keep {
                task.abort();
            }
            keep
        });
        for (name, claim) in led {
            tasks.entry(name.clone()).or_insert_with(|| {
                let runner = Runner::new(
                    shared.clone(),
                    engines.clone(),
                    counters.clone(),
                    name,
                    claim,
                );
                (claim, tokio::spawn(runner.run()))
            });
        }
        tokio::time::sleep(pace(&shared)).await;
    }
}

/// How long to wait between two reads of the table.
pub fn pace(shared: &Shared) -> Duration {
    Feed::pace(shared.settings.times.poll_interval, shared.view().members.len())
}

/// The runners that this daemon leads while its lease holds.
fn led_runners(shared: &Shared) -> IndexMap<ServerName, Claim> {
    let view = shared.view();
    let led = view.servers.iter().filter_map(|(name, server)| {
        let ServerRole::Runner(_) = server.role else { return None };
        let (claim, _) = view.holder(&ClaimKey::Server(name.clone()))?;
        (claim.holder == shared.me).then(|| (name.clone(), claim))
    });
    led.collect()
}
