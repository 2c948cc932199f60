//! Drives one request through its attempts until it has one answer.
//!
//! Each attempt has its own stream of frames, so that a late answer of an
//! attempt that was given up has no way to reach the caller. Tokens carry their
//! number in the whole answer: a later attempt must go on exactly where the
//! caller's copy ends, else it counts as broken.

use std::time::{Duration, Instant};

use chestnut_base::{
    AttemptId, Outcome, Refusal, RefusalCode, RequestSpec, ServerName, Target,
};
use chestnut_route::retry::MAX_REJECTED_OFFERS;
use chestnut_wire::{
    AttemptRequest, HttpCall, PeerRequest, PeerResponse, ResumePoint, RetryHint,
};
use std::sync::Arc;
use tokio::sync::mpsc;

use crate::lead;
use crate::node::Node;
use crate::peer::{PeerError, ResponseStream};
use crate::pick::{AttemptFeedback, SelectedServer};

/// The greatest number of backend servers that are asked for one request.
///
/// Refusals cost a hop each; after this many the pool is full in all likelihood.
const ATTEMPTS: usize = 6;

/// How long a request waits for a lead to be found before it is refused.
///
/// While a claim changes hands nobody leads the backend server for a moment: the
/// new holder learns of a planned handover within some milliseconds and the other
/// daemons at their next poll. Without the wait each rolling restart refuses
/// requests for models with one replica. After a kill the claim is free only when
/// the lease has lapsed, which is longer; then the caller is told when to return.
const SETTLE: Duration = Duration::from_millis(1200);

/// The pause before daemons and backend servers are looked at again.
const PAUSE: Duration = Duration::from_millis(50);

/// The pause before the rest of a broken answer is asked for again.
const HALF_PAUSE: Duration = Duration::from_millis(200);

/// When a caller whose request found no answer by its deadline may come back.
const LATE_RETURN: Duration = Duration::from_secs(2);

const FRAMES_AHEAD: usize = 64;

/// How often a request may be handed to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchMode {
    /// Again after a broken attempt, for idempotent requests.
    Repeatable,
    /// Never again once an attempt may have reached a backend server.
    ///
    /// All its attempts carry this number, so that whoever takes the request's
    /// journal over can ask an engine for the answer.
    AtMostOnce(AttemptId),
}

/// Drives a request and sends the frames of its answer, ending with
/// [`PeerResponse::End`] or [`PeerResponse::Refused`].
pub async fn run(
    node: &Arc<Node>,
    work: RequestSpec,
    call: HttpCall,
    mode: DispatchMode,
    out: mpsc::Sender<PeerResponse>,
) {
    let end = node.shared.clock.now() + work.budget;
    let relay = Relay {
        node,
        work,
        call,
        mode,
        out,
        end,
        tried: Vec::new(),
        sent: false,
        begun: false,
        have: ResumePoint { tokens: 0, text: String::new() },
        suspect: false,
    };
    relay.drive().await;
}

/// The state of one request between its attempts.
struct Relay<'a> {
    node: &'a Arc<Node>,
    work: RequestSpec,
    call: HttpCall,
    mode: DispatchMode,
    out: mpsc::Sender<PeerResponse>,
    /// When the answer must be whole.
    end: Instant,
    /// Backend servers that refused or failed.
    tried: Vec<ServerName>,
    /// Whether any attempt may have run at a backend server.
    ///
    /// Set when an attempt is dispatched; taken back only if its lead says that
    /// the backend server refused it before running it.
    sent: bool,
    /// Whether the caller has bytes that can't be taken back or resumed.
    begun: bool,
    /// The tokens that the caller has.
    have: ResumePoint,
    /// Whether a backend server crashed under an attempt.
    suspect: bool,
}

/// What comes after an attempt.
enum Next {
    /// The caller has its answer or went away.
    Done,
    /// Another backend server may take it; this one did not.
    Elsewhere(Refusal),
    /// The attempt may have run and broke off.
    Broken(String),
    /// The attempt gave way to urgent work and is to go on from where it is.
    Preempted,
}

