//! Memory, CPU time and table traffic of a daemon in a large system.

use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use chestnut_plat::table::TrafficCounters;
use serde_json::{Value, json};

use super::Point;
use super::rows::{self, MODEL_BYTES, RUNNER_BYTES, SystemSize};
use super::testbed::{ExperimentError, Testbed};
use crate::resource_usage::{self, DAEMON_THREAD_PREFIX};

/// Runners at each size; the last is the largest supported system.
const RUNNER_COUNTS: [usize; 4] = [1_500, 3_000, 6_000, 12_000];

/// Real daemons at each size.
const DAEMONS: usize = 3;

/// Changed rows a second at each size.
const CHANGE_RATES: [usize; 4] = [0, 20, 80, 320];

/// Runners in the `changes` experiment.
const CHANGES_RUNNER_COUNT: usize = 3_000;

/// How long a daemon may take to read the whole system.
const SYNC_TIMEOUT: Duration = Duration::from_secs(60);

/// How often the leases of members without a daemon are renewed.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(5);

/// Measures memory, CPU time and traffic as the number of runners grows.
pub fn run(seconds: u64) -> Result<Vec<Point>, ExperimentError> {
    RUNNER_COUNTS.iter().map(|&runners| measure_size(runners, seconds)).collect()
}

/// Measures CPU time and traffic as the rate of changed rows grows.
pub fn run_changes(seconds: u64) -> Result<Vec<Point>, ExperimentError> {
    let size = SystemSize::with_runners(CHANGES_RUNNER_COUNT);
    let mut testbed = start_testbed(size)?;
    let _renewal = renew_leases_in_background(&testbed, size);
    for _ in 0..DAEMONS {
        start_daemon(&mut testbed, size)?;
    }
    let mut points = Vec::new();
    let mut next_ledger = 0;
    for rate in CHANGE_RATES {
        let usage = measure_usage(&testbed, seconds, |_| {
            testbed.harness_runtime.block_on(rows::rewrite_ledgers(
                &testbed.table,
                size,
                next_ledger,
                rate,
            ))?;
            next_ledger += rate;
            Ok(())
        })?;
        let values = usage.values();
        points.push(Point {
            experiment: "changes",
            unit: "row/s",
            size: rate as f64,
            values,
        });
    }
    Ok(points)
}

fn measure_size(runners: usize, seconds: u64) -> Result<Point, ExperimentError> {
    let size = SystemSize::with_runners(runners);
    let mut testbed = start_testbed(size)?;
    let _renewal = renew_leases_in_background(&testbed, size);
    // The first daemon also sets up what all daemons of this process share, so its
    // start isn't measured.
    start_daemon(&mut testbed, size)?;
    let (initial_memory, initial_cpu_s) = (
        resource_usage::resident_bytes(),
        resource_usage::cpu_seconds(DAEMON_THREAD_PREFIX),
    );
    for _ in 1..DAEMONS {
        start_daemon(&mut testbed, size)?;
    }
    let others = (DAEMONS - 1) as f64;
    let memory = (resource_usage::resident_bytes() - initial_memory) / others;
    let start_cpu_s =
        (resource_usage::cpu_seconds(DAEMON_THREAD_PREFIX) - initial_cpu_s) / others;
    let usage = measure_usage(&testbed, seconds, |_| Ok(()))?;
    let mut values = vec![("memory_mb", memory / 1e6), ("start_cpu_s", start_cpu_s)];
    values.extend(usage.values());
    Ok(Point { experiment: "state", unit: "runner", size: runners as f64, values })
}

/// Starts the platform and writes the rows of a system.
fn start_testbed(size: SystemSize) -> Result<Testbed, ExperimentError> {
    let testbed = Testbed::new(json!({
        "lease_ms": 20_000, "renewal_ms": 6_000, "poll_ms": 500, "stale_ms": 60_000,
        "platform_ms": 20_000,
    }))?;
    testbed.harness_runtime.block_on(rows::write_system(&testbed.table, size))?;
    Ok(testbed)
}

/// Renews the leases on a thread of its own until the returned sender is dropped.
fn renew_leases_in_background(testbed: &Testbed, size: SystemSize) -> mpsc::Sender<()> {
    let (stop_sender, stopped) = mpsc::channel();
    let (table, handle) =
        (testbed.table.clone(), testbed.harness_runtime.handle().clone());
    thread::spawn(move || {
        while stopped.recv_timeout(RENEWAL_INTERVAL)
            == Err(mpsc::RecvTimeoutError::Timeout)
        {
            if let Err(error) = handle.block_on(rows::renew_leases(&table, size)) {
                eprintln!(
                    "could not renew leases, retrying at the next interval: {error}"
                );
            }
        }
    });
    stop_sender
}

