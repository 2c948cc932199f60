//! When a runner gets its next prompt.
//!
//! Load pattern: bursts of prompts of very different length at a runner on which
//! twenty streams run. An engine reads waiting prompts between the tokens of those
//! streams, several at a time; each prompt that it reads makes all of them pause. Sent
//! as they come, three long prompts at once make every stream on the runner late,
//! though the runner has time to spare a moment later. The lane therefore sends
//! prompts one after another, as fast as the engine reads them, with a pause after
//! long ones.
//!
//! When prompts come faster than the engine reads, those that can still be on time
//! go first, by urgency; one that is late anyway loses little more by waiting.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// What is left of the longest pause for estimates that are off.
///
/// Reading times are known to a tenth, and a prompt arrives anywhere within a step; over
/// three steps of a pause of 250 to 300 ms that makes 30 ms and 10. With 15 ms left an
/// eighth of all streams paused too long under full load, with 45 a twelfth; with 80
/// long prompts wait for nothing.
const MARGIN: Duration = Duration::from_millis(45);

/// The longest pause between events where none is declared.
const PAUSE: Duration = Duration::from_millis(250);

/// How long a first event is waited for to correct what is assumed of the engine.
const OPEN_TIME: Duration = Duration::from_secs(2);

/// How far back long prompts are remembered.
const LONG_MEMORY: Duration = Duration::from_secs(5);

/// Names a prompt that waits in a lane.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Ticket(pub u64);

/// A prompt that waits.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedPrompt {
    /// Its name.
    pub ticket: Ticket,
    /// How long the engine takes to read it.
    pub prefill_time: Duration,
    /// The tokens that it takes in the KV cache with its answer.
    pub kv_tokens: u64,
    /// How urgent it is; 0 goes first.
    pub urgency: u8,
    /// When its first event has to come to be on time.
    pub target: Instant,
    /// When its caller gives up.
    pub deadline: Instant,
    /// When its adapter is there; nothing while that is not known.
    pub adapter_ready_at: Option<Instant>,
}

/// What a runner has room for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunnerCapacity {
    /// Further requests.
    pub requests: u32,
    /// Further tokens in the KV cache.
    pub kv_tokens: u64,
    /// The longest pause between events for which its streams are on time.
    pub max_event_gap: Option<Duration>,
    /// The time of a step beside what is read in it.
    pub step_time: Duration,
    /// The steps that one event of a stream takes.
    pub steps_per_event: u32,
}

/// What goes before a prompt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Requests.
    pub requests: u32,
    /// Their tokens in the KV cache.
    pub kv_tokens: u64,
    /// How long the engine takes to read them.
    pub prefill_time: Duration,
}

/// What a lane does next.
#[derive(Debug, Clone, PartialEq)]
pub enum PrefillAction {
    /// The prompt may be sent now.
    Send(QueuedPrompt),
    /// The prompt's caller has given up.
    Expired(QueuedPrompt),
    /// Nothing can be sent before this time.
    WaitUntil(Instant),
    /// Nothing can be sent until something changes.
    Idle,
}

/// Prompts on their way to a runner.
#[derive(Debug, Default)]
pub struct PrefillQueue {
    waiting: Vec<QueuedPrompt>,
    /// The last prompts that were sent, as far as one event of a stream can span them.
    recent: VecDeque<Sent>,
    /// Prompts that were sent and have no first event yet, in order.
    open: VecDeque<Open>,
    /// Until when the engine read the last prompt that had its first event.
    read: Option<Instant>,
    /// The time of a step beside what is read in it, as last known.
    step: Duration,
    /// The longest reading that pauses streams for no longer than they may; nothing until
    /// that is known.
    limit: Option<Duration>,
    /// How many prompts take longer than that, in a second.
    long_rate: f64,
    /// When the last of them was sent.
    long_at: Option<Instant>,
}

/// A prompt that was sent and has no first event yet.
#[derive(Debug, Clone, Copy)]
struct Open {
    ticket: Ticket,
    work: Duration,
    at: Instant,
}

