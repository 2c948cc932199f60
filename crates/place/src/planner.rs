//! Planning which models each runner of a pool should hold.
//!
//! Hundreds of models share runners that can't hold all of them, and demand changes
//! tenfold within an hour. A fixed placement leaves some runners idle and others
//! overloaded; one that follows demand greedily moves models all the time, and each move
//! reads from the weight store and stalls a runner.
//!
//! Stages of a plan:
//!
//! 1. Every model with demand gets one replica. Replicas on leaving runners don't count,
//!    so that replacements are loaded first.
//! 2. Overloaded models get further replicas where runners have spare throughput, if the
//!    benefit exceeds the cost of the move.
//! 3. Every other model gets one replica, then each its declared number. Few loads can be
//!    in progress when many runners are lost at once, so models without demand wait.
//!
//! A plan starts from the current placement and changes it in few steps: it allows as
//! many concurrent loads as the weight store serves at full speed, and drops replicas
//! only to make room.
//!
//! The benefit of a move is the attainment (demand served in time) that it gains, in
//! percent of one runner's throughput, times the pool's attainment weight. Its cost is
//! the number of loads times the pool's move weight. The benefit is relative to a runner
//! and not to the pool, so that the same weights mean the same in small and large pools.

use std::cmp::Reverse;
use std::time::Duration;

use crate::balance::{LoadDistribution, distribute_load};
use crate::pool::{ModelState, Placement, PoolState};

/// The part of a runner's throughput up to which it responds in time.
///
/// Above it, waiting times grow steeply with the variation of the load.
pub const MAX_UTILIZATION: f64 = 0.85;

/// How long a change of demand is expected to last, for pools whose loads take a minute.
///
/// A load that takes this long gains nothing. Demand that changes tenfold within an hour
/// stays at one level for about ten minutes.
pub const DEMAND_HORIZON: Duration = Duration::from_secs(600);

/// The benefit that each load must exceed if both weights are 1, in percent of a
/// runner's throughput.
const MOVE_COST: f64 = 8.0;

/// The cost of evicting a replica, as a fraction of a move; it may be needed again.
const EVICTION_COST: f64 = 0.5;

/// The number of overloaded models that each search for a move considers.
const MAX_OVERLOADED_MODELS: usize = 32;

/// Plans the next steps from the current placement.
pub fn plan_placement(pool: &PoolState) -> Placement {
    let mut planner = Planner::new(pool);
    planner.place_first_replicas(|model| model.demand > 0.0);
    planner.add_replicas_for_demand();
    planner.place_first_replicas(|_| true);
    planner.place_declared_replicas();
    Placement { placed: planner.placed, unplaced: planner.unplaced, added: planner.added }
}

/// A runner that can get a replica.
#[derive(Debug, Clone)]
struct Candidate {
    runner: usize,
    /// Models whose replicas on the runner have to be evicted to make room.
    evicted: Vec<usize>,
    /// Demand that the evicted models can't serve elsewhere, in tokens per second.
    loss: f64,
}

struct Planner<'a> {
    pool: &'a PoolState,
    placed: Vec<Vec<usize>>,
    /// For each runner, the models that are placed on it.
    models_on: Vec<Vec<usize>>,
    /// For each runner, the memory that no placed model needs, in bytes.
    free: Vec<u64>,
    distribution: LoadDistribution,
    /// The number of loads from the weight store that may still be started.
    load_budget: usize,
    /// Replicas that this plan has added or evicted, as model and runner.
    ///
    /// They are not changed again: where loads are not limited, two models of equal
    /// demand would otherwise replace each other endlessly.
    changed: Vec<(usize, usize)>,
    /// Whether first replicas are being placed. Further replicas of other models may then
    /// be evicted even if they are declared.
    placing_first_replicas: bool,
    unplaced: Vec<(usize, usize)>,
    added: Vec<(usize, usize)>,
}

