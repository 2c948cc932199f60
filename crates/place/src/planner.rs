//! Which models each runner of a pool is to hold.
//!
//! Load pattern: hundreds of models share runners that can't hold them all, and
//! demand moves tenfold within an hour. A fixed placement leaves runners idle
//! beside overloaded ones; one that follows demand greedily moves models all
//! the time, and each move loads the weight store and stalls a runner.
//!
//! Stages of a plan:
//!
//! 1. every model that is asked for gets one replica; replicas on runners that
//!    leave don't count, so that replacements are loaded first,
//! 2. overloaded models get further replicas where runners have throughput to
//!    spare, if that is worth the move,
//! 3. every other model gets one replica, then each its declared number. Loads are
//!    few when many runners are lost at once; what nobody asks for can wait.
//!
//! A plan starts from the present placement and changes it by few steps: as many
//! loads as the weight store serves at full speed may be under way. Nothing is
//! dropped but to make room.
//!
//! The worth of a move: the attainment that it gains, in percent of one runner's
//! throughput, times the pool's weight of attainment, against the number of
//! loads times the pool's weight of moves. Relative to a runner and not to the
//! pool, so that the same weights mean the same in a small and a large pool.

use std::cmp::Reverse;
use std::time::Duration;

use crate::balance::{LoadDistribution, distribute_load};
use crate::pool::{ModelState, Placement, PoolState};

/// The share of a runner's throughput up to which it answers in time.
///
/// Above it, waits grow steeply with the load's variation.
pub const MAX_UTILIZATION: f64 = 0.85;

/// How long a change of demand is expected to last where loads take a minute.
///
/// A load that takes this long gains nothing. Demand that moves tenfold within
/// an hour stays on a level for some ten minutes.
pub const DEMAND_HORIZON: Duration = Duration::from_secs(600);

/// How many times its cost a move must be worth, for weights of 1.
///
/// In percent of a runner's throughput. Chosen by `chestnutlane-lab moves`.
const PAYBACK: f64 = 8.0;

/// What an evicted replica costs, as a share of a move; it may be needed again.
const EVICTION: f64 = 0.5;

/// How many overloaded models are looked at in one plan.
const LOOKED_AT: usize = 32;

/// Plans the next steps from the present placement.
pub fn plan_placement(pool: &PoolState) -> Placement {
    let mut planner = Planner::new(pool);
    planner.repair_first(|model| model.demand > 0.0);
    planner.improve();
    planner.repair_first(|_| true);
    planner.repair_rest();
    Placement { placed: planner.placed, unplaced: planner.unplaced, added: planner.added }
}

/// A place for a replica.
#[derive(Debug, Clone)]
struct Site {
    runner: usize,
    /// Models whose replica there makes room.
    evicted: Vec<usize>,
    /// Demand that the evicted models can't serve elsewhere, in tokens a second.
    loss: f64,
}

struct Planner<'a> {
    pool: &'a PoolState,
    placed: Vec<Vec<usize>>,
    /// For each runner, the models placed there.
    held: Vec<Vec<usize>>,
    /// For each runner, the memory that is not planned for.
    room: Vec<u64>,
    balance: LoadDistribution,
    /// Loads from the weight store that may still be started.
    budget: usize,
    /// Replicas that this plan has added or evicted, by model and runner.
    ///
    /// None of them is touched again: where loads are not limited, two models that are
    /// asked for alike would take each other's place without end.
    touched: Vec<(usize, usize)>,
    /// Whether first replicas are being placed, for which declared further
    /// replicas of other models may go.
    sparse: bool,
    unplaced: Vec<(usize, usize)>,
    added: Vec<(usize, usize)>,
}

