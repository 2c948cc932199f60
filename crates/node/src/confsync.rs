//! Keeping the declarations in force up to date, and accepting changes of them.
//!
//! The daemon reads what changed in the table at every poll and publishes the
//! declarations of the newest revision. It never goes to a lower one, and while
//! the table can't be read it keeps what it has.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, UNIX_EPOCH};

use bytes::Bytes;
use chestnut_base::{PoolName, Revision};
use chestnut_config::change::{Answer, Applier, Change, Commit, Event, Snapshot, Step};
use chestnut_config::rows::{self, FileRow, Files};
use chestnut_config::{Catalog, Verdict};
use chestnut_member::view::ServerRole;
use chestnut_plat::{PlatError, Row, Txn, TxnAnswer};
use indexmap::IndexMap;
use prometheus_client::metrics::counter::Counter;
use serde::de::DeserializeOwned;
use tokio::sync::Mutex;

use crate::metrics::Metrics;
use crate::shared::Shared;

/// What a daemon keeps of the configuration's rows.
pub struct Conf {
    store: Mutex<Store>,
    start: Instant,
    confirmed: AtomicU64,
    reads: Counter,
    failures: Counter,
}

/// The rows as far as they were read.
#[derive(Default)]
struct Store {
    files: Files,
    /// The version up to which the rows are complete.
    version: u64,
    /// The last revision that was checked, in force or not.
    checked: Revision,
}

impl Conf {
    /// Creates the state of a daemon that has read nothing yet.
    pub fn new(now: Instant, metrics: &Metrics) -> Self {
        let reads = Counter::default();
        let failures = Counter::default();
        metrics.register(|registry| {
            let help = "Reads of the configuration's rows";
            registry.register("config_reads", help, reads.clone());
            let help = "Failed reads of the configuration's rows";
            registry.register("config_failures", help, failures.clone());
        });
        Self {
            store: Mutex::default(),
            start: now,
            confirmed: AtomicU64::new(0),
            reads,
            failures,
        }
    }

    /// Whether the daemon confirmed its revision within `limit`.
    ///
    /// A daemon that did not takes no new work: others may have newer
    /// declarations in force.
    pub fn is_fresh(&self, now: Instant, limit: Duration) -> bool {
        match self.confirmed.load(Ordering::Acquire) {
            0 => false,
            millis => {
                let at = self.start + Duration::from_millis(millis - 1);
                now.saturating_duration_since(at) <= limit
            }
        }
    }

    /// Notes that the revision was confirmed by a question sent at `at`.
    pub fn confirm(&self, at: Instant) {
        let millis = at.saturating_duration_since(self.start).as_millis() as u64;
        self.confirmed.fetch_max(millis + 1, Ordering::AcqRel);
    }
}

/// Keeps the declarations up to date until the daemon stops.
pub async fn run(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(shared.settings.times.poll);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        // A failed read only leaves the last confirmation as it is.
        if refresh(&shared).await.is_err() {
            shared.conf.failures.inc();
        }
    }
}

/// The text of a revision for another daemon, if it is known.
pub async fn text(_shared: &Shared, _revision: Revision) -> Option<Bytes> {
    None
}

/// Reads what changed and publishes the newest declarations.
pub async fn refresh(shared: &Shared) -> Result<Files, PlatError> {
    let mut store = shared.conf.store.lock().await;
    let asked = shared.clock.now();
    shared.conf.reads.inc();
    let delta = shared.table.scan(rows::TABLE, rows::FILES, store.version).await?;
    for row in delta.rows {
        store.files.put(read::<FileRow>(row)?);
    }
    store.version = store.version.max(delta.version);
    publish(shared, &mut store);
    shared.conf.confirm(asked);
    Ok(store.files.clone())
}

/// Takes a change to its answer.
pub async fn commit(shared: &Shared, change: Change) -> Answer {
    let wall = shared.clock.wall().duration_since(UNIX_EPOCH);
    let mut applier = Applier::new(change.clone(), wall.map_or(0, |at| at.as_secs()));
    let mut step = applier.start();
    loop {
        let event = match step {
            Step::Read => match snapshot(shared, &change.id).await {
                Ok(found) => Event::Read(Box::new(found)),
                Err(error) => Event::Down(error.to_string()),
            },
            Step::Commit(commit) => send(shared, commit).await,
            Step::Done(answer) => return answer,
        };
        step = applier.on(event);
    }
}

async fn snapshot(shared: &Shared, id: &str) -> Result<Snapshot, PlatError> {
    let head = shared.table.get(rows::TABLE, rows::HEAD).await?;
    let head = match head {
        Some(row) => {
            let version = row.version;
            Some((read(row)?, version))
        }
        None => None,
    };
    let files = refresh(shared).await?;
    let verdict = shared.table.get(rows::TABLE, &rows::change_key(id)).await?;
    let verdict = verdict.map(read::<Verdict>).transpose()?;
    Ok(Snapshot { head, files, verdict, runners: runners(shared) })
}

async fn send(shared: &Shared, commit: Commit) -> Event {
    let mut txn = Txn::new().absent(rows::TABLE, commit.fresh);
    txn = match commit.head {
        Some(version) => txn.version(rows::TABLE, rows::HEAD, version),
        None => txn.absent(rows::TABLE, rows::HEAD),
    };
    for (key, value) in commit.writes {
        txn = txn.put(rows::TABLE, key, value);
    }
    match shared.table.commit(&txn).await {
        Ok(TxnAnswer::Committed { .. }) => Event::Committed,
        Ok(TxnAnswer::Conflict { .. }) => Event::Conflict,
        Err(PlatError::Down(why)) => Event::Down(why),
        Err(PlatError::Unknown(_) | PlatError::Protocol(_)) => Event::Unknown,
    }
}

/// The number of runners of each pool on the platform's list.
fn runners(shared: &Shared) -> IndexMap<PoolName, usize> {
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
    let revision = store.files.revision();
    if revision <= store.checked {
        return;
    }
    store.checked = revision;
    // Every accepted change was checked, so that a failure here means that this
    // program is older than the one that accepted the change. It goes on with
    // the last declarations that it can read.
    match Catalog::union(revision, &store.files.teams()) {
        Ok(catalog) => {
            shared.catalog.send_replace(Arc::new(catalog));
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

fn read<T: DeserializeOwned>(row: Row) -> Result<T, PlatError> {
    serde_json::from_value(row.value)
        .map_err(|error| PlatError::Protocol(format!("row {}: {error}", row.key)))
}
