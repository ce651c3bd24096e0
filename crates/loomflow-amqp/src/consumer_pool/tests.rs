use super::*;
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Move {
    Aim(usize),
    /// The broker does what it was told, so much of it.
    Answer(usize),
    Deliver(usize),
    Settle(usize),
    Close(usize),
    BrokerCancels(usize),
}

fn moves() -> impl Strategy<Value = Vec<Move>> {
    let one = prop_oneof![
        3 => (0usize..60).prop_map(Move::Aim),
        4 => (1usize..6).prop_map(Move::Answer),
        6 => (0usize..12).prop_map(Move::Deliver),
        6 => (0usize..12).prop_map(Move::Settle),
        1 => (0usize..12).prop_map(Move::Close),
        1 => (0usize..12).prop_map(Move::BrokerCancels),
    ];
    proptest::collection::vec(one, 1..200)
}

proptest! {
    /// Whatever happens, no more is in hand than the window or what was in hand when it shrank, and once all is
    /// quiet more than two thirds of the window are taken.
    #[test]
    fn what_is_in_hand_keeps_to_the_window(moves in moves()) {
        let mut lanes = ConsumerPool::new(12);
        let (mut window, mut bound, mut now) = (0, 0, 0.0);
        let mut told: std::collections::VecDeque<(usize, ConsumerCommand)> = Default::default();
        let carry = |lanes: &mut ConsumerPool, told: &mut std::collections::VecDeque<(usize, ConsumerCommand)>, count: usize| {
            for (at, step) in told.drain(..count.min(told.len())) {
                match step {
                    ConsumerCommand::OpenChannel => lanes.channel_opened(at),
                    ConsumerCommand::Consume(_) => lanes.consumer_started(at),
                    ConsumerCommand::Cancel => lanes.consumer_cancelled(at),
                }
            }
        };
        for one in moves {
            now += 100.0;
            match one {
                Move::Aim(to) => {
                    bound = to.max(lanes.consumers.iter().map(PooledConsumer::max_unsettled).sum());
                    window = to;
                }
                Move::Answer(count) => carry(&mut lanes, &mut told, count),
                Move::Deliver(at) => {
                    let lane = &lanes.consumers[at];
                    if matches!(lane.state, ConsumerState::Consuming | ConsumerState::Cancelling) && lane.unsettled < usize::from(lane.prefetch) {
                        prop_assert!(lanes.delivered(at));
                    }
                }
                Move::Settle(at) => lanes.settled(at),
                Move::Close(at) => {
                    told.retain(|(lane, _)| *lane != at);
                    lanes.channel_closed(at, now);
                }
                Move::BrokerCancels(at) => if lanes.consumers[at].state == ConsumerState::Consuming { lanes.cancelled_by_broker(at, now) },
            }
            told.extend(lanes.resize(window, now));
            bound = bound.min(window.max(lanes.consumers.iter().map(PooledConsumer::max_unsettled).sum()));
            prop_assert!(lanes.unsettled() <= bound.max(window), "{lanes:?}");
        }
        for _ in 0..60 {
            now += MAX_BACKOFF_MS;
            (0..12).for_each(|at| while lanes.consumers[at].unsettled > 0 { lanes.settled(at) });
            told.extend(lanes.resize(window, now));
            carry(&mut lanes, &mut told, usize::MAX);
        }
        prop_assert!(lanes.prefetch() <= window && lanes.prefetch() * 3 >= window * 2, "{} of {window}", lanes.prefetch());
    }
}

#[test]
fn more_than_was_allowed_is_seen() {
    let mut lanes = ConsumerPool::new(12);
    assert!(!lanes.delivered(0));
    lanes.settled(0);
    for _ in 0..3 {
        for (at, step) in lanes.resize(1, 0.0) {
            match step {
                ConsumerCommand::OpenChannel => lanes.channel_opened(at),
                ConsumerCommand::Consume(_) => lanes.consumer_started(at),
                ConsumerCommand::Cancel => lanes.consumer_cancelled(at),
            }
        }
    }
    let at = lanes.consumers.iter().position(|lane| lane.state == ConsumerState::Consuming).unwrap();
    assert!(lanes.delivered(at) && lanes.is_full() && lanes.delivered(at));
    assert!(!lanes.delivered(at));
}
