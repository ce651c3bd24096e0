use super::*;

#[test]
fn oldest_results_are_evicted_beyond_the_bound() {
    let mut budget = ResultBudget::new(10);
    for owner in ["first", "second", "third"] {
        budget.retain(owner, 4);
    }
    assert_eq!(budget.evict(), Some("first"));
    assert_eq!((budget.evict(), budget.bytes()), (None, 8));
    budget.retain("as large as the bound", 10);
    assert_eq!((budget.evict(), budget.evict(), budget.evict()), (Some("second"), Some("third"), None));
    assert_eq!(budget.bytes(), 10);
}

#[test]
fn released_result_is_neither_counted_nor_evicted() {
    let mut budget = ResultBudget::new(10);
    let first = budget.retain("first", 6);
    budget.retain("second", 6);
    budget.release(first);
    budget.release(first);
    assert_eq!((budget.evict(), budget.bytes()), (None, 6));
    budget.retain("third", 6);
    assert_eq!(budget.evict(), Some("second"));
    assert!(!budget.is_empty());
}
