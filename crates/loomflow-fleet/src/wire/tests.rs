use super::*;
use proptest::prelude::*;

fn message(bytes: Vec<u8>) -> Message {
    let address = ([127, 0, 0, 1], 7).into();
    let from = MemberIdentity::new("a".into(), "z".into(), address, 3);
    Message { fleet: "riga".into(), from, body: Body::Swim(bytes) }
}

#[test]
fn a_message_that_is_too_long_foreign_or_unreadable_has_its_error() {
    let sealed = encode(&message(vec![1, 2, 3])).unwrap();
    assert_eq!(decode("riga", &sealed[LENGTH_BYTES..]), Ok(message(vec![1, 2, 3])));
    assert_eq!(decode("other", &sealed[LENGTH_BYTES..]), Err(FrameError::Foreign));
    assert_eq!(decode("riga", &sealed[LENGTH_BYTES..sealed.len() - 1]), Err(FrameError::Unreadable));
    assert_eq!(encode(&message(vec![0; MAX_MESSAGE_BYTES])), None);
    let mut incoming = FrameReader::default();
    incoming.feed(&u32::MAX.to_be_bytes());
    assert_eq!(incoming.next_frame(), Err(FrameError::TooLong(u32::MAX as usize)));
}

proptest! {
    #[test]
    fn messages_are_complete_at_every_split_of_their_bytes(
        sizes in proptest::collection::vec(0usize..300, 1..6),
        cuts in proptest::collection::vec(1usize..64, 1..40),
    ) {
        let stream: Vec<u8> = sizes.iter().flat_map(|n| encode(&message(vec![7; *n])).unwrap()).collect();
        let (mut incoming, mut got, mut at) = (FrameReader::default(), Vec::new(), 0);
        for cut in cuts.iter().cycle() {
            let end = (at + cut).min(stream.len());
            incoming.feed(&stream[at..end]);
            while let Some(next_frame) = incoming.next_frame().unwrap() {
                got.push(decode("riga", next_frame).unwrap());
            }
            at = end;
            if at == stream.len() {
                break;
            }
        }
        let sent: Vec<Message> = sizes.iter().map(|n| message(vec![7; *n])).collect();
        prop_assert_eq!(got, sent);
    }

    #[test]
    fn no_bytes_make_it_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = decode("riga", &bytes);
        let mut incoming = FrameReader::default();
        incoming.feed(&bytes);
        while let Ok(Some(_)) = incoming.next_frame() {}
    }
}
