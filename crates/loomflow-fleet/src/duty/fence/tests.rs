use super::*;

/// A write of the fence that always succeeds.
#[expect(clippy::unnecessary_wraps, reason = "must match the closure that Fence::admit takes")]
fn store(_: &Fence) -> Result<(), &'static str> {
    Ok(())
}

#[test]
fn lower_token_is_rejected_and_equal_token_admitted() {
    let mut fence = Fence::default();
    assert_eq!(fence.admit("d", 5, store), Ok(()));
    assert_eq!(fence.admit("d", 5, |_| -> Result<(), &str> { panic!("token 5 is stored twice") }), Ok(()));
    assert_eq!(fence.admit("d", 4, store), Err(FenceError::Stale { token: 4, highest: 5 }));
    assert_eq!(fence.admit("other", 4, store), Ok(()), "the token of another duty must not count");
    assert_eq!((fence.highest_token("d"), fence.rejected()), (5, 1));
}

#[test]
fn failed_store_rejects_the_effect_and_restores_the_fence() {
    let mut fence = Fence::default();
    assert_eq!(fence.admit("d", 5, |_| Err("full")), Err(FenceError::Storage("full")));
    assert_eq!(fence, Fence::default());
    assert_eq!(fence.admit("d", 5, store), Ok(()));
    assert_eq!(fence.admit("d", 7, |_| Err("full")), Err(FenceError::Storage("full")));
    assert_eq!(fence.admit("d", 6, store), Ok(()), "token 7 was not stored and must not count");
}

#[test]
fn full_fence_rejects_a_new_duty() {
    let mut fence = Fence::default();
    for duty in 0..MAX_DUTIES {
        assert_eq!(fence.admit(&duty.to_string(), 1, store), Ok(()));
    }
    assert_eq!(fence.admit("one more", 1, store), Err(FenceError::Full));
    assert_eq!(fence.admit("7", 2, store), Ok(()));
}
