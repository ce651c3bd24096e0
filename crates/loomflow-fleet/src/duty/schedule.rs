//! When a duty with a schedule is to be run. Times are Unix seconds by the owner's wall clock, and the number of a run is
//! the time that it was due: the record refuses a number that began before, so a clock that is set back runs nothing twice.
//! One that is set ahead runs once too early and then not until that time has come.

use std::str::FromStr;

use chrono::{DateTime, Utc};
use croner::Cron;
use serde::{Deserialize, Serialize};

/// A run that starts no later than this after its time is in time, s.
const IN_TIME: u64 = 60;

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Schedule {
    pub when: When,
    pub missed: Missed,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum When {
    /// Each time that the Unix time is a multiple of so many seconds.
    Every(u64),
    /// Five fields, in UTC.
    Cron(String),
}

/// What is done about a time at which nobody could run it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Missed {
    /// The next time is waited for.
    #[default]
    Skip,
    /// The last time that was missed is made up for, once.
    Once,
}

impl When {
    /// Errors: what is wrong with it, in words.
    pub fn check(&self) -> Result<(), String> {
        match self {
            When::Every(0) => Err("every: from a second on".into()),
            When::Every(_) => Ok(()),
            When::Cron(text) => Cron::from_str(text).map(drop).map_err(|e| format!("cron: {text:?}: {e}")),
        }
    }

    /// The last time that was due, at `now` or before. None where there was none or the text cannot be read.
    fn last(&self, now: u64) -> Option<u64> {
        match self {
            When::Every(span) => Some(now - now % (*span).max(1)),
            When::Cron(text) => {
                let at = DateTime::<Utc>::from_timestamp(now as i64, 0)?;
                let last = Cron::from_str(text).ok()?.find_previous_occurrence(&at, true).ok()?;
                u64::try_from(last.timestamp()).ok()
            }
        }
    }
}

impl Schedule {
    /// The number of the run that is due at `now`, if one is. `last`: the last that began; 0 before any did.
    pub fn due(&self, last: u64, now: u64) -> Option<u64> {
        let due = self.when.last(now).filter(|due| *due > last)?;
        let in_time = now - due <= IN_TIME;
        // What was due before it was ever there was not missed.
        (in_time || (self.missed == Missed::Once && last > 0)).then_some(due)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NOON: u64 = 1_764_590_400; // 2025-12-01T12:00:00Z

    fn every(span: u64, missed: Missed) -> Schedule {
        Schedule { when: When::Every(span), missed }
    }

    #[test]
    fn a_time_is_due_once_and_what_was_missed_is_skipped_or_made_up_for_once() {
        let hourly = every(3_600, Missed::Skip);
        assert_eq!(hourly.due(0, NOON + 5), Some(NOON));
        assert_eq!(hourly.due(NOON, NOON + 5), None);
        assert_eq!(hourly.due(NOON - 7_200, NOON + 1_000), None, "missed");
        let made_up = every(3_600, Missed::Once);
        assert_eq!(made_up.due(NOON - 7_200, NOON + 1_000), Some(NOON), "the last one only");
        assert_eq!(made_up.due(0, NOON + 1_000), None, "it was not there before");
    }

    #[test]
    fn a_clock_that_is_set_back_makes_nothing_due_again() {
        assert_eq!(every(60, Missed::Once).due(NOON, NOON - 600), None);
        assert_eq!(every(60, Missed::Once).due(NOON, NOON + 60), Some(NOON + 60));
    }

    #[test]
    fn cron_text_is_read_in_utc_and_faults_are_named() {
        let nightly = Schedule { when: When::Cron("0 3 * * *".into()), missed: Missed::Once };
        let three = NOON - 9 * 3_600;
        assert_eq!(nightly.due(three - 86_400, NOON), Some(three));
        assert_eq!(nightly.due(three, NOON), None);
        assert!(When::Cron("61 * * * *".into()).check().unwrap_err().contains("61"));
        assert!(When::Every(0).check().is_err() && When::Every(1).check().is_ok());
    }
}
