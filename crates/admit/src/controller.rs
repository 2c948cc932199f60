//! The state of one backend server at its lead; [`overload`] makes room in it.
//!
//! Load pattern: a burst of urgent requests finds all streams taken by drafts that
//! have minutes. Waiting for one to end costs a seat check its deadline, and
//! streams kept free for urgent requests are idle the rest of the day. So a slow
//! stream is preempted if its rest can still be in time. In `docs/POLICY.md` bursts
//! fall by 4 to 15 in 100 without it, a tenth of the streams in reserve does not
//! make up for it, and letting normal work preempt, or be preempted, gains nothing.

mod overload;

use std::time::{Duration, Instant};

use chestnut_base::Urgency;
use slotmap::SlotMap;

use crate::forecast::{Held, Item, Room, starts};
use crate::job::{Effect, Job, RejectReason, Rejection, Ticket};
use crate::latency::Pace;
use crate::limits::{AdmissionPolicy, Limits, Shed};
use crate::queue::Place;
use crate::usage::Usage;

/// The least and the greatest time that a caller is told to stay away.
///
/// Below the least, callers of a full system would come back about as often as
/// hops allow, and their offers would be most of its traffic.
const RETRY: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(30));

/// How often a caller may come back at most in the time that it has.
///
/// Who is refused by a full system is often late by a little only; told no more
/// than that, callers with much time came back 22 times each at five times the
/// capacity, with no more answers.
const RETURNS: u32 = 10;

/// How many times as long as declared the steps of a slow server are.
///
/// A burst of prompts alone makes steps up to twice as long on every server; then
/// there is nowhere better to go.
const SLOW: u32 = 3;

/// How often faded accounts are forgotten.
const TIDY: Duration = Duration::from_secs(1);

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The answer is whole.
    Completed,
    /// The backend server broke off.
    Failed,
    /// The caller or the shell gave up, or the stream was preempted.
    Cancelled,
}

/// How loaded a backend server is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadSnapshot {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Tokens that they may occupy.
    pub cache_tokens: u64,
    /// The estimated wait of a request that comes now and is due last.
    pub estimated_wait: Duration,
    /// The time of a step.
    pub step_time: Duration,
}

/// What a request at the lead is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Waiting,
    Running(Progress),
    /// Told to stop; holds its stream until its end is reported.
    Stopping(Progress),
}

/// How far a dispatched request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Progress {
    since: Instant,
    /// How long it was foreseen to run.
    foreseen: Duration,
    /// When the last token came; the dispatch if none has.
    last: Instant,
    /// What [`AdmissionController::prompts`] was then.
    prompts: u64,
    got: u32,
}

#[derive(Debug, Clone)]
struct Entry {
    job: Job,
    place: Place,
    state: State,
    /// Seconds of stream time that the caller was charged.
    charged: f64,
}

/// The state of one backend server at its lead.
///
/// Requests that are not waiting hold a stream each; there are never more of them
/// than [`Limits::max_streams`], and they never occupy more than [`Limits::max_cache_tokens`]
/// unless a single one does.
#[derive(Debug)]
pub struct AdmissionController {
    limits: Limits,
    rule: AdmissionPolicy,
    pace: Pace,
    usage: Usage,
    jobs: SlotMap<Ticket, Entry>,
    /// In the order of dispatch as of the last change.
    waiting: Vec<Ticket>,
    /// Dispatched and not ended.
    running: Vec<Ticket>,
    effects: Vec<Effect>,
    number: u64,
    /// Tokens of prompts that were computed so far.
    prompts: u64,
    /// The foreseen time of a step, as of the last event.
    step: Duration,
    closed: bool,
    tidied: Instant,
}

