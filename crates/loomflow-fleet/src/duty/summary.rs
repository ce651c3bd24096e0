//! The fleet in figures, summed up by the owner of that duty: what each member receives each period, with the owner's token.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::member::{LoadReport, MemberState, ServerName, Zone};

/// Maximum number of zones listed.
const MAX_ZONES: usize = 8;
/// Maximum number of servers listed.
const MAX_NAMES: usize = 16;

/// The fleet in figures; loads in concurrent runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Members.
    pub members: u32,
    /// Members that take their part of the load.
    pub serving: u32,
    /// Their load.
    #[serde(rename = "carries")]
    pub carried_load: f32,
    /// What they can carry.
    #[serde(rename = "bears")]
    pub capacity: f32,
    /// Mean of the shares that they request; 1 where nobody serves.
    pub share: f32,
    /// The fullest zones, with their load as a fraction of their capacity.
    #[serde(rename = "worst")]
    pub fullest_zones: Vec<(Zone, f32)>,
    /// Members that do not serve, the first of them by name.
    #[serde(rename = "out")]
    pub not_serving: Vec<ServerName>,
}

/// What the leader knows of one member.
pub struct MemberLoad<'a> {
    /// The member.
    pub name: &'a ServerName,
    /// Its zone.
    pub zone: &'a Zone,
    /// What it is doing.
    pub state: MemberState,
    /// Its last load report.
    pub load_report: Option<LoadReport>,
}

#[derive(Default)]
struct ZoneLoad {
    carried_load: f64,
    capacity: f64,
}

impl ZoneLoad {
    fn fill(&self) -> f32 {
        (self.carried_load / self.capacity.max(f64::from(f32::EPSILON))) as f32
    }
}

/// Sums up what the leader knows of the members.
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
    summary.fullest_zones = zones.iter().map(|(name, zone)| ((*name).to_owned(), zone.fill())).collect();
    summary.fullest_zones.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
    summary.fullest_zones.truncate(MAX_ZONES);
    summary
}

#[cfg(test)]
mod tests;
