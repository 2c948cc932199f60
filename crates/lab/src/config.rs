//! Measures the delay until accepted declarations are in force at all daemons, the table
//! traffic of the daemons and the time to check declarations.
//!
//! Runs real daemons with an embedded fake platform, over HTTP and QUIC on loopback.
//! Each daemon reaches the table through a relay that counts bytes.

mod relay;
mod testbed;

use std::time::{Duration, Instant};

use bpaf::Bpaf;
use chestnut_base::{Revision, TeamName};
use chestnut_config::{Catalog, TeamFiles};
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde_json::{Value, json};

use self::testbed::Testbed;

/// Seconds in a day, for rates given as changes a day.
const SECONDS_PER_DAY: f64 = 86_400.0;

/// Models in the largest system that is supported.
const MODELS: usize = 1_900;

/// Teams in the largest system that is supported.
const TEAMS: usize = 100;

/// Upper bound of the latency histograms, in microseconds; longer latencies are
/// recorded as this value.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Measures the delay until accepted declarations are in force, and the table traffic.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Number of daemons.
    #[bpaf(argument("NUMBER"), fallback(6), display_fallback)]
    daemons: usize,
    /// Interval at which a daemon reads the table, in milliseconds.
    #[bpaf(argument("MS"), fallback(500), display_fallback)]
    poll: u64,
    /// Number of declaration files.
    #[bpaf(argument("NUMBER"), fallback(50), display_fallback)]
    files: usize,
    /// Size of a declaration file, in bytes.
    #[bpaf(argument("BYTES"), fallback(2000), display_fallback)]
    size: usize,
    /// Changes a day; may be repeated. By default five rates from 0 to 864,000.
    #[bpaf(argument("NUMBER"))]
    rate: Vec<f64>,
    /// Duration of the measurement at each rate, in seconds.
    #[bpaf(argument("S"), fallback(20), display_fallback)]
    seconds: u64,
    /// Delay of each call to the table, in milliseconds.
    #[bpaf(argument("MS"), fallback(5), display_fallback)]
    delay: u64,
}

/// Prints the time of a declaration check, then the results at each rate, as JSON lines.
pub fn run(options: &Options) {
    println!("{}", measure_declaration_check());
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        let mut testbed = Testbed::start(options).await;
        let rates = if options.rate.is_empty() {
            vec![0.0, 1_900.0, 19_000.0, 190_000.0, 864_000.0]
        } else {
            options.rate.clone()
        };
        for rate in rates {
            println!("{}", measure_rate(&mut testbed, options, rate).await);
        }
    });
}

/// Applies `rate` changes a day and returns the latencies and the mean table traffic per
/// daemon.
async fn measure_rate(testbed: &mut Testbed, options: &Options, rate: f64) -> Value {
    let before = testbed.table_traffic().await;
    let start = Instant::now();
    let end = start + Duration::from_secs(options.seconds);
    let interval = Duration::from_secs_f64(SECONDS_PER_DAY / rate.max(1.0));
    let mut changes = Vec::new();
    let mut next_change_at =
        start + interval.min(Duration::from_secs(options.seconds)) / 2;
    while rate > 0.0 && next_change_at < end {
        tokio::time::sleep_until(next_change_at.into()).await;
        changes.push(testbed.apply_change(options.size).await);
        next_change_at += interval;
    }
    tokio::time::sleep_until(end.into()).await;
    let after = testbed.table_traffic().await;
    testbed.wait_until_in_force().await;
    let elapsed_s = start.elapsed().as_secs_f64().max(options.seconds as f64);
    let (mut from_response, mut from_sending) = (histogram(), histogram());
    for change in &changes {
        let in_force_at = testbed.in_force_at(change.revision);
        from_response.saturating_record(micros(
            in_force_at.saturating_duration_since(change.accepted_at),
        ));
        from_sending.saturating_record(micros(
            in_force_at.saturating_duration_since(change.sent_at),
        ));
    }
    let daemons = options.daemons as f64;
    let per_daemon = |count: u64| count as f64 / elapsed_s / daemons;
    json!({
        "changes_per_day": rate, "changes": changes.len(), "daemons": options.daemons,
        "from_answer_ms": quantiles(&from_response),
        "from_sending_ms": quantiles(&from_sending),
        "table_bytes_per_s": per_daemon(after.bytes - before.bytes),
        "table_calls_per_s": per_daemon(after.calls - before.calls),
    })
}

/// Times the check of all declarations of the largest supported system, best of 5.
fn measure_declaration_check() -> Value {
    let mut teams = IndexMap::new();
    let models_per_team = MODELS / TEAMS;
    let mut bytes = 0;
    for team in 0..TEAMS {
        let mut models = Vec::new();
        let mut routes = Vec::new();
        for number in 0..models_per_team {
            let name = format!("model-{team}-{number}");
            models.push(format!(
                "\"{name}\": {{ \"pool\": \"p\", \"version\": \"v1\", \"bytes\": \
                 14000000000, \"cold_ms\": 30000 }}"
            ));
            routes
                .push(format!("\"route-{team}-{number}\": {{ \"model\": \"{name}\" }}"));
        }
        let pool = "\"pools\": { \"p\": { \"memory\": 80000000000, \"accelerators\": 4, \
             \"streams\": 64, \"tokens\": 400000, \"step_ms\": 10, \"fenced\": true, \
             \"parallel_loads\": 2, \"load_rate\": 1.0 } },";
        let text = format!(
            "{{ {} \"models\": {{ {} }}, \"routes\": {{ {} }} }}",
            if team == 0 { pool } else { "" },
            models.join(",\n"),
            routes.join(",\n")
        );
        bytes += text.len();
        let files = [("all.jsonc".to_owned(), text)].into_iter().collect();
        let name = TeamName::try_from(format!("team-{team}")).expect("the name is valid");
        teams.insert(name, TeamFiles { files });
    }
    let mut best = Duration::MAX;
    for _ in 0..5 {
        let start = Instant::now();
        let catalog =
            Catalog::merge(Revision(1), &teams).expect("the declarations are valid");
        assert_eq!(catalog.models.len(), MODELS);
        best = best.min(start.elapsed());
    }
    json!({ "models": MODELS, "teams": TEAMS, "bytes": bytes,
            "check_ms": best.as_secs_f64() * 1e3 })
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are valid")
}

fn micros(time: Duration) -> u64 {
    time.as_micros() as u64
}

/// Quantiles in milliseconds, of a histogram in microseconds; null if it is empty.
fn quantiles(times: &Histogram<u64>) -> Value {
    if times.is_empty() {
        return Value::Null;
    }
    let at = |quantile: f64| times.value_at_quantile(quantile) as f64 / 1e3;
    json!({ "p50": at(0.5), "p99": at(0.99), "max": times.max() as f64 / 1e3 })
}
