//! Odd rows in the store's tables, beside those of sound servers.

use std::fs;

use chestnut_platform_stand_in::{CallerRequest, Runner};
use serde_json::{Value, json};

use crate::cluster::{Cluster, wait_until};

/// An address where nobody listens.
const DEAD_ADDR: &str = "127.0.0.1:1";

/// Guards against a daemon that ends, or stops following the registry, because of odd entries:
/// those it finds at its start, those that are written later, and those written again.
#[tokio::test]
async fn odd_entries_end_no_daemon() {
    let mut cluster = Cluster::start("odd", 2).await;
    put_odd_entries(&cluster);
    cluster.daemons[1].kill();
    cluster.daemons[1].restart();
    cluster.wait_until_ready().await;
    for _ in 0..3 {
        put_odd_entries(&cluster);
        send_requests(&cluster).await;
    }
    // The registry is followed: a runner that is listed now takes the place of two that go.
    let late = Runner::start(&cluster.store, "zz", &["red"]).await;
    cluster.store.put("servers", "r1", None);
    cluster.store.put("servers", "r2", None);
    for daemon in &cluster.daemons {
        wait_until("the daemon has read the changes", async || {
            let gone = daemon.lines("server gone from the registry");
            gone.iter().any(|line| line["server"] == "r2")
        })
        .await;
    }
    let runs = || cluster.runners[..2].iter().map(|runner| runner.runs().len()).sum();
    let before: usize = runs();
    wait_until("the runner that was listed last is used", async || {
        send_requests(&cluster).await;
        !late.runs().is_empty()
    })
    .await;
    assert_eq!(runs(), before, "a runner that is no longer listed is used");
    assert_no_daemon_ended(&mut cluster);
}

/// Puts odd entries into the registry, by key before and after those of sound servers.
fn put_odd_entries(cluster: &Cluster) {
    for (number, entry) in odd_entries().into_iter().enumerate() {
        let place = if number % 2 == 0 { "a" } else { "z" };
        cluster.store.put_bytes("servers", &format!("{place}{number}"), Some(entry));
    }
    for key in ["", "\0", "../é", &"k".repeat(200)] {
        cluster.store.put_bytes("servers", key, Some(entry("pool", "slots", "16")));
    }
}

fn odd_entries() -> Vec<Vec<u8>> {
    let nested = format!("{}{}", "[".repeat(20_000), "]".repeat(20_000));
    let models: Vec<Value> =
        (0..2_000).map(|number| json!({ "name": format!("m{number}") })).collect();
    let models = Value::from(models).to_string();
    let fields = [
        ("extra", nested.as_str()),
        ("models", &nested),
        ("models", &models),
        ("models", r#"[{"name":"red","version":18446744073709551615}]"#),
        ("slots", "4294967295"),
        ("slots", "1e300"),
        ("seq", "18446744073709551615"),
        ("born", "18446744073709551615"),
        ("cold_ms", "1e22"),
        ("cold_ms", "-1e308"),
        ("remaining_ms", "1e22"),
        ("service", r#""nobody-knows""#),
        ("zone", r#""\ud800""#),
        ("address", r#""127.0.0.1:65536""#),
        ("address", r#""127.0.0.1:0""#),
        ("address", r#""0.0.0.0:80""#),
        ("address", r#""255.255.255.255:80""#),
        ("address", r#""224.0.0.1:80""#),
        ("address", r#""[::]:80""#),
    ];
    let mut entries = vec![Vec::new(), vec![0xff, 0xfe, 0], b"null".to_vec()];
    for service in ["pool", "ledger"] {
        let odd = fields.iter().map(|(field, value)| entry(service, field, value));
        entries.extend(odd);
    }
    entries
}

/// The entry of a server at which nobody listens, with one field replaced.
fn entry(service: &str, field: &str, value: &str) -> Vec<u8> {
    let mut entry = json!({
        "service": service, "address": DEAD_ADDR, "zone": "north", "version": "v1",
        "slots": 16, "state": "ready", "cold_ms": 0, "seq": 0, "born": 1,
        "models": [{ "name": "red", "version": 1, "adapters": [] }],
    });
    entry[field] = "REPLACED".into();
    entry.to_string().replacen("\"REPLACED\"", value, 1).into_bytes()
}

/// Sends a stream and a plain request to each daemon; returns the failures.
async fn send_requests(cluster: &Cluster) -> Vec<String> {
    let mut failures = Vec::new();
    for daemon in 0..cluster.daemons.len() {
        let stream = CallerRequest::stream("draft", "red", 3);
        for request in [stream, CallerRequest::plain("record")] {
            let response = cluster.send(daemon, &request).await;
            if (response.status, response.complete) != (200, true) {
                failures.push(format!("{} {}", response.status, response.body));
            }
        }
    }
    failures
}

fn assert_no_daemon_ended(cluster: &mut Cluster) {
    for daemon in &mut cluster.daemons {
        assert_eq!(daemon.exit_status(), None);
        let log = fs::read_to_string(&daemon.log).expect("the log can be read");
        let panic = log.lines().find(|line| line.contains("panicked"));
        assert_eq!(panic, None);
    }
}
