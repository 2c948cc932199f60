//! What of the responses of other processes is believed.
//!
//! The HTTP library refuses heads that it can't parse. [`head`] checks what it passes: that a
//! head ends its request, and that it tells the length of its body in one valid way. A response
//! that fails is none, and its request may have run.

pub mod head;

pub use head::{MalformedHead, check_head};
