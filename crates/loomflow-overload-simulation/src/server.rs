//! A server: the controller, its cores, and the requests that wait to be read.
//!
//! A state machine that takes arrivals and timers and returns [`Output`]s.

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
/// Part of the connection table that may stay in use under [`IdlePolicy::CloseWhenFull`].
const MAX_TABLE_FILL: f64 = 0.75;
/// Memory of a request, KB; memory is never short in this model.
const REQUEST_KB: f64 = 10.0;

/// A request that arrives at a server.
#[derive(Clone, Copy, Debug)]
pub struct IncomingRequest {
    /// The caller's attempt.
    pub attempt: AttemptId,
    /// The caller.
    pub caller: usize,
    /// Whether it opened a new connection.
    pub is_new_connection: bool,
    /// Whether its caller or its client attempted it before.
    pub is_retry: bool,
    /// Work, ms on one core.
    pub work: Millis,
    /// Work as its caller estimates it, ms on one core.
    pub estimated_work: Millis,
}

/// Final response to an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerResponse {
    /// Served.
    Served,
    /// Rejected; it never ran.
    Rejected {
        /// How long the caller should back off.
        retry_after: SimulationMicros,
        /// Whether no other server should be tried.
        is_final: bool,
    },
    /// Failed.
    Failed,
}

/// Effects of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Output {
    /// A response is sent, with the server's send share.
    Answer {
        /// The attempt.
        attempt: AttemptId,
        /// The response.
        response: ServerResponse,
        /// The send share, 0 to 1.
        share: f64,
    },
    /// `cores_due` is to be called at this time, with this version.
    CoresAt(SimulationMicros, u64),
    /// `batch_due` is to be called at this time.
    BatchAt(SimulationMicros),
    /// `wake_due` is to be called at this time.
    WakeAt(SimulationMicros),
}

/// How far a request has come toward the controller.
#[derive(Clone, Copy, PartialEq)]
enum IntakeStage {
    Unread,
    Reading,
    /// Known to the controller.
    Taken,
}

struct RequestEntry {
    incoming: IncomingRequest,
    reached: SimulationMicros,
    stage: IntakeStage,
    answered: bool,
    began: SimulationMicros,
}

/// One incarnation of a server.
pub struct Server {
    controller: Controller,
    setup: ServerSetup,
    cores: Cores,
    cores_version: u64,
    unread: VecDeque<AttemptId>,
    reading: usize,
    requests: BTreeMap<AttemptId, RequestEntry>,
    inbox: Vec<Event>,
    batch_at: Option<SimulationMicros>,
    last_batch: SimulationMicros,
    share: f64,
    idle_timeout: SimulationMicros,
    started: SimulationMicros,
    is_slow_start: bool,
    /// Remaining speed under a fault, 0 to 1.
    fault_speed: f64,
    speed: f64,
    /// Busy time of the cores at the last ticks.
    busy: VecDeque<(SimulationMicros, Millis)>,
}

