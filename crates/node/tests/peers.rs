//! Streams between two daemons, of which some get no response.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use chestnut_base::{CallerName, RequestId};
use chestnut_config::settings::Tls;
use chestnut_fake::certs;
use chestnut_node::peer::{PeerError, Peers};
use chestnut_node::tls::{self, PeerTls};
use chestnut_wire::{FrameDecoder, OnceState, PeerRequest, PeerResponse, encode};
use quinn::{Connection, RecvStream, SendStream};
use tokio::time::sleep;

/// The time between two heartbeats of a response.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// The number of heartbeats before a response; they take longer than a silent stream lasts.
const HEARTBEATS: u32 = 30;

static NEXT_DIR: AtomicU32 = AtomicU32::new(0);

/// Certificates in a directory that is removed at the end.
struct Certs(PathBuf);

impl Certs {
    fn new() -> Self {
        let number = NEXT_DIR.fetch_add(1, Ordering::Relaxed);
        let name = format!("chestnut-peers-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir).unwrap();
        certs::write(&dir).unwrap();
        Self(dir)
    }

    fn tls(&self) -> PeerTls {
        let file = |name: &str| self.0.join(name);
        let (cert, key) = (file("daemon.pem"), file("daemon.key"));
        tls::load(&Tls { cert, key, trusted_cas: file("trust.pem") }).unwrap()
    }
}

impl Drop for Certs {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.0));
    }
}

fn bind(certs: &Certs) -> Peers {
    Peers::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), certs.tls()).unwrap()
}

/// Sends no response to [`PeerRequest::Status`], and responds to others with heartbeats.
fn start_server(peers: &Peers) -> SocketAddr {
    let endpoint = peers.endpoint().clone();
    let addr = endpoint.local_addr().unwrap();
    tokio::spawn(async move {
        while let Some(incoming) = endpoint.accept().await {
            let Ok(connection) = incoming.await else { continue };
            tokio::spawn(serve(connection));
        }
    });
    addr
}

async fn serve(connection: Connection) {
    while let Ok((send, recv)) = connection.accept_bi().await {
        tokio::spawn(respond(send, recv));
    }
}

async fn respond(mut send: SendStream, mut recv: RecvStream) {
    let mut frames = FrameDecoder::new();
    let request = loop {
        if let Some(request) = frames.decode::<PeerRequest>().unwrap() {
            break request;
        }
        let Ok(Some(chunk)) = recv.read_chunk(1024, true).await else { return };
        frames.push(&chunk.bytes);
    };
    if request == PeerRequest::Status {
        // Silent until the requesting daemon closes the stream.
        drop(send.stopped().await);
        return;
    }
    let heartbeats = (0..HEARTBEATS).map(|_| PeerResponse::Heartbeat);
    for frame in heartbeats.chain([PeerResponse::Once(OnceState::Unknown)]) {
        sleep(HEARTBEAT_INTERVAL).await;
        if send.write_all(&encode(&frame).unwrap()).await.is_err() {
            return;
        }
    }
    send.finish().unwrap();
    drop(send.stopped().await);
}

fn lookup() -> PeerRequest {
    let caller = CallerName::try_from("adenta").unwrap();
    PeerRequest::Lookup(RequestId { caller, key: "letter".into() })
}

async fn request(peers: &Peers, addr: SocketAddr) -> Result<PeerResponse, PeerError> {
    peers.request(addr, &lookup()).await
}

async fn silent_request(peers: &Peers, addr: SocketAddr, delay: Duration) {
    sleep(delay).await;
    let error = peers.request(addr, &PeerRequest::Status).await.unwrap_err();
    assert_eq!(error, PeerError::ResponseLost("no heartbeat".into()));
}

/// A response that is lost must not cut off the others on its connection.
#[tokio::test]
async fn lost_response_leaves_other_streams_open() {
    let certs = Certs::new();
    let (server, client) = (bind(&certs), bind(&certs));
    let addr = start_server(&server);
    let silent = silent_request(&client, addr, Duration::from_millis(300));
    let (response, ()) = tokio::join!(request(&client, addr), silent);
    assert_eq!(response, Ok(PeerResponse::Once(OnceState::Unknown)));
}

/// A late failure on an earlier connection must not cut off the responses on a newer one.
#[tokio::test]
async fn late_failure_leaves_a_newer_connection_open() {
    let certs = Certs::new();
    let (server, client) = (bind(&certs), bind(&certs));
    let addr = start_server(&server);
    // The two silent requests are sent on one connection, and fail 0.7 s apart.
    let first = silent_request(&client, addr, Duration::ZERO);
    let second = silent_request(&client, addr, Duration::from_millis(700));
    let newer = async {
        sleep(Duration::from_millis(1800)).await;
        request(&client, addr).await
    };
    let ((), (), response) = tokio::join!(first, second, newer);
    assert_eq!(response, Ok(PeerResponse::Once(OnceState::Unknown)));
}
