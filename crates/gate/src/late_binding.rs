//! Lets a generation wait in the queues of several runners; the first that admits it gets it.
//!
//! Which queues those are is decided by [`chestnut_pool::late_binding`]. Only this daemon
//! sends the request, so that two admissions can't run it twice. Queue entries that do not
//! win are withdrawn when they are dropped, also when the caller leaves.

use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::task::Poll;
use std::time::{Duration, Instant};

use chestnut_base::ServerName;
use chestnut_pool::Bid;
use chestnut_pool::late_binding::{
    JOIN_AFTER, JOIN_AFTER_WITH_ADAPTER, MAX_QUEUES, QueueOption, choose_queues,
    sort_options,
};
use futures::future::BoxFuture;
use slog::info;
use tokio::time::sleep_until;

use crate::attempt::Target;
use crate::bidding::{self, ADMISSION_WAIT, Admission, RankedRunner};
use crate::job::Job;
use crate::metrics::Step;
use crate::pick::{PickError, log_picked, refuse_early, target_of};
use crate::server_limits;

/// The largest number of runners that are asked once one of them has expected no start
/// before the caller leaves.
const MAX_RUNNERS_IF_FULL: usize = 6;

/// A request's entry in the queue of one runner; withdrawn when dropped before it is
/// admitted.
struct QueueEntry<'a> {
    target: Target,
    admission: BoxFuture<'a, Admission>,
}

/// A request that waits in the queues of several runners.
struct Binding<'a> {
    job: &'a Job,
    missing_adapter: Option<&'a ServerName>,
    entries: Vec<QueueEntry<'a>>,
    /// Runners that denied the request.
    denied: Vec<ServerName>,
    /// Runners whose holders did not respond or have lost the claim.
    lost: Vec<ServerName>,
    /// Runners that expect no start before the caller leaves, each with the expected wait.
    full: Vec<(ServerName, Duration)>,
    /// The runners by their last bids.
    ranked: Vec<RankedRunner>,
    /// A comparison in progress.
    comparison: Option<BoxFuture<'a, Vec<RankedRunner>>>,
    /// How long the request waits in one queue before it joins further ones.
    join_after: Duration,
    /// When further queues are joined; `None` after that.
    join_at: Option<Instant>,
    /// When bids are compared again.
    compare_at: Instant,
}

/// What a binding waits for.
enum Event {
    /// The decision about a queue entry.
    Decided(Box<Target>, Admission),
    /// The bids of a comparison.
    Compared(Vec<RankedRunner>),
    /// The time to join further queues or to compare bids has come.
    Due,
}

/// Picks a runner for a generation; runners that deny admission are added to `avoid`.
pub async fn pick(
    job: &Job,
    avoid: &mut Vec<ServerName>,
    missing_adapter: Option<&ServerName>,
) -> Result<Target, PickError> {
    let now = job.shared.now();
    let has_adapter = job.call.target.as_ref().is_some_and(|t| t.adapter.is_some());
    let join_after = if has_adapter { JOIN_AFTER_WITH_ADAPTER } else { JOIN_AFTER };
    let mut binding = Binding {
        job,
        missing_adapter,
        entries: Vec::new(),
        denied: avoid.clone(),
        lost: Vec::new(),
        full: Vec::new(),
        ranked: Vec::new(),
        comparison: None,
        join_after,
        join_at: Some(now + join_after),
        compare_at: now + ADMISSION_WAIT,
    };
    let result = binding.run().await;
    avoid.clone_from(&binding.denied);
    result
}

impl<'a> Binding<'a> {
    async fn run(&mut self) -> Result<Target, PickError> {
        self.compare();
        loop {
            let decided = match self.next_event().await {
                Event::Decided(target, admission) => self.decide(*target, admission)?,
                Event::Compared(ranked) => {
                    self.apply_comparison(ranked)?;
                    None
                }
                Event::Due => {
                    self.act_if_due();
                    None
                }
            };
            if let Some(target) = decided {
                return Ok(target);
            }
        }
    }

    /// Waits for the next event; nothing is lost if the caller leaves meanwhile.
    async fn next_event(&mut self) -> Event {
        let due = self.join_at.map_or(self.compare_at, |at| at.min(self.compare_at));
        let mut due = std::pin::pin!(sleep_until(due.into()));
        let is_comparing = self.comparison.is_some();
        poll_fn(|cx| {
            for index in 0..self.entries.len() {
                let admission = Pin::new(&mut self.entries[index].admission).poll(cx);
                if let Poll::Ready(admission) = admission {
                    let entry = self.entries.swap_remove(index);
                    return Poll::Ready(Event::Decided(
                        Box::new(entry.target),
                        admission,
                    ));
                }
            }
            if let Some(comparison) = &mut self.comparison
                && let Poll::Ready(ranked) = Pin::new(comparison).poll(cx)
            {
                self.comparison = None;
                return Poll::Ready(Event::Compared(ranked));
            }
            // While bids are collected there is nothing to join or compare.
            match is_comparing {
                true => Poll::Pending,
                false => due.as_mut().poll(cx).map(|()| Event::Due),
            }
        })
        .await
    }

