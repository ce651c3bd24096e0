//! The parts of a play wired to each other, moved on event by event.

mod calls;
mod faults;
mod machines;

use fastrand::Rng;

use crate::caller::Caller;
use crate::checker::{Checker, Violation};
use crate::client::Request;
use crate::clock::{EventQueue, Micros, SECOND};
use crate::connections::{ConnectionId, ConnectionTable, Connections};
use crate::cores::AttemptId;
use crate::ledger::Ledger;
use crate::server::{Answer, Server};
use crate::setup::Setup;

/// The number of a client's request.
type RequestIndex = usize;

/// What happens next, and to whom.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A client asks for something new.
    Ask,
    /// A client tries again after a pause.
    TryAgain { request: RequestIndex, serial: u32 },
    /// A client leaves a try that got no answer.
    PatienceOver { request: RequestIndex, serial: u32 },
    /// A client gives up.
    GiveUp { request: RequestIndex },
    /// An attempt reaches its server.
    Reaches { attempt: AttemptId },
    /// A caller hears that its attempt got no connection, or that the connection broke.
    NoConnection { attempt: AttemptId },
    /// An answer reaches its caller.
    AnswerReaches { attempt: AttemptId, answer: Answer, share: f64 },
    /// A moment that a server asked for, in that one of its lives.
    Due { server: usize, life: u32, due: Due },
    /// A fault begins.
    FaultBegins { fault: usize },
    /// A fault is over.
    FaultEnds { fault: usize },
    /// Once a second the state of the servers is noted.
    Sample,
}

/// What a server asked to be called for.
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
    /// The caller waits for its end.
    open: bool,
    /// Its connection is new with it.
    opens_connection: bool,
    /// The request was attempted before.
    retry: bool,
}

/// A machine: its connection table, and the server while it is up.
struct Machine {
    server: Option<Server>,
    table: ConnectionTable,
    table_bound: usize,
    life: u32,
}

/// The whole play.
pub struct Fleet {
    setup: Setup,
    rng: Rng,
    events: EventQueue<Event>,
    machines: Vec<Machine>,
    callers: Vec<Caller>,
    connections: Connections,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    ledger: Ledger,
    checker: Checker,
}

/// What came of a play.
pub struct Outcome {
    /// Second by second.
    pub ledger: Ledger,
    /// What the servers did against the rules.
    pub violations: Vec<Violation>,
}

impl Fleet {
    /// Everything up, no connection open, nothing asked yet.
    pub fn new(setup: Setup) -> Fleet {
        let mut rng = Rng::with_seed(setup.seed);
        let callers =
            (0..setup.callers).map(|_| Caller::new(&setup.habits, setup.servers, &mut rng)).collect();
        let mut fleet = Fleet {
            rng,
            events: EventQueue::default(),
            machines: Vec::new(),
            callers,
            connections: Connections::default(),
            requests: Vec::new(),
            attempts: Vec::new(),
            ledger: Ledger::default(),
            checker: Checker::new(setup.clients.give_up),
            setup,
        };
        fleet.place_machines();
        fleet.schedule_faults();
        fleet.events.schedule(0, Event::Ask);
        fleet.events.schedule(SECOND / 2, Event::Sample);
        fleet
    }

    /// Plays to the end: until every client that asked has its answer or has given up.
    pub fn play(mut self) -> Outcome {
        let end = self.setup.length + self.setup.clients.give_up + SECOND;
        while let Some(event) = self.events.next_before(end) {
            self.step(event);
        }
        let violations = self.checker.violations(end).to_vec();
        Outcome { ledger: self.ledger, violations }
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Ask => self.ask(),
            Event::TryAgain { request, serial } => self.try_again(request, serial),
            Event::PatienceOver { request, serial } => self.patience_over(request, serial),
            Event::GiveUp { request } => self.give_up(request),
            Event::Reaches { attempt } => self.reaches(attempt),
            Event::NoConnection { attempt } => self.no_connection(attempt),
            Event::AnswerReaches { attempt, answer, share } => self.answer_reaches(attempt, answer, share),
            Event::Due { server, life, due } => self.server_due(server, life, due),
            Event::FaultBegins { fault } => self.fault_begins(fault),
            Event::FaultEnds { fault } => self.fault_ends(fault),
            Event::Sample => self.sample(),
        }
    }

    fn now(&self) -> Micros {
        self.events.now()
    }

    /// Schedules what the network brings after its delay.
    fn send(&mut self, event: Event) {
        let delay = self.setup.network.delay(&mut self.rng);
        self.events.schedule(self.events.now() + delay, event);
    }
}
