//! Streams of events, cut anywhere on their way.

use chestnut_gate::events::{Event, EventDecoder};
use proptest::prelude::*;

fn stream(count: u64, crlf: bool) -> Vec<u8> {
    let end = if crlf { "\r\n" } else { "\n" };
    let event = |id| format!("id: {id}{end}data: token {id}{end}{end}");
    (0..count).map(event).collect::<String>().into_bytes()
}

fn read(pieces: &[&[u8]]) -> (Vec<Event>, bool) {
    let mut events = EventDecoder::default();
    let mut read = Vec::new();
    for piece in pieces {
        events.push(piece).expect("no event is too large");
        while let Some(event) = events.next_event() {
            read.push(event);
        }
    }
    (read, events.has_partial_event())
}

proptest! {
    // However the network cuts a stream, each event is passed on once, whole and in
    // order; what follows the cut where a server broke off is not.
    #[test]
    fn events_survive_any_cut(
        count in 1u64..20,
        cuts in prop::collection::vec(0usize..400, 0..10),
        broken in 0usize..400,
        crlf in any::<bool>(),
    ) {
        let whole = stream(count, crlf);
        let bytes = &whole[..broken.min(whole.len())];
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut.min(bytes.len())).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        let pieces: Vec<&[u8]> = cuts.windows(2).map(|pair| &bytes[pair[0]..pair[1]]).collect();
        let (events, partial) = read(&pieces);
        let joined: Vec<u8> =
            events.iter().flat_map(|event| event.bytes.iter().copied()).collect();
        prop_assert!(bytes.starts_with(&joined));
        prop_assert_eq!(partial, joined.len() < bytes.len());
        let ids: Vec<Option<u64>> = events.iter().map(|event| event.id).collect();
        prop_assert_eq!(ids, (0..events.len() as u64).map(Some).collect::<Vec<_>>());
    }
}

#[test]
fn an_endless_event_is_given_up() {
    // A faulty server sends bytes without end that form no event; kept whole they would
    // take the daemon's memory.
    let mut events = EventDecoder::default();
    let sent = (0..100).find(|_| events.push(&[b'x'; 4096]).is_err());
    assert!(sent.is_some());
}
