//! Servers whose answers are not well-formed HTTP.

use chestnut_platform_stand_in::{CallerRequest, RawAnswer, RawEnd};

use crate::cut_heads::{
    BODY, CHUNKED, DAEMON, EVENTS, Kind, PLAIN_HEAD, STREAM_HEAD, check, check_resumed,
    check_texts, chunks, events, send_all, start,
};

/// Fields that tell the length of a body of 11 bytes, and don't tell it well.
const LENGTHS: [&str; 19] = [
    "Content-Length: 11x",
    "Content-Length: -11",
    "Content-Length: +11",
    "Content-Length:",
    "Content-Length: 0x0b",
    "Content-Length: 1 1",
    "Content-Length: 11.0",
    "Content-Length: 11, 12",
    "Content-Length: 11, 11",
    "Content-Length: 11\r\nContent-Length: 11",
    "Content-Length: 5\r\nContent-Length: 11",
    "Content-Length: 18446744073709551615",
    "Content-Length: 99999999999999999999999",
    "Content-Length: 11\r\nTransfer-Encoding: chunke",
    "Transfer-Encoding: chunke",
    "Transfer-Encoding:",
    "Transfer-Encoding: identity",
    "Transfer-Encoding: chunked, identity",
    "Transfer-Encoding: \"chunked\"",
];

/// Fields that tell the length of a body in chunks, and don't tell it well.
const CODINGS: [&str; 10] = [
    "Transfer-Encoding: chunke",
    "Transfer-Encoding: chunkedchunked",
    "Transfer-Encoding: chunked;q=1",
    "Transfer-Encoding: chunked chunked",
    "Transfer-Encoding: chunked, chunked",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    "Transfer-Encoding: gzip, chunked",
    "Transfer-Encoding: chunked, gzip",
    "Transfer-Encoding: chunked,\x0c",
    "Transfer-Encoding: chunked\r\nContent-Length: 11",
];

/// Lines that are no field, or whose name holds what no name may.
const LINES: [&str; 18] = [
    "no field",
    "nofield",
    ": no name",
    " X-Folded: 1",
    "\tX-Folded: 1",
    "X-Name : 1",
    "X Name: 1",
    "X-Name\t: 1",
    "X\tName: 1",
    "X-\x01Name: 1",
    "X-\x00Name: 1",
    "X-Name\x7f: 1",
    "X-Name\x0b: 1",
    "X-(Name): 1",
    "X-N\u{e4}me: 1",
    "X-Name: a\x00b",
    "X-Name: a\rX-Other: b",
    "Content-Length : 5",
];

/// Status lines without a status that ends a request.
const STATUS_LINES: [&str; 18] = [
    "HTTP/1.1 000 OK",
    "HTTP/1.1 000",
    "HTTP/1.1 001 OK",
    "HTTP/1.1 099 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 2x0 OK",
    "HTTP/1.1 -20 OK",
    "HTTP/1.1 600 OK",
    "HTTP/1.1 999 OK",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 200\x01 OK",
    "HTTP/1.1 200 O\x00K",
    "HTTP/1.1  200 OK",
    "HTTP/1.2 200 OK",
    "HTTP/2.0 200 OK",
    "HTTX/1.1 200 OK",
    "200 OK",
];

/// Ends of bodies in chunks that are not well-formed.
const CHUNK_ENDS: [&str; 8] = [
    "0\r\nno field\r\n\r\n",
    "0\r\nX Name: 1\r\n\r\n",
    "0\r\nX-\x01Name: 1\r\n\r\n",
    "0x\r\n\r\n",
    "-0\r\n\r\n",
    "\r\n\r\n",
    "0\r\nX-Open: 1\r\n",
    "fffffffffffffffff\r\n\r\n",
];

const KINDS: [Kind; 2] = [Kind::Plain, Kind::Stream];

/// A head without its framing, and its body.
fn parts(kind: Kind) -> (&'static str, String) {
    match kind {
        Kind::Plain => (PLAIN_HEAD, BODY.to_owned()),
        Kind::Stream => (STREAM_HEAD, events(1, EVENTS)),
    }
}

