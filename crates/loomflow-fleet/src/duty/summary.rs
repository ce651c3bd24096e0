//! Summary of the fleet's load. The owner of the summary duty computes it each period and sends it to all members with its
//! fencing token.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::member::{LoadReport, MemberState, ServerName, Zone};

/// Maximum number of zones in a summary.
const MAX_ZONES: usize = 8;
/// Maximum number of servers that a summary names as not serving.
const MAX_NAMES: usize = 16;

/// The load of the fleet. Loads and capacities are in concurrent runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Number of members.
    pub members: u32,
    /// Number of members that serve with a valid load report.
    pub serving: u32,
    /// Total load of the serving members.
    #[serde(rename = "carries")]
    pub carried_load: f32,
    /// Total capacity of the serving members.
    #[serde(rename = "bears")]
    pub capacity: f32,
    /// Mean share of traffic that the serving members request; 1 if none serves.
    pub share: f32,
    /// The zones with the highest load as a fraction of capacity, the highest first; at most 8.
    #[serde(rename = "worst")]
    pub fullest_zones: Vec<(Zone, f32)>,
    /// Members that do not serve or lack a valid load report; at most 16.
    #[serde(rename = "out")]
    pub not_serving: Vec<ServerName>,
}

/// State and load of one member, from the view of the node that summarizes.
pub struct MemberLoad<'a> {
    /// Name of the member.
    pub name: &'a ServerName,
    /// Zone of the member.
    pub zone: &'a Zone,
    /// State of the member in the fleet.
    pub state: MemberState,
    /// The last load report of the member, if it has sent one.
    pub load_report: Option<LoadReport>,
}

#[derive(Default)]
struct ZoneLoad {
    carried_load: f64,
    capacity: f64,
}

impl ZoneLoad {
    fn load_ratio(&self) -> f32 {
        (self.carried_load / self.capacity.max(f64::from(f32::EPSILON))) as f32
    }
}

/// Summarizes the load of the members.
pub fn summarize<'a>(members: impl Iterator<Item = MemberLoad<'a>>) -> Summary {
    let mut summary = Summary::default();
    let mut zones: BTreeMap<&str, ZoneLoad> = BTreeMap::new();
    let mut shares = 0.0;
    for member in members {
        summary.members += 1;
        let is_serving = member.state == MemberState::Serving;
        match &member.load_report {
            Some(report) if is_serving && report.is_valid() => {
                let zone = zones.entry(member.zone).or_default();
                zone.carried_load += report.carried_load();
                zone.capacity += report.capacity();
                summary.serving += 1;
                shares += report.share;
            }
            _ if summary.not_serving.len() < MAX_NAMES => summary.not_serving.push(member.name.clone()),
            _ => {}
        }
    }
    for zone in zones.values() {
        summary.carried_load += zone.carried_load as f32;
        summary.capacity += zone.capacity as f32;
    }
    summary.share = if summary.serving > 0 { shares / summary.serving as f32 } else { 1.0 };
    summary.fullest_zones =
        zones.iter().map(|(name, zone)| ((*name).to_owned(), zone.load_ratio())).collect();
    summary.fullest_zones.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
    summary.fullest_zones.truncate(MAX_ZONES);
    summary
}

#[cfg(test)]
mod tests;
