//! What holds for every sequence of choices, retries and failures.

use std::time::{Duration, Instant};

use chestnut_base::ServerName;
use chestnut_route::health::{Health, LAST, RETURN};
use chestnut_route::retry::{SAVED, SHARE};
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
    /// A candidate is always chosen if there is one, also when all have failed,
    /// and counts in flight are back at zero when all attempts have ended.
    #[test]
    fn choices_are_candidates_and_counts_return(
        policy in policy(),
        count in 1..100usize,
        rounds in prop::collection::vec((any::<bool>(), any::<bool>()), 1..200),
        seed in any::<u64>(),
    ) {
        let mut now = Instant::now();
        let mut router = Router::new(policy, seed);
        let candidates = candidates(&mut router, count);
        let ask = RouteRequest { prompt_tokens: 100, output_tokens: 50, prefix_blocks: &[1, 2, 3] };
        let mut open: Vec<ServerKey> = Vec::new();
        for (fails, ends) in rounds {
            now += Duration::from_millis(50);
            let chosen = router.choose(&candidates, ask, now).unwrap();
            prop_assert!(candidates.iter().any(|c| c.server == chosen));
            router.begin_attempt(chosen, ask.prefix_blocks);
            open.push(chosen);
            let note = if fails { Feedback::Failed } else { Feedback::Responded };
            router.record(chosen, note, now);
            if ends {
                router.end_attempt(open.remove(0));
            }
            let counted: u32 = candidates.iter().map(|c| router.in_flight(c.server)).sum();
            prop_assert_eq!(counted as usize, open.len());
        }
        open.into_iter().for_each(|key| router.end_attempt(key));
        prop_assert!(candidates.iter().all(|c| router.in_flight(c.server) == 0));
        prop_assert_eq!(router.choose(&[], ask, now), None);
    }

    /// However often attempts fail, retries stay within their share of the traffic.
    #[test]
    fn retries_stay_within_their_share(
        steps in prop::collection::vec(any::<bool>(), 1..2000),
    ) {
        let mut budget = RetryBudget::new();
        let (mut requests, mut retries) = (0.0, 0.0);
        for is_request in steps {
            if is_request {
                budget.deposit();
                requests += 1.0;
            } else if budget.try_withdraw() {
                retries += 1.0;
            }
            prop_assert!(retries <= SAVED + SHARE * requests + 1e-6);
        }
    }

    /// A server that fails is left out, and comes back however often it failed.
    #[test]
    fn a_failed_server_comes_back(failures in 2..200u32) {
        let start = Instant::now();
        let mut health = Health::default();
        for _ in 0..failures {
            health.failed(start);
        }
        prop_assert_eq!(health.trust(start), 0.0);
        prop_assert!(health.trust(start + LAST) > 0.0);
        prop_assert_eq!(health.trust(start + LAST + RETURN), 1.0);
    }
}

/// Six entries that know the same send a burst to all servers, not to one.
#[test]
fn entries_do_not_herd() {
    let now = Instant::now();
    let mut sent = [0; 9];
    for entry in 0..6 {
        let mut router = Router::new(RoutingPolicy::Estimate, entry);
        router.set_entry_count(6);
        let candidates = candidates(&mut router, 9);
        for _ in 0..9 {
            let ask = RouteRequest {
                prompt_tokens: 100,
                output_tokens: 200,
                prefix_blocks: &[],
            };
            let chosen = router.choose(&candidates, ask, now).unwrap();
            router.begin_attempt(chosen, &[]);
            sent[candidates.iter().position(|c| c.server == chosen).unwrap()] += 1;
        }
    }
    // 54 requests, six for each server if they were spread evenly.
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