/// Answers with these lines in their heads, before all others and after them.
fn with_lines(kind: Kind, lines: &[&str]) -> Vec<String> {
    let (head, body) = parts(kind);
    let (status, fields) = head.split_once("\r\n").expect("a head has lines");
    let length = format!("Content-Length: {}\r\n", body.len());
    let first = lines
        .iter()
        .map(|line| format!("{status}\r\n{line}\r\n{fields}{length}\r\n{body}"));
    let last = lines.iter().map(|line| format!("{head}{length}{line}\r\n\r\n{body}"));
    first.chain(last).collect()
}

/// Answers whose lengths are told by these fields.
fn with_lengths(kind: Kind) -> Vec<String> {
    let (head, body) = parts(kind);
    let size = body.len().to_string();
    let whole = LENGTHS.iter().map(|field| {
        let field = field.replace("11", &size);
        format!("{head}{field}\r\n\r\n{body}")
    });
    let chunked = CODINGS
        .iter()
        .map(|field| format!("{head}{field}\r\n\r\n{}0\r\n\r\n", chunks(&body)));
    whole.chain(chunked).collect()
}

fn with_status_lines(kind: Kind) -> Vec<String> {
    let (head, body) = parts(kind);
    let (_, fields) = head.split_once("\r\n").expect("a head has lines");
    let lines = STATUS_LINES.iter();
    let size = body.len();
    lines
        .map(|line| format!("{line}\r\n{fields}Content-Length: {size}\r\n\r\n{body}"))
        .collect()
}

async fn check_all(name: &str, is_forwarded: bool, texts: fn(Kind) -> Vec<String>) {
    for kind in KINDS {
        let texts = texts(kind);
        let texts: Vec<&str> = texts.iter().map(String::as_str).collect();
        check_texts(name, kind, is_forwarded, &texts).await;
    }
}

/// Guards against an answer whose head tells no length that can be read, and whose body passes for
/// all bytes up to the end of the connection.
#[tokio::test]
async fn answers_with_a_malformed_length_are_not_passed_on() {
    check_all("length", false, with_lengths).await;
}

/// The same for answers that come through another daemon.
#[tokio::test]
async fn answers_with_a_malformed_length_through_another_daemon_are_not_passed_on() {
    check_all("lengthfar", true, with_lengths).await;
}

/// Guards against an answer whose head holds a line that is no field, or a name with a blank or a
/// control byte.
#[tokio::test]
async fn answers_with_a_malformed_line_are_not_passed_on() {
    check_all("line", false, |kind| with_lines(kind, &LINES)).await;
}

/// The same for answers that come through another daemon.
#[tokio::test]
async fn answers_with_a_malformed_line_through_another_daemon_are_not_passed_on() {
    check_all("linefar", true, |kind| with_lines(kind, &LINES)).await;
}

/// Guards against an answer whose status is none, or none that ends a request.
#[tokio::test]
async fn answers_with_an_invalid_status_are_not_passed_on() {
    check_all("status", false, with_status_lines).await;
}

/// The same for answers that come through another daemon.
#[tokio::test]
async fn answers_with_an_invalid_status_through_another_daemon_are_not_passed_on() {
    check_all("statusfar", true, with_status_lines).await;
}

/// Guards against an answer after an informational head that is not well-formed, and against one
/// that never comes.
#[tokio::test]
async fn answers_after_malformed_informational_heads_are_not_passed_on() {
    check_all("interim", false, |kind| {
        let (head, body) = parts(kind);
        let whole = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
        let lines = ["no field", "X Name: 1", "X-\x01Name: 1"];
        let spoilt = lines
            .iter()
            .map(|line| format!("HTTP/1.1 103 Early Hints\r\n{line}\r\n\r\n{whole}"));
        let alone = ["100 Continue", "103 Early Hints"].iter();
        let alone = alone.map(|status| format!("HTTP/1.1 {status}\r\n\r\n"));
        spoilt.chain(alone).collect()
    })
    .await;
}

