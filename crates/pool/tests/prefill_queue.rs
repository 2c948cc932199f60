//! Prompts on their way to a runner, when more come than it reads at once.

mod support;

use std::time::{Duration, Instant};

use chestnut_pool::{
    EngineTimings, PrefillAction, PrefillQueue, QueuedPrompt, RunnerCapacity, Ticket,
};
use proptest::prelude::*;

use support::{Answer, TimedEngine, at, model};

/// The longest pause between events for which a stream is on time.
const PAUSE: f64 = 250.0;

fn room() -> RunnerCapacity {
    let pause = Some(Duration::from_millis(PAUSE as u64));
    let step = Duration::from_millis(12);
    RunnerCapacity {
        requests: 64,
        kv_tokens: 150_000,
        max_event_gap: pause,
        step_time: step,
        steps_per_event: 3,
    }
}

fn waiting(number: u64, tokens: u32, urgency: u8, start: Instant) -> QueuedPrompt {
    QueuedPrompt {
        ticket: Ticket(number),
        prefill_time: Duration::from_micros(u64::from(tokens) * 50),
        kv_tokens: u64::from(tokens),
        urgency,
        target: start + Duration::from_millis(800),
        deadline: start + Duration::from_secs(15),
        adapter_ready_at: Some(start),
    }
}

/// Waves of prompts of very different length, as (time in ms, tokens).
fn waves() -> Vec<(f64, u32)> {
    let lengths = [300, 3700, 900, 1500, 200, 2800, 600, 1200, 3900, 500];
    let wave = |wave: usize| {
        let prompt = move |at: usize| (wave as f64 * 900.0, lengths[(wave + at) % 10]);
        (0..5).map(prompt)
    };
    (0..12).flat_map(wave).collect()
}

/// Sends everything as it comes.
fn at_once(load: &[(f64, u32)]) -> Vec<Answer> {
    let mut engine = TimedEngine::default();
    let mut sent = 0;
    while sent < load.len() || engine.load() > 0 {
        while sent < load.len() && load[sent].0 <= engine.now {
            engine.take(sent, load[sent].1, 40);
            sent += 1;
        }
        engine.step();
    }
    engine.answers.into_values().collect()
}

/// Sends what the lane says.
fn through_lane(load: &[(f64, u32)]) -> Vec<Answer> {
    let (mut engine, mut lane) = (TimedEngine::default(), PrefillQueue::default());
    drive(load, &mut engine, &mut lane, room());
    engine.answers.into_values().collect()
}

/// Sends an engine what the lane says until all is answered.
fn drive(
    load: &[(f64, u32)],
    engine: &mut TimedEngine,
    lane: &mut PrefillQueue,
    room: RunnerCapacity,
) {
    let start = Instant::now();
    let mut came = 0;
    while came < load.len() || engine.load() > 0 || !lane.is_empty() {
        let now = at(start, engine.now);
        while came < load.len() && load[came].0 <= engine.now {
            lane.push(waiting(came as u64, load[came].1, 0, now));
            came += 1;
        }
        while let PrefillAction::Send(one) = lane.next_action(room, now) {
            engine.take(one.ticket.0 as usize, one.kv_tokens as u32, 40);
        }
        engine.step();
    }
}

fn late(answers: &[Answer]) -> usize {
    answers.iter().filter(|answer| answer.pause > PAUSE).count()
}

#[test]
fn waves_of_prompts_pause_no_stream() {
    // Five prompts come at once, some of them long. Sent as they come, the engine reads
    // several between two tokens, and the streams of all callers on the runner pause
    // for half a second. Through the lane they come one after another.
    let load = waves();
    let (baseline, lane) = (late(&at_once(&load)), late(&through_lane(&load)));
    assert!(baseline >= load.len() / 3, "{baseline} streams are late without a lane");
    assert_eq!(lane, 0, "streams are late with a lane");
}

#[test]
fn events_of_many_tokens_span_many_prompts() {
    // Guards against looking at the last two prompts alone: where an event takes nine short
    // steps, a wave of short prompts is read within one of them, and every stream pauses.
    let (step, event_steps) = (5.0, 9);
    let load: Vec<(f64, u32)> =
        (0..80).map(|at| (f64::from(at / 8) * 700.0, 700)).collect();
    let room = RunnerCapacity {
        step_time: Duration::from_millis(5),
        steps_per_event: event_steps,
        ..room()
    };
    let engine = || TimedEngine::new(step, event_steps);
    let through = |room: RunnerCapacity| {
        let (mut engine, mut lane) = (engine(), PrefillQueue::default());
        drive(&load, &mut engine, &mut lane, room);
        late(&engine.answers.into_values().collect::<Vec<_>>())
    };
    let short = through(RunnerCapacity { steps_per_event: 3, ..room });
    assert!(short > load.len() / 4, "{short} streams are late if three steps count");
    assert_eq!(through(room), 0, "streams are late if the event's steps count");
}

/// What a first event takes besides reading, in milliseconds.
const BASE: f64 = 80.0;

