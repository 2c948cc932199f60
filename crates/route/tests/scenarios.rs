//! Runs the text cases in `cases/` against routers, leads and a small engine.
//!
//! A case's input has one statement a line:
//!
//! - `servers 3 streams 4 step 10ms`: the backend servers,
//! - `slow 0 from 1s to 3s times 5`: a time in which one of them is slow,
//! - `send from 0s to 2s every 20ms caller desk class urgent within 800ms tokens 10`:
//!   requests; `tokens` is the length of the answer,
//! - `need desk 95%`: the part that a caller must have answered in time.
//!
//! The output tells, for the daemon's policy and for the naive one (round robin,
//! first come, first served), what each caller received.

use std::fmt::Write;
use std::time::{Duration, Instant};

use chestnut_admit::{
    AdmissionController, AdmissionPolicy, AttemptEnd, Effect, Job, Limits, Ticket,
};
use chestnut_base::{CallerName, ServerName, TeamName, Urgency};
use chestnut_route::{
    Candidate, Feedback, LoadReport, RouteRequest, Router, RoutingPolicy, ServerKey,
};
use indexmap::IndexMap;

/// The unit in which virtual time passes.
const TICK: Duration = Duration::from_millis(1);

/// The pause of a caller that was not told when to come back.
const UNTOLD: Duration = Duration::from_millis(50);

/// The end of every case.
const END: Duration = Duration::from_secs(30);

#[test]
fn cases() {
    datadriven::walk("tests/cases", |file| {
        file.run(|case| {
            assert_eq!(case.directive, "load", "the only directive is `load`");
            let script = Script::parse(&case.input);
            let chosen =
                Play::new(&script, RoutingPolicy::Estimate, AdmissionPolicy::default())
                    .run();
            let naive =
                Play::new(&script, RoutingPolicy::RoundRobin, AdmissionPolicy::FIFO)
                    .run();
            let mut text = report("chosen", &script, &chosen);
            text.push_str(&report("naive", &script, &naive));
            text
        });
    });
}

#[derive(Debug, Clone, Default)]
struct Script {
    servers: usize,
    streams: u32,
    step: Duration,
    /// Server, from, to, how many times as slow.
    slow: Vec<(usize, Duration, Duration, u32)>,
    requests: Vec<Request>,
    /// Callers and the percentage that must be in time.
    needs: Vec<(String, usize)>,
}

#[derive(Debug, Clone)]
struct Request {
    at: Duration,
    caller: String,
    urgency: Urgency,
    within: Duration,
    tokens: u32,
}

impl Script {
    fn parse(input: &str) -> Self {
        let mut script = Self::default();
        for line in input.lines() {
            let words: Vec<&str> = line.split_whitespace().collect();
            match words[..] {
                ["servers", servers, "streams", streams, "step", step] => {
                    script.servers = servers.parse().unwrap();
                    script.streams = streams.parse().unwrap();
                    script.step = time(step);
                }
                ["slow", server, "from", from, "to", to, "times", times] => {
                    let server = server.parse().unwrap();
                    let times = times.parse().unwrap();
                    script.slow.push((server, time(from), time(to), times));
                }
                [
                    "send",
                    "from",
                    from,
                    "to",
                    to,
                    "every",
                    every,
                    "caller",
                    caller,
                    "class",
                    class,
                    "within",
                    within,
                    "tokens",
                    tokens,
                ] => {
                    let mut at = time(from);
                    while at < time(to) {
                        script.requests.push(Request {
                            at,
                            caller: caller.to_owned(),
                            urgency: urgency(class),
                            within: time(within),
                            tokens: tokens.parse().unwrap(),
                        });
                        at += time(every);
                    }
                }
                ["need", caller, part] => {
                    let part = part.trim_end_matches('%').parse().unwrap();
                    script.needs.push((caller.to_owned(), part));
                }
                _ => panic!("unknown statement: {line}"),
            }
        }
        script.requests.sort_by_key(|request| request.at);
        script
    }
}

/// What became of a request.
#[derive(Debug, Clone, Copy, Default)]
struct Fate {
    in_time: bool,
    refused: u32,
    preempted: u32,
    /// The longest time from a sending to the refusal.
    told: Duration,
}

