//! A fleet that has lost a part of itself for two seconds is back at 0.9 of its former service within ten seconds of the
//! part's return, at any size.

use loomflow_overload_simulation::fault::FaultKind;
use loomflow_overload_simulation::recovery::{Timeline, recovery};
use loomflow_overload_simulation::setup::Setup;

fn comes_back(servers: usize, callers: usize, trouble: FaultKind) {
    let played = recovery(Setup::fleet(servers, callers, 1), trouble, Timeline::default());
    let figures = format!(
        "before {:.3}, during {:.3}, after {:.3}, back after {:?} s, handshakes a second {:.0} and {:.0}",
        played.before,
        played.during,
        played.after,
        played.recovered_after_s,
        played.handshakes_before,
        played.handshakes_after,
    );
    println!("{figures}");
    assert_eq!(played.violations, []);
    assert!(played.before > 0.8, "not a healthy fleet: {figures}");
    assert!(played.is_back(), "{figures}");
}

const THIRD_OF_THE_CALLERS: FaultKind = FaultKind::CallersDown { fraction: 1.0 / 3.0 };
const FIFTH_OF_THE_SERVERS: FaultKind = FaultKind::ServersDown { fraction: 0.2 };

#[test]
fn a_small_fleet_gets_over_lost_callers() {
    comes_back(20, 60, THIRD_OF_THE_CALLERS);
}

#[test]
fn a_small_fleet_gets_over_lost_servers() {
    comes_back(20, 60, FIFTH_OF_THE_SERVERS);
}

#[test]
fn a_middle_fleet_gets_over_lost_callers() {
    comes_back(80, 240, THIRD_OF_THE_CALLERS);
}

#[test]
fn a_middle_fleet_gets_over_lost_servers() {
    comes_back(80, 240, FIFTH_OF_THE_SERVERS);
}

#[test]
fn a_large_fleet_gets_over_lost_callers() {
    comes_back(250, 800, THIRD_OF_THE_CALLERS);
}

#[test]
fn a_large_fleet_gets_over_lost_servers() {
    comes_back(250, 800, FIFTH_OF_THE_SERVERS);
}
