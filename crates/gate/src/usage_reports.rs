//! Tells the holders of runners what this daemon has in flight there.

use std::sync::Arc;
use std::time::Duration;

use chestnut_base::{MemberId, ServerName};
use chestnut_edge::TargetModel;
use chestnut_pool::{ServerKey, Usage};
use tokio::time::sleep;

use crate::message::{Begun, Message};
use crate::shared::Shared;
use crate::{admission, holder};

/// How often sums that are not zero are repeated.
///
/// A lost datagram leaves a holder's total wrong for that long; a holder that takes
/// a claim over knows all sums after it.
const REPEAT: Duration = Duration::from_secs(1);

/// Tells a runner's holder what this daemon has in flight there now.
pub fn report(
    shared: &Shared,
    key: ServerKey,
    target: Option<TargetModel>,
    begun: Option<Begun>,
) {
    let (server, usage) = {
        let fleet = shared.fleet();
        let Some(server) = fleet.get(key) else { return };
        if server.entry.models.is_empty() {
            return;
        }
        (server.entry.name.clone(), server.own_usage)
    };
    tell_sum(shared, server, usage, target, begun);
}

fn tell_sum(
    shared: &Shared,
    server: ServerName,
    usage: Usage,
    target: Option<TargetModel>,
    begun: Option<Begun>,
) {
    if shared.held_runner(&server).is_some() {
        apply(shared, shared.peers.me, &server, usage, target.as_ref(), begun);
    } else if let Some(addr) = holder::holder_addr(shared, &server) {
        shared.peers.send(addr, Message::Sum { server, usage, target, begun });
    }
}

/// Takes in what a daemon has in flight at a runner.
pub fn apply(
    shared: &Shared,
    from: MemberId,
    server: &ServerName,
    usage: Usage,
    target: Option<&TargetModel>,
    begun: Option<Begun>,
) {
    let Some(holder) = shared.held_runner(server) else { return };
    let now = shared.now();
    {
        let mut state = holder.state();
        state.update_usage(from, usage, now);
        if let Some(target) = target {
            state.mark_adapter_used(target, now);
        }
    }
    if let Some(begun) = begun {
        admission::record_first_event(shared, &holder, from, begun);
    }
    // What has ended makes room.
    holder.changed.notify_one();
}

/// Repeats sums that are not zero.
pub async fn repeat_reports(shared: Arc<Shared>) {
    loop {
        sleep(REPEAT).await;
        let sums: Vec<(ServerName, Usage)> = {
            let fleet = shared.fleet();
            let busy = fleet.iter().filter(|(_, server)| server.own_usage.requests > 0);
            busy.filter(|(_, server)| !server.entry.models.is_empty())
                .map(|(_, server)| (server.entry.name.clone(), server.own_usage))
                .collect()
        };
        for (server, usage) in sums {
            tell_sum(&shared, server, usage, None, None);
        }
    }
}
