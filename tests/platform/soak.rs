//! Randomized soak test: real daemons under overlapping series of injected faults.
//!
//! While callers send streams and plain requests, daemons are suspended, killed, stopped
//! and restarted, and the store, the runners and the servers fail; in a second variant,
//! connections are delayed, blocked and reset too; in a third, more daemons fail together
//! while servers reject most requests; in a fourth, daemons are cut off from servers, and a
//! part of prompts crashes runners; in a fifth, streams of mixed objectives contend for few
//! slots, with all `policy` settings on; in a sixth, runners change their software versions and
//! callers resume their streams; in a seventh, servers ask daemons for rest and announce their
//! shutdown; in an eighth, servers answer calls twice. Responses, runs and arrivals are checked
//! against the guarantees to callers and the operators' bounds. `SOAK_SEEDS=FROM..TO` runs
//! other seeds than the listed ones, and `SOAK_DAEMONS` sets the number of daemons of the last
//! six variants.

use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::ops::Range;
use std::os::unix::process::ExitStatusExt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use chestnut_platform_stand_in::{
    Arrival, CRASHING_PART, Caller, CallerRequest, CallerResponse, PlainServer, Runner,
    RunnerFault, ServerFault, StoreFault, daemon_ip,
};
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use serde_json::Value;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::cluster::{Cluster, Setup, wait_until};
use crate::proxy::{CutKind, Proxy, ProxyFault};
use crate::repeats::{Call, Moment, Repeat};
use crate::retry_bound;

/// Seeds that always run.
///
/// In 13 a daemon receives SIGHUP before it has installed its signal handlers, and is
/// ended by it. In 616 the row of a daemon that has just been suspended is removed while
/// the store discards its history; the daemon continued without a row and removed
/// those of the others.
const SEEDS: [u64; 4] = [1, 2, 13, 616];

/// Seeds that always run with connection faults.
const PROXY_SEEDS: [u64; 2] = [1, 2];

/// Seeds that always run with series of faults.
///
/// In all of them daemons retried more than the operators allow, after others were suspended or
/// killed.
const SERIES_SEEDS: [u64; 4] = [2, 6, 7, 12];

/// Seeds that always run with daemons that are cut off from servers.
const CUT_SEEDS: [u64; 2] = [1, 2];

/// Seeds that always run with streams that contend for slots.
const CONTENTION_SEEDS: [u64; 2] = [1, 2];

/// Seeds that always run with runners of several software versions.
const VERSION_SEEDS: [u64; 2] = [1, 2];

/// Seeds that always run with servers that ask for rest.
const REST_SEEDS: [u64; 2] = [1, 2];

/// Seeds that always run with servers that answer twice.
const REPEAT_SEEDS: [u64; 1] = [1];

/// The requests that a daemon may send to a server in a rest.
const MAX_DISTURBANCES: u32 = 2;

/// Period in which faults are injected.
const FAULT_PERIOD: Duration = Duration::from_secs(8);

/// Number of concurrent callers.
const CALLER_COUNT: usize = 6;

/// Number of daemons that series of faults hit.
const SERIES_DAEMONS: usize = 6;

/// How often a caller tries to resume a stream.
const MAX_RESUMES: usize = 4;

/// The most servers on which a request of the declared routes may run.
const MAX_RUNS: usize = 2;

/// How much longer than its caller waits the time left for a request may seem.
const BUDGET_TOLERANCE: Duration = Duration::from_millis(500);

/// Unsigned responses with these statuses state that the request has not run and never
/// will.
pub const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// A request and its response.
struct Exchange {
    request: CallerRequest,
    response: CallerResponse,
    /// The stream that it resumes; empty if it resumes none.
    earlier: EarlierPart,
}

/// What a caller has of a stream.
#[derive(Debug, Clone, Default)]
struct EarlierPart {
    /// The number of events.
    events: u64,
    /// The software versions that wrote them.
    versions: Vec<String>,
}

/// Action that ends a fault; indices are those of the cluster's parts.
#[derive(Debug)]
enum Recovery {
    Resume(usize),
    Restart(usize),
    Store,
    Runner(usize),
    Service(usize),
    Proxy(ProxyTarget),
    Cuts,
    Departure(usize),
}

impl Recovery {
    /// Whether the fault that it ends suspends or stops this daemon.
    fn disturbs(&self, daemon: usize) -> bool {
        matches!(self, Self::Resume(at) | Self::Restart(at) if *at == daemon)
    }
}

/// The faults of a run, and the traffic that they meet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Faults {
    /// Faults of single daemons and servers, and of connections if these pass through
    /// proxies.
    Single,
    /// Faults of several daemons at once as well, and of all servers of a service. There are
    /// few requests, so that the retry bound's slack outweighs its ratio.
    Series,
    /// Like `Single`, and mostly daemons that are cut off from servers. Some requests have a
    /// part in their prompts that crashes runners.
    Cuts,
    /// Like `Single`, some of them daemons that are cut off from servers. More callers than
    /// slots send streams of mixed objectives.
    Contention,
    /// Like `Single`, and runners that crash and return with other software versions. Callers
    /// resume interrupted streams at any daemon.
    Versions,
    /// Servers that reject requests and ask for rest, or announce their shutdown, and faults of
    /// servers and the store. Daemons are not disturbed: one that restarts knows of no rest.
    Rests,
    /// Like `Single`, some of them daemons that are cut off from servers. Servers answer some calls
    /// twice.
    Repeats,
}

