//! A request's attempts under any order of lost answers, servers that stand still and go
//! on, rejections, streams that break off, and restarts under the same name.
//!
//! The servers count what they really run, also of requests that they read long after
//! their daemon has given them up. What the caller is told must be true of that count.

use std::collections::HashSet;
use std::time::Duration;

use chestnut_base::ServerName;
use chestnut_edge::RouteKind;
use chestnut_gate::events::{EventDecoder, Sequence};
use chestnut_pool::{AttemptOutcome, Attempts, Incarnation, RetryDecision};
use proptest::prelude::*;

const SERVERS: usize = 4;

/// Attempts of one request before its daemon gives up, as many as there are steps.
const STEPS: usize = 14;

/// What becomes of an attempt.
#[derive(Debug, Clone, Copy)]
enum Fate {
    /// The server can't be connected to.
    Unsent,
    /// The server says that it did not run the request.
    Rejected,
    /// The connection ends before the server has read the request.
    LostBefore,
    /// The server runs the request, and its answer is lost.
    LostAfter,
    /// The server stands still, and reads the request after so many steps.
    Frozen { steps: usize, seen: Given },
    /// The server runs the request and says that it failed.
    Failed,
    /// The server answers with a stream of which so many bytes arrive.
    Streams { bytes: usize, early: bool },
    /// The server answers.
    Answered,
}

/// How the daemon gives up a server that stands still.
#[derive(Debug, Clone, Copy)]
enum Given {
    Lost,
    Silent,
    Late,
}

#[derive(Debug, Clone, Copy)]
struct Step {
    server: usize,
    fate: Fate,
    /// Whether the service's budget has a repeat left.
    granted: bool,
    /// A server that starts again under its name before this step.
    restart: Option<usize>,
}

/// What the caller has in the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Told {
    Whole,
    Failed,
    /// A stream that was cut off.
    Cut,
    InDoubt,
    NotRun,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Began {
    server: usize,
    born: u64,
}

/// The servers themselves.
#[derive(Default)]
struct Servers {
    born: [u64; SERVERS],
    /// What ran, by the run of the server.
    ran: Vec<Began>,
    /// Requests that lie at a server that stands still, and in how many steps it reads.
    unread: Vec<(Began, usize)>,
}

impl Servers {
    fn run(&self, server: usize) -> Began {
        Began { server, born: self.born[server] }
    }

    fn advance(&mut self, restart: Option<usize>) {
        if let Some(server) = restart {
            self.born[server] += 1;
        }
        let born = self.born;
        self.unread.retain(|(began, _)| began.born == born[began.server]);
        for (_, steps) in &mut self.unread {
            *steps = steps.saturating_sub(1);
        }
        let due = self.unread.extract_if(.., |(_, steps)| *steps == 0);
        self.ran.extend(due.map(|(began, _)| began));
    }

    fn is_up(&self, run: &Incarnation) -> bool {
        (0..SERVERS).any(|server| named(self.run(server)) == *run)
    }
}

fn named(began: Began) -> Incarnation {
    let name = format!("s{}", began.server);
    let server = ServerName::try_from(name).expect("a valid name");
    Incarnation { server, started_at: Some(began.born) }
}

/// A daemon that serves one request.
struct Daemon {
    kind: RouteKind,
    attempts: Attempts,
    servers: Servers,
    events: EventDecoder,
    sequence: Sequence,
    /// Whether the caller has the head of a stream.
    begun: bool,
    /// The numbers of the events that the caller has.
    passed: Vec<u64>,
    /// The length of the whole stream.
    whole: u64,
}

/// What an attempt brought.
enum Brought {
    Told(Told),
    Missed(AttemptOutcome),
}

impl Daemon {
    fn new(kind: RouteKind, most: u32, whole: u64) -> Self {
        Self {
            kind,
            attempts: Attempts::new(kind, most),
            servers: Servers::default(),
            events: EventDecoder::default(),
            sequence: Sequence::after(None),
            begun: false,
            passed: Vec::new(),
            whole,
        }
    }

    /// Serves the request; the servers go on afterwards.
    fn serve(&mut self, steps: &[Step]) -> Told {
        let told = self.attempt_all(steps);
        for _ in 0..STEPS {
            self.servers.advance(None);
        }
        told
    }

    fn attempt_all(&mut self, steps: &[Step]) -> Told {
        for step in steps {
            self.servers.advance(step.restart);
            let began = self.servers.run(step.server);
            let up = |run: &Incarnation| self.servers.is_up(run);
            let only = self.attempts.restricted_to(up);
            if only.is_some_and(|runs| !runs.contains(&named(began))) {
                continue;
            }
            let begun = self.begun;
            let ended = match self.send(began, step.fate) {
                Brought::Told(told) => return told,
                Brought::Missed(ended) => ended,
            };
            let follow = self.attempts.record(named(began), ended);
            let goes_on = match (follow, begun) {
                // A stream that goes on has no other end than its last event.
                (_, true) => step.granted && ended != AttemptOutcome::TimedOut,
                (RetryDecision::Retry, _) => true,
                (RetryDecision::RetryWithinBudget, _) => step.granted,
                (RetryDecision::GiveUp, _) => false,
            };
            if !goes_on {
                return self.give_up(ended);
            }
        }
        self.give_up(AttemptOutcome::NotSent)
    }

    fn give_up(&self, ended: AttemptOutcome) -> Told {
        if self.begun {
            return Told::Cut;
        }
        match ended {
            AttemptOutcome::Failed => Told::Failed,
            AttemptOutcome::ResponseLost | AttemptOutcome::TimedOut => Told::InDoubt,
            _ if self.attempts.may_have_run() => Told::InDoubt,
            _ => Told::NotRun,
        }
    }

