use super::*;
use crate::duty::schedule::{MissedRuns, Recurrence, Schedule};
use crate::fixtures::owned_duty;

/// A duty that this server owns and that is due every minute.
fn scheduled_duty(last_run: RunId, has_unfinished_run: bool) -> OwnedDuty {
    let schedule = Some(Schedule { recurrence: Recurrence::Every(60), missed_runs: MissedRuns::Skip });
    OwnedDuty { last_run, has_unfinished_run, schedule, ..owned_duty("d", 3) }
}

#[test]
fn run_starts_once_after_its_begin_is_committed() {
    let owned_duty = scheduled_duty(600, false);
    let mut runs = JobRuns::new(&owned_duty);
    assert_eq!(runs.step(Some(&owned_duty), 0, 630), None);
    assert_eq!(runs.step(Some(&owned_duty), 0, 661), Some(JobAction::Write(OwnerUpdate::Began(660))));
    assert_eq!(runs.step(Some(&owned_duty), 0, 662), None, "the write of the begin awaits its result");
    assert_eq!(runs.begin_result(Some(&Ok(())), Some(&owned_duty), 1), Some(JobAction::Start(660)));
    assert_eq!(runs.process_ended(Exit::Done, 2), Some(JobAction::Write(OwnerUpdate::Done(660))));
    assert_eq!(runs.step(Some(&owned_duty), 3, 665), None);
    // The state rejects a run that another owner began: the run is not started.
    assert_eq!(runs.step(Some(&owned_duty), 3, 721), Some(JobAction::Write(OwnerUpdate::Began(720))));
    let begun = Err(DutyRejection::Begun { duty: "d".into(), run: 720 });
    assert_eq!(runs.begin_result(Some(&begun), Some(&owned_duty), 4), None);
    assert_eq!(runs.step(Some(&owned_duty), 5, 722), None);
}

#[test]
fn unfinished_run_of_a_former_owner_begins_again() {
    let owned_duty = scheduled_duty(600, true);
    let mut runs = JobRuns::new(&owned_duty);
    assert_eq!(runs.step(Some(&owned_duty), 0, 700), Some(JobAction::Write(OwnerUpdate::Began(600))));
}

#[test]
fn recalled_run_is_terminated_before_the_release() {
    let mut owned_duty = scheduled_duty(600, true);
    let mut runs = JobRuns::new(&owned_duty);
    runs.step(Some(&owned_duty), 0, 700);
    runs.begin_result(Some(&Ok(())), Some(&owned_duty), 0);
    owned_duty.is_recalled = true;
    assert_eq!(runs.step(Some(&owned_duty), 1, 700), Some(JobAction::Terminate));
    assert_eq!(runs.step(Some(&owned_duty), 2, 700), None);
    assert_eq!(
        runs.process_ended(Exit::OwnershipLost, 3),
        None,
        "a stopped run has neither succeeded nor failed: the next owner begins it again"
    );
    assert_eq!(runs.step(Some(&owned_duty), 4, 700), Some(JobAction::Release));
}

#[test]
fn recall_during_begin_starts_no_process() {
    let mut owned_duty = scheduled_duty(600, true);
    let mut runs = JobRuns::new(&owned_duty);
    runs.step(Some(&owned_duty), 0, 700);
    owned_duty.is_recalled = true;
    assert_eq!(runs.begin_result(Some(&Ok(())), Some(&owned_duty), 1), None);
    assert_eq!(runs.step(Some(&owned_duty), 2, 700), Some(JobAction::Release));
    assert!(!runs.is_running());
}

#[test]
fn requested_run_begins_once() {
    let mut owned_duty = OwnedDuty { schedule: None, is_run_requested: true, ..scheduled_duty(600, false) };
    let mut runs = JobRuns::new(&owned_duty);
    assert_eq!(runs.step(Some(&owned_duty), 0, 700), Some(JobAction::Write(OwnerUpdate::Began(700))));
    runs.begin_result(Some(&Ok(())), Some(&owned_duty), 0);
    runs.process_ended(Exit::Done, 1);
    assert_eq!(
        runs.step(Some(&owned_duty), 2, 701),
        None,
        "the owned duty still shows the request that was run"
    );
    owned_duty.is_run_requested = false;
    assert_eq!(runs.step(Some(&owned_duty), 3, 702), None);
    owned_duty.is_run_requested = true;
    assert_eq!(runs.step(Some(&owned_duty), 4, 702), Some(JobAction::Write(OwnerUpdate::Began(702))));
}

#[test]
fn failed_run_is_retried_after_1000_ms() {
    let owned_duty = scheduled_duty(600, true);
    let mut runs = JobRuns::new(&owned_duty);
    runs.step(Some(&owned_duty), 0, 700);
    runs.begin_result(Some(&Ok(())), Some(&owned_duty), 0);
    let failed = OwnerUpdate::Failed(600, "exit code 1".into());
    assert_eq!(runs.process_ended(Exit::Failed("exit code 1".into()), 10), Some(JobAction::Write(failed)));
    assert_eq!(runs.step(Some(&owned_duty), 1_009, 701), None);
    assert_eq!(runs.step(Some(&owned_duty), 1_010, 701), Some(JobAction::Write(OwnerUpdate::Began(600))));
}
