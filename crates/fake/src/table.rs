//! The rows of the table service.

use std::collections::{BTreeMap, BTreeSet};

use chestnut_plat::table::{ChangesQuery, ChangesResponse, ScanQuery};
use chestnut_plat::{Delta, Precondition, Row, Txn, TxnResponse, Write};
use serde_json::Value;

/// All tables.
#[derive(Debug, Default)]
pub struct Tables {
    /// The version of the last commit that wrote.
    version: u64,
    tables: BTreeMap<String, Rows>,
}

/// The rows of one table.
#[derive(Debug, Default)]
struct Rows {
    rows: BTreeMap<String, Row>,
    /// The version at which a key was removed; never holds a key of `rows`.
    gone: BTreeMap<String, u64>,
    /// The last change of every key of `rows` and `gone`, in the order of versions.
    log: BTreeSet<(u64, String)>,
}

impl Tables {
    /// Commits a transaction at the time `now`, in milliseconds.
    pub fn commit(&mut self, txn: Txn, now: u64) -> TxnResponse {
        for (index, check) in txn.checks.iter().enumerate() {
            let (table, key) = target(check);
            let row = self.get(table, key);
            if !holds(check, row, now) {
                return TxnResponse::Conflict { check: index, row: row.cloned() };
            }
        }
        if !txn.writes.is_empty() {
            self.version += 1;
        }
        for write in txn.writes {
            self.apply(write, now);
        }
        TxnResponse::Committed { version: self.version, now }
    }

    /// Reads the changes of a table.
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
        let mut last = 0;
        for (version, key) in table.log.range((scan.since + 1, String::new())..) {
            if !key.starts_with(&scan.prefix) {
                continue;
            }
            if delta.rows.len() + delta.deleted.len() >= limit && *version > last {
                delta.version = last;
                delta.more = true;
                break;
            }
            last = *version;
            match table.rows.get(key) {
                Some(row) => delta.rows.push(row.clone()),
                // Whoever reads all rows never knew of those that are gone.
                None if scan.since == 0 => {}
                None => delta.deleted.push(key.clone()),
            }
        }
        delta
    }

    /// Reads the changes of several tables.
    pub fn changes(&self, ask: &ChangesQuery, now: u64) -> ChangesResponse {
        let mut changed = ChangesResponse {
            rows: Vec::new(),
            deleted: Vec::new(),
            requested: Vec::new(),
            version: self.version,
            now,
        };
        for table in &ask.tables {
            let (table, since) = (table.clone(), ask.since);
            let prefix = String::new();
            let scan = ScanQuery { table: table.clone(), prefix, since, limit: None };
            let delta = self.scan(&scan, now);
            changed.rows.extend(delta.rows);
            changed
                .deleted
                .extend(delta.deleted.into_iter().map(|key| (table.clone(), key)));
        }
        let wanted = ask.row_keys.iter().filter_map(|row| self.get(&row.table, &row.key));
        changed.requested.extend(wanted.cloned());
        changed
    }

    /// Reads one row.
    pub fn get(&self, table: &str, key: &str) -> Option<&Row> {
        self.tables.get(table)?.rows.get(key)
    }

    fn apply(&mut self, write: Write, now: u64) {
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
        self.forget(&row.key);
        self.log.insert((row.version, row.key.clone()));
        self.rows.insert(row.key.clone(), row);
    }

    fn delete(&mut self, key: String, version: u64) {
        if !self.rows.contains_key(&key) {
            return;
        }
        self.forget(&key);
        self.log.insert((version, key.clone()));
        self.gone.insert(key, version);
    }

    fn forget(&mut self, key: &str) {
        let row = self.rows.remove(key).map(|row| row.version);
        if let Some(version) = row.or_else(|| self.gone.remove(key)) {
            self.log.remove(&(version, key.to_owned()));
        }
    }
}

fn target(check: &Precondition) -> (&str, &str) {
    match check {
        Precondition::Absent { table, key }
        | Precondition::Version { table, key, .. }
        | Precondition::Idle { table, key, .. } => (table, key),
    }
}

fn holds(check: &Precondition, row: Option<&Row>, now: u64) -> bool {
    match (check, row) {
        (Precondition::Absent { .. }, row) => row.is_none(),
        (Precondition::Version { version, .. }, Some(row)) => row.version == *version,
        (Precondition::Version { .. }, None) => false,
        (Precondition::Idle { .. }, None) => true,
        (Precondition::Idle { millis, .. }, Some(row)) => {
            now.saturating_sub(row.modified) >= *millis
        }
    }
}

/// A value that stands for no row in an answer.
pub(crate) fn row_value(row: Option<&Row>) -> Value {
    row.map_or(Value::Null, |row| serde_json::json!(row))
}
