//! The runners whose claims this daemon holds.
//!
//! A runner's holder adds up the usage that all daemons report, admits requests
//! ([`admission`]), and sends the runner its orders
//! ([`driver`](crate::driver)).

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time::{Duration, Instant};

use chestnut_base::{Fence, MemberId, ServerName};
use chestnut_edge::TargetModel;
use chestnut_member::ClaimKey;
use chestnut_pool::RunnerView;
use chestnut_pool::moves::Move;
use indexmap::IndexMap;
use tokio::sync::{Notify, mpsc, oneshot};

use crate::admission::{self, AdmissionTable};
use crate::driver::Driver;
use crate::message::Message;
use crate::shared::Shared;
use crate::{pace, planner, server_limits, server_speeds, usage_reports};

/// How long after its receipt a move may still be started.
///
/// The planner repeats a move four times a second while it is planned.
const MOVE_TTL: Duration = Duration::from_millis(1000);

/// How long after it has gained a claim a daemon waits for the usage reports of the others.
///
/// Most daemons learn of the new holder within a few milliseconds, the others from the next
/// heartbeat. Without their reports a full runner would seem idle.
const REPORT_TIME: Duration = Duration::from_millis(300);

const _: () =
    assert!(usage_reports::NEW_HOLDER_DELAY.as_millis() < REPORT_TIME.as_millis());

/// The fence of a claim that has not moved yet.
const FIRST_FENCE: Fence = Fence(1);

/// The number of commands that may be queued for a runner.
const MAX_QUEUED_COMMANDS: usize = 256;

/// A runner whose claim this daemon holds.
pub struct HeldRunner {
    /// The runner's name.
    pub server: ServerName,
    /// When the runner started, in Unix milliseconds; `None` if unknown. What is known of one
    /// incarnation does not hold for the next.
    started_at: Option<u64>,
    admissions: Mutex<AdmissionTable>,
    /// Wakes the task that admits requests to the runner.
    pub changed: Notify,
    state: Mutex<RunnerView>,
    commands: mpsc::Sender<Command>,
}

/// A command for the task that sends the runner its orders.
enum Command {
    /// Load an adapter, and reply with the time until it is ready.
    LoadAdapter {
        target: TargetModel,
        /// Whether the runner has just rejected a request because it lacks the adapter.
        adapter_missing: bool,
        reply: oneshot::Sender<Option<Duration>>,
    },
    /// Load or unload models.
    Move {
        planned: Move,
        received_at: Instant,
        /// Where to report a failure; `None` if this daemon is the planner.
        planner: Option<SocketAddr>,
    },
}

impl HeldRunner {
    /// When the runner started, in Unix milliseconds; `None` if unknown.
    pub fn started_at(&self) -> Option<u64> {
        self.started_at
    }

    /// Locks this daemon's view of the runner.
    pub fn state(&self) -> MutexGuard<'_, RunnerView> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Locks the requests that wait for admission or were decided recently.
    pub fn admissions(&self) -> MutexGuard<'_, AdmissionTable> {
        self.admissions.lock().expect("no holder of the lock panics")
    }

    /// Orders the load of an adapter; returns the time until it is ready, or `None` if it
    /// can't be loaded.
    pub async fn load_adapter(
        &self,
        target: TargetModel,
        adapter_missing: bool,
    ) -> Option<Duration> {
        let (reply, response) = oneshot::channel();
        // The queue is full only if the runner doesn't respond to orders.
        self.commands
            .try_send(Command::LoadAdapter { target, adapter_missing, reply })
            .ok()?;
        response.await.ok().flatten()
    }

    /// Queues a move for a planner, which may be another daemon.
    pub fn request_move(
        &self,
        planned: Move,
        planner: Option<SocketAddr>,
        received_at: Instant,
    ) {
        // If the queue is full the move is dropped; the planner repeats it.
        drop(self.commands.try_send(Command::Move { planned, received_at, planner }));
    }
}

