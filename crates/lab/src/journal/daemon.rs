//! A simulated daemon: its journal, its callers and its measurements.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnut_base::{
    AttemptId, CallerName, Digest, MemberId, RequestId, ServiceName, SlotId, Target,
};
use chestnut_node::journal::{JOURNAL, commit, load};
use chestnut_node::slotlog::{SlotClaim, append};
use chestnut_once::limits::batch_interval;
use chestnut_once::{
    BodyLocation, Effect, Event, Journal, Limits, Record, Reply, Response, WaiterId,
    row_key,
};
use chestnut_plat::{ObjectStore, TableClient, Txn};
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};

/// How long a daemon waits for pending requests after the last new one.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Upper bound of the latency histograms, in microseconds; longer latencies are
/// recorded as this value.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Counts and latencies of one daemon or of several.
pub struct Measurements {
    /// Submitted requests, without retries.
    pub requests: u64,
    /// Requests that received a response.
    pub responses: u64,
    /// Refusals; a refused request is retried after the delay that the refusal gives.
    pub refusals: u64,
    /// Row changes in all transactions that were sent.
    pub rows_written: u64,
    /// When each transaction was sent to the table.
    pub commit_times: Vec<Instant>,
    /// When each append to a slot's log was sent to the object store.
    pub append_times: Vec<Instant>,
    /// From a request's latest submission to its run, in microseconds.
    pub start_latency: Histogram<u64>,
    /// From the end of a run to the response, in microseconds.
    pub completion_latency: Histogram<u64>,
    /// When the last response arrived; none before the first.
    pub last_response: Option<Instant>,
}

