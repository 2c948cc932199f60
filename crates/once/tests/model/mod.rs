//! A simulation of daemons with journals, a table service and a backend server.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnut_base::{
    AttemptId, CallerName, Digest, MemberId, Outcome, Refusal, RefusalCode, RequestId,
    ServiceName, SlotId, Target,
};
use chestnut_once::{
    Batch, BodyLocation, Effect, Event, Journal, Limits, Record, Recovered, Reply,
    Response, WaiterId,
};
use indexmap::IndexMap;

mod op;
mod platform;

pub use op::{Delivery, Disabled, Op};
use platform::SealResult;

const LEASE_TERM: Duration = Duration::from_secs(6);

const SLOT: SlotId = SlotId(0);
const DAEMONS: usize = 3;

/// A write that takes effect after its sender has timed out.
enum DelayedWrite {
    Batch(Batch),
    Append(u64, LogEntry),
    Trim(u64, LogEntry),
}

/// A position of the slot's log.
#[derive(Debug, Clone, PartialEq, Eq)]
struct LogEntry {
    /// The version of the claim under which it was written.
    claim: u64,
    /// Whether earlier positions don't count.
    trimmed: bool,
    /// Empty for a seal.
    records: Vec<Record>,
}

struct Daemon {
    member: MemberId,
    journal: Journal,
    effects: VecDeque<Effect>,
    lease: Instant,
    /// Whether its calls to the table succeed; those to the object store do in any case.
    table_reachable: bool,
}

#[derive(Debug, Clone)]
struct Run {
    daemon: MemberId,
    id: RequestId,
    digest: Digest,
    attempt: AttemptId,
    dispatched: bool,
    finished: bool,
}

/// A request or a lookup of a caller.
struct Call {
    id: RequestId,
    /// `None` for a lookup.
    digest: Option<Digest>,
    replied: bool,
}

/// The simulated system, which checks every reply to a caller.
pub struct Simulation {
    disabled: Disabled,
    limits: Limits,
    now: Instant,
    daemons: Vec<Daemon>,
    holder: Option<usize>,
    /// The version of the claim's row.
    claim_version: u64,
    /// The last version that the table assigned.
    last_version: u64,
    rows: IndexMap<RequestId, (Record, u64)>,
    delayed: VecDeque<DelayedWrite>,
    /// The slot's log by position.
    log: IndexMap<u64, LogEntry>,
    runs: Vec<Run>,
    /// Indexed by waiter id.
    calls: Vec<Call>,
    last_number: u64,
}

fn id(number: u8) -> RequestId {
    let caller = CallerName::try_from("adenta").expect("a valid name");
    RequestId { caller, key: format!("letter-{number}") }
}

fn digest(number: u8, body: u8) -> Digest {
    Digest::of([[number, body].as_slice()])
}

fn target() -> Target {
    Target::Service { name: ServiceName::try_from("letters").expect("a valid name") }
}

/// The only correct response of a run.
fn response(run: &Run) -> Response {
    Response {
        status: 200,
        content_type: "text/plain".into(),
        tokens: None,
        finish_reason: String::new(),
        body: Bytes::from(format!("{}/{}/{}", run.id.key, run.digest, run.attempt)),
    }
}

impl Simulation {
    pub fn new(disabled: Disabled, max_ids: usize) -> Self {
        let now = Instant::now();
        let limits = Limits { max_ids, max_batch_rows: 4, ..Limits::default() };
        let mut simulation = Self {
            disabled,
            limits,
            now,
            daemons: Vec::new(),
            holder: None,
            claim_version: 0,
            last_version: 1,
            rows: IndexMap::new(),
            delayed: VecDeque::new(),
            log: IndexMap::new(),
            runs: Vec::new(),
            calls: Vec::new(),
            last_number: 0,
        };
        simulation.daemons = (0..DAEMONS).map(|_| simulation.new_daemon()).collect();
        simulation.assign_slot(0);
        simulation
    }

    fn new_daemon(&mut self) -> Daemon {
        self.last_number += 1;
        Daemon {
            member: MemberId(self.last_number),
            // Random in a deployment, so transaction ids of two daemons never meet.
            journal: Journal::new(self.limits, self.last_number << 32, self.now),
            effects: VecDeque::new(),
            lease: self.now,
            table_reachable: true,
        }
    }

    fn assign_slot(&mut self, daemon: usize) {
        self.last_version += 1;
        self.claim_version = self.last_version;
        self.holder = Some(daemon);
        self.refresh_view(daemon);
    }

