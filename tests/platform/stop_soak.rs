//! Randomized soak test of planned stops.
//!
//! Callers keep more streams in progress than the runners have slots, so that many wait and
//! some are stopped for others, and go on using a daemon until its process is gone. Daemons are
//! stopped in overlapping series, and nothing else fails. `SOAK_SEEDS=FROM..TO` runs other seeds
//! than the listed ones, and `SOAK_DAEMONS` sets the number of daemons.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use chestnut_platform_stand_in::{Caller, CallerRequest, CallerResponse};
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use serde_json::Value;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::cluster::{Cluster, Setup, wait_until};
use crate::contention::{check_answered_once, wait_for_holders, wait_for_share};
use crate::soak::{selected_seeds, soak_daemons};

/// Seeds that always run.
const SEEDS: [u64; 2] = [1, 2];

/// How long daemons are stopped for.
const PERIOD: Duration = Duration::from_secs(14);

/// The callers, each with one request at a time; the runners have 12 slots.
const CALLERS: u64 = 30;

/// The daemons that are never stopped at the same time as the others.
const SPARED: usize = 2;

/// Guards against requests that are read by a daemon which is stopped and get no answer, and
/// against streams that it does not complete, whatever is stopped when.
#[tokio::test]
async fn planned_stops_cut_off_nothing() {
    for seed in selected_seeds(&SEEDS) {
        eprintln!("seed {seed}");
        let setup = Setup {
            contended_slots: Some(4),
            retry_slack: Some(200.0),
            ..Setup::contended(soak_daemons(5))
        };
        let cluster = Cluster::start_with(&format!("stops{seed}"), setup).await;
        wait_for_holders(&cluster).await;
        wait_for_share(&cluster, 0).await;
        run(seed, cluster).await;
    }
}

async fn run(seed: u64, mut cluster: Cluster) {
    let stop = Arc::new(AtomicBool::new(false));
    let addrs: Vec<SocketAddr> =
        cluster.daemons.iter().map(|daemon| daemon.caller_addr).collect();
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        let rng = SmallRng::seed_from_u64(seed * 100 + number);
        let caller = cluster.caller.clone();
        callers.spawn(send_requests(caller, addrs.clone(), rng, stop.clone()));
    }
    let stops = stop_daemons(&mut cluster, SmallRng::seed_from_u64(seed)).await;
    stop.store(true, Ordering::Relaxed);
    let exchanges = callers.join_all().await.into_iter().flatten();
    wait_until("the stopped daemons have exited", async || {
        cluster.daemons.iter_mut().all(|daemon| match daemon.exit_status() {
            Some(_) => true,
            None => daemon.lines("leaving").len() == daemon.lines("left").len(),
        })
    })
    .await;
    check(&cluster, exchanges.collect(), stops);
}

/// Sends one request after another, to the same daemon until its process is gone.
async fn send_requests(
    caller: Caller,
    addrs: Vec<SocketAddr>,
    mut rng: SmallRng,
    stop: Arc<AtomicBool>,
) -> Vec<(CallerRequest, CallerResponse)> {
    let (mut exchanges, mut kept) = (Vec::new(), None);
    while !stop.load(Ordering::Relaxed) {
        let addr =
            kept.unwrap_or_else(|| *addrs.choose(&mut rng).expect("there are daemons"));
        let request = random_request(&mut rng);
        let response = caller.send(addr, &request).await;
        kept = (response.status != 0).then_some(addr);
        let delay = response.retry_after.unwrap_or(0.0).min(0.2);
        exchanges.push((request, response));
        sleep(Duration::from_secs_f64(delay) + Duration::from_millis(20)).await;
    }
    exchanges
}

fn random_request(rng: &mut SmallRng) -> CallerRequest {
    let model = ["red", "blue"].choose(rng).expect("there are models");
    let budget = Duration::from_secs(14);
    match rng.random_range(0..10) {
        0 | 1 => CallerRequest::plain("lookup"),
        2..=5 => {
            let events = rng.random_range(3..30);
            CallerRequest { budget, ..CallerRequest::stream("draft", model, events) }
        }
        _ => {
            let events = rng.random_range(20..70);
            CallerRequest { budget, ..CallerRequest::stream("summary", model, events) }
        }
    }
}

/// Stops daemons in overlapping series and starts them again; returns how many were stopped.
async fn stop_daemons(cluster: &mut Cluster, mut rng: SmallRng) -> usize {
    let (end, mut stops) = (Instant::now() + PERIOD, 0);
    let mut stopped: HashSet<usize> = HashSet::new();
    while Instant::now() < end {
        let daemons = cluster.daemons.len();
        let running = (0..daemons).filter(|daemon| !stopped.contains(daemon));
        if stopped.len() + SPARED < daemons
            && let Some(daemon) = running.choose(&mut rng)
        {
            cluster.daemons[daemon].signal(Signal::TERM);
            stopped.insert(daemon);
            stops += 1;
        }
        sleep(Duration::from_millis(rng.random_range(20..1500))).await;
        for (number, daemon) in cluster.daemons.iter_mut().enumerate() {
            if daemon.exit_status().is_some() {
                daemon.restart();
                stopped.remove(&number);
            }
        }
    }
    stops
}

/// Checks that each request that a daemon has read was answered, and that each stream that began
/// was completed.
fn check(
    cluster: &Cluster,
    exchanges: Vec<(CallerRequest, CallerResponse)>,
    stops: usize,
) {
    let lines: Vec<Value> =
        cluster.daemons.iter().flat_map(|daemon| daemon.all_lines()).collect();
    let read: HashSet<&str> =
        lines.iter().filter_map(|line| line["id"].as_str()).collect();
    // The operators' bound on retries holds at a stop, too.
    let without_retry: HashSet<&str> = lines
        .iter()
        .filter(|line| line["msg"] == "retry decided" && line["granted"] == false)
        .filter_map(|line| line["id"].as_str())
        .collect();
    let count =
        |message: &str| lines.iter().filter(|line| line["msg"] == message).count();
    let (mut lost, mut complete) = (Vec::new(), 0);
    for (request, response) in &exchanges {
        complete += usize::from(response.complete);
        match response.status {
            0 if read.contains(&*response.id) => lost.push(response),
            200 if !response.complete && !without_retry.contains(&*response.id) => {
                lost.push(response);
            }
            200 if response.complete && request.model.is_some() => {
                check_answered_once(cluster, request, response);
            }
            429 | 503 => assert_eq!(cluster.runs(response), 0, "{response:?}"),
            _ => {}
        }
    }
    eprintln!(
        "{stops} stops, {complete} of {} requests complete, {} streams stopped, {} resumed \
            before an exit, {} admissions ended, {} lost",
        exchanges.len(),
        count("stream yields"),
        count("resume before the exit"),
        count("admission ended"),
        lost.len(),
    );
    assert!(stops > 0 && complete > 0);
    assert!(lost.is_empty(), "{lost:#?}");
}
