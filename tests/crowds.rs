//! Crowds of clients that don't behave: unfinished heads and bodies, tiny chunks, silence, unread
//! responses, odd values; and servers whose answers don't end.
//!
//! Each test gives one daemon little memory and few descriptors, connects a crowd that keeps its
//! connections open, and checks that the process lives, stays within both limits, and answers an
//! ordinary request meanwhile and afterwards. Received bytes that the daemon has not read count
//! as its memory, and so do sent ones that its peers have not acknowledged.

// Other tests use the rest of these modules.
#[allow(dead_code)]
#[path = "platform/cluster.rs"]
mod cluster;
#[allow(dead_code)]
#[path = "platform/proxy.rs"]
mod proxy;
#[allow(dead_code)]
#[path = "platform/repeats.rs"]
mod repeats;
#[allow(dead_code)]
#[path = "platform/retry_bound.rs"]
mod retry_bound;

#[path = "crowds/endless.rs"]
mod endless;
#[path = "crowds/odd.rs"]
mod odd;
#[path = "crowds/own_interface.rs"]
mod own_interface;
#[allow(dead_code)]
mod support;
#[path = "crowds/unread.rs"]
mod unread;

use std::fs;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use chestnut_platform_stand_in::{Caller, CallerRequest, RawServer, ServerFault};
use rustix::process::{Pid, Resource, Rlimit, getrlimit, setrlimit};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::cluster::{Cluster, Daemon, ProcessLimits, Setup, wait_until};

/// The limits that the daemons are given.
const LIMITS: ProcessLimits = ProcessLimits { memory_mb: 64, descriptors: 400 };

/// The descriptors that a machine reserves for files.
const FILE_DESCRIPTORS: u64 = 200;

/// The host of the operator's routes.
const HOST: &str = "letters.example";

/// The largest body that the operator's declarations allow.
const MAX_BODY: usize = 1_000_000;

/// The bytes that a crowd sends of a head that doesn't end.
const HEAD_BYTES: usize = 380_000;

/// How long a client of a crowd goes on writing to a daemon that reads slowly or not at all.
const WRITE_TIME: Duration = Duration::from_secs(12);

/// How long a crowd waits for a daemon that reads slowly or not at all.
const SEND_TIME: Duration = Duration::from_secs(40);

/// The pause of a client between its pieces, so that they are read one by one.
const PIECE_PAUSE: Duration = Duration::from_millis(20);

/// The looks at a crowd without a change after which its daemon does not go on reading.
const STALLED_SAMPLES: u32 = 100;

/// The time between two looks at the daemon's memory and descriptors.
const SAMPLE_PERIOD: Duration = Duration::from_millis(10);

/// Held by the test that runs, so that the tests run one at a time.
static RUNNING: Mutex<()> = Mutex::const_new(());

/// Guards against large bodies that are kept without a bound on all of them together.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_of_unfinished_large_bodies() {
    let bytes = [length_head(MAX_BODY), vec![b'x'; MAX_BODY - 9]].concat();
    let test = Test::start("large-bodies").await;
    test.withstands(test.callers(), 100, vec![bytes]).await;
}

/// Guards against large bodies that arrive in pieces and are kept without a bound.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_of_unfinished_bodies_in_pieces() {
    let body = vec![b'x'; MAX_BODY - 9];
    let mut pieces = vec![length_head(MAX_BODY)];
    pieces.extend(body.chunks(20_000).map(<[u8]>::to_vec));
    let test = Test::start("pieces").await;
    test.withstands(test.callers(), 100, pieces).await;
}

/// Guards against bodies in large chunks that are kept without a bound.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_of_unfinished_large_chunks() {
    let chunk = [&b"10000\r\n"[..], &[b'x'; 65_536], b"\r\n"].concat();
    let mut pieces = vec![chunked_head()];
    pieces.extend(vec![chunk; 15]);
    let test = Test::start("large-chunks").await;
    test.withstands(test.callers(), 100, pieces).await;
}

