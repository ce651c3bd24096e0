use std::collections::VecDeque;

use super::*;
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum PoolStep {
    Aim(usize),
    /// The broker carries out this many commands.
    Answer(usize),
    Deliver(usize),
    Settle(usize),
    Close(usize),
    BrokerCancels(usize),
}

fn steps() -> impl Strategy<Value = Vec<PoolStep>> {
    let step = prop_oneof![
        3 => (0usize..60).prop_map(PoolStep::Aim),
        4 => (1usize..6).prop_map(PoolStep::Answer),
        6 => (0usize..12).prop_map(PoolStep::Deliver),
        6 => (0usize..12).prop_map(PoolStep::Settle),
        1 => (0usize..12).prop_map(PoolStep::Close),
        1 => (0usize..12).prop_map(PoolStep::BrokerCancels),
    ];
    proptest::collection::vec(step, 1..200)
}

/// The broker carries out commands.
fn carry_out(pool: &mut ConsumerPool, commands: impl IntoIterator<Item = (usize, ConsumerCommand)>) {
    for (at, command) in commands {
        match command {
            ConsumerCommand::OpenChannel => pool.channel_opened(at),
            ConsumerCommand::Consume(_) => pool.consumer_started(at),
            ConsumerCommand::Cancel => pool.consumer_cancelled(at),
        }
    }
}

/// Whether the broker may deliver to a consumer.
fn accepts_delivery(consumer: &PooledConsumer) -> bool {
    let consumes = matches!(consumer.state, ConsumerState::Consuming | ConsumerState::Cancelling);
    consumes && consumer.unsettled < usize::from(consumer.prefetch)
}

proptest! {
    /// The unsettled deliveries never exceed the window or their number when it shrank, and at rest more than two
    /// thirds of the window are in use.
    #[test]
    fn unsettled_deliveries_stay_within_the_window(steps in steps()) {
        let mut pool = ConsumerPool::new(12);
        let (mut window, mut bound, mut now) = (0, 0, 0.0);
        let mut commands = VecDeque::new();
        for step in steps {
            now += 100.0;
            match step {
                PoolStep::Aim(to) => {
                    bound = to.max(pool.consumers.iter().map(PooledConsumer::max_unsettled).sum());
                    window = to;
                }
                PoolStep::Answer(count) => carry_out(&mut pool, commands.drain(..count.min(commands.len()))),
                PoolStep::Deliver(at) => prop_assert!(!accepts_delivery(&pool.consumers[at]) || pool.delivered(at)),
                PoolStep::Settle(at) => pool.settled(at),
                PoolStep::Close(at) => {
                    commands.retain(|(consumer, _)| *consumer != at);
                    pool.channel_closed(at, now);
                }
                PoolStep::BrokerCancels(at) if pool.consumers[at].state == ConsumerState::Consuming => pool.cancelled_by_broker(at, now),
                PoolStep::BrokerCancels(_) => {}
            }
            commands.extend(pool.resize(window, now));
            bound = bound.min(window.max(pool.consumers.iter().map(PooledConsumer::max_unsettled).sum()));
            prop_assert!(pool.unsettled() <= bound.max(window), "{pool:?}");
        }
        for _ in 0..60 {
            now += MAX_BACKOFF_MS;
            for at in 0..12 {
                while pool.consumers[at].unsettled > 0 {
                    pool.settled(at);
                }
            }
            commands.extend(pool.resize(window, now));
            carry_out(&mut pool, commands.drain(..));
        }
        prop_assert!(pool.prefetch() <= window && pool.prefetch() * 3 >= window * 2, "{} of {window}", pool.prefetch());
    }
}

#[test]
fn a_delivery_beyond_the_prefetch_is_detected() {
    let mut pool = ConsumerPool::new(12);
    assert!(!pool.delivered(0));
    pool.settled(0);
    for _ in 0..3 {
        let commands = pool.resize(1, 0.0);
        carry_out(&mut pool, commands);
    }
    let at = pool.consumers.iter().position(|consumer| consumer.state == ConsumerState::Consuming).unwrap();
    assert!(pool.delivered(at) && pool.is_full() && pool.delivered(at));
    assert!(!pool.delivered(at));
}

#[test]
fn a_closed_consumer_is_opened_again_after_a_backoff_that_grows_until_a_message_is_settled() {
    let mut pool = ConsumerPool::new(1);
    let mut now = 0.0;
    let mut close = |pool: &mut ConsumerPool, backoff: Millis| {
        pool.channel_closed(0, now);
        assert_eq!(pool.resize(1, now + backoff - 1.0), []);
        now += backoff;
        assert_eq!(pool.resize(1, now), [(0, ConsumerCommand::OpenChannel)]);
        pool.channel_opened(0);
        assert_eq!(pool.resize(1, now), [(0, ConsumerCommand::Consume(1))]);
        pool.consumer_started(0);
    };
    for backoff in [1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0].map(|factor| factor * MIN_BACKOFF_MS) {
        close(&mut pool, backoff);
    }
    close(&mut pool, MAX_BACKOFF_MS);
    close(&mut pool, MAX_BACKOFF_MS);
    assert!(pool.delivered(0));
    pool.settled(0);
    close(&mut pool, MIN_BACKOFF_MS);
    // A cancel of our own shows that the channel works, too.
    assert_eq!(pool.resize(0, 1e9), [(0, ConsumerCommand::Cancel)]);
    pool.consumer_cancelled(0);
    assert_eq!(pool.consumers[0].backoff.delay(), MIN_BACKOFF_MS);
}
