//! A TCP port whose connections can be cut and which can be closed for a while.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use axum::Router;
use axum::extract::connect_info::Connected;
use axum::serve::{IncomingStream, Listener};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

/// How long to wait before a port that can't be bound again is tried once more.
const REBIND: Duration = Duration::from_millis(20);

/// A running stand-in; it stops when the handle is stopped or dropped.
#[derive(Debug)]
pub struct ServerHandle {
    /// Where the stand-in listens.
    pub address: SocketAddr,
    lives: Lives,
    task: JoinHandle<()>,
}

impl ServerHandle {
    /// Serves `router` on an address; port 0 lets the system choose one.
    pub(crate) async fn serve(
        listen: SocketAddr,
        lives: Lives,
        router: Router,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let gate = Gate { address, listener: Some(listener), lives: lives.clone() };
        let service = router.into_make_service_with_connect_info::<Peer>();
        let task = tokio::spawn(async move {
            // The server only ends when the task is aborted.
            if let Err(error) = axum::serve(gate, service).await {
                eprintln!("the stand-in at {address} stopped: {error}");
            }
        });
        Ok(Self { address, lives, task })
    }

    /// The base URL, such as `http://127.0.0.1:7000`.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Closes the port and cuts all connections.
    pub fn stop(self) {
        drop(self);
    }

    /// Waits until the stand-in stops by itself, which it does not do.
    pub async fn wait(mut self) {
        if let Err(error) = (&mut self.task).await {
            eprintln!("the stand-in at {} stopped: {error}", self.address);
        }
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.task.abort();
        self.lives.token().cancel();
    }
}

/// The lives of a process that can crash and start again on the same port.
#[derive(Debug, Clone, Default)]
pub(crate) struct Lives(Arc<Mutex<Life>>);

#[derive(Debug, Default)]
struct Life {
    token: CancellationToken,
    outage: Duration,
}

impl Lives {
    /// Cuts all connections and closes the port for `outage`.
    pub fn crash(&self, outage: Duration) {
        let mut life = self.0.lock().expect("no holder of the life panics");
        life.outage = outage;
        life.token.cancel();
    }

    fn token(&self) -> CancellationToken {
        self.0.lock().expect("no holder of the life panics").token.clone()
    }

    fn outage(&self) -> Duration {
        self.0.lock().expect("no holder of the life panics").outage
    }

    fn renew(&self) {
        self.0.lock().expect("no holder of the life panics").token =
            CancellationToken::new();
    }
}

/// The connection over which a request came.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    cut: CancellationToken,
}

impl Peer {
    /// Cuts the connection; what was not sent yet is lost.
    pub fn cut(&self) {
        self.cut.cancel();
    }

    /// Cuts the connection and never answers.
    pub async fn hang_up<T>(&self) -> T {
        self.cut();
        std::future::pending().await
    }
}

impl Connected<IncomingStream<'_, Gate>> for Peer {
    fn connect_info(stream: IncomingStream<'_, Gate>) -> Self {
        stream.remote_addr().clone()
    }
}

/// The listener of a port with lives.
pub(crate) struct Gate {
    address: SocketAddr,
    listener: Option<TcpListener>,
    lives: Lives,
}

impl Gate {
    /// Keeps the port closed for the outage and opens it again.
    async fn reopen(&mut self) {
        self.listener = None;
        tokio::time::sleep(self.lives.outage()).await;
        while self.listener.is_none() {
            match TcpListener::bind(self.address).await {
                Ok(listener) => self.listener = Some(listener),
                Err(_) => tokio::time::sleep(REBIND).await,
            }
        }
        self.lives.renew();
    }
}

impl Listener for Gate {
    type Io = Wire;
    type Addr = Peer;

    async fn accept(&mut self) -> (Wire, Peer) {
        loop {
            let life = self.lives.token();
            let Some(listener) = &self.listener else {
                self.reopen().await;
                continue;
            };
            let accepted = tokio::select! {
                biased;
                () = life.cancelled() => {
                    self.reopen().await;
                    continue;
                }
                accepted = listener.accept() => accepted,
            };
            if let Ok((stream, _)) = accepted {
                // The answers are small; without this each one waits for an
                // acknowledgement of the one before.
                if stream.set_nodelay(true).is_err() {
                    continue;
                }
                let cut = life.child_token();
                return (Wire::new(stream, cut.clone()), Peer { cut });
            }
        }
    }

    fn local_addr(&self) -> io::Result<Peer> {
        Ok(Peer { cut: self.lives.token() })
    }
}

/// A connection that can be cut.
pub(crate) struct Wire {
    stream: TcpStream,
    cut: CancellationToken,
    waiter: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl Wire {
    fn new(stream: TcpStream, cut: CancellationToken) -> Self {
        let waiter = Box::pin(cut.clone().cancelled_owned());
        Self { stream, cut, waiter }
    }

    fn check(&self) -> io::Result<()> {
        if self.cut.is_cancelled() {
            Err(io::ErrorKind::ConnectionReset.into())
        } else {
            Ok(())
        }
    }
}

impl AsyncRead for Wire {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.waiter.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Wire {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
