//! The simulation: the event loop that connects servers, callers and clients.

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

/// Index of a client's request in [`Fleet::requests`].
type RequestIndex = usize;

/// An event of the simulation.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A client sends a new request.
    NewRequest,
    /// The backoff of a client has elapsed.
    ClientRetry { request: RequestIndex, serial: u32 },
    /// The timeout of a client's attempt has elapsed.
    AttemptTimeout { request: RequestIndex, serial: u32 },
    /// The timeout of a client's request has elapsed.
    ClientTimeout { request: RequestIndex },
    /// An attempt arrives at its server.
    AttemptArrives { attempt: AttemptId },
    /// A caller is notified that its attempt got no connection, or that the connection was lost.
    NoConnection { attempt: AttemptId },
    /// A response arrives at its caller.
    ResponseArrives { attempt: AttemptId, response: ServerResponse, share: f64 },
    /// A timer of one incarnation of a server has fired.
    ServerTimer { server: usize, incarnation: u32, timer: TimerKind },
    /// A fault starts.
    FaultStarts { fault: usize },
    /// A fault ends.
    FaultEnds { fault: usize },
    /// The state of the servers is sampled, every second.
    Sample,
}

/// Timers of a server.
#[derive(Clone, Copy, Debug)]
enum TimerKind {
    /// A job on the cores completes; ignored if the jobs have changed since the timer was set, which
    /// `version` shows.
    Cores { version: u64 },
    /// The next batch of the controller is due.
    Batch,
    /// The timer that the controller has set.
    Wake,
}

/// One caller's attempt at one server.
struct Attempt {
    request: RequestIndex,
    caller: usize,
    server: usize,
    connection: Option<ConnectionId>,
    /// Whether the caller still waits for a response.
    is_open: bool,
    /// Whether the attempt opens a new connection.
    opens_connection: bool,
    /// Whether the request was sent to a server before.
    is_retry: bool,
}

/// A machine with its connection table and, while it is up, its server.
struct Machine {
    server: Option<Server>,
    table: ConnectionTable,
    table_capacity: usize,
    /// Number of starts of the server; timers of earlier incarnations are ignored.
    incarnation: u32,
}

/// A simulated fleet with its callers and clients.
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
    /// Violations of the rules for responses.
    pub violations: Vec<Violation>,
}

impl Fleet {
    /// Creates a simulation in which all servers and callers are up and no connection is open.
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
        fleet.create_machines();
        fleet.schedule_faults();
        fleet.events.schedule(0, Event::NewRequest);
        fleet.events.schedule(SECOND / 2, Event::Sample);
        fleet
    }

    /// Runs until every request has been served, has failed or was abandoned.
    pub fn run(mut self) -> SimulationResults {
        let end = self.setup.duration + self.setup.client_policy.timeout + SECOND;
        while let Some(event) = self.events.pop_before(end) {
            self.handle_event(event);
        }
        let violations = self.checker.violations(end).to_vec();
        SimulationResults { counts: self.counts, violations }
    }

    fn handle_event(&mut self, event: Event) {
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
            Event::ServerTimer { server, incarnation, timer } => {
                self.server_timer_fired(server, incarnation, timer);
            }
            Event::FaultStarts { fault } => self.fault_started(fault),
            Event::FaultEnds { fault } => self.fault_ended(fault),
            Event::Sample => self.sample(),
        }
    }

    fn now(&self) -> SimulationMicros {
        self.events.now()
    }

    /// Schedules an event after a random network delay.
    fn send(&mut self, event: Event) {
        let delay = self.setup.network.delay(&mut self.rng);
        self.events.schedule(self.events.now() + delay, event);
    }
}
