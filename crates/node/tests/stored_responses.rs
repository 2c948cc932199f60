//! Responses that are stored for retries of non-idempotent requests.

use bytes::Bytes;
use chestnut_node::single::ResponseBuilder;
use chestnut_wire::PeerResponse;

/// The size of the parts of a body.
const PART_BYTES: usize = 1 << 20;

fn build(parts: usize) -> ResponseBuilder {
    let mut builder = ResponseBuilder::new();
    for _ in 0..parts {
        builder.push(&PeerResponse::Chunk(Bytes::from(vec![b'x'; PART_BYTES])));
    }
    builder
}

/// Guards against a response whose body was too large to be stored, and that a retry gets as a
/// whole one without a body.
#[test]
fn a_body_that_was_dropped_is_not_whole() {
    let whole = build(8).finish_whole(String::new()).expect("it is whole");
    assert_eq!(whole.body.len(), 8 * PART_BYTES);
    assert!(build(9).finish_whole(String::new()).is_none());
}
