//! Retries over all daemons of a simulated cluster, with the decisions of the product.
//!
//! Servers fail all requests at times, or can't be reached so that retries wait for them, while
//! daemons are killed, suspended, restarted in series and cut off from the store, and callers
//! move to those that are left. The store and
//! the callers are simulated; time passes in steps of fifty milliseconds.
//! `RETRY_SEEDS=FROM..TO` plays other seeds, `RETRY_STATS=1` prints how near each comes to the
//! bound.

use std::ops::Range;
use std::time::{Duration, Instant};

use chestnut_base::{MemberId, VmName};
use chestnut_member::{Part, ShareRow, Sharers};
use chestnut_pool::{RetryBound, RetryBudget, RetryGrant};
use indexmap::{IndexMap, IndexSet};
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};

const STEP: Duration = Duration::from_millis(50);

/// How long a cluster is simulated after it has settled.
const PLAY_TIME: Duration = Duration::from_secs(60);

/// How long daemons may miss another one before they remove its row.
const FAILURE_TIMEOUT: Duration = Duration::from_millis(1500);

/// The longest time from sending a retry until it reaches its server.
const MAX_TRANSIT: Duration = Duration::from_millis(100);

const BOUND: RetryBound =
    RetryBound { ratio: 0.2, slack: 52.0, window: Duration::from_secs(10) };

/// The seeds that are always played.
const SEEDS: Range<u64> = 0..150;

/// What keeps a daemon from its work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Running,
    /// Its process has ended, and starts again at this time.
    Down(Instant),
    Suspended(Instant),
    /// It serves callers, but reaches neither the store nor other daemons.
    CutOff(Instant),
}

/// A daemon's process.
struct Daemon {
    vm: VmName,
    state: State,
    /// Since when the others have missed it.
    missed_since: Option<Instant>,
    budget: RetryBudget,
    sharers: Sharers,
    /// The daemons that it knows of.
    listed: IndexSet<VmName>,
    confirmed_at: Option<Instant>,
    has_joined: bool,
    /// Granted retries that wait for a server.
    waiting: Vec<RetryGrant>,
}

struct Cluster {
    rng: StdRng,
    now: Instant,
    daemons: Vec<Daemon>,
    /// The daemons that have a row.
    rows: IndexSet<VmName>,
    /// The last process of each VM.
    share_rows: IndexMap<VmName, ShareRow>,
    store_down_until: Instant,
    /// Requests a second.
    rate: f64,
    /// The retries that each request needs while the servers fail.
    tries: u32,
    servers_fail: bool,
    /// Until when retries wait for a server.
    servers_busy_until: Instant,
    requests: Vec<Instant>,
    /// When retries reach their servers.
    retries: Vec<Instant>,
}

/// Guards against retries beyond the bound when daemons fail in any series.
#[test]
fn retries_stay_within_the_bound_in_a_failing_cluster() {
    let mut exceeded = Vec::new();
    for seed in selected_seeds() {
        let cluster = play(seed);
        let (made, allowed) = cluster.worst_window();
        let result = format!("seed {seed}: {made} of {allowed:.1} allowed");
        if std::env::var("RETRY_STATS").is_ok() {
            let (daemons, rate) = (cluster.daemons.len(), cluster.rate);
            let total = cluster.retries.len();
            println!("{result}, {total} in all; {daemons} daemons, {rate} requests/s");
        }
        if made as f64 > allowed {
            exceeded.push(result);
        }
    }
    assert!(exceeded.is_empty(), "{exceeded:#?}");
}

fn selected_seeds() -> Range<u64> {
    let Ok(text) = std::env::var("RETRY_SEEDS") else { return SEEDS };
    let (from, to) = text.split_once("..").expect("RETRY_SEEDS is FROM..TO");
    let number = |text: &str| text.parse::<u64>().expect("a number");
    number(from)..number(to)
}

