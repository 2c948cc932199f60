//! A runner that several accounts, and urgent and latency-tolerant requests, contend for.

mod support;

use std::time::{Duration, Instant};

use chestnut_base::MemberId;
use chestnut_pool::sharing::RunnerSharing;
use chestnut_pool::{
    PrefillAction, PrefillQueue, QueuedPrompt, RequestClass, RunnerCapacity,
    RunnerOccupancy, SharingLimits, Ticket,
};

const DAEMON: MemberId = MemberId(1);
const SLOTS: u32 = 32;
const SERVICE_TIME: Duration = Duration::from_millis(1500);
const URGENT_TIME: Duration = Duration::from_millis(1200);
const PATIENT_TIME: Duration = Duration::from_millis(3500);
/// The interval at which streams of [`PATIENT_TIME`] free the slots of a runner.
const SLOT_INTERVAL: Duration = Duration::from_millis(110);
/// Urgent prompts that arrive at once each second of a burst.
const URGENT_PER_S: u32 = 12;
const TICK: Duration = Duration::from_millis(20);
const TICKS_PER_SECOND: u32 = 50;

fn capacity(requests: u32) -> RunnerCapacity {
    let max_event_gap = Some(Duration::from_millis(250));
    RunnerCapacity { kv_tokens: 90_000, max_event_gap, ..support::capacity(requests) }
}

fn load(requests: u32) -> RunnerOccupancy {
    RunnerOccupancy { slots: SLOTS, requests, service_time: SERVICE_TIME }
}

fn urgent(number: u64, now: Instant) -> QueuedPrompt {
    let (target, deadline) =
        (now + Duration::from_millis(500), now + Duration::from_secs(8));
    QueuedPrompt { target, deadline, ..support::prompt(number, 10, now) }
}

fn patient(number: u64, now: Instant) -> QueuedPrompt {
    let class = RequestClass { patient: true, ..RequestClass::default() };
    let target = now + Duration::from_secs(3);
    QueuedPrompt { urgency: 2, target, class, ..urgent(number, now) }
}

fn of_account(account: &str, prompt: QueuedPrompt) -> QueuedPrompt {
    let class = RequestClass { account: Some(account.into()), ..prompt.class };
    QueuedPrompt { class, ..prompt }
}

fn queue_of(prompts: impl IntoIterator<Item = QueuedPrompt>) -> PrefillQueue {
    let mut queue = PrefillQueue::default();
    prompts.into_iter().for_each(|prompt| queue.push(prompt));
    queue
}

/// A runner with its queue, in steps of [`TICK`].
struct Simulation {
    now: Instant,
    queue: PrefillQueue,
    sharing: RunnerSharing,
    /// Whether the runner is divided.
    divided: bool,
    /// The ends of running requests, and whether they are latency-tolerant.
    running: Vec<(Instant, bool)>,
    urgent_in_time: u32,
    patient_started: u32,
}

impl Simulation {
    fn new(divided: bool) -> Self {
        Self {
            now: Instant::now(),
            queue: PrefillQueue::default(),
            sharing: RunnerSharing::default(),
            divided,
            running: Vec::new(),
            urgent_in_time: 0,
            patient_started: 0,
        }
    }

    fn push(&mut self, count: u32, prompt: fn(u64, Instant) -> QueuedPrompt) {
        (0..count).for_each(|_| self.queue.push(prompt(0, self.now)));
    }

    /// Runs for so many seconds, in each of which so many urgent prompts arrive at once.
    fn run(&mut self, seconds: u32, urgent_per_s: u32) {
        for tick in 0..seconds * TICKS_PER_SECOND {
            if tick % TICKS_PER_SECOND == 0 {
                self.push(urgent_per_s, urgent);
            }
            let now = self.now;
            self.running.retain(|(end, _)| now < *end);
            while let Some(prompt) = self.next_sent() {
                let patient = prompt.class.patient;
                let time = if patient { PATIENT_TIME } else { URGENT_TIME };
                self.sharing.record_admitted(DAEMON, &prompt, time, SERVICE_TIME, now);
                self.running.push((now + time, patient));
                self.patient_started += u32::from(patient);
                self.urgent_in_time += u32::from(!patient && now < prompt.target);
            }
            self.now += TICK;
        }
    }

