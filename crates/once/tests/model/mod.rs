//! Daemons with journals, a table service and a backend server, all in memory.

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

pub use op::{Guard, Link, Op};

/// How long a daemon's lease holds in the model.
const LEASE: Duration = Duration::from_secs(6);

const SLOT: SlotId = SlotId(0);
const DAEMONS: usize = 3;

/// A change that was believed lost and takes effect later.
enum Late {
    Batch(Batch),
    Append(u64, Vec<Record>),
}

struct Daemon {
    member: MemberId,
    journal: Journal,
    effects: VecDeque<Effect>,
    lease: Instant,
}

#[derive(Debug, Clone)]
struct RunState {
    daemon: MemberId,
    id: RequestId,
    digest: Digest,
    attempt: AttemptId,
    sent: bool,
    over: bool,
}

struct Asked {
    id: RequestId,
    digest: Option<Digest>,
    answered: bool,
}

/// The world, with what callers were told.
pub struct World {
    guard: Guard,
    limits: Limits,
    now: Instant,
    daemons: Vec<Daemon>,
    holder: Option<usize>,
    /// The version of the claim's row.
    claim: u64,
    version: u64,
    rows: IndexMap<RequestId, (Record, u64)>,
    late: VecDeque<Late>,
    /// The slot's log: places and what they hold.
    log: IndexMap<u64, Vec<Record>>,
    runs: Vec<RunState>,
    asked: Vec<Asked>,
    numbers: u64,
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

/// The one right answer to a run.
fn answer(run: &RunState) -> Response {
    Response {
        status: 200,
        content_type: "text/plain".into(),
        tokens: None,
        finish_reason: String::new(),
        body: Bytes::from(format!("{}/{}/{}", run.id.key, run.digest, run.attempt)),
    }
}

impl World {
    pub fn new(guard: Guard, ids: usize) -> Self {
        let now = Instant::now();
        let limits = Limits { max_ids: ids, max_batch_rows: 4, ..Limits::default() };
        let mut world = Self {
            guard,
            limits,
            now,
            daemons: Vec::new(),
            holder: None,
            claim: 0,
            version: 1,
            rows: IndexMap::new(),
            late: VecDeque::new(),
            log: IndexMap::new(),
            runs: Vec::new(),
            asked: Vec::new(),
            numbers: 0,
        };
        world.daemons = (0..DAEMONS).map(|_| world.daemon()).collect();
        world.give(0);
        world
    }

    fn daemon(&mut self) -> Daemon {
        self.numbers += 1;
        Daemon {
            member: MemberId(self.numbers),
            journal: Journal::new(self.limits, self.numbers, self.now),
            effects: VecDeque::new(),
            lease: self.now,
        }
    }

    fn give(&mut self, daemon: usize) {
        self.version += 1;
        self.claim = self.version;
        self.holder = Some(daemon);
        self.notice(daemon);
    }

    fn notice(&mut self, daemon: usize) {
        let forever = self.guard == Guard::NoLease;
        let until = self.now + if forever { LEASE * 1_000_000 } else { LEASE };
        self.daemons[daemon].lease = self.now + LEASE;
        self.tell(daemon, Event::LeaseExpiry(until));
        if self.holder == Some(daemon) {
            let version = self.claim;
            self.tell(daemon, Event::SlotClaimed { slot: SLOT, version });
        } else {
            self.tell(daemon, Event::ClaimLost(SLOT));
        }
    }

    /// Tells a daemon's journal something and checks what it tells callers.
    fn tell(&mut self, daemon: usize, event: Event) {
        self.daemons[daemon].journal.handle(event, self.now);
        self.collect(daemon);
    }

    fn collect(&mut self, daemon: usize) {
        while let Some(effect) = self.daemons[daemon].journal.next_effect() {
            match effect {
                Effect::Reply { waiter: ticket, reply } => self.check(ticket, reply),
                other => self.daemons[daemon].effects.push_back(other),
            }
        }
    }

    fn check(&mut self, ticket: WaiterId, reply: Reply) {
        let asked = &mut self.asked[ticket.0 as usize];
        assert!(!asked.answered, "two answers to one request");
        asked.answered = true;
        let (id, digest) = (asked.id.clone(), asked.digest);
        match reply {
            Reply::Running => {}
            Reply::Refused(refusal) => self.check_refusal(&id, digest, &refusal),
            Reply::Response(got) => {
                let mut runs = self.runs.iter();
                let run = runs.find(|run| run.sent && run.id == id).expect("it ran");
                assert_eq!(*got, answer(run), "another answer than the run's");
                assert!(digest.is_none_or(|digest| digest == run.digest), "another body");
            }
        }
    }

