//! Which runners prove that an asset may be dropped.

use chestnut_base::ServerName;
use chestnut_config::Catalog;
use chestnut_member::View;
use chestnut_place::{Asset, Ledger};

use crate::orders::rows::Rows;

/// The runners whose ledgers prove that `asset` is not the last of its kind.
///
/// `None` if it is the last one. Two leads that each want to drop one of the
/// last two replicas name each other's row; the transaction of the second
/// finds that row changed and is refused.
pub fn witnesses(
    catalog: &Catalog,
    view: &View,
    rows: &Rows,
    own: &ServerName,
    ledger: &Ledger,
    asset: &Asset,
) -> Option<Vec<ServerName>> {
    let mut all = Vec::new();
    let parts = ledger.items.iter().map(|item| &item.asset);
    for part in parts.filter(|part| *part == asset || part.is_on(asset)) {
        if let Some(kinds) = substitutes(catalog, part) {
            let here = kinds.iter().any(|kind| kind != part && ledger.is_ready(kind));
            if !here {
                all.push(holder(view, rows, own, &kinds)?);
            }
        }
    }
    Some(all)
}

/// What can stand in for an asset; `None` if nobody needs it.
fn substitutes(catalog: &Catalog, asset: &Asset) -> Option<Vec<Asset>> {
    let model = catalog.models.get(&asset.model)?;
    if let Some(name) = &asset.adapter {
        let adapter = catalog.adapters.get(name)?;
        if adapter.model != asset.model {
            return None;
        }
    }
    let declared = Asset { version: model.version.clone(), ..asset.clone() };
    // Until the declared version is there, an older replica stands in for another.
    Some(if declared == *asset { vec![declared] } else { vec![declared, asset.clone()] })
}

/// Another runner that stays and can be asked for one of `kinds`.
fn holder(
    view: &View,
    rows: &Rows,
    own: &ServerName,
    kinds: &[Asset],
) -> Option<ServerName> {
    let usable = |ledger: &Ledger| {
        kinds.iter().any(|kind| ledger.is_ready(kind) && ledger.is_ready(&kind.base()))
    };
    rows.ledgers
        .iter()
        .filter(|(name, _)| *name != own)
        .filter(|(name, _)| view.servers.get(*name).is_some_and(|s| !s.leaving))
        .find(|(_, (ledger, _))| usable(ledger))
        .map(|(name, _)| name.clone())
}
