//! Tests of request traces from logs and of rows from the state of daemons.

use chestnut_ctl::gates::{self, rows};
use chestnut_ctl::schema::Section;
use chestnut_ctl::trace::Trace;
use insta::assert_snapshot;
use serde_json::json;

/// The logs of two daemons: one request failed because the daemon's replica of the
/// registry was outdated, another succeeded, and one line is truncated.
const LOG: &str = r#"
{"msg":"server listed","level":"INFO","ts":"2026-05-01T10:00:00.5Z","vm":"a1","server":"r3","models":"blue","phase":"Ready","version":6}
{"msg":"server listed","level":"INFO","ts":"2026-05-01T10:00:01.2Z","vm":"a2","server":"r3","models":"","phase":"Ready","version":7}
{"msg":"request ended","level":"INFO","ts":"2026-05-01T10:00:05.1004Z","vm":"a1","id":"q1","end":"Unavailable","why":"NotRun: no server can take the request now; come back when told","server":"","events":null,"ms":100}
{"msg":"server picked","level":"INFO","ts":"2026-05-01T10:00:05Z","vm":"a1","id":"q1","server":"r3","target":"blue","cost_ms":23,"registry_version":6,"registry_age_ms":3517}
{"msg":"attempt missed","level":"INFO","ts":"2026-05-01T10:00:05.004Z","vm":"a1","id":"q1","server":"r3","why":"Rejected(421)"}
{"msg":"server listed","level":"INFO","ts":"2026-05-01T10:00:06Z","vm":"a1","server":"r3","models":"","phase":"Ready","version":7}
{"msg":"request ended","level":"INFO","ts":"2026-05-01T10:00:06Z","vm":"a2","id":"q2","end":"answered","why":"200","server":"s1","ms":12}
{"msg":"request en
"#;

fn trace(id: &str, log: &str) -> Trace {
    let mut trace = Trace::new(id);
    trace.read_log(log.as_bytes()).unwrap();
    trace
}

#[test]
fn a_trace_is_ordered_by_time_and_shows_server_updates() {
    let trace = trace("q1", LOG);
    assert_eq!(trace.invalid_lines(), 1);
    assert_snapshot!(trace, @r#"
q1 at 2026-05-01T10:00:05Z
       0 ms  a1 server picked: cost_ms=23 registry_age_ms=3517 registry_version=6 server=r3 target=blue
   -4500 ms    heard by then: a1 server listed: models=blue phase=Ready server=r3 version=6
    1000 ms    heard next: a1 server listed: models="" phase=Ready server=r3 version=7
       4 ms  a1 attempt missed: server=r3 why=Rejected(421)
     100 ms  a1 request ended: end=Unavailable ms=100 server="" why="NotRun: no server can take the request now; come back when told"
cause: Unavailable after r3 Rejected(421); NotRun: no server can take the request now; come back when told
"#);
}

#[test]
fn each_result_of_a_request_has_a_cause() {
    let line = |end: &str, why: &str| {
        json!({
            "msg": "request ended", "ts": "2026-05-01T10:00:00Z", "vm": "a1", "id": "q",
            "server": "r1", "end": end, "why": why,
        })
        .to_string()
    };
    let cause = |end: &str, why: &str| {
        let printed = trace("q", &line(end, why)).to_string();
        printed.lines().last().unwrap().to_owned()
    };
    assert_eq!(cause("answered", "200"), "cause: answered by r1 with 200");
    assert_eq!(cause("broken", "reset"), "cause: r1 broke the answer off: reset");
    assert_eq!(cause("caller left", ""), "cause: its caller left");
    assert_eq!(
        cause("Overloaded", "NotRun"),
        "cause: Overloaded: no server was sent to; NotRun"
    );
    assert!(trace("other", LOG).is_empty());
}

#[test]
fn a_daemons_state_becomes_rows() {
    let state = json!({
        "vm": "a1", "member": "m1", "ready": true, "revision": 5,
        "tables": [{ "name": "servers", "version": 7, "age_ms": 20 }],
        "members": [{ "vm": "a2", "member": "m2", "alive": true, "open": true }],
        "claims": {
            "server:r1": { "holder": "m2", "fence": 4, "version": 9 },
            "server:r2": { "holder": null, "fence": 3, "version": 8 },
        },
        "queues": { "ledger": 3 },
    });
    let own = &rows(&state, Section::TopLevel)[0];
    assert_eq!((&own["name"], &own["revision"]), (&json!("a1"), &json!(5)));
    let tables = rows(&state, Section::List("tables"));
    assert_eq!((&tables[0]["seen_by"], &tables[0]["age_ms"]), (&json!("a1"), &json!(20)));
    let claims = rows(&state, Section::Map("claims"));
    assert_eq!(
        (&claims[0]["name"], &claims[0]["holder_vm"]),
        (&json!("server:r1"), &json!("a2"))
    );
    assert_eq!((&claims[1]["holder_vm"], &claims[1]["fence"]), (&json!(null), &json!(3)));
    let queues = rows(&state, Section::Map("queues"));
    assert_eq!(
        (&queues[0]["name"], &queues[0]["waiting"]),
        (&json!("ledger"), &json!(3))
    );
}

/// Serves one request with the state of a daemon without queues.
async fn serve_once(listener: tokio::net::TcpListener) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    let (mut stream, _) = listener.accept().await.unwrap();
    let _ = stream.read(&mut [0; 1024]).await.unwrap();
    let body = r#"{"vm":"a1","queues":{}}"#;
    let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nconnection: close";
    let text = format!("{head}\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes()).await.unwrap();
}

#[tokio::test]
async fn a_state_without_rows_counts_as_a_response() {
    // One daemon reports that it has no queues, the other is unreachable: the result has
    // no rows and one failed daemon.
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let server = tokio::spawn(serve_once(listener));
    let servers = [address, "127.0.0.1:1".to_owned()];
    let result = gates::query(&servers, Section::Map("queues")).await.unwrap();
    assert_eq!((result.rows.len(), result.failed.len()), (0, 1));
    server.await.unwrap();
    let unreachable = ["127.0.0.1:1".to_owned()];
    assert!(gates::query(&unreachable, Section::Map("queues")).await.is_err());
}
