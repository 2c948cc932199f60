//! The encoding of refusals between daemons of different versions.

use chestnut_base::RefusalCode;

#[test]
fn refusal_codes_keep_their_positions() {
    // Guards against codes that a daemon of another version reads as others.
    let positions = [
        (RefusalCode::UnknownModel, 0),
        (RefusalCode::Unauthorised, 6),
        (RefusalCode::CallerLimit, 9),
        (RefusalCode::EntryFull, 10),
        (RefusalCode::JournalDown, 13),
        (RefusalCode::IdReused, 14),
        (RefusalCode::Poison, 16),
        (RefusalCode::Leaving, 17),
        (RefusalCode::Internal, 21),
        (RefusalCode::AccountLimit, 22),
    ];
    for (code, position) in positions {
        let bytes = postcard::to_allocvec(&code).expect("the code can be encoded");
        assert_eq!(bytes, [position], "{code:?}");
    }
}