impl Relay<'_> {
    async fn drive(mut self) {
        let settled = self.node.shared.clock.now() + SETTLE.min(self.work.budget);
        let mut broken = 0;
        let refusal = loop {
            let refusal = match self.round(&mut broken).await {
                Some(refusal) => refusal,
                None => return,
            };
            let now = self.node.shared.clock.now();
            // Half an answer is of no use to anyone: it waits for its deadline, also
            // when the other backend servers are full.
            let half = self.have.tokens > 0;
            let (until, pause) =
                if half { (self.end, HALF_PAUSE) } else { (settled, PAUSE) };
            let passing = is_passing(refusal.code) || half && !refusal.code.is_final();
            if !passing || !self.may_wait() || now >= until {
                break refusal;
            }
            tokio::time::sleep(pause).await;
            self.tried.clear();
        };
        self.refuse(refusal).await;
    }

    /// Asks one backend server after the other; nothing if the caller is served.
    async fn round(&mut self, broken: &mut usize) -> Option<Refusal> {
        self.choose_version();
        let mut last = None;
        let mut full = 0;
        while self.tried.len() < ATTEMPTS {
            let picker = &self.node.picker;
            let choice = match picker.pick(&self.node.shared, &self.work, &self.tried) {
                Ok(choice) => choice,
                Err(refusal) => return last.or(Some(refusal)),
            };
            self.tried.push(choice.server.clone());
            let refusal = match self.attempt(&choice).await {
                Next::Done => return None,
                Next::Elsewhere(refusal) => {
                    full += usize::from(is_full(refusal.code));
                    if full >= MAX_REJECTED_OFFERS {
                        return Some(refusal);
                    }
                    refusal
                }
                Next::Preempted => {
                    // Nothing failed: every backend server may be asked again.
                    self.tried.clear();
                    continue;
                }
                Next::Broken(why) => {
                    *broken += 1;
                    let now = self.node.shared.clock.now();
                    if let Err(refusal) = self.node.poison.check(self.work.digest, now) {
                        return Some(refusal);
                    }
                    let refusal = broke_off(&why);
                    if !self.may_try_again(*broken) {
                        return Some(refusal);
                    }
                    refusal
                }
            };
            last = Some(refusal);
            if self.node.shared.clock.now() >= self.end {
                break;
            }
        }
        last.or_else(|| Some(broke_off("no attempt was possible")))
    }

    /// Whether a further attempt later is safe.
    fn may_wait(&self) -> bool {
        match self.mode {
            DispatchMode::Repeatable => !self.begun,
            DispatchMode::AtMostOnce(_) => !self.sent,
        }
    }

    /// Chooses the version that can be served while the declared one is loaded.
    ///
    /// Not once the caller has tokens: another version goes on otherwise.
    fn choose_version(&mut self) {
        let Target::Model { model, version, adapter } = &mut self.work.target else {
            return;
        };
        let catalog = self.node.shared.catalog();
        let Some(declared) = catalog.models.get(model) else { return };
        if self.have.tokens == 0 {
            let residence = self.node.shared.residence();
            *version =
                residence.servable_version(model, &declared.version, adapter.as_ref());
        }
    }

    /// Whether an attempt that may have run may be followed by another.
    fn may_try_again(&self, broken: usize) -> bool {
        self.mode == DispatchMode::Repeatable
            && !self.begun
            && broken < ATTEMPTS
            && self.node.picker.try_withdraw_retry(&self.node.shared)
    }

    async fn attempt(&mut self, choice: &SelectedServer) -> Next {
        let now = self.node.shared.clock.now();
        let mut work = self.work.clone();
        work.budget = self.end.saturating_duration_since(now);
        let resume = (self.have.tokens > 0).then(|| self.have.clone());
        let run = AttemptRequest {
            attempt: self.number(),
            server: choice.server.clone(),
            fence: choice.fence,
            request: work,
            call: self.call.clone(),
            resume,
            suspect: self.suspect,
        };
        let mut frames = match self.open(choice, run).await {
            Ok(frames) => frames,
            Err(PeerError::NotSent(why)) => {
                self.node.picker.record(&choice.server, AttemptFeedback::Unreachable);
                return Next::Elsewhere(unreachable(&why));
            }
            Err(PeerError::ResponseLost(why)) => return self.lost(choice, why),
        };
        self.forward(choice, &mut frames).await
    }

    fn number(&self) -> AttemptId {
        match self.mode {
            DispatchMode::Repeatable => self.node.shared.attempt(),
            DispatchMode::AtMostOnce(attempt) => attempt,
        }
    }

    /// Hands the attempt to the lead, which may be this daemon itself.
    async fn open(
        &self,
        choice: &SelectedServer,
        run: AttemptRequest,
    ) -> Result<Frames, PeerError> {
        if choice.lead == self.node.shared.me {
            let (out, frames) = mpsc::channel(FRAMES_AHEAD);
            let node = self.node.clone();
            tokio::spawn(async move { lead::serve(&node, run, out).await });
            return Ok(Frames::Own(frames));
        }
        let answer = self
            .node
            .peers
            .request_stream(choice.lead_addr, &PeerRequest::Run(run))
            .await?;
        Ok(Frames::Peer(answer))
    }

    async fn forward(&mut self, choice: &SelectedServer, frames: &mut Frames) -> Next {
        let before = self.sent;
        loop {
            let say = tokio::select! {
                say = frames.next() => say,
                () = self.late() => return self.give_up().await,
                () = self.out.closed() => return Next::Done,
            };
            let say = match say {
                Ok(say) => say,
                Err(why) => return self.lost(choice, why),
            };
            match say {
                PeerResponse::Heartbeat | PeerResponse::Queued => {}
                PeerResponse::Dispatched => self.sent = true,
                PeerResponse::Tokens { first, count, text } => {
                    if first != self.have.tokens {
                        let why = format!("token {first} after {}", self.have.tokens);
                        return Next::Broken(why);
                    }
                    self.have.tokens += count;
                    self.have.text.push_str(&text);
                    self.node
                        .picker
                        .record(&choice.server, AttemptFeedback::Tokens(count));
                    if self
                        .send(PeerResponse::Tokens { first, count, text })
                        .await
                        .is_none()
                    {
                        return Next::Done;
                    }
                }
                PeerResponse::Head { .. } | PeerResponse::Chunk(_) => {
                    self.begun = true;
                    if self.send(say).await.is_none() {
                        return Next::Done;
                    }
                }
                PeerResponse::End { load, .. } => {
                    self.node.picker.record(&choice.server, AttemptFeedback::Load(load));
                    self.send(say).await;
                    return Next::Done;
                }
                PeerResponse::Refused { refusal, hint } => {
                    if refusal.outcome == Outcome::NotRun {
                        self.sent = before;
                    }
                    return self.refused(choice, refusal, hint).await;
                }
                PeerResponse::Preempted { load } => {
                    self.node.picker.record(&choice.server, AttemptFeedback::Load(load));
                    return Next::Preempted;
                }
                PeerResponse::Broken { message, crashed } => {
                    self.suspect |= crashed;
                    self.node
                        .picker
                        .record(&choice.server, AttemptFeedback::Failed { crashed });
                    return Next::Broken(message);
                }
                PeerResponse::Once(_)
                | PeerResponse::Config(_)
                | PeerResponse::Status(_)
                | PeerResponse::Acknowledged => {
                    return Next::Broken("an answer to another question".into());
                }
            }
        }
    }

    /// Ends at the deadline, unless the answer has begun or must not be cut off.
    ///
    /// A backend server that took the request and never answers would keep its
    /// caller waiting for good. An answer that has begun goes on: half of it would
    /// be worth nothing.
    async fn late(&self) {
        if self.begun || self.have.tokens > 0 || self.mode != DispatchMode::Repeatable {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep_until(self.end.into()).await;
    }

    async fn give_up(&mut self) -> Next {
        let text = "no answer came by the deadline; allow more time";
        let refusal =
            Refusal::not_run(RefusalCode::Deadline, text).with_retry_after(LATE_RETURN);
        self.refuse(refusal).await;
        Next::Done
    }

    async fn refused(
        &mut self,
        choice: &SelectedServer,
        refusal: Refusal,
        hint: RetryHint,
    ) -> Next {
        self.node.picker.record(&choice.server, AttemptFeedback::Refused);
        if let Some(load) = hint.load {
            self.node.picker.record(&choice.server, AttemptFeedback::Load(load));
        }
        if hint.try_other_server {
            return Next::Elsewhere(refusal);
        }
        self.refuse(refusal).await;
        Next::Done
    }

    /// The lead did not say how the attempt ended; it may have run.
    fn lost(&mut self, choice: &SelectedServer, why: String) -> Next {
        self.sent = true;
        self.node.peers.disconnect(choice.lead_addr);
        self.node.picker.record(&choice.server, AttemptFeedback::Unreachable);
        Next::Broken(why)
    }

    /// Gives the caller its final refusal, never claiming more than is known.
    async fn refuse(&mut self, mut refusal: Refusal) {
        if self.sent && refusal.outcome == Outcome::NotRun {
            refusal.outcome = Outcome::InDoubt;
        }
        self.send(PeerResponse::Refused { refusal, hint: RetryHint::default() }).await;
    }

    async fn send(&self, say: PeerResponse) -> Option<()> {
        self.out.send(say).await.ok()
    }
}

