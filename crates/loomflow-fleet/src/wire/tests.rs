use super::*;
use proptest::prelude::*;

fn message(bytes: Vec<u8>) -> Message {
    let address = ([127, 0, 0, 1], 7).into();
    let from = MemberIdentity::new("a".into(), "z".into(), address, 3);
    Message { fleet: "riga".into(), from, body: Body::Swim(bytes) }
}

#[test]
fn invalid_messages_are_rejected_with_their_error() {
    let encoded = encode(&message(vec![1, 2, 3])).unwrap();
    assert_eq!(decode("riga", &encoded[LENGTH_BYTES..]), Ok(message(vec![1, 2, 3])));
    assert_eq!(decode("other", &encoded[LENGTH_BYTES..]), Err(FrameError::Foreign));
    assert_eq!(decode("riga", &encoded[LENGTH_BYTES..encoded.len() - 1]), Err(FrameError::Unreadable));
    assert_eq!(encode(&message(vec![0; MAX_MESSAGE_BYTES])), None);
    let mut reader = FrameReader::default();
    reader.feed(&u32::MAX.to_be_bytes());
    assert_eq!(reader.next_frame(), Err(FrameError::TooLong(u32::MAX as usize)));
}

#[test]
fn a_reader_releases_the_memory_of_a_large_message() {
    let encoded = encode(&message(vec![7; MAX_MESSAGE_BYTES / 2])).unwrap();
    let mut reader = FrameReader::default();
    for part in encoded.chunks(10_000) {
        assert_eq!(reader.next_frame(), Ok(None));
        reader.feed(part);
        assert!(reader.has_partial_message());
        assert!(reader.buffer_bytes() <= LENGTH_BYTES + MAX_MESSAGE_BYTES);
    }
    assert!(reader.next_frame().unwrap().is_some());
    assert!(!reader.has_partial_message());
    reader.release_consumed();
    assert!(reader.buffer_bytes() <= RETAINED_BUFFER_BYTES);
}

proptest! {
    #[test]
    fn messages_are_reassembled_from_any_split_of_the_stream(
        sizes in proptest::collection::vec(0usize..300, 1..6),
        read_sizes in proptest::collection::vec(1usize..64, 1..40),
    ) {
        let stream: Vec<u8> = sizes.iter().flat_map(|n| encode(&message(vec![7; *n])).unwrap()).collect();
        let (mut reader, mut received, mut position) = (FrameReader::default(), Vec::new(), 0);
        for read_size in read_sizes.iter().cycle() {
            let end = (position + read_size).min(stream.len());
            reader.feed(&stream[position..end]);
            while let Some(frame) = reader.next_frame().unwrap() {
                received.push(decode("riga", frame).unwrap());
            }
            position = end;
            if position == stream.len() {
                break;
            }
        }
        let sent: Vec<Message> = sizes.iter().map(|n| message(vec![7; *n])).collect();
        prop_assert_eq!(received, sent);
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = decode("riga", &bytes);
        let mut reader = FrameReader::default();
        reader.feed(&bytes);
        while let Ok(Some(_)) = reader.next_frame() {}
    }
}
