//! The operators' jobs, decided without a process: when an owner begins a run, and what it writes about it. When the process
//! of a run has to end is decided by [`super::supervisor`].
//!
//! A run begins only when its number is committed: so no time is run twice.

use super::{DutyName, DutyRejection, OwnedDuty, OwnerUpdate, RunId, Token};
use crate::time::IntegerMillis;

/// A run that failed is retried after this, ms.
const RETRY_AFTER_MILLIS: IntegerMillis = 1_000;

/// How a run's process ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Exit {
    /// It succeeded.
    Done,
    /// It failed; with the reason.
    Failed(String),
    /// Its owner was to release the duty, or lost it: the run is the next owner's.
    OwnershipLost,
}

/// What the owner is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobAction {
    /// Write this into the fleet's state.
    Write(OwnerUpdate),
    /// Start the process of this run.
    Start(RunId),
    /// Send the process SIGTERM.
    Terminate,
    /// Release the duty: no process runs any more.
    Release,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    Idle,
    /// The beginning of a run is to be committed.
    Beginning(RunId),
    Running {
        run: RunId,
        is_terminating: bool,
    },
}

/// The runs of one duty under one token.
#[derive(Clone, Debug)]
pub struct JobRuns {
    /// The duty.
    pub duty: DutyName,
    /// The owner's fencing token.
    pub token: Token,
    last_run: RunId,
    has_unfinished_run: bool,
    /// The operator's request was taken up, and what is owned does not show it yet.
    is_request_taken: bool,
    retry_at: IntegerMillis,
    state: State,
}

impl JobRuns {
    /// Continues from the former runs of the duty.
    pub fn new(owned: &OwnedDuty) -> JobRuns {
        JobRuns {
            duty: owned.duty.clone(),
            token: owned.token,
            last_run: owned.last_run,
            has_unfinished_run: owned.has_unfinished_run,
            is_request_taken: false,
            retry_at: 0,
            state: State::Idle,
        }
    }

    /// Whether a process runs.
    pub fn is_running(&self) -> bool {
        matches!(self.state, State::Running { .. })
    }

    /// Whether a process runs that has to end.
    pub fn is_terminating(&self) -> bool {
        matches!(self.state, State::Running { is_terminating: true, .. })
    }

    /// What is to be done now. `owned`: what is owned, none where it no longer is. `unix_seconds`: the wall clock.
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
                self.is_request_taken &= owned.is_run_requested;
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
        let is_requested = owned.is_run_requested && !self.is_request_taken;
        let scheduled =
            owned.schedule.as_ref().and_then(|schedule| schedule.due_run(self.last_run, unix_seconds));
        scheduled.or_else(|| is_requested.then(|| unix_seconds.max(self.last_run + 1)))
    }

    /// The answer to writing that a run begins; none where nothing is known.
    pub fn begin_answered(
        &mut self,
        answer: Option<&Result<(), DutyRejection>>,
        owned: Option<&OwnedDuty>,
        now: IntegerMillis,
    ) -> Option<JobAction> {
        let State::Beginning(run) = self.state else { return None };
        self.state = State::Idle;
        match answer {
            Some(Ok(())) => {
                self.last_run = run;
                self.has_unfinished_run = true;
                self.is_request_taken = true;
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

    /// The process of the run has ended.
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