/// Guards against a success whose signature is empty, or stands twice, and that passes for signed.
#[tokio::test]
async fn answers_with_a_malformed_signature_are_not_passed_on() {
    check_all("signature", false, |kind| {
        let (head, body) = parts(kind);
        let (unsigned, _) = head.split_once("X-Response-Seal").expect("it is signed");
        let rest = &head[unsigned.len() + "X-Response-Seal: seal\r\n".len()..];
        let length = format!("Content-Length: {}", body.len());
        let seals = ["X-Response-Seal:", "X-Response-Seal: a\r\nX-Response-Seal: b"];
        let text = |seal| format!("{unsigned}{seal}\r\n{rest}{length}\r\n\r\n{body}");
        seals.map(text).to_vec()
    })
    .await;
}

/// Guards against a body in chunks that ends with a trailer, or a size, that is not well-formed.
#[tokio::test]
async fn bodies_with_a_malformed_end_do_not_look_whole() {
    for is_forwarded in [false, true] {
        let name = if is_forwarded { "endfar" } else { "end" };
        for kind in KINDS {
            let (head, body) = parts(kind);
            let texts = CHUNK_ENDS
                .iter()
                .map(|end| format!("{head}{CHUNKED}\r\n{}{end}", chunks(&body)));
            let texts: Vec<String> = texts.collect();
            let texts: Vec<&str> = texts.iter().map(String::as_str).collect();
            check_incomplete(name, kind, is_forwarded, &texts).await;
        }
    }
}

/// Sends a request for each of these answers, of which none may look whole to its caller.
async fn check_incomplete(name: &str, kind: Kind, is_forwarded: bool, texts: &[&str]) {
    let (cluster, server) = start(name, kind, is_forwarded, texts).await;
    let answers = (0..texts.len()).map(|text| RawAnswer::whole(text, RawEnd::Close));
    let responses = send_all(&cluster, kind, answers.collect()).await;
    check(kind, &server, &responses);
    assert!(responses.iter().all(|response| !response.complete), "{responses:?}");
}

/// Guards against a resumed stream that goes on with a malformed answer, or ends as that one does.
#[tokio::test]
async fn a_resumed_stream_takes_no_part_of_a_malformed_answer() {
    let rest = chunks(&events(3, EVENTS));
    let texts =
        CODINGS.map(|field| format!("{STREAM_HEAD}{field}\r\n\r\n{rest}0\r\n\r\n"));
    let texts: Vec<&str> = texts.iter().map(String::as_str).collect();
    check_resumed("resumed", false, &texts).await;
}

/// Guards against an idempotent request that fails though only its first answer was malformed.
#[tokio::test]
async fn an_idempotent_request_is_retried_after_a_malformed_answer() {
    let body = chunks(BODY);
    let malformed =
        format!("{PLAIN_HEAD}Transfer-Encoding: chunke\r\n\r\n{body}0\r\n\r\n");
    let whole = Kind::Plain.whole_answers();
    let (cluster, server) =
        start("lookup", Kind::Plain, false, &[&malformed, &whole[0]]).await;
    let answers =
        [RawAnswer::whole(0, RawEnd::Close), RawAnswer::whole(1, RawEnd::Close)];
    let mut request = CallerRequest::plain("lookup");
    request.headers.push(RawAnswer::header(&answers));
    let response = cluster.send(DAEMON, &request).await;
    check(Kind::Plain, &server, std::slice::from_ref(&response));
    assert!(response.complete, "{response:?}");
    let daemon = &cluster.daemons[DAEMON];
    let logged = daemon.lines("response discarded");
    assert_eq!(logged.len(), 1);
    assert_eq!(
        (&logged[0]["id"], &logged[0]["why"]),
        (&response.id.into(), &"malformed".into())
    );
    let metrics = cluster.caller.get_text(daemon.metrics_addr, "/metrics").await;
    assert!(
        metrics.contains(r#"chestnut_steps_total{step="Discard",outcome="malformed"} 1"#)
    );
}