    /// Applies the decision about a queue entry, which is no longer among the others;
    /// returns the target if the request may be sent.
    fn decide(
        &mut self,
        mut target: Target,
        admission: Admission,
    ) -> Result<Option<Target>, PickError> {
        let shared = &self.job.shared;
        match admission {
            Admission::Send(number) => {
                target.number = Some(number);
                self.log_bound(&target.name);
                return Ok(Some(target));
            }
            Admission::Full(wait) => {
                self.full.push((target.name, wait));
                if self.entries.is_empty() && self.join_at.take().is_some() {
                    self.join_best();
                }
                return match self.entries.is_empty() {
                    true => Err(self.refusal()),
                    false => Ok(None),
                };
            }
            // Without a verdict, the request is sent by this daemon's own counts, as long
            // as it waits in no other queue.
            Admission::Silent | Admission::Moved if !is_listed(self.job, &target) => {
                self.denied.push(target.name);
            }
            Admission::Silent | Admission::Moved if self.entries.is_empty() => {
                match server_limits::try_send_share(shared, &target.incarnation()) {
                    Ok(()) => return Ok(Some(target)),
                    Err(_) => self.denied.push(target.name),
                }
            }
            Admission::Silent | Admission::Moved => self.lost.push(target.name),
            Admission::Denied => self.denied.push(target.name),
            Admission::Again if shared.now() < self.job.wait_deadline() => {}
            Admission::Again => return Err(PickError::NoServer),
        }
        self.compare();
        Ok(None)
    }

    /// The refusal of a request that no runner expects to start in time.
    fn refusal(&self) -> PickError {
        let least = self.full.iter().map(|(_, wait)| *wait).min();
        refuse_early(self.job, least.unwrap_or_default(), self.full.len())
    }

    /// Starts a comparison, unless one is in progress.
    fn compare(&mut self) {
        if self.comparison.is_some() {
            return;
        }
        let full = self.full.iter().map(|(name, _)| name);
        let excluded: Vec<ServerName> =
            self.denied.iter().chain(&self.lost).chain(full).cloned().collect();
        let joined = self.joined();
        let job = self.job;
        self.comparison =
            Some(Box::pin(async move { bidding::rank(job, &excluded, &joined).await }));
    }

    /// The runners whose queues the request is in.
    fn joined(&self) -> Vec<ServerName> {
        self.entries.iter().map(|entry| entry.target.name.clone()).collect()
    }

    fn act_if_due(&mut self) {
        let now = self.job.shared.now();
        if self.join_at.is_some_and(|at| at <= now) {
            self.join_at = None;
            self.join_best();
        }
        if self.compare_at <= now {
            // Their holders may respond by now.
            self.lost.clear();
            self.compare();
        }
    }

