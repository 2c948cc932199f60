//! Model of the holders of an account's limit on a cluster with failures: random
//! suspensions, partitions, restarts, changes of holders, and lost, duplicate and late
//! messages, checked against the bound in every window.
//!
//! `QUOTA_SEEDS=FROM..TO` plays other seeds.

use std::time::{Duration, Instant};

use chestnut_account::{
    AccountText, Accounts, ChargeId, Choice, HeldSlice, Limit, Slice, SliceChooser,
    SliceStart, Tolerance, Unit, Verdict, may_grant,
};
use chestnut_base::{CallerName, MemberId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const STEP: Duration = Duration::from_millis(10);
const FAILURE_TIMEOUT: Duration = Duration::from_millis(1500);
const TOLERANCE: Tolerance =
    Tolerance { window: Duration::from_secs(8), overshoot: 0.1, slack: 11_000.0 };

fn account() -> CallerName {
    CallerName::try_from("bank").expect("the name is valid")
}

fn limit(rate: f64) -> Limit {
    Limit { unit: Unit::Tokens, rate, burst: rate, plain_tokens: 200 }
}

/// A claim's holder, and from when it has been that.
#[derive(Clone, Copy)]
struct Tenure {
    holder: usize,
    since: Instant,
}

struct Daemon {
    held: Vec<Option<HeldSlice>>,
    confirmed_at: Option<Instant>,
    /// Whether it neither reaches the store nor daemons outside its partition.
    cut: bool,
    /// Until when it is suspended.
    suspended_until: Instant,
    /// Since when the other daemons receive nothing from it.
    silent_since: Option<Instant>,
    chooser: SliceChooser,
}

/// A charge request on its way to a slice's holder.
struct Message {
    arrives_at: Instant,
    to: usize,
    slice: usize,
    id: ChargeId,
    cost: f64,
    refund: bool,
}

struct Model {
    rng: StdRng,
    now: Instant,
    limit: Limit,
    daemons: Vec<Daemon>,
    /// The holders of each slice, the latest last.
    claims: Vec<Vec<Tenure>>,
    messages: Vec<Message>,
    /// Granted charges with their times.
    granted: Vec<(Instant, ChargeId, f64)>,
    refused: usize,
    next_number: u64,
    faults: bool,
}

impl Model {
    fn new(seed: u64, limit: Limit, faults: bool) -> Self {
        let now = Instant::now();
        let mut rng = StdRng::seed_from_u64(seed);
        let count = rng.random_range(3..=12);
        let slices = limit.slice_count() as usize;
        let daemon = || Daemon {
            held: (0..slices).map(|_| None).collect(),
            confirmed_at: Some(now),
            cut: false,
            suspended_until: now,
            silent_since: None,
            chooser: SliceChooser::default(),
        };
        let mut daemons: Vec<Daemon> = (0..count).map(|_| daemon()).collect();
        let mut claims = Vec::new();
        for slice in 0..slices {
            let holder = rng.random_range(0..count);
            let held = HeldSlice::new(SliceStart::First, &limit.slice(&TOLERANCE), now);
            daemons[holder].held[slice] = Some(held);
            claims.push(vec![Tenure { holder, since: now }]);
        }
        Self {
            rng,
            now,
            limit,
            daemons,
            claims,
            messages: Vec::new(),
            granted: Vec::new(),
            refused: 0,
            next_number: 0,
            faults,
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        if self.faults {
            self.inject_faults();
            self.replace_failed_holders();
        }
        self.confirm_claims();
        self.deliver_messages();
    }

    fn is_running(&self, daemon: usize) -> bool {
        self.daemons[daemon].suspended_until <= self.now
    }

    fn is_healthy(&self, daemon: usize) -> bool {
        self.is_running(daemon) && !self.daemons[daemon].cut
    }

    fn inject_faults(&mut self) {
        let daemon = self.rng.random_range(0..self.daemons.len());
        match self.rng.random_range(0..2000) {
            0..3 => {
                let millis = self.rng.random_range(200..6000);
                let until = self.now + Duration::from_millis(millis);
                self.daemons[daemon].suspended_until = until;
                self.daemons[daemon].silent_since.get_or_insert(self.now);
                // It notices when it resumes, before it handles what has arrived.
                self.daemons[daemon].confirmed_at = None;
            }
            3..6 => {
                self.daemons[daemon].cut = true;
                self.daemons[daemon].silent_since.get_or_insert(self.now);
            }
            6..20 => self.daemons[daemon].cut = false,
            20..23 => self.restart(daemon),
            23..30 => self.hand_over(daemon),
            _ => {}
        }
        if self.is_healthy(daemon) {
            self.daemons[daemon].silent_since = None;
        }
    }

    /// Kills a daemon; it takes its claims again where no other has taken them.
    fn restart(&mut self, daemon: usize) {
        let now = self.now;
        let limit = self.limit.slice(&TOLERANCE);
        for slice in 0..self.claims.len() {
            let is_mine = self.holder(slice) == daemon;
            let start = HeldSlice::new(SliceStart::Released, &limit, now);
            let keeps = is_mine && self.is_healthy(daemon);
            let was_exclusive = self.daemons[daemon].held[slice]
                .as_ref()
                .is_some_and(|held| held.is_exclusive(now));
            let seized = HeldSlice::new(SliceStart::Seized, &limit, now);
            self.daemons[daemon].held[slice] =
                keeps.then_some(if was_exclusive { start } else { seized });
        }
    }

    /// A daemon hands one of its slices over, and stops charging it before.
    fn hand_over(&mut self, from: usize) {
        if !self.is_healthy(from) {
            return;
        }
        let Some(slice) =
            (0..self.claims.len()).find(|slice| self.holder(*slice) == from)
        else {
            return;
        };
        let Some(held) = self.daemons[from].held[slice].take() else { return };
        let start = match held.is_exclusive(self.now) {
            true => SliceStart::Released,
            false => SliceStart::Seized,
        };
        self.claim(slice, start);
    }

    fn replace_failed_holders(&mut self) {
        for slice in 0..self.claims.len() {
            let holder = self.holder(slice);
            let silent_since = self.daemons[holder].silent_since;
            let is_down = silent_since
                .is_some_and(|since| self.now.duration_since(since) > FAILURE_TIMEOUT);
            if is_down {
                self.claim(slice, SliceStart::Seized);
            }
        }
    }

    /// A healthy daemon other than the holder takes a slice.
    fn claim(&mut self, slice: usize, start: SliceStart) {
        let former = self.holder(slice);
        let candidates: Vec<usize> = (0..self.daemons.len())
            .filter(|daemon| *daemon != former && self.is_healthy(*daemon))
            .collect();
        if candidates.is_empty() {
            return;
        }
        let holder = candidates[self.rng.random_range(0..candidates.len())];
        let limit = self.limit.slice(&TOLERANCE);
        self.daemons[holder].held[slice] = Some(HeldSlice::new(start, &limit, self.now));
        self.claims[slice].push(Tenure { holder, since: self.now });
    }

    fn holder(&self, slice: usize) -> usize {
        self.claims[slice].last().expect("a slice has a holder").holder
    }

    fn holder_at(&self, slice: usize, at: Instant) -> usize {
        let mut tenures = self.claims[slice].iter().rev();
        tenures.find(|tenure| tenure.since <= at).map_or(0, |tenure| tenure.holder)
    }

    /// Daemons read the claims once per second at least; a response arrives up to 400 ms
    /// after its read.
    fn confirm_claims(&mut self) {
        for daemon in 0..self.daemons.len() {
            let confirmed_at = self.daemons[daemon].confirmed_at;
            let is_due = confirmed_at.is_none_or(|at| {
                self.now.saturating_duration_since(at) > Duration::from_secs(1)
            });
            let reads = is_due || self.rng.random_bool(0.02);
            if !self.is_healthy(daemon) || !reads {
                continue;
            }
            let lag = match self.faults {
                true => Duration::from_millis(self.rng.random_range(0..400)),
                false => Duration::ZERO,
            };
            // Responses to reads from before a suspension are ignored.
            if self.daemons[daemon].suspended_until + lag > self.now {
                continue;
            }
            let as_of = self.now - lag;
            let confirmed = self.daemons[daemon].confirmed_at;
            self.daemons[daemon].confirmed_at = confirmed.max(Some(as_of));
            for slice in 0..self.claims.len() {
                let taken_later = self.claims[slice].last().is_some_and(|tenure| {
                    tenure.holder == daemon && tenure.since > as_of
                });
                if self.holder_at(slice, as_of) != daemon && !taken_later {
                    self.daemons[daemon].held[slice] = None;
                }
            }
        }
    }

    /// A caller's request arrives at a daemon, which asks the slices' holders.
    fn request(&mut self, cost: f64) -> bool {
        let entry = self.rng.random_range(0..self.daemons.len());
        if !self.is_running(entry) {
            return false;
        }
        let count = self.claims.len() as u32;
        let first = self.rng.random_range(0..count);
        let now = self.now;
        let choice = self.daemons[entry].chooser.choose(&account(), count, first, now);
        let Choice::Ask(slices) = choice else {
            self.refused += 1;
            return false;
        };
        self.next_number += 1;
        let id = ChargeId { member: MemberId(entry as u64), number: self.next_number };
        for index in slices {
            let slice = Slice { account: account(), index };
            let to = self.holder(index as usize);
            let is_lost = self.faults && self.rng.random_bool(0.05);
            let reaches = self.daemons[to].cut == self.daemons[entry].cut;
            if is_lost || !reaches || !self.is_running(to) {
                self.daemons[entry].chooser.record_silence(slice, now);
                self.send_late(to, index as usize, id, cost);
                continue;
            }
            match self.charge(to, index as usize, id, cost) {
                Verdict::Granted => {
                    if self.faults && self.rng.random_bool(0.05) {
                        self.send_late(to, index as usize, id, cost);
                    }
                    return true;
                }
                Verdict::Refused { retry_ms, empty_ms } => {
                    let millis = |ms: u32| Duration::from_millis(ms.into());
                    let (empty, retry) = (millis(empty_ms), millis(retry_ms));
                    let chooser = &mut self.daemons[entry].chooser;
                    chooser.record_refusal(slice, empty, retry, now);
                }
                Verdict::NotHolder => {
                    self.daemons[entry].chooser.record_silence(slice, now);
                }
            }
        }
        self.refused += 1;
        false
    }

    /// Resends a charge, which arrives late, and maybe a refund.
    fn send_late(&mut self, to: usize, slice: usize, id: ChargeId, cost: f64) {
        let delay = Duration::from_millis(self.rng.random_range(0..3000));
        let refund = self.rng.random_bool(0.3);
        let arrives_at = self.now + delay;
        self.messages.push(Message { arrives_at, to, slice, id, cost, refund });
    }

    fn deliver_messages(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|message| message.arrives_at <= now);
        self.messages = later;
        for message in due {
            if !self.is_running(message.to) {
                continue;
            }
            if message.refund {
                self.refund(&message);
            } else {
                self.charge(message.to, message.slice, message.id, message.cost);
            }
        }
    }

    fn refund(&mut self, message: &Message) {
        let (limit, now) = (self.limit.slice(&TOLERANCE), self.now);
        let Some(held) = &mut self.daemons[message.to].held[message.slice] else {
            return;
        };
        let before = held.balance();
        held.refund(message.id, &limit, now);
        // A refunded request has not run.
        if held.balance() > before {
            self.granted.retain(|(_, id, _)| *id != message.id);
        }
    }

    fn charge(&mut self, to: usize, slice: usize, id: ChargeId, cost: f64) -> Verdict {
        let (limit, now) = (self.limit.slice(&TOLERANCE), self.now);
        let daemon = &mut self.daemons[to];
        let age = daemon.confirmed_at.map(|at| now.saturating_duration_since(at));
        let Some(held) = daemon.held[slice].as_mut().filter(|_| may_grant(age)) else {
            return Verdict::NotHolder;
        };
        let balance = held.balance();
        let verdict = held.charge(id, cost, &limit, now);
        let is_repeat = self.granted.iter().rev().take(500).any(|it| it.1 == id);
        if verdict == Verdict::Granted && (!is_repeat || held.balance() < balance - cost)
        {
            self.granted.push((now, id, cost));
        }
        verdict
    }

    /// The most that was granted in any window.
    fn max_window(&self) -> f64 {
        let (mut start, mut sum, mut max) = (0, 0.0, 0.0_f64);
        for (at, _, cost) in &self.granted {
            sum += cost;
            while at.duration_since(self.granted[start].0) > TOLERANCE.window {
                sum -= self.granted[start].2;
                start += 1;
            }
            max = max.max(sum);
        }
        max
    }
}

fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("QUOTA_SEEDS") else { return 0..60 };
    let (from, to) = text.split_once("..").expect("QUOTA_SEEDS is FROM..TO");
    let number = |text: &str| text.parse().expect("QUOTA_SEEDS has numbers");
    number(from)..number(to)
}