    fn refresh_view(&mut self, daemon: usize) {
        let never_expires = self.disabled == Disabled::LeaseExpiry;
        let expiry =
            self.now + if never_expires { LEASE_TERM * 1_000_000 } else { LEASE_TERM };
        self.daemons[daemon].lease = self.now + LEASE_TERM;
        self.handle(daemon, Event::LeaseExpiry(expiry));
        if self.holder == Some(daemon) {
            let version = self.claim_version;
            self.handle(daemon, Event::SlotClaimed { slot: SLOT, version });
        } else {
            self.handle(daemon, Event::ClaimLost(SLOT));
        }
    }

    /// Passes an event to a daemon's journal and checks its replies.
    fn handle(&mut self, daemon: usize, event: Event) {
        self.daemons[daemon].journal.handle(event, self.now);
        self.collect_effects(daemon);
    }

    fn collect_effects(&mut self, daemon: usize) {
        while let Some(effect) = self.daemons[daemon].journal.next_effect() {
            match effect {
                Effect::Reply { waiter, reply } => self.check_reply(waiter, reply),
                other => self.daemons[daemon].effects.push_back(other),
            }
        }
    }

    fn check_reply(&mut self, waiter: WaiterId, reply: Reply) {
        let call = &mut self.calls[waiter.0 as usize];
        assert!(!call.replied, "two replies to one call");
        call.replied = true;
        let (id, digest) = (call.id.clone(), call.digest);
        match reply {
            Reply::Running => {}
            Reply::Refused(refusal) => self.check_refusal(&id, digest, &refusal),
            Reply::Response(actual) => {
                let mut runs = self.runs.iter();
                let run =
                    runs.find(|run| run.dispatched && run.id == id).expect("it ran");
                assert_eq!(*actual, response(run), "not the response of the run");
                assert!(
                    digest.is_none_or(|digest| digest == run.digest),
                    "response to another body"
                );
            }
        }
    }

    fn check_refusal(&self, id: &RequestId, digest: Option<Digest>, refusal: &Refusal) {
        let ran = |run: &&Run| {
            run.dispatched
                && run.id == *id
                && digest.is_none_or(|digest| digest == run.digest)
        };
        if refusal.outcome == Outcome::NotRun {
            let run = self.runs.iter().find(ran);
            assert!(run.is_none(), "refused as not run, but it ran: {refusal}");
        }
    }

    pub fn apply(&mut self, op: &Op) {
        match *op {
            Op::Submit { daemon, id: number, body } => {
                self.submit(daemon, number, body);
            }
            Op::Lookup { daemon, id: number } => {
                let waiter = self.add_call(id(number), None);
                self.handle(daemon, Event::Lookup { waiter, slot: SLOT, id: id(number) });
            }
            Op::Step { daemon, delivery } => self.step(daemon, delivery),
            Op::ApplyDelayed => {
                if let Some(write) = self.delayed.pop_front() {
                    self.apply_delayed(write);
                }
            }
            Op::Dispatch { run } => self.with_run(run, false, |simulation, run| {
                simulation.runs[run].dispatched = true;
                let dispatched = simulation.runs[run].clone();
                let same = |other: &&Run| other.dispatched && other.id == dispatched.id;
                let count = simulation.runs.iter().filter(same).count();
                assert!(count <= 1, "{} ran {count} times", dispatched.id.key);
            }),
            Op::Refuse { run } => self.with_run(run, false, |simulation, run| {
                let (id, attempt) = simulation.finish_run(run);
                let refusal = Refusal::not_run(RefusalCode::Overloaded, "full");
                let event = Event::RunRefused { id, attempt, refusal };
                simulation.report_run(run, event);
            }),
            Op::Finish { run, completed } => {
                self.with_run(run, true, |simulation, run| {
                    let (id, attempt) = simulation.finish_run(run);
                    let event = if completed {
                        let response = response(&simulation.runs[run]).into();
                        Event::RunFinished {
                            id,
                            attempt,
                            response,
                            body: simulation.body_location(run),
                        }
                    } else {
                        let refusal = Refusal::in_doubt(RefusalCode::Broken, "broken");
                        Event::RunInterrupted { id, attempt, refusal }
                    };
                    simulation.report_run(run, event);
                })
            }
            Op::Takeover { daemon } => {
                if let Some(former) = self.holder {
                    self.now = self.now.max(self.daemons[former].lease);
                }
                self.assign_slot(daemon);
            }
            Op::Release { daemon } => {
                if let Some(former) = self.holder {
                    self.holder = None;
                    self.refresh_view(former);
                }
                self.assign_slot(daemon);
            }
            Op::RefreshView { daemon } => self.refresh_view(daemon),
            Op::SetTable { daemon, reachable } => {
                self.daemons[daemon].table_reachable = reachable
            }
            Op::Crash { daemon } => self.crash(daemon),
            Op::Advance { millis } => {
                self.now += Duration::from_millis(millis.into());
                for daemon in 0..DAEMONS {
                    self.daemons[daemon].journal.tick(self.now);
                    self.collect_effects(daemon);
                }
            }
        }
    }

