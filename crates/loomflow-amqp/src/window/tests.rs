use super::*;
use proptest::prelude::*;

fn served(waited: f64, took: f64, limited: bool) -> Observation {
    Observation {
        outcome: Outcome::Served,
        broker_time: None,
        queue_time: Some(waited),
        total_time: took,
        is_limited: limited,
    }
}

fn refused(took: f64) -> Observation {
    Observation {
        outcome: Outcome::Rejected,
        broker_time: None,
        queue_time: None,
        total_time: took,
        is_limited: true,
    }
}

/// Messages of one queue on so many cores, each worked at for `work` ms; the window after so many of them.
fn played(cores: usize, work: f64, rounds: usize) -> (Window, Vec<usize>) {
    let mut window = Window::default();
    let (mut now, mut sizes) = (0.0, Vec::new());
    let mut free = vec![0.0_f64; cores];
    let mut hand: Vec<(f64, f64, f64)> = Vec::new();
    for _ in 0..rounds {
        let size = window.target(1.0) as usize;
        while hand.len() < size {
            let core = (0..cores).min_by(|a, b| free[*a].total_cmp(&free[*b])).unwrap();
            let begin = free[core].max(now);
            free[core] = begin + work;
            hand.push((now, begin, begin + work));
        }
        let at = (0..hand.len()).min_by(|a, b| hand[*a].2.total_cmp(&hand[*b].2)).unwrap();
        let limited = hand.len() >= size;
        let (came, began, ended) = hand.swap_remove(at);
        now = ended;
        window.observe(served(began - came, ended - came, limited), now);
        sizes.push(size);
    }
    (window, sizes)
}

#[test]
fn it_keeps_all_cores_busy_and_holds_about_as_much_again() {
    for cores in [1, 4, 16] {
        let (_, sizes) = played(cores, 10.0, 4_000);
        let late = &sizes[2_000..];
        let mean = late.iter().sum::<usize>() as f64 / late.len() as f64;
        assert!(*late.iter().min().unwrap() >= cores, "{cores}: {:?}", late.iter().min());
        assert!(mean <= 3.0 * cores as f64 + 1.0, "{cores}: {mean}");
    }
}

#[test]
fn refusals_cut_it_once_in_a_dead_time() {
    let (mut window, _) = played(8, 10.0, 1_000);
    let before = window.target(1.0);
    for _ in 0..10 {
        window.observe(refused(0.0), 1e6);
    }
    assert_eq!(window.target(1.0), (before * DECREASE).max(1.0));
    window.observe(refused(0.0), 2e6);
    assert!(window.target(1.0) < before * DECREASE);
    // Something is always asked for, so that it is seen when things are well again.
    (0..100).for_each(|at| window.observe(refused(1.0), 3e6 + 1e3 * f64::from(at)));
    assert_eq!((window.target(1.0), window.target(0.05)), (1.0, 1.0));
}

#[test]
fn what_stands_at_the_broker_is_taken_in_and_a_full_server_leaves_fresh_messages_to_others() {
    let (mut window, _) = played(4, 10.0, 1_000);
    let ends = |window: &mut Window, ended, stood, count: usize| {
        let waited = (ended == Outcome::Served).then_some(2.0);
        let seen = Observation {
            outcome: ended,
            broker_time: Some(stood),
            queue_time: waited,
            total_time: 12.0,
            is_limited: false,
        };
        (0..count).for_each(|at| window.observe(seen, 1e6 + at as f64));
    };
    // A second of them under twice the load: as many more in hand as ended, refused or not.
    let before = window.target(1.0);
    ends(&mut window, Outcome::Served, 200.0, 20);
    ends(&mut window, Outcome::Rejected, 200.0, 400);
    assert!(window.target(1.0) >= before + 400.0 && window.broker_time() > 190.0);
    // Nothing stands there any more: some are given back with each refusal, never all at once, down to one.
    let large = window.target(1.0);
    ends(&mut window, Outcome::Rejected, 0.0, 40);
    assert!((0.9 * large..large + 40.0).contains(&window.target(1.0)));
    ends(&mut window, Outcome::Rejected, 0.0, 9 * large as usize);
    assert_eq!(window.target(1.0), 1.0);
}

#[test]
fn the_send_share_scales_it() {
    let (window, _) = played(16, 10.0, 2_000);
    assert_eq!(window.target(0.25), window.target(1.0) * 0.25);
}

#[test]
fn worth_divides_what_is_short_and_nobody_gets_more_than_wanted() {
    assert_eq!(divide_by_weight(12, &[(4.0, 1.0), (4.0, 9.0)]), [4, 4]);
    assert_eq!(divide_by_weight(12, &[(90.0, 1.0), (90.0, 3.0)]), [3, 9]);
    assert_eq!(divide_by_weight(12, &[(90.0, 1.0), (2.0, 3.0)]), [10, 2]);
    assert_eq!(divide_by_weight(3, &[(9.0, 0.0), (9.0, 5.0)]), [0, 3]);
    assert_eq!(divide_by_weight(0, &[(9.0, 1.0)]), [0]);
}

proptest! {
    #[test]
    fn parts_never_exceed_the_whole_or_a_wish_and_leave_nothing_that_is_wanted(
        total in 0usize..200,
        wants in proptest::collection::vec((1.0f64..80.0, 0.1f64..9.0), 1..6)
    ) {
        let parts = divide_by_weight(total, &wants);
        prop_assert!(parts.iter().sum::<usize>() <= total);
        for (part, (want, _)) in parts.iter().zip(&wants) {
            prop_assert!(*part as f64 <= *want);
        }
        let wanted: f64 = wants.iter().map(|w| w.0).sum();
        let least = (total as f64).min(wanted) - wants.len() as f64;
        prop_assert!(parts.iter().sum::<usize>() as f64 >= least);
    }
}
