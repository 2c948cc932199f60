//! Writes changes of the platform's list of VMs into the table.

use chestnut_base::ServerName;
use chestnut_member::{ClaimKey, Server};
use chestnut_plat::{PlatformError, Txn, TxnResponse, VmRow};
use indexmap::IndexMap;
use serde_json::json;

use super::list::{leaving_entries, server};
use super::{CLAIMS, DRAINS, DrainRow, Members, SERVERS};

impl Members {
    /// Writes changes of the platform's list of VMs into the table.
    ///
    /// Only the holder of the claim reads the whole list, the others read what
    /// changed; at full size the list has some 14,000 entries.
    pub(super) async fn list_vms(&mut self) -> Result<(), PlatformError> {
        let Some((claim, version)) = self.known.claims.get(&ClaimKey::Vms).copied()
        else {
            return Ok(());
        };
        if claim.holder != Some(self.shared.me) {
            return Ok(());
        }
        let list = self.shared.vms.read().await?;
        self.follow_own(&list);
        let servers: IndexMap<ServerName, Server> =
            list.iter().filter_map(server).collect();
        let mut txn = Txn::new().version(CLAIMS, ClaimKey::Vms.to_string(), version);
        for (name, server) in &servers {
            if self.known.servers.get(name) != Some(server) {
                txn = txn.put(SERVERS, name.as_str(), json!(server));
            }
        }
        for name in self.known.servers.keys().filter(|name| !servers.contains_key(*name))
        {
            txn = txn.delete(SERVERS, name.as_str());
        }
        for vm in leaving_entries(&list) {
            if let Some((row, _)) = self.known.members.get(&vm)
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
            self.known.servers = servers;
            self.changed = true;
        }
        Ok(())
    }

    /// Starts leaving if the platform's list says that this VM does.
    fn follow_own(&self, list: &[VmRow]) {
        let vm = &self.shared.settings.vm;
        if leaving_entries(list).any(|leaving| leaving == *vm) {
            self.shared.shutting_down.send_replace(true);
        }
    }
}
