//! CPU time per request and token, and latency to the first token through a lead.

use std::time::{Duration, Instant};

use chestnut_fake::EngineConfig;
use futures::StreamExt;
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use super::Point;
use super::testbed::{ExperimentError, Testbed, sha256_hex};
use crate::resource_usage::{self, DAEMON_THREAD_PREFIX};

/// Daemons; most requests pass through both, one as the entry and one as the lead.
const DAEMONS: usize = 2;

/// Callers that send requests at the same time.
const CALLERS: usize = 32;

/// Tokens of a response at each size; the slope is the cost of a token.
const OUTPUT_TOKENS: [u32; 4] = [1, 50, 100, 200];

/// How long to wait until all daemons serve the model.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Upper bound of the latency histograms, in microseconds; longer latencies are
/// recorded as this value.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Measures CPU time and latency of requests as responses grow longer.
pub fn run(seconds: u64) -> Result<Vec<Point>, ExperimentError> {
    let mut testbed = Testbed::new(json!({ "poll_ms": 500 }))?;
    for _ in 0..2 {
        testbed.start_engine(EngineConfig {
            max_streams: 256,
            step_time: Duration::from_millis(1),
            ..EngineConfig::default()
        })?;
    }
    for _ in 0..DAEMONS {
        testbed.start_daemon()?;
    }
    testbed.apply_declarations(&declarations())?;
    wait_until_ready(&testbed)?;
    OUTPUT_TOKENS.iter().map(|&tokens| measure(&testbed, tokens, seconds)).collect()
}

fn measure(
    testbed: &Testbed,
    tokens: u32,
    seconds: u64,
) -> Result<Point, ExperimentError> {
    let initial_cpu_s = resource_usage::cpu_seconds(DAEMON_THREAD_PREFIX);
    let start = Instant::now();
    let until = start + Duration::from_secs(seconds);
    let callers = (0..CALLERS).map(|caller| run_caller(testbed, caller, tokens, until));
    let results = testbed.harness_runtime.block_on(futures::future::join_all(callers));
    let elapsed_s = start.elapsed().as_secs_f64();
    let cpu_s = resource_usage::cpu_seconds(DAEMON_THREAD_PREFIX) - initial_cpu_s;
    let mut first_token =
        Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3).expect("valid bounds");
    let mut served = 0;
    for result in results {
        let result = result?;
        served += result.served;
        first_token.add(&result.first_token).expect("the same bounds");
    }
    let at = |quantile| first_token.value_at_quantile(quantile) as f64 / 1000.0;
    Ok(Point {
        experiment: "requests",
        unit: "token",
        size: f64::from(tokens),
        values: vec![
            ("cpu_us_per_request", cpu_s * 1e6 / f64::from(served)),
            ("requests_per_s", f64::from(served) / elapsed_s),
            ("first_token_p50_ms", at(0.5)),
            ("first_token_p99_ms", at(0.99)),
        ],
    })
}

/// Results of one caller.
struct CallerResult {
    /// Successful responses.
    served: u32,
    /// Latency to the first bytes of a successful response, in microseconds.
    first_token: Histogram<u64>,
}

/// Sends requests one after another until `until`.
async fn run_caller(
    testbed: &Testbed,
    caller: usize,
    tokens: u32,
    until: Instant,
) -> Result<CallerResult, ExperimentError> {
    let first_token =
        Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("valid bounds");
    let mut result = CallerResult { served: 0, first_token };
    let url = testbed.caller_url(caller % DAEMONS);
    while Instant::now() < until {
        let sent_at = Instant::now();
        let prompt = format!("caller {caller} asks for the {}th time", result.served);
        let response = completion_request(testbed, &url, &prompt, tokens).send().await?;
        let served = response.status().is_success();
        let mut body = response.bytes_stream();
        let mut started = false;
        while let Some(chunk) = body.next().await {
            chunk?;
            if served && !started {
                started = true;
                let latency_us = sent_at.elapsed().as_micros() as u64;
                result
                    .first_token
                    .record(latency_us.clamp(1, MAX_LATENCY_US))
                    .expect("in bounds");
            }
        }
        result.served += u32::from(served);
    }
    Ok(result)
}

fn completion_request(
    testbed: &Testbed,
    url: &str,
    prompt: &str,
    tokens: u32,
) -> reqwest::RequestBuilder {
    testbed
        .http
        .post(format!("{url}/v1/completions"))
        .header("authorization", "Bearer caller")
        .json(&json!({
            "model": "route", "prompt": prompt, "max_tokens": tokens, "stream": true,
        }))
}

/// Sends requests to each daemon until one succeeds.
///
/// Returns after [`READY_TIMEOUT`] even if none has.
fn wait_until_ready(testbed: &Testbed) -> Result<(), ExperimentError> {
    let start = Instant::now();
    for daemon in 0..DAEMONS {
        let url = testbed.caller_url(daemon);
        loop {
            let call = completion_request(testbed, &url, "ready?", 1).send();
            let ready = testbed.harness_runtime.block_on(call)?.status().is_success();
            if ready || start.elapsed() > READY_TIMEOUT {
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
        "callers": { "caller": { "key_sha256": sha256_hex("caller") } },
    })
}
