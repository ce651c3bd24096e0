use super::*;

const NOON: u64 = 1_764_590_400; // 2025-12-01T12:00:00Z

fn every(span: u64, missed_runs: MissedRuns) -> Schedule {
    Schedule { recurrence: Recurrence::Every(span), missed_runs }
}

#[test]
fn a_time_is_due_once_and_what_was_missed_is_skipped_or_made_up_for_once() {
    let hourly = every(3_600, MissedRuns::Skip);
    assert_eq!(hourly.due_run(0, NOON + 5), Some(NOON));
    assert_eq!(hourly.due_run(NOON, NOON + 5), None);
    assert_eq!(hourly.due_run(NOON - 7_200, NOON + 1_000), None, "missed");
    let made_up = every(3_600, MissedRuns::Once);
    assert_eq!(made_up.due_run(NOON - 7_200, NOON + 1_000), Some(NOON), "the last one only");
    assert_eq!(made_up.due_run(0, NOON + 1_000), None, "it was not there before");
}

#[test]
fn a_clock_that_is_set_back_makes_nothing_due_again() {
    assert_eq!(every(60, MissedRuns::Once).due_run(NOON, NOON - 600), None);
    assert_eq!(every(60, MissedRuns::Once).due_run(NOON, NOON + 60), Some(NOON + 60));
}

#[test]
fn cron_text_is_read_in_utc_and_faults_are_named() {
    let nightly =
        Schedule { recurrence: Recurrence::Cron("0 3 * * *".into()), missed_runs: MissedRuns::Once };
    let three = NOON - 9 * 3_600;
    assert_eq!(nightly.due_run(three - 86_400, NOON), Some(three));
    assert_eq!(nightly.due_run(three, NOON), None);
    assert!(Recurrence::Cron("61 * * * *".into()).check().unwrap_err().to_string().contains("61"));
    assert!(Recurrence::Every(0).check().is_err() && Recurrence::Every(1).check().is_ok());
}
