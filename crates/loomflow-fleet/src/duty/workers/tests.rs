use super::*;

const DUTY: &str = "report";
const FIRST: WorkerId = WorkerId(1);
const SECOND: WorkerId = WorkerId(2);
/// The shortest and the longest lease of the options' schema, ms.
const LEASES: [IntegerMillis; 2] = [1_000, 600_000];

fn confirm(workers: &mut Workers, worker: WorkerId, is_recalled: bool, owned_until: IntegerMillis) {
    assert_eq!(workers.ownership_confirmed(DUTY, worker, is_recalled, owned_until), Ok(()));
}

/// Guards against a duty that is released because its process has sent nothing for some time.
#[test]
fn a_silent_process_is_at_work_until_its_confirmed_ownership_expires() {
    for lease in LEASES {
        let mut workers = Workers::default();
        confirm(&mut workers, FIRST, false, lease);
        confirm(&mut workers, FIRST, true, lease + 10);
        workers.expire(lease + 9);
        assert!(workers.is_any_at_work(DUTY, lease + 9), "lease of {lease} ms");
        assert!(!workers.is_any_at_work(DUTY, lease + 10), "lease of {lease} ms");
        workers.expire(lease + 10);
        assert!(workers.owned_until.is_empty());
    }
}

#[test]
fn an_earlier_end_of_ownership_does_not_shorten_a_later_one() {
    let mut workers = Workers::default();
    confirm(&mut workers, FIRST, false, 1_000);
    confirm(&mut workers, FIRST, false, 900);
    assert!(workers.is_any_at_work(DUTY, 999));
}

/// Guards against a duty that is released when the first of its processes reports its end.
#[test]
fn the_end_of_one_process_is_not_that_of_another() {
    let mut workers = Workers::default();
    confirm(&mut workers, FIRST, false, 1_000);
    confirm(&mut workers, SECOND, false, 1_000);
    workers.ended(DUTY, FIRST);
    workers.ended(DUTY, FIRST);
    assert!(workers.is_any_at_work(DUTY, 10));
    workers.ended(DUTY, SECOND);
    assert!(!workers.is_any_at_work(DUTY, 10));
}

#[test]
fn processes_of_unknown_id_end_with_their_ownership_only() {
    let mut workers = Workers::default();
    confirm(&mut workers, WorkerId::UNKNOWN, false, 1_000);
    workers.ended(DUTY, WorkerId::UNKNOWN);
    assert!(workers.is_any_at_work(DUTY, 999));
    assert!(!workers.is_any_at_work(DUTY, 1_000));
}

#[test]
fn a_process_that_asks_first_after_the_recall_does_not_keep_the_duty() {
    let mut workers = Workers::default();
    confirm(&mut workers, FIRST, true, 1_000);
    assert!(!workers.is_any_at_work(DUTY, 10));
}

#[test]
fn a_duty_has_a_bounded_number_of_processes() {
    let mut workers = Workers::default();
    for number in 1..=MAX_WORKERS_PER_DUTY as i32 {
        confirm(&mut workers, WorkerId(number), false, 1_000);
    }
    let refused = workers.ownership_confirmed(DUTY, WorkerId(-1), false, 1_000);
    assert_eq!(refused, Err(TooManyWorkers(DUTY.to_owned())));
    confirm(&mut workers, FIRST, false, 2_000);
    assert!(workers.is_any_at_work(DUTY, 1_500));
}
