//! The machines and the network between them, moved on event by event.
//!
//! - this file: starting machines, the loop of events, what members want done;
//! - `faults`: carrying out the faults of a scenario;
//! - `shutdown`: servers that drain and go;
//! - `duties`: what machines do about duties;
//! - `queries`: queries of tests and measurements.

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

/// Concurrent runs that each machine can carry.
const CAPACITY: f32 = 8.0;
/// The load at the start, in concurrent runs for each machine.
const INITIAL_LOAD: f64 = 3.0;
/// Duration of the slow start of a server that joins a running fleet, ms.
const SLOW_START_MILLIS: IntegerMillis = 3_000;
/// How often a machine's load is reported to its member, ms.
const LOAD_PERIOD_MILLIS: IntegerMillis = 500;
/// Maximum time between two wake-ups of a machine, ms; and while its server drains.
const MAX_SLEEP_MILLIS: IntegerMillis = 500;
const MAX_SLEEP_WHILE_DRAINING_MILLIS: IntegerMillis = 100;
/// Lines of the log that are shown with a violation.
const SHOWN_LOG_LINES: usize = 60;

/// A request of an operator, and its response.
pub struct OperatorCall {
    /// The request.
    pub id: FleetRequestId,
    /// The machines that it is about.
    pub machines: Vec<MachineId>,
    /// None while there is no response.
    pub response: Option<FleetResponse>,
}

/// A line of the log.
pub struct LogEntry {
    /// The simulated time, ms.
    pub at: IntegerMillis,
    /// What happened.
    pub text: String,
}

impl fmt::Display for LogEntry {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{:>8} {}", self.at, self.text)
    }
}

/// A fleet in virtual time.
pub struct Simulation {
    /// What the fleet is made of.
    pub config: SimulationConfig,
    /// The simulated time, ms.
    pub now: IntegerMillis,
    /// All machines, by their numbers.
    pub machines: Vec<Machine>,
    /// What must hold after every event.
    pub invariants: InvariantChecker,
    rng: SmallRng,
    queue: EventQueue,
    network: Network,
    /// Concurrent runs for each machine there is.
    load: f64,
    /// Requests of operators.
    pub operator_calls: Vec<OperatorCall>,
    /// What has happened.
    pub log: Vec<LogEntry>,
}

impl Simulation {
    /// All machines started, and the fleet created by the first.
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
        // So that no machine has a slow start at first.
        simulation.machines.iter_mut().for_each(|machine| machine.started_at = 0);
        let node = simulation.machines[0].node.as_mut().expect("it was started");
        node.bootstrap(0).expect("a fleet is created");
        simulation
    }

    /// What a machine's own clock shows.
    pub fn local_time(&self, machine: MachineId) -> IntegerMillis {
        self.machines[machine].local_time(self.now)
    }

    /// Starts a machine's server, unless it runs.
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

    /// Runs a scenario as far as `until`, and goes on until then.
    ///
    /// # Errors
    /// An invariant was broken.
    pub fn run(&mut self, scenario: &Scenario, until: IntegerMillis) -> Result<(), InvariantViolation> {
        for (at, fault) in scenario.steps.iter().filter(|(at, _)| *at <= until) {
            self.run_until(*at)?;
            self.inject(fault);
        }
        self.run_until(until)
    }

    /// Moves on to a moment, one event after the other.
    ///
    /// # Errors
    /// An invariant was broken.
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

    /// Handles one event; returns the machine that has done something.
    fn handle_event(&mut self, event: Event, at: IntegerMillis) -> Option<MachineId> {
        match event {
            Event::Message { to, bytes } => self.deliver(to, bytes),
            Event::Start(machine) => {
                self.start(machine);
                Some(machine)
            }
            Event::LateEffect { machine, duty, token } => {
                if self.machines[machine].node.is_some() {
                    self.invariants.effect(machine, &duty, token);
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

    /// Does what is due on a machine, unless it is dead or has another wake-up time by now; one that is stopped does it when it
    /// goes on.
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

    /// A machine's load: the fleet's is spread evenly over those that serve.
    fn load_report(&self, id: MachineId) -> LoadReport {
        let serving = self.serving_count().max(1);
        let machine = &self.machines[id];
        let part = (self.load * self.machines.len() as f64 / serving as f64) as f32;
        let is_starting = self.now < machine.started_at + SLOW_START_MILLIS && machine.started_at > 0;
        let fill = part / CAPACITY;
        LoadReport {
            phase: if is_starting { Phase::Cold } else { Phase::Serving },
            share: machine.forced_share.unwrap_or((1.0 / fill).min(1.0)),
            hold_time_ratio: fill,
            limit: CAPACITY,
            running: part.min(CAPACITY),
            cores: CAPACITY,
            healthy: !is_starting,
        }
    }

    /// Carries out what a machine's member wants done.
    fn carry_out_effects(&mut self, id: MachineId) {
        let Some(node) = &mut self.machines[id].node else { return };
        for effect in node.take_effects() {
            match effect {
                Effect::Send { to, bytes, .. } => self.send(id, &to, bytes),
                Effect::Drain(ticket) => {
                    let drain = Drain { since: self.now, ticket: Some(ticket) };
                    self.machines[id].drain.get_or_insert(drain);
                    self.invariants.departed(Departure { machine: id, ticket, at: self.now });
                    self.log(format!("n{id} leaves by ticket {ticket}"));
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
