//! When a duty with a schedule is to be run. Times are Unix seconds by the owner's wall clock, and a run is numbered by the
//! time at which it was due: a number that began before is rejected, so a clock that is set back runs nothing twice. One
//! that is set ahead runs once too early and then not until that time has come.

use std::str::FromStr;

use chrono::{DateTime, Utc};
use croner::Cron;
use serde::{Deserialize, Serialize};

use super::RunId;

/// A run that starts no later than this after its time was not missed, s.
const PUNCTUAL_WITHIN_SECONDS: u64 = 60;

/// When a duty is to be run.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Schedule {
    /// The times.
    #[serde(rename = "when")]
    pub recurrence: Recurrence,
    /// What is done about times that were missed.
    #[serde(rename = "missed")]
    pub missed_runs: MissedRuns,
}

/// The times at which a duty is due.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Recurrence {
    /// Each time that the Unix time is a multiple of this many seconds.
    Every(u64),
    /// Five fields, in UTC.
    Cron(String),
}

/// What is done about a time at which nobody could run it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MissedRuns {
    /// The next time is waited for.
    #[default]
    Skip,
    /// The last time that was missed is made up for, once.
    Once,
}

/// Why a recurrence is not valid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ScheduleError {
    /// No time at all.
    #[error("every: from a second on")]
    ZeroPeriod,
    /// Not five fields that can be read.
    #[error("cron: {expression:?}: {reason}")]
    InvalidCron {
        /// The text.
        expression: String,
        /// The library's message.
        reason: String,
    },
}

impl Recurrence {
    /// Checks that it can be read.
    ///
    /// # Errors
    /// What is wrong with it.
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

    /// The last time that was due, at `now` or before. None where there was none or the text cannot be read.
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
    /// The run that is due at `now`, if one is. `last_run`: the last that began; 0 before any did.
    pub fn due_run(&self, last_run: RunId, now: u64) -> Option<RunId> {
        let due = self.recurrence.last_due(now).filter(|due| *due > last_run)?;
        let is_punctual = now - due <= PUNCTUAL_WITHIN_SECONDS;
        // What was due before the duty was first run was not missed.
        let is_made_up = self.missed_runs == MissedRuns::Once && last_run > 0;
        (is_punctual || is_made_up).then_some(due)
    }
}

#[cfg(test)]
mod tests;
