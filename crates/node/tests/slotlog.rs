//! The slot log against the stand-in object store.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use chestnut_base::{
    AttemptId, CallerName, Digest, MemberId, RequestId, ServiceName, SlotId, Target,
};
use chestnut_fake::{ServerHandle, WeightStoreConfig, platform};
use chestnut_node::slotlog::{self, SealResult, SlotClaim};
use chestnut_once::{AppendResult, Record, SlotLog};
use chestnut_plat::ObjectStore;

const SLOT: SlotId = SlotId(3);
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

async fn start_store() -> (ServerHandle, ObjectStore) {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let platform = platform::start(any_port, WeightStoreConfig::default()).await.unwrap();
    let objects = ObjectStore::new(platform.url(), CALL_TIMEOUT).unwrap();
    (platform, objects)
}

fn claim(member: u64, version: u64) -> SlotClaim {
    SlotClaim { member: MemberId(member), version }
}

fn record(member: u64, key: &str) -> Record {
    let name = ServiceName::try_from("letters").unwrap();
    Record {
        slot: SLOT,
        id: RequestId {
            caller: CallerName::try_from("adenta").unwrap(),
            key: key.to_owned(),
        },
        digest: Digest::of([key.as_bytes()]),
        attempt: AttemptId { member: MemberId(member), number: 1 },
        target: Target::Service { name },
        transaction_id: 0,
        server: None,
        response: None,
    }
}

async fn seal(objects: &ObjectStore, claim: SlotClaim) -> SlotLog {
    match slotlog::seal(objects, SLOT, claim).await.unwrap() {
        SealResult::Sealed(log) => log,
        SealResult::Superseded => panic!("no later claim was used"),
    }
}

/// A seal under a lapsed claim would let its daemon run what the new lead has run.
#[tokio::test]
async fn seal_under_a_lapsed_claim_is_refused() {
    let (_platform, objects) = start_store().await;
    let log = seal(&objects, claim(2, 9)).await;
    let refused = slotlog::seal(&objects, SLOT, claim(1, 5)).await.unwrap();
    assert_eq!(refused, SealResult::Superseded);
    let records = [record(2, "letter")];
    let appended =
        slotlog::append(&objects, SLOT, claim(2, 9), log.next_position, &records).await;
    assert_eq!(appended, AppendResult::Appended);
    assert_eq!(seal(&objects, claim(3, 11)).await.records, records);
}

/// A late append to a trimmed position would count as the start of a request.
#[tokio::test]
async fn append_to_a_trimmed_position_is_not_read() {
    let (_platform, objects) = start_store().await;
    let former = seal(&objects, claim(1, 5)).await;
    seal(&objects, claim(2, 9)).await;
    let log = seal(&objects, claim(2, 9)).await;
    slotlog::trim(&objects, SLOT, claim(2, 9), log.next_position - 1).await.unwrap();
    let records = [record(1, "letter")];
    let late =
        slotlog::append(&objects, SLOT, claim(1, 5), former.next_position, &records);
    assert_eq!(late.await, AppendResult::Conflict);
    assert_eq!(seal(&objects, claim(3, 11)).await.records, []);
}
