//! A daemon of the experiment: its journal, its callers, and what it counts.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnut_base::{
    AttemptId, CallerName, Digest, MemberId, RequestId, ServiceName, SlotId, Target,
};
use chestnut_node::journal::{JOURNAL, commit, load};
use chestnut_node::slotlog::append;
use chestnut_once::limits::batch_interval;
use chestnut_once::{
    BodyLocation, Effect, Event, Journal, Limits, Record, Reply, Response, WaiterId,
    row_key,
};
use chestnut_plat::{ObjectStore, TableClient, Txn};
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};

/// How long the daemons go on when no new requests come.
const GRACE: Duration = Duration::from_secs(30);

/// The longest time that is told apart, in microseconds.
const MINUTE: u64 = 60_000_000;

/// What the experiment counts.
pub struct Measurements {
    /// Requests that came.
    pub requests: u64,
    /// Requests that were answered.
    pub responses: u64,
    /// Refusals; each request came back as it was told.
    pub refusals: u64,
    /// Rows that were written.
    pub rows_written: u64,
    /// When transactions were sent.
    pub commit_times: Vec<Instant>,
    /// When appends to slots' logs were sent.
    pub append_times: Vec<Instant>,
    /// From the request to its run, in microseconds.
    pub start_latency: Histogram<u64>,
    /// From the end of the run to the end mark, in microseconds.
    pub completion_latency: Histogram<u64>,
    /// When the last answer came.
    pub last_response: Option<Instant>,
}

impl Default for Measurements {
    fn default() -> Self {
        let empty = || Histogram::new_with_bounds(1, MINUTE, 3).expect("valid bounds");
        Self {
            requests: 0,
            responses: 0,
            refusals: 0,
            rows_written: 0,
            commit_times: Vec::new(),
            append_times: Vec::new(),
            start_latency: empty(),
            completion_latency: empty(),
            last_response: None,
        }
    }
}

impl Measurements {
    /// Adds another daemon's counts.
    pub fn merge(&mut self, other: Self) {
        self.requests += other.requests;
        self.responses += other.responses;
        self.refusals += other.refusals;
        self.rows_written += other.rows_written;
        self.commit_times.extend(other.commit_times);
        self.append_times.extend(other.append_times);
        self.start_latency.add(&other.start_latency).expect("both have the same bounds");
        self.completion_latency
            .add(&other.completion_latency)
            .expect("both have the same bounds");
        self.last_response = self.last_response.max(other.last_response);
    }
}

/// A request of a caller.
#[derive(Debug, Clone)]
struct Asked {
    id: RequestId,
    slot: SlotId,
    since: Instant,
}

/// A daemon of the experiment.
pub struct Daemon {
    index: u16,
    table: TableClient,
    objects: ObjectStore,
    journal: Journal,
    claims: Vec<(SlotId, u64)>,
    inbox: UnboundedSender<Event>,
    events: UnboundedReceiver<Event>,
    waiting: IndexMap<WaiterId, Asked>,
    /// When each run ended.
    ends: IndexMap<RequestId, Instant>,
    /// Requests that were refused and come back, by number.
    returning: BinaryHeap<Reverse<(Instant, u64)>>,
    refused: IndexMap<u64, Asked>,
    tickets: u64,
    tally: Measurements,
}

impl Daemon {
    /// Creates a daemon with these claims, one of `count`.
    pub fn new(
        index: u16,
        count: u16,
        table: TableClient,
        objects: ObjectStore,
        claims: Vec<(SlotId, u64)>,
    ) -> Self {
        let limits =
            Limits { batch_interval: batch_interval(count.into()), ..Limits::default() };
        let (inbox, events) = mpsc::unbounded_channel();
        Self {
            index,
            table,
            objects,
            journal: Journal::new(limits, index.into(), Instant::now()),
            claims,
            inbox,
            events,
            waiting: IndexMap::new(),
            ends: IndexMap::new(),
            returning: BinaryHeap::new(),
            refused: IndexMap::new(),
            tickets: 0,
            tally: Measurements::default(),
        }
    }

    /// Takes the slots and waits until their rows are read.
    pub async fn open_slots(&mut self) {
        for (slot, version) in self.claims.clone() {
            self.tell(Event::SlotClaimed { slot, version });
        }
        while self.journal.open_slots() < self.claims.len() {
            let event = self.events.recv().await.expect("the daemon holds a sender");
            self.tell(event);
        }
    }

    /// The number of ids in memory.
    pub fn id_count(&self) -> usize {
        self.journal.id_count()
    }

    /// Takes a request every `gap` for `time`, then ends what is left.
    pub async fn run(mut self, gap: Duration, time: Duration) -> Measurements {
        self.open_slots().await;
        let start = Instant::now();
        let mut next = start + gap.mul_f64(f64::from(self.index % 7) / 7.0);
        let mut number = 0;
        loop {
            let now = Instant::now();
            let open = now < start + time;
            let done = self.waiting.is_empty() && self.refused.is_empty();
            if !open && (done || now > start + time + GRACE) {
                return self.tally;
            }
            while open && next <= Instant::now() {
                number += 1;
                next += gap;
                self.ask_new(number);
            }
            self.ask_again();
            let wake = self.journal.next_deadline().unwrap_or(now + gap);
            let wake = if open { wake.min(next) } else { wake };
            let back = self.returning.peek().map_or(wake, |Reverse((at, _))| *at);
            tokio::select! {
                event = self.events.recv() => {
                    self.tell(event.expect("the daemon holds a sender"));
                }
                () = tokio::time::sleep_until(wake.min(back).into()) => {
                    self.journal.tick(Instant::now());
                    self.act();
                }
            }
        }
    }