/// A cost of a request, as skewed as those of generations.
fn sample_cost(rng: &mut StdRng) -> f64 {
    let uniform: f64 = rng.random();
    (600.0 + 4000.0 * uniform * uniform).round()
}

#[test]
fn failures_never_exceed_the_bound() {
    // Guards against charging a limit twice while its holders fail, freeze, are cut off
    // or change, and messages are lost, repeated or late.
    for seed in seeds() {
        let rate = [2_700.0, 30_000.0, 216_401.0][seed as usize % 3];
        let limit = limit(rate);
        let mut model = Model::new(seed, limit, true);
        let demand = rate * model.rng.random_range(0.5..7.5);
        let mut due = 0.0;
        for _ in 0..3000 {
            model.step();
            due += demand * STEP.as_secs_f64();
            while due > 0.0 {
                let cost = sample_cost(&mut model.rng);
                due -= cost;
                model.request(cost);
            }
        }
        let (max, bound) = (model.max_window(), TOLERANCE.bound(&limit));
        assert!(max <= bound, "seed {seed}: {max} of {bound} at rate {rate}");
    }
}

#[test]
fn callers_within_their_limit_are_never_refused_by_a_whole_cluster() {
    // Guards against refusing callers below their limit because one slice is empty.
    for seed in seeds() {
        let rate = [2_700.0, 30_000.0, 216_401.0][seed as usize % 3];
        let limit = limit(rate);
        let mut model = Model::new(seed, limit, false);
        let mut allowed = limit.burst;
        for _ in 0..3000 {
            model.step();
            allowed = (allowed + 0.9999 * rate * STEP.as_secs_f64()).min(limit.burst);
            // Callers pause and then use up what they have saved.
            let waits = model.rng.random_bool(0.5);
            let cost = sample_cost(&mut model.rng).min(limit.burst);
            while !waits && allowed >= cost {
                allowed -= cost;
                model.request(cost);
            }
        }
        assert_eq!(model.refused, 0, "seed {seed} at rate {rate}");
    }
}

