//! Clients of the platform's services.
//!
//! The platform stores all durable state: rows in the transactional table service
//! ([`table`]) and larger values in the object store ([`object`]). It also provides the
//! list of VMs ([`vms`]), which is eventually consistent. A [`PlatformError`] states
//! whether the failed call may have taken effect.

pub mod error;
pub mod object;
mod receive;
pub mod table;
pub mod vms;

pub use error::PlatformError;
pub use object::ObjectStore;
pub use table::{
    ChangesQuery, ChangesResponse, Delta, Precondition, Row, TableClient, Txn,
    TxnResponse, Write,
};
pub use vms::{VmList, VmRole, VmRow, VmState};
