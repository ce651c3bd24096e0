use amq_protocol::protocol::basic::QosOk;

use super::*;
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum TestFrame {
    Deliver,
    Other,
    Header(u64),
    Body(usize),
}

fn frames() -> impl Strategy<Value = Vec<TestFrame>> {
    let frame = prop_oneof![
        Just(TestFrame::Deliver),
        Just(TestFrame::Other),
        (0u64..40).prop_map(TestFrame::Header),
        (1usize..20).prop_map(TestFrame::Body),
    ];
    proptest::collection::vec(frame, 0..30)
}

proptest! {
    /// Compares the assembler with a direct implementation of the grammar: complete messages are returned, and a frame
    /// out of order is an error.
    #[test]
    fn only_complete_messages_are_returned(frames in frames()) {
        let mut assembler = Assembler::new(25);
        let (mut is_open, mut remaining): (bool, Option<u64>) = (false, None);
        for frame in frames {
            let (result, is_allowed) = match &frame {
                TestFrame::Deliver => (assembler.method(AMQPMethod::Deliver(Deliver::default())).map(|_| None), !is_open),
                TestFrame::Other => (assembler.method(AMQPMethod::QosOk(QosOk::default())).map(|_| None), !is_open),
                TestFrame::Header(size) => {
                    let header = AMQPContentHeader { class_id: 60, body_size: *size, properties: AMQPProperties::default() };
                    (assembler.header(header), is_open && remaining.is_none())
                }
                TestFrame::Body(size) => (assembler.body(&vec![0; *size]), is_open && remaining.is_some_and(|bytes| bytes >= *size as u64)),
            };
            prop_assert_eq!(result.is_ok(), is_allowed, "{:?}", frame);
            let Ok(content) = result else { return Ok(()) };
            match frame {
                TestFrame::Deliver => is_open = true,
                TestFrame::Other => {}
                TestFrame::Header(size) => remaining = Some(size),
                TestFrame::Body(size) => remaining = remaining.map(|bytes| bytes - size as u64),
            }
            prop_assert_eq!(content.is_some(), is_open && remaining == Some(0));
            if let Some(content) = content {
                prop_assert!(content.body.len() <= 25 && (!content.is_too_large || content.body.is_empty()));
                (is_open, remaining) = (false, None);
            }
            prop_assert_eq!(assembler.is_open(), is_open);
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
