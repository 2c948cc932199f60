//! Which daemons there are.
//!
//! Each daemon has a row in the store from its start to its end. Daemons send each
//! other beats; one that nobody hears any more has its row removed by those that
//! watch it, and only then may others take over what it held. The row's removal is
//! what all daemons go by: a beat that one link loses proves nothing.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnut_base::{MemberId, VmName};
use chestnut_edge::{Change, Transaction, TransactionOutcome};
use chestnut_member::{MemberRow, MembershipRows, watched_vms, watchers};
use indexmap::IndexMap;
use rand::seq::IteratorRandom;
use slog::{info, warn};
use tokio::time::sleep;

use crate::message::{Beat, Message};
use crate::shared::Shared;
use crate::table_sync::{self, ChangeHandler, SYSTEM_TABLE};
use crate::{claims, store};

/// How keys of daemons' rows begin; the VM's name follows.
pub const KEY_PREFIX: &str = "daemon:";

/// How often a daemon says that it lives.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(250);

/// How long a daemon may be silent to all before its row is removed.
///
/// Longer than a garbage of lost datagrams, shorter than the time in which a killed
/// process is back; what it held can't be used meanwhile.
pub const FAILURE_TIMEOUT: Duration = Duration::from_millis(1500);

/// How often a daemon that starts looks whether it can serve.
const START_LOOK: Duration = Duration::from_millis(10);

/// The pause after a failed call of the store.
const PAUSE: Duration = Duration::from_millis(200);

/// Takes in the table of daemons.
pub struct MemberHandler(pub Arc<Shared>);

impl ChangeHandler for MemberHandler {
    fn on_change(&mut self, change: Change) {
        let Self(shared) = self;
        let name = change.key.strip_prefix(KEY_PREFIX).unwrap_or_default();
        let Ok(vm) = VmName::try_from(name) else { return };
        let row = change.value.as_ref().map(|value| serde_json::from_slice(value));
        let row: Option<MemberRow> = match row.transpose() {
            Ok(row) => row,
            Err(error) => {
                warn!(shared.log, "daemon's row refused"; "key" => &change.key,
                    "error" => error.to_string());
                None
            }
        };
        let mut known = shared.membership();
        match row {
            Some(row) => {
                info!(shared.log, "daemon listed"; "member" => vm.to_string(),
                    "version" => change.version, "leaving" => row.leaving);
                known.members.insert(vm, (row, change.version));
            }
            None => {
                info!(shared.log, "daemon gone"; "member" => vm.to_string(),
                    "version" => change.version);
                known.members.swap_remove(&vm);
            }
        }
    }

    fn on_batch_end(&mut self) {
        let Self(shared) = self;
        let neighbours = {
            let mut known = shared.membership();
            known.record_first_seen(shared.now());
            Neighbours::find(&known, &shared.settings.vm, shared.peers.me)
        };
        *shared.neighbours() = neighbours;
    }
}

/// Says regularly that the daemon lives.
///
/// Apart from everything that waits for the store: a daemon whose calls hang is alive.
pub async fn run_heartbeats(shared: Arc<Shared>) {
    loop {
        // Notes when the daemon has stood still.
        shared.is_resuming();
        beat(&shared);
        sleep(HEARTBEAT_PERIOD).await;
    }
}

/// Joins, takes claims, and watches others.
///
/// The daemon joins once it can serve: callers are sent to all that have joined.
pub async fn run(shared: Arc<Shared>) {
    wait_until_known(&shared).await;
    join(&shared).await;
    loop {
        claims::update_claims(&shared).await;
        remove_silent(&shared).await;
        if is_removed(&shared) {
            info!(shared.log, "own row was removed, joining again");
            join(&shared).await;
        }
        sleep(HEARTBEAT_PERIOD).await;
    }
}

async fn wait_until_known(shared: &Shared) {
    let mut own = shared.system_table_loaded.subscribe();
    // The sender lives in `shared`, so that waiting can't fail.
    let _ = own.wait_for(|read| *read).await;
    while !shared.is_initialized() {
        sleep(START_LOOK).await;
    }
}

/// Writes the own row, over that of an earlier process on this VM.
async fn join(shared: &Shared) {
    let row = own_row(shared);
    let vm = shared.settings.vm.as_str();
    find_previous(shared);
    while let Err(why) = put_row(shared, vm, &row).await {
        warn!(shared.log, "not joined yet"; "why" => why);
        sleep(PAUSE).await;
    }
    info!(shared.log, "joined"; "me" => shared.peers.me.to_string());
}

