//! State of the requests that have no response yet or whose run has not ended: their times, stages and the
//! transitions between stages, and the number of requests on the cores.
//!
//! Inputs: events of a request with their times (ms). In each stage a request is counted in one place: the
//! queue, the runs or the calls.

use std::collections::BTreeMap;

use super::queue::QueueKey;
use crate::interface::RequestId;
use crate::time::Millis;

/// The stage of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) enum RequestStage {
    #[default]
    Queued,
    /// A duplicate that gets the result of its original.
    AwaitingResult,
    /// On the cores.
    Running,
    /// Off the cores; the call waits for a permit or a retry.
    AwaitingCall,
    /// Off the cores; an attempt of the call is in flight.
    Calling,
}

impl RequestStage {
    /// Whether the run has not started, so that the request occupies the memory of a queued one.
    pub(super) fn is_before_run(self) -> bool {
        matches!(self, RequestStage::Queued | RequestStage::AwaitingResult)
    }
}

/// A request that the controller tracks.
#[derive(Default)]
pub(super) struct Request {
    /// Index of the class in the settings.
    pub(super) class: usize,
    /// Memory that the request occupies while it is queued, in KB.
    pub(super) memory_kb: f64,
    /// When the request reached the machine.
    pub(super) arrived_at: Millis,
    /// When the caller stops waiting, or earlier in a shutdown.
    pub(super) deadline: Millis,
    /// A response by this time earns the full weight.
    pub(super) objective_at: Millis,
    pub(super) is_over_quota: bool,
    pub(super) is_retry: bool,
    /// Expected time on the cores, without calls.
    pub(super) expected_run: Millis,
    /// Estimated work on one core; 0 without an estimate.
    pub(super) estimated_work: Millis,
    pub(super) queue_key: QueueKey,
    pub(super) stage: RequestStage,
    /// Whether the request has its final response or was cancelled, so that no response is due any more.
    pub(super) is_resolved: bool,
    /// Time from the arrival to the start of the run.
    pub(super) queue_time: Millis,
    /// When the run last started or resumed on the cores.
    pub(super) on_cores_since: Millis,
    /// When the run last left the cores for a call.
    pub(super) off_cores_since: Millis,
    /// Total time off the cores for calls that have ended.
    pub(super) off_cores_time: Millis,
    /// Number of attempts of the current call.
    pub(super) call_attempts: u32,
    /// Total time for which the cores had been stalled when the run started.
    pub(super) stall_time_at_start: Millis,
}

impl Request {
    /// Starts the run; `stall_time` is the total time for which the cores have been stalled.
    fn start_run(&mut self, now: Millis, stall_time: Millis) {
        self.stage = RequestStage::Running;
        self.queue_time = now - self.arrived_at;
        self.on_cores_since = now;
        self.stall_time_at_start = stall_time;
    }

    /// Takes the run off the cores until its call has ended or is skipped.
    fn await_call(&mut self, now: Millis) {
        self.stage = RequestStage::AwaitingCall;
        self.off_cores_since = now;
        self.call_attempts = 0;
    }

    /// Starts an attempt of the call.
    pub(super) fn start_call(&mut self) {
        self.stage = RequestStage::Calling;
        self.call_attempts += 1;
    }

    /// Puts the run back on the cores, with or without the result of its call.
    fn resume_run(&mut self, now: Millis) {
        self.stage = RequestStage::Running;
        self.off_cores_time += now - self.off_cores_since;
        self.on_cores_since = now;
    }

    /// Time on the cores of a run that took `duration`, without the time for which the cores were stalled.
    pub(super) fn run_time(&self, duration: Millis, stall_time: Millis) -> Millis {
        let stall_time = stall_time - self.stall_time_at_start;
        (duration - self.off_cores_time - stall_time).max(0.0)
    }
}

/// The tracked requests by id, and the number of those on the cores.
#[derive(Default)]
pub(super) struct ActiveRequests {
    by_id: BTreeMap<RequestId, Request>,
    /// Number of requests in [`RequestStage::Running`]; a float, since it is compared with limits.
    running: f64,
}

impl ActiveRequests {
    /// The number of requests on the cores.
    pub(super) fn running(&self) -> f64 {
        self.running
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&Request> {
        self.by_id.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.by_id.get_mut(&id)
    }

    /// All requests in ascending order of their ids.
    pub(super) fn iter(&self) -> impl DoubleEndedIterator<Item = (RequestId, &Request)> {
        self.by_id.iter().map(|(id, request)| (*id, request))
    }

    /// Adds a request whose run has not started.
    pub(super) fn insert(&mut self, id: RequestId, request: Request) {
        self.by_id.insert(id, request);
    }

    pub(super) fn remove(&mut self, id: RequestId) -> Option<Request> {
        let request = self.by_id.remove(&id)?;
        if request.stage == RequestStage::Running {
            self.running -= 1.0;
        }
        Some(request)
    }

    /// Starts the run of a request; `stall_time` is the total time for which the cores have been stalled.
    pub(super) fn start_run(&mut self, id: RequestId, now: Millis, stall_time: Millis) -> Option<&Request> {
        let request = self.by_id.get_mut(&id)?;
        request.start_run(now, stall_time);
        self.running += 1.0;
        Some(request)
    }

    /// Takes a run off the cores until its call has ended or is skipped. Returns `None`, without a change, if
    /// the request is not on the cores or no response is due.
    pub(super) fn await_call(&mut self, id: RequestId, now: Millis) -> Option<&Request> {
        let request = self.by_id.get_mut(&id)?;
        if request.stage != RequestStage::Running || request.is_resolved {
            return None;
        }
        request.await_call(now);
        self.running -= 1.0;
        Some(request)
    }

    /// Puts a run back on the cores, with or without the result of its call.
    pub(super) fn resume_run(&mut self, id: RequestId, now: Millis) {
        let Some(request) = self.by_id.get_mut(&id) else { return };
        request.resume_run(now);
        self.running += 1.0;
    }
}

#[cfg(test)]
mod tests;