struct Server {
    lead: AdmissionController,
    key: ServerKey,
    tickets: IndexMap<Ticket, usize>,
    /// Running requests.
    streams: Vec<usize>,
    next: Duration,
}

struct Play<'a> {
    script: &'a Script,
    policy: RoutingPolicy,
    router: Router,
    servers: Vec<Server>,
    fates: Vec<Fate>,
    /// Tokens that each caller has.
    got: Vec<u32>,
    /// When each request is sent next; nothing while it is served or over.
    due: Vec<Option<Duration>>,
    sent: Vec<Duration>,
    tried: Vec<Vec<usize>>,
    now: Duration,
    start: Instant,
}

impl<'a> Play<'a> {
    fn new(script: &'a Script, policy: RoutingPolicy, rule: AdmissionPolicy) -> Self {
        let start = Instant::now();
        let mut router = Router::new(policy, 7);
        let limits = Limits {
            max_streams: script.streams,
            max_cache_tokens: 1 << 20,
            max_queued: 64,
            step_time: script.step,
        };
        let servers = (0..script.servers)
            .map(|index| {
                let name = ServerName::try_from(format!("server-{index}")).unwrap();
                Server {
                    lead: AdmissionController::new(limits, rule, start),
                    key: router.server_key(&name),
                    tickets: IndexMap::new(),
                    streams: Vec::new(),
                    next: Duration::ZERO,
                }
            })
            .collect();
        let count = script.requests.len();
        Self {
            script,
            policy,
            router,
            servers,
            fates: vec![Fate::default(); count],
            got: vec![0; count],
            due: script.requests.iter().map(|request| Some(request.at)).collect(),
            sent: vec![Duration::ZERO; count],
            tried: vec![Vec::new(); count],
            now: Duration::ZERO,
            start,
        }
    }

    fn run(mut self) -> Vec<Fate> {
        while self.now < END {
            for index in 0..self.due.len() {
                if self.due[index].is_some_and(|due| due <= self.now) {
                    self.due[index] = None;
                    self.sent[index] = self.now;
                    self.tried[index].clear();
                    self.send(index);
                }
            }
            for server in 0..self.servers.len() {
                self.step(server);
                if self.now.as_millis().is_multiple_of(100) {
                    let now = self.instant();
                    self.servers[server].lead.tick(now);
                    self.carry_out(server);
                }
            }
            self.now += TICK;
        }
        self.fates
    }

    fn send(&mut self, index: usize) {
        let request = &self.script.requests[index];
        let deadline = request.at + request.within;
        if self.now >= deadline {
            return;
        }
        let candidates: Vec<Candidate> = (0..self.servers.len())
            .filter(|server| !self.tried[index].contains(server))
            .map(|server| Candidate {
                server: self.servers[server].key,
                extra_latency: Duration::ZERO,
                streams: self.script.streams,
                step_time: self.script.step,
            })
            .collect();
        let ask = RouteRequest {
            prompt_tokens: 10,
            output_tokens: request.tokens,
            prefix_blocks: &[],
        };
        let Some(key) = self.router.choose(&candidates, ask, self.instant()) else {
            return;
        };
        let server = self.servers.iter().position(|server| server.key == key).unwrap();
        self.tried[index].push(server);
        self.router.begin_attempt(key, &[]);
        let job = Job {
            caller: CallerName::try_from(request.caller.as_str()).unwrap(),
            team: TeamName::try_from(request.caller.as_str()).unwrap(),
            share: 1,
            urgency: request.urgency,
            deadline: self.start + deadline,
            prompt_tokens: 10,
            max_output_tokens: request.tokens - self.got[index],
            resumable: true,
            resumed: self.got[index] > 0,
        };
        let now = self.instant();
        let ticket = self.servers[server].lead.offer(job, now);
        self.servers[server].tickets.insert(ticket, index);
        self.carry_out(server);
    }