/// Learns which process ran on this VM before, if its row still stands.
fn find_previous(shared: &Shared) {
    let known = shared.membership();
    let row = known.members.get(&shared.settings.vm);
    if let Some((row, _)) = row
        && row.member != shared.peers.me
    {
        shared.set_previous_incarnation(row.member);
    }
}

async fn put_row(shared: &Shared, vm: &str, row: &MemberRow) -> Result<(), String> {
    let value = serde_json::to_vec(row).map_err(|error| error.to_string())?;
    let commit = Transaction::default().put(SYSTEM_TABLE, &key(vm), value);
    match store::commit(shared, &commit).await {
        Ok(TransactionOutcome::Done { version }) => {
            table_sync::record_own_writes(shared, &commit, version);
            let vm = shared.settings.vm.clone();
            shared.membership().members.insert(vm, (row.clone(), version));
            Ok(())
        }
        Ok(answer) => Err(format!("{answer:?}")),
        Err(fault) => Err(fault.to_string()),
    }
}

fn own_row(shared: &Shared) -> MemberRow {
    let settings = &shared.settings;
    MemberRow {
        member: shared.peers.me,
        domain: settings.domain.clone(),
        caller_addr: settings.caller_addr,
        peer_addr: settings.peer_addr(),
        ops_addr: settings.table_changes_addr(),
        leaving: *shared.shutting_down.borrow(),
        weight: settings.weight(),
    }
}

/// The key of a daemon's row.
fn key(vm: &str) -> String {
    format!("{KEY_PREFIX}{vm}")
}

/// Where a daemon says what changed in its copies of the store's tables.
pub fn table_changes_addr(shared: &Shared, member: MemberId) -> Option<SocketAddr> {
    let known = shared.membership();
    known.member_row(member).map(|row| row.ops_addr)
}

/// Tells others that the daemon lives.
fn beat(shared: &Shared) {
    let now = shared.now();
    let beat = Beat {
        leaving: *shared.shutting_down.borrow(),
        heard: shared.peers.alive(now),
        tables: table_sync::announcements(shared),
    };
    let addrs: Vec<SocketAddr> = shared.neighbours().addrs.values().copied().collect();
    for addr in addrs {
        shared.peers.send(addr, Message::Beat(beat.clone()));
    }
}

/// Tells a few others at once that the copies of the store's tables have changed.
///
/// Each of them tells a few more, so that most know it after a few hops; the rest learn of
/// it from the next beat. Told to all neighbours by all, each change of a table was more
/// than three quarters of what daemons send each other.
pub fn announce_tables(shared: &Shared) {
    let news = table_sync::announcements(shared);
    let lacking: Vec<SocketAddr> = {
        let neighbours = shared.neighbours();
        let lacks = |member: MemberId| shared.peers.lacks(member, &news);
        let addrs = neighbours.addrs.iter();
        addrs.filter(|(member, _)| lacks(**member)).map(|(_, addr)| *addr).collect()
    };
    for addr in lacking.into_iter().sample(&mut rand::rng(), FAN_OUT) {
        shared.peers.send(addr, Message::News(news.clone()));
    }
}

/// Tells all daemons that this one leaves, so that none sends callers to it.
pub fn announce_shutdown(shared: &Shared) {
    let beat = Beat { leaving: true, ..Beat::default() };
    for (_, addr) in other_daemons(shared) {
        shared.peers.send(addr, Message::Beat(beat.clone()));
    }
}

/// Up to how many daemons all exchange beats with all.
///
/// Ten daemons send 400 beats a second in all; 78 would send 24,000.
const MESH: usize = 12;

/// The number of others that a daemon tells at once that a table has changed.
const FAN_OUT: usize = 4;

/// The daemons that a daemon exchanges beats with: all of a few, else those that it
/// watches and those that watch it.
#[derive(Debug, Default)]
pub struct Neighbours {
    addrs: IndexMap<MemberId, SocketAddr>,
}

impl Neighbours {
    /// Whether beats of a daemon are expected.
    pub fn expects(&self, member: MemberId) -> bool {
        self.addrs.contains_key(&member)
    }

