//! Measures one real server of the size that the operators expect (cost of its connections and tenants, and time added
//! to a request) and the control traffic of a simulated fleet of that size. `docs/CAPACITY.md` compares the figures
//! with their budgets.

mod connections;
mod control;
mod engine_client;
mod load;
mod proc;
mod requests;
mod setup;
mod tenants;

use std::path::Path;

use crate::report::Report;
use crate::{MeasureError, Selection};

/// Number of callers of one server at the peak, each with one open connection.
const CALLERS: usize = 7_700;
/// Number of tenants of one server at the peak.
const TENANTS: usize = 35_000;
/// Request rate of one server at the peak.
const REQUESTS_PER_S: f64 = 238.0;
/// Load of a server after one of six zones has failed, divided by its load before.
const ZONE_LOST: f64 = 1.2;

const PARTS: [&str; 4] = ["connections", "tenants", "requests", "control"];

/// Runs the named part, or all parts if none is named.
///
/// # Errors
/// [`MeasureError::UnknownPart`] if `part` is not one of [`PARTS`].
pub fn measure(quick: bool, program: &Path, part: Option<&str>) -> Result<Report, MeasureError> {
    let selection = Selection::new("scale", &PARTS, part)?;
    let mut report = Report::new("scale");
    if selection.includes("connections") {
        connections::measure(&mut report, program);
    }
    if selection.includes("tenants") {
        tenants::measure(&mut report, quick, program);
    }
    if selection.includes("requests") {
        requests::measure(&mut report, quick, program);
    }
    if selection.includes("control") {
        control::measure(&mut report, quick);
    }
    Ok(report)
}
