use super::*;

const ONLY_DEAD_LETTER: RemainingSteps = RemainingSteps { reply: false, dead_letter: true };
const ONLY_REPLY: RemainingSteps = RemainingSteps { reply: true, dead_letter: false };

#[test]
fn completed_steps_add_up_for_each_caller() {
    let mut steps = CallerSteps::default();
    steps.complete(1, RemainingSteps::ALL);
    assert_eq!(steps.get(1), None);
    steps.complete(1, ONLY_DEAD_LETTER);
    steps.complete(2, ONLY_REPLY);
    assert_eq!((steps.get(1), steps.get(2)), (Some(ONLY_DEAD_LETTER), Some(ONLY_REPLY)));
    assert_eq!(steps.newest_completed(), None);
    steps.complete(1, ONLY_REPLY);
    steps.complete(1, ONLY_DEAD_LETTER);
    assert_eq!((steps.get(1), steps.get(2)), (Some(RemainingSteps::NONE), Some(ONLY_REPLY)));
    assert_eq!(steps.newest_completed(), NonZeroU64::new(1));
}

#[test]
fn only_the_last_callers_are_recorded() {
    let mut steps = CallerSteps::default();
    let callers = MAX_CALLERS as u64 + 1;
    for caller in (1..=callers).chain([callers]) {
        steps.complete(caller, RemainingSteps::NONE);
    }
    assert!(steps.get(1).is_none() && (2..=callers).all(|caller| steps.get(caller).is_some()));
    assert_eq!(steps.newest_completed(), NonZeroU64::new(callers));
}
