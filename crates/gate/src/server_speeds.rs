//! Passes on what streams and first events tell about the speeds of runners.
//!
//! The daemon that relayed a stream sends its step time to the runner's holder, which learns
//! the speed of the runner from it ([`chestnut_pool::speed`]). Holders send the ratios of
//! their runners to the planner. Nothing is learned or sent for a service whose policy does
//! not say so. A lost message is a sample less, or repeated two seconds later.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnut_base::{Incarnation, ModelName, ServerName, ServiceName};
use chestnut_pool::speed::{ServerSpeed, StepSample, StreamGaps};
use indexmap::IndexMap;
use slog::{Logger, info};

use crate::attempt::Target;
use crate::holder::{self, HeldRunner};
use crate::job::Job;
use crate::message::Message;
use crate::metrics::Step;
use crate::shared::Shared;

/// Relative change of a ratio that is logged.
const LOGGED_CHANGE: f64 = 0.1;

/// The largest number of runners in one datagram; with names of 16 bytes they take 5 KB.
const SPEEDS_PER_MESSAGE: usize = 256;

/// The event gaps of a stream that this daemon relays from one runner.
pub struct RelayedStream {
    service: ServiceName,
    server: Incarnation,
    /// The tokens in an event.
    tokens: u32,
    /// The ratio of the runner's steps to nominal ones, as of the start of the stream.
    ratio: f64,
    gaps: StreamGaps,
}

impl RelayedStream {
    /// Starts to observe a stream; `None` if the policy of the service is not to learn.
    pub fn start(job: &Job, target: &Target) -> Option<Self> {
        let (shared, service) = (&job.shared, &job.service);
        let tokens = job.engine()?.event_tokens;
        if !shared.policy(service).server_speeds {
            return None;
        }
        let server = target.incarnation();
        let expected = shared.engine_timings().mean_step_time();
        let ratio = {
            let speeds = shared.server_speeds();
            let speeds = speeds.get(service);
            speeds.map_or(1.0, |speeds| speeds.observed_ratio(&server, expected))
        };
        let (service, gaps) = (service.clone(), StreamGaps::default());
        Some(Self { service, server, tokens, ratio, gaps })
    }

    /// Records the gap before an event; returns that of a nominal runner.
    pub fn record_gap(&mut self, gap: Duration) -> Duration {
        self.gaps.record(gap);
        gap.div_f64(self.ratio)
    }

    /// Reports the stream, which has ended or leaves the runner, to the runner's holder.
    pub fn report(self, shared: &Shared) {
        let Some(sample) = self.gaps.sample(self.tokens) else { return };
        shared.server_speeds().entry(self.service).or_default().record_relayed(
            &self.server,
            sample,
            shared.now(),
        );
        if shared.held_runner(&self.server.server).is_some() {
            apply_sample(shared, &self.server, sample);
        } else if let Some(addr) = holder::holder_addr(shared, &self.server.server) {
            let message = Message::StreamTiming {
                server: self.server,
                step_us: sample.step().as_micros() as u32,
                gaps: sample.gaps(),
            };
            shared.peers.send(addr, message);
        }
    }
}

/// Applies another daemon's report of a stream.
pub fn apply_stream(shared: &Shared, server: &Incarnation, step_us: u32, gaps: u32) {
    let step = Duration::from_micros(step_us.into());
    match StepSample::new(step, gaps) {
        Some(sample) => apply_sample(shared, server, sample),
        None => shared.metrics.count(Step::Speed, "implausible"),
    }
}

fn apply_sample(shared: &Shared, server: &Incarnation, sample: StepSample) {
    let Some(runner) = shared.held_runner(&server.server) else {
        return shared.metrics.count(Step::Speed, "not held");
    };
    let Some(service) = learning_service(shared, &server.server) else { return };
    if runner.started_at() != server.started_at {
        return shared.metrics.count(Step::Speed, "other incarnation");
    }
    let expected = shared.engine_timings().mean_step_time();
    let nominal =
        shared.server_speeds().entry(service).or_default().nominal_step(expected);
    let (before, after) = {
        let mut state = runner.state();
        let before = state.speed;
        state.speed.record_stream(sample, nominal);
        (before, state.speed)
    };
    shared.metrics.count(Step::Speed, "stream");
    log_change(&shared.log, &server.server, &before, &after);
}

/// Records the first event of a prompt that found the runner's engine idle; returns its time
/// at a nominal runner.
pub fn record_first_event(
    shared: &Shared,
    runner: &HeldRunner,
    model: &ModelName,
    tokens: u32,
    time: Duration,
) -> Duration {
    if learning_service(shared, &runner.server).is_none() {
        return time;
    }
    let (before, after, nominal) = {
        let mut state = runner.state();
        let before = state.speed;
        let timings = shared.engine_timings();
        let nominal = state.speed.record_first_event(model, tokens, time, &timings);
        (before, state.speed, nominal)
    };
    shared.metrics.count(Step::Speed, "first event");
    log_change(&shared.log, &runner.server, &before, &after);
    nominal
}

