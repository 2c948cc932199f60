//! The daemon's list of latency-tolerant streams that may be stopped.

use std::time::{Duration, Instant};

use chestnut_base::{Incarnation, ServerName};
use chestnut_gate::settings::Policy;
use chestnut_gate::sharing;
use chestnut_gate::yielding::{self, PatientStreams, StreamRegistration};
use chestnut_pool::{PrefillAction, RequestClass, ServiceProfile};

fn server(started_at: u64) -> Incarnation {
    let server = ServerName::try_from("runner".to_owned()).expect("a valid name");
    Incarnation { server, started_at: Some(started_at) }
}

/// Whether a stream was requested to stop.
async fn is_requested(registration: StreamRegistration) -> bool {
    let mut registration = Some(registration);
    let requested = yielding::requested(&mut registration);
    tokio::time::timeout(Duration::ZERO, requested).await.is_ok()
}

#[tokio::test]
async fn the_streams_with_the_most_time_left_are_stopped() {
    // Guards against stopping a stream that can't finish after its resume, one at another
    // incarnation of the runner, or more than were asked for.
    let (now, streams) = (Instant::now(), PatientStreams::default());
    let register = |started_at, left_s| {
        streams.register(server(started_at), now + Duration::from_secs(left_s))
    };
    let (short, long, longest) = (register(1, 1), register(1, 9), register(1, 12));
    let restarted = register(2, 15);
    assert_eq!(streams.stop(&server(1), 1, now), 1);
    assert_eq!(streams.count(), 3);
    assert!(is_requested(longest).await);
    // Neither one that was stopped nor one without time is found again.
    assert_eq!(streams.stop(&server(1), 5, now), 1);
    assert!(is_requested(long).await);
    assert!(!is_requested(short).await);
    assert!(!is_requested(restarted).await);
    assert_eq!(streams.count(), 0);
}

#[tokio::test]
async fn ended_and_outdated_requests_have_no_effect() {
    // A stream may end at the same time, and one whose caller reads slowly may see the
    // request when the urgent prompt has started long ago.
    let (now, streams) = (Instant::now(), PatientStreams::default());
    drop(streams.register(server(1), now + Duration::from_secs(9)));
    assert_eq!(streams.stop(&server(1), 1, now), 0);
    assert!(yielding::is_current(now, now + Duration::from_millis(200)));
    assert!(!yielding::is_current(now, now + Duration::from_millis(400)));
}

#[test]
fn nothing_is_stopped_where_yielding_is_off() {
    // Guards against stopped streams with the setting off, where streams have similar
    // objectives, and where none may wait: a holder asks for none, and a daemon, which
    // another one with the setting on may ask, lists none.
    let mixed = {
        let mut profile = ServiceProfile::default();
        profile.mixed_objectives = true;
        profile
    };
    let others = Policy { late_binding: true, account_shares: true, ..Policy::default() };
    let on = Policy { yielding: true, ..others };
    let patient = RequestClass { patient: true, ..RequestClass::default() };
    let stops = |policy| {
        let is_listed = yielding::may_stop(policy, &patient);
        (sharing::may_ask(policy, &PrefillAction::Idle), is_listed)
    };
    assert_eq!(stops(on), (true, true));
    assert!(!yielding::may_stop(on, &RequestClass::default()));
    let without_patient_streams = on.for_service(mixed);
    let similar_objectives = on.for_service(ServiceProfile::default());
    for policy in [others, without_patient_streams, similar_objectives] {
        assert_eq!(stops(policy), (false, false), "{policy:?}");
    }
    assert_eq!(PatientStreams::default().stop(&server(1), 1, Instant::now()), 0);
}
