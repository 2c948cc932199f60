//! Which runner gets a request, when many daemons send to the same ones.

mod support;

use std::time::{Duration, Instant};

use chestnut_base::MemberId;
use chestnut_edge::{GenerationSize, LoadedModel, PromptPart};
use chestnut_pool::{
    Bid, EngineTimings, GenerationRequest, PrefixCache, QueuedPrompt, RunnerCapacity,
    RunnerView, Ticket, Usage, bid,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use support::{base, engine, model, with_adapter};

const DAEMONS: usize = 6;
const RUNNERS: usize = 9;
const PLACES: usize = 8;

fn want(target: chestnut_edge::TargetModel, prompt: u32) -> GenerationRequest {
    GenerationRequest {
        target,
        size: GenerationSize { prompt, output: 150 },
        parts: Vec::new(),
        urgency: 0,
        target_time: Duration::from_millis(800),
        wait_limit: Duration::from_secs(3),
    }
}

fn usage(requests: u32, unread: u64) -> Usage {
    Usage { requests, pending_prompt_tokens: unread, kv_tokens: unread }
}

/// The requests of each runner after a burst, and how they were chosen.
fn burst(shared: bool) -> Vec<u32> {
    let mut rng = SmallRng::seed_from_u64(7);
    let now = Instant::now();
    let mut counts = [[0u32; RUNNERS]; DAEMONS];
    let speeds = EngineTimings::default();
    for _ in 0..120 {
        let daemon = rng.random_range(0..DAEMONS);
        let cost = |runner: usize| {
            let mut known = RunnerView::default();
            for (other, counts) in counts.iter().enumerate() {
                if shared || other == daemon {
                    let sum = usage(counts[runner], 0);
                    known.update_usage(MemberId(other as u64), sum, now);
                }
            }
            bid(&known, &want(base("m"), 500), &speeds, &engine(&[]), now).cost_ms
        };
        let best = (0..RUNNERS).min_by(|a, b| cost(*a).total_cmp(&cost(*b)));
        counts[daemon][best.expect("there are runners")] += 1;
    }
    (0..RUNNERS).map(|runner| counts.iter().map(|counts| counts[runner]).sum()).collect()
}

#[test]
fn a_burst_is_spread_evenly() {
    // A burst of 120 requests comes in at six daemons. Where each goes by its own
    // counts, the first runner gets most of every daemon's rest; by the sums that
    // holders know, no runner has more than one above the mean.
    let mean = 120 / RUNNERS as u32;
    let own = *burst(false).iter().max().expect("there are runners");
    let sums = *burst(true).iter().max().expect("there are runners");
    assert!(own > mean + 3, "{own} by own counts");
    assert!(sums <= mean + 1, "{sums} by sums");
}

#[test]
fn sums_of_daemons_that_died_fade() {
    // A daemon dies with 40 requests in flight at a runner and never says that they
    // ended. The runner must not look full for ever.
    let mut runner = RunnerView::default();
    let now = Instant::now();
    runner.update_usage(MemberId(1), usage(40, 9_000), now);
    assert_eq!(runner.total_usage(now).requests, 40);
    assert_eq!(runner.total_usage(now + Duration::from_secs(5)).requests, 0);
}

fn loaded(adapters: usize, now: Instant) -> RunnerView {
    let names = (0..adapters).map(|n| support::adapter(&format!("a{n}")));
    let held = LoadedModel { model: model("m"), version: 1, adapters: names.collect() };
    let report = chestnut_edge::EngineReport {
        models: vec![held],
        accepted_orders: 1,
        ..Default::default()
    };
    let mut runner = RunnerView::default();
    assert!(runner.apply_report(&report, now));
    runner
}

fn cost(runner: &RunnerView, target: chestnut_edge::TargetModel, now: Instant) -> Bid {
    bid(runner, &want(target, 500), &EngineTimings::default(), &engine(&[]), now)
}

#[test]
fn runners_with_the_adapter_come_first() {
    // Three runners hold the model: one with the adapter, one with a free place, one
    // whose places are all in use. Loading it is 25 ms late, taking a place that is in
    // use holds up other callers for seconds.
    let start = Instant::now();
    let later = start + Duration::from_secs(10);
    let there = cost(&loaded(5, start), with_adapter("m", 3), later).cost_ms;
    let free = cost(&loaded(3, start), with_adapter("m", 7), later).cost_ms;
    let evict = cost(&loaded(PLACES, start), with_adapter("m", 20), later).cost_ms;
    let full = cost(&loaded(PLACES, later), with_adapter("m", 20), later).cost_ms;
    assert!(there < free && free < evict && evict < full);
}

#[test]
fn a_model_that_is_being_unloaded_is_not_offered() {
    // The runner rejects requests for it from the order on, long before the registry
    // says so; callers would be sent there again and again.
    let now = Instant::now();
    let mut runner = loaded(0, now);
    let step = chestnut_edge::OrderAction::Unload(model("m"));
    runner.record_accepted(&step, Duration::from_secs(1), now);
    assert!(cost(&runner, base("m"), now).cost_ms.is_infinite());
}

#[test]
fn a_full_runner_is_left_alone() {
    // A model stands on two runners. All places of the first are taken by streams that
    // last for seconds, and three requests wait there though it has little to read; the
    // other one has more to read and room. By what there is to read alone all callers
    // stay in line at the first.
    let now = Instant::now();
    let mut full = loaded(0, now);
    full.update_usage(MemberId(1), usage(64, 0), now);
    let mut busy = loaded(0, now);
    busy.update_usage(MemberId(1), usage(30, 0), now);
    for ticket in 0..5 {
        busy.prefill_queue.push(waiting(ticket, now));
    }
    assert!(cost(&busy, base("m"), now).cost_ms < cost(&full, base("m"), now).cost_ms);
    for ticket in 0..20 {
        full.prefill_queue.push(waiting(ticket, now));
    }
    // A third of the streams have to end before the last one is sent.
    let cost = cost(&full, base("m"), now).cost_ms;
    assert!((900.0..1_200.0).contains(&cost), "{cost}");
}

#[test]
fn a_full_cache_is_a_wait_as_well() {
    // Few streams with long prompts fill the KV cache: there are places, but nothing can
    // be sent before some of them end.
    let now = Instant::now();
    let mut runner = loaded(0, now);
    let few = Usage { requests: 20, pending_prompt_tokens: 0, kv_tokens: 138_000 };
    runner.update_usage(MemberId(1), few, now);
    let filled = cost(&runner, base("m"), now).cost_ms;
    runner.update_usage(MemberId(1), Usage { kv_tokens: 20_000, ..few }, now);
    assert!(filled > cost(&runner, base("m"), now).cost_ms, "{filled}");
}

#[test]
fn one_that_is_late_waits_for_all() {
    // A request's time has run out. What can still be on time goes before it, and what
    // came earlier: its caller must not be told that it is next.
    let now = Instant::now();
    let mut runner = loaded(0, now);
    for ticket in 0..30 {
        let late = QueuedPrompt { target: now, ..waiting(ticket, now) };
        runner.prefill_queue.push(late);
    }
    let want = GenerationRequest { target_time: Duration::ZERO, ..want(base("m"), 500) };
    let speeds = EngineTimings::default();
    let late = bid(&runner, &want, &speeds, &engine(&[]), now).cost_ms;
    assert!(late > cost(&runner, base("m"), now).cost_ms + 500.0, "{late}");
}

fn waiting(ticket: u64, now: Instant) -> QueuedPrompt {
    QueuedPrompt {
        ticket: Ticket(ticket),
        prefill_time: Duration::from_millis(20),
        kv_tokens: 600,
        urgency: 0,
        target: now + Duration::from_millis(800),
        deadline: now + Duration::from_secs(3),
        adapter_ready_at: Some(now),
    }
}

#[test]
fn a_prompt_that_was_read_is_cheaper_there() {
    // Callers of one client account share the first 800 tokens. The runner that has
    // read them is free for the answer 40 ms sooner.
    let part = |id, tokens| PromptPart { id, tokens };
    let parts = [part(1, 500), part(2, 300), part(3, 200)];
    let mut prefixes = PrefixCache::default();
    prefixes.record_sent(&base("m"), &parts, 100_000);
    let other = [part(1, 500), part(2, 300), part(9, 200)];
    assert_eq!(prefixes.cached_tokens(&base("m"), &other), 800);
    // Another adapter's cache is of no use, nor is a part whose beginning differs.
    assert_eq!(prefixes.cached_tokens(&with_adapter("m", 1), &other), 0);
    assert_eq!(prefixes.cached_tokens(&base("m"), &other[1..]), 0);
}

#[test]
fn old_prompts_are_forgotten_as_the_cache_fills() {
    let mut prefixes = PrefixCache::default();
    let parts = |id| [PromptPart { id, tokens: 1000 }];
    for id in 0..100 {
        prefixes.record_sent(&base("m"), &parts(id), 10_000);
    }
    assert_eq!(prefixes.cached_tokens(&base("m"), &parts(0)), 0);
    assert_eq!(prefixes.cached_tokens(&base("m"), &parts(99)), 1000);
}

#[test]
fn what_a_runner_may_keep_unknown_is_the_shared_parts_not_seen() {
    // Guards against learning how fast a runner reads from prompts of which it keeps more
    // than its new holder knows, and against learning nothing from prompts of which only a
    // small part is unknown.
    let shared = PromptPart { id: 1, tokens: 350 };
    let parts = |session, own| {
        let session = PromptPart { id: session, tokens: 80 };
        [shared, session, PromptPart { id: own, tokens: 1000 }]
    };
    let mut prefixes = PrefixCache::default();
    assert_eq!(prefixes.uncertain_tokens(&base("m"), &parts(2, 3)), 430);
    prefixes.record_sent(&base("m"), &parts(2, 3), 100_000);
    assert_eq!(prefixes.uncertain_tokens(&base("m"), &parts(2, 4)), 0);
    assert_eq!(prefixes.uncertain_tokens(&base("m"), &parts(5, 6)), 80);
    assert_eq!(prefixes.uncertain_tokens(&base("other"), &parts(2, 4)), 430);
    assert_eq!(
        prefixes.uncertain_tokens(&base("m"), &[PromptPart { id: 4, tokens: 9 }]),
        0
    );
}

#[test]
fn reading_speed_is_learnt() {
    // An engine reads ten tokens in a millisecond, half as many as assumed, and a first
    // event takes 80 ms besides. Prompts that are sent as fast as assumed pile up.
    let mut speeds = EngineTimings::default();
    let mut rng = SmallRng::seed_from_u64(3);
    for _ in 0..200 {
        let tokens = rng.random_range(100..3000);
        let time = 80.0 + f64::from(tokens) / 10.0 + rng.random_range(0.0..15.0);
        speeds.record_first_event(
            &model("m"),
            tokens,
            Duration::from_secs_f64(time / 1000.0),
        );
    }
    let learnt = speeds.prefill_time(&model("m"), 1000).as_secs_f64() * 1000.0;
    assert!((85.0..115.0).contains(&learnt), "{learnt} ms for 1000 tokens");
}

/// Prompts of an engine that reads 20 tokens in a millisecond, at four runners: every
/// seventh is so long that its reading alone is a pause of 300 ms.
///
/// Returns how many of the others came to runners that got a long one within a second.
fn beside_long_prompts(
    choose: impl Fn(&[RunnerView], &GenerationRequest, Instant) -> usize,
) -> usize {
    let start = Instant::now();
    let mut runners: Vec<RunnerView> = (0..4).map(|_| loaded(0, start)).collect();
    let mut sent: Vec<(usize, Instant, bool)> = Vec::new();
    let room = RunnerCapacity {
        requests: 64,
        kv_tokens: 100_000,
        max_event_gap: Some(Duration::from_millis(250)),
        step_time: Duration::from_millis(10),
        steps_per_event: 3,
    };
    for number in 0..400 {
        let now = start + Duration::from_millis(50) * number;
        for (at, runner) in runners.iter_mut().enumerate() {
            let stays = |one: &&(usize, Instant, bool)| {
                one.0 == at && now.duration_since(one.1) < Duration::from_secs(2)
            };
            let here = sent.iter().filter(stays).count();
            runner.update_usage(MemberId(1), usage(here as u32, 0), now);
            runner.prefill_queue.next_action(room, now);
        }
        let long = number % 7 == 0;
        let want = want(base("m"), if long { 6000 } else { 300 });
        let at = choose(&runners, &want, now);
        let work = runners[at].prefill_time(&want, &EngineTimings::default());
        let one = QueuedPrompt { prefill_time: work, ..waiting(number.into(), now) };
        runners[at].prefill_queue.push(one);
        runners[at].prefill_queue.next_action(
            RunnerCapacity { requests: 1, ..room },
            now + Duration::from_secs(1),
        );
        sent.push((at, now, long));
    }
    let longs: Vec<_> = sent.iter().filter(|one| one.2).collect();
    let meets = |one: &&(usize, Instant, bool)| {
        let near = |long: &&&(usize, Instant, bool)| {
            long.0 == one.0
                && long.1 >= one.1
                && long.1.duration_since(one.1) < Duration::from_secs(1)
        };
        !one.2 && longs.iter().any(|long| near(&long))
    };
    sent.iter().filter(meets).count()
}

#[test]
fn long_prompts_stay_together() {
    // Guards against long prompts that go round all runners: each pauses all streams of
    // its runner for too long, so that most streams are late at some time.
    let speeds = EngineTimings::default();
    let fewest = |runners: &[RunnerView], _: &GenerationRequest, now: Instant| {
        let load = |at: &usize| runners[*at].total_usage(now).requests;
        (0..runners.len()).min_by_key(load).unwrap_or_default()
    };
    let by_bids = |runners: &[RunnerView], want: &GenerationRequest, now: Instant| {
        let engine = engine(&[("m", 80.0)]);
        let cost = |at: &usize| bid(&runners[*at], want, &speeds, &engine, now).cost_ms;
        let order = |a: &usize, b: &usize| cost(a).total_cmp(&cost(b));
        (0..runners.len()).min_by(order).unwrap_or_default()
    };
    let (even, together) = (beside_long_prompts(fewest), beside_long_prompts(by_bids));
    assert!(even > 150, "{even} of 342 meet a long prompt if runners are filled evenly");
    assert!(together < 20, "{together} of 342 meet a long prompt");
}

#[test]
fn what_a_choice_costs_others_is_no_wait() {
    // Guards against refusing a long prompt as one that would wait for longer than its
    // caller does, since it would pause others.
    let now = Instant::now();
    let mut runner = loaded(0, now);
    runner.update_usage(MemberId(1), usage(30, 0), now);
    let room = RunnerCapacity {
        requests: 30,
        kv_tokens: 100_000,
        max_event_gap: Some(Duration::from_millis(250)),
        step_time: Duration::from_millis(10),
        steps_per_event: 3,
    };
    runner.prefill_queue.next_action(room, now);
    let speeds = EngineTimings::default();
    let bid = bid(&runner, &want(base("m"), 6000), &speeds, &engine(&[]), now);
    let reading =
        runner.prefill_time(&want(base("m"), 6000), &speeds).as_secs_f64() * 1000.0;
    assert!(bid.wait_ms < reading + 100.0, "{bid:?}");
    assert!(bid.cost_ms > bid.wait_ms + 400.0, "{bid:?}");
}
