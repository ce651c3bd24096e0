//! Start and end of runs, and the estimates that are updated when a run ends.
//!
//! Connects the rules and fixes the order of the checks before a start. Times are in ms.

use super::Controller;
use super::load_shedding::{Forecast, RejectionScope};
use super::request::{Request, RequestStage};
use crate::interface::{Action, AttemptOutcome, RequestId};
use crate::time::Millis;

impl Controller {
    /// Starts runs while the limit, the survivable concurrency and the memory allow them.
    pub(super) fn start_runs(&mut self, out: &mut Vec<Action>) {
        self.limit.cap();
        while self.may_start() {
            let has_backlog = self.queue.has_backlog(self.settings.cores, self.share.setpoint());
            let is_overloaded = self.share.is_overloaded() || has_backlog;
            let Some(id) = self.queue.next(is_overloaded) else { return };
            if !self.start_or_shed(id, out) {
                return;
            }
        }
    }

    /// Starts the run of a request if there is memory for it, or sheds the request if it would miss its
    /// objective; returns whether another run may start.
    fn start_or_shed(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        if self.should_shed(request, 0.0) {
            self.shed(id, RejectionScope::AllServers, out);
            return true;
        }
        let needed_kb = self.memory.needed_for_run(request.memory_kb);
        let misses_objective = self.forecast(request, 0.0).misses_objective(self.now);
        let has_memory = self.reclaim_memory(needed_kb, Some(id), out);
        if has_memory {
            self.start_run(id, out);
        } else if misses_objective {
            // The request was kept as the only one in the queue while cores were idle.
            self.shed(id, RejectionScope::AllServers, out);
        }
        has_memory
    }

    fn start_run(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let stall_time = self.stall_detector.stall_time();
        let Some(request) = self.requests.start_run(id, self.now, stall_time) else { return };
        self.memory.start_run(request.memory_kb);
        self.queue.remove(request.queue_key, request.expected_run);
        out.push(Action::Run(id));
    }

    /// The limit on concurrent runs that is in effect.
    pub(super) fn run_limit(&self) -> f64 {
        self.limit.effective(self.share.is_reading_late())
    }

    fn may_start(&self) -> bool {
        let waiting = self.call_queue.waiting();
        let off_cores = self.call_permits.in_flight() + waiting;
        let speed = self.slow_start.speed(self.now);
        self.requests.running() + waiting < self.run_limit()
            && self.limit.allows_one_more(self.requests.running(), off_cores, speed)
    }

    pub(super) fn forecast(&self, request: &Request, wait: Millis) -> Forecast {
        let expected_time = self.run_estimates.expected_time(request);
        Forecast { wait, expected_time, objective_at: request.objective_at }
    }

    /// Whether to shed a queued request that would start after `wait`.
    pub(super) fn should_shed(&self, request: &Request, wait: Millis) -> bool {
        let has_idle_cores = self.gauges.runnable.is_some_and(|runnable| runnable < self.settings.cores);
        let starts_on_idle_cores = has_idle_cores && self.queue.len() <= 1 && self.may_start();
        self.forecast(request, wait).should_reject(self.now, starts_on_idle_cores)
    }

    pub(super) fn run_ended(&mut self, id: RequestId, outcome: AttemptOutcome, duration: Millis) {
        if outcome != AttemptOutcome::NotStarted {
            self.stall_detector.record_progress(self.now);
        }
        let Some(request) = self.remove(id) else { return };
        if request.stage == RequestStage::Calling {
            // No response to the request is due any more; its call is abandoned with the run.
            self.call_permits.hold_permit_while_lingering(self.now);
        }
        let has_run = matches!(outcome, AttemptOutcome::Ok | AttemptOutcome::Error);
        if has_run && request.stage != RequestStage::AwaitingResult {
            self.record_run(&request, outcome == AttemptOutcome::Ok, duration);
        }
    }

    fn record_run(&mut self, request: &Request, has_succeeded: bool, duration: Millis) {
        let run_time = request.run_time(duration, self.stall_detector.stall_time());
        if has_succeeded {
            self.run_estimates.record(request, run_time);
        }
        let objective = self.settings.classes[request.class].latency_objective;
        self.share.record_run(has_succeeded, request.queue_time, objective);
        let (is_late, has_queue) = (run_time > objective, !self.queue.is_empty());
        self.limit.run_finished(self.now, is_late, has_queue, &self.gauges);
    }

    /// Removes a request from all accounts: tracked requests, queue or calls, and memory.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<Request> {
        let request = self.requests.remove(id)?;
        match request.stage {
            RequestStage::Queued => self.queue.remove(request.queue_key, request.expected_run),
            RequestStage::AwaitingResult | RequestStage::Running => {}
            RequestStage::AwaitingCall => self.call_queue.remove(request.queue_key),
            RequestStage::Calling => self.call_permits.release(),
        }
        if request.stage.is_before_run() {
            self.memory.remove_queued(request.memory_kb);
        } else {
            self.memory.remove_running(request.memory_kb);
        }
        Some(request)
    }

    /// Sheds the queue while the cores are stalled.
    pub(super) fn check_stall(&mut self, out: &mut Vec<Action>) {
        if self.detect_stall() {
            self.shed_queue(out);
        }
    }

    /// Updates the stall detector and returns whether the cores are stalled. Without runs on the cores there
    /// is nothing to measure, and late reading explains why no completion was reported.
    fn detect_stall(&mut self) -> bool {
        let has_progress = self.stall_detector.has_progress_within(self.share.max_read_delay(), self.now);
        let may_be_stalled = self.requests.running() != 0.0 && !has_progress && !self.share.is_reading_late();
        may_be_stalled && self.stall_detector.update(self.overdue_completions())
    }

    fn shed_queue(&mut self, out: &mut Vec<Action>) {
        while let Some(last) = self.queue.last() {
            self.shed(last, RejectionScope::AllServers, out);
        }
    }

    /// How many runs should have completed since the last progress. All runnable tasks share the cores
    /// equally, reads and new connections included.
    fn overdue_completions(&self) -> f64 {
        let runnable = self.gauges.runnable.unwrap_or(0.0).max(self.requests.running());
        let runs = self.requests.iter().filter(|(_, request)| request.stage == RequestStage::Running);
        let completions: f64 = runs.map(|(_, request)| self.overdue_completions_of(request)).sum();
        completions * (self.settings.cores / runnable).min(1.0)
    }

    fn overdue_completions_of(&self, request: &Request) -> f64 {
        let usual_run = self.run_estimates.usual_run(request);
        usual_run
            .map_or(0.0, |run| self.stall_detector.overdue_completions(run, request.on_cores_since, self.now))
    }
}
