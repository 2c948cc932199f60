//! No model loses its last replica, whatever the desired placement and whichever
//! transactions race.

use chestnut_base::{ModelName, ServerName, TeamName, VersionName};
use chestnut_config::{Catalog, Model};
use chestnut_place::report::{ModelEntry, OrderEntry};
use chestnut_place::{
    Asset, AssetState, DesiredAsset, DropChecks, Ledger, OrderKind, OrderState, Report,
    TimeRange, reconcile, witnesses,
};
use indexmap::IndexMap;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng};

const RUNNERS: usize = 3;
const MODELS: usize = 4;
const BYTES: u64 = 10;
const CAPACITY: u64 = 30;

/// The ledgers of the runners with the versions of their rows.
type Rows = IndexMap<ServerName, (Ledger, u64)>;

/// Runners whose engines execute orders at once, and holders that act on outdated rows of
/// the other runners.
struct World {
    catalog: Catalog,
    rows: Rows,
    /// For each holder, the rows that it last read.
    cached_rows: Vec<Rows>,
    engines: Vec<Report>,
    desired: Vec<Vec<DesiredAsset>>,
    last_version: u64,
    /// Whether transactions check the rows of the witnesses.
    check_witnesses: bool,
}

fn runner(index: usize) -> ServerName {
    ServerName::try_from(format!("r{index}")).expect("a valid name")
}

fn model(index: usize) -> ModelName {
    ModelName::try_from(format!("m{index}")).expect("a valid name")
}

fn version(index: usize) -> VersionName {
    VersionName::try_from(format!("v{index}")).expect("a valid name")
}

fn desired_asset(model_index: usize, version_index: usize) -> DesiredAsset {
    DesiredAsset {
        asset: Asset::model(model(model_index), version(version_index)),
        bytes: BYTES,
    }
}

impl World {
    fn new(check_witnesses: bool) -> Self {
        let declared = Model {
            team: TeamName::try_from("letters").expect("a valid name"),
            pool: chestnut_base::PoolName::try_from("drafting").expect("a valid name"),
            version: version(0),
            memory_bytes: BYTES,
            load_time: std::time::Duration::from_secs(30),
            min_replicas: 1,
        };
        let mut catalog = Catalog::default();
        for index in 0..MODELS {
            catalog.models.insert(model(index), declared.clone());
        }
        let report = Report { incarnation: 1, capacity: CAPACITY, ..Report::default() };
        let empty = Ledger { capacity: CAPACITY, ..Ledger::default() };
        let rows: Rows =
            (0..RUNNERS).map(|index| (runner(index), (empty.clone(), 1))).collect();
        Self {
            catalog,
            cached_rows: vec![rows.clone(); RUNNERS],
            rows,
            engines: vec![report; RUNNERS],
            desired: vec![Vec::new(); RUNNERS],
            last_version: 1,
            check_witnesses,
        }
    }

    /// One poll of the holder of a runner.
    fn poll_holder(&mut self, index: usize) {
        let name = runner(index);
        let (current, _) = self.rows[&name].clone();
        let mut next = current.clone();
        next.apply_report(&self.engines[index], TimeRange { earliest: 1, latest: 1 });
        let loads: Vec<_> =
            next.reservations.iter().flat_map(|reservation| &reservation.loads).collect();
        let listed: Vec<_> =
            loads.iter().filter(|load| load.listed).map(|load| load.order).collect();
        listed.into_iter().for_each(|order| next.mark_answered(order));
        let other_rows =
            self.cached_rows[index].iter().filter(|(other, _)| **other != name);
        let other_ledgers = other_rows.map(|(other, (ledger, _))| (other, ledger));
        let find_witnesses = |ledger: &Ledger, asset: &Asset| {
            witnesses(&self.catalog, other_ledgers.clone(), ledger, asset)
        };
        let is_idle = |_: &Asset| true;
        let checks = DropChecks { witnesses: &find_witnesses, is_idle: &is_idle };
        let result = reconcile(&mut next, &self.desired[index], &checks);
        let is_unchanged =
            |other: &ServerName| self.rows[other].1 == self.cached_rows[index][other].1;
        let is_allowed =
            !self.check_witnesses || result.witnesses.iter().all(is_unchanged);
        if next != current && is_allowed {
            self.last_version += 1;
            self.rows.insert(name, (next.clone(), self.last_version));
            self.execute_orders(index, &next);
        }
    }

