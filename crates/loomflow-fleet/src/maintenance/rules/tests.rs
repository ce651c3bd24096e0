use super::*;

#[test]
fn a_share_is_never_none() {
    assert_eq!([0, 5, 9, 10, 300].map(|all| Limit::Share(0.1).of(all)), [1, 1, 1, 1, 30]);
    assert_eq!(Limit::Count(0).of(9), 0);
}

#[test]
fn one_voter_never_goes_and_a_majority_of_five_hangs_on_nobody() {
    assert_eq!([1, 2, 3, 5].map(voters_needed), [1, 2, 2, 4]);
}
