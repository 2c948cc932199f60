//! Permits for a plain service's servers under any order of requests, releases, expired
//! deadlines, and servers that leave the list and return.

use std::time::{Duration, Instant};

use chestnut_base::{DomainName, MemberId, ServerName};
use chestnut_pool::{
    ListedServer, PermitOutcome, PermitQueue, PlainRequest, QueueDecision, RequestKey,
};
use proptest::prelude::*;

const SERVERS: usize = 3;
const SLOTS: usize = 6;

/// Permits that a server gets beyond its slots.
const EXTRA_PERMITS: usize = 4;

#[derive(Debug, Clone)]
enum Op {
    Push {
        wait_limit_ms: u64,
    },
    Release {
        index: usize,
        outcome: PermitOutcome,
    },
    /// Advances the time by so many milliseconds.
    Wait(u64),
    /// Numbers of the servers that are listed from now on.
    List(Vec<usize>),
}

fn op() -> impl Strategy<Value = Op> {
    let outcome = prop_oneof![
        3 => Just(PermitOutcome::Answered),
        1 => Just(PermitOutcome::Failed),
        1 => Just(PermitOutcome::Unused),
    ];
    prop_oneof![
        8 => (50u64..2000).prop_map(|wait_limit_ms| Op::Push { wait_limit_ms }),
        6 => (0usize..20, outcome).prop_map(|(index, outcome)| Op::Release { index, outcome }),
        2 => (1u64..300).prop_map(Op::Wait),
        1 => prop::sample::subsequence(vec![0, 1, 2], 0..=SERVERS).prop_map(Op::List),
    ]
}

fn server(number: usize) -> ServerName {
    ServerName::try_from(format!("s{number}")).expect("a valid name")
}

fn listed(numbers: &[usize]) -> Vec<ListedServer> {
    let entry = |number: &usize| ListedServer {
        name: server(*number),
        slots: SLOTS as u32,
        domain: DomainName::try_from("north").expect("a valid name"),
        limit: None,
    };
    numbers.iter().map(entry).collect()
}

/// A queue, and the permits that it has granted and that are neither released nor expired.
struct PermitHolder {
    queue: PermitQueue,
    now: Instant,
    listed: Vec<usize>,
    /// When callers stop waiting, by the requests' numbers.
    deadlines: Vec<Instant>,
    granted: Vec<(RequestKey, ServerName)>,
}

impl PermitHolder {
    fn new() -> Self {
        let now = Instant::now();
        let mut holder = Self {
            queue: PermitQueue::default(),
            now,
            listed: Vec::new(),
            deadlines: Vec::new(),
            granted: Vec::new(),
        };
        holder.list(vec![0, 1, 2]);
        holder
    }

    fn list(&mut self, numbers: Vec<usize>) {
        self.queue.update_servers(listed(&numbers), self.now);
        self.listed = numbers;
    }

    fn push(&mut self, wait_limit_ms: u64) {
        let wait_limit = Duration::from_millis(wait_limit_ms);
        let request = PlainRequest {
            urgency: 1,
            target_time: wait_limit,
            wait_limit,
            domain: DomainName::try_from("north").expect("a valid name"),
            avoid: Vec::new(),
        };
        let number = self.deadlines.len() as u64;
        self.deadlines.push(self.now + wait_limit);
        self.queue.push((MemberId(1), number), request, self.now);
    }

    fn release(&mut self, index: usize, outcome: PermitOutcome) {
        if index < self.granted.len() {
            let (key, _) = self.granted.swap_remove(index);
            self.queue.release(key, outcome, self.now);
        }
    }

    /// Drops expired permits and grants all free ones; returns how many were granted.
    fn grant_all(&mut self) -> usize {
        let deadlines = &self.deadlines;
        self.granted.retain(|((_, number), _)| self.now < deadlines[*number as usize]);
        let before = self.granted.len();
        while let Some(decision) = self.queue.next_decision(self.now) {
            if let QueueDecision::Grant(key, at) = decision {
                assert!(self.listed.iter().any(|number| server(*number) == at));
                self.granted.push((key, at));
            }
        }
        for number in 0..SERVERS {
            let here =
                self.granted.iter().filter(|(_, at)| *at == server(number)).count();
            assert!(here <= SLOTS + EXTRA_PERMITS, "{here} permits for s{number}");
        }
        self.granted.len() - before
    }
}

proptest! {
    // No server gets more permits than it has slots and extra permits; once all are
    // released, the slots of all servers are free.
    #[test]
    fn permits_are_neither_lost_nor_granted_twice(
        ops in prop::collection::vec(op(), 1..200),
    ) {
        let mut holder = PermitHolder::new();
        for op in ops {
            match op {
                Op::Push { wait_limit_ms } => holder.push(wait_limit_ms),
                Op::Release { index, outcome } => holder.release(index, outcome),
                Op::Wait(ms) => holder.now += Duration::from_millis(ms),
                Op::List(numbers) => holder.list(numbers),
            }
            holder.grant_all();
        }
        while !holder.granted.is_empty() {
            holder.release(0, PermitOutcome::Answered);
        }
        // Failure rates decay, and deadlines pass.
        holder.now += Duration::from_secs(60);
        holder.list(vec![0, 1, 2]);
        holder.grant_all();
        for _ in 0..SERVERS * SLOTS {
            holder.push(1000);
        }
        prop_assert_eq!(holder.grant_all(), SERVERS * SLOTS);
    }
}