impl AdmissionController {
    /// Starts with nothing in flight.
    pub fn new(limits: Limits, rule: AdmissionPolicy, now: Instant) -> Self {
        Self {
            limits,
            rule,
            pace: Pace::new(&limits),
            usage: Usage::new(now),
            jobs: SlotMap::with_key(),
            waiting: Vec::new(),
            running: Vec::new(),
            effects: Vec::new(),
            number: 0,
            prompts: 0,
            step: limits.step_time,
            closed: false,
            tidied: now,
        }
    }

    /// Takes new limits; what already runs beyond them runs on.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Offers a request; an effect about its ticket follows sooner or later.
    pub fn offer(&mut self, job: Job, now: Instant) -> Ticket {
        self.number += 1;
        let place = Place {
            urgency: job.urgency,
            since: now,
            deadline: job.deadline,
            number: self.number,
        };
        let (resumed, entry) =
            (job.resumed, Entry { job, place, state: State::Waiting, charged: 0.0 });
        let ticket = self.jobs.insert(entry);
        self.enqueue(ticket, now);
        self.step = self.foresee_step();
        self.charge(ticket, self.cost(ticket), now);
        if self.closed {
            self.refuse(ticket, RejectReason::Closed, Some(RETRY.0), now);
        } else if !resumed && self.is_short(ticket, now) {
            self.refuse(ticket, RejectReason::Short, None, now);
        } else {
            self.dispatch(now);
            self.make_room(now);
            self.bound(now);
        }
        ticket
    }

    /// Notes tokens of a dispatched request; the first ones include the prefill.
    pub fn record_tokens(&mut self, ticket: Ticket, count: u32, now: Instant) {
        let Some(entry) = self.jobs.get_mut(ticket) else { return };
        let (State::Running(progress) | State::Stopping(progress)) = &mut entry.state
        else {
            return;
        };
        let took = now.saturating_duration_since(progress.last);
        if progress.got == 0 {
            self.pace.first(entry.job.prompt_tokens, took);
            self.prompts += u64::from(entry.job.prompt_tokens);
        } else {
            self.pace.tokens(self.prompts - progress.prompts, count, took);
        }
        progress.got += count;
        progress.last = now;
        progress.prompts = self.prompts;
    }

    /// Notes the end of a request, dispatched or not; later events about it are
    /// ignored.
    pub fn finish(&mut self, ticket: Ticket, how: AttemptEnd, now: Instant) {
        let Some(entry) = self.remove(ticket) else { return };
        let (spent, got) = match entry.state {
            State::Waiting => (0.0, 0),
            State::Running(at) | State::Stopping(at) => {
                (now.saturating_duration_since(at.since).as_secs_f64(), at.got)
            }
        };
        if let (AttemptEnd::Completed, State::Running(at)) = (how, entry.state) {
            self.pace.ran(at.foreseen, now.saturating_duration_since(at.since));
            self.pace.ended(entry.job.urgency, got, entry.job.max_output_tokens);
        }
        self.account(&entry.job, spent - entry.charged, now);
        self.step = self.foresee_step();
        self.dispatch(now);
    }

    /// Refuses what can no longer be in time; to be called a few times a second.
    pub fn tick(&mut self, now: Instant) {
        if now.saturating_duration_since(self.tidied) >= TIDY {
            self.usage.tidy(now);
            self.tidied = now;
        }
        self.step = self.foresee_step();
        self.sort(now);
        self.rescue(now);
        self.dispatch(now);
        self.make_room(now);
    }

    /// Refuses everything that waits and all that is offered from now on.
    pub fn close(&mut self, now: Instant) {
        self.closed = true;
        for ticket in self.waiting.clone() {
            self.refuse(ticket, RejectReason::Closed, Some(RETRY.0), now);
        }
    }

    /// Takes offers again after [`AdmissionController::close`].
    pub fn reopen(&mut self) {
        self.closed = false;
    }

    /// Takes the effects that have come up.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// How loaded the backend server is.
    pub fn snapshot(&self, now: Instant) -> LoadSnapshot {
        let tokens = self.jobs.values().map(|entry| entry.job.cache_tokens()).sum();
        LoadSnapshot {
            running: self.running.len() as u32,
            queued: self.waiting.len() as u32,
            cache_tokens: tokens,
            estimated_wait: self.wait(now),
            step_time: self.step,
        }
    }

