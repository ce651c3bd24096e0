//! Machines taken out for work in an order that the servers settle among themselves: with processes under load, with faults
//! between them, in simulation, and what it costs.

mod cost;
mod faults;
mod simulated;
mod work;

use std::path::Path;

use crate::report::Report;

/// All parts, or the one that is named. Bounds are counts and ratios within one run. Errors: there is no such part.
pub fn measure(quick: bool, program: &Path, part: Option<&str>) -> Result<Report, String> {
    let mut report = Report::new("order");
    let wanted = |name: &str| part.is_none_or(|part| part == name);
    if !["work", "faults", "simulated", "cost"].into_iter().any(wanted) {
        return Err(format!(
            "order has no part {:?}: work, faults, simulated, cost",
            part.unwrap_or_default()
        ));
    }
    if wanted("work") {
        work::measure(&mut report, quick, program);
    }
    if wanted("faults") {
        faults::measure(&mut report, quick, program);
    }
    if wanted("simulated") {
        simulated::measure(&mut report, quick);
    }
    if wanted("cost") {
        cost::measure(&mut report, quick, program);
    }
    Ok(report)
}
