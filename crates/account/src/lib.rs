//! Client accounts: their keys, and the limits on what they may use.
//!
//! The crate makes decisions and needs no network. A request passes these stages:
//!
//! 1. [`credential`] reads the key from a header, [`key`] hashes it,
//! 2. [`account`] finds the account that holds the key,
//! 3. [`proof`] decides whether the declarations are recent enough to trust the key,
//! 4. [`limit`] says what the request costs, and into how many [`slice`]s the account's
//!    limit is divided,
//! 5. [`chooser`] picks the slices that the entry daemon asks, and the holder of the
//!    slice charges its [`bucket`].
//!
//! [`sharing`] has other ways to divide a limit, to compare them with slices.

pub mod account;
pub mod bucket;
pub mod chooser;
pub mod credential;
pub mod key;
pub mod limit;
pub mod proof;
pub mod sharing;
pub mod slice;

pub use account::{AccountError, AccountKey, AccountText, Accounts, ClientAccount};
pub use chooser::{Choice, SliceChooser};
pub use credential::{CredentialError, bearer_key};
pub use key::KeyDigest;
pub use limit::{Limit, SliceLimit, Tolerance, Unit};
pub use proof::{ProofState, RevocationBound};
pub use sharing::{LocalShare, Sharing};
pub use slice::{ChargeId, HeldSlice, Slice, SliceStart, Verdict, may_grant};
