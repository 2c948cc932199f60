//! Takes claims, and hands them over.

use chestnut_base::SlotId;
use chestnut_member::{ClaimChange, ClaimKey, plan_claims};
use chestnut_plat::{PlatformError, Txn, TxnResponse};
use serde_json::json;

use super::{CLAIMS, IDLE_POLLS, Members};

impl Members {
    pub(super) async fn take_claims(&mut self) -> Result<(), PlatformError> {
        let now = self.shared.clock.now();
        if !self.shared.lease_holds(now) {
            return Ok(());
        }
        // Time alone changes little: only that a member has been there for long.
        self.idle_polls += 1;
        if !self.unplanned && self.idle_polls < IDLE_POLLS {
            return Ok(());
        }
        self.idle_polls = 0;
        let keys = self.keys();
        let steps = plan_claims(
            &self.known,
            &self.shared.settings.vm,
            self.shared.me,
            &keys,
            now,
        )
        .changes;
        self.unplanned = !steps.is_empty();
        if steps.is_empty() {
            return Ok(());
        }
        if !self.commit_claims(&steps).await? {
            // One of them changed meanwhile; the others must not wait for it.
            for step in &steps {
                self.commit_claims(std::slice::from_ref(step)).await?;
            }
        }
        Ok(())
    }

    async fn commit_claims(
        &mut self,
        steps: &[ClaimChange],
    ) -> Result<bool, PlatformError> {
        let mut txn = Txn::new();
        for step in steps {
            let key = step.key.to_string();
            txn = match step.expected_version {
                0 => txn.absent(CLAIMS, key.clone()),
                version => txn.version(CLAIMS, key.clone(), version),
            };
            txn = txn.put(CLAIMS, key, json!(step.row));
        }
        let TxnResponse::Committed { version, .. } =
            self.shared.table.commit(&txn).await?
        else {
            return Ok(false);
        };
        for step in steps {
            self.known.claims.insert(step.key.clone(), (step.row, version));
            self.changed = true;
            self.counters.claims.inc();
        }
        Ok(true)
    }

    /// Everything that some daemon must hold.
    pub(super) fn keys(&self) -> Vec<ClaimKey> {
        let mut keys = vec![ClaimKey::Vms];
        keys.extend(
            (0..self.shared.settings.limits.journal_slots)
                .map(|n| ClaimKey::Slot(SlotId(n))),
        );
        keys.extend(self.known.servers.keys().cloned().map(ClaimKey::Server));
        keys.extend(self.shared.catalog().pools.keys().cloned().map(ClaimKey::Pool));
        keys
    }
}
