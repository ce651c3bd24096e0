use super::*;
use std::time::Duration;

/// A history of effects, one every 10 ms, from tokens and whether each was admitted. Each token has its own connection.
fn history(effects: &[(Token, bool)]) -> Vec<Effect> {
    let start = Instant::now();
    let to_effect = |(index, (token, admitted)): (usize, &(Token, bool))| Effect {
        started_at: start + Duration::from_millis(10 * index as u64),
        ended_at: start + Duration::from_millis(10 * index as u64 + 1),
        token: *token,
        admitted: *admitted,
        connection: *token,
    };
    effects.iter().enumerate().map(to_effect).collect()
}

#[test]
fn effects_of_a_former_owner_are_detected() {
    let (mut good, mut bad) = (HistoryViolations::default(), HistoryViolations::default());
    check_history(&history(&[(1, true), (2, true), (1, false), (2, true)]), &mut good);
    assert_eq!((good.by_former_owners, good.interleaved, good.not_linearizable, good.rejected), (0, 0, 0, 1));
    check_history(&history(&[(1, true), (2, true), (1, true), (2, true)]), &mut bad);
    assert_eq!((bad.by_former_owners, bad.interleaved), (1, 2));
    assert!(bad.not_linearizable > 0 && bad.windows == 3);
}