impl Faults {
    /// How long the cluster runs before the first fault.
    fn settling_time(self) -> Duration {
        match self {
            Self::Single
            | Self::Cuts
            | Self::Contention
            | Self::Versions
            | Self::Rests
            | Self::Repeats => Duration::ZERO,
            Self::Series => 2 * retry_bound::WINDOW,
        }
    }

    /// The period in which faults are injected.
    fn period(self) -> Duration {
        match self {
            Self::Single
            | Self::Cuts
            | Self::Contention
            | Self::Versions
            | Self::Rests
            | Self::Repeats => FAULT_PERIOD,
            Self::Series => 2 * FAULT_PERIOD,
        }
    }

    /// The number of concurrent callers.
    fn callers(self, daemons: usize) -> usize {
        match self {
            Self::Single | Self::Cuts => CALLER_COUNT,
            Self::Contention | Self::Versions | Self::Rests | Self::Repeats => {
                3 * CALLER_COUNT
            }
            Self::Series => daemons * 4,
        }
    }

    /// The longest pause of a caller between two requests.
    fn max_pause_ms(self) -> u64 {
        match self {
            Self::Single
            | Self::Cuts
            | Self::Contention
            | Self::Versions
            | Self::Rests
            | Self::Repeats => 60,
            Self::Series => 1000,
        }
    }

    /// The shortest and the longest time between two faults.
    fn interval_ms(self) -> Range<u64> {
        match self {
            Self::Single
            | Self::Cuts
            | Self::Contention
            | Self::Versions
            | Self::Rests
            | Self::Repeats => 50..500,
            Self::Series => 500..2500,
        }
    }

    /// The share of cuts in the faults.
    fn cut_share(self) -> f64 {
        match self {
            Self::Single | Self::Series | Self::Versions | Self::Rests => 0.0,
            Self::Cuts => 0.5,
            Self::Contention | Self::Repeats => 0.15,
        }
    }

    /// The longest duration of a fault.
    fn max_duration_ms(self) -> u64 {
        match self {
            Self::Single
            | Self::Cuts
            | Self::Contention
            | Self::Versions
            | Self::Rests
            | Self::Repeats => 2500,
            Self::Series => 6000,
        }
    }
}

/// The part of a cluster whose connections pass through a proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProxyTarget {
    Callers(usize),
    Store(usize),
    Runner(usize),
    Service(usize),
}

#[tokio::test]
async fn guarantees_hold_under_random_faults() {
    // Callers may see refusals, failures and streams that end early. They never see
    // another caller's response, a partial response as a complete one, or "not run" for a
    // request that ran. No request that may run once runs twice, no runner is ordered to
    // hold more than its memory, and after all faults every daemon serves again.
    for seed in selected_seeds(&SEEDS) {
        eprintln!("seed {seed}");
        let cluster = Cluster::start(&format!("soak{seed}"), 3).await;
        run_soak(seed, cluster, Faults::Single).await;
    }
}

#[tokio::test]
async fn guarantees_hold_under_connection_faults() {
    // The same with connections between callers, daemons, servers and the store delayed,
    // reset, or blocked in one or both directions. Blocked bytes arrive late: requests
    // and orders that timed out long ago still reach their servers, and what was reported
    // about them must stay true.
    for seed in selected_seeds(&PROXY_SEEDS) {
        eprintln!("seed {seed}");
        let cluster = Cluster::start_with_proxies(&format!("links{seed}"), 3).await;
        run_soak(seed, cluster, Faults::Single).await;
    }
}

/// Guards against all that the other variants check, while daemons lose their paths to servers,
/// requests go through other daemons that fail too, and runners crash because of a part of prompts.
#[tokio::test]
async fn guarantees_hold_while_daemons_are_cut_off_from_servers() {
    for seed in selected_seeds(&CUT_SEEDS) {
        eprintln!("seed {seed}");
        let daemons = soak_daemons(3);
        let cluster = Cluster::start_with_proxies(&format!("cuts{seed}"), daemons).await;
        run_soak(seed, cluster, Faults::Cuts).await;
    }
}

/// Guards against retries beyond the operators' bound, and against all that the other variants
/// check, while daemons fail in series and servers reject most requests.
#[tokio::test]
async fn guarantees_hold_under_series_of_faults() {
    let daemons = soak_daemons(SERIES_DAEMONS);
    for seed in selected_seeds(&SERIES_SEEDS) {
        eprintln!("seed {seed}");
        let cluster = Cluster::start(&format!("series{seed}"), daemons).await;
        run_soak(seed, cluster, Faults::Series).await;
    }
}

