//! A TCP relay that counts the bytes it forwards.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const BUFFER_BYTES: usize = 16 * 1024;

/// Counts the bytes that a relay forwards, both directions together.
#[derive(Debug, Default)]
pub struct ByteCounter(AtomicU64);

impl ByteCounter {
    /// Bytes forwarded so far.
    pub fn total(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Starts a relay to `target` on a free loopback port and returns its address.
pub async fn start(
    target: SocketAddr,
    counter: Arc<ByteCounter>,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let counter = counter.clone();
            tokio::spawn(async move {
                if let Ok(server) = TcpStream::connect(target).await {
                    let (client_read, client_write) = client.into_split();
                    let (server_read, server_write) = server.into_split();
                    tokio::join!(
                        forward(client_read, server_write, &counter),
                        forward(server_read, client_write, &counter)
                    );
                }
            });
        }
    });
    Ok(address)
}

/// Copies bytes until either side closes or fails.
async fn forward(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    counter: &ByteCounter,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length) = from.read(&mut buffer).await {
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            break;
        }
        counter.0.fetch_add(length as u64, Ordering::Relaxed);
    }
    // Fails if the peer has closed already.
    to.shutdown().await.ok();
}
