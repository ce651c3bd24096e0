//! State machine of the runs of an operators' job, without processes: when the owner begins a run, and what it writes to the
//! fleet's state. [`super::supervisor`] decides when the process of a run has to end.
//!
//! The process of a run starts only after the run's number is committed, so a due time has one run, which begins again only
//! if its last attempt failed or did not end.

use super::{DutyName, DutyRejection, OwnedDuty, OwnerUpdate, RunId, Token};
use crate::time::IntegerMillis;

/// Delay before a failed run, or a failed write of its beginning, is retried, ms.
const RETRY_AFTER_MILLIS: IntegerMillis = 1_000;

/// The outcome of a run's process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The process succeeded.
    Done,
    /// The process failed, for this reason.
    Failed(String),
    /// The process was stopped because its owner had to release the duty or lost it. The next owner runs it again.
    OwnershipLost,
}

/// The next action of the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobAction {
    /// Write this update to the fleet's state.
    Write(OwnerUpdate),
    /// Start the process of this run.
    Start(RunId),
    /// Send SIGTERM to the process.
    Terminate,
    /// Release the duty. No process of it is running.
    Release,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    Idle,
    /// The write of [`OwnerUpdate::Began`] awaits its result.
    Beginning(RunId),
    Running {
        run: RunId,
        is_terminating: bool,
    },
}

/// The runs of a duty under one token of its owner.
#[derive(Clone, Debug)]
pub struct JobRuns {
    /// Name of the duty.
    pub duty: DutyName,
    /// The owner's fencing token.
    pub token: Token,
    last_run: RunId,
    has_unfinished_run: bool,
    /// The run that an operator requested has begun, but the owned duty may still show the request.
    is_request_begun: bool,
    retry_at: IntegerMillis,
    state: State,
}

impl JobRuns {
    /// Continues after the last run of the duty, by whichever owner.
    pub fn new(owned: &OwnedDuty) -> JobRuns {
        JobRuns {
            duty: owned.duty.clone(),
            token: owned.token,
            last_run: owned.last_run,
            has_unfinished_run: owned.has_unfinished_run,
            is_request_begun: false,
            retry_at: 0,
            state: State::Idle,
        }
    }

    /// Whether a process is running.
    pub fn is_running(&self) -> bool {
        matches!(self.state, State::Running { .. })
    }

    /// Whether a running process was told to end.
    pub fn is_terminating(&self) -> bool {
        matches!(self.state, State::Running { is_terminating: true, .. })
    }

    /// Returns the next action. `owned` is the duty as it is owned at `now`, `None` if it no longer is; `unix_seconds` is the
    /// wall clock.
    pub fn step(
        &mut self,
        owned: Option<&OwnedDuty>,
        now: IntegerMillis,
        unix_seconds: u64,
    ) -> Option<JobAction> {
        let owned = owned.filter(|owned| owned.token == self.token);
        let must_stop = owned.is_none_or(|owned| owned.is_recalled);
        match &mut self.state {
            State::Running { is_terminating, .. } if must_stop && !*is_terminating => {
                *is_terminating = true;
                Some(JobAction::Terminate)
            }
            State::Idle if must_stop => owned.map(|_| JobAction::Release),
            State::Idle => {
                let owned = owned?;
                self.is_request_begun &= owned.is_run_requested;
                let run = self.due_run(owned, now, unix_seconds)?;
                self.state = State::Beginning(run);
                Some(JobAction::Write(OwnerUpdate::Began(run)))
            }
            _ => None,
        }
    }

    fn due_run(&self, owned: &OwnedDuty, now: IntegerMillis, unix_seconds: u64) -> Option<RunId> {
        if now < self.retry_at {
            return None;
        }
        if self.has_unfinished_run {
            return Some(self.last_run);
        }
        let is_requested = owned.is_run_requested && !self.is_request_begun;
        let scheduled =
            owned.schedule.as_ref().and_then(|schedule| schedule.due_run(self.last_run, unix_seconds));
        scheduled.or_else(|| is_requested.then(|| unix_seconds.max(self.last_run + 1)))
    }

    /// Handles the result of writing [`OwnerUpdate::Began`]; `None` if the result is unknown.
    pub fn begin_result(
        &mut self,
        result: Option<&Result<(), DutyRejection>>,
        owned: Option<&OwnedDuty>,
        now: IntegerMillis,
    ) -> Option<JobAction> {
        let State::Beginning(run) = self.state else { return None };
        self.state = State::Idle;
        match result {
            Some(Ok(())) => {
                self.last_run = run;
                self.has_unfinished_run = true;
                self.is_request_begun = true;
                let is_owned = owned.is_some_and(|owned| owned.token == self.token && !owned.is_recalled);
                if !is_owned {
                    return None;
                }
                self.state = State::Running { run, is_terminating: false };
                Some(JobAction::Start(run))
            }
            Some(Err(DutyRejection::Begun { run, .. })) => {
                self.last_run = *run;
                self.has_unfinished_run = false;
                None
            }
            _ => {
                self.retry_at = now + RETRY_AFTER_MILLIS;
                None
            }
        }
    }

    /// Handles the end of the process of the current run.
    pub fn process_ended(&mut self, exit: Exit, now: IntegerMillis) -> Option<JobAction> {
        let State::Running { run, .. } = self.state else { return None };
        self.state = State::Idle;
        match exit {
            Exit::Done => {
                self.has_unfinished_run = false;
                Some(JobAction::Write(OwnerUpdate::Done(run)))
            }
            Exit::Failed(reason) => {
                self.retry_at = now + RETRY_AFTER_MILLIS;
                Some(JobAction::Write(OwnerUpdate::Failed(run, reason)))
            }
            Exit::OwnershipLost => None,
        }
    }
}

#[cfg(test)]
mod tests;
