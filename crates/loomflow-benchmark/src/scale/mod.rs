//! One real server at the size that operators expect: its connections, its tenants, and what it adds to a request; and
//! what control costs in a simulated fleet of that size. `docs/CAPACITY.md` has the figures against their budgets.

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

/// Callers that each keep a connection, tenants, and requests a second to one server at the peak.
const CALLERS: usize = 7_700;
const TENANTS: usize = 35_000;
const REQUESTS_PER_S: f64 = 238.0;
/// Load of a server after one of six zones is lost, over the load before.
const ZONE_LOST: f64 = 1.2;

const PARTS: [&str; 4] = ["connections", "tenants", "requests", "control"];

/// Plays all parts, or the one that is named.
///
/// # Errors
/// There is no such part.
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