    fn submit(&mut self, daemon: usize, number: u8, body: u8) -> WaiterId {
        let (id, digest) = (id(number), digest(number, body));
        let waiter = self.add_call(id.clone(), Some(digest));
        self.last_number += 1;
        let member = self.daemons[daemon].member;
        let attempt = AttemptId { member, number: self.last_number };
        let target = target();
        let submit = Event::Submit { waiter, slot: SLOT, id, digest, attempt, target };
        self.handle(daemon, submit);
        waiter
    }

    fn add_call(&mut self, id: RequestId, digest: Option<Digest>) -> WaiterId {
        self.calls.push(Call { id, digest, replied: false });
        WaiterId(self.calls.len() as u64 - 1)
    }

    /// Acts on one of the unfinished runs that were, or were not, dispatched; does
    /// nothing if there is none.
    fn with_run(
        &mut self,
        pick: usize,
        dispatched: bool,
        act: impl FnOnce(&mut Self, usize),
    ) {
        let matches = |run: &Run| run.dispatched == dispatched && !run.finished;
        let runs: Vec<usize> =
            (0..self.runs.len()).filter(|&run| matches(&self.runs[run])).collect();
        if !runs.is_empty() {
            act(self, runs[pick % runs.len()]);
        }
    }

    fn finish_run(&mut self, run: usize) -> (RequestId, AttemptId) {
        let run = &mut self.runs[run];
        run.finished = true;
        (run.id.clone(), run.attempt)
    }

    /// Passes the end of a run to the daemon that started it, unless that has crashed.
    fn report_run(&mut self, run: usize, event: Event) {
        let member = self.runs[run].daemon;
        let daemon = self.daemons.iter().position(|daemon| daemon.member == member);
        if let Some(daemon) = daemon {
            self.handle(daemon, event);
        }
    }

    /// Bodies of every other run are in the row, the rest in the object store.
    fn body_location(&self, run: usize) -> BodyLocation {
        let body = response(&self.runs[run]).body;
        let text = String::from_utf8(body.to_vec()).expect("the model's bodies are text");
        if run.is_multiple_of(2) {
            BodyLocation::Inline(text)
        } else {
            BodyLocation::Object(text)
        }
    }

    /// Replaces a daemon by a new one; its waiters get no reply.
    fn crash(&mut self, daemon: usize) {
        let member = self.daemons[daemon].member;
        for run in &mut self.runs {
            // Dispatched requests continue at the backend server.
            run.finished |= run.daemon == member && !run.dispatched;
        }
        self.daemons[daemon] = self.new_daemon();
    }

