use super::*;
use proptest::prelude::*;

fn publish() -> Publish {
    Publish {
        exchange: String::new(),
        routing_key: "q".into(),
        properties: AMQPProperties::default(),
        body: vec![],
    }
}

proptest! {
    /// Each publish has at most one result, and none is lost while the connection is open.
    #[test]
    fn every_publish_has_one_result(steps in proptest::collection::vec((0u8..6, 0u64..12, any::<bool>(), any::<bool>()), 1..120)) {
        let mut publisher = Publisher::new(4);
        publisher.channel_opened();
        let (mut enqueued, mut written) = (0u64, 0usize);
        let mut results: BTreeMap<PublishId, PublishResult> = BTreeMap::new();
        for (kind, number, multiple, is_ack) in steps {
            let finished = match kind {
                0 | 1 => {
                    publisher.enqueue(enqueued, publish());
                    enqueued += 1;
                    vec![]
                }
                2 => {
                    while publisher.write_next(0.0).is_some() { written += 1; }
                    prop_assert!(publisher.unconfirmed.len() <= 4);
                    vec![]
                }
                3 => publisher.confirmed(number, multiple, is_ack, 0.0),
                4 => { publisher.returned(number); vec![] }
                _ => { let finished = publisher.channel_closed(); publisher.channel_opened(); finished }
            };
            for (id, result) in finished {
                prop_assert!(results.insert(id, result).is_none(), "publish {} has two results", id);
            }
        }
        prop_assert_eq!(written, results.len() + publisher.unconfirmed.len());
        prop_assert_eq!(enqueued as usize, written + publisher.queue.len());
    }
}

#[test]
fn nothing_is_written_while_blocked_or_without_flow() {
    let mut publisher = Publisher::new(4);
    publisher.enqueue(1, publish());
    assert!(publisher.write_next(0.0).is_none() && publisher.has_backpressure());
    publisher.channel_opened();
    publisher.set_blocked(true);
    assert!(publisher.write_next(0.0).is_none());
    publisher.set_blocked(false);
    publisher.set_flow(false);
    assert!(publisher.write_next(0.0).is_none());
    publisher.set_flow(true);
    assert!(publisher.write_next(0.0).is_some() && !publisher.has_backpressure());
    assert!(
        !publisher.has_timed_out(CONFIRM_TIMEOUT_MS - 1.0) && publisher.has_timed_out(CONFIRM_TIMEOUT_MS)
    );
    publisher.returned(1);
    assert_eq!(publisher.confirmed(1, false, true, 0.0), [(1, PublishResult::Unroutable)]);
}

#[test]
fn a_multiple_confirm_covers_all_up_to_its_tag_and_zero_covers_all() {
    let confirmed = |delivery_tag| {
        let mut publisher = Publisher::new(4);
        publisher.channel_opened();
        for id in 1..=3 {
            publisher.enqueue(id, publish());
            publisher.write_next(0.0);
        }
        publisher.confirmed(delivery_tag, true, true, 0.0).into_iter().map(|(id, _)| id).collect::<Vec<_>>()
    };
    assert_eq!((confirmed(2), confirmed(0)), (vec![1, 2], vec![1, 2, 3]));
}
