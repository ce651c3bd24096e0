//! Machines taken out for work in an order that the servers settle among themselves: with processes under load, with faults
//! between them, in simulation, and what it costs.

mod cost;
mod faults;
mod headroom;
mod simulated;
mod work;

use std::path::Path;

use crate::report::Report;
use crate::{MeasureError, Selection};

const PARTS: [&str; 4] = ["work", "faults", "simulated", "cost"];

/// All parts, or the one that is named. Bounds are counts and ratios within one run.
///
/// # Errors
/// There is no such part.
pub fn measure(quick: bool, program: &Path, part: Option<&str>) -> Result<Report, MeasureError> {
    let selection = Selection::new("order", &PARTS, part)?;
    let mut report = Report::new("order");
    if selection.includes("work") {
        work::measure(&mut report, quick, program);
    }
    if selection.includes("faults") {
        faults::measure(&mut report, quick, program);
    }
    if selection.includes("simulated") {
        simulated::measure(&mut report, quick);
        headroom::measure(&mut report);
    }
    if selection.includes("cost") {
        cost::measure(&mut report, quick, program);
    }
    Ok(report)
}
