//! The simulation: the machines, the network between them, and the event loop.
//!
//! - this file: starting machines, the event loop, and the effects of the members;
//! - `faults`: injecting the faults of a scenario;
//! - `shutdown`: draining and exit of servers;
//! - `duties`: effects and ownership of duties;
//! - `queries`: the state of the fleet, for tests and benchmarks.

mod duties;
mod faults;
mod queries;
mod shutdown;

use std::fmt;

use loomflow_fleet::command::FleetResponse;
use loomflow_fleet::member::{FleetRequestId, LoadReport, Phase};
use loomflow_fleet::node::{Effect, Node};
use loomflow_fleet::time::IntegerMillis;
use loomflow_fleet::wire::LENGTH_BYTES;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::config::{MachineId, SimulationConfig, machine_of};
use crate::event_queue::{Event, EventQueue};
use crate::invariants::{Departure, InvariantChecker, InvariantViolation};
use crate::machine::{Drain, Machine};
use crate::network::Network;
use crate::scenario::Scenario;

/// Concurrency limit of each machine, in runs.
const CAPACITY: f32 = 8.0;
/// Initial load of the fleet, in concurrent runs per machine.
const INITIAL_LOAD: f64 = 3.0;
/// Duration of the slow start after a restart, ms.
const SLOW_START_MILLIS: IntegerMillis = 3_000;
/// Interval between two load reports of a machine to its member, ms.
const LOAD_PERIOD_MILLIS: IntegerMillis = 500;
/// Maximum time between two wake-ups of a machine, ms.
const MAX_SLEEP_MILLIS: IntegerMillis = 500;
/// Maximum time between two wake-ups of a machine whose server drains, ms.
const MAX_SLEEP_WHILE_DRAINING_MILLIS: IntegerMillis = 100;
/// Maximum number of log lines in the timeline of a violation.
const SHOWN_LOG_LINES: usize = 60;

/// An operator's request with its response.
pub struct OperatorCall {
    /// Id of the request.
    pub id: FleetRequestId,
    /// The machines that the request concerns; empty for a change of a ticket.
    pub machines: Vec<MachineId>,
    /// The response, once it has arrived.
    pub response: Option<FleetResponse>,
}

/// An entry of the simulation's log.
pub struct LogEntry {
    /// Virtual time of the entry, ms.
    pub at: IntegerMillis,
    /// An injected fault, a start or exit of a machine, or a log line of a member.
    pub text: String,
}

impl fmt::Display for LogEntry {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{:>8} {}", self.at, self.text)
    }
}

/// A simulated fleet in virtual time.
pub struct Simulation {
    /// Size and settings of the fleet.
    pub config: SimulationConfig,
    /// Virtual time, ms.
    pub now: IntegerMillis,
    /// All machines, indexed by [`MachineId`].
    pub machines: Vec<Machine>,
    /// Invariants that are checked after every event.
    pub invariants: InvariantChecker,
    rng: SmallRng,
    queue: EventQueue,
    network: Network,
    /// Load of the fleet, in concurrent runs per machine, serving or not.
    load: f64,
    /// Requests submitted by operators, in the order of submission.
    pub operator_calls: Vec<OperatorCall>,
    /// Log of the simulation, in the order of time.
    pub log: Vec<LogEntry>,
}

impl Simulation {
    /// Starts all machines, without slow start, and bootstraps the fleet on the first.
    pub fn new(config: SimulationConfig, seed: u64) -> Simulation {
        let mut rng = SmallRng::seed_from_u64(seed);
        let machines = (0..config.machines).map(|_| Machine::new(&config, &mut rng)).collect();
        let mut simulation = Simulation {
            invariants: InvariantChecker::new(&config),
            now: SLOW_START_MILLIS,
            machines,
            rng,
            queue: EventQueue::default(),
            network: Network::new(),
            load: INITIAL_LOAD,
            operator_calls: Vec::new(),
            log: Vec::new(),
            config,
        };
        let machines = simulation.config.machines;
        (0..machines).for_each(|machine| simulation.start(machine));
        // No slow start at the initial start.
        simulation.machines.iter_mut().for_each(|machine| machine.started_at = 0);
        let node = simulation.machines[0].node.as_mut().expect("machine 0 has been started");
        node.bootstrap(0).expect("machine 0 bootstraps the fleet");
        simulation
    }