    fn check_refusal(&self, id: &RequestId, digest: Option<Digest>, refusal: &Refusal) {
        let ran = |run: &&RunState| {
            run.sent && run.id == *id && digest.is_none_or(|digest| digest == run.digest)
        };
        if refusal.outcome == Outcome::NotRun {
            let run = self.runs.iter().find(ran);
            assert!(run.is_none(), "told not run, but it ran: {refusal}");
        }
    }

    pub fn apply(&mut self, op: &Op) {
        match *op {
            Op::Ask { daemon, id: number, body } => {
                self.ask(daemon, number, body);
            }
            Op::Lookup { daemon, id: number } => {
                let ticket = self.ticket(id(number), None);
                self.tell(
                    daemon,
                    Event::Lookup { waiter: ticket, slot: SLOT, id: id(number) },
                );
            }
            Op::Step { daemon, link } => self.step(daemon, link),
            Op::Arrive => {
                if let Some(late) = self.late.pop_front() {
                    self.arrive(late);
                }
            }
            Op::Dispatch { run } => self.with_run(run, false, |world, run| {
                world.runs[run].sent = true;
                let state = world.runs[run].clone();
                let same = |other: &&RunState| other.sent && other.id == state.id;
                let count = world.runs.iter().filter(same).count();
                assert!(count <= 1, "{} ran {count} times", state.id.key);
            }),
            Op::Refuse { run } => self.with_run(run, false, |world, run| {
                let (id, attempt) = world.close(run);
                let refusal = Refusal::not_run(RefusalCode::Overloaded, "full");
                let event = Event::RunRefused { id, attempt, refusal };
                world.report(run, event);
            }),
            Op::End { run, whole } => self.with_run(run, true, |world, run| {
                let (id, attempt) = world.close(run);
                let event = if whole {
                    let answer = answer(&world.runs[run]).into();
                    Event::RunFinished {
                        id,
                        attempt,
                        response: answer,
                        body: world.kept(run),
                    }
                } else {
                    let refusal = Refusal::in_doubt(RefusalCode::Broken, "broken");
                    Event::RunInterrupted { id, attempt, refusal }
                };
                world.report(run, event);
            }),
            Op::Takeover { daemon } => {
                if let Some(old) = self.holder {
                    self.now = self.now.max(self.daemons[old].lease);
                }
                self.give(daemon);
            }
            Op::Release { daemon } => {
                if let Some(old) = self.holder {
                    self.holder = None;
                    self.notice(old);
                }
                self.give(daemon);
            }
            Op::Notice { daemon } => self.notice(daemon),
            Op::Crash { daemon } => self.crash(daemon),
            Op::Pass { millis } => {
                self.now += Duration::from_millis(millis.into());
                for daemon in 0..DAEMONS {
                    self.daemons[daemon].journal.tick(self.now);
                    self.collect(daemon);
                }
            }
        }
    }

    fn ask(&mut self, daemon: usize, number: u8, body: u8) -> WaiterId {
        let (id, digest) = (id(number), digest(number, body));
        let ticket = self.ticket(id.clone(), Some(digest));
        self.numbers += 1;
        let member = self.daemons[daemon].member;
        let attempt = AttemptId { member, number: self.numbers };
        let target = target();
        let ask =
            Event::Submit { waiter: ticket, slot: SLOT, id, digest, attempt, target };
        self.tell(daemon, ask);
        ticket
    }

    fn ticket(&mut self, id: RequestId, digest: Option<Digest>) -> WaiterId {
        self.asked.push(Asked { id, digest, answered: false });
        WaiterId(self.asked.len() as u64 - 1)
    }

    /// Does something with a run that was or was not handed over and is not over.
    fn with_run(&mut self, pick: usize, sent: bool, act: impl FnOnce(&mut Self, usize)) {
        let open = |run: &RunState| run.sent == sent && !run.over;
        let runs: Vec<usize> =
            (0..self.runs.len()).filter(|&run| open(&self.runs[run])).collect();
        if !runs.is_empty() {
            act(self, runs[pick % runs.len()]);
        }
    }

    fn close(&mut self, run: usize) -> (RequestId, AttemptId) {
        let run = &mut self.runs[run];
        run.over = true;
        (run.id.clone(), run.attempt)
    }

    fn report(&mut self, run: usize, event: Event) {
        let member = self.runs[run].daemon;
        let place = self.daemons.iter().position(|daemon| daemon.member == member);
        if let Some(daemon) = place {
            self.tell(daemon, event);
        }
    }

    /// Some bodies are in rows, others in the object store.
    fn kept(&self, run: usize) -> BodyLocation {
        let body = answer(&self.runs[run]).body;
        let text = String::from_utf8(body.to_vec()).expect("the model's bodies are text");
        if run.is_multiple_of(2) {
            BodyLocation::Inline(text)
        } else {
            BodyLocation::Object(text)
        }
    }

