//! What the knowledge of a large system costs a daemon.

use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use chestnut_plat::table::TrafficCounters;
use serde_json::{Value, json};

use super::Point;
use super::rows::{self, MODEL_BYTES, RUNNER_BYTES, Size};
use super::world::{World, WorldError};
use crate::cost::{self, DAEMON_THREADS};

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
pub fn run(seconds: u64) -> Result<Vec<Point>, WorldError> {
    RUNNERS.iter().map(|&runners| measure_size(runners, seconds)).collect()
}

/// Measures processor time and traffic as more rows change.
pub fn run_changes(seconds: u64) -> Result<Vec<Point>, WorldError> {
    let size = Size::of(CHANGED_RUNNERS);
    let mut world = filled(size)?;
    let _leases = keep_leases(&world, size);
    for _ in 0..WATCHED {
        start(&mut world, size)?;
    }
    let mut points = Vec::new();
    let mut next = 0;
    for rate in RATES {
        let cost = watch(&world, seconds, |_| {
            world.outside.block_on(rows::change(&world.table, size, next, rate))?;
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

fn measure_size(runners: usize, seconds: u64) -> Result<Point, WorldError> {
    let size = Size::of(runners);
    let mut world = filled(size)?;
    let _leases = keep_leases(&world, size);
    // The first daemon also warms up what they share in this process.
    start(&mut world, size)?;
    let (memory, busy) = (cost::resident(), cost::processor(DAEMON_THREADS));
    for _ in 1..WATCHED {
        start(&mut world, size)?;
    }
    let others = (WATCHED - 1) as f64;
    let memory = (cost::resident() - memory) / others;
    let start = (cost::processor(DAEMON_THREADS) - busy) / others;
    let cost = watch(&world, seconds, |_| Ok(()))?;
    let mut values = vec![("memory_mb", memory / 1e6), ("start_cpu_s", start)];
    values.extend(cost.values());
    Ok(Point { experiment: "state", unit: "runner", size: runners as f64, values })
}

fn filled(size: Size) -> Result<World, WorldError> {
    let world = World::new(json!({
        "lease_ms": 20_000, "renewal_ms": 6_000, "poll_ms": 500, "stale_ms": 60_000,
        "platform_ms": 20_000,
    }))?;
    world.outside.block_on(rows::fill(&world.table, size))?;
    Ok(world)
}

/// Renews leases until the returned sender is dropped.
fn keep_leases(world: &World, size: Size) -> mpsc::Sender<()> {
    let (alive, gone) = mpsc::channel();
    let (table, handle) = (world.table.clone(), world.outside.handle().clone());
    thread::spawn(move || {
        while gone.recv_timeout(RENEWAL) == Err(mpsc::RecvTimeoutError::Timeout) {
            if let Err(error) = handle.block_on(rows::renew(&table, size)) {
                eprintln!("leases were not renewed: {error}");
            }
        }
    });
    alive
}

/// Starts a daemon and waits until it knows the whole system.
fn start(world: &mut World, size: Size) -> Result<(), WorldError> {
    world.start_daemon()?;
    if world.daemons.len() == 1 {
        world.declare(&declarations(size))?;
    }
    let begin = Instant::now();
    let shared = world.daemons.last().expect("one was started").node().shared.clone();
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
    world: &World,
    seconds: u64,
    mut each: impl FnMut(u64) -> Result<(), WorldError>,
) -> Result<Cost, WorldError> {
    let before = sums(world);
    let busy = cost::processor(DAEMON_THREADS);
    let begin = Instant::now();
    for second in 0..seconds {
        each(second)?;
        let due = begin + Duration::from_secs(second + 1);
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    let share = 1.0 / (begin.elapsed().as_secs_f64() * world.daemons.len() as f64);
    let after = sums(world);
    let per = |n: usize| (after[n] - before[n]) as f64 * share;
    Ok(Cost {
        cpu: (cost::processor(DAEMON_THREADS) - busy) * share,
        reads: per(0),
        writes: per(1),
        received: per(2),
        sent: per(3),
    })
}

/// Reads, writes, bytes received and bytes sent of all daemons.
fn sums(world: &World) -> [u64; 4] {
    let mut sums = [0; 4];
    for daemon in &world.daemons {
        let traffic: &TrafficCounters = daemon.node().shared.table.traffic();
        let parts = [&traffic.reads, &traffic.commits, &traffic.received, &traffic.sent];
        for (sum, part) in sums.iter_mut().zip(parts) {
            *sum += part.load(Ordering::Relaxed);
        }
    }
    sums
}

fn declarations(size: Size) -> Value {
    let models: serde_json::Map<String, Value> = (0..size.models)
        .map(|n| {
            let model = json!({
                "pool": "main", "version": rows::version().as_str(),
                "bytes": MODEL_BYTES, "cold_ms": 30_000,
            });
            (rows::model(n).to_string(), model)
        })
        .collect();
    let routes: serde_json::Map<String, Value> = (0..size.models)
        .map(|n| (format!("route-{n}"), json!({ "model": rows::model(n).as_str() })))
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
