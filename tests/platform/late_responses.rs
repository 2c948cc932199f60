//! Backend servers that answer a call twice, the second time late.
//!
//! The copy belongs to no call. It may come where the response to another call on the connection
//! is expected, or while none is.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use chestnut_platform_stand_in::{
    CallerRequest, CallerResponse, Runner, RunnerFault, ServerFault, daemon_ip,
};
use futures::future::join_all;

use crate::cluster::{Cluster, Setup};
use crate::event_numbers;
use crate::proxy::{CutKind, Proxy};
use crate::repeats::{Call, Moment, Repeat};
use crate::soak::NOT_RUN_STATUSES;

/// The number of callers that send requests at the same time.
const CALLERS: usize = 8;

/// How often a caller sends all requests.
const ROUNDS: usize = 2;

/// The fewest copies with which a test shows anything.
const MIN_COPIES: usize = 5;

/// The daemon that is cut off from all servers, so that the other forwards its requests.
const CUT_OFF: usize = 0;

/// Where the response to the next call, of whichever kind, is expected.
const NEXT: Moment = Moment::Before(Call::ALL);

/// Right behind the response.
const BEHIND: Moment = Moment::Idle(Duration::ZERO);

/// Soon after the response.
const IDLE: Moment = Moment::Idle(Duration::from_millis(3));

/// Guards against a runner's second `202` to an order, which has no id, being passed to a caller.
#[tokio::test]
async fn a_second_response_to_an_order_reaches_no_caller() {
    let cluster = start("order").await;
    let copies = Copies { one_in: 1, ..Copies::of(&[Call::Order], &[NEXT, BEHIND]) };
    play(&cluster, copies, &[0, 1], &adapter_requests()).await;
}

/// Guards against a runner's second report, which has no id, being passed to a caller.
#[tokio::test]
async fn a_second_response_to_a_report_request_reaches_no_caller() {
    let cluster = start_refusing_orders("report").await;
    let copies = Copies { one_in: 1, ..Copies::of(&[Call::Report], &[NEXT, BEHIND]) };
    play(&cluster, copies, &[0, 1], &adapter_requests()).await;
}

/// Guards against a response without an id being taken for that of the request that waits.
#[tokio::test]
async fn a_late_response_without_an_id_reaches_no_caller() {
    let cluster = start("nameless").await;
    let copies = Copies { has_id: false, ..Copies::of(&[Call::Request], &[NEXT]) };
    play(&cluster, copies, &[0, 1], &all_requests()).await;
}

/// Guards against a response being taken for that of the request that waits in spite of its id.
#[tokio::test]
async fn a_late_response_with_its_id_reaches_no_other_caller() {
    let cluster = start("named").await;
    let copies = Copies::of(&[Call::Request], &[NEXT]);
    play(&cluster, copies, &[0, 1], &all_requests()).await;
}

/// Guards against a daemon that passes a response without an id on to another daemon.
#[tokio::test]
async fn a_late_response_without_an_id_reaches_no_caller_of_another_daemon() {
    let cluster = start_forwarding("nameless-on").await;
    let copies = Copies { has_id: false, ..Copies::of(&[Call::Request], &[NEXT]) };
    play(&cluster, copies, &[CUT_OFF], &all_requests()).await;
}

/// Guards against a daemon that passes the response to an earlier request on to another daemon.
#[tokio::test]
async fn a_late_response_with_its_id_reaches_no_caller_of_another_daemon() {
    let cluster = start_forwarding("named-on").await;
    let copies = Copies::of(&[Call::Request], &[NEXT]);
    play(&cluster, copies, &[CUT_OFF], &all_requests()).await;
}

/// Guards against a second response without an id on an idle connection being read as that to the
/// next request.
#[tokio::test]
async fn a_late_response_without_an_id_on_an_idle_connection_reaches_no_caller() {
    let cluster = start("idle").await;
    let copies = Copies { has_id: false, ..Copies::of(Call::ALL, &[IDLE, BEHIND]) };
    play(&cluster, copies, &[0, 1], &[all_requests(), adapter_requests()].concat()).await;
}

/// Guards against the same in spite of its id.
#[tokio::test]
async fn a_late_response_with_its_id_on_an_idle_connection_reaches_no_caller() {
    let cluster = start("idle-named").await;
    let copies = Copies::of(&[Call::Request, Call::Rejection], &[IDLE, BEHIND]);
    play(&cluster, copies, &[0, 1], &[all_requests(), adapter_requests()].concat()).await;
}

