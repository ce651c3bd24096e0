//! What must hold after every event. It relies on what processes did; of the fleet's own state it only compares what two members
//! that must agree hold.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use loomflow_fleet::consensus::StateMachine as _;
use loomflow_fleet::duty::fence::Fence;
use loomflow_fleet::duty::{DutyName, Token};
use loomflow_fleet::maintenance::ticket::{TicketId, TicketStage};
use loomflow_fleet::time::IntegerMillis;

use crate::config::{MachineId, SimulationConfig};
use crate::machine::Machine;

/// What was broken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// More machines are out than the rules allow.
    #[error("{} are out at once, {limit} may be: {out:?}", .out.len())]
    TooManyOut {
        /// Those that are out, with the tickets by which.
        out: BTreeMap<MachineId, TicketId>,
        /// How many may be.
        limit: usize,
    },
    /// A machine left on a ticket that no voter knows to have begun.
    #[error("n{machine} left by ticket {ticket} and nobody knows that it began")]
    NotBegun {
        /// The machine.
        machine: MachineId,
        /// Its ticket.
        ticket: TicketId,
    },
    /// Two leaders in one term.
    #[error("n{first} and n{second} lead in term {term}")]
    TwoLeaders {
        /// Who led first.
        first: MachineId,
        /// Who leads now.
        second: MachineId,
        /// In which term.
        term: u64,
    },
    /// Two voters have applied the same entries and hold different states.
    #[error("n{machine} holds another state at {index}")]
    DifferentState {
        /// The second of them.
        machine: MachineId,
        /// The index of the last entry.
        index: u64,
    },
    /// Two machines act with one fencing token.
    #[error("token {token} of {duty} is n{first}'s and n{second}'s")]
    SharedToken {
        /// The duty.
        duty: DutyName,
        /// The token.
        token: Token,
        /// Who used it first.
        first: MachineId,
        /// Who uses it now.
        second: MachineId,
    },
    /// The fence admitted an effect of a former owner.
    #[error("{duty}: token {token} was let in after {highest}")]
    StaleEffect {
        /// The duty.
        duty: DutyName,
        /// The token of the effect.
        token: Token,
        /// The highest token before.
        highest: Token,
    },
    /// Several machines own a duty by their own clocks.
    #[error("{duty} has owners {owners:?} at once")]
    SeveralOwners {
        /// The duty.
        duty: DutyName,
        /// The machines.
        owners: Vec<MachineId>,
    },
}

/// A violation with its moment, and what happened before.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("at {at} ms: {violation}\n{timeline}")]
pub struct InvariantViolation {
    /// When, in simulated time.
    pub at: IntegerMillis,
    /// What was broken.
    pub violation: Violation,
    /// The last lines of the log.
    pub timeline: String,
}

/// A machine left by a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    /// The machine.
    pub machine: MachineId,
    /// Its ticket.
    pub ticket: TicketId,
    /// When.
    pub at: IntegerMillis,
}

/// Checks the invariants.
pub struct InvariantChecker {
    max_out: usize,
    /// Machines that left by a ticket and are not back, with it.
    out: BTreeMap<MachineId, TicketId>,
    /// Tickets that an operator gave up: their machines are the operator's business.
    abandoned: BTreeSet<TicketId>,
    /// Leader of each group and term.
    leaders: BTreeMap<(u64, u64), MachineId>,
    /// Hash of the state at each index of each group's log.
    state_hashes: BTreeMap<(u64, u64), u64>,
    /// The index at which each machine's state was last compared.
    compared_index: BTreeMap<MachineId, u64>,
    /// Departures that were not yet looked up in the log.
    unchecked_departures: Vec<Departure>,
    /// Every departure.
    pub departures: Vec<Departure>,
    /// Whether states are compared as well; costly in large fleets.
    pub compares_states: bool,
    /// Whether clocks keep to the bound on drift, so that a duty has one owner by all clocks.
    pub expects_one_owner: bool,
    /// What receives the owners' effects.
    pub receiver: Receiver,
}

/// Receives effects behind a fence, and judges the fence by what it admitted.
#[derive(Default)]
pub struct Receiver {
    fence: Fence,
    /// The highest token that was admitted, by duty.
    highest: BTreeMap<DutyName, Token>,
    /// Whose each token is.
    owners: BTreeMap<Token, MachineId>,
    /// Effects that were admitted.
    pub accepted: u64,
    /// Effects of former owners that were refused.
    pub rejected: u64,
    violation: Option<Violation>,
}

