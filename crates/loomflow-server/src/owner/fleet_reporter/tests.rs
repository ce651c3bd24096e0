use super::*;

#[test]
fn phase_follows_slow_start_and_shutdown() {
    let reporter = FleetReporter { fleet: None, cores: 2.0, slow_start_ends_at: 100.0 };
    let serving = ServerState { has_controller: true, is_healthy: true, is_shutting_down: false };
    assert_eq!(reporter.phase(ServerState { has_controller: false, ..serving }, 200.0), Phase::Cold);
    assert_eq!(reporter.phase(serving, 99.0), Phase::Cold);
    assert_eq!(reporter.phase(serving, 100.0), Phase::Serving);
    assert_eq!(reporter.phase(ServerState { is_shutting_down: true, ..serving }, 0.0), Phase::Draining);
}
