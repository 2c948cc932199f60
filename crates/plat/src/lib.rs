//! Clients of the platform's services.
//!
//! What must last lives in the platform: rows in the transactional table
//! service ([`table`]), larger values in the object store ([`object`]), and the
//! list of VMs ([`vms`]), which lags. Each client says of a failed call whether
//! it may still have taken effect ([`PlatformError`]).

pub mod error;
pub mod object;
pub mod table;
pub mod vms;

pub use error::PlatformError;
pub use object::ObjectStore;
pub use table::{
    ChangesQuery, ChangesResponse, Delta, Precondition, Row, TableClient, Txn,
    TxnResponse, Write,
};
pub use vms::{VmList, VmRole, VmRow, VmState};
