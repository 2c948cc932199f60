//! Synchronizes the declarations in force with the table and commits changes to them.
//!
//! At every poll the daemon reads the changes of the table and publishes the
//! declarations of the newest revision. It never goes back to a lower revision.
//! While the table can't be read, it keeps the current declarations and queries
//! its peers for newer ones.

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

use crate::feed::ChangeFeed;
use crate::members;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::shared::Shared;

/// Number of peers that a daemon queries while it can't read the table.
///
/// With several, one is likely to be fresh even if most peers lost access to the
/// table together with this daemon. Each is queried at most once per poll.
const PEERS_PER_QUERY: usize = 5;

/// Number of scans of the change feed per read of the table.
///
/// A scan is local and costs no call. Scanning only once per read would delay changes
/// by up to a second poll interval: with six daemons that read every 500 ms, the median
/// time until a change is in force at all of them is 480 ms, and 775 ms with one scan
/// per read.
const SCANS_PER_READ: u32 = 5;

/// Divisor of the staleness limit: peers are queried once a quarter of the limit
/// has passed without confirmation, which leaves time for several attempts.
const PEER_QUERY_DIVISOR: f64 = 4.0;

/// This daemon's replica of the configuration rows, with the metrics of its reads.
pub struct ConfigState {
    replica: Mutex<ReplicaState>,
    reads: Counter,
    failures: Counter,
    revision: Gauge,
}

#[derive(Default)]
struct ReplicaState {
    replica: ConfigReplica,
    /// The last revision that was validated, whether or not it came into force.
    last_checked: Revision,
}

impl ConfigState {
    /// Creates an empty replica and registers its metrics.
    pub fn new(metrics: &Metrics) -> Self {
        let state = Self {
            replica: Mutex::default(),
            reads: Counter::default(),
            failures: Counter::default(),
            revision: Gauge::default(),
        };
        metrics.register(|registry| {
            let help = "Reads of the configuration's rows";
            registry.register("config_reads", help, state.reads.clone());
            let help = "Failed reads of the configuration's rows";
            registry.register("config_failures", help, state.failures.clone());
            let help = "The revision of the declarations in force";
            registry.register("config_revision", help, state.revision.clone());
        });
        state
    }

    fn lock(&self) -> MutexGuard<'_, ReplicaState> {
        self.replica.lock().expect("no holder of the replica panics")
    }
}

/// Whether the daemon confirmed its revision recently enough to accept new requests.
///
/// Otherwise its declarations may have been replaced at other daemons.
pub fn is_fresh(shared: &Shared, now: Instant) -> bool {
    shared.config_state.lock().replica.is_fresh(now, shared.settings.times.max_staleness)
}

/// Keeps the declarations up to date until the daemon stops.
pub async fn run(node: Arc<Node>) {
    let shared = &node.shared;
    let mut was_fresh = false;
    let mut next_peer_query = shared.clock.now();
    loop {
        let members = shared.view().members.len();
        let poll_interval =
            ChangeFeed::poll_interval(shared.settings.times.poll_interval, members);
        if sync_from_feed(shared).await.is_err() {
            shared.config_state.failures.inc();
            if needs_peers(shared) && shared.clock.now() >= next_peer_query {
                query_peers(&node).await;
                // The jitter keeps daemons from querying all at the same time.
                next_peer_query = shared.clock.now()
                    + poll_interval.mul_f64(rand::random_range(0.8..1.2));
            }
        }
        let fresh = is_fresh(shared, shared.clock.now());
        if fresh != was_fresh {
            slog::info!(shared.log, "freshness of declarations changed"; "fresh" => fresh);
            was_fresh = fresh;
        }
        tokio::time::sleep(poll_interval / SCANS_PER_READ).await;
    }
}

/// Whether the last confirmation is so old that peers should be queried.
fn needs_peers(shared: &Shared) -> bool {
    let limit = shared.settings.times.max_staleness.div_f64(PEER_QUERY_DIVISOR);
    !shared.config_state.lock().replica.is_fresh(shared.clock.now(), limit)
}

