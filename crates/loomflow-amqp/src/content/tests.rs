use amq_protocol::protocol::basic::QosOk;

use super::*;
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Piece {
    Deliver,
    Other,
    Header(u64),
    Body(usize),
}

fn pieces() -> impl Strategy<Value = Vec<Piece>> {
    let piece = prop_oneof![
        Just(Piece::Deliver),
        Just(Piece::Other),
        (0u64..40).prop_map(Piece::Header),
        (1usize..20).prop_map(Piece::Body),
    ];
    proptest::collection::vec(piece, 0..30)
}

proptest! {
    /// Against a plain reading of the grammar: what is whole comes out, what is out of order ends it.
    #[test]
    fn only_whole_messages_come_out(pieces in pieces()) {
        let mut assembler = Assembler::new(25);
        let (mut open, mut left): (bool, Option<u64>) = (false, None);
        for piece in pieces {
            let (got, fits) = match &piece {
                Piece::Deliver => (assembler.method(AMQPMethod::Deliver(Deliver::default())).map(|_| None), !open),
                Piece::Other => (assembler.method(AMQPMethod::QosOk(QosOk::default())).map(|_| None), !open),
                Piece::Header(size) => {
                    let header = AMQPContentHeader { class_id: 60, body_size: *size, properties: AMQPProperties::default() };
                    (assembler.header(header), open && left.is_none())
                }
                Piece::Body(size) => (assembler.body(&vec![0; *size]), open && left.is_some_and(|l| l >= *size as u64)),
            };
            prop_assert_eq!(got.is_ok(), fits, "{:?}", piece);
            let Ok(got) = got else { return Ok(()) };
            match piece {
                Piece::Deliver => open = true,
                Piece::Other => {}
                Piece::Header(size) => left = Some(size),
                Piece::Body(size) => left = left.map(|l| l - size as u64),
            }
            prop_assert_eq!(got.is_some(), open && left == Some(0));
            if let Some(content) = got {
                prop_assert!(content.body.len() <= 25 && (!content.is_too_large || content.body.is_empty()));
                (open, left) = (false, None);
            }
            prop_assert_eq!(assembler.is_open(), open);
        }
    }
}

#[test]
fn a_body_over_the_limit_is_read_and_discarded() {
    let assembled = |size: usize| {
        let mut assembler = Assembler::new(25);
        assembler.method(AMQPMethod::Deliver(Deliver::default())).unwrap();
        let properties = AMQPProperties::default();
        let header = AMQPContentHeader { class_id: BASIC_CLASS_ID, body_size: size as u64, properties };
        assert_eq!(assembler.header(header), Ok(None));
        let content = assembler.body(&vec![0; size]).unwrap().expect("a complete message");
        (content.is_too_large, content.body.len())
    };
    assert_eq!((assembled(25), assembled(26)), ((false, 25), (true, 0)));
}
