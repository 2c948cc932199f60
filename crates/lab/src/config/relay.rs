//! A relay of TCP connections that counts what passes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const CHUNK: usize = 16 * 1024;

/// The bytes that passed a relay in both directions.
#[derive(Debug, Default)]
pub struct ByteCounter(AtomicU64);

impl ByteCounter {
    /// The bytes so far.
    pub fn total(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Starts a relay to `target`; returns where it listens.
pub async fn start(
    target: SocketAddr,
    count: Arc<ByteCounter>,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let count = count.clone();
            tokio::spawn(async move {
                if let Ok(far) = TcpStream::connect(target).await {
                    let (near_in, near_out) = near.into_split();
                    let (far_in, far_out) = far.into_split();
                    tokio::join!(
                        pass(near_in, far_out, &count),
                        pass(far_in, near_out, &count)
                    );
                }
            });
        }
    });
    Ok(address)
}

/// Passes bytes on until one side ends.
async fn pass(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    count: &ByteCounter,
) {
    let mut chunk = vec![0; CHUNK];
    while let Ok(read) = from.read(&mut chunk).await {
        if read == 0 || to.write_all(&chunk[..read]).await.is_err() {
            break;
        }
        count.0.fetch_add(read as u64, Ordering::Relaxed);
    }
    // The other side may be gone already.
    to.shutdown().await.ok();
}
