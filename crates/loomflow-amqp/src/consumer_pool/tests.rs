use std::collections::VecDeque;

use super::*;
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum PoolStep {
    Resize(usize),
    /// The broker executes this many commands.
    ExecuteCommands(usize),
    Deliver(usize),
    Settle(usize),
    CloseChannel(usize),
    CancelByBroker(usize),
}

fn steps() -> impl Strategy<Value = Vec<PoolStep>> {
    let step = prop_oneof![
        3 => (0usize..60).prop_map(PoolStep::Resize),
        4 => (1usize..6).prop_map(PoolStep::ExecuteCommands),
        6 => (0usize..12).prop_map(PoolStep::Deliver),
        6 => (0usize..12).prop_map(PoolStep::Settle),
        1 => (0usize..12).prop_map(PoolStep::CloseChannel),
        1 => (0usize..12).prop_map(PoolStep::CancelByBroker),
    ];
    proptest::collection::vec(step, 1..200)
}

/// Reports the commands as executed by the broker.
fn execute(pool: &mut ConsumerPool, commands: impl IntoIterator<Item = (usize, ConsumerCommand)>) {
    for (index, command) in commands {
        match command {
            ConsumerCommand::OpenChannel => pool.channel_opened(index),
            ConsumerCommand::Consume(_) => pool.consumer_started(index),
            ConsumerCommand::Cancel => pool.consumer_cancelled(index),
        }
    }
}

/// Whether the broker may deliver to a consumer.
fn accepts_delivery(consumer: &PooledConsumer) -> bool {
    let consumes = matches!(consumer.state, ConsumerState::Consuming | ConsumerState::Cancelling);
    consumes && consumer.unsettled < usize::from(consumer.prefetch)
}

proptest! {
    /// The unsettled deliveries never exceed the greater of the window and their number when it shrank. Without further
    /// changes, the pool uses at least two thirds of the window.
    #[test]
    fn unsettled_deliveries_stay_within_the_window(steps in steps()) {
        let mut pool = ConsumerPool::new(12);
        let (mut window, mut bound, mut now) = (0, 0, 0.0);
        let mut commands = VecDeque::new();
        for step in steps {
            now += 100.0;
            match step {
                PoolStep::Resize(size) => {
                    bound = size.max(pool.consumers.iter().map(PooledConsumer::max_unsettled).sum());
                    window = size;
                }
                PoolStep::ExecuteCommands(count) => execute(&mut pool, commands.drain(..count.min(commands.len()))),
                PoolStep::Deliver(index) => prop_assert!(!accepts_delivery(&pool.consumers[index]) || pool.delivered(index)),
                PoolStep::Settle(index) => pool.settled(index),
                PoolStep::CloseChannel(index) => {
                    commands.retain(|(consumer, _)| *consumer != index);
                    pool.channel_closed(index, now);
                }
                PoolStep::CancelByBroker(index) if pool.consumers[index].state == ConsumerState::Consuming => pool.cancelled_by_broker(index, now),
                PoolStep::CancelByBroker(_) => {}
            }
            commands.extend(pool.resize(window, now));
            bound = bound.min(window.max(pool.consumers.iter().map(PooledConsumer::max_unsettled).sum()));
            prop_assert!(pool.unsettled() <= bound.max(window), "{pool:?}");
        }
        for _ in 0..60 {
            now += MAX_BACKOFF_MS;
            for index in 0..12 {
                while pool.consumers[index].unsettled > 0 {
                    pool.settled(index);
                }
            }
            commands.extend(pool.resize(window, now));
            execute(&mut pool, commands.drain(..));
        }
        prop_assert!(pool.prefetch() <= window && pool.prefetch() * 3 >= window * 2, "prefetch {} of window {window}", pool.prefetch());
    }
}

#[test]
fn deliveries_far_beyond_the_prefetch_are_detected() {
    let mut pool = ConsumerPool::new(12);
    assert!(!pool.delivered(0));
    pool.settled(0);
    for _ in 0..3 {
        let commands = pool.resize(1, 0.0);
        execute(&mut pool, commands);
    }
    let index =
        pool.consumers.iter().position(|consumer| consumer.state == ConsumerState::Consuming).unwrap();
    assert!(pool.delivered(index) && pool.is_full() && pool.delivered(index));
    assert!(!pool.delivered(index));
}

#[test]
fn the_backoff_of_a_closed_consumer_grows_until_a_message_is_settled() {
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
    // A confirmed cancel resets the backoff as well, because it shows that the channel works.
    assert_eq!(pool.resize(0, 1e9), [(0, ConsumerCommand::Cancel)]);
    pool.consumer_cancelled(0);
    assert_eq!(pool.consumers[0].backoff.delay(), MIN_BACKOFF_MS);
}
