//! How requests to resume streams go on, and which versions and records decide it.

use std::time::{Duration, Instant};

use chestnut_base::{Digest, DomainName, MemberId, ServiceName, SoftwareVersion};
use chestnut_pool::origins::{
    MAX_RECORDS, OriginRecord, StreamOrigin, StreamOrigins, record_keepers,
};
use chestnut_pool::software::{
    Answers, KnownVersions, OriginKnowledge, Resolution, SoftwareBinding,
    SoftwareHistory, VERSION_RETENTION, resolve, version_key,
};

fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion::try_from(name).expect("a version")
}

fn service() -> ServiceName {
    ServiceName::try_from("pool").expect("a name")
}

fn origin(name: &str) -> StreamOrigin {
    StreamOrigin { service: service(), software: Some(version(name)) }
}

fn one(name: &str) -> OriginKnowledge {
    let versions = KnownVersions::One(Some(version(name)));
    OriginKnowledge { origin: None, versions, current: true }
}

fn several() -> OriginKnowledge {
    OriginKnowledge { versions: KnownVersions::Several, ..OriginKnowledge::default() }
}

fn recorded(name: &str) -> OriginKnowledge {
    OriginKnowledge { origin: Some(origin(name)), ..several() }
}

fn answers(asked: usize, received: &[OriginKnowledge]) -> Answers {
    Answers { asked, received: received.to_vec() }
}

fn bound(name: &str) -> Resolution {
    let binding = SoftwareBinding::Only(Some(version(name)));
    Resolution::Bound(None, binding)
}

/// Guards against a guess where a stream began: the records decide, and without them all that
/// answered must know the same single version.
#[test]
fn a_resumed_stream_goes_on_only_at_a_known_version() {
    let by_record =
        Resolution::Bound(Some(service()), SoftwareBinding::Only(Some(version("v2"))));
    assert_eq!(resolve(true, &recorded("v2"), None), by_record);
    assert_eq!(resolve(true, &one("v1"), None), Resolution::AskOthers);
    let asked = |own: &OriginKnowledge, received: &[OriginKnowledge]| {
        resolve(true, own, Some(&answers(3, received)))
    };
    assert_eq!(asked(&one("v1"), &[one("v1"), recorded("v2")]), by_record);
    assert_eq!(asked(&several(), &[several(), recorded("v2")]), by_record);
    assert_eq!(asked(&one("v1"), &[one("v1"), OriginKnowledge::default()]), bound("v1"));
    for (own, received) in [
        (one("v1"), vec![]),
        (one("v1"), vec![one("v1"), several()]),
        (one("v1"), vec![one("v2")]),
        (one("v1"), vec![OriginKnowledge::default()]),
        (several(), vec![one("v1"), one("v1")]),
        (several(), vec![recorded("v1"), recorded("v2")]),
        (OriginKnowledge::default(), vec![one("v1")]),
    ] {
        assert_eq!(asked(&own, &received), Resolution::Unknown, "{own:?} {received:?}");
    }
}

/// Guards against a daemon without others that goes by an outdated registry.
#[test]
fn a_single_daemon_goes_by_a_current_registry_alone() {
    let outdated = OriginKnowledge { current: false, ..one("v1") };
    assert_eq!(resolve(true, &one("v1"), Some(&answers(0, &[]))), bound("v1"));
    let unknown = resolve(true, &outdated, Some(&answers(0, &[])));
    assert_eq!(unknown, Resolution::Unknown);
}

/// Guards against callers that name no attempt being refused where one version serves, and
/// served where several do.
#[test]
fn a_stream_without_a_named_attempt_is_resumed_at_a_single_version() {
    assert_eq!(resolve(false, &one("v1"), None), bound("v1"));
    assert_eq!(resolve(false, &several(), None), Resolution::Unnamed);
}

