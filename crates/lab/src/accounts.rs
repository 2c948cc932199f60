//! Simulates a client account whose requests arrive at many daemons, and compares ways to
//! divide its limit between them, whole and under failures.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use chestnut_account::slice::GRANT_TERM;
use chestnut_account::{
    ChargeId, Choice, HeldSlice, Limit, LocalShare, Sharing, Slice, SliceChooser,
    SliceStart, Tolerance, Unit, Verdict,
};
use chestnut_base::{CallerName, MemberId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Length of a simulated step.
const STEP: Duration = Duration::from_millis(5);

/// The time of a datagram between failure domains, one way.
const HOP: Duration = Duration::from_micros(900);

/// How long a daemon waits for a holder that does not respond.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(40);

/// How often daemons exchange what they were asked for.
const EXCHANGE_PERIOD: Duration = Duration::from_millis(250);

/// The time after which other daemons take over the slices of an unresponsive one.
const FAILURE_TIMEOUT: Duration = Duration::from_millis(2000);

/// The size of a charge or its response, and of an exchanged count, in bytes.
const CHARGE_BYTES: u64 = 90;
const COUNT_BYTES: u64 = 40;

/// When failures begin and end.
const FAILURE: (Duration, Duration) = (Duration::from_secs(5), Duration::from_secs(15));

const TOLERANCE: Tolerance =
    Tolerance { window: Duration::from_secs(8), overshoot: 0.1, slack: 11_000.0 };

/// Sets the size of the simulation.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Number of daemons
    #[bpaf(argument("N"), fallback(83))]
    pub daemons: usize,
    /// Length of a simulation, in seconds
    #[bpaf(argument("SECONDS"), fallback(25))]
    pub seconds: u32,
    /// Seed of the random numbers
    #[bpaf(argument("N"), fallback(1))]
    pub seed: u64,
    /// Print use against the limit in each second instead of totals
    pub timeline: bool,
}

/// What happens between the times of [`FAILURE`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Failure {
    None,
    /// The holders of a third of the slices end.
    HoldersKilled,
    /// A third of the daemons is cut off from the others.
    Partition,
    /// One datagram in twenty is lost.
    Loss,
}

impl Failure {
    const ALL: [Self; 4] = [Self::None, Self::HoldersKilled, Self::Partition, Self::Loss];
}

/// Runs all combinations and prints one JSON object per line.
pub fn run(options: &Options) {
    for rate in [2_700.0, 30_000.0, 216_401.0] {
        for load in [0.55, 3.5] {
            for failure in Failure::ALL {
                for sharing in Sharing::ALL {
                    let mut model = Model::new(options, sharing, failure, rate, load);
                    model.run(options.seconds);
                    match options.timeline {
                        true => model.print_timeline(),
                        false => model.print_totals(),
                    }
                }
            }
        }
    }
}

/// A daemon that receives requests and may hold slices.
struct Daemon {
    share: LocalShare,
    chooser: SliceChooser,
    /// What it was asked for since the last exchange.
    asked: f64,
}

/// A slice and its holder.
struct Holder {
    daemon: usize,
    slice: HeldSlice,
    /// Until when the holder may charge without a confirmation.
    granting_until: Option<Instant>,
}

struct Model {
    sharing: Sharing,
    failure: Failure,
    load: f64,
    limit: Limit,
    rng: StdRng,
    start: Instant,
    now: Instant,
    daemons: Vec<Daemon>,
    holders: Vec<Holder>,
    window: VecDeque<(Instant, f64)>,
    window_sum: f64,
    max_window: f64,
    /// What was granted and refused in each second.
    seconds: Vec<(f64, f64)>,
    delays: Vec<Duration>,
    bytes: u64,
    next_number: u64,
}

impl Model {
    fn new(
        options: &Options,
        sharing: Sharing,
        failure: Failure,
        rate: f64,
        load: f64,
    ) -> Self {
        let now = Instant::now();
        let limit = Limit { unit: Unit::Tokens, rate, burst: rate, plain_tokens: 200 };
        let mut rng = StdRng::seed_from_u64(options.seed);
        let share = 1.0 / options.daemons as f64;
        let daemon = || Daemon {
            share: LocalShare::new(&limit, &TOLERANCE, share, now),
            chooser: SliceChooser::default(),
            asked: 0.0,
        };
        let daemons: Vec<Daemon> = (0..options.daemons).map(|_| daemon()).collect();
        let slice_limit = limit.slice(&TOLERANCE);
        let mut holder = || Holder {
            daemon: rng.random_range(0..options.daemons),
            slice: HeldSlice::new(SliceStart::First, &slice_limit, now),
            granting_until: None,
        };
        let holders = (0..limit.slice_count()).map(|_| holder()).collect();
        Self {
            sharing,
            failure,
            load,
            limit,
            rng,
            start: now,
            now,
            daemons,
            holders,
            window: VecDeque::new(),
            window_sum: 0.0,
            max_window: 0.0,
            seconds: Vec::new(),
            delays: Vec::new(),
            bytes: 0,
            next_number: 0,
        }
    }