    /// Lets the engine execute all pending orders at once.
    fn execute_orders(&mut self, index: usize, ledger: &Ledger) {
        let engine = &mut self.engines[index];
        for order in ledger.pending_orders() {
            let asset = &order.asset;
            engine
                .models
                .retain(|m| m.model != asset.model || m.version != asset.version);
            if order.kind == OrderKind::Load {
                engine.models.push(ModelEntry {
                    model: asset.model.clone(),
                    version: asset.version.clone(),
                    bytes: order.bytes,
                    state: AssetState::Ready,
                });
            }
            engine.orders.push(OrderEntry { order: order.id, state: OrderState::Done });
        }
    }

    /// The models of which a runner holds a usable version.
    fn usable_models(&self) -> Vec<usize> {
        let is_usable = |model: &usize| {
            self.rows.values().any(|(ledger, _)| {
                (0..3)
                    .any(|version| ledger.is_ready(&desired_asset(*model, version).asset))
            })
        };
        (0..MODELS).filter(is_usable).collect()
    }
}

impl World {
    /// Executes one step; the three random bytes choose its kind and parameters.
    fn step(&mut self, kind: u8, first: u8, second: u8) {
        let index = usize::from(first) % RUNNERS;
        match kind {
            0..=159 => self.poll_holder(index),
            160..=209 => self.cached_rows[index] = self.rows.clone(),
            210..=249 => {
                let mut desired: Vec<_> = (0..MODELS)
                    .filter(|model| second >> model & 1 == 1)
                    .map(|model| desired_asset(model, usize::from(second >> 4) % 3))
                    .collect();
                desired.truncate((CAPACITY / BYTES) as usize);
                self.desired[index] = desired;
            }
            250..=255 => {
                let declared = &mut self.catalog.models[usize::from(second) % MODELS];
                declared.version = version(usize::from(second >> 4) % 3);
            }
        }
    }
}

/// Executes the steps and returns the first model that lost its last replica.
fn first_lost_model(
    check_witnesses: bool,
    steps: impl IntoIterator<Item = (u8, u8, u8)>,
) -> Option<usize> {
    let mut world = World::new(check_witnesses);
    let mut usable_before = Vec::new();
    for (kind, first, second) in steps {
        world.step(kind, first, second);
        let usable = world.usable_models();
        if let Some(model) = usable_before.iter().find(|model| !usable.contains(model)) {
            return Some(*model);
        }
        usable_before = usable;
    }
    None
}

proptest! {
    #![proptest_config(Config { cases: 300, failure_persistence: None, ..Config::default() })]

    // Callers of a model get "not resident" once its last replica is dropped. Holders act
    // on rows that others have changed meanwhile, and the desired placement and the
    // declared version change at any time. A model that was usable once must stay usable
    // in some version.
    #[test]
    fn no_model_loses_its_last_replica(
        steps in prop::collection::vec(any::<(u8, u8, u8)>(), 1..300),
    ) {
        prop_assert_eq!(first_lost_model(true, steps), None);
    }
}

// Unless transactions check the rows of the witnesses, two holders can drop the last two
// replicas because of each other. The random steps must be able to find that.
#[test]
fn witness_check_is_needed() {
    let mut rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[1; 32]);
    let steps = (0..10_000).map(|_| {
        let [kind, first, second, _] = rng.next_u32().to_le_bytes();
        (kind, first, second)
    });
    assert!(first_lost_model(false, steps).is_some());
}
