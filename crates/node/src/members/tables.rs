//! Reads what changed in the tables of members, claims, servers and drains.

use chestnut_base::{ServerName, VmName};
use chestnut_member::{ClaimKey, ClaimRow, LeaseRow, MemberRow, Server, watched_vms};
use chestnut_plat::table::RowKey;
use chestnut_plat::{Delta, PlatformError, Row};
use serde::de::DeserializeOwned;
use slog::warn;

use super::{CLAIMS, DRAINS, DrainRow, LEASES, MEMBERS, Members, SERVERS};

impl Members {
    pub(super) async fn read_all(&mut self) -> Result<(), PlatformError> {
        let watched = watched_vms(&self.known, &self.shared.settings.vm);
        let wanted = watched
            .into_iter()
            .map(|vm| RowKey { table: LEASES.into(), key: vm.into() })
            .collect();
        let shared = self.shared.clone();
        let leases = shared.feed.refresh(&shared.table, &*shared.clock, wanted).await?;
        while self.read_members().await? {}
        while self.read_claims().await? {}
        while self.read_servers().await? {}
        self.read_drains().await?;
        self.note_leases(leases);
        Ok(())
    }

    fn note_leases(&mut self, rows: Vec<Row>) {
        for (vm, mut lease, row) in self.parse::<VmName, LeaseRow>(LEASES, &rows, vm_name)
        {
            lease.modified = row.modified;
            self.leases.insert(vm, lease);
        }
    }

    async fn read_members(&mut self) -> Result<bool, PlatformError> {
        let delta = self.changes(MEMBERS).await?;
        for vm in
            delta.deleted.iter().filter_map(|key| VmName::try_from(key.as_str()).ok())
        {
            self.known.members.swap_remove(&vm);
            self.leases.swap_remove(&vm);
        }
        for (vm, member, row) in self.parse::<_, MemberRow>(MEMBERS, &delta.rows, vm_name)
        {
            self.known.members.insert(vm, (member, row.version));
        }
        self.known.record_first_seen(self.shared.clock.now());
        Ok(delta.more)
    }

    async fn read_claims(&mut self) -> Result<bool, PlatformError> {
        let delta = self.changes(CLAIMS).await?;
        for key in delta.deleted.iter().filter_map(|key| key.parse::<ClaimKey>().ok()) {
            self.known.claims.swap_remove(&key);
        }
        let key = |text: &str| text.parse::<ClaimKey>().ok();
        for (key, claim, row) in self.parse::<_, ClaimRow>(CLAIMS, &delta.rows, key) {
            self.known.claims.insert(key, (claim, row.version));
        }
        Ok(delta.more)
    }

    async fn read_servers(&mut self) -> Result<bool, PlatformError> {
        let delta = self.changes(SERVERS).await?;
        let gone = delta.deleted.iter();
        for name in gone.filter_map(|key| ServerName::try_from(key.as_str()).ok()) {
            self.known.servers.swap_remove(&name);
        }
        let name = |text: &str| ServerName::try_from(text).ok();
        for (name, server, _) in self.parse::<_, Server>(SERVERS, &delta.rows, name) {
            self.known.servers.insert(name, server);
        }
        Ok(delta.more)
    }

    /// Follows an operator's order that this VM be drained.
    async fn read_drains(&mut self) -> Result<(), PlatformError> {
        let rows = self.changes(DRAINS).await?.rows;
        let vm = self.shared.settings.vm.as_str();
        // The row names the start of the daemon that is meant, so that the one
        // that takes its place does not leave at once as well.
        let meant = |row: &Row| {
            let drain = serde_json::from_value::<DrainRow>(row.value.clone());
            row.key == vm && drain.is_ok_and(|drain| drain.member == self.shared.me)
        };
        if rows.iter().any(meant) {
            self.shared.shutting_down.send_replace(true);
        }
        Ok(())
    }

    async fn changes(&mut self, table: &'static str) -> Result<Delta, PlatformError> {
        let since = self.read.get(table).copied().unwrap_or(0);
        let (delta, _) = self.shared.changes(table, "", since).await?;
        self.read.insert(table, delta.version);
        self.now = delta.now;
        self.changed |= !delta.is_empty();
        Ok(delta)
    }

    /// The rows that can be read; others are passed over with a line in the log.
    fn parse<'a, K, V: DeserializeOwned>(
        &self,
        table: &str,
        rows: &'a [Row],
        key: impl Fn(&str) -> Option<K>,
    ) -> Vec<(K, V, &'a Row)> {
        let one = |row: &'a Row| {
            let value = V::deserialize(&row.value).map_err(|error| error.to_string());
            let named = key(&row.key).ok_or_else(|| "no such name".to_owned());
            match named.and_then(|key| Ok((key, value?))) {
                Ok((key, value)) => Some((key, value, row)),
                Err(why) => {
                    warn!(self.shared.log, "a row can't be read and is passed over";
                        "table" => table, "key" => &row.key, "version" => row.version,
                        "why" => why);
                    None
                }
            }
        };
        rows.iter().filter_map(one).collect()
    }
}

fn vm_name(text: &str) -> Option<VmName> {
    VmName::try_from(text).ok()
}
