//! Exclusive ownership of duties: rounds of faults on real processes with an external receiver of their effects, with and
//! without the receiver's fence; and cost, spread and migrations of duties in simulation.

pub mod effects;
mod history;
mod rounds;
mod simulated;

use std::path::Path;

use crate::report::Report;
use crate::{MeasureError, Selection};

const PARTS: [&str; 2] = ["rounds", "simulated"];

/// Runs the named part, or all parts if none is named.
///
/// # Errors
/// [`MeasureError::UnknownPart`] if `part` is not one of [`PARTS`].
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
