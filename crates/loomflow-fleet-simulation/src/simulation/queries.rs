//! Queries on the state of the fleet, for tests and benchmarks.

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

/// A ticket as recorded by the leader.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TicketSummary {
    /// Number of the ticket.
    pub ticket: TicketId,
    /// Name of the server that the ticket is for.
    pub server: ServerName,
    /// Current stage of the ticket.
    pub stage: TicketStage,
}

impl Simulation {
    /// Returns the machine that considers itself the leader, the one in the highest term if there are
    /// several.
    pub fn leader(&self) -> Option<MachineId> {
        let is_leader = |id: &MachineId| self.machines[*id].node.as_ref().is_some_and(Node::is_leader);
        let term = |id: &MachineId| {
            let consensus = self.machines[*id].node.as_ref().and_then(Node::consensus);
            consensus.map(Consensus::term)
        };
        (0..self.machines.len()).filter(is_leader).max_by_key(term)
    }

    /// Returns the replicated state as applied by the leader; `None` without a leader.
    pub fn leader_state(&self) -> Option<&FleetState> {
        self.machines[self.leader()?].node.as_ref()?.fleet_state()
    }

    /// Explains, by the leader's state, why the ticket of a machine waits: a headline and a line for each
    /// failed check. Empty without a leader or a ticket.
    pub fn explain(&self, machine: MachineId) -> Vec<String> {
        let response = self.leader().and_then(|leader| {
            let node = self.machines[leader].node.as_ref()?;
            node.respond_to_query(&FleetRequest::Explain(server_name(machine)), self.local_time(leader))
        });
        let Some(FleetResponse::Explanation(explanation)) = response else { return Vec::new() };
        let Some((ticket, stage)) = explanation.ticket else { return Vec::new() };
        let state = explanation.state.map_or("unknown", |state| state.as_str());
        let headline = format!("n{machine}, {state}: ticket {ticket} {}", stage.as_str());
        let failed = explanation.findings.iter().filter(|finding| !finding.is_satisfied);
        [headline].into_iter().chain(failed.map(|finding| format!("    {finding}"))).collect()
    }

    /// Returns the open and closed tickets recorded by the leader, in the order of their numbers; empty
    /// without a leader.
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

    /// Returns whether every running member considers a machine down.
    pub fn is_known_down(&self, machine: MachineId) -> bool {
        let mut nodes = self.machines.iter().filter_map(|other| other.node.as_ref());
        nodes.all(|node| considers_down(node, machine))
    }

    /// Returns the pairs of running members in which the first considers the second down.
    pub fn considered_down(&self) -> BTreeSet<(MachineId, MachineId)> {
        let running = || {
            let all = self.machines.iter().enumerate();
            all.filter_map(|(id, machine)| Some((id, machine.node.as_ref()?)))
        };
        let mut pairs = BTreeSet::new();
        for (observer, node) in running() {
            let suspected = running().filter(|(other, _)| considers_down(node, *other));
            pairs.extend(suspected.map(|(other, _)| (observer, other)));
        }
        pairs
    }

    /// Returns the number of machines that serve, and thus share the load.
    pub fn serving_count(&self) -> usize {
        self.machines.iter().filter(|machine| machine.is_serving()).count()
    }

    /// Returns the number and the total size of the messages that all members have sent.
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
