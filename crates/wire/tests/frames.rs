//! The frame decoder accepts any split of the bytes and doesn't panic on invalid ones.

use chestnut_base::{Outcome, Refusal, Revision};
use chestnut_wire::{FrameDecoder, PeerRequest, PeerResponse, RetryHint, encode};
use proptest::prelude::*;

fn response() -> impl Strategy<Value = PeerResponse> {
    prop_oneof![
        Just(PeerResponse::Queued),
        (any::<u32>(), any::<u32>(), ".{0,40}").prop_map(|(first, count, text)| {
            PeerResponse::Tokens { first, count, text }
        }),
        proptest::collection::vec(any::<u8>(), 0..300)
            .prop_map(|bytes| PeerResponse::Chunk(bytes.into())),
        ".{0,40}".prop_map(|message| PeerResponse::Refused {
            refusal: Refusal::new(
                Outcome::NotRun,
                chestnut_base::RefusalCode::Deadline,
                message
            ),
            hint: RetryHint::default(),
        }),
    ]
}

proptest! {
    #[test]
    fn decoding_does_not_depend_on_the_split(
        responses in proptest::collection::vec(response(), 1..8),
        chunk_len in 1usize..50,
    ) {
        let bytes: Vec<u8> =
            responses.iter().flat_map(|response| encode(response).expect("small enough")).collect();
        let mut decoder = FrameDecoder::new();
        let mut decoded = Vec::new();
        for chunk in bytes.chunks(chunk_len) {
            decoder.push(chunk);
            while let Some(response) = decoder.decode::<PeerResponse>().expect("well formed") {
                decoded.push(response);
            }
        }
        prop_assert_eq!(decoded, responses);
        prop_assert!(decoder.is_empty());
    }

    #[test]
    fn invalid_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut decoder = FrameDecoder::new();
        decoder.push(&bytes);
        while let Ok(Some(_)) = decoder.decode::<PeerRequest>() {}
    }
}

#[test]
fn too_large_frame_is_rejected() {
    let mut decoder = FrameDecoder::new();
    decoder.push(&u32::MAX.to_le_bytes());
    let error = decoder.decode::<PeerRequest>().expect_err("over the limit");
    assert!(error.to_string().contains("send a smaller body"), "{error}");
    assert_eq!(encode(&PeerRequest::Config(Revision(1))).expect("small").len(), 6);
}
