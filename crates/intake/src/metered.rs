//! A connection whose bytes and times are limited.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep_until};

use crate::intake::{CloseReason, Connection};
use crate::quota::Phase;
use crate::server::{FIELD_BYTES, HttpLimits};

/// The stream of a connection, read as long as its client keeps to the limits.
pub struct Metered {
    stream: TcpStream,
    connection: Arc<Connection>,
    limits: HttpLimits,
    /// The phase as of the last read, and when it began.
    phase: (Phase, Instant),
    timer: Pin<Box<Sleep>>,
    /// Counts the fields of the head that arrives.
    fields: FieldCounter,
    /// Why reading has ended before the client closed the connection.
    failure: Option<CloseReason>,
}

impl Metered {
    /// Starts in [`Phase::Idle`].
    pub fn new(
        stream: TcpStream,
        connection: Arc<Connection>,
        limits: HttpLimits,
    ) -> Self {
        let now = connection.intake().now();
        let timer = Box::pin(sleep_until((now + limits.idle_timeout).into()));
        let phase = (Phase::Idle, now);
        let fields = FieldCounter::default();
        Self { stream, connection, limits, phase, timer, fields, failure: None }
    }

    /// Why reading has ended before the client closed the connection.
    pub fn failure(&self) -> Option<CloseReason> {
        self.failure
    }

    /// The stream, to close it.
    pub fn stream(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    /// How long the phase may take; `None` where the handler of the request limits it.
    fn time_limit(&self) -> Option<(Duration, CloseReason)> {
        match self.phase.0 {
            Phase::Idle => Some((self.limits.idle_timeout, CloseReason::IdleTimeout)),
            Phase::Head => Some((self.limits.head_timeout, CloseReason::HeadTimeout)),
            Phase::Body | Phase::Serving | Phase::Responding | Phase::Closing => None,
        }
    }

    fn enter(&mut self, phase: Phase, now: Instant) {
        self.phase = (phase, now);
        if let Some((limit, _)) = self.time_limit() {
            self.timer.as_mut().reset((now + limit).into());
        }
    }

    /// Takes over a phase that the handler of a request has begun.
    fn update_phase(&mut self) {
        let current = self.connection.phase();
        if current != self.phase.0 {
            self.enter(current, self.connection.intake().now());
        }
    }

    /// Why waiting for bytes has to end now, if it has to.
    fn check(&mut self, cx: &mut Context<'_>) -> Option<CloseReason> {
        let (_, reason) = self.time_limit()?;
        if self.connection.is_evicted() {
            return Some(CloseReason::Evicted);
        }
        let is_late = self.timer.as_mut().poll(cx).is_ready();
        is_late.then_some(reason)
    }

    /// Records bytes that have arrived; an error if there is no memory for them.
    fn record(&mut self, bytes: &[u8]) -> Result<(), CloseReason> {
        if self.phase.0 == Phase::Idle {
            self.fields = FieldCounter::default();
            self.connection.set_phase(Phase::Head);
            self.enter(Phase::Head, self.connection.intake().now());
        }
        match self.phase.0 {
            Phase::Head => match self.connection.reserve(self.fields.cost(bytes)) {
                true => {
                    self.connection.record_progress();
                    Ok(())
                }
                false => Err(CloseReason::OutOfMemory),
            },
            _ => Ok(()),
        }
    }

    fn fail(&mut self, reason: CloseReason) -> Poll<io::Result<()>> {
        self.failure = Some(reason);
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, reason.label())))
    }
}

/// Counts the lines of a head, each of which may be a field.
#[derive(Debug, Default)]
struct FieldCounter {
    /// The bytes of the current line.
    line: usize,
    /// Whether a line has had bytes; only then an empty line ends the head.
    has_begun: bool,
    has_ended: bool,
}

impl FieldCounter {
    /// The memory that the next bytes of a head take, also as fields.
    fn cost(&mut self, bytes: &[u8]) -> usize {
        let mut lines = 0;
        for byte in bytes {
            match byte {
                _ if self.has_ended => break,
                b'\n' => {
                    lines += 1;
                    self.has_ended = self.has_begun && self.line == 0;
                    self.line = 0;
                }
                b'\r' => {}
                _ => {
                    self.line += 1;
                    self.has_begun = true;
                }
            }
        }
        bytes.len() + lines * FIELD_BYTES
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.update_phase();
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        let arrived = &buf.filled()[before..];
        // Bytes that have arrived are read first: they may be late because this process is.
        let failure = match &poll {
            Poll::Pending => self.check(cx),
            Poll::Ready(_) if !arrived.is_empty() => self.record(arrived).err(),
            Poll::Ready(_) => None,
        };
        match failure {
            Some(reason) => self.fail(reason),
            None => poll,
        }
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
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

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