/// Guards against chunks of one byte that each keep more memory than their byte.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_of_unfinished_tiny_chunks() {
    let bytes = [chunked_head(), b"1\r\nx\r\n".repeat(100_000)].concat();
    let test = Test::start("tiny-chunks").await;
    test.withstands(test.callers(), 24, vec![bytes]).await;
}

/// Guards against chunks of one byte that keep the buffers that they were read into.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_of_unfinished_tiny_chunks_in_pieces() {
    let mut pieces = vec![chunked_head()];
    pieces.extend(vec![b"1\r\nx\r\n".repeat(10); 300]);
    let test = Test::start("tiny-pieces").await;
    test.withstands(test.callers(), 160, pieces).await;
}

/// Guards against requests with whole bodies that are kept for slow servers without a bound.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_of_large_bodies_for_silent_servers() {
    let head = head_to("slow", &format!("content-length: {MAX_BODY}\r\n"));
    let bytes = [head, vec![b'x'; MAX_BODY]].concat();
    let test = Test::start("whole-bodies").await;
    for service in &test.cluster.services {
        service.set_fault(ServerFault::Unresponsive);
    }
    let crowd = test.crowd(test.callers(), 100, vec![bytes]);
    let watch = Watch::start(test.daemon().pid(), test.callers().ip());
    crowd.wait_until_sent().await;
    for service in &test.cluster.services {
        service.set_fault(ServerFault::None);
    }
    test.answers_a_request().await;
    drop(crowd);
    test.answers_a_request().await;
    watch.check(test.limits).await;
}

/// Guards against connections to servers that take the descriptors that clients leave.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_of_requests_for_silent_servers() {
    let test = Test::start("for-silent").await;
    for (name, service) in ["s1", "s2"].iter().zip(&test.cluster.services) {
        service.set_fault(ServerFault::Unresponsive);
        let entry = json!({
            "service": "ledger", "address": service.addr, "zone": "north", "version": "v1",
            "slots": 300, "state": "ready", "cold_ms": 0, "seq": 0, "born": 1,
        });
        test.cluster.store.put("servers", name, Some(&entry));
    }
    sleep(Duration::from_secs(1)).await;
    let watch = Watch::start(test.daemon().pid(), test.callers().ip());
    let silent = [test.daemon().metrics_addr, test.daemon().peer_addr]
        .map(|addr| test.crowd(addr, 40, vec![]));
    let crowd =
        test.crowd(test.callers(), 600, vec![head_to("lookup", "content-length: 0\r\n")]);
    sleep(Duration::from_secs(1)).await;
    for service in &test.cluster.services {
        service.set_fault(ServerFault::None);
    }
    test.answers_a_request().await;
    drop((crowd, silent));
    test.answers_a_request().await;
    watch.check(test.limits).await;
}

/// Guards against unfinished bodies that count as requests in progress, so that their daemon
/// forwards no requests of others.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_of_unfinished_bodies_beside_forwarding() {
    let limits = ProcessLimits { memory_mb: 260, descriptors: 4_000 };
    let test = Test::start_with("forwarding", limits).await;
    let crowd = test.crowd(test.callers(), 700, vec![length_head(10)]);
    crowd.wait_until_sent().await;
    let lines = "chestnut-forward-to: s1\r\nchestnut-forward-started-at: 1\r\n\
        chestnut-forward-time-left-ms: 5000\r\ncontent-length: 0\r\n";
    let peer_addr = test.daemon().peer_addr;
    let mut stream = connect(peer_addr.ip(), peer_addr).await.expect("it accepts");
    stream.write_all(&head_to("lookup", lines)).await.expect("the daemon reads");
    let mut response = [0; 12];
    stream.read_exact(&mut response).await.expect("the daemon responds");
    assert_eq!(response.escape_ascii().to_string(), "HTTP/1.1 200");
    drop(crowd);
}

