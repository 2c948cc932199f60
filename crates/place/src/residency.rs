//! What is resident where, as entries know it.

use std::sync::Arc;

use chestnut_base::{AdapterName, ModelName, ServerName, VersionName};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::ledger::Ledger;

/// What is resident on each runner.
///
/// It lags behind the ledger, so that the runner's lead checks it again.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Residency {
    /// Runners and what they hold; shared with earlier and later states, since a
    /// move changes one of thousands.
    runners: IndexMap<ServerName, Arc<ResidentAssets>>,
    /// The positions in `runners` of those that hold each model in any version.
    ///
    /// Every request looks for the runners of its model; without this it would
    /// look through all of them.
    models: IndexMap<ModelName, Vec<usize>>,
}

/// What a runner holds and may be asked for.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ResidentAssets {
    /// Models with their versions, loaded and not to be dropped.
    pub models: IndexSet<(ModelName, VersionName)>,
    /// Adapters, loaded and not to be dropped.
    pub adapters: IndexSet<AdapterName>,
    /// The models with their versions on which the adapters were loaded.
    #[serde(default)]
    pub bases: IndexMap<AdapterName, (ModelName, VersionName)>,
}

impl ResidentAssets {
    /// What may be used of what a runner's ledger holds.
    pub fn from_ledger(ledger: &Ledger) -> Self {
        let mut resident = Self::default();
        for item in
            ledger.reservations.iter().filter(|item| ledger.is_usable(&item.asset))
        {
            let base = (item.asset.model.clone(), item.asset.version.clone());
            match &item.asset.adapter {
                None => {
                    resident.models.insert(base);
                }
                Some(adapter) => {
                    resident.adapters.insert(adapter.clone());
                    resident.bases.insert(adapter.clone(), base);
                }
            }
        }
        resident
    }

    /// Whether the runner can serve a model with an adapter on top.
    pub fn serves(
        &self,
        model: &ModelName,
        version: &VersionName,
        adapter: Option<&AdapterName>,
    ) -> bool {
        let base = (model.clone(), version.clone());
        self.models.contains(&base)
            && adapter.is_none_or(|name| self.bases.get(name) == Some(&base))
    }
}

impl Residency {
    /// Creates the state from what each runner holds.
    pub fn new(runners: IndexMap<ServerName, Arc<ResidentAssets>>) -> Self {
        let mut models: IndexMap<ModelName, Vec<usize>> = IndexMap::new();
        for (at, held) in runners.values().enumerate() {
            for (model, _) in &held.models {
                match models.get_mut(model) {
                    // A runner may hold two versions of a model.
                    Some(list) if list.last() == Some(&at) => {}
                    Some(list) => list.push(at),
                    None => drop(models.insert(model.clone(), vec![at])),
                }
            }
        }
        Self { runners, models }
    }

    /// Runners and what they hold.
    pub fn runners(&self) -> &IndexMap<ServerName, Arc<ResidentAssets>> {
        &self.runners
    }

    /// Whether a runner can serve a model with an adapter on top.
    pub fn serves(
        &self,
        runner: &ServerName,
        model: &ModelName,
        version: &VersionName,
        adapter: Option<&AdapterName>,
    ) -> bool {
        let held = self.runners.get(runner);
        held.is_some_and(|held| held.serves(model, version, adapter))
    }

    /// The runners that hold a model in any version, and what they hold.
    fn holding(
        &self,
        model: &ModelName,
    ) -> impl Iterator<Item = (&ServerName, &ResidentAssets)> + use<'_> {
        let list = self.models.get(model).map_or(&[][..], Vec::as_slice);
        list.iter().filter_map(|&at| {
            let (name, held) = self.runners.get_index(at)?;
            Some((name, &**held))
        })
    }

    /// The runners that can serve a model with an adapter on top.
    pub fn serving(
        &self,
        model: &ModelName,
        version: &VersionName,
        adapter: Option<&AdapterName>,
    ) -> impl Iterator<Item = &ServerName> {
        let runners = self.holding(model);
        let (model, version) = (model.clone(), version.clone());
        let adapter = adapter.cloned();
        runners
            .filter(move |(_, held)| held.serves(&model, &version, adapter.as_ref()))
            .map(|(name, _)| name)
    }

    /// The version of a model that a request gets: the wanted one if any runner
    /// can serve it, else one that can be served meanwhile.
    ///
    /// While a new version is being loaded, requests go on with the old one.
    pub fn servable_version(
        &self,
        model: &ModelName,
        wanted: &VersionName,
        adapter: Option<&AdapterName>,
    ) -> VersionName {
        if self.serving(model, wanted, adapter).next().is_some() {
            return wanted.clone();
        }
        let held = self.holding(model).flat_map(|(_, held)| {
            held.models.iter().filter(move |(name, version)| {
                name == model && held.serves(model, version, adapter)
            })
        });
        held.map(|(_, version)| version).max().unwrap_or(wanted).clone()
    }
}