/// Guards against a request that runs again since the copy of a rejection is taken for the response
/// to its next attempt.
#[tokio::test]
async fn a_copy_of_a_rejection_runs_no_request_twice() {
    let cluster = start("refused").await;
    play_rejections(&cluster, &[0, 1], true).await;
}

/// Guards against the same where another daemon, which keeps the connection, forwards the request.
#[tokio::test]
async fn a_copy_of_a_rejection_runs_no_forwarded_request_twice() {
    play_rejections(&start_forwarding("refused-on").await, &[CUT_OFF], true).await;
}

/// Guards against the same where the copy has no id, and may be that of another request.
#[tokio::test]
async fn a_copy_of_a_rejection_without_an_id_runs_no_forwarded_request_twice() {
    play_rejections(&start_forwarding("refused-nameless").await, &[CUT_OFF], false).await;
}

/// Guards against a wrong belief about a runner, which then gets no orders any more, since the
/// response to a request was taken for that to an order or for a report.
#[tokio::test]
async fn a_second_response_to_a_request_is_not_taken_for_an_order_or_report() {
    // Calls have connections of their own, so that a copy can only come where another request waits.
    let cluster = start_refusing_orders("belief-request").await;
    let copies = Copies::of(&[Call::Request], &[NEXT, IDLE]);
    play(&cluster, copies, &[0, 1], &adapter_requests()).await;
}

/// Guards against the same where the second response is that to an earlier order.
#[tokio::test]
async fn a_second_response_to_an_order_is_not_taken_for_another_order_or_report() {
    play_own_calls("belief-order", &[Call::Order]).await;
}

/// Guards against the same where the second response is an earlier report.
#[tokio::test]
async fn a_second_response_to_a_report_request_is_not_taken_for_an_order_or_report() {
    play_own_calls("belief-report", &[Call::Report]).await;
}

/// The copies that are sent in a test.
#[derive(Clone, Copy)]
struct Copies<'a> {
    of: &'static [Call],
    one_in: usize,
    has_id: bool,
    /// One after the other. A connection may be closed before the first.
    moments: &'a [Moment],
}

impl<'a> Copies<'a> {
    /// Copies with ids, few enough that most requests are served.
    fn of(of: &'static [Call], moments: &'a [Moment]) -> Self {
        Self { of, one_in: 2, has_id: true, moments }
    }
}

/// Two daemons that may retry every rejected request.
async fn start(name: &str) -> Cluster {
    let retry_slack = Some(1000.0);
    let setup = Setup { daemons: 2, with_proxies: true, retry_slack, ..Setup::default() };
    Cluster::start_with(name, setup).await
}

/// The same, with one daemon cut off from all servers.
async fn start_forwarding(name: &str) -> Cluster {
    let cluster = start(name).await;
    let clients = [IpAddr::from(daemon_ip(CUT_OFF))];
    cluster.proxies.servers().for_each(|proxy| proxy.cut_off(&clients, CutKind::Reset));
    cluster
}

/// The same, with runners that refuse orders, so that their reports are requested more often.
async fn start_refusing_orders(name: &str) -> Cluster {
    let cluster = start(name).await;
    cluster.runners.iter().for_each(|one| one.set_fault(RunnerFault::RefusingOrders));
    cluster
}

/// Requests of all kinds.
fn all_requests() -> Vec<CallerRequest> {
    let streams = [("draft", "red"), ("demand", "red"), ("draft", "blue")];
    let streams = streams.map(|(route, model)| CallerRequest::stream(route, model, 3));
    let plain = ["record", "lookup", "record"].map(CallerRequest::plain);
    [streams, plain].concat()
}

/// Streams of more adapters than runners have places for, so that there are orders and reports.
fn adapter_requests() -> Vec<CallerRequest> {
    let request = |number| {
        let route = if number % 2 == 0 { "draft" } else { "demand" };
        CallerRequest::stream(route, &format!("red/a{number}"), 2)
    };
    (1..=8).map(request).collect()
}

/// Has servers reject requests once, with a copy of each rejection.
async fn play_rejections(cluster: &Cluster, daemons: &[usize], has_id: bool) {
    // The other servers reject nothing, so that retries stay within their budget.
    cluster.runners[2].set_fault(RunnerFault::RejectingOnce);
    cluster.services[0].set_fault(ServerFault::RejectingOnce);
    let copies = Copies::of(&[Call::Rejection], &[NEXT, BEHIND]);
    let copies = Copies { one_in: 1, has_id, ..copies };
    let rejected = vec![CallerRequest::stream("draft", "blue", 2); 6];
    play(cluster, copies, daemons, &[all_requests(), rejected].concat()).await;
}

