use amq_protocol::protocol::{AMQPClass, channel};
use loomflow_protocol::Decoder;

use super::*;
use crate::connection::tests::ready;
use crate::frames::{Frames, RawFrames};
use crate::idempotency::{Capacity, MessageInfo, NoHistory};
use crate::settings::{Class, KeyFrom, NameFrom, Password, Queue, Target};

#[path = "../../tests/common/settings.rs"]
mod fixture;

/// A connected consumer that accepts messages and can publish.
fn consumer() -> Consumer {
    let mut consumer = Consumer::new(fixture::settings(true), Box::new(NoHistory), 7);
    consumer.start_accepting();
    consumer.connection = Some(ready(0, 0, 0));
    consumer.publisher.channel_opened();
    consumer
}

/// Takes the frames that a consumer has written.
fn written(consumer: &mut Consumer) -> Vec<AMQPFrame> {
    let mut frames = Frames::default();
    assert!(frames.buffer().feed(&consumer.take_output(0.0)));
    let raw = frames.next().expect("frames");
    raw.iter().flat_map(RawFrames::iter).map(|frame| frame.expect("a frame")).collect()
}

/// Number of channels that a consumer opens for its queues.
fn opened_channels(consumer: &mut Consumer) -> usize {
    consumer.flush(0.0);
    let is_open = |frame: &AMQPFrame| {
        matches!(frame, AMQPFrame::Method(_, AMQPClass::Channel(channel::AMQPMethod::Open(_))))
    };
    written(consumer).iter().filter(|frame| is_open(frame)).count()
}

#[test]
fn nothing_is_consumed_that_could_not_be_finished() {
    assert!(opened_channels(&mut consumer()) > 0);
    let obstacles: [fn(&mut Consumer); 5] = [
        |consumer| consumer.is_accepting = false,
        |consumer| consumer.drain_deadline = Some(1e9),
        |consumer| consumer.publisher.set_blocked(true),
        |consumer| drop(consumer.publisher.channel_closed()),
        |consumer| {
            for number in 0..consumer.settings.capacity.records as u64 {
                let key = IdempotencyKey { class: 0, tenant: 0, text: number.to_string() };
                consumer.records.decide(number, Some(&key), MessageInfo::default(), 0.0);
            }
        },
    ];
    for (number, obstruct) in obstacles.into_iter().enumerate() {
        let mut consumer = consumer();
        obstruct(&mut consumer);
        assert_eq!(opened_channels(&mut consumer), 0, "obstacle {number}");
    }
}

#[test]
fn a_closed_publishing_channel_is_opened_again_after_a_backoff() {
    let mut consumer = consumer();
    let closed = ConnectionEvent::ChannelClosed(PUBLISH_CHANNEL, "reason".into());
    assert_eq!(consumer.handle_event(closed, 0.0), Ok(()));
    consumer.flush(REOPEN_BACKOFF_MS - 1.0);
    assert_eq!(written(&mut consumer), []);
    consumer.flush(REOPEN_BACKOFF_MS);
    let open = AMQPClass::Channel(channel::AMQPMethod::Open(channel::Open {}));
    assert_eq!(written(&mut consumer), [AMQPFrame::Method(PUBLISH_CHANNEL, open)]);
    consumer.flush(2.0 * REOPEN_BACKOFF_MS);
    assert_eq!(written(&mut consumer), [], "the channel is opened once");
}