/// Guards against versions that are forgotten while callers may resume their streams, also by
/// daemons that start when no server of them is listed any more.
#[test]
fn versions_are_known_until_their_streams_have_ended() {
    let start = Instant::now();
    let (service, v1, v2) = (service(), Some(version("v1")), Some(version("v2")));
    let known_one = |name: &str| KnownVersions::One(Some(version(name)));
    let mut history = SoftwareHistory::default();
    history.update_listed([(&service, &v1)], start);
    assert_eq!(history.known(&service), known_one("v1"));
    assert_eq!(history.unwritten(), [(service.clone(), v1.clone())]);
    assert!(history.take_mixed().is_empty());
    let later = start + Duration::from_secs(1);
    history.update_listed([(&service, &v2)], later);
    assert_eq!(history.known(&service), KnownVersions::Several);
    assert_eq!(history.take_mixed(), std::slice::from_ref(&service));
    assert!(history.take_mixed().is_empty());
    let end = start + VERSION_RETENTION;
    history.update_listed([(&service, &v2)], end);
    assert_eq!(history.known(&service), known_one("v2"));

    let mut restarted = SoftwareHistory::default();
    restarted.record_row(&service, &v1, 7, start);
    restarted.update_listed([(&service, &v2)], start);
    assert_eq!(restarted.known(&service), KnownVersions::Several);
    assert!(restarted.expired(later).is_empty());
    restarted.update_listed([(&service, &v2)], end);
    assert_eq!(restarted.known(&service), KnownVersions::Several);
    assert_eq!(restarted.expired(end), [(service.clone(), v1.clone(), 7)]);
    restarted.record_removal(&service, version_key(v1.as_ref()));
    restarted.update_listed([(&service, &v2)], end);
    assert_eq!(restarted.known(&service), known_one("v2"));
}

/// Guards against records that outlive their callers, change, or take all memory.
#[test]
fn records_of_streams_expire_and_are_bounded() {
    let now = Instant::now();
    let mut origins = StreamOrigins::default();
    let record = |number: u128, name: &str, lifetime_ms| OriginRecord {
        attempt: Digest(number),
        origin: origin(name),
        lifetime_ms,
    };
    origins.record(record(1, "v1", 500), now);
    origins.record(record(2, "v1", 500), now);
    origins.record(record(2, "v2", 500), now);
    assert_eq!(origins.get(Digest(1), now), Some(&origin("v1")));
    assert_eq!(origins.get(Digest(2), now), None);
    let later = now + Duration::from_millis(500);
    assert_eq!(origins.get(Digest(1), later), None);
    assert_eq!(origins.of_service(&service(), now).len(), 1);
    for number in 0..MAX_RECORDS as u128 + 100 {
        origins.record(record(number, "v1", u32::MAX), later);
    }
    assert!(origins.count() <= MAX_RECORDS);
    let last = Digest(MAX_RECORDS as u128 + 99);
    assert_eq!(origins.get(last, later), Some(&origin("v1")));
}

/// Guards against all records of a stream being lost with one failure domain, and against daemons
/// that don't find them because another one has ended.
#[test]
fn keepers_of_records_are_in_different_domains() {
    let domains = ["a", "b", "c"].map(|name| DomainName::try_from(name).expect("a name"));
    let domain = |number: u64| &domains[number as usize % 3];
    for attempt in 0..200 {
        let attempt = Digest(attempt);
        let members = (0..9).map(|number| (MemberId(number), domain(number)));
        let keepers = record_keepers(attempt, members.clone(), 3);
        let mut domains: Vec<_> = keepers.iter().map(|member| domain(member.0)).collect();
        domains.sort();
        domains.dedup();
        assert_eq!(domains.len(), 3);
        for ended in 0..9 {
            let left = members.clone().filter(|(member, _)| member.0 != ended);
            let asked = record_keepers(attempt, left, 6);
            let found = keepers.iter().filter(|member| asked.contains(member));
            assert!(found.count() >= 2, "{attempt} {ended}");
        }
    }
}
