//! Arrivals and cancellations: an arriving request is rejected, waits for the result of the request that it
//! duplicates, or is queued.
//!
//! Connects the rules and fixes the order in which an arrival is checked. Times are in ms.

use super::Controller;
use super::deadlines;
use super::key_retention::KeyRetention;
use super::load_shedding::RejectionScope;
use super::queue::{QueueKey, weight_per_work};
use super::request::{Request, RequestStage};
use crate::interface::{Action, Arrival, Class, Idempotency, RequestAttributes, RequestId};
use crate::time::micros;

impl Controller {
    /// Queues an arriving request, unless its deadline is too near, it is a duplicate, or a shutdown or a
    /// lack of memory keeps it from running; checked in this order.
    pub(super) fn request_arrived(&mut self, arrival: &Arrival, out: &mut Vec<Action>) {
        let Arrival { id, ref attributes, original } = *arrival;
        let Some(class) = self.settings.classes.get(attributes.class).cloned() else {
            out.push(Action::Fail(id));
            return;
        };
        self.memory.record_size(attributes.memory_kb);
        self.share.record_read_delay(attributes.age);
        self.idle_timeout.record_arrival(attributes.caller, self.now);
        let request = self.new_request(id, attributes, &class);
        // Rule 2 (no effect twice): a duplicate of a request that may have run is never run.
        let is_duplicate = original.is_some() && KeyRetention::new(&self.settings).shares_result(&class);
        if request.deadline - self.now <= self.deadlines.margin() {
            let response =
                if is_duplicate { Action::Fail(id) } else { self.rejection(id, RejectionScope::ThisServer) };
            out.push(response);
            return;
        }
        self.memory.add_queued(request.memory_kb);
        if is_duplicate {
            self.await_result(id, request, out);
        } else if self.cannot_run(&request, &class) {
            self.memory.remove_queued(request.memory_kb);
            let rejection = self.rejection(id, RejectionScope::ThisServer);
            out.push(rejection);
        } else {
            self.retain_key(arrival, &request, &class, out);
            self.requests.insert(id, request);
            self.enqueue(id);
        }
    }

    fn new_request(&mut self, id: RequestId, attributes: &RequestAttributes, class: &Class) -> Request {
        let arrived_at = self.now - attributes.age;
        let has_caller_deadlines = self.settings.has_caller_deadlines;
        let deadline = deadlines::caller_deadline(attributes, class, self.now, has_caller_deadlines);
        let deadline = deadline.min(self.shutdown.respond_by()).max(self.now);
        let estimated_work = attributes.estimated_work.unwrap_or(0.0);
        let objective = self.objective.time_for(attributes, class, estimated_work);
        Request {
            class: attributes.class,
            memory_kb: attributes.memory_kb,
            arrived_at,
            deadline,
            objective_at: (arrived_at + objective).min(deadline),
            is_over_quota: self.quotas.is_exceeded(attributes.tenant, &self.settings, self.now),
            is_retry: attributes.is_retry,
            expected_run: self.run_estimates.expected_run(attributes.class, attributes.estimated_work),
            estimated_work,
            queue_key: QueueKey::unqueued(id),
            ..Request::default()
        }
    }

    fn await_result(&mut self, id: RequestId, mut request: Request, out: &mut Vec<Action>) {
        request.stage = RequestStage::AwaitingResult;
        self.deadlines.schedule(self.deadlines.respond_by(request.deadline), id);
        self.requests.insert(id, request);
        out.push(Action::ReuseResult(id));
    }

    /// Rule 3 (safe shutdown): a request that arrived after the grace period is not run. Rule 2 (no effect
    /// twice): a keyed request is not run if there is no memory to retain its key.
    fn cannot_run(&self, request: &Request, class: &Class) -> bool {
        let is_keyed = class.idempotency == Idempotency::ByKey;
        let lacks_key_memory = is_keyed && self.memory.would_exceed_with_key(self.retained_keys.len());
        lacks_key_memory || self.shutdown.is_after_intake(request.arrived_at)
    }

    fn retain_key(&mut self, arrival: &Arrival, request: &Request, class: &Class, out: &mut Vec<Action>) {
        let time_left = request.deadline - self.now;
        let ttl = KeyRetention::new(&self.settings).ttl(class, arrival.attributes.age, time_left);
        if let Some(ttl) = ttl {
            self.retained_keys.add(arrival.id, micros(self.now + ttl));
            out.push(Action::RetainKey { id: arrival.id, ttl });
        }
    }

    /// Queues a request and schedules its check for the time when it can no longer meet its objective.
    pub(super) fn enqueue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let priority_weight = self.settings.classes[request.class].priority_weight;
        let expected_run = request.expected_run;
        let weight = weight_per_work(&self.settings, priority_weight, request.is_over_quota, expected_run);
        request.queue_key = QueueKey::new(weight, request.objective_at, id);
        self.queue.insert(request.queue_key, expected_run);
        let start_by = request.objective_at - expected_run - self.run_estimates.off_cores(request.class);
        let respond_by = self.deadlines.respond_by(request.deadline);
        self.deadlines.schedule(start_by.min(respond_by), id);
    }

    pub(super) fn request_cancelled(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.is_resolved = true;
        if self.settings.has_cancellations && !request.is_retry {
            let objective = self.settings.classes[request.class].latency_objective;
            let age = self.now - request.arrived_at;
            self.objective.record_cancellation(age, objective, self.settings.batch_interval);
        }
        match request.stage {
            RequestStage::Queued => {
                self.release_key(id, out);
                self.remove(id);
            }
            RequestStage::AwaitingResult => {
                self.remove(id);
            }
            RequestStage::Running => self.preempt(id, out),
            RequestStage::AwaitingCall | RequestStage::Calling => self.call_queue.remove(request.queue_key),
        }
    }
}
