//! Requests to other daemons, and their responses.

use std::net::SocketAddr;
use std::sync::Arc;

use chestnut_base::{MemberId, SystemClock};
use chestnut_gate::message::Message;
use chestnut_gate::peers::Peers;
use chestnut_pool::Reachability;
use slog::{Discard, Logger, o};

/// Guards against a restarted daemon that takes a late response to its predecessor's request for
/// one to its own.
#[tokio::test]
async fn a_restarted_daemon_takes_no_response_to_its_predecessor() {
    let start = async || {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let log = Logger::root(Discard, o!());
        Peers::bind(MemberId(1), any, Arc::new(SystemClock), log).await.expect("a port")
    };
    let (earlier, restarted) = (start().await, start().await);
    let numbers: Vec<u64> = (0..100).map(|_| earlier.open_request().0).collect();
    let mut requests: Vec<_> = (0..100).map(|_| restarted.open_request()).collect();
    for number in numbers {
        let reachability = Reachability::Connected;
        let response = Message::ReachabilityResponse { number, reachability };
        restarted.deliver_response(number, response);
    }
    let taken = requests.iter_mut().map(|(_, responses)| responses.try_recv().is_ok());
    assert_eq!(taken.filter(|taken| *taken).count(), 0);
}
