//! A server: the controller, the cores, and the requests in progress.
//!
//! A state machine driven by arrivals and timers; its effects are [`Output`]s.

use std::collections::{BTreeMap, VecDeque};

use loomflow::controller::Controller;
use loomflow::interface::{
    Action, Arrival, AttemptOutcome, Event, Gauges, Load, RequestAttributes, Settings,
};
use loomflow::time::Millis;

use crate::clock::{MILLISECOND, SECOND, SimulationMicros, from_millis, to_millis};
use crate::cores::{AttemptId, Cores, Job};
use crate::settings::MIN_BATCH_INTERVAL;
use crate::setup::{IdlePolicy, ServerSetup};

/// Window over which the utilization of the cores is measured.
const UTILIZATION_WINDOW: SimulationMicros = SECOND / 2;
/// Idle timeout of connections under [`IdlePolicy::CloseImmediately`].
const IMMEDIATE_IDLE_TIMEOUT: SimulationMicros = 50 * MILLISECOND;
/// Maximum fill of the connection table under [`IdlePolicy::CloseWhenFull`], 0 to 1.
const MAX_TABLE_FILL: f64 = 0.75;
/// Memory of a request, KB; memory is never short in this model.
const REQUEST_KB: f64 = 10.0;

/// A request that arrives at a server.
#[derive(Clone, Copy, Debug)]
pub struct IncomingRequest {
    /// Id of the caller's attempt.
    pub attempt: AttemptId,
    /// Index of the caller.
    pub caller: usize,
    /// Whether the request arrives on a new connection, which needs a handshake.
    pub is_new_connection: bool,
    /// Whether the request was sent to a server before, in this attempt of the client or an earlier one.
    pub is_retry: bool,
    /// Work of a run, ms on one core.
    pub work: Millis,
    /// Work as estimated by the caller, ms on one core.
    pub estimated_work: Millis,
}

/// Final response to an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerResponse {
    /// The request ran to its end.
    Served,
    /// The request was rejected and never ran.
    Rejected {
        /// How long the caller should back off.
        retry_after: SimulationMicros,
        /// Whether no other server should be tried.
        is_final: bool,
    },
    /// The controller failed the request.
    Failed,
}

/// An effect of a server, carried out by the simulation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Output {
    /// Sends a final response.
    Response {
        /// The attempt that the response is for.
        attempt: AttemptId,
        /// The outcome of the request.
        response: ServerResponse,
        /// The server's send share, 0 to 1.
        share: f64,
    },
    /// Calls [`Server::cores_timer_fired`] at this time with this version.
    CoresAt(SimulationMicros, u64),
    /// Calls [`Server::batch_timer_fired`] at this time.
    BatchAt(SimulationMicros),
    /// Calls [`Server::wake_timer_fired`] at this time.
    WakeAt(SimulationMicros),
}

/// Progress of a request until it is submitted to the controller.
#[derive(Clone, Copy, PartialEq)]
enum IntakeStage {
    Unread,
    Reading,
    /// Read, and submitted to the controller.
    Submitted,
}

struct RequestEntry {
    incoming: IncomingRequest,
    arrived_at: SimulationMicros,
    stage: IntakeStage,
    /// Whether a response was sent or is no longer expected, while the request still runs.
    is_closed: bool,
    run_started_at: SimulationMicros,
}

/// One incarnation of a server.
pub struct Server {
    controller: Controller,
    setup: ServerSetup,
    cores: Cores,
    /// Incremented when the next completion changes; cores timers with an earlier version are ignored.
    cores_version: u64,
    unread: VecDeque<AttemptId>,
    /// Number of requests being read.
    reading: usize,
    requests: BTreeMap<AttemptId, RequestEntry>,
    /// Events for the controller's next batch.
    inbox: Vec<Event>,
    batch_at: Option<SimulationMicros>,
    last_batch: SimulationMicros,
    share: f64,
    idle_timeout: SimulationMicros,
    started_at: SimulationMicros,
    is_slow_start: bool,
    /// Remaining speed of the cores under a fault, 0 to 1.
    fault_speed: f64,
    /// Current speed of the cores, from slow start, faults and the fill of the connection table.
    speed: f64,
    /// Samples of the busy time of the cores over the last [`UTILIZATION_WINDOW`].
    busy_samples: VecDeque<(SimulationMicros, Millis)>,
}

