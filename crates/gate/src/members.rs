//! Cluster membership.
//!
//! Each daemon has a row in the store from its start to its end. Daemons exchange
//! heartbeats. When none receives a daemon's heartbeats any more, those that watch it
//! remove its row, and only then may others take over its claims: heartbeats lost on one
//! link don't prove that a daemon has failed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnut_base::{MemberId, VmName};
use chestnut_edge::{Change, Transaction, TransactionOutcome};
use chestnut_member::{MemberRow, Part};
use indexmap::IndexSet;
use rand::seq::IteratorRandom;
use slog::{info, warn};
use tokio::time::sleep;

use crate::message::{Heartbeat, Message};
use crate::metrics::Step;
use crate::shared::Shared;
use crate::table_sync::{self, ChangeHandler, SYSTEM_TABLE};
use crate::{claims, registry, share_rows, store};

/// Prefix of the keys of daemons' rows; the VM's name follows.
pub const KEY_PREFIX: &str = "daemon:";

/// How often a daemon sends heartbeats.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(250);

/// How long all daemons may miss a daemon's heartbeats before its row is removed.
///
/// Longer than a burst of lost datagrams, shorter than a killed process takes to restart.
/// The daemon's claims can't be used in the meantime.
pub const FAILURE_TIMEOUT: Duration = Duration::from_millis(1500);

/// How often a starting daemon checks whether it can serve.
const STARTUP_POLL_PERIOD: Duration = Duration::from_millis(10);

/// Delay before a failed write of the own row is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Handles rows of daemons.
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
                warn!(shared.log, "invalid row of a daemon ignored"; "key" => &change.key,
                    "error" => error.to_string());
                None
            }
        };
        let mut membership = shared.membership();
        match row {
            Some(row) => {
                info!(shared.log, "daemon listed"; "member" => vm.to_string(),
                    "version" => change.version, "leaving" => row.leaving);
                membership.members.insert(vm, (row, change.version));
            }
            None => {
                info!(shared.log, "daemon removed"; "member" => vm.to_string(),
                    "version" => change.version);
                membership.members.swap_remove(&vm);
                match vm == shared.settings.vm {
                    true => shared.sharers().record_own_removal(),
                    false => shared.sharers().record_removal(vm, shared.now()),
                }
            }
        }
    }

    fn on_batch_end(&mut self) {
        let Self(shared) = self;
        let now = shared.now();
        let mut membership = shared.membership();
        membership.record_first_seen(now);
        shared.neighbours().update(&membership, &shared.settings.vm, now);
        let rows = membership.members.values();
        shared.peers.set_listed(&rows.map(|(row, _)| row.peer_addr.ip()).collect());
        drop(membership);
        registry::exclude_daemons(shared);
    }
}

/// Sends heartbeats for as long as the daemon runs.
///
/// Separate from every task that waits for the store, since a daemon whose calls hang is
/// still alive.
///
/// Every second time it sends the versions of the tables alone, which show as well that it is
/// alive: the list of the daemons that it hears makes up most of the traffic in a large
/// cluster.
pub async fn run_heartbeats(shared: Arc<Shared>) {
    for number in 0u64.. {
        // Detects a suspension of the daemon before the heartbeat is sent.
        shared.is_resuming();
        record_list_confirmation(&shared);
        replace_silent_neighbours(&shared);
        match number.is_multiple_of(2) {
            true => send_heartbeat(&shared),
            false => send_table_versions(&shared),
        }
        sleep(HEARTBEAT_PERIOD).await;
    }
}

/// Records when the store last confirmed the list of daemons.
fn record_list_confirmation(shared: &Shared) {
    let confirmed_at = shared.tables.system.replica().confirmed_at();
    let window = shared.bounds.borrow().retry_window;
    if let Some(at) = confirmed_at {
        shared.sharers().record_confirmation(at, window);
    }
}

/// Joins the cluster, then updates claims and watches other daemons.
///
/// The daemon joins once it can serve, since callers are directed to every daemon that
/// has joined.
pub async fn run(shared: Arc<Shared>) {
    wait_until_initialized(&shared).await;
    join(&shared).await;
    loop {
        claims::update_claims(&shared).await;
        remove_unresponsive(&shared).await;
        share_rows::persist_settled(&shared).await;
        if is_own_row_missing(&shared) {
            info!(shared.log, "own row was removed, joining again");
            join(&shared).await;
        }
        update_unreachable(&shared).await;
        sleep(HEARTBEAT_PERIOD).await;
    }
}

