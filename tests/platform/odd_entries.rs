//! Odd rows in the store's tables, beside those of sound servers.

use std::fs;
use std::time::Duration;

use chestnut_platform_stand_in::{CallerRequest, Runner};
use serde_json::{Value, json};
use tokio::time::sleep;

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
    // After its start, a daemon uses a runner whose entry is missing for some time.
    let runs = || cluster.runners[..2].iter().map(|runner| runner.runs().len()).sum();
    wait_until("only the runner that was listed last is used", async || {
        let before: (usize, usize) = (runs(), late.runs().len());
        send_requests(&cluster).await;
        runs() == before.0 && late.runs().len() > before.1
    })
    .await;
    assert_no_daemon_ended(&mut cluster);
}

/// Guards against a daemon that ends because of odd rows in the table that daemons write.
#[tokio::test]
async fn odd_rows_of_daemons_end_no_daemon() {
    let mut cluster = Cluster::start("rows", 2).await;
    for (number, (key, value)) in ODD_ROWS.iter().enumerate() {
        let key = key.replace('#', &number.to_string());
        cluster.store.put_bytes("chestnut", &key, Some(value.as_bytes().to_vec()));
    }
    for _ in 0..3 {
        send_requests(&cluster).await;
        sleep(Duration::from_millis(500)).await;
    }
    cluster.daemons[1].kill();
    cluster.daemons[1].restart();
    cluster.wait_until_ready().await;
    assert_eq!(send_requests(&cluster).await, Vec::<String>::new());
    assert_no_daemon_ended(&mut cluster);
}

/// Odd rows of each kind; `#` stands for a number.
const ODD_ROWS: [(&str, &str); 13] = [
    ("daemon:x#", "[[[[1e999]]]]"),
    (
        "daemon:x#",
        r#"{"member":18446744073709551615,"domain":"north","caller_addr":"0.0.0.0:0","peer_addr":"255.255.255.255:0","ops_addr":"[::]:0","leaving":false,"weight":4294967295}"#,
    ),
    ("claim:server:x#", r#"{"holder":null,"fence":18446744073709551615}"#),
    ("claim:pool:pool", r#"{"holder":null,"fence":18446744073709551615}"#),
    ("claim:server:r1", "{"),
    (
        "engine:pool",
        r#"{"models":{"red":{"token":1e308,"base":1e308}},"step":18446744073709551615,"stay":18446744073709551615}"#,
    ),
    (
        "engine:ledger",
        r#"{"models":{"red":{"token":-1e308,"base":-1e308}},"step":0,"stay":0}"#,
    ),
    ("engine:x#", r#"{"models":{"blue":{"token":1e200,"base":-1e300}}}"#),
    ("share:x#", r#"{"member":18446744073709551615,"settled":true}"#),
    (
        "software:pool/ffffffffffffffffffffffffffffffff",
        r#"{"service":"pool","software":"v9"}"#,
    ),
    ("blocked:ffffffffffffffffffffffffffffffff", r#"{"at_ms":18446744073709551615}"#),
    ("blocked:00", r#"{"at_ms":0}"#),
    ("é\0", ""),
];

/// Guards against requests that are refused although sound servers are idle, since many listed
/// ones can't be connected to.
#[tokio::test]
async fn entries_without_a_server_take_no_attempts() {
    let cluster = Cluster::start("dead", 2).await;
    for number in 0..60 {
        let service = ["pool", "ledger"][number % 2];
        let dead = entry(service, "models", r#"[{"name":"red"},{"name":"blue"}]"#);
        cluster.store.put_bytes("servers", &format!("a{number}"), Some(dead));
    }
    wait_until("the claims of all listed runners are held", async || {
        let rows = cluster.store.rows("chestnut");
        rows.keys().filter(|key| key.starts_with("claim:server:")).count() == 3 + 30
    })
    .await;
    let mut failures = Vec::new();
    for _ in 0..6 {
        failures.extend(send_requests(&cluster).await);
        // By then all are tried again.
        sleep(Duration::from_secs(1)).await;
    }
    assert!(failures.is_empty(), "{} of 36: {failures:?}", failures.len());
}

/// Guards against requests that daemons send to each other, or to themselves, as if to a server.
#[tokio::test]
async fn entries_that_name_daemons_are_not_used() {
    let cluster = Cluster::start("loop", 2).await;
    for (number, daemon) in cluster.daemons.iter().enumerate() {
        for service in ["pool", "ledger"] {
            let addr = json!(daemon.caller_addr).to_string();
            let key = format!("{service}{number}");
            cluster.store.put_bytes(
                "servers",
                &key,
                Some(entry(service, "address", &addr)),
            );
        }
    }
    for daemon in &cluster.daemons {
        wait_until("the entries are read", async || {
            let message = "server not used, its entry names a daemon's address";
            daemon.lines(message).len() == 4
        })
        .await;
    }
    // Without others, requests would be sent there once these may not return any more.
    for name in ["r1", "r2", "r3", "s1", "s2"] {
        cluster.store.put("servers", name, None);
    }
    for _ in 0..6 {
        sleep(Duration::from_millis(500)).await;
        for daemon in 0..2 {
            cluster.send(daemon, &CallerRequest::plain("record")).await;
        }
    }
    let sent = cluster.caller.sent().len();
    let ended = || {
        let lines = cluster.daemons.iter().map(|daemon| daemon.lines("request ended"));
        lines.map(|lines| lines.len()).sum::<usize>()
    };
    wait_until("all ends are logged", async || ended() >= sent).await;
    assert_eq!(ended(), sent, "a daemon got a request of another");
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

/// Sends two streams and a plain request to each daemon; returns the failures.
async fn send_requests(cluster: &Cluster) -> Vec<String> {
    let mut failures = Vec::new();
    for daemon in 0..cluster.daemons.len() {
        let stream = |model| CallerRequest::stream("draft", model, 3);
        let plain = CallerRequest::plain("record");
        for request in [stream("red"), stream("blue"), plain] {
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