impl<'a> Planner<'a> {
    fn new(pool: &'a PoolState) -> Self {
        let stays =
            |runner: &usize| pool.runners.get(*runner).is_some_and(|r| r.accepts_models);
        let placed: Vec<Vec<usize>> = pool
            .models
            .iter()
            .map(|model| model.placed.iter().copied().filter(stays).collect())
            .collect();
        let mut held = vec![Vec::new(); pool.runners.len()];
        let mut room: Vec<u64> = pool
            .runners
            .iter()
            .map(|r| r.capacity.saturating_sub(r.other_bytes))
            .collect();
        for (model, at) in placed.iter().enumerate() {
            for runner in at {
                held[*runner].push(model);
                room[*runner] = room[*runner].saturating_sub(pool.models[model].bytes);
            }
        }
        let loading: usize = pool.models.iter().map(|model| model.loading).sum();
        let mut planner = Self {
            pool,
            placed,
            held,
            room,
            balance: LoadDistribution::default(),
            budget: pool.parallel_loads.max(1).saturating_sub(loading),
            touched: Vec::new(),
            sparse: false,
            unplaced: Vec::new(),
            added: Vec::new(),
        };
        planner.rebalance();
        planner
    }

    /// Gives models their first replicas.
    fn repair_first(&mut self, which: impl Fn(&ModelState) -> bool) {
        self.sparse = true;
        for model in self.by_size() {
            if which(&self.pool.models[model]) {
                self.fill(model, 1);
            }
        }
        self.sparse = false;
    }

    /// Gives models their declared replicas.
    fn repair_rest(&mut self) {
        for model in self.by_size() {
            self.fill(model, self.pool.models[model].replicas.max(1));
        }
    }

