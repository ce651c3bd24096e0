use super::*;

#[test]
fn share_limit_is_at_least_one() {
    assert_eq!([0, 5, 9, 10, 300].map(|total| Limit::Share(0.1).resolve(total)), [1, 1, 1, 1, 30]);
    assert_eq!(Limit::Count(0).resolve(9), 0);
}

#[test]
fn voters_needed_exceeds_a_majority_by_one_of_five() {
    assert_eq!([1, 2, 3, 5].map(voters_needed), [1, 2, 2, 4]);
}
