//! Finds the client account that sent a request, and whether its key can be trusted.

use std::sync::Arc;
use std::time::Duration;

use chestnut_account::{AccountKey, ProofState};
use chestnut_base::{CallerName, Refusal, RefusalCode};
use chestnut_edge::{Call, Caller, Credential, Declarations, Route};
use slog::info;
use tokio::time::{sleep, timeout};

use crate::peers::HEARTBEAT_TIMEOUT;
use crate::shared::Shared;

/// How long a request waits for the first confirmation of the declarations after the daemon
/// was suspended.
///
/// A read of the store takes some 10 ms.
const CONFIRMATION_WAIT: Duration = Duration::from_millis(300);

/// How often a waiting request checks for a confirmation.
const CONFIRMATION_POLL: Duration = Duration::from_millis(10);

/// The retry delay for callers of a daemon whose neighbours lack confirmations, too.
///
/// At another daemon the caller would be refused again.
const OUTAGE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// How recently the store confirmed the declarations in force, as of the time at which the
/// proof was taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Proof {
    /// Whether keys can be trusted.
    pub keys: ProofState,
    /// Whether the declarations decide which routes and keys exist: changes since then need
    /// not be in force yet.
    pub is_current: bool,
}

/// Takes a proof of the declarations in force.
///
/// Checks for a suspension first: the ages of confirmations don't include it.
pub fn proof(shared: &Shared) -> Proof {
    shared.is_resuming();
    let age = confirmation_age(shared);
    let bounds = shared.bounds.borrow();
    let has_accounts =
        shared.declarations().is_some_and(|declared| declared.accounts.is_some());
    let bound = bounds.revocation().filter(|_| has_accounts);
    Proof {
        keys: bound.map_or(ProofState::Current, |bound| bound.state(age)),
        is_current: age.is_some_and(|age| age < bounds.apply),
    }
}

/// The age of the store's confirmation of the declarations in force; `None` if there is none
/// since a suspension, or if newer declarations have arrived that are not in force yet.
fn confirmation_age(shared: &Shared) -> Option<Duration> {
    let (version, confirmed_at) = {
        let replica = shared.tables.declarations.replica();
        (replica.version()?, replica.confirmed_at()?)
    };
    let is_applied = *shared.applied_version.borrow() >= version;
    is_applied.then(|| shared.now().saturating_duration_since(confirmed_at))
}

/// Takes a proof; waits for a confirmation if there is none, as after a suspension.
pub async fn wait_for_proof(shared: &Shared) -> Proof {
    let lacks_confirmation = || {
        proof(shared).keys == ProofState::Expired && confirmation_age(shared).is_none()
    };
    if lacks_confirmation() {
        let confirmed = async {
            while lacks_confirmation() {
                sleep(CONFIRMATION_POLL).await;
            }
        };
        // Without a confirmation, the request is refused.
        let _ = timeout(CONFIRMATION_WAIT, confirmed).await;
    }
    proof(shared)
}

/// Finds the account that sent a request; `None` if the route needs no key.
pub fn authenticate(
    shared: &Arc<Shared>,
    declared: &Declarations,
    route: &Route,
    call: &Call,
    proof: Proof,
) -> Result<Option<AccountKey>, Refusal> {
    let Some(accounts) = declared.accounts.as_ref().filter(|_| !route.public) else {
        return Ok(None);
    };
    if proof.keys == ProofState::Expired {
        return Err(unconfirmed(shared));
    }
    let digest = match call.credential {
        Credential::Key(digest) => digest,
        Credential::Missing => {
            let message =
                "the request has no key; send it as `Authorization: Bearer KEY`";
            return Err(Refusal::not_run(RefusalCode::Unauthorised, message));
        }
        Credential::Invalid(error) => {
            let message = error.to_string();
            return Err(Refusal::not_run(RefusalCode::Unauthorised, message));
        }
    };
    match accounts.authenticate(&digest) {
        Some(key) => Ok(Some(key)),
        // The key may have been added by newer declarations.
        None if !proof.is_current => Err(unconfirmed(shared)),
        None => {
            let age = shared.tables.declarations.age(shared.now());
            info!(shared.log, "key unknown"; "id" => call.id.as_deref().unwrap_or("-"),
                "key" => digest.fingerprint(), "revision" => declared.revision.0,
                "age_ms" => age.map(|age| age.as_millis() as u64));
            let message = "the key is unknown; send one of a declared account";
            Err(Refusal::not_run(RefusalCode::Unauthorised, message))
        }
    }
}

/// On whose behalf servers run a request of an account.
pub fn caller(declared: &Declarations, account: Option<AccountKey>) -> Caller {
    match (&declared.accounts, account) {
        (None, _) => Caller::Unchecked,
        (Some(_), None) => Caller::Public,
        (Some(accounts), Some(key)) => Caller::Account(accounts.get(key).0.clone()),
    }
}

/// The name of a request's account, for logs; "-" if it has none.
pub fn account_name(declared: &Declarations, account: Option<AccountKey>) -> &str {
    let accounts = declared.accounts.as_ref();
    let name = accounts.zip(account).map(|(accounts, key)| accounts.get(key).0);
    name.map_or("-", CallerName::as_str)
}

/// The refusal by a daemon whose declarations are too old to decide.
///
/// If the daemon hears others, they lack confirmations as well, or they would have passed
/// them on.
pub fn unconfirmed(shared: &Shared) -> Refusal {
    let now = shared.now();
    let last_received_at = |member| shared.peers.last_received_at(member);
    let is_cut_off =
        shared.neighbours().is_cut_off(last_received_at, HEARTBEAT_TIMEOUT, now);
    let delay = if is_cut_off { Duration::ZERO } else { OUTAGE_RETRY_DELAY };
    let message = "the daemon can't confirm its declarations; use another address";
    Refusal::not_run(RefusalCode::Leaving, message).with_retry_after(delay)
}
