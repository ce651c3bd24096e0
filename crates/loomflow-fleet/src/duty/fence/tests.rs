use super::*;

/// A storage that accepts everything.
#[expect(clippy::unnecessary_wraps, reason = "the signature of a storage")]
fn store(_: &Fence) -> Result<(), &'static str> {
    Ok(())
}

#[test]
fn a_lower_token_is_refused_and_the_same_one_is_not() {
    let mut fence = Fence::default();
    assert_eq!(fence.admit("d", 5, store), Ok(()));
    assert_eq!(fence.admit("d", 5, |_| -> Result<(), &str> { panic!("it is kept already") }), Ok(()));
    assert_eq!(fence.admit("d", 4, store), Err(FenceError::Stale { token: 4, highest: 5 }));
    assert_eq!(fence.admit("other", 4, store), Ok(()), "each duty for itself");
    assert_eq!((fence.highest_token("d"), fence.rejected()), (5, 1));
}

#[test]
fn a_token_that_cannot_be_stored_is_not_admitted_and_changes_nothing() {
    let mut fence = Fence::default();
    assert_eq!(fence.admit("d", 5, |_| Err("full")), Err(FenceError::Storage("full")));
    assert_eq!(fence, Fence::default());
    assert_eq!(fence.admit("d", 5, store), Ok(()));
    assert_eq!(fence.admit("d", 7, |_| Err("full")), Err(FenceError::Storage("full")));
    assert_eq!(fence.admit("d", 6, store), Ok(()), "7 was never here");
}

#[test]
fn it_is_bounded() {
    let mut fence = Fence::default();
    for duty in 0..MAX_DUTIES {
        assert_eq!(fence.admit(&duty.to_string(), 1, store), Ok(()));
    }
    assert_eq!(fence.admit("one more", 1, store), Err(FenceError::Full));
    assert_eq!(fence.admit("7", 2, store), Ok(()));
}
