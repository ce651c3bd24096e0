//! One real server at the size that operators expect: its connections, its tenants, and what it adds to a request; and
//! what control costs in a simulated fleet of that size. `docs/CAPACITY.md` holds the figures against their budgets.

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

/// Callers that each keep a connection, tenants, and requests a second to one server at the peak.
const CALLERS: usize = 7_700;
const TENANTS: usize = 35_000;
const REQUESTS_PER_S: f64 = 238.0;
/// Load of a server after one of six zones is lost, over the load before.
const ZONE_LOST: f64 = 1.2;

/// Plays all parts, or the one that is named. Errors: there is no such part.
pub fn measure(quick: bool, program: &Path, part: Option<&str>) -> Result<Report, String> {
    let parts = ["connections", "tenants", "requests", "control"];
    if let Some(part) = part.filter(|part| !parts.contains(part)) {
        return Err(format!("scale has no part {part:?}: {}", parts.join(", ")));
    }
    let wanted = |name: &str| part.is_none_or(|part| part == name);
    let mut report = Report::new("scale");
    if wanted("connections") {
        connections::measure(&mut report, program);
    }
    if wanted("tenants") {
        tenants::measure(&mut report, quick, program);
    }
    if wanted("requests") {
        requests::measure(&mut report, quick, program);
    }
    if wanted("control") {
        control::measure(&mut report, quick);
    }
    Ok(report)
}
