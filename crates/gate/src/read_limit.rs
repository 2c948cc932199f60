//! Limits what is read from a server before it has sent anything of use.
//!
//! The HTTP library limits the size of a head, but not the number of informational ones before
//! it, nor the digits of a chunk's size. A server that sends such bytes without end keeps a thread
//! of the daemon busy, so that it serves nobody.

use std::fmt::{self, Display, Formatter};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The most bytes that are read between a request and the head of its response, and between parts
/// of the body.
///
/// Several times what the HTTP library reads ahead of the parts that are taken.
const MAX_BYTES: usize = 512 * 1024;

/// Counts what a connection reads before the next part of a response; clones share the count.
#[derive(Debug, Clone, Default)]
pub struct ReadLimit {
    /// The bytes since the last part was taken.
    read: Arc<AtomicUsize>,
}

impl ReadLimit {
    /// Starts counting anew: a request is about to be sent, or a part was taken.
    pub fn reset(&self) {
        self.read.store(0, Ordering::Relaxed);
    }

    /// Fails if more bytes were read than a part of a response may take.
    pub fn check(&self) -> Result<(), LimitExceeded> {
        match self.read.load(Ordering::Relaxed) > MAX_BYTES {
            true => Err(LimitExceeded),
            false => Ok(()),
        }
    }

    fn record(&self, bytes: usize) -> io::Result<()> {
        self.read.fetch_add(bytes, Ordering::Relaxed);
        self.check().map_err(io::Error::other)
    }
}

/// A server has sent 512 KiB that hold no part of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitExceeded;

impl Display for LimitExceeded {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{MAX_BYTES} bytes hold no part of a response; check the server")
    }
}

impl std::error::Error for LimitExceeded {}

/// The body of a response that is read within a [`ReadLimit`].
pub struct LimitedBody {
    body: Incoming,
    limit: ReadLimit,
}

impl LimitedBody {
    /// Limits what is read between the parts of a body.
    pub fn new(body: Incoming, limit: ReadLimit) -> Self {
        Self { body, limit }
    }
}

impl Body for LimitedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        if frame.is_ready() {
            self.limit.reset();
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A connection to a server that is read within a [`ReadLimit`].
pub struct LimitedStream {
    stream: TcpStream,
    limit: ReadLimit,
}

impl LimitedStream {
    /// Limits what is read from a connection.
    pub fn new(stream: TcpStream, limit: ReadLimit) -> Self {
        Self { stream, limit }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        match Pin::new(&mut self.stream).poll_read(cx, buf) {
            Poll::Ready(Ok(())) => {
                Poll::Ready(self.limit.record(buf.filled().len() - before))
            }
            other => other,
        }
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
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

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
