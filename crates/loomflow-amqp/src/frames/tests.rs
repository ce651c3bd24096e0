use super::*;
use proptest::prelude::*;

/// A header of a message whose headers are tables in tables, written by hand: the library recurses here too.
fn header(depth: u32) -> Vec<u8> {
    let mut payload = [0, 60, 0, 0, 0, 0, 0, 0, 0, 0, 0, 5, 0x20, 0].to_vec();
    for inner in (0..=depth).rev() {
        payload.extend((inner * 7).to_be_bytes());
        if inner > 0 {
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
fn tables_in_tables_are_refused_before_they_are_read() {
    for (depth, fine) in [(0, true), (20, true), (MAX_NESTING as u32 + 2, false), (2_000, false)] {
        let mut frames = Frames::default();
        assert!(frames.buffer().feed(&header(depth)));
        assert_eq!(read_all(&mut frames).is_ok(), fine, "{depth}");
    }
}

#[test]
fn what_is_no_frame_ends_the_connection() {
    let over = [&[1, 0, 0][..], &(FRAME_MAX_BYTES).to_be_bytes()].concat();
    for (bytes, why) in [
        (&b"AMQP\x00\x00\x09\x01"[..], "another version"),
        (b"HTTP/1.1 400", "no known type"),
        (&over, "over the limit"),
        (&[8, 0, 0, 0, 0, 0, 0, 0], "without its end"),
    ] {
        let mut frames = Frames::default();
        frames.buffer().feed(bytes);
        let error = frames.next().unwrap_err();
        assert!(error.0.contains(why), "{error:?}");
    }
}

proptest! {
    #[test]
    fn frames_come_out_whole_at_every_split(bodies in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..200), 1..6),
        cuts in proptest::collection::vec(1usize..40, 1..40)) {
        let sent: Vec<AMQPFrame> = bodies.into_iter().map(|b| AMQPFrame::Body(3, b)).collect();
        let mut bytes = header(3);
        for frame in &sent {
            write(&mut bytes, frame);
        }
        let (mut frames, mut got, mut rest) = (Frames::default(), Vec::new(), &bytes[..]);
        for cut in cuts.iter().cycle() {
            let (now, later) = rest.split_at((*cut).min(rest.len()));
            prop_assert!(frames.buffer().feed(now));
            got.extend(read_all(&mut frames).unwrap());
            rest = later;
            if rest.is_empty() { break; }
        }
        prop_assert_eq!(&got[1..], &sent[..]);
    }

    #[test]
    fn noise_is_refused_or_waited_for_and_never_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut frames = Frames::default();
        frames.buffer().feed(&bytes);
        let _ = read_all(&mut frames);
    }
}
