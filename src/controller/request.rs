//! The state of each request that has no response yet, or whose run has not ended: its times, its stage and
//! the steps between stages; and how many of them are on the cores.
//!
//! Inputs: events of the request with their times (ms). Each stage belongs to one account: the queue, the
//! runs, or the calls.

use std::collections::BTreeMap;

use super::queue::QueueKey;
use crate::interface::RequestId;
use crate::time::Millis;

/// How far a request has come.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) enum RequestStage {
    #[default]
    Queued,
    /// Waits for, or is served from, the result of another request.
    AwaitingResult,
    Running,
    /// Off the cores; its call waits for a permit or a retry.
    AwaitingCall,
    /// Off the cores; its call is in flight.
    Calling,
}

impl RequestStage {
    /// Whether the run has not started: the request takes the memory of a queued one.
    pub(super) fn is_before_run(self) -> bool {
        matches!(self, RequestStage::Queued | RequestStage::AwaitingResult)
    }
}

/// A request.
#[derive(Default)]
pub(super) struct Request {
    /// Index of its class.
    pub(super) class: usize,
    /// Memory while it is queued.
    pub(super) memory_kb: f64,
    /// When it reached the machine.
    pub(super) arrived_at: Millis,
    /// Its caller waits no longer.
    pub(super) deadline: Millis,
    /// A response by then earns the full weight.
    pub(super) objective_at: Millis,
    pub(super) is_over_quota: bool,
    pub(super) is_retry: bool,
    /// Expected time on the cores, without calls.
    pub(super) expected_run: Millis,
    /// Its estimated work on one core; 0 without an estimate.
    pub(super) estimated_work: Millis,
    pub(super) queue_key: QueueKey,
    pub(super) stage: RequestStage,
    /// No response is due any more.
    pub(super) is_answered: bool,
    /// Time from its arrival to the start of its run.
    pub(super) queue_time: Millis,
    /// When it last came on the cores.
    pub(super) on_cores_since: Millis,
    /// When it last left the cores for its call.
    pub(super) off_cores_since: Millis,
    /// How long it was off the cores before.
    pub(super) off_cores_time: Millis,
    /// Attempts of its present call.
    pub(super) call_attempts: u32,
    /// How long the cores had been stalled in all when its run started.
    pub(super) stall_time_before: Millis,
}

impl Request {
    /// Its run starts; the cores have been stalled for `stall_time` in all.
    fn start_run(&mut self, now: Millis, stall_time: Millis) {
        self.stage = RequestStage::Running;
        self.queue_time = now - self.arrived_at;
        self.on_cores_since = now;
        self.stall_time_before = stall_time;
    }

    /// Its run needs a call, and leaves the cores.
    fn await_call(&mut self, now: Millis) {
        self.stage = RequestStage::AwaitingCall;
        self.off_cores_since = now;
        self.call_attempts = 0;
    }

    /// Its call is made.
    pub(super) fn start_call(&mut self) {
        self.stage = RequestStage::Calling;
        self.call_attempts += 1;
    }

    /// Its run is back on the cores, with or without the result of its call.
    fn resume_run(&mut self, now: Millis) {
        self.stage = RequestStage::Running;
        self.off_cores_time += now - self.off_cores_since;
        self.on_cores_since = now;
    }

    /// Time on the cores of a run that took `duration`; while the cores were stalled nothing is counted.
    pub(super) fn run_time(&self, duration: Millis, stall_time: Millis) -> Millis {
        let stall_time = stall_time - self.stall_time_before;
        (duration - self.off_cores_time - stall_time).max(0.0)
    }
}

/// The requests by id. Those on the cores are counted by the steps that put them there and take them off.
#[derive(Default)]
pub(super) struct ActiveRequests {
    by_id: BTreeMap<RequestId, Request>,
    /// Requests in [`RequestStage::Running`]; a float, since it is compared with limits.
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

    /// All requests, from the lowest id to the highest.
    pub(super) fn iter(&self) -> impl DoubleEndedIterator<Item = (RequestId, &Request)> {
        self.by_id.iter().map(|(id, request)| (*id, request))
    }

    /// Adds a request that has not started.
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

    /// The run of a request starts; the cores have been stalled for `stall_time` in all.
    pub(super) fn start_run(&mut self, id: RequestId, now: Millis, stall_time: Millis) -> Option<&Request> {
        let request = self.by_id.get_mut(&id)?;
        request.start_run(now, stall_time);
        self.running += 1.0;
        Some(request)
    }

    /// A run needs a call, and leaves the cores. `None` if it is not on them, or no response is due.
    pub(super) fn await_call(&mut self, id: RequestId, now: Millis) -> Option<&Request> {
        let request = self.by_id.get_mut(&id)?;
        if request.stage != RequestStage::Running || request.is_answered {
            return None;
        }
        request.await_call(now);
        self.running -= 1.0;
        Some(request)
    }

    /// A run is back on the cores, with or without the result of its call.
    pub(super) fn resume_run(&mut self, id: RequestId, now: Millis) {
        let Some(request) = self.by_id.get_mut(&id) else { return };
        request.resume_run(now);
        self.running += 1.0;
    }
}

#[cfg(test)]
mod tests;
