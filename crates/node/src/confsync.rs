//! Keeping the declarations in force up to date, and accepting changes of them.
//!
//! The daemon reads what changed in the table at every poll and publishes the
//! declarations of the newest revision. It never goes to a lower one, and while
//! the table can't be read it keeps what it has and asks its peers.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Instant, UNIX_EPOCH};

use bytes::Bytes;
use chestnut_base::{PoolName, Revision, TeamName};
use chestnut_config::apply::{Event, MAX_HISTORY_REVISIONS, Snapshot, Step, Transaction};
use chestnut_config::rows::{self, FileRow, Files, Head, HistoryEntry, StoredVerdict};
use chestnut_config::{
    Applier, ApplyOutcome, Catalog, Change, ConfigReplica, ReplicaUpdate,
};
use chestnut_member::view::ServerRole;
use chestnut_plat::{Delta, PlatformError, Row, Txn, TxnResponse, VmRole};
use chestnut_wire::{PeerRequest, PeerResponse};
use indexmap::IndexMap;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use rand::seq::SliceRandom;
use serde::de::DeserializeOwned;
use tokio::task::JoinSet;

use crate::feed::Feed;
use crate::members;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::shared::Shared;

/// How many peers a daemon asks that can't read the table.
///
/// Enough that one is fresh when most of them were cut off together with this
/// daemon; each is asked at most once a poll.
const PEERS_ASKED: usize = 5;

/// How often a daemon looks into the feed between two reads of the table.
///
/// Looking costs no call. Looking as seldom as the table is read lets a change wait
/// a second time: with reads every 500 ms half of the changes were in force at six
/// daemons after 775 ms (33 changes) in place of 480 ms (100 changes), measured with
/// `chestnutlane-lab config`.
const LOOKS: u32 = 5;

/// Peers are asked when this part of the time has passed in which a daemon must
/// confirm its declarations, so that several attempts fit into the rest.
const STALE_SHARE: f64 = 4.0;

/// What a daemon keeps of the configuration's rows.
pub struct Conf {
    store: Mutex<Store>,
    reads: Counter,
    failures: Counter,
    revision: Gauge,
}

#[derive(Default)]
struct Store {
    replica: ConfigReplica,
    /// The last revision that was checked, in force or not.
    checked: Revision,
}

impl Conf {
    /// Creates the state of a daemon that has read nothing yet.
    pub fn new(metrics: &Metrics) -> Self {
        let conf = Self {
            store: Mutex::default(),
            reads: Counter::default(),
            failures: Counter::default(),
            revision: Gauge::default(),
        };
        metrics.register(|registry| {
            let help = "Reads of the configuration's rows";
            registry.register("config_reads", help, conf.reads.clone());
            let help = "Failed reads of the configuration's rows";
            registry.register("config_failures", help, conf.failures.clone());
            let help = "The revision of the declarations in force";
            registry.register("config_revision", help, conf.revision.clone());
        });
        conf
    }

    fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().expect("no holder of the store panics")
    }
}

/// Whether the daemon confirmed its revision recently enough to take new work.
///
/// A daemon that did not may hold declarations that others have replaced.
pub fn is_fresh(shared: &Shared, now: Instant) -> bool {
    shared.conf.store().replica.is_fresh(now, shared.settings.times.max_staleness)
}

/// Keeps the declarations up to date until the daemon stops.
pub async fn run(node: Arc<Node>) {
    let shared = &node.shared;
    let mut fresh = false;
    let mut ask_next = shared.clock.now();
    loop {
        let members = shared.view().members.len();
        let pace = Feed::pace(shared.settings.times.poll_interval, members);
        if follow(shared).await.is_err() {
            shared.conf.failures.inc();
            if needs_peers(shared) && shared.clock.now() >= ask_next {
                ask_peers(&node).await;
                // Without the spread all daemons would ask at the same moments.
                ask_next =
                    shared.clock.now() + pace.mul_f64(rand::random_range(0.8..1.2));
            }
        }
        let now = is_fresh(shared, shared.clock.now());
        if now != fresh {
            slog::info!(shared.log, "freshness of declarations changed"; "fresh" => now);
            fresh = now;
        }
        tokio::time::sleep(pace / LOOKS).await;
    }
}

/// Whether the last confirmation is so old that peers are asked.
fn needs_peers(shared: &Shared) -> bool {
    let limit = shared.settings.times.max_staleness.div_f64(STALE_SHARE);
    !shared.conf.store().replica.is_fresh(shared.clock.now(), limit)
}