    fn carry_out(&mut self, server: usize) {
        for effect in self.servers[server].lead.take_effects() {
            match effect {
                Effect::Dispatch(ticket) => {
                    let index = self.servers[server].tickets[&ticket];
                    self.servers[server].streams.push(index);
                }
                Effect::Refuse(ticket, rejection) => {
                    let index = self.end(server, ticket);
                    self.report(server);
                    let fate = &mut self.fates[index];
                    fate.refused += 1;
                    fate.told = fate.told.max(self.now - self.sent[index]);
                    self.due[index] =
                        Some(self.now + rejection.retry_after.unwrap_or(UNTOLD));
                }
                Effect::Preempt(ticket) => {
                    let index = self.end(server, ticket);
                    let now = self.instant();
                    self.servers[server].lead.finish(ticket, AttemptEnd::Cancelled, now);
                    self.fates[index].preempted += 1;
                    self.tried[index].clear();
                    self.send(index);
                    self.carry_out(server);
                }
            }
        }
    }

    fn end(&mut self, server: usize, ticket: Ticket) -> usize {
        let server = &mut self.servers[server];
        let index = server.tickets.swap_remove(&ticket).unwrap();
        server.streams.retain(|&other| other != index);
        self.router.end_attempt(server.key);
        index
    }

    /// One step of an engine: each stream gets a token.
    fn step(&mut self, server: usize) {
        if self.now < self.servers[server].next {
            return;
        }
        let slow = self.script.slow.iter().find(|&&(slow, from, to, _)| {
            slow == server && from <= self.now && self.now < to
        });
        let times = slow.map_or(1, |&(.., times)| times);
        self.servers[server].next = self.now + self.script.step * times;
        let now = self.instant();
        for (ticket, index) in self.servers[server].tickets.clone() {
            if !self.servers[server].streams.contains(&index) {
                continue;
            }
            self.got[index] += 1;
            self.servers[server].lead.record_tokens(ticket, 1, now);
            let request = &self.script.requests[index];
            let whole = self.got[index] == request.tokens;
            let late = self.now > request.at + request.within;
            if whole || late {
                let how =
                    if whole { AttemptEnd::Completed } else { AttemptEnd::Cancelled };
                self.fates[index].in_time = whole && !late;
                self.end(server, ticket);
                self.servers[server].lead.finish(ticket, how, now);
                self.report(server);
            }
        }
        self.carry_out(server);
    }

    fn report(&mut self, server: usize) {
        if self.policy != RoutingPolicy::Estimate {
            return;
        }
        let now = self.instant();
        let load = self.servers[server].lead.snapshot(now);
        let report = LoadReport {
            running: load.running,
            queued: load.queued,
            estimated_wait: load.estimated_wait,
            step_time: load.step_time,
        };
        self.router.record(self.servers[server].key, Feedback::Load(report), now);
    }

    fn instant(&self) -> Instant {
        self.start + self.now
    }
}

fn report(name: &str, script: &Script, fates: &[Fate]) -> String {
    let mut callers: IndexMap<&str, (usize, Fate, usize)> = IndexMap::new();
    for (request, fate) in script.requests.iter().zip(fates) {
        let (all, sum, met) = callers.entry(&request.caller).or_default();
        *all += 1;
        *met += usize::from(fate.in_time);
        sum.refused += fate.refused;
        sum.preempted += fate.preempted;
        sum.told = sum.told.max(fate.told);
    }
    let mut text = String::new();
    let mut served = true;
    for (caller, (all, sum, met)) in &callers {
        let need = script.needs.iter().find(|(name, _)| name == caller);
        served &= need.is_none_or(|&(_, part)| met * 100 >= all * part);
        writeln!(
            text,
            "{name}: {caller} {met} of {all} in time, {} refusals, {} preempted",
            sum.refused, sum.preempted
        )
        .unwrap();
    }
    writeln!(text, "{name}: {}", if served { "served" } else { "FAILED" }).unwrap();
    text
}

fn time(text: &str) -> Duration {
    match text.strip_suffix("ms") {
        Some(millis) => Duration::from_millis(millis.parse().unwrap()),
        None => Duration::from_secs(text.trim_end_matches('s').parse().unwrap()),
    }
}

fn urgency(text: &str) -> Urgency {
    match text {
        "urgent" => Urgency::Urgent,
        "normal" => Urgency::Normal,
        "slow" => Urgency::Slow,
        _ => panic!("unknown class: {text}"),
    }
}
