//! One owner at a time: rounds of faults on real processes with an outside receiver, the same without the receiver's
//! comparison, and cost, spread and migrations in simulation.

pub mod effects;
mod judge;
mod rounds;
mod simulated;

use std::path::Path;

use crate::report::Report;
use crate::{MeasureError, Selection};

const PARTS: [&str; 2] = ["rounds", "simulated"];

/// All parts, or the one that is named.
///
/// # Errors
/// There is no such part.
pub fn measure(quick: bool, program: &Path, part: Option<&str>) -> Result<Report, MeasureError> {
    let selection = Selection::new("owner", &PARTS, part)?;
    let mut report = Report::new("owner");
    if selection.includes("rounds") {
        rounds::measure(&mut report, quick, program);
    }
    if selection.includes("simulated") {
        simulated::measure(&mut report, quick);
    }
    Ok(report)
}