async fn wait_until_initialized(shared: &Shared) {
    let mut loaded = shared.system_table_loaded.subscribe();
    // `shared` owns the sender, so the channel can't be closed.
    let _ = loaded.wait_for(|is_loaded| *is_loaded).await;
    while !shared.is_initialized() {
        sleep(STARTUP_POLL_PERIOD).await;
    }
}

/// Writes the own row, replacing that of an earlier process on this VM.
async fn join(shared: &Shared) {
    let row = own_row(shared);
    let vm = shared.settings.vm.as_str();
    record_previous_incarnation(shared);
    let has_reserve = shared.sharers().offers_reserve(&shared.settings.vm);
    while let Err(reason) = write_row(shared, vm, &row).await {
        warn!(shared.log, "failed to join, retrying"; "why" => reason);
        sleep(RETRY_DELAY).await;
    }
    shared.sharers().record_join(has_reserve, shared.now());
    info!(shared.log, "joined"; "me" => shared.peers.me.to_string(),
        "reserve" => has_reserve);
}

/// Writes the own row again if this daemon reaches other servers than the row says.
async fn update_unreachable(shared: &Shared) {
    let row = own_row(shared);
    let (vm, me) = (&shared.settings.vm, shared.peers.me);
    let written = shared.membership().own_row(vm, me).map(|(row, at)| (row.clone(), at));
    let Some((written, version)) = written else { return };
    if written.unreachable == row.unreachable {
        return;
    }
    let names: Vec<&str> = row.unreachable.iter().map(|name| name.as_str()).collect();
    info!(shared.log, "servers are unreachable for this daemon alone";
        "servers" => names.join(" "), "version" => version);
    let unreachable = row.unreachable;
    let row = MemberRow { unreachable, ..written };
    if let Err(reason) = replace_row(shared, &row, version).await {
        warn!(shared.log, "failed to report unreachable servers, retrying"; "why" => reason);
    }
}

/// Replaces the own row if it still has this version.
async fn replace_row(
    shared: &Shared,
    row: &MemberRow,
    version: u64,
) -> Result<(), String> {
    let vm = &shared.settings.vm;
    let key = row_key(vm.as_str());
    let value = serde_json::to_vec(row).map_err(|error| error.to_string())?;
    let transaction = Transaction::default()
        .require_version(SYSTEM_TABLE, &key, version)
        .put(SYSTEM_TABLE, &key, value);
    match store::commit(shared, &transaction).await {
        Ok(TransactionOutcome::Committed { version }) => {
            let mut membership = shared.membership();
            let current = table_sync::record_own_writes(shared, &transaction, version);
            if current.contains(&key) {
                membership.members.insert(vm.clone(), (row.clone(), version));
            }
            Ok(())
        }
        Ok(outcome) => Err(format!("{outcome:?}")),
        Err(error) => Err(error.to_string()),
    }
}

/// Records the earlier process on this VM, if its row still exists.
fn record_previous_incarnation(shared: &Shared) {
    let membership = shared.membership();
    let row = membership.members.get(&shared.settings.vm);
    if let Some((row, _)) = row
        && row.member != shared.peers.me
    {
        shared.set_previous_incarnation(row.member);
    }
}

async fn write_row(shared: &Shared, vm: &str, row: &MemberRow) -> Result<(), String> {
    let value = serde_json::to_vec(row).map_err(|error| error.to_string())?;
    let transaction = Transaction::default().put(SYSTEM_TABLE, &row_key(vm), value);
    let transaction = share_rows::put_unsettled(shared, transaction);
    match store::commit(shared, &transaction).await {
        Ok(TransactionOutcome::Committed { version }) => {
            let mut membership = shared.membership();
            let current = table_sync::record_own_writes(shared, &transaction, version);
            share_rows::record_join(shared, &current, version);
            // A row that was removed meanwhile must be written again.
            if current.contains(&row_key(vm)) {
                let vm = shared.settings.vm.clone();
                membership.members.insert(vm, (row.clone(), version));
            }
            Ok(())
        }
        Ok(outcome) => Err(format!("{outcome:?}")),
        Err(error) => Err(error.to_string()),
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
        unreachable: shared.paths().unreachable(shared.now()),
    }
}

fn row_key(vm: &str) -> String {
    format!("{KEY_PREFIX}{vm}")
}

/// Where a daemon serves the changes of its table replicas; `None` if it has no row.
pub fn table_changes_addr(shared: &Shared, member: MemberId) -> Option<SocketAddr> {
    let membership = shared.membership();
    membership.member_row(member).map(|row| row.ops_addr)
}