impl Server {
    /// Starts a server at full speed; a slow start takes effect with the first wake timer.
    pub fn start(setup: &ServerSetup, settings: Settings, seed: u64, now: SimulationMicros) -> Server {
        let idle_timeout = match setup.idle_policy {
            IdlePolicy::CloseImmediately => IMMEDIATE_IDLE_TIMEOUT,
            IdlePolicy::Controller | IdlePolicy::NeverClose | IdlePolicy::CloseWhenFull => {
                from_millis(settings.idle_timeout)
            }
        };
        let is_slow_start = settings.is_slow_start;
        Server {
            controller: Controller::new(settings, seed, to_millis(now)),
            setup: setup.clone(),
            cores: Cores::new(setup.cores, now),
            cores_version: 0,
            unread: VecDeque::new(),
            reading: 0,
            requests: BTreeMap::new(),
            inbox: Vec::new(),
            batch_at: None,
            last_batch: now,
            share: 1.0,
            idle_timeout,
            started_at: now,
            is_slow_start,
            fault_speed: 1.0,
            speed: 1.0,
            busy_samples: VecDeque::new(),
        }
    }

    /// Returns the current idle timeout of connections.
    pub fn idle_timeout(&self) -> SimulationMicros {
        self.idle_timeout
    }

    /// Returns the fill of the connection table above which the connections idle for longest are closed.
    pub fn max_table_fill(&self) -> f64 {
        if self.setup.idle_policy == IdlePolicy::CloseWhenFull { MAX_TABLE_FILL } else { 1.0 }
    }

    /// Returns the load as measured by the controller.
    pub fn load(&self) -> Load {
        self.controller.load()
    }

    /// Returns the utilization of the cores over the last 500 ms, 0 to 1; 0 before two samples exist.
    pub fn utilization(&self) -> f64 {
        let (Some((from, before)), Some((to, after))) = (self.busy_samples.front(), self.busy_samples.back())
        else {
            return 0.0;
        };
        if to > from { (after - before) / to_millis(to - from) } else { 0.0 }
    }

    /// Returns the number of requests that wait to be read.
    pub fn unread_count(&self) -> usize {
        self.unread.len()
    }

    /// Sets the remaining speed under a fault, 0 to 1, which takes effect with the next wake timer.
    pub fn set_fault_speed(&mut self, fault_speed: f64) {
        self.fault_speed = fault_speed;
    }

    /// Queues a request that arrives; it is read at once if fewer requests are being read than there are
    /// cores.
    pub fn request_arrived(
        &mut self,
        now: SimulationMicros,
        incoming: IncomingRequest,
        out: &mut Vec<Output>,
    ) {
        let entry = RequestEntry {
            incoming,
            arrived_at: now,
            stage: IntakeStage::Unread,
            is_closed: false,
            run_started_at: now,
        };
        self.requests.insert(incoming.attempt, entry);
        self.unread.push_back(incoming.attempt);
        if self.read_next(now) {
            self.schedule_cores(out);
        }
    }

    /// Handles the disconnect of an attempt's caller; a request submitted to the controller is cancelled.
    pub fn caller_disconnected(&mut self, now: SimulationMicros, attempt: AttemptId, out: &mut Vec<Output>) {
        match self.requests.get(&attempt).map(|request| request.stage) {
            // A request that is being read is read to its end: the disconnect is noticed only then.
            Some(IntakeStage::Unread | IntakeStage::Reading) => {
                self.requests.remove(&attempt);
            }
            Some(IntakeStage::Submitted) => {
                self.close_request(attempt);
                self.inbox.push(Event::RequestCancelled(attempt));
                self.schedule_batch(now, out);
            }
            None => {}
        }
    }