    fn ask_new(&mut self, number: u64) {
        let slot = self.claims[number as usize % self.claims.len()].0;
        let id = request(&format!("{}-{number}", self.index));
        self.tally.requests += 1;
        self.ask(Asked { id, slot, since: Instant::now() });
    }

    fn ask_again(&mut self) {
        let now = Instant::now();
        while let Some(Reverse((at, number))) = self.returning.peek().copied()
            && at <= now
        {
            self.returning.pop();
            if let Some(mut asked) = self.refused.swap_remove(&number) {
                asked.since = now;
                self.ask(asked);
            }
        }
    }

    fn ask(&mut self, asked: Asked) {
        self.tickets += 1;
        let ticket = WaiterId(self.tickets);
        let member = MemberId(self.index.into());
        let event = Event::Submit {
            waiter: ticket,
            slot: asked.slot,
            id: asked.id.clone(),
            digest: Digest(1),
            attempt: AttemptId { member, number: self.tickets },
            target: target(),
        };
        self.waiting.insert(ticket, asked);
        self.tell(event);
    }

    fn tell(&mut self, event: Event) {
        let now = Instant::now();
        self.journal.handle(Event::LeaseExpiry(now + Duration::from_secs(6)), now);
        self.journal.handle(event, now);
        self.act();
    }

    fn act(&mut self) {
        while let Some(effect) = self.journal.next_effect() {
            match effect {
                Effect::LoadSlot { slot, version } => {
                    let (table, inbox) = (self.table.clone(), self.inbox.clone());
                    let objects = self.objects.clone();
                    tokio::spawn(async move {
                        let me = MemberId(0);
                        let event = load(&table, &objects, slot, version, me).await;
                        inbox.send(event).ok();
                    });
                }
                Effect::Commit(batch) => {
                    self.tally.commit_times.push(Instant::now());
                    self.tally.rows_written += batch.changes.len() as u64;
                    let (table, inbox) = (self.table.clone(), self.inbox.clone());
                    tokio::spawn(async move {
                        let stored = commit(&table, &batch).await;
                        inbox
                            .send(Event::CommitFinished {
                                number: batch.number,
                                result: stored,
                            })
                            .ok();
                    });
                }
                Effect::AppendToLog { slot, number, position: place, records } => {
                    self.tally.append_times.push(Instant::now());
                    let (objects, inbox) = (self.objects.clone(), self.inbox.clone());
                    tokio::spawn(async move {
                        let appended = append(&objects, slot, place, &records).await;
                        inbox
                            .send(Event::AppendFinished {
                                slot,
                                number,
                                result: appended,
                            })
                            .ok();
                    });
                }
                Effect::Run { waiter: ticket, id, attempt } => {
                    self.ran(ticket, id, attempt)
                }
                Effect::Reply { waiter: ticket, reply } => self.replied(ticket, reply),
                _ => {}
            }
        }
    }

    fn ran(&mut self, ticket: WaiterId, id: RequestId, attempt: AttemptId) {
        let now = Instant::now();
        if let Some(asked) = self.waiting.get(&ticket) {
            self.tally.start_latency.saturating_record(micros(now - asked.since));
        }
        self.ends.insert(id.clone(), now);
        let answer = answer().into();
        let kept = BodyLocation::Inline("booked".into());
        // The daemon holds the receiver.
        self.inbox
            .send(Event::RunFinished { id, attempt, response: answer, body: kept })
            .ok();
    }

    fn replied(&mut self, ticket: WaiterId, reply: Reply) {
        let Some(asked) = self.waiting.swap_remove(&ticket) else { return };
        let now = Instant::now();
        match reply {
            Reply::Response(_) => {
                self.tally.responses += 1;
                self.tally.last_response = Some(now);
                if let Some(end) = self.ends.swap_remove(&asked.id) {
                    self.tally.completion_latency.saturating_record(micros(now - end));
                }
            }
            Reply::Refused(refusal) => {
                self.tally.refusals += 1;
                let wait = refusal.retry_after.unwrap_or(Duration::from_secs(1));
                self.returning.push(Reverse((now + wait, ticket.0)));
                self.refused.insert(ticket.0, asked);
            }
            Reply::Running => {}
        }
    }
}

/// Writes `count` finished ids into a slot.
pub async fn write_finished_requests(table: &TableClient, slot: SlotId, count: usize) {
    let ids: Vec<usize> = (0..count).collect();
    for part in ids.chunks(500) {
        let put = |txn: Txn, number: &usize| {
            let id = request(&format!("old-{number}"));
            let record = Record {
                slot,
                id: id.clone(),
                digest: Digest(*number as u128),
                attempt: AttemptId { member: MemberId(0), number: *number as u64 },
                target: target(),
                transaction_id: 0,
                server: None,
                response: Some(answer().summary(BodyLocation::Inline("booked".into()))),
            };
            txn.put(JOURNAL, row_key(slot, &id), record.to_value())
        };
        let txn = part.iter().fold(Txn::new(), put);
        table.commit(&txn).await.expect("the stand-in answers");
    }
}

fn answer() -> Response {
    Response {
        status: 200,
        content_type: "application/json".into(),
        tokens: None,
        finish_reason: String::new(),
        body: Bytes::from_static(b"booked"),
    }
}

fn request(key: &str) -> RequestId {
    let caller = CallerName::try_from("lab").expect("a valid name");
    RequestId { caller, key: key.to_owned() }
}

fn target() -> Target {
    Target::Service { name: ServiceName::try_from("desk").expect("a valid name") }
}

fn micros(time: Duration) -> u64 {
    time.as_micros() as u64
}
