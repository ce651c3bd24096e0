use super::*;

const NOON: u64 = 1_764_590_400; // 2025-12-01T12:00:00Z

fn every(seconds: u64, missed_runs: MissedRuns) -> Schedule {
    Schedule { recurrence: Recurrence::Every(seconds), missed_runs }
}

#[test]
fn missed_run_is_skipped_or_run_late_once() {
    let hourly = every(3_600, MissedRuns::Skip);
    assert_eq!(hourly.due_run(0, NOON + 5), Some(NOON));
    assert_eq!(hourly.due_run(NOON, NOON + 5), None);
    assert_eq!(hourly.due_run(NOON - 7_200, NOON + 1_000), None, "the run was missed by 1000 s");
    let late_once = every(3_600, MissedRuns::Once);
    assert_eq!(late_once.due_run(NOON - 7_200, NOON + 1_000), Some(NOON), "only the last of the missed runs");
    assert_eq!(late_once.due_run(0, NOON + 1_000), None, "a duty that never ran has missed no run");
}

#[test]
fn clock_set_back_repeats_no_run() {
    assert_eq!(every(60, MissedRuns::Once).due_run(NOON, NOON - 600), None);
    assert_eq!(every(60, MissedRuns::Once).due_run(NOON, NOON + 60), Some(NOON + 60));
}

#[test]
fn cron_runs_in_utc_and_invalid_field_is_reported() {
    let nightly =
        Schedule { recurrence: Recurrence::Cron("0 3 * * *".into()), missed_runs: MissedRuns::Once };
    let three = NOON - 9 * 3_600;
    assert_eq!(nightly.due_run(three - 86_400, NOON), Some(three));
    assert_eq!(nightly.due_run(three, NOON), None);
    assert!(Recurrence::Cron("61 * * * *".into()).check().unwrap_err().to_string().contains("61"));
    assert!(Recurrence::Every(0).check().is_err() && Recurrence::Every(1).check().is_ok());
}
