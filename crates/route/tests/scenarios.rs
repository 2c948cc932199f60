//! Load scenarios from `cases/`, with real routers and admission controllers and simple
//! simulated engines.
//!
//! The input of a case has one statement per line:
//!
//! - `servers 3 streams 4 step 10ms`: the backend servers,
//! - `slow 0 from 1s to 3s times 5`: a period in which one of them is slower,
//! - `send from 0s to 2s every 20ms caller desk class urgent within 800ms tokens 10`:
//!   requests; `within` is the time budget, `tokens` the length of the response,
//! - `need desk 95%`: the percentage of a caller's requests that must be in time.
//!
//! The output shows what each caller got, under the daemon's policies (`chosen`) and
//! under the baseline (`naive`: round robin; first come, first served).

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

/// The step of virtual time.
const TICK: Duration = Duration::from_millis(1);

/// The retry delay of a caller whose refusal names none.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The length of every case.
const CASE_LENGTH: Duration = Duration::from_secs(30);

#[test]
fn cases() {
    datadriven::walk("tests/cases", |file| {
        file.run(|case| {
            assert_eq!(case.directive, "load", "the only directive is `load`");
            let script = Script::parse(&case.input);
            let chosen = Simulation::new(
                &script,
                RoutingPolicy::Estimate,
                AdmissionPolicy::default(),
            )
            .run();
            let naive = Simulation::new(
                &script,
                RoutingPolicy::RoundRobin,
                AdmissionPolicy::FIFO,
            )
            .run();
            let mut text = summarize("chosen", &script, &chosen);
            text.push_str(&summarize("naive", &script, &naive));
            text
        });
    });
}

#[derive(Debug, Clone, Default)]
struct Script {
    servers: usize,
    streams: u32,
    step_time: Duration,
    /// Slow periods: server, start, end, factor on the step time.
    slow_periods: Vec<(usize, Duration, Duration, u32)>,
    requests: Vec<Request>,
    /// Callers and the percentage of their requests that must be in time.
    required: Vec<(String, usize)>,
}

#[derive(Debug, Clone)]
struct Request {
    send_at: Duration,
    caller: String,
    urgency: Urgency,
    budget: Duration,
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
                    script.step_time = duration(step);
                }
                ["slow", server, "from", from, "to", to, "times", times] => {
                    let server = server.parse().unwrap();
                    let times = times.parse().unwrap();
                    script.slow_periods.push((
                        server,
                        duration(from),
                        duration(to),
                        times,
                    ));
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
                    let mut send_at = duration(from);
                    while send_at < duration(to) {
                        script.requests.push(Request {
                            send_at,
                            caller: caller.to_owned(),
                            urgency: urgency(class),
                            budget: duration(within),
                            tokens: tokens.parse().unwrap(),
                        });
                        send_at += duration(every);
                    }
                }
                ["need", caller, percentage] => {
                    let percentage = percentage.trim_end_matches('%').parse().unwrap();
                    script.required.push((caller.to_owned(), percentage));
                }
                _ => panic!("unknown statement: {line}"),
            }
        }
        script.requests.sort_by_key(|request| request.send_at);
        script
    }
}

/// The result of a request.
#[derive(Debug, Clone, Copy, Default)]
struct RequestResult {
    in_time: bool,
    refusals: u32,
    preemptions: u32,
    /// The longest time from sending to refusal.
    max_refusal_time: Duration,
}

struct Server {
    controller: AdmissionController,
    key: ServerKey,
    /// The request of each ticket, as an index into the script.
    tickets: IndexMap<Ticket, usize>,
    /// Requests that run.
    running: Vec<usize>,
    next_step_at: Duration,
}

