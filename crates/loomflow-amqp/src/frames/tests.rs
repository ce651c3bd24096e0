use super::*;
use proptest::prelude::*;

/// A content header frame whose headers are tables nested to `depth`. It is encoded by hand because the encoder of the
/// library is recursive as well.
fn nested_header(depth: u32) -> Vec<u8> {
    let mut payload = [0, 60, 0, 0, 0, 0, 0, 0, 0, 0, 0, 5, 0x20, 0].to_vec();
    for level in (0..=depth).rev() {
        payload.extend((level * 7).to_be_bytes());
        if level > 0 {
            payload.extend(b"\x01aF");
        }
    }
    let mut frame = [2, 0, 7].to_vec();
    frame.extend((payload.len() as u32).to_be_bytes());
    frame.extend(payload);
    frame.push(FRAME_END);
    frame
}

fn read_all(frames: &mut Frames) -> Result<Vec<AMQPFrame>, Malformed> {
    let mut all = Vec::new();
    while let Some(raw) = frames.next()? {
        for frame in raw.iter() {
            all.push(frame?);
        }
    }
    Ok(all)
}

#[test]
fn deeply_nested_tables_are_rejected_before_parsing() {
    for (depth, is_accepted) in [(0, true), (20, true), (MAX_NESTING as u32 + 2, false), (2_000, false)] {
        let mut frames = Frames::default();
        assert!(frames.buffer().feed(&nested_header(depth)));
        assert_eq!(read_all(&mut frames).is_ok(), is_accepted, "depth {depth}");
    }
}

#[test]
fn invalid_frames_are_rejected() {
    let too_long = [&[1, 0, 0][..], &(FRAME_MAX_BYTES).to_be_bytes()].concat();
    for (bytes, reason) in [
        (&b"AMQP\x00\x00\x09\x01"[..], "another version"),
        (b"HTTP/1.1 400", "unknown type"),
        (&too_long, "exceeds the maximum frame size"),
        (&[8, 0, 0, 0, 0, 0, 0, 0], "without its end marker"),
    ] {
        let mut frames = Frames::default();
        frames.buffer().feed(bytes);
        let error = frames.next().unwrap_err();
        assert!(error.0.contains(reason), "{error:?}");
    }
}

proptest! {
    #[test]
    fn frames_are_decoded_at_every_split(bodies in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..200), 1..6),
        chunk_lengths in proptest::collection::vec(1usize..40, 1..40)) {
        let sent: Vec<AMQPFrame> = bodies.into_iter().map(|body| AMQPFrame::Body(3, body)).collect();
        let mut bytes = nested_header(3);
        for frame in &sent {
            write(&mut bytes, frame);
        }
        let (mut frames, mut decoded, mut rest) = (Frames::default(), Vec::new(), &bytes[..]);
        for length in chunk_lengths.iter().cycle() {
            let (chunk, remaining) = rest.split_at((*length).min(rest.len()));
            prop_assert!(frames.buffer().feed(chunk));
            decoded.extend(read_all(&mut frames).unwrap());
            rest = remaining;
            if rest.is_empty() { break; }
        }
        prop_assert_eq!(&decoded[1..], &sent[..]);
    }

    #[test]
    fn random_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut frames = Frames::default();
        frames.buffer().feed(&bytes);
        let _ = read_all(&mut frames);
    }
}
