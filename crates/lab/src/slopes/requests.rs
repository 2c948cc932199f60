//! What requests and tokens cost, and how long the way through a lead takes.

use std::time::{Duration, Instant};

use chestnut_fake::EngineConfig;
use futures::StreamExt;
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use super::Point;
use super::world::{World, WorldError, sha256};
use crate::cost::{self, DAEMON_THREADS};

/// Daemons; most requests pass through two of them.
const DAEMONS: usize = 2;

/// Requests at the same time.
const PARALLEL: usize = 32;

/// Tokens of an answer at each size; the slope is the cost of a token.
const TOKENS: [u32; 4] = [1, 50, 100, 200];

/// How long to wait until the model is resident.
const READY: Duration = Duration::from_secs(60);

/// The longest time that is told apart, in microseconds.
const MINUTE: u64 = 60_000_000;

/// Measures processor time for each request as answers grow longer.
pub fn run(seconds: u64) -> Result<Vec<Point>, WorldError> {
    let mut world = World::new(json!({ "poll_ms": 500 }))?;
    for _ in 0..2 {
        world.start_engine(EngineConfig {
            max_streams: 256,
            step_time: Duration::from_millis(1),
            ..EngineConfig::default()
        })?;
    }
    for _ in 0..DAEMONS {
        world.start_daemon()?;
    }
    world.declare(&declarations())?;
    wait_ready(&world)?;
    TOKENS.iter().map(|&tokens| measure(&world, tokens, seconds)).collect()
}

fn measure(world: &World, tokens: u32, seconds: u64) -> Result<Point, WorldError> {
    let busy = cost::processor(DAEMON_THREADS);
    let begin = Instant::now();
    let until = begin + Duration::from_secs(seconds);
    let loops = (0..PARALLEL).map(|n| ask_until(world, n, tokens, until));
    let found = world.outside.block_on(futures::future::join_all(loops));
    let time = begin.elapsed().as_secs_f64();
    let busy = cost::processor(DAEMON_THREADS) - busy;
    let mut first = Histogram::<u64>::new_with_bounds(1, MINUTE, 3).expect("bounds");
    let mut served = 0;
    for one in found {
        let one = one?;
        served += one.served;
        first.add(&one.first).expect("the same bounds");
    }
    let at = |q| first.value_at_quantile(q) as f64 / 1000.0;
    Ok(Point {
        experiment: "requests",
        unit: "token",
        size: f64::from(tokens),
        values: vec![
            ("cpu_us_per_request", busy * 1e6 / f64::from(served)),
            ("requests_per_s", f64::from(served) / time),
            ("first_token_p50_ms", at(0.5)),
            ("first_token_p99_ms", at(0.99)),
        ],
    })
}

/// What one caller saw.
struct Seen {
    served: u32,
    first: Histogram<u64>,
}

async fn ask_until(
    world: &World,
    caller: usize,
    tokens: u32,
    until: Instant,
) -> Result<Seen, WorldError> {
    let first = Histogram::new_with_bounds(1, MINUTE, 3).expect("valid bounds");
    let mut seen = Seen { served: 0, first };
    let entry = world.entry(caller % DAEMONS);
    while Instant::now() < until {
        let sent = Instant::now();
        let prompt = format!("caller {caller} asks for the {}th time", seen.served);
        let answer = ask(world, &entry, &prompt, tokens).send().await?;
        let served = answer.status().is_success();
        let mut body = answer.bytes_stream();
        let mut begun = false;
        while let Some(chunk) = body.next().await {
            chunk?;
            if served && !begun {
                begun = true;
                let wait = sent.elapsed().as_micros() as u64;
                seen.first.record(wait.clamp(1, MINUTE)).expect("in bounds");
            }
        }
        seen.served += u32::from(served);
    }
    Ok(seen)
}

fn ask(world: &World, entry: &str, prompt: &str, tokens: u32) -> reqwest::RequestBuilder {
    world
        .http
        .post(format!("{entry}/v1/completions"))
        .header("authorization", "Bearer caller")
        .json(&json!({
            "model": "route", "prompt": prompt, "max_tokens": tokens, "stream": true,
        }))
}

fn wait_ready(world: &World) -> Result<(), WorldError> {
    let begin = Instant::now();
    for daemon in 0..DAEMONS {
        let entry = world.entry(daemon);
        loop {
            let call = ask(world, &entry, "ready?", 1).send();
            let ready = world.outside.block_on(call)?.status().is_success();
            if ready || begin.elapsed() > READY {
                break;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }
    Ok(())
}

fn declarations() -> Value {
    json!({
        "pools": { "main": {
            "memory": 80_000_000_000_u64, "accelerators": 4, "streams": 256,
            "tokens": 200_000, "step_ms": 1, "fenced": true, "parallel_loads": 4,
            "load_rate": 10.0, "attainment_weight": 1.0, "move_weight": 1.0,
        }},
        "models": { "model": {
            "pool": "main", "version": "v1", "bytes": 1_000_000_000, "cold_ms": 100,
            "replicas": 2,
        }},
        "routes": { "route": { "model": "model" } },
        "callers": { "caller": { "key_sha256": sha256("caller") } },
    })
}
