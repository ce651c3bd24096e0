//! Measures the maintenance of the machines of a fleet, in an order that the servers decide among themselves: real
//! processes under load (`work`) and under random faults (`faults`), simulated fleets (`simulated`), and the cost of
//! fleet membership for a server (`cost`).

mod cost;
mod faults;
mod headroom;
mod simulated;
mod work;

use std::path::Path;

use crate::report::Report;
use crate::{MeasureError, Selection};

const PARTS: [&str; 4] = ["work", "faults", "simulated", "cost"];

/// Runs the named part, or all parts if none is named.
///
/// # Errors
/// [`MeasureError::UnknownPart`] if `part` is not one of [`PARTS`].
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