/// Guards against newcomers that are closed unread while those that yield to them are closing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn burst_of_callers_beside_silent_connections() {
    let test = Test::start("burst").await;
    for _ in 0..5 {
        let crowd = test.crowd(test.callers(), 200, vec![]);
        crowd.wait_until_sent().await;
        let mut callers = JoinSet::new();
        for _ in 0..100 {
            let addr = test.callers();
            callers.spawn(async move {
                let budget = crate::cluster::TIMEOUT;
                let request = CallerRequest { budget, ..CallerRequest::plain("lookup") };
                Caller::new("ordinary").send(addr, &request).await.status
            });
        }
        let statuses = callers.join_all().await;
        let unanswered = statuses.iter().filter(|status| **status == 0).count();
        assert_eq!(unanswered, 0, "of 100 callers");
    }
}

/// Guards against trailers and extensions of chunks without end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_of_chunks_without_end() {
    for bytes in [
        [&b"0\r\nx-trailer: "[..], &[b't'; HEAD_BYTES]].concat(),
        [&b"0\r\n"[..], &b"t:\r\n".repeat(HEAD_BYTES / 4)].concat(),
        [&b"5;x="[..], &[b'e'; HEAD_BYTES]].concat(),
        vec![b'0'; HEAD_BYTES],
    ] {
        let test = Test::start("endless-chunks").await;
        test.withstands(test.callers(), 250, vec![[chunked_head(), bytes].concat()])
            .await;
    }
}

/// Guards against bytes after a request that the kernel keeps without a bound, since nobody reads
/// them while the request is served.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_of_bytes_after_requests() {
    let head = head_to("lookup", "content-length: 0\r\n");
    let bytes = [head, vec![b'x'; 3 * MAX_BODY]].concat();
    let test = Test::start("after-requests").await;
    for service in &test.cluster.services {
        service.set_fault(ServerFault::Unresponsive);
    }
    let watch = Watch::start(test.daemon().pid(), test.callers().ip());
    let crowd = test.crowd(test.callers(), 100, vec![bytes]);
    sleep(Duration::from_secs(1)).await;
    for service in &test.cluster.services {
        service.set_fault(ServerFault::None);
    }
    test.answers_a_request().await;
    drop(crowd);
    test.answers_a_request().await;
    watch.check(test.limits).await;
}

/// Guards against empty lines before a request that are kept without a bound.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_of_empty_lines() {
    let test = Test::start("empty-lines").await;
    let bytes = b"\r\n".repeat(HEAD_BYTES / 2);
    test.withstands(test.callers(), 250, vec![bytes]).await;
}

/// Guards against heads over the declared limit that are kept.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_of_heads_over_the_limit() {
    let test = Test::start("large-heads").await;
    test.withstands(test.callers(), 250, vec![head_without_end()]).await;
}

/// Guards against heads without end at the listeners for the directory, readiness checks, table
/// changes, metrics and other daemons.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_of_large_heads_at_other_listeners() {
    for listener in 0..5 {
        let test = Test::start("other-heads").await;
        let addr = test.other_listeners()[listener];
        for bytes in [head_without_end(), b"\r\n".repeat(HEAD_BYTES / 2)] {
            test.withstands(addr, 250, vec![bytes]).await;
        }
    }
}

/// Guards against bodies that other daemons send in part, or that no handler reads.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_of_unfinished_bodies_at_other_listeners() {
    let whole = [length_head(MAX_BODY), vec![b'x'; MAX_BODY - 9]].concat();
    let tiny = [chunked_head(), b"1\r\nx\r\n".repeat(20_000)].concat();
    for listener in 0..5 {
        let test = Test::start("other-bodies").await;
        let addr = test.other_listeners()[listener];
        test.withstands(addr, 100, vec![whole.clone()]).await;
        test.withstands(addr, 100, vec![tiny.clone()]).await;
    }
}

/// Guards against bodies of requests to forward that are kept without a bound.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_of_unfinished_bodies_to_forward() {
    let lines = "chestnut-forward-to: s1\r\nchestnut-forward-time-left-ms: 60000\r\n";
    let whole = format!("{lines}content-length: {MAX_BODY}\r\n");
    let whole = [head_to("lookup", &whole), vec![b'x'; MAX_BODY - 9]].concat();
    let tiny = format!("{lines}transfer-encoding: chunked\r\n");
    let tiny = [head_to("lookup", &tiny), b"1\r\nx\r\n".repeat(100_000)].concat();
    let test = Test::start("to-forward").await;
    for bytes in [whole, tiny] {
        test.withstands(test.daemon().peer_addr, 160, vec![bytes]).await;
    }
}