/// Starts the estimates of runners whose claims this daemon has just taken from what it
/// observed of them before.
pub fn start_held(shared: &Shared, servers: &[ServerName]) {
    for name in servers {
        let Some(runner) = shared.held_runner(name) else { continue };
        let Some(service) = learning_service(shared, name) else { continue };
        let server =
            Incarnation { server: name.clone(), started_at: runner.started_at() };
        let expected = shared.engine_timings().mean_step_time();
        let speed = {
            let speeds = shared.server_speeds();
            let Some(speeds) = speeds.get(&service) else { continue };
            ServerSpeed::new(speeds.observed(&server), speeds.nominal_step(expected))
        };
        runner.state().speed = speed;
        info!(shared.log, "runner speed known at start"; "server" => name.as_str(),
            "ratio" => speed.ratio(), "streams" => speed.streams());
    }
}

/// Reports the ratios of held runners of a service that have changed, or were not reported
/// for some time, to the planner at this address; `None` if that is this daemon.
pub fn report_held(shared: &Shared, service: &ServiceName, planner: Option<SocketAddr>) {
    if !shared.policy(service).server_speeds {
        return forget(shared, service);
    }
    let held: Vec<(ServerName, Arc<HeldRunner>)> = {
        let runners = shared.held_runners();
        runners.iter().map(|(name, runner)| (name.clone(), runner.clone())).collect()
    };
    let held = held
        .into_iter()
        .filter(|(name, _)| learning_service(shared, name).as_ref() == Some(service))
        .filter_map(|(name, runner)| Some((name, runner.state().speed.ratio()?)))
        .collect();
    let now = shared.now();
    let due = {
        let mut speeds = shared.server_speeds();
        speeds.entry(service.clone()).or_default().due_reports(held, now)
    };
    if due.is_empty() {
        return;
    }
    shared.metrics.count(Step::Speed, "report");
    let thousandths = |(name, ratio): (ServerName, f64)| (name, (ratio * 1000.0) as u32);
    let speeds: Vec<(ServerName, u32)> = due.into_iter().map(thousandths).collect();
    match planner {
        None => apply_ratios(shared, service.clone(), speeds),
        Some(addr) => {
            for part in speeds.chunks(SPEEDS_PER_MESSAGE) {
                let (service, speeds) = (service.clone(), part.to_vec());
                shared.peers.send(addr, Message::ServerSpeeds { service, speeds });
            }
        }
    }
}

/// Forgets what was learned of a service whose declared routes no longer call for it.
fn forget(shared: &Shared, service: &ServiceName) {
    if shared.server_speeds().swap_remove(service).is_none() {
        return;
    }
    info!(shared.log, "runner speeds forgotten"; "service" => service.as_str());
    let held: Vec<Arc<HeldRunner>> = shared.held_runners().values().cloned().collect();
    for runner in held {
        if learning_service(shared, &runner.server).is_none() {
            runner.state().speed = ServerSpeed::default();
        }
    }
}

/// Applies a holder's report to the planner.
pub fn apply_ratios(
    shared: &Shared,
    service: ServiceName,
    ratios: Vec<(ServerName, u32)>,
) {
    if !shared.policy(&service).server_speeds {
        return;
    }
    let now = shared.now();
    let mut speeds = shared.server_speeds();
    let speeds = speeds.entry(service).or_default();
    for (server, thousandths) in ratios {
        speeds.apply_report(server, f64::from(thousandths) / 1000.0, now);
    }
}

/// The ratios of a service's runners to plan with; empty if they are not learned.
pub fn planned_ratios(
    shared: &Shared,
    service: &ServiceName,
) -> IndexMap<ServerName, f64> {
    if !shared.policy(service).server_speeds {
        return IndexMap::new();
    }
    let now = shared.now();
    let mut speeds = shared.server_speeds();
    speeds.get_mut(service).map(|speeds| speeds.planned_ratios(now)).unwrap_or_default()
}

/// The service of a runner, if the speeds of its runners are learned.
fn learning_service(shared: &Shared, server: &ServerName) -> Option<ServiceName> {
    let service = {
        let fleet = shared.fleet();
        fleet.get(fleet.key(server)?)?.entry.service.clone()
    };
    shared.policy(&service).server_speeds.then_some(service)
}

/// Logs a ratio when it has crossed into another step of [`LOGGED_CHANGE`].
fn log_change(
    log: &Logger,
    server: &ServerName,
    before: &ServerSpeed,
    after: &ServerSpeed,
) {
    let level = |speed: &ServerSpeed| {
        speed.ratio().map(|ratio| (ratio.ln() / LOGGED_CHANGE).round() as i64)
    };
    if level(before) != level(after) {
        info!(log, "runner speed estimated"; "server" => server.as_str(),
            "ratio" => after.ratio(), "before" => before.ratio(),
            "step_ratio" => after.step_ratio(), "prefill_ratio" => after.prefill_ratio(),
            "streams" => after.streams());
    }
}
