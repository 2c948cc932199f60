//! The ways of choosing among candidates.
//!
//! Load pattern: six entries choose at the same time from what each knows. The
//! strict best of that sends them all to the same server; a choice that ignores
//! load leaves servers idle. The chosen policy draws from the estimates, the
//! better ones far more often: [`HEAT`] of the run time is what a difference must
//! be to be worth minding. Figures for all are in `docs/POLICY.md`.

use rand::{Rng, RngExt};

/// The difference, as a part of the run time, that makes a server 2.7 times as
/// likely as another.
pub const HEAT: f64 = 0.05;

/// A way of choosing among candidates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// One after the other.
    RoundRobin,
    /// The one with the fewest own attempts in flight.
    LeastInFlight,
    /// The better of two drawn, by own attempts in flight.
    TwoChoices,
    /// One of the `k` with the fewest own attempts in flight, the fewer the
    /// likelier: `soft_k_choice` of "Two-Level AI Inference Gateway".
    KChoice(usize),
    /// By the estimated time to the whole answer, drawn with [`HEAT`].
    Estimate,
}

/// A candidate in the numbers that the policies look at.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prospect {
    /// Own attempts in flight.
    pub own: u32,
    /// Estimated seconds until the whole answer.
    pub time: f64,
    /// The part of the requests that it may get, above 0.
    pub trust: f64,
}

impl RoutingPolicy {
    /// The index of the chosen option, or nothing if there is none.
    ///
    /// `turn` counts the choices so far and `run` is the time of the request on an
    /// idle server, in seconds.
    pub fn choose(
        self,
        options: &[Prospect],
        turn: usize,
        run: f64,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let count = options.len();
        if count == 0 {
            return None;
        }
        Some(match self {
            Self::RoundRobin => turn % count,
            Self::LeastInFlight => least(options, 1, rng)[0],
            Self::TwoChoices => {
                let (a, b) = (rng.random_range(0..count), rng.random_range(0..count));
                if options[b].own < options[a].own { b } else { a }
            }
            Self::KChoice(k) => {
                let few = least(options, k.max(1), rng);
                let weight = |&index: &usize| 1.0 / f64::from(options[index].own + 1);
                few[draw(few.iter().map(weight), rng)]
            }
            Self::Estimate => {
                let best = options.iter().map(|o| o.time).fold(f64::MAX, f64::min);
                let heat = (run * HEAT).max(1e-4);
                let weight = |o: &Prospect| o.trust * ((best - o.time) / heat).exp();
                draw(options.iter().map(weight), rng)
            }
        })
    }
}

/// The indices of the `k` options with the fewest in flight; ties are drawn.
fn least(options: &[Prospect], k: usize, rng: &mut impl Rng) -> Vec<usize> {
    let mut order: Vec<(u32, u32, usize)> = options
        .iter()
        .enumerate()
        .map(|(index, option)| (option.own, rng.random(), index))
        .collect();
    let k = k.min(order.len());
    order.select_nth_unstable(k - 1);
    order.truncate(k);
    order.sort_unstable();
    order.into_iter().map(|(_, _, index)| index).collect()
}

/// Draws an index by weight.
fn draw(weights: impl Iterator<Item = f64> + Clone, rng: &mut impl Rng) -> usize {
    let sum: f64 = weights.clone().sum();
    let mut left = rng.random::<f64>() * sum;
    let mut last = 0;
    for (index, weight) in weights.enumerate() {
        if weight > 0.0 {
            last = index;
            left -= weight;
            if left < 0.0 {
                break;
            }
        }
    }
    last
}
