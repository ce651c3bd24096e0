use super::*;
use proptest::prelude::*;

fn publish() -> Publish {
    Publish { exchange: String::new(), routing_key: "q".into(), properties: Default::default(), body: vec![] }
}

proptest! {
    /// Each publish has one fate at the most, and none is forgotten while its connection lives.
    #[test]
    fn every_publish_has_one_fate(moves in proptest::collection::vec((0u8..6, 0u64..12, any::<bool>(), any::<bool>()), 1..120)) {
        let mut publisher = Publisher::new(4);
        publisher.channel_opened();
        let (mut put, mut written) = (0u64, 0usize);
        let mut fates: BTreeMap<PublishId, PublishResult> = BTreeMap::new();
        for (kind, number, multiple, taken) in moves {
            let told = match kind {
                0 | 1 => {
                    publisher.enqueue(put, publish());
                    put += 1;
                    vec![]
                }
                2 => {
                    while publisher.write_next(0.0).is_some() { written += 1; }
                    prop_assert!(publisher.unconfirmed.len() <= 4);
                    vec![]
                }
                3 => publisher.confirmed(number, multiple, taken, 0.0),
                4 => { publisher.returned(number); vec![] }
                _ => { let told = publisher.channel_closed(); publisher.channel_opened(); told }
            };
            for (id, fate) in told {
                prop_assert!(fates.insert(id, fate).is_none(), "{} twice", id);
            }
        }
        prop_assert_eq!(written, fates.len() + publisher.unconfirmed.len());
        prop_assert_eq!(put as usize, written + publisher.queue.len());
    }
}

#[test]
fn nothing_is_written_while_the_broker_blocks_or_stops_the_flow() {
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
