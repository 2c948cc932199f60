//! Daemons and backend servers in the platform's list of VMs.

use chestnut_base::{ServerName, VmName};
use chestnut_member::{Server, ServerRole};
use chestnut_plat::{VmRole, VmRow, VmState};
use indexmap::IndexSet;

/// The backend server that a VM runs; none for an entry VM or a malformed name.
pub fn backend_server(row: &VmRow) -> Option<(ServerName, Server)> {
    let role = match &row.role {
        VmRole::Entry => return None,
        VmRole::Runner { pool } => ServerRole::Runner(pool.clone()),
        VmRole::Service { service } => ServerRole::Service(service.clone()),
    };
    let name = ServerName::try_from(row.vm.as_str()).ok()?;
    let server = Server {
        address: row.address,
        domain: row.domain.clone(),
        leaving: row.state == VmState::Draining,
        role,
    };
    Some((name, server))
}

/// The entry VMs that the platform drains, each once.
pub fn draining_entries(list: &[VmRow]) -> impl Iterator<Item = VmName> + '_ {
    let mut returned = IndexSet::new();
    list.iter()
        .filter(|row| row.role == VmRole::Entry && row.state == VmState::Draining)
        .filter(move |row| returned.insert(row.vm.clone()))
        .map(|row| row.vm.clone())
}
