//! Properties of the router for arbitrary sequences of choices, retries and failures.

use std::time::{Duration, Instant};

use chestnut_base::ServerName;
use chestnut_route::health::{Health, MAX_EJECTION, RAMP_UP};
use chestnut_route::retry::{MAX_SAVED_RETRIES, RETRY_RATIO};
use chestnut_route::{
    Candidate, Feedback, RetryBudget, RouteRequest, Router, RoutingPolicy, ServerKey,
};
use proptest::prelude::*;

fn policy() -> impl Strategy<Value = RoutingPolicy> {
    prop_oneof![
        Just(RoutingPolicy::RoundRobin),
        Just(RoutingPolicy::LeastInFlight),
        Just(RoutingPolicy::TwoChoices),
        (0..5usize).prop_map(RoutingPolicy::KChoice),
        Just(RoutingPolicy::Estimate),
    ]
}

proptest! {
    /// One of the candidates is always chosen if there are any, even if all have failed,
    /// and counts in flight return to zero once all attempts have ended.
    #[test]
    fn choices_are_candidates_and_counts_return_to_zero(
        policy in policy(),
        count in 1..100usize,
        attempts in prop::collection::vec((any::<bool>(), any::<bool>()), 1..200),
        seed in any::<u64>(),
    ) {
        let mut now = Instant::now();
        let mut router = Router::new(policy, seed);
        let candidates = candidates(&mut router, count);
        let request = RouteRequest {
            prompt_tokens: 100,
            output_tokens: 50,
            prefix_blocks: &[1, 2, 3],
        };
        let mut in_flight: Vec<ServerKey> = Vec::new();
        for (failed, end_oldest) in attempts {
            now += Duration::from_millis(50);
            let chosen = router.choose(&candidates, request, now).unwrap();
            prop_assert!(candidates.iter().any(|c| c.server == chosen));
            router.begin_attempt(chosen, request.prefix_blocks);
            in_flight.push(chosen);
            let feedback = if failed { Feedback::Failed } else { Feedback::Responded };
            router.record(chosen, feedback, now);
            if end_oldest {
                router.end_attempt(in_flight.remove(0));
            }
            let counted: u32 =
                candidates.iter().map(|c| router.in_flight(c.server)).sum();
            prop_assert_eq!(counted as usize, in_flight.len());
        }
        in_flight.into_iter().for_each(|key| router.end_attempt(key));
        prop_assert!(candidates.iter().all(|c| router.in_flight(c.server) == 0));
        prop_assert_eq!(router.choose(&[], request, now), None);
    }

    /// However often attempts fail, retries stay within the budget earned by requests.
    #[test]
    fn retries_stay_within_budget(
        events in prop::collection::vec(any::<bool>(), 1..2000),
    ) {
        let mut budget = RetryBudget::new();
        let (mut requests, mut retries) = (0.0, 0.0);
        for is_request in events {
            if is_request {
                budget.deposit();
                requests += 1.0;
            } else if budget.try_withdraw() {
                retries += 1.0;
            }
            prop_assert!(retries <= MAX_SAVED_RETRIES + RETRY_RATIO * requests + 1e-6);
        }
    }

    /// A failing server is ejected, and readmitted in time however often it failed.
    #[test]
    fn an_ejected_server_is_readmitted(failures in 2..200u32) {
        let start = Instant::now();
        let mut health = Health::default();
        for _ in 0..failures {
            health.record_failure(start);
        }
        prop_assert_eq!(health.traffic_share(start), 0.0);
        prop_assert!(health.traffic_share(start + MAX_EJECTION) > 0.0);
        prop_assert_eq!(health.traffic_share(start + MAX_EJECTION + RAMP_UP), 1.0);
    }
}

/// Six entries with the same view spread a burst over all servers instead of one.
#[test]
fn entries_do_not_herd() {
    let now = Instant::now();
    let mut sent = [0; 9];
    for entry in 0..6 {
        let mut router = Router::new(RoutingPolicy::Estimate, entry);
        router.set_entry_count(6);
        let candidates = candidates(&mut router, 9);
        for _ in 0..9 {
            let request = RouteRequest {
                prompt_tokens: 100,
                output_tokens: 200,
                prefix_blocks: &[],
            };
            let chosen = router.choose(&candidates, request, now).unwrap();
            router.begin_attempt(chosen, &[]);
            sent[candidates.iter().position(|c| c.server == chosen).unwrap()] += 1;
        }
    }
    // 54 requests; spread evenly, each of the 9 servers would get 6.
    assert!(sent.iter().all(|&count| (2..=10).contains(&count)), "{sent:?}");
}

fn candidates(router: &mut Router, count: usize) -> Vec<Candidate> {
    (0..count)
        .map(|index| Candidate {
            server: router
                .server_key(&ServerName::try_from(format!("s{index}")).unwrap()),
            extra_latency: Duration::ZERO,
            streams: 8,
            step_time: Duration::from_millis(10),
        })
        .collect()
}
