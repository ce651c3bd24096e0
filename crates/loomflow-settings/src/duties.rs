//! The part of the options file on duties: work on behalf of the fleet that one server does at a time.

use std::collections::BTreeSet;
use std::str::FromStr;
use std::time::Duration;

use croner::Cron;
use garde::Validate;
use schemars::JsonSchema;
use serde::Deserialize;

use crate::campaign::duration;

/// Duties of the fleet, the same on every member. Off where absent.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Duties {
    /// A server that is not heard from for so long owns nothing any more, s.
    #[serde(default = "lease")]
    #[garde(range(min = 1, max = 600))]
    pub lease_s: u64,
    /// A duty that brought down or failed its owners so often in a row is parked.
    #[serde(default = "attempts")]
    #[garde(range(min = 1, max = 100))]
    pub attempts: u32,
    /// How often the fleet is summed up, s.
    #[serde(default = "summary")]
    #[garde(range(min = 1, max = 3_600))]
    pub summary_s: u64,
    /// Whether this server starts the programs of jobs. Off where it is not said.
    #[serde(default)]
    pub programs: bool,
    /// The operators' own duties.
    #[serde(default)]
    #[garde(length(max = 2_000), dive)]
    pub jobs: Vec<Job>,
}

/// A duty of the operators.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Job {
    #[garde(length(bytes, min = 1, max = 64))]
    pub name: String,
    /// The program that its owner starts, with what it is given. Without one it is for `loomflow fleet duty run`.
    #[serde(default)]
    pub run: Vec<String>,
    /// Each time that the Unix time is a multiple of this, such as `15m`.
    #[garde(inner(custom(a_span)))]
    pub every: Option<String>,
    /// Or by five fields, in UTC, such as `0 3 * * *`.
    pub cron: Option<String>,
    /// What is done about a time at which nobody could run it.
    #[serde(default)]
    pub missed: Missed,
    /// A run that takes longer is ended.
    #[serde(default = "longest")]
    #[garde(custom(a_span))]
    pub longest: String,
    /// How heavy it is beside others; 1 is usual.
    #[serde(default = "weight")]
    #[garde(range(min = 1, max = 1_000))]
    pub weight: u32,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Missed {
    /// The next time is waited for.
    #[default]
    Skip,
    /// The last one that was missed is made up for.
    Once,
}

fn lease() -> u64 {
    10
}

fn attempts() -> u32 {
    5
}

fn summary() -> u64 {
    5
}

fn longest() -> String {
    "1h".into()
}

fn weight() -> u32 {
    1
}

fn a_span(text: &str, _: &()) -> garde::Result {
    let span = duration(text).map_err(garde::Error::new)?;
    if span < Duration::from_secs(1) { Err(garde::Error::new("from a second on")) } else { Ok(()) }
}

impl Job {
    /// Seconds between two times, if it goes by them. Checked when it was read.
    pub fn every_s(&self) -> Option<u64> {
        self.every.as_deref().and_then(|text| duration(text).ok()).map(|span| span.as_secs())
    }

    pub fn longest(&self) -> Duration {
        duration(&self.longest).unwrap_or(Duration::from_secs(3_600))
    }
}

impl Duties {
    /// What is wrong with it: a line for each fault, with its key.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let names: BTreeSet<&str> = self.jobs.iter().map(|job| job.name.as_str()).collect();
        if names.len() < self.jobs.len() || names.contains("summary") || names.contains("campaign") {
            faults.push(
                "fleet.duties.jobs: each name once; `summary` and `campaign` are there from the start".into(),
            );
        }
        for (at, job) in self.jobs.iter().enumerate() {
            let mut fault = |key: &str, what: &str| {
                faults.push(format!("fleet.duties.jobs[{at}].{key}: {}: {what}", job.name));
            };
            if job.every.is_some() && job.cron.is_some() {
                fault("every", "either every or cron");
            }
            if let Some(Err(why)) = job.cron.as_deref().map(Cron::from_str) {
                fault("cron", &why.to_string());
            }
            let scheduled = job.every.is_some() || job.cron.is_some();
            if scheduled && job.run.is_empty() {
                fault("run", "a job with a time needs a program");
            }
            if scheduled && !self.programs {
                fault("run", "programs are not switched on: fleet.duties.programs");
            }
        }
        faults
    }
}

#[cfg(test)]
mod tests;