    fn next_sent(&mut self) -> Option<QueuedPrompt> {
        let requests = self.running.len() as u32;
        let limits = match self.divided {
            true => self.sharing.limits(self.queue.accounts(), load(requests), self.now),
            false => SharingLimits::default(),
        };
        loop {
            let free = capacity(SLOTS - requests);
            match self.queue.next_shared_action(free, &limits, self.now) {
                PrefillAction::Send(prompt) => return Some(prompt),
                PrefillAction::Expired(_) | PrefillAction::Refuse(..) => {}
                PrefillAction::WaitUntil(_) | PrefillAction::Idle => return None,
            }
        }
    }

    fn patient_running(&self) -> u32 {
        self.running.iter().filter(|(_, patient)| *patient).count() as u32
    }
}

#[test]
fn a_burst_of_patient_prompts_leaves_slots_for_urgent_ones() {
    // Drafts fill every slot for 3 to 4 s, and urgent prompts that arrive meanwhile are
    // late. Without the cap, more than half of them are to be late in the two seconds that
    // are worst, as on the day that the part addresses. With it, all can be in time, since
    // urgent prompts alone take half of the slots.
    let burst = |divided| {
        let mut simulation = Simulation::new(divided);
        simulation.run(6, URGENT_PER_S);
        simulation.push(60, patient);
        simulation.urgent_in_time = 0;
        simulation.run(2, URGENT_PER_S);
        let first = std::mem::take(&mut simulation.urgent_in_time);
        simulation.run(2, URGENT_PER_S);
        (first, simulation.urgent_in_time, simulation.patient_started)
    };
    let ((_, undivided, _), (first, divided, patient_started)) =
        (burst(false), burst(true));
    let all = 2 * URGENT_PER_S;
    assert!(undivided < all / 2, "{undivided} of {all} in time without sharing");
    assert_eq!((first, divided), (all, all), "in time with sharing");
    // Of the slots that urgent prompts leave on average, two thirds are used; the others
    // are kept for bursts.
    let left = f64::from(SLOTS) - f64::from(URGENT_PER_S) * URGENT_TIME.as_secs_f64();
    let least = (left * 2.0 / 3.0).ceil() as u32;
    assert!(patient_started >= least, "{patient_started} of {least} started");
}

#[test]
fn patient_prompts_take_all_slots_if_nothing_is_urgent() {
    // Guards against a cap that leaves slots idle after urgent requests have stopped. A
    // draft's caller waits for 12 s, four objectives; those that come then get all slots.
    let mut simulation = Simulation::new(true);
    simulation.run(6, 20);
    simulation.push(60, patient);
    simulation.run(12, 0);
    simulation.push(60, patient);
    simulation.run(1, 0);
    assert_eq!(simulation.patient_running(), SLOTS);
}

#[test]
fn patient_prompts_keep_their_floor_under_urgent_overload() {
    // Guards against starvation: urgent prompts that always wait would keep every
    // latency-tolerant one from starting. In 12 s, the first of which may pass until its
    // target in 3 s, one slot starts two that run for 3.5 s each.
    let mut simulation = Simulation::new(true);
    simulation.run(6, 40);
    simulation.push(8, patient);
    simulation.run(12, 40);
    assert!(simulation.patient_started >= 2, "{} started", simulation.patient_started);
    assert!(simulation.patient_running() <= 1, "{}", simulation.patient_running());
}

/// A runner whose slots latency-tolerant streams hold.
fn held_by_patient_streams(now: Instant) -> RunnerSharing {
    let mut sharing = RunnerSharing::default();
    for number in 0..SLOTS.into() {
        let daemon = MemberId(number % 2);
        sharing.record_admitted(
            daemon,
            &patient(number, now),
            PATIENT_TIME,
            SERVICE_TIME,
            now,
        );
        sharing.record_first_event(Ticket(number));
    }
    sharing
}

#[test]
fn requests_that_ended_early_do_not_count() {
    // Streams may end long before their expected ends, or with a runner that restarts. A
    // count by expected ends alone would keep the cap closed.
    let now = Instant::now();
    let sharing = held_by_patient_streams(now);
    let slots_at = |requests, at| {
        sharing.limits(std::iter::empty(), load(requests), at).patient_slots
    };
    // The reports on what was just admitted are still on their way.
    assert_eq!(slots_at(0, now), 0);
    assert_eq!(slots_at(10, now + Duration::from_secs(1)), SLOTS - 10);
    assert_eq!(slots_at(SLOTS, now + PATIENT_TIME), SLOTS);
}

