//! Reads changes of the tables of members, leases, claims, servers and drains.

use chestnut_base::{ServerName, VmName};
use chestnut_member::{ClaimKey, ClaimRow, LeaseRow, MemberRow, Server, watched_vms};
use chestnut_plat::table::RowKey;
use chestnut_plat::{Delta, PlatformError, Row};
use serde::de::DeserializeOwned;
use slog::warn;

use super::{CLAIMS, DRAINS, DrainRow, LEASES, MEMBERS, Membership, SERVERS};

impl Membership {
    pub(super) async fn read_tables(&mut self) -> Result<(), PlatformError> {
        let watched = watched_vms(&self.rows, &self.shared.settings.vm);
        let lease_keys = watched
            .into_iter()
            .map(|vm| RowKey { table: LEASES.into(), key: vm.into() })
            .collect();
        let shared = self.shared.clone();
        let leases =
            shared.feed.refresh(&shared.table, &*shared.clock, lease_keys).await?;
        while self.read_members().await? {}
        while self.read_claims().await? {}
        while self.read_servers().await? {}
        self.read_drains().await?;
        self.record_leases(leases);
        Ok(())
    }

    fn record_leases(&mut self, rows: Vec<Row>) {
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
            self.rows.members.swap_remove(&vm);
            self.leases.swap_remove(&vm);
        }
        for (vm, member, row) in self.parse::<_, MemberRow>(MEMBERS, &delta.rows, vm_name)
        {
            self.rows.members.insert(vm, (member, row.version));
        }
        self.rows.record_first_seen(self.shared.clock.now());
        Ok(delta.more)
    }

    async fn read_claims(&mut self) -> Result<bool, PlatformError> {
        let delta = self.changes(CLAIMS).await?;
        for key in delta.deleted.iter().filter_map(|key| key.parse::<ClaimKey>().ok()) {
            self.rows.claims.swap_remove(&key);
        }
        let key = |text: &str| text.parse::<ClaimKey>().ok();
        for (key, claim, row) in self.parse::<_, ClaimRow>(CLAIMS, &delta.rows, key) {
            self.rows.claims.insert(key, (claim, row.version));
        }
        Ok(delta.more)
    }

    async fn read_servers(&mut self) -> Result<bool, PlatformError> {
        let delta = self.changes(SERVERS).await?;
        let deleted = delta.deleted.iter();
        for name in deleted.filter_map(|key| ServerName::try_from(key.as_str()).ok()) {
            self.rows.servers.swap_remove(&name);
        }
        let name = |text: &str| ServerName::try_from(text).ok();
        for (name, server, _) in self.parse::<_, Server>(SERVERS, &delta.rows, name) {
            self.rows.servers.insert(name, server);
        }
        Ok(delta.more)
    }

    /// Starts the shutdown if a row requests that this VM be drained.
    async fn read_drains(&mut self) -> Result<(), PlatformError> {
        let rows = self.changes(DRAINS).await?.rows;
        let vm = self.shared.settings.vm.as_str();
        // The row names an incarnation of the daemon, so that its successor does not
        // shut down as well.
        let names_me = |row: &Row| {
            let drain = serde_json::from_value::<DrainRow>(row.value.clone());
            row.key == vm && drain.is_ok_and(|drain| drain.member == self.shared.me)
        };
        if rows.iter().any(names_me) {
            self.shared.shutting_down.send_replace(true);
        }
        Ok(())
    }

    async fn changes(&mut self, table: &'static str) -> Result<Delta, PlatformError> {
        let since = self.read_versions.get(table).copied().unwrap_or(0);
        let (delta, _) = self.shared.changes(table, "", since).await?;
        self.read_versions.insert(table, delta.version);
        self.table_time_ms = delta.now;
        self.changed |= !delta.is_empty();
        Ok(delta)
    }

    /// Parses rows; a malformed row is logged and skipped.
    fn parse<'a, K, V: DeserializeOwned>(
        &self,
        table: &str,
        rows: &'a [Row],
        key: impl Fn(&str) -> Option<K>,
    ) -> Vec<(K, V, &'a Row)> {
        let parse_row = |row: &'a Row| {
            let value = V::deserialize(&row.value).map_err(|error| error.to_string());
            let key =
                key(&row.key).ok_or_else(|| "the key is not a valid name".to_owned());
            match key.and_then(|key| Ok((key, value?))) {
                Ok((key, value)) => Some((key, value, row)),
                Err(reason) => {
                    warn!(self.shared.log, "skipped a malformed row";
                        "table" => table, "key" => &row.key, "version" => row.version,
                        "why" => reason);
                    None
                }
            }
        };
        rows.iter().filter_map(parse_row).collect()
    }
}

fn vm_name(text: &str) -> Option<VmName> {
    VmName::try_from(text).ok()
}