/// Guards against connections without a request that take all descriptors.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_of_silent_connections() {
    let test = Test::start("silent").await;
    test.withstands(test.callers(), 600, vec![]).await;
}

/// Guards against heads sent in part whose connections take all descriptors.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_of_half_heads() {
    let test = Test::start("half-heads").await;
    let bytes = length_head(10);
    test.withstands(test.callers(), 600, vec![bytes[..40].to_vec()]).await;
}

/// Guards against silent connections at any other listener that take all descriptors.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_of_silent_connections_at_other_listeners() {
    for listener in 0..5 {
        let test = Test::start("other-silent").await;
        test.withstands(test.other_listeners()[listener], 600, vec![]).await;
    }
}

/// Guards against a daemon whose settings name no limit and whose process may open only a few
/// descriptors: silent connections take them all, and callers get neither answer nor refusal.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_beyond_the_descriptors_of_the_process() {
    // The daemon reads the limit of the process at its start.
    let test = Test::start_inheriting("inherited", 400).await;
    test.withstands(test.callers(), 600, vec![]).await;
}

/// Guards against a head whose bytes trickle in, each within the idle timeout, for longer than
/// the declared time for a head.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn trickled_head_is_refused() {
    let test = Test::start("trickled").await;
    let mut stream = TcpStream::connect(test.callers()).await.expect("it accepts");
    let (mut reader, mut writer) = stream.split();
    let trickle = async {
        loop {
            if writer.write_all(b"p").await.is_err() {
                std::future::pending::<()>().await;
            }
            sleep(Duration::from_millis(100)).await;
        }
    };
    let mut response = [0; 12];
    let read = async { reader.read_exact(&mut response).await.is_ok() };
    let is_answered = tokio::select! {
        is_answered = timeout(crate::cluster::TIMEOUT, read) => is_answered == Ok(true),
        () = trickle => false,
    };
    assert!(is_answered, "the connection was closed without a response");
    assert_eq!(&response, b"HTTP/1.1 408");
    test.answers_a_request().await;
}

/// Guards against limits that single requests within the declared ones meet.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn single_requests_within_the_limits_are_served() {
    let test = Test::start("single").await;
    let chunk = [&b"10000\r\n"[..], &[b'x'; 65_536], b"\r\n"].concat();
    let end = b"0\r\n\r\n".to_vec();
    let length = head_to("lookup", &format!("content-length: {MAX_BODY}\r\n"));
    let chunked = head_to("lookup", "transfer-encoding: chunked\r\n");
    let padding = format!("x-padding: {}\r\n", "p".repeat(16_000 - 200));
    let empty = head_to("lookup", &format!("{padding}content-length: 0\r\n"));
    assert!((15_800..=16_384).contains(&empty.len()), "{}", empty.len());
    for request in [
        [length, vec![b'x'; MAX_BODY]].concat(),
        [chunked.clone(), chunk.repeat(15), end.clone()].concat(),
        [chunked, b"1\r\nx\r\n".repeat(50_000), end].concat(),
        empty,
    ] {
        let mut stream = TcpStream::connect(test.callers()).await.expect("it accepts");
        stream.write_all(&request).await.expect("the daemon reads");
        let mut response = [0; 12];
        let read = timeout(crate::cluster::TIMEOUT, stream.read_exact(&mut response));
        let read = read.await.expect("the daemon responds");
        read.expect("the daemon responds");
        assert_eq!(&response, b"HTTP/1.1 200");
    }
}

/// A head to the plain service, with the given further lines.
fn head_to(route: &str, lines: &str) -> Vec<u8> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let head = format!(
        "POST /{route}/c{number} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: \
         crowd-{number}\r\nx-time-budget-ms: 60000\r\n{lines}\r\n"
    );
    head.into_bytes()
}

/// The head of a request on a route with a long timeout.
fn length_head(length: usize) -> Vec<u8> {
    head_to("draft", &format!("content-length: {length}\r\n"))
}

