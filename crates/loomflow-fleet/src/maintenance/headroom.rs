//! Whether the remaining servers can carry the fleet's load, estimated from load reports with the same figures that the
//! servers' controllers use.
//!
//! The **load** of a server is the number of its concurrent runs, times the ratio of queueing time to setpoint where that is
//! above 1: requests that are queued for longer than the setpoint are demand that cannot start yet. The **capacity** of a
//! server is its concurrency limit times its send share: a server that requests half of its usual traffic can carry half.
//! The limit rises only while runs succeed and is cut when they fail.
//!
//! A server may leave if the remaining servers would be utilized to at most [`MAX_UTILIZATION`] by the highest load of the
//! last [`BURST_WINDOW_MILLIS`]. Only recent load reports count.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

pub use crate::member::MemberView;
use crate::member::{ServerName, Zone};
use crate::time::IntegerMillis;

/// Maximum utilization of the remaining servers, as a fraction of their capacity.
pub const MAX_UTILIZATION: f64 = 0.85;
/// Window over which the highest load is taken, ms.
pub const BURST_WINDOW_MILLIS: IntegerMillis = 5 * 60 * 1000;
/// Length of the buckets over which load is averaged, ms.
const BUCKET_MILLIS: IntegerMillis = 10_000;
/// Fraction of its highest recent load from which on a zone counts as busy.
const BUSY_FRACTION: f64 = 0.9;

/// The load of the last [`BURST_WINDOW_MILLIS`], averaged over buckets: load that migrates from one server to another is in
/// both their reports for a moment, and must not count as a burst.
#[derive(Clone, Debug, Default)]
pub struct Headroom {
    buckets: VecDeque<Bucket>,
}

#[derive(Clone, Debug, Default)]
struct Bucket {
    start: IntegerMillis,
    sample_count: f64,
    /// Load of each zone, summed over the bucket's samples, in concurrent runs.
    load_by_zone: BTreeMap<Zone, f64>,
    /// Load of the fleet, summed over the bucket's samples, in concurrent runs.
    fleet_load: f64,
}

impl Bucket {
    fn mean_fleet_load(&self) -> f64 {
        self.fleet_load / self.sample_count
    }

    fn mean_zone_load(&self, zone: &str) -> f64 {
        self.load_by_zone.get(zone).copied().unwrap_or(0.0) / self.sample_count
    }
}

/// The fleet's load, and the capacity that would remain without some of the servers, in concurrent runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// Current load of the fleet.
    #[serde(rename = "now")]
    pub current_load: f64,
    /// Highest bucket average of the fleet's load within [`BURST_WINDOW_MILLIS`].
    #[serde(rename = "most")]
    pub peak_load: f64,
    /// Capacity of the servers that would remain.
    #[serde(rename = "stay")]
    pub remaining_capacity: f64,
}

impl Estimate {
    /// The load that the remaining servers have to carry: the current or the peak load, whichever is higher.
    pub fn load(&self) -> f64 {
        self.current_load.max(self.peak_load)
    }

    /// Utilization of the remaining servers, as a fraction of their capacity.
    pub fn utilization(&self) -> f64 {
        self.load() / self.remaining_capacity.max(f64::MIN_POSITIVE)
    }

    /// Whether the load is at most [`MAX_UTILIZATION`] of the remaining capacity.
    pub fn is_sufficient(&self) -> bool {
        self.load() <= MAX_UTILIZATION * self.remaining_capacity
    }
}

impl Headroom {
    /// Adds a sample of the members' load. Called about once a second on every voter, so that a new leader has the recent
    /// load at once.
    pub fn observe(&mut self, now: IntegerMillis, members: &BTreeMap<ServerName, MemberView>) {
        if self.buckets.back().is_none_or(|bucket| now >= bucket.start + BUCKET_MILLIS) {
            self.buckets.push_back(Bucket { start: now, ..Bucket::default() });
        }
        while self.buckets.front().is_some_and(|bucket| bucket.start + BURST_WINDOW_MILLIS < now) {
            self.buckets.pop_front();
        }
        let Some(bucket) = self.buckets.back_mut() else { return };
        bucket.sample_count += 1.0;
        for member in members.values() {
            if let Some(report) = &member.load_report {
                *bucket.load_by_zone.entry(member.zone.clone()).or_default() += report.carried_load();
                bucket.fleet_load += report.carried_load();
            }
        }
    }

    /// The fleet's load, and the capacity of the serving members for which `remains` returns true.
    pub fn estimate(
        &self,
        members: &BTreeMap<ServerName, MemberView>,
        remains: &dyn Fn(&str) -> bool,
    ) -> Estimate {
        let mut current_load = 0.0;
        let mut remaining_capacity = 0.0;
        for (name, member) in members {
            let Some(report) = member.load_report else { continue };
            current_load += report.carried_load();
            if member.is_serving() && remains(name) {
                remaining_capacity += report.capacity();
            }
        }
        let peak_load = self.buckets.iter().map(Bucket::mean_fleet_load).fold(0.0, f64::max);
        Estimate { current_load, peak_load, remaining_capacity }
    }

    /// Whether a zone's load is at least 90% of its recent maximum, and was below that within the window.
    pub fn is_busy(&self, zone: &str, members: &BTreeMap<ServerName, MemberView>) -> bool {
        let zone_members = members.values().filter(|member| member.zone == zone);
        let current: f64 =
            zone_members.filter_map(|member| member.load_report).map(|report| report.carried_load()).sum();
        let (lowest, highest) = self
            .buckets
            .iter()
            .map(|bucket| bucket.mean_zone_load(zone))
            .fold((f64::INFINITY, 0.0_f64), |(lowest, highest), load| (lowest.min(load), highest.max(load)));
        // If the load hardly varies, postponing a ticket would not find a quieter time.
        highest > 0.0 && current >= BUSY_FRACTION * highest && lowest < BUSY_FRACTION * highest
    }
}

#[cfg(test)]
mod tests;
