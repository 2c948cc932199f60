//! Policies for choosing among candidate servers.
//!
//! Load pattern: six entries choose at the same time, each from its own view. If each
//! takes the strict best, all send to the same server; a policy that ignores load leaves
//! servers idle. The default policy draws at random and strongly prefers servers with a
//! better estimate; differences below [`TEMPERATURE`] of the run time hardly matter.
//! `docs/POLICY.md` compares all policies.

use rand::{Rng, RngExt};

/// The difference in estimated time, as a fraction of the run time, that makes a server
/// 2.7 times as likely as another: the temperature of a softmax.
pub const TEMPERATURE: f64 = 0.05;

/// A policy for choosing among candidate servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// Each candidate in turn.
    RoundRobin,
    /// The candidate with the fewest own attempts in flight.
    LeastInFlight,
    /// The better of two random candidates, by own attempts in flight.
    TwoChoices,
    /// One of the `k` candidates with the fewest own attempts in flight; fewer are more
    /// likely. This is `soft_k_choice` of "Two-Level AI Inference Gateway".
    KChoice(usize),
    /// A random draw weighted by the estimated time to the complete response, with
    /// [`TEMPERATURE`].
    Estimate,
}

/// The properties of a candidate that the policies compare.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CandidateScore {
    /// Own attempts in flight.
    pub in_flight: u32,
    /// Estimated seconds to the complete response.
    pub estimated_s: f64,
    /// The fraction of its normal requests that it may get, above 0.
    pub traffic_share: f64,
}

impl RoutingPolicy {
    /// The index of the chosen candidate, or `None` if there are no candidates.
    ///
    /// `choice_count` is the number of choices so far, and `run_time_s` the time of the
    /// request on an idle server in seconds.
    pub fn choose(
        self,
        scores: &[CandidateScore],
        choice_count: usize,
        run_time_s: f64,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let count = scores.len();
        if count == 0 {
            return None;
        }
        Some(match self {
            Self::RoundRobin => choice_count % count,
            Self::LeastInFlight => least_in_flight(scores, 1, rng)[0],
            Self::TwoChoices => {
                let (a, b) = (rng.random_range(0..count), rng.random_range(0..count));
                if scores[b].in_flight < scores[a].in_flight { b } else { a }
            }
            Self::KChoice(k) => {
                let least = least_in_flight(scores, k.max(1), rng);
                let weight =
                    |&index: &usize| 1.0 / f64::from(scores[index].in_flight + 1);
                least[weighted_draw(least.iter().map(weight), rng)]
            }
            Self::Estimate => {
                let best = scores.iter().map(|s| s.estimated_s).fold(f64::MAX, f64::min);
                let scale = (run_time_s * TEMPERATURE).max(1e-4);
                let weight = |s: &CandidateScore| {
                    s.traffic_share * ((best - s.estimated_s) / scale).exp()
                };
                weighted_draw(scores.iter().map(weight), rng)
            }
        })
    }
}

/// The indices of the `k` candidates with the fewest attempts in flight; ties are broken
/// at random.
fn least_in_flight(
    scores: &[CandidateScore],
    k: usize,
    rng: &mut impl Rng,
) -> Vec<usize> {
    let mut order: Vec<(u32, u32, usize)> = scores
        .iter()
        .enumerate()
        .map(|(index, score)| (score.in_flight, rng.random(), index))
        .collect();
    let k = k.min(order.len());
    order.select_nth_unstable(k - 1);
    order.truncate(k);
    order.sort_unstable();
    order.into_iter().map(|(_, _, index)| index).collect()
}

/// Draws an index with a probability proportional to its weight.
fn weighted_draw(
    weights: impl Iterator<Item = f64> + Clone,
    rng: &mut impl Rng,
) -> usize {
    let sum: f64 = weights.clone().sum();
    let mut remaining = rng.random::<f64>() * sum;
    let mut last = 0;
    for (index, weight) in weights.enumerate() {
        if weight > 0.0 {
            last = index;
            remaining -= weight;
            if remaining < 0.0 {
                break;
            }
        }
    }
    last
}
