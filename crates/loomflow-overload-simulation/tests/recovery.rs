//! After the failure of a third of the callers or a fifth of the servers for two seconds, a fleet of any size
//! regains 0.9 of its former service within ten seconds of their return.

use loomflow_overload_simulation::fault::FaultKind;
use loomflow_overload_simulation::recovery::{Timeline, recovery};
use loomflow_overload_simulation::setup::Setup;

fn expect_recovery(servers: usize, callers: usize, fault: FaultKind) {
    let result = recovery(Setup::fleet(servers, callers, 1), fault, Timeline::default());
    let figures = format!(
        "before {:.3}, during {:.3}, after {:.3}, recovered after {:?} s, \
         handshakes per second {:.0} before and {:.0} after",
        result.before,
        result.during,
        result.after,
        result.recovered_after_s,
        result.handshakes_before,
        result.handshakes_after,
    );
    println!("{figures}");
    assert_eq!(result.violations, []);
    assert!(result.before > 0.8, "service before the failure must exceed 0.8: {figures}");
    assert!(result.has_recovered(), "the fleet has not recovered: {figures}");
}

const THIRD_OF_THE_CALLERS: FaultKind = FaultKind::CallersDown { fraction: 1.0 / 3.0 };
const FIFTH_OF_THE_SERVERS: FaultKind = FaultKind::ServersDown { fraction: 0.2 };

#[test]
fn small_fleet_recovers_from_lost_callers() {
    expect_recovery(20, 60, THIRD_OF_THE_CALLERS);
}

#[test]
fn small_fleet_recovers_from_lost_servers() {
    expect_recovery(20, 60, FIFTH_OF_THE_SERVERS);
}

#[test]
fn medium_fleet_recovers_from_lost_callers() {
    expect_recovery(80, 240, THIRD_OF_THE_CALLERS);
}

#[test]
fn medium_fleet_recovers_from_lost_servers() {
    expect_recovery(80, 240, FIFTH_OF_THE_SERVERS);
}

#[test]
fn large_fleet_recovers_from_lost_callers() {
    expect_recovery(250, 800, THIRD_OF_THE_CALLERS);
}

#[test]
fn large_fleet_recovers_from_lost_servers() {
    expect_recovery(250, 800, FIFTH_OF_THE_SERVERS);
}
