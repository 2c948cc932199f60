//! Runs a request in one or more attempts until the caller has one complete response.
//!
//! Each attempt has its own stream of frames, so that a late response of an abandoned
//! attempt can't reach the caller. Tokens carry their index in the response: a later
//! attempt must continue exactly after the last token that the caller received, otherwise
//! it counts as interrupted.

use std::time::{Duration, Instant};

use chestnut_base::{
    AttemptId, Outcome, Refusal, RefusalCode, RequestSpec, ServerName, Target,
};
use chestnut_route::retry::MAX_REJECTED_OFFERS;
use chestnut_wire::{
    AttemptRequest, HttpCall, PeerRequest, PeerResponse, ResumePoint, RetryHint,
};
use slog::warn;
use std::sync::Arc;
use tokio::sync::mpsc;

use crate::lead;
use crate::node::Node;
use crate::peer::{PeerError, ResponseStream};
use crate::pick::{AttemptFeedback, SelectedServer};

/// The maximum number of backend servers that are tried for a request without a delay in
/// between, and the number of interrupted attempts after which it is not retried.
///
/// Each refusal costs a network hop; after this many the pool is most likely full.
const MAX_ATTEMPTS: usize = 6;

/// How long a request waits for a backend server with a lead before it is refused.
///
/// During a handover of its claim the backend server briefly has no lead: the new holder
/// learns of a planned handover within some milliseconds, the other daemons at their next
/// poll. Without the wait, each rolling restart refuses requests for models with one
/// replica. After a crash the claim is free only once the lease has expired, which takes
/// longer; the caller then gets a `Retry-After`.
const LEAD_WAIT_LIMIT: Duration = Duration::from_millis(1200);

/// The delay before the backend servers are tried again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// The delay before another attempt to resume a partial response.
const RESUME_RETRY_DELAY: Duration = Duration::from_millis(200);

/// The `Retry-After` of a request that got no response by its deadline.
const DEADLINE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Frames of an attempt that may be buffered ahead of the caller.
const FRAME_BUFFER: usize = 64;

/// How often a request may be sent to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchMode {
    /// Any number of times, also after an interrupted attempt; for idempotent requests.
    Repeatable,
    /// Not again once an attempt may have reached one.
    ///
    /// All attempts carry this id, so that a daemon that takes over the request's journal
    /// slot can query the engine for the response.
    AtMostOnce(AttemptId),
}

/// Runs a request and sends the frames of its response, ending with
/// [`PeerResponse::End`] or [`PeerResponse::Refused`].
pub async fn run(
    node: &Arc<Node>,
    request: RequestSpec,
    call: HttpCall,
    dispatch_mode: DispatchMode,
    out: mpsc::Sender<PeerResponse>,
) {
    let deadline = node.shared.clock.now() + request.budget;
    let relay = RequestRelay {
        node,
        request,
        call,
        dispatch_mode,
        out,
        deadline,
        tried: Vec::new(),
        may_have_run: false,
        raw_output_sent: false,
        received: ResumePoint { tokens: 0, text: String::new() },
        suspect: false,
    };
    relay.drive().await;
}

/// The state of one request across its attempts.
struct RequestRelay<'a> {
    node: &'a Arc<Node>,
    request: RequestSpec,
    call: HttpCall,
    dispatch_mode: DispatchMode,
    out: mpsc::Sender<PeerResponse>,
    /// When the response must be complete.
    deadline: Instant,
    /// Backend servers that were tried since the last delay or preemption.
    tried: Vec<ServerName>,
    /// Whether any attempt may have run at a backend server.
    ///
    /// Set when an attempt is dispatched; restored only if its lead reports that the
    /// backend server refused the attempt before running it.
    may_have_run: bool,
    /// Whether the caller has received output of a plain service, which can't be resumed.
    raw_output_sent: bool,
    /// The tokens that the caller has received.
    received: ResumePoint,
    /// Whether a backend server crashed during an attempt.
    suspect: bool,
}

/// How an attempt ended.
enum AttemptOutcome {
    /// The caller got its response or disconnected.
    Finished,
    /// The attempt did not run; another backend server may accept it.
    Declined(Refusal),
    /// The attempt may have run, and its response was interrupted.
    Interrupted(String),
    /// The attempt was preempted by urgent requests and is to be resumed.
    Preempted,
}