/// Guards against all that the other variants check, while streams are stopped and resumed,
/// requests wait in the queues of several runners, and others are refused early.
#[tokio::test]
async fn guarantees_hold_while_streams_contend_for_slots() {
    for seed in selected_seeds(&CONTENTION_SEEDS) {
        eprintln!("seed {seed}");
        let setup = Setup { with_proxies: true, ..Setup::contended(soak_daemons(3)) };
        let cluster = Cluster::start_with(&format!("slots{seed}"), setup).await;
        run_soak(seed, cluster, Faults::Contention).await;
    }
}

/// Guards against streams that go on at another software version, and against all that the other
/// variants check, while runners change their versions and callers resume streams at any daemon.
#[tokio::test]
async fn guarantees_hold_while_runners_change_their_software() {
    for seed in selected_seeds(&VERSION_SEEDS) {
        eprintln!("seed {seed}");
        let daemons = soak_daemons(3);
        let mut cluster =
            Cluster::start_with_proxies(&format!("versions{seed}"), daemons).await;
        cluster.add_runner_with_proxy("r4", "v2").await;
        cluster.add_runner_with_proxy("r5", "v2").await;
        run_soak(seed, cluster, Faults::Versions).await;
    }
}

/// Guards against requests that disturb servers in their rests or reach those that have announced
/// their shutdown, and against all that the other variants check.
#[tokio::test]
async fn guarantees_hold_while_servers_ask_for_rest() {
    for seed in selected_seeds(&REST_SEEDS) {
        eprintln!("seed {seed}");
        let daemons = soak_daemons(3);
        let cluster = Cluster::start(&format!("rests{seed}"), daemons).await;
        run_soak(seed, cluster, Faults::Rests).await;
    }
}

/// Guards against a response that reaches the caller of another request, or counts as that to
/// another attempt, order or report, and against all that the other variants check.
#[tokio::test]
async fn guarantees_hold_while_servers_answer_twice() {
    for seed in selected_seeds(&REPEAT_SEEDS) {
        eprintln!("seed {seed}");
        let daemons = soak_daemons(3);
        let cluster =
            Cluster::start_with_proxies(&format!("repeats{seed}"), daemons).await;
        run_soak(seed, cluster, Faults::Repeats).await;
    }
}

/// The number of daemons, which `SOAK_DAEMONS` overrides.
pub fn soak_daemons(default: usize) -> usize {
    let daemons = std::env::var("SOAK_DAEMONS").ok();
    let daemons = daemons.map(|text| text.parse().expect("SOAK_DAEMONS is a number"));
    daemons.unwrap_or(default)
}

pub fn selected_seeds(defaults: &[u64]) -> Vec<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return defaults.to_vec() };
    let (from, to) = text.split_once("..").expect("SOAK_SEEDS is FROM..TO");
    let number = |text: &str| text.parse::<u64>().expect("a number");
    (number(from)..number(to)).collect()
}

async fn run_soak(seed: u64, mut cluster: Cluster, faults: Faults) {
    sleep(faults.settling_time()).await;
    let exchanges: Arc<Mutex<Vec<Exchange>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for number in 0..faults.callers(cluster.daemons.len()) as u64 {
        let rng = SmallRng::seed_from_u64(seed * 100 + number);
        let addresses = caller_addresses(&cluster);
        let (caller, exchanges, stop) =
            (cluster.caller.clone(), exchanges.clone(), stop.clone());
        callers.spawn(send_requests(caller, addresses, rng, faults, exchanges, stop));
    }
    inject_faults(&mut cluster, SmallRng::seed_from_u64(seed), faults).await;
    if faults == Faults::Repeats {
        repeat_each_response(&cluster).await;
    }
    stop.store(true, Ordering::Relaxed);
    while callers.join_next().await.is_some() {}
    cluster.wait_until_ready().await;
    wait_until("all daemons serve again", async || {
        let mut all_served = true;
        for daemon in 0..cluster.daemons.len() {
            for model in ["red", "blue"] {
                all_served &= cluster
                    .send(daemon, &CallerRequest::stream("demand", model, 3))
                    .await
                    .complete;
            }
            all_served &=
                cluster.send(daemon, &CallerRequest::plain("record")).await.status == 200;
        }
        all_served
    })
    .await;
    if faults == Faults::Contention {
        report_actions(&cluster);
    }
    check_guarantees(&cluster, &exchanges.lock().expect("no holder of the lock panics"));
}

/// Addresses that callers connect to.
fn caller_addresses(cluster: &Cluster) -> Vec<SocketAddr> {
    match cluster.proxies.callers.is_empty() {
        true => cluster.daemons.iter().map(|daemon| daemon.caller_addr).collect(),
        false => cluster.proxies.callers.iter().map(|proxy| proxy.addr).collect(),
    }
}

