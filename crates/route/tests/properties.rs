//! What holds for every sequence of choices, retries and failures.

use std::time::{Duration, Instant};

use chestnut_base::ServerName;
use chestnut_route::health::{Health, LAST, RETURN};
use chestnut_route::retry::{SAVED, SHARE};
use chestnut_route::{Ask, Budget, Candidate, Note, Policy, Router, ServerKey};
use proptest::prelude::*;

fn policy() -> impl Strategy<Value = Policy> {
    prop_oneof![
        Just(Policy::RoundRobin),
        Just(Policy::LeastInFlight),
        Just(Policy::TwoChoices),
        (0..5usize).prop_map(Policy::KChoice),
        Just(Policy::Estimate),
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
        let ask = Ask { prompt: 100, output: 50, prefix: &[1, 2, 3] };
        let mut open: Vec<ServerKey> = Vec::new();
        for (fails, ends) in rounds {
            now += Duration::from_millis(50);
            let chosen = router.choose(&candidates, ask, now).unwrap();
            prop_assert!(candidates.iter().any(|c| c.server == chosen));
            router.begin(chosen, ask.prefix);
            open.push(chosen);
            let note = if fails { Note::Failed } else { Note::Answered };
            router.note(chosen, note, now);
            if ends {
                router.end(open.remove(0));
            }
            let counted: u32 = candidates.iter().map(|c| router.in_flight(c.server)).sum();
            prop_assert_eq!(counted as usize, open.len());
        }
        open.into_iter().for_each(|key| router.end(key));
        prop_assert!(candidates.iter().all(|c| router.in_flight(c.server) == 0));
        prop_assert_eq!(router.choose(&[], ask, now), None);
    }

    /// However often attempts fail, retries stay within their share of the traffic.
    #[test]
    fn retries_stay_within_their_share(
        steps in prop::collection::vec(any::<bool>(), 1..2000),
    ) {
        let mut budget = Budget::new();
        let (mut requests, mut retries) = (0.0, 0.0);
        for is_request in steps {
            if is_request {
                budget.earn();
                requests += 1.0;
            } else if budget.take() {
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
        let mut router = Router::new(Policy::Estimate, entry);
        router.set_entries(6);
        let candidates = candidates(&mut router, 9);
        for _ in 0..9 {
            let ask = Ask { prompt: 100, output: 200, prefix: &[] };
            let chosen = router.choose(&candidates, ask, now).unwrap();
            router.begin(chosen, &[]);
            sent[candidates.iter().position(|c| c.server == chosen).unwrap()] += 1;
        }
    }
    // 54 requests, six for each server if they were spread evenly.
    assert!(sent.iter().all(|&count| (2..=10).contains(&count)), "{sent:?}");
}

fn candidates(router: &mut Router, count: usize) -> Vec<Candidate> {
    (0..count)
        .map(|index| Candidate {
            server: router.key(&ServerName::try_from(format!("s{index}")).unwrap()),
            far: Duration::ZERO,
            streams: 8,
            step: Duration::from_millis(10),
        })
        .collect()
}