    /// Keeps the entries at the best runners, withdraws the others and joins better ones.
    fn apply_comparison(&mut self, ranked: Vec<RankedRunner>) -> Result<(), PickError> {
        let now = self.job.shared.now();
        self.compare_at = now + ADMISSION_WAIT;
        self.ranked = ranked;
        let options = self.options();
        let Some(best) = options.first() else {
            return match self.entries.is_empty() {
                true => self.without_runner(),
                false => Ok(()),
            };
        };
        // With early refusal, the forecasts of the holders decide on a request that waits.
        let by_bids = !self.job.shared.policy(&self.job.service).early_refusal;
        // A stopped stream is not refused; it waits for capacity until its caller leaves.
        let may_refuse = self.job.paused_since.is_none();
        if may_refuse
            && best.wait() > self.time_left()
            && (self.entries.is_empty() || by_bids)
        {
            return Err(PickError::Full(best.wait()));
        }
        let before = self.entries.len();
        let job = self.job;
        let is_best = |entry: &QueueEntry<'_>| {
            let mut best = options.iter().take(MAX_QUEUES);
            best.any(|option| option.key == entry.target.key)
                && is_listed(job, &entry.target)
        };
        self.entries.retain(is_best);
        let left = before - self.entries.len();
        self.join_best();
        if before > 0 {
            self.log_compared(before - left, left);
        } else if self.join_at.is_some() {
            self.join_at = Some(now + self.join_after);
        }
        match self.entries.is_empty() {
            true if !self.full.is_empty() => Err(self.refusal()),
            // The best runners are no longer listed.
            true => {
                self.compare();
                Ok(())
            }
            false => Ok(()),
        }
    }

    /// The runners that may be asked, the best first.
    fn options(&self) -> Vec<QueueOption> {
        let asked = |runner: &&RankedRunner| !self.is_excluded(&runner.name);
        let option = |runner: &RankedRunner| {
            let Bid { wait_ms, .. } = runner.candidate.bid;
            let key = runner.candidate.key;
            let joined = self.entries.iter().any(|entry| entry.target.key == key);
            QueueOption { key, cost_ms: runner.cost_ms, wait_ms, joined }
        };
        let mut options: Vec<QueueOption> =
            self.ranked.iter().filter(asked).map(option).collect();
        sort_options(&mut options);
        options
    }

    /// The time until the caller stops waiting.
    fn time_left(&self) -> Duration {
        self.job.wait_deadline().saturating_duration_since(self.job.shared.now())
    }

    /// What follows if no runner is left to ask.
    fn without_runner(&mut self) -> Result<(), PickError> {
        if !self.full.is_empty() {
            return Err(self.refusal());
        }
        if self.lost.is_empty() {
            return Err(PickError::NoServer);
        }
        // Their holders may respond by now; otherwise the request is sent without them.
        self.lost.clear();
        self.compare();
        Ok(())
    }

    /// Joins the queues of the best runners: one at first, later as many as allowed.
    fn join_best(&mut self) {
        let max_queues = if self.join_at.is_some() { 1 } else { MAX_QUEUES };
        // Where others expect no start in time, only a much better runner is worth it.
        let is_any_full = !self.full.is_empty();
        let max_wait = match self.job.paused_since {
            Some(_) => Duration::MAX,
            None => self.time_left() / if is_any_full { 2 } else { 1 },
        };
        for option in choose_queues(&self.options(), max_queues, max_wait) {
            let asked = self.entries.len() + self.full.len();
            if self.entries.len() >= max_queues
                || is_any_full && asked >= MAX_RUNNERS_IF_FULL
            {
                return;
            }
            if !option.joined {
                self.join(option);
            }
        }
    }

    fn is_excluded(&self, name: &ServerName) -> bool {
        let is_full = self.full.iter().any(|(full, _)| full == name);
        is_full || self.denied.contains(name) || self.lost.contains(name)
    }

    fn join(&mut self, option: QueueOption) {
        let (job, registry) = (self.job, &self.job.shared.tables.servers);
        let mut ranked = self.ranked.iter();
        let Some(runner) = ranked.find(|runner| runner.candidate.key == option.key)
        else {
            return;
        };
        let Some(target) = target_of(job, runner.candidate) else { return };
        let bid = runner.candidate.bid;
        if self.entries.is_empty() {
            log_picked(job, &target, bid);
        } else {
            let age = registry.announcement(job.shared.now()).map(|(_, age)| age);
            job.shared.metrics.count(Step::LateBinding, "joined");
            info!(job.shared.log, "further queue joined"; "id" => job.id(),
                "server" => target.name.to_string(), "queues" => self.entries.len() + 1,
                "cost_ms" => option.cost_ms as u64, "wait_ms" => option.wait_ms as u64,
                "requests" => bid.requests, "age_ms" => job.age().as_millis() as u64,
                "registry_age_ms" => age);
        }
        let missing = self.missing_adapter == Some(&target.name);
        let (incarnation, limit) = (target.incarnation(), job.wait_deadline());
        let admission = Box::pin(async move {
            bidding::request_admission_until(job, &incarnation, missing, limit).await
        });
        self.entries.push(QueueEntry { target, admission });
    }

    /// Logs which runner has admitted the request, if it waited at several.
    fn log_bound(&self, server: &ServerName) {
        if self.entries.is_empty() {
            return;
        }
        let job = self.job;
        job.shared.metrics.count(Step::LateBinding, "bound");
        info!(job.shared.log, "queues left after admission"; "id" => job.id(),
            "server" => server.to_string(), "queues" => self.entries.len(),
            "age_ms" => job.age().as_millis() as u64);
    }

    fn log_compared(&self, kept: usize, left: usize) {
        let (job, queues) = (self.job, self.entries.len());
        let outcome = if left == 0 { "kept" } else { "left" };
        job.shared.metrics.count(Step::LateBinding, outcome);
        info!(job.shared.log, "queues compared"; "id" => job.id(), "kept" => kept,
            "left" => left, "queues" => queues, "runners" => self.ranked.len(),
            "full" => self.full.len(), "age_ms" => job.age().as_millis() as u64);
    }
}

/// Whether a runner is listed as ready and has not restarted since the request joined its
/// queue.
///
/// A request may wait for seconds. A runner that has begun to leave meanwhile gets no request
/// without its holder's verdict, and one that has restarted would count as another server.
fn is_listed(job: &Job, target: &Target) -> bool {
    let fleet = job.shared.fleet();
    let server = fleet.get(target.key);
    server.is_some_and(|server| {
        server.incarnation() == target.incarnation()
            && fleet.is_listed(server, job.shared.now())
    })
}