/// Sends one request after another, each to a random daemon; in series of faults, to the same
/// one until that fails.
async fn send_requests(
    caller: Caller,
    addresses: Vec<SocketAddr>,
    mut rng: SmallRng,
    faults: Faults,
    exchanges: Arc<Mutex<Vec<Exchange>>>,
    stop: Arc<AtomicBool>,
) {
    let mut kept: Option<SocketAddr> = None;
    while !stop.load(Ordering::Relaxed) {
        let addr = kept
            .unwrap_or_else(|| *addresses.choose(&mut rng).expect("there are daemons"));
        let mut request = random_request(&mut rng);
        if faults == Faults::Cuts && request.model.is_some() && rng.random_bool(0.03) {
            request.prompt_parts = format!("a1:100,{CRASHING_PART}:50,c3:250");
        }
        request.budget = Duration::from_millis(rng.random_range(500..4000));
        if faults == Faults::Contention && rng.random_bool(0.3) {
            request = random_summary(&mut rng);
        }
        if faults == Faults::Versions && rng.random_bool(0.6) {
            request = CallerRequest::stream("demand", "red", rng.random_range(20..60));
            request.budget = Duration::from_secs(8);
        }
        let response = caller.send(addr, &request).await;
        if faults == Faults::Versions && request.route == "demand" {
            let first = (request.clone(), response.clone());
            resume_stream(&caller, &addresses, &mut rng, first, &exchanges).await;
        }
        kept = (faults == Faults::Series && response.status != 0).then_some(addr);
        exchanges.lock().expect("no holder of the lock panics").push(Exchange {
            request,
            response,
            earlier: EarlierPart::default(),
        });
        sleep(Duration::from_millis(rng.random_range(0..faults.max_pause_ms()))).await;
    }
}

/// Resumes an interrupted stream at random daemons, as long as parts of it are missing.
async fn resume_stream(
    caller: &Caller,
    addresses: &[SocketAddr],
    rng: &mut SmallRng,
    (request, first): (CallerRequest, CallerResponse),
    exchanges: &Mutex<Vec<Exchange>>,
) {
    let mut earlier = EarlierPart {
        events: first.events.len() as u64,
        versions: first.versions.clone(),
    };
    for _ in 0..MAX_RESUMES {
        let is_missing = earlier.events < u64::from(request.event_count);
        if earlier.events == 0 || !is_missing {
            return;
        }
        let addr = *addresses.choose(rng).expect("there are daemons");
        let mut request = request.clone();
        request.headers = vec![
            ("last-event-id".to_owned(), earlier.events.to_string()),
            ("resumes".to_owned(), first.id.clone()),
        ];
        let response = caller.send(addr, &request).await;
        let delay = response.retry_after.unwrap_or(0.1).min(1.0);
        let mut later = earlier.clone();
        later.events += response.events.len() as u64;
        later.versions.extend(response.versions.clone());
        later.versions.dedup();
        exchanges.lock().expect("no holder of the lock panics").push(Exchange {
            request,
            response,
            earlier,
        });
        earlier = later;
        sleep(Duration::from_secs_f64(delay)).await;
    }
}

fn random_request(rng: &mut SmallRng) -> CallerRequest {
    let models = ["red", "red/a1", "red/a2", "red/a5", "blue"];
    let model = models.choose(rng).expect("there are models");
    let events = rng.random_range(1..40);
    match rng.random_range(0..4) {
        0 => CallerRequest::plain("record"),
        1 => CallerRequest::plain("lookup"),
        2 => CallerRequest::stream("draft", model, events),
        _ => CallerRequest::stream("demand", model, events),
    }
}

/// A latency-tolerant stream with the time to be stopped and resumed.
fn random_summary(rng: &mut SmallRng) -> CallerRequest {
    let model = ["red", "blue"].choose(rng).expect("there are models");
    let mut request = CallerRequest::stream("summary", model, rng.random_range(30..150));
    request.budget = Duration::from_secs(rng.random_range(5..9));
    request
}

/// Injects faults in overlapping series until the fault period ends, then ends them all.
async fn inject_faults(cluster: &mut Cluster, mut rng: SmallRng, faults: Faults) {
    let end = Instant::now() + faults.period();
    let mut recoveries: Vec<(Instant, Recovery)> = Vec::new();
    if faults == Faults::Series {
        reject_at_all(&cluster.runners, &cluster.services);
    }
    while Instant::now() < end {
        let duration =
            Duration::from_millis(rng.random_range(100..faults.max_duration_ms()));
        let injected = match faults {
            Faults::Series if rng.random_bool(0.8) => {
                inject_series(cluster, &mut rng, &recoveries)
            }
            Faults::Repeats if rng.random_bool(0.3) => {
                repeat_responses(cluster, &mut rng);
                Vec::new()
            }
            Faults::Cuts | Faults::Contention | Faults::Repeats
                if rng.random_bool(faults.cut_share()) =>
            {
                cut_off_daemons(cluster, &mut rng);
                vec![Recovery::Cuts]
            }
            Faults::Rests if rng.random_bool(0.5) => {
                vec![ask_for_rest(cluster, &mut rng)]
            }
            Faults::Versions if rng.random_bool(0.2) => {
                change_software(cluster, &mut rng);
                Vec::new()
            }
            _ => {
                let may_disturb = faults != Faults::Rests;
                let injected = inject_fault(cluster, &mut rng, &recoveries, may_disturb);
                injected.into_iter().collect()
            }
        };
        for recovery in injected {
            eprintln!("fault injected, ends after {duration:?} by {recovery:?}");
            recoveries.push((Instant::now() + duration, recovery));
        }
        sleep(Duration::from_millis(rng.random_range(faults.interval_ms()))).await;
        let now = Instant::now();
        for (_, due) in recoveries.extract_if(.., |(at, _)| *at <= now) {
            recover(cluster, due).await;
        }
        restart_exited(cluster, &recoveries);
    }
    for (_, remaining) in recoveries {
        recover(cluster, remaining).await;
    }
    restart_exited(cluster, &[]);
    cluster.proxies.servers().for_each(|proxy| proxy.set_repeat(None));
    cluster.runners.iter().for_each(|runner| runner.set_fault(RunnerFault::None));
    cluster.services.iter().for_each(|service| service.set_fault(ServerFault::None));
}