    /// How fast the backend server is.
    pub fn pace(&self) -> &Pace {
        &self.pace
    }

    /// Requests that hold a stream, and the tokens that they occupy.
    pub fn in_flight(&self) -> (usize, u64) {
        let tokens =
            self.running.iter().map(|&ticket| self.jobs[ticket].job.cache_tokens());
        (self.running.len(), tokens.sum())
    }

    /// Requests that wait.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Puts a request into its place in the queue.
    fn enqueue(&mut self, ticket: Ticket, now: Instant) {
        let (jobs, order) = (&self.jobs, self.rule.order);
        let place = &jobs[ticket].place;
        let index = self.waiting.partition_point(|&other| {
            jobs[other].place.compare(place, order, now).is_lt()
        });
        self.waiting.insert(index, ticket);
    }

    /// Brings the queue in order again, since requests age.
    fn sort(&mut self, now: Instant) {
        let (jobs, order) = (&self.jobs, self.rule.order);
        self.waiting.sort_by(|&a, &b| jobs[a].place.compare(&jobs[b].place, order, now));
    }

    /// Dispatches in order whatever has room.
    fn dispatch(&mut self, now: Instant) {
        let room = self.room();
        let (mut running, mut used) = self.in_flight();
        let mut index = 0;
        while let Some(&ticket) = self.waiting.get(index) {
            let item = self.item(ticket);
            if let Some(late) = self.hopeless(ticket, item.run, now) {
                self.refuse(ticket, RejectReason::Late, Some(late), now);
            } else if room.takes(running, used, item.tokens, item.urgent) {
                self.waiting.remove(index);
                self.running.push(ticket);
                let progress = Progress {
                    since: now,
                    foreseen: item.run,
                    last: now,
                    prompts: self.prompts,
                    got: 0,
                };
                self.jobs[ticket].state = State::Running(progress);
                self.effects.push(Effect::Dispatch(ticket));
                running += 1;
                used += item.tokens;
            } else if running < room.streams && room.reserve > 0 && !item.urgent {
                // Only the reserve is left: an urgent request may pass.
                index += 1;
            } else {
                break;
            }
        }
    }

    /// By how much a request would be late even if it were dispatched now.
    fn hopeless(&self, ticket: Ticket, run: Duration, now: Instant) -> Option<Duration> {
        let job = &self.jobs[ticket].job;
        let late = (now + run).checked_duration_since(job.deadline)?;
        (self.rule.shed != Shed::Full && !job.resumed).then_some(late)
    }

    /// Keeps the queue within its bound.
    fn bound(&mut self, now: Instant) {
        while self.waiting.len() > self.limits.max_queued {
            let victim = self.dearest(&self.waiting);
            let Some(victim) = victim else { break };
            let told = self.rule.shed != Shed::Full;
            let reason = if told && self.is_hot(victim) {
                RejectReason::Share
            } else {
                RejectReason::Full
            };
            let wait = told.then(|| self.wait(now));
            self.refuse(victim, reason, wait, now);
        }
    }