fn chunked_head() -> Vec<u8> {
    head_to("draft", "transfer-encoding: chunked\r\n")
}

/// The start of a head with one field of [`HEAD_BYTES`].
fn head_without_end() -> Vec<u8> {
    [&b"GET / HTTP/1.1\r\nx-field: "[..], &vec![b'f'; HEAD_BYTES]].concat()
}

/// A daemon with [`LIMITS`].
struct Test {
    cluster: Cluster,
    limits: ProcessLimits,
    _running: MutexGuard<'static, ()>,
}

impl Test {
    async fn start(name: &str) -> Self {
        Self::start_with(name, LIMITS).await
    }

    async fn start_with(name: &str, limits: ProcessLimits) -> Self {
        let running = RUNNING.lock().await;
        let setup = Setup { daemons: 1, limits: Some(limits), ..Setup::default() };
        let cluster = Cluster::start_with(name, setup).await;
        Self { cluster, limits, _running: running }
    }

    /// Replaces the servers of the plain service by a raw server.
    async fn replace_services(&self, server: &RawServer) {
        for name in ["raw1", "raw2"] {
            server.register_plain(&self.cluster.store, name);
        }
        for name in ["s1", "s2"] {
            self.cluster.store.put("servers", name, None);
        }
        wait_until("only the raw server is left", async || {
            let addr = self.daemon().metrics_addr;
            let state = self.cluster.caller.get_text(addr, "/state").await;
            let state: Value = serde_json::from_str(&state).unwrap_or_default();
            ["s1", "s2"].iter().all(|name| state["servers"][name].is_null())
                && !state["servers"]["raw2"].is_null()
        })
        .await;
    }

    /// A daemon without limits in its settings, in a process with few descriptors.
    async fn start_inheriting(name: &str, descriptors: u64) -> Self {
        let running = RUNNING.lock().await;
        let mut cluster = Cluster::start(name, 1).await;
        cluster.daemons[0].kill();
        with_descriptors(descriptors, || cluster.daemons[0].restart());
        cluster.wait_until_ready().await;
        let limits = ProcessLimits { memory_mb: 260, descriptors };
        Self { cluster, limits, _running: running }
    }

    fn daemon(&self) -> &Daemon {
        &self.cluster.daemons[0]
    }

    fn callers(&self) -> SocketAddr {
        self.daemon().caller_addr
    }

    fn other_listeners(&self) -> [SocketAddr; 5] {
        let daemon = self.daemon();
        [
            daemon.directory_addr,
            daemon.readiness_addr,
            table_changes_addr(daemon),
            daemon.metrics_addr,
            daemon.peer_addr,
        ]
    }

    fn crowd(&self, addr: SocketAddr, clients: usize, pieces: Vec<Vec<u8>>) -> Crowd {
        Crowd::start(addr, clients, pieces)
    }

    /// Plays a crowd and checks the daemon.
    async fn withstands(&self, addr: SocketAddr, clients: usize, pieces: Vec<Vec<u8>>) {
        let watch = Watch::start(self.daemon().pid(), self.callers().ip());
        let crowd = self.crowd(addr, clients, pieces);
        crowd.wait_until_sent().await;
        self.answers_a_request().await;
        drop(crowd);
        self.answers_a_request().await;
        watch.check(self.limits).await;
    }

    /// Waits until an ordinary request on a new connection is answered.
    async fn answers_a_request(&self) {
        self.answers_a_request_with(&("x-plain".into(), "1".into())).await;
    }

    async fn answers_a_request_with(&self, header: &(String, String)) {
        let mut request = CallerRequest::plain("lookup");
        request.headers.push(header.clone());
        wait_until("an ordinary request is answered", async || {
            let caller = Caller::new("ordinary");
            caller.send(self.callers(), &request).await.status == 200
        })
        .await;
    }
}

/// The address of table changes: the last of the ports between daemons.
fn table_changes_addr(daemon: &Daemon) -> SocketAddr {
    let settings = fs::read(&daemon.settings).expect("the settings can be read");
    let settings: Value = serde_json::from_slice(&settings).expect("they are JSON");
    let port = settings["ports"][1].as_u64().and_then(|port| port.try_into().ok());
    SocketAddr::new(daemon.peer_addr.ip(), port.expect("it is a port"))
}