/// Restarts daemons that exited by themselves, as the platform does.
fn restart_exited(cluster: &mut Cluster, recoveries: &[(Instant, Recovery)]) {
    for (number, daemon) in cluster.daemons.iter_mut().enumerate() {
        let awaits_restart = |(_, recovery): &(_, Recovery)| matches!(recovery, Recovery::Restart(at) if *at == number);
        if recoveries.iter().any(awaits_restart) {
            continue;
        }
        if let Some(status) = daemon.exit_status() {
            // SIGHUP may arrive before the process handles signals.
            eprintln!("daemon {number} exited: {status}");
            let signal = status.signal();
            assert_eq!(
                signal,
                Some(Signal::HUP.as_raw()),
                "daemon {number} exited: {status}"
            );
            daemon.restart();
        }
    }
}

/// Injects the same fault into several daemons that are undisturbed, or into all servers of a
/// service.
fn inject_series(
    cluster: &mut Cluster,
    rng: &mut SmallRng,
    recoveries: &[(Instant, Recovery)],
) -> Vec<Recovery> {
    let draw = rng.random_range(0..6);
    let count = rng.random_range(1..=cluster.daemons.len());
    let is_undisturbed = |daemon: &usize| {
        recoveries.iter().all(|(_, recovery)| !recovery.disturbs(*daemon))
    };
    let mut daemons: Vec<usize> =
        (0..cluster.daemons.len()).filter(is_undisturbed).collect();
    daemons.shuffle(rng);
    daemons.truncate(count);
    match draw {
        0 | 1 => {
            daemons.iter().for_each(|daemon| cluster.daemons[*daemon].kill());
            daemons.into_iter().map(Recovery::Restart).collect()
        }
        2 => {
            let signal = |daemon: &usize| cluster.daemons[*daemon].signal(Signal::STOP);
            daemons.iter().for_each(signal);
            daemons.into_iter().map(Recovery::Resume).collect()
        }
        3 => {
            let signal = |daemon: &usize| cluster.daemons[*daemon].signal(Signal::TERM);
            daemons.iter().for_each(signal);
            daemons.into_iter().map(Recovery::Restart).collect()
        }
        _ => {
            reject_at_all(&cluster.runners, &cluster.services);
            Vec::new()
        }
    }
}

/// Cuts some daemons off from all servers, or from some.
fn cut_off_daemons(cluster: &Cluster, rng: &mut SmallRng) {
    let count = rng.random_range(1..=cluster.daemons.len());
    let mut daemons: Vec<usize> = (0..cluster.daemons.len()).collect();
    daemons.shuffle(rng);
    let ips = daemons[..count].iter().map(|number| IpAddr::from(daemon_ip(*number)));
    let ips: Vec<IpAddr> = ips.collect();
    let kinds = [CutKind::Silent, CutKind::Reset, CutKind::NewConnections];
    let kind = *kinds.choose(rng).expect("there are kinds");
    let share = [1.0, 0.5].choose(rng).copied().unwrap_or(1.0);
    eprintln!("{ips:?} cut off from {share} of the servers: {kind:?}");
    for proxy in cluster.proxies.servers() {
        match rng.random_bool(share) {
            true => proxy.cut_off(&ips, kind),
            false => proxy.end_cut(),
        }
    }
}

/// Has most servers answer some calls twice.
fn repeat_responses(cluster: &Cluster, rng: &mut SmallRng) {
    for (number, proxy) in cluster.proxies.servers().enumerate() {
        let repeat = rng.random_bool(0.8).then(|| random_repeat(rng));
        eprintln!("server {number} answers twice: {repeat:?}");
        proxy.set_repeat(repeat);
    }
}

/// Has all servers answer each request twice, until a copy was sent: the random choices before
/// may leave no response that is sent twice.
async fn repeat_each_response(cluster: &Cluster) {
    let copies = || cluster.proxies.servers().map(Proxy::copies).sum::<usize>();
    let earlier = copies();
    let repeat = Repeat {
        of: &[Call::Request],
        one_in: 1,
        moment: Moment::Idle(Duration::ZERO),
        has_id: true,
    };
    cluster.proxies.servers().for_each(|proxy| proxy.set_repeat(Some(repeat)));
    wait_until("a server answers twice", async || copies() > earlier).await;
    cluster.proxies.servers().for_each(|proxy| proxy.set_repeat(None));
    eprintln!("{} copies of responses, {earlier} at random", copies());
}

