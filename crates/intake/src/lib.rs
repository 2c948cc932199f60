//! What clients may hold of a process: descriptors, and memory for heads, bodies and responses.
//!
//! 1. [`shares`] divides the limits of the process between its listeners,
//! 2. [`server`] accepts connections, serves HTTP on them and hands over responses,
//! 3. [`metered`] watches the bytes and fields of a head and the time that it takes,
//! 4. [`body`] reads the body of a request,
//! 5. [`intake`] keeps the account of one share; what yields when it is used up is decided by
//!    its [`quota`].

pub mod body;
pub mod intake;
pub mod metered;
pub mod quota;
pub mod server;
pub mod shares;

pub use body::BodyError;
pub use intake::{CloseReason, Connection, Intake, Observer};
pub use quota::{Admission, ConnectionKey, Phase, Quota, QuotaLimits};
pub use server::{HttpLimits, Server, bind};
pub use shares::{ProcessLimits, Share};