/// Starts a process that may open only so many descriptors.
fn with_descriptors<T>(descriptors: u64, start: impl FnOnce() -> T) -> T {
    // A child inherits the limit of this process.
    let before = getrlimit(Resource::Nofile);
    let lowered = Rlimit { current: Some(descriptors), maximum: before.maximum };
    setrlimit(Resource::Nofile, lowered).expect("the limit can be lowered");
    let started = start();
    setrlimit(Resource::Nofile, before).expect("the limit can be restored");
    started
}

/// Connections that have sent what they send, and stay open until this is dropped.
struct Crowd {
    addr: SocketAddr,
    clients: JoinSet<()>,
    sending: Arc<()>,
}

impl Crowd {
    /// Connects from the daemon's own address, as another daemon of the tests would.
    fn start(addr: SocketAddr, clients: usize, pieces: Vec<Vec<u8>>) -> Self {
        Self::start_from(addr.ip(), addr, clients, pieces)
    }

    fn start_from(
        source: IpAddr,
        addr: SocketAddr,
        clients: usize,
        pieces: Vec<Vec<u8>>,
    ) -> Self {
        let mut tasks = JoinSet::new();
        let (sending, pieces) = (Arc::new(()), Arc::new(pieces));
        for _ in 0..clients {
            let (sending, pieces) = (sending.clone(), pieces.clone());
            tasks.spawn(async move {
                let stream = connect(source, addr).await;
                let Some(mut stream) = stream else { return };
                let write = async {
                    for piece in pieces.iter() {
                        stream.write_all(piece).await?;
                        sleep(PIECE_PAUSE).await;
                    }
                    std::io::Result::Ok(())
                };
                // A daemon may close the connection or stop reading.
                let _ = timeout(WRITE_TIME, write).await;
                drop(sending);
                std::future::pending::<()>().await;
            });
        }
        Self { addr, clients: tasks, sending }
    }

    /// Waits until the daemon has read what the clients send, or does not go on reading.
    async fn wait_until_sent(&self) {
        let deadline = Instant::now() + SEND_TIME;
        while Instant::now() < deadline {
            let is_sent = Arc::strong_count(&self.sending) == 1;
            if is_sent && Connections::at(self.addr).on_the_way() == 0 {
                return;
            }
            sleep(SAMPLE_PERIOD).await;
        }
    }

    /// Waits until the daemon has read what the clients send, or does not go on for some time.
    async fn wait_until_stalled(&self) {
        let deadline = Instant::now() + SEND_TIME;
        let mut last = (0, 0);
        let mut unchanged = 0;
        while Instant::now() < deadline && unchanged < STALLED_SAMPLES {
            sleep(SAMPLE_PERIOD).await;
            let connections = Connections::at(self.addr);
            let now = (connections.0.len(), connections.on_the_way());
            unchanged = if now == last { unchanged + 1 } else { 0 };
            last = now;
        }
    }
}

async fn connect(source: IpAddr, addr: SocketAddr) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.bind(SocketAddr::new(source, 0)).ok()?;
    timeout(WRITE_TIME, socket.connect(addr)).await.ok()?.ok()
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.clients.abort_all();
    }
}

/// Watches the memory and the descriptors of a daemon.
struct Watch {
    pid: Pid,
    stopped: Arc<AtomicBool>,
    task: tokio::task::JoinHandle<Usage>,
}

/// The most that was seen.
#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    /// Resident memory, received bytes that were not read, and bytes sent to other addresses
    /// that were not acknowledged.
    memory: u64,
    descriptors: u64,
    /// Sockets and pipes.
    sockets: u64,
}