    /// Large models first: the small ones still fit into what they leave.
    fn by_size(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.pool.models.len()).collect();
        order.sort_by_key(|model| Reverse(self.pool.models[*model].bytes));
        order
    }

    fn fill(&mut self, model: usize, replicas: usize) {
        while self.placed[model].len() < replicas {
            let Some(site) = self.best_site(model) else {
                self.make_way(model);
                let missing = replicas - self.placed[model].len();
                self.unplaced.retain(|(other, _)| *other != model);
                self.unplaced.push((model, missing));
                return;
            };
            // The next plan goes on; there is a place.
            if !self.may_load(model, site.runner) {
                return;
            }
            self.place(model, &site);
        }
    }

    /// Makes room for a model that fits nowhere: gives the last replica of
    /// another one a second place, so that a later plan can drop the first.
    fn make_way(&mut self, model: usize) {
        if self.budget == 0 || self.pool.frozen {
            return;
        }
        let needed = self.pool.models[model].bytes;
        let ways = (0..self.held.len()).flat_map(|runner| {
            self.held[runner].iter().map(move |other| (runner, *other))
        });
        let way = ways
            .filter(|(runner, _)| !self.held[*runner].contains(&model))
            .filter(|(runner, other)| {
                let bytes = self.pool.models[*other].bytes;
                let state = &self.pool.runners[*runner];
                state.accepts_models
                    && !state.locked
                    && self.room[*runner] + bytes >= needed
            })
            .filter(|(_, other)| self.pool.models[*other].bytes < needed)
            .filter_map(|(runner, other)| {
                let bytes = self.pool.models[other].bytes;
                let to = (0..self.held.len()).find(|to| {
                    *to != runner
                        && self.pool.runners[*to].accepts_models
                        && !self.pool.runners[*to].locked
                        && self.room[*to] >= bytes
                        && !self.held[*to].contains(&other)
                })?;
                Some((bytes, other, to))
            })
            .min();
        if let Some((_, other, to)) = way {
            self.place(other, &Site { runner: to, evicted: Vec::new(), loss: 0.0 });
        }
    }

    /// Gives overloaded models further replicas as far as that pays.
    fn improve(&mut self) {
        while let Some((model, site)) = self.best_move() {
            self.place(model, &site);
        }
    }

    /// Whether a load may be started: from a copy always, from the store as long as
    /// the budget lasts.
    fn may_load(&self, model: usize, runner: usize) -> bool {
        self.budget > 0 || self.has_copy(model, runner)
    }

    fn has_copy(&self, model: usize, runner: usize) -> bool {
        self.pool.models[model].cached_on.contains(&runner)
    }

    fn best_move(&self) -> Option<(usize, Site)> {
        let mut needs: Vec<(f64, usize)> = (0..self.pool.models.len())
            .map(|model| (self.excess(model), model))
            .filter(|(excess, _)| *excess > 0.0)
            .collect();
        needs.sort_by(|a, b| b.0.total_cmp(&a.0));
        // Of moves that are worth the same, such as two that would each fill the runner, the
        // last is taken: the one of the neediest model.
        needs
            .into_iter()
            .take(LOOKED_AT)
            .rev()
            .filter_map(|(excess, model)| {
                let site = self.best_site(model)?;
                let worth = self.worth(model, excess, &site);
                let worth = if self.may_load(model, site.runner) { worth } else { 0.0 };
                (worth > 0.0).then_some((worth, model, site))
            })
            .max_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, model, site)| (model, site))
    }

    /// The demand that a model can take away from overloaded runners.
    fn excess(&self, model: usize) -> f64 {
        let limit = MAX_UTILIZATION * self.pool.runner_throughput;
        let over = |runner: &usize| (self.balance.loads[*runner] - limit).max(0.0);
        let shares = self.placed[model].iter().zip(&self.balance.shares[model]);
        shares.map(|(runner, share)| over(runner).min(*share)).sum()
    }

    /// What a further replica is worth less what it costs.
    fn worth(&self, model: usize, excess: f64, site: &Site) -> f64 {
        let pool = self.pool;
        let gained = excess.min(self.spare(site.runner, &site.evicted)) - site.loss;
        let percent = 100.0 * gained / pool.runner_throughput;
        let cold = pool.models[model].load_time.as_secs_f64()
            / pool.demand_horizon.as_secs_f64();
        let gain = pool.attainment_weight * percent * (1.0 - cold).max(0.0);
        let loads = 1.0 + EVICTION * site.evicted.len() as f64;
        gain - pool.move_weight * loads * PAYBACK
    }

    /// The throughput that a runner has left once `evicted` are gone.
    fn spare(&self, runner: usize, evicted: &[usize]) -> f64 {
        let freed: f64 = evicted.iter().map(|model| self.share(*model, runner)).sum();
        let limit = MAX_UTILIZATION * self.pool.runner_throughput;
        (limit - self.balance.loads[runner] + freed).max(0.0)
    }

    fn share(&self, model: usize, runner: usize) -> f64 {
        let at = self.placed[model].iter().position(|at| *at == runner);
        at.map_or(0.0, |at| self.balance.shares[model][at])
    }

    /// The runner that is best for a further replica.
    ///
    /// Least loss first, then the failure domain with the fewest replicas if it
    /// is a declared one, then the fewest evictions, as runs on what is evicted have
    /// to end first, then a copy of the weights at hand, then the most replicas of what
    /// is evicted: where no demand is known, their numbers are the best guess of it. Then
    /// the most throughput to spare.
    fn best_site(&self, model: usize) -> Option<Site> {
        let mut domains = vec![0usize; self.domains()];
        for runner in &self.placed[model] {
            domains[self.pool.runners[*runner].domain] += 1;
        }
        let declared = self.placed[model].len() < self.pool.models[model].replicas;
        let mut best: Option<(Rank, Site)> = None;
        for runner in 0..self.pool.runners.len() {
            let Some(site) = self.site(model, runner) else { continue };
            let rank = Rank {
                loss: site.loss,
                far: !self.has_copy(model, runner),
                domain: if declared {
                    domains[self.pool.runners[runner].domain]
                } else {
                    0
                },
                evictions: site.evicted.len(),
                rarity: self.rarity(&site.evicted),
                spare: self.spare(runner, &site.evicted),
            };
            if best.as_ref().is_none_or(|(held, _)| rank.is_better(held)) {
                best = Some((rank, site));
            }
        }
        best.map(|(_, site)| site)
    }

    /// A runner as the place of a further replica, if there can be room.
    fn site(&self, model: usize, runner: usize) -> Option<Site> {
        let needed = self.pool.models[model].bytes;
        let state = &self.pool.runners[runner];
        let held = self.held[runner].contains(&model);
        if !state.accepts_models || state.locked || held || self.is_touched(model, runner)
        {
            return None;
        }
        let mut room = self.room[runner];
        let mut site = Site { runner, evicted: Vec::new(), loss: 0.0 };
        if room >= needed {
            return Some(site);
        }
        if self.pool.frozen {
            return None;
        }
        let mut spare: Vec<_> = self.held[runner]
            .iter()
            .filter(|other| self.is_extra(**other) && !self.is_touched(**other, runner))
            .map(|other| (self.eviction_loss(*other, runner), *other))
            .collect();
        let order = |a: &(f64, usize), b: &(f64, usize)| {
            let replicas = |model: usize| Reverse(self.placed[model].len());
            a.0.total_cmp(&b.0).then_with(|| replicas(a.1).cmp(&replicas(b.1)))
        };
        spare.sort_by(order);
        for (loss, other) in spare {
            site.evicted.push(other);
            site.loss += loss;
            room += self.pool.models[other].bytes;
            if room >= needed {
                return Some(site);
            }
        }
        None
    }

    /// How much of their replicas an eviction takes from models.
    fn rarity(&self, evicted: &[usize]) -> f64 {
        evicted.iter().map(|model| 1.0 / self.placed[*model].len() as f64).sum()
    }

    fn is_touched(&self, model: usize, runner: usize) -> bool {
        self.touched.contains(&(model, runner))
    }

    /// Whether a model has more replicas than needed, not counting unloaded ones.
    fn is_extra(&self, model: usize) -> bool {
        let state = &self.pool.models[model];
        let kept = if self.sparse { 1 } else { state.replicas.max(1) };
        self.placed[model].len() > kept + state.loading
    }

    /// The demand that a model can't serve elsewhere without a replica.
    fn eviction_loss(&self, model: usize, runner: usize) -> f64 {
        let others = self.placed[model].iter().filter(|at| **at != runner);
        let spare: f64 = others.map(|at| self.spare(*at, &[])).sum();
        (self.share(model, runner) - spare).max(0.0)
    }

    fn place(&mut self, model: usize, site: &Site) {
        self.touched.push((model, site.runner));
        for other in &site.evicted {
            self.touched.push((*other, site.runner));
            self.placed[*other].retain(|at| *at != site.runner);
            self.held[site.runner].retain(|at| at != other);
            self.room[site.runner] += self.pool.models[*other].bytes;
        }
        self.placed[model].push(site.runner);
        self.held[site.runner].push(model);
        let bytes = self.pool.models[model].bytes;
        self.room[site.runner] = self.room[site.runner].saturating_sub(bytes);
        if !self.has_copy(model, site.runner) {
            self.budget = self.budget.saturating_sub(1);
        }
        self.added.push((model, site.runner));
        self.rebalance();
    }

    fn rebalance(&mut self) {
        let demands: Vec<f64> = self.pool.models.iter().map(|m| m.demand).collect();
        self.balance = distribute_load(&demands, &self.placed, self.pool.runners.len());
    }

    fn domains(&self) -> usize {
        self.pool.runners.iter().map(|runner| runner.domain + 1).max().unwrap_or(0)
    }
}

/// How good a place is.
struct Rank {
    loss: f64,
    far: bool,
    domain: usize,
    evictions: usize,
    /// How few replicas the evicted models have.
    rarity: f64,
    spare: f64,
}

impl Rank {
    fn is_better(&self, other: &Self) -> bool {
        self.loss
            .total_cmp(&other.loss)
            .then(self.domain.cmp(&other.domain))
            .then(self.evictions.cmp(&other.evictions))
            .then(self.far.cmp(&other.far))
            .then(self.rarity.total_cmp(&other.rarity))
            .then(other.spare.total_cmp(&self.spare))
            .is_lt()
    }
}
