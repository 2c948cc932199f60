//! Ranks of requests of client accounts in queues.

use std::time::{Duration, Instant};

use chestnut_base::{DomainName, MemberId, ServerName};
use chestnut_gate::settings::PriorityOrder;
use chestnut_pool::{
    ListedServer, PermitOutcome, PermitQueue, PlainRequest, QueueDecision,
};

#[test]
fn the_accounts_priority_goes_before_the_routes() {
    for order in [PriorityOrder::Account, PriorityOrder::AccountThenRoute] {
        assert_eq!(order.rank(None, 2), 2);
        for route in 0..=9 {
            assert!(order.rank(Some(0), 9) < order.rank(Some(1), route));
            assert!(order.rank(Some(1), 9) < order.rank(Some(2), route));
        }
        assert!(order.rank(Some(2), 2) <= 9, "engines know the priorities 0 to 9");
        assert!(order.rank(Some(255), 255) >= order.rank(Some(254), 0));
    }
    assert!(
        PriorityOrder::AccountThenRoute.rank(Some(1), 0)
            < PriorityOrder::AccountThenRoute.rank(Some(1), 2)
    );
}

/// Shares of the urgent and of the other requests that get a permit within 100 ms, when
/// accounts of one priority send half as many again as a server's six slots can take.
fn served_shares(order: PriorityOrder) -> (f64, f64) {
    let start = Instant::now();
    let mut queue = PermitQueue::default();
    let server = ServerName::try_from("s").expect("the name is valid");
    let domain = DomainName::try_from("d").expect("the name is valid");
    let listed = ListedServer {
        name: server.clone(),
        slots: 6,
        domain: domain.clone(),
        limit: None,
    };
    let mut running: Vec<(Instant, (MemberId, u64))> = Vec::new();
    let (mut sent, mut served) = ([0.0, 0.0], [0.0, 0.0]);
    for millis in 0..6000 {
        let now = start + Duration::from_millis(millis);
        if millis % 50 == 0 {
            queue.update_servers(vec![listed.clone()], now);
        }
        running.retain(|(until, key)| {
            let is_running = now < *until;
            if !is_running {
                queue.release(*key, PermitOutcome::Answered, now);
            }
            is_running
        });
        // Six slots and four permits ahead take 333 requests of 30 ms a second; 500 arrive.
        if millis % 10 < 5 {
            let kind = usize::from(millis % 10 != 0);
            let request = PlainRequest {
                urgency: order.rank(Some(1), if kind == 0 { 0 } else { 2 }),
                target_time: Duration::from_millis(100),
                wait_limit: Duration::from_millis(100),
                domain: domain.clone(),
                avoid: Vec::new(),
            };
            sent[kind] += 1.0;
            // Even numbers are urgent.
            queue.push((MemberId(1), millis * 2 + kind as u64), request, now);
        }
        while let Some(decision) = queue.next_decision(now) {
            if let QueueDecision::Grant(key, _) = decision {
                served[(key.1 % 2) as usize] += 1.0;
                running.push((now + Duration::from_millis(30), key));
            }
        }
    }
    (served[0] / sent[0], served[1] / sent[1])
}

#[test]
fn urgent_routes_go_first_among_accounts_of_one_priority() {
    // Load: all accounts have the same priority and send more than can be served. Guards
    // against an account's priority that hides which requests are urgent.
    let (urgent, other) = served_shares(PriorityOrder::AccountThenRoute);
    assert!(urgent > 0.98, "{urgent} {other}");
    assert!(other > 0.4, "{urgent} {other}");
    let (urgent, _) = served_shares(PriorityOrder::Account);
    assert!(urgent < 0.95, "{urgent}");
}
