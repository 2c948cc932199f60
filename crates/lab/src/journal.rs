//! Measures the latency and the writes of the journal of non-idempotent requests.
//!
//! Each simulated daemon owns a real [`Journal`](chestnut_once::Journal) and calls an
//! embedded fake table service over HTTP. Running a request takes no time, so
//! that only the journal's share of the latency is measured.

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

use self::daemon::{Daemon, Measurements};

/// Timeout of calls to the table and the object store, as in the daemons' settings.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Measures the journal of non-idempotent requests.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Number of daemons.
    #[bpaf(argument("NUMBER"), fallback(6), display_fallback)]
    daemons: u16,
    /// Number of journal slots, distributed over the daemons.
    #[bpaf(argument("NUMBER"), fallback(64), display_fallback)]
    slots: u16,
    /// Requests a second, all daemons together.
    #[bpaf(argument("NUMBER"), fallback(100), display_fallback)]
    rate: u32,
    /// How long new requests are submitted, in seconds.
    #[bpaf(argument("S"), fallback(10), display_fallback)]
    seconds: u64,
    /// Delay of each call to the table, in milliseconds.
    #[bpaf(argument("MS"), fallback(5), display_fallback)]
    delay: u64,
    /// Make the object store unavailable during the table's outage too.
    both: bool,
    /// Length of a table outage that starts after a third of the time, in seconds.
    #[bpaf(argument("S"), fallback(0), display_fallback)]
    outage: u64,
    /// Only measure how long a slot with this many finished requests takes to open.
    #[bpaf(argument("NUMBER"), fallback(0), display_fallback)]
    recover: usize,
}

/// Runs the experiment and prints its results as one line of JSON.
pub fn run(options: &Options) {
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(measure(options));
}

async fn measure(options: &Options) {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let weight_store = WeightStoreConfig {
        loads_per_second: 1.0,
        parallel_loads: 1,
        bytes_per_second: 1e9,
    };
    let platform = platform::start(listen, weight_store).await.expect("a free port");
    let url = platform.url();
    let table = TableClient::new(&url, PLATFORM_TIMEOUT).expect("a client");
    let objects = ObjectStore::new(&url, PLATFORM_TIMEOUT).expect("a client");
    if options.recover > 0 {
        return measure_recovery(&table, objects, &url, options).await;
    }
    let mut daemons = Vec::new();
    for index in 0..options.daemons {
        let slots = (0..options.slots).filter(|slot| slot % options.daemons == index);
        let claims = write_claims(&table, slots.map(SlotId)).await;
        let (table, objects) = (table.clone(), objects.clone());
        daemons.push(Daemon::new(index, options.daemons, table, objects, claims));
    }
    set_table_faults(&url, json!({ "delay_ms": options.delay })).await;
    let duration = Duration::from_secs(options.seconds);
    let start = Instant::now();
    let interval = Duration::from_secs(u64::from(options.daemons)) / options.rate;
    let tasks: Vec<_> = daemons
        .into_iter()
        .map(|daemon| tokio::spawn(daemon.run(interval, duration)))
        .collect();
    if options.outage > 0 {
        tokio::time::sleep(duration / 3).await;
        set_table_faults(&url, json!({ "down": true })).await;
        if options.both {
            set_object_store_down(&url, true).await;
        }
        tokio::time::sleep(Duration::from_secs(options.outage)).await;
        set_table_faults(&url, json!({ "down": false })).await;
        set_object_store_down(&url, false).await;
    }
    let outage_end = start + duration / 3 + Duration::from_secs(options.outage);
    let mut totals = Measurements::default();
    for task in tasks {
        totals.merge(task.await.expect("no daemon task panics"));
    }
    print_results(options, &totals, start, outage_end);
}

/// Prints how long a slot with many finished requests takes to open, and the memory that
/// this adds.
async fn measure_recovery(
    table: &TableClient,
    objects: ObjectStore,
    url: &str,
    options: &Options,
) {
    let claims = write_claims(table, [SlotId(0)].into_iter()).await;
    daemon::write_finished_requests(table, SlotId(0), options.recover).await;
    set_table_faults(url, json!({ "delay_ms": options.delay })).await;
    let mut daemon = Daemon::new(0, 1, table.clone(), objects, claims);
    let (start, initial_kib) = (Instant::now(), resident_kib());
    daemon.open_slots().await;
    let line = json!({
        "grown_kb": resident_kib().saturating_sub(initial_kib),
        "ids": options.recover,
        "delay_ms": options.delay,
        "open_ms": millis(start.elapsed()),
        "ids_in_memory": daemon.id_count(),
    });
    println!("{line}");
}

/// Writes claims of `slots` in one transaction and returns each with its version.
async fn write_claims(
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
        other => panic!("claims not written: {other:?}"),
    }
}

/// Resident memory of this process, the fake platform included, in KiB.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    number.unwrap_or(0)
}

async fn set_table_faults(url: &str, faults: serde_json::Value) {
    let call =
        Client::new().post(format!("{url}/faults")).json(&json!({ "table": faults }));
    call.send().await.expect("the fake platform responds");
}

async fn set_object_store_down(url: &str, down: bool) {
    let faults = json!({ "objects": { "down": down } });
    let call = Client::new().post(format!("{url}/faults")).json(&faults);
    call.send().await.expect("the fake platform responds");
}

fn print_results(
    options: &Options,
    totals: &Measurements,
    start: Instant,
    outage_end: Instant,
) {
    let seconds = options.seconds as f64;
    let line = json!({
        "daemons": options.daemons,
        "slots": options.slots,
        "rate": options.rate,
        "delay_ms": options.delay,
        "requests": totals.requests,
        "answered": totals.responses,
        "refused": totals.refusals,
        "transactions_a_second": totals.commit_times.len() as f64 / seconds,
        "rows_a_second": totals.rows_written as f64 / seconds,
        "start_ms": quantiles(&totals.start_latency),
        "end_ms": quantiles(&totals.completion_latency),
        "outage_s": options.outage,
        "most_transactions_in_a_second_after":
            max_in_one_second(&totals.commit_times, outage_end),
        "appends": totals.append_times.len(),
        "most_appends_in_a_second": max_in_one_second(&totals.append_times, start),
        "most_before": max_in_one_second_before(
            &totals.commit_times, start, start + (outage_end - start) / 3
        ),
        "last_answer_after_s": totals.last_response.map(|time| {
            time.saturating_duration_since(outage_end).as_secs_f64()
        }),
    });
    println!("{line}");
}

/// Quantiles in milliseconds, of a histogram in microseconds.
fn quantiles(times: &Histogram<u64>) -> serde_json::Value {
    let at = |quantile| times.value_at_quantile(quantile) as f64 / 1000.0;
    json!({ "p50": at(0.5), "p99": at(0.99), "max": times.max() as f64 / 1000.0 })
}

/// The largest number of `times` within any second from `from` on.
fn max_in_one_second(times: &[Instant], from: Instant) -> usize {
    let mut times: Vec<_> = times.iter().filter(|time| **time >= from).collect();
    times.sort();
    let count_from = |first: usize| {
        let end = *times[first] + Duration::from_secs(1);
        times[first..].iter().take_while(|time| ***time < end).count()
    };
    (0..times.len()).map(count_from).max().unwrap_or(0)
}

/// Like [`max_in_one_second`], of the `times` before `to`.
fn max_in_one_second_before(times: &[Instant], from: Instant, to: Instant) -> usize {
    let times: Vec<_> =
        times.iter().copied().filter(|time| (from..to).contains(time)).collect();
    max_in_one_second(&times, from)
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
