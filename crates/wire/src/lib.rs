//! The protocol between daemons.
//!
//! Each request uses its own bidirectional stream, so that a slow response doesn't delay
//! others:
//!
//! 1. the client daemon opens a stream and sends one [`PeerRequest`],
//! 2. the server daemon sends [`PeerResponse`] frames, the last of which is final,
//! 3. either side can cancel by resetting the stream.
//!
//! [`frame`] encodes messages as length-prefixed frames and decodes them.

pub mod frame;
pub mod message;

pub use frame::{FrameDecoder, FrameError, MAX_FRAME_BYTES, encode};
pub use message::{
    AttemptRequest, ChargeRequest, CrashSuspect, DaemonStatus, HttpCall, OnceRequest,
    OnceState, PeerRequest, PeerResponse, ResumePoint, RetryHint, ServerLoad,
};