/// A runner that account "a" has used much more than "b" and "c".
fn used_by_a(now: Instant) -> RunnerSharing {
    let mut sharing = RunnerSharing::default();
    for (number, account) in (100..).zip(["a", "a", "a", "a", "a", "a", "b", "c"]) {
        let prompt = of_account(account, urgent(number, now));
        sharing.record_admitted(DAEMON, &prompt, URGENT_TIME, SERVICE_TIME, now);
    }
    sharing
}

/// The order in which a queue sends prompts.
fn order(prompts: &[QueuedPrompt], limits: &SharingLimits, mut now: Instant) -> Vec<u64> {
    let (mut queue, mut sent) = (queue_of(prompts.to_vec()), Vec::new());
    loop {
        match queue.next_shared_action(capacity(SLOTS), limits, now) {
            PrefillAction::Send(prompt) => sent.push(prompt.ticket.0),
            PrefillAction::WaitUntil(until) if !queue.is_empty() => now = until,
            _ => return sent,
        }
    }
}

#[test]
fn accounts_above_their_share_wait_for_others_of_the_same_urgency() {
    // One account sends six times its usual load; in order of targets its requests, which
    // came first, would all be served before those of the other accounts.
    let now = Instant::now();
    let later = |account, number: u64| {
        let target = now + Duration::from_millis(500 + number);
        QueuedPrompt { target, ..of_account(account, urgent(number, now)) }
    };
    let less_urgent = QueuedPrompt { urgency: 1, ..later("b", 3) };
    let prompts = [later("a", 1), later("a", 2), less_urgent, later("b", 4)];
    let limits = used_by_a(now).limits(["a", "b"].into_iter(), load(8), now);
    assert_eq!(order(&prompts, &limits, now), [4, 1, 2, 3]);
    // With the settings off, a queue decides as if requests had no classes.
    assert_eq!(order(&prompts, &SharingLimits::default(), now), [1, 2, 4, 3]);
    let plain = prompts.map(|prompt| {
        let class =
            RequestClass { patient: prompt.urgency == 1, ..RequestClass::default() };
        QueuedPrompt { class, ..prompt }
    });
    assert_eq!(order(&plain, &SharingLimits::default(), now), [1, 2, 4, 3]);
}

#[test]
fn a_stream_that_must_continue_goes_before_urgent_prompts() {
    // Guards against a stream of a daemon that is about to exit, of which its caller has a part,
    // that waits behind urgent prompts, as one that is late does.
    let now = Instant::now();
    let class = RequestClass { must_continue: true, ..RequestClass::default() };
    let resumed = QueuedPrompt { urgency: 2, target: now, class, ..urgent(3, now) };
    let prompts = [patient(1, now), urgent(2, now), resumed];
    assert_eq!(order(&prompts, &SharingLimits::default(), now), [3, 2, 1]);
}

#[test]
fn withdrawn_requests_are_not_charged() {
    // A request that is admitted at several runners runs at one of them; its account would
    // be above its share at the others.
    let now = Instant::now();
    let mut sharing = used_by_a(now);
    assert!(sharing.share_ratio("a") > 1.5);
    let later = now + Duration::from_millis(200);
    (100..105).for_each(|number| sharing.record_withdrawn(Ticket(number), later));
    assert!(sharing.share_ratio("a") < 1.5, "{}", sharing.share_ratio("a"));
    // Nor are slots kept for them: three of eight requests are left.
    let left = sharing.urgent_load(later) / used_by_a(now).urgent_load(later);
    assert!((left - 0.375).abs() < 1e-9, "{left}");
}