impl Default for Measurements {
    fn default() -> Self {
        let empty =
            || Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("valid bounds");
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
    /// Adds the measurements of another daemon.
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

/// A request that awaits its reply or its retry.
#[derive(Debug, Clone)]
struct PendingRequest {
    id: RequestId,
    slot: SlotId,
    submitted_at: Instant,
}

/// A simulated daemon.
pub struct Daemon {
    index: u16,
    table: TableClient,
    objects: ObjectStore,
    journal: Journal,
    /// Claimed slots with the versions of their claims.
    claims: Vec<(SlotId, u64)>,
    event_sender: UnboundedSender<Event>,
    events: UnboundedReceiver<Event>,
    pending: IndexMap<WaiterId, PendingRequest>,
    /// When each run ended, until its response arrives.
    run_ends: IndexMap<RequestId, Instant>,
    /// When to retry each request in `refused`, by its key there; earliest first.
    retries: BinaryHeap<Reverse<(Instant, u64)>>,
    /// Refused requests, by the number of their latest waiter.
    refused: IndexMap<u64, PendingRequest>,
    /// Number of the latest waiter and attempt.
    last_number: u64,
    measurements: Measurements,
}

impl Daemon {
    /// Creates daemon `index` of `count` with these claims, each with its row's version.
    pub fn new(
        index: u16,
        count: u16,
        table: TableClient,
        objects: ObjectStore,
        claims: Vec<(SlotId, u64)>,
    ) -> Self {
        let limits =
            Limits { batch_interval: batch_interval(count.into()), ..Limits::default() };
        let (event_sender, events) = mpsc::unbounded_channel();
        Self {
            index,
            table,
            objects,
            journal: Journal::new(limits, index.into(), Instant::now()),
            claims,
            event_sender,
            events,
            pending: IndexMap::new(),
            run_ends: IndexMap::new(),
            retries: BinaryHeap::new(),
            refused: IndexMap::new(),
            last_number: 0,
            measurements: Measurements::default(),
        }
    }

    /// Claims the slots and waits until the journal has loaded them.
    pub async fn open_slots(&mut self) {
        for (slot, version) in self.claims.clone() {
            self.handle(Event::SlotClaimed { slot, version });
        }
        while self.journal.open_slots() < self.claims.len() {
            let event = self.events.recv().await.expect("the daemon holds a sender");
            self.handle(event);
        }
    }

    /// Number of request ids that the journal holds in memory.
    pub fn id_count(&self) -> usize {
        self.journal.id_count()
    }

    /// Submits a request every `interval` for `duration`, then waits for pending ones.
    ///
    /// Abandons pending requests after [`DRAIN_TIMEOUT`].
    pub async fn run(mut self, interval: Duration, duration: Duration) -> Measurements {
        self.open_slots().await;
        let start = Instant::now();
        // Staggers the daemons' requests within the interval.
        let mut next_submission =
            start + interval.mul_f64(f64::from(self.index % 7) / 7.0);
        let mut number = 0;
        loop {
            let now = Instant::now();
            let submitting = now < start + duration;
            let done = self.pending.is_empty() && self.refused.is_empty();
            if !submitting && (done || now > start + duration + DRAIN_TIMEOUT) {
                return self.measurements;
            }
            while submitting && next_submission <= Instant::now() {
                number += 1;
                next_submission += interval;
                self.submit_new(number);
            }
            self.submit_retries();
            let deadline = self.journal.next_deadline().unwrap_or(now + interval);
            let deadline =
                if submitting { deadline.min(next_submission) } else { deadline };
            let retry_at = self.retries.peek().map_or(deadline, |Reverse((at, _))| *at);
            tokio::select! {
                event = self.events.recv() => {
                    self.handle(event.expect("the daemon holds a sender"));
                }
                () = tokio::time::sleep_until(deadline.min(retry_at).into()) => {
                    self.journal.tick(Instant::now());
                    self.run_effects();
                }
            }
        }
    }

    fn submit_new(&mut self, number: u64) {
        let slot = self.claims[number as usize % self.claims.len()].0;
        let id = request_id(&format!("{}-{number}", self.index));
        self.measurements.requests += 1;
        self.submit(PendingRequest { id, slot, submitted_at: Instant::now() });
    }

    fn submit_retries(&mut self) {
        let now = Instant::now();
        while let Some(Reverse((at, number))) = self.retries.peek().copied()
            && at <= now
        {
            self.retries.pop();
            if let Some(mut request) = self.refused.swap_remove(&number) {
                request.submitted_at = now;
                self.submit(request);
            }
        }
    }

    fn submit(&mut self, request: PendingRequest) {
        self.last_number += 1;
        let waiter = WaiterId(self.last_number);
        let member = MemberId(self.index.into());
        let event = Event::Submit {
            waiter,
            slot: request.slot,
            id: request.id.clone(),
            digest: Digest(1),
            attempt: AttemptId { member, number: self.last_number },
            target: target(),
        };
        self.pending.insert(waiter, request);
        self.handle(event);
    }

    fn handle(&mut self, event: Event) {
        let now = Instant::now();
        // The simulated daemon stores no lease; each event extends it to 6 s from now.
        self.journal.handle(Event::LeaseExpiry(now + Duration::from_secs(6)), now);
        self.journal.handle(event, now);
        self.run_effects();
    }

    fn run_effects(&mut self) {
        while let Some(effect) = self.journal.next_effect() {
            match effect {
                Effect::LoadSlot { slot, version } => {
                    let (table, event_sender) =
                        (self.table.clone(), self.event_sender.clone());
                    let objects = self.objects.clone();
                    tokio::spawn(async move {
                        let member = MemberId(0);
                        let event = load(&table, &objects, slot, version, member).await;
                        event_sender.send(event).ok();
                    });
                }
                Effect::Commit(batch) => {
                    self.measurements.commit_times.push(Instant::now());
                    self.measurements.rows_written += batch.changes.len() as u64;
                    let (table, event_sender) =
                        (self.table.clone(), self.event_sender.clone());
                    tokio::spawn(async move {
                        let result = commit(&table, &batch).await;
                        event_sender
                            .send(Event::CommitFinished { number: batch.number, result })
                            .ok();
                    });
                }
                Effect::AppendToLog { slot, version, number, position, records } => {
                    self.measurements.append_times.push(Instant::now());
                    let (objects, event_sender) =
                        (self.objects.clone(), self.event_sender.clone());
                    tokio::spawn(async move {
                        let claim = SlotClaim { member: MemberId(0), version };
                        let result =
                            append(&objects, slot, claim, position, &records).await;
                        event_sender
                            .send(Event::AppendFinished { slot, number, result })
                            .ok();
                    });
                }
                Effect::Run { waiter, id, attempt } => {
                    self.finish_run(waiter, id, attempt)
                }
                Effect::Reply { waiter, reply } => self.record_reply(waiter, reply),
                _ => {}
            }
        }
    }

    fn finish_run(&mut self, waiter: WaiterId, id: RequestId, attempt: AttemptId) {
        let now = Instant::now();
        if let Some(request) = self.pending.get(&waiter) {
            self.measurements
                .start_latency
                .saturating_record(micros(now - request.submitted_at));
        }
        self.run_ends.insert(id.clone(), now);
        let response = booked_response().into();
        let body = BodyLocation::Inline("booked".into());
        // The daemon holds the receiver, so that sending cannot fail.
        self.event_sender.send(Event::RunFinished { id, attempt, response, body }).ok();
    }

    fn record_reply(&mut self, waiter: WaiterId, reply: Reply) {
        let Some(request) = self.pending.swap_remove(&waiter) else { return };
        let now = Instant::now();
        match reply {
            Reply::Response(_) => {
                self.measurements.responses += 1;
                self.measurements.last_response = Some(now);
                if let Some(end) = self.run_ends.swap_remove(&request.id) {
                    self.measurements
                        .completion_latency
                        .saturating_record(micros(now - end));
                }
            }
            Reply::Refused(refusal) => {
                self.measurements.refusals += 1;
                let delay = refusal.retry_after.unwrap_or(Duration::from_secs(1));
                self.retries.push(Reverse((now + delay, waiter.0)));
                self.refused.insert(waiter.0, request);
            }
            Reply::Running => {}
        }
    }
}

/// Writes `count` rows of finished requests into a slot.
pub async fn write_finished_requests(table: &TableClient, slot: SlotId, count: usize) {
    let numbers: Vec<usize> = (0..count).collect();
    for chunk in numbers.chunks(500) {
        let put = |txn: Txn, number: &usize| {
            let id = request_id(&format!("old-{number}"));
            let record = Record {
                slot,
                id: id.clone(),
                digest: Digest(*number as u128),
                attempt: AttemptId { member: MemberId(0), number: *number as u64 },
                target: target(),
                transaction_id: 0,
                server: None,
                response: Some(
                    booked_response().summary(BodyLocation::Inline("booked".into())),
                ),
            };
            txn.put(JOURNAL, row_key(slot, &id), record.to_value())
        };
        let txn = chunk.iter().fold(Txn::new(), put);
        table.commit(&txn).await.expect("the fake platform responds");
    }
}

fn booked_response() -> Response {
    Response {
        status: 200,
        content_type: "application/json".into(),
        tokens: None,
        finish_reason: String::new(),
        body: Bytes::from_static(b"booked"),
    }
}

fn request_id(key: &str) -> RequestId {
    let caller = CallerName::try_from("lab").expect("a valid name");
    RequestId { caller, key: key.to_owned() }
}

fn target() -> Target {
    Target::Service { name: ServiceName::try_from("desk").expect("a valid name") }
}

fn micros(time: Duration) -> u64 {
    time.as_micros() as u64
}
