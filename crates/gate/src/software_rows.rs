//! Keeps in the store which software versions each service has had.
//!
//! A daemon that starts reads there which versions may have begun the streams that callers
//! resume; the registry lists only those that serve now.

use std::sync::Arc;
use std::time::Duration;

use chestnut_base::{Digest, ServiceName, SoftwareVersion};
use chestnut_edge::{Change, Transaction};
use chestnut_pool::software::version_key;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio::time::sleep;

use crate::shared::Shared;
use crate::table_sync::{self, ChangeHandler, SYSTEM_TABLE};
use crate::{resumption, store};

/// Prefix of the keys of versions; the service and a digest of the version follow.
pub const KEY_PREFIX: &str = "software:";

/// The most rows that are changed in one transaction, which the store limits in size.
const MAX_CHANGES: usize = 40;

/// How often the rows are compared with the registry.
const CHECK_PERIOD: Duration = Duration::from_secs(1);

/// How long after its start a daemon writes no rows.
///
/// Of daemons that start together each would find itself to be the only one.
const STARTUP_GRACE: Duration = Duration::from_secs(2);

/// A software version of a service.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct VersionRow {
    service: ServiceName,
    software: Option<SoftwareVersion>,
}

/// Handles rows of software versions.
pub struct SoftwareHandler(pub Arc<Shared>);

impl ChangeHandler for SoftwareHandler {
    fn on_change(&mut self, change: Change) {
        let Self(shared) = self;
        let Some(value) = &change.value else {
            if let Some((service, version)) = parse_key(&change.key) {
                shared.software_history().record_removal(&service, version);
            }
            return;
        };
        match serde_json::from_slice::<VersionRow>(value) {
            Ok(VersionRow { service, software }) => {
                let (version, now) = (change.version, shared.now());
                let mut history = shared.software_history();
                history.record_row(&service, &software, version, now);
            }
            Err(error) => {
                warn!(shared.log, "invalid row of a software version ignored";
                    "key" => &change.key, "error" => error.to_string());
            }
        }
    }

    fn on_batch_end(&mut self) {
        resumption::send_mixed(&self.0);
    }
}

/// Keeps the rows up to date until the daemon ends.
pub async fn run(shared: Arc<Shared>) {
    loop {
        sleep(CHECK_PERIOD).await;
        update_listed(&shared);
        persist(&shared).await;
    }
}

/// Records the versions that the registry lists now; those of changed entries are recorded at
/// once ([`crate::registry`]).
fn update_listed(shared: &Arc<Shared>) {
    {
        let fleet = shared.fleet();
        let listed = fleet
            .iter()
            .map(|(_, server)| (&server.entry.service, &server.entry.software));
        shared.software_history().update_listed(listed, shared.now());
    }
    resumption::send_mixed(shared);
}

/// Writes rows of versions that have none, and removes those of versions that are no longer
/// listed; of all daemons, one does it for each row.
async fn persist(shared: &Arc<Shared>) {
    let knows_others = shared.uptime() >= STARTUP_GRACE;
    if !knows_others || !table_sync::is_current(shared, &shared.tables.servers) {
        return;
    }
    let (unwritten, expired) = {
        let history = shared.software_history();
        (history.unwritten(), history.expired(shared.now()))
    };
    let is_writer = |key: &str| table_sync::reader_rank(shared, key) == 0;
    let mut changes = Vec::new();
    for (service, software) in unwritten {
        let key = row_key(&service, software.as_ref());
        // Names always serialize.
        let value = serde_json::to_vec(&VersionRow { service, software });
        changes.push((key, Some(value.unwrap_or_default()), None));
    }
    for (service, software, version) in expired {
        changes.push((row_key(&service, software.as_ref()), None, Some(version)));
    }
    changes.retain(|(key, ..)| is_writer(key));
    changes.truncate(MAX_CHANGES);
    if changes.is_empty() {
        return;
    }
    let transaction = changes.into_iter().fold(Transaction::default(), add_change);
    let result = store::commit(shared, &transaction).await;
    let keys: Vec<&str> =
        transaction.writes.iter().map(|write| write.key.as_str()).collect();
    info!(shared.log, "software versions persisted"; "rows" => keys.join(" "),
        "answer" => format!("{result:?}"));
}

/// Adds to a transaction that a row is written or, if it still has the given version, removed.
fn add_change(
    transaction: Transaction,
    (key, value, version): (String, Option<Vec<u8>>, Option<u64>),
) -> Transaction {
    let transaction = match version {
        Some(version) => transaction.require_version(SYSTEM_TABLE, &key, version),
        None => transaction,
    };
    match value {
        Some(value) => transaction.put(SYSTEM_TABLE, &key, value),
        None => transaction.delete(SYSTEM_TABLE, &key),
    }
}

fn row_key(service: &ServiceName, software: Option<&SoftwareVersion>) -> String {
    format!("{KEY_PREFIX}{service}/{}", version_key(software))
}

fn parse_key(key: &str) -> Option<(ServiceName, Digest)> {
    let (service, digest) = key.strip_prefix(KEY_PREFIX)?.rsplit_once('/')?;
    let digest = u128::from_str_radix(digest, 16).ok().map(Digest)?;
    Some((ServiceName::try_from(service).ok()?, digest))
}
