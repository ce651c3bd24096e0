use super::*;

#[test]
fn process_is_stopped_before_its_lease_expires() {
    let settings = LeaseSettings { lease_millis: 1_000, max_attempts: 3 };
    let mut supervisor = ProcessSupervisor::new(settings, 990, 60_000, 0);
    assert_eq!(supervisor.step(600), None);
    supervisor.extend_ownership(1_400);
    assert_eq!(supervisor.step(1_000), None, "the ownership was extended to 1400 ms");
    assert_eq!(supervisor.step(1_100), Some(StopSignal::Terminate));
    assert_eq!(supervisor.step(1_110), None);
    assert_eq!(supervisor.step(1_300), Some(StopSignal::Kill));
    assert_eq!((supervisor.step(1_310), supervisor.stop_reason()), (None, Some(StopReason::LeaseExpiring)));
}

#[test]
fn timed_out_process_has_a_grace_period_and_lost_ownership_none() {
    let settings = LeaseSettings { lease_millis: 1_000, max_attempts: 3 };
    let mut supervisor = ProcessSupervisor::new(settings, 100_000, 5_000, 0);
    assert_eq!((supervisor.step(4_999), supervisor.step(5_000)), (None, Some(StopSignal::Terminate)));
    assert_eq!((supervisor.step(5_499), supervisor.step(5_500)), (None, Some(StopSignal::Kill)));
    assert_eq!(supervisor.stop_reason(), Some(StopReason::TimedOut));
    let mut supervisor = ProcessSupervisor::new(settings, 100_000, 60_000, 0);
    supervisor.ownership_lost(10);
    assert_eq!((supervisor.step(10), supervisor.step(11)), (Some(StopSignal::Kill), None));
    let mut supervisor = ProcessSupervisor::new(settings, 100_000, 60_000, 0);
    supervisor.request_stop(10);
    assert_eq!(
        (supervisor.step(10), supervisor.step(20), supervisor.step(510)),
        (Some(StopSignal::Terminate), None, Some(StopSignal::Kill))
    );
}
