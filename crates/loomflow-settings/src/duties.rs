//! Options of the fleet's duties: periodic work that runs on one server at a time.

use std::collections::BTreeSet;
use std::str::FromStr;
use std::time::Duration;

use croner::Cron;
use garde::Validate;
use schemars::JsonSchema;
use serde::Deserialize;

use crate::campaign::parse_duration;
use crate::error::OptionFault;

/// Lower limit of a job's interval and of its maximum run time.
const MIN_DURATION: Duration = Duration::from_secs(1);
/// Maximum run time of a job that sets none.
const DEFAULT_MAX_DURATION: Duration = Duration::from_secs(3_600);
/// Names of the duties that every fleet has; jobs cannot use them.
const BUILT_IN: [&str; 2] = ["summary", "campaign"];

/// Duties of the fleet, the same on every member. Off if absent.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Duties {
    /// Lease of an owner: a server that is silent for this long owns no duty any more, s.
    #[serde(default = "default_lease")]
    #[garde(range(min = 1, max = 600))]
    pub lease_s: u64,
    /// A duty that failed or brought down its owners this often in a row is parked.
    #[serde(default = "default_attempts")]
    #[garde(range(min = 1, max = 100))]
    pub attempts: u32,
    /// Interval of the fleet's summary, s.
    #[serde(default = "default_summary")]
    #[garde(range(min = 1, max = 3_600))]
    pub summary_s: u64,
    /// Whether this server starts the programs of jobs. Off by default.
    #[serde(default)]
    pub programs: bool,
    /// Duties that the operators define.
    #[serde(default)]
    #[garde(length(max = 2_000), dive)]
    pub jobs: Vec<Job>,
}

/// A duty that the operators define.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Job {
    /// Name of the duty.
    #[garde(length(bytes, min = 1, max = 64))]
    pub name: String,
    /// The program that its owner starts, and its arguments. Without one, the duty is for `loomflow fleet duty run`.
    #[serde(default)]
    pub run: Vec<String>,
    /// Runs whenever the Unix time is a multiple of this, such as `15m`.
    #[garde(inner(custom(is_job_duration)))]
    pub every: Option<String>,
    /// Or at the times of five cron fields, in UTC, such as `0 3 * * *`.
    pub cron: Option<String>,
    /// What happens after a time at which no server could run it.
    #[serde(default)]
    pub missed: Missed,
    /// A run that takes longer is killed.
    #[serde(default = "default_max_duration")]
    #[garde(custom(is_job_duration))]
    pub longest: String,
    /// Its load relative to other duties; 1 is usual.
    #[serde(default = "default_weight")]
    #[garde(range(min = 1, max = 1_000))]
    pub weight: u32,
}

/// What happens after a time at which no server could run a duty.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Missed {
    /// It runs at its next time.
    #[default]
    Skip,
    /// The last missed run is made up for.
    Once,
}

fn default_lease() -> u64 {
    10
}

fn default_attempts() -> u32 {
    5
}

fn default_summary() -> u64 {
    5
}

fn default_max_duration() -> String {
    humantime::format_duration(DEFAULT_MAX_DURATION).to_string()
}

fn default_weight() -> u32 {
    1
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "garde passes its context by reference")]
fn is_job_duration(text: &str, _: &()) -> garde::Result {
    let duration = parse_duration(text).map_err(garde::Error::new)?;
    if duration < MIN_DURATION { Err(garde::Error::new("must be at least 1s")) } else { Ok(()) }
}

impl Job {
    /// Returns the interval between two runs, s; `None` if the job has no interval.
    pub fn every_s(&self) -> Option<u64> {
        self.every.as_deref().and_then(|text| parse_duration(text).ok()).map(|interval| interval.as_secs())
    }

    /// Returns the run time after which a run is killed.
    pub fn max_duration(&self) -> Duration {
        parse_duration(&self.longest).unwrap_or(DEFAULT_MAX_DURATION)
    }
}

impl Duties {
    /// Returns all contradictions between the options.
    pub fn faults(&self) -> Vec<OptionFault> {
        let mut faults: Vec<OptionFault> = self.name_fault().into_iter().collect();
        for (index, job) in self.jobs.iter().enumerate() {
            faults.extend(self.job_faults(index, job));
        }
        faults
    }

    fn name_fault(&self) -> Option<OptionFault> {
        let names: BTreeSet<&str> = self.jobs.iter().map(|job| job.name.as_str()).collect();
        let is_unique = names.len() == self.jobs.len() && BUILT_IN.iter().all(|name| !names.contains(name));
        let problem = "names must be unique, and `summary` and `campaign` are built in";
        (!is_unique).then(|| OptionFault::new("fleet.duties.jobs", problem))
    }

    fn job_faults(&self, index: usize, job: &Job) -> Vec<OptionFault> {
        let mut faults = Vec::new();
        let mut fault = |key: &str, problem: &str| {
            let key = format!("fleet.duties.jobs[{index}].{key}");
            faults.push(OptionFault::new(key, format!("{}: {problem}", job.name)));
        };
        if job.every.is_some() && job.cron.is_some() {
            fault("every", "every and cron exclude each other");
        }
        if let Some(Err(error)) = job.cron.as_deref().map(Cron::from_str) {
            fault("cron", &error.to_string());
        }
        let is_scheduled = job.every.is_some() || job.cron.is_some();
        if is_scheduled && job.run.is_empty() {
            fault("run", "a job with a schedule needs a program");
        }
        if is_scheduled && !self.programs {
            fault("run", "programs are off; fleet.duties.programs must be true");
        }
        faults
    }
}

#[cfg(test)]
mod tests;
