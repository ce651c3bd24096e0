use super::*;

#[test]
fn a_released_permit_restores_capacity() {
    let limit = ConnectionLimit::new(2);
    let first = limit.acquire();
    assert!(limit.has_capacity());
    let _second = limit.acquire();
    assert!(!limit.has_capacity());
    drop(first);
    assert!(limit.has_capacity());
}
