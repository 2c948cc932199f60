//! Takes claims and hands them over.

use chestnut_base::SlotId;
use chestnut_member::{ClaimChange, ClaimKey, plan_claims};
use chestnut_plat::{PlatformError, Txn, TxnResponse};
use serde_json::json;

use crate::account_limits;

use super::{CLAIMS, IDLE_POLL_LIMIT, Membership};

impl Membership {
    pub(super) async fn update_claims(&mut self) -> Result<(), PlatformError> {
        let now = self.shared.clock.now();
        if !self.shared.is_lease_valid(now) {
            return Ok(());
        }
        // Without new rows only the time since members joined changes the plan.
        self.idle_polls += 1;
        if !self.needs_planning && self.idle_polls < IDLE_POLL_LIMIT {
            return Ok(());
        }
        self.idle_polls = 0;
        let keys = self.claim_keys();
        let changes =
            plan_claims(&self.rows, &self.shared.settings.vm, self.shared.me, &keys, now)
                .changes;
        self.needs_planning = !changes.is_empty();
        if changes.is_empty() {
            return Ok(());
        }
        if !self.commit_claims(&changes).await? {
            // At least one claim changed meanwhile; the others are committed without it.
            for change in &changes {
                self.commit_claims(std::slice::from_ref(change)).await?;
            }
        }
        Ok(())
    }

    async fn commit_claims(
        &mut self,
        changes: &[ClaimChange],
    ) -> Result<bool, PlatformError> {
        let mut txn = Txn::new();
        for change in changes {
            let key = change.key.to_string();
            txn = match change.expected_version {
                0 => txn.require_absent(CLAIMS, key.clone()),
                version => txn.require_version(CLAIMS, key.clone(), version),
            };
            txn = txn.put(CLAIMS, key, json!(change.row));
        }
        let TxnResponse::Committed { version, .. } =
            self.shared.table.commit(&txn).await?
        else {
            return Ok(false);
        };
        for change in changes {
            self.rows.claims.insert(change.key.clone(), (change.row, version));
            self.changed = true;
            self.counters.claims.inc();
        }
        Ok(true)
    }

    /// All claims that some daemon has to hold.
    pub(super) fn claim_keys(&self) -> Vec<ClaimKey> {
        let mut keys = vec![ClaimKey::Vms];
        keys.extend(
            (0..self.shared.settings.limits.journal_slots)
                .map(|n| ClaimKey::Slot(SlotId(n))),
        );
        keys.extend(self.rows.servers.keys().cloned().map(ClaimKey::Server));
        let catalog = self.shared.catalog();
        keys.extend(catalog.pools.keys().cloned().map(ClaimKey::Pool));
        keys.extend(account_limits::claim_keys(&catalog));
        keys
    }
}
