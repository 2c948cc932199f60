//! Clients of the platform's services.
//!
//! What must last lives in the platform: rows in the transactional table
//! service ([`table`]), larger values in the object store ([`object`]), and the
//! list of VMs ([`vms`]), which lags. Each client says of a failed call whether
//! it may still have taken effect ([`PlatError`]).

pub mod error;
pub mod object;
pub mod table;
pub mod vms;

pub use error::PlatError;
pub use object::Objects;
pub use table::{Changed, Changes, Check, Delta, Row, Table, Txn, TxnAnswer, Write};
pub use vms::{VmList, VmRole, VmRow, VmState};
