//! Charges requests to the limits of their client accounts.
//!
//! A limit is divided into slices, each held by one daemon. A request is charged to one
//! slice; if that is empty or its holder does not respond, to another. Beyond the limit the
//! request is refused at once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnut_account::{ChargeId, Choice, Limit, Slice, Verdict};
use chestnut_base::{CallerName, MemberId, Refusal, RefusalCode};
use chestnut_member::ClaimKey;
use slog::info;
use tokio::time::{sleep, timeout};

use crate::account_slices;
use crate::job::Job;
use crate::message::Message;
use crate::metrics::{Span, Step};
use crate::shared::Shared;

/// How long a slice's holder may take to respond.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(20);

/// How often a charge is sent to a holder that does not respond.
const MAX_SENDS: usize = 2;

/// How long a request waits while slices have no holder or none responds, as a fraction of
/// its objective, and at most.
const HOLDER_WAIT: (f64, Duration) = (0.5, Duration::from_millis(600));

/// The delay before the slices are asked again while no holder responds.
const RETRY_PERIOD: Duration = Duration::from_millis(40);

/// The retry delay for callers while no holder of their account's slices responds.
const SILENT_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The shortest retry delay for callers beyond their limit.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A charge that was granted.
#[derive(Debug, Clone)]
pub struct Charge {
    number: u64,
    slice: Slice,
    /// The daemon that granted it.
    holder: (MemberId, SocketAddr),
}

/// Charges a request to its account's limit; `None` if it has none.
pub async fn charge(job: &Job) -> Result<Option<Charge>, Refusal> {
    let Some((account, limit)) = limit_of(job) else { return Ok(None) };
    let shared = &job.shared;
    let started = shared.now();
    let cost = limit.cost(job.call.counted_tokens());
    let (fraction, longest) = HOLDER_WAIT;
    let wait = job.route().objective.mul_f64(fraction).min(longest);
    let result = loop {
        match try_slices(job, &account, &limit, cost).await {
            Outcome::Unavailable if shared.now() < started + wait => {
                sleep(RETRY_PERIOD).await;
            }
            outcome => break outcome,
        }
    };
    let waited = shared.now().saturating_duration_since(started);
    shared.metrics.observe(Span::Charge, waited);
    shared.metrics.count_charge(account.as_str(), result.label());
    match result {
        Outcome::Granted(charge) => Ok(Some(charge)),
        Outcome::Beyond(delay) => Err(beyond_limit(&account, delay)),
        Outcome::Unavailable => Err(unavailable()),
    }
}

/// Gives back the cost of a charge whose request was not sent to any server.
pub fn refund(shared: &Arc<Shared>, charge: Charge) {
    let Charge { number, slice, holder: (member, addr) } = charge;
    if member == shared.peers.me {
        account_slices::refund(shared, ChargeId { member, number }, &slice);
    } else {
        shared.peers.send(addr, Message::ChargeRefund { number, slice });
    }
}

/// The account of a request and its limit; `None` if there is no limit.
fn limit_of(job: &Job) -> Option<(CallerName, Limit)> {
    let accounts = job.declarations.accounts.as_ref()?;
    let (name, account) = accounts.get(job.account?);
    Some((name.clone(), account.limit?))
}

/// The outcome of a charge.
enum Outcome {
    Granted(Charge),
    /// The account is beyond its limit; when the caller may return.
    Beyond(Duration),
    /// Slices have no holder, as after a restart of all daemons, or none responds.
    Unavailable,
}

impl Outcome {
    /// The label in metrics.
    fn label(&self) -> &'static str {
        match self {
            Self::Granted(_) => "granted",
            Self::Beyond(_) => "refused",
            Self::Unavailable => "unavailable",
        }
    }
}