fn random_repeat(rng: &mut SmallRng) -> Repeat {
    let calls: [&[Call]; 4] =
        [Call::ALL, Call::OWN, &[Call::Request], &[Call::Rejection]];
    let idle = Duration::from_millis(rng.random_range(0..10));
    let moments =
        [Moment::Before(Call::ALL), Moment::Before(Call::OWN), Moment::Idle(idle)];
    Repeat {
        of: calls.choose(rng).expect("there are calls"),
        one_in: rng.random_range(1..5),
        moment: *moments.choose(rng).expect("there are moments"),
        has_id: rng.random(),
    }
}

/// Has a server reject requests and ask for rest, or a runner announce its shutdown.
fn ask_for_rest(cluster: &Cluster, rng: &mut SmallRng) -> Recovery {
    let rest = ["0.8", "2", "3"].choose(rng).copied();
    if rng.random_bool(0.3) {
        let service = rng.random_range(0..cluster.services.len());
        cluster.services[service].set_retry_after(rest);
        cluster.services[service].set_fault(ServerFault::Rejecting);
        return Recovery::Service(service);
    }
    let runner = rng.random_range(0..cluster.runners.len());
    if rng.random_bool(0.25) {
        cluster.runners[runner].announce_leaving();
        return Recovery::Departure(runner);
    }
    cluster.runners[runner].set_retry_after(rest);
    cluster.runners[runner].set_fault(RunnerFault::Rejecting);
    Recovery::Runner(runner)
}

/// Crashes some runners, which return with one of three software versions.
fn change_software(cluster: &Cluster, rng: &mut SmallRng) {
    let version = *["v1", "v2", "v3"].choose(rng).expect("there are versions");
    let runners: Vec<&Runner> =
        cluster.runners.iter().filter(|_| rng.random_bool(0.4)).collect();
    eprintln!("{} runners change to {version}", runners.len());
    runners.iter().for_each(|runner| runner.crash_into(version));
}

/// Has all servers reject all requests.
fn reject_at_all(runners: &[Runner], services: &[PlainServer]) {
    runners.iter().for_each(|runner| runner.set_fault(RunnerFault::Rejecting));
    services.iter().for_each(|service| service.set_fault(ServerFault::Rejecting));
}

/// Injects a random fault and returns the action that ends it, if one is needed. A daemon
/// that is suspended or stopped gets no further fault.
fn inject_fault(
    cluster: &mut Cluster,
    rng: &mut SmallRng,
    recoveries: &[(Instant, Recovery)],
    may_disturb_daemons: bool,
) -> Option<Recovery> {
    let daemon = rng.random_range(0..cluster.daemons.len());
    let is_undisturbed = may_disturb_daemons
        && recoveries.iter().all(|(_, recovery)| !recovery.disturbs(daemon));
    let runner = rng.random_range(0..cluster.runners.len());
    let service = rng.random_range(0..cluster.services.len());
    let has_proxies = !cluster.proxies.callers.is_empty();
    match rng.random_range(0..if has_proxies { 15 } else { 9 }) {
        0 if is_undisturbed => {
            cluster.daemons[daemon].signal(Signal::STOP);
            Some(Recovery::Resume(daemon))
        }
        1 if is_undisturbed => {
            cluster.daemons[daemon].kill();
            Some(Recovery::Restart(daemon))
        }
        2 if is_undisturbed => {
            cluster.daemons[daemon].signal(Signal::TERM);
            Some(Recovery::Restart(daemon))
        }
        3 if is_undisturbed => {
            cluster.daemons[daemon].signal(Signal::HUP);
            None
        }
        4 => {
            use StoreFault::{ResponseLost, Slow, Unavailable, Unresponsive};
            let fault =
                [Unavailable, Unresponsive, Slow, ResponseLost].choose(rng).copied();
            cluster.store.set_fault(fault.unwrap_or_default());
            Some(Recovery::Store)
        }
        5 => {
            cluster.store.discard_history();
            None
        }
        6 => {
            use RunnerFault::{DisconnectAfter, Rejecting, Unresponsive};
            let fault =
                [Rejecting, DisconnectAfter(2), Unresponsive].choose(rng).copied();
            cluster.runners[runner].set_fault(fault.unwrap_or_default());
            Some(Recovery::Runner(runner))
        }
        7 => {
            use ServerFault::{Failing, Rejecting, Unresponsive, WrongId};
            let fault = [Rejecting, Failing, Unresponsive, WrongId].choose(rng).copied();
            cluster.services[service].set_fault(fault.unwrap_or_default());
            Some(Recovery::Service(service))
        }
        // Without proxies, draws for a daemon that is suspended or stopped end up here
        // too.
        draw if draw == 8 || !has_proxies => {
            cluster.runners[runner].restart();
            None
        }
        9 => {
            let target = random_target(rng, daemon, runner, service);
            eprintln!("connections reset: {target:?}");
            proxy(cluster, target).reset_connections();
            None
        }
        _ => {
            let target = random_target(rng, daemon, runner, service);
            let fault = random_proxy_fault(rng);
            eprintln!("{target:?}: {fault:?}");
            proxy(cluster, target).set_fault(fault);
            Some(Recovery::Proxy(target))
        }
    }
}

