//! Writes changes of the platform's list of VMs into the table.

use chestnut_base::ServerName;
use chestnut_member::{ClaimKey, Server};
use chestnut_plat::{PlatformError, Txn, TxnResponse, VmRow};
use indexmap::IndexMap;
use serde_json::json;

use super::list::{backend_server, draining_entries};
use super::{CLAIMS, DRAINS, DrainRow, Membership, SERVERS};

impl Membership {
    /// Writes changes of the platform's list of VMs into the table, if this daemon holds
    /// the claim on the list.
    ///
    /// Only the holder reads the whole list, which has some 14,000 entries at full size;
    /// the other daemons read the changed rows.
    pub(super) async fn sync_vms(&mut self) -> Result<(), PlatformError> {
        let Some((claim, version)) = self.rows.claims.get(&ClaimKey::Vms).copied() else {
            return Ok(());
        };
        if claim.holder != Some(self.shared.me) {
            return Ok(());
        }
        let list = self.shared.vms.read().await?;
        self.shut_down_if_drained(&list);
        let servers: IndexMap<ServerName, Server> =
            list.iter().filter_map(backend_server).collect();
        let mut txn =
            Txn::new().require_version(CLAIMS, ClaimKey::Vms.to_string(), version);
        for (name, server) in &servers {
            if self.rows.servers.get(name) != Some(server) {
                txn = txn.put(SERVERS, name.as_str(), json!(server));
            }
        }
        for name in self.rows.servers.keys().filter(|name| !servers.contains_key(*name)) {
            txn = txn.delete(SERVERS, name.as_str());
        }
        for vm in draining_entries(&list) {
            if let Some((row, _)) = self.rows.members.get(&vm)
                && !row.leaving
                && vm != self.shared.settings.vm
            {
                let drain = DrainRow {
                    member: row.member,
                    requested_by: "the list of VMs".into(),
                };
                txn = txn.put(DRAINS, vm.as_str(), json!(drain));
            }
        }
        if txn.writes.is_empty() {
            return Ok(());
        }
        if let TxnResponse::Committed { .. } = self.shared.table.commit(&txn).await? {
            self.rows.servers = servers;
            self.changed = true;
        }
        Ok(())
    }

    /// Starts the shutdown if the platform drains this VM.
    fn shut_down_if_drained(&self, list: &[VmRow]) {
        let vm = &self.shared.settings.vm;
        if draining_entries(list).any(|draining| draining == *vm) {
            self.shared.shutting_down.send_replace(true);
        }
    }
}