/// The first prompts, of which the engine keeps half from before the lane's time.
const HIDDEN: usize = 60;

/// Sends what the lane says, with speeds that are learnt from first events on the way.
///
/// First events are seen `BASE` later than the engine has read their prompts. Returns
/// the answers and the time for a thousand tokens that is believed at the end.
fn through_learning_lane(load: &[(f64, u32)]) -> (Vec<Answer>, f64) {
    let start = Instant::now();
    let name = model("m");
    let mut engine = TimedEngine::default();
    let (mut lane, mut speeds) = (PrefillQueue::default(), EngineTimings::default());
    let mut sent = vec![0.0; load.len()];
    let mut events: Vec<(f64, usize)> = Vec::new();
    let mut came = 0;
    while came < load.len() || engine.load() > 0 || !lane.is_empty() {
        let now = at(start, engine.now);
        while came < load.len() && load[came].0 <= engine.now {
            let work = speeds.prefill_time(&name, load[came].1);
            let one = waiting(came as u64, load[came].1, 0, now);
            lane.push(QueuedPrompt { prefill_time: work, ..one });
            came += 1;
        }
        for (seen, one) in events.extract_if(.., |(seen, _)| *seen <= engine.now) {
            let after = Duration::from_secs_f64((seen - sent[one]) / 1000.0);
            let base = speeds.first_event_overhead(&name);
            let free = lane.record_first_event(Ticket(one as u64), after, base);
            if free && one >= HIDDEN {
                speeds.record_first_event(&name, load[one].1, after);
            }
        }
        while let PrefillAction::Send(one) = lane.next_action(room(), now) {
            let index = one.ticket.0 as usize;
            sent[index] = engine.now;
            let hidden = if index < HIDDEN { load[index].1 / 2 } else { 0 };
            engine.take(index, load[index].1 - hidden, 40);
        }
        let begun = engine.step();
        events.extend(begun.into_iter().map(|one| (engine.now + BASE, one)));
    }
    let thousand = speeds.prefill_time(&name, 1000).as_secs_f64() * 1000.0;
    (engine.answers.into_values().collect(), thousand)
}

#[test]
fn speeds_are_not_learnt_from_prompts_that_waited_at_the_engine() {
    // A daemon takes over a runner at the worst of the load. At first it doesn't know what
    // the runner keeps, and first events come sooner than whole prompts could be read; then
    // short prompts wait at the runner behind long ones. Learnt from both, the runner seems
    // to read faster than it does, more is sent than it reads, and the streams of all
    // callers on it pause for longer than they may.
    let lengths = [300, 2700, 400, 1500, 200, 1800, 600, 1200, 2900, 500];
    let prompt = |number: usize| (number as f64 * 55.0, lengths[number * 7 % 10]);
    let load: Vec<(f64, u32)> = (0..550).map(prompt).collect();
    let (answers, thousand) = through_learning_lane(&load);
    let late = late(&answers);
    assert!((45.0..65.0).contains(&thousand), "{thousand} ms for 1000 tokens, really 50");
    assert!(late * 50 <= load.len(), "{late} of {} streams are late", load.len());
}

#[test]
fn what_can_be_on_time_goes_before_what_is_late() {
    // The runner was behind: an old request is late in any case. One that came just now
    // can still be on time and goes first; the old one is not forgotten.
    let start = Instant::now();
    let mut lane = PrefillQueue::default();
    let old = QueuedPrompt { target: start, ..waiting(1, 1000, 0, start) };
    lane.push(old);
    lane.push(waiting(2, 1000, 2, start));
    let now = start + Duration::from_millis(100);
    let sent = |lane: &mut PrefillQueue, now| match lane.next_action(room(), now) {
        PrefillAction::Send(one) => Some(one.ticket.0),
        _ => None,
    };
    assert_eq!(sent(&mut lane, now), Some(2));
    assert_eq!(sent(&mut lane, now + Duration::from_millis(200)), Some(1));
}

#[test]
fn urgent_requests_go_first() {
    let start = Instant::now();
    let mut lane = PrefillQueue::default();
    lane.push(waiting(1, 400, 2, start));
    lane.push(waiting(2, 400, 0, start));
    assert!(
        matches!(lane.next_action(room(), start), PrefillAction::Send(one) if one.ticket == Ticket(2))
    );
}

#[test]
fn a_request_waits_for_its_adapter_and_holds_up_nobody() {
    // A caller's adapter is on its way for 20 ms. Others' prompts go meanwhile.
    let start = Instant::now();
    let mut lane = PrefillQueue::default();
    lane.push(QueuedPrompt { adapter_ready_at: None, ..waiting(1, 100, 0, start) });
    lane.push(waiting(2, 100, 2, start));
    assert!(
        matches!(lane.next_action(room(), start), PrefillAction::Send(one) if one.ticket == Ticket(2))
    );
    let ready = start + Duration::from_millis(20);
    lane.set_adapter_ready(Ticket(1), ready);
    assert_eq!(lane.next_action(room(), start), PrefillAction::WaitUntil(ready));
    assert!(
        matches!(lane.next_action(room(), ready), PrefillAction::Send(one) if one.ticket == Ticket(1))
    );
}

