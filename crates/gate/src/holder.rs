//! What this daemon does for a runner whose claim it holds.
//!
//! It sums what all daemons have in flight there, says when the next prompt may be
//! sent ([`grant`](crate::admission)), and gives the runner its orders
//! ([`driver`](crate::driver)).

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time::{Duration, Instant};

use chestnut_base::ServerName;
use chestnut_edge::TargetModel;
use chestnut_member::ClaimKey;
use chestnut_pool::RunnerView;
use chestnut_pool::moves::Move;
use tokio::sync::{Notify, mpsc, oneshot};

use crate::admission::{self, AdmissionTable};
use crate::driver::Driver;
use crate::message::Message;
use crate::planner;
use crate::shared::Shared;

/// How long a wanted change of models is good for.
///
/// The planner repeats it four times a second while it stands.
const MOVE_TIME: Duration = Duration::from_millis(1000);

/// Commands that wait for a runner.
const QUEUE: usize = 256;

/// A runner whose claim this daemon holds.
pub struct HeldRunner {
    /// The runner's name.
    pub server: ServerName,
    admissions: Mutex<AdmissionTable>,
    /// Wakes whoever sees to the runner's lane.
    pub changed: Notify,
    state: Mutex<RunnerView>,
    commands: mpsc::Sender<Command>,
}

/// What a runner is to do.
enum Command {
    /// Load an adapter, and say in how long it is there.
    Adapter {
        target: TargetModel,
        /// Whether the runner has just said that it does not have it.
        missed: bool,
        reply: oneshot::Sender<Option<Duration>>,
    },
    /// Change the models.
    Move {
        change: Move,
        at: Instant,
        /// The planner, if it is another daemon.
        planner: Option<SocketAddr>,
    },
}

impl HeldRunner {
    /// What is known of the runner.
    pub fn state(&self) -> MutexGuard<'_, RunnerView> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Who waits to send to it.
    pub fn admissions(&self) -> MutexGuard<'_, AdmissionTable> {
        self.admissions.lock().expect("no holder of the lock panics")
    }

    /// Asks for an adapter; returns in how long it is there.
    pub async fn load_adapter(
        &self,
        target: TargetModel,
        missed: bool,
    ) -> Option<Duration> {
        let (reply, answer) = oneshot::channel();
        // A full queue is a runner that does not answer orders.
        self.commands.try_send(Command::Adapter { target, missed, reply }).ok()?;
        answer.await.ok().flatten()
    }

    /// Asks for a change of models for a planner, which may be another daemon.
    pub fn request_move(&self, change: Move, planner: Option<SocketAddr>, at: Instant) {
        // The planner repeats what still stands.
        drop(self.commands.try_send(Command::Move { change, at, planner }));
    }
}

/// Starts and ends holders as claims come and go.
pub fn sync_claims(shared: &Arc<Shared>) {
    let held: Vec<ServerName> = {
        let known = shared.membership();
        let claims = known.claims.iter();
        let mine = claims.filter(|(_, (row, _))| row.holder == Some(shared.peers.me));
        let runners = mine.filter_map(|(key, _)| match key {
            ClaimKey::Server(name) => Some(name.clone()),
            ClaimKey::Slot(_) | ClaimKey::Pool(_) | ClaimKey::Vms => None,
        });
        runners.collect()
    };
    let mut holders = shared.held_runners();
    holders.retain(|name, _| held.contains(name));
    for name in held {
        holders.entry(name.clone()).or_insert_with(|| start(shared.clone(), name));
    }
}

fn start(shared: Arc<Shared>, server: ServerName) -> Arc<HeldRunner> {
    let (commands, receiver) = mpsc::channel(QUEUE);
    let (admissions, changed, state) =
        (Mutex::default(), Notify::new(), Mutex::default());
    let holder = Arc::new(HeldRunner { server, admissions, changed, state, commands });
    tokio::spawn(drive(shared.clone(), Arc::downgrade(&holder), receiver));
    tokio::spawn(admission::run(shared, Arc::downgrade(&holder)));
    holder
}

/// Carries out commands one after another until the claim is lost.
async fn drive(
    shared: Arc<Shared>,
    holder: Weak<HeldRunner>,
    mut commands: mpsc::Receiver<Command>,
) {
    while let Some(command) = commands.recv().await {
        let fresh = |at| shared.now().saturating_duration_since(at) < MOVE_TIME;
        let Some(holder) = holder.upgrade() else { return };
        let driver = Driver { shared: &shared, runner: &holder };
        match command {
            Command::Adapter { target, missed, reply } => {
                let ready = driver.load_adapter(&target, missed).await;
                // Whoever asked may have given up.
                let _ = reply.send(ready);
            }
            Command::Move { change, at, planner } if fresh(at) => {
                if !driver.apply_move(&change).await {
                    tell_failed(&shared, change, planner);
                }
            }
            Command::Move { .. } => {}
        }
    }
}

fn tell_failed(shared: &Shared, change: Move, planner: Option<SocketAddr>) {
    match planner {
        Some(addr) => shared.peers.send(addr, Message::Failed(change)),
        None => planner::record_failed_move(shared, &change),
    }
}

/// Where the holder of a runner's claim receives datagrams.
pub fn holder_addr(shared: &Shared, server: &ServerName) -> Option<SocketAddr> {
    let known = shared.membership();
    let (row, _) = known.claims.get(&ClaimKey::Server(server.clone()))?;
    known.member_row(row.holder?).map(|row| row.peer_addr)
}