impl<'a> Planner<'a> {
    fn new(pool: &'a PoolState) -> Self {
        let accepts_models =
            |runner: &usize| pool.runners.get(*runner).is_some_and(|r| r.accepts_models);
        let placed: Vec<Vec<usize>> = pool
            .models
            .iter()
            .map(|model| model.placed.iter().copied().filter(accepts_models).collect())
            .collect();
        let mut models_on = vec![Vec::new(); pool.runners.len()];
        let mut free: Vec<u64> = pool
            .runners
            .iter()
            .map(|r| r.capacity.saturating_sub(r.other_bytes))
            .collect();
        for (model, runners) in placed.iter().enumerate() {
            for runner in runners {
                models_on[*runner].push(model);
                free[*runner] = free[*runner].saturating_sub(pool.models[model].bytes);
            }
        }
        let loading: usize = pool.models.iter().map(|model| model.loading).sum();
        let mut planner = Self {
            pool,
            placed,
            models_on,
            free,
            distribution: LoadDistribution::default(),
            load_budget: pool.parallel_loads.max(1).saturating_sub(loading),
            changed: Vec::new(),
            placing_first_replicas: false,
            unplaced: Vec::new(),
            added: Vec::new(),
        };
        planner.update_distribution();
        planner
    }

    /// Adds the first replica of each selected model that has none.
    fn place_first_replicas(&mut self, is_selected: impl Fn(&ModelState) -> bool) {
        self.placing_first_replicas = true;
        for model in self.by_descending_size() {
            if is_selected(&self.pool.models[model]) {
                self.place_replicas(model, 1);
            }
        }
        self.placing_first_replicas = false;
    }

    /// Adds missing replicas up to the declared number.
    fn place_declared_replicas(&mut self) {
        for model in self.by_descending_size() {
            self.place_replicas(model, self.pool.models[model].replicas.max(1));
        }
    }

