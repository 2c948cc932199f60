//! Places at a plain service's servers under any order of requests, ends, callers' times
//! that pass, and servers that leave the list and return.

use std::time::{Duration, Instant};

use chestnut_base::{DomainName, MemberId, ServerName};
use chestnut_pool::{
    ListedServer, PermitOutcome, PermitQueue, PlainRequest, QueueDecision, RequestKey,
};
use proptest::prelude::*;

const SERVERS: usize = 3;
const SLOTS: usize = 6;

/// Requests that a server is sent beyond its places.
const AHEAD: usize = 4;

#[derive(Debug, Clone)]
enum Op {
    Push { patience: u64 },
    End { index: usize, outcome: PermitOutcome },
    Wait(u64),
    List(Vec<usize>),
}

fn op() -> impl Strategy<Value = Op> {
    let outcome = prop_oneof![
        3 => Just(PermitOutcome::Answered),
        1 => Just(PermitOutcome::Failed),
        1 => Just(PermitOutcome::Unused),
    ];
    prop_oneof![
        8 => (50u64..2000).prop_map(|patience| Op::Push { patience }),
        6 => (0usize..20, outcome).prop_map(|(index, outcome)| Op::End { index, outcome }),
        2 => (1u64..300).prop_map(Op::Wait),
        1 => prop::sample::subsequence(vec![0, 1, 2], 0..=SERVERS).prop_map(Op::List),
    ]
}

fn server(number: usize) -> ServerName {
    ServerName::try_from(format!("s{number}")).expect("a valid name")
}

fn listed(numbers: &[usize]) -> Vec<ListedServer> {
    let one = |number: &usize| ListedServer {
        name: server(*number),
        slots: SLOTS as u32,
        domain: DomainName::try_from("north").expect("a valid name"),
    };
    numbers.iter().map(one).collect()
}

/// The holder of a queue, and what it has sent that has not ended.
struct Holder {
    queue: PermitQueue,
    now: Instant,
    listed: Vec<usize>,
    /// When callers' times are over, by the requests' numbers.
    times: Vec<Instant>,
    sent: Vec<(RequestKey, ServerName)>,
}

impl Holder {
    fn new() -> Self {
        let now = Instant::now();
        let mut holder = Self {
            queue: PermitQueue::default(),
            now,
            listed: Vec::new(),
            times: Vec::new(),
            sent: Vec::new(),
        };
        holder.list(vec![0, 1, 2]);
        holder
    }

    fn list(&mut self, numbers: Vec<usize>) {
        self.queue.update_servers(listed(&numbers), self.now);
        self.listed = numbers;
    }

    fn push(&mut self, patience: u64) {
        let patience = Duration::from_millis(patience);
        let want = PlainRequest {
            urgency: 1,
            target_time: patience,
            wait_limit: patience,
            domain: DomainName::try_from("north").expect("a valid name"),
            avoid: Vec::new(),
        };
        let number = self.times.len() as u64;
        self.times.push(self.now + patience);
        self.queue.push((MemberId(1), number), want, self.now);
    }

    fn end(&mut self, index: usize, outcome: PermitOutcome) {
        if index < self.sent.len() {
            let (asker, _) = self.sent.swap_remove(index);
            self.queue.release(asker, outcome, self.now);
        }
    }

    /// Sends what can be sent; what was sent before and is over is free by then.
    fn serve(&mut self) -> usize {
        let times = &self.times;
        self.sent.retain(|((_, number), _)| self.now < times[*number as usize]);
        let before = self.sent.len();
        while let Some(step) = self.queue.next_decision(self.now) {
            if let QueueDecision::Grant(asker, at) = step {
                assert!(self.listed.iter().any(|number| server(*number) == at));
                self.sent.push((asker, at));
            }
        }
        for number in 0..SERVERS {
            let here = self.sent.iter().filter(|(_, at)| *at == server(number)).count();
            assert!(here <= SLOTS + AHEAD, "{here} at s{number}");
        }
        self.sent.len() - before
    }
}

proptest! {
    // No server is sent more than its places and those ahead; once nothing is in flight
    // any more, all places of all servers are there to be had.
    #[test]
    fn places_are_neither_lost_nor_given_twice(
        ops in prop::collection::vec(op(), 1..200),
    ) {
        let mut holder = Holder::new();
        for op in ops {
            match op {
                Op::Push { patience } => holder.push(patience),
                Op::End { index, outcome } => holder.end(index, outcome),
                Op::Wait(ms) => holder.now += Duration::from_millis(ms),
                Op::List(numbers) => holder.list(numbers),
            }
            holder.serve();
        }
        while !holder.sent.is_empty() {
            holder.end(0, PermitOutcome::Answered);
        }
        // Failures fade, and callers' times are over.
        holder.now += Duration::from_secs(60);
        holder.list(vec![0, 1, 2]);
        holder.serve();
        for _ in 0..SERVERS * SLOTS {
            holder.push(1000);
        }
        prop_assert_eq!(holder.serve(), SERVERS * SLOTS);
    }
}