    /// Handles a cores timer: removes the completed jobs, unless `version` is outdated.
    pub fn cores_timer_fired(&mut self, now: SimulationMicros, version: u64, out: &mut Vec<Output>) {
        if version != self.cores_version {
            return;
        }
        while let Some(job) = self.cores.take_completed(now) {
            match job {
                Job::Read(attempt) => self.read_done(now, attempt, out),
                Job::Run(attempt) => self.run_done(now, attempt, AttemptOutcome::Ok, out),
            }
        }
        self.read_next(now);
        self.schedule_cores(out);
    }

    /// Handles a batch timer: ends the batch, if it is due.
    pub fn batch_timer_fired(&mut self, now: SimulationMicros, out: &mut Vec<Output>) {
        if self.batch_at.is_some_and(|at| at <= now) {
            self.batch(now, out);
        }
    }

    /// Handles the controller's timer: updates the speed of the cores, and ends a batch with current gauges.
    pub fn wake_timer_fired(
        &mut self,
        now: SimulationMicros,
        table_fill: f64,
        connections: usize,
        out: &mut Vec<Output>,
    ) {
        self.update_speed(now, table_fill, out);
        self.sample_utilization(now);
        let gauges = Gauges {
            core_utilization: Some(self.utilization()),
            runnable: Some(self.cores.job_count() as f64),
            memory_utilization: None,
            connections: Some(connections as f64),
        };
        self.inbox.push(Event::TimerFired(gauges));
        self.batch(now, out);
    }

    fn read_done(&mut self, now: SimulationMicros, attempt: AttemptId, out: &mut Vec<Output>) {
        self.reading -= 1;
        let Some(request) = self.requests.get_mut(&attempt) else { return };
        request.stage = IntakeStage::Submitted;
        let arrival = arrival(&request.incoming, to_millis(now - request.arrived_at));
        self.inbox.push(Event::RequestArrived(arrival));
        self.schedule_batch(now, out);
    }

    fn run_done(
        &mut self,
        now: SimulationMicros,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.remove(&attempt) else { return };
        if outcome == AttemptOutcome::Ok && !request.is_closed {
            out.push(Output::Response { attempt, response: ServerResponse::Served, share: self.share });
        }
        let duration = to_millis(now - request.run_started_at);
        self.inbox.push(Event::RunEnded { id: attempt, outcome, duration });
        self.schedule_batch(now, out);
    }

    /// Starts to read waiting requests, at most one per core at a time; returns whether any read was started.
    fn read_next(&mut self, now: SimulationMicros) -> bool {
        let mut has_started = false;
        while (self.reading as f64) < self.setup.cores {
            let Some(attempt) = self.unread.pop_front() else { break };
            let Some(request) = self.requests.get_mut(&attempt) else { continue };
            request.stage = IntakeStage::Reading;
            let handshake = if request.incoming.is_new_connection { self.setup.handshake_work } else { 0.0 };
            self.cores.add(now, Job::Read(attempt), self.setup.read_work + handshake);
            self.reading += 1;
            has_started = true;
        }
        has_started
    }

    fn schedule_cores(&mut self, out: &mut Vec<Output>) {
        self.cores_version += 1;
        if let Some(at) = self.cores.next_completion() {
            out.push(Output::CoresAt(at, self.cores_version));
        }
    }

    fn schedule_batch(&mut self, now: SimulationMicros, out: &mut Vec<Output>) {
        if self.batch_at.is_none() {
            let at = now.max(self.last_batch + MIN_BATCH_INTERVAL);
            self.batch_at = Some(at);
            out.push(Output::BatchAt(at));
        }
    }

    /// Passes the events of the batch to the controller, and carries out its actions.
    fn batch(&mut self, now: SimulationMicros, out: &mut Vec<Output>) {
        self.batch_at = None;
        self.last_batch = now;
        let mut actions = Vec::new();
        for event in std::mem::take(&mut self.inbox) {
            self.controller.event(to_millis(now), event, &mut actions);
        }
        self.controller.decide(to_millis(now), &mut actions);
        let jobs_before = self.cores.job_count();
        let mut cores_changed = false;
        for action in actions {
            cores_changed |= self.carry_out(now, action, out);
        }
        if cores_changed || self.cores.job_count() != jobs_before {
            self.schedule_cores(out);
        }
    }