/// A prompt that was sent.
#[derive(Debug, Clone, Copy)]
struct Sent {
    /// How long the engine takes to read it.
    work: Duration,
    /// When it has read it.
    end: Instant,
    /// The steps between the prompt before it and this one in which nothing was read.
    idle: u32,
}

impl PrefillQueue {
    /// Adds a prompt.
    pub fn push(&mut self, waiting: QueuedPrompt) {
        self.waiting.push(waiting);
    }

    /// Takes a prompt out; returns whether it waited.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| waiting.ticket != ticket);
        self.waiting.len() < before
    }

    /// Takes note of when a prompt's adapter is there.
    pub fn set_adapter_ready(&mut self, ticket: Ticket, at: Instant) {
        let mut waiting = self.waiting.iter_mut();
        if let Some(one) = waiting.find(|waiting| waiting.ticket == ticket) {
            one.adapter_ready_at = Some(at);
        }
    }

    /// The number of prompts that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no prompt waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// What would go before a prompt that came now; before one that is late already,
    /// all that wait.
    pub fn backlog_ahead(&self, urgency: u8, late: bool, now: Instant) -> Backlog {
        let last = self.recent.back();
        let reading = last.map(|sent| sent.end.saturating_duration_since(now));
        let before = |waiting: &&QueuedPrompt| {
            late || waiting.urgency <= urgency && !is_late(waiting, now)
        };
        let mut ahead =
            Backlog { prefill_time: reading.unwrap_or_default(), ..Backlog::default() };
        for waiting in self.waiting.iter().filter(before) {
            ahead.requests += 1;
            ahead.kv_tokens += waiting.kv_tokens;
            ahead.prefill_time += waiting.prefill_time;
        }
        ahead
    }

    /// Whether reading a prompt alone pauses the streams that run for too long.
    pub fn exceeds_event_gap(&self, work: Duration) -> bool {
        self.limit.is_some_and(|limit| work > limit)
    }

    /// How many such prompts were sent lately, in a second.
    pub fn long_prompt_rate(&self, now: Instant) -> f64 {
        let gone = self.long_at.map(|at| now.saturating_duration_since(at));
        let gone = gone.unwrap_or_default().as_secs_f64();
        self.long_rate * (-gone / LONG_MEMORY.as_secs_f64()).exp()
    }

    /// Decides what to do now, with the runner's room.
    pub fn next_action(&mut self, room: RunnerCapacity, now: Instant) -> PrefillAction {
        self.step = room.step_time;
        let event = room.step_time * room.steps_per_event;
        self.limit = Some(room.max_event_gap.unwrap_or(PAUSE).saturating_sub(event));
        if let Some(at) = self.waiting.iter().position(|one| now >= one.deadline) {
            return PrefillAction::Expired(self.waiting.swap_remove(at));
        }
        let Some(at) = self.best(room, now) else { return self.sleep(now) };
        if let Some(start) = self.start(self.waiting[at].prefill_time, room, now)
            && start > now
        {
            return PrefillAction::WaitUntil(start);
        }
        let waiting = self.waiting.swap_remove(at);
        self.note_sent(&waiting, room.steps_per_event, now);
        PrefillAction::Send(waiting)
    }

    /// Takes in that a prompt had its first event, and `base` of the time since its
    /// sending was not spent on reading; returns whether the engine was free for it.
    ///
    /// The engine may be behind, or ahead of, what was assumed; what was sent after
    /// this prompt is read from now on. Only the time of a prompt that the engine was
    /// free for tells how fast it reads.
    pub fn record_first_event(
        &mut self,
        ticket: Ticket,
        after: Duration,
        base: Duration,
    ) -> bool {
        let Some(place) = self.open.iter().position(|open| open.ticket == ticket) else {
            return false;
        };
        let begun = self.open[place];
        self.open.drain(..=place);
        let free = place == 0 && self.read.is_none_or(|read| read <= begun.at);
        let reading = after.saturating_sub(base);
        self.read = self.read.max(Some(begun.at + reading));
        let Some(last) = self.recent.back_mut() else { return free };
        let mut end = begun.at + reading.max(begun.work);
        for open in &self.open {
            end = end.max(open.at) + open.work + self.step;
        }
        last.end = end;
        free
    }

    fn note_sent(&mut self, waiting: &QueuedPrompt, event_steps: u32, now: Instant) {
        let work = waiting.prefill_time;
        let old = |open: &Open| now.saturating_duration_since(open.at) > OPEN_TIME;
        while self.open.front().is_some_and(old) {
            self.open.pop_front();
        }
        self.open.push_back(Open { ticket: waiting.ticket, work, at: now });
        if self.exceeds_event_gap(work) {
            self.long_rate = self.long_prompt_rate(now) + 1.0 / LONG_MEMORY.as_secs_f64();
            self.long_at = Some(now);
        }
        let idle = self.idle_steps(now);
        self.recent.push_back(Sent { work, end: now + work + self.step, idle });
        while self.recent.len() > event_steps.max(1) as usize {
            self.recent.pop_front();
        }
    }

    /// The steps since the last prompt was read.
    fn idle_steps(&self, now: Instant) -> u32 {
        let last = self.recent.back();
        let idle = last.map(|sent| now.saturating_duration_since(sent.end));
        let step = self.step.max(Duration::from_micros(1));
        idle.map_or(0, |idle| idle.div_duration_f64(step) as u32)
    }

    /// The prompt to send first among those that can be sent.
    fn best(&self, room: RunnerCapacity, now: Instant) -> Option<usize> {
        let fits = |waiting: &QueuedPrompt| {
            room.requests > 0 && waiting.kv_tokens <= room.kv_tokens
        };
        let ready =
            |waiting: &QueuedPrompt| waiting.adapter_ready_at.is_some_and(|at| at <= now);
        let able =
            |(_, waiting): &(usize, &QueuedPrompt)| ready(waiting) && fits(waiting);
        let rank = |waiting: &QueuedPrompt| {
            (is_late(waiting, now), waiting.urgency, waiting.target)
        };
        let able = self.waiting.iter().enumerate().filter(able);
        able.min_by_key(|(_, waiting)| rank(waiting)).map(|(index, _)| index)
    }

    /// When a prompt of `work` may be sent at the earliest.
    ///
    /// What is read in the steps of one event has to fit into the longest pause: prompts
    /// that went shortly before count as long as an event can span their steps and the new
    /// one's. Where they are too much, as many steps without a prompt go between as bring
    /// the first of them out of reach.
    fn start(
        &self,
        work: Duration,
        room: RunnerCapacity,
        now: Instant,
    ) -> Option<Instant> {
        let last = self.recent.back()?;
        let pause = room.max_event_gap.unwrap_or(PAUSE);
        let limit = pause.saturating_sub(room.step_time * room.steps_per_event + MARGIN);
        let (mut behind, mut sum) = (self.idle_steps(now), work);
        for sent in self.recent.iter().rev() {
            // An event that ends with the new prompt's step began at most this many steps
            // before it.
            let span = room.steps_per_event.saturating_sub(1);
            if behind >= span {
                break;
            }
            sum += sent.work;
            if sum > limit {
                return Some(last.end + room.step_time * (span - behind));
            }
            behind = behind.saturating_add(1).saturating_add(sent.idle);
        }
        Some(last.end)
    }

    /// Until when nothing can be sent, as far as time alone decides.
    fn sleep(&self, now: Instant) -> PrefillAction {
        let ready = self.waiting.iter().filter_map(|waiting| waiting.adapter_ready_at);
        let deadlines = self.waiting.iter().map(|waiting| waiting.deadline);
        let times = ready.filter(|at| *at > now).chain(deadlines);
        times.min().map_or(PrefillAction::Idle, PrefillAction::WaitUntil)
    }
}

/// Whether a prompt's first event would be late if it were sent now.
fn is_late(waiting: &QueuedPrompt, now: Instant) -> bool {
    now + waiting.prefill_time > waiting.target
}
