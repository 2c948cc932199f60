//! The daemon with the own interface: its callers' listener and the one for operators.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quinn::crypto::rustls::QuicClientConfig;
use rustix::process::{Signal, kill_process};
use tokio::net::UdpSocket;
use tokio::sync::MutexGuard;
use tokio::time::sleep;

use crate::cluster::{ProcessLimits, wait_until};
use crate::odd::ODD_VALUES;
use crate::support::cluster::Cluster;
use crate::support::command::{Options, ProcessKind};
use crate::{Crowd, HEAD_BYTES, RUNNING, Watch, head_without_end, with_descriptors};

/// The memory of a VM, and the descriptors of a process that may open few.
const LIMITS: ProcessLimits = ProcessLimits { memory_mb: 260, descriptors: 400 };

/// A caller's request whose body is a chunk without an end.
const UNFINISHED: &[u8] = b"POST /v1/completions HTTP/1.1\r\nhost: entry\r\n\
    authorization: Bearer key-portal\r\ntransfer-encoding: chunked\r\n\r\n1\r\n{\r\n";

/// Guards against heads and empty lines without end that are kept.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn own_crowd_of_heads_over_the_limit() {
    let limits = ProcessLimits { descriptors: 2000, ..LIMITS };
    let test = Test::start(limits).await;
    for addr in [test.addr("caller"), test.addr("ops")] {
        for bytes in [head_without_end(), b"\r\n".repeat(HEAD_BYTES / 2)] {
            test.withstands(addr, 800, bytes).await;
        }
    }
}

/// Guards against silent connections that take all descriptors.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn own_crowd_of_silent_connections() {
    let test = Test::start(LIMITS).await;
    for addr in [test.addr("caller"), test.addr("ops")] {
        test.withstands(addr, 600, Vec::new()).await;
    }
}

/// Guards against unfinished bodies that take all the room for bodies, so that callers get no
/// answer for as long as the crowd stays.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn own_crowd_of_unfinished_bodies() {
    let test = Test::start(LIMITS).await;
    test.withstands(test.addr("caller"), 60, UNFINISHED.to_vec()).await;
}

/// Guards against unfinished changes of the configuration, which need no key until they have
/// arrived and are kept without a bound.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn own_crowd_of_unfinished_changes() {
    let length = 4 << 20;
    let head = format!(
        "POST /v1/config/plan HTTP/1.1\r\nhost: entry\r\ncontent-type: \
         application/json\r\ncontent-length: {length}\r\n\r\n"
    );
    let bytes = [head.into_bytes(), vec![b' '; length - 9]].concat();
    let test = Test::start(ProcessLimits { descriptors: 2000, ..LIMITS }).await;
    test.withstands(test.addr("ops"), 100, bytes).await;
}

/// Guards against connections that wait to be accepted while a daemon stands still, and whose
/// bytes the kernel keeps without a bound.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn own_crowd_of_connections_to_a_suspended_daemon() {
    let test = Test::start(ProcessLimits { descriptors: 5_000, ..LIMITS }).await;
    let pid = test.cluster.process("e1").expect("it was started").pid();
    let watch = Watch::start(pid, test.addr("caller").ip());
    kill_process(pid, Signal::STOP).expect("the process exists");
    let bytes = vec![head_without_end()];
    let crowds =
        ["caller", "ops"].map(|name| Crowd::start(test.addr(name), 1_500, bytes.clone()));
    sleep(Duration::from_secs(3)).await;
    kill_process(pid, Signal::CONT).expect("the process exists");
    test.answers_a_request().await;
    drop(crowds);
    test.answers_a_request().await;
    watch.check(test.limits).await;
}

/// Guards against values that make a daemon panic, which leaves its locks unusable.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn own_crowd_of_odd_values() {
    let test = Test::start(LIMITS).await;
    let url = format!("http://{}", test.addr("caller"));
    let client = reqwest::Client::builder().no_proxy().build().expect("it can be made");
    for value in ODD_VALUES {
        for body in [
            format!(r#"{{"model":"water-reminder","prompt":"a","max_tokens":{value}}}"#),
            format!(
                r#"{{"model":"{value}","messages":[{{"content":"{value}"}}],"n":1}}"#
            ),
            "[".repeat(100_000),
        ] {
            for path in
                ["/v1/completions", "/v1/chat/completions", "/svc/desk/seats", "/svc//"]
            {
                let request =
                    client.post(format!("{url}{path}")).bearer_auth("key-portal");
                let request =
                    ["x-deadline-ms", "idempotency-key", "x-kind", "x-idempotent"]
                        .iter()
                        .fold(request, |request, name| {
                            request.header(*name, value.as_bytes())
                        });
                let _ = request
                    .body(body.clone())
                    .timeout(Duration::from_millis(200))
                    .send()
                    .await;
            }
        }
    }
    test.answers_a_request().await;
}

