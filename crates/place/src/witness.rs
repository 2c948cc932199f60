//! Which runners prove that an asset may be dropped.
//!
//! Load pattern: leads of different runners drop replicas at the same time, each
//! seeing the other's replica. Without the proof both would go and callers
//! would find no runner. Here each drop names the runners that still hold the
//! same; the transaction checks that their rows have not changed, so that the
//! second of two such drops is refused.

use chestnut_base::ServerName;
use chestnut_config::Catalog;

use crate::asset::Asset;
use crate::ledger::Ledger;

/// The runners whose ledgers prove that `asset` is not the last of its kind on
/// the runner with `ledger`; `None` if it is the last one.
///
/// `others` are the ledgers of the other runners that stay. The adapters on top
/// of a model are proven with it. Nothing has to be proven for what nobody
/// declares any more, nor if the runner itself holds the declared version.
pub fn witnesses<'a>(
    catalog: &Catalog,
    others: impl Iterator<Item = (&'a ServerName, &'a Ledger)> + Clone,
    ledger: &Ledger,
    asset: &Asset,
) -> Option<Vec<ServerName>> {
    let mut all = Vec::new();
    let parts = ledger.reservations.iter().map(|item| &item.asset);
    for part in parts.filter(|part| *part == asset || part.is_adapter_on(asset)) {
        let Some(kinds) = substitutes(catalog, part) else { continue };
        if kinds.iter().any(|kind| kind != part && ledger.is_usable(kind)) {
            continue;
        }
        let (name, _) = others
            .clone()
            .find(|(_, ledger)| kinds.iter().any(|kind| ledger.is_usable(kind)))?;
        all.push(name.clone());
    }
    Some(all)
}

/// What can stand in for an asset; `None` if nobody needs it.
///
/// Until the declared version is there, an older replica stands in for another.
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