    fn refuse(
        &mut self,
        ticket: Ticket,
        reason: RejectReason,
        retry: Option<Duration>,
        now: Instant,
    ) {
        let Some(entry) = self.remove(ticket) else { return };
        self.account(&entry.job, -entry.charged, now);
        let left = entry.job.deadline.saturating_duration_since(now);
        let retry = retry.map(|wait| wait.max(left / RETURNS).clamp(RETRY.0, RETRY.1));
        self.effects
            .push(Effect::Refuse(ticket, Rejection { reason, retry_after: retry }));
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Entry> {
        let entry = self.jobs.remove(ticket)?;
        self.waiting.retain(|&other| other != ticket);
        self.running.retain(|&other| other != ticket);
        Some(entry)
    }

    fn charge(&mut self, ticket: Ticket, cost: f64, now: Instant) {
        let Some(entry) = self.jobs.get_mut(ticket) else { return };
        entry.charged = cost;
        let job = entry.job.clone();
        self.account(&job, cost, now);
    }

    fn account(&mut self, job: &Job, cost: f64, now: Instant) {
        let slow = job.urgency == Urgency::Slow;
        self.usage.charge(&job.caller, &job.team, job.share, slow, cost, now);
    }

    /// Whether even an idle backend server could not finish a request in time.
    fn is_short(&self, ticket: Ticket, now: Instant) -> bool {
        let job = &self.jobs[ticket].job;
        let run = self.pace.run(
            job.urgency,
            job.prompt_tokens,
            job.max_output_tokens,
            self.pace.step(0.0),
        );
        self.rule.shed != Shed::Full && now + run > job.deadline
    }

    /// The time after which a request that is due last would start.
    fn wait(&self, now: Instant) -> Duration {
        let order = self.schedule(now);
        let next = Item { run: Duration::ZERO, tokens: 0, urgent: false };
        let items = order.iter().map(|&ticket| self.item(ticket)).chain([next]);
        let begins = starts(self.room(), now, self.held(now), items);
        begins.last().map_or(Duration::ZERO, |&start| start - now)
    }

    fn held(&self, now: Instant) -> impl Iterator<Item = Held> {
        self.running.iter().map(move |&ticket| {
            let entry = &self.jobs[ticket];
            let end = match entry.state {
                State::Running(at) => (at.last + self.run(entry)).max(now),
                State::Waiting | State::Stopping(_) => now,
            };
            Held { end, tokens: entry.job.cache_tokens() }
        })
    }

    fn item(&self, ticket: Ticket) -> Item {
        let entry = &self.jobs[ticket];
        Item {
            run: self.run(entry),
            tokens: entry.job.cache_tokens(),
            urgent: entry.job.urgency == Urgency::Urgent,
        }
    }

    /// The time that a request still takes from its dispatch or its last token.
    fn run(&self, entry: &Entry) -> Duration {
        let (job, step) = (&entry.job, self.step);
        match entry.state {
            State::Running(at) if at.got > 0 => {
                self.pace.rest(job.urgency, job.max_output_tokens, at.got, step)
            }
            State::Stopping(at) => {
                self.pace.rest(job.urgency, job.max_output_tokens, at.got, step)
                    + self.pace.prefill(job.prompt_tokens + at.got)
            }
            State::Waiting | State::Running(_) => {
                self.pace.run(job.urgency, job.prompt_tokens, job.max_output_tokens, step)
            }
        }
    }

    fn cost(&self, ticket: Ticket) -> f64 {
        self.run(&self.jobs[ticket]).as_secs_f64()
    }

    /// The time of a step with the prompts of those that run and wait: while
    /// `n` streams give a mean answer, they and those after them bring `n` prompts.
    fn foresee_step(&self) -> Duration {
        let (mut prompts, mut outputs) = (0.0, 0.0);
        for entry in self.jobs.values() {
            prompts += f64::from(entry.job.prompt_tokens);
            outputs += self.pace.expected(entry.job.urgency, entry.job.max_output_tokens);
        }
        let streams = self.jobs.len().min(self.room().streams) as f64;
        let share = if outputs > 0.0 { streams * prompts / outputs } else { 0.0 };
        self.pace.step(share)
    }

    fn room(&self) -> Room {
        let streams = self.limits.max_streams.max(1) as usize;
        let reserve = (streams as f64 * self.rule.reserve) as usize;
        Room {
            streams,
            reserve: reserve.min(streams - 1),
            tokens: self.limits.max_cache_tokens,
        }
    }
}

/// The bytes that a waiting request occupies, beside its names' text.
pub fn bytes_per_request() -> usize {
    size_of::<Entry>() + size_of::<Ticket>()
}