/// Asks the holders of the account's slices, one after the other.
async fn try_slices(
    job: &Job,
    account: &CallerName,
    limit: &Limit,
    cost: f64,
) -> Outcome {
    let shared = &job.shared;
    let (count, first) = (limit.slice_count(), rand::random());
    let choose = || shared.slice_chooser().choose(account, count, first, shared.now());
    let choice = choose();
    let asked = match &choice {
        Choice::Ask(slices) => slices.as_slice(),
        Choice::Empty(_) | Choice::Silent => &[],
    };
    let mut has_unheld = false;
    for index in asked {
        let slice = Slice { account: account.clone(), index: *index };
        let Some(holder) = holder(shared, &slice) else {
            has_unheld = true;
            continue;
        };
        match ask(shared, &slice, holder, cost).await {
            Some((number, Verdict::Granted)) => {
                info!(shared.log, "request charged"; "id" => job.id(),
                    "account" => account.as_str(), "slice" => index, "cost" => cost,
                    "holder" => holder.0.to_string());
                return Outcome::Granted(Charge { number, slice, holder });
            }
            Some((_, Verdict::Refused { retry_ms, empty_ms })) => {
                info!(shared.log, "charge refused"; "id" => job.id(),
                    "account" => account.as_str(), "slice" => index, "cost" => cost,
                    "holder" => holder.0.to_string(), "empty_ms" => empty_ms,
                    "retry_ms" => retry_ms);
                let millis = |millis: u32| Duration::from_millis(millis.into());
                let (empty, retry) = (millis(empty_ms), millis(retry_ms));
                let mut chooser = shared.slice_chooser();
                chooser.record_refusal(slice, empty, retry, shared.now());
            }
            Some((_, Verdict::NotHolder)) | None => {
                shared.slice_chooser().record_silence(slice, shared.now());
            }
        }
    }
    match choose() {
        Choice::Empty(delay) if !has_unheld => Outcome::Beyond(delay),
        Choice::Empty(_) | Choice::Ask(_) | Choice::Silent => Outcome::Unavailable,
    }
}

/// The daemon that holds a slice, and where it receives datagrams.
fn holder(shared: &Shared, slice: &Slice) -> Option<(MemberId, SocketAddr)> {
    let key = ClaimKey::AccountSlice(slice.account.clone(), slice.index);
    let membership = shared.membership();
    let (claim, _) = membership.claims.get(&key)?;
    let row = membership.member_row(claim.holder?)?;
    Some((row.member, row.peer_addr))
}

/// Asks a slice's holder to charge a request; `None` if it does not respond.
async fn ask(
    shared: &Arc<Shared>,
    slice: &Slice,
    (member, addr): (MemberId, SocketAddr),
    cost: f64,
) -> Option<(u64, Verdict)> {
    let (number, mut receiver) = shared.peers.open_request();
    if member == shared.peers.me {
        let id = ChargeId { member, number };
        return Some((number, account_slices::charge(shared, id, slice, cost)));
    }
    for _ in 0..MAX_SENDS {
        let slice = slice.clone();
        shared.peers.send(addr, Message::ChargeRequest { number, slice, cost });
        if let Ok(Some(Message::ChargeResponse { verdict, .. })) =
            timeout(RESPONSE_TIMEOUT, receiver.recv()).await
        {
            return Some((number, verdict));
        }
    }
    shared.metrics.count(Step::Charge, "silent");
    // It may have been charged, and the response lost.
    shared.peers.send(addr, Message::ChargeRefund { number, slice: slice.clone() });
    None
}

fn beyond_limit(account: &CallerName, delay: Duration) -> Refusal {
    let message = format!(
        "the account {account} has used up its limit; retry after the given delay"
    );
    Refusal::not_run(RefusalCode::AccountLimit, message)
        .with_retry_after(delay.max(MIN_RETRY_DELAY))
}

fn unavailable() -> Refusal {
    let message =
        "no daemon can check the account's limit now; retry after the given delay";
    Refusal::not_run(RefusalCode::Unavailable, message)
        .with_retry_after(SILENT_RETRY_DELAY)
}
