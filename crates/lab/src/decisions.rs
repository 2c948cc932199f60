//! What a decision costs.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use chestnut_admit::{AdmissionController, AdmissionPolicy, Job, Limits};
use chestnut_base::{
    CallerName, DomainName, MemberId, ModelName, ServerName, ServiceName, TeamName,
    Urgency,
};
use chestnut_edge::{Engine, LoadedModel, Model, Phase, ServerEntry};
use chestnut_pool::placement::{PlacementInput, PlacementPlanner};
use chestnut_pool::{
    DemandCounts, EngineTimings, ListedServer, LoadBound, PermitOutcome, PermitQueue,
    PlainRequest, QueueDecision, RequestKey,
};
use chestnut_route::{
    Candidate, Feedback, LoadReport, RouteRequest, Router, RoutingPolicy,
};

/// Requests that a server of a plain service runs at the same time, as the users' do.
const SLOTS: u32 = 6;

/// How often the gate's planner looks.
const PLAN_PERIOD: Duration = Duration::from_millis(250);

/// What to measure.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Decisions of each sort.
    #[bpaf(argument("N"), fallback(20_000))]
    pub rounds: u32,
}

/// Measures and prints the cost of decisions.
pub fn run(options: &Options) {
    for count in [9, 21, 1200] {
        for (name, policy) in [
            ("round-robin", RoutingPolicy::RoundRobin),
            ("least-in-flight", RoutingPolicy::LeastInFlight),
            ("two-choices", RoutingPolicy::TwoChoices),
            ("k-choice", RoutingPolicy::KChoice(2)),
            ("chosen", RoutingPolicy::Estimate),
        ] {
            let nanos = choice(policy, count, options.rounds);
            println!(
                "{{\"decision\":\"choose\",\"policy\":\"{name}\",\"candidates\":{count},\"ns\":{nanos}}}"
            );
        }
    }
    for waiting in [0, 32, 256] {
        let nanos = admission(waiting, options.rounds / 10);
        println!("{{\"decision\":\"offer\",\"waiting\":{waiting},\"ns\":{nanos}}}");
    }
    for servers in [3, 30, 300] {
        for waiting in [0, 100] {
            let nanos = place(servers, waiting, options.rounds / 10);
            println!(
                "{{\"decision\":\"place\",\"servers\":{servers},\"waiting\":{waiting},\"ns\":{nanos}}}"
            );
        }
    }
    for (runners, models) in [(112, 155), (1_200, 190), (12_000, 1_900)] {
        let micros = plan(runners, models);
        println!(
            "{{\"decision\":\"plan\",\"runners\":{runners},\"models\":{models},\"us\":{micros}}}"
        );
    }
    println!(
        "{{\"bytes_per_request\":{}}}",
        chestnut_admit::controller::bytes_per_request()
    );
}

/// Nanoseconds of a choice among `count` candidates.
fn choice(policy: RoutingPolicy, count: u32, rounds: u32) -> u128 {
    let now = Instant::now();
    let mut router = Router::new(policy, 1);
    let candidates: Vec<_> = (0..count)
        .map(|index| {
            let name = ServerName::try_from(format!("server-{index}"));
            let server = router.server_key(&name.expect("the name is well formed"));
            let report = LoadReport {
                running: index % 32,
                queued: 0,
                estimated_wait: Duration::from_millis(u64::from(index % 7)),
                step_time: Duration::from_micros(10_000),
            };
            router.record(server, Feedback::Load(report), now);
            Candidate {
                server,
                extra_latency: Duration::ZERO,
                streams: 32,
                step_time: report.step_time,
            }
        })
        .collect();
    let prefix: Vec<u64> = (0..20).collect();
    router.begin_attempt(candidates[0].server, &prefix);
    let ask =
        RouteRequest { prompt_tokens: 600, output_tokens: 200, prefix_blocks: &prefix };
    let start = Instant::now();
    for _ in 0..rounds {
        std::hint::black_box(router.choose(&candidates, ask, now));
    }
    start.elapsed().as_nanos() / u128::from(rounds)
}

/// Nanoseconds of an offer and its withdrawal with 32 running and some waiting.
fn admission(waiting: u32, rounds: u32) -> u128 {
    let now = Instant::now();
    let limits = Limits {
        max_streams: 32,
        max_cache_tokens: 1 << 20,
        max_queued: 512,
        step_time: Duration::from_millis(10),
    };
    let mut lead = AdmissionController::new(limits, AdmissionPolicy::default(), now);
    for index in 0..32 + waiting {
        lead.offer(job(index, now), now);
    }
    let start = Instant::now();
    for index in 0..rounds {
        let ticket = lead.offer(job(index, now), now);
        lead.finish(ticket, chestnut_admit::AttemptEnd::Cancelled, now);
        lead.take_effects();
    }
    start.elapsed().as_nanos() / u128::from(rounds)
}