#[test]
fn patient_streams_give_way_to_urgent_prompts() {
    // Urgent requests move to this runner when others are lost. Drafts that have just taken
    // its slots run for seconds, and most of the urgent requests are late.
    let (start, limits) = (Instant::now(), SharingLimits::default());
    let started_in_time = |yielding| {
        let mut sharing = held_by_patient_streams(start);
        let mut queue = queue_of((100..112).map(|number| urgent(number, start)));
        let (mut freed, mut stopped, mut sent, mut in_time) = (0, 0, 0, 0);
        for tick in 0..100 {
            let now = start + TICK * tick;
            freed = freed.max((TICK * tick).div_duration_f64(SLOT_INTERVAL) as u32);
            while let PrefillAction::Send(prompt) =
                queue.next_shared_action(capacity(freed + stopped - sent), &limits, now)
            {
                sent += 1;
                in_time += u32::from(now + prompt.prefill_time <= prompt.target);
            }
            if yielding && freed + stopped == sent {
                let blocked = queue.blocked_by_slots(&limits, SLOT_INTERVAL, now);
                stopped += sharing.streams_to_stop(&blocked, now).values().sum::<u32>();
            }
        }
        in_time
    };
    // Without stops, only slots that become free within the objective of 500 ms are used.
    let free = Duration::from_millis(500).div_duration_f64(SLOT_INTERVAL) as u32;
    assert!(started_in_time(false) <= free, "{} in time", started_in_time(false));
    assert_eq!(started_in_time(true), 12);
}

#[test]
fn prompts_that_gain_nothing_stop_no_stream() {
    // A stopped stream is late. Guards against stopping one for a prompt that gets a slot
    // in time anyway, is late in any case, or may wait itself.
    let now = Instant::now();
    let blocked = |count, prompt: &dyn Fn(u64) -> QueuedPrompt| {
        let queue = queue_of((0..count).map(prompt));
        queue.blocked_by_slots(&SharingLimits::default(), SLOT_INTERVAL, now).len()
    };
    assert_eq!(blocked(4, &|number| urgent(number, now)), 0);
    assert_eq!(blocked(10, &|number| urgent(number, now)), 6);
    assert_eq!(blocked(40, &|number| patient(number, now)), 0);
    let late = |number| QueuedPrompt { target: now, ..urgent(number, now) };
    assert_eq!(blocked(10, &late), 0);
    // Prefills one after another make all but the first two late, whatever the slots.
    let prefill_time = Duration::from_millis(200);
    let long = |number| QueuedPrompt { prefill_time, ..urgent(number, now) };
    assert_eq!(blocked(10, &long), 0);
}

#[test]
fn streams_are_asked_for_within_limits() {
    // Guards against stopping more streams than prompts wait, the same ones twice, those
    // that are as urgent as the prompts, and those without a first event.
    let now = Instant::now();
    let count = |sharing: &mut RunnerSharing, blocked: &[u8], ms| {
        let stops = sharing.streams_to_stop(blocked, now + Duration::from_millis(ms));
        stops.values().sum::<u32>()
    };
    let mut held = held_by_patient_streams(now);
    assert_eq!(count(&mut held, &[2, 2], 10), 0);
    assert_eq!(count(&mut held, &[0, 1, 0], 10), 3);
    assert_eq!(count(&mut held, &[0; 8], 300), 0);
    assert_eq!(count(&mut held, &[0; 64], 320), SLOTS - 3);
    assert_eq!(count(&mut held, &[0; 64], 640), 0);
    // The first requests may have been lost.
    assert_eq!(count(&mut held, &[0; 64], 1100), 3);

    // Streams that run on, as their daemons have no retries left, count against the cap.
    let mut held = held_by_patient_streams(now);
    assert_eq!(count(&mut held, &[0; 4], 10), 4);
    let slots_after = |ms| {
        let at = now + Duration::from_millis(ms);
        held.limits(std::iter::empty(), load(SLOTS), at).patient_slots
    };
    assert_eq!((slots_after(500), slots_after(1500)), (4, 0));

    let mut unstarted = RunnerSharing::default();
    unstarted.record_admitted(DAEMON, &patient(1, now), PATIENT_TIME, SERVICE_TIME, now);
    assert_eq!(count(&mut unstarted, &[0], 10), 0);
}

#[test]
fn each_of_several_runners_asks_for_its_part_of_the_streams() {
    // A prompt waits in the queues of up to three runners. If each of them had a stream
    // stopped for it, two of three would be stopped for nothing.
    let now = Instant::now();
    let mut queue = queue_of((0..52).map(|number| urgent(number, now)));
    let blocked = |queue: &PrefillQueue| {
        queue.blocked_by_slots(&SharingLimits::default(), SLOT_INTERVAL, now).len()
    };
    (0..40).for_each(|number| assert!(queue.withdraw(Ticket(number), now)));
    assert_eq!(blocked(&queue), 3);
}