    /// Carries out an action of the controller; returns whether it changed the jobs on the cores.
    fn carry_out(&mut self, now: SimulationMicros, action: Action, out: &mut Vec<Output>) -> bool {
        match action {
            Action::Run(id) => return self.run(now, id),
            Action::Preempt(id) => return self.preempt(now, id, out),
            Action::Reject { id, retry_after, is_final } => {
                self.respond(
                    id,
                    ServerResponse::Rejected { retry_after: from_millis(retry_after), is_final },
                    out,
                );
            }
            Action::Fail(id) => self.respond(id, ServerResponse::Failed, out),
            Action::SetSignal(share) => self.share = share,
            Action::SetIdleTimeout(timeout) if self.setup.idle_policy == IdlePolicy::Controller => {
                self.idle_timeout = from_millis(timeout);
            }
            Action::SetTimer(at) => out.push(Output::WakeAt(from_millis(at))),
            // Baselines ignore the controller's idle timeout. The model has no downstream calls, result cache
            // or health checks.
            _ => {}
        }
        false
    }

    fn run(&mut self, now: SimulationMicros, id: AttemptId) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        request.run_started_at = now;
        self.cores.add(now, Job::Run(id), request.incoming.work);
        true
    }

    fn preempt(&mut self, now: SimulationMicros, id: AttemptId, out: &mut Vec<Output>) -> bool {
        let was_running = self.cores.remove(now, Job::Run(id));
        if was_running {
            self.run_done(now, id, AttemptOutcome::Cancelled, out);
        }
        was_running
    }

    /// Sends a final response and closes the request.
    fn respond(&mut self, attempt: AttemptId, response: ServerResponse, out: &mut Vec<Output>) {
        out.push(Output::Response { attempt, response, share: self.share });
        self.close_request(attempt);
    }

    /// Closes a request, after which no response is sent. A request that still runs is tracked until its run
    /// ends.
    fn close_request(&mut self, attempt: AttemptId) {
        if self.cores.contains(Job::Run(attempt)) {
            self.requests.entry(attempt).and_modify(|request| request.is_closed = true);
        } else {
            self.requests.remove(&attempt);
        }
    }

    /// Updates the speed of the cores from slow start, faults and the fill of the connection table.
    fn update_speed(&mut self, now: SimulationMicros, table_fill: f64, out: &mut Vec<Output>) {
        let excess_fill = (table_fill - self.setup.table_cost_from) / (1.0 - self.setup.table_cost_from);
        let table_factor = 1.0 - self.setup.table_cost * excess_fill.clamp(0.0, 1.0);
        let speed = self.slow_start_speed(now) * self.fault_speed * table_factor;
        if speed != self.speed {
            self.speed = speed;
            self.cores.set_speed(now, speed);
            self.schedule_cores(out);
        }
    }

    fn slow_start_speed(&self, now: SimulationMicros) -> f64 {
        if !self.is_slow_start {
            return 1.0;
        }
        let progress = (now - self.started_at) as f64 / self.setup.slow_start_duration.max(1) as f64;
        self.setup.slow_start_speed + (1.0 - self.setup.slow_start_speed) * progress.min(1.0)
    }

    /// Samples the utilization of the cores.
    fn sample_utilization(&mut self, now: SimulationMicros) {
        let busy_time = self.cores.busy_time(now);
        self.busy_samples.push_back((now, busy_time));
        while self.busy_samples.len() > 2 && self.busy_samples[1].0 + UTILIZATION_WINDOW <= now {
            self.busy_samples.pop_front();
        }
    }
}

fn arrival(incoming: &IncomingRequest, age: Millis) -> Arrival {
    Arrival {
        id: incoming.attempt,
        attributes: RequestAttributes {
            class: 0,
            tenant: 0,
            remaining_wait: 0.0,
            estimated_work: Some(incoming.estimated_work),
            memory_kb: REQUEST_KB,
            rank: 0.5,
            is_retry: incoming.is_retry,
            caller: incoming.caller as u64,
            age,
            upstream_time: 0.0,
        },
        original: None,
    }
}