/// Asks some peers for declarations that are newer than the own ones.
async fn ask_peers(node: &Arc<Node>) {
    let shared = &node.shared;
    let asked = shared.clock.now();
    let ask = PeerRequest::Config(files(shared).revision());
    let mut calls = JoinSet::new();
    for addr in peers(node).await {
        let (node, ask) = (node.clone(), ask.clone());
        calls.spawn(async move { node.peers.ask_once(addr, &ask).await });
    }
    while let Some(answer) = calls.join_next().await {
        if let Ok(Ok(PeerResponse::Config(Some(handover)))) = answer {
            hear(shared, &handover, asked);
        }
    }
}

/// Peers to ask, picked at random.
///
/// A daemon that starts during an outage of the table knows no members; then the
/// platform's list of VMs says where entry VMs take other daemons' connections.
async fn peers(node: &Arc<Node>) -> Vec<SocketAddr> {
    let shared = &node.shared;
    let mut found: Vec<SocketAddr> =
        members::others(shared).into_iter().map(|(_, addr)| addr).collect();
    if found.is_empty()
        && let Ok(list) = shared.vms.read().await
    {
        let entries = list.into_iter().filter(|row| row.role == VmRole::Entry);
        let others = entries.filter(|row| row.vm != shared.settings.vm);
        found = others.map(|row| row.address).collect();
    }
    found.shuffle(&mut rand::rng());
    found.truncate(PEERS_ASKED);
    found
}

/// Takes in what changed, as the feed has it, and publishes the newest
/// declarations.
async fn follow(shared: &Shared) -> Result<(), PlatformError> {
    let since = shared.conf.store().replica.table_version();
    let (delta, asked) =
        shared.changes(rows::CONFIG_TABLE, rows::FILE_PREFIX, since).await?;
    take(shared, delta, asked).map(drop)
}

/// Reads what changed from the table itself and publishes the newest declarations.
pub async fn refresh(shared: &Shared) -> Result<Files, PlatformError> {
    let asked = shared.clock.now();
    let since = shared.conf.store().replica.table_version();
    shared.conf.reads.inc();
    let delta = shared.table.scan(rows::CONFIG_TABLE, rows::FILE_PREFIX, since).await?;
    take(shared, delta, asked)
}

fn take(shared: &Shared, delta: Delta, asked: Instant) -> Result<Files, PlatformError> {
    let found: Result<Vec<FileRow>, _> = delta.rows.into_iter().map(read).collect();
    let mut store = shared.conf.store();
    store.replica.apply_changes(found?, delta.version, asked);
    publish(shared, &mut store);
    Ok(store.replica.files().clone())
}

/// All files as far as they are known.
pub fn files(shared: &Shared) -> Files {
    shared.conf.store().replica.files().clone()
}

/// What to tell a peer that has revision `have` and can't read the table.
pub fn tell(shared: &Shared, have: Revision) -> Bytes {
    let now = shared.clock.now();
    let handover = shared.conf.store().replica.update_for(
        have,
        now,
        shared.settings.times.max_staleness,
    );
    let text = serde_json::to_vec(&handover);
    text.expect("these types have texts as keys").into()
}

/// Takes in a peer's answer to a question that was sent at `asked`.
///
/// An answer that can't be read changes nothing.
pub fn hear(shared: &Shared, answer: &[u8], asked: Instant) {
    let Ok(handover) = serde_json::from_slice::<ReplicaUpdate>(answer) else {
        shared.conf.failures.inc();
        return;
    };
    let mut store = shared.conf.store();
    store.replica.apply_update(handover, asked);
    publish(shared, &mut store);
}

/// Takes a change to its answer.
pub async fn commit(shared: &Shared, change: Change) -> ApplyOutcome {
    let wall = shared.clock.wall_time().duration_since(UNIX_EPOCH);
    let mut applier = Applier::new(change.clone(), wall.map_or(0, |at| at.as_secs()));
    let mut step = applier.start();
    loop {
        let event = match step {
            Step::Read => match snapshot(shared, &change).await {
                Ok(found) => Event::Read(Box::new(found)),
                Err(error) => Event::Unavailable(error.to_string()),
            },
            Step::Commit(commit) => send(shared, commit).await,
            Step::Done(answer) => return answer,
        };
        step = applier.handle(event);
    }
}