impl Receiver {
    fn receive(&mut self, machine: MachineId, duty: &str, token: Token) {
        let first = *self.owners.entry(token).or_insert(machine);
        if first != machine {
            let duty = duty.to_owned();
            self.violation.get_or_insert(Violation::SharedToken { duty, token, first, second: machine });
        }
        let highest = self.highest.entry(duty.to_owned()).or_default();
        match self.fence.admit(duty, token, |_| Ok::<(), ()>(())) {
            Ok(()) if token < *highest => {
                let (duty, highest) = (duty.to_owned(), *highest);
                self.violation.get_or_insert(Violation::StaleEffect { duty, token, highest });
            }
            Ok(()) => {
                *highest = token;
                self.accepted += 1;
            }
            Err(_) => self.rejected += 1,
        }
    }
}

impl InvariantChecker {
    /// For one fleet.
    pub(crate) fn new(config: &SimulationConfig) -> InvariantChecker {
        InvariantChecker {
            max_out: config.rules.max_out.resolve(config.machines as u32) as usize,
            out: BTreeMap::new(),
            abandoned: BTreeSet::new(),
            leaders: BTreeMap::new(),
            state_hashes: BTreeMap::new(),
            compared_index: BTreeMap::new(),
            unchecked_departures: Vec::new(),
            departures: Vec::new(),
            compares_states: true,
            expects_one_owner: true,
            receiver: Receiver::default(),
        }
    }

    /// A machine leaves by a ticket.
    pub(crate) fn departed(&mut self, departure: Departure) {
        self.out.insert(departure.machine, departure.ticket);
        self.unchecked_departures.push(departure);
        self.departures.push(departure);
    }

    /// A machine acts as the owner of a duty.
    pub(crate) fn effect(&mut self, machine: MachineId, duty: &str, token: Token) {
        self.receiver.receive(machine, duty, token);
    }

    /// A machine's process has ended: its state begins anew.
    pub(crate) fn process_ended(&mut self, machine: MachineId) {
        self.compared_index.remove(&machine);
    }

    /// An operator gives a ticket's machine up.
    pub(crate) fn abandoned(&mut self, ticket: TicketId) {
        self.abandoned.insert(ticket);
    }

    /// Checks the machine that has just done something, and all that are out.
    pub(crate) fn check(&mut self, active: MachineId, machines: &[Machine]) -> Result<(), Violation> {
        self.check_out(machines)?;
        for departure in std::mem::take(&mut self.unchecked_departures) {
            check_begun(departure, machines)?;
        }
        if let Some(violation) = self.receiver.violation.take() {
            return Err(violation);
        }
        self.check_leader(active, machines)?;
        self.check_state(active, machines)
    }

    fn check_out(&mut self, machines: &[Machine]) -> Result<(), Violation> {
        let abandoned = &self.abandoned;
        self.out.retain(|machine, ticket| !machines[*machine].is_serving() && !abandoned.contains(ticket));
        if self.out.len() > self.max_out {
            return Err(Violation::TooManyOut { out: self.out.clone(), limit: self.max_out });
        }
        Ok(())
    }

    fn check_leader(&mut self, active: MachineId, machines: &[Machine]) -> Result<(), Violation> {
        let consensus = machines[active].node.as_ref().and_then(|node| node.consensus());
        let Some(consensus) = consensus.filter(|consensus| consensus.is_leader()) else { return Ok(()) };
        let (group, term) = (consensus.replica().group, consensus.term());
        let first = *self.leaders.entry((group, term)).or_insert(active);
        if first == active { Ok(()) } else { Err(Violation::TwoLeaders { first, second: active, term }) }
    }

    fn check_state(&mut self, active: MachineId, machines: &[Machine]) -> Result<(), Violation> {
        let consensus = machines[active].node.as_ref().and_then(|node| node.consensus());
        let Some(consensus) = consensus.filter(|_| self.compares_states) else { return Ok(()) };
        let (group, index) = (consensus.replica().group, consensus.applied_index());
        if index == 0 || self.compared_index.get(&active) == Some(&index) {
            return Ok(());
        }
        self.compared_index.insert(active, index);
        let mut hasher = DefaultHasher::new();
        consensus.machine().save().hash(&mut hasher);
        let hash = hasher.finish();
        match self.state_hashes.insert((group, index), hash) {
            Some(other) if other != hash => Err(Violation::DifferentState { machine: active, index }),
            _ => Ok(()),
        }
    }
}

/// Whoever leaves by a ticket does so on a begin that some voter has applied.
fn check_begun(departure: Departure, machines: &[Machine]) -> Result<(), Violation> {
    let Departure { machine, ticket, .. } = departure;
    let has_begun = |stage: TicketStage| {
        stage >= TicketStage::Accepted && !matches!(stage, TicketStage::Withdrawn | TicketStage::Lapsed)
    };
    let states = machines.iter().filter_map(|machine| machine.node.as_ref()?.maintenance());
    if states.filter_map(|state| state.find(ticket)).any(|ticket| has_begun(ticket.stage)) {
        return Ok(());
    }
    Err(Violation::NotBegun { machine, ticket })
}
