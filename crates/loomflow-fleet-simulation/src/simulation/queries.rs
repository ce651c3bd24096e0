//! Queries of tests and measurements.

use std::collections::BTreeSet;

use loomflow_fleet::command::{FleetRequest, FleetResponse};
use loomflow_fleet::consensus::Consensus;
use loomflow_fleet::fleet_state::FleetState;
use loomflow_fleet::maintenance::ticket::{TicketId, TicketStage};
use loomflow_fleet::member::{MemberState, ServerName};
use loomflow_fleet::node::Node;

use super::Simulation;
use crate::config::{MachineId, server_name};
use crate::machine::Traffic;

/// A ticket by the leader's state.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TicketSummary {
    /// The ticket.
    pub ticket: TicketId,
    /// Its server.
    pub server: ServerName,
    /// How far it has come.
    pub stage: TicketStage,
}

impl Simulation {
    /// The machine that leads, as far as it knows itself.
    pub fn leader(&self) -> Option<MachineId> {
        let is_leader = |id: &MachineId| self.machines[*id].node.as_ref().is_some_and(Node::is_leader);
        let term = |id: &MachineId| {
            let consensus = self.machines[*id].node.as_ref().and_then(Node::consensus);
            consensus.map(Consensus::term)
        };
        (0..self.machines.len()).filter(is_leader).max_by_key(term)
    }

    /// What the fleet has agreed on, as the leader has applied it; none without a leader.
    pub fn leader_state(&self) -> Option<&FleetState> {
        self.machines[self.leader()?].node.as_ref()?.fleet_state()
    }

    /// Why a machine waits, by its leader: a line for each check that does not hold, where it has a ticket.
    pub fn explain(&self, machine: MachineId) -> Vec<String> {
        let response = self.leader().and_then(|leader| {
            let node = self.machines[leader].node.as_ref()?;
            node.respond_to_query(&FleetRequest::Explain(server_name(machine)), self.local_time(leader))
        });
        let Some(FleetResponse::Explanation(explanation)) = response else { return Vec::new() };
        let Some((ticket, stage)) = explanation.ticket else { return Vec::new() };
        let state = explanation.state.map_or("unknown", |state| state.as_str());
        let head = format!("n{machine}, {state}: ticket {ticket} {}", stage.as_str());
        let failed = explanation.findings.iter().filter(|finding| !finding.is_satisfied);
        [head].into_iter().chain(failed.map(|finding| format!("    {finding}"))).collect()
    }

    /// All tickets by the leader's state, open and closed, in the order of their numbers.
    pub fn tickets(&self) -> Vec<TicketSummary> {
        let Some(state) = self.leader_state() else { return Vec::new() };
        let all = state.maintenance.closed().chain(state.maintenance.open().values());
        let mut tickets: Vec<TicketSummary> = all
            .map(|ticket| TicketSummary {
                ticket: ticket.id,
                server: ticket.request.server.clone(),
                stage: ticket.stage,
            })
            .collect();
        tickets.sort();
        tickets
    }

    /// Whether every member that runs considers this machine down.
    pub fn is_known_down(&self, machine: MachineId) -> bool {
        let mut nodes = self.machines.iter().filter_map(|other| other.node.as_ref());
        nodes.all(|node| considers_down(node, machine))
    }

    /// Pairs of members that run of which the first considers the second down.
    pub fn considered_down(&self) -> BTreeSet<(MachineId, MachineId)> {
        let running = || {
            let all = self.machines.iter().enumerate();
            all.filter_map(|(id, machine)| Some((id, machine.node.as_ref()?)))
        };
        let mut pairs = BTreeSet::new();
        for (observer, node) in running() {
            let dead = running().filter(|(other, _)| considers_down(node, *other));
            pairs.extend(dead.map(|(other, _)| (observer, other)));
        }
        pairs
    }

    /// Machines that take their part of the load.
    pub fn serving_count(&self) -> usize {
        self.machines.iter().filter(|machine| machine.is_serving()).count()
    }

    /// What all members have sent.
    pub fn traffic(&self) -> Traffic {
        let sum = |sum: Traffic, machine: &crate::machine::Machine| Traffic {
            messages: sum.messages + machine.sent.messages,
            bytes: sum.bytes + machine.sent.bytes,
        };
        self.machines.iter().fold(Traffic::default(), sum)
    }
}

fn considers_down(node: &Node, machine: MachineId) -> bool {
    let known = node.membership().get(&server_name(machine));
    known.is_some_and(|known| known.state() == MemberState::Down)
}
