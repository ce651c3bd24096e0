use super::*;

#[test]
fn a_share_is_never_none() {
    assert_eq!([0, 5, 9, 10, 300].map(|all| Limit::Share(0.1).of(all)), [1, 1, 1, 1, 30]);
    assert_eq!(Limit::Count(0).of(9), 0);
}

#[test]
fn a_single_voter_stays_and_of_five_one_more_than_a_majority() {
    assert_eq!([1, 2, 3, 5].map(voters_needed), [1, 2, 2, 4]);
}
