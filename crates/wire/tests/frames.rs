//! FrameDecoder survive any split of the bytes, and foreign bytes do no harm.

use chestnut_base::{Outcome, Refusal, Revision};
use chestnut_wire::{FrameDecoder, PeerRequest, PeerResponse, RetryHint, encode};
use proptest::prelude::*;

fn say() -> impl Strategy<Value = PeerResponse> {
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
    fn any_split_gives_the_same_messages(
        says in proptest::collection::vec(say(), 1..8),
        step in 1usize..50,
    ) {
        let bytes: Vec<u8> =
            says.iter().flat_map(|say| encode(say).expect("small enough")).collect();
        let mut frames = FrameDecoder::new();
        let mut seen = Vec::new();
        for piece in bytes.chunks(step) {
            frames.push(piece);
            while let Some(say) = frames.decode::<PeerResponse>().expect("well formed") {
                seen.push(say);
            }
        }
        prop_assert_eq!(seen, says);
        prop_assert!(frames.is_empty());
    }

    #[test]
    fn foreign_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut frames = FrameDecoder::new();
        frames.push(&bytes);
        while let Ok(Some(_)) = frames.decode::<PeerRequest>() {}
    }
}

#[test]
fn a_frame_over_the_limit_is_refused() {
    let mut frames = FrameDecoder::new();
    frames.push(&u32::MAX.to_le_bytes());
    let error = frames.decode::<PeerRequest>().expect_err("over the limit");
    assert!(error.to_string().contains("send a smaller body"), "{error}");
    assert_eq!(encode(&PeerRequest::Config(Revision(1))).expect("small").len(), 6);
}