    fn send(&mut self, began: Began, fate: Fate) -> Brought {
        let streams = matches!(self.kind, RouteKind::Stream { .. });
        match fate {
            Fate::Unsent => return Brought::Missed(AttemptOutcome::NotSent),
            Fate::Rejected => return Brought::Missed(AttemptOutcome::Rejected),
            Fate::LostBefore => return Brought::Missed(AttemptOutcome::ResponseLost),
            Fate::Frozen { steps, seen } => {
                self.servers.unread.push((began, steps));
                return Brought::Missed(match seen {
                    Given::Silent if self.attempts.may_abandon() => {
                        AttemptOutcome::Unresponsive
                    }
                    Given::Late => AttemptOutcome::TimedOut,
                    Given::Lost | Given::Silent => AttemptOutcome::ResponseLost,
                });
            }
            Fate::LostAfter | Fate::Failed => {}
            Fate::Streams { .. } | Fate::Answered => {}
        }
        self.servers.ran.push(began);
        match fate {
            Fate::Failed => Brought::Missed(AttemptOutcome::Failed),
            Fate::Streams { bytes, early } if streams => self.relay(bytes, early),
            Fate::Answered if streams => self.relay(usize::MAX, false),
            Fate::Answered => Brought::Told(Told::Whole),
            _ => Brought::Missed(AttemptOutcome::ResponseLost),
        }
    }

    /// Passes on what arrives of a stream, from the event after the last one, or from an
    /// earlier one by the server's own fault.
    fn relay(&mut self, bytes: usize, early: bool) -> Brought {
        self.begun = true;
        self.events.discard_partial();
        let first = if early { 1 } else { self.sequence.last().unwrap_or(0) + 1 };
        let text = |id| format!("id: {id}\ndata: token {id}\n\n");
        let stream: String = (first..=self.whole).map(text).collect();
        let arrived = bytes.min(stream.len());
        self.events.push(&stream.as_bytes()[..arrived]).expect("events are small");
        while let Some(event) = self.events.next_event() {
            if self.sequence.accept(&event).is_err() {
                return Brought::Missed(AttemptOutcome::Interrupted);
            }
            self.passed.extend(event.id);
        }
        match arrived == stream.len() {
            true => Brought::Told(Told::Whole),
            false => Brought::Missed(AttemptOutcome::Interrupted),
        }
    }
}

fn kind() -> impl Strategy<Value = RouteKind> {
    let stream = |resumable| RouteKind::Stream {
        resumable,
        event_gap: Some(Duration::from_millis(200)),
    };
    prop_oneof![
        Just(RouteKind::Idempotent),
        Just(RouteKind::NonIdempotent),
        Just(stream(true)),
        Just(stream(false)),
    ]
}

fn fate() -> impl Strategy<Value = Fate> {
    let seen = prop_oneof![Just(Given::Lost), Just(Given::Silent), Just(Given::Late)];
    prop_oneof![
        2 => Just(Fate::Unsent),
        2 => Just(Fate::Rejected),
        1 => Just(Fate::LostBefore),
        2 => Just(Fate::LostAfter),
        2 => (1usize..8, seen).prop_map(|(steps, seen)| Fate::Frozen { steps, seen }),
        1 => Just(Fate::Failed),
        4 => (0usize..120, prop::bool::weighted(0.2))
            .prop_map(|(bytes, early)| Fate::Streams { bytes, early }),
        1 => Just(Fate::Answered),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let restart = prop::option::weighted(0.2, 0..SERVERS);
    (0..SERVERS, fate(), prop::bool::weighted(0.8), restart).prop_map(
        |(server, fate, granted, restart)| Step { server, fate, granted, restart },
    )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    // What must run once at most has run once at most, also when servers go on that stood
    // still; who was told that the request has not run was told the truth; a stream that
    // went on elsewhere brought each event once and in order, and is whole only with all.
    #[test]
    fn what_callers_are_told_is_true(
        kind in kind(),
        most in 1u32..4,
        whole in 1u64..8,
        steps in prop::collection::vec(step(), 1..STEPS),
    ) {
        let mut daemon = Daemon::new(kind, most, whole);
        let told = daemon.serve(&steps);
        let ran = &daemon.servers.ran;
        if !kind.is_repeatable() {
            prop_assert!(ran.len() <= 1, "{told:?} {ran:?}");
        }
        if told == Told::NotRun {
            prop_assert!(ran.is_empty(), "{ran:?}");
        }
        let numbers: Vec<u64> = (1..=daemon.passed.len() as u64).collect();
        prop_assert_eq!(&daemon.passed, &numbers);
        if told == Told::Whole && matches!(kind, RouteKind::Stream { .. }) {
            prop_assert_eq!(numbers.len() as u64, whole);
        }
    }

    // A request that breaks whatever runs it reaches no more servers than its route allows,
    // but for those that have ended since.
    #[test]
    fn a_request_reaches_few_servers(
        kind in kind(),
        most in 1u32..4,
        whole in 1u64..8,
        steps in prop::collection::vec(step(), 1..STEPS),
    ) {
        let mut daemon = Daemon::new(kind, most, whole);
        daemon.serve(&steps);
        let born = daemon.servers.born;
        let up = daemon.servers.ran.iter().filter(|began| began.born == born[began.server]);
        let reached: HashSet<&Began> = up.collect();
        prop_assert!(reached.len() <= most as usize, "{reached:?}");
    }
}