/// The frames of one attempt.
enum Frames {
    /// From a backend server that this daemon leads.
    Own(mpsc::Receiver<PeerResponse>),
    /// From another daemon.
    Peer(ResponseStream),
}

impl Frames {
    async fn next(&mut self) -> Result<PeerResponse, String> {
        match self {
            Self::Own(frames) => {
                frames.recv().await.ok_or_else(|| "the lead stopped".to_owned())
            }
            Self::Peer(answer) => answer.next().await.map_err(|error| error.to_string()),
        }
    }
}

/// Whether a lead refused for want of room in time.
fn is_full(code: RefusalCode) -> bool {
    matches!(
        code,
        RefusalCode::Deadline | RefusalCode::Overloaded | RefusalCode::CallerLimit
    )
}

/// Whether the cause of a refusal may be gone in a moment.
fn is_passing(code: RefusalCode) -> bool {
    matches!(code, RefusalCode::Unavailable | RefusalCode::NotResident)
}

fn broke_off(why: &str) -> Refusal {
    let text = format!("the backend server broke off ({why}); send the request again");
    Refusal::in_doubt(RefusalCode::Broken, text).with_retry_after(Duration::from_secs(1))
}

fn unreachable(why: &str) -> Refusal {
    let text = format!("no daemon that leads a backend server answers ({why}); wait");
    Refusal::not_run(RefusalCode::Unavailable, text)
        .with_retry_after(Duration::from_secs(1))
}
