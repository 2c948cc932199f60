//! Checks that a copy of a table built from the change feed matches the table.

use std::net::SocketAddr;
use std::time::Duration;

use chestnut_base::SystemClock;
use chestnut_fake::{platform, weights::WeightStoreConfig};
use chestnut_node::feed::ChangeFeed;
use chestnut_plat::{PlatformError, TableClient, Txn};
use indexmap::IndexMap;
use proptest::prelude::*;
use serde_json::{Value, json};

const TABLES: [&str; 2] = ["claims", "servers"];

#[derive(Debug, Clone)]
enum Event {
    Put(usize, u8),
    Delete(usize, u8),
    Refresh,
    Scan(usize),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..2usize, 0..6u8).prop_map(|(table, key)| Event::Put(table, key)),
        2 => (0..2usize, 0..6u8).prop_map(|(table, key)| Event::Delete(table, key)),
        2 => Just(Event::Refresh),
        2 => (0..2usize).prop_map(Event::Scan),
    ]
}

/// A copy of one table, built from the changes in the feed.
#[derive(Default)]
struct TableCopy {
    rows: IndexMap<String, Value>,
    version: u64,
}

impl TableCopy {
    async fn update(&mut self, feed: &ChangeFeed, table: &TableClient, name: &str) {
        let result = feed.scan(table, &SystemClock, name, "", self.version).await;
        let (delta, _) = result.expect("the platform is up");
        self.version = delta.version;
        for key in delta.deleted {
            self.rows.swap_remove(&key);
        }
        for row in delta.rows {
            self.rows.insert(row.key, row.value);
        }
    }
}

async fn start() -> (chestnut_fake::ServerHandle, TableClient) {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let speed = WeightStoreConfig {
        loads_per_second: 1.0,
        parallel_loads: 1,
        bytes_per_second: 1e9,
    };
    let platform = platform::start(listen, speed).await.expect("a free port");
    let table =
        TableClient::new(platform.url(), Duration::from_secs(5)).expect("a client");
    (platform, table)
}

async fn run(events: Vec<Event>) {
    let (_platform, table) = start().await;
    let feed = ChangeFeed::new(&TABLES);
    let mut copies = [TableCopy::default(), TableCopy::default()];
    for (index, event) in events.into_iter().enumerate() {
        match event {
            Event::Put(name, key) => {
                let txn = Txn::new().put(TABLES[name], key.to_string(), json!(index));
                table.commit(&txn).await.expect("the platform is up");
            }
            Event::Delete(name, key) => {
                let txn = Txn::new().delete(TABLES[name], key.to_string());
                table.commit(&txn).await.expect("the platform is up");
            }
            Event::Refresh => {
                let read = feed.refresh(&table, &SystemClock, Vec::new()).await;
                read.expect("the platform is up");
            }
            Event::Scan(name) => copies[name].update(&feed, &table, TABLES[name]).await,
        }
    }
    feed.refresh(&table, &SystemClock, Vec::new()).await.expect("the platform is up");
    for (name, copy) in TABLES.iter().zip(&mut copies) {
        copy.update(&feed, &table, name).await;
        let all = table.scan(name, "", 0).await.expect("the platform is up");
        let mut rows: IndexMap<String, Value> =
            all.rows.into_iter().map(|row| (row.key, row.value)).collect();
        rows.sort_keys();
        copy.rows.sort_keys();
        assert_eq!(copy.rows, rows, "{name}");
    }
}

fn block_on(future: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(future);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    #[test]
    fn scanned_changes_match_the_table(
        events in proptest::collection::vec(event(), 1..40),
    ) {
        block_on(run(events));
    }
}

#[test]
fn failed_read_fails_all_scans() {
    // During an outage a scan must fail as a read of the table would; otherwise old
    // rows would count as confirmed.
    block_on(async {
        let (_platform, table) = start().await;
        let feed = ChangeFeed::new(&TABLES);
        feed.refresh(&table, &SystemClock, Vec::new()).await.expect("the platform is up");
        feed.record_failure(&PlatformError::Unavailable("outage".into()));
        let result = feed.scan(&table, &SystemClock, "claims", "", 1).await;
        assert!(matches!(result, Err(PlatformError::Unavailable(_))));
        feed.refresh(&table, &SystemClock, Vec::new()).await.expect("the platform is up");
        assert!(feed.scan(&table, &SystemClock, "claims", "", 1).await.is_ok());
    });
}