fn play(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed);
    let settled_at = cluster.now + 3 * BOUND.window;
    while cluster.now < settled_at {
        cluster.step();
    }
    let end = cluster.now + PLAY_TIME;
    while cluster.now < end {
        // Every second and a half in the mean.
        if cluster.rng.random_bool(0.03) {
            cluster.inject_fault();
        }
        cluster.step();
    }
    cluster.retries.sort();
    cluster
}

impl Cluster {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let now = Instant::now();
        let count = *[2, 3, 6, 12].iter().choose(&mut rng).expect("there are sizes");
        let rate = *[2.0, 10.0, 40.0, 150.0].iter().choose(&mut rng).expect("as above");
        let vm = |index| VmName::try_from(format!("vm{index}").as_str()).expect("valid");
        let mut cluster = Self {
            rng,
            now,
            daemons: (0..count).map(|index| Daemon::start(vm(index))).collect(),
            rows: IndexSet::new(),
            share_rows: IndexMap::new(),
            store_down_until: now,
            rate,
            tries: 0,
            servers_fail: false,
            servers_busy_until: now,
            requests: Vec::new(),
            retries: Vec::new(),
        };
        cluster.tries = cluster.rng.random_range(1..6);
        cluster
    }

    fn step(&mut self) {
        self.now += STEP;
        self.recover();
        self.remove_missed();
        for index in 0..self.daemons.len() {
            if self.rng.random_bool(0.2) {
                self.synchronize(index);
            }
        }
        self.send_requests();
        self.send_waiting();
    }

    /// Ends the faults that are over.
    fn recover(&mut self) {
        let now = self.now;
        for daemon in &mut self.daemons {
            match daemon.state {
                State::Down(until) if until <= now => {
                    *daemon = Daemon::start(daemon.vm.clone());
                }
                State::Suspended(until) | State::CutOff(until) if until <= now => {
                    daemon.state = State::Running;
                    daemon.missed_since = None;
                }
                _ => {}
            }
        }
    }

    /// Removes the rows of daemons that the others have missed for too long.
    fn remove_missed(&mut self) {
        let now = self.now;
        let is_watched = self.daemons.iter().any(|daemon| daemon.state == State::Running);
        if !is_watched || now < self.store_down_until {
            return;
        }
        for daemon in &self.daemons {
            let missed = daemon.missed_since.is_some_and(|at| now - at > FAILURE_TIMEOUT);
            if missed {
                self.rows.swap_remove(&daemon.vm);
            }
        }
    }

    /// Has a daemon read the table, and join if it has no row.
    fn synchronize(&mut self, index: usize) {
        let (now, daemon) = (self.now, &mut self.daemons[index]);
        if daemon.state != State::Running || now < self.store_down_until {
            return;
        }
        let removed: Vec<VmName> =
            daemon.listed.difference(&self.rows).cloned().collect();
        for vm in removed {
            daemon.sharers.record_removal(vm, now);
        }
        daemon.listed.clone_from(&self.rows);
        daemon.confirmed_at = Some(now);
        daemon.sharers.record_confirmation(now, BOUND.window);
        for (vm, row) in &self.share_rows {
            daemon.sharers.record_row(vm.clone(), Some((*row, 1)));
        }
        let vm = daemon.vm.clone();
        let mut row = ShareRow { member: MemberId(index as u64), settled: false };
        if daemon.listed.insert(vm.clone()) || !daemon.has_joined {
            let has_reserve = daemon.sharers.offers_reserve(&vm);
            self.rows.insert(vm.clone());
            self.share_rows.insert(vm, row);
            daemon.sharers.record_join(has_reserve, now);
            daemon.has_joined = true;
        } else if matches!(daemon.part(now), Part::Share(_)) {
            row.settled = true;
            self.share_rows.insert(vm, row);
        }
    }

    /// Sends the requests of a step to daemons that accept them, and retries them.
    fn send_requests(&mut self) {
        let expected = self.rate * STEP.as_secs_f64();
        let count =
            expected as usize + usize::from(self.rng.random_bool(expected.fract()));
        for _ in 0..count {
            self.requests.push(self.now);
            let accepting = self.daemons.iter_mut().filter(|daemon| daemon.is_serving());
            let Some(daemon) = accepting.choose(&mut self.rng) else { continue };
            daemon.budget.record_request(BOUND, self.now);
            let tries = if self.servers_fail { self.tries } else { 0 };
            for _ in 0..tries {
                daemon.request_retry(self.now);
            }
        }
    }

    /// Sends the retries that wait for a server, if one can be reached.
    fn send_waiting(&mut self) {
        if self.now < self.servers_busy_until {
            return;
        }
        let now = self.now;
        for daemon in self.daemons.iter_mut().filter(|daemon| daemon.is_serving()) {
            for grant in std::mem::take(&mut daemon.waiting) {
                if daemon.renew(grant, now) {
                    let transit = self.rng.random_range(Duration::ZERO..MAX_TRANSIT);
                    self.retries.push(now + transit);
                }
            }
        }
    }

    fn inject_fault(&mut self) {
        let until = self.now + Duration::from_millis(self.rng.random_range(50..15_000));
        let soon = self.now + Duration::from_millis(self.rng.random_range(50..1500));
        match self.rng.random_range(0..9) {
            0 => self.disturb(State::Down(until)),
            1 => self.disturb(State::Down(soon)),
            2 => self.disturb(State::Suspended(until)),
            3 => self.disturb(State::CutOff(until)),
            4 => self.store_down_until = until,
            5 => self.servers_fail = false,
            6 => self.servers_busy_until = until,
            _ => self.servers_fail = true,
        }
    }

    /// Disturbs some of the daemons that run, or all.
    fn disturb(&mut self, state: State) {
        let count = self.rng.random_range(1..=self.daemons.len());
        let now = self.now;
        let running =
            self.daemons.iter_mut().filter(|daemon| daemon.state == State::Running);
        for daemon in running.sample(&mut self.rng, count) {
            daemon.state = state;
            daemon.missed_since = Some(now);
        }
    }

    /// The retries of the window that comes nearest to the bound, and those allowed in it.
    fn worst_window(&self) -> (usize, f64) {
        let windows = self.retries.iter().flat_map(|&at| [at, at + BOUND.window]);
        let counted = windows.map(|end| {
            let shifts = [Duration::ZERO, BOUND.window / 2, BOUND.window];
            let requests = shifts.map(|shift| count(&self.requests, end - shift));
            let requests = requests.into_iter().max().unwrap_or_default();
            (count(&self.retries, end), requests as f64 * BOUND.ratio + BOUND.slack)
        });
        let excess = |(made, allowed): &(usize, f64)| *made as f64 - allowed;
        let worst = counted.max_by(|a, b| excess(a).total_cmp(&excess(b)));
        worst.unwrap_or((0, BOUND.slack))
    }
}

