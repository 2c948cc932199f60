//! Reports what this daemon has in flight at runners to the holders of their claims.

use std::sync::Arc;
use std::time::Duration;

use chestnut_base::{MemberId, ServerName};
use chestnut_edge::TargetModel;
use chestnut_pool::{ServerKey, Usage};
use tokio::time::sleep;

use crate::message::{FirstEvent, Message};
use crate::shared::Shared;
use crate::{admission, holder};

/// How often usage other than zero is reported again.
///
/// After a lost datagram the holder's total is wrong for up to this long.
const REPEAT_PERIOD: Duration = Duration::from_secs(1);

/// When a report to a new holder is repeated, which may have learned of its claim later than
/// this daemon.
pub const NEW_HOLDER_DELAY: Duration = Duration::from_millis(200);

/// Reports this daemon's current usage of a runner to its holder.
///
/// `target` is the model of a request that was just sent, and `first_event` the first event
/// of an admitted request; `None` if the report is for another reason.
pub fn report(
    shared: &Shared,
    key: ServerKey,
    target: Option<TargetModel>,
    first_event: Option<FirstEvent>,
) {
    let (server, usage) = {
        let fleet = shared.fleet();
        let Some(server) = fleet.get(key) else { return };
        if server.entry.models.is_empty() {
            return;
        }
        (server.entry.name.clone(), server.own_usage)
    };
    send_report(shared, server, usage, target, first_event);
}

fn send_report(
    shared: &Shared,
    server: ServerName,
    usage: Usage,
    target: Option<TargetModel>,
    first_event: Option<FirstEvent>,
) {
    if shared.held_runner(&server).is_some() {
        apply(shared, shared.peers.me, &server, usage, target.as_ref(), first_event);
    } else if let Some(addr) = holder::holder_addr(shared, &server) {
        shared
            .peers
            .send(addr, Message::UsageReport { server, usage, target, first_event });
    }
}

/// Reports this daemon's usage of a runner whose claim has moved to its new holder, and once
/// more after [`NEW_HOLDER_DELAY`].
pub fn report_to_new_holder(shared: &Arc<Shared>, server: &ServerName) {
    if own_usage(shared, server).is_none() {
        return;
    }
    let (shared, server) = (shared.clone(), server.clone());
    tokio::spawn(async move {
        for delay in [Duration::ZERO, NEW_HOLDER_DELAY] {
            sleep(delay).await;
            let usage = own_usage(&shared, &server).unwrap_or_default();
            send_report(&shared, server.clone(), usage, None, None);
        }
    });
}

/// What this daemon has in flight at a runner; `None` if that is nothing.
fn own_usage(shared: &Shared, server: &ServerName) -> Option<Usage> {
    let fleet = shared.fleet();
    let usage = fleet.get(fleet.key(server)?)?.own_usage;
    (usage.requests > 0).then_some(usage)
}

/// Applies a daemon's report on a runner that this daemon holds; ignored for others.
pub fn apply(
    shared: &Shared,
    from: MemberId,
    server: &ServerName,
    usage: Usage,
    target: Option<&TargetModel>,
    first_event: Option<FirstEvent>,
) {
    let Some(runner) = shared.held_runner(server) else { return };
    let now = shared.now();
    {
        let mut state = runner.state();
        state.update_usage(from, usage, now);
        if let Some(target) = target {
            state.mark_adapter_used(target, now);
        }
    }
    if let Some(first_event) = first_event {
        admission::record_first_event(shared, &runner, from, first_event);
    }
    // Requests that ended free capacity for queued ones.
    runner.changed.notify_one();
}

/// Repeats the reports on all runners that this daemon uses.
pub async fn repeat_reports(shared: Arc<Shared>) {
    loop {
        sleep(REPEAT_PERIOD).await;
        let reports: Vec<(ServerName, Usage)> = {
            let fleet = shared.fleet();
            let used = fleet.iter().filter(|(_, server)| server.own_usage.requests > 0);
            used.filter(|(_, server)| !server.entry.models.is_empty())
                .map(|(_, server)| (server.entry.name.clone(), server.own_usage))
                .collect()
        };
        for (server, usage) in reports {
            send_report(&shared, server, usage, None, None);
        }
    }
}