    fn run(&mut self, seconds: u32) {
        let mut due = 0.0;
        let mut exchanged_at = self.now;
        while self.elapsed() < Duration::from_secs(seconds.into()) {
            self.now += STEP;
            due += self.limit.rate * self.load * STEP.as_secs_f64();
            while due > 0.0 {
                let uniform: f64 = self.rng.random();
                let cost = 600.0 + 4000.0 * uniform * uniform;
                due -= cost;
                self.request(cost);
            }
            if self.now - exchanged_at >= EXCHANGE_PERIOD {
                exchanged_at = self.now;
                self.exchange_demand();
            }
            self.replace_holders();
        }
    }

    fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    fn is_failing(&self) -> bool {
        (FAILURE.0..FAILURE.1).contains(&self.elapsed())
    }

    /// Whether a daemon is cut off from the majority.
    fn is_cut(&self, daemon: usize) -> bool {
        let is_third = daemon.is_multiple_of(3);
        self.failure == Failure::Partition && self.is_failing() && is_third
    }

    fn request(&mut self, cost: f64) {
        let entry = self.rng.random_range(0..self.daemons.len());
        // A daemon without a confirmation of its declarations sends callers elsewhere.
        let since_cut = self.elapsed().saturating_sub(FAILURE.0);
        let entry = match self.is_cut(entry) && since_cut > GRANT_TERM {
            true => (entry + 1) % self.daemons.len(),
            false => entry,
        };
        self.daemons[entry].asked += cost;
        let (granted, delay) = match self.sharing {
            Sharing::Equal | Sharing::Demand => {
                (self.daemons[entry].share.take(cost, self.now), Duration::ZERO)
            }
            Sharing::Slices => self.charge(entry, cost),
        };
        self.delays.push(delay);
        self.record(granted, cost);
    }

    fn record(&mut self, granted: bool, cost: f64) {
        let second = self.elapsed().as_secs() as usize;
        self.seconds.resize(self.seconds.len().max(second + 1), (0.0, 0.0));
        if !granted {
            self.seconds[second].1 += cost;
            return;
        }
        self.seconds[second].0 += cost;
        self.window.push_back((self.now, cost));
        self.window_sum += cost;
        while let Some((at, cost)) = self.window.front().copied()
            && self.now - at > TOLERANCE.window
        {
            self.window_sum -= cost;
            self.window.pop_front();
        }
        self.max_window = self.max_window.max(self.window_sum);
    }

    /// Asks the holders of slices; returns the decision and the time that it took.
    fn charge(&mut self, entry: usize, cost: f64) -> (bool, Duration) {
        let account = CallerName::try_from("account").expect("the name is valid");
        let (count, first) = (self.limit.slice_count(), self.rng.random_range(0..8));
        let choice = self.daemons[entry].chooser.choose(&account, count, first, self.now);
        let Choice::Ask(slices) = choice else { return (false, Duration::ZERO) };
        self.next_number += 1;
        let id = ChargeId { member: MemberId(entry as u64), number: self.next_number };
        let mut delay = Duration::ZERO;
        for index in slices {
            let slice = Slice { account: account.clone(), index };
            let (verdict, time) = self.ask(entry, index as usize, id, cost);
            delay += time;
            let chooser = &mut self.daemons[entry].chooser;
            match verdict {
                Some(Verdict::Granted) => return (true, delay),
                Some(Verdict::Refused { retry_ms, empty_ms }) => {
                    let millis = |millis: u32| Duration::from_millis(millis.into());
                    let (empty, retry) = (millis(empty_ms), millis(retry_ms));
                    chooser.record_refusal(slice, empty, retry, self.now);
                }
                Some(Verdict::NotHolder) | None => {
                    chooser.record_silence(slice, self.now);
                }
            }
        }
        (false, delay)
    }