    /// A daemon dies: those who waited there are told that nothing is known.
    fn crash(&mut self, daemon: usize) {
        let member = self.daemons[daemon].member;
        for run in &mut self.runs {
            // What was handed over goes on at the backend server.
            run.over |= run.daemon == member && !run.sent;
        }
        self.daemons[daemon] = self.daemon();
    }

    fn step(&mut self, daemon: usize, link: Link) {
        let Some(effect) = self.daemons[daemon].effects.pop_front() else { return };
        match effect {
            Effect::LoadSlot { slot, version } => {
                let event = match link {
                    Link::Good => {
                        let (rows, log) = (self.read(), self.seal());
                        Event::SlotLoaded { slot, version, rows, log }
                    }
                    _ => Event::LoadFailed { slot, version },
                };
                self.tell(daemon, event);
            }
            Effect::Commit(batch) => {
                let stored = self.send(&batch, link);
                self.tell(
                    daemon,
                    Event::CommitFinished { number: batch.number, result: stored },
                );
            }
            Effect::Run { waiter: ticket, id, attempt } => {
                let digest = self.asked[ticket.0 as usize].digest;
                let state = RunState {
                    daemon: self.daemons[daemon].member,
                    digest: digest.expect("only requests run"),
                    id,
                    attempt,
                    sent: false,
                    over: false,
                };
                self.runs.push(state);
            }
            Effect::RecoverResponse { id, attempt, .. } => {
                let found = self.seek(&id, attempt, link);
                self.tell(
                    daemon,
                    Event::RecoveryFinished { id, attempt, recovered: found },
                );
            }
            Effect::FetchBody { id, key } => {
                let body = (link == Link::Good).then(|| Bytes::from(key));
                self.tell(daemon, Event::BodyFetched { id, body });
            }
            Effect::ReadState { waiter: ticket, id, .. } => {
                self.asked[ticket.0 as usize].answered = true;
                let logged = self.log.values().flatten().any(|record| record.id == id);
                if !self.rows.contains_key(&id) && !logged && link == Link::Good {
                    let ran = self.runs.iter().any(|run| run.sent && run.id == id);
                    assert!(!ran, "told unknown, but it ran");
                }
            }
            Effect::AppendToLog { slot, number, position: place, records } => {
                let appended = self.append(place, records, link);
                self.tell(
                    daemon,
                    Event::AppendFinished { slot, number, result: appended },
                );
            }
            Effect::TrimLog { position: place, .. } => {
                self.log.retain(|known, _| *known >= place)
            }
            Effect::DeleteBody(_) | Effect::Reply { .. } => {}
        }
    }

    fn seek(&self, id: &RequestId, attempt: AttemptId, link: Link) -> Recovered {
        let row = self.rows.get(id).and_then(|(record, version)| {
            let summary = record.response.clone()?;
            Some(Recovered::Row { summary, version: *version })
        });
        let place = self.runs.iter().position(|run| run.attempt == attempt && run.sent);
        match (row, place, link) {
            (Some(row), _, Link::Good) => row,
            (None, Some(run), Link::Good) if self.runs[run].over => Recovered::Engine {
                response: answer(&self.runs[run]).into(),
                body: self.kept(run),
            },
            _ => Recovered::Nothing,
        }
    }

    /// Ends all faults, asks for each id again and checks the last answers.
    pub fn settle(&mut self, ids: u8) {
        while let Some(late) = self.late.pop_front() {
            self.arrive(late);
        }
        let last = self.holder.unwrap_or(0);
        for daemon in 0..DAEMONS {
            self.notice(daemon);
        }
        self.quiesce();
        for number in 0..ids {
            self.ask(last, number, 0);
        }
        self.quiesce();
        let waiting = self.asked.iter().filter(|asked| !asked.answered).count();
        // Requests of daemons that died get no answer from the journal.
        assert!(waiting <= self.dead_letters(), "{waiting} requests without an answer");
        for daemon in &self.daemons {
            assert_eq!(daemon.journal.running(), 0, "a run is left over");
        }
    }

    fn dead_letters(&self) -> usize {
        // Only daemons that crashed forget those who wait.
        let first = self.daemons.iter().all(|daemon| daemon.member.0 <= DAEMONS as u64);
        if first { 0 } else { self.asked.len() }
    }

    fn quiesce(&mut self) {
        for _ in 0..400 {
            for daemon in 0..DAEMONS {
                self.step(daemon, Link::Good);
            }
            self.apply(&Op::Dispatch { run: 0 });
            self.apply(&Op::End { run: 0, whole: true });
            self.apply(&Op::Pass { millis: 50 });
        }
    }
}
