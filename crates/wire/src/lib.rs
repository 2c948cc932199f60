//! The messages between the system's own processes.
//!
//! Each question travels on a bidirectional stream of its own, so that a slow
//! answer holds up no other:
//!
//! 1. the asking daemon opens a stream and sends one [`PeerRequest`],
//! 2. the other daemon answers with [`PeerResponse`] frames until a final one,
//! 3. either side resets the stream to break off.
//!
//! [`frame`] turns messages into length-prefixed bytes and back.

pub mod frame;
pub mod message;

pub use frame::{FrameDecoder, FrameError, MAX_FRAME_BYTES, encode};
pub use message::{
    AttemptRequest, CrashSuspect, DaemonStatus, HttpCall, OnceRequest, OnceState,
    PeerRequest, PeerResponse, ResumePoint, RetryHint, ServerLoad,
};
