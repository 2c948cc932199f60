//! Backend servers that close their connection at any byte of an answer.

mod raw_server;

use chestnut_base::Target;
use chestnut_node::engine::CallOutcome;

use raw_server::{call, name};

fn answers(content_type: &str, body: &str) -> [String; 3] {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\n");
    let (size, chunked) = (body.len(), "Transfer-Encoding: chunked");
    [
        format!("{head}Content-Length: {size}\r\n\r\n{body}"),
        format!("{head}{chunked}\r\n\r\n{size:x}\r\n{body}\r\n0\r\n\r\n"),
        format!("{head}\r\n{body}"),
    ]
}

/// Guards against an engine's stream that was cut at any byte and passes for whole.
#[tokio::test]
async fn a_cut_stream_is_interrupted() {
    let target = Target::Model { model: name("red"), version: name("v1"), adapter: None };
    let body = "data: {\"choices\":[{\"text\":\"a\",\"finish_reason\":\"stop\"}]}\n\n\
                data: [DONE]\n\n";
    let end = "data: [DONE]\n\n";
    for answer in answers("text/event-stream", body) {
        let whole_from = answer.find(end).unwrap() + end.len();
        for (sent, reset) in
            (0..whole_from).flat_map(|sent| [(sent, false), (sent, true)])
        {
            let outcome = call(&target, &answer.as_bytes()[..sent], reset).await;
            let is_cut = matches!(outcome, CallOutcome::Interrupted { .. });
            assert!(is_cut, "{sent} of {answer:?}: {outcome:?}");
        }
        let whole = call(&target, answer.as_bytes(), false).await;
        assert_eq!(whole, CallOutcome::Completed("stop".into()));
    }
}

/// Guards against a plain service's answer that was cut at any byte and passes for whole, unless
/// it ends with its connection.
#[tokio::test]
async fn a_cut_plain_answer_is_interrupted() {
    let target = Target::Service { name: name("ledger") };
    for (number, answer) in answers("text/plain", "done letter").iter().enumerate() {
        let head_length = answer.find("\r\n\r\n").unwrap() + 4;
        for (sent, reset) in
            (0..answer.len()).flat_map(|sent| [(sent, false), (sent, true)])
        {
            let outcome = call(&target, &answer.as_bytes()[..sent], reset).await;
            let is_cut = matches!(outcome, CallOutcome::Interrupted { .. });
            // Without a length, a connection that is closed in order ends the body.
            let may_be_whole = number == 2 && !reset && sent >= head_length;
            assert_eq!(is_cut, !may_be_whole, "{sent} of {answer:?}: {outcome:?}");
        }
    }
}
