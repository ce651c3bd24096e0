//! One owner at a time: rounds of faults on real processes with an outside receiver, the same without the receiver's
//! comparison, and cost, spread and moves in simulation.

pub mod effects;
mod judge;
mod rounds;
mod simulated;

use std::path::Path;

use crate::report::Report;

/// All parts, or the one that is named. Errors: there is no such part.
pub fn measure(quick: bool, program: &Path, part: Option<&str>) -> Result<Report, String> {
    let mut report = Report::new("owner");
    let wanted = |name: &str| part.is_none_or(|part| part == name);
    if !["rounds", "simulated"].into_iter().any(wanted) {
        return Err(format!("owner has no part {:?}: rounds, simulated", part.unwrap_or_default()));
    }
    if wanted("rounds") {
        rounds::measure(&mut report, quick, program);
    }
    if wanted("simulated") {
        simulated::measure(&mut report, quick);
    }
    Ok(report)
}