    /// Models in descending order of size: small ones still fit into the memory that
    /// large ones leave.
    fn by_descending_size(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.pool.models.len()).collect();
        order.sort_by_key(|model| Reverse(self.pool.models[*model].bytes));
        order
    }

    fn place_replicas(&mut self, model: usize, replicas: usize) {
        while self.placed[model].len() < replicas {
            let Some(candidate) = self.best_candidate(model) else {
                self.relocate_smaller_model(model);
                let missing = replicas - self.placed[model].len();
                self.unplaced.retain(|(other, _)| *other != model);
                self.unplaced.push((model, missing));
                return;
            };
            // The replica fits; a later plan adds it when loads are available.
            if !self.may_load(model, candidate.runner) {
                return;
            }
            self.add_replica(model, &candidate);
        }
    }

    /// Prepares room for a model that fits nowhere: adds a second replica of a smaller
    /// model elsewhere, so that a later plan can evict the first.
    fn relocate_smaller_model(&mut self, model: usize) {
        if self.load_budget == 0 || self.pool.frozen {
            return;
        }
        let needed = self.pool.models[model].bytes;
        let occupied = (0..self.models_on.len()).flat_map(|runner| {
            self.models_on[runner].iter().map(move |other| (runner, *other))
        });
        let relocation = occupied
            .filter(|(runner, _)| !self.models_on[*runner].contains(&model))
            .filter(|(runner, other)| {
                let bytes = self.pool.models[*other].bytes;
                let state = &self.pool.runners[*runner];
                state.accepts_models
                    && !state.locked
                    && self.free[*runner] + bytes >= needed
            })
            .filter(|(_, other)| self.pool.models[*other].bytes < needed)
            .filter_map(|(runner, other)| {
                let bytes = self.pool.models[other].bytes;
                let to = (0..self.models_on.len()).find(|to| {
                    *to != runner
                        && self.pool.runners[*to].accepts_models
                        && !self.pool.runners[*to].locked
                        && self.free[*to] >= bytes
                        && !self.models_on[*to].contains(&other)
                })?;
                Some((bytes, other, to))
            })
            .min();
        if let Some((_, other, to)) = relocation {
            self.add_replica(
                other,
                &Candidate { runner: to, evicted: Vec::new(), loss: 0.0 },
            );
        }
    }

    /// Adds replicas of overloaded models while the benefit exceeds the cost.
    fn add_replicas_for_demand(&mut self) {
        while let Some((model, candidate)) = self.best_move() {
            self.add_replica(model, &candidate);
        }
    }

    /// Whether a load may be started. Loads from a local copy of the weights are not
    /// limited; those from the weight store need budget.
    fn may_load(&self, model: usize, runner: usize) -> bool {
        self.load_budget > 0 || self.has_cached_weights(model, runner)
    }

    fn has_cached_weights(&self, model: usize, runner: usize) -> bool {
        self.pool.models[model].cached_on.contains(&runner)
    }

    fn best_move(&self) -> Option<(usize, Candidate)> {
        let mut overloaded: Vec<(f64, usize)> = (0..self.pool.models.len())
            .map(|model| (self.excess_demand(model), model))
            .filter(|(excess_demand, _)| *excess_demand > 0.0)
            .collect();
        overloaded.sort_by(|a, b| b.0.total_cmp(&a.0));
        // `max_by` returns the last of equal moves, such as two that would each fill the
        // runner; the reversed order makes that the model with the most excess demand.
        overloaded
            .into_iter()
            .take(MAX_OVERLOADED_MODELS)
            .rev()
            .filter_map(|(excess_demand, model)| {
                let candidate = self.best_candidate(model)?;
                let benefit = self.net_benefit(model, excess_demand, &candidate);
                let benefit =
                    if self.may_load(model, candidate.runner) { benefit } else { 0.0 };
                (benefit > 0.0).then_some((benefit, model, candidate))
            })
            .max_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, model, candidate)| (model, candidate))
    }

    /// The demand that a further replica could take away from overloaded runners, in
    /// tokens per second.
    fn excess_demand(&self, model: usize) -> f64 {
        let limit = MAX_UTILIZATION * self.pool.runner_throughput;
        let over = |runner: &usize| (self.distribution.loads[*runner] - limit).max(0.0);
        let shares = self.placed[model].iter().zip(&self.distribution.shares[model]);
        shares.map(|(runner, share)| over(runner).min(*share)).sum()
    }

    /// The benefit of a further replica minus its cost.
    fn net_benefit(
        &self,
        model: usize,
        excess_demand: f64,
        candidate: &Candidate,
    ) -> f64 {
        let pool = self.pool;
        let gained = excess_demand
            .min(self.spare_throughput(candidate.runner, &candidate.evicted))
            - candidate.loss;
        let percent = 100.0 * gained / pool.runner_throughput;
        let load_fraction = pool.models[model].load_time.as_secs_f64()
            / pool.demand_horizon.as_secs_f64();
        let benefit = pool.attainment_weight * percent * (1.0 - load_fraction).max(0.0);
        let loads = 1.0 + EVICTION_COST * candidate.evicted.len() as f64;
        benefit - pool.move_weight * loads * MOVE_COST
    }

    /// The spare throughput of a runner once `evicted` are gone, in tokens per second.
    fn spare_throughput(&self, runner: usize, evicted: &[usize]) -> f64 {
        let freed: f64 =
            evicted.iter().map(|model| self.demand_share(*model, runner)).sum();
        let limit = MAX_UTILIZATION * self.pool.runner_throughput;
        (limit - self.distribution.loads[runner] + freed).max(0.0)
    }

    fn demand_share(&self, model: usize, runner: usize) -> f64 {
        let replica = self.placed[model].iter().position(|other| *other == runner);
        replica.map_or(0.0, |replica| self.distribution.shares[model][replica])
    }

    /// The best runner for a further replica; `None` if it fits nowhere.
    ///
    /// Criteria in descending order of importance:
    ///
    /// 1. the least loss,
    /// 2. for a declared replica, the failure domain with the fewest replicas,
    /// 3. the fewest evictions, as requests on evicted models have to end first,
    /// 4. a local copy of the weights,
    /// 5. the most replicas of the evicted models: where demand is unknown, the
    ///    number of replicas is the best estimate of it,
    /// 6. the most spare throughput.
    fn best_candidate(&self, model: usize) -> Option<Candidate> {
        let mut domain_replicas = vec![0usize; self.domain_count()];
        for runner in &self.placed[model] {
            domain_replicas[self.pool.runners[*runner].domain] += 1;
        }
        let is_declared = self.placed[model].len() < self.pool.models[model].replicas;
        let mut best: Option<(Rank, Candidate)> = None;
        for runner in 0..self.pool.runners.len() {
            let Some(candidate) = self.candidate(model, runner) else { continue };
            let rank = Rank {
                loss: candidate.loss,
                needs_store: !self.has_cached_weights(model, runner),
                domain_replicas: if is_declared {
                    domain_replicas[self.pool.runners[runner].domain]
                } else {
                    0
                },
                evictions: candidate.evicted.len(),
                scarcity: self.eviction_scarcity(&candidate.evicted),
                spare_throughput: self.spare_throughput(runner, &candidate.evicted),
            };
            if best.as_ref().is_none_or(|(best_rank, _)| rank.is_better(best_rank)) {
                best = Some((rank, candidate));
            }
        }
        best.map(|(_, candidate)| candidate)
    }

    /// A runner as a candidate for a further replica, if room can be made.
    fn candidate(&self, model: usize, runner: usize) -> Option<Candidate> {
        let needed = self.pool.models[model].bytes;
        let state = &self.pool.runners[runner];
        let is_placed = self.models_on[runner].contains(&model);
        if !state.accepts_models
            || state.locked
            || is_placed
            || self.is_changed(model, runner)
        {
            return None;
        }
        let mut free = self.free[runner];
        let mut candidate = Candidate { runner, evicted: Vec::new(), loss: 0.0 };
        if free >= needed {
            return Some(candidate);
        }
        if self.pool.frozen {
            return None;
        }
        let mut evictable: Vec<_> = self.models_on[runner]
            .iter()
            .filter(|other| {
                self.has_spare_replica(**other) && !self.is_changed(**other, runner)
            })
            .map(|other| (self.eviction_loss(*other, runner), *other))
            .collect();
        let order = |a: &(f64, usize), b: &(f64, usize)| {
            let replicas = |model: usize| Reverse(self.placed[model].len());
            a.0.total_cmp(&b.0).then_with(|| replicas(a.1).cmp(&replicas(b.1)))
        };
        evictable.sort_by(order);
        for (loss, other) in evictable {
            candidate.evicted.push(other);
            candidate.loss += loss;
            free += self.pool.models[other].bytes;
            if free >= needed {
                return Some(candidate);
            }
        }
        None
    }

    /// The sum of the fractions of their replicas that the evicted models lose.
    fn eviction_scarcity(&self, evicted: &[usize]) -> f64 {
        evicted.iter().map(|model| 1.0 / self.placed[*model].len() as f64).sum()
    }

    fn is_changed(&self, model: usize, runner: usize) -> bool {
        self.changed.contains(&(model, runner))
    }

    /// Whether a model has more replicas than needed, not counting those still loading.
    fn has_spare_replica(&self, model: usize) -> bool {
        let state = &self.pool.models[model];
        let required =
            if self.placing_first_replicas { 1 } else { state.replicas.max(1) };
        self.placed[model].len() > required + state.loading
    }

    /// The demand that a model can't serve elsewhere without its replica on `runner`, in
    /// tokens per second.
    fn eviction_loss(&self, model: usize, runner: usize) -> f64 {
        let others = self.placed[model].iter().filter(|other| **other != runner);
        let spare: f64 = others.map(|other| self.spare_throughput(*other, &[])).sum();
        (self.demand_share(model, runner) - spare).max(0.0)
    }

    fn add_replica(&mut self, model: usize, candidate: &Candidate) {
        self.changed.push((model, candidate.runner));
        for other in &candidate.evicted {
            self.changed.push((*other, candidate.runner));
            self.placed[*other].retain(|runner| *runner != candidate.runner);
            self.models_on[candidate.runner].retain(|held| held != other);
            self.free[candidate.runner] += self.pool.models[*other].bytes;
        }
        self.placed[model].push(candidate.runner);
        self.models_on[candidate.runner].push(model);
        let bytes = self.pool.models[model].bytes;
        self.free[candidate.runner] = self.free[candidate.runner].saturating_sub(bytes);
        if !self.has_cached_weights(model, candidate.runner) {
            self.load_budget = self.load_budget.saturating_sub(1);
        }
        self.added.push((model, candidate.runner));
        self.update_distribution();
    }

    fn update_distribution(&mut self) {
        let demands: Vec<f64> = self.pool.models.iter().map(|m| m.demand).collect();
        let runners = self.pool.runners.iter();
        let lost: Vec<f64> = runners.map(|runner| runner.lost_throughput).collect();
        self.distribution = distribute_load(&demands, &self.placed, &lost);
    }

    fn domain_count(&self) -> usize {
        self.pool.runners.iter().map(|runner| runner.domain + 1).max().unwrap_or(0)
    }
}

/// The criteria by which candidates are compared.
struct Rank {
    loss: f64,
    /// Whether the weights have to be loaded from the weight store.
    needs_store: bool,
    /// Replicas in the same failure domain; 0 for an undeclared replica.
    domain_replicas: usize,
    evictions: usize,
    scarcity: f64,
    spare_throughput: f64,
}

impl Rank {
    fn is_better(&self, other: &Self) -> bool {
        self.loss
            .total_cmp(&other.loss)
            .then(self.domain_replicas.cmp(&other.domain_replicas))
            .then(self.evictions.cmp(&other.evictions))
            .then(self.needs_store.cmp(&other.needs_store))
            .then(self.scarcity.total_cmp(&other.scarcity))
            .then(other.spare_throughput.total_cmp(&self.spare_throughput))
            .is_lt()
    }
}
