//! Invariants that are checked after every event. They are based on what the processes did; the state of the
//! fleet is only compared between members that must agree on it.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use loomflow_fleet::consensus::StateMachine as _;
use loomflow_fleet::duty::fence::Fence;
use loomflow_fleet::duty::{DutyName, Token};
use loomflow_fleet::maintenance::ticket::{TicketId, TicketStage};
use loomflow_fleet::time::IntegerMillis;

use crate::config::{MachineId, SimulationConfig};
use crate::machine::Machine;

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// More machines are out of service for maintenance than the rules allow.
    #[error("{} machines are out of service at once, the limit is {limit} (machine: ticket): {out:?}", .out.len())]
    TooManyOut {
        /// The machines that are out of service, with their tickets.
        out: BTreeMap<MachineId, TicketId>,
        /// Maximum number of machines that may be out of service at once.
        limit: usize,
    },
    /// A machine drains for a ticket that no running voter has recorded as begun.
    #[error("n{machine} drains for ticket {ticket}, which no running voter has recorded as begun")]
    NotBegun {
        /// The draining machine.
        machine: MachineId,
        /// The ticket for which the machine drains.
        ticket: TicketId,
    },
    /// A term has two leaders.
    #[error("n{first} and n{second} both lead in term {term}")]
    TwoLeaders {
        /// The machine that led first.
        first: MachineId,
        /// The machine that leads now.
        second: MachineId,
        /// The term with two leaders.
        term: u64,
    },
    /// Two voters have applied the same log entries and have different states.
    #[error("the state of n{machine} at log index {index} differs from that of another voter")]
    DifferentState {
        /// The voter whose state was compared last.
        machine: MachineId,
        /// Index of the last applied entry.
        index: u64,
    },
    /// Two machines have used the same fencing token.
    #[error("fencing token {token} of duty {duty} was used by both n{first} and n{second}")]
    SharedToken {
        /// The duty of the last effect with the token.
        duty: DutyName,
        /// The fencing token.
        token: Token,
        /// The machine that used the token first.
        first: MachineId,
        /// The machine that used the token last.
        second: MachineId,
    },
    /// The fence has admitted an effect of a former owner.
    #[error("duty {duty}: an effect with fencing token {token} was accepted after one with token {highest}")]
    StaleEffect {
        /// The duty of the effect.
        duty: DutyName,
        /// The token of the effect.
        token: Token,
        /// The highest token of the duty that was accepted before the effect.
        highest: Token,
    },
    /// Several machines own a duty at the same time, each by its own clock.
    #[error("duty {duty} has several owners at the same time: machines {owners:?}")]
    SeveralOwners {
        /// The duty with several owners.
        duty: DutyName,
        /// The machines that own the duty.
        owners: Vec<MachineId>,
    },
}

/// A violated invariant with its time and the preceding log.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("at {at} ms: {violation}\n{timeline}")]
pub struct InvariantViolation {
    /// Virtual time of the violation, ms.
    pub at: IntegerMillis,
    /// The violated invariant.
    pub violation: Violation,
    /// The last lines of the simulation's log.
    pub timeline: String,
}

/// The start of a drain for a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    /// The draining machine.
    pub machine: MachineId,
    /// The ticket for which the machine drains.
    pub ticket: TicketId,
    /// Start of the drain in virtual time, ms.
    pub at: IntegerMillis,
}

/// Records what the processes do and checks the invariants.
pub struct InvariantChecker {
    max_out: usize,
    /// Machines that are out of service, with their tickets: from the start of the drain until the
    /// machine serves again.
    out: BTreeMap<MachineId, TicketId>,
    /// Tickets that an operator has abandoned; their machines do not count as out.
    abandoned: BTreeSet<TicketId>,
    /// Machine that led first in each term, by consensus group and term.
    leaders: BTreeMap<(u64, u64), MachineId>,
    /// Hash of the replicated state, by consensus group and index of the last applied log entry.
    state_hashes: BTreeMap<(u64, u64), u64>,
    /// Log index at which the state of each machine was last compared.
    compared_index: BTreeMap<MachineId, u64>,
    /// Departures for which it has not been checked yet whether a voter has recorded the ticket as
    /// begun.
    unchecked_departures: Vec<Departure>,
    /// All departures, in the order of time.
    pub departures: Vec<Departure>,
    /// Whether the states of voters are compared; costly in large fleets.
    pub compares_states: bool,
    /// Whether to check that a duty has at most one owner by the machines' clocks. This holds only while the
    /// clocks keep to the bound on drift.
    pub expects_one_owner: bool,
    /// The fenced receiver of the owners' effects.
    pub receiver: Receiver,
}

/// Receives effects through a fence, and checks the order of those that the fence admits.
#[derive(Default)]
pub struct Receiver {
    fence: Fence,
    /// Highest accepted token of each duty.
    highest: BTreeMap<DutyName, Token>,
    /// First machine to use each token.
    owners: BTreeMap<Token, MachineId>,
    /// Number of effects that the fence admitted.
    pub accepted: u64,
    /// Number of effects that the fence rejected.
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
    /// Creates a checker for a fleet in which nothing has happened yet.
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

    /// Records that a machine starts to drain for a ticket.
    pub(crate) fn record_departure(&mut self, departure: Departure) {
        self.out.insert(departure.machine, departure.ticket);
        self.unchecked_departures.push(departure);
        self.departures.push(departure);
    }

    /// Records that a machine acts as the owner of a duty.
    pub(crate) fn record_effect(&mut self, machine: MachineId, duty: &str, token: Token) {
        self.receiver.receive(machine, duty, token);
    }

    /// Records that a machine's process has ended. The state of its next process is compared from the
    /// first log index that it applies, even if that index was compared before.
    pub(crate) fn record_exit(&mut self, machine: MachineId) {
        self.compared_index.remove(&machine);
    }

    /// Records that an operator abandons a ticket.
    pub(crate) fn record_abandoned(&mut self, ticket: TicketId) {
        self.abandoned.insert(ticket);
    }

    /// Checks the machine that has just acted, new departures and effects, and the number of machines
    /// that are out of service.
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

/// Checks that some running voter has recorded the ticket of a departure as begun.
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
