//! What of the responses of other processes is believed and kept.
//!
//! The HTTP library refuses heads that it can't parse. [`head`] checks what it passes: that a
//! head ends its request, and that it tells the length of its body in one valid way. A response
//! that fails is none, and its request may have run. [`body`] reads whole responses within a
//! size.

pub mod body;
pub mod head;

pub use body::{ReadError, read_body, read_response};
pub use head::{MalformedHead, check_head};
