use super::{QueueKey, RequestQueue, weight_per_work};
use crate::interface::Settings;

fn queue_of(keys: &[(f64, f64, u32)]) -> RequestQueue {
    let mut queue = RequestQueue::default();
    for &(weight, objective_at, id) in keys {
        queue.insert(QueueKey::new(weight, objective_at, id), 100.0);
    }
    queue
}

#[test]
fn highest_weight_runs_first_then_the_earliest_objective() {
    let queue =
        queue_of(&[(1.0, 500.0, 1), (1.0, 400.0, 2), (4.0, 900.0, 3), (4.0, 800.0, 4), (0.0, 1.0, 5)]);
    assert_eq!(queue.ids().collect::<Vec<_>>(), [4, 3, 2, 1, 5]);
    assert_eq!(queue.next(false), Some(4));
    assert_eq!(queue.last(), Some(5));
    let same_level = queue_of(&[(1.1, 500.0, 1), (1.0, 400.0, 2)]);
    assert_eq!(same_level.next(false), Some(2), "weights 1.1 and 1.0 have the same level");
}

#[test]
fn under_overload_the_latest_objective_of_the_highest_weight_runs_first() {
    let queue = queue_of(&[(1.0, 990.0, 1), (4.0, 900.0, 3), (4.0, 800.0, 4)]);
    assert_eq!(queue.next(true), Some(3));
    assert_eq!(RequestQueue::default().next(true), None);
}

#[test]
fn work_beyond_the_setpoint_is_a_backlog() {
    let mut queue = queue_of(&[(1.0, 990.0, 1), (4.0, 900.0, 3), (4.0, 800.0, 4)]);
    assert!(queue.has_backlog(2.0, 149.0));
    assert!(!queue.has_backlog(2.0, 150.0));
    queue.remove(QueueKey::new(1.0, 990.0, 1), 100.0);
    assert_eq!((queue.len(), queue.work()), (2, 200.0));
}

#[test]
fn weight_is_per_work_and_lower_over_quota() {
    let mut settings = Settings { over_quota_weight: 0.25, ..Settings::default() };
    assert_eq!(weight_per_work(&settings, 8.0, false, 4.0), 2.0);
    assert_eq!(weight_per_work(&settings, 8.0, true, 4.0), 0.5);
    assert_eq!(weight_per_work(&settings, 8.0, false, 0.0), 8.0);
    settings.is_weight_per_work = true;
    assert_eq!(weight_per_work(&settings, 8.0, false, 4.0), 8.0);
}