fn random_target(
    rng: &mut SmallRng,
    daemon: usize,
    runner: usize,
    service: usize,
) -> ProxyTarget {
    match rng.random_range(0..4) {
        0 => ProxyTarget::Callers(daemon),
        1 => ProxyTarget::Store(daemon),
        2 => ProxyTarget::Runner(runner),
        _ => ProxyTarget::Service(service),
    }
}

fn proxy(cluster: &Cluster, target: ProxyTarget) -> &Proxy {
    match target {
        ProxyTarget::Callers(daemon) => &cluster.proxies.callers[daemon],
        ProxyTarget::Store(daemon) => &cluster.proxies.stores[daemon],
        ProxyTarget::Runner(runner) => &cluster.proxies.runners[runner],
        ProxyTarget::Service(service) => &cluster.proxies.services[service],
    }
}

fn random_proxy_fault(rng: &mut SmallRng) -> ProxyFault {
    match rng.random_range(0..4) {
        0 => ProxyFault::Delayed(Duration::from_millis(rng.random_range(5..400))),
        1 => ProxyFault::Blocked { to_target: true, to_client: false },
        2 => ProxyFault::Blocked { to_target: false, to_client: true },
        _ => ProxyFault::Blocked { to_target: true, to_client: true },
    }
}

async fn recover(cluster: &mut Cluster, recovery: Recovery) {
    eprintln!("{recovery:?}");
    match recovery {
        Recovery::Resume(daemon) => cluster.daemons[daemon].signal(Signal::CONT),
        Recovery::Restart(daemon) => {
            // A daemon that received SIGTERM finishes its running requests first.
            wait_until("the daemon has exited", async || {
                cluster.daemons[daemon].exit_status().is_some()
            })
            .await;
            cluster.daemons[daemon].restart();
        }
        Recovery::Store => cluster.store.set_fault(StoreFault::None),
        Recovery::Runner(runner) => cluster.runners[runner].set_fault(RunnerFault::None),
        Recovery::Service(service) => {
            cluster.services[service].set_fault(ServerFault::None)
        }
        Recovery::Proxy(target) => proxy(cluster, target).set_fault(ProxyFault::None),
        Recovery::Cuts => cluster.proxies.servers().for_each(Proxy::end_cut),
        Recovery::Departure(runner) => cluster.runners[runner].crash(),
    }
}

/// Prints how often the parts behind the `policy` settings acted, by the daemons' logs, and
/// checks that no stream was stopped twice.
fn report_actions(cluster: &Cluster) {
    let lines: Vec<Value> =
        cluster.daemons.iter().flat_map(|daemon| daemon.all_lines()).collect();
    let count = |message: &str, outcome: &str| {
        let is_counted = |line: &&Value| {
            line["msg"] == message && (outcome.is_empty() || line["outcome"] == outcome)
        };
        lines.iter().filter(is_counted).count()
    };
    let mut stopped = HashSet::new();
    for line in lines.iter().filter(|line| line["outcome"] == "stopped") {
        let id = line["id"].to_string();
        assert!(stopped.insert(id), "stopped for urgent requests twice: {line}");
    }
    let counts = [
        ("streams stopped", count("stream yields", "stopped")),
        ("streams resumed", count("stream yields", "resumed")),
        ("streams not resumed", count("stream not resumed", "")),
        ("admitted from several queues", count("queues left after admission", "")),
        ("refused early", count("request refused by forecasts", "")),
        ("changes of a server's pace", count("server pace changed", "")),
        ("changes of a runner's speed", count("runner speed estimated", "")),
    ];
    for (action, count) in counts {
        match count {
            0 => eprintln!("did not occur: {action}"),
            _ => eprintln!("{action}: {count}"),
        }
    }
    assert!(counts.iter().any(|(_, count)| *count > 0), "no part acted");
}

fn check_guarantees(cluster: &Cluster, exchanges: &[Exchange]) {
    assert!(exchanges.len() > CALLER_COUNT, "{} requests", exchanges.len());
    retry_bound::check(cluster);
    check_attempts(cluster);
    check_time_budgets(cluster);
    check_rests(cluster);
    check_versions(exchanges);
    if exchanges.iter().any(|exchange| exchange.earlier.events > 0) {
        report_lookups(cluster);
    }
    for Exchange { request, response, earlier } in exchanges {
        let runs = cluster.runs(response);
        let context = format!("{request:?} {response:?} ran {runs} times");
        if NOT_RUN_STATUSES.contains(&response.status) && !response.signed {
            assert_eq!(runs, 0, "{context}");
        }
        assert!(response.is_own(), "{context}");
        let at_most_once = ["record", "draft"].contains(&request.route.as_str());
        assert!(!at_most_once || runs <= 1, "{context}");
        let last = earlier.events + response.events.len() as u64;
        let numbers: Vec<u64> = (earlier.events + 1..=last).collect();
        assert_eq!(response.events, numbers, "{context}");
        if response.status == 200 && response.complete {
            assert!(response.signed && runs >= 1, "{context}");
            match &request.model {
                Some(_) => {
                    assert_eq!(last, u64::from(request.event_count), "{context}")
                }
                None => assert!(response.body.contains(&response.id), "{context}"),
            }
        }
    }
    for runner in &cluster.runners {
        assert_eq!(
            runner.over_capacity_orders(),
            0,
            "{} was ordered to exceed its memory",
            runner.name
        );
        assert_eq!(
            runner.fence_conflicts(),
            0,
            "{} received orders of two holders",
            runner.name
        );
    }
}