#[test]
fn a_full_account_uses_its_whole_limit() {
    // Guards against a limit that is lost to slices nobody asks.
    for seed in seeds() {
        let limit = limit(216_401.0);
        let mut model = Model::new(seed, limit, false);
        let demand = limit.rate * 3.0;
        let mut due = 0.0;
        for _ in 0..1000 {
            model.step();
            due += demand * STEP.as_secs_f64();
            while due > 0.0 {
                let cost = sample_cost(&mut model.rng);
                due -= cost;
                model.request(cost);
            }
        }
        let served: f64 = model.granted.iter().map(|(_, _, cost)| cost).sum();
        let nominal = limit.rate * 10.0 + limit.burst;
        assert!(served >= nominal * 0.97, "seed {seed}: {served} of {nominal}");
    }
}

#[test]
fn invalid_accounts_are_rejected_without_their_keys() {
    // Guards against keys in error messages, and against accounts that are half read.
    let text = |name: &str, keys: &[&str]| AccountText {
        name: name.into(),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        ..AccountText::default()
    };
    let with = |change: &dyn Fn(&mut AccountText)| {
        let mut account = text("bank", &["secret"]);
        change(&mut account);
        vec![account]
    };
    let cases = [
        (
            vec![text("bank", &["secret"]), text("water", &["secret"])],
            "the client account water is invalid: the account bank has the same key; \
             create a new key",
        ),
        (
            vec![text("bank", &[""])],
            "the client account bank is invalid: one of its keys is empty; remove it",
        ),
        (
            vec![text("bank", &["a"]), text("bank", &["b"])],
            "the client account bank is invalid: it is declared twice; keep one declaration",
        ),
        (
            with(&|account| account.rate = Some(-1.0)),
            "the client account bank is invalid: its rate is not a number of zero or more; \
             correct it",
        ),
        (
            with(&|account| account.unit = Some("letters".into())),
            "the client account bank is invalid: \"letters\" is no unit of a limit; \
             write `requests` or `tokens`",
        ),
        (
            vec![text("", &["a"])],
            "a client account's name is invalid: a name is empty; \
             write at least one character",
        ),
    ];
    for (texts, expected) in cases {
        let error = Accounts::try_from(texts).expect_err("the accounts are invalid");
        assert_eq!(error.to_string(), expected);
        assert!(!format!("{error:?}").contains("secret"));
    }
}

#[test]
fn limits_are_read_as_they_are_shown() {
    for text in ["100 tokens/s, burst 200, plain 40", "0.1 requests/s, burst 1, plain 0"]
    {
        let limit: Limit = text.parse().expect("the limit is valid");
        assert_eq!(limit.to_string(), text);
    }
    for text in
        ["", "100", "100 letters/s, burst 1, plain 0", "-1 tokens/s, burst 1, plain 0"]
    {
        assert!(text.parse::<Limit>().is_err(), "{text}");
    }
}
