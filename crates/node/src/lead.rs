//! The queues of the backend servers that this daemon leads.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use chestnut_base::{Code, Refusal, ServerName, Target};
use chestnut_member::{ClaimKey, ServerRole};
use chestnut_wire::{Hint, Load, Run, Say};
use indexmap::IndexMap;
use tokio::sync::mpsc;

use crate::engine::{self, CallEnd};
use crate::node::Node;
use crate::shared::Shared;
use crate::single;

/// The time after which a refused request may come back.
const COME_BACK: Duration = Duration::from_millis(500);

/// The queues of the backend servers that this daemon leads.
pub struct Leads {
    shared: Arc<Shared>,
    running: Arc<Mutex<IndexMap<ServerName, u32>>>,
}

/// The right to run one attempt; dropping it gives the capacity back.
pub struct Grant {
    /// Where the backend server listens.
    pub address: SocketAddr,
    server: ServerName,
    running: Arc<Mutex<IndexMap<ServerName, u32>>>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum How {
    /// The answer is whole.
    Whole,
    /// The backend server refused or was not reached.
    Refused,
    /// The answer broke off.
    Broken,
    /// Nobody waits any more.
    Abandoned,
}

impl Leads {
    /// Creates the queues of a daemon that leads nothing yet.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared, running: Arc::default() }
    }

    /// Offers an attempt; returns when it may be dispatched or is refused.
    pub async fn offer(&self, run: &Run) -> Result<Grant, (Refusal, Hint)> {
        let view = self.shared.view();
        let elsewhere = |code, text: &str| {
            let refusal = Refusal::not_run(code, text).after(COME_BACK);
            (refusal, Hint { elsewhere: true, load: None })
        };
        let led = view
            .holder(&ClaimKey::Server(run.server.clone()))
            .is_some_and(|(claim, _)| claim.holder == self.shared.me);
        let info = view.servers.get(&run.server).filter(|_| led);
        let Some(info) = info.filter(|info| !info.leaving) else {
            return Err(elsewhere(Code::Unavailable, "this daemon does not lead it"));
        };
        if !self.holds(run) {
            return Err(elsewhere(Code::NotResident, "the model is not resident there"));
        }
        let catalog = self.shared.catalog();
        let limit = match &info.role {
            ServerRole::Runner(pool) => {
                catalog.pools.get(pool).map_or(0, |pool| pool.streams)
            }
            ServerRole::Service(name) => {
                catalog.services.get(name).map_or(0, |service| service.parallel)
            }
        };
        let mut running = self.running.lock().expect("no holder of the counts panics");
        let count = running.entry(run.server.clone()).or_default();
        if *count >= limit {
            return Err(elsewhere(Code::Overloaded, "all streams are taken; wait"));
        }
        *count += 1;
        Ok(Grant {
            address: info.address,
            server: run.server.clone(),
            running: self.running.clone(),
        })
    }

    fn holds(&self, run: &Run) -> bool {
        let residence = self.shared.residence();
        match &run.work.target {
            Target::Model { model, version, adapter } => residence
                .serving(model, version, adapter.as_ref())
                .any(|server| *server == run.server),
            Target::Service { .. } => true,
        }
    }
}

impl Grant {
    /// Takes note of tokens that arrived.
    pub fn tokens(&self, _count: u32) {}

    /// Ends the attempt and tells the load that remains.
    pub fn finish(self, _how: How) -> Load {
        let running = self.running.lock().expect("no holder of the counts panics");
        let count = running.get(&self.server).copied().unwrap_or(0);
        Load { running: count.saturating_sub(1), ..Load::default() }
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        let mut running = self.running.lock().expect("no holder of the counts panics");
        if let Some(count) = running.get_mut(&self.server) {
            *count -= 1;
        }
    }
}

/// Carries out one attempt at a backend server that this daemon leads.
pub async fn serve(node: &Arc<Node>, run: Run, out: mpsc::Sender<Say>) {
    let out = single::outlive(node, &run, out);
    if out.send(Say::Queued).await.is_err() {
        return;
    }
    // Before the check that the model is resident, so that it is not unloaded
    // between the check and the end of the stream.
    let _hold = node.shared.usage.hold_target(&run.server, &run.work.target);
    let offered = tokio::select! {
        offered = node.leads.offer(&run) => offered,
        () = out.closed() => return,
    };
    let grant = match offered {
        Ok(grant) => grant,
        Err((refusal, hint)) => {
            // The daemon that asked may be gone; then nobody needs the answer.
            drop(out.send(Say::Refused { refusal, hint }).await);
            return;
        }
    };
    let address = grant.address;
    let flight = match node.poison.enter(&node.shared, &run, &out).await {
        Ok(flight) => flight,
        Err(refusal) => {
            drop(out.send(Say::Refused { refusal, hint: Hint::default() }).await);
            return;
        }
    };
    let end =
        engine::call(&node.http, address, &run, &out, |count| grant.tokens(count)).await;
    let crashed = flight.end(node, address, &end).await;
    let last = match end {
        CallEnd::Whole(reason) => Say::End { reason, load: grant.finish(How::Whole) },
        CallEnd::NotSent(why) => {
            refused(Code::Unavailable, why, grant.finish(How::Refused))
        }
        CallEnd::Refused(why) => {
            refused(Code::Overloaded, why, grant.finish(How::Refused))
        }
        CallEnd::Broken { why, .. } => {
            grant.finish(How::Broken);
            Say::Broken { message: why, crashed }
        }
        CallEnd::Abandoned => {
            engine::cancel(&node.http, address, &run).await;
            grant.finish(How::Abandoned);
            return;
        }
    };
    drop(out.send(last).await);
}

fn refused(code: Code, why: String, load: Load) -> Say {
    let text = format!("the backend server did not take the request ({why}); wait");
    let refusal = Refusal::not_run(code, text).after(COME_BACK);
    Say::Refused { refusal, hint: Hint { elsewhere: true, load: Some(load) } }
}