/// Guards against responses that are kept for clients that don't read them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn own_crowd_that_reads_no_responses() {
    // The service responds with what it gets.
    let body = format!("\"{}\"", "x".repeat(400_000));
    let request = format!(
        "POST /svc/desk/seats HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer \
         key-portal\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let test = Test::start(ProcessLimits { descriptors: 2_000, ..LIMITS }).await;
    let pid = test.cluster.process("e1").expect("it was started").pid();
    let watch = Watch::start(pid, test.addr("caller").ip());
    let crowd = Crowd::start(test.addr("caller"), 600, vec![request.into_bytes()]);
    crowd.wait_until_stalled().await;
    test.answers_a_request().await;
    drop(crowd);
    test.answers_a_request().await;
    watch.check(test.limits).await;
}

/// Guards against handshakes of strangers at the port between daemons that are never continued.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn own_crowd_of_unfinished_handshakes() {
    let test = Test::start(LIMITS).await;
    let peer_addr = test.addr("peer");
    let pid = test.cluster.process("e1").expect("it was started").pid();
    let watch = Watch::start(pid, peer_addr.ip());
    // Passes on what strangers send, and no response.
    let relay = UdpSocket::bind("127.0.0.1:0").await.expect("a port is free");
    let relay_addr = relay.local_addr().expect("it is bound");
    let relay = tokio::spawn(async move {
        let mut buffer = [0; 2_048];
        while let Ok(length) = relay.recv(&mut buffer).await {
            let _ = relay.send_to(&buffer[..length], peer_addr).await;
        }
    });
    let mut tls = rustls::ClientConfig::builder()
        .with_root_certificates(rustls::RootCertStore::empty())
        .with_no_client_auth();
    tls.alpn_protocols = vec![b"chestnutlane/1".to_vec()];
    let tls = QuicClientConfig::try_from(tls).expect("it has TLS 1.3");
    let config = quinn::ClientConfig::new(Arc::new(tls));
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let strangers = quinn::Endpoint::client(any).expect("a port is free");
    let mut handshakes = Vec::new();
    for _ in 0..1_500 {
        let started = strangers.connect_with(config.clone(), relay_addr, "chestnutlane");
        handshakes.push(started.expect("it can be started"));
        sleep(Duration::from_millis(1)).await;
    }
    test.answers_a_request().await;
    drop((handshakes, relay));
    test.answers_a_request().await;
    watch.check(test.limits).await;
}

/// Guards against a limit on the number of fields that requests within the size of a head meet.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn own_heads_of_many_fields_are_served() {
    let test = Test::start(LIMITS).await;
    let url = format!("http://{}/svc/desk/seats", test.addr("caller"));
    let client = reqwest::Client::builder().no_proxy().build().expect("it can be made");
    let request = client.get(&url).bearer_auth("key-portal").body("{}");
    let request = (0..1_000)
        .fold(request, |request, number| request.header(format!("x{number}"), "v"));
    let response = request.send().await.expect("the daemon responds");
    assert_eq!(response.status().as_u16(), 200);
}

struct Test {
    cluster: Cluster,
    limits: ProcessLimits,
    _running: MutexGuard<'static, ()>,
}

impl Test {
    /// Starts a daemon that may open so many descriptors, and the stand-ins that it needs.
    async fn start(limits: ProcessLimits) -> Self {
        let running = RUNNING.lock().await;
        let mut cluster = Cluster::new().expect("a directory can be made");
        let none = Options::default();
        cluster.start(ProcessKind::Platform, "platform", &none).await.expect("it starts");
        cluster.start(ProcessKind::Engine, "r1", &none).await.expect("it starts");
        cluster.start(ProcessKind::Service, "s1", &none).await.expect("it starts");
        with_descriptors(limits.descriptors, || {
            let start = cluster.start(ProcessKind::Daemon, "e1", &none);
            tokio::task::block_in_place(|| {
                tokio::runtime::Handle::current().block_on(start).expect("it starts");
            });
        });
        cluster.declare_base().await.expect("the declarations are valid");
        cluster.wait_until_ready("e1").await.expect("it becomes ready");
        Self { cluster, limits, _running: running }
    }

    fn addr(&self, name: &str) -> SocketAddr {
        let process = self.cluster.process("e1").expect("it was started");
        process.address(name).expect("it has the address").parse().expect("it is valid")
    }

    /// Plays a crowd and checks the daemon.
    async fn withstands(&self, addr: SocketAddr, clients: usize, bytes: Vec<u8>) {
        let pid = self.cluster.process("e1").expect("it was started").pid();
        let watch = Watch::start(pid, addr.ip());
        let crowd = Crowd::start(addr, clients, vec![bytes]);
        crowd.wait_until_sent().await;
        self.answers_a_request().await;
        drop(crowd);
        self.answers_a_request().await;
        watch.check(self.limits).await;
    }

    /// Waits until an ordinary request on a new connection is answered.
    async fn answers_a_request(&self) {
        let url = format!("http://{}/svc/desk/seats", self.addr("caller"));
        wait_until("an ordinary request is answered", async || {
            let client = reqwest::Client::builder().no_proxy().build();
            let request = client.expect("a client can be made").get(&url);
            let response = request.bearer_auth("key-portal").body("{}").send().await;
            response.is_ok_and(|response| response.status().is_success())
        })
        .await;
    }
}
