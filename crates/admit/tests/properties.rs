//! Properties of the admission controller for arbitrary event sequences.

use std::cmp::Ordering;
use std::time::{Duration, Instant};

use chestnut_admit::queue::QueueKey;
use chestnut_admit::{
    AdmissionController, AdmissionPolicy, AttemptEnd, Effect, Job, Limits, QueueOrder,
    Ticket,
};
use chestnut_base::{CallerName, TeamName, Urgency};
use indexmap::{IndexMap, IndexSet};
use proptest::prelude::*;

const LIMITS: Limits = Limits {
    max_streams: 4,
    max_cache_tokens: 400,
    max_queued: 6,
    step_time: Duration::from_millis(10),
};

#[derive(Debug, Clone)]
enum Event {
    Offer { caller: u8, class: u8, budget_ms: u64, prompt: u32, output: u32 },
    Tokens { index: usize, count: u32 },
    Finish { index: usize, completed: bool },
    Advance { millis: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..3u8, 0..3u8, 10..8000u64, 1..200u32, 1..200u32).prop_map(
            |(caller, class, budget_ms, prompt, output)| {
                Event::Offer { caller, class, budget_ms, prompt, output }
            }
        ),
        3 => (any::<usize>(), 1..20u32)
            .prop_map(|(index, count)| Event::Tokens { index, count }),
        2 => (any::<usize>(), any::<bool>())
            .prop_map(|(index, completed)| Event::Finish { index, completed }),
        3 => (1..500u64).prop_map(|millis| Event::Advance { millis }),
    ]
}

/// A controller with a reference model of its state.
struct Harness {
    controller: AdmissionController,
    now: Instant,
    /// Offered and not yet dispatched, refused or finished.
    waiting: IndexSet<Ticket>,
    /// Dispatched and not finished, with the KV cache tokens that they occupy.
    running: IndexMap<Ticket, u64>,
    /// The KV cache tokens of all requests ever offered.
    cache_tokens: IndexMap<Ticket, u64>,
    refused: IndexSet<Ticket>,
}

impl Harness {
    fn new(policy: AdmissionPolicy) -> Self {
        let now = Instant::now();
        Self {
            controller: AdmissionController::new(LIMITS, policy, now),
            now,
            waiting: IndexSet::new(),
            running: IndexMap::new(),
            cache_tokens: IndexMap::new(),
            refused: IndexSet::new(),
        }
    }

    fn apply(&mut self, event: &Event) {
        match *event {
            Event::Offer { caller, class, budget_ms, prompt, output } => {
                let job = job(caller, class, self.now, budget_ms, prompt, output);
                let cache_tokens = job.cache_tokens();
                let ticket = self.controller.offer(job, self.now);
                self.waiting.insert(ticket);
                self.cache_tokens.insert(ticket, cache_tokens);
            }
            Event::Tokens { index, count } => {
                if let Some(ticket) = pick(self.running.keys(), index) {
                    self.controller.record_tokens(ticket, count, self.now);
                }
            }
            Event::Finish { index, completed } => {
                let all = self.running.keys().chain(&self.waiting);
                if let Some(ticket) = pick(all, index) {
                    let end = if completed {
                        AttemptEnd::Completed
                    } else {
                        AttemptEnd::Cancelled
                    };
                    self.finish(ticket, end);
                }
            }
            Event::Advance { millis } => {
                self.now += Duration::from_millis(millis);
                self.controller.tick(self.now);
            }
        }
        self.apply_effects();
    }

    fn finish(&mut self, ticket: Ticket, end: AttemptEnd) {
        self.waiting.swap_remove(&ticket);
        self.running.swap_remove(&ticket);
        self.controller.finish(ticket, end, self.now);
        // The end of a request may be reported twice; the second report has no effect.
        self.controller.finish(ticket, end, self.now);
    }

    fn apply_effects(&mut self) {
        for effect in self.controller.take_effects() {
            match effect {
                Effect::Dispatch(ticket) => {
                    // Each ticket is dispatched once, and never after a refusal.
                    assert!(self.waiting.swap_remove(&ticket));
                    assert!(!self.refused.contains(&ticket));
                    self.running.insert(ticket, self.cache_tokens[&ticket]);
                }
                Effect::Refuse(ticket, rejection) => {
                    // A refused request was not dispatched and is refused only once.
                    assert!(self.waiting.swap_remove(&ticket));
                    assert!(self.refused.insert(ticket));
                    assert!(rejection.retry_after.is_none_or(|retry| !retry.is_zero()));
                }
                Effect::Preempt(ticket) => assert!(self.running.contains_key(&ticket)),
            }
        }
    }