impl Watch {
    fn start(pid: Pid, ip: IpAddr) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let flag = stopped.clone();
        let task = tokio::spawn(async move {
            let mut most = Usage::default();
            while !flag.load(Ordering::Relaxed) {
                let now = Usage::read(pid, ip);
                most.memory = most.memory.max(now.memory);
                most.descriptors = most.descriptors.max(now.descriptors);
                most.sockets = most.sockets.max(now.sockets);
                sleep(SAMPLE_PERIOD).await;
            }
            most
        });
        Self { pid, stopped, task }
    }

    /// Checks that the process lives and has kept to its limits.
    async fn check(self, limits: ProcessLimits) {
        self.stopped.store(true, Ordering::Relaxed);
        let most = self.task.await.expect("watching does not fail");
        let dir = format!("/proc/{}", self.pid.as_raw_nonzero());
        assert!(fs::metadata(dir).is_ok(), "the process has ended");
        println!("most: {most:?}");
        let max_sockets = limits.descriptors - FILE_DESCRIPTORS;
        assert!(
            most.memory <= limits.memory_mb * 1_000_000
                && most.descriptors <= limits.descriptors
                && most.sockets <= max_sockets,
            "{most:?}, allowed: {limits:?}, {max_sockets} sockets"
        );
    }
}

impl Usage {
    fn read(pid: Pid, ip: IpAddr) -> Self {
        let dir = format!("/proc/{}", pid.as_raw_nonzero());
        let status = fs::read_to_string(format!("{dir}/status")).unwrap_or_default();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident = resident.and_then(|text| text.split_whitespace().next());
        let resident = resident.and_then(|text| text.parse::<u64>().ok());
        let entries = fs::read_dir(format!("{dir}/fd")).into_iter().flatten().flatten();
        let targets: Vec<String> = entries
            .filter_map(|entry| fs::read_link(entry.path()).ok())
            .map(|target| target.to_string_lossy().into_owned())
            .collect();
        let is_socket = |target: &&String| {
            target.starts_with("socket:") || target.starts_with("pipe:")
        };
        Self {
            memory: resident.unwrap_or_default() * 1024 + Connections::all().held_for(ip),
            descriptors: targets.len() as u64,
            sockets: targets.iter().filter(is_socket).count() as u64,
        }
    }
}

/// The TCP connections that the kernel lists.
struct Connections(Vec<KernelConnection>);

/// An end of a connection.
struct KernelConnection {
    local: SocketAddr,
    remote: SocketAddr,
    /// Bytes that were sent and not acknowledged, or received and not read.
    queued: (u64, u64),
}

impl Connections {
    fn all() -> Self {
        let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        Self(table.lines().skip(1).filter_map(KernelConnection::parse).collect())
    }

    /// Those with an end at an address.
    fn at(addr: SocketAddr) -> Self {
        let Self(mut all) = Self::all();
        all.retain(|each| each.local == addr || each.remote == addr);
        Self(all)
    }

    /// The bytes that were sent and not read.
    fn on_the_way(&self) -> u64 {
        self.0.iter().map(|each| each.queued.0 + each.queued.1).sum()
    }

    /// The bytes that were received at an address and not read, or sent from it to another one
    /// and not acknowledged.
    ///
    /// Ends of a crowd that have the same address receive next to nothing.
    fn held_for(&self, ip: IpAddr) -> u64 {
        let local = self.0.iter().filter(|each| each.local.ip() == ip);
        let held = |each: &KernelConnection| match each.remote.ip() == ip {
            true => each.queued.1,
            false => each.queued.0 + each.queued.1,
        };
        local.map(held).sum()
    }
}

impl KernelConnection {
    /// Reads a line of the kernel's table; `None` if the connection is not established.
    fn parse(line: &str) -> Option<Self> {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let addr = |text: &str| {
            let (ip, port) = text.split_once(':')?;
            let ip = u32::from_str_radix(ip, 16).ok()?.swap_bytes();
            let port = u16::from_str_radix(port, 16).ok()?;
            Some(SocketAddr::from((ip.to_be_bytes(), port)))
        };
        let (sent, received) = fields.get(4)?.split_once(':')?;
        let bytes = |text| u64::from_str_radix(text, 16).ok();
        (fields.get(3) == Some(&"01")).then_some(Self {
            local: addr(fields.get(1)?)?,
            remote: addr(fields.get(2)?)?,
            queued: (bytes(sent)?, bytes(received)?),
        })
    }
}
