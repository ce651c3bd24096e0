use super::*;
use proptest::prelude::*;

fn served(queue_time: f64, total_time: f64, is_limited: bool) -> Observation {
    Observation {
        outcome: ObservedOutcome::Served,
        broker_time: None,
        queue_time: Some(queue_time),
        total_time,
        is_limited,
    }
}

fn rejected(total_time: f64) -> Observation {
    Observation {
        outcome: ObservedOutcome::Rejected,
        broker_time: None,
        queue_time: None,
        total_time,
        is_limited: true,
    }
}

/// Simulates `rounds` messages of `work` ms each on `cores` cores; returns the window and its size at each message.
fn simulate(cores: usize, work: f64, rounds: usize) -> (Window, Vec<usize>) {
    let mut window = Window::default();
    let (mut now, mut sizes) = (0.0, Vec::new());
    let mut free_at = vec![0.0_f64; cores];
    let mut in_flight: Vec<(f64, f64, f64)> = Vec::new();
    for _ in 0..rounds {
        let size = window.target(1.0) as usize;
        while in_flight.len() < size {
            let core = (0..cores).min_by(|a, b| free_at[*a].total_cmp(&free_at[*b])).unwrap();
            let start = free_at[core].max(now);
            free_at[core] = start + work;
            in_flight.push((now, start, start + work));
        }
        let at = (0..in_flight.len()).min_by(|a, b| in_flight[*a].2.total_cmp(&in_flight[*b].2)).unwrap();
        let is_limited = in_flight.len() >= size;
        let (delivered_at, started_at, finished_at) = in_flight.swap_remove(at);
        now = finished_at;
        window.observe(served(started_at - delivered_at, finished_at - delivered_at, is_limited), now);
        sizes.push(size);
    }
    (window, sizes)
}

#[test]
fn the_window_keeps_all_cores_busy_with_a_short_queue() {
    for cores in [1, 4, 16] {
        let (_, sizes) = simulate(cores, 10.0, 4_000);
        let settled = &sizes[2_000..];
        let mean = settled.iter().sum::<usize>() as f64 / settled.len() as f64;
        assert!(*settled.iter().min().unwrap() >= cores, "{cores} cores: minimum {:?}", settled.iter().min());
        assert!(mean <= 3.0 * cores as f64 + 1.0, "{cores} cores: mean {mean}");
    }
}

#[test]
fn rejections_shrink_the_window_once_per_dead_time() {
    let (mut window, _) = simulate(8, 10.0, 1_000);
    let before = window.target(1.0);
    for _ in 0..10 {
        window.observe(rejected(0.0), 1e6);
    }
    assert_eq!(window.target(1.0), (before * DECREASE_FACTOR).max(1.0));
    window.observe(rejected(0.0), 2e6);
    assert!(window.target(1.0) < before * DECREASE_FACTOR);
    // At least one message stays in flight, so that a recovery is noticed.
    for at in 0..100 {
        window.observe(rejected(1.0), 3e6 + 1e3 * f64::from(at));
    }
    assert_eq!((window.target(1.0), window.target(0.05)), (1.0, 1.0));
}

#[test]
fn a_broker_backlog_grows_the_window_and_rejections_without_one_shrink_it() {
    let (mut window, _) = simulate(4, 10.0, 1_000);
    let observe_many = |window: &mut Window, outcome, broker_time, count: usize| {
        let queue_time = (outcome == ObservedOutcome::Served).then_some(2.0);
        let observation = Observation {
            outcome,
            broker_time: Some(broker_time),
            queue_time,
            total_time: 12.0,
            is_limited: false,
        };
        for at in 0..count {
            window.observe(observation, 1e6 + at as f64);
        }
    };
    // One second at twice the capacity: the window grows by one per message, rejected or not.
    let before = window.target(1.0);
    observe_many(&mut window, ObservedOutcome::Served, 200.0, 20);
    observe_many(&mut window, ObservedOutcome::Rejected, 200.0, 400);
    assert!(window.target(1.0) >= before + 400.0 && window.broker_time() > 190.0);
    // Without a backlog, each rejection shrinks the window a little, down to one.
    let large = window.target(1.0);
    observe_many(&mut window, ObservedOutcome::Rejected, 0.0, 40);
    assert!((0.9 * large..large + 40.0).contains(&window.target(1.0)));
    observe_many(&mut window, ObservedOutcome::Rejected, 0.0, 9 * large as usize);
    assert_eq!(window.target(1.0), 1.0);
}

#[test]
fn the_send_share_scales_the_window() {
    let (window, _) = simulate(16, 10.0, 2_000);
    assert_eq!(window.target(0.25), window.target(1.0) * 0.25);
}

/// Divides `total` among queues with these demands, each a number of messages and a weight.
fn divide(total: usize, demands: &[(f64, f64)]) -> Vec<usize> {
    let demands: Vec<Demand> =
        demands.iter().map(|(messages, weight)| Demand { messages: *messages, weight: *weight }).collect();
    divide_by_weight(total, &demands)
}

#[test]
fn a_shortage_is_divided_by_weight_and_no_part_exceeds_its_demand() {
    assert_eq!(divide(12, &[(4.0, 1.0), (4.0, 9.0)]), [4, 4]);
    assert_eq!(divide(12, &[(90.0, 1.0), (90.0, 3.0)]), [3, 9]);
    assert_eq!(divide(12, &[(90.0, 1.0), (2.0, 3.0)]), [10, 2]);
    assert_eq!(divide(3, &[(9.0, 0.0), (9.0, 5.0)]), [0, 3]);
    assert_eq!(divide(0, &[(9.0, 1.0)]), [0]);
}

proptest! {
    #[test]
    fn parts_use_the_total_without_exceeding_it_or_a_demand(
        total in 0usize..200,
        demands in proptest::collection::vec((1.0f64..80.0, 0.1f64..9.0), 1..6)
    ) {
        let parts = divide(total, &demands);
        prop_assert!(parts.iter().sum::<usize>() <= total);
        for (part, (demand, _)) in parts.iter().zip(&demands) {
            prop_assert!(*part as f64 <= *demand);
        }
        let demanded: f64 = demands.iter().map(|(messages, _)| messages).sum();
        let min_used = (total as f64).min(demanded) - demands.len() as f64;
        prop_assert!(parts.iter().sum::<usize>() as f64 >= min_used);
    }
}

#[test]
fn times_are_moving_averages_that_start_with_the_first_sample() {
    let mut window = Window::default();
    let sample = |broker_time, total_time| Observation {
        broker_time: Some(broker_time),
        ..served(2.0, total_time, false)
    };
    window.observe(sample(800.0, 10.0), 0.0);
    assert_eq!((window.broker_time(), window.total_time, window.run_time), (100.0, 10.0, 8.0));
    assert_eq!(window.queue_time, 2.0 * SMOOTHING);
    window.observe(sample(800.0, 18.0), 0.0);
    assert_eq!((window.total_time, window.run_time), (11.0, 9.0));
    let before = window.clone();
    window.observe(Observation { outcome: ObservedOutcome::Other, ..sample(0.0, 99.0) }, 0.0);
    assert_eq!((window.total_time, window.size), (before.total_time, before.size));
}
