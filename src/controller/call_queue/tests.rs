use super::CallQueue;
use crate::controller::queue::QueueKey;

#[test]
fn permits_follow_queue_order_and_retries_wait_until_due() {
    let mut queue = CallQueue::default();
    let key = |id| QueueKey::new(1.0, f64::from(id), id);
    queue.insert(key(3));
    queue.insert(key(2));
    queue.retry(key(1), 100.0);
    assert_eq!((queue.ready_len(), queue.waiting()), (2, 3.0));
    assert_eq!(queue.last(), Some(3));
    queue.advance(99.0);
    assert_eq!(queue.pop_first(), Some(2));
    queue.advance(100.0);
    assert_eq!(queue.pop_first(), Some(1));
    queue.remove(key(3));
    assert_eq!(queue.waiting(), 0.0);
}
