//! Servers that tell daemons to send no requests for a time, or that they shut down.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use chestnut_platform_stand_in::{
    Caller, CallerRequest, CallerResponse, Runner, RunnerFault, ServerFault,
};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::cluster::{Cluster, wait_until};

/// The rest that servers ask for, in seconds, and how long callers send requests meanwhile.
const REST: &str = "3";
const REST_TIME: Duration = Duration::from_secs(3);

/// The requests that a daemon may send to a server that rests.
const MAX_DISTURBANCES: u32 = 2;

/// The callers of each daemon.
const CALLERS: usize = 4;

/// How late a request that can't be served may be refused.
const AT_ONCE: Duration = Duration::from_millis(500);

/// Guards against a runner that gets requests from a daemon which it has asked for rest, though
/// others serve, and against requests that are refused for that.
#[tokio::test]
async fn a_runner_that_asked_for_rest_gets_no_requests() {
    let mut cluster = Cluster::start("rest", 3).await;
    let other = Runner::start(&cluster.store, "r4", &["red"]).await;
    cluster.runners.push(other);
    for runner in &cluster.runners[..2] {
        runner.set_fault(RunnerFault::Rejecting);
        runner.set_retry_after(Some(REST));
    }
    let responses =
        send_for(&cluster, 2 * REST_TIME, || CallerRequest::stream("draft", "red", 5))
            .await;
    check_rests(cluster.runners[..2].iter().flat_map(Runner::disturbances).collect());
    let served = responses.iter().filter(|response| response.complete).count();
    eprintln!("{served} of {} served", responses.len());
    assert!(20 * served >= 19 * responses.len(), "{served} of {}", responses.len());
}

/// Guards against the same at servers of a plain service.
#[tokio::test]
async fn a_plain_server_that_asked_for_rest_gets_no_requests() {
    let cluster = Cluster::start("plainrest", 3).await;
    let resting = &cluster.services[0];
    resting.set_fault(ServerFault::Rejecting);
    resting.set_retry_after(Some(REST));
    let responses =
        send_for(&cluster, 2 * REST_TIME, || CallerRequest::plain("record")).await;
    check_rests(resting.disturbances());
    let served = responses.iter().filter(|response| response.complete).count();
    eprintln!("{served} of {} served", responses.len());
    assert!(20 * served >= 19 * responses.len(), "{served} of {}", responses.len());
}

/// Guards against requests that are sent to servers which all rest, wait until their deadline, or
/// are refused with a time at which no server is back.
#[tokio::test]
async fn requests_are_refused_at_once_while_all_servers_rest() {
    let cluster = Cluster::start("allrest", 3).await;
    let rest = |fault, plain_fault, retry_after| {
        cluster.runners.iter().for_each(|runner| {
            runner.set_fault(fault);
            runner.set_retry_after(retry_after);
        });
        cluster.services.iter().for_each(|server| {
            server.set_fault(plain_fault);
            server.set_retry_after(retry_after);
        });
    };
    rest(RunnerFault::Rejecting, ServerFault::Rejecting, Some(REST));
    for request in
        [CallerRequest::stream("draft", "red", 5), CallerRequest::plain("lookup")]
    {
        let started = Instant::now();
        send_for(&cluster, Duration::from_millis(300), || request.clone()).await;
        for daemon in 0..3 {
            let response = cluster.send(daemon, &request).await;
            assert!(matches!(response.status, 429 | 503), "{response:?}");
            assert!(response.elapsed < AT_ONCE, "{response:?}");
            let delay = response.retry_after.expect("a time to return");
            let back = started + REST_TIME;
            let returns = Instant::now() + Duration::from_secs_f64(delay);
            assert!(returns + AT_ONCE >= back, "{delay} s, {:?} left", back - returns);
            assert!(delay <= 1.5 * REST_TIME.as_secs_f64(), "{delay} s");
        }
    }
    check_rests(cluster.runners.iter().flat_map(Runner::disturbances).collect());
    check_rests(cluster.services.iter().flat_map(|at| at.disturbances()).collect());
    rest(RunnerFault::None, ServerFault::None, None);
    for request in
        [CallerRequest::stream("draft", "red", 5), CallerRequest::plain("lookup")]
    {
        for daemon in 0..3 {
            wait_until("requests are served again", async || {
                cluster.send(daemon, &request).await.complete
            })
            .await;
        }
    }
}

/// Guards against requests to a runner that has announced its shutdown in its answers, while the
/// registry lists it as ready or again after its entry was gone.
#[tokio::test]
async fn a_runner_that_announced_its_shutdown_gets_no_requests() {
    let cluster = Cluster::start("farewell", 3).await;
    cluster.runners[0].announce_leaving();
    let request = || CallerRequest::stream("draft", "red", 5);
    send_for(&cluster, Duration::from_secs(1), request).await;
    cluster.store.put("servers", "r1", None);
    send_for(&cluster, Duration::from_secs(4), request).await;
    cluster.runners[0].set_slots(16);
    let responses = send_for(&cluster, Duration::from_secs(3), request).await;
    assert_eq!(cluster.runners[0].late_arrivals(), 0);
    let served = responses.iter().filter(|response| response.complete).count();
    eprintln!("{served} of {} served", responses.len());
    assert!(20 * served >= 19 * responses.len(), "{served} of {}", responses.len());
}

/// Checks that no server was disturbed in a rest.
fn check_rests(disturbances: Vec<u32>) {
    let disturbed = disturbances.iter().filter(|count| **count > MAX_DISTURBANCES);
    let disturbed = disturbed.count();
    eprintln!("{disturbed} of {} rests disturbed", disturbances.len());
    assert!(!disturbances.is_empty(), "no rest was asked for");
    assert_eq!(disturbed, 0, "{disturbances:?}");
}

/// Has callers of all daemons send one request after another for a time.
async fn send_for(
    cluster: &Cluster,
    time: Duration,
    request: impl Fn() -> CallerRequest,
) -> Vec<CallerResponse> {
    let addrs = cluster.daemons.iter().map(|daemon| daemon.caller_addr);
    let callers: Vec<JoinHandle<Vec<CallerResponse>>> = addrs
        .flat_map(|addr| std::iter::repeat_n(addr, CALLERS))
        .map(|addr| {
            tokio::spawn(send_requests(cluster.caller.clone(), addr, time, request()))
        })
        .collect();
    let mut responses = Vec::new();
    for caller in callers {
        responses.extend(caller.await.expect("the caller ends"));
    }
    responses
}

async fn send_requests(
    caller: Caller,
    addr: SocketAddr,
    time: Duration,
    request: CallerRequest,
) -> Vec<CallerResponse> {
    let started = Instant::now();
    let mut responses = Vec::new();
    while started.elapsed() < time {
        responses.push(caller.send(addr, &request).await);
        sleep(Duration::from_millis(40)).await;
    }
    responses
}
