use super::*;
use std::time::Duration;

/// Tokens in their order, each let in or not; one connection a token.
fn history(all: &[(Token, bool)]) -> Vec<Effect> {
    let start = Instant::now();
    let one = |(at, (token, admitted)): (usize, &(Token, bool))| Effect {
        began: start + Duration::from_millis(10 * at as u64),
        ended: start + Duration::from_millis(10 * at as u64 + 1),
        token: *token,
        admitted: *admitted,
        by: *token,
    };
    all.iter().enumerate().map(one).collect()
}

#[test]
fn a_fence_that_lets_an_old_owner_in_is_seen() {
    let (mut good, mut bad) = (Wrong::default(), Wrong::default());
    judge(&history(&[(1, true), (2, true), (1, false), (2, true)]), &mut good);
    assert_eq!((good.by_former_owners, good.interleaved, good.not_linear, good.rejected), (0, 0, 0, 1));
    judge(&history(&[(1, true), (2, true), (1, true), (2, true)]), &mut bad);
    assert_eq!((bad.by_former_owners, bad.interleaved), (1, 2));
    assert!(bad.not_linear > 0 && bad.windows == 3);
}
