use super::*;

#[test]
fn digests_differ_by_body_and_hasher() {
    let hasher = BodyHasher::default();
    assert_eq!(hasher.digest(b"one"), hasher.digest(b"one"));
    assert_ne!(hasher.digest(b"one"), hasher.digest(b"two"));
    assert_ne!(hasher.digest(b"one"), BodyHasher::default().digest(b"one"));
}