/// Starts a daemon and waits until it has read the whole system.
///
/// Returns after [`SYNC_TIMEOUT`] even if it has not.
fn start_daemon(testbed: &mut Testbed, size: SystemSize) -> Result<(), ExperimentError> {
    testbed.start_daemon()?;
    if testbed.daemons.len() == 1 {
        testbed.apply_declarations(&declarations(size))?;
    }
    let start = Instant::now();
    let shared = testbed.daemons.last().expect("one was started").node().shared.clone();
    let is_synced = || {
        shared.view().servers.len() == size.runners
            && shared.residency().runners().len() == size.runners
            && shared.catalog().models.len() == size.models
    };
    while !is_synced() && start.elapsed() < SYNC_TIMEOUT {
        thread::sleep(Duration::from_millis(50));
    }
    // Lets the daemon free what only the initial read needs before memory is measured.
    thread::sleep(Duration::from_secs(2));
    Ok(())
}

/// Mean usage of one daemon.
struct DaemonUsage {
    /// CPU time, as a fraction of one core.
    cpu: f64,
    reads_per_s: f64,
    writes_per_s: f64,
    received_bytes_per_s: f64,
    sent_bytes_per_s: f64,
}

impl DaemonUsage {
    fn values(&self) -> Vec<(&'static str, f64)> {
        vec![
            ("cpu_percent", self.cpu * 100.0),
            ("reads_per_s", self.reads_per_s),
            ("writes_per_s", self.writes_per_s),
            ("received_bytes_per_s", self.received_bytes_per_s),
            ("sent_bytes_per_s", self.sent_bytes_per_s),
        ]
    }
}

/// Measures the daemons for `seconds`, calling `each_second` at the start of each second.
fn measure_usage(
    testbed: &Testbed,
    seconds: u64,
    mut each_second: impl FnMut(u64) -> Result<(), ExperimentError>,
) -> Result<DaemonUsage, ExperimentError> {
    let before = traffic_totals(testbed);
    let initial_cpu_s = resource_usage::cpu_seconds(DAEMON_THREAD_PREFIX);
    let start = Instant::now();
    for second in 0..seconds {
        each_second(second)?;
        let due = start + Duration::from_secs(second + 1);
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    let per_daemon_second =
        1.0 / (start.elapsed().as_secs_f64() * testbed.daemons.len() as f64);
    let after = traffic_totals(testbed);
    let mean = |n: usize| (after[n] - before[n]) as f64 * per_daemon_second;
    Ok(DaemonUsage {
        cpu: (resource_usage::cpu_seconds(DAEMON_THREAD_PREFIX) - initial_cpu_s)
            * per_daemon_second,
        reads_per_s: mean(0),
        writes_per_s: mean(1),
        received_bytes_per_s: mean(2),
        sent_bytes_per_s: mean(3),
    })
}

/// Reads, writes, bytes received and bytes sent, summed over all daemons since their start.
fn traffic_totals(testbed: &Testbed) -> [u64; 4] {
    let mut totals = [0; 4];
    for daemon in &testbed.daemons {
        let traffic: &TrafficCounters = daemon.node().shared.table.traffic();
        let counters = [
            &traffic.reads,
            &traffic.commits,
            &traffic.received_bytes,
            &traffic.sent_bytes,
        ];
        for (total, counter) in totals.iter_mut().zip(counters) {
            *total += counter.load(Ordering::Relaxed);
        }
    }
    totals
}

fn declarations(size: SystemSize) -> Value {
    let models: serde_json::Map<String, Value> = (0..size.models)
        .map(|n| {
            let model = json!({
                "pool": "main", "version": rows::model_version().as_str(),
                "bytes": MODEL_BYTES, "cold_ms": 30_000,
            });
            (rows::model_name(n).to_string(), model)
        })
        .collect();
    let routes: serde_json::Map<String, Value> = (0..size.models)
        .map(|n| (format!("route-{n}"), json!({ "model": rows::model_name(n).as_str() })))
        .collect();
    json!({
        "pools": { "main": {
            "memory": RUNNER_BYTES, "accelerators": 4, "streams": 64,
            "tokens": 400_000, "step_ms": 10, "fenced": true, "parallel_loads": 100,
            "load_rate": 100.0, "attainment_weight": 1.0, "move_weight": 1.0,
        }},
        "models": models,
        "routes": routes,
    })
}
