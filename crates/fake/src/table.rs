//! The rows of the table service.

use std::collections::{BTreeMap, BTreeSet};

use chestnut_plat::table::{ChangesQuery, ChangesResponse, ScanQuery};
use chestnut_plat::{Delta, Precondition, Row, Txn, TxnResponse, Write};
use serde_json::Value;

/// All tables of the table service.
#[derive(Debug, Default)]
pub struct Tables {
    /// The version of the last transaction with writes.
    version: u64,
    tables: BTreeMap<String, Rows>,
}

/// The rows and change history of one table.
#[derive(Debug, Default)]
struct Rows {
    rows: BTreeMap<String, Row>,
    /// Tombstones: the version at which each key was deleted; disjoint from `rows`.
    tombstones: BTreeMap<String, u64>,
    /// The last change of every key of `rows` and `tombstones`, ordered by version.
    changes: BTreeSet<(u64, String)>,
}

impl Tables {
    /// Commits a transaction if all its preconditions hold. `now` is in milliseconds
    /// since the Unix epoch.
    pub fn commit(&mut self, txn: Txn, now: u64) -> TxnResponse {
        for (index, precondition) in txn.checks.iter().enumerate() {
            let (table, key) = table_and_key(precondition);
            let row = self.get(table, key);
            if !is_met(precondition, row, now) {
                return TxnResponse::Conflict { check: index, row: row.cloned() };
            }
        }
        if !txn.writes.is_empty() {
            self.version += 1;
        }
        for write in txn.writes {
            self.apply_write(write, now);
        }
        TxnResponse::Committed { version: self.version, now }
    }

    /// The changes of a table since a version. All changes of one version are in the same
    /// page, so a page can exceed the limit.
    pub fn scan(&self, scan: &ScanQuery, now: u64) -> Delta {
        let mut delta = Delta {
            rows: Vec::new(),
            deleted: Vec::new(),
            version: self.version,
            more: false,
            now,
        };
        let Some(table) = self.tables.get(&scan.table) else { return delta };
        let limit = scan.limit.unwrap_or(usize::MAX);
        let mut last_version = 0;
        for (version, key) in table.changes.range((scan.since + 1, String::new())..) {
            if !key.starts_with(&scan.prefix) {
                continue;
            }
            if delta.rows.len() + delta.deleted.len() >= limit && *version > last_version
            {
                delta.version = last_version;
                delta.more = true;
                break;
            }
            last_version = *version;
            match table.rows.get(key) {
                Some(row) => delta.rows.push(row.clone()),
                // A reader from version 0 never saw the deleted rows.
                None if scan.since == 0 => {}
                None => delta.deleted.push(key.clone()),
            }
        }
        delta
    }

    /// The changes of several tables since a version, and the requested rows.
    pub fn changes(&self, query: &ChangesQuery, now: u64) -> ChangesResponse {
        let mut response = ChangesResponse {
            rows: Vec::new(),
            deleted: Vec::new(),
            requested: Vec::new(),
            version: self.version,
            now,
        };
        for table in &query.tables {
            let (table, since) = (table.clone(), query.since);
            let prefix = String::new();
            let scan = ScanQuery { table: table.clone(), prefix, since, limit: None };
            let delta = self.scan(&scan, now);
            response.rows.extend(delta.rows);
            response
                .deleted
                .extend(delta.deleted.into_iter().map(|key| (table.clone(), key)));
        }
        let requested =
            query.row_keys.iter().filter_map(|row| self.get(&row.table, &row.key));
        response.requested.extend(requested.cloned());
        response
    }

    /// A row; `None` if the key does not exist.
    pub fn get(&self, table: &str, key: &str) -> Option<&Row> {
        self.tables.get(table)?.rows.get(key)
    }

    fn apply_write(&mut self, write: Write, now: u64) {
        let version = self.version;
        match write {
            Write::Put { table, key, value } => {
                let rows = self.tables.entry(table.clone()).or_default();
                rows.put(Row { table, key, value, version, modified: now });
            }
            Write::Delete { table, key } => {
                self.tables.entry(table).or_default().delete(key, version);
            }
        }
    }
}

impl Rows {
    fn put(&mut self, row: Row) {
        self.remove_key(&row.key);
        self.changes.insert((row.version, row.key.clone()));
        self.rows.insert(row.key.clone(), row);
    }

    fn delete(&mut self, key: String, version: u64) {
        if !self.rows.contains_key(&key) {
            return;
        }
        self.remove_key(&key);
        self.changes.insert((version, key.clone()));
        self.tombstones.insert(key, version);
    }

    fn remove_key(&mut self, key: &str) {
        let row_version = self.rows.remove(key).map(|row| row.version);
        if let Some(version) = row_version.or_else(|| self.tombstones.remove(key)) {
            self.changes.remove(&(version, key.to_owned()));
        }
    }
}

fn table_and_key(precondition: &Precondition) -> (&str, &str) {
    match precondition {
        Precondition::Absent { table, key }
        | Precondition::Version { table, key, .. }
        | Precondition::Idle { table, key, .. } => (table, key),
    }
}

fn is_met(precondition: &Precondition, row: Option<&Row>, now: u64) -> bool {
    match (precondition, row) {
        (Precondition::Absent { .. }, row) => row.is_none(),
        (Precondition::Version { version, .. }, Some(row)) => row.version == *version,
        (Precondition::Version { .. }, None) => false,
        (Precondition::Idle { .. }, None) => true,
        (Precondition::Idle { millis, .. }, Some(row)) => {
            now.saturating_sub(row.modified) >= *millis
        }
    }
}

/// The row as JSON; `null` if there is none.
pub(crate) fn row_value(row: Option<&Row>) -> Value {
    row.map_or(Value::Null, |row| serde_json::json!(row))
}