    fn ask(
        &mut self,
        entry: usize,
        index: usize,
        id: ChargeId,
        cost: f64,
    ) -> (Option<Verdict>, Duration) {
        let limit = self.limit.slice(&TOLERANCE);
        let is_lossy = self.failure == Failure::Loss && self.is_failing();
        let is_lost = is_lossy && self.rng.random_bool(0.1);
        let daemon = self.holders[index].daemon;
        let reaches = self.is_cut(daemon) == self.is_cut(entry);
        let holder = &mut self.holders[index];
        let may_grant = holder.granting_until.is_none_or(|until| self.now < until);
        let is_down =
            holder.granting_until.is_some() && self.failure == Failure::HoldersKilled;
        self.bytes += CHARGE_BYTES;
        if !reaches || is_down {
            return (None, HOLDER_TIMEOUT);
        }
        self.bytes += CHARGE_BYTES;
        let resend = if is_lost { HOLDER_TIMEOUT / 2 } else { Duration::ZERO };
        if !may_grant {
            return (Some(Verdict::NotHolder), HOP * 2);
        }
        (Some(holder.slice.charge(id, cost, &limit, self.now)), HOP * 2 + resend)
    }

    /// Ends the right of failed holders, and has other daemons take their slices over.
    fn replace_holders(&mut self) {
        let since = self.elapsed().saturating_sub(FAILURE.0);
        for index in 0..self.holders.len() {
            let daemon = self.holders[index].daemon;
            let has_failed = match self.failure {
                Failure::None | Failure::Loss => false,
                Failure::HoldersKilled => self.is_failing() && index.is_multiple_of(3),
                Failure::Partition => self.is_cut(daemon),
            };
            let already_replaced = daemon == self.daemons.len() - 1;
            if !has_failed || already_replaced {
                continue;
            }
            let term_end = self.start + FAILURE.0 + GRANT_TERM;
            self.holders[index].granting_until.get_or_insert(term_end);
            if since >= FAILURE_TIMEOUT {
                let limit = self.limit.slice(&TOLERANCE);
                let slice = HeldSlice::new(SliceStart::Seized, &limit, self.now);
                let daemon = self.daemons.len() - 1;
                self.holders[index] = Holder { daemon, slice, granting_until: None };
            }
        }
    }

    /// Daemons exchange their demand, and take shares in proportion to it.
    fn exchange_demand(&mut self) {
        if self.sharing != Sharing::Demand {
            return;
        }
        let count = self.daemons.len();
        self.bytes += COUNT_BYTES * (count * (count - 1)) as u64;
        let floor = 0.1 / count as f64;
        for cut in [false, true] {
            let group: Vec<usize> =
                (0..count).filter(|daemon| self.is_cut(*daemon) == cut).collect();
            let asked: f64 = group.iter().map(|daemon| self.daemons[*daemon].asked).sum();
            for daemon in group {
                let daemon = &mut self.daemons[daemon];
                let share = if asked > 0.0 { daemon.asked / asked } else { 0.0 };
                let share = floor + 0.9 * share;
                daemon.share.resize(&self.limit, &TOLERANCE, share, self.now);
            }
        }
        self.daemons.iter_mut().for_each(|daemon| daemon.asked *= 0.5);
    }

    fn print_totals(&mut self) {
        let seconds = self.seconds.len().max(1) as u64;
        let granted: f64 = self.seconds.iter().map(|(granted, _)| granted).sum();
        let refused: f64 = self.seconds.iter().map(|(_, refused)| refused).sum();
        let bound = TOLERANCE.bound(&self.limit);
        self.delays.sort();
        let percentile = |percent: usize| {
            let index = (self.delays.len() * percent / 100).min(self.delays.len() - 1);
            self.delays[index].as_secs_f64() * 1000.0
        };
        println!(
            "{{\"rate\":{},\"load\":{},\"failure\":\"{:?}\",\"sharing\":\"{:?}\",\
             \"over_bound\":{:.0},\"used\":{:.3},\"refused\":{:.4},\"p50_ms\":{:.1},\
             \"p99_ms\":{:.1},\"bytes_per_s\":{}}}",
            self.limit.rate,
            self.load,
            self.failure,
            self.sharing,
            (self.max_window - bound).max(0.0),
            granted / (self.limit.rate * seconds as f64),
            refused / (granted + refused),
            percentile(50),
            percentile(99),
            self.bytes / seconds,
        );
    }

    fn print_timeline(&self) {
        println!(
            "# rate {} load {} failure {:?} sharing {:?}",
            self.limit.rate, self.load, self.failure, self.sharing
        );
        for (second, (granted, refused)) in self.seconds.iter().enumerate() {
            let share = granted / self.limit.rate;
            let bar = "#".repeat((share * 40.0) as usize);
            println!("{second:>3} {share:>6.2} {granted:>9.0} {refused:>9.0} {bar}");
        }
    }
}
