//! Refusals of requests that get no response from the journal.

use std::time::Duration;

use chestnut_base::{Outcome, Refusal, RefusalCode};

/// Retry delay while a slot moves to another daemon; the takeover of a released
/// slot takes about this long.
const SLOT_MOVE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Retry delay while the start of another request with the same key is being recorded.
const KEY_CONTENTION_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Retry delay for an id whose response was not found.
const IN_DOUBT_RETRY_DELAY: Duration = Duration::from_secs(2);

/// For requests to a daemon that doesn't hold the slot, or no longer holds it.
///
/// Another daemon may have run the id, so the outcome is in doubt.
pub(crate) fn slot_moving() -> Refusal {
    let message = "another daemon is taking over the request's slot; send it again with \
                   the same key";
    Refusal::in_doubt(RefusalCode::Unavailable, message)
        .with_retry_after(SLOT_MOVE_RETRY_DELAY)
}

pub(crate) fn key_reused() -> Refusal {
    let message = "the idempotency key was used with another body; use a new key";
    Refusal::not_run(RefusalCode::IdReused, message)
}

/// For a request whose key was just sent with another body, whose start is not recorded.
pub(crate) fn key_contended() -> Refusal {
    let message = "the idempotency key was just used with another body, and it is not known \
                   yet which of them was started; send the request again with the same key";
    Refusal::in_doubt(RefusalCode::Unavailable, message)
        .with_retry_after(KEY_CONTENTION_RETRY_DELAY)
}

pub(crate) fn in_doubt() -> Refusal {
    let message = "the request was started and its response is not known; it will not be \
                   run again; query its outcome with GET /v1/requests/KEY";
    Refusal::in_doubt(RefusalCode::Started, message)
        .with_retry_after(IN_DOUBT_RETRY_DELAY)
}

pub(crate) fn response_unreadable() -> Refusal {
    let message = "the request ran and its response can't be read now; query it with \
                   GET /v1/requests/KEY";
    Refusal::new(Outcome::Ran, RefusalCode::Started, message)
}
