//! Receives datagrams of other daemons and dispatches them by their message.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnut_account::ChargeId;
use chestnut_base::ServerName;
use chestnut_pool::RequestClass;

use crate::admission::{self, AdmissionRequest};
use crate::message::{AdmissionVerdict, Message, Packet};
use crate::peers::ReplyTo;
use crate::shared::Shared;
use crate::{
    account_slices, bidding, crashes, members, pace, paths, permit_queue, planner,
    resumption, server_limits, server_speeds, table_sync, usage_reports, yielding,
};

/// Receives datagrams until the daemon ends.
pub async fn run(shared: Arc<Shared>) {
    loop {
        let (packet, from) = shared.peers.receive().await;
        if !shared.peers.is_known(from.ip()) {
            members::answer_stranger(&shared, &packet.message, from);
            continue;
        }
        shared.peers.record(&packet);
        dispatch(&shared, packet, from);
    }
}

fn dispatch(shared: &Arc<Shared>, packet: Packet, from: SocketAddr) {
    match packet.message {
        Message::Heartbeat(heartbeat) => {
            members::record_heartbeat(shared, (packet.from, from), &heartbeat)
        }
        Message::TableUpdate(tables) => {
            table_sync::record_announcements(shared, packet.from, &tables)
        }
        Message::UsageReport { server, usage, target, first_event } => {
            usage_reports::apply(
                shared,
                packet.from,
                &server,
                usage,
                target.as_ref(),
                first_event,
            );
        }
        Message::BidRequest { number, servers, request } => {
            let bids = bidding::local_bids(shared, servers, &request);
            shared.peers.send(from, Message::Bids { number, bids });
        }
        Message::AdmissionRequest { number, server, request, adapter_missing } => {
            let key = (packet.from, number);
            let class = RequestClass::default();
            let refusable = false;
            let admission =
                AdmissionRequest { key, request, adapter_missing, class, refusable };
            request_admission(shared, from, &server, admission);
        }
        Message::ClassifiedRequest {
            number,
            server,
            request,
            adapter_missing,
            class,
        } => {
            let key = (packet.from, number);
            let refusable = true;
            let admission =
                AdmissionRequest { key, request, adapter_missing, class, refusable };
            request_admission(shared, from, &server, admission);
        }
        Message::ContinuationRequest { number, server, request, adapter_missing } => {
            let key = (packet.from, number);
            let class = RequestClass { must_continue: true, ..RequestClass::default() };
            let refusable = false;
            let admission =
                AdmissionRequest { key, request, adapter_missing, class, refusable };
            request_admission(shared, from, &server, admission);
        }
        Message::StreamTiming { server, step_us, gaps } => {
            server_speeds::apply_stream(shared, &server, step_us, gaps)
        }
        Message::ServerSpeeds { service, speeds } => {
            server_speeds::apply_ratios(shared, service, speeds)
        }
        Message::YieldRequest { server, count } => {
            yielding::stop_streams(shared, &server, count);
        }
        Message::Withdrawal { number, server } => {
            if let Some(holder) = shared.held_runner(&server) {
                admission::withdraw(shared, &holder, (packet.from, number));
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
        Message::ChargeRequest { number, slice, cost } => {
            let id = ChargeId { member: packet.from, number };
            let verdict = account_slices::charge(shared, id, &slice, cost);
            shared.peers.send(from, Message::ChargeResponse { number, verdict });
        }
        Message::ChargeRefund { number, slice } => {
            let id = ChargeId { member: packet.from, number };
            account_slices::refund(shared, id, &slice);
        }
        Message::Bids { number, .. }
        | Message::ChargeResponse { number, .. }
        | Message::AdmissionResponse { number, .. }
        | Message::PermitResponse { number, .. }
        | Message::ReachabilityResponse { number, .. }
        | Message::OriginResponse { number, .. } => {
            shared.peers.deliver_response(number, packet.message);
        }
        Message::DemandReport { service, part, demand, unreachable, learned } => {
            if let Some(learned) = learned {
                shared.engine_timings().merge(&learned);
            }
            planner::apply_demand(
                shared,
                packet.from,
                (service, part),
                demand,
                unreachable,
            );
        }
        Message::Move(planned) => {
            if let Some(holder) = shared.held_runner(&planned.server) {
                holder.request_move(planned, Some(from), shared.now());
            }
        }
        Message::MoveFailed(planned) => planner::record_failed_move(shared, &planned),
        Message::CrashReport(report) => {
            crashes::offer_collected(shared, packet.from, from);
            crashes::apply_report(shared, packet.from, &report, Duration::ZERO)
        }
        Message::ServerLimit { server, limit, age_ms } => {
            server_limits::apply_report(shared, &server, limit, age_ms);
        }
        Message::ReachabilityRequest { number, server } => {
            tokio::spawn(paths::answer(shared.clone(), from, number, server));
        }
        Message::CollectedReports(collected) => {
            for collected in &collected {
                let age = collected.age();
                crashes::apply_report(shared, packet.from, &collected.report, age);
            }
        }
        Message::CollectedReportsOffer => {
            shared.crashes.collector().record_reader(packet.from);
        }
        Message::AttemptEnded { number, server, outcome } => {
            pace::record_end(shared, &server, (packet.from, number), outcome);
        }
        Message::StreamOrigins(records) => resumption::apply_records(shared, records),
        Message::OriginRequest { number, attempt, service } => {
            resumption::answer(shared, from, number, attempt, &service);
        }
        Message::ModelWanted { service, model, software } => {
            planner::apply_wanted(shared, &service, model, software);
        }
        Message::SuspectsCleared(digests) => crashes::apply_cleared(shared, &digests),
    }
}

/// Passes a daemon's request for admission on to the runner, if this daemon holds it.
fn request_admission(
    shared: &Arc<Shared>,
    from: SocketAddr,
    server: &ServerName,
    admission: AdmissionRequest,
) {
    match shared.held_runner(server) {
        Some(holder) => {
            let reply = ReplyTo::Remote(from);
            admission::request_admission(shared, &holder, admission, reply);
        }
        None => {
            let (number, verdict) = (admission.key.1, AdmissionVerdict::Moved);
            shared.peers.send(from, Message::AdmissionResponse { number, verdict });
        }
    }
}
