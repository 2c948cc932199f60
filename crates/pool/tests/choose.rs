//! Which runner gets a request, when many daemons send to the same runners.

mod support;

use std::time::{Duration, Instant};

use chestnut_base::MemberId;
use chestnut_edge::{GenerationSize, LoadedModel, PromptPart, RequestRate};
use chestnut_pool::speed::StepSample;
use chestnut_pool::{
    Bid, EngineTimings, GenerationRequest, PrefixCache, QueuedPrompt, RequestClass,
    RunnerCapacity, RunnerView, Ticket, Usage, bid,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use support::{engine, model, with_adapter, without_adapter};

const DAEMONS: usize = 6;
const RUNNERS: usize = 9;
const ADAPTER_SLOTS: usize = 8;

fn request(target: chestnut_edge::TargetModel, prompt: u32) -> GenerationRequest {
    GenerationRequest {
        target,
        size: GenerationSize { prompt_tokens: prompt, max_output_tokens: 150 },
        parts: Vec::new(),
        urgency: 0,
        target_time: Duration::from_millis(800),
        wait_limit: Duration::from_secs(3),
    }
}

fn usage(requests: u32, pending_prompt_tokens: u64) -> Usage {
    Usage { requests, pending_prompt_tokens, kv_tokens: pending_prompt_tokens }
}

/// The requests of each runner after a burst, with usage reports of all daemons (`shared`)
/// or with each daemon's own counts alone.
fn burst(shared: bool) -> Vec<u32> {
    let mut rng = SmallRng::seed_from_u64(7);
    let now = Instant::now();
    let mut counts = [[0u32; RUNNERS]; DAEMONS];
    let timings = EngineTimings::default();
    for _ in 0..120 {
        let daemon = rng.random_range(0..DAEMONS);
        let cost = |runner: usize| {
            let mut view = RunnerView::default();
            for (other, counts) in counts.iter().enumerate() {
                if shared || other == daemon {
                    let report = usage(counts[runner], 0);
                    view.update_usage(MemberId(other as u64), report, now);
                }
            }
            bid(&view, &request(without_adapter("m"), 500), &timings, &engine(&[]), now)
                .cost_ms
        };
        let best = (0..RUNNERS).min_by(|a, b| cost(*a).total_cmp(&cost(*b)));
        counts[daemon][best.expect("there are runners")] += 1;
    }
    (0..RUNNERS).map(|runner| counts.iter().map(|counts| counts[runner]).sum()).collect()
}

#[test]
fn a_burst_is_spread_evenly() {
    // A burst of 120 requests arrives at six daemons. If each uses only its own counts, the
    // first runner gets the remainder of every daemon; with the usage reports of all
    // daemons no runner has more than one above the mean.
    let mean = 120 / RUNNERS as u32;
    let own = *burst(false).iter().max().expect("there are runners");
    let shared = *burst(true).iter().max().expect("there are runners");
    assert!(own > mean + 3, "{own} by own counts");
    assert!(shared <= mean + 1, "{shared} by usage reports");
}

#[test]
fn usage_reports_of_dead_daemons_expire() {
    // A daemon dies with 40 requests in flight at a runner and never reports their end. The
    // runner must not count as full forever.
    let mut runner = RunnerView::default();
    let now = Instant::now();
    runner.update_usage(MemberId(1), usage(40, 9_000), now);
    assert_eq!(runner.total_usage(now).requests, 40);
    assert_eq!(runner.total_usage(now + Duration::from_secs(5)).requests, 0);
}

#[test]
fn a_new_holder_bids_with_the_wait_for_usage_reports() {
    // Guards against a full runner whose bid is that of an idle one, because its claim has just
    // moved and no daemon has reported to the new holder yet.
    let now = Instant::now();
    let wait_ms = |runner: &RunnerView, at| {
        let request = request(without_adapter("m"), 500);
        bid(runner, &request, &EngineTimings::default(), &engine(&[]), at).wait_ms
    };
    let (mut runner, report_time) = (RunnerView::default(), Duration::from_millis(300));
    let idle = wait_ms(&runner, now);
    runner.await_reports(now + report_time);
    assert_eq!(runner.report_wait(now), report_time);
    assert_eq!(wait_ms(&runner, now), idle + 300.0);
    let later = now + report_time;
    assert_eq!(runner.report_wait(later), Duration::ZERO);
    assert_eq!(wait_ms(&runner, later), idle);
}

/// A runner that holds the model `m` with adapters that were used `now`.
fn loaded_runner(adapters: usize, now: Instant) -> RunnerView {
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

fn bid_for(runner: &RunnerView, target: chestnut_edge::TargetModel, now: Instant) -> Bid {
    bid(runner, &request(target, 500), &EngineTimings::default(), &engine(&[]), now)
}

#[test]
fn runners_with_the_adapter_are_preferred() {
    // Of the runners that hold the model, one has the adapter, one has a free slot, one can
    // evict another adapter, and one has all slots in use. Loading the adapter takes 25 ms;
    // evicting one that is in use delays other callers for seconds.
    let start = Instant::now();
    let later = start + Duration::from_secs(10);
    let ready = bid_for(&loaded_runner(5, start), with_adapter("m", 3), later).cost_ms;
    let free = bid_for(&loaded_runner(3, start), with_adapter("m", 7), later).cost_ms;
    let evict =
        bid_for(&loaded_runner(ADAPTER_SLOTS, start), with_adapter("m", 20), later)
            .cost_ms;
    let in_use =
        bid_for(&loaded_runner(ADAPTER_SLOTS, later), with_adapter("m", 20), later)
            .cost_ms;
    assert!(ready < free && free < evict && evict < in_use);
}

#[test]
fn a_model_that_is_being_unloaded_is_not_offered() {
    // The runner rejects requests for the model from the order on, long before the registry
    // shows it; callers would be sent there again and again.
    let now = Instant::now();
    let mut runner = loaded_runner(0, now);
    let action = chestnut_edge::OrderAction::Unload(model("m"));
    runner.record_accepted(&action, Duration::from_secs(1), now);
    assert!(bid_for(&runner, without_adapter("m"), now).cost_ms.is_infinite());
}

#[test]
fn a_full_runner_is_avoided() {
    // Two runners hold a model. All slots of the first are taken by streams that last for
    // seconds, though it has little to prefill; the other one has more to prefill and free
    // slots. If only prefill counted, all callers would queue at the first.
    let now = Instant::now();
    let mut full = loaded_runner(0, now);
    full.update_usage(MemberId(1), usage(64, 0), now);
    let mut busy = loaded_runner(0, now);
    busy.update_usage(MemberId(1), usage(30, 0), now);
    for ticket in 0..5 {
        busy.prefill_queue.push(prompt(ticket, now));
    }
    assert!(
        bid_for(&busy, without_adapter("m"), now).cost_ms
            < bid_for(&full, without_adapter("m"), now).cost_ms
    );
    for ticket in 0..20 {
        full.prefill_queue.push(prompt(ticket, now));
    }
    // A third of the streams have to end before the last prompt is sent.
    let cost = bid_for(&full, without_adapter("m"), now).cost_ms;
    assert!((900.0..1_200.0).contains(&cost), "{cost}");
}

#[test]
fn a_full_kv_cache_costs_a_wait() {
    // A few streams with long prompts fill the KV cache: there are free slots, but nothing
    // can be sent before some of the streams end.
    let now = Instant::now();
    let mut runner = loaded_runner(0, now);
    let few = Usage { requests: 20, pending_prompt_tokens: 0, kv_tokens: 138_000 };
    runner.update_usage(MemberId(1), few, now);
    let full = bid_for(&runner, without_adapter("m"), now).cost_ms;
    runner.update_usage(MemberId(1), Usage { kv_tokens: 20_000, ..few }, now);
    assert!(full > bid_for(&runner, without_adapter("m"), now).cost_ms, "{full}");
}

#[test]
fn a_late_request_waits_for_all_queued_prompts() {
    // A request has missed its target. Prompts that can still be on time go before it, and
    // so do older late ones; its estimate must not be that of the next prompt to be sent.
    let now = Instant::now();
    let mut runner = loaded_runner(0, now);
    for ticket in 0..30 {
        let late = QueuedPrompt { target: now, ..prompt(ticket, now) };
        runner.prefill_queue.push(late);
    }
    let request = GenerationRequest {
        target_time: Duration::ZERO,
        ..request(without_adapter("m"), 500)
    };
    let timings = EngineTimings::default();
    let late = bid(&runner, &request, &timings, &engine(&[]), now).cost_ms;
    assert!(late > bid_for(&runner, without_adapter("m"), now).cost_ms + 500.0, "{late}");
}

fn prompt(ticket: u64, now: Instant) -> QueuedPrompt {
    QueuedPrompt {
        ticket: Ticket(ticket),
        prefill_time: Duration::from_millis(20),
        kv_tokens: 600,
        urgency: 0,
        target: now + Duration::from_millis(800),
        deadline: now + Duration::from_secs(3),
        class: RequestClass::default(),
        adapter_ready_at: Some(now),
    }
}

#[test]
fn cached_prefixes_are_recognised() {
    // Callers of one client account share the first 800 tokens. The first event comes 40 ms
    // sooner at the runner that has prefilled them.
    let part = |id, tokens| PromptPart { id, tokens };
    let parts = [part(1, 500), part(2, 300), part(3, 200)];
    let mut cache = PrefixCache::default();
    cache.record_sent(&without_adapter("m"), &parts, 100_000);
    let other = [part(1, 500), part(2, 300), part(9, 200)];
    assert_eq!(cache.cached_tokens(&without_adapter("m"), &other), 800);
    // The cache of another adapter is of no use, nor is a part after another prefix.
    assert_eq!(cache.cached_tokens(&with_adapter("m", 1), &other), 0);
    assert_eq!(cache.cached_tokens(&without_adapter("m"), &other[1..]), 0);
}

#[test]
fn old_prefixes_are_evicted_when_the_cache_is_full() {
    let mut cache = PrefixCache::default();
    let parts = |id| [PromptPart { id, tokens: 1000 }];
    for id in 0..100 {
        cache.record_sent(&without_adapter("m"), &parts(id), 10_000);
    }
    assert_eq!(cache.cached_tokens(&without_adapter("m"), &parts(0)), 0);
    assert_eq!(cache.cached_tokens(&without_adapter("m"), &parts(99)), 1000);
}

#[test]
fn only_unknown_shared_parts_are_uncertain() {
    // Guards against learning prefill times from prompts of which a runner has cached more
    // than its new holder knows, and against ignoring prompts of which only a small part is
    // unknown.
    let shared = PromptPart { id: 1, tokens: 350 };
    let parts = |session, own| {
        let session = PromptPart { id: session, tokens: 80 };
        [shared, session, PromptPart { id: own, tokens: 1000 }]
    };
    let mut cache = PrefixCache::default();
    assert_eq!(cache.uncertain_tokens(&without_adapter("m"), &parts(2, 3)), 430);
    cache.record_sent(&without_adapter("m"), &parts(2, 3), 100_000);
    assert_eq!(cache.uncertain_tokens(&without_adapter("m"), &parts(2, 4)), 0);
    assert_eq!(cache.uncertain_tokens(&without_adapter("m"), &parts(5, 6)), 80);
    assert_eq!(cache.uncertain_tokens(&without_adapter("other"), &parts(2, 4)), 430);
    assert_eq!(
        cache.uncertain_tokens(&without_adapter("m"), &[PromptPart { id: 4, tokens: 9 }]),
        0
    );
}

#[test]
fn the_prefill_rate_is_learned() {
    // An engine prefills ten tokens in a millisecond, half as many as assumed at first, and
    // a first event takes 80 ms besides. Prompts that are sent at the assumed rate pile up.
    let mut timings = EngineTimings::default();
    let mut rng = SmallRng::seed_from_u64(3);
    for _ in 0..200 {
        let tokens = rng.random_range(100..3000);
        let time = 80.0 + f64::from(tokens) / 10.0 + rng.random_range(0.0..15.0);
        timings.record_first_event(
            &model("m"),
            tokens,
            Duration::from_secs_f64(time / 1000.0),
        );
    }
    let estimate = timings.prefill_time(&model("m"), 1000).as_secs_f64() * 1000.0;
    assert!((85.0..115.0).contains(&estimate), "{estimate} ms for 1000 tokens");
}

/// Sends prompts to four runners that prefill 20 tokens in a millisecond. Every seventh
/// prompt is so long that its prefill alone takes 300 ms.
///
/// Returns how many of the others were sent to runners that got a long one within a second
/// after them.
fn count_beside_long_prompts(
    choose: impl Fn(&[RunnerView], &GenerationRequest, Instant) -> usize,
) -> usize {
    let start = Instant::now();
    let mut runners: Vec<RunnerView> = (0..4).map(|_| loaded_runner(0, start)).collect();
    let mut sent: Vec<(usize, Instant, bool)> = Vec::new();
    let capacity = RunnerCapacity {
        requests: 64,
        kv_tokens: 100_000,
        max_event_gap: Some(Duration::from_millis(250)),
        step_time: Duration::from_millis(10),
        steps_per_event: 3,
    };
    for number in 0..400 {
        let now = start + Duration::from_millis(50) * number;
        for (index, runner) in runners.iter_mut().enumerate() {
            let is_running = |other: &&(usize, Instant, bool)| {
                other.0 == index && now.duration_since(other.1) < Duration::from_secs(2)
            };
            let running = sent.iter().filter(is_running).count();
            runner.update_usage(MemberId(1), usage(running as u32, 0), now);
            runner.prefill_queue.next_action(capacity, now);
        }
        let is_long = number % 7 == 0;
        let request = request(without_adapter("m"), if is_long { 6000 } else { 300 });
        let chosen = choose(&runners, &request, now);
        let prefill_time =
            runners[chosen].prefill_time(&request, &EngineTimings::default());
        let queued = QueuedPrompt { prefill_time, ..prompt(number.into(), now) };
        runners[chosen].prefill_queue.push(queued);
        runners[chosen].prefill_queue.next_action(
            RunnerCapacity { requests: 1, ..capacity },
            now + Duration::from_secs(1),
        );
        sent.push((chosen, now, is_long));
    }
    let long_prompts: Vec<_> = sent.iter().filter(|prompt| prompt.2).collect();
    let meets_long = |prompt: &&(usize, Instant, bool)| {
        let follows = |long: &&&(usize, Instant, bool)| {
            long.0 == prompt.0
                && long.1 >= prompt.1
                && long.1.duration_since(prompt.1) < Duration::from_secs(1)
        };
        !prompt.2 && long_prompts.iter().any(|long| follows(&long))
    };
    sent.iter().filter(meets_long).count()
}

#[test]
fn long_prompts_go_to_the_same_runners() {
    // Guards against long prompts that go to all runners in turn: each makes the event gaps
    // on its runner too long, so that most streams are late at some time.
    let timings = EngineTimings::default();
    let fewest = |runners: &[RunnerView], _: &GenerationRequest, now: Instant| {
        let requests = |index: &usize| runners[*index].total_usage(now).requests;
        (0..runners.len()).min_by_key(requests).unwrap_or_default()
    };
    let by_bids = |runners: &[RunnerView], request: &GenerationRequest, now: Instant| {
        let engine = engine(&[("m", 80.0)]);
        let cost = |index: &usize| {
            bid(&runners[*index], request, &timings, &engine, now).cost_ms
        };
        let order = |a: &usize, b: &usize| cost(a).total_cmp(&cost(b));
        (0..runners.len()).min_by(order).unwrap_or_default()
    };
    let (even, together) =
        (count_beside_long_prompts(fewest), count_beside_long_prompts(by_bids));
    assert!(even > 150, "{even} of 342 meet a long prompt if runners are filled evenly");
    assert!(together < 20, "{together} of 342 meet a long prompt");
}

#[test]
fn the_cost_to_others_is_not_part_of_the_wait() {
    // Guards against refusing a long prompt because it would delay other requests, as if it
    // had to wait for longer than its caller does.
    let now = Instant::now();
    let mut runner = loaded_runner(0, now);
    runner.update_usage(MemberId(1), usage(30, 0), now);
    let capacity = RunnerCapacity {
        requests: 30,
        kv_tokens: 100_000,
        max_event_gap: Some(Duration::from_millis(250)),
        step_time: Duration::from_millis(10),
        steps_per_event: 3,
    };
    runner.prefill_queue.next_action(capacity, now);
    let timings = EngineTimings::default();
    let bid =
        bid(&runner, &request(without_adapter("m"), 6000), &timings, &engine(&[]), now);
    let prefill_ms =
        runner.prefill_time(&request(without_adapter("m"), 6000), &timings).as_secs_f64()
            * 1000.0;
    assert!(bid.wait_ms < prefill_ms + 100.0, "{bid:?}");
    assert!(bid.cost_ms > bid.wait_ms + 400.0, "{bid:?}");
}

/// Guards against a runner that takes few requests and seems idle.
#[test]
fn a_runner_that_takes_few_requests_is_not_preferred() {
    let now = Instant::now();
    let mut limited = loaded_runner(0, now);
    let mut busy = loaded_runner(0, now);
    busy.update_usage(MemberId(1), usage(20, 0), now);
    let rate = RequestRate::try_from(2.0).expect("a valid rate");
    limited.set_request_limit(Some(rate), now);
    limited.record_request_sent(now);
    let cost =
        |runner: &RunnerView, at| bid_for(runner, without_adapter("m"), at).cost_ms;
    assert!(cost(&limited, now) > cost(&busy, now));
    // Once the limit allows another request, the runner is as good as its load says.
    let later = now + Duration::from_millis(500);
    assert!(cost(&limited, later) < cost(&busy, later));
}

/// A busy runner whose steps take `step_us` where those of a nominal one take 10 ms.
fn runner_with_step(step_us: u64, now: Instant) -> RunnerView {
    let mut runner = loaded_runner(0, now);
    runner.update_usage(MemberId(1), usage(6, 0), now);
    let step = Duration::from_micros(step_us);
    let sample = StepSample::new(step, 20).expect("a plausible sample");
    for _ in 0..10 {
        runner.speed.record_stream(sample, Duration::from_millis(10));
    }
    let (step_time, max_event_gap) =
        (runner.speed.step_time(&EngineTimings::default()), Duration::from_millis(300));
    let capacity = RunnerCapacity {
        requests: 12,
        kv_tokens: 40_000,
        max_event_gap: Some(max_event_gap),
        step_time,
        steps_per_event: 4,
    };
    runner.prefill_queue.next_action(capacity, now);
    runner
}

#[test]
fn slow_runners_bid_higher_and_most_of_all_for_long_prompts() {
    // Guards against a long prompt that makes all streams on a slow runner late, while a
    // fast one could prefill it between two events; and against equal shares of requests.
    let now = Instant::now();
    let (timings, declared) = (EngineTimings::default(), engine(&[]));
    let cost = |step_us: u64, prompt: u32| {
        let request = request(without_adapter("m"), prompt);
        bid(&runner_with_step(step_us, now), &request, &timings, &declared, now).cost_ms
    };
    let advantage = |prompt: u32| cost(16_000, prompt) - cost(6_000, prompt);
    assert!(advantage(500) > 25.0, "{} ms", advantage(500));
    assert!(advantage(2500) > 300.0, "{} ms", advantage(2500));
}
