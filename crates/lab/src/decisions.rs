//! Measures the computing time of routing, admission, permit and placement decisions.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use chestnut_account::{
    AccountText, Accounts, ChargeId, HeldSlice, KeyDigest, SliceChooser, SliceStart,
    Tolerance, bearer_key,
};
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

/// Parallel requests per server of a plain service, as in the users' deployments.
const SERVER_SLOTS: u32 = 6;

/// Interval between plans of the gate's planner.
const PLAN_INTERVAL: Duration = Duration::from_millis(250);

/// Sets the length of the measurement.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Number of routing decisions per measurement; admission and permits are measured
    /// with a tenth of it.
    #[bpaf(argument("N"), fallback(20_000))]
    pub rounds: u32,
}

/// Measures each kind of decision and prints one JSON object per line.
pub fn run(options: &Options) {
    for count in [9, 21, 1200] {
        for (name, policy) in [
            ("round-robin", RoutingPolicy::RoundRobin),
            ("least-in-flight", RoutingPolicy::LeastInFlight),
            ("two-choices", RoutingPolicy::TwoChoices),
            ("k-choice", RoutingPolicy::KChoice(2)),
            ("chosen", RoutingPolicy::Estimate),
        ] {
            let nanos = time_routing(policy, count, options.rounds);
            println!(
                "{{\"decision\":\"choose\",\"policy\":\"{name}\",\"candidates\":{count},\"ns\":{nanos}}}"
            );
        }
    }
    for waiting in [0, 32, 256] {
        let nanos = time_admission(waiting, options.rounds / 10);
        println!("{{\"decision\":\"offer\",\"waiting\":{waiting},\"ns\":{nanos}}}");
    }
    for servers in [3, 30, 300] {
        for waiting in [0, 100] {
            let nanos = time_permits(servers, waiting, options.rounds / 10);
            println!(
                "{{\"decision\":\"place\",\"servers\":{servers},\"waiting\":{waiting},\"ns\":{nanos}}}"
            );
        }
    }
    for (runners, models) in [(112, 155), (1_200, 190), (12_000, 1_900)] {
        let micros = time_plan(runners, models);
        println!(
            "{{\"decision\":\"plan\",\"runners\":{runners},\"models\":{models},\"us\":{micros}}}"
        );
    }
    for accounts in [16, 1_000] {
        let (key, charge) = time_account(accounts, options.rounds);
        println!(
            "{{\"decision\":\"account\",\"accounts\":{accounts},\"key_ns\":{key},\"charge_ns\":{charge}}}"
        );
    }
    println!(
        "{{\"bytes_per_request\":{}}}",
        chestnut_admit::controller::bytes_per_request()
    );
}

/// Mean nanoseconds of finding the account of a key, and of choosing and charging a slice of
/// its limit at the holder.
fn time_account(accounts: usize, rounds: u32) -> (u128, u128) {
    let texts: Vec<AccountText> = (0..accounts)
        .map(|index| AccountText {
            name: format!("account-{index}"),
            keys: vec![format!("key-{index}")],
            unit: Some("tokens".into()),
            rate: Some(1e12),
            burst: Some(1e12),
            ..AccountText::default()
        })
        .collect();
    let accounts = Accounts::try_from(texts).expect("the accounts are valid");
    let start = Instant::now();
    for round in 0..rounds {
        let key =
            bearer_key([&b"Bearer key-7"[..]].into_iter()).expect("the key is valid");
        std::hint::black_box((round, accounts.authenticate(&KeyDigest::of(key))));
    }
    let key_nanos = start.elapsed().as_nanos() / u128::from(rounds);
    let (name, account) = accounts.iter().next().expect("there is an account");
    let limit = account.limit.expect("it has a limit");
    let tolerance =
        Tolerance { window: Duration::from_secs(8), overshoot: 0.1, slack: 0.0 };
    let now = Instant::now();
    let slice_limit = limit.slice(&tolerance);
    let mut slice = HeldSlice::new(SliceStart::First, &slice_limit, now);
    let chooser = SliceChooser::default();
    let start = Instant::now();
    for number in 0..u64::from(rounds) {
        let choice = chooser.choose(name, limit.slice_count(), number as u32, now);
        let id = ChargeId { member: MemberId(1), number };
        std::hint::black_box((choice, slice.charge(id, 1700.0, &slice_limit, now)));
    }
    (key_nanos, start.elapsed().as_nanos() / u128::from(rounds))
}

/// Mean nanoseconds of a routing decision among `count` candidates.
fn time_routing(policy: RoutingPolicy, count: u32, rounds: u32) -> u128 {
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
    let request =
        RouteRequest { prompt_tokens: 600, output_tokens: 200, prefix_blocks: &prefix };
    let start = Instant::now();
    for _ in 0..rounds {
        std::hint::black_box(router.choose(&candidates, request, now));
    }
    start.elapsed().as_nanos() / u128::from(rounds)
}

