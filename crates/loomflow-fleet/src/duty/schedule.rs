//! Schedules of duties. Times are Unix seconds on the owner's wall clock, and a run is numbered by its due time. A number that
//! began before is rejected, so a clock that is set back repeats no run. A clock that is set ahead causes one early run, and
//! the next one follows only after that time.

use std::str::FromStr;

use chrono::{DateTime, Utc};
use croner::Cron;
use serde::{Deserialize, Serialize};

use super::RunId;

/// A run that would begin later than this after its due time counts as missed, s.
const MISSED_AFTER_SECONDS: u64 = 60;

/// The schedule of a duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Schedule {
    /// The times at which the duty is due.
    #[serde(rename = "when")]
    pub recurrence: Recurrence,
    /// Handling of runs that did not begin in time.
    #[serde(rename = "missed")]
    pub missed_runs: MissedRuns,
}

/// A rule for the times at which a duty is due.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Recurrence {
    /// Whenever the Unix time is a multiple of this many seconds.
    Every(u64),
    /// A cron expression of five fields, in UTC.
    Cron(String),
}

/// Handling of runs that did not begin within a minute of their due time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MissedRuns {
    /// Missed runs are skipped; the next run is at the next due time.
    #[default]
    Skip,
    /// Only the latest missed run is run late.
    Once,
}

/// Why a recurrence is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ScheduleError {
    /// The period is 0.
    #[error("every: the period is 0 s, the minimum is 1 s")]
    ZeroPeriod,
    /// The cron expression cannot be parsed.
    #[error("cron: {expression:?}: {reason}")]
    InvalidCron {
        /// The cron expression.
        expression: String,
        /// The error message of the cron library.
        reason: String,
    },
}

impl Recurrence {
    /// Checks that the period is not 0 or that the cron expression can be parsed.
    ///
    /// # Errors
    /// The period is 0, or the expression is invalid.
    pub fn check(&self) -> Result<(), ScheduleError> {
        match self {
            Recurrence::Every(0) => Err(ScheduleError::ZeroPeriod),
            Recurrence::Every(_) => Ok(()),
            Recurrence::Cron(expression) => match Cron::from_str(expression) {
                Ok(_) => Ok(()),
                Err(error) => Err(ScheduleError::InvalidCron {
                    expression: expression.clone(),
                    reason: error.to_string(),
                }),
            },
        }
    }

    /// The last due time at or before `now`. `None` if there was none or the expression is invalid.
    fn last_due(&self, now: u64) -> Option<RunId> {
        match self {
            Recurrence::Every(seconds) => Some(now - now % (*seconds).max(1)),
            Recurrence::Cron(expression) => {
                let at = DateTime::<Utc>::from_timestamp(now as i64, 0)?;
                let last = Cron::from_str(expression).ok()?.find_previous_occurrence(&at, true).ok()?;
                u64::try_from(last.timestamp()).ok()
            }
        }
    }
}

impl Schedule {
    /// The run that is due at `now`, if any. `last_run` is the last run that began; 0 before the first.
    pub fn due_run(&self, last_run: RunId, now: u64) -> Option<RunId> {
        let due = self.recurrence.last_due(now).filter(|due| *due > last_run)?;
        let is_on_time = now - due <= MISSED_AFTER_SECONDS;
        // A due time before the first run was not missed: the duty may not have existed then.
        let runs_late = self.missed_runs == MissedRuns::Once && last_run > 0;
        (is_on_time || runs_late).then_some(due)
    }
}

#[cfg(test)]
mod tests;