struct Simulation<'a> {
    script: &'a Script,
    routing_policy: RoutingPolicy,
    router: Router,
    servers: Vec<Server>,
    results: Vec<RequestResult>,
    /// Tokens received so far, by request.
    received_tokens: Vec<u32>,
    /// When each request is sent next; `None` while it is in progress or once it has
    /// ended.
    next_send_at: Vec<Option<Duration>>,
    /// When each request was last sent.
    sent_at: Vec<Duration>,
    /// Servers tried for each request since it was last sent or preempted.
    tried_servers: Vec<Vec<usize>>,
    now: Duration,
    start: Instant,
}

impl<'a> Simulation<'a> {
    fn new(
        script: &'a Script,
        routing_policy: RoutingPolicy,
        admission_policy: AdmissionPolicy,
    ) -> Self {
        let start = Instant::now();
        let mut router = Router::new(routing_policy, 7);
        let limits = Limits {
            max_streams: script.streams,
            max_cache_tokens: 1 << 20,
            max_queued: 64,
            step_time: script.step_time,
        };
        let servers = (0..script.servers)
            .map(|index| {
                let name = ServerName::try_from(format!("server-{index}")).unwrap();
                Server {
                    controller: AdmissionController::new(limits, admission_policy, start),
                    key: router.server_key(&name),
                    tickets: IndexMap::new(),
                    running: Vec::new(),
                    next_step_at: Duration::ZERO,
                }
            })
            .collect();
        let count = script.requests.len();
        Self {
            script,
            routing_policy,
            router,
            servers,
            results: vec![RequestResult::default(); count],
            received_tokens: vec![0; count],
            next_send_at: script
                .requests
                .iter()
                .map(|request| Some(request.send_at))
                .collect(),
            sent_at: vec![Duration::ZERO; count],
            tried_servers: vec![Vec::new(); count],
            now: Duration::ZERO,
            start,
        }
    }

    fn run(mut self) -> Vec<RequestResult> {
        while self.now < CASE_LENGTH {
            for index in 0..self.next_send_at.len() {
                if self.next_send_at[index].is_some_and(|at| at <= self.now) {
                    self.next_send_at[index] = None;
                    self.sent_at[index] = self.now;
                    self.tried_servers[index].clear();
                    self.offer(index);
                }
            }
            for server in 0..self.servers.len() {
                self.step_engine(server);
                if self.now.as_millis().is_multiple_of(100) {
                    let now = self.instant();
                    self.servers[server].controller.tick(now);
                    self.apply_effects(server);
                }
            }
            self.now += TICK;
        }
        self.results
    }

    fn offer(&mut self, index: usize) {
        let request = &self.script.requests[index];
        let deadline = request.send_at + request.budget;
        if self.now >= deadline {
            return;
        }
        let candidates: Vec<Candidate> = (0..self.servers.len())
            .filter(|server| !self.tried_servers[index].contains(server))
            .map(|server| Candidate {
                server: self.servers[server].key,
                extra_latency: Duration::ZERO,
                streams: self.script.streams,
                step_time: self.script.step_time,
            })
            .collect();
        let route_request = RouteRequest {
            prompt_tokens: 10,
            output_tokens: request.tokens,
            prefix_blocks: &[],
        };
        let Some(key) = self.router.choose(&candidates, route_request, self.instant())
        else {
            return;
        };
        let server = self.servers.iter().position(|server| server.key == key).unwrap();
        self.tried_servers[index].push(server);
        self.router.begin_attempt(key, &[]);
        let job = Job {
            caller: CallerName::try_from(request.caller.as_str()).unwrap(),
            team: TeamName::try_from(request.caller.as_str()).unwrap(),
            share: 1,
            urgency: request.urgency,
            deadline: self.start + deadline,
            prompt_tokens: 10,
            max_output_tokens: request.tokens - self.received_tokens[index],
            resumable: true,
            resumed: self.received_tokens[index] > 0,
        };
        let now = self.instant();
        let ticket = self.servers[server].controller.offer(job, now);
        self.servers[server].tickets.insert(ticket, index);
        self.apply_effects(server);
    }

