//! A TCP listener whose connections can be reset and whose port can be closed for a
//! while.

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

/// The interval between attempts to bind a port again.
const REBIND_INTERVAL: Duration = Duration::from_millis(20);

/// A running stand-in, which stops when the handle is stopped or dropped.
#[derive(Debug)]
pub struct ServerHandle {
    /// The address on which the stand-in listens.
    pub address: SocketAddr,
    crash_switch: CrashSwitch,
    task: JoinHandle<()>,
}

impl ServerHandle {
    /// Serves `router` on an address; with port 0 the system chooses the port.
    pub async fn serve(
        listen: SocketAddr,
        crash_switch: CrashSwitch,
        router: Router,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let restartable = RestartableListener {
            address,
            listener: Some(listener),
            crash_switch: crash_switch.clone(),
        };
        let service = router.into_make_service_with_connect_info::<Connection>();
        let task = tokio::spawn(async move {
            // The server runs until the task is aborted.
            if let Err(error) = axum::serve(restartable, service).await {
                eprintln!("the stand-in at {address} stopped: {error}");
            }
        });
        Ok(Self { address, crash_switch, task })
    }

    /// The base URL, for example `http://127.0.0.1:7000`.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Closes the port and resets all connections.
    pub fn stop(self) {
        drop(self);
    }

    /// Waits for the server task, which runs until the process ends.
    pub async fn wait(mut self) {
        if let Err(error) = (&mut self.task).await {
            eprintln!("the stand-in at {} stopped: {error}", self.address);
        }
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.task.abort();
        self.crash_switch.token().cancel();
    }
}

/// Simulates a process that can crash and restart on the same port.
#[derive(Debug, Clone, Default)]
pub struct CrashSwitch(Arc<Mutex<ProcessState>>);

#[derive(Debug, Default)]
struct ProcessState {
    token: CancellationToken,
    outage: Duration,
}

impl CrashSwitch {
    /// Resets all connections and closes the port for `outage`.
    pub fn crash(&self, outage: Duration) {
        let mut process =
            self.0.lock().expect("the process state's lock is not poisoned");
        process.outage = outage;
        process.token.cancel();
    }

    fn token(&self) -> CancellationToken {
        self.0.lock().expect("the process state's lock is not poisoned").token.clone()
    }

    fn outage(&self) -> Duration {
        self.0.lock().expect("the process state's lock is not poisoned").outage
    }

    fn restart(&self) {
        self.0.lock().expect("the process state's lock is not poisoned").token =
            CancellationToken::new();
    }
}

/// The connection on which a request arrived.
#[derive(Debug, Clone)]
pub struct Connection {
    reset: CancellationToken,
    peer: SocketAddr,
}

impl Connection {
    /// The address that it comes from.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Resets the connection; data not yet sent is lost.
    pub fn reset(&self) {
        self.reset.cancel();
    }

    /// Resets the connection and never responds.
    pub async fn reset_and_never_respond<T>(&self) -> T {
        self.reset();
        std::future::pending().await
    }
}

impl Connected<IncomingStream<'_, RestartableListener>> for Connection {
    fn connect_info(stream: IncomingStream<'_, RestartableListener>) -> Self {
        stream.remote_addr().clone()
    }
}

/// A listener whose port is closed during simulated crashes.
pub(crate) struct RestartableListener {
    address: SocketAddr,
    listener: Option<TcpListener>,
    crash_switch: CrashSwitch,
}

impl RestartableListener {
    /// Closes the port for the outage and binds it again.
    async fn reopen(&mut self) {
        self.listener = None;
        tokio::time::sleep(self.crash_switch.outage()).await;
        while self.listener.is_none() {
            match TcpListener::bind(self.address).await {
                Ok(listener) => self.listener = Some(listener),
                Err(_) => tokio::time::sleep(REBIND_INTERVAL).await,
            }
        }
        self.crash_switch.restart();
    }
}

impl Listener for RestartableListener {
    type Io = ResettableStream;
    type Addr = Connection;

    async fn accept(&mut self) -> (ResettableStream, Connection) {
        loop {
            let crash = self.crash_switch.token();
            let Some(listener) = &self.listener else {
                self.reopen().await;
                continue;
            };
            let accepted = tokio::select! {
                biased;
                () = crash.cancelled() => {
                    self.reopen().await;
                    continue;
                }
                accepted = listener.accept() => accepted,
            };
            if let Ok((stream, peer)) = accepted {
                // With Nagle's algorithm, each small response would wait for the
                // acknowledgement of the one before.
                if stream.set_nodelay(true).is_err() {
                    continue;
                }
                let reset = crash.child_token();
                return (
                    ResettableStream::new(stream, reset.clone()),
                    Connection { reset, peer },
                );
            }
        }
    }

    fn local_addr(&self) -> io::Result<Connection> {
        Ok(Connection { reset: self.crash_switch.token(), peer: self.address })
    }
}

/// A connection that can be reset.
pub(crate) struct ResettableStream {
    stream: TcpStream,
    reset: CancellationToken,
    reset_signal: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl ResettableStream {
    fn new(stream: TcpStream, reset: CancellationToken) -> Self {
        let reset_signal = Box::pin(reset.clone().cancelled_owned());
        Self { stream, reset, reset_signal }
    }

    fn ensure_open(&self) -> io::Result<()> {
        if self.reset.is_cancelled() {
            Err(io::ErrorKind::ConnectionReset.into())
        } else {
            Ok(())
        }
    }
}

impl AsyncRead for ResettableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.reset_signal.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for ResettableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.ensure_open()?;
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
