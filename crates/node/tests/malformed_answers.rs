//! Backend servers whose answers are not well-formed, or don't end.

mod raw_server;

use chestnut_base::Target;
use chestnut_node::engine::CallOutcome;
use tokio::net::TcpListener;

use raw_server::{call, name};

fn targets() -> [Target; 2] {
    let model = Target::Model { model: name("red"), version: name("v1"), adapter: None };
    [model, Target::Service { name: name("ledger") }]
}

/// Guards against a request that runs at a server that nobody chose, since another one names it.
#[tokio::test]
async fn a_redirect_is_not_followed() {
    for target in targets() {
        for status in ["301 Moved", "302 Found", "307 Temporary", "308 Permanent"] {
            let other = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let location = other.local_addr().unwrap();
            let answer = format!(
                "HTTP/1.1 {status}\r\nLocation: http://{location}/run\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            let outcome = tokio::select! {
                outcome = call(&target, answer.as_bytes(), false) => outcome,
                _ = other.accept() => panic!("{status} was followed"),
            };
            let is_refused = matches!(outcome, CallOutcome::Refused(_));
            assert!(!is_refused, "{status}: {outcome:?}");
        }
    }
}
