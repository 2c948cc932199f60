//! What a decision costs.

use std::time::{Duration, Instant};

use bpaf::Bpaf;
use chestnut_admit::{Job, Lead, Limits, Rule};
use chestnut_base::{CallerName, ServerName, TeamName, Urgency};
use chestnut_route::{Ask, Candidate, Note, Policy, Report, Router};

/// What to measure.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Decisions of each sort.
    #[bpaf(argument("N"), fallback(20_000))]
    pub rounds: u32,
}

/// Measures and prints the cost of decisions.
pub fn run(options: &Options) {
    for count in [9, 21, 1200] {
        for (name, policy) in [
            ("round-robin", Policy::RoundRobin),
            ("least-in-flight", Policy::LeastInFlight),
            ("two-choices", Policy::TwoChoices),
            ("k-choice", Policy::KChoice(2)),
            ("chosen", Policy::Estimate),
        ] {
            let nanos = choice(policy, count, options.rounds);
            println!(
                "{{\"decision\":\"choose\",\"policy\":\"{name}\",\"candidates\":{count},\"ns\":{nanos}}}"
            );
        }
    }
    for waiting in [0, 32, 256] {
        let nanos = admission(waiting, options.rounds / 10);
        println!("{{\"decision\":\"offer\",\"waiting\":{waiting},\"ns\":{nanos}}}");
    }
    println!("{{\"bytes_per_request\":{}}}", chestnut_admit::lead::bytes_per_request());
}

/// Nanoseconds of a choice among `count` candidates.
fn choice(policy: Policy, count: u32, rounds: u32) -> u128 {
    let now = Instant::now();
    let mut router = Router::new(policy, 1);
    let candidates: Vec<_> = (0..count)
        .map(|index| {
            let name = ServerName::try_from(format!("server-{index}"));
            let server = router.key(&name.expect("the name is well formed"));
            let report = Report {
                running: index % 32,
                queued: 0,
                wait: Duration::from_millis(u64::from(index % 7)),
                step: Duration::from_micros(10_000),
            };
            router.note(server, Note::Load(report), now);
            Candidate { server, far: Duration::ZERO, streams: 32, step: report.step }
        })
        .collect();
    let prefix: Vec<u64> = (0..20).collect();
    router.begin(candidates[0].server, &prefix);
    let ask = Ask { prompt: 600, output: 200, prefix: &prefix };
    let start = Instant::now();
    for _ in 0..rounds {
        std::hint::black_box(router.choose(&candidates, ask, now));
    }
    start.elapsed().as_nanos() / u128::from(rounds)
}

/// Nanoseconds of an offer and its withdrawal with 32 running and some waiting.
fn admission(waiting: u32, rounds: u32) -> u128 {
    let now = Instant::now();
    let limits = Limits {
        streams: 32,
        tokens: 1 << 20,
        queue: 512,
        step: Duration::from_millis(10),
    };
    let mut lead = Lead::new(limits, Rule::default(), now);
    for index in 0..32 + waiting {
        lead.offer(job(index, now), now);
    }
    let start = Instant::now();
    for index in 0..rounds {
        let ticket = lead.offer(job(index, now), now);
        lead.finish(ticket, chestnut_admit::How::Cancelled, now);
        lead.effects();
    }
    start.elapsed().as_nanos() / u128::from(rounds)
}

fn job(index: u32, now: Instant) -> Job {
    let name = |text: String| CallerName::try_from(text).expect("well formed");
    Job {
        caller: name(format!("caller-{}", index % 20)),
        team: TeamName::try_from("team").expect("well formed"),
        share: 1,
        urgency: Urgency::Normal,
        deadline: now + Duration::from_secs(3600),
        prompt: 500,
        output: 200,
        resumable: true,
        resumed: false,
    }
}