    fn find(known: &MembershipRows, vm: &VmName, me: MemberId) -> Self {
        let few = known.members.len() <= MESH;
        let near: Vec<VmName> = match few {
            true => known.members.keys().cloned().collect(),
            false => {
                watched_vms(known, vm).into_iter().chain(watchers(known, vm)).collect()
            }
        };
        let rows = near.iter().filter_map(|vm| known.members.get(vm));
        let others = rows.filter(|(row, _)| row.member != me);
        let addrs = others.map(|(row, _)| (row.member, row.peer_addr)).collect();
        Self { addrs }
    }
}

/// All other daemons and where they receive datagrams.
pub fn other_daemons(shared: &Shared) -> Vec<(MemberId, SocketAddr)> {
    let me = shared.peers.me;
    let known = shared.membership();
    let rows = known.members.values().map(|(row, _)| (row.member, row.peer_addr));
    rows.filter(|(member, _)| *member != me).collect()
}

/// The number of daemons, this one included.
pub fn daemon_count(shared: &Shared) -> usize {
    shared.membership().members.len().max(1)
}

/// Takes in a beat of another daemon.
pub fn record_heartbeat(shared: &Shared, from: MemberId, beat: &Beat) {
    table_sync::record_announcements(shared, from, &beat.tables);
    let mut known = shared.membership();
    match beat.leaving {
        true => drop(known.leaving.insert(from)),
        false => drop(known.leaving.swap_remove(&from)),
    }
}

/// Removes the rows of daemons that nobody hears.
///
/// Not right after this daemon itself has stood still: others were not heard then since it
/// did not listen, and would lose their claims for nothing.
async fn remove_silent(shared: &Shared) {
    if shared.is_resuming() {
        return;
    }
    for (vm, row, version) in silent(shared) {
        info!(shared.log, "daemon is silent, removing its row"; "member" => vm.to_string(),
            "version" => version, "id" => row.member.to_string());
        let commit = removal(&vm, version);
        // Who is no member itself is not sent beats, and hears nobody.
        let Some(commit) = check_own(shared, commit) else { return };
        match store::commit(shared, &commit).await {
            Ok(TransactionOutcome::Done { .. }) => {}
            Ok(answer) => {
                info!(shared.log, "row not removed"; "why" => format!("{answer:?}"))
            }
            Err(fault) => {
                warn!(shared.log, "row not removed"; "error" => fault.to_string());
            }
        }
    }
}

/// Has a transaction act only while the own row stands; nothing if it does not.
fn check_own(shared: &Shared, commit: Transaction) -> Option<Transaction> {
    let vm = &shared.settings.vm;
    let known = shared.membership();
    let (_, version) = known.own_row(vm, shared.peers.me)?;
    Some(commit.require_version(SYSTEM_TABLE, &key(vm.as_str()), version))
}

/// Watched daemons that neither this one nor others hear.
fn silent(shared: &Shared) -> Vec<(VmName, MemberRow, u64)> {
    let now = shared.now();
    let peers = &shared.peers;
    let known = shared.membership();
    let quiet = |member| match peers.heard(member) {
        Some(heard) => now.saturating_duration_since(heard.at) > FAILURE_TIMEOUT,
        // It has just joined, or was gone before this daemon started.
        None => known.is_stable(member, now, FAILURE_TIMEOUT * 2),
    };
    watched_vms(&known, &shared.settings.vm)
        .into_iter()
        .filter_map(|vm| {
            let (row, version) = known.members.get(&vm)?;
            let gone = quiet(row.member) && !peers.is_vouched_for(row.member, now);
            gone.then(|| (vm, row.clone(), *version))
        })
        .collect()
}

fn is_removed(shared: &Shared) -> bool {
    let known = shared.membership();
    known.own_row(&shared.settings.vm, shared.peers.me).is_none()
}

/// Removes the own row at the end.
pub async fn remove_own_row(shared: &Shared) {
    let vm = &shared.settings.vm;
    let version =
        shared.membership().own_row(vm, shared.peers.me).map(|(_, version)| version);
    let Some(version) = version else { return };
    if let Err(fault) = store::commit(shared, &removal(vm, version)).await {
        warn!(shared.log, "own row remains"; "error" => fault.to_string());
    }
}

/// The removal of a daemon's row, if it stands as it was when that was decided.
fn removal(vm: &VmName, version: u64) -> Transaction {
    let key = key(vm.as_str());
    Transaction::default()
        .require_version(SYSTEM_TABLE, &key, version)
        .remove(SYSTEM_TABLE, &key)
}
