//! What the knowledge of a large system costs a daemon.

use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use chestnut_plat::table::TrafficCounters;
use serde_json::{Value, json};

use super::Point;
use super::rows::{self, MODEL_BYTES, RUNNER_BYTES, SystemSize};
use super::testbed::{ExperimentError, Testbed};
use crate::resource_usage::{self, DAEMON_THREADS};

/// Runners at each size; the last is the full one.
const RUNNERS: [usize; 4] = [1_500, 3_000, 6_000, 12_000];

/// Daemons that are watched at each size.
const WATCHED: usize = 3;

/// Changed rows a second at each rate.
const RATES: [usize; 4] = [0, 20, 80, 320];

/// Runners while the rate of changes grows.
const CHANGED_RUNNERS: usize = 3_000;

/// How long a daemon may take to learn all there is.
const LEARN: Duration = Duration::from_secs(60);

/// How often the leases of the members that don't exist are renewed.
const RENEWAL: Duration = Duration::from_secs(5);

/// Measures memory, processor time and traffic as the number of runners grows.
pub fn run(seconds: u64) -> Result<Vec<Point>, ExperimentError> {
    RUNNERS.iter().map(|&runners| measure_size(runners, seconds)).collect()
}

/// Measures processor time and traffic as more rows change.
pub fn run_changes(seconds: u64) -> Result<Vec<Point>, ExperimentError> {
    let size = SystemSize::with_runners(CHANGED_RUNNERS);
    let mut testbed = filled(size)?;
    let _leases = keep_leases(&testbed, size);
    for _ in 0..WATCHED {
        start(&mut testbed, size)?;
    }
    let mut points = Vec::new();
    let mut next = 0;
    for rate in RATES {
        let cost = watch(&testbed, seconds, |_| {
            testbed.harness_runtime.block_on(rows::rewrite_ledgers(
                &testbed.table,
                size,
                next,
                rate,
            ))?;
            next += rate;
            Ok(())
        })?;
        let values = cost.values();
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
    let mut testbed = filled(size)?;
    let _leases = keep_leases(&testbed, size);
    // The first daemon also warms up what they share in this process.
    start(&mut testbed, size)?;
    let (memory, busy) =
        (resource_usage::resident_bytes(), resource_usage::cpu_seconds(DAEMON_THREADS));
    for _ in 1..WATCHED {
        start(&mut testbed, size)?;
    }
    let others = (WATCHED - 1) as f64;
    let memory = (resource_usage::resident_bytes() - memory) / others;
    let start = (resource_usage::cpu_seconds(DAEMON_THREADS) - busy) / others;
    let cost = watch(&testbed, seconds, |_| Ok(()))?;
    let mut values = vec![("memory_mb", memory / 1e6), ("start_cpu_s", start)];
    values.extend(cost.values());
    Ok(Point { experiment: "state", unit: "runner", size: runners as f64, values })
}

fn filled(size: SystemSize) -> Result<Testbed, ExperimentError> {
    let testbed = Testbed::new(json!({
        "lease_ms": 20_000, "renewal_ms": 6_000, "poll_ms": 500, "stale_ms": 60_000,
        "platform_ms": 20_000,
    }))?;
    testbed.harness_runtime.block_on(rows::write_system(&testbed.table, size))?;
    Ok(testbed)
}

/// Renews leases until the returned sender is dropped.
fn keep_leases(testbed: &Testbed, size: SystemSize) -> mpsc::Sender<()> {
    let (alive, gone) = mpsc::channel();
    let (table, handle) =
        (testbed.table.clone(), testbed.harness_runtime.handle().clone());
    thread::spawn(move || {
        while gone.recv_timeout(RENEWAL) == Err(mpsc::RecvTimeoutError::Timeout) {
            if let Err(error) = handle.block_on(rows::renew_leases(&table, size)) {
                eprintln!("leases were not renewed: {error}");
            }
        }
    });
    alive
}

/// Starts a daemon and waits until it knows the whole system.
fn start(testbed: &mut Testbed, size: SystemSize) -> Result<(), ExperimentError> {
    testbed.start_daemon()?;
    if testbed.daemons.len() == 1 {
        testbed.apply_declarations(&declarations(size))?;
    }
    let begin = Instant::now();
    let shared = testbed.daemons.last().expect("one was started").node().shared.clone();
    let knows = || {
        shared.view().servers.len() == size.runners
            && shared.residency().runners().len() == size.runners
            && shared.catalog().models.len() == size.models
    };
    while !knows() && begin.elapsed() < LEARN {
        thread::sleep(Duration::from_millis(50));
    }
    // What it takes in only while learning is given back before memory is read.
    thread::sleep(Duration::from_secs(2));
    Ok(())
}

/// What one daemon cost while it was watched.
struct Cost {
    cpu: f64,
    reads: f64,
    writes: f64,
    received: f64,
    sent: f64,
}

impl Cost {
    fn values(&self) -> Vec<(&'static str, f64)> {
        vec![
            ("cpu_percent", self.cpu * 100.0),
            ("reads_per_s", self.reads),
            ("writes_per_s", self.writes),
            ("received_bytes_per_s", self.received),
            ("sent_bytes_per_s", self.sent),
        ]
    }
}

/// Watches the daemons for some seconds, doing something in each.
fn watch(
    testbed: &Testbed,
    seconds: u64,
    mut each: impl FnMut(u64) -> Result<(), ExperimentError>,
) -> Result<Cost, ExperimentError> {
    let before = sums(testbed);
    let busy = resource_usage::cpu_seconds(DAEMON_THREADS);
    let begin = Instant::now();
    for second in 0..seconds {
        each(second)?;
        let due = begin + Duration::from_secs(second + 1);
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    let share = 1.0 / (begin.elapsed().as_secs_f64() * testbed.daemons.len() as f64);
    let after = sums(testbed);
    let per = |n: usize| (after[n] - before[n]) as f64 * share;
    Ok(Cost {
        cpu: (resource_usage::cpu_seconds(DAEMON_THREADS) - busy) * share,
        reads: per(0),
        writes: per(1),
        received: per(2),
        sent: per(3),
    })
}

/// Reads, writes, bytes received and bytes sent of all daemons.
fn sums(testbed: &Testbed) -> [u64; 4] {
    let mut sums = [0; 4];
    for daemon in &testbed.daemons {
        let traffic: &TrafficCounters = daemon.node().shared.table.traffic();
        let parts = [&traffic.reads, &traffic.commits, &traffic.received, &traffic.sent];
        for (sum, part) in sums.iter_mut().zip(parts) {
            *sum += part.load(Ordering::Relaxed);
        }
    }
    sums
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
