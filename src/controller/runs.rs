//! Start and end of runs, and what the ends show about the server.
//!
//! Wires the rules: it passes values on, and fixes the order in which a start is judged. Times are in ms.

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

    /// Starts the next run, or sheds it if it is hopeless; returns whether another run may start.
    fn start_or_shed(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        if self.is_hopeless(request, 0.0) {
            self.shed(id, RejectionScope::AllServers, out);
            return true;
        }
        let needed_kb = self.memory.needed_for_run(request.memory_kb);
        let misses_objective = self.forecast(request, 0.0).misses_objective(self.now);
        let has_memory = self.reclaim_memory(needed_kb, Some(id), out);
        if has_memory {
            self.start_run(id, out);
        } else if misses_objective {
            // It was spared as the only one in the queue while cores were idle.
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
            && self.limit.survives_one_more(self.requests.running(), off_cores, speed)
    }

    pub(super) fn forecast(&self, request: &Request, wait: Millis) -> Forecast {
        let expected_time = self.run_estimates.expected_time(request);
        Forecast { wait, expected_time, objective_at: request.objective_at }
    }

    /// Whether a queued request is to be rejected that would start after `wait`.
    pub(super) fn is_hopeless(&self, request: &Request, wait: Millis) -> bool {
        let has_idle_cores = self.gauges.runnable.is_some_and(|runnable| runnable < self.settings.cores);
        let starts_on_idle_cores = has_idle_cores && self.queue.len() <= 1 && self.may_start();
        self.forecast(request, wait).is_hopeless(self.now, starts_on_idle_cores)
    }

    pub(super) fn run_ended(&mut self, id: RequestId, outcome: AttemptOutcome, duration: Millis) {
        if outcome != AttemptOutcome::NotStarted {
            self.stall_detector.record_progress(self.now);
        }
        let Some(request) = self.remove(id) else { return };
        if request.stage == RequestStage::Calling {
            // It was answered before, and its call is abandoned with it.
            self.call_permits.occupy_until_lingered(self.now);
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

    /// Removes a request from everything that counts it.
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
        if self.is_stalled_now() {
            self.shed_queue(out);
        }
    }

    /// Judges whether the cores are stalled. Without runs there is nothing to judge by, and late reading
    /// explains why no end was reported.
    fn is_stalled_now(&mut self) -> bool {
        let has_progress = self.stall_detector.has_progress_within(self.share.max_read_delay(), self.now);
        let is_judged = self.requests.running() != 0.0 && !has_progress && !self.share.is_reading_late();
        is_judged && self.stall_detector.update(self.overdue_ends())
    }

    fn shed_queue(&mut self, out: &mut Vec<Action>) {
        while let Some(last) = self.queue.last() {
            self.shed(last, RejectionScope::AllServers, out);
        }
    }

    /// How many runs ought to have ended since the last one did. Everything runnable shares the cores
    /// alike, reads and new connections too.
    fn overdue_ends(&self) -> f64 {
        let runnable = self.gauges.runnable.unwrap_or(0.0).max(self.requests.running());
        let runs = self.requests.iter().filter(|(_, request)| request.stage == RequestStage::Running);
        let ends: f64 = runs.map(|(_, request)| self.overdue_ends_of(request)).sum();
        ends * (self.settings.cores / runnable).min(1.0)
    }

    fn overdue_ends_of(&self, request: &Request) -> f64 {
        let usual_run = self.run_estimates.usual_run(request);
        usual_run.map_or(0.0, |run| self.stall_detector.overdue_ends(run, request.on_cores_since, self.now))
    }
}
