//! What holds for every sequence of events at a lead.

use std::cmp::Ordering;
use std::time::{Duration, Instant};

use chestnut_admit::queue::Place;
use chestnut_admit::{
    AdmissionController, AdmissionPolicy, AttemptEnd, Effect, Job, Limits, Order, Ticket,
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
enum Step {
    Offer { caller: u8, class: u8, within: u64, prompt: u32, output: u32 },
    Tokens { which: usize, count: u32 },
    Finish { which: usize, done: bool },
    Pass { millis: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3u8, 0..3u8, 10..8000u64, 1..200u32, 1..200u32).prop_map(
            |(caller, class, within, prompt, output)| {
                Step::Offer { caller, class, within, prompt, output }
            }
        ),
        3 => (any::<usize>(), 1..20u32)
            .prop_map(|(which, count)| Step::Tokens { which, count }),
        2 => (any::<usize>(), any::<bool>())
            .prop_map(|(which, done)| Step::Finish { which, done }),
        3 => (1..500u64).prop_map(|millis| Step::Pass { millis }),
    ]
}

/// A lead and what the shell around it would know.
struct Shell {
    lead: AdmissionController,
    now: Instant,
    /// Offered, neither dispatched nor refused nor taken back.
    waiting: IndexSet<Ticket>,
    /// Dispatched and not ended, with the tokens that they occupy.
    running: IndexMap<Ticket, u64>,
    tokens: IndexMap<Ticket, u64>,
    refused: IndexSet<Ticket>,
}

impl Shell {
    fn new(rule: AdmissionPolicy) -> Self {
        let now = Instant::now();
        Self {
            lead: AdmissionController::new(LIMITS, rule, now),
            now,
            waiting: IndexSet::new(),
            running: IndexMap::new(),
            tokens: IndexMap::new(),
            refused: IndexSet::new(),
        }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Offer { caller, class, within, prompt, output } => {
                let job = job(caller, class, self.now, within, prompt, output);
                let tokens = job.cache_tokens();
                let ticket = self.lead.offer(job, self.now);
                self.waiting.insert(ticket);
                self.tokens.insert(ticket, tokens);
            }
            Step::Tokens { which, count } => {
                if let Some(ticket) = pick(self.running.keys(), which) {
                    self.lead.record_tokens(ticket, count, self.now);
                }
            }
            Step::Finish { which, done } => {
                let all = self.running.keys().chain(&self.waiting);
                if let Some(ticket) = pick(all, which) {
                    let how =
                        if done { AttemptEnd::Completed } else { AttemptEnd::Cancelled };
                    self.end(ticket, how);
                }
            }
            Step::Pass { millis } => {
                self.now += Duration::from_millis(millis);
                self.lead.tick(self.now);
            }
        }
        self.take_effects();
    }

    fn end(&mut self, ticket: Ticket, how: AttemptEnd) {
        self.waiting.swap_remove(&ticket);
        self.running.swap_remove(&ticket);
        self.lead.finish(ticket, how, self.now);
        // The end of a request may be told twice; the second changes nothing.
        self.lead.finish(ticket, how, self.now);
    }

    fn take_effects(&mut self) {
        for effect in self.lead.take_effects() {
            match effect {
                Effect::Dispatch(ticket) => {
                    // Each ticket is dispatched once, and never after a refusal.
                    assert!(self.waiting.swap_remove(&ticket));
                    assert!(!self.refused.contains(&ticket));
                    self.running.insert(ticket, self.tokens[&ticket]);
                }
                Effect::Refuse(ticket, rejection) => {
                    // Refused means not dispatched, and told at once.
                    assert!(self.waiting.swap_remove(&ticket));
                    assert!(self.refused.insert(ticket));
                    assert!(rejection.retry_after.is_none_or(|retry| !retry.is_zero()));
                }
                Effect::Preempt(ticket) => assert!(self.running.contains_key(&ticket)),
            }
        }
    }

    fn check(&self) {
        let (running, tokens) = self.lead.in_flight();
        assert_eq!(running, self.running.len());
        assert_eq!(tokens, self.running.values().sum::<u64>());
        assert_eq!(self.lead.queued(), self.waiting.len());
        assert!(running <= LIMITS.max_streams as usize);
        assert!(tokens <= LIMITS.max_cache_tokens || running == 1);
        assert!(self.lead.queued() <= LIMITS.max_queued);
    }
}

proptest! {
    /// Never more in flight than the limits, refused means not dispatched, and
    /// what the lead counts is what the shell has, for the chosen rule and others.
    #[test]
    fn counts_are_exact_and_within_limits(
        steps in prop::collection::vec(step(), 1..120),
        rule in prop_oneof![
            Just(AdmissionPolicy::default()),
            Just(AdmissionPolicy::FIFO),
            Just(AdmissionPolicy { reserve: 0.5, order: Order::Class, ..AdmissionPolicy::default() }),
        ],
    ) {
        let mut shell = Shell::new(rule);
        for step in &steps {
            shell.apply(step);
            shell.check();
        }
    }

    /// No starvation: while streams end, everything that waits is dispatched or
    /// refused by its deadline; afterwards all counts are back at zero.
    #[test]
    fn nothing_waits_beyond_its_deadline(
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut shell = Shell::new(AdmissionPolicy::default());
        for step in &steps {
            shell.apply(step);
        }
        // No request has more than 8 s; streams are let run to their end.
        for _ in 0..90 {
            let running: Vec<_> = shell.running.keys().copied().collect();
            for ticket in running {
                shell.end(ticket, AttemptEnd::Completed);
                shell.take_effects();
            }
            shell.apply(&Step::Pass { millis: 100 });
            shell.check();
        }
        prop_assert_eq!(shell.lead.in_flight(), (0, 0));
        prop_assert_eq!(shell.lead.queued(), 0);
    }

    /// The order of the queue is total at any one time.
    #[test]
    fn queue_order_is_total(
        parts in prop::collection::vec((0..3u8, 0..50u64, 0..50u64), 3),
        order in prop_oneof![
            Just(Order::Arrival), Just(Order::Class), Just(Order::Deadline)
        ],
        later in 0..60u64,
    ) {
        let start = Instant::now();
        let at = |millis| start + Duration::from_millis(millis);
        let places: Vec<Place> = parts
            .iter()
            .enumerate()
            .map(|(number, &(class, since, within))| Place {
                urgency: urgency(class),
                since: at(since),
                deadline: at(since + within),
                number: number as u64,
            })
            .collect();
        let compare = |a: usize, b: usize| {
            places[a].compare(&places[b], order, at(later))
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

fn pick<'a>(all: impl Iterator<Item = &'a Ticket>, which: usize) -> Option<Ticket> {
    let all: Vec<_> = all.copied().collect();
    (!all.is_empty()).then(|| all[which % all.len()])
}

fn urgency(class: u8) -> Urgency {
    [Urgency::Urgent, Urgency::Normal, Urgency::Slow][usize::from(class)]
}

fn job(
    caller: u8,
    class: u8,
    now: Instant,
    within: u64,
    prompt: u32,
    output: u32,
) -> Job {
    Job {
        caller: CallerName::try_from(format!("caller-{caller}")).unwrap(),
        team: TeamName::try_from("team").unwrap(),
        share: 1,
        urgency: urgency(class),
        deadline: now + Duration::from_millis(within),
        prompt_tokens: prompt,
        max_output_tokens: output,
        resumable: class == 2,
        resumed: false,
    }
}