/// Has runners send a copy where the response to an order or a report is expected.
async fn play_own_calls(name: &str, of: &'static [Call]) {
    let cluster = start_refusing_orders(name).await;
    let moments = &[Moment::Before(Call::OWN), BEHIND];
    let copies = Copies { one_in: 1, ..Copies::of(of, moments) };
    play(&cluster, copies, &[0, 1], &adapter_requests()).await;
}

/// Has callers send requests to these daemons while servers repeat, and checks the guarantees.
async fn play(
    cluster: &Cluster,
    copies: Copies<'_>,
    daemons: &[usize],
    requests: &[CallerRequest],
) {
    let Copies { of, one_in, has_id, moments } = copies;
    let repeat = |repeat| {
        cluster.proxies.servers().for_each(|proxy| proxy.set_repeat(repeat));
    };
    let sent = || cluster.proxies.servers().map(Proxy::copies).sum::<usize>();
    let mut exchanges = Vec::new();
    for moment in moments.iter().copied() {
        let earlier = sent();
        repeat(Some(Repeat { of, one_in, moment, has_id }));
        let callers = daemons.iter().flat_map(|daemon| {
            (0..CALLERS / daemons.len())
                .map(|caller| send_all(cluster, *daemon, caller, requests))
        });
        exchanges.extend(join_all(callers).await.concat());
        eprintln!("{} copies of {of:?}, {moment:?}, id: {has_id}", sent() - earlier);
    }
    repeat(None);
    check(cluster, &exchanges);
    // Orders and report requests have connections that may close before the copy comes.
    let is_own = of.iter().all(|call| Call::OWN.contains(call));
    let unsent = cluster.proxies.servers().map(Proxy::unsent_copies).sum::<usize>();
    let copies = sent() + if is_own { unsent } else { 0 };
    assert!(copies >= MIN_COPIES, "only {copies} copies, {unsent} unsent");
}

/// Sends all requests several times, one after another; each caller begins with another one.
async fn send_all(
    cluster: &Cluster,
    daemon: usize,
    caller: usize,
    requests: &[CallerRequest],
) -> Vec<(CallerRequest, CallerResponse)> {
    let mut exchanges = Vec::new();
    for request in requests.iter().cycle().skip(caller).take(ROUNDS * requests.len()) {
        exchanges.push((request.clone(), cluster.send(daemon, request).await));
    }
    exchanges
}

/// Checks all guarantees, and that half of the requests or more are served.
fn check(cluster: &Cluster, exchanges: &[(CallerRequest, CallerResponse)]) {
    let sent = exchanges.len();
    let is_served = |got: &CallerResponse| got.status == 200 && got.complete;
    let served = exchanges.iter().filter(|(_, got)| is_served(got)).count();
    let faults = exchanges.iter().filter_map(|(request, got)| {
        let fault = find_fault(cluster, request, got)?;
        eprintln!("{fault}: {request:?} {got:?}");
        Some(fault)
    });
    let mut counts = BTreeMap::new();
    faults.for_each(|fault| *counts.entry(fault).or_insert(0) += 1);
    let summary = format!("of {sent} requests {served} were served; faults: {counts:?}");
    eprintln!("{summary}");
    assert!(counts.is_empty(), "{summary}");
    let sum = |count: fn(&Runner) -> u64| cluster.runners.iter().map(count).sum::<u64>();
    assert_eq!(sum(Runner::over_capacity_orders), 0, "orders beyond the capacity");
    assert_eq!(sum(Runner::fence_conflicts), 0, "orders of two holders");
    assert!(served * 2 >= sent, "{summary}");
}

/// What is wrong with a response, or with the runs of its request.
fn find_fault(
    cluster: &Cluster,
    request: &CallerRequest,
    got: &CallerResponse,
) -> Option<&'static str> {
    let may_run_once = ["record", "draft"].contains(&request.route.as_str());
    match cluster.runs(got) {
        runs if runs > 1 && may_run_once => Some("ran twice"),
        runs if runs > 0 && NOT_RUN_STATUSES.contains(&got.status) => {
            Some("ran and was called not run")
        }
        _ if !got.is_own() => Some("not its own response"),
        _ if got.status < 300 && !is_whole(request, got) => Some("not whole or unsigned"),
        _ => None,
    }
}

/// Whether a success is signed and has all of its events or its text.
fn is_whole(request: &CallerRequest, got: &CallerResponse) -> bool {
    let text = format!("done /{0}/{1} for {1}", request.route, got.id);
    let has_all = match request.model {
        Some(_) => got.events == event_numbers(request.event_count.into()),
        None => got.body == text,
    };
    got.complete && got.signed && has_all
}