impl RequestRelay<'_> {
    async fn drive(mut self) {
        let lead_deadline =
            self.node.shared.clock.now() + LEAD_WAIT_LIMIT.min(self.request.budget);
        let mut interruptions = 0;
        let refusal = loop {
            let refusal = match self.try_servers(&mut interruptions).await {
                Some(refusal) => refusal,
                None => return,
            };
            let now = self.node.shared.clock.now();
            // A partial response is of no use to the caller, so that it is retried until
            // the deadline, also when the other backend servers are full.
            let partial = self.received.tokens > 0;
            let (until, delay) = if partial {
                (self.deadline, RESUME_RETRY_DELAY)
            } else {
                (lead_deadline, RETRY_DELAY)
            };
            let retryable =
                is_transient(refusal.code) || partial && !refusal.code.is_permanent();
            if !retryable || !self.may_retry_later() || now >= until {
                break refusal;
            }
            tokio::time::sleep(delay).await;
            self.tried.clear();
        };
        self.send_refusal(refusal).await;
    }

    /// Tries one backend server after the other; `None` if the caller got its response or
    /// disconnected.
    async fn try_servers(&mut self, interruptions: &mut usize) -> Option<Refusal> {
        self.resolve_version();
        let mut last_refusal = None;
        let mut capacity_refusals = 0;
        while self.tried.len() < MAX_ATTEMPTS {
            let picker = &self.node.picker;
            let selected =
                match picker.pick(&self.node.shared, &self.request, &self.tried) {
                    Ok(selected) => selected,
                    Err(refusal) => return last_refusal.or(Some(refusal)),
                };
            self.tried.push(selected.server.clone());
            let refusal = match self.attempt(&selected).await {
                AttemptOutcome::Finished => return None,
                AttemptOutcome::Declined(refusal) => {
                    capacity_refusals += usize::from(is_capacity_refusal(refusal.code));
                    if capacity_refusals >= MAX_REJECTED_OFFERS {
                        return Some(refusal);
                    }
                    refusal
                }
                AttemptOutcome::Preempted => {
                    // Nothing failed: every backend server may be tried again.
                    self.tried.clear();
                    continue;
                }
                AttemptOutcome::Interrupted(reason) => {
                    *interruptions += 1;
                    self.log_interruption(&selected, &reason);
                    let now = self.node.shared.clock.now();
                    if let Err(refusal) = self.node.poison.check(self.request.digest, now)
                    {
                        return Some(refusal);
                    }
                    let refusal = interrupted(&reason);
                    if !self.may_retry_now(*interruptions) {
                        return Some(refusal);
                    }
                    refusal
                }
            };
            last_refusal = Some(refusal);
            if self.node.shared.clock.now() >= self.deadline {
                break;
            }
        }
        last_refusal.or_else(|| Some(interrupted("no attempt was possible")))
    }

    fn log_interruption(&self, selected: &SelectedServer, reason: &str) {
        let id = self.request.id.as_ref().map_or("-", |id| id.key.as_str());
        let attempt = match self.dispatch_mode {
            DispatchMode::Repeatable => None,
            DispatchMode::AtMostOnce(attempt) => Some(attempt.to_string()),
        };
        warn!(self.node.shared.log, "attempt interrupted"; "id" => id, "attempt" => attempt,
            "server" => selected.server.as_str(), "lead" => selected.lead.to_string(),
            "why" => reason, "tokens" => self.received.tokens,
            "may_have_run" => self.may_have_run);
    }

    /// Whether another attempt after a delay is safe.
    fn may_retry_later(&self) -> bool {
        match self.dispatch_mode {
            DispatchMode::Repeatable => !self.raw_output_sent,
            DispatchMode::AtMostOnce(_) => !self.may_have_run,
        }
    }

    /// Selects a version that can be served while the declared one is being loaded.
    ///
    /// Keeps the version once the caller has tokens, since another version would continue
    /// them differently.
    fn resolve_version(&mut self) {
        let Target::Model { model, version, adapter } = &mut self.request.target else {
            return;
        };
        let catalog = self.node.shared.catalog();
        let Some(declared) = catalog.models.get(model) else { return };
        if self.received.tokens == 0 {
            let residency = self.node.shared.residency();
            *version =
                residency.servable_version(model, &declared.version, adapter.as_ref());
        }
    }

    /// Whether another attempt may follow an interrupted one; if so, withdraws it from the
    /// retry budget.
    fn may_retry_now(&self, interruptions: usize) -> bool {
        self.dispatch_mode == DispatchMode::Repeatable
            && !self.raw_output_sent
            && interruptions < MAX_ATTEMPTS
            && self.node.picker.try_withdraw_retry(&self.node.shared)
    }

    async fn attempt(&mut self, selected: &SelectedServer) -> AttemptOutcome {
        let now = self.node.shared.clock.now();
        let mut request = self.request.clone();
        request.budget = self.deadline.saturating_duration_since(now);
        let resume = (self.received.tokens > 0).then(|| self.received.clone());
        let attempt_request = AttemptRequest {
            attempt: self.attempt_id(),
            server: selected.server.clone(),
            fence: selected.fence,
            request,
            call: self.call.clone(),
            resume,
            suspect: self.suspect,
        };
        let mut frames = match self.send_to_lead(selected, attempt_request).await {
            Ok(frames) => frames,
            Err(PeerError::NotSent(reason)) => {
                self.node.picker.record(&selected.server, AttemptFeedback::Unreachable);
                return AttemptOutcome::Declined(lead_unreachable(&reason));
            }
            Err(PeerError::ResponseLost(reason)) => {
                return self.connection_lost(selected, reason);
            }
        };
        self.forward_frames(selected, &mut frames).await
    }

    fn attempt_id(&self) -> AttemptId {
        match self.dispatch_mode {
            DispatchMode::Repeatable => self.node.shared.next_attempt_id(),
            DispatchMode::AtMostOnce(attempt) => attempt,
        }
    }

    /// Sends the attempt to the lead, which may be this daemon.
    async fn send_to_lead(
        &self,
        selected: &SelectedServer,
        attempt_request: AttemptRequest,
    ) -> Result<AttemptFrames, PeerError> {
        if selected.lead == self.node.shared.me {
            let (out, frames) = mpsc::channel(FRAME_BUFFER);
            let node = self.node.clone();
            tokio::spawn(async move { lead::serve(&node, attempt_request, out).await });
            return Ok(AttemptFrames::Local(frames));
        }
        let response = self
            .node
            .peers
            .request_stream(selected.lead_addr, &PeerRequest::Run(attempt_request))
            .await?;
        Ok(AttemptFrames::Remote(response))
    }

    async fn forward_frames(
        &mut self,
        selected: &SelectedServer,
        frames: &mut AttemptFrames,
    ) -> AttemptOutcome {
        let may_have_run_before = self.may_have_run;
        loop {
            let frame = tokio::select! {
                frame = frames.next() => frame,
                () = self.deadline_passed() => return self.time_out().await,
                () = self.out.closed() => return AttemptOutcome::Finished,
            };
            let frame = match frame {
                Ok(frame) => frame,
                Err(reason) => return self.connection_lost(selected, reason),
            };
            match frame {
                PeerResponse::Heartbeat | PeerResponse::Queued => {}
                PeerResponse::Dispatched => self.may_have_run = true,
                PeerResponse::Tokens { first, count, text } => {
                    if first != self.received.tokens {
                        let reason = format!(
                            "token {first} arrived instead of {}",
                            self.received.tokens
                        );
                        return AttemptOutcome::Interrupted(reason);
                    }
                    self.received.tokens += count;
                    self.received.text.push_str(&text);
                    self.node
                        .picker
                        .record(&selected.server, AttemptFeedback::Tokens(count));
                    if self
                        .send(PeerResponse::Tokens { first, count, text })
                        .await
                        .is_none()
                    {
                        return AttemptOutcome::Finished;
                    }
                }
                PeerResponse::Head { .. } | PeerResponse::Chunk(_) => {
                    self.raw_output_sent = true;
                    if self.send(frame).await.is_none() {
                        return AttemptOutcome::Finished;
                    }
                }
                PeerResponse::End { load, .. } => {
                    self.node
                        .picker
                        .record(&selected.server, AttemptFeedback::Load(load));
                    self.send(frame).await;
                    return AttemptOutcome::Finished;
                }
                PeerResponse::Refused { refusal, hint } => {
                    if refusal.outcome == Outcome::NotRun {
                        self.may_have_run = may_have_run_before;
                    }
                    return self.handle_refusal(selected, refusal, hint).await;
                }
                PeerResponse::Preempted { load } => {
                    self.node
                        .picker
                        .record(&selected.server, AttemptFeedback::Load(load));
                    return AttemptOutcome::Preempted;
                }
                PeerResponse::Broken { message, crashed } => {
                    self.suspect |= crashed;
                    self.node
                        .picker
                        .record(&selected.server, AttemptFeedback::Failed { crashed });
                    return AttemptOutcome::Interrupted(message);
                }
                PeerResponse::Once(_)
                | PeerResponse::Config(_)
                | PeerResponse::Status(_)
                | PeerResponse::Acknowledged
                | PeerResponse::Charged(_) => {
                    return AttemptOutcome::Interrupted(
                        "the lead sent a response of another type".into(),
                    );
                }
            }
        }
    }

    /// Completes at the deadline, or never if the response has begun or the request may run
    /// only once.
    ///
    /// Without the deadline, a backend server that never responds would keep its caller
    /// waiting forever. A response that has begun continues, since a part of it is useless.
    async fn deadline_passed(&self) {
        if self.raw_output_sent
            || self.received.tokens > 0
            || self.dispatch_mode != DispatchMode::Repeatable
        {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep_until(self.deadline.into()).await;
    }

    async fn time_out(&mut self) -> AttemptOutcome {
        let text = "no response came by the deadline; allow more time";
        let refusal = Refusal::not_run(RefusalCode::Deadline, text)
            .with_retry_after(DEADLINE_RETRY_AFTER);
        self.send_refusal(refusal).await;
        AttemptOutcome::Finished
    }

    async fn handle_refusal(
        &mut self,
        selected: &SelectedServer,
        refusal: Refusal,
        hint: RetryHint,
    ) -> AttemptOutcome {
        self.node.picker.record(&selected.server, AttemptFeedback::Refused);
        if let Some(load) = hint.load {
            self.node.picker.record(&selected.server, AttemptFeedback::Load(load));
        }
        if hint.try_other_server {
            return AttemptOutcome::Declined(refusal);
        }
        self.send_refusal(refusal).await;
        AttemptOutcome::Finished
    }

    /// Records that the lead's response was lost; the attempt may have run.
    fn connection_lost(
        &mut self,
        selected: &SelectedServer,
        reason: String,
    ) -> AttemptOutcome {
        self.may_have_run = true;
        self.node.picker.record(&selected.server, AttemptFeedback::Unreachable);
        AttemptOutcome::Interrupted(reason)
    }

    /// Sends the final refusal; its outcome is in doubt if any attempt may have run.
    async fn send_refusal(&mut self, mut refusal: Refusal) {
        if self.may_have_run && refusal.outcome == Outcome::NotRun {
            refusal.outcome = Outcome::InDoubt;
        }
        self.send(PeerResponse::Refused { refusal, hint: RetryHint::default() }).await;
    }

    async fn send(&self, frame: PeerResponse) -> Option<()> {
        self.out.send(frame).await.ok()
    }
}