/// Starts and stops [`HeldRunner`]s as claims are taken and lost and runners restart.
pub fn sync_claims(shared: &Arc<Shared>) {
    let (mut held_servers, mut moved_servers) = (Vec::new(), Vec::new());
    for (key, (row, _)) in &shared.membership().claims {
        let ClaimKey::Server(name) = key else { continue };
        if row.holder != Some(shared.peers.me) {
            continue;
        }
        held_servers.push(name.clone());
        if row.fence > FIRST_FENCE {
            moved_servers.push(name.clone());
        }
    }
    let mut started = Vec::new();
    let ended: Vec<Arc<HeldRunner>> = {
        let starts = start_times(shared, &held_servers);
        let mut held_runners = shared.held_runners();
        let is_over = |name: &ServerName, runner: &mut Arc<HeldRunner>| {
            let is_current = |start: &Option<u64>| *start == runner.started_at;
            !held_servers.contains(name) || !starts.get(name).is_none_or(is_current)
        };
        let ended = held_runners.extract_if(.., is_over).map(|(_, runner)| runner);
        let ended: Vec<Arc<HeldRunner>> = ended.collect();
        for name in held_servers {
            held_runners.entry(name.clone()).or_insert_with(|| {
                started.push(name.clone());
                let started_at = starts.get(&name).copied().flatten();
                let runner = start_runner(shared.clone(), name, started_at);
                let has_restarted = ended.iter().any(|old| old.server == runner.server);
                if !has_restarted && moved_servers.contains(&runner.server) {
                    runner.state().await_reports(shared.now() + REPORT_TIME);
                }
                runner
            });
        }
        ended
    };
    for runner in ended {
        admission::end(shared, &runner);
    }
    server_speeds::start_held(shared, &started);
    server_limits::broadcast_held(shared, |server| started.contains(&server.server));
}

/// When runners started, by the registry; those that it has not listed are left out.
fn start_times(
    shared: &Shared,
    servers: &[ServerName],
) -> IndexMap<ServerName, Option<u64>> {
    let fleet = shared.fleet();
    let start_time = |name: &ServerName| {
        let server = fleet.get(fleet.key(name)?)?;
        Some((name.clone(), server.entry.started_at_ms))
    };
    servers.iter().filter_map(start_time).collect()
}

fn start_runner(
    shared: Arc<Shared>,
    server: ServerName,
    started_at: Option<u64>,
) -> Arc<HeldRunner> {
    let (commands, receiver) = mpsc::channel(MAX_QUEUED_COMMANDS);
    let (admissions, changed, state) =
        (Mutex::default(), Notify::new(), Mutex::default());
    let runner =
        Arc::new(HeldRunner { server, started_at, admissions, changed, state, commands });
    pace::start(&shared, &runner);
    tokio::spawn(run_commands(shared.clone(), Arc::downgrade(&runner), receiver));
    tokio::spawn(admission::run(shared, Arc::downgrade(&runner)));
    runner
}

/// Executes commands one after another until the claim is lost.
async fn run_commands(
    shared: Arc<Shared>,
    runner: Weak<HeldRunner>,
    mut commands: mpsc::Receiver<Command>,
) {
    while let Some(command) = commands.recv().await {
        let is_recent =
            |received_at| shared.now().saturating_duration_since(received_at) < MOVE_TTL;
        let Some(runner) = runner.upgrade() else { return };
        let driver = Driver { shared: &shared, runner: &runner };
        match command {
            Command::LoadAdapter { target, adapter_missing, reply } => {
                let ready_in = driver.load_adapter(&target, adapter_missing).await;
                // The requester may have stopped waiting.
                let _ = reply.send(ready_in);
            }
            Command::Move { planned, received_at, planner } if is_recent(received_at) => {
                if !driver.apply_move(&planned).await {
                    report_failed_move(&shared, planned, planner);
                }
            }
            Command::Move { .. } => {}
        }
    }
}

fn report_failed_move(shared: &Shared, planned: Move, planner: Option<SocketAddr>) {
    match planner {
        Some(addr) => shared.peers.send(addr, Message::MoveFailed(planned)),
        None => planner::record_failed_move(shared, &planned),
    }
}

/// The holder of a runner's claim by its row, and the row's version; `None` if it has none.
pub fn claim(shared: &Shared, server: &ServerName) -> Option<(MemberId, u64)> {
    let membership = shared.membership();
    let (row, version) = membership.claims.get(&ClaimKey::Server(server.clone()))?;
    Some((row.holder?, *version))
}

/// The holder of a runner's claim, and where it receives datagrams; `None` if it has none.
pub fn holder(shared: &Shared, server: &ServerName) -> Option<(MemberId, SocketAddr)> {
    let membership = shared.membership();
    let (row, _) = membership.claims.get(&ClaimKey::Server(server.clone()))?;
    membership.member_row(row.holder?).map(|row| (row.member, row.peer_addr))
}

/// Where the holder of a runner's claim receives datagrams; `None` if it has no holder.
pub fn holder_addr(shared: &Shared, server: &ServerName) -> Option<SocketAddr> {
    holder(shared, server).map(|(_, addr)| addr)
}
