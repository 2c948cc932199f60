//! Measures the journal of non-idempotent requests against a table service.
//!
//! Each daemon of the experiment owns a [`Journal`](chestnut_once::Journal) as the
//! real one does and speaks to an embedded stand-in of the table service over HTTP.
//! The request itself takes no time, so that only the journal's share is measured.

mod daemon;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use chestnut_base::SlotId;
use chestnut_fake::platform;
use chestnut_fake::weights::WeightStoreConfig;
use chestnut_node::members::CLAIMS;
use chestnut_plat::{ObjectStore, TableClient, Txn, TxnResponse};
use hdrhistogram::Histogram;
use reqwest::Client;
use serde_json::json;

use self::daemon::{Daemon, Tally};

/// The time that a call to the table service may take, as in the settings.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Measures the journal of non-idempotent requests.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Daemons that journal.
    #[bpaf(argument("NUMBER"), fallback(6), display_fallback)]
    daemons: u16,
    /// Slots, shared by the daemons.
    #[bpaf(argument("NUMBER"), fallback(64), display_fallback)]
    slots: u16,
    /// Requests a second over all daemons.
    #[bpaf(argument("NUMBER"), fallback(100), display_fallback)]
    rate: u32,
    /// How long requests come, in seconds.
    #[bpaf(argument("S"), fallback(10), display_fallback)]
    seconds: u64,
    /// The time that each call to the table takes, in milliseconds.
    #[bpaf(argument("MS"), fallback(5), display_fallback)]
    delay: u64,
    /// Whether the object store is down with the table.
    both: bool,
    /// How long the table is down after a third of the time, in seconds.
    #[bpaf(argument("S"), fallback(0), display_fallback)]
    outage: u64,
    /// Journalled ids in a slot that is taken over at the start.
    #[bpaf(argument("NUMBER"), fallback(0), display_fallback)]
    recover: usize,
}

/// Runs the experiment and prints one line of JSON.
pub fn run(options: &Options) {
    let runtime = tokio::runtime::Runtime::new().expect("threads can be started");
    runtime.block_on(measure(options));
}

async fn measure(options: &Options) {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let speed = WeightStoreConfig {
        loads_per_second: 1.0,
        parallel_loads: 1,
        bytes_per_second: 1e9,
    };
    let platform = platform::start(listen, speed).await.expect("a free port");
    let url = platform.url();
    let table = TableClient::new(&url, TIMEOUT).expect("a client");
    let objects = ObjectStore::new(&url, TIMEOUT).expect("a client");
    if options.recover > 0 {
        return recover(&table, objects, &url, options).await;
    }
    let mut daemons = Vec::new();
    for index in 0..options.daemons {
        let slots = (0..options.slots).filter(|slot| slot % options.daemons == index);
        let claims = claim(&table, slots.map(SlotId)).await;
        let (table, objects) = (table.clone(), objects.clone());
        daemons.push(Daemon::new(index, options.daemons, table, objects, claims));
    }
    fault(&url, json!({ "delay_ms": options.delay })).await;
    let time = Duration::from_secs(options.seconds);
    let start = Instant::now();
    let gap = Duration::from_secs(u64::from(options.daemons)) / options.rate;
    let tasks: Vec<_> =
        daemons.into_iter().map(|daemon| tokio::spawn(daemon.run(gap, time))).collect();
    if options.outage > 0 {
        tokio::time::sleep(time / 3).await;
        fault(&url, json!({ "down": true })).await;
        if options.both {
            fault_objects(&url, true).await;
        }
        tokio::time::sleep(Duration::from_secs(options.outage)).await;
        fault(&url, json!({ "down": false })).await;
        fault_objects(&url, false).await;
    }
    let back = start + time / 3 + Duration::from_secs(options.outage);
    let mut sum = Tally::default();
    for task in tasks {
        sum.add(task.await.expect("no daemon of the experiment panics"));
    }
    report(options, &sum, start, back);
}

