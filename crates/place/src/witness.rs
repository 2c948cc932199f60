//! Proof that dropping an asset leaves another usable replica.
//!
//! Holders of different runners may drop replicas at the same time, each counting on the
//! other's replica. Without a check both would be dropped and callers would find no
//! runner. Each drop therefore names other runners that hold a replacement, its
//! witnesses. The transaction checks that their ledger rows are unchanged, so that the
//! second of two such drops fails.

use chestnut_base::ServerName;
use chestnut_config::Catalog;

use crate::asset::Asset;
use crate::ledger::Ledger;

/// The runners whose ledgers prove that `asset` is not the last of its kind on
/// the runner with `ledger`; `None` if it is the last one.
///
/// `others` are the ledgers of the other runners that are not leaving. The adapters on
/// top of a model are checked with it. Nothing has to be proven for an asset that is no
/// longer declared, nor if the runner itself also holds the declared version.
pub fn witnesses<'a>(
    catalog: &Catalog,
    others: impl Iterator<Item = (&'a ServerName, &'a Ledger)> + Clone,
    ledger: &Ledger,
    asset: &Asset,
) -> Option<Vec<ServerName>> {
    let mut witnesses = Vec::new();
    let dropped = ledger.reservations.iter().map(|held| &held.asset);
    for part in dropped.filter(|part| *part == asset || part.is_adapter_on(asset)) {
        let Some(substitutes) = substitutes(catalog, part) else { continue };
        if substitutes.iter().any(|other| other != part && ledger.is_usable(other)) {
            continue;
        }
        let (name, _) = others.clone().find(|(_, ledger)| {
            substitutes.iter().any(|other| ledger.is_usable(other))
        })?;
        witnesses.push(name.clone());
    }
    Some(witnesses)
}

/// Assets that can replace `asset`, itself included; `None` if it is not declared.
///
/// Requests use an older version until the declared one is loaded, so a replica of the
/// same version counts as well.
fn substitutes(catalog: &Catalog, asset: &Asset) -> Option<Vec<Asset>> {
    let model = catalog.models.get(&asset.model)?;
    if let Some(name) = &asset.adapter {
        let adapter = catalog.adapters.get(name)?;
        if adapter.model != asset.model {
            return None;
        }
    }
    let declared = Asset { version: model.version.clone(), ..asset.clone() };
    Some(if declared == *asset { vec![declared] } else { vec![declared, asset.clone()] })
}