    fn check(&self) {
        let (running, cache_tokens) = self.controller.in_flight();
        assert_eq!(running, self.running.len());
        assert_eq!(cache_tokens, self.running.values().sum::<u64>());
        assert_eq!(self.controller.queued(), self.waiting.len());
        assert!(running <= LIMITS.max_streams as usize);
        assert!(cache_tokens <= LIMITS.max_cache_tokens || running == 1);
        assert!(self.controller.queued() <= LIMITS.max_queued);
    }
}

proptest! {
    /// Requests in flight stay within the limits, a refused request is never dispatched,
    /// and the controller's counts match the model, for the default policy and others.
    #[test]
    fn counts_are_exact_and_within_limits(
        events in prop::collection::vec(event(), 1..120),
        policy in prop_oneof![
            Just(AdmissionPolicy::default()),
            Just(AdmissionPolicy::FIFO),
            Just(AdmissionPolicy {
                urgent_reserve: 0.5,
                queue_order: QueueOrder::Priority,
                ..AdmissionPolicy::default()
            }),
        ],
    ) {
        let mut harness = Harness::new(policy);
        for event in &events {
            harness.apply(event);
            harness.check();
        }
    }

    /// No starvation: as long as streams end, every waiting request is dispatched or
    /// refused by its deadline, and all counts return to zero.
    #[test]
    fn no_request_waits_beyond_its_deadline(
        events in prop::collection::vec(event(), 1..120),
    ) {
        let mut harness = Harness::new(AdmissionPolicy::default());
        for event in &events {
            harness.apply(event);
        }
        // No time budget exceeds 8 s; all streams run to completion.
        for _ in 0..90 {
            let running: Vec<_> = harness.running.keys().copied().collect();
            for ticket in running {
                harness.finish(ticket, AttemptEnd::Completed);
                harness.apply_effects();
            }
            harness.apply(&Event::Advance { millis: 100 });
            harness.check();
        }
        prop_assert_eq!(harness.controller.in_flight(), (0, 0));
        prop_assert_eq!(harness.controller.queued(), 0);
    }

    /// The order of the queue is total at any given time.
    #[test]
    fn queue_order_is_total(
        parts in prop::collection::vec((0..3u8, 0..50u64, 0..50u64), 3),
        order in prop_oneof![
            Just(QueueOrder::Fifo), Just(QueueOrder::Priority), Just(QueueOrder::Deadline)
        ],
        elapsed_ms in 0..60u64,
    ) {
        let start = Instant::now();
        let at = |millis| start + Duration::from_millis(millis);
        let keys: Vec<QueueKey> = parts
            .iter()
            .enumerate()
            .map(|(number, &(class, enqueued_at, budget_ms))| QueueKey {
                urgency: urgency(class),
                enqueued_at: at(enqueued_at),
                deadline: at(enqueued_at + budget_ms),
                sequence: number as u64,
            })
            .collect();
        let compare = |a: usize, b: usize| {
            keys[a].compare(&keys[b], order, at(elapsed_ms))
        };
        for a in 0..3 {
            for b in 0..3 {
                prop_assert_eq!(compare(a, b), compare(b, a).reverse());
                prop_assert_eq!(compare(a, b) == Ordering::Equal, a == b);
                for c in 0..3 {
                    if compare(a, b).is_le() && compare(b, c).is_le() {
                        prop_assert!(compare(a, c).is_le());
                    }
                }
            }
        }
    }
}

fn pick<'a>(tickets: impl Iterator<Item = &'a Ticket>, index: usize) -> Option<Ticket> {
    let all: Vec<_> = tickets.copied().collect();
    (!all.is_empty()).then(|| all[index % all.len()])
}

fn urgency(class: u8) -> Urgency {
    [Urgency::Urgent, Urgency::Normal, Urgency::Slow][usize::from(class)]
}

fn job(
    caller: u8,
    class: u8,
    now: Instant,
    budget_ms: u64,
    prompt_tokens: u32,
    max_output_tokens: u32,
) -> Job {
    Job {
        caller: CallerName::try_from(format!("caller-{caller}")).unwrap(),
        team: TeamName::try_from("team").unwrap(),
        share: 1,
        urgency: urgency(class),
        deadline: now + Duration::from_millis(budget_ms),
        prompt_tokens,
        max_output_tokens,
        resumable: class == 2,
        resumed: false,
    }
}
