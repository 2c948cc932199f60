//! Sizes and encodings of datagrams.

use chestnut_base::{Digest, MemberId, ServiceName, SoftwareVersion};
use chestnut_gate::message::{Message, Packet};
use chestnut_pool::RequestClass;
use chestnut_pool::origins::{OriginRecord, StreamOrigin};

/// The bytes a second that a daemon may send for control at full size, the streams a second that
/// begin at it, and the share of them whose services have several software versions.
const CONTROL_BYTES: f64 = 2048.0;
const STREAMS: f64 = 15.0;
const MIXED_SHARE: f64 = 0.5;

/// The daemons that keep a record.
const KEEPERS: f64 = 3.0;

/// Guards against records of streams that alone exceed a daemon's share of control traffic.
#[test]
fn a_record_of_a_stream_is_small() {
    let origin = StreamOrigin {
        service: ServiceName::try_from("drafting-pool").expect("a valid name"),
        software: Some(SoftwareVersion::try_from("v1.10.2").expect("a valid version")),
    };
    let attempt = Digest(u128::MAX);
    let record = OriginRecord { attempt, origin, lifetime_ms: 30_000 };
    let message = Message::StreamOrigins(vec![record]);
    let packet = Packet { from: MemberId(u64::MAX), message };
    let size = postcard::to_allocvec(&packet).expect("it can be encoded").len();
    eprintln!("{size} bytes");
    let each_second = size as f64 * STREAMS * MIXED_SHARE * KEEPERS;
    assert!(each_second <= CONTROL_BYTES, "{size} bytes");
}

/// Guards against classes that daemons of older versions can't read, which then get no requests.
#[test]
fn the_encoding_of_a_class_is_that_of_older_versions() {
    let account = Some("letters".to_owned());
    let class = RequestClass { account, patient: true, must_continue: true };
    let encoded = postcard::to_allocvec(&class).expect("it can be encoded");
    assert_eq!(encoded, b"\x01\x07letters\x01");
    let decoded: RequestClass =
        postcard::from_bytes(&encoded).expect("it can be decoded");
    assert_eq!(decoded, RequestClass { must_continue: false, ..class });
}