impl Daemon {
    /// A process that has just started.
    fn start(vm: VmName) -> Self {
        Self {
            vm,
            state: State::Running,
            missed_since: None,
            budget: RetryBudget::default(),
            sharers: Sharers::default(),
            listed: IndexSet::new(),
            confirmed_at: None,
            has_joined: false,
            waiting: Vec::new(),
        }
    }

    fn is_serving(&self) -> bool {
        matches!(self.state, State::Running | State::CutOff(_))
    }

    /// Has a retry wait for a server if it is granted.
    fn request_retry(&mut self, now: Instant) {
        let part = self.part(now).fraction();
        let grant = self.budget.try_consume(BOUND, part, now);
        self.waiting.extend(Some(grant).filter(|grant| grant.granted));
    }

    fn renew(&mut self, grant: RetryGrant, now: Instant) -> bool {
        let part = self.part(now).fraction();
        self.budget.renew(grant, BOUND, part, now).granted
    }

    fn part(&mut self, now: Instant) -> Part {
        let age = self.confirmed_at.map(|at| now - at);
        self.sharers.part(self.listed.iter(), age, BOUND.window, now)
    }
}

/// How many of the times, in order, are in the window to `end`.
fn count(times: &[Instant], end: Instant) -> usize {
    let from = times.partition_point(|at| *at < end - BOUND.window);
    times.partition_point(|at| *at <= end) - from
}