/// Queries some peers for declarations newer than this daemon's.
async fn query_peers(node: &Arc<Node>) {
    let shared = &node.shared;
    let requested_at = shared.clock.now();
    let request = PeerRequest::Config(files(shared).revision());
    let mut calls = JoinSet::new();
    for addr in select_peers(node).await {
        let (node, request) = (node.clone(), request.clone());
        calls.spawn(async move { node.peers.request(addr, &request).await });
    }
    while let Some(response) = calls.join_next().await {
        if let Ok(Ok(PeerResponse::Config(Some(update)))) = response {
            apply_peer_update(shared, &update, requested_at);
        }
    }
}

/// Picks peers at random.
///
/// A daemon that starts during an outage of the table has no list of members; it
/// takes the peer addresses of entry VMs from the platform's list of VMs instead.
async fn select_peers(node: &Arc<Node>) -> Vec<SocketAddr> {
    let shared = &node.shared;
    let mut peers: Vec<SocketAddr> =
        members::other_members(shared).into_iter().map(|(_, addr)| addr).collect();
    if peers.is_empty()
        && let Ok(list) = shared.vms.read().await
    {
        let entries = list.into_iter().filter(|row| row.role == VmRole::Entry);
        let others = entries.filter(|row| row.vm != shared.settings.vm);
        peers = others.map(|row| row.address).collect();
    }
    peers.shuffle(&mut rand::rng());
    peers.truncate(PEERS_PER_QUERY);
    peers
}

/// Applies the changes in the feed and publishes the newest declarations.
async fn sync_from_feed(shared: &Shared) -> Result<(), PlatformError> {
    let since = shared.config_state.lock().replica.table_version();
    let (delta, requested_at) =
        shared.changes(rows::CONFIG_TABLE, rows::FILE_PREFIX, since).await?;
    apply_delta(shared, delta, requested_at).map(drop)
}

/// Reads changes directly from the table, not from the feed, and publishes the
/// newest declarations.
pub async fn refresh(shared: &Shared) -> Result<Files, PlatformError> {
    let requested_at = shared.clock.now();
    let since = shared.config_state.lock().replica.table_version();
    shared.config_state.reads.inc();
    let delta = shared.table.scan(rows::CONFIG_TABLE, rows::FILE_PREFIX, since).await?;
    apply_delta(shared, delta, requested_at)
}

fn apply_delta(
    shared: &Shared,
    delta: Delta,
    requested_at: Instant,
) -> Result<Files, PlatformError> {
    let rows: Result<Vec<FileRow>, _> = delta.rows.into_iter().map(decode_row).collect();
    let mut state = shared.config_state.lock();
    state.replica.apply_changes(rows?, delta.version, requested_at);
    publish(shared, &mut state);
    Ok(state.replica.files().clone())
}

/// All files in this daemon's replica, which may be out of date.
pub fn files(shared: &Shared) -> Files {
    shared.config_state.lock().replica.files().clone()
}

/// Encodes the files that a peer at revision `have` lacks, as JSON.
///
/// Sent to peers that can't read the table.
pub fn encode_update(shared: &Shared, have: Revision) -> Bytes {
    let now = shared.clock.now();
    let update = shared.config_state.lock().replica.update_for(
        have,
        now,
        shared.settings.times.max_staleness,
    );
    let json = serde_json::to_vec(&update);
    json.expect("all map keys serialize as strings").into()
}

/// Applies a peer's response to a query that was sent at `requested_at`.
///
/// A malformed response is counted as a failure and changes nothing else.
pub fn apply_peer_update(shared: &Shared, response: &[u8], requested_at: Instant) {
    let Ok(update) = serde_json::from_slice::<ReplicaUpdate>(response) else {
        shared.config_state.failures.inc();
        return;
    };
    let mut state = shared.config_state.lock();
    state.replica.apply_update(update, requested_at);
    publish(shared, &mut state);
}

/// Applies a change.
///
/// The outcome is undecided if the table fails or other changes are committed first
/// each time.
pub async fn apply_change(shared: &Shared, change: Change) -> ApplyOutcome {
    let wall_time = shared.clock.wall_time().duration_since(UNIX_EPOCH);
    let mut applier =
        Applier::new(change.clone(), wall_time.map_or(0, |at| at.as_secs()));
    let mut step = applier.start();
    loop {
        let event = match step {
            Step::Read => match read_snapshot(shared, &change).await {
                Ok(snapshot) => Event::Read(Box::new(snapshot)),
                Err(error) => Event::Unavailable(error.to_string()),
            },
            Step::Commit(commit) => send_commit(shared, commit).await,
            Step::Done(outcome) => return outcome,
        };
        step = applier.handle(event);
    }
}

