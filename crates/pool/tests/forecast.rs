//! Early refusal: which queued prompts are refused before their callers leave, and when.

mod support;

use std::time::{Duration, Instant};

use chestnut_pool::forecast::{Rank, StartRates, WaitingPrompt, hopeless_prompts};
use chestnut_pool::prefill_queue::FORECAST_INTERVAL;
use chestnut_pool::{
    PrefillAction, PrefillQueue, QueuedPrompt, RequestClass, RunnerCapacity, RunnerLoad,
    SharingLimits, Ticket, Usage,
};

const SLOTS: u32 = 12;
const SERVICE: Duration = Duration::from_millis(1200);

/// How long a caller waits for its first event.
const WAIT_LIMIT: Duration = Duration::from_secs(4);

/// What became of the prompts of one simulated load.
#[derive(Debug, Default)]
struct Ends {
    /// Prompts that were started while others arrived.
    started: u32,
    /// Prompts that were started afterwards.
    started_later: u32,
    /// Those of them that were started in time.
    in_time: u32,
    /// The waits of those that were refused or whose deadline passed.
    lost_after: Vec<Duration>,
}

impl Ends {
    fn median_loss(&self) -> Duration {
        let mut waits = self.lost_after.clone();
        waits.sort_unstable();
        waits.get(waits.len() / 2).copied().unwrap_or_default()
    }
}

fn capacity(running: u32) -> RunnerCapacity {
    RunnerCapacity { kv_tokens: 44_654, ..support::capacity(SLOTS - running) }
}

fn load(running: u32, service_time: Duration) -> RunnerLoad {
    let usage = Usage { requests: running, ..Usage::default() };
    RunnerLoad { slots: SLOTS, kv_tokens: 44_654, usage, service_time }
}

fn prompt(number: u64, now: Instant) -> QueuedPrompt {
    QueuedPrompt { kv_tokens: 600, urgency: 1, ..support::prompt(number, 20, now) }
}

/// The prompt that a queue refuses, if there is one, and its expected wait.
fn refuse(
    queue: &mut PrefillQueue,
    load: &RunnerLoad,
    now: Instant,
) -> Option<(QueuedPrompt, Duration)> {
    match queue.refuse_hopeless(load, &SharingLimits::default(), now)? {
        PrefillAction::Refuse(prompt, wait) => Some((prompt, wait)),
        other => panic!("{other:?}"),
    }
}

/// Plays arrivals every `gaps_ms[i]` milliseconds during second `i` at one runner.
///
/// `believed` is the service time that forecasts use; `None` makes no forecasts.
fn play(gaps_ms: &[u64], believed: Option<Duration>) -> Ends {
    let start = Instant::now();
    let (mut queue, mut ends) = (PrefillQueue::default(), Ends::default());
    let mut running: Vec<Instant> = Vec::new();
    let (mut next_ms, mut number) = (0, 0);
    for millis in 0..(gaps_ms.len() as u64 * 1000 + 5000) {
        let now = start + Duration::from_millis(millis);
        running.retain(|end| now < *end);
        let gap = gaps_ms.get((millis / 1000) as usize).copied();
        if let Some(gap) = gap.filter(|_| millis >= next_ms) {
            next_ms = millis + gap;
            number += 1;
            queue.push(prompt(number, now));
            queue.allow_refusal(Ticket(number));
        }
        let count = |running: &Vec<Instant>| running.len() as u32;
        let lost = |prompt: &QueuedPrompt| now + WAIT_LIMIT - prompt.deadline;
        while let Some((prompt, _)) = believed
            .and_then(|time| refuse(&mut queue, &load(count(&running), time), now))
        {
            ends.lost_after.push(lost(&prompt));
        }
        loop {
            match queue.next_action(capacity(count(&running)), now) {
                PrefillAction::Send(prompt) => {
                    match gap {
                        Some(_) => ends.started += 1,
                        None => ends.started_later += 1,
                    }
                    ends.in_time += u32::from(now <= prompt.target);
                    // Services of 0.6 to 1.8 s, in a fixed order.
                    let part = (prompt.ticket.0 * 7 % 13) as u32;
                    running.push(now + SERVICE / 2 + SERVICE * part / 12);
                }
                PrefillAction::Expired(prompt) => ends.lost_after.push(lost(&prompt)),
                _ => break,
            }
        }
    }
    ends
}

#[test]
fn prompts_without_a_prospect_are_refused_early() {
    // Twice as many prompts arrive for 8 s as the runner can start. Late ones are passed
    // over by those that can be in time, and without a forecast they are refused when
    // their callers leave. Refused earlier, their callers can try again after the least
    // Retry-After, which they do if it is at most a third of their remaining time. What the
    // runner starts must not become less.
    let gaps = [50; 8];
    let (without, with) = (play(&gaps, None), play(&gaps, Some(SERVICE)));
    let summary = format!("{without:?}, with forecasts {with:?}");
    assert!(without.median_loss() >= WAIT_LIMIT, "{summary}");
    // Within its objective a caller can still try again in time.
    assert!(with.median_loss() <= Duration::from_secs(1), "{summary}");
    assert!(with.started >= without.started, "{summary}");
    assert!(with.in_time >= without.in_time, "{summary}");
}

#[test]
fn nothing_is_refused_that_can_be_started() {
    // A second with three times the load that the runner takes, then seconds with little:
    // all prompts can be started before their callers leave. A forecast on the long side
    // would refuse work that there is capacity for, also if it believes that requests take
    // half as long again as they do.
    for believed in [SERVICE, SERVICE * 3 / 2] {
        let ends = play(&[35, 400, 400, 400], Some(believed));
        assert_eq!(ends.lost_after, Vec::<Duration>::new(), "{believed:?}");
    }
}

