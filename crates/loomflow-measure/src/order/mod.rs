//! Machines taken out for work in an order that the servers settle among themselves: with processes under load, with faults
//! between them, in simulation, and what it costs.

mod cost;
mod faults;
mod simulated;
mod work;

use std::path::Path;

use crate::report::Report;

/// All parts. Bounds are counts and ratios within one run.
pub fn measure(quick: bool, program: &Path) -> Report {
    let mut report = Report::new("order");
    work::measure(&mut report, quick, program);
    faults::measure(&mut report, quick, program);
    simulated::measure(&mut report, quick);
    cost::measure(&mut report, quick, program);
    report
}
