//! The simulation: all parts connected, advanced event by event.

mod calls;
mod faults;
mod machines;

use fastrand::Rng;

use crate::caller::Caller;
use crate::checker::{Checker, Violation};
use crate::client::Request;
use crate::clock::{EventQueue, SECOND, SimulationMicros};
use crate::connections::{ConnectionId, ConnectionTable, Connections};
use crate::cores::AttemptId;
use crate::counts::CountsBySecond;
use crate::server::{Server, ServerResponse};
use crate::setup::Setup;

/// Index of a client's request.
type RequestIndex = usize;

/// An event of the simulation.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A client sends a new request.
    NewRequest,
    /// A client retries after its backoff.
    ClientRetry { request: RequestIndex, serial: u32 },
    /// A client abandons an attempt without a response.
    AttemptTimeout { request: RequestIndex, serial: u32 },
    /// A client abandons its request.
    ClientTimeout { request: RequestIndex },
    /// An attempt arrives at its server.
    AttemptArrives { attempt: AttemptId },
    /// A caller learns that its attempt got no connection, or that the connection broke.
    NoConnection { attempt: AttemptId },
    /// A response arrives at its caller.
    ResponseArrives { attempt: AttemptId, response: ServerResponse, share: f64 },
    /// A timer of a server's incarnation.
    ServerTimer { server: usize, incarnation: u32, due: Due },
    /// A fault begins.
    FaultStarts { fault: usize },
    /// A fault ends.
    FaultCleared { fault: usize },
    /// The state of the servers is sampled, once per second.
    Sample,
}

/// Timers of a server.
#[derive(Clone, Copy, Debug)]
enum Due {
    Cores { version: u64 },
    Batch,
    Wake,
}

/// One caller's attempt at one server.
struct Attempt {
    request: RequestIndex,
    caller: usize,
    server: usize,
    connection: Option<ConnectionId>,
    /// Whether the caller waits for its end.
    is_open: bool,
    /// Whether it opens a new connection.
    opens_connection: bool,
    /// Whether the request was attempted before.
    is_retry: bool,
}

/// A machine: its connection table, and the server while it is up.
struct Machine {
    server: Option<Server>,
    table: ConnectionTable,
    table_bound: usize,
    incarnation: u32,
}

/// The simulation.
pub struct Fleet {
    setup: Setup,
    rng: Rng,
    events: EventQueue<Event>,
    machines: Vec<Machine>,
    callers: Vec<Caller>,
    connections: Connections,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    counts: CountsBySecond,
    checker: Checker,
}

/// Results of a simulation.
pub struct SimulationResults {
    /// Counts by second.
    pub counts: CountsBySecond,
    /// Rules that the servers violated.
    pub violations: Vec<Violation>,
}

impl Fleet {
    /// Creates a simulation with everything up and no connection open.
    pub fn new(setup: Setup) -> Fleet {
        let mut rng = Rng::with_seed(setup.seed);
        let callers =
            (0..setup.callers).map(|_| Caller::new(&setup.caller_policy, setup.servers, &mut rng)).collect();
        let mut fleet = Fleet {
            rng,
            events: EventQueue::default(),
            machines: Vec::new(),
            callers,
            connections: Connections::default(),
            requests: Vec::new(),
            attempts: Vec::new(),
            counts: CountsBySecond::default(),
            checker: Checker::new(setup.client_policy.timeout),
            setup,
        };
        fleet.place_machines();
        fleet.schedule_faults();
        fleet.events.schedule(0, Event::NewRequest);
        fleet.events.schedule(SECOND / 2, Event::Sample);
        fleet
    }

    /// Runs until every request is answered or abandoned.
    pub fn play(mut self) -> SimulationResults {
        let end = self.setup.duration + self.setup.client_policy.timeout + SECOND;
        while let Some(event) = self.events.next_before(end) {
            self.step(event);
        }
        let violations = self.checker.violations(end).to_vec();
        SimulationResults { counts: self.counts, violations }
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::NewRequest => self.send_new_request(),
            Event::ClientRetry { request, serial } => self.retry(request, serial),
            Event::AttemptTimeout { request, serial } => self.attempt_timed_out(request, serial),
            Event::ClientTimeout { request } => self.client_timed_out(request),
            Event::AttemptArrives { attempt } => self.attempt_arrived(attempt),
            Event::NoConnection { attempt } => self.no_connection(attempt),
            Event::ResponseArrives { attempt, response, share } => {
                self.response_received(attempt, response, share);
            }
            Event::ServerTimer { server, incarnation, due } => self.server_due(server, incarnation, due),
            Event::FaultStarts { fault } => self.fault_started(fault),
            Event::FaultCleared { fault } => self.fault_ended(fault),
            Event::Sample => self.sample(),
        }
    }

    fn now(&self) -> SimulationMicros {
        self.events.now()
    }

    /// Schedules an event after the delay of the network.
    fn send(&mut self, event: Event) {
        let delay = self.setup.network.delay(&mut self.rng);
        self.events.schedule(self.events.now() + delay, event);
    }
}
