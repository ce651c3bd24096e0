use super::*;

#[test]
fn a_machine_pause_is_charged_as_one_wait() {
    let mut budget = WaitBudget(LINGERING_CLOSE_TIMEOUT);
    budget.consume(Duration::from_secs(3_600));
    assert_eq!(budget.next_wait(), Some(MAX_WAIT));
    let mut waited = MAX_WAIT;
    while let Some(wait) = budget.next_wait() {
        budget.consume(wait);
        waited += wait;
    }
    assert_eq!(waited, LINGERING_CLOSE_TIMEOUT);
}