/// The frames of one attempt.
enum AttemptFrames {
    /// From this daemon, which leads the backend server.
    Local(mpsc::Receiver<PeerResponse>),
    /// From another daemon, which leads it.
    Remote(ResponseStream),
}

impl AttemptFrames {
    async fn next(&mut self) -> Result<PeerResponse, String> {
        match self {
            Self::Local(frames) => {
                frames.recv().await.ok_or_else(|| "the lead has stopped".to_owned())
            }
            Self::Remote(response) => {
                response.next().await.map_err(|error| error.to_string())
            }
        }
    }
}

/// Whether a lead refused because it lacks capacity within the deadline.
fn is_capacity_refusal(code: RefusalCode) -> bool {
    matches!(
        code,
        RefusalCode::Deadline | RefusalCode::Overloaded | RefusalCode::CallerLimit
    )
}

/// Whether the cause of a refusal may pass within [`LEAD_WAIT_LIMIT`].
fn is_transient(code: RefusalCode) -> bool {
    matches!(code, RefusalCode::Unavailable | RefusalCode::NotResident)
}

fn interrupted(reason: &str) -> Refusal {
    let text = format!(
        "the backend server's response was interrupted ({reason}); send the request again"
    );
    Refusal::in_doubt(RefusalCode::Broken, text).with_retry_after(Duration::from_secs(1))
}

fn lead_unreachable(reason: &str) -> Refusal {
    let text =
        format!("no lead of a backend server can be reached ({reason}); retry later");
    Refusal::not_run(RefusalCode::Unavailable, text)
        .with_retry_after(Duration::from_secs(1))
}
