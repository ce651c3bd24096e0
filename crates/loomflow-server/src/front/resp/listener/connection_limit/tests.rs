use super::*;

#[test]
fn connections_are_accepted_up_to_the_limit_and_after_one_was_closed() {
    let limit = ConnectionLimit::new(2);
    let first = limit.acquire();
    assert!(limit.has_capacity());
    let _second = limit.acquire();
    assert!(!limit.has_capacity());
    drop(first);
    assert!(limit.has_capacity());
}