async fn read_snapshot(
    shared: &Shared,
    change: &Change,
) -> Result<Snapshot, PlatformError> {
    let head = shared.table.get(rows::CONFIG_TABLE, rows::HEAD_KEY).await?;
    let head = match head {
        Some(row) => {
            let version = row.version;
            Some((decode_row::<Head>(row)?, version))
        }
        None => None,
    };
    let newest = head.as_ref().map_or(Revision(0), |(head, _)| head.revision);
    let files = refresh(shared).await?;
    let oldest = match newest.0.checked_sub(MAX_HISTORY_REVISIONS) {
        Some(oldest) => get_row(shared, &rows::revision_key(Revision(oldest))).await?,
        None => None,
    };
    let stored_verdict = stored_verdict(shared, &change.team, &change.id).await?;
    Ok(Snapshot {
        head,
        files,
        stored_verdict,
        expired_entry: oldest,
        runners: runner_counts(shared),
    })
}

async fn send_commit(shared: &Shared, commit: Transaction) -> Event {
    let mut txn = Txn::new()
        .require_absent(rows::table_for(&commit.verdict_key), commit.verdict_key);
    txn = match commit.head_version {
        Some(version) => txn.require_version(rows::CONFIG_TABLE, rows::HEAD_KEY, version),
        None => txn.require_absent(rows::CONFIG_TABLE, rows::HEAD_KEY),
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
        Err(PlatformError::Unavailable(reason)) => Event::Unavailable(reason),
        Err(PlatformError::OutcomeUnknown(_) | PlatformError::Protocol(_)) => {
            Event::OutcomeUnknown
        }
    }
}

/// The stored verdict on a change; absent while the change is undecided.
pub async fn stored_verdict(
    shared: &Shared,
    team: &TeamName,
    id: &str,
) -> Result<Option<StoredVerdict>, PlatformError> {
    get_row(shared, &rows::change_key(team, id)).await
}

/// The history entries of the block that contains a revision, newest first.
pub async fn history_block(
    shared: &Shared,
    revision: Revision,
) -> Result<Vec<HistoryEntry>, PlatformError> {
    let prefix = rows::block_prefix(revision);
    let delta = shared.table.scan(rows::LOG_TABLE, &prefix, 0).await?;
    let entries: Result<Vec<HistoryEntry>, _> =
        delta.rows.into_iter().map(decode_row).collect();
    let mut entries = entries?;
    entries.sort_by_key(|entry| std::cmp::Reverse(entry.revision));
    Ok(entries)
}

/// The number of runners of each pool on the platform's list.
pub fn runner_counts(shared: &Shared) -> IndexMap<PoolName, usize> {
    let mut counts = IndexMap::new();
    for server in shared.view().servers.values() {
        if let ServerRole::Runner(pool) = &server.role {
            *counts.entry(pool.clone()).or_default() += 1;
        }
    }
    counts
}

/// Publishes the replica's declarations if their revision has not been checked yet.
fn publish(shared: &Shared, state: &mut ReplicaState) {
    let revision = state.replica.files().revision();
    if revision <= state.last_checked {
        return;
    }
    state.last_checked = revision;
    // Changes are validated before they are accepted, so a failure here means that
    // this binary is older than the one that accepted the change. The last readable
    // declarations stay in force.
    match Catalog::merge(revision, &state.replica.files().by_team()) {
        Ok(catalog) => {
            shared.catalog.send_replace(Arc::new(catalog));
            shared.config_state.revision.set(revision.0 as i64);
            slog::info!(shared.log, "declarations in force"; "revision" => revision.0);
        }
        Err(problems) => {
            slog::error!(
                shared.log, "declarations can't be read; replace this VM with a newer version";
                "revision" => revision.0, "problems" => problems.to_string()
            );
        }
    }
}

async fn get_row<T: DeserializeOwned>(
    shared: &Shared,
    key: &str,
) -> Result<Option<T>, PlatformError> {
    shared.table.get(rows::table_for(key), key).await?.map(decode_row).transpose()
}

fn decode_row<T: DeserializeOwned>(row: Row) -> Result<T, PlatformError> {
    serde_json::from_value(row.value)
        .map_err(|error| PlatformError::Protocol(format!("row {}: {error}", row.key)))
}