/// Watches more daemons while watched ones are silent.
fn replace_silent_neighbours(shared: &Shared) {
    let now = shared.now();
    let membership = shared.membership();
    let vms = shared.neighbours().watched().to_vec();
    let rows = vms.iter().filter_map(|vm| membership.members.get(vm));
    let is_silent = |member| !shared.is_alive(member, now);
    let silent = rows.filter(|(row, _)| is_silent(row.member)).count();
    let vm = &shared.settings.vm;
    shared.neighbours().replace_silent(&membership, vm, silent, now);
}

/// Sends a heartbeat to all neighbours.
fn send_heartbeat(shared: &Shared) {
    let now = shared.now();
    let heartbeat = Heartbeat {
        shutting_down: *shared.shutting_down.borrow(),
        alive_members: shared.peers.alive_members(now),
        tables: table_sync::announcements(shared),
    };
    let addrs: Vec<_> = shared.neighbours().addrs().collect();
    for (_, addr) in addrs {
        shared.peers.send(addr, Message::Heartbeat(heartbeat.clone()));
    }
}

/// Sends the versions of the table replicas to all neighbours.
fn send_table_versions(shared: &Shared) {
    let announcements = table_sync::announcements(shared);
    let addrs: Vec<_> = shared.neighbours().addrs().collect();
    for (_, addr) in addrs {
        shared.peers.send(addr, Message::TableUpdate(announcements.clone()));
    }
}

/// Announces changed table replicas to a few neighbours at once.
///
/// Each of them announces them to a few more, which reaches most daemons within a few
/// hops; the rest learn of them from the next heartbeat. Announcing each change to all
/// neighbours would make up more than three quarters of the traffic between daemons.
pub fn announce_tables(shared: &Shared) {
    let announcements = table_sync::announcements(shared);
    let outdated: Vec<SocketAddr> = {
        let neighbours = shared.neighbours();
        let lacks = |member: MemberId| shared.peers.is_behind(member, &announcements);
        let addrs = neighbours.addrs();
        addrs.filter(|(member, _)| lacks(*member)).map(|(_, addr)| addr).collect()
    };
    for addr in outdated.into_iter().sample(&mut rand::rng(), ANNOUNCEMENT_FAN_OUT) {
        shared.peers.send(addr, Message::TableUpdate(announcements.clone()));
    }
}

/// Announces to all daemons that this one is shutting down, so that none directs callers to
/// it.
pub fn announce_shutdown(shared: &Shared) {
    let heartbeat = Heartbeat { shutting_down: true, ..Heartbeat::default() };
    for (_, addr) in other_daemons(shared) {
        shared.peers.send(addr, Message::Heartbeat(heartbeat.clone()));
    }
}

/// The number of neighbours that a daemon sends an announcement to.
const ANNOUNCEMENT_FAN_OUT: usize = 4;

/// All other daemons and the addresses where they receive datagrams.
pub fn other_daemons(shared: &Shared) -> Vec<(MemberId, SocketAddr)> {
    let me = shared.peers.me;
    let membership = shared.membership();
    let rows = membership.members.values().map(|(row, _)| (row.member, row.peer_addr));
    rows.filter(|(member, _)| *member != me).collect()
}

/// The addresses at which this daemon and those that have a row listen.
pub fn daemon_addrs(shared: &Shared) -> IndexSet<SocketAddr> {
    let settings = &shared.settings;
    let own = [
        settings.caller_addr,
        settings.readiness_addr,
        settings.directory_addr,
        settings.peer_addr(),
        settings.table_changes_addr(),
    ];
    let membership = shared.membership();
    let rows = membership.members.values();
    let others = rows.flat_map(|(row, _)| [row.caller_addr, row.peer_addr, row.ops_addr]);
    others.chain(own).chain(settings.metrics_addr).collect()
}

/// The number of daemons that have a row, and at least 1.
pub fn daemon_count(shared: &Shared) -> usize {
    shared.membership().members.len().max(1)
}

/// The part of a bound with this window that this daemon may use now.
pub fn part(shared: &Shared, window: Duration) -> Part {
    // Detects a suspension of the daemon, which the age of the table may not show.
    shared.is_resuming();
    let now = shared.now();
    let age = shared.tables.system.age(now);
    let membership = shared.membership();
    match membership.own_row(&shared.settings.vm, shared.peers.me) {
        Some(_) => shared.sharers().part(membership.members.keys(), age, window, now),
        None => Part::None,
    }
}