    /// Returns the time of a machine's own clock, ms.
    pub fn local_time(&self, machine: MachineId) -> IntegerMillis {
        self.machines[machine].local_time(self.now)
    }

    /// Starts a machine's process, unless it runs.
    pub fn start(&mut self, id: MachineId) {
        if self.machines[id].node.is_some() {
            return;
        }
        let (local_time, seed) = (self.local_time(id), self.rng.random());
        let node_config = self.config.node_config(id, seed, self.now);
        let machine = &mut self.machines[id];
        machine.node = Some(Node::start(node_config, Box::new(machine.disk.clone()), local_time));
        machine.started_at = self.now;
        machine.drain = None;
        machine.has_drained = false;
        machine.wake_at = 0;
        machine.next_load_at = self.now;
        machine.stopped_until = 0;
        self.wake_at(id, self.now);
        self.log(format!("n{id} starts"));
    }

    fn log(&mut self, text: String) {
        self.log.push(LogEntry { at: self.now, text });
    }

    /// Runs until `until`, and injects the scenario's faults up to then at their times.
    ///
    /// # Errors
    /// Returns the first violation of an invariant.
    pub fn run(&mut self, scenario: &Scenario, until: IntegerMillis) -> Result<(), InvariantViolation> {
        for (at, fault) in scenario.steps.iter().filter(|(at, _)| *at <= until) {
            self.run_until(*at)?;
            self.inject(fault);
        }
        self.run_until(until)
    }

    /// Handles all events up to and including `until`, and sets the virtual time to it.
    ///
    /// # Errors
    /// Returns the first violation of an invariant.
    pub fn run_until(&mut self, until: IntegerMillis) -> Result<(), InvariantViolation> {
        while let Some((at, event)) = self.queue.pop_until(until) {
            self.now = self.now.max(at);
            if let Some(active) = self.handle_event(event, at) {
                self.carry_out_effects(active);
                self.check_invariants(active)?;
            }
        }
        self.now = until;
        Ok(())
    }

    /// Handles one event; returns the machine whose member has acted on it, if any.
    fn handle_event(&mut self, event: Event, at: IntegerMillis) -> Option<MachineId> {
        match event {
            Event::Message { to, bytes } => self.deliver(to, bytes),
            Event::Start(machine) => {
                self.start(machine);
                Some(machine)
            }
            Event::LateEffect { machine, duty, token } => {
                if self.machines[machine].node.is_some() {
                    self.invariants.record_effect(machine, &duty, token);
                }
                None
            }
            Event::Wake(machine) => self.wake(machine, at),
        }
    }

    fn check_invariants(&mut self, active: MachineId) -> Result<(), InvariantViolation> {
        let checked = self.invariants.check(active, &self.machines);
        checked.and_then(|()| self.check_one_owner(active)).map_err(|violation| {
            let first = self.log.len().saturating_sub(SHOWN_LOG_LINES);
            let lines: Vec<String> = self.log[first..].iter().map(LogEntry::to_string).collect();
            let timeline = lines.join("\n");
            InvariantViolation { at: self.now, violation, timeline }
        })
    }

    fn deliver(&mut self, to: MachineId, bytes: Vec<u8>) -> Option<MachineId> {
        let stopped_until = self.machines[to].stopped_until;
        if stopped_until > self.now {
            self.queue.push(stopped_until, Event::Message { to, bytes });
            return None;
        }
        let local_time = self.local_time(to);
        let node = self.machines[to].node.as_mut()?;
        let _ = node.handle_message(&bytes[LENGTH_BYTES..], local_time);
        Some(to)
    }