/// Times how long a slot with many ids takes to be taken over.
async fn recover(
    table: &TableClient,
    objects: ObjectStore,
    url: &str,
    options: &Options,
) {
    let claims = claim(table, [SlotId(0)].into_iter()).await;
    daemon::fill(table, SlotId(0), options.recover).await;
    fault(url, json!({ "delay_ms": options.delay })).await;
    let mut daemon = Daemon::new(0, 1, table.clone(), objects, claims);
    let (start, before) = (Instant::now(), resident_kb());
    daemon.open().await;
    let line = json!({
        "grown_kb": resident_kb().saturating_sub(before),
        "ids": options.recover,
        "delay_ms": options.delay,
        "open_ms": millis(start.elapsed()),
        "ids_in_memory": daemon.ids(),
    });
    println!("{line}");
}

/// Writes the claims of slots and returns their rows' version.
async fn claim(
    table: &TableClient,
    slots: impl Iterator<Item = SlotId>,
) -> Vec<(SlotId, u64)> {
    let slots: Vec<SlotId> = slots.collect();
    let put = |txn: Txn, slot: &SlotId| {
        txn.put(CLAIMS, format!("slot:{}", slot.0), json!({ "holder": "lab" }))
    };
    let txn = slots.iter().fold(Txn::new(), put);
    match table.commit(&txn).await {
        Ok(TxnResponse::Committed { version, .. }) => {
            slots.into_iter().map(|slot| (slot, version)).collect()
        }
        other => panic!("the claims can't be written: {other:?}"),
    }
}

/// The memory of this process, the stand-in's included, in kilobytes.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    number.unwrap_or(0)
}

async fn fault(url: &str, fault: serde_json::Value) {
    let call =
        Client::new().post(format!("{url}/faults")).json(&json!({ "table": fault }));
    call.send().await.expect("the stand-in answers");
}

async fn fault_objects(url: &str, down: bool) {
    let fault = json!({ "objects": { "down": down } });
    let call = Client::new().post(format!("{url}/faults")).json(&fault);
    call.send().await.expect("the stand-in answers");
}

fn report(options: &Options, sum: &Tally, start: Instant, back: Instant) {
    let seconds = options.seconds as f64;
    let line = json!({
        "daemons": options.daemons,
        "slots": options.slots,
        "rate": options.rate,
        "delay_ms": options.delay,
        "requests": sum.asked,
        "answered": sum.answered,
        "refused": sum.refused,
        "transactions_a_second": sum.commits.len() as f64 / seconds,
        "rows_a_second": sum.rows as f64 / seconds,
        "start_ms": quantiles(&sum.started),
        "end_ms": quantiles(&sum.ended),
        "outage_s": options.outage,
        "most_transactions_in_a_second_after": busiest(&sum.commits, back),
        "appends": sum.appends.len(),
        "most_appends_in_a_second": busiest(&sum.appends, start),
        "most_before": busiest_before(&sum.commits, start, start + (back - start) / 3),
        "last_answer_after_s": sum.last.map(|last| {
            last.saturating_duration_since(back).as_secs_f64()
        }),
    });
    println!("{line}");
}

fn quantiles(times: &Histogram<u64>) -> serde_json::Value {
    let at = |quantile| times.value_at_quantile(quantile) as f64 / 1000.0;
    json!({ "p50": at(0.5), "p99": at(0.99), "max": times.max() as f64 / 1000.0 })
}

/// The most commits in any second from `from` on.
fn busiest(commits: &[Instant], from: Instant) -> usize {
    let mut times: Vec<_> = commits.iter().filter(|time| **time >= from).collect();
    times.sort();
    let within = |first: usize| {
        let end = *times[first] + Duration::from_secs(1);
        times[first..].iter().take_while(|time| ***time < end).count()
    };
    (0..times.len()).map(within).max().unwrap_or(0)
}

fn busiest_before(commits: &[Instant], from: Instant, to: Instant) -> usize {
    let times: Vec<_> =
        commits.iter().copied().filter(|time| (from..to).contains(time)).collect();
    busiest(&times, from)
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