#[test]
fn nothing_is_sent_into_a_full_runner() {
    // All slots are taken: a request that is sent nonetheless waits at the engine, out
    // of reach of the order by urgency, and is rejected when the queue there is full.
    let start = Instant::now();
    let mut lane = PrefillQueue::default();
    lane.push(waiting(1, 100, 0, start));
    let full = RunnerCapacity { requests: 0, ..room() };
    assert!(!matches!(lane.next_action(full, start), PrefillAction::Send(_)));
    assert!(matches!(lane.next_action(room(), start), PrefillAction::Send(_)));
}

#[test]
fn a_runner_without_prompts_for_days_counts_no_old_prompt() {
    // Guards against an overflow of the idle steps between prompts: an old prompt would count
    // as one of the last few, or a debug build would panic.
    let (start, step) = (Instant::now(), Duration::from_micros(100));
    let room = RunnerCapacity { step_time: step, steps_per_event: 9, ..room() };
    let mut lane = PrefillQueue::default();
    let days = start + Duration::from_secs(8 * 24 * 3600);
    for (number, now) in [(1, start), (2, days)] {
        lane.push(waiting(number, 1500, 1, now));
        assert!(matches!(lane.next_action(room, now), PrefillAction::Send(_)));
    }
    let third = waiting(3, 1500, 1, days);
    let read = days + third.prefill_time + step;
    lane.push(third);
    assert_eq!(lane.next_action(room, days), PrefillAction::WaitUntil(read));
}

#[test]
fn a_caller_that_has_left_is_not_served() {
    let start = Instant::now();
    let mut lane = PrefillQueue::default();
    lane.push(waiting(1, 100, 0, start));
    let late = start + Duration::from_secs(16);
    assert!(
        matches!(lane.next_action(room(), late), PrefillAction::Expired(one) if one.ticket == Ticket(1))
    );
    assert!(lane.is_empty());
}

#[test]
fn a_lane_waits_for_an_engine_that_is_behind() {
    // The engine is slower than assumed: the first event comes 200 ms late. What was
    // sent is still being read, and the next prompt waits for it.
    let start = Instant::now();
    let mut lane = PrefillQueue::default();
    lane.push(waiting(1, 400, 0, start));
    assert!(matches!(lane.next_action(room(), start), PrefillAction::Send(_)));
    lane.push(waiting(2, 400, 0, start));
    assert!(!matches!(lane.next_action(room(), start), PrefillAction::Send(_)));
    lane.record_first_event(Ticket(1), Duration::from_millis(220), Duration::ZERO);
    let assumed = start + Duration::from_millis(60);
    assert!(!matches!(lane.next_action(room(), assumed), PrefillAction::Send(_)));
    let read = start + Duration::from_millis(221);
    assert!(matches!(lane.next_action(room(), read), PrefillAction::Send(_)));
}

#[test]
fn what_a_first_event_takes_besides_reading_is_no_backlog() {
    // A daemon has just taken over a runner that answers 80 ms after it has read a prompt.
    // Nothing was learnt of it yet. If all of that time is taken for reading, the next
    // callers wait for an engine that is idle, after each prompt anew.
    let start = Instant::now();
    let mut lane = PrefillQueue::default();
    lane.push(waiting(1, 400, 0, start));
    assert!(matches!(lane.next_action(room(), start), PrefillAction::Send(_)));
    let first = Duration::from_millis(20 + BASE as u64);
    let free = lane.record_first_event(
        Ticket(1),
        first,
        EngineTimings::default().first_event_overhead(&model("m")),
    );
    assert!(free, "nothing was sent before");
    let now = start + Duration::from_millis(60);
    lane.push(waiting(2, 400, 0, now));
    assert!(matches!(lane.next_action(room(), now), PrefillAction::Send(_)));
}

proptest! {
    // Whatever comes when, everything is sent once or expires, and the lane never
    // says to wait for a time that is past.
    #[test]
    fn everything_is_sent_once(
        load in prop::collection::vec((0u64..3000, 50u32..4000, 0u8..3), 1..40),
    ) {
        let start = Instant::now();
        let mut lane = PrefillQueue::default();
        for (number, (_, tokens, urgency)) in load.iter().enumerate() {
            lane.push(waiting(number as u64, *tokens, *urgency, start));
        }
        let (mut now, mut sent) = (start, Vec::new());
        for _ in 0..load.len() * 4 {
            match lane.next_action(room(), now) {
                PrefillAction::Send(one) | PrefillAction::Expired(one) => sent.push(one.ticket.0),
                PrefillAction::WaitUntil(until) => {
                    prop_assert!(until > now);
                    now = until;
                }
                PrefillAction::Idle => break,
            }
        }
        sent.sort_unstable();
        prop_assert_eq!(sent, (0..load.len() as u64).collect::<Vec<_>>());
    }
}