    fn apply_effects(&mut self, server: usize) {
        for effect in self.servers[server].controller.take_effects() {
            match effect {
                Effect::Dispatch(ticket) => {
                    let index = self.servers[server].tickets[&ticket];
                    self.servers[server].running.push(index);
                }
                Effect::Refuse(ticket, rejection) => {
                    let index = self.end_attempt(server, ticket);
                    self.report_load(server);
                    let result = &mut self.results[index];
                    result.refusals += 1;
                    result.max_refusal_time =
                        result.max_refusal_time.max(self.now - self.sent_at[index]);
                    self.next_send_at[index] = Some(
                        self.now + rejection.retry_after.unwrap_or(DEFAULT_RETRY_DELAY),
                    );
                }
                Effect::Preempt(ticket) => {
                    let index = self.end_attempt(server, ticket);
                    let now = self.instant();
                    self.servers[server].controller.finish(
                        ticket,
                        AttemptEnd::Cancelled,
                        now,
                    );
                    self.results[index].preemptions += 1;
                    self.tried_servers[index].clear();
                    self.offer(index);
                    self.apply_effects(server);
                }
            }
        }
    }

    fn end_attempt(&mut self, server: usize, ticket: Ticket) -> usize {
        let server = &mut self.servers[server];
        let index = server.tickets.swap_remove(&ticket).unwrap();
        server.running.retain(|&other| other != index);
        self.router.end_attempt(server.key);
        index
    }

    /// Runs one engine step if it is due: each stream gets a token.
    fn step_engine(&mut self, server: usize) {
        if self.now < self.servers[server].next_step_at {
            return;
        }
        let period = self.script.slow_periods.iter().find(|&&(slow, from, to, _)| {
            slow == server && from <= self.now && self.now < to
        });
        let factor = period.map_or(1, |&(.., factor)| factor);
        self.servers[server].next_step_at = self.now + self.script.step_time * factor;
        let now = self.instant();
        for (ticket, index) in self.servers[server].tickets.clone() {
            if !self.servers[server].running.contains(&index) {
                continue;
            }
            self.received_tokens[index] += 1;
            self.servers[server].controller.record_tokens(ticket, 1, now);
            let request = &self.script.requests[index];
            let complete = self.received_tokens[index] == request.tokens;
            let late = self.now > request.send_at + request.budget;
            if complete || late {
                let end =
                    if complete { AttemptEnd::Completed } else { AttemptEnd::Cancelled };
                self.results[index].in_time = complete && !late;
                self.end_attempt(server, ticket);
                self.servers[server].controller.finish(ticket, end, now);
                self.report_load(server);
            }
        }
        self.apply_effects(server);
    }

    fn report_load(&mut self, server: usize) {
        if self.routing_policy != RoutingPolicy::Estimate {
            return;
        }
        let now = self.instant();
        let load = self.servers[server].controller.snapshot(now);
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

fn summarize(name: &str, script: &Script, results: &[RequestResult]) -> String {
    let mut callers: IndexMap<&str, (usize, RequestResult, usize)> = IndexMap::new();
    for (request, result) in script.requests.iter().zip(results) {
        let (total, sum, in_time) = callers.entry(&request.caller).or_default();
        *total += 1;
        *in_time += usize::from(result.in_time);
        sum.refusals += result.refusals;
        sum.preemptions += result.preemptions;
        sum.max_refusal_time = sum.max_refusal_time.max(result.max_refusal_time);
    }
    let mut text = String::new();
    let mut served = true;
    for (caller, (total, sum, in_time)) in &callers {
        let required = script.required.iter().find(|(name, _)| name == caller);
        served &=
            required.is_none_or(|&(_, percentage)| in_time * 100 >= total * percentage);
        writeln!(
            text,
            "{name}: {caller} {in_time} of {total} in time, {} refusals, {} preempted",
            sum.refusals, sum.preemptions
        )
        .unwrap();
    }
    writeln!(text, "{name}: {}", if served { "served" } else { "FAILED" }).unwrap();
    text
}

fn duration(text: &str) -> Duration {
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