/// Mean nanoseconds of offering a request and cancelling it, with 32 running and `waiting`
/// queued requests.
fn time_admission(waiting: u32, rounds: u32) -> u128 {
    let now = Instant::now();
    let limits = Limits {
        max_streams: 32,
        max_cache_tokens: 1 << 20,
        max_queued: 512,
        step_time: Duration::from_millis(10),
    };
    let mut controller =
        AdmissionController::new(limits, AdmissionPolicy::default(), now);
    for index in 0..32 + waiting {
        controller.offer(job(index, now), now);
    }
    let start = Instant::now();
    for index in 0..rounds {
        let ticket = controller.offer(job(index, now), now);
        controller.finish(ticket, chestnut_admit::AttemptEnd::Cancelled, now);
        controller.take_effects();
    }
    start.elapsed().as_nanos() / u128::from(rounds)
}

/// Mean nanoseconds of permit decisions for one arrival and one completion at a plain
/// service.
///
/// Nine of ten server slots are in use if `waiting` is 0. Otherwise all permits are in use
/// and at least `waiting` requests are queued.
fn time_permits(servers: u64, waiting: u64, rounds: u32) -> u128 {
    let now = Instant::now();
    let mut queue = PermitQueue::default();
    let listed = |index| ListedServer {
        name: ServerName::try_from(format!("server-{index}")).expect("well formed"),
        slots: SERVER_SLOTS,
        domain: domain(index),
        limit: None,
    };
    queue.update_servers((0..servers).map(listed).collect(), now);
    let request_key = |number: u64| (MemberId(number % 100), number);
    let slots = servers * u64::from(SERVER_SLOTS);
    let initial = if waiting > 0 { slots * 2 + waiting } else { slots * 9 / 10 };
    let mut running = VecDeque::new();
    for number in 0..initial {
        queue.push(request_key(number), plain_request(number), now);
        running.extend(take_grants(&mut queue, now));
    }
    let start = Instant::now();
    for round in 0..u64::from(rounds) {
        let number = initial + round;
        queue.push(request_key(number), plain_request(number), now);
        running.extend(take_grants(&mut queue, now));
        if let Some(done) = running.pop_front() {
            queue.release(done, PermitOutcome::Answered, now);
            running.extend(take_grants(&mut queue, now));
        }
    }
    start.elapsed().as_nanos() / u128::from(rounds)
}

/// Mean microseconds of a plan of the gate's planner for runners that hold two models each.
/// A twentieth of the models has nearly all of the demand.
fn time_plan(runners: usize, models: usize) -> u128 {
    const PLANS: u32 = 4;
    let now = Instant::now();
    let engine = engine(models);
    let names: Vec<&ModelName> = engine.models.keys().collect();
    let server_entry = |index: usize| {
        runner(index, [names[index % models], names[(index * 7 + 1) % models]])
    };
    let entries: Vec<ServerEntry> = (0..runners).map(server_entry).collect();
    let timings = EngineTimings::default();
    let window = Duration::from_secs(5);
    let load_bound = LoadBound { rate: engine.loads_per_s, window, overshoot: 1.1 };
    let limits = indexmap::IndexMap::new();
    let input = PlacementInput {
        limits: &limits,
        speeds: &indexmap::IndexMap::new(),
        runners: &entries,
        fixed: &[],
        engine: &engine,
        load_bound,
        timings: &timings,
    };
    let mut planner = PlacementPlanner::new(now);
    let demand = |round: u32| {
        let model_demand = |(index, name): (usize, &&ModelName)| {
            let base = if index.is_multiple_of(20) { 20.0 } else { 0.05 };
            let requests = base * f64::from(round + 1);
            let prompt_tokens = requests * 800.0;
            (
                (*name).clone(),
                DemandCounts { requests, prompt_tokens, ..DemandCounts::default() },
            )
        };
        names.iter().enumerate().map(model_demand).collect()
    };
    let start = Instant::now();
    for round in 0..PLANS {
        planner.update_demand(MemberId(1), 0, demand(round));
        std::hint::black_box(planner.plan(&input, now + PLAN_INTERVAL * round));
    }
    start.elapsed().as_micros() / u128::from(PLANS)
}

/// An engine that serves `models` models of 16 to 34 GB, two to five of which fit into its
/// memory.
fn engine(models: usize) -> Engine {
    let model = |index: usize| {
        let name = ModelName::try_from(format!("model-{index}")).expect("well formed");
        let model = Model {
            weights_mb: if index.is_multiple_of(2) { 34_300.0 } else { 16_100.0 },
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

fn runner(index: usize, models: [&ModelName; 2]) -> ServerEntry {
    let loaded = |model: &ModelName| LoadedModel {
        model: model.clone(),
        version: 1,
        adapters: Vec::new(),
    };
    ServerEntry {
        name: ServerName::try_from(format!("runner-{index}")).expect("well formed"),
        started_at_ms: Some(1),
        service: ServiceName::try_from("pool").expect("well formed"),
        address: ([10, 0, 0, 1], 80).into(),
        domain: domain(index as u64),
        slots: 48,
        phase: Phase::Ready,
        warmup_remaining: Duration::ZERO,
        accepted_orders: 0,
        models: models.into_iter().map(loaded).collect(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        software: None,
    }
}

/// Takes all pending decisions and returns the requests that received a permit.
fn take_grants(queue: &mut PermitQueue, now: Instant) -> Vec<RequestKey> {
    let mut granted = Vec::new();
    while let Some(decision) = queue.next_decision(now) {
        if let QueueDecision::Grant(request, _) = decision {
            granted.push(request);
        }
    }
    granted
}

fn plain_request(number: u64) -> PlainRequest {
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