#[test]
fn a_prompt_is_refused_only_after_two_forecasts() {
    // Guards against a refusal by a single forecast, which may see a burst that other
    // runners relieve at once, and of a prompt whose daemon knows no early refusal.
    let start = Instant::now();
    let mut queue = PrefillQueue::default();
    for number in 1..=2 {
        let deadline = start + Duration::from_millis(600);
        queue.push(QueuedPrompt { deadline, ..prompt(number, start) });
    }
    queue.allow_refusal(Ticket(1));
    // All slots are taken by requests that take 10 s, one of which ends after 0.8 s.
    let full = load(SLOTS, Duration::from_secs(10));
    let mut refused_after =
        |ms| refuse(&mut queue, &full, start + Duration::from_millis(ms));
    assert_eq!((refused_after(0), refused_after(50)), (None, None));
    let (refused, wait) = refused_after(100).expect("two forecasts without a prospect");
    assert_eq!(refused.ticket, Ticket(1));
    assert!(wait > Duration::from_millis(600), "{wait:?}");
    assert_eq!(refused_after(300), None);
    assert_eq!(queue.len(), 1);
}

#[test]
fn a_prospect_between_two_forecasts_prevents_a_refusal() {
    // Slots become free between two forecasts. Guards against counting forecasts that are
    // not consecutive.
    let start = Instant::now();
    let mut queue = PrefillQueue::default();
    let deadline = start + Duration::from_millis(700);
    queue.push(QueuedPrompt { deadline, ..prompt(1, start) });
    queue.allow_refusal(Ticket(1));
    let time = Duration::from_secs(10);
    for (after_ms, running) in [(0, SLOTS), (100, 4), (200, SLOTS)] {
        let now = start + Duration::from_millis(after_ms);
        assert_eq!(refuse(&mut queue, &load(running, time), now), None, "{after_ms}");
    }
}

#[test]
fn prompts_beyond_the_cap_do_not_lengthen_the_wait_of_others() {
    // Latency-tolerant prompts that the cap holds back are ahead of urgent ones that are
    // late already, in the order of the queue. A forecast that counts them refuses urgent
    // prompts for which a slot is about to become free.
    let start = Instant::now();
    let refused = |limits: SharingLimits| {
        let mut queue = PrefillQueue::default();
        for number in 1..=60 {
            let class = RequestClass { patient: true, ..RequestClass::default() };
            queue.push(QueuedPrompt { urgency: 2, class, ..prompt(number, start) });
        }
        let deadline = start + Duration::from_secs(2);
        queue.push(QueuedPrompt { target: start, deadline, ..prompt(61, start) });
        queue.allow_refusal(Ticket(61));
        let mut forecasts = (0..2).map(|index| start + FORECAST_INTERVAL * index);
        forecasts.any(|now| {
            queue.refuse_hopeless(&load(SLOTS, SERVICE), &limits, now).is_some()
        })
    };
    let mut capped = SharingLimits::default();
    capped.patient_slots = 0;
    assert!(refused(SharingLimits::default()));
    assert!(!refused(capped));
}

#[test]
fn prompts_that_start_elsewhere_shorten_the_wait() {
    // Each request waits at three runners, and most of those ahead are withdrawn because
    // another runner starts them. A forecast that counts them all refuses prompts that are
    // about to start.
    let now = Instant::now();
    let rank = Rank { late: false, urgency: 1 };
    let waiting: Vec<WaitingPrompt> = (0..40)
        .map(|number| prompt(number, now))
        .map(|QueuedPrompt { ticket, prefill_time, kv_tokens, deadline, .. }| {
            let late_at = deadline;
            WaitingPrompt { ticket, rank, prefill_time, kv_tokens, late_at, deadline }
        })
        .collect();
    let full = load(SLOTS, SERVICE * 2);
    let mut rates = StartRates::default();
    let hopeless =
        |rates: &StartRates| hopeless_prompts(&full, rates, &waiting, now, now).len();
    let none_withdrawn = hopeless(&rates);
    (0..20).for_each(|_| rates.record_withdrawal(rank));
    assert!(none_withdrawn > 0);
    assert_eq!(hopeless(&rates), 0, "{none_withdrawn} if none were withdrawn");
}

#[test]
fn arrivals_after_a_refusal_are_told_at_once() {
    // Guards against requests that wait for two forecasts of their own while the runner is
    // known to be overloaded, and against refusing more urgent ones or those that arrive
    // once the overload may have ended.
    let start = Instant::now();
    let mut queue = PrefillQueue::default();
    let deadline = start + Duration::from_millis(600);
    queue.push(QueuedPrompt { deadline, ..prompt(1, start) });
    queue.allow_refusal(Ticket(1));
    let full = load(SLOTS, Duration::from_secs(10));
    queue.refuse_hopeless(&full, &SharingLimits::default(), start);
    assert_eq!(queue.overload_wait(1, start), Duration::ZERO);
    let refused_at = start + Duration::from_millis(100);
    let refused = queue.refuse_hopeless(&full, &SharingLimits::default(), refused_at);
    let Some(PrefillAction::Refuse(_, wait)) = refused else { panic!("{refused:?}") };
    let later = refused_at + Duration::from_millis(150);
    assert_eq!(queue.overload_wait(1, later), wait);
    assert_eq!(queue.overload_wait(2, later), wait);
    assert_eq!(queue.overload_wait(0, later), Duration::ZERO);
    assert_eq!(queue.overload_wait(1, later + Duration::from_secs(1)), Duration::ZERO);
}