async fn snapshot(shared: &Shared, change: &Change) -> Result<Snapshot, PlatformError> {
    let head = shared.table.get(rows::CONFIG_TABLE, rows::HEAD_KEY).await?;
    let head = match head {
        Some(row) => {
            let version = row.version;
            Some((read::<Head>(row)?, version))
        }
        None => None,
    };
    let newest = head.as_ref().map_or(Revision(0), |(head, _)| head.revision);
    let files = refresh(shared).await?;
    let oldest = match newest.0.checked_sub(MAX_HISTORY_REVISIONS) {
        Some(old) => get(shared, &rows::revision_key(Revision(old))).await?,
        None => None,
    };
    let ruling = ruling(shared, &change.team, &change.id).await?;
    Ok(Snapshot {
        head,
        files,
        stored_verdict: ruling,
        expired_entry: oldest,
        runners: runners(shared),
    })
}

async fn send(shared: &Shared, commit: Transaction) -> Event {
    let mut txn =
        Txn::new().absent(rows::table_for(&commit.verdict_key), commit.verdict_key);
    txn = match commit.head_version {
        Some(version) => txn.version(rows::CONFIG_TABLE, rows::HEAD_KEY, version),
        None => txn.absent(rows::CONFIG_TABLE, rows::HEAD_KEY),
    };
    for (key, value) in commit.writes {
        txn = txn.put(rows::table_for(&key), key, value);
    }
    for key in commit.deletes {
        txn = txn.delete(rows::table_for(&key), key);
    }
    match shared.table.commit(&txn).await {
        Ok(TxnResponse::Committed { .. }) => Event::Committed,
        Ok(TxnResponse::Conflict { .. }) => Event::Conflict,
        Err(PlatformError::Unavailable(why)) => Event::Unavailable(why),
        Err(PlatformError::OutcomeUnknown(_) | PlatformError::Protocol(_)) => {
            Event::OutcomeUnknown
        }
    }
}

/// The final answer to a change, if there is one.
pub async fn ruling(
    shared: &Shared,
    team: &TeamName,
    id: &str,
) -> Result<Option<StoredVerdict>, PlatformError> {
    get(shared, &rows::change_key(team, id)).await
}

/// The entries of the block of the history that holds a revision, newest first.
pub async fn block(
    shared: &Shared,
    revision: Revision,
) -> Result<Vec<HistoryEntry>, PlatformError> {
    let prefix = rows::block_prefix(revision);
    let delta = shared.table.scan(rows::LOG_TABLE, &prefix, 0).await?;
    let entries: Result<Vec<HistoryEntry>, _> =
        delta.rows.into_iter().map(read).collect();
    let mut entries = entries?;
    entries.sort_by_key(|entry| std::cmp::Reverse(entry.revision));
    Ok(entries)
}

/// The number of runners of each pool on the platform's list.
pub fn runners(shared: &Shared) -> IndexMap<PoolName, usize> {
    let mut found = IndexMap::new();
    for server in shared.view().servers.values() {
        if let ServerRole::Runner(pool) = &server.role {
            *found.entry(pool.clone()).or_default() += 1;
        }
    }
    found
}

/// Publishes the declarations unless they are not newer than those in force.
fn publish(shared: &Shared, store: &mut Store) {
    let revision = store.replica.files().revision();
    if revision <= store.checked {
        return;
    }
    store.checked = revision;
    // Every accepted change was checked, so that a failure here means that this
    // program is older than the one that accepted the change. It goes on with
    // the last declarations that it can read.
    match Catalog::merge(revision, &store.replica.files().by_team()) {
        Ok(catalog) => {
            shared.catalog.send_replace(Arc::new(catalog));
            shared.conf.revision.set(revision.0 as i64);
            slog::info!(shared.log, "declarations in force"; "revision" => revision.0);
        }
        Err(problems) => {
            slog::error!(
                shared.log, "declarations can't be read; replace this VM by a newer one";
                "revision" => revision.0, "problems" => problems.to_string()
            );
        }
    }
}

async fn get<T: DeserializeOwned>(
    shared: &Shared,
    key: &str,
) -> Result<Option<T>, PlatformError> {
    shared.table.get(rows::table_for(key), key).await?.map(read).transpose()
}

fn read<T: DeserializeOwned>(row: Row) -> Result<T, PlatformError> {
    serde_json::from_value(row.value)
        .map_err(|error| PlatformError::Protocol(format!("row {}: {error}", row.key)))
}
