//! Receives datagrams of other daemons and dispatches them by their message.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::grant::{self, Question};
use crate::message::{AdmissionVerdict, Message, Packet};
use crate::peers::ReplyTo;
use crate::shared::Shared;
use crate::{bidding, follow, members, permit_queue, planner, sums};

/// Receives datagrams until the daemon ends.
pub async fn run(shared: Arc<Shared>) {
    loop {
        let (packet, from) = shared.peers.receive().await;
        dispatch(&shared, packet, from);
    }
}

fn dispatch(shared: &Arc<Shared>, packet: Packet, from: SocketAddr) {
    match packet.message {
        Message::Heartbeat(heartbeat) => members::heard(shared, packet.from, &heartbeat),
        Message::TableUpdate(tables) => follow::hear(shared, packet.from, &tables),
        Message::UsageReport { server, usage, target, first_event } => {
            sums::take(shared, packet.from, &server, usage, target.as_ref(), first_event);
        }
        Message::BidRequest { number, servers, request } => {
            let bids = bidding::local_bids(shared, servers, &request);
            shared.peers.send(from, Message::Bids { number, bids });
        }
        Message::AdmissionRequest { number, server, request, adapter_missing } => {
            let reply = ReplyTo::Remote(from);
            match shared.holder(&server) {
                Some(holder) => {
                    let asker = (packet.from, number);
                    let question =
                        Question { asker, want: request, missed: adapter_missing };
                    grant::take(shared, &holder, question, reply);
                }
                None => {
                    let verdict = AdmissionVerdict::Moved;
                    shared
                        .peers
                        .send(from, Message::AdmissionResponse { number, verdict });
                }
            }
        }
        Message::Withdrawal { number, server } => {
            if let Some(holder) = shared.holder(&server) {
                grant::leave(&holder, (packet.from, number));
            }
        }
        Message::PermitRequest { number, service, request } => {
            let reply = ReplyTo::Remote(from);
            permit_queue::enqueue(
                shared,
                &service,
                (packet.from, number),
                request,
                reply,
            );
        }
        Message::PermitRelease { number, service, outcome } => {
            permit_queue::release(shared, &service, (packet.from, number), outcome);
        }
        Message::Bids { number, .. }
        | Message::AdmissionResponse { number, .. }
        | Message::PermitResponse { number, .. } => {
            shared.peers.deliver_response(number, packet.message);
        }
        Message::DemandReport { service, part, demand, unreachable, learned } => {
            if let Some(learned) = learned {
                shared.speeds().merge(&learned);
            }
            planner::take(shared, packet.from, (service, part), demand, unreachable);
        }
        Message::Move(change) => {
            if let Some(holder) = shared.holder(&change.server) {
                holder.change(change, Some(from), shared.now());
            }
        }
        Message::MoveFailed(change) => planner::fail(shared, &change),
    }
}