/// Nanoseconds of a place at a plain service: a request comes, another one ends, and what
/// can be sent is sent, with nine places of ten taken or with requests that wait.
fn place(servers: u64, waiting: u64, rounds: u32) -> u128 {
    let now = Instant::now();
    let mut queue = PermitQueue::default();
    let listed = |index| ListedServer {
        name: ServerName::try_from(format!("server-{index}")).expect("well formed"),
        slots: SLOTS,
        domain: domain(index),
    };
    queue.update_servers((0..servers).map(listed).collect(), now);
    let asker = |number: u64| (MemberId(number % 100), number);
    let full = servers * u64::from(SLOTS);
    let busy = if waiting > 0 { full * 2 + waiting } else { full * 9 / 10 };
    let mut sent = VecDeque::new();
    for number in 0..busy {
        queue.push(asker(number), want(number), now);
        sent.extend(next(&mut queue, now));
    }
    let start = Instant::now();
    for round in 0..u64::from(rounds) {
        let number = busy + round;
        queue.push(asker(number), want(number), now);
        sent.extend(next(&mut queue, now));
        if let Some(done) = sent.pop_front() {
            queue.release(done, PermitOutcome::Answered, now);
            sent.extend(next(&mut queue, now));
        }
    }
    start.elapsed().as_nanos() / u128::from(rounds)
}

/// Microseconds of a look of the gate's planner at runners of two models each, in the mean
/// of a few; a twentieth of the models has nearly all of the demand.
fn plan(runners: usize, models: usize) -> u128 {
    const LOOKS: u32 = 4;
    let now = Instant::now();
    let engine = engine(models);
    let names: Vec<&ModelName> = engine.models.keys().collect();
    let entry =
        |at: usize| runner(at, [names[at % models], names[(at * 7 + 1) % models]]);
    let entries: Vec<ServerEntry> = (0..runners).map(entry).collect();
    let speeds = EngineTimings::default();
    let window = Duration::from_secs(5);
    let bound = LoadBound { rate: engine.loads_per_s, window, overshoot: 1.1 };
    let scene = PlacementInput {
        runners: &entries,
        fixed: &[],
        engine: &engine,
        load_bound: bound,
        timings: &speeds,
    };
    let mut placing = PlacementPlanner::new(now);
    let asked = |look: u32| {
        let asked = |(at, name): (usize, &&ModelName)| {
            let busy = if at.is_multiple_of(20) { 20.0 } else { 0.05 };
            let requests = busy * f64::from(look + 1);
            let prompt = requests * 800.0;
            (
                (*name).clone(),
                DemandCounts {
                    requests,
                    prompt_tokens: prompt,
                    ..DemandCounts::default()
                },
            )
        };
        names.iter().enumerate().map(asked).collect()
    };
    let start = Instant::now();
    for look in 0..LOOKS {
        placing.update_demand(MemberId(1), 0, asked(look));
        std::hint::black_box(placing.plan(&scene, now + PLAN_PERIOD * look));
    }
    start.elapsed().as_micros() / u128::from(LOOKS)
}

/// An engine for so many models of 16 to 34 GB, two or three of which fit.
fn engine(models: usize) -> Engine {
    let model = |at: usize| {
        let name = ModelName::try_from(format!("model-{at}")).expect("well formed");
        let model = Model {
            weights_mb: if at.is_multiple_of(2) { 34_300.0 } else { 16_100.0 },
            adapter_count: 4,
            adapter_mb: 40.0,
            store_load_time: Duration::from_secs(2),
            memory_load_time: Duration::from_millis(390),
            disk_load_time: Duration::from_millis(510),
        };
        (name, model)
    };
    Engine {
        slots: 48,
        kv_tokens: 155_000,
        event_tokens: 6,
        memory_mb: 83_000.0,
        adapter_slots: 8,
        loads_per_s: 16.0,
        models: (0..models).map(model).collect(),
    }
}

fn runner(at: usize, models: [&ModelName; 2]) -> ServerEntry {
    let held = |model: &ModelName| LoadedModel {
        model: model.clone(),
        version: 1,
        adapters: Vec::new(),
    };
    ServerEntry {
        name: ServerName::try_from(format!("runner-{at}")).expect("well formed"),
        started_at_ms: Some(1),
        service: ServiceName::try_from("pool").expect("well formed"),
        address: ([10, 0, 0, 1], 80).into(),
        domain: domain(at as u64),
        slots: 48,
        phase: Phase::Ready,
        warmup_remaining: Duration::ZERO,
        accepted_orders: 0,
        models: models.into_iter().map(held).collect(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
    }
}

/// The requests that are sent now.
fn next(queue: &mut PermitQueue, now: Instant) -> Vec<RequestKey> {
    let mut sent = Vec::new();
    while let Some(step) = queue.next_decision(now) {
        if let QueueDecision::Grant(asker, _) = step {
            sent.push(asker);
        }
    }
    sent
}

fn want(number: u64) -> PlainRequest {
    PlainRequest {
        urgency: (number % 3) as u8,
        target_time: Duration::from_secs(60),
        wait_limit: Duration::from_secs(60),
        domain: domain(number),
        avoid: Vec::new(),
    }
}

fn domain(number: u64) -> DomainName {
    DomainName::try_from(format!("domain-{}", number % 3)).expect("well formed")
}

fn job(index: u32, now: Instant) -> Job {
    let name = |text: String| CallerName::try_from(text).expect("well formed");
    Job {
        caller: name(format!("caller-{}", index % 20)),
        team: TeamName::try_from("team").expect("well formed"),
        share: 1,
        urgency: Urgency::Normal,
        deadline: now + Duration::from_secs(3600),
        prompt_tokens: 500,
        max_output_tokens: 200,
        resumable: true,
        resumed: false,
    }
}