/// Records a heartbeat of another daemon, and answers it with the versions of the tables if
/// need be.
pub fn record_heartbeat(
    shared: &Shared,
    (from, addr): (MemberId, SocketAddr),
    heartbeat: &Heartbeat,
) {
    table_sync::record_announcements(shared, from, &heartbeat.tables);
    if heartbeat.needs_answer(shared.neighbours().expects(from)) {
        let announcements = table_sync::announcements(shared);
        shared.peers.send(addr, Message::TableUpdate(announcements));
    }
    let mut membership = shared.membership();
    match heartbeat.shutting_down {
        true => drop(membership.leaving.insert(from)),
        false => drop(membership.leaving.swap_remove(&from)),
    }
}

/// Handles a datagram of a sender that has no row.
///
/// It may be a daemon whose row was removed while it could not reach the store; it learns from
/// newer tables that it has to join again.
pub fn answer_stranger(shared: &Shared, message: &Message, addr: SocketAddr) {
    shared.metrics.count(Step::Stranger, message.kind());
    shared.peers.log_stranger(addr, message.kind());
    if let Message::Heartbeat(heartbeat) = message
        && heartbeat.needs_answer(false)
    {
        let announcements = table_sync::announcements(shared);
        shared.peers.send(addr, Message::TableUpdate(announcements));
    }
}

/// Removes the rows of unresponsive daemons.
///
/// Does nothing right after a suspension of this daemon: it received no heartbeats in the
/// meantime, and live daemons would lose their claims.
async fn remove_unresponsive(shared: &Shared) {
    if shared.is_resuming() {
        return;
    }
    for (vm, row, version) in unresponsive(shared) {
        info!(shared.log, "daemon is unresponsive, removing its row"; "member" => vm.to_string(),
            "version" => version, "id" => row.member.to_string());
        let transaction = row_removal(&vm, version);
        // A daemon without a row is sent no heartbeats, so it can't tell which others are alive.
        let Some(transaction) = require_own_row(shared, transaction) else { return };
        match store::commit(shared, &transaction).await {
            Ok(TransactionOutcome::Committed { .. }) => {}
            Ok(outcome) => {
                info!(shared.log, "row not removed"; "why" => format!("{outcome:?}"))
            }
            Err(error) => {
                warn!(shared.log, "row not removed"; "error" => error.to_string());
            }
        }
    }
}

/// Makes a transaction conditional on the own row; `None` if there is no such row.
fn require_own_row(shared: &Shared, transaction: Transaction) -> Option<Transaction> {
    let vm = &shared.settings.vm;
    let membership = shared.membership();
    let (_, version) = membership.own_row(vm, shared.peers.me)?;
    Some(transaction.require_version(SYSTEM_TABLE, &row_key(vm.as_str()), version))
}

/// Watched daemons whose heartbeats neither this daemon nor any other receives.
fn unresponsive(shared: &Shared) -> Vec<(VmName, MemberRow, u64)> {
    let now = shared.now();
    let peers = &shared.peers;
    let membership = shared.membership();
    let neighbours = shared.neighbours();
    let is_unresponsive = |member| {
        let last = peers.last_received_at(member);
        neighbours.is_unresponsive(&membership, member, last, FAILURE_TIMEOUT, now)
    };
    let watched = neighbours.watched().iter();
    watched
        .filter_map(|vm| {
            let (row, version) = membership.members.get(vm)?;
            let is_down = is_unresponsive(row.member)
                && !peers.is_alive_for_others(row.member, now);
            is_down.then(|| (vm.clone(), row.clone(), *version))
        })
        .collect()
}

/// Whether this daemon has no row: it hasn't joined, or others have removed it.
pub fn is_own_row_missing(shared: &Shared) -> bool {
    let membership = shared.membership();
    membership.own_row(&shared.settings.vm, shared.peers.me).is_none()
}

/// Removes the own row when the daemon shuts down.
pub async fn remove_own_row(shared: &Shared) {
    let vm = &shared.settings.vm;
    let version =
        shared.membership().own_row(vm, shared.peers.me).map(|(_, version)| version);
    let Some(version) = version else { return };
    if let Err(error) = store::commit(shared, &row_removal(vm, version)).await {
        warn!(shared.log, "failed to remove own row"; "error" => error.to_string());
    }
}

/// Removes a daemon's row if it still has the version on which that was decided.
fn row_removal(vm: &VmName, version: u64) -> Transaction {
    let row_key = row_key(vm.as_str());
    Transaction::default()
        .require_version(SYSTEM_TABLE, &row_key, version)
        .delete(SYSTEM_TABLE, &row_key)
}
