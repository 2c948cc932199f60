//! A copy of a table, under any order of changes, whole reads, late and old answers.

use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnut_edge::Change;
use chestnut_gate::table_replica::TableReplica;
use indexmap::IndexMap;
use proptest::prelude::*;

/// The table itself, with its whole history.
#[derive(Default)]
struct Table {
    version: u64,
    history: Vec<Change>,
}

impl Table {
    fn write(&mut self, key: u8, value: Option<u8>) {
        self.version += 3;
        let value = value.map(|value| Bytes::from(vec![value]));
        self.history.push(Change { key: key.to_string(), version: self.version, value });
    }

    /// The rows as of a version.
    fn rows(&self, version: u64) -> IndexMap<String, Change> {
        let mut rows = IndexMap::new();
        for change in self.history.iter().filter(|change| change.version <= version) {
            match change.value {
                Some(_) => drop(rows.insert(change.key.clone(), change.clone())),
                None => drop(rows.swap_remove(&change.key)),
            }
        }
        rows
    }

    /// The last change of each key after a version, as of another.
    fn changes(&self, after: u64, version: u64) -> Vec<Change> {
        let mut last: IndexMap<&String, &Change> = IndexMap::new();
        for change in &self.history {
            if change.version > after && change.version <= version {
                last.insert(&change.key, change);
            }
        }
        last.into_values().cloned().collect()
    }
}

#[derive(Debug, Clone)]
enum Op {
    Write {
        key: u8,
        value: Option<u8>,
    },
    /// The near copy's daemon writes a row itself, and knows it by the answer.
    Own {
        key: u8,
        value: u8,
    },
    /// Reads changes; the answer is from some writes ago.
    Follow {
        old: u64,
    },
    /// Reads everything; the answer is from some writes ago.
    Whole {
        old: u64,
    },
    /// Takes what another daemon's copy says changed.
    Peer,
}

fn op() -> impl Strategy<Value = Op> {
    let value = prop_oneof![3 => any::<u8>().prop_map(Some), 1 => Just(None)];
    prop_oneof![
        6 => (0u8..5, value).prop_map(|(key, value)| Op::Write { key, value }),
        2 => (0u8..5, any::<u8>()).prop_map(|(key, value)| Op::Own { key, value }),
        4 => (0u64..4).prop_map(|old| Op::Follow { old }),
        1 => (0u64..4).prop_map(|old| Op::Whole { old }),
        2 => Just(Op::Peer),
    ]
}

/// What a follower has made of the changes that it was told.
#[derive(Default)]
struct Follower {
    mirror: TableReplica,
    rows: IndexMap<String, Change>,
}

impl Follower {
    fn hand_on(&mut self, fresh: Vec<Change>) {
        for change in fresh {
            let before = self.rows.get(&change.key).map_or(0, |row| row.version);
            assert!(change.version > before, "{change:?} after {before}");
            match change.value {
                Some(_) => drop(self.rows.insert(change.key.clone(), change)),
                None => drop(self.rows.swap_remove(&change.key)),
            }
        }
    }

    /// Takes in a row that this daemon has just written.
    fn note(&mut self, change: Change) {
        self.mirror.apply_own_write(&change);
        self.rows.insert(change.key.clone(), change);
    }

    fn follow(&mut self, table: &Table, old: u64) {
        let after = self.mirror.version().unwrap_or_default();
        let version = table.version.saturating_sub(old * 3).max(after);
        let fresh = self.mirror.apply(table.changes(after, version), version);
        self.hand_on(fresh);
    }

    fn read_whole(&mut self, table: &Table, old: u64) {
        let version = table.version.saturating_sub(old * 3);
        let rows = table.rows(version).into_values().collect();
        let fresh = self.mirror.apply_snapshot(rows, version);
        self.hand_on(fresh.unwrap_or_default());
    }

    fn ask(&mut self, peer: &TableReplica) {
        let own = self.mirror.version().unwrap_or_default();
        let Some(changes) = peer.changes_since(own) else { return };
        let version = changes.version;
        let rows: Vec<Change> = changes.rows.into_iter().map(Change::from).collect();
        let fresh = match changes.snapshot {
            true => self.mirror.apply_snapshot(rows, version).unwrap_or_default(),
            false => self.mirror.apply(rows, version),
        };
        self.hand_on(fresh);
    }
}

proptest! {
    // A server that left, or a configuration that was replaced, must not come back by a
    // read that was answered late; and in the end the copy is the table.
    #[test]
    fn a_copy_only_goes_forward(ops in prop::collection::vec(op(), 1..120)) {
        let (mut table, mut near, mut far) =
            (Table::default(), Follower::default(), Follower::default());
        for op in ops {
            match op {
                Op::Write { key, value } => table.write(key, value),
                Op::Own { key, value } => {
                    table.write(key, Some(value));
                    near.note(table.history.last().expect("it was written").clone());
                }
                Op::Follow { old } => near.follow(&table, old),
                Op::Whole { old } => near.read_whole(&table, old),
                Op::Peer => far.ask(&near.mirror),
            }
        }
        // The history may be gone by now.
        match table.version % 2 {
            0 => near.follow(&table, 0),
            _ => near.read_whole(&table, 0),
        }
        far.ask(&near.mirror);
        for follower in [&near, &far] {
            let mut rows: Vec<_> = follower.rows.values().cloned().collect();
            let mut truth: Vec<_> = table.rows(table.version).into_values().collect();
            rows.sort_by(|a, b| a.key.cmp(&b.key));
            truth.sort_by(|a, b| a.key.cmp(&b.key));
            prop_assert_eq!(rows, truth);
        }
    }
}

#[test]
fn an_old_version_confirms_nothing() {
    // A daemon that lags says that the store has just confirmed its copy. One that
    // knows less must not take its own copy for up to date by that.
    let now = Instant::now();
    let mut mirror = TableReplica::default();
    mirror.apply(Vec::new(), 10);
    mirror.record_confirmation(12, now);
    assert_eq!(mirror.confirmed_at(), None);
    mirror.record_confirmation(10, now);
    mirror.record_confirmation(10, now - Duration::from_secs(1));
    assert_eq!(mirror.confirmed_at(), Some(now));
}

#[test]
fn an_own_row_that_was_removed_is_missed() {
    // A daemon writes its row and is frozen before it reads anything more; others remove
    // the row, and the store forgets its history. The daemon reads all rows there are, and
    // learns that its own is gone.
    let (mut table, mut near) = (Table::default(), Follower::default());
    table.write(1, Some(1));
    near.follow(&table, 0);
    table.write(2, Some(2));
    near.note(table.history.last().expect("it was written").clone());
    table.write(2, None);
    near.read_whole(&table, 0);
    assert!(!near.rows.contains_key("2"), "{:?}", near.rows);
}
