//! Takes in datagrams of other daemons.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::admission::{self, AdmissionRequest};
use crate::message::{Message, Packet, Verdict};
use crate::peers::Reply;
use crate::shared::Shared;
use crate::{ask, members, planner, queue, table_sync, usage_reports};

/// Takes in datagrams for as long as the daemon runs.
pub async fn run(shared: Arc<Shared>) {
    loop {
        let (packet, from) = shared.peers.receive().await;
        take(&shared, packet, from);
    }
}

fn take(shared: &Arc<Shared>, packet: Packet, from: SocketAddr) {
    match packet.message {
        Message::Beat(beat) => members::record_heartbeat(shared, packet.from, &beat),
        Message::News(tables) => {
            table_sync::record_announcements(shared, packet.from, &tables)
        }
        Message::Sum { server, usage, target, begun } => {
            usage_reports::apply(
                shared,
                packet.from,
                &server,
                usage,
                target.as_ref(),
                begun,
            );
        }
        Message::Ask { number, servers, want } => {
            let bids = ask::answer(shared, servers, &want);
            shared.peers.send(from, Message::Bids { number, bids });
        }
        Message::Take { number, server, want, missed } => {
            let reply = Reply::There(from);
            match shared.held_runner(&server) {
                Some(holder) => {
                    let asker = (packet.from, number);
                    let question = AdmissionRequest {
                        key: asker,
                        request: want,
                        adapter_missing: missed,
                    };
                    admission::request_admission(shared, &holder, question, reply);
                }
                None => {
                    let verdict = Verdict::Moved;
                    shared.peers.send(from, Message::Taken { number, verdict });
                }
            }
        }
        Message::Leave { number, server } => {
            if let Some(holder) = shared.held_runner(&server) {
                admission::withdraw(&holder, (packet.from, number));
            }
        }
        Message::Enqueue { number, service, want } => {
            let reply = Reply::There(from);
            queue::take(shared, &service, (packet.from, number), want, reply);
        }
        Message::Finished { number, service, outcome } => {
            queue::finish(shared, &service, (packet.from, number), outcome);
        }
        Message::Bids { number, .. }
        | Message::Taken { number, .. }
        | Message::Dequeued { number, .. } => {
            shared.peers.answer(number, packet.message);
        }
        Message::Demand { service, part, asked, lost, learnt } => {
            if let Some(learnt) = learnt {
                shared.engine_timings().merge(&learnt);
            }
            planner::apply_demand(shared, packet.from, (service, part), asked, lost);
        }
        Message::Move(change) => {
            if let Some(holder) = shared.held_runner(&change.server) {
                holder.request_move(change, Some(from), shared.now());
            }
        }
        Message::Failed(change) => planner::record_failed_move(shared, &change),
    }
}
