//! Takes in datagrams of other daemons.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::message::{Message, Packet};
use crate::shared::Shared;
use crate::{ask, members, planner, sums};

/// Takes in datagrams for as long as the daemon runs.
pub async fn run(shared: Arc<Shared>) {
    loop {
        let (packet, from) = shared.peers.receive().await;
        take(&shared, packet, from);
    }
}

fn take(shared: &Arc<Shared>, packet: Packet, from: SocketAddr) {
    match packet.message {
        Message::Beat(beat) => members::heard(shared, packet.from, &beat),
        Message::Sum { server, usage, target } => {
            sums::take(shared, packet.from, &server, usage, target.as_ref());
        }
        Message::Ask { number, servers, want } => {
            let bids = ask::answer(shared, servers, &want);
            shared.peers.send(from, Message::Bids { number, bids });
        }
        Message::Prepare { number, server, model, adapter, missed } => {
            let shared = shared.clone();
            let target = (model, adapter);
            let answer =
                ask::answer_prepare(shared, from, number, server, target, missed);
            tokio::spawn(answer);
        }
        Message::Bids { number, .. } | Message::Prepared { number, .. } => {
            shared.peers.answer(number, packet.message);
        }
        Message::Demand { service, tokens } => {
            planner::take(shared, packet.from, service, tokens);
        }
        Message::Move(change) => {
            if let Some(holder) = shared.holder(&change.server) {
                holder.change(change);
            }
        }
    }
}