    /// Wakes a machine, unless its process is dead or its wake-up time has changed; a paused process wakes
    /// when it resumes.
    fn wake(&mut self, id: MachineId, at: IntegerMillis) -> Option<MachineId> {
        let machine = &self.machines[id];
        if machine.node.is_none() || machine.wake_at != at {
            return None;
        }
        if machine.is_stopped(self.now) {
            self.wake_at(id, machine.stopped_until);
            return None;
        }
        self.tick(id);
        Some(id)
    }

    fn wake_at(&mut self, id: MachineId, at: IntegerMillis) {
        if self.machines[id].wake_at != at {
            self.machines[id].wake_at = at;
            self.queue.push(at, Event::Wake(id));
        }
    }

    fn tick(&mut self, id: MachineId) {
        let local_time = self.local_time(id);
        if self.now >= self.machines[id].next_load_at {
            self.machines[id].next_load_at = self.now + LOAD_PERIOD_MILLIS;
            let load_report = self.load_report(id);
            if let Some(node) = &mut self.machines[id].node {
                node.set_load(local_time, load_report);
            }
        }
        if let Some(node) = &mut self.machines[id].node {
            node.tick(local_time);
        }
    }

    /// Returns the load report of a machine; the fleet's load is spread evenly over the serving machines.
    fn load_report(&self, id: MachineId) -> LoadReport {
        let serving = self.serving_count().max(1);
        let machine = &self.machines[id];
        let concurrent_runs = (self.load * self.machines.len() as f64 / serving as f64) as f32;
        let is_starting = self.now < machine.started_at + SLOW_START_MILLIS && machine.started_at > 0;
        let fill = concurrent_runs / CAPACITY;
        LoadReport {
            phase: if is_starting { Phase::Cold } else { Phase::Serving },
            share: machine.forced_share.unwrap_or((1.0 / fill).min(1.0)),
            hold_time_ratio: fill,
            limit: CAPACITY,
            running: concurrent_runs.min(CAPACITY),
            cores: CAPACITY,
            healthy: !is_starting,
        }
    }

    /// Carries out the effects that a machine's member has emitted.
    fn carry_out_effects(&mut self, id: MachineId) {
        let Some(node) = &mut self.machines[id].node else { return };
        for effect in node.take_effects() {
            match effect {
                Effect::Send { to, bytes, .. } => self.send(id, &to, bytes),
                Effect::Drain(ticket) => {
                    let drain = Drain { since: self.now, ticket: Some(ticket) };
                    self.machines[id].drain.get_or_insert(drain);
                    self.invariants.record_departure(Departure { machine: id, ticket, at: self.now });
                    self.log(format!("n{id} starts to drain for ticket {ticket}"));
                }
                Effect::Responded(request, response) => {
                    if let Some(call) = self.operator_calls.iter_mut().find(|call| call.id == request) {
                        call.response = Some(response);
                    }
                }
                Effect::Duty(change) => self.ownership_changed(id, change),
                Effect::Log(text) => self.log(format!("n{id}: {text}")),
            }
        }
        self.act_as_owner(id);
        self.continue_shutdown(id);
        self.schedule_next_wake(id);
    }

    fn send(&mut self, from: MachineId, to: &str, bytes: Vec<u8>) {
        let Some(to) = machine_of(to) else { return };
        let sent = &mut self.machines[from].sent;
        sent.messages += 1;
        sent.bytes += bytes.len() as u64;
        for delay in self.network.draw_delays(from, to, &mut self.rng) {
            if to < self.machines.len() {
                self.queue.push(self.now + delay, Event::Message { to, bytes: bytes.clone() });
            }
        }
    }

    fn schedule_next_wake(&mut self, id: MachineId) {
        let machine = &self.machines[id];
        let Some(node) = &machine.node else { return };
        let local_time = machine.local_time(self.now);
        let until_due = node.next_wake().saturating_sub(local_time).max(1);
        let is_draining = machine.drain.is_some();
        let max_sleep = if is_draining { MAX_SLEEP_WHILE_DRAINING_MILLIS } else { MAX_SLEEP_MILLIS };
        self.wake_at(id, self.now + until_due.min(max_sleep));
    }
}