    fn step(&mut self, daemon: usize, delivery: Delivery) {
        let Some(effect) = self.daemons[daemon].effects.pop_front() else { return };
        match effect {
            Effect::LoadSlot { slot, version } => {
                let event = match self.seal_log(version, delivery) {
                    SealResult::Sealed(log) if self.can_read_table(daemon) => {
                        let rows = self.read_rows();
                        Event::SlotLoaded { slot, version, rows, log }
                    }
                    SealResult::Sealed(_) | SealResult::Failed => {
                        Event::LoadFailed { slot, version }
                    }
                    SealResult::Superseded => Event::ClaimSuperseded { slot, version },
                };
                self.handle(daemon, event);
            }
            Effect::Commit(batch) => {
                let delivery = match self.can_read_table(daemon) {
                    true => delivery,
                    false => Delivery::Unavailable,
                };
                let result = self.send_batch(&batch, delivery);
                self.handle(
                    daemon,
                    Event::CommitFinished { number: batch.number, result },
                );
            }
            Effect::Run { waiter, id, attempt } => {
                let digest = self.calls[waiter.0 as usize].digest;
                let run = Run {
                    daemon: self.daemons[daemon].member,
                    digest: digest.expect("only requests run"),
                    id,
                    attempt,
                    dispatched: false,
                    finished: false,
                };
                self.runs.push(run);
            }
            Effect::RecoverResponse { id, attempt, .. } => {
                let recovered = self.recover_response(&id, attempt, delivery);
                self.handle(daemon, Event::RecoveryFinished { id, attempt, recovered });
            }
            Effect::FetchBody { id, key } => {
                let body = (delivery == Delivery::Normal).then(|| Bytes::from(key));
                self.handle(daemon, Event::BodyFetched { id, body });
            }
            Effect::ReadState { waiter, id, .. } => {
                self.calls[waiter.0 as usize].replied = true;
                let logged = self.log_records().iter().any(|record| record.id == id);
                if !self.rows.contains_key(&id) && !logged && delivery == Delivery::Normal
                {
                    let ran = self.runs.iter().any(|run| run.dispatched && run.id == id);
                    assert!(!ran, "reported as unknown, but it ran");
                }
            }
            Effect::AppendToLog { slot, version, number, position, records } => {
                let entry = LogEntry { claim: version, trimmed: false, records };
                let result = self.append(position, entry, delivery);
                self.handle(daemon, Event::AppendFinished { slot, number, result });
            }
            Effect::TrimLog { version, position, .. } => {
                let mark =
                    LogEntry { claim: version, trimmed: true, records: Vec::new() };
                match delivery {
                    Delivery::Normal | Delivery::ResponseLost => {
                        self.trim(position, mark)
                    }
                    Delivery::Delayed => {
                        self.delayed.push_back(DelayedWrite::Trim(position, mark))
                    }
                    Delivery::Unavailable => {}
                }
            }
            Effect::DeleteBody(_) | Effect::Reply { .. } => {}
        }
    }

    fn recover_response(
        &self,
        id: &RequestId,
        attempt: AttemptId,
        delivery: Delivery,
    ) -> Recovered {
        let row = self.rows.get(id).and_then(|(record, version)| {
            let summary = record.response.clone()?;
            let attempt = record.attempt;
            Some(Recovered::Row { attempt, summary, version: *version })
        });
        let run =
            self.runs.iter().position(|run| run.attempt == attempt && run.dispatched);
        match (row, run, delivery) {
            (Some(row), _, Delivery::Normal) => row,
            (None, Some(run), Delivery::Normal) if self.runs[run].finished => {
                Recovered::Engine {
                    response: response(&self.runs[run]).into(),
                    body: self.body_location(run),
                }
            }
            _ => Recovered::Nothing,
        }
    }

    /// Whether an id was dispatched.
    pub fn has_run(&self, number: u8) -> bool {
        self.runs.iter().any(|run| run.dispatched && run.id == id(number))
    }

    /// Ends all faults, submits each id again and checks that every call gets a reply.
    pub fn run_without_faults(&mut self, ids: u8) {
        while let Some(write) = self.delayed.pop_front() {
            self.apply_delayed(write);
        }
        let holder = self.holder.unwrap_or(0);
        for daemon in 0..DAEMONS {
            self.daemons[daemon].table_reachable = true;
            self.refresh_view(daemon);
        }
        self.run_until_idle();
        for number in 0..ids {
            self.submit(holder, number, 0);
        }
        self.run_until_idle();
        let waiting = self.calls.iter().filter(|call| !call.replied).count();
        assert!(waiting <= self.max_unreplied(), "{waiting} calls without a reply");
        for daemon in &self.daemons {
            assert_eq!(daemon.journal.running(), 0, "a run is left over");
        }
    }

    /// The number of calls that may stay without a reply.
    fn max_unreplied(&self) -> usize {
        // Only the journal of a crashed daemon leaves its waiters without a reply.
        let none_crashed =
            self.daemons.iter().all(|daemon| daemon.member.0 <= DAEMONS as u64);
        if none_crashed { 0 } else { self.calls.len() }
    }

    fn run_until_idle(&mut self) {
        for _ in 0..400 {
            for daemon in 0..DAEMONS {
                self.step(daemon, Delivery::Normal);
            }
            self.apply(&Op::Dispatch { run: 0 });
            self.apply(&Op::Finish { run: 0, completed: true });
            self.apply(&Op::Advance { millis: 50 });
        }
    }
}