/// Checks that no undisturbed daemon has sent too many requests to a server in its rest, or any to
/// one that had announced its shutdown.
fn check_rests(cluster: &Cluster) {
    let runners = cluster.runners.iter().flat_map(Runner::disturbances);
    let services = cluster.services.iter().flat_map(PlainServer::disturbances);
    let disturbances: Vec<u32> = runners.chain(services).collect();
    if !disturbances.is_empty() {
        eprintln!("{} rests", disturbances.len());
    }
    let is_disturbed = |count: &&u32| **count > MAX_DISTURBANCES;
    let disturbed = disturbances.iter().filter(is_disturbed).count();
    assert_eq!(disturbed, 0, "rests were disturbed: {disturbances:?}");
    let late: u32 = cluster.runners.iter().map(Runner::late_arrivals).sum();
    assert_eq!(late, 0, "requests to servers that had announced their shutdown");
}

/// Checks that no stream has events of two software versions, and prints how many were resumed.
fn check_versions(exchanges: &[Exchange]) {
    let (mut resumed, mut continued) = (0, 0);
    for Exchange { request, response, earlier } in exchanges {
        let mut versions = earlier.versions.clone();
        versions.extend(response.versions.clone());
        versions.dedup();
        assert!(versions.len() <= 1, "{versions:?} {request:?} {response:?}");
        resumed += usize::from(earlier.events > 0);
        continued += usize::from(earlier.events > 0 && !response.events.is_empty());
    }
    if resumed > 0 {
        eprintln!("{continued} of {resumed} resumes continued a stream");
    }
}

/// Prints how daemons found out where resumed streams began, and how these requests ended.
fn report_lookups(cluster: &Cluster) {
    let mut counts: HashMap<String, usize> = HashMap::new();
    let lines = cluster.daemons.iter().flat_map(|daemon| daemon.all_lines());
    for line in lines.filter(|line| line["resumes"].is_string()) {
        match line["msg"].as_str() {
            Some("resumed stream looked up") => {
                *counts.entry(format!("lookup: {}", line["outcome"])).or_default() += 1;
            }
            Some("request ended") => {
                let end = format!("end: {} {}", line["end"], line["why"]);
                *counts.entry(end).or_default() += 1;
            }
            _ => {}
        }
    }
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort();
    counts.iter().for_each(|(what, count)| eprintln!("{count} of {what}"));
}

/// Checks that hardly any request runs on more servers than its route allows.
fn check_attempts(cluster: &Cluster) {
    let mut servers: HashMap<String, HashSet<SocketAddr>> = HashMap::new();
    let streams = cluster
        .runners
        .iter()
        .flat_map(|runner| runner.runs().into_iter().map(|(id, _)| (id, runner.addr)));
    let plain = cluster
        .services
        .iter()
        .flat_map(|service| service.runs().into_iter().map(|(id, _)| (id, service.addr)));
    for (id, server) in streams.chain(plain) {
        servers.entry(id).or_default().insert(server);
    }
    let exceeding = servers.values().filter(|servers| servers.len() > MAX_RUNS).count();
    eprintln!("{exceeding} requests ran on more than {MAX_RUNS} servers");
    assert!(exceeding <= 3, "{exceeding} requests ran on more than {MAX_RUNS} servers");
}

/// Checks that servers are not told of more time for a plain request than its caller waits.
fn check_time_budgets(cluster: &Cluster) {
    let sent = cluster.caller.sent();
    let sent = sent.iter().filter(|request| !request.is_stream);
    let sent: HashMap<_, _> = sent.map(|request| (&request.id, request)).collect();
    let arrivals: Vec<Arrival> =
        cluster.services.iter().flat_map(PlainServer::arrivals).collect();
    let exceeds = |arrival: &&Arrival| {
        let limit = sent.get(&arrival.id).map(|request| request.budget);
        match (arrival.budget, limit) {
            (Some(budget), Some(limit)) => budget > limit + BUDGET_TOLERANCE,
            _ => true,
        }
    };
    let exceeding = arrivals.iter().filter(exceeds).count();
    eprintln!("{exceeding} of {} arrivals had too much time", arrivals.len());
    assert!(exceeding <= 20, "{exceeding} of {} arrivals", arrivals.len());
}
