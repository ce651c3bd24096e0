use super::*;
use std::time::Duration;

/// Tokens in their order, each admitted or not; each token has a connection of its own.
fn history(all: &[(Token, bool)]) -> Vec<Effect> {
    let start = Instant::now();
    let effect = |(at, (token, admitted)): (usize, &(Token, bool))| Effect {
        began: start + Duration::from_millis(10 * at as u64),
        ended: start + Duration::from_millis(10 * at as u64 + 1),
        token: *token,
        admitted: *admitted,
        connection: *token,
    };
    all.iter().enumerate().map(effect).collect()
}

#[test]
fn a_fence_that_admits_a_former_owner_is_detected() {
    let (mut good, mut bad) = (HistoryViolations::default(), HistoryViolations::default());
    judge(&history(&[(1, true), (2, true), (1, false), (2, true)]), &mut good);
    assert_eq!((good.by_former_owners, good.interleaved, good.not_linearizable, good.rejected), (0, 0, 0, 1));
    judge(&history(&[(1, true), (2, true), (1, true), (2, true)]), &mut bad);
    assert_eq!((bad.by_former_owners, bad.interleaved), (1, 2));
    assert!(bad.not_linearizable > 0 && bad.windows == 3);
}
