//! Whether those who stay can carry the fleet's load: judged from load reports, by the figures that the servers' controllers
//! themselves use.
//!
//! The **load** of a server is the number of its concurrent runs, times the ratio of queueing time to setpoint where that is
//! above 1: requests that are queued for longer than the setpoint wait for runs that cannot begin. Its **capacity** is its
//! concurrency limit, which rises only on runs that ended well and is cut when they do not, times the share that it
//! requests: a server that wants half of its usual traffic can carry half. A server may go when those who stay would be filled to at most [`MAX_FILL`], with the
//! maximum that was carried in the last [`BURST_WINDOW_MILLIS`], all by recent reports.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

pub use crate::member::MemberView;
use crate::member::{ServerName, Zone};
use crate::time::IntegerMillis;

/// How full those who stay may be, as a fraction of their capacity.
pub const MAX_FILL: f64 = 0.85;
/// The highest load within this window counts as the load now, ms.
pub const BURST_WINDOW_MILLIS: IntegerMillis = 5 * 60 * 1000;
/// Loads are averaged over buckets of this length, ms.
const BUCKET_MILLIS: IntegerMillis = 10_000;
/// A zone that carries this fraction of its highest recent load is busy.
const BUSY_FRACTION: f64 = 0.9;

/// The recent load, averaged over each bucket of the last [`BURST_WINDOW_MILLIS`]: what is migrated from one server to
/// another is in both their reports for a moment, and must not look like a burst.
#[derive(Clone, Debug, Default)]
pub struct Headroom {
    buckets: VecDeque<Bucket>,
}

#[derive(Clone, Debug, Default)]
struct Bucket {
    start: IntegerMillis,
    sample_count: f64,
    /// Sums over the samples, in concurrent runs.
    load_by_zone: BTreeMap<Zone, f64>,
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

/// Load and remaining capacity if some servers left, in concurrent runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// The fleet's load now.
    #[serde(rename = "now")]
    pub current_load: f64,
    /// Its highest recent load.
    #[serde(rename = "most")]
    pub peak_load: f64,
    /// The capacity of those who would stay.
    #[serde(rename = "stay")]
    pub remaining_capacity: f64,
}

impl Estimate {
    /// The load that those who stay have to be able to carry.
    pub fn load(&self) -> f64 {
        self.current_load.max(self.peak_load)
    }

    /// How full those who stay would be, as a fraction.
    pub fn fill(&self) -> f64 {
        self.load() / self.remaining_capacity.max(f64::MIN_POSITIVE)
    }

    /// Whether those who stay can carry the load.
    pub fn is_sufficient(&self) -> bool {
        self.load() <= MAX_FILL * self.remaining_capacity
    }
}

impl Headroom {
    /// Takes in the members' load. To be called every second or so, on every voter: a new leader knows it too.
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

    /// The fleet's load, and the capacity of those for whom `stays` is true.
    pub fn estimate(
        &self,
        members: &BTreeMap<ServerName, MemberView>,
        stays: &dyn Fn(&str) -> bool,
    ) -> Estimate {
        let mut current_load = 0.0;
        let mut remaining_capacity = 0.0;
        for (name, member) in members {
            let Some(report) = member.load_report else { continue };
            current_load += report.carried_load();
            if member.is_serving() && stays(name) {
                remaining_capacity += report.capacity();
            }
        }
        let peak_load = self.buckets.iter().map(Bucket::mean_fleet_load).fold(0.0, f64::max);
        Estimate { current_load, peak_load, remaining_capacity }
    }

    /// Whether a zone is near its highest recent load.
    pub fn is_busy(&self, zone: &str, members: &BTreeMap<ServerName, MemberView>) -> bool {
        let here = members.values().filter(|member| member.zone == zone);
        let now: f64 = here.filter_map(|member| member.load_report).map(|report| report.carried_load()).sum();
        let (lowest, highest) = self
            .buckets
            .iter()
            .map(|bucket| bucket.mean_zone_load(zone))
            .fold((f64::INFINITY, 0.0_f64), |(lowest, highest), load| (lowest.min(load), highest.max(load)));
        // Where the load hardly changes no moment is busier than another.
        highest > 0.0 && now >= BUSY_FRACTION * highest && lowest < BUSY_FRACTION * highest
    }
}

#[cfg(test)]
mod tests;