impl Server {
    /// Starts a server.
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
            started: now,
            is_slow_start,
            fault_speed: 1.0,
            speed: 1.0,
            busy: VecDeque::new(),
        }
    }

    /// Current idle timeout of connections.
    pub fn idle_timeout(&self) -> SimulationMicros {
        self.idle_timeout
    }

    /// Part of its table above which the longest idle connections are closed.
    pub fn max_table_fill(&self) -> f64 {
        if self.setup.idle_policy == IdlePolicy::CloseWhenFull { MAX_TABLE_FILL } else { 1.0 }
    }

    /// The load as the controller measures it.
    pub fn load(&self) -> Load {
        self.controller.load()
    }

    /// Utilization of the cores over the last window; 0 before the first.
    pub fn busy(&self) -> f64 {
        let (Some((from, before)), Some((to, after))) = (self.busy.front(), self.busy.back()) else {
            return 0.0;
        };
        if to > from { (after - before) / to_millis(to - from) } else { 0.0 }
    }

    /// Number of requests that wait to be read.
    pub fn unread(&self) -> usize {
        self.unread.len()
    }

    /// Changes the remaining speed under a fault, 0 to 1.
    pub fn set_fault_speed(&mut self, fault_speed: f64) {
        self.fault_speed = fault_speed;
    }

    /// A request arrives.
    pub fn reached(&mut self, now: SimulationMicros, incoming: IncomingRequest, out: &mut Vec<Output>) {
        let requests =
            RequestEntry { incoming, reached: now, stage: IntakeStage::Unread, answered: false, began: now };
        self.requests.insert(incoming.attempt, requests);
        self.unread.push_back(incoming.attempt);
        if self.read_next(now) {
            self.schedule_cores(out);
        }
    }

    /// The caller of an attempt closed its connection.
    pub fn caller_disconnected(&mut self, now: SimulationMicros, attempt: AttemptId, out: &mut Vec<Output>) {
        match self.requests.get(&attempt).map(|request| request.stage) {
            // A request that is being read is read to its end: only then the disconnect is noticed.
            Some(IntakeStage::Unread | IntakeStage::Reading) => {
                self.requests.remove(&attempt);
            }
            Some(IntakeStage::Taken) => {
                self.unanswerable(attempt);
                self.inbox.push(Event::RequestCancelled(attempt));
                self.schedule_batch(now, out);
            }
            None => {}
        }
    }

    /// A job on the cores may be finished.
    pub fn cores_due(&mut self, now: SimulationMicros, version: u64, out: &mut Vec<Output>) {
        if version != self.cores_version {
            return;
        }
        while let Some(job) = self.cores.take_done(now) {
            match job {
                Job::Read(attempt) => self.was_read(now, attempt, out),
                Job::Run(attempt) => self.run_done(now, attempt, AttemptOutcome::Ok, out),
            }
        }
        self.read_next(now);
        self.schedule_cores(out);
    }

    /// The next batch is due.
    pub fn batch_due(&mut self, now: SimulationMicros, out: &mut Vec<Output>) {
        if self.batch_at.is_some_and(|at| at <= now) {
            self.batch(now, out);
        }
    }

    /// The controller's timer has fired.
    pub fn wake_due(
        &mut self,
        now: SimulationMicros,
        table_fill: f64,
        connections: usize,
        out: &mut Vec<Output>,
    ) {
        self.update_speed(now, table_fill, out);
        self.measure(now);
        let gauges = Gauges {
            core_utilization: Some(self.busy()),
            runnable: Some(self.cores.jobs() as f64),
            memory_utilization: None,
            connections: Some(connections as f64),
        };
        self.inbox.push(Event::TimerFired(gauges));
        self.batch(now, out);
    }

    fn was_read(&mut self, now: SimulationMicros, attempt: AttemptId, out: &mut Vec<Output>) {
        self.reading -= 1;
        let Some(request) = self.requests.get_mut(&attempt) else { return };
        request.stage = IntakeStage::Taken;
        let arrival = arrival(&request.incoming, to_millis(now - request.reached));
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
        if outcome == AttemptOutcome::Ok && !request.answered {
            out.push(Output::Answer { attempt, response: ServerResponse::Served, share: self.share });
        }
        let took = to_millis(now - request.began);
        self.inbox.push(Event::RunEnded { id: attempt, outcome, duration: took });
        self.schedule_batch(now, out);
    }

    /// Starts to read waiting requests, one per core; returns whether any was started.
    fn read_next(&mut self, now: SimulationMicros) -> bool {
        let mut any = false;
        while (self.reading as f64) < self.setup.cores {
            let Some(attempt) = self.unread.pop_front() else { break };
            let Some(request) = self.requests.get_mut(&attempt) else { continue };
            request.stage = IntakeStage::Reading;
            let handshake = if request.incoming.is_new_connection { self.setup.handshake_work } else { 0.0 };
            self.cores.add(now, Job::Read(attempt), self.setup.read_work + handshake);
            self.reading += 1;
            any = true;
        }
        any
    }

    fn schedule_cores(&mut self, out: &mut Vec<Output>) {
        self.cores_version += 1;
        if let Some(at) = self.cores.next_done() {
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

    /// Passes the events since the last batch to the controller, and carries out its actions.
    fn batch(&mut self, now: SimulationMicros, out: &mut Vec<Output>) {
        self.batch_at = None;
        self.last_batch = now;
        let mut actions = Vec::new();
        for event in std::mem::take(&mut self.inbox) {
            self.controller.event(to_millis(now), event, &mut actions);
        }
        self.controller.decide(to_millis(now), &mut actions);
        let jobs = self.cores.jobs();
        let mut cores_changed = false;
        for action in actions {
            cores_changed |= self.carry_out(now, action, out);
        }
        if cores_changed || self.cores.jobs() != jobs {
            self.schedule_cores(out);
        }
    }

    /// Carries out an action; returns whether it changed the jobs on the cores.
    fn carry_out(&mut self, now: SimulationMicros, action: Action, out: &mut Vec<Output>) -> bool {
        match action {
            Action::Run(id) => return self.run(now, id),
            Action::Preempt(id) => return self.stop(now, id, out),
            Action::Reject { id, retry_after, is_final } => {
                self.response(
                    id,
                    ServerResponse::Rejected { retry_after: from_millis(retry_after), is_final },
                    out,
                );
            }
            Action::Fail(id) => self.response(id, ServerResponse::Failed, out),
            Action::SetSignal(share) => self.share = share,
            Action::SetIdleTimeout(span) if self.setup.idle_policy == IdlePolicy::Controller => {
                self.idle_timeout = from_millis(span);
            }
            Action::SetTimer(at) => out.push(Output::WakeAt(from_millis(at))),
            // Baselines ignore the idle timeout of the controller. The model has no downstream calls, result cache or
            // health checks.
            _ => {}
        }
        false
    }

    fn run(&mut self, now: SimulationMicros, id: AttemptId) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        request.began = now;
        self.cores.add(now, Job::Run(id), request.incoming.work);
        true
    }

    fn stop(&mut self, now: SimulationMicros, id: AttemptId, out: &mut Vec<Output>) -> bool {
        let was_running = self.cores.remove(now, Job::Run(id));
        if was_running {
            self.run_done(now, id, AttemptOutcome::Cancelled, out);
        }
        was_running
    }

    /// Sends the final response.
    fn response(&mut self, attempt: AttemptId, response: ServerResponse, out: &mut Vec<Output>) {
        out.push(Output::Answer { attempt, response, share: self.share });
        self.unanswerable(attempt);
    }

    /// No response is due any more. A request that still runs is tracked until its run ends.
    fn unanswerable(&mut self, attempt: AttemptId) {
        if self.cores.has(Job::Run(attempt)) {
            self.requests.entry(attempt).and_modify(|request| request.answered = true);
        } else {
            self.requests.remove(&attempt);
        }
    }

    fn update_speed(&mut self, now: SimulationMicros, table_fill: f64, out: &mut Vec<Output>) {
        let over = (table_fill - self.setup.table_cost_from) / (1.0 - self.setup.table_cost_from);
        let table = 1.0 - self.setup.table_cost * over.clamp(0.0, 1.0);
        let speed = self.slow_start_speed(now) * self.fault_speed * table;
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
        let warmed = (now - self.started) as f64 / self.setup.slow_start_duration.max(1) as f64;
        self.setup.slow_start_speed + (1.0 - self.setup.slow_start_speed) * warmed.min(1.0)
    }

    /// Samples the utilization of the cores.
    fn measure(&mut self, now: SimulationMicros) {
        let busy = self.cores.busy_time(now);
        self.busy.push_back((now, busy));
        while self.busy.len() > 2 && self.busy[1].0 + UTILIZATION_WINDOW <= now {
            self.busy.pop_front();
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
