//! What askers are told who get no answer.

use std::time::Duration;

use chestnut_base::{Outcome, Refusal, RefusalCode};

/// When to come back to a slot whose lead changes; a takeover that was released
/// takes about this long.
const MOVE_WAIT: Duration = Duration::from_millis(300);

/// When to ask again for an id whose answer was not found.
const SEEK_WAIT: Duration = Duration::from_secs(2);

/// The refusal by a daemon that does not lead the slot, or not any more.
///
/// Another daemon may have run the id by now, so that this one can't know.
pub(crate) fn moved() -> Refusal {
    let why = "another daemon takes over the request's slot; send it again with the \
               same key";
    Refusal::in_doubt(RefusalCode::Unavailable, why).with_retry_after(MOVE_WAIT)
}

pub(crate) fn reused() -> Refusal {
    let why = "the idempotency key was used with another body; use a new key";
    Refusal::not_run(RefusalCode::IdReused, why)
}

pub(crate) fn in_doubt() -> Refusal {
    let why = "the request was started and its answer is not known; it will not be run \
               again; ask for its outcome with GET /v1/requests/KEY";
    Refusal::in_doubt(RefusalCode::Started, why).with_retry_after(SEEK_WAIT)
}

pub(crate) fn unkept() -> Refusal {
    let why = "the request ran and its answer can't be read now; ask for it with \
               GET /v1/requests/KEY";
    Refusal::new(Outcome::Ran, RefusalCode::Started, why)
}
