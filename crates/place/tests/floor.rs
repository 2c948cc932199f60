//! No model loses its last replica, whatever is wanted and whoever races.

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

type Rows = IndexMap<ServerName, (Ledger, u64)>;

/// Runners whose engines carry out orders at once, and leads that see each
/// other's rows as they were some time ago.
struct World {
    catalog: Catalog,
    rows: Rows,
    seen: Vec<Rows>,
    engines: Vec<Report>,
    wanted: Vec<Vec<DesiredAsset>>,
    changes: u64,
    /// Whether transactions check the rows of the witnesses.
    checked: bool,
}

fn runner(at: usize) -> ServerName {
    ServerName::try_from(format!("r{at}")).expect("a valid name")
}

fn model(at: usize) -> ModelName {
    ModelName::try_from(format!("m{at}")).expect("a valid name")
}

fn version(at: usize) -> VersionName {
    VersionName::try_from(format!("v{at}")).expect("a valid name")
}

fn want(at: usize, of: usize) -> DesiredAsset {
    DesiredAsset { asset: Asset::model(model(at), version(of)), bytes: BYTES }
}

impl World {
    fn new(checked: bool) -> Self {
        let declared = Model {
            team: TeamName::try_from("letters").expect("a valid name"),
            pool: chestnut_base::PoolName::try_from("drafting").expect("a valid name"),
            version: version(0),
            bytes: BYTES,
            cold: std::time::Duration::from_secs(30),
            replicas: 1,
        };
        let mut catalog = Catalog::default();
        for at in 0..MODELS {
            catalog.models.insert(model(at), declared.clone());
        }
        let report = Report { incarnation: 1, capacity: CAPACITY, ..Report::default() };
        let empty = Ledger { capacity: CAPACITY, ..Ledger::default() };
        let rows: Rows =
            (0..RUNNERS).map(|at| (runner(at), (empty.clone(), 1))).collect();
        Self {
            catalog,
            seen: vec![rows.clone(); RUNNERS],
            rows,
            engines: vec![report; RUNNERS],
            wanted: vec![Vec::new(); RUNNERS],
            changes: 1,
            checked,
        }
    }

    fn lead_step(&mut self, at: usize) {
        let name = runner(at);
        let (held, _) = self.rows[&name].clone();
        let mut next = held.clone();
        next.apply_report(&self.engines[at], TimeRange { earliest: 1, latest: 1 });
        let ids: Vec<_> = next.reservations.iter().flat_map(|item| &item.loads).collect();
        let seen: Vec<_> = ids.iter().filter(|l| l.listed).map(|l| l.order).collect();
        seen.into_iter().for_each(|order| next.mark_answered(order));
        let others = self.seen[at].iter().filter(|(other, _)| **other != name);
        let others = others.map(|(other, (ledger, _))| (other, ledger));
        let spare = |ledger: &Ledger, asset: &Asset| {
            witnesses(&self.catalog, others.clone(), ledger, asset)
        };
        let idle = |_: &Asset| true;
        let situation = DropChecks { witnesses: &spare, is_idle: &idle };
        let found = reconcile(&mut next, &self.wanted[at], &situation);
        let unchanged = |other: &ServerName| self.rows[other].1 == self.seen[at][other].1;
        let allowed = !self.checked || found.witnesses.iter().all(unchanged);
        if next != held && allowed {
            self.changes += 1;
            self.rows.insert(name, (next.clone(), self.changes));
            self.carry_out(at, &next);
        }
    }

    fn carry_out(&mut self, at: usize, ledger: &Ledger) {
        let engine = &mut self.engines[at];
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

    /// The models of which some runner holds a usable version.
    fn usable(&self) -> Vec<usize> {
        let holds = |at: &usize| {
            self.rows
                .values()
                .any(|(ledger, _)| (0..3).any(|of| ledger.is_ready(&want(*at, of).asset)))
        };
        (0..MODELS).filter(holds).collect()
    }
}

impl World {
    /// One step of the world, chosen by random bytes.
    fn step(&mut self, kind: u8, first: u8, second: u8) {
        let at = usize::from(first) % RUNNERS;
        match kind {
            0..=159 => self.lead_step(at),
            160..=209 => self.seen[at] = self.rows.clone(),
            210..=249 => {
                let mut list: Vec<_> = (0..MODELS)
                    .filter(|model| second >> model & 1 == 1)
                    .map(|model| want(model, usize::from(second >> 4) % 3))
                    .collect();
                list.truncate((CAPACITY / BYTES) as usize);
                self.wanted[at] = list;
            }
            250..=255 => {
                let declared = &mut self.catalog.models[usize::from(second) % MODELS];
                declared.version = version(usize::from(second >> 4) % 3);
            }
        }
    }
}

/// Takes the steps and returns the first model that lost its last replica.
fn lost(checked: bool, steps: impl IntoIterator<Item = (u8, u8, u8)>) -> Option<usize> {
    let mut world = World::new(checked);
    let mut usable = Vec::new();
    for (kind, first, second) in steps {
        world.step(kind, first, second);
        let now = world.usable();
        if let Some(model) = usable.iter().find(|model| !now.contains(model)) {
            return Some(*model);
        }
        usable = now;
    }
    None
}

proptest! {
    #![proptest_config(Config { cases: 300, failure_persistence: None, ..Config::default() })]

    // Callers of a model get "not resident" once its last replica is dropped.
    // Leads act on rows that others have changed meanwhile, the wanted
    // placement and the declared version change at any time; what was usable
    // once must stay usable in some version.
    #[test]
    fn last_replica_stays(
        steps in prop::collection::vec(any::<(u8, u8, u8)>(), 1..300),
    ) {
        prop_assert_eq!(lost(true, steps), None);
    }
}

// If transactions did not check the witnesses' rows, two leads would drop the
// last two replicas because of each other; the steps above must show that.
#[test]
fn witness_check_is_needed() {
    let mut rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[1; 32]);
    let steps = (0..10_000).map(|_| {
        let [kind, first, second, _] = rng.next_u32().to_le_bytes();
        (kind, first, second)
    });
    assert!(lost(false, steps).is_some());
}
